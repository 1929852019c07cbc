//! One controller that does not lead is restarted while tasks run and nothing changes.

use crate::fleet::{Job, Phase};
use crate::world::{Site, Verdict, World};
use std::time::{Duration, Instant};

const JOB: &str = "wk-000001";
const PIECES: u32 = 5;
/// "Back about 6 s after an end."
const AWAY: Duration = Duration::from_secs(6);
/// The rule: the state may lag by up to this long.
const LAG: Duration = Duration::from_secs(3);
const OBSERVED: Duration = Duration::from_secs(45);

pub fn site() -> Site {
    Site::small()
}

pub fn run(world: &World) -> Verdict {
    if !world.start_nodes() {
        return Verdict::CouldNotRun("no leader".into());
    }
    let users = &world.users;
    let mut job = Job::small(JOB, "forecasting", Duration::from_secs(600));
    (job.pieces, job.cpus, job.gpus, job.ram_gb) = (PIECES, 6.0, 1.0, 24.0);
    if !users.submit(&job) {
        return Verdict::CouldNotRun("the job was not accepted".into());
    }
    let all_run = || {
        let tasks = world.fleet.tasks_of(JOB);
        tasks.len() as u32 == PIECES && tasks.iter().all(|(_, _, phase)| *phase == Phase::Running)
    };
    let is_running_at = |node| {
        users
            .poll_at(node, JOB)
            .is_some_and(|(_, phase)| phase == "running")
    };
    let nodes = 0..world.nodes.count();
    let known = world.wait(Duration::from_secs(30), all_run)
        && nodes
            .clone()
            .all(|node| world.wait(Duration::from_secs(10), || is_running_at(node)));
    let Some(leader) = world.leader().filter(|_| known) else {
        return Verdict::CouldNotRun("the job does not run at first".into());
    };
    let restarted = nodes.clone().find(|node| *node != leader).unwrap_or(0);
    if world.trouble {
        world.nodes.kill(restarted);
        std::thread::sleep(AWAY);
        world.nodes.start(restarted);
        if !world.nodes.wait_healthy(restarted, Duration::from_secs(5)) {
            return Verdict::CouldNotRun("the controller is not healthy again".into());
        }
    }
    // All tasks run throughout, so every answer from now on has to say so.
    std::thread::sleep(LAG);
    let begun = Instant::now();
    let (mut answers, mut wrong) = (0, 0);
    while begun.elapsed() < OBSERVED {
        for node in nodes.clone() {
            let Some((200, phase)) = users.poll_at(node, JOB) else {
                continue;
            };
            answers += 1;
            wrong += usize::from(phase != "running");
        }
        if !all_run() || world.leader() != Some(leader) {
            return Verdict::CouldNotRun("the tasks or the leader changed".into());
        }
        std::thread::sleep(Duration::from_secs(5));
    }
    match (answers, wrong) {
        (0, _) => Verdict::CouldNotRun("nothing was answered".into()),
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken(format!(
            "{wrong} of {answers} answers in 45 s call a job queued whose tasks all run"
        )),
    }
}
