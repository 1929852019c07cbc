//! Preemption: stopping tasks to make room, as far as the protocol allows it, for a job of higher priority or
//! to give a team its guaranteed share at the cost of tasks that another team runs beyond its own.
//!
//! Decisions return [`Eviction`]s; [`Scheduler::evict`] alone carries them out.

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

/// Machines emptied in one round, and one more for each so many that there are: the effect of the
/// first is seen before the next.
const MIN_MACHINES_PER_ROUND: usize = 2;
const MACHINES_PER_EXTRA_EVICTION: usize = 100;
/// Jobs for which ways to make room are looked for in one round.
pub(super) const MAX_JOBS_PER_ROUND: usize = 24;
/// A machine emptied for a job is reserved for it this long.
const RESERVATION_AFTER_EVICTION: TimeSpan = TimeSpan(20_000);
/// A pull that takes fewer seconds than this is no reason to preempt.
const MIN_PULL_WORTH_PREEMPTING_S: f64 = 8.0;
/// Victims may take at most this fraction of the pull to stop, if they make way for a job whose image is there.
const MAX_GRACE_FRACTION_OF_PULL: f64 = 0.5;

impl Scheduler {
    /// Makes room for pending jobs that would otherwise start too late.
    pub(crate) fn preempt(&mut self, now: Instant, unplaced: &[UnplacedTasks]) {
        if unplaced.is_empty() || !self.placement.start_preemption_if_due(now) {
            return;
        }
        let view = self.placement_view(now);
        let guaranteed_jobs = view.guaranteed_jobs();
        let lowest_priority = view.lowest_priority();
        let max_evictions =
            MIN_MACHINES_PER_ROUND + self.machines.len() / MACHINES_PER_EXTRA_EVICTION;
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

    /// Reserves machines for a job and stops the tasks that are in its way there.
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
            self.outbox
                .machines_to_review
                .insert(eviction.machine_id.clone());
            self.outbox.pushes_due.insert(eviction.machine_id);
        }
    }
}

impl PlacementView<'_> {
    /// The machines to be emptied for a job with so many tasks that found no room: one at a time, but for a
    /// gang as many as it needs at once, for fewer would not help. Empty if there are not enough, or if
    /// enough are free or being emptied.
    fn evictions(&self, preemptor: &Preemptor<'_>, unplaced_count: u32) -> Vec<Eviction> {
        let machines_needed = if preemptor.job.needs_gang_scheduling() {
            unplaced_count
        } else {
            1
        };
        let available = self.machines_available_to(preemptor);
        let wanted = machines_needed.saturating_sub(available) as usize;
        if wanted == 0 {
            return Vec::new();
        }
        let evictions = self
            .machines()
            .values()
            .filter_map(|machine| self.eviction(machine, preemptor))
            .collect();
        cheapest(evictions, wanted)
    }

    /// How many machines have room for a task of the job, or are being emptied for it.
    fn machines_available_to(&self, preemptor: &Preemptor<'_>) -> u32 {
        let is_available = |machine: &&Machine| match machine.reserved_for(self.now()) {
            Some(holder) => holder == preemptor.id,
            None => has_room_for(machine, preemptor) && self.is_usable(machine),
        };
        self.machines().values().filter(is_available).count() as u32
    }

    /// Whether machines with the job's image are being emptied for it.
    pub(super) fn is_room_being_made_for(&self, job_id: &JobId) -> bool {
        let Some(job) = self.jobs().get(job_id) else {
            return false;
        };
        self.machines().values().any(|machine| {
            machine.reserved_for(self.now()) == Some(job_id)
                && machine.has_image(&job.spec().image)
                && self.is_usable(machine)
                && machine
                    .live_attempts()
                    .any(|attempt| attempt.stop.is_some())
        })
    }

    /// The machines with the job's image to be emptied for it, if that gains time: all that it needs, or none.
    pub(super) fn evictions_for_image(&self, job_id: &JobId) -> Vec<Eviction> {
        // Only tasks of lower priority go: nothing is inside a guarantee for this.
        let no_guaranteed_jobs = BTreeSet::new();
        let Some(preemptor) = Preemptor::new(self, job_id, &no_guaranteed_jobs) else {
            return Vec::new();
        };
        let spec = preemptor.job.spec();
        let pull_s = self.shortest_image_fetch_s(spec);
        // A job that has failed may be mistaken: nothing is stopped for it.
        if !self.is_large_task(spec)
            || pull_s < MIN_PULL_WORTH_PREEMPTING_S
            || !preemptor.job.retry().failed_on().is_empty()
        {
            return Vec::new();
        }
        let machines_with_image = || {
            self.machines()
                .values()
                .filter(|machine| machine.has_image(&spec.image) && self.is_usable(machine))
        };
        if machines_with_image().any(|machine| has_room_for(machine, &preemptor)) {
            return Vec::new();
        }
        let max_grace_s = pull_s * MAX_GRACE_FRACTION_OF_PULL;
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

    /// Whether the job would miss the time by which it should start if it waited for a machine to be rented, or
    /// none can be rented.
    fn would_start_late(&self, job: &Job) -> bool {
        let spec = job.spec();
        let waited_s = (self.now() - job.ready_at()).secs();
        let misses_objective = self
            .policy()
            .max_start_delay_s(&spec.class)
            .is_some_and(|within_s| waited_s + self.shortest_boot_s(spec) > within_s);
        misses_objective || !self.may_scale_out_for(spec)
    }

    /// Seconds that the machine type which is quickest to boot takes, of those on which a task fits.
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

/// Whether one more task of the job could start on the machine as it is.
fn has_room_for(machine: &Machine, preemptor: &Preemptor<'_>) -> bool {
    Resources::of(preemptor.job.spec()).fits(machine.free())
        && preemptor.start_check.check(machine).is_ok()
}
