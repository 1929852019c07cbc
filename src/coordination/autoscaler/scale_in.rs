//! Scale-in: which machines are given back to the cloud, and what becomes of the request.
//!
//! A machine that is being given back takes no work any more, and stays in the machine table until the
//! cloud has confirmed that it is terminated: only then has everything on it certainly ended.

use super::suspected_zones::{mostly_silent_zones, zone_silence_bound};
use super::view::AutoscalerView;
use super::Autoscaler;
use crate::coordination::machines::machine::{Machine, MachineState};
use crate::coordination::{ClusterView, Effect, Scheduler};
use crate::ids::MachineId;
use crate::time::{Instant, TimeSpan};

/// The most machines that one request may name, by the cloud's protocol.
const MAX_MACHINES_PER_REQUEST: usize = 100;
/// A booting machine is given up after this many boot times...
const MAX_BOOT_TIMES: f64 = 4.0;
/// ...and so many seconds, for types that boot in a moment.
const BOOT_TIMEOUT_MARGIN_SECS: f64 = 20.0;
/// An idle machine is kept for so many times what it would take to replace it, if the forecast has no use
/// for it.
const KEEP_FACTOR_SPARE: f64 = 0.6;
/// The same if the forecast has a use for it.
const KEEP_FACTOR_IN_FORECAST: f64 = 3.0;
/// The same when nothing waits and nothing is to be expected.
const KEEP_FACTOR_SUBSIDED: f64 = 0.1;
/// A draining machine is given back after this even if something on it does not end.
pub(super) const DRAIN_TIMEOUT: TimeSpan = TimeSpan(20_000);
/// A request without an answer is repeated after this.
const ANSWER_TIMEOUT: TimeSpan = TimeSpan(10_000);
/// After a failed request none is sent for this long.
const FAILURE_PAUSE: TimeSpan = TimeSpan(1_000);
/// The machines of a failed request are named again after this.
const FAILURE_RETRY_DELAY: TimeSpan = TimeSpan(2_000);

/// Why a machine is given back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ScaleInReason {
    /// It has been silent for too long, and its zone does not seem to be cut off.
    Silent,
    /// Its worker has not come up in time.
    BootTimeout,
    /// The cloud lists it as failed.
    FailedInCloud,
    /// It has been idle for too long.
    Idle,
    /// It was drained.
    Drained,
    /// It was to be given back before, which was not confirmed.
    Unconfirmed,
}

/// A machine that is to be given back.
struct Termination {
    machine_id: MachineId,
    reason: ScaleInReason,
}

/// What a choice of machines to be given back goes by, beside the machine itself.
struct ScaleInRules<'a> {
    view: AutoscalerView<'a>,
    /// The silence after which a machine is given up; None while a new leader can't tell yet.
    max_silence: Option<TimeSpan>,
    /// Nothing waits, and nothing is to be expected.
    is_demand_subsided: bool,
}

impl Scheduler {
    /// Gives back machines that are lost, of no use or drained.
    pub(super) fn scale_in(&mut self, now: Instant) {
        let max_silence = self.policy.heartbeat_timeout();
        let is_silence_conclusive = self.leadership.age(now) > max_silence;
        if is_silence_conclusive {
            let zones = mostly_silent_zones(&self.view(now));
            let until = now + zone_silence_bound(&self.policy);
            self.autoscaler.suspected_zones.update(now, zones, until);
        }
        let rules = ScaleInRules {
            view: self.autoscaler_view(now),
            max_silence: is_silence_conclusive.then_some(max_silence),
            is_demand_subsided: !has_startable_pending_job(&self.view(now))
                && self.autoscaler.arrivals.have_subsided(now),
        };
        let chosen = rules.choose();
        if !chosen.is_empty() && self.autoscaler.may_request_scale_in(now) {
            self.request_scale_in(now, chosen);
        }
    }

    fn request_scale_in(&mut self, now: Instant, chosen: Vec<Termination>) {
        let mut machine_ids = Vec::new();
        for Termination { machine_id, reason } in chosen.into_iter().take(MAX_MACHINES_PER_REQUEST)
        {
            if let Some(machine) = self.machines.get_mut(&machine_id) {
                tracing::debug!(
                    machine = %machine_id,
                    ?reason,
                    last_message_at = ?machine.last_message_at,
                    "scale-in requested"
                );
                machine.state = MachineState::Terminating;
                machine.push_not_before = now + ANSWER_TIMEOUT;
            }
            self.machines.reindex(&machine_id);
            machine_ids.push(machine_id);
        }
        self.effects.push(Effect::ScaleIn { machine_ids });
    }

    /// The cloud confirmed that machines are terminated: whatever was on them has ended.
    pub(crate) fn machines_terminated(&mut self, now: Instant, machine_ids: &[MachineId]) {
        for id in machine_ids {
            self.ledger().machine_terminated(now, id);
            self.machines.terminated.insert(id.clone());
            if let Some(machine) = self.machines.remove(id) {
                if machine.push_in_flight.is_some() {
                    self.outbox.pushes_in_flight = self.outbox.pushes_in_flight.saturating_sub(1);
                }
                if let Some(page) = machine.page {
                    self.writer.remove_machine(now, page, id);
                }
            }
            self.machines.reindex(id);
        }
        self.placement.request_pass();
    }

    /// The cloud did not confirm a scale-in request.
    pub(crate) fn scale_in_failed(&mut self, now: Instant, machine_ids: &[MachineId]) {
        self.autoscaler.scale_in_not_before = now + FAILURE_PAUSE;
        for id in machine_ids {
            if let Some(machine) = self.machines.get_mut(id) {
                machine.push_not_before = now + FAILURE_RETRY_DELAY;
            }
        }
    }
}

impl Autoscaler {
    /// Whether a request may be sent now; it counts against the cloud's rate.
    fn may_request_scale_in(&mut self, now: Instant) -> bool {
        now >= self.scale_in_not_before && self.api_calls.try_take(now, 1.0)
    }
}

/// Whether any job waits that idle machines may be kept for.
///
/// Guards against idle machines that are kept for jobs submitted with a mistake: on the recorded day
/// a974 some 120 of them stayed for 100 s after the last arrival, until two such jobs were cancelled.
fn has_startable_pending_job(cluster: &ClusterView<'_>) -> bool {
    let mut pending = cluster.jobs.pending();
    pending.any(|(_, job)| !job.fails_everywhere())
}

impl ScaleInRules<'_> {
    /// The machines to be given back, in the order of their ids.
    fn choose(&self) -> Vec<Termination> {
        let machines = self.view.machines().values();
        machines
            .filter_map(|machine| {
                Some(Termination {
                    reason: self.reason(machine)?,
                    machine_id: machine.id.clone(),
                })
            })
            .collect()
    }

    /// Why a machine is to be given back; None if it is kept.
    fn reason(&self, machine: &Machine) -> Option<ScaleInReason> {
        if machine.state == MachineState::Terminating {
            let is_due = machine.push_not_before <= self.view.now();
            return is_due.then_some(ScaleInReason::Unconfirmed);
        }
        if self.is_silent_for_too_long(machine) {
            Some(ScaleInReason::Silent)
        } else if self.is_boot_overdue(machine) {
            Some(ScaleInReason::BootTimeout)
        } else if machine.is_listed_as_failed() {
            Some(ScaleInReason::FailedInCloud)
        } else if self.is_drained(machine) {
            Some(ScaleInReason::Drained)
        } else if self.is_idle_for_too_long(machine) {
            Some(ScaleInReason::Idle)
        } else {
            None
        }
    }

    fn is_silent_for_too_long(&self, machine: &Machine) -> bool {
        let suspected = &self.view.autoscaler().suspected_zones;
        self.max_silence
            .is_some_and(|max_silence| machine.is_silent(self.view.now(), max_silence))
            && !suspected.contains(&machine.zone)
    }

    fn is_boot_overdue(&self, machine: &Machine) -> bool {
        let boot_s = self.view.boot_s(&machine.machine_type);
        let timeout_s = boot_s * MAX_BOOT_TIMES + BOOT_TIMEOUT_MARGIN_SECS;
        machine.state == MachineState::Booting
            && (self.view.now() - machine.first_known_at).secs() > timeout_s
    }

    fn is_drained(&self, machine: &Machine) -> bool {
        let is_overdue = machine
            .draining_since
            .is_some_and(|since| self.view.now() - since > DRAIN_TIMEOUT);
        machine.draining && (machine.attempts.live_count() == 0 || is_overdue)
    }

    fn is_idle_for_too_long(&self, machine: &Machine) -> bool {
        let autoscaler = &self.view.autoscaler();
        let is_idle = machine.state == MachineState::Up && machine.attempts.live_count() == 0;
        let Some(idle_since) = machine.idle_since.filter(|_| is_idle) else {
            return false;
        };
        !autoscaler.warm_pool.contains(&machine.id)
            && (self.view.now() - idle_since).secs() > self.keep_idle_s(machine)
    }

    /// Seconds for which an idle machine is kept: in proportion to what it would take to replace it.
    fn keep_idle_s(&self, machine: &Machine) -> f64 {
        let spare_machines = &self.view.autoscaler().spare_machines;
        let factor = if self.is_demand_subsided {
            KEEP_FACTOR_SUBSIDED
        } else if spare_machines.contains(&machine.id) {
            KEEP_FACTOR_SPARE
        } else {
            KEEP_FACTOR_IN_FORECAST
        };
        self.replacement_s(machine) * self.view.policy().operator.idle_timeout_factor * factor
    }

    /// Seconds that it would take to have such a machine again: to boot it and fetch its largest image.
    /// Keeping it idle for as long costs at most twice what the best choice in hindsight would have.
    fn replacement_s(&self, machine: &Machine) -> f64 {
        let largest_image_gb = machine.images.sizes_gb().fold(0.0, f64::max);
        let machine_type = &machine.machine_type;
        let boot_s = self.view.boot_s(machine_type);
        boot_s + self.view.fetch_s(machine_type, largest_image_gb)
    }
}
