//! The only machine of a zone fails the tasks that it starts for a while. Afterwards a job that needs that zone waits.

use crate::fleet::{Job, Offer};
use crate::world::{Site, Verdict, World};
use std::time::{Duration, Instant};

const SERVICE: &str = "wk-000001";
const JOB: &str = "wk-000002";
const WAIT: Duration = Duration::from_secs(90);
const SICK: Duration = Duration::from_secs(6);

pub fn site() -> Site {
    let mut site = Site::small();
    site.offers[2] = Offer {
        rig: "khangai-box",
        site: "nalaikh",
        ordinary: 1,
        spot: 0,
    };
    site.boot = Duration::from_millis(500);
    site
}

fn in_nalaikh(id: &str, shape: &'static str) -> Job {
    let mut job = Job::small(id, "field-ops", Duration::from_secs(5));
    (job.shape, job.cpus, job.gpus, job.ram_gb) = (shape, 6.0, 1.0, 24.0);
    (job.site, job.loaners) = (Some("nalaikh"), false);
    job
}

pub fn run(world: &World) -> Verdict {
    if !world.start_nodes() {
        return Verdict::CouldNotRun("no leader".into());
    }
    let users = &world.users;
    // A service keeps the machine in use: it takes one GPU of eight.
    if !users.submit(&in_nalaikh(SERVICE, "standing"))
        || !world.wait(Duration::from_secs(20), || world.fleet.starts_of(SERVICE) > 0)
    {
        return Verdict::CouldNotRun("the service did not start".into());
    }
    let machine = world.fleet.tasks_of(SERVICE)[0].0.clone();
    if world.trouble {
        world.fleet.make_sick(&machine, SICK);
    }
    if !users.submit(&in_nalaikh(JOB, "array")) {
        return Verdict::CouldNotRun("the job was not accepted".into());
    }
    if world.trouble {
        std::thread::sleep(SICK);
        if world.fleet.starts_of(JOB) == 0 {
            return Verdict::CouldNotRun("the job was not tried while the machine was sick".into());
        }
        world.record.line("the machine is sound again");
    }
    let begun = Instant::now();
    let mut room_since = None::<Instant>;
    while begun.elapsed() < Duration::from_secs(96) {
        if users.poll(JOB).is_some_and(|(_, phase)| phase == "done") {
            return Verdict::Held;
        }
        let has_room = world
            .fleet
            .free_on(&machine)
            .is_some_and(|free| free.0 >= 6.0 && free.1 >= 1.0);
        let waits = world.fleet.tasks_of(JOB).is_empty() && !world.fleet.is_done(JOB);
        room_since = if has_room && waits {
            room_since.or(Some(Instant::now()))
        } else {
            None
        };
        let waited = room_since.map_or(Duration::ZERO, |since| since.elapsed());
        if waited >= WAIT {
            return Verdict::Broken(format!(
                "{JOB} has waited for {:.0} s while {machine} had room",
                waited.as_secs_f64()
            ));
        }
        std::thread::sleep(Duration::from_secs(2));
    }
    Verdict::CouldNotRun("the job is not done, and the machine did not have room for 90 s".into())
}
