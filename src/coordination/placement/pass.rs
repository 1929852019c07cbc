//! One placement pass: its state while the queue is processed, and the decision about one job.
//!
//! A decision returns a [`JobPlan`]; the scheduler applies it before the next job is considered, so that
//! each decision sees the effect of the earlier ones of the same pass.

use super::request::ResourceRequest;
use super::view::PlacementView;
use super::zones::ZoneChoice;
use super::Placement;
use crate::coordination::attempts::ledger::TeamUsage;
use crate::coordination::jobs::job::Job;
use crate::coordination::machines::machine::Machine;
use crate::ids::{AttemptId, Image, JobId, MachineId};
use crate::protocol::users::{Priority, Shape};
use crate::resources::Resources;
use crate::time::TimeSpan;
use std::collections::{BTreeMap, BTreeSet};

/// Once a task has run for this long, a job that failed on several machines is considered able to run.
const MIN_HEALTHY_RUN_TIME: TimeSpan = TimeSpan(6_000);

/// Whether tasks may be placed on machines that don't have the job's image cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ImageLocality {
    /// Only machines that have the image cached.
    Required,
    /// Any machine; machines that have the image or are fetching it are preferred.
    Preferred,
}

impl ImageLocality {
    /// Whether a task with the image may be placed on the machine.
    pub(super) fn is_met_by(self, machine: &Machine, image: &Image) -> bool {
        self == ImageLocality::Preferred || machine.has_image(image)
    }
}

/// The state that a pass carries from one decision to the next.
pub(super) struct PassState {
    /// The attempt id of all tasks placed in this pass.
    pub(super) attempt_id: AttemptId,
    /// The resources used by each team, including quota reserved for jobs that are blocked by their team's
    /// limit.
    pub(super) team_usage: TeamUsage,
    /// Machines reserved for the rest of this pass for jobs earlier in the queue.
    reserved_machines: BTreeSet<MachineId>,
    /// Jobs for which machines are reserved beyond this pass.
    jobs_with_reservations: BTreeSet<JobId>,
    /// Requests that fit on no machine: requests that are at least as hard to place are not tried again.
    unplaceable_requests: Vec<ResourceRequest>,
    /// Requests that fit on no machine with the image cached, by image. Without them, each of many waiting jobs of a class
    /// searched all machines for its image again.
    unplaceable_by_image: BTreeMap<Image, Vec<ResourceRequest>>,
    placed_count: usize,
    max_placed: usize,
    /// The lowest effective priority among the released jobs.
    lowest_priority: Option<Priority>,
    /// The number of jobs for which preemption on machines with their image was considered.
    pub(super) image_preemption_checks: usize,
}

impl PassState {
    /// The initial state of a pass that places at most `max_placed` tasks.
    pub(super) fn new(
        view: &PlacementView<'_>,
        team_usage: TeamUsage,
        attempt_id: AttemptId,
        max_placed: usize,
    ) -> PassState {
        PassState {
            attempt_id,
            team_usage,
            reserved_machines: BTreeSet::new(),
            jobs_with_reservations: view.jobs_with_reservations(),
            unplaceable_requests: Vec::new(),
            unplaceable_by_image: BTreeMap::new(),
            placed_count: 0,
            max_placed,
            lowest_priority: view.lowest_priority(),
            image_preemption_checks: 0,
        }
    }

    /// The number of tasks placed so far.
    pub(super) fn placed_count(&self) -> usize {
        self.placed_count
    }

    /// Whether the pass has placed as many tasks as it may.
    pub(super) fn has_reached_limit(&self) -> bool {
        self.placed_count >= self.max_placed
    }

    /// How many more tasks the pass may place.
    fn remaining(&self) -> u32 {
        (self.max_placed - self.placed_count) as u32
    }

    /// Whether the machine is reserved in this pass for a job earlier in the queue.
    pub(super) fn is_reserved(&self, machine_id: &MachineId) -> bool {
        self.reserved_machines.contains(machine_id)
    }

    /// Reserves a machine for the rest of the pass: no job later in the queue is placed on it.
    pub(super) fn reserve(&mut self, machine_id: &MachineId) {
        self.reserved_machines.insert(machine_id.clone());
    }

    /// Whether machines are reserved for the job beyond this pass.
    pub(super) fn has_reservation(&self, job_id: &JobId) -> bool {
        self.jobs_with_reservations.contains(job_id)
    }

    /// Whether a request that is no harder to place fitted on no machine in this pass.
    pub(super) fn is_known_unplaceable(&self, request: &ResourceRequest) -> bool {
        self.unplaceable_requests
            .iter()
            .any(|failed| request.covers(failed))
    }

    /// Whether a request that is no harder to place fitted on no machine with the image cached in this pass.
    fn is_known_unplaceable_with(&self, image: &Image, request: &ResourceRequest) -> bool {
        let failed = self.unplaceable_by_image.get(image);
        failed.is_some_and(|failed| failed.iter().any(|failed| request.covers(failed)))
    }

    /// Records that a request fits on no machine that meets the locality.
    fn record_unplaceable(
        &mut self,
        image: &Image,
        request: ResourceRequest,
        locality: ImageLocality,
    ) {
        match locality {
            ImageLocality::Preferred => self.unplaceable_requests.push(request),
            ImageLocality::Required => {
                let by_image = self.unplaceable_by_image.entry(image.clone());
                by_image.or_default().push(request);
            }
        }
    }

    /// Whether the priority is above the lowest one among the released jobs.
    pub(super) fn is_above_lowest(&self, priority: Priority) -> bool {
        self.lowest_priority.is_some_and(|lowest| lowest < priority)
    }

    /// Adds `tasks` tasks of a job to its team's usage.
    fn charge_team(&mut self, job: &Job, tasks: f64) {
        let request = Resources::of(job.spec()).times(tasks);
        self.team_usage.charge(job.team(), &request);
    }

    /// Adds the placements of one job to the placed tasks and its team's usage.
    fn record_placements(&mut self, job: &Job, placements: &[Placement]) {
        self.placed_count += placements.len();
        for _ in placements {
            self.charge_team(job, 1.0);
        }
    }
}

/// The decision of a pass about one job.
#[derive(Debug, Default)]
#[must_use = "a plan has no effect until it is applied"]
pub(super) struct JobPlan {
    /// The tasks placed, each with its machine.
    pub(super) placements: Vec<Placement>,
    /// How many more tasks of the job could start if there were machines for them.
    pub(super) unplaced_count: u32,
}

impl JobPlan {
    fn unplaced(unplaced_count: u32) -> JobPlan {
        JobPlan {
            placements: Vec::new(),
            unplaced_count,
        }
    }
}

/// How many tasks of a job may start by the state of the job and its team's limit, whatever machines are free.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Startable {
    /// None, because of the state of the job.
    None,
    /// None, or only a part of a gang, because of the team's limit.
    BlockedByQuota,
    /// This many.
    Tasks(u32),
}

/// One placement pass at one moment: the view of the cluster, and the state of the pass.
pub(super) struct PlacementPass<'a> {
    pub(super) view: PlacementView<'a>,
    pub(super) state: &'a mut PassState,
}

impl PlacementPass<'_> {
    /// Decides where the tasks of one job run. If none can be placed, quota or machines may be reserved for the
    /// job for the rest of the pass.
    pub(super) fn plan_job(&mut self, job_id: &JobId, locality: ImageLocality) -> JobPlan {
        let Some(job) = self.view.jobs().get(job_id) else {
            return JobPlan::default();
        };
        let startable = match self.startable(job_id, job, locality) {
            Startable::None => return JobPlan::default(),
            Startable::BlockedByQuota => {
                if locality == ImageLocality::Preferred {
                    self.reserve_quota(job);
                }
                return JobPlan::default();
            }
            Startable::Tasks(count) => count,
        };
        let placements = self.choose_placements(job_id, job, startable, locality);
        if placements.is_empty() {
            if locality == ImageLocality::Preferred {
                self.reserve_machines_for(job);
            }
            return JobPlan::unplaced(startable);
        }
        self.state.record_placements(job, &placements);
        JobPlan {
            unplaced_count: startable - placements.len() as u32,
            placements,
        }
    }

    /// Returns how many tasks of the job may start.
    fn startable(&self, job_id: &JobId, job: &Job, locality: ImageLocality) -> Startable {
        let starts_as_gang = starts_as_gang(job);
        if starts_as_gang && locality == ImageLocality::Required {
            return Startable::None;
        }
        if starts_as_gang && !job.placements().is_empty() {
            // A task of the last gang attempt may still be on a machine.
            return Startable::None;
        }
        // After a failover, recovered launch intents and new ones can name different zones. The zone of the job
        // is not known until all but one of them are proven empty.
        if job.is_in_conflicting_zones() {
            return Startable::None;
        }
        let headroom = self.view.quota_headroom(job, &self.state.team_usage);
        let mut count = headroom.min(job.pending().len() as u32);
        if !starts_as_gang && job.fails_everywhere() && !self.has_run_long_enough(job_id, job) {
            // All tasks of a faulty job would start and fail over and over, with a write for each and
            // machines rented for all. Only one task is tried until it has run for long enough.
            count = count.min(u32::from(job.placements().is_empty()));
            if count == 0 {
                return Startable::None;
            }
        }
        if count == 0 || (starts_as_gang && count < job.spec().tasks) {
            return Startable::BlockedByQuota;
        }
        Startable::Tasks(count)
    }

    /// Whether a task of the job has run for long enough to show that the job can run.
    fn has_run_long_enough(&self, job_id: &JobId, job: &Job) -> bool {
        let now = self.view.now();
        job.placement_machines()
            .into_iter()
            .filter_map(|machine_id| self.view.machines().get(machine_id))
            .flat_map(Machine::live_attempts)
            .filter(|attempt| attempt.task.job == *job_id)
            .filter_map(|attempt| attempt.running_since)
            .any(|running_since| now - running_since > MIN_HEALTHY_RUN_TIME)
    }

    /// Reserves the team's quota that the job needs for the rest of the pass. Otherwise smaller jobs later in
    /// the queue would take all quota that is released, and a large job would starve.
    fn reserve_quota(&mut self, job: &Job) {
        let tasks = if starts_as_gang(job) {
            f64::from(job.spec().tasks)
        } else {
            1.0
        };
        self.state.charge_team(job, tasks);
    }

    /// Chooses machines for up to `startable` tasks of the job; for a gang, for all of them or none.
    fn choose_placements(
        &mut self,
        job_id: &JobId,
        job: &Job,
        startable: u32,
        locality: ImageLocality,
    ) -> Vec<Placement> {
        let request = ResourceRequest::of(job.spec());
        let image = &job.spec().image;
        let is_known_unplaceable = self.state.is_known_unplaceable(&request)
            || (locality == ImageLocality::Required
                && self.state.is_known_unplaceable_with(image, &request));
        if !self.state.has_reservation(job_id) && is_known_unplaceable {
            return Vec::new();
        }
        let is_gang = starts_as_gang(job);
        if is_gang && startable as usize > self.view.max_attempts() {
            return Vec::new();
        }
        let max_tasks = if is_gang {
            startable
        } else {
            startable.min(self.state.remaining())
        };
        let task_indexes: Vec<u32> = job.pending().iter().take(max_tasks as usize).collect();
        let placements = self
            .zone_choices(job)
            .iter()
            .map(|zones| self.choose_machines(job_id, job, &task_indexes, zones, locality))
            .find(|placements| {
                !placements.is_empty() && (!is_gang || placements.len() == task_indexes.len())
            })
            .unwrap_or_default();
        let is_bound_to_its_zone = job.has_affinity() && !job.placements().is_empty();
        let depends_on_request_alone = job.retry().failed_on().is_empty()
            && !job.spec().zone_anti_affinity
            && !is_bound_to_its_zone
            && (!is_gang || job.spec().tasks == 1);
        if placements.is_empty() && depends_on_request_alone {
            self.state.record_unplaceable(image, request, locality);
        }
        placements
    }

    /// Whether the first pending task of the job fits on a machine now.
    pub(super) fn has_room_for_one(&self, job_id: &JobId, job: &Job) -> bool {
        let first: Vec<u32> = job.pending().iter().take(1).collect();
        let zones = ZoneChoice::Any;
        let placements =
            self.choose_machines(job_id, job, &first, &zones, ImageLocality::Preferred);
        !placements.is_empty()
    }
}

/// Whether the job's tasks start together or not at all. A gang completes as a whole: once one of its tasks has
/// completed, the others only have to report their completion, and start one by one.
fn starts_as_gang(job: &Job) -> bool {
    job.spec().shape == Shape::Gang && job.completed().count() == 0
}
