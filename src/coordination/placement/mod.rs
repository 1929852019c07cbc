//! Which task goes to which machine: Algorithm 1 of Parrot (Lin et al., "Parrot: Efficient Serving of
//! LLM-based Applications with Semantic Variable", OSDI 2024).
//!
//! The queue is walked in topological order; a task group is placed in one round, what does not fit in
//! later ones; otherwise jobs sharing an image go together, then to machines caching it, then alone. Among
//! those, machines that run tasks of the same label are preferred. Within one depth of the graph, work
//! inside its team's guaranteed share comes first, then priority, then the objectives that can still be
//! met.
//!
//! Decisions ([`pass`], [`candidates`], [`queue`], [`preemption`]) read a [`view::PlacementView`] and
//! return plans. Only [`Scheduler::apply_plan`] and [`Scheduler::evict`] carry them out: the one puts
//! attempts into the ledger, the other asks for attempts to be stopped. Nothing here launches or stops
//! anything itself.

pub(crate) mod candidates;
mod eviction;
mod image_locality;
mod pacing;
mod pass;
mod preemption;
mod queue;
pub(crate) mod request;
mod reservations;
pub(crate) mod start_check;
mod view;
mod zones;

use crate::coordination::jobs::graph::SchedulingPreference;
use crate::coordination::Scheduler;
use crate::ids::{AttemptId, AttemptKey, JobId, MachineId, TaskId};
use crate::storage::records::LaunchIntent;
use crate::time::Instant;
use image_locality::ImagePreemption;
pub use pacing::PlacementState;
use pass::{ImageLocality, JobPlan, PassState, PlacementPass};
use std::collections::BTreeMap;

/// Tasks of a job that are left to be placed after a pass.
#[derive(Debug, Clone)]
pub struct UnplacedTasks {
    /// The job.
    pub job: JobId,
    /// How many of its tasks could start, but for want of machines.
    pub count: u32,
}

/// A task that is to run on a machine.
#[derive(Debug)]
struct Placement {
    task: TaskId,
    machine: MachineId,
    /// Seconds until the task's image is on the machine.
    image_wait_s: f64,
}

/// Where a job stands in the queue of a pass.
type QueuePosition = usize;

impl Scheduler {
    /// One pass: places what fits and says what does not, in the order of the queue.
    pub(crate) fn place(&mut self, now: Instant) -> Vec<UnplacedTasks> {
        if self.machines.types.is_empty() {
            return Vec::new();
        }
        let Some(max_placed) = self.placement.task_limit(now) else {
            self.placement.request_pass();
            return Vec::new();
        };
        let queue = self.placement_view(now).queue();
        if queue.is_empty() {
            return Vec::new();
        }
        let attempt_id = self.next_attempt_id();
        let team_usage = self.team_usage.clone();
        let view = self.placement_view(now);
        let mut state = PassState::new(&view, team_usage, attempt_id, max_placed);
        let unplaced = self.place_queue(now, queue, &mut state);
        self.placement.finish_pass(now, &state);
        unplaced
    }

    /// Walks the queue: each round first where its images are, then anywhere.
    fn place_queue(
        &mut self,
        now: Instant,
        queue: Vec<queue::Round>,
        state: &mut PassState,
    ) -> Vec<UnplacedTasks> {
        let mut unplaced: BTreeMap<QueuePosition, UnplacedTasks> = BTreeMap::new();
        let mut deferred: BTreeMap<QueuePosition, JobId> = BTreeMap::new();
        let mut position: QueuePosition = 0;
        for round in queue {
            // Jobs that are alike first go where their image is; what is left goes anywhere. With too
            // much to do, a tenth of all machine time went into pulls otherwise.
            for job_id in &round {
                if !state.is_exhausted() {
                    self.place_job(now, job_id, ImageLocality::Required, state);
                }
            }
            for job_id in round {
                position += 1;
                if self.defer_for_image(now, &job_id, state) {
                    deferred.insert(position, job_id);
                } else if let Some(rest) = self.place_anywhere(now, job_id, state) {
                    unplaced.insert(position, rest);
                }
            }
        }
        // What nobody with the image at hand has taken.
        for (position, job_id) in deferred {
            if let Some(rest) = self.place_anywhere(now, job_id, state) {
                unplaced.insert(position, rest);
            }
        }
        unplaced.into_values().collect()
    }

    /// Whether a job gives way to those behind it for now, to wait for machines with its image.
    fn defer_for_image(&mut self, now: Instant, job_id: &JobId, state: &mut PassState) -> bool {
        let view = self.placement_view(now);
        let waits = PlacementPass { view, state }.waits_for_image(job_id);
        if waits {
            self.jobs.update(job_id, |job| job.image_wait_started(now));
        }
        waits
    }

    /// Places what it can of one job, on any machines; says what is left.
    fn place_anywhere(
        &mut self,
        now: Instant,
        job_id: JobId,
        state: &mut PassState,
    ) -> Option<UnplacedTasks> {
        if state.is_exhausted() {
            return None;
        }
        let view = self.placement_view(now);
        match (PlacementPass { view, state }).image_preemption(&job_id) {
            ImagePreemption::None => {}
            ImagePreemption::InProgress => return None,
            ImagePreemption::Evict(evictions) => {
                self.evict(now, &job_id, evictions);
                return None;
            }
        }
        let count = self.place_job(now, &job_id, ImageLocality::Preferred, state);
        (count > 0).then_some(UnplacedTasks { job: job_id, count })
    }

    /// Places what it can of one job; says how many more tasks could start but for want of machines.
    fn place_job(
        &mut self,
        now: Instant,
        job_id: &JobId,
        locality: ImageLocality,
        state: &mut PassState,
    ) -> u32 {
        let view = self.placement_view(now);
        let plan = PlacementPass { view, state }.plan_job(job_id, locality);
        let unplaced_count = plan.unplaced_count;
        if !plan.placements.is_empty() {
            self.apply_plan(now, job_id, locality, state.attempt_id, plan);
        }
        unplaced_count
    }

    /// Carries out what a pass decided about one job: its tasks are in the ledger from here on, and their
    /// launch intents wait to be written.
    fn apply_plan(
        &mut self,
        now: Instant,
        job_id: &JobId,
        locality: ImageLocality,
        attempt_id: AttemptId,
        plan: JobPlan,
    ) {
        let updated = self.jobs.update(job_id, |job| {
            job.gang_attempt_started();
            if locality == ImageLocality::Required {
                // The machines that it waits for do come free.
                job.image_wait_ended();
            }
            job.needs_gang_scheduling()
        });
        let Some(is_gang) = updated else {
            return;
        };
        let is_latency =
            self.jobs.graph().scheduling_preference(job_id) == SchedulingPreference::Latency;
        for placement in plan.placements {
            let Placement {
                task,
                machine,
                image_wait_s,
            } = placement;
            tracing::debug!(task = %task, machine = %machine, "task placed");
            self.release_for_use(&machine, job_id);
            let key = AttemptKey { task, attempt_id };
            let intent = LaunchIntent::new(&machine, &key);
            let mut attempt = self.new_attempt(&machine, key, now);
            attempt.image_wait_s = is_gang.then_some(image_wait_s);
            attempt.is_latency_task = is_latency;
            self.ledger().insert(&machine, attempt);
            self.writer.enqueue_intent(intent);
        }
    }

    /// A machine is given a task of the job: it is not idle any more, and a reservation for the job has
    /// served its purpose.
    fn release_for_use(&mut self, machine_id: &MachineId, job_id: &JobId) {
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        machine.idle_since = None;
        machine.end_reservation_of(job_id);
    }
}
