//! Jobs of one class come several times as often for some seconds. Afterwards a job of another class waits, although a
//! machine is empty.

use crate::fleet::{Job, MachineType, Offer};
use crate::world::{Site, Verdict, World};
use std::time::{Duration, Instant};

const JOB: &str = "wk-000900";
const WAIT: Duration = Duration::from_secs(90);

pub fn site() -> Site {
    let mut site = Site::small();
    site.types = vec![MachineType {
        name: "chenab-node",
        cpus: 48.0,
        gpus: 4.0,
        ram_gb: 384.0,
        boot_s: 30.0,
    }];
    site.offers = vec![Offer {
        rig: "chenab-node",
        site: "karachi-colo",
        ordinary: 2,
        spot: 0,
    }];
    site.facts.zones = vec!["lahore-campus", "karachi-colo"];
    site.facts.teams = vec![
        ("speech-lab", 0.0, 0.0, 24.0, 96.0),
        ("editorial", 0.0, 0.0, 40.0, 120.0),
        ("partner-desk", 0.0, 0.0, 24.0, 40.0),
    ];
    site.facts.workers = [3.0, 31.0, 40.0, 6.0, 56.0];
    site.facts.state = crate::store::Limits {
        rps: 100.0,
        write_rps: 25.0,
        value_kb: 8.0,
        txn_ops: 20,
    };
    site.facts.cloud_rps = 4.0;
    site.facts.quota = (0.08, 136.0, 3000);
    site.facts.objectives = vec![("wait", "asr-train", 20.0)];
    site.boot = Duration::from_millis(500);
    site
}

fn training(id: &str) -> Job {
    let mut job = Job::small(id, "speech-lab", Duration::from_secs(1));
    (job.class, job.shape, job.urgency) = ("asr-train", "gang", "urgent");
    (job.cpus, job.gpus, job.ram_gb, job.loaners) = (43.0, 4.0, 310.0, false);
    job
}

pub fn run(world: &World) -> Verdict {
    if !world.start_nodes() {
        return Verdict::CouldNotRun("no leader".into());
    }
    let users = &world.users;
    // A service fills one of the two machines.
    let mut service = training("wk-000800");
    (service.class, service.shape, service.urgency, service.team) =
        ("listening", "standing", "normal", "partner-desk".into());
    if !users.submit(&service) {
        return Verdict::CouldNotRun("the service was not accepted".into());
    }
    let begun = Instant::now();
    let burst = ["wk-000001", "wk-000002"];
    if world.trouble && !users.submit(&training(burst[0])) {
        return Verdict::CouldNotRun("the burst was not accepted".into());
    }
    // One job in 17 s is twice the rate of 1.7 a minute.
    std::thread::sleep(Duration::from_secs(17).saturating_sub(begun.elapsed()));
    if world.trouble {
        if !users.submit(&training(burst[1])) {
            return Verdict::CouldNotRun("the burst was not accepted".into());
        }
        if !burst
            .iter()
            .all(|id| users.wait_for(id, "done", Duration::from_secs(8)))
        {
            return Verdict::CouldNotRun("the burst did not run".into());
        }
        world.record.line("the burst is over");
    }
    if world.fleet.starts_of("wk-000800") == 0 {
        return Verdict::CouldNotRun("the service did not start".into());
    }
    let mut job = Job::small(JOB, "editorial", Duration::from_secs(5));
    (job.cpus, job.gpus, job.ram_gb) = (5.0, 1.0, 18.0);
    if !users.submit(&job) {
        return Verdict::CouldNotRun("the job was not accepted".into());
    }
    let begun = Instant::now();
    let mut room_since = None::<Instant>;
    while begun.elapsed() < Duration::from_secs(94) {
        users.poll(JOB);
        if world.fleet.starts_of(JOB) > 0 {
            world.record.line("the job starts");
            return Verdict::Held;
        }
        let fits = |machine: &String| {
            world
                .fleet
                .free_on(machine)
                .is_some_and(|free| free.0 >= 5.0 && free.1 >= 1.0)
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
                "{JOB} has waited for {:.0} s while a machine had room",
                waited.as_secs_f64()
            ));
        }
        std::thread::sleep(Duration::from_secs(2));
    }
    Verdict::CouldNotRun("the job waits, but no machine had room for 90 s".into())
}
