//! Simulated gangs: members on different machines start together, complete together, and detect lost
//! members.

use super::attempt::Attempt;
use super::worker::Worker;
use super::workload::Workload;
use chalklug::config::WorkerTimes;
use chalklug::ids::{AttemptId, JobId, MachineId};
use chalklug::protocol::users::Shape;
use chalklug::protocol::workers::{Cause, TaskPhase};
use chalklug::time::{Instant, TimeSpan};
use std::collections::{BTreeMap, BTreeSet};

/// An attempt of a whole gang, whose members share the attempt id.
type GangAttempt = (JobId, AttemptId);

/// The states of all gang members, as their peers see them.
#[derive(Default)]
struct GangMembers {
    /// Phases of the members that haven't ended, on responsive machines.
    phases: BTreeMap<GangAttempt, Vec<TaskPhase>>,
    /// Gangs with a member that is done.
    done: BTreeSet<GangAttempt>,
}

impl GangMembers {
    fn collect(
        now: Instant,
        workers: &BTreeMap<MachineId, Worker>,
        workload: &Workload,
    ) -> GangMembers {
        let mut members = GangMembers::default();
        for worker in workers.values() {
            for ((task, attempt_id), attempt) in &worker.attempts {
                if workload.spec(&task.job).shape != Shape::Gang {
                    continue;
                }
                let gang = (task.job.clone(), *attempt_id);
                if attempt.cause == Some(Cause::Done) {
                    members.done.insert(gang.clone());
                }
                if !attempt.has_ended() && worker.is_responsive(now) {
                    let phases = members.phases.entry(gang).or_default();
                    phases.push(attempt.phase);
                }
            }
        }
        members
    }
}

/// Advances each gang member according to the states of the others.
pub fn advance(
    now: Instant,
    workers: &mut BTreeMap<MachineId, Worker>,
    workload: &Workload,
    times: &WorkerTimes,
) {
    let members = GangMembers::collect(now, workers, workload);
    let peer_timeout = TimeSpan::from_secs(times.gang_peer_timeout_s);
    for worker in workers.values_mut().filter(|w| w.is_responsive(now)) {
        let mut changed = false;
        for ((task, attempt_id), attempt) in worker.attempts.iter_mut() {
            let gang = (task.job.clone(), *attempt_id);
            let Some(phases) = members.phases.get(&gang) else {
                continue;
            };
            let complete = phases.len() == workload.spec(&task.job).tasks as usize;
            let done = members.done.contains(&gang);
            changed |= advance_member(now, attempt, phases, complete, done, peer_timeout);
        }
        if changed {
            worker.request_early_heartbeat();
        }
    }
}

/// Advances a gang member and returns whether its phase changed.
fn advance_member(
    now: Instant,
    attempt: &mut Attempt,
    phases: &[TaskPhase],
    complete: bool,
    done: bool,
    peer_timeout: TimeSpan,
) -> bool {
    match attempt.phase {
        TaskPhase::Waiting if complete && !phases.contains(&TaskPhase::Fetching) => {
            attempt.run(now);
        }
        TaskPhase::Running if done => attempt.end(Cause::Done),
        TaskPhase::Running if !complete && attempt.running_for(now) > peer_timeout => {
            attempt.end(Cause::MatesGone);
        }
        _ => return false,
    }
    true
}
