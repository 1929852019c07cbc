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
        "lead" => simulation.elect_leader(),
        "crash" => simulation.crash_leader(),
        "submit" => submit(simulation, rest),
        "cancel" => {
            let confirmed = simulation.cancel(&JobId::from(rest[0]));
            assert!(confirmed, "cancellation not confirmed: {}", rest[0]);
        }
        // The job may have ended: then it stays as it is.
        "try-cancel" => drop(simulation.cancel(&JobId::from(rest[0]))),
        "end-of-day" => simulation.checker.at_end(simulation.now),
        _ => return false,
    }
    true
}

/// Faults of the state store, the cloud and the controllers.
fn perform_on_services(simulation: &mut Simulation, event: &str, until: Instant) -> bool {
    let faults = &mut simulation.faults;
    match event {
        "cloud-down" => faults.cloud_unavailable_until = until,
        "state-down" => faults.store_unavailable_until = until,
        "state-refuses-leader" => faults.store_refuses_leader_until = until,
        "state-mute" => faults.store_responses_lost_until = until,
        "state-late" => faults.transactions_late_until = until,
        "state-slow" => faults.store_slow_until = until,
        "watch-stuck" => faults.watch_stalled_until = until,
        "peers-cut" => faults.peers_partitioned_until = until,
        _ => return false,
    }
    true
}

/// Messages that are lost, late or duplicated, by share; machines that never boot.
fn perform_on_messages(simulation: &mut Simulation, event: &str, words: &Words) -> bool {
    let faults = &mut simulation.faults;
    match event {
        "copies" => faults.duplicate_heartbeat_share = words.number("share", 1.0),
        "repeats" => faults.duplicate_push_share = words.number("share", 1.0),
        "late-writes" => faults.late_transaction_share = words.number("share", 0.3),
        "drop-reports" => faults.lost_heartbeat_share = words.number("share", 0.1),
        "boots-never" => faults.machines_never_booting = parse(words.0[0], event),
        _ => return false,
    }
    true
}

/// What the scheduler never does: it shows that the checker sees it.
fn perform_rogue(simulation: &mut Simulation, event: &str, rest: &[&str]) -> bool {
    match event {
        "rogue-launch" => launch_rogue_task(simulation, rest),
        "rogue-deaf-leader" => simulation.faults.watch_blocked = true,
        "rogue-delete" | "rogue-done" | "rogue-reopen" => {
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
    if event == "take" {
        simulation.workers.remove(&machine_id);
        return true;
    }
    let worker = simulation.workers.get_mut(&machine_id);
    let worker = worker.unwrap_or_else(|| panic!("{machine_id} is not there"));
    perform_on_worker(worker, event, words, until)
}

fn perform_on_worker(worker: &mut Worker, event: &str, words: &Words, until: Instant) -> bool {
    match event {
        "hang" => worker.faults.suspend_until(until),
        "cut" => {
            let mode = match words.has("hold") {
                true => PartitionMode::Delay,
                false => PartitionMode::Drop,
            };
            worker.faults.partition_until(until, mode);
        }
        "deaf" => worker.faults.inbound_unreachable_until(until),
        "mute" => worker.faults.outbound_unreachable_until(until),
        "sick" => worker.faults.faulty = true,
        "slow-fetch" => worker.fetch_slowdown = words.number("times", 2.0),
        "recall" => worker.preemption_noticed = true,
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
    let number: u32 = parse(words.get("host").expect("host N or of JOB"), "host");
    MachineId::from(format!("host-{number:06}").as_str())
}
