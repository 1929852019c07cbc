//! A wave of spot machines is taken back, so that a gang finds too few machines. Small jobs come after it.

use crate::fleet::{Job, Offer};
use crate::world::{Site, Verdict, World};
use std::time::{Duration, Instant};

const GANG: &str = "wk-000100";
const SMALL: &str = "wk-000200";
/// Machines that are taken back, of five.
const TAKEN: usize = 2;
const WAIT: Duration = Duration::from_secs(90);

pub fn site() -> Site {
    let mut site = Site::small();
    site.boot = Duration::from_millis(500);
    site.offers = vec![Offer {
        rig: "khangai-box",
        site: "bayangol",
        ordinary: 0,
        spot: 5,
    }];
    site
}

fn gang(id: &str, pieces: u32, run_s: u64) -> Job {
    let mut job = Job::small(id, "data-platform", Duration::from_secs(run_s));
    (job.shape, job.pieces, job.cpus, job.gpus, job.ram_gb) = ("gang", pieces, 57.0, 8.0, 200.0);
    job.together = true;
    job
}

pub fn run(world: &World) -> Verdict {
    if !world.start_nodes() {
        return Verdict::CouldNotRun("no leader".into());
    }
    let users = &world.users;
    // An array brings up all machines: each task takes most of one.
    let mut first = gang("wk-000001", 5, 1);
    (first.shape, first.together, first.team) = ("array", false, "health-liaison".into());
    if !users.submit(&first) || !users.wait_for("wk-000001", "done", Duration::from_secs(30)) {
        return Verdict::CouldNotRun("the first job did not run".into());
    }
    if world.trouble {
        let machines = world.fleet.machines_up();
        for machine in machines.iter().take(TAKEN) {
            world.fleet.take_back(machine);
        }
        // The controllers take the silent machines for lost after three reports.
        std::thread::sleep(Duration::from_secs(14));
    }
    if !users.submit(&gang(GANG, 4, 5)) {
        return Verdict::CouldNotRun("the gang was not accepted".into());
    }
    std::thread::sleep(Duration::from_secs(2));
    // More than its team's guarantee of 16 GPUs, so it comes after the gang.
    let mut small = Job::small(SMALL, "calibration", Duration::from_secs(5));
    small.pieces = 20;
    (small.cpus, small.gpus, small.ram_gb) = (6.0, 1.0, 24.0);
    if !users.submit(&small) {
        return Verdict::CouldNotRun("the small job was not accepted".into());
    }
    let begun = Instant::now();
    let mut room_since = None::<Instant>;
    while begun.elapsed() < Duration::from_secs(98) {
        users.poll(SMALL);
        if world.fleet.starts_of(SMALL) > 0 {
            world.record.line("the small job starts");
            return Verdict::Held;
        }
        let fits = |machine: &String| {
            world
                .fleet
                .free_on(machine)
                .is_some_and(|free| free.0 >= 6.0 && free.1 >= 1.0)
        };
        let has_room = world.fleet.machines_up().iter().any(fits);
        room_since = if has_room {
            room_since.or(Some(Instant::now()))
        } else {
            None
        };
        let waited = room_since.map_or(Duration::ZERO, |since| since.elapsed());
        if waited >= WAIT {
            return Verdict::Broken(format!(
                "{SMALL} has waited for {:.0} s while a machine had room",
                waited.as_secs_f64()
            ));
        }
        std::thread::sleep(Duration::from_secs(2));
    }
    Verdict::CouldNotRun("the small job waits, but no machine had room for 90 s".into())
}
