//! Placement of tasks on machines, by Algorithm 1 of Parrot (Lin et al., "Parrot: Efficient Serving of
//! LLM-based Applications with Semantic Variable", OSDI 2024).
//!
//! The queue is processed in topological order. A task group is placed in one round, and what does not fit in
//! later ones. Other jobs are placed together with jobs that share their image, then on machines that have it
//! cached, then alone. Among those, machines that run tasks of the same scheduling preference are preferred.
//! Within one depth of the graph, jobs inside their team's guaranteed share come first, then higher priorities,
//! then jobs that can still meet their objectives.
//!
//! Decisions ([`pass`], [`candidates`], [`queue`], [`preemption`]) read a [`view::PlacementView`] and
//! return plans. Only [`Scheduler::apply_plan`] and [`Scheduler::evict`] execute them: the first inserts
//! attempts into the ledger, the second requests stops of attempts. No command is sent from here.

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

use crate::coordination::attempts::commands::must_stagger_launches;
use crate::coordination::jobs::graph::SchedulingPreference;
use crate::coordination::Scheduler;
use crate::ids::{AttemptId, AttemptKey, JobId, MachineId, TaskId};
use crate::storage::records::LaunchIntent;
use crate::time::Instant;
use image_locality::ImagePreemption;
pub use pacing::PlacementState;
use pass::{ImageLocality, JobPlan, PassState, PlacementPass};
use std::collections::BTreeMap;

/// The tasks of a job that a pass could not place for lack of machines.
#[derive(Debug, Clone)]
pub struct UnplacedTasks {
    /// The job.
    pub job: JobId,
    /// The number of tasks that could start if there were machines for them.
    pub count: u32,
}

/// The decision to run a task on a machine.
#[derive(Debug)]
struct Placement {
    task: TaskId,
    machine: MachineId,
    /// Seconds until the task's image is on the machine.
    image_wait_s: f64,
}

/// The position of a job in the queue of a pass.
type QueuePosition = usize;

impl Scheduler {
    /// Runs one placement pass: places the tasks that fit, and returns the others in the order of the queue.
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

    /// Places the jobs of each round in turn, first on machines that have their images, then on any machine.
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
            // Placing tasks on machines with their image first saves fetches: without it, a tenth of all
            // machine time went into image fetches under overload.
            for job_id in &round {
                if !state.has_reached_limit() {
                    self.place_job(now, job_id, ImageLocality::Required, state);
                }
            }
            for job_id in round {
                position += 1;
                if self.defer_for_image(now, &job_id, state) {
                    deferred.insert(position, job_id);
                } else if let Some(tasks) = self.place_anywhere(now, job_id, state) {
                    unplaced.insert(position, tasks);
                }
            }
        }
        // Deferred jobs get the capacity that no job with a cached image has taken.
        for (position, job_id) in deferred {
            if let Some(tasks) = self.place_anywhere(now, job_id, state) {
                unplaced.insert(position, tasks);
            }
        }
        unplaced.into_values().collect()
    }

    /// Whether the job is deferred behind later jobs to wait for machines with its image. Records the start of
    /// the wait.
    fn defer_for_image(&mut self, now: Instant, job_id: &JobId, state: &mut PassState) -> bool {
        let view = self.placement_view(now);
        let is_deferred = PlacementPass { view, state }.should_wait_for_image(job_id);
        if is_deferred {
            self.jobs.update(job_id, |job| job.image_wait_started(now));
        }
        is_deferred
    }

    /// Places as many tasks of one job as fit, on any machines. Returns the tasks left for lack of machines.
    fn place_anywhere(
        &mut self,
        now: Instant,
        job_id: JobId,
        state: &mut PassState,
    ) -> Option<UnplacedTasks> {
        if state.has_reached_limit() {
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

    /// Places as many tasks of one job as fit. Returns how many more could start if there were machines for
    /// them.
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

    /// Applies the plan for one job: inserts its task attempts into the ledger, and queues their launch intents
    /// to be written.
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
                // Machines with its image do become free: the limit of its wait starts over.
                job.image_wait_ended();
            }
            job.needs_gang_scheduling()
        });
        let Some(is_gang) = updated else {
            return;
        };
        let is_latency =
            self.jobs.graph().scheduling_preference(job_id) == SchedulingPreference::Latency;
        let image_waits_s: Vec<f64> = plan.placements.iter().map(|p| p.image_wait_s).collect();
        let staggers = is_gang && must_stagger_launches(&self.policy, &image_waits_s);
        for placement in plan.placements {
            let Placement {
                task,
                machine,
                image_wait_s,
            } = placement;
            tracing::debug!(task = %task, machine = %machine, "task placed");
            self.mark_in_use(&machine, job_id);
            let key = AttemptKey { task, attempt_id };
            let intent = LaunchIntent::new(&machine, &key);
            let mut attempt = self.new_attempt(&machine, key, now);
            attempt.image_wait_s = staggers.then_some(image_wait_s);
            attempt.is_latency_task = is_latency;
            self.ledger().insert(&machine, attempt);
            self.writer.enqueue_intent(intent);
        }
    }

    /// Marks the machine as no longer idle, and ends its reservation for the job, when a task of the job is
    /// placed on it.
    fn mark_in_use(&mut self, machine_id: &MachineId, job_id: &JobId) {
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        machine.idle_since = None;
        machine.end_reservation_of(job_id);
    }
}
