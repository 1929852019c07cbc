//! One placement pass: what it keeps while the queue is walked, and the decision about one job.
//!
//! A decision returns a [`JobPlan`]; the scheduler applies it before the next job is looked at, so that
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
use std::collections::BTreeSet;

/// A task of a job that failed on several machines has run for this long: the job can run.
const MIN_RUN_TIME_OF_WORKING_JOB: TimeSpan = TimeSpan(6_000);

/// Whether machines without the job's image come into question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ImageLocality {
    /// Only machines that have the image cached.
    Required,
    /// Any machine; those with the image, or where it is being pulled, are preferred.
    Preferred,
}

impl ImageLocality {
    /// Whether the machine comes into question for the image.
    pub(super) fn is_met_by(self, machine: &Machine, image: &Image) -> bool {
        self == ImageLocality::Preferred || machine.has_image(image)
    }
}

/// What a pass keeps from one decision to the next.
pub(super) struct PassState {
    /// The attempt id of everything that is placed in this pass.
    pub(super) attempt_id: AttemptId,
    /// What teams use, with what is kept free for jobs that their team's limit holds up.
    pub(super) team_usage: TeamUsage,
    /// Machines reserved in this pass for jobs ahead in the queue.
    reserved_machines: BTreeSet<MachineId>,
    /// Jobs for which machines are reserved beyond this pass.
    jobs_with_reservations: BTreeSet<JobId>,
    /// Requests for which there was no room: nothing that is as hard to place has to look again.
    failed_requests: Vec<ResourceRequest>,
    placed_count: usize,
    max_placed: usize,
    /// The lowest priority of all jobs that may run.
    lowest_priority: Option<Priority>,
    /// Jobs for which it was looked whether tasks can be preempted on machines with their image.
    pub(super) image_preemption_checks: usize,
}

impl PassState {
    /// The state in which a pass begins that places at most so many tasks.
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
            failed_requests: Vec::new(),
            placed_count: 0,
            max_placed,
            lowest_priority: view.lowest_priority(),
            image_preemption_checks: 0,
        }
    }

    /// How many tasks have been placed.
    pub(super) fn placed_count(&self) -> usize {
        self.placed_count
    }

    /// Whether as many tasks have been placed as one pass may place.
    pub(super) fn is_exhausted(&self) -> bool {
        self.placed_count >= self.max_placed
    }

    /// How many more tasks may be placed.
    fn remaining(&self) -> u32 {
        (self.max_placed - self.placed_count) as u32
    }

    /// Whether the machine is reserved in this pass for a job ahead in the queue.
    pub(super) fn is_reserved(&self, machine_id: &MachineId) -> bool {
        self.reserved_machines.contains(machine_id)
    }

    /// Reserves a machine: jobs behind in the queue get nothing on it in this pass.
    pub(super) fn reserve(&mut self, machine_id: &MachineId) {
        self.reserved_machines.insert(machine_id.clone());
    }

    /// Whether machines are reserved for the job beyond this pass.
    pub(super) fn has_reservation(&self, job_id: &JobId) -> bool {
        self.jobs_with_reservations.contains(job_id)
    }

    /// Whether there was no room for a request that is no harder to place.
    pub(super) fn is_known_to_fail(&self, request: &ResourceRequest) -> bool {
        self.failed_requests
            .iter()
            .any(|failed| request.covers(failed))
    }

    /// Whether the priority is above that of some other job that may run.
    pub(super) fn is_above_lowest(&self, priority: Priority) -> bool {
        self.lowest_priority.is_some_and(|lowest| lowest < priority)
    }

    /// Counts so many tasks of a job towards its team's usage.
    fn charge_team(&mut self, job: &Job, tasks: f64) {
        let request = Resources::of(job.spec()).times(tasks);
        self.team_usage.charge(job.team(), &request);
    }

    /// Counts the placements of one job.
    fn record_placements(&mut self, job: &Job, placements: &[Placement]) {
        self.placed_count += placements.len();
        for _ in placements {
            self.charge_team(job, 1.0);
        }
    }
}

/// What a pass decided about one job.
#[derive(Debug, Default)]
#[must_use = "a plan has no effect until it is applied"]
pub(super) struct JobPlan {
    /// Where its tasks are to run.
    pub(super) placements: Vec<Placement>,
    /// How many more of its tasks could start, but for want of machines.
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

/// How many tasks of a job may start, as far as the job itself and its team's limit go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Startable {
    /// None, whatever room there is.
    Nothing,
    /// None, or not the whole gang, for its team is at its limit.
    BlockedByQuota,
    /// So many.
    Tasks(u32),
}

/// One placement pass at one moment: the cluster as it is, and what the pass keeps.
pub(super) struct PlacementPass<'a> {
    pub(super) view: PlacementView<'a>,
    pub(super) state: &'a mut PassState,
}

impl PlacementPass<'_> {
    /// Decides where the tasks of one job are to run. If none can be placed, what the job needs may be
    /// kept free for it for the rest of the pass.
    pub(super) fn plan_job(&mut self, job_id: &JobId, locality: ImageLocality) -> JobPlan {
        let Some(job) = self.view.jobs().get(job_id) else {
            return JobPlan::default();
        };
        let startable = match self.startable(job_id, job, locality) {
            Startable::Nothing => return JobPlan::default(),
            Startable::BlockedByQuota => {
                if locality == ImageLocality::Preferred {
                    self.keep_quota_free(job);
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

    /// How many of the job's tasks may start.
    fn startable(&self, job_id: &JobId, job: &Job, locality: ImageLocality) -> Startable {
        let starts_as_gang = starts_as_gang(job);
        if starts_as_gang && locality == ImageLocality::Required {
            return Startable::Nothing;
        }
        if starts_as_gang && !job.placements().is_empty() {
            // A task of the last gang attempt may still be on a machine.
            return Startable::Nothing;
        }
        // Guards against old intents that a failover brings back beside new ones in another zone: no zone can be
        // taken for the job's until the others are proven empty.
        if job.is_in_conflicting_zones() {
            return Startable::Nothing;
        }
        let headroom = self.view.quota_headroom(job, &self.state.team_usage);
        let mut count = headroom.min(job.pending().len() as u32);
        if !starts_as_gang && job.fails_everywhere() && !self.has_run_long_enough(job_id, job) {
            // Guards against a job submitted with a mistake whose tasks all start and fail again and
            // again, with a write for each and machines rented for all: one task tries, the rest wait
            // for how it fares.
            count = count.min(u32::from(job.placements().is_empty()));
            if count == 0 {
                return Startable::Nothing;
            }
        }
        if count == 0 || (starts_as_gang && count < job.spec().tasks) {
            return Startable::BlockedByQuota;
        }
        Startable::Tasks(count)
    }

    /// Whether a task of the job has run for long enough to say that the job can run.
    fn has_run_long_enough(&self, job_id: &JobId, job: &Job) -> bool {
        let now = self.view.now();
        job.placements()
            .values()
            .flatten()
            .filter_map(|machine_id| self.view.machines().get(machine_id))
            .flat_map(Machine::live_attempts)
            .filter(|attempt| attempt.task.job == *job_id)
            .filter_map(|attempt| attempt.running_since)
            .any(|running_since| now - running_since > MIN_RUN_TIME_OF_WORKING_JOB)
    }

    /// Guards against a large job that never finds its team's limit free, because smaller jobs behind it
    /// take every bit that is given back: what it needs is kept free for it.
    fn keep_quota_free(&mut self, job: &Job) {
        let tasks = if starts_as_gang(job) {
            f64::from(job.spec().tasks)
        } else {
            1.0
        };
        self.state.charge_team(job, tasks);
    }

    /// Chooses machines for a job of which so many tasks may start: for all of them if it is a gang, or
    /// for none.
    fn choose_placements(
        &mut self,
        job_id: &JobId,
        job: &Job,
        startable: u32,
        locality: ImageLocality,
    ) -> Vec<Placement> {
        let request = ResourceRequest::of(job.spec());
        if !self.state.has_reservation(job_id) && self.state.is_known_to_fail(&request) {
            return Vec::new();
        }
        let is_gang = starts_as_gang(job);
        let max_tasks = if is_gang {
            startable
        } else {
            startable.min(self.state.remaining())
        };
        let task_indexes: Vec<u32> = job
            .pending()
            .iter()
            .take(max_tasks as usize)
            .copied()
            .collect();
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
        if placements.is_empty() && depends_on_request_alone && locality == ImageLocality::Preferred
        {
            self.state.failed_requests.push(request);
        }
        placements
    }

    /// Whether a machine can be found for the first pending task of the job.
    pub(super) fn has_room_for_one(&self, job_id: &JobId, job: &Job) -> bool {
        let first: Vec<u32> = job.pending().iter().take(1).copied().collect();
        let zones = ZoneChoice::Any;
        let placements =
            self.choose_machines(job_id, job, &first, &zones, ImageLocality::Preferred);
        !placements.is_empty()
    }
}

/// Whether the job's tasks start together or not at all. Once one task of a gang is done all are, and the
/// rest only have to say so one by one.
fn starts_as_gang(job: &Job) -> bool {
    job.spec().shape == Shape::Gang && job.completed().count() == 0
}
