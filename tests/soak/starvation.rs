//! Jobs that wait while a machine that fits has room and their team is under its limit.

use super::checker::allows;
use super::world::{Machine, SimulatedJob, World};
use chalklug::protocol::users::{JobSpec, Shape};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// The operators allow 90 s; times here are a fifth of theirs.
const MAX_WAIT: Duration = Duration::from_secs(18);

/// Since when each job has waited with room for it.
#[derive(Default)]
pub struct WaitingJobs {
    since: BTreeMap<String, Instant>,
}

impl WaitingJobs {
    /// Looks at all unfinished jobs; returns those that have waited for too long, each once.
    pub fn find_starved(&mut self, now: Instant, world: &World) -> Vec<String> {
        let unfinished_jobs: BTreeSet<String> =
            world.checker.unfinished_jobs().into_iter().collect();
        let waiting = unfinished_jobs
            .into_iter()
            .filter(|id| could_start(now, world, id));
        let waiting: BTreeSet<String> = waiting.collect();
        self.since.retain(|id, _| waiting.contains(id));
        let mut starved = Vec::new();
        for id in waiting {
            let since = *self.since.entry(id.clone()).or_insert(now);
            if now - since > MAX_WAIT {
                // Counted once: the next time is far away.
                self.since.insert(id.clone(), now + MAX_WAIT * 100);
                starved.push(id);
            }
        }
        starved
    }
}

/// Whether a task of the job, or for a gang all of them, is nowhere and would find room.
fn could_start(now: Instant, world: &World, id: &str) -> bool {
    let job = &world.jobs[id];
    let spec = &job.spec;
    let live = world.live_tasks(id);
    let missing = (0..spec.tasks).filter(|index| {
        !live.iter().any(|(_, task)| task == index) && !world.is_completed(id, *index)
    });
    let is_gang = spec.shape == Shape::Gang;
    let needed = match missing.count() as u32 {
        0 => return false,
        _ if is_gang && !live.is_empty() => return false,
        missing if is_gang => missing,
        _ => 1,
    };
    let used = world.used_gpus(&spec.team);
    let max = world.checker.max_gpus(&spec.team);
    used + spec.gpus * f64::from(needed) <= max && fitting_tasks(now, world, job, &live) >= needed
}

/// For how many more tasks of the job there is room where it may start.
fn fitting_tasks(now: Instant, world: &World, job: &SimulatedJob, live: &[(&Machine, u32)]) -> u32 {
    let spec = &job.spec;
    let mut room: BTreeMap<&str, u32> = BTreeMap::new();
    for (id, machine) in &world.machines {
        let info = world.checker.machine(id);
        if machine.is_hanging(now) || !info.is_some_and(|info| allows(spec, info)) {
            continue;
        }
        let zone = machine.kind.zone;
        if zone_allows(spec, zone, live) {
            *room.entry(zone).or_default() += machine.fitting_tasks(spec, &world.jobs);
        }
    }
    match spec.zone_affinity {
        true => room.values().copied().max().unwrap_or(0),
        false => room.values().sum(),
    }
}

fn zone_allows(spec: &JobSpec, zone: &str, live: &[(&Machine, u32)]) -> bool {
    let in_zone = live.iter().filter(|(machine, _)| machine.kind.zone == zone);
    let in_zone = in_zone.count();
    let breaks_affinity = spec.zone_affinity && in_zone < live.len();
    let breaks_anti_affinity = spec.zone_anti_affinity && in_zone as u32 >= spec.tasks.div_ceil(2);
    !breaks_affinity && !breaks_anti_affinity
}
