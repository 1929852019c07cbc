//! The scenario runner: every `tests/scenarios/*.txt` is a test. A file says what is given, what
//! happens when, and what is expected; `tests/scenarios/README.md` lists the words.

mod world;

use chalklug::coordination::Policy;
use chalklug::ids::*;
use chalklug::protocol::cloud::MachineTypeInfo;
use chalklug::protocol::state::{Change, Txn};
use chalklug::protocol::users::{JobPhase, JobSpec, Shape, Urgency};
use chalklug::protocol::workers::Order;
use chalklug::settings::*;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use world::{Cut, World};

/// Direct commands awaited at once.
const MOST_DIRECT: usize = 96;

/// Words after the first, as `name value` pairs; bare flags have an empty value.
struct Words<'a>(Vec<&'a str>);

const FLAGS: [&str; 5] = ["together", "scatter", "spot", "never", "mistaken"];

impl<'a> Words<'a> {
    fn get(&self, name: &str) -> Option<&'a str> {
        let at = self.0.iter().position(|w| *w == name)?;
        if FLAGS.contains(&name) {
            return Some("");
        }
        self.0.get(at + 1).copied()
    }
    fn num(&self, name: &str, default: f64) -> f64 {
        self.get(name).map_or(default, |v| {
            v.parse().unwrap_or_else(|_| panic!("{name}: {v}"))
        })
    }
    fn has(&self, name: &str) -> bool {
        self.0.contains(&name)
    }
}

struct Given {
    facts: Facts,
    rigs: Vec<MachineTypeInfo>,
    machines: u32,
    seed: u64,
    campaigns: bool,
}

fn defaults() -> Given {
    Given {
        facts: Facts {
            clock_error_ms: 0.0,
            teams: Vec::new(),
            objectives: Vec::new(),
            workers: Workers {
                report_s: 3.0,
                lease_s: 20.0,
                gang_wait_s: 30.0,
                gang_peer_s: 4.0,
                cancel_s: 40.0,
            },
            state: StateLimits {
                rps: 100.0,
                write_rps: 25.0,
                value_kb: 4.0,
                txn_ops: 8,
            },
            cloud: CloudLimits {
                rps: 5.0,
                list_lag_s: 6.0,
            },
            quota: Quota {
                cores: 0.1,
                memory_mb: 100.0,
                max_sockets: 1000,
            },
        },
        rigs: Vec::new(),
        machines: 20,
        seed: 1,
        campaigns: false,
    }
}

fn given(g: &mut Given, first: &str, rest: &[&str]) {
    let w = Words(rest.to_vec());
    match first {
        "team" => g.facts.teams.push(Team {
            name: rest[0].into(),
            cpus: 0.0,
            cpus_max: 0.0,
            gpus: w.num("gpus", 0.0),
            gpus_max: w.num("max", 0.0),
        }),
        "rig" => g.rigs.push(MachineTypeInfo {
            name: MachineType::from(rest[0]),
            cpus: w.num("cpus", 64.0),
            gpus: w.num("gpus", 8.0),
            ram_gb: w.num("ram", 256.0),
            cache_gb: 100.0,
            fetch_gb_per_s: w.num("fetch", 1.0),
            price: w.num("price", 10.0),
            spot_price: w.num("spotprice", 4.0),
            boot_s: w.num("boot", 5.0),
            sites: w
                .get("sites")
                .unwrap_or("a")
                .split(',')
                .map(Zone::from)
                .collect(),
        }),
        "objective" => g.facts.objectives.push(Objective {
            kind: rest[0].into(),
            class: Some(rest[1].into()),
            within_s: Some(w.num("within", 60.0)),
            times: None,
        }),
        "machines" => g.machines = rest[0].parse().unwrap(),
        "seed" => g.seed = rest[0].parse().unwrap(),
        "lease" => g.facts.workers.lease_s = rest[0].parse().unwrap(),
        "cancel-within" => g.facts.workers.cancel_s = rest[0].parse().unwrap(),
        "campaigns" => g.campaigns = true,
        other => panic!("not a word of scenarios: {other}"),
    }
}

fn spec(rest: &[&str]) -> JobSpec {
    let w = Words(rest.to_vec());
    JobSpec {
        id: JobId::parse(rest[0]).expect("a job id"),
        class: w.get("class").unwrap_or("any").into(),
        team: w.get("team").unwrap_or("blue").into(),
        shape: match w.get("shape").unwrap_or("array") {
            "array" => Shape::Array,
            "gang" => Shape::Gang,
            "standing" => Shape::Service,
            s => panic!("shape {s}"),
        },
        urgency: match w.get("urgency").unwrap_or("normal") {
            "low" => Urgency::Low,
            "normal" => Urgency::Normal,
            "urgent" => Urgency::Urgent,
            _ => Urgency::Production,
        },
        pieces: w.num("pieces", 1.0) as u32,
        cpus: w.num("cpus", 1.0),
        gpus: w.num("gpus", 1.0),
        ram_gb: 1.0,
        image: Image::from(w.get("image").unwrap_or("img")),
        image_gb: w.num("gb", 2.0),
        rigs: None,
        site: w.get("site").map(Zone::from),
        together: w.has("together"),
        scatter: w.has("scatter"),
        spot: w.has("spot"),
        guess_s: w.num("guess", w.num("run", 10.0)),
        checkpoint_s: w.num("checkpoint", 0.0),
        save_s: w.num("save", 1.0),
        due_s: w.get("due").map(|v| v.parse().unwrap()),
    }
}

fn secs(s: &str) -> Millis {
    Millis::from_secs(s.parse().unwrap_or_else(|_| panic!("not a time: {s}")))
}

fn host(s: &str) -> HostId {
    HostId::from(format!("host-{:06}", s.parse::<u32>().unwrap()).as_str())
}

/// The machine meant: by number, or the first one that a job is on.
fn machine(w: &World, words: &Words) -> HostId {
    match words.get("of") {
        Some(job) => w
            .hosts_of(&JobId::from(job))
            .into_iter()
            .next()
            .unwrap_or_else(|| panic!("{job} is on no machine at {:.1} s", w.now.secs())),
        None => host(words.get("host").expect("host N or of JOB")),
    }
}

fn happen(w: &mut World, verb: &str, rest: &[&str]) {
    let words = Words(rest.to_vec());
    let until = w.now + Millis::from_secs(words.num("for", 0.0));
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
            let at = w.now + Millis(10_000);
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
            let order = Order::Launch {
                piece: TaskId::parse(rest[0]).unwrap(),
                attempt: Attempt(1 << 50),
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
    use chalklug::storage::records::{final_key, open_key, FinalRecord, OpenRecord};
    let delete = |key| Change::Delete { delete: key };
    let apply = match verb {
        "rogue-delete" => vec![delete(open_key(&id)), delete(final_key(&id))],
        "rogue-done" => {
            let mark = FinalRecord {
                phase: JobPhase::Done,
                pieces: spec.pieces,
            };
            vec![
                delete(open_key(&id)),
                Change::put(final_key(&id), serde_json::to_value(mark).unwrap()),
            ]
        }
        _ => {
            let open = OpenRecord {
                spec,
                at_ms: 0,
                after: Vec::new(),
            };
            vec![
                delete(final_key(&id)),
                Change::put(open_key(&id), serde_json::to_value(open).unwrap()),
            ]
        }
    };
    w.store.apply(&Txn {
        guards: Vec::new(),
        apply,
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
            let piece = TaskId::parse(rest[1]).unwrap();
            let n = w.checker.starts.get(&piece).copied().unwrap_or(0);
            assert_eq!(n.to_string(), rest[2], "{file}: starts of {piece}");
        }
        "tries" => {
            let of = |(p, _): &(&TaskId, &u32)| p.job == job();
            let n: u32 = w.checker.starts.iter().filter(of).map(|(_, n)| n).sum();
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
    let mut end = Millis(0);
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
            ["until", t] => end = secs(t),
            [first, rest @ ..] => given(&mut g, first, rest),
        }
    }
    for e in events.values().flatten() {
        rules_kept &= !(e[0] == "expect" && e[1] == "broken");
    }
    let policy = Policy {
        facts: g.facts,
        operator: Operator::default(),
        most_direct: MOST_DIRECT,
    };
    let mut w = World::new(policy, g.rigs, g.machines, g.seed);
    w.campaigns = g.campaigns;
    for (t, list) in events {
        w.run_until(Millis(t));
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

/// No rule is broken, and every job that wasn't cancelled is done.
fn ended_well(w: &mut World, seed: u64, cancelled: &[JobId]) {
    w.checker.at_end(w.now);
    let broken = &w.checker.broken;
    assert!(broken.is_empty(), "seed {seed}: {:?}", w.checker.first);
    for id in w.specs.keys().filter(|id| !cancelled.contains(id)) {
        assert_eq!(w.poll(id), Some(JobPhase::Done), "seed {seed}: {id}");
    }
}

/// Pairs of troubles, random and seeded, with leaders that come and go by their leases: the rules hold
/// and every job comes to its end.
#[test]
fn random_pairs_of_troubles_break_no_rule() {
    use rand::{Rng, SeedableRng};
    log_if_asked();
    let number = |name: &str| std::env::var(name).ok().and_then(|n| n.parse().ok());
    let first: u64 = number("FIRST").unwrap_or(1);
    for seed in first..=number("SEEDS").unwrap_or(16u64) {
        let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
        let mut g = defaults();
        for line in [
            "team blue gpus 8 max 24",
            "team red gpus 8 max 20",
            "rig box gpus 4 boot 6 sites a,b,c",
        ] {
            let words: Vec<&str> = line.split(' ').collect();
            given(&mut g, words[0], &words[1..]);
        }
        let policy = Policy {
            facts: g.facts,
            operator: Operator::default(),
            most_direct: MOST_DIRECT,
        };
        let mut w = World::new(policy, g.rigs, 14, seed);
        w.campaigns = true;
        w.copies = if seed % 3 == 0 { 0.3 } else { 0.0 };
        w.repeats = w.copies;
        w.lead();
        let mut cancelled = Vec::new();
        let mut next = 0u32;
        for _ in 0..10 {
            for _ in 0..rng.random_range(1..4) {
                let (id, pieces) = (format!("wk-{next:06}"), rng.random_range(1..6).to_string());
                let run = rng.random_range(3..40).to_string();
                let team = ["blue", "red"][next as usize % 2];
                next += 1;
                let mut words = vec![id.as_str(), "team", team, "pieces", &pieces, "run", &run];
                words.extend(match rng.random_range(0..5) {
                    0 => vec!["shape", "gang", "together"],
                    1 => vec!["scatter", "checkpoint", "4"],
                    2 => vec!["site", "b"],
                    3 => vec!["together"],
                    _ => vec!["spot", "checkpoint", "5"],
                });
                w.submit(spec(&words), run.parse().unwrap(), Vec::new());
            }
            w.run_until(w.now + Millis(rng.random_range(2_000..9_000)));
            for _ in 0..2 {
                trouble(&mut w, &mut rng);
                w.run_until(w.now + Millis(rng.random_range(100..4_000)));
                // Users cancel in the very moment, too.
                if rng.random_bool(0.4) {
                    let id = JobId::from(format!("wk-{:06}", rng.random_range(0..next)).as_str());
                    if w.cancel(&id) {
                        cancelled.push(id);
                    }
                }
            }
            w.run_until(w.now + Millis(rng.random_range(500..30_000)));
            w.late_writes = 0.0;
        }
        (w.copies, w.repeats) = (0.0, 0.0);
        w.run_until(w.now + Millis(500_000));
        ended_well(&mut w, seed, &cancelled);
    }
}

/// One trouble, drawn; it ends by itself.
fn trouble(w: &mut World, rng: &mut rand::rngs::StdRng) {
    use rand::Rng;
    let now = w.now;
    let short = now + Millis(rng.random_range(1_000..12_000));
    let long = now + Millis(rng.random_range(12_000..60_000));
    let hosts: Vec<HostId> = w.workers.keys().cloned().collect();
    let some = |rng: &mut rand::rngs::StdRng| hosts[rng.random_range(0..hosts.len())].clone();
    let on_machine = !hosts.is_empty() && rng.random_bool(0.5);
    if on_machine {
        for _ in 0..rng.random_range(1..4) {
            let host = some(rng);
            let until = if rng.random_bool(0.5) { short } else { long };
            let m = w.workers.get_mut(&host).unwrap();
            match rng.random_range(0..6) {
                0 => m.hang_until(until),
                1 => m.cut_until(until, Cut::Hold),
                2 => m.cut_until(until, Cut::Drop),
                3 => m.deaf_until(until),
                _ => m.mute_until(until),
            }
        }
        return;
    }
    match rng.random_range(0..11) {
        0 => w.leader_refused = short,
        1 => w.leader_refused = long,
        2 => w.state_down = short,
        3 => w.state_down = long,
        4 => {
            w.leader_refused = long;
            w.peers_cut = long;
            w.state_down = now + Millis(200);
        }
        5 => w.watch_stuck = long,
        6 => w.state_late = short,
        9 => w.state_slow = long,
        10 => w.late_writes = 0.4,
        7 => w.cloud_down = long,
        _ => w.crash(),
    }
}

/// A day of random faults, bounded and seeded: the rules hold and every job comes to its end.
#[test]
fn random_faults_break_no_rule() {
    use rand::{Rng, SeedableRng};
    log_if_asked();
    let first: u64 = std::env::var("FIRST")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(1);
    let seeds = std::env::var("SEEDS").ok().and_then(|n| n.parse().ok());
    for seed in first..=seeds.unwrap_or(12u64) {
        let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
        let mut g = defaults();
        given(&mut g, "team", &["blue", "gpus", "8", "max", "24"]);
        given(&mut g, "team", &["red", "gpus", "8", "max", "20"]);
        given(
            &mut g,
            "rig",
            &["box", "gpus", "4", "boot", "6", "sites", "a,b,c"],
        );
        let policy = Policy {
            facts: g.facts,
            operator: Operator::default(),
            most_direct: MOST_DIRECT,
        };
        let mut w = World::new(policy, g.rigs, 14, seed);
        w.lead();
        if seed % 2 == 1 {
            w.copies = 0.4;
            w.repeats = 0.4;
        }
        let mut cancelled = Vec::new();
        for n in 0..24u32 {
            let id = format!("wk-{n:06}");
            let (team, pieces, run) = (
                ["blue", "red"][n as usize % 2],
                rng.random_range(1..8).to_string(),
                rng.random_range(3..25).to_string(),
            );
            let mut words = vec![id.as_str(), "team", team, "pieces", &pieces, "run", &run];
            let shape = rng.random_range(0..4);
            words.extend(match shape {
                0 => vec!["shape", "gang", "together"],
                1 => vec!["scatter", "checkpoint", "4"],
                2 => vec!["spot", "checkpoint", "5"],
                _ => vec!["together"],
            });
            w.submit(spec(&words), run.parse().unwrap(), Vec::new());
            let hosts: Vec<HostId> = w.workers.keys().cloned().collect();
            let pick = (!hosts.is_empty()).then(|| hosts[rng.random_range(0..hosts.len())].clone());
            let until = w.now + Millis(rng.random_range(2_000..30_000));
            match (rng.random_range(0..12), pick) {
                (0, Some(h)) => w.workers.get_mut(&h).unwrap().hang_until(until),
                (1, Some(h)) => w.workers.get_mut(&h).unwrap().cut_until(until, Cut::Hold),
                (2, Some(h)) => w.workers.get_mut(&h).unwrap().cut_until(until, Cut::Drop),
                (3, Some(h)) => drop(w.workers.remove(&h)),
                (10, Some(h)) => w.workers.get_mut(&h).unwrap().deaf_until(until),
                (11, Some(h)) => {
                    let long = until + Millis(60_000);
                    w.workers.get_mut(&h).unwrap().deaf_until(long)
                }
                (4, _) => w.state_mute = w.now + Millis(2000),
                (5, _) => w.state_late = w.now + Millis(4000),
                (6, _) => w.cloud_down = until,
                (7, _) => w.drop_reports = 0.2,
                (8, _) => w.state_down = w.now + Millis(4000),
                _ => w.drop_reports = 0.0,
            }
            if rng.random_bool(0.15) {
                let id = JobId::from(id.as_str());
                if w.cancel(&id) {
                    cancelled.push(id);
                }
            }
            w.run_until(w.now + Millis(rng.random_range(500..9_000)));
            if rng.random_bool(0.25) {
                w.crash();
                w.run_until(w.now + Millis(rng.random_range(100..6_000)));
                w.lead();
            }
        }
        w.drop_reports = 0.0;
        let end = w.now + Millis(400_000);
        w.run_until(end);
        ended_well(&mut w, seed, &cancelled);
    }
}
