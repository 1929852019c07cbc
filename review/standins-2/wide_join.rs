//! A job that waits for many jobs, nearly all of them done, when all controllers crash and come back.

use crate::fleet::Job;
use crate::world::{Site, Verdict, World};
use std::time::{Duration, Instant};

const UPSTREAM: usize = 46;
const JOIN: &str = "wk-000900";
const OTHER: &str = "wk-000800";
/// The rule: every poll for a job fails for this long while most others are answered.
const FORGOTTEN: Duration = Duration::from_secs(90);
const POLL_INTERVAL: Duration = Duration::from_secs(5);

pub fn site() -> Site {
    Site::with_chains()
}

/// Asks about the job until it has ended, and then at all controllers.
fn looked_up_everywhere(world: &World, id: &str) -> bool {
    let is_done_at = |node| {
        world
            .users
            .poll_at(node, id)
            .is_some_and(|(status, phase)| status == 200 && phase == "done")
    };
    let limit = Duration::from_secs(30);
    world.wait(limit, || world.fleet.is_done(id))
        && (0..world.nodes.count()).all(|node| world.wait(limit, || is_done_at(node)))
}

pub fn run(world: &World) -> Verdict {
    if !world.start_nodes() {
        return Verdict::CouldNotRun("no leader".into());
    }
    let users = &world.users;
    // Runs on, so that the join stays open. The other job is the one whose polls are compared.
    let long = Job::small(OTHER, "editorial", Duration::from_secs(600));
    let names: Vec<String> = (1..=UPSTREAM).map(|n| format!("wk-{n:06}")).collect();
    if !users.submit(&long) {
        return Verdict::CouldNotRun("not accepted".into());
    }
    std::thread::scope(|scope| {
        for part in names.chunks(UPSTREAM.div_ceil(4)) {
            scope.spawn(move || {
                for id in part {
                    users.submit(&Job::small(id, "editorial", Duration::from_secs(3)));
                }
            });
        }
    });
    let mut join = Job::small(JOIN, "editorial", Duration::from_secs(1));
    join.waits_on = names.iter().cloned().chain([OTHER.to_owned()]).collect();
    if !users.submit(&join) {
        return Verdict::CouldNotRun("the join was not accepted".into());
    }
    // Users ask about each job at all controllers once it has ended.
    let all_known = std::thread::scope(|scope| {
        let looks = names
            .chunks(UPSTREAM.div_ceil(4))
            .map(|part| scope.spawn(move || part.iter().all(|id| looked_up_everywhere(world, id))));
        let looks: Vec<_> = looks.collect();
        looks.into_iter().all(|look| look.join().unwrap_or(false))
    });
    if !all_known {
        return Verdict::CouldNotRun("not all jobs before the join are done".into());
    }
    world.record.line("all jobs before the join but one are done");
    if world.trouble {
        (0..world.nodes.count()).for_each(|node| world.nodes.kill(node));
        (0..world.nodes.count()).for_each(|node| world.nodes.start(node));
        if !(0..world.nodes.count()).all(|node| world.nodes.wait_healthy(node, Duration::from_secs(5))) {
            return Verdict::CouldNotRun("a controller is not healthy again".into());
        }
    }
    let (mut first_failure, mut others, mut others_answered, mut polls) = (None::<Instant>, 0, 0, 0);
    loop {
        let next = Instant::now() + POLL_INTERVAL;
        let node = users.next_node();
        others += 1;
        others_answered += usize::from(
            users
                .poll_at((node + 1) % world.nodes.count(), OTHER)
                .is_some_and(|(status, _)| status == 200),
        );
        polls += 1;
        match users.poll_at(node, JOIN) {
            Some((404, _)) => return Verdict::Broken(format!("forgotten: {JOIN} gets 404")),
            Some((200, _)) if !world.trouble && polls < 4 => {}
            Some((200, _)) => return Verdict::Held,
            _ => {
                let since = *first_failure.get_or_insert(Instant::now());
                if since.elapsed() >= FORGOTTEN {
                    let text = format!(
                        "forgotten: {polls} polls in {:.1} s for {JOIN} failed, and {others_answered} of {others} others were answered",
                        since.elapsed().as_secs_f64()
                    );
                    return if 2 * others_answered > others {
                        Verdict::Broken(text)
                    } else {
                        Verdict::CouldNotRun(text)
                    };
                }
            }
        }
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
    }
}
