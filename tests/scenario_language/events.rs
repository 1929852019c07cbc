//! What happens in a scenario.

use super::rogue::{launch_rogue_task, write_rogue_records};
use super::{parse, submit, Words};
use crate::simulation::worker::Worker;
use crate::simulation::{PartitionMode, Simulation};
use chalklug::ids::{JobId, MachineId};
use chalklug::time::{Instant, TimeSpan};

/// Lets an event of a scenario happen.
pub fn perform(simulation: &mut Simulation, event: &str, rest: &[&str]) {
    let words = Words(rest);
    let until = simulation.now + TimeSpan::from_secs(words.number("for", 0.0));
    let known = perform_on_jobs(simulation, event, rest)
        || perform_on_services(simulation, event, until)
        || perform_on_messages(simulation, event, &words)
        || perform_rogue(simulation, event, rest)
        || perform_on_machine(simulation, event, &words, until);
    assert!(known, "not an event of scenarios: {event}");
}

/// Leaders, and what users do.
fn perform_on_jobs(simulation: &mut Simulation, event: &str, rest: &[&str]) -> bool {
    match event {
        "elect-leader" => simulation.elect_leader(),
        "crash-leader" => simulation.crash_leader(),
        "submit" => submit(simulation, rest),
        "cancel" => {
            let confirmed = simulation.cancel(&JobId::from(rest[0]));
            assert!(confirmed, "cancellation not confirmed: {}", rest[0]);
        }
        // The job may have ended: then it stays as it is.
        "try-cancel" => drop(simulation.cancel(&JobId::from(rest[0]))),
        "end-of-run" => simulation.checker.check_at_end(simulation.now),
        _ => return false,
    }
    true
}

/// Faults of the state store, the cloud and the controllers.
fn perform_on_services(simulation: &mut Simulation, event: &str, until: Instant) -> bool {
    let faults = &mut simulation.faults;
    match event {
        "cloud-unavailable" => faults.cloud_unavailable_until = until,
        "store-unavailable" => faults.store_unavailable_until = until,
        "store-refuses-leader" => faults.store_refuses_leader_until = until,
        "store-responses-lost" => faults.store_responses_lost_until = until,
        "store-transactions-late" => faults.transactions_late_until = until,
        "store-slow" => faults.store_slow_until = until,
        "watch-stalled" => faults.watch_stalled_until = until,
        "peers-partitioned" => faults.peers_partitioned_until = until,
        _ => return false,
    }
    true
}

/// Messages that are lost, late or duplicated, by share; machines that never boot.
fn perform_on_messages(simulation: &mut Simulation, event: &str, words: &Words) -> bool {
    let faults = &mut simulation.faults;
    match event {
        "duplicate-heartbeats" => faults.duplicate_heartbeat_share = words.number("share", 1.0),
        "duplicate-pushes" => faults.duplicate_push_share = words.number("share", 1.0),
        "late-transactions" => faults.late_transaction_share = words.number("share", 0.3),
        "lose-heartbeats" => faults.lost_heartbeat_share = words.number("share", 0.1),
        "never-boot" => faults.machines_never_booting = parse(words.0[0], event),
        _ => return false,
    }
    true
}

/// What the scheduler never does: it shows that the checker sees it.
fn perform_rogue(simulation: &mut Simulation, event: &str, rest: &[&str]) -> bool {
    match event {
        "rogue-launch" => launch_rogue_task(simulation, rest),
        "rogue-watch-blocked" => simulation.faults.watch_blocked = true,
        "rogue-delete-records" | "rogue-done" | "rogue-reopen" => {
            write_rogue_records(simulation, event, &JobId::from(rest[0]));
        }
        _ => return false,
    }
    true
}

/// Faults of one machine.
fn perform_on_machine(
    simulation: &mut Simulation,
    event: &str,
    words: &Words,
    until: Instant,
) -> bool {
    let machine_id = machine(simulation, words);
    if event == "reclaim" {
        simulation.workers.remove(&machine_id);
        return true;
    }
    let worker = simulation.workers.get_mut(&machine_id);
    let worker = worker.unwrap_or_else(|| panic!("{machine_id} is not there"));
    perform_on_worker(worker, event, words, until)
}

fn perform_on_worker(worker: &mut Worker, event: &str, words: &Words, until: Instant) -> bool {
    match event {
        "suspend" => worker.faults.suspend_until(until),
        "partition" => {
            let mode = match words.has("delay") {
                true => PartitionMode::Delay,
                false => PartitionMode::Drop,
            };
            worker.faults.partition_until(until, mode);
        }
        "inbound-unreachable" => worker.faults.inbound_unreachable_until(until),
        "outbound-unreachable" => worker.faults.outbound_unreachable_until(until),
        "faulty" => worker.faults.faulty = true,
        "slow-fetch" => worker.fetch_slowdown = words.number("factor", 2.0),
        "preemption-notice" => worker.preemption_noticed = true,
        _ => return false,
    }
    true
}

/// The machine meant: by number, or the first one that a job is on.
pub(super) fn machine(simulation: &Simulation, words: &Words) -> MachineId {
    if let Some(job) = words.get("of") {
        let machines = simulation.machines_of(&JobId::from(job));
        let first = machines.into_iter().next();
        let now = simulation.now.secs();
        return first.unwrap_or_else(|| panic!("{job} is on no machine at {now:.1} s"));
    }
    let number: u32 = parse(
        words.get("machine").expect("machine N or of JOB"),
        "machine",
    );
    MachineId::from(format!("host-{number:06}").as_str())
}
