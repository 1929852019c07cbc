//! The scenario runner: every `tests/scenarios/*.txt` is a test. A file says what is given, what
//! happens when, and what is expected; `tests/scenarios/README.md` lists the words.

#[path = "random/chains.rs"]
mod chains;
#[path = "random/faults.rs"]
mod faults;
#[path = "support/machine_type.rs"]
mod machine_type;
#[path = "support/recorded_core.rs"]
mod recorded_core;
#[path = "upgrade/repacking.rs"]
mod repacking;
#[path = "support/wire_digest.rs"]
mod wire_digest;
mod world;

use chalklug::ids::*;
use chalklug::protocol::state::{Change, Transaction};
use chalklug::protocol::users::JobPhase;
use chalklug::protocol::workers::Command;
use chalklug::time::{Instant, TimeSpan};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use world::given::{defaults, given, spec, Words};
use world::{Cut, World};

fn secs(s: &str) -> TimeSpan {
    TimeSpan::from_secs(s.parse().unwrap_or_else(|_| panic!("not a time: {s}")))
}

fn machine_id(s: &str) -> MachineId {
    MachineId::from(format!("host-{:06}", s.parse::<u32>().unwrap()).as_str())
}

/// The machine meant: by number, or the first one that a job is on.
fn machine(w: &World, words: &Words) -> MachineId {
    match words.get("of") {
        Some(job) => w
            .hosts_of(&JobId::from(job))
            .into_iter()
            .next()
            .unwrap_or_else(|| panic!("{job} is on no machine at {:.1} s", w.now.secs())),
        None => machine_id(words.get("host").expect("host N or of JOB")),
    }
}

fn happen(w: &mut World, verb: &str, rest: &[&str]) {
    let words = Words(rest.to_vec());
    let until = w.now + TimeSpan::from_secs(words.num("for", 0.0));
    match verb {
        "lead" => w.lead(),
        "crash" => w.crash(),
        "submit" => {
            let after = words
                .get("after")
                .map_or(Vec::new(), |l| l.split(',').map(JobId::from).collect());
            // A job submitted with a mistake fails wherever it runs.
            let run = words.num("run", 10.0);
            let run = if words.has("mistaken") { -run } else { run };
            w.submit(spec(rest), run, after);
        }
        "cancel" => assert!(w.cancel(&JobId::from(rest[0])), "confirmed: {}", rest[0]),
        // The job may be over: then it stays as it is.
        "try-cancel" => drop(w.cancel(&JobId::from(rest[0]))),
        "hang" => {
            let h = machine(w, &words);
            w.workers.get_mut(&h).unwrap().hang_until(until);
        }
        "cut" => {
            let h = machine(w, &words);
            let how = if words.has("hold") {
                Cut::Hold
            } else {
                Cut::Drop
            };
            w.workers.get_mut(&h).unwrap().cut_until(until, how);
        }
        "deaf" => {
            let h = machine(w, &words);
            w.workers.get_mut(&h).unwrap().deaf_until(until);
        }
        "mute" => {
            let h = machine(w, &words);
            w.workers.get_mut(&h).unwrap().mute_until(until);
        }
        "copies" => w.copies = words.num("share", 1.0),
        "repeats" => w.repeats = words.num("share", 1.0),
        "sick" => {
            let h = machine(w, &words);
            w.workers.get_mut(&h).unwrap().sick = true;
        }
        "slow-fetch" => {
            let h = machine(w, &words);
            w.workers.get_mut(&h).unwrap().fetch_times = words.num("times", 2.0);
        }
        "take" => {
            let h = machine(w, &words);
            w.workers.remove(&h);
        }
        "recall" => {
            let h = machine(w, &words);
            let at = w.now + TimeSpan(10_000);
            w.workers.get_mut(&h).unwrap().recall_at = Some(at);
        }
        "end-of-day" => w.checker.at_end(w.now),
        "cloud-down" => w.cloud_down = until,
        "state-down" => w.state_down = until,
        "state-refuses-leader" => w.leader_refused = until,
        "watch-stuck" => w.watch_stuck = until,
        "peers-cut" => w.peers_cut = until,
        "state-mute" => w.state_mute = until,
        "state-late" => w.state_late = until,
        "state-slow" => w.state_slow = until,
        "late-writes" => w.late_writes = words.num("share", 0.3),
        "drop-reports" => w.drop_reports = words.num("share", 0.1),
        "boots-never" => w.boot_never = rest[0].parse().unwrap(),
        // What follows the service never does: it shows that the checker sees it.
        "rogue-launch" => {
            let order = Command::Launch {
                task: TaskId::parse(rest[0]).unwrap(),
                attempt_id: AttemptId(1 << 50),
            };
            let h = match words.get("not-of") {
                Some(job) => {
                    let on = w.hosts_of(&JobId::from(job));
                    let free = w
                        .workers
                        .keys()
                        .find(|h| !on.contains(*h) && w.workers[*h].up_at <= w.now);
                    free.expect("another machine").clone()
                }
                None => machine(w, &words),
            };
            w.rogue(&h, order);
        }
        "rogue-deaf-leader" => w.rogue_deaf = true,
        "rogue-delete" | "rogue-done" | "rogue-reopen" => rogue_record(w, verb, rest[0]),
        other => panic!("not an event of scenarios: {other}"),
    }
}

fn rogue_record(w: &mut World, verb: &str, id: &str) {
    let id = JobId::from(id);
    let spec = w
        .specs
        .get(&id)
        .cloned()
        .unwrap_or_else(|| spec(&[id.as_str()]));
    use chalklug::storage::records::{open_key, terminal_key, OpenJobRecord, TerminalRecord};
    let delete = |key| Change::Delete { delete: key };
    let changes = match verb {
        "rogue-delete" => vec![delete(open_key(&id)), delete(terminal_key(&id))],
        "rogue-done" => {
            let terminal_record = TerminalRecord {
                phase: JobPhase::Done,
                tasks: spec.tasks,
                at_ms: None,
            };
            vec![
                delete(open_key(&id)),
                Change::put(
                    terminal_key(&id),
                    serde_json::to_value(terminal_record).unwrap(),
                ),
            ]
        }
        _ => {
            let open = OpenJobRecord {
                spec,
                at_ms: 0,
                after: Vec::new(),
                dependency_pages: 0,
            };
            vec![
                delete(terminal_key(&id)),
                Change::put(open_key(&id), serde_json::to_value(open).unwrap()),
            ]
        }
    };
    w.store.apply(&Transaction {
        preconditions: Vec::new(),
        changes,
    });
}

/// `expect …`; panics with the reason if it doesn't hold.
fn expect(w: &World, rest: &[&str], file: &str) {
    let words = Words(rest.to_vec());
    let job = || JobId::from(rest[1]);
    match rest[0] {
        "phase" => {
            let want: JobPhase = serde_json::from_value(rest[2].into()).unwrap();
            assert_eq!(
                w.poll(&job()),
                Some(want),
                "{file}: {} at {:.1} s",
                rest[1],
                w.now.secs()
            );
        }
        // So many jobs numbered on from there are over, one way or the other.
        "ended" => {
            let first: u32 = rest[1]["wk-".len()..].parse().unwrap();
            for n in first..first + rest[2].parse::<u32>().unwrap() {
                let phase = w.poll(&JobId::from(format!("wk-{n}").as_str()));
                assert!(
                    matches!(phase, Some(JobPhase::Done | JobPhase::Cancelled)),
                    "{file}: wk-{n} is {phase:?} at {:.1} s",
                    w.now.secs()
                );
            }
        }
        "starts" => {
            let task = TaskId::parse(rest[1]).unwrap();
            let n = w.checker.attempts.get(&task).copied().unwrap_or(0);
            assert_eq!(n.to_string(), rest[2], "{file}: starts of {task}");
        }
        "tries" => {
            let of = |(p, _): &(&TaskId, &u32)| p.job == job();
            let n: u32 = w.checker.attempts.iter().filter(of).map(|(_, n)| n).sum();
            let most = words.num("most", 1e9);
            assert!(f64::from(n) <= most, "{file}: {n} starts of {}", rest[1]);
        }
        "running" => {
            let n = w
                .workers
                .values()
                .flat_map(|m| m.on_machine())
                .filter(|(p, _)| p.job == job())
                .count();
            assert_eq!(
                n.to_string(),
                rest[2],
                "{file}: tasks of {} at {:.1} s",
                rest[1],
                w.now.secs()
            );
        }
        "machines" => {
            let most = words.num("most", 1e9);
            let least = words.num("least", 0.0);
            let n = w.workers.len() as f64;
            assert!(
                n <= most && n >= least,
                "{file}: {n} machines at {:.1} s",
                w.now.secs()
            );
        }
        "hosts" => {
            let n = w.hosts_of(&job()).len();
            assert_eq!(n.to_string(), rest[2], "{file}: machines of {}", rest[1]);
        }
        "broken" => assert!(
            w.checker.broken.contains(rest[1]),
            "{file}: the checker did not see {}, only {:?}",
            rest[1],
            w.checker.broken
        ),
        other => panic!("{file}: not an expectation: {other}"),
    }
}

/// With `DBG` set, what the core says goes to standard error.
fn log_if_asked() {
    if std::env::var("DBG").is_ok() {
        let _ = tracing_subscriber::fmt()
            .with_max_level(tracing::Level::DEBUG)
            .with_ansi(false)
            .without_time()
            .with_writer(std::io::stderr)
            .try_init();
    }
}

fn play(path: &Path) {
    log_if_asked();
    let file = path.file_name().unwrap().to_string_lossy().into_owned();
    let text = std::fs::read_to_string(path).unwrap();
    let mut g = defaults();
    let mut events: BTreeMap<i64, Vec<Vec<&str>>> = BTreeMap::new();
    let mut end = Instant(0);
    let mut rules_kept = true;
    for line in text.lines() {
        let words: Vec<&str> = line.split('#').next().unwrap().split_whitespace().collect();
        match words.as_slice() {
            [] => {}
            ["at", t, "stream", first, "every", gap, "times", n, rest @ ..] => {
                let number: u32 = first["wk-".len()..].parse().unwrap();
                for i in 0..n.parse::<u32>().unwrap() {
                    let id: &str = format!("wk-{}", number + i).leak();
                    let mut e = vec!["submit", id];
                    e.extend(rest);
                    let at = secs(t).0 + secs(gap).0 * i64::from(i);
                    events.entry(at).or_default().push(e);
                }
            }
            ["at", t, rest @ ..] => events.entry(secs(t).0).or_default().push(rest.to_vec()),
            ["until", t] => end = Instant::ZERO + secs(t),
            [first, rest @ ..] => given(&mut g, first, rest),
        }
    }
    for e in events.values().flatten() {
        rules_kept &= !(e[0] == "expect" && e[1] == "broken");
    }
    let mut w = g.world();
    w.digest.set_name(&file);
    for (t, list) in events {
        w.run_until(Instant(t));
        for e in list {
            match e.as_slice() {
                ["expect", rest @ ..] => expect(&w, rest, &file),
                [verb, rest @ ..] => happen(&mut w, verb, rest),
                [] => {}
            }
        }
    }
    w.run_until(end);
    if rules_kept {
        w.checker.at_end(w.now);
        assert!(
            w.checker.broken.is_empty(),
            "{file}: {}",
            w.checker.first.unwrap_or_default()
        );
    }
}

#[test]
fn scenarios() {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let mut files: Vec<PathBuf> = std::fs::read_dir(dir)
        .unwrap()
        .map(|e| e.unwrap().path())
        .filter(|p| p.extension().is_some_and(|e| e == "txt"))
        .collect();
    files.sort();
    assert!(files.len() >= 20, "the scenarios are missing");
    let only = std::env::var("SCENARIO").unwrap_or_default();
    let mut failed = Vec::new();
    for f in files.iter().filter(|f| f.to_string_lossy().contains(&only)) {
        if std::panic::catch_unwind(|| play(f)).is_err() {
            failed.push(f.file_name().unwrap().to_string_lossy().into_owned());
        }
    }
    assert!(failed.is_empty(), "failed: {failed:?}");
}
