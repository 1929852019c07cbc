//! Gangs that are broken: a gang of which a member is stopped or lost stops as a whole, for its members would
//! only wait for each other, and an orderly stop must reach all of them within `gang_peer_s`.

use crate::coordination::attempts::ledger::{StopRequest, TaskAttempt};
use crate::coordination::attempts::stops::SAVE_MARGIN_SECS;
use crate::coordination::Scheduler;
use crate::ids::{JobId, MachineId};
use crate::protocol::workers::TaskPhase;
use crate::time::{Instant, TimeSpan};
use std::collections::BTreeSet;

/// What becomes of a gang that may be broken.
enum GangVerdict {
    /// It is whole, closed, or nowhere.
    Keep,
    /// It is broken; its members are stopped when they have their images.
    AwaitImages,
    /// All its members are stopped.
    Stop(GangStop),
}

/// How the members of a gang are stopped.
struct GangStop {
    machine_ids: BTreeSet<MachineId>,
    /// Seconds that they are given to save their progress.
    grace_s: f64,
    /// Whether the machines are reserved for the gang's next attempt.
    reserves_machines: bool,
}

impl Scheduler {
    /// Stops what is left of broken gangs.
    pub(super) fn stop_broken_gangs(&mut self, now: Instant) {
        let mut awaiting_images = BTreeSet::new();
        for job_id in std::mem::take(&mut self.outbox.gangs_to_check) {
            match self.judge_gang(&job_id) {
                GangVerdict::Keep => {}
                GangVerdict::AwaitImages => drop(awaiting_images.insert(job_id)),
                GangVerdict::Stop(stop) => self.stop_gang(now, &job_id, stop),
            }
        }
        self.outbox.gangs_to_check = awaiting_images;
    }

    fn judge_gang(&self, job_id: &JobId) -> GangVerdict {
        let Some(job) = self.jobs.get(job_id) else {
            return GangVerdict::Keep;
        };
        if job.is_closed() || !job.needs_gang_scheduling() || job.placements().is_empty() {
            return GangVerdict::Keep;
        }
        let machine_ids: BTreeSet<MachineId> =
            job.placements().values().flatten().cloned().collect();
        let has_stopping = self.any_member(job_id, &machine_ids, |member| member.stop.is_some());
        if !has_stopping && job.pending().is_empty() {
            return GangVerdict::Keep;
        }
        // Guards against a fetch given up when it was nearly done: a member that had its image sooner gave
        // up waiting, and with it went the fetch of the other, again and again. The others are stopped,
        // which they are at once, when they have theirs too.
        if job.gang_attempt_failed() && !has_stopping {
            let fetches = |member: &TaskAttempt| {
                let status = member.last_status;
                status.is_some_and(|status| status.phase == TaskPhase::Fetching)
            };
            if self.any_member(job_id, &machine_ids, fetches) {
                return GangVerdict::AwaitImages;
            }
        }
        let grace_s = if job.pending().is_empty() {
            job.spec().checkpoint_duration_s + SAVE_MARGIN_SECS
        } else {
            0.0
        };
        GangVerdict::Stop(GangStop {
            machine_ids,
            grace_s,
            reserves_machines: job.gang_attempt_failed(),
        })
    }

    fn any_member(
        &self,
        job_id: &JobId,
        machine_ids: &BTreeSet<MachineId>,
        test: impl Fn(&TaskAttempt) -> bool,
    ) -> bool {
        let machines = machine_ids.iter().filter_map(|id| self.machines.get(id));
        machines
            .flat_map(|machine| machine.live_attempts())
            .any(|attempt| attempt.task.job == *job_id && test(attempt))
    }

    fn stop_gang(&mut self, now: Instant, job_id: &JobId, stop: GangStop) {
        let lease = TimeSpan::from_secs(self.policy.facts.workers.lease_s);
        for machine_id in stop.machine_ids {
            let Some(machine) = self.machines.get_mut(&machine_id) else {
                continue;
            };
            if stop.reserves_machines {
                machine.reserve_for(job_id.clone(), now + lease);
            }
            for attempt in machine.attempts.iter_mut() {
                if attempt.task.job == *job_id && !attempt.has_ended() && attempt.stop.is_none() {
                    attempt.stop = Some(StopRequest::new(stop.grace_s));
                }
            }
            self.outbox.machines_to_review.insert(machine_id.clone());
            self.outbox.pushes_due.insert(machine_id);
        }
    }
}
