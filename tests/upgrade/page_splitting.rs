//! Pages written before the state store's limit on value sizes was lowered: a new leader splits them into pages that
//! the store accepts, and at no moment is a machine missing from all pages.

use super::machine_type::machine_type;
use super::recorded_scheduler::RecordedScheduler;
use super::simulation::state_store::StateStore;
use chalklug::config::OperatorConfig;
use chalklug::coordination::leadership::recovery::RecoveredState;
use chalklug::coordination::leadership::LeadershipTerm;
use chalklug::coordination::{Effect, Event, OpenJob, Policy, RequestId, TerminalRecordRead};
use chalklug::ids::*;
use chalklug::protocol::state::{Change, Transaction};
use chalklug::protocol::users::parse_submission;
use chalklug::storage::records::*;
use chalklug::time::{Instant, TimeSpan};
use std::collections::BTreeSet;
use std::sync::Arc;

const MACHINES: u32 = 4_500;
/// As many as fit into a page of 8 KiB.
const MACHINES_PER_PAGE: u32 = 89;
/// The number of writes that the state store refuses because of its rate limit.
const RATE_LIMITED_WRITES: usize = 3;
/// The state store's lowered limits.
const MAX_VALUE_BYTES: usize = 2 * 1024;
const MAX_TRANSACTION_CHANGES: usize = 4;

/// The setting that announces the lowered limits.
const ANNOUNCED_LIMITS: &str = "next = { write_rps = 18.0, value_kb = 2.0, txn_ops = 4 }";

fn policy(announced_limits: &str) -> Arc<Policy> {
    let text = r#"
        teams = [{ name = "blue", gpus = 800.0, gpus_max = 1600.0 }]
        workers = { report_s = 5.0, lease_s = 26.0, gang_wait_s = 40.0, gang_peer_s = 4.0, cancel_s = 51.0 }
        state = { rps = 100.0, write_rps = 25.0, value_kb = 8.0, txn_ops = 20, NEXT }
        cloud = { rps = 6.0, list_lag_s = 6.0 }
        quota = { cores = 0.1, memory_mb = 150.0, max_sockets = 3000 }
    "#;
    let text = text.replace("NEXT", announced_limits);
    let mut facts: chalklug::config::DeploymentFacts =
        toml::from_str(&text).expect("the settings can be parsed");
    facts.state = facts.state.effective();
    Arc::new(Policy {
        facts,
        operator: OperatorConfig::default(),
        max_pushes: 100,
    })
}

fn machine_id(n: u32) -> MachineId {
    MachineId::from(format!("host-{n:06}").as_str())
}

/// Returns a state store with the machine pages of a former leader whose limit was 8 KiB. The machines have no cached
/// images.
fn large_pages() -> StateStore {
    let mut store = StateStore::default();
    for first in (0..MACHINES).step_by(MACHINES_PER_PAGE as usize) {
        let mut page = MachinePage {
            kinds: vec![MachineKind::new(
                MachineType::from("box"),
                Zone::from("a"),
                false,
            )],
            ..MachinePage::default()
        };
        for n in first..(first + MACHINES_PER_PAGE).min(MACHINES) {
            let entry = MachineEntry {
                kind: 0,
                rented_s: 1_700_000_000,
                has_reported: true,
                images: vec![],
            };
            page.machines.insert(machine_id(n), entry);
        }
        let key = machine_page_key(PageNumber(first / MACHINES_PER_PAGE));
        let data = serde_json::to_value(&page).expect("the page can be serialized");
        let changes = vec![Change::put(key, data)];
        let preconditions = Vec::new();
        store
            .apply(&Transaction {
                preconditions,
                changes,
            })
            .expect("a transaction without preconditions is applied");
    }
    store
}

/// Returns the scheduler of a new leader that has recovered from the state store.
fn recover(
    store: &StateStore,
    now: Instant,
    token: u64,
    announced_limits: &str,
) -> RecordedScheduler {
    let term = LeadershipTerm {
        token: FencingToken(token),
        initial_token: FencingToken(token),
        leader_key_revision: KeyRevision(0),
        token_counter_revision: KeyRevision(0),
        lease: LeaseId(1),
        host_name: "controller-1".into(),
    };
    let recovered = RecoveredState {
        machine_pages: store.list(MACHINE_PAGE_PREFIX),
        intent_pages: store.list(INTENT_PAGE_PREFIX),
        machine_types: vec![machine_type(8.0)],
        unix_time_at_zero_ms: 1_700_000_000_000,
        ..RecoveredState::default()
    };
    RecordedScheduler::recover(policy(announced_limits), term, now, recovered)
        .expect("all pages can be read")
}

/// Returns the machines on all pages; a machine on several pages is listed once for each.
fn listed_machines(store: &StateStore) -> Vec<MachineId> {
    let pages = store.list(MACHINE_PAGE_PREFIX).into_iter();
    let pages = pages
        .map(|i| serde_json::from_value::<MachinePage>(i.data).expect("the page can be parsed"));
    pages.flat_map(|p| p.machines.into_keys()).collect()
}

/// Returns the sizes of the machine pages, in bytes.
fn page_sizes_bytes(store: &StateStore) -> Vec<usize> {
    let pages = store.list(MACHINE_PAGE_PREFIX);
    pages.iter().map(|i| i.data.to_string().len()).collect()
}

/// Whether the transaction is within the state store's lowered limits.
fn is_accepted(transaction: &Transaction) -> bool {
    let is_too_large = |change: &Change| match change {
        Change::Put { data, .. } => data.to_string().len() > MAX_VALUE_BYTES,
        Change::Delete { .. } => false,
    };
    transaction.changes.len() <= MAX_TRANSACTION_CHANGES
        && !transaction.changes.iter().any(is_too_large)
}

/// Runs the scheduler for `span`, and asserts after each transaction that every machine is on a page. Returns the
/// number of transactions that the store rejected for their size.
fn run_for(
    scheduler: &mut RecordedScheduler,
    store: &mut StateStore,
    now: &mut Instant,
    span: TimeSpan,
) -> usize {
    let all: BTreeSet<MachineId> = (0..MACHINES).map(machine_id).collect();
    let end = *now + span;
    let mut rejected = 0;
    while *now < end {
        *now += TimeSpan(100);
        for effect in scheduler.step(*now) {
            let Effect::Write {
                request_id,
                transaction,
            } = effect
            else {
                continue;
            };
            if !is_accepted(&transaction) {
                rejected += 1;
                scheduler.handle(*now, Event::WriteRejected { request_id });
                continue;
            }
            let store_revision = store
                .apply(&transaction)
                .expect("all preconditions hold, since nobody else writes");
            scheduler.write_applied(*now, request_id, store_revision);
            let on_pages: BTreeSet<MachineId> = listed_machines(store).into_iter().collect();
            assert_eq!(on_pages, all, "a machine is on no page");
        }
    }
    rejected
}

#[test]
fn large_pages_are_split_without_losing_a_machine() {
    let mut store = large_pages();
    assert!(page_sizes_bytes(&store)
        .iter()
        .any(|bytes| *bytes > MAX_VALUE_BYTES));
    let mut now = Instant(1_000);
    let mut scheduler = recover(&store, now, 5, ANNOUNCED_LIMITS);
    let rejected = run_for(&mut scheduler, &mut store, &mut now, TimeSpan(60_000));
    assert_eq!(rejected, 0, "a transaction exceeds the announced limits");
    assert!(page_sizes_bytes(&store)
        .iter()
        .all(|bytes| *bytes <= MAX_VALUE_BYTES));
    assert_eq!(
        listed_machines(&store).len(),
        MACHINES as usize,
        "a machine is on several pages"
    );
}

/// Leaders crash at every stage of the split, and each new leader continues from the pages that it recovers.
#[test]
fn failovers_while_pages_are_split_lose_no_machine() {
    for term_ms in (200..4_000).step_by(400) {
        let mut store = large_pages();
        let mut now = Instant(1_000);
        for token in 5..9 {
            let mut scheduler = recover(&store, now, token, ANNOUNCED_LIMITS);
            assert_eq!(scheduler.machines_up(), MACHINES as usize);
            let rejected = run_for(&mut scheduler, &mut store, &mut now, TimeSpan(term_ms));
            assert_eq!(rejected, 0);
        }
        let mut scheduler = recover(&store, now, 9, ANNOUNCED_LIMITS);
        run_for(&mut scheduler, &mut store, &mut now, TimeSpan(90_000));
        assert!(page_sizes_bytes(&store)
            .iter()
            .all(|bytes| *bytes <= MAX_VALUE_BYTES));
        assert_eq!(
            listed_machines(&store).len(),
            MACHINES as usize,
            "after terms of {term_ms} ms"
        );
    }
}

/// Opens `count` jobs that depend on `wk-900`.
fn open_downstream_jobs(scheduler: &mut RecordedScheduler, now: Instant, count: u32) {
    for n in 0..count {
        let body = serde_json::json!({"ref": format!("wk-{n}"), "jobclass": "c", "crew": "blue",
            "shape": "array", "urgency": "normal", "pieces": 40, "cpus": 1, "gpus": 0, "ramGb": 1,
            "bundle": "i", "pullGb": 1, "together": false, "scatter": false, "loaners": false,
            "guessS": 50, "markEveryS": 0, "markCostS": 0});
        let spec = parse_submission(body.to_string().as_bytes())
            .expect("the submission is valid")
            .spec;
        let record = OpenJobRecord {
            spec,
            accepted_at_ms: 0,
            upstream_jobs: vec![JobId::from("wk-900")],
            dependency_pages: 0,
        };
        let opened = Event::JobOpened(Box::new(OpenJob {
            record,
            revision: KeyRevision(0),
            submitted_at: now,
        }));
        scheduler.handle(now, opened);
    }
}

/// The limits are lowered without announcement: the leader retries a rejected transaction with smaller batches and
/// values, and discovers what the store accepts after at most 12 rejections.
#[test]
fn unannounced_lower_limits_are_discovered() {
    let mut store = large_pages();
    let mut now = Instant(1_000);
    let mut scheduler = recover(&store, now, 5, "");
    // Enough jobs for transactions that exceed the limit on changes.
    open_downstream_jobs(&mut scheduler, now, 40);
    // Their upstream job is cancelled, so all of them have to be cancelled.
    let read = TerminalRecordRead {
        job: JobId::from("wk-900"),
        record: Some(TerminalRecord::cancelled(1)),
    };
    scheduler.handle(now, Event::TerminalRecordsRead(vec![read]));
    let rejected = run_for(&mut scheduler, &mut store, &mut now, TimeSpan(120_000));
    assert!((1..=12).contains(&rejected), "{rejected} rejected");
    assert_eq!(
        store.list(TERMINAL_PREFIX).len(),
        40,
        "terminal records are missing"
    );
}

/// The store refuses writes because of its rate limit: the leader writes nothing for the requested pause, and then
/// first writes the records that users wait for, and defers machine pages.
#[test]
fn rate_limiting_delays_only_deferrable_writes() {
    let store = large_pages();
    let mut now = Instant(1_000);
    let mut scheduler = recover(&store, now, 5, ANNOUNCED_LIMITS);
    open_downstream_jobs(&mut scheduler, now, 1);
    let read = TerminalRecordRead {
        job: JobId::from("wk-900"),
        record: Some(TerminalRecord::cancelled(1)),
    };
    scheduler.handle(now, Event::TerminalRecordsRead(vec![read]));
    let pause = TimeSpan(250);
    let mut rate_limited_at: Vec<Instant> = Vec::new();
    let first_applied = loop {
        now += TimeSpan(50);
        assert!(now < Instant(20_000), "the leader stopped writing");
        let Some((request_id, transaction)) = last_write(&mut scheduler, now) else {
            continue;
        };
        if let Some(last) = rate_limited_at.last() {
            let waited = now - *last;
            assert!(waited >= pause, "the leader wrote again after {waited:?}");
        }
        if rate_limited_at.len() == RATE_LIMITED_WRITES {
            break transaction;
        }
        rate_limited_at.push(now);
        scheduler.handle(now, Event::WriteRateLimited { request_id, pause });
    };
    let changes_of = |prefix: &str| {
        let changes = first_applied.changes.iter();
        changes.filter(|c| c.key().starts_with(prefix)).count()
    };
    let (terminal, pages) = (changes_of(TERMINAL_PREFIX), changes_of(MACHINE_PAGE_PREFIX));
    assert_eq!((terminal, pages), (1, 0), "{first_applied:?}");
}

/// Runs one step. Returns the last transaction that the scheduler requests, if any.
fn last_write(scheduler: &mut RecordedScheduler, now: Instant) -> Option<(RequestId, Transaction)> {
    let effects = scheduler.step(now).into_iter();
    let writes = effects.filter_map(|effect| match effect {
        Effect::Write {
            request_id,
            transaction,
        } => Some((request_id, transaction)),
        _ => None,
    });
    writes.last()
}
