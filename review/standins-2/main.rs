//! Runs one case of the review: `cases NAME RECORD`. Exits with 0 if the rule held, 1 if it was broken, 2 if the case
//! could not run. With TROUBLE=0 in the environment the disruption is left out.

mod fleet;
mod http;
mod json;
mod mistaken_size;
mod nodes;
mod queued_again;
mod record;
mod sick_machine;
mod stalled_gang;
mod store;
mod users;
mod wide_join;
mod world;

use record::Record;
use std::sync::Arc;
use std::time::Duration;
use world::{Verdict, World};

/// A run ends after this time, whatever has happened.
const LIMIT: Duration = Duration::from_secs(118);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, path] = arguments.as_slice() else {
        eprintln!("usage: cases NAME RECORD");
        std::process::exit(2);
    };
    let record = Arc::new(Record::create(path));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let (site, run): (world::Site, fn(&World) -> Verdict) = match name.as_str() {
        "wide_join" => (wide_join::site(), wide_join::run),
        "stalled_gang" => (stalled_gang::site(), stalled_gang::run),
        "mistaken_size" => (mistaken_size::site(), mistaken_size::run),
        "queued_again" => (queued_again::site(), queued_again::run),
        "sick_machine" => (sick_machine::site(), sick_machine::run),
        _ => {
            eprintln!("no case {name}");
            std::process::exit(2);
        }
    };
    let world = Arc::new(World::start(site, record.clone(), trouble));
    let watched = world.clone();
    std::thread::spawn(move || {
        std::thread::sleep(LIMIT);
        watched.record.line("out of time");
        watched.end();
        std::process::exit(2);
    });
    let running = world.clone();
    let verdict = std::thread::spawn(move || run(&running)).join();
    world.end();
    // Starts are compared with the other rules as well.
    let broken = world.violations().join("; ");
    let (code, text) = match verdict {
        Ok(Verdict::Held) if !broken.is_empty() => (1, format!("broken: {broken}")),
        Ok(Verdict::Held) => (0, "the rule held".to_owned()),
        Ok(Verdict::Broken(text)) => (1, format!("broken: {text}")),
        Ok(Verdict::CouldNotRun(text)) => (2, format!("could not run: {text}")),
        Err(_) => (2, "could not run: the case failed".to_owned()),
    };
    record.line(&text);
    println!("{name}: {text}");
    std::process::exit(code);
}
