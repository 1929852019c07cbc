//! Preemption: stops tasks, as far as the protocol allows it, to make room for a job of higher priority, or to
//! give a team its guaranteed share at the expense of a team that exceeds its own.
//!
//! Decisions return [`Eviction`]s; only [`Scheduler::evict`] executes them.

use super::eviction::{cheapest, Preemptor};
use super::view::PlacementView;
use super::UnplacedTasks;
use crate::coordination::jobs::job::Job;
use crate::coordination::machines::machine::Machine;
use crate::coordination::Scheduler;
use crate::ids::JobId;
use crate::protocol::users::JobSpec;
use crate::resources::Resources;
use crate::time::{Instant, TimeSpan};
use std::collections::BTreeSet;

pub(super) use super::eviction::Eviction;

/// The number of evictions in one round: this many, and one more for every `MACHINES_PER_EXTRA_EVICTION`
/// machines in the cluster. The limit lets the effect of the first evictions be seen before the next.
const MIN_EVICTIONS_PER_ROUND: usize = 2;
const MACHINES_PER_EXTRA_EVICTION: usize = 100;
/// The number of jobs for which evictions are searched in one round.
pub(super) const MAX_JOBS_PER_ROUND: usize = 24;
/// How long a machine is reserved for a job after tasks were evicted for it.
const RESERVATION_AFTER_EVICTION: TimeSpan = TimeSpan(20_000);
/// No tasks are evicted to avoid an image fetch that takes fewer seconds than this.
const MIN_FETCH_FOR_PREEMPTION_S: f64 = 8.0;
/// If tasks are evicted to avoid an image fetch, their grace periods have to be shorter than this fraction of
/// it.
const MAX_GRACE_FRACTION_OF_FETCH: f64 = 0.5;

impl Scheduler {
    /// Evicts tasks for pending jobs that would otherwise start too late.
    pub(crate) fn preempt(&mut self, now: Instant, unplaced: &[UnplacedTasks]) {
        if unplaced.is_empty() || !self.placement.start_preemption_if_due(now) {
            return;
        }
        let view = self.placement_view(now);
        let guaranteed_jobs = view.guaranteed_jobs();
        let lowest_priority = view.lowest_priority();
        let max_evictions =
            MIN_EVICTIONS_PER_ROUND + self.machines.len() / MACHINES_PER_EXTRA_EVICTION;
        let mut eviction_count = 0;
        let mut job_count = 0;
        for tasks in unplaced {
            if eviction_count >= max_evictions || job_count >= MAX_JOBS_PER_ROUND {
                return;
            }
            let view = self.placement_view(now);
            let Some(preemptor) = Preemptor::new(&view, &tasks.job, &guaranteed_jobs) else {
                continue;
            };
            if !preemptor.may_preempt(lowest_priority) || !view.would_start_late(preemptor.job) {
                continue;
            }
            job_count += 1;
            let evictions = view.evictions(&preemptor, tasks.count);
            eviction_count += evictions.len();
            self.evict(now, &tasks.job, evictions);
        }
    }

    /// Reserves the machines for a job and requests the stop of the victims on them.
    pub(super) fn evict(&mut self, now: Instant, job_id: &JobId, evictions: Vec<Eviction>) {
        for eviction in evictions {
            tracing::debug!(
                job = %job_id,
                machine = %eviction.machine_id,
                count = eviction.victims.len(),
                cost_s = eviction.cost_s,
                "preempting tasks"
            );
            let Some(machine) = self.machines.get_mut(&eviction.machine_id) else {
                continue;
            };
            machine.reserve_for(job_id.clone(), now + RESERVATION_AFTER_EVICTION);
            for victim in eviction.victims {
                self.request_stop(&eviction.machine_id, &victim.attempt, victim.grace_s);
            }
            self.work_queues
                .machines_to_review
                .insert(eviction.machine_id.clone());
            self.work_queues.pushes_due.insert(eviction.machine_id);
        }
    }
}

impl PlacementView<'_> {
    /// Returns the evictions for a job with `unplaced_count` unplaced tasks: on one machine at a time or, for a
    /// gang, on as many as it needs, since fewer would not help. Empty if there are not enough machines to
    /// evict from, or if enough are free or being emptied for the job.
    fn evictions(&self, preemptor: &Preemptor<'_>, unplaced_count: u32) -> Vec<Eviction> {
        let machines_needed = if preemptor.job.needs_gang_scheduling() {
            unplaced_count
        } else {
            1
        };
        let available = self.machines_available_to(preemptor);
        let evictions_needed = machines_needed.saturating_sub(available) as usize;
        if evictions_needed == 0 {
            return Vec::new();
        }
        let evictions = self
            .machines()
            .values()
            .filter_map(|machine| self.eviction(machine, preemptor))
            .collect();
        cheapest(evictions, evictions_needed)
    }

    /// The number of machines that have room for a task of the job or are reserved for it.
    fn machines_available_to(&self, preemptor: &Preemptor<'_>) -> u32 {
        let is_available = |machine: &&Machine| match machine.reserved_for(self.now()) {
            Some(holder) => holder == preemptor.id,
            None => has_room_for(machine, preemptor) && self.is_schedulable(machine),
        };
        self.machines().values().filter(is_available).count() as u32
    }

    /// Whether tasks are being stopped for the job on a machine that has its image.
    pub(super) fn has_eviction_in_progress(&self, job_id: &JobId) -> bool {
        let Some(job) = self.jobs().get(job_id) else {
            return false;
        };
        self.machines().values().any(|machine| {
            machine.reserved_for(self.now()) == Some(job_id)
                && machine.has_image(&job.spec().image)
                && self.is_schedulable(machine)
                && machine
                    .live_attempts()
                    .any(|attempt| attempt.stop.is_some())
        })
    }

    /// Returns evictions on machines that have the job's image, one for each pending task, if that saves time.
    /// Empty if there are not enough such machines.
    pub(super) fn evictions_for_image(&self, job_id: &JobId) -> Vec<Eviction> {
        // Only tasks of lower priority are evicted to avoid a fetch, whatever the guaranteed shares.
        let no_guaranteed_jobs = BTreeSet::new();
        let Some(preemptor) = Preemptor::new(self, job_id, &no_guaranteed_jobs) else {
            return Vec::new();
        };
        let spec = preemptor.job.spec();
        let fetch_s = self.shortest_image_fetch_s(spec);
        // A job that has failed may be faulty: no tasks are stopped for it.
        if !self.is_large_task(spec)
            || fetch_s < MIN_FETCH_FOR_PREEMPTION_S
            || !preemptor.job.retry().failed_on().is_empty()
        {
            return Vec::new();
        }
        let machines_with_image = || {
            self.machines()
                .values()
                .filter(|machine| machine.has_image(&spec.image) && self.is_schedulable(machine))
        };
        if machines_with_image().any(|machine| has_room_for(machine, &preemptor)) {
            return Vec::new();
        }
        let max_grace_s = fetch_s * MAX_GRACE_FRACTION_OF_FETCH;
        let evictions = machines_with_image()
            .filter_map(|machine| self.eviction(machine, &preemptor))
            .filter(|eviction| {
                eviction
                    .victims
                    .iter()
                    .all(|victim| victim.grace_s < max_grace_s)
            })
            .collect();
        cheapest(evictions, preemptor.job.pending().len())
    }

    /// Whether the job would miss its start-delay objective if it waited for a machine to be rented, or none
    /// can be rented.
    fn would_start_late(&self, job: &Job) -> bool {
        let spec = job.spec();
        let waited_s = (self.now() - job.ready_at()).secs();
        let misses_objective = self
            .policy()
            .max_start_delay_s(&spec.class)
            .is_some_and(|within_s| waited_s + self.shortest_boot_s(spec) > within_s);
        misses_objective || !self.may_scale_out_for(spec)
    }

    /// The shortest boot time in seconds among the machine types on which a task of the job fits.
    fn shortest_boot_s(&self, spec: &JobSpec) -> f64 {
        let request = Resources::of(spec);
        self.machines()
            .types
            .values()
            .filter(|info| request.fits(&self.machines().capacity(&info.name)))
            .map(|info| info.boot_s)
            .fold(f64::INFINITY, f64::min)
    }
}

/// Whether one more task of the job could start on the machine without evictions.
fn has_room_for(machine: &Machine, preemptor: &Preemptor<'_>) -> bool {
    Resources::of(preemptor.job.spec()).fits(machine.free())
        && preemptor.start_check.check(machine).is_ok()
}
