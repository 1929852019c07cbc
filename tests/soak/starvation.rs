//! Detects starvation: jobs that wait although machines have free capacity for them within their team's GPU limit.

use super::checker::allows;
use super::world::{Machine, SimulatedJob, World};
use chalklug::protocol::users::{JobSpec, Shape};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// How long a startable job may wait. The operators allow 90 s; the times of the soak test are a fifth of theirs.
const MAX_WAIT: Duration = Duration::from_secs(18);

/// Since when each waiting job could have started.
#[derive(Default)]
pub struct WaitingJobs {
    since: BTreeMap<String, Instant>,
}

impl WaitingJobs {
    /// Checks the unfinished jobs, and returns those that have waited for too long. Returns each job once.
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
                // Keeps the job from being reported again during the run.
                self.since.insert(id.clone(), now + MAX_WAIT * 100);
                starved.push(id);
            }
        }
        starved
    }
}

/// Returns whether free capacity and the team's limit allow a task of the job, or a whole gang, to start now.
fn could_start(now: Instant, world: &World, id: &str) -> bool {
    if world.checker.is_blocked(id) {
        return false;
    }
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

/// Returns how many more tasks of the job fit on the machines where the job may run.
fn fitting_tasks(now: Instant, world: &World, job: &SimulatedJob, live: &[(&Machine, u32)]) -> u32 {
    let spec = &job.spec;
    let mut room: BTreeMap<&str, u32> = BTreeMap::new();
    for (id, machine) in &world.machines {
        let info = world.checker.machine(id);
        if machine.is_suspended(now) || !info.is_some_and(|info| allows(spec, info)) {
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
