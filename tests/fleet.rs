//! The core alone at 2,000 machines and some tens of thousands of tasks: what an event costs is
//! counted, not timed. The work asked of the outside must follow what changed, not the fleet.

use chalklug::bookkeeping::records::*;
use chalklug::coordination::leadership::Lead;
use chalklug::coordination::recovery::Inheritance;
use chalklug::coordination::worker_sessions::CheckInAnswer;
use chalklug::coordination::{Core, Effect, Event, Policy};
use chalklug::ids::*;
use chalklug::protocol::cloud::RigInfo;
use chalklug::protocol::state::{Change, Item};
use chalklug::protocol::users::parse_submission;
use chalklug::protocol::workers::{Order, PiecePhase, PieceReport, Report};
use chalklug::settings::*;
use std::collections::BTreeMap;
use std::sync::Arc;

const MACHINES: u64 = 2000;
const GPUS: u64 = 8;

fn policy() -> Arc<Policy> {
    let text = r#"
        teams = [{ name = "blue", gpus = 8000.0, gpus_max = 16000.0 }]
        workers = { report_s = 5.0, lease_s = 26.0, gang_wait_s = 40.0, gang_peer_s = 4.0, cancel_s = 51.0 }
        state = { rps = 150.0, write_rps = 30.0, value_kb = 4.0, txn_ops = 8 }
        cloud = { rps = 6.0, list_lag_s = 6.0 }
        quota = { cores = 0.1, memory_mb = 150.0, max_sockets = 3000 }
    "#;
    Arc::new(Policy {
        facts: toml::from_str(text).unwrap(),
        operator: Operator::default(),
        most_direct: 100,
    })
}

fn rig() -> RigInfo {
    RigInfo {
        name: Rig::from("box"),
        cpus: 64.0,
        gpus: GPUS as f64,
        ram_gb: 256.0,
        cache_gb: 150.0,
        fetch_gb_per_s: 1.0,
        price: 10.0,
        spot_price: 4.0,
        boot_s: 25.0,
        sites: vec![Site::from("a"), Site::from("b")],
    }
}

fn host(n: u64) -> HostId {
    HostId::from(format!("host-{n:06}").as_str())
}

/// Machines and a page of intents each, as a former leader left them: every GPU of them runs a task.
fn inherited() -> Inheritance {
    let mut pages = Vec::new();
    let mut hosts: BTreeMap<u64, HostsPage> = BTreeMap::new();
    for n in 0..MACHINES {
        let page = hosts.entry(n / 40).or_default();
        page.kinds = vec![(Rig::from("box"), Site::from("a"), false)];
        page.hosts.insert(host(n), HostNote(0, 0, true, vec![]));
    }
    let mut open = Vec::new();
    for j in 0..MACHINES / 10 {
        let id = format!("wk-{j:06}");
        let body = serde_json::json!({"ref": id, "jobclass": "c", "crew": "blue", "shape": "array",
            "urgency": "normal", "pieces": 10 * GPUS, "cpus": 1, "gpus": 1, "ramGb": 1, "bundle": "i",
            "pullGb": 1, "together": false, "scatter": false, "loaners": false, "guessS": 50,
            "markEveryS": 0, "markCostS": 0});
        let spec = parse_submission(body.to_string().as_bytes()).unwrap();
        let mut page = IntentsPage::default();
        for t in 0..10 * GPUS {
            let piece = PieceId::parse(&format!("{id}/{t}")).unwrap();
            page.add(&host(j * 10 + t / GPUS), &piece, Try(7));
        }
        page.jobs.insert(spec.id.clone(), JobTakes::of(&spec));
        pages.push(page);
        let record = OpenRecord {
            spec,
            at_ms: 0,
            after: Vec::new(),
        };
        open.push((record, Stamp(1), Millis(0)));
    }
    let item = |key: String, data| Item {
        key,
        data,
        stamp: Stamp(1),
        lease: None,
    };
    Inheritance {
        open,
        intents: pages
            .iter()
            .enumerate()
            .map(|(n, p)| {
                let key = intents_key(PageNo(n as u32));
                item(key, serde_json::to_value(p).unwrap())
            })
            .collect(),
        hosts: hosts
            .iter()
            .map(|(n, p)| {
                item(
                    hosts_key(PageNo(*n as u32)),
                    serde_json::to_value(p).unwrap(),
                )
            })
            .collect(),
        rigs: vec![rig()],
        ..Inheritance::default()
    }
}

fn lead(token: u64) -> Lead {
    Lead {
        token: Token(token),
        first: Token(token),
        stamp: Stamp(2),
        token_stamp: Stamp(2),
        lease: LeaseId(1),
        host_name: "n".into(),
    }
}

fn report(n: u64, tick: u64, token: u64, ended: usize) -> Report {
    let pieces = (0..GPUS).map(|t| {
        let ends = (t as usize) < ended;
        PieceReport {
            piece: PieceId::parse(&format!("wk-{:06}/{}", n / 10, (n % 10) * GPUS + t)).unwrap(),
            attempt: Try(7),
            phase: if ends {
                PiecePhase::Ended
            } else {
                PiecePhase::Running
            },
            cause: ends.then_some(chalklug::protocol::workers::Cause::Done),
            stored: false,
        }
    });
    Report {
        host: host(n),
        endpoint: format!("10.1.{}.{}:9000", n / 250, n % 250),
        rig: Rig::from("box"),
        site: Site::from("a"),
        spot: false,
        session: Session(1),
        tick: Tick(tick),
        token: Token(token),
        recall_s: None,
        pieces: pieces.collect(),
    }
}

fn writes(effects: &[Effect]) -> usize {
    let of = |e: &Effect| match e {
        Effect::Write { txn, .. } => txn.apply.len(),
        _ => 0,
    };
    effects.iter().map(of).sum()
}

#[test]
fn two_thousand_machines_are_taken_over_and_reports_without_news_cost_nothing() {
    let mut now = Millis(1000);
    let mut core = Core::take_over(policy(), lead(9), now, inherited()).unwrap();
    core.audit().unwrap();
    assert_eq!(core.machines_up(), MACHINES as usize);
    // Everything may be running: nothing of it is started, stopped, returned or rented for.
    let effects = core.step(now);
    assert!(
        effects.iter().all(|e| matches!(e, Effect::Write { .. })),
        "{effects:?}"
    );
    // Twice everybody reports, the second time with our token: every start is confirmed, none is
    // touched, and no report asks for a write or a command.
    let mut asked = 0;
    for round in 1..=2u64 {
        for n in 0..MACHINES {
            now = now + Millis(2);
            let r = report(n, round, if round == 1 { 8 } else { 9 }, 0);
            let answer = core.check_in(now, &r);
            assert_eq!(answer, CheckInAnswer::Orders(Vec::new()), "{n}");
            if n % 50 == 0 {
                let effects = core.step(now);
                asked += effects.len();
                for e in effects {
                    if let Effect::Write { seq, .. } = e {
                        let epoch = Epoch(100 + seq);
                        core.on(now, Event::Written { seq, epoch });
                    }
                }
            }
        }
    }
    core.audit().unwrap();
    assert!(asked <= 60, "{asked} effects for reports without news");
}

#[test]
fn what_a_wave_of_endings_asks_for_follows_the_wave() {
    let mut now = Millis(1000);
    let mut core = Core::take_over(policy(), lead(9), now, inherited()).unwrap();
    for n in 0..MACHINES {
        core.check_in(now, &report(n, 1, 9, 0));
    }
    core.step(now);
    // A tenth of all machines end what they run at once: 1,600 tasks of 20 jobs.
    let mut changes = 0;
    let mut finished = 0;
    for n in 0..MACHINES / 10 {
        now = now + Millis(1);
        core.check_in(now, &report(n, 2, 9, GPUS as usize));
    }
    // What is durable may be cleared: it takes a write for each job done, none for each task.
    for _ in 0..200 {
        now = now + Millis(100);
        let effects = core.step(now);
        changes += writes(&effects);
        for e in effects {
            if let Effect::Write { seq, txn } = e {
                let finish =
                    |c: &&Change| matches!(c, Change::Put { put, .. } if put.starts_with(FINAL));
                finished += txn.apply.iter().filter(finish).count();
                let epoch = Epoch(1000 + seq);
                core.on(now, Event::Written { seq, epoch });
            }
        }
    }
    core.audit().unwrap();
    assert_eq!(finished, 20, "each job that is done is finished once");
    assert!(changes <= 20 * 2 + 100, "{changes} changes");
    let cleared = match core.check_in(now, &report(3, 3, 9, GPUS as usize)) {
        CheckInAnswer::Orders(o) => o
            .iter()
            .filter(|o| matches!(o, Order::Clear { .. }))
            .count(),
        CheckInAnswer::Refuse => 0,
    };
    assert_eq!(cleared, GPUS as usize, "and its tombstones are cleared");
}
