//! Stand-ins for the state service, the cloud, the workers and the users, in virtual time, around
//! the deterministic core; and a checker that applies the protocol's rules to what the stand-ins
//! see, knowing nothing of the core's ledgers.

pub mod checker;
mod cloud;
pub mod given;
mod leading;
pub mod store;
pub mod troubles;
pub mod worker;

use super::wire_digest::WireDigest;
use chalklug::coordination::attempts::reconciliation::HeartbeatOutcome;
use chalklug::coordination::leadership::authority::Authority;
use chalklug::coordination::{Effect, Event, Policy, Scheduler};
use chalklug::ids::*;
use chalklug::protocol::cloud::{ListedMachine, MachineTypeInfo};
use chalklug::protocol::state::{Change, KeyValue, Precondition, Transaction};
use chalklug::protocol::users::{JobPhase, JobSpec};
use chalklug::protocol::workers::{Command, WorkerStatus};
use chalklug::settings::LeaderTimes;
use chalklug::storage::records::*;
use chalklug::time::{Instant, TimeSpan};
use checker::Checker;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use store::Store;
use worker::Worker;

/// The grain of virtual time.
pub const GRAIN: TimeSpan = TimeSpan(100);

/// Open records are kept this short, so that producers often stand on pages of their own.
const MOST_OPEN_BYTES: usize = 420;

/// How a cut treats what is sent during it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Cut {
    Hold,
    Drop,
}

/// What is on its way.
enum Message {
    Heartbeat(WorkerStatus, Instant),
    Commands {
        machine_id: MachineId,
        token: FencingToken,
        commands: Vec<Command>,
        asked: Instant,
        session: Session,
    },
    Push {
        leader: FencingToken,
        token: FencingToken,
        machine_id: MachineId,
        seq: u64,
        session: Session,
        commands: Vec<Command>,
    },
    ToCore(FencingToken, Event),
    Apply {
        leader: FencingToken,
        seq: u64,
        transaction: Transaction,
        answer: bool,
    },
    MachinesTerminated {
        leader: FencingToken,
        machine_ids: Vec<MachineId>,
    },
}

pub struct World {
    pub now: Instant,
    pub policy: Arc<Policy>,
    pub machine_types: Vec<MachineTypeInfo>,
    pub capacity: u32,
    pub store: Store,
    pub workers: BTreeMap<MachineId, Worker>,
    pub specs: BTreeMap<JobId, JobSpec>,
    /// How long tasks of a job really run.
    pub runs: BTreeMap<JobId, f64>,
    pub progress: BTreeMap<TaskId, f64>,
    pub checker: Checker,
    pub rng: StdRng,
    core: Option<Scheduler>,
    /// The right to act of that core. Before `campaigns` it lasts for ever.
    authority: Option<Authority>,
    /// Leaders come and go by their leases: whoever loses its authority ends, and another takes over
    /// once the lease on the state service is over.
    pub campaigns: bool,
    times: LeaderTimes,
    /// When the present leader's lease on the state service ends, and its last touch.
    lease_until: Instant,
    touched: Instant,
    /// The state service refuses the present leader alone until then.
    pub leader_refused: Instant,
    /// Changes don't reach the leader until then, while its touches and writes are served.
    pub watch_stuck: Instant,
    /// Controllers don't hear of each other until then.
    pub peers_cut: Instant,
    seen_epoch: StoreRevision,
    leases: u64,
    messages: Vec<(Instant, u64, Message)>,
    /// Direct commands that were answered: they aren't given up as well.
    answered: BTreeSet<(FencingToken, u64)>,
    sent: u64,
    hired: BTreeMap<String, Vec<MachineId>>,
    rented: u32,
    list_history: Vec<(Instant, Vec<ListedMachine>)>,
    pub cloud_down: Instant,
    pub state_down: Instant,
    /// Answers of the state service are lost until then; its transactions come this late.
    pub state_mute: Instant,
    pub state_late: Instant,
    /// Changes never reach the leader, and no trouble excuses it: to show that the checker sees it.
    pub rogue_deaf: bool,
    /// Answers of the state service come a good second later until then.
    pub state_slow: Instant,
    /// The part of transactions that get no answer and are carried out late, after newer ones.
    pub late_writes: f64,
    pub drop_reports: f64,
    /// The part of reports, and of direct commands, of which a copy comes a good while later.
    pub copies: f64,
    pub repeats: f64,
    pub boot_never: u32,
    /// Of all that the leaders send.
    pub digest: WireDigest,
}

impl World {
    pub fn new(
        policy: Policy,
        machine_types: Vec<MachineTypeInfo>,
        capacity: u32,
        seed: u64,
    ) -> World {
        World {
            now: Instant(0),
            checker: Checker::new(policy.facts.clone(), machine_types.clone()),
            authority: None,
            campaigns: false,
            times: LeaderTimes::derive(&policy.facts.workers, &policy.operator)
                .expect("cancel_s leaves room beyond lease_s"),
            lease_until: Instant(0),
            touched: Instant(0),
            leader_refused: Instant(0),
            watch_stuck: Instant(0),
            peers_cut: Instant(0),
            policy: Arc::new(policy),
            machine_types,
            capacity,
            store: Store::default(),
            workers: BTreeMap::new(),
            specs: BTreeMap::new(),
            runs: BTreeMap::new(),
            progress: BTreeMap::new(),
            rng: StdRng::seed_from_u64(seed),
            core: None,
            seen_epoch: StoreRevision(0),
            leases: 0,
            messages: Vec::new(),
            answered: BTreeSet::new(),
            sent: 0,
            hired: BTreeMap::new(),
            rented: 0,
            list_history: Vec::new(),
            cloud_down: Instant(0),
            state_down: Instant(0),
            state_mute: Instant(0),
            state_late: Instant(0),
            rogue_deaf: false,
            state_slow: Instant(0),
            late_writes: 0.0,
            drop_reports: 0.0,
            copies: 0.0,
            repeats: 0.0,
            boot_never: 0,
            digest: WireDigest::new(),
        }
    }

    pub fn submit(&mut self, spec: JobSpec, run_s: f64, after: Vec<JobId>) {
        let id = spec.id.clone();
        self.runs.insert(id.clone(), run_s);
        self.specs.insert(id.clone(), spec.clone());
        let mut record = OpenJobRecord {
            spec: spec.clone(),
            at_ms: 0,
            after: after.clone(),
            dependency_pages: 0,
        };
        let pages = record.move_dependencies_to_pages(MOST_OPEN_BYTES);
        for (page, names) in (0..).zip(pages.expect("a short description")) {
            let data = serde_json::to_value(names).unwrap();
            let changes = vec![Change::put(dependency_page_key(&id, page), data)];
            let preconditions = Vec::new();
            self.store.apply(&Transaction {
                preconditions,
                changes,
            });
        }
        // As controllers do: with a cancelled producer it is cancelled from the start.
        let named_cancelled = |p: &JobId| self.store.phase(p) == Some(JobPhase::Cancelled);
        let first = if after.iter().any(named_cancelled) {
            let terminal_record = TerminalRecord::cancelled(spec.tasks);
            Change::put(
                terminal_key(&id),
                serde_json::to_value(&terminal_record).unwrap(),
            )
        } else {
            Change::put(open_key(&id), serde_json::to_value(&record).unwrap())
        };
        let absent = |key| Precondition {
            key,
            revision: KeyRevision(0),
        };
        let transaction = Transaction {
            preconditions: vec![absent(open_key(&id)), absent(terminal_key(&id))],
            changes: vec![first],
        };
        assert!(
            self.store.apply(&transaction).is_some(),
            "a job is submitted once"
        );
        self.checker.accepted(self.now, spec, after);
    }

    /// An open record with all its producers, as controllers read it.
    fn open_record(&self, item: KeyValue) -> OpenJobRecord {
        let mut record: OpenJobRecord = serde_json::from_value(item.data).unwrap();
        for page in 0..record.dependency_pages {
            let item = self.store.get(&dependency_page_key(&record.spec.id, page));
            let names = item
                .expect("a page is there as long as the job is open")
                .data;
            record
                .after
                .extend(serde_json::from_value::<Vec<JobId>>(names).unwrap());
        }
        record
    }

    /// A user cancels; whether a controller confirmed it.
    pub fn cancel(&mut self, id: &JobId) -> bool {
        if self.campaigns && self.now < self.state_down {
            // No controller can confirm it: the user is told to come back.
            return false;
        }
        let Some(open) = self.store.get(&open_key(id)) else {
            return false;
        };
        let terminal_record = TerminalRecord::cancelled(self.specs[id].tasks);
        let transaction = Transaction {
            preconditions: vec![Precondition {
                key: open_key(id),
                revision: open.revision,
            }],
            changes: vec![
                Change::Delete {
                    delete: open_key(id),
                },
                Change::put(
                    terminal_key(id),
                    serde_json::to_value(&terminal_record).unwrap(),
                ),
            ],
        };
        assert!(self.store.apply(&transaction).is_some());
        self.checker.cancelled(id, self.now);
        // Whoever confirmed it tells its siblings.
        if let Some(leader) = self.core.as_ref().map(Scheduler::initial_token) {
            if self.campaigns && self.now >= self.peers_cut {
                let cancelled = Event::JobCancelled { id: id.clone() };
                self.send(10, Message::ToCore(leader, cancelled));
            }
        }
        true
    }

    /// An order that the service itself would never send, to show that the checker sees it.
    pub fn rogue(&mut self, machine_id: &MachineId, order: Command) {
        self.launches_leave(std::slice::from_ref(&order));
        let (runs, specs, progress) = (&self.runs, &self.specs, &mut self.progress);
        if let Some(w) = self.workers.get_mut(machine_id) {
            w.execute(self.now, &order, specs, runs, progress, &self.machine_types);
        }
    }

    fn send(&mut self, delay_ms: i64, m: Message) {
        self.sent += 1;
        self.messages
            .push((self.now + TimeSpan(delay_ms), self.sent, m));
    }

    pub fn run_until(&mut self, end: Instant) {
        while self.now < end {
            self.now += GRAIN;
            self.tick();
        }
    }

    fn tick(&mut self) {
        let now = self.now;
        if self.campaigns {
            self.keep_lease();
        }
        self.workers_live();
        let mut due: Vec<_> = Vec::new();
        let mut i = 0;
        while i < self.messages.len() {
            if self.messages[i].0 <= now {
                due.push(self.messages.swap_remove(i));
            } else {
                i += 1;
            }
        }
        due.sort_by_key(|(t, n, _)| (*t, *n));
        for (_, _, m) in due {
            self.deliver(m);
        }
        self.watch();
        if now.0 % 3000 == 0 {
            self.list_machines();
        }
        let effects = self.core.as_mut().map_or(Vec::new(), |c| c.step(now));
        self.digest.effects(now, &effects);
        for e in effects {
            self.carry_out(e);
        }
        if self.troubled() {
            self.checker.troubled = now;
        }
        if let Some(Err(e)) = self.core.as_ref().map(Scheduler::audit) {
            panic!("{:.1} s: the ledgers are out of step: {e}", now.secs());
        }
        self.checker.look(now, &self.workers, &self.store);
    }

    /// Whether any trouble goes on.
    fn troubled(&self) -> bool {
        let until = [
            self.cloud_down,
            self.state_down,
            self.state_mute,
            self.state_late,
            self.state_slow,
            self.leader_refused,
            self.watch_stuck,
            self.peers_cut,
        ];
        let now = self.now;
        until.iter().any(|t| now < *t)
            || self.core.is_none()
            || self.drop_reports + self.late_writes + self.copies + self.repeats > 0.0
            || self.workers.values().any(|w| w.troubled(now) || w.sick)
    }

    fn workers_live(&mut self) {
        let now = self.now;
        let mut reports = Vec::new();
        for w in self.workers.values_mut() {
            w.live(
                now,
                &self.specs,
                &mut self.progress,
                &self.policy.facts.workers,
            );
            if let Some(r) = w.report_due(now, &self.policy.facts.workers, &mut self.rng) {
                reports.push(r);
            }
        }
        worker::gangs(
            now,
            &mut self.workers,
            &self.specs,
            &self.policy.facts.workers,
        );
        for r in reports {
            if self.rng.random_bool(self.drop_reports) || self.workers[&r.machine_id].mute(now) {
                continue;
            }
            let cut = self.workers[&r.machine_id].cut(now).is_some();
            if !cut && self.rng.random_bool(self.copies) {
                let late = self.lateness();
                self.send(late, Message::Heartbeat(r.clone(), now));
            }
            self.through_cut(&r.machine_id.clone(), 10, Message::Heartbeat(r, now));
        }
    }

    /// How late a copy comes: from seconds to well over a lease.
    fn lateness(&mut self) -> i64 {
        let lease = TimeSpan::from_secs(self.policy.facts.workers.lease_s).0;
        self.rng.random_range(1_000..lease * 3)
    }

    /// Sends something to or from a machine, as the cut around it allows.
    fn through_cut(&mut self, machine_id: &MachineId, delay: i64, m: Message) {
        let now = self.now;
        match self.workers.get(machine_id).map(|w| w.cut(now)) {
            Some(Some((until, Cut::Hold))) => {
                let wait = (until - now).0 + delay;
                self.send(wait, m);
            }
            Some(Some((_, Cut::Drop))) | None => {}
            Some(None) => self.send(delay, m),
        }
    }

    fn deliver(&mut self, m: Message) {
        let now = self.now;
        match m {
            Message::Heartbeat(report, asked) => {
                let Some(core) = self.core.as_mut() else {
                    return;
                };
                let answer = core.heartbeat(now, &report);
                let token = core.token();
                self.digest.check_in_answer(now, token, &answer);
                if let HeartbeatOutcome::Commands(commands) = answer {
                    self.launches_leave(&commands);
                    let machine_id = report.machine_id.clone();
                    let m = Message::Commands {
                        machine_id: machine_id.clone(),
                        token,
                        commands,
                        asked,
                        session: report.session,
                    };
                    self.through_cut(&machine_id, 10, m);
                }
            }
            Message::Commands {
                machine_id,
                token,
                commands,
                asked,
                session,
            } => {
                let Some(w) = self.workers.get_mut(&machine_id) else {
                    return;
                };
                // The worker drops answers after 4 s, of earlier sessions, and of lower tokens.
                if now - asked > TimeSpan(4000)
                    || w.deaf(now)
                    || w.session != session
                    || token < w.token
                    || !w.awake(now)
                {
                    return;
                }
                w.token = token;
                w.lease_from = asked;
                for o in &commands {
                    w.execute(
                        now,
                        o,
                        &self.specs,
                        &self.runs,
                        &mut self.progress,
                        &self.machine_types,
                    );
                }
            }
            Message::Push {
                leader,
                token,
                machine_id,
                seq,
                session,
                commands,
            } => {
                let Some(w) = self.workers.get_mut(&machine_id) else {
                    return;
                };
                if let Some(until) = w.asleep_until(now) {
                    // A hanging machine executes it when it resumes.
                    let wait = (until - now).0 + 100;
                    self.send(
                        wait,
                        Message::Push {
                            leader,
                            token,
                            machine_id,
                            seq,
                            session,
                            commands,
                        },
                    );
                    return;
                }
                if w.deaf(now) {
                    return;
                }
                if token >= w.token && session == w.session {
                    w.token = token;
                    for o in &commands {
                        w.execute(
                            now,
                            o,
                            &self.specs,
                            &self.runs,
                            &mut self.progress,
                            &self.machine_types,
                        );
                    }
                }
                let status = Box::new(w.report());
                let answer = Event::PushAnswered {
                    machine_id: machine_id.clone(),
                    seq,
                    status,
                };
                self.through_cut(&machine_id, 10, Message::ToCore(leader, answer));
            }
            Message::ToCore(leader, event) => {
                // A direct command is answered or given up, whichever comes first.
                if let Event::PushAnswered { seq, .. } | Event::PushFailed { seq, .. } = &event {
                    if !self.answered.insert((leader, *seq)) {
                        return;
                    }
                }
                if let Some(core) = self.core.as_mut().filter(|c| c.initial_token() == leader) {
                    core.on(now, event);
                }
            }
            Message::Apply {
                leader,
                seq,
                transaction,
                answer,
            } => {
                let current = self.core.as_ref().map(Scheduler::initial_token) == Some(leader);
                if now < self.state_down || (current && now < self.leader_refused) {
                    if answer {
                        self.send(10, Message::ToCore(leader, Event::NotWritten { seq }));
                    }
                    return;
                }
                let outcome = self.store.apply(&transaction);
                if answer {
                    let event = match outcome {
                        Some(store_revision) => Event::Written {
                            seq,
                            store_revision,
                        },
                        None => Event::WriteUnclear {
                            seq,
                            failed: Vec::new(),
                        },
                    };
                    self.send(10, Message::ToCore(leader, event));
                }
            }
            Message::MachinesTerminated {
                leader,
                machine_ids,
            } => {
                for h in &machine_ids {
                    self.workers.remove(h);
                }
                self.send(
                    10,
                    Message::ToCore(leader, Event::MachinesTerminated { machine_ids }),
                );
            }
        }
    }

    fn carry_out(&mut self, e: Effect) {
        let Some(leader) = self.core.as_ref().map(Scheduler::initial_token) else {
            return;
        };
        let now = self.now;
        match e {
            Effect::Write { seq, transaction } => {
                let mute = now < self.state_mute;
                if mute {
                    let unclear = Event::WriteUnclear {
                        seq,
                        failed: Vec::new(),
                    };
                    self.send(900, Message::ToCore(leader, unclear));
                }
                let mut late = if now < self.state_late { 3000 } else { 10 };
                if self.rng.random_bool(self.late_writes) {
                    late = self.rng.random_range(2_000..12_000);
                }
                if late > 10 && !mute {
                    let unclear = Event::WriteUnclear {
                        seq,
                        failed: Vec::new(),
                    };
                    self.send(900, Message::ToCore(leader, unclear));
                }
                let answer = !mute && late == 10;
                // Answered in time, but only just.
                let slow = if now < self.state_slow { 700 } else { 0 };
                self.send(
                    late + slow,
                    Message::Apply {
                        leader,
                        seq,
                        transaction,
                        answer,
                    },
                );
            }
            Effect::Reread { seq, keys } => {
                let items = keys
                    .iter()
                    .map(|k| (k.clone(), self.store.get(k)))
                    .collect();
                // The read is made again until it is answered.
                let wait = self.leader_refused.max(self.state_down) - now;
                let wait = if self.campaigns { wait.0.max(0) } else { 0 };
                self.send(
                    wait + 20,
                    Message::ToCore(leader, Event::Reread { seq, items }),
                );
            }
            Effect::ReadTerminalRecords { ids } => {
                let terminal_record = |id: &JobId| {
                    let item = self.store.get(&terminal_key(id))?;
                    Some(serde_json::from_value(item.data).unwrap())
                };
                let terminal_records = ids
                    .iter()
                    .map(|id| (id.clone(), terminal_record(id)))
                    .collect();
                let wait = self.leader_refused.max(self.state_down) - now;
                let wait = if self.campaigns { wait.0.max(0) } else { 0 };
                self.send(
                    wait + 20,
                    Message::ToCore(leader, Event::TerminalRecordsRead { terminal_records }),
                );
            }
            Effect::Push {
                machine_id,
                seq,
                token,
                session,
                commands,
                ..
            } => {
                self.launches_leave(&commands);
                let lost = Event::PushFailed {
                    machine_id: machine_id.clone(),
                    seq,
                    sent: true,
                };
                self.send(2500, Message::ToCore(leader, lost));
                let m = |commands| Message::Push {
                    leader,
                    token,
                    machine_id: machine_id.clone(),
                    seq,
                    session,
                    commands,
                };
                if self.rng.random_bool(self.repeats) {
                    let late = self.lateness();
                    self.send(late, m(commands.clone()));
                }
                self.through_cut(&machine_id, 10, m(commands));
            }
            Effect::ScaleOut {
                idempotency_key,
                machine_type,
                zone,
                spot,
                count,
            } => {
                let event = if now < self.cloud_down {
                    Event::ScaleOutUnclear { idempotency_key }
                } else {
                    let machine_ids =
                        self.rent(&idempotency_key, &machine_type, &zone, spot, count);
                    Event::ScaleOutAnswered {
                        idempotency_key,
                        machine_ids,
                    }
                };
                self.send(120, Message::ToCore(leader, event));
            }
            Effect::ScaleIn { machine_ids } => {
                if now < self.cloud_down {
                    self.send(
                        120,
                        Message::ToCore(leader, Event::ScaleInFailed { machine_ids }),
                    );
                } else {
                    self.send(
                        120,
                        Message::MachinesTerminated {
                            leader,
                            machine_ids,
                        },
                    );
                }
            }
            Effect::StepDown { .. } => self.crash(),
        }
    }

    /// The user's view of a job, read as controllers read it.
    pub fn poll(&self, id: &JobId) -> Option<JobPhase> {
        self.store.phase(id)
    }

    /// Machines that tasks of the job are on.
    pub fn hosts_of(&self, id: &JobId) -> BTreeSet<MachineId> {
        self.workers
            .values()
            .filter(|w| w.on_machine().any(|(p, _)| p.job == *id))
            .map(|w| w.id.clone())
            .collect()
    }
}
