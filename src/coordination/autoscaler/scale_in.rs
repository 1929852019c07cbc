//! Scale-in: chooses the machines to terminate, and handles the outcomes of the requests.
//!
//! A machine that is being terminated gets no new work. It stays in the machine table until the cloud has
//! confirmed its termination, since only then has everything on it certainly ended.

use super::suspected_zones::{mostly_silent_zones, zone_silence_timeout};
use super::view::AutoscalerView;
use super::Autoscaler;
use crate::coordination::machines::machine::{Machine, MachineState};
use crate::coordination::{ClusterView, Effect, Scheduler};
use crate::ids::MachineId;
use crate::time::{Instant, TimeSpan};

/// Most machines that one request may name, by the cloud's protocol.
const MAX_MACHINES_PER_REQUEST: usize = 100;
/// Boot timeout as a multiple of the machine type's boot time.
const MAX_BOOT_TIME_FACTOR: f64 = 4.0;
/// Seconds added to the boot timeout, for machine types that boot almost at once.
const BOOT_TIMEOUT_MARGIN_SECS: f64 = 20.0;
/// Factor of the idle timeout if the last forecast assigned no task to the machine. The timeout is the product of
/// this factor, the setting `idle_boots` and the time to replace the machine.
const IDLE_TIMEOUT_FACTOR_SPARE: f64 = 0.6;
/// Factor of the idle timeout if the last forecast assigned tasks to the machine.
const IDLE_TIMEOUT_FACTOR_IN_FORECAST: f64 = 3.0;
/// Factor of the idle timeout while no job is pending and none is expected.
const IDLE_TIMEOUT_FACTOR_SUBSIDED: f64 = 0.1;
/// Time after which a draining machine is terminated even if task attempts on it have not ended.
pub(super) const DRAIN_TIMEOUT: TimeSpan = TimeSpan(20_000);
/// Time after which the termination of a machine is requested again if it was not confirmed.
const CONFIRMATION_TIMEOUT: TimeSpan = TimeSpan(10_000);
/// Delay after a failed request before another one is sent.
const FAILURE_BACKOFF: TimeSpan = TimeSpan(1_000);
/// Delay after a failed request before the termination of its machines is requested again.
const FAILURE_RETRY_DELAY: TimeSpan = TimeSpan(2_000);

/// Why a machine is terminated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ScaleInReason {
    /// The machine has been silent for too long, and its zone is not suspected of being cut off.
    Silent,
    /// The machine's worker did not come up within the boot timeout.
    BootTimeout,
    /// The cloud lists the machine as failed.
    FailedInCloud,
    /// The machine has been idle for too long.
    Idle,
    /// The machine was drained.
    Drained,
    /// The machine's termination was requested before, but not confirmed.
    Unconfirmed,
}

/// A machine to terminate.
struct Termination {
    machine_id: MachineId,
    reason: ScaleInReason,
}

/// What the choice of machines to terminate depends on, apart from the machine itself.
struct ScaleInRules<'a> {
    view: AutoscalerView<'a>,
    /// The silence after which a machine counts as lost; None until the term has lasted longer than that.
    max_silence: Option<TimeSpan>,
    /// Whether no startable job is pending and no job is expected.
    has_demand_subsided: bool,
}

impl Scheduler {
    /// Terminates machines that are lost, drained or have been idle for too long.
    pub(super) fn scale_in(&mut self, now: Instant) {
        let max_silence = self.policy.heartbeat_timeout();
        let is_silence_conclusive = self.leadership.age(now) > max_silence;
        if is_silence_conclusive {
            let zones = mostly_silent_zones(&self.view(now));
            let until = now + zone_silence_timeout(&self.policy);
            self.autoscaler.suspected_zones.update(now, zones, until);
        }
        let rules = ScaleInRules {
            view: self.autoscaler_view(now),
            max_silence: is_silence_conclusive.then_some(max_silence),
            has_demand_subsided: !has_startable_pending_job(&self.view(now))
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
                machine.push_not_before = now + CONFIRMATION_TIMEOUT;
            }
            self.machines.reindex(&machine_id);
            machine_ids.push(machine_id);
        }
        self.effects.push(Effect::ScaleIn { machine_ids });
    }

    /// Handles the confirmation that machines are terminated: everything on them has ended.
    pub(crate) fn machines_terminated(&mut self, now: Instant, machine_ids: &[MachineId]) {
        for id in machine_ids {
            self.ledger().machine_terminated(now, id);
            self.machines.terminated.insert(id.clone());
            if let Some(machine) = self.machines.remove(id) {
                if machine.push_in_flight.is_some() {
                    self.work_queues.pushes_in_flight =
                        self.work_queues.pushes_in_flight.saturating_sub(1);
                }
                if let Some(page) = machine.page {
                    self.writer.remove_machine(now, page, id);
                }
            }
            self.machines.reindex(id);
        }
        self.placement.request_pass();
    }

    /// Handles the failure of a scale-in request.
    pub(crate) fn scale_in_failed(&mut self, now: Instant, machine_ids: &[MachineId]) {
        self.autoscaler.scale_in_not_before = now + FAILURE_BACKOFF;
        for id in machine_ids {
            if let Some(machine) = self.machines.get_mut(id) {
                machine.push_not_before = now + FAILURE_RETRY_DELAY;
            }
        }
    }
}

impl Autoscaler {
    /// Whether a request may be sent now; if so, counts it against the cloud's rate limit.
    fn may_request_scale_in(&mut self, now: Instant) -> bool {
        now >= self.scale_in_not_before && self.api_calls.try_take(now, 1.0)
    }
}

/// Whether any job is pending that idle machines may be kept for.
///
/// Guards against keeping idle machines for jobs submitted with an error, which fail on every machine: two such jobs
/// kept about 120 machines for 100 s after the last arrival, until they were cancelled.
fn has_startable_pending_job(cluster: &ClusterView<'_>) -> bool {
    let mut pending = cluster.jobs.pending();
    pending.any(|(_, job)| !job.fails_everywhere())
}

impl ScaleInRules<'_> {
    /// Returns the machines to terminate, ordered by id.
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

    /// Returns why a machine has to be terminated; None if it is kept.
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
        let timeout_s = boot_s * MAX_BOOT_TIME_FACTOR + BOOT_TIMEOUT_MARGIN_SECS;
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
            && (self.view.now() - idle_since).secs() > self.idle_timeout_s(machine)
    }

    /// Returns the idle timeout of a machine in seconds, in proportion to the time to replace the machine.
    fn idle_timeout_s(&self, machine: &Machine) -> f64 {
        let spare_machines = &self.view.autoscaler().spare_machines;
        let factor = if self.has_demand_subsided {
            IDLE_TIMEOUT_FACTOR_SUBSIDED
        } else if spare_machines.contains(&machine.id) {
            IDLE_TIMEOUT_FACTOR_SPARE
        } else {
            IDLE_TIMEOUT_FACTOR_IN_FORECAST
        };
        self.replacement_s(machine) * self.view.policy().operator.idle_timeout_factor * factor
    }

    /// Returns the time to replace a machine in seconds: to boot a new one and fetch the machine's largest image.
    /// Keeping the machine idle for that long costs at most twice as much as the best choice in hindsight.
    fn replacement_s(&self, machine: &Machine) -> f64 {
        let largest_image_gb = machine.images.sizes_gb().fold(0.0, f64::max);
        let machine_type = &machine.machine_type;
        let boot_s = self.view.boot_s(machine_type);
        boot_s + self.view.fetch_s(machine_type, largest_image_gb)
    }
}
