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
mod pass;
mod preemption;
mod queue;
pub(crate) mod request;
mod reservations;
mod view;
mod zones;

use crate::coordination::jobs::graph::Label;
use crate::coordination::machines::machine::{Machine, MachineState};
use crate::coordination::Scheduler;
use crate::ids::{AttemptId, JobId, MachineId, TaskId, TeamIndex};
use crate::protocol::users::JobSpec;
use crate::resources::Resources;
use crate::storage::records::LaunchIntent;
use crate::time::{Instant, TimeSpan};
use crate::transport::budget::Budget;
use image_locality::ImagePreemption;
use pass::{ImageLocality, JobPlan, PassState, PlacementPass};
use std::collections::BTreeMap;

/// Tasks placed each second for each core of this process's quota, and seconds' worth of them at once.
///
/// Guards against a leader that one huge job deposes: on the recorded day de36 some 24,000 tasks of a few
/// seconds were placed within 6 s; what came of them took all of a twelfth of a core, and the leader's lease
/// was over before the answers to its renewals had been read.
const PLACED_TASKS_PER_CORE_SECOND: f64 = 7_500.0;
const PLACEMENT_BURST_S: f64 = 5.0;
/// However small the quota, or if it is none: placement never stops.
const MIN_PLACED_TASKS_PER_SECOND: f64 = 100.0;
/// A pass for fewer tasks than this is not worth the look at the whole queue.
const MIN_TASKS_PER_PASS: usize = 20;
/// Tasks placed in one pass: what is left is placed in the next one, so that heartbeats and the
/// lease's renewal never wait for a whole wave.
const MAX_TASKS_PER_PASS: usize = 400;
/// Passes are at least this far apart: what happens in between is decided together.
const PASS_INTERVAL: TimeSpan = TimeSpan(40);

/// When placement and preemption last ran, and what holds them back.
#[derive(Debug)]
pub struct PlacementState {
    /// Something changed that placement should look at.
    is_due: bool,
    /// Tasks that may be placed: the processor must keep up with what comes of them.
    budget: Budget,
    /// When the last pass began.
    last_pass_at: Instant,
    /// When ways to make room were last looked for.
    last_preemption_at: Instant,
}

impl PlacementState {
    /// For a process with so many cores. The first pass is due at once.
    pub fn new(cores: f64) -> PlacementState {
        PlacementState {
            is_due: true,
            budget: placement_budget(cores),
            last_pass_at: Instant::LONG_AGO,
            last_preemption_at: Instant::LONG_AGO,
        }
    }

    /// Asks for a pass, for something changed that it should look at.
    pub(crate) fn request_pass(&mut self) {
        self.is_due = true;
    }

    /// Begins a pass if one has been asked for and the last one is long enough ago; says whether it does.
    pub(crate) fn start_pass_if_due(&mut self, now: Instant) -> bool {
        if !self.is_due || now - self.last_pass_at < PASS_INTERVAL {
            return false;
        }
        self.last_pass_at = now;
        self.is_due = false;
        true
    }

    /// How many tasks a pass may place now; `None` if too few to be worth one.
    fn task_limit(&self, now: Instant) -> Option<usize> {
        let limit = MAX_TASKS_PER_PASS.min(self.budget.available(now) as usize);
        (limit >= MIN_TASKS_PER_PASS).then_some(limit)
    }

    /// A pass has ended. What is left of a job of many tasks has its turn in the next one.
    fn finish_pass(&mut self, now: Instant, pass: &PassState) {
        self.is_due |= pass.is_exhausted();
        // A gang is placed as a whole, even if that is a little more than the rate allows.
        let spent = self.budget.available(now).min(pass.placed_count() as f64);
        self.budget.take(now, spent);
    }
}

/// The rate at which a process with so many cores can place tasks and keep up with what comes of them.
fn placement_budget(cores: f64) -> Budget {
    let per_second = (cores * PLACED_TASKS_PER_CORE_SECOND).max(MIN_PLACED_TASKS_PER_SECOND);
    let burst = (per_second * PLACEMENT_BURST_S).max(MAX_TASKS_PER_PASS as f64);
    Budget::new(per_second, burst)
}

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
    /// Whether a machine may be given new work at all.
    pub(crate) fn usable(&self, m: &Machine, now: Instant) -> bool {
        m.state == MachineState::Up
            && m.verified
            && !m.is_unreachable()
            && !m.draining
            && m.reclaim_at.is_none()
            && m.unschedulable_until <= now
            && !m.silent(now, self.policy.silence())
    }

    /// How many more tasks the team's limit lets start.
    pub(crate) fn headroom(
        &self,
        spec: &JobSpec,
        team: Option<TeamIndex>,
        used: &[Resources],
    ) -> u32 {
        let (Some(no), Some(team)) = (team, self.policy.team(team)) else {
            return 0;
        };
        let used = used.get(no.0).copied().unwrap_or_default();
        let bound = |max: f64, used: f64| if max > 0.0 { max - used } else { f64::INFINITY };
        let room = Resources {
            cpus: bound(team.cpus_max, used.cpus),
            gpus: bound(team.gpus_max, used.gpus),
            ram_gb: f64::INFINITY,
        };
        Resources::of(spec).count_in(&room, spec.tasks)
    }

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
        let attempt_id = self.fresh_attempt();
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
        let mut deferred: Vec<(QueuePosition, JobId)> = Vec::new();
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
                    deferred.push((position, job_id));
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
            if let Some(job) = self.jobs.get_mut(job_id) {
                job.waits_since.get_or_insert(now);
            }
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
        let Some(job) = self.jobs.get_mut(job_id) else {
            return;
        };
        job.incomplete = false;
        if locality == ImageLocality::Required {
            // The machines that it waits for do come free.
            job.waits_since = None;
        }
        let is_gang = job.is_all_or_nothing();
        let is_latency = self.jobs.graph.label(job_id) == Label::Latency;
        for placement in plan.placements {
            let Placement {
                task,
                machine,
                image_wait_s,
            } = placement;
            tracing::debug!(task = %task, machine = %machine, "task placed");
            self.release_for_use(&machine, job_id);
            let mut attempt = self.new_attempt(&machine, task.clone(), attempt_id, now);
            attempt.image_s = is_gang.then_some(image_wait_s);
            attempt.latency = is_latency;
            let placed = LaunchIntent::new(&machine, &attempt.key());
            self.insert_attempt(&machine, attempt);
            self.add_place(&machine, &task);
            self.writer.intents.wait(placed);
        }
    }

    /// A machine is given a task of the job: it is not idle any more, and a reservation for the job has
    /// served its purpose.
    fn release_for_use(&mut self, machine_id: &MachineId, job_id: &JobId) {
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        machine.idle_since = None;
        let reservation = machine.reservation.as_ref();
        if reservation.is_some_and(|(holder, _)| holder == job_id) {
            machine.reservation = None;
        }
    }
}
