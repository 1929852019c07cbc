//! Faults drawn at random.

use super::worker::WorkerFaults;
use super::{PartitionMode, Simulation};
use chalklug::ids::MachineId;
use chalklug::time::{Instant, TimeSpan};
use rand::rngs::StdRng;
use rand::Rng;

/// Starts a random fault, which ends by itself; the caller resets `late_transaction_share`.
pub fn start_random_fault(simulation: &mut Simulation, rng: &mut StdRng) {
    let now = simulation.now;
    let short_end = now + TimeSpan(rng.random_range(1_000..12_000));
    let long_end = now + TimeSpan(rng.random_range(12_000..60_000));
    let machine_ids: Vec<MachineId> = simulation.workers.keys().cloned().collect();
    if machine_ids.is_empty() || !rng.random_bool(0.5) {
        start_service_fault(simulation, rng, short_end, long_end);
        return;
    }
    for _ in 0..rng.random_range(1..4) {
        let machine_id = &machine_ids[rng.random_range(0..machine_ids.len())];
        let end = if rng.random_bool(0.5) {
            short_end
        } else {
            long_end
        };
        let worker = simulation.workers.get_mut(machine_id);
        start_worker_fault(&mut worker.expect("the machine exists").faults, rng, end);
    }
}

fn start_worker_fault(faults: &mut WorkerFaults, rng: &mut StdRng, end: Instant) {
    match rng.random_range(0..6) {
        0 => faults.suspend_until(end),
        1 => faults.partition_until(end, PartitionMode::Delay),
        2 => faults.partition_until(end, PartitionMode::Drop),
        3 => faults.inbound_unreachable_until(end),
        _ => faults.outbound_unreachable_until(end),
    }
}

fn start_service_fault(
    simulation: &mut Simulation,
    rng: &mut StdRng,
    short_end: Instant,
    long_end: Instant,
) {
    let now = simulation.now;
    let faults = &mut simulation.faults;
    match rng.random_range(0..11) {
        0 => faults.store_refuses_leader_until = short_end,
        1 => faults.store_refuses_leader_until = long_end,
        2 => faults.store_unavailable_until = short_end,
        3 => faults.store_unavailable_until = long_end,
        4 => {
            faults.store_refuses_leader_until = long_end;
            faults.peers_partitioned_until = long_end;
            faults.store_unavailable_until = now + TimeSpan(200);
        }
        5 => faults.watch_stalled_until = long_end,
        6 => faults.transactions_late_until = short_end,
        7 => faults.cloud_unavailable_until = long_end,
        9 => faults.store_slow_until = long_end,
        10 => faults.late_transaction_share = 0.4,
        _ => simulation.crash_leader(),
    }
}
