//! Stops of incomplete gangs. When a member of a gang is stopped or lost, the others are stopped too, because
//! they would only wait for it. A graceful stop must reach all members within the gang peer timeout.

use crate::coordination::attempts::ledger::{StopRequest, TaskAttempt};
use crate::coordination::attempts::stops::checkpoint_grace_s;
use crate::coordination::Scheduler;
use crate::ids::{JobId, MachineId};
use crate::protocol::workers::TaskPhase;
use crate::time::{Instant, TimeSpan};
use std::collections::BTreeSet;

/// What to do with a gang that may have lost a member.
enum GangAction {
    /// The gang is complete, its job is closed, or none of its tasks is placed.
    Keep,
    /// The gang is incomplete; its members are stopped once they have their images.
    AwaitImages,
    /// All members are stopped now.
    Stop(GangStop),
}

/// How to stop the members of a gang.
struct GangStop {
    machine_ids: BTreeSet<MachineId>,
    /// Time that the members get to save a checkpoint, in seconds.
    grace_s: f64,
    /// Whether to reserve the machines for the gang's next attempt.
    reserves_machines: bool,
}

impl Scheduler {
    /// Stops the remaining members of incomplete gangs.
    pub(super) fn stop_broken_gangs(&mut self, now: Instant) {
        let mut gangs_awaiting_images = BTreeSet::new();
        for job_id in std::mem::take(&mut self.work_queues.gangs_to_check) {
            match self.gang_action(&job_id) {
                GangAction::Keep => {}
                GangAction::AwaitImages => drop(gangs_awaiting_images.insert(job_id)),
                GangAction::Stop(stop) => self.stop_gang(now, &job_id, stop),
            }
        }
        self.work_queues.gangs_to_check = gangs_awaiting_images;
    }

    fn gang_action(&self, job_id: &JobId) -> GangAction {
        let Some(job) = self.jobs.get(job_id) else {
            return GangAction::Keep;
        };
        if job.is_closed() || !job.needs_gang_scheduling() || job.placements().is_empty() {
            return GangAction::Keep;
        }
        let machine_ids: BTreeSet<MachineId> =
            job.placement_machines().into_iter().cloned().collect();
        let has_stopping_member =
            self.any_member(job_id, &machine_ids, |member| member.stop.is_some());
        if !has_stopping_member && job.pending().is_empty() {
            return GangAction::Keep;
        }
        // Guards against image fetches that are aborted when nearly done: a member that had its image early
        // timed out waiting for the others, and stopping them aborted their fetches, again and again. The other
        // members are stopped only when they have their images too.
        if job.gang_attempt_failed() && !has_stopping_member {
            let is_fetching = |member: &TaskAttempt| {
                let status = member.last_status;
                status.is_some_and(|status| status.phase == TaskPhase::Fetching)
            };
            if self.any_member(job_id, &machine_ids, is_fetching) {
                return GangAction::AwaitImages;
            }
        }
        let grace_s = if job.pending().is_empty() {
            checkpoint_grace_s(job.spec(), self.policy.max_checkpoint_grace_s())
        } else {
            0.0
        };
        GangAction::Stop(GangStop {
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
            self.work_queues
                .machines_to_review
                .insert(machine_id.clone());
            self.work_queues.pushes_due.insert(machine_id);
        }
    }
}
