//! One job is submitted with a mistake: the size of its image is given in bytes instead of gigabytes. A sound job was
//! accepted before it.

use crate::fleet::Job;
use crate::world::{Site, Verdict, World};
use std::time::{Duration, Instant};

const SOUND: &str = "wk-000001";
const SOUND_JOBS: usize = 24;
const MISTAKEN: &str = "wk-000100";
const IMAGE_GB: f64 = 6.2;
/// The rule: a job about which no question is answered for this long counts as forgotten.
const FORGOTTEN: Duration = Duration::from_secs(75);
/// The user notices the mistake after this long.
const NOTICED: Duration = Duration::from_secs(15);
const POLL_INTERVAL: Duration = Duration::from_secs(5);

pub fn site() -> Site {
    let mut site = Site::small();
    // No machine is up at the start, and they boot in 25 s.
    site.boot = Duration::from_secs(25);
    site
}

pub fn run(world: &World) -> Verdict {
    if !world.start_nodes() {
        return Verdict::CouldNotRun("no leader".into());
    }
    let users = &world.users;
    // One job in 25 is mistaken.
    for n in 1..=SOUND_JOBS {
        let mut job = Job::small(&format!("wk-{n:06}"), "forecasting", Duration::from_secs(300));
        (job.cpus, job.gpus, job.ram_gb) = (6.0, 1.0, 24.0);
        if !users.submit(&job) {
            return Verdict::CouldNotRun("a sound job was not accepted".into());
        }
    }
    std::thread::sleep(Duration::from_secs_f64((8.0 - world.record.seconds()).max(0.0)));
    let mut mistaken = Job::small(MISTAKEN, "forecasting", Duration::from_secs(5));
    (mistaken.class, mistaken.pieces) = ("dust-ensemble", 10);
    mistaken.fails = true;
    if world.trouble {
        mistaken.pull_gb = IMAGE_GB * 1e9;
    }
    // A job that is refused as malformed does no harm.
    let accepted = users.submit(&mistaken);
    world
        .record
        .line(&format!("the mistaken job is accepted: {accepted}"));
    let submitted_at = Instant::now();
    let (mut last_answer, mut asked_to_cancel, mut withdrawn) = (Instant::now(), false, false);
    let end = submitted_at + Duration::from_secs(105);
    while Instant::now() < end {
        let next = Instant::now() + POLL_INTERVAL;
        if accepted && !withdrawn && submitted_at.elapsed() >= NOTICED {
            // Its user has seen that it does not run, and cancels it. With that the trouble is over.
            if !asked_to_cancel {
                (asked_to_cancel, last_answer) = (true, Instant::now());
            }
            let path = format!("/submissions/{MISTAKEN}/withdraw");
            let answer = users.ask(users.next_node(), "POST", &path, "", Duration::from_secs(5));
            withdrawn = answer.is_some_and(|(status, _)| status == 200);
            if withdrawn {
                world.fleet.user_told_cancelled(MISTAKEN);
            }
        }
        match users.poll(SOUND) {
            Some((404, _)) => return Verdict::Broken(format!("forgotten: {SOUND} gets 404")),
            Some((200, _)) => last_answer = Instant::now(),
            _ => {}
        }
        if last_answer.elapsed() >= FORGOTTEN {
            let silence = last_answer.elapsed().as_secs_f64();
            return Verdict::Broken(format!(
                "forgotten: no question about {SOUND} was answered for {silence:.1} s"
            ));
        }
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    if world.fleet.starts_of(SOUND) == 0 {
        return Verdict::CouldNotRun("questions are answered, but the sound job did not start".into());
    }
    Verdict::Held
}
