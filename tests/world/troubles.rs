//! Troubles drawn by chance.

use super::{Cut, World};
use chalklug::ids::*;
use chalklug::time::TimeSpan;
use rand::Rng;

/// One trouble, drawn; it ends by itself.
pub fn trouble(w: &mut World, rng: &mut rand::rngs::StdRng) {
    let now = w.now;
    let short = now + TimeSpan(rng.random_range(1_000..12_000));
    let long = now + TimeSpan(rng.random_range(12_000..60_000));
    let machine_ids: Vec<MachineId> = w.workers.keys().cloned().collect();
    let some =
        |rng: &mut rand::rngs::StdRng| machine_ids[rng.random_range(0..machine_ids.len())].clone();
    let on_machine = !machine_ids.is_empty() && rng.random_bool(0.5);
    if on_machine {
        for _ in 0..rng.random_range(1..4) {
            let machine_id = some(rng);
            let until = if rng.random_bool(0.5) { short } else { long };
            let m = w.workers.get_mut(&machine_id).unwrap();
            match rng.random_range(0..6) {
                0 => m.hang_until(until),
                1 => m.cut_until(until, Cut::Hold),
                2 => m.cut_until(until, Cut::Drop),
                3 => m.deaf_until(until),
                _ => m.mute_until(until),
            }
        }
        return;
    }
    match rng.random_range(0..11) {
        0 => w.leader_refused = short,
        1 => w.leader_refused = long,
        2 => w.state_down = short,
        3 => w.state_down = long,
        4 => {
            w.leader_refused = long;
            w.peers_cut = long;
            w.state_down = now + TimeSpan(200);
        }
        5 => w.watch_stuck = long,
        6 => w.state_late = short,
        9 => w.state_slow = long,
        10 => w.late_writes = 0.4,
        7 => w.cloud_down = long,
        _ => w.crash(),
    }
}
