//! The scheduler: a deterministic state machine. Events and a `now` go in, effects come out;
//! there is no I/O, clock, thread or random number inside. The runtime around it carries the effects
//! out, and checks the leader's authority again as each one leaves.

pub mod attempts;
pub mod autoscaler;
mod effect;
mod event;
pub mod jobs;
pub mod leadership;
pub mod machines;
pub mod persistence;
pub mod placement;
mod policy;

pub use effect::Effect;
pub use event::Event;
pub use policy::Policy;

use crate::ids::{AttemptId, FencingToken, Image, JobId, KeyRevision, MachineId, MachineType};
use crate::protocol::cloud::MachineTypeInfo;
use crate::protocol::users::JobSpec;
use crate::resources::Resources;
use crate::storage::records::OpenJobRecord;
use crate::time::{Instant, TimeSpan};
use crate::transport::budget::Budget;
use attempts::ledger::Indexes;
use autoscaler::{arrivals, Autoscaler};
use jobs::aging::Aging;
use jobs::estimates;
use jobs::graph::Graph;
use jobs::job::Job;
use jobs::lifecycle::{Closure, TerminalRecordReads};
use leadership::authority::LeadershipTerm;
use machines::machine::{Machine, MachineState};
use persistence::Writer;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The state of one leadership.
pub struct Scheduler {
    pub(crate) policy: Arc<Policy>,
    pub(crate) term: LeadershipTerm,
    /// The time of day at the steady clock's zero: for hints about ages in records.
    pub(crate) day_ms: u64,
    /// When this leadership began: no former leader has answered a worker since.
    pub(crate) term_began_at: Instant,
    pub(crate) machine_types: BTreeMap<MachineType, MachineTypeInfo>,
    pub(crate) jobs: BTreeMap<JobId, Job>,
    pub(crate) graph: Graph,
    /// The reading of finish marks of producers that are not held here.
    pub(crate) terminal_record_reads: TerminalRecordReads,
    pub(crate) machines: BTreeMap<MachineId, Machine>,
    /// What each team uses, and what is looked up often: kept in step by `attempts.rs`.
    pub(crate) used: Vec<Resources>,
    pub(crate) indexes: Indexes,
    /// Names that the cloud confirmed gone: late reports of theirs mean nothing.
    pub(crate) gone: BTreeSet<MachineId>,
    pub(crate) fleet: Autoscaler,
    pub(crate) aging: Aging,
    pub(crate) writer: Writer,
    pub(crate) effects: Vec<Effect>,
    pub(crate) next_seq: u64,
    pub(crate) next_attempt: u64,
    /// Something changed that placement should look at.
    pub(crate) placement_due: bool,
    pub(crate) last_recheck: Instant,
    /// Tasks that may be placed: the processor must keep up with what comes of them.
    pub(crate) placement_budget: Budget,
    /// When placement last looked, and how far the spread-out review of machines has come.
    pub(crate) last_pass: Instant,
    pub(crate) last_preempt: Instant,
    pub(crate) reviewed: u64,
    /// Machines whose starts are to be looked at, gangs that may be broken, machines that may have
    /// something to be told directly, and how many direct commands are awaited.
    pub(crate) machines_to_review: BTreeSet<MachineId>,
    pub(crate) gangs_to_check: BTreeSet<JobId>,
    pub(crate) pushes_due: BTreeSet<MachineId>,
    pub(crate) pushes_in_flight: usize,
    /// Observed against guessed run times, per class: an estimate for slack and for renting.
    pub(crate) observed: BTreeMap<String, estimates::Observed>,
    /// Arrivals of classes that want to start soon, the machines that stand by for them, and how
    /// many are missing.
    pub(crate) demand: BTreeMap<String, arrivals::ArrivalRate>,
    pub(crate) warm_pool: BTreeMap<MachineId, String>,
    pub(crate) warm_pool_missing: Vec<(JobSpec, u32)>,
    /// GPUs of machines that have each image cached.
    pub(crate) gpus_by_cached_image: BTreeMap<Image, f64>,
}

/// How many starts the ledger lists, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptCounts {
    pub all: usize,
    /// Of jobs that are not open any more: they are to be stopped.
    pub of_closed_jobs: usize,
}

/// Counts of one job, for display.
pub type JobCounts = (JobId, u32, u32);

impl Scheduler {
    /// The leader's token.
    pub fn token(&self) -> FencingToken {
        self.term.token
    }

    /// The token that this leadership began with.
    pub fn first_token(&self) -> FencingToken {
        self.term.first
    }

    /// Machines whose workers should be reporting.
    pub fn machines_up(&self) -> usize {
        let up = |m: &&Machine| m.state == MachineState::Up;
        self.machines.values().filter(up).count()
    }

    /// Starts that may be on machines, and those of them whose job is not open any more.
    pub fn attempt_counts(&self) -> AttemptCounts {
        let mut listed = AttemptCounts::default();
        for attempt in self.machines.values().flat_map(|m| m.attempts.values()) {
            let open = self.jobs.get(&attempt.task.job).is_some_and(|j| !j.closed);
            listed.all += 1;
            listed.of_closed_jobs += usize::from(!open);
        }
        listed
    }

    pub(crate) fn seq(&mut self) -> u64 {
        self.next_seq += 1;
        self.next_seq
    }

    /// An attempt never used before: tokens are unique for ever, and so is the count within one.
    pub fn fresh_attempt(&mut self) -> AttemptId {
        self.next_attempt += 1;
        AttemptId((self.term.first.0 << ATTEMPT_BITS) | (self.next_attempt & ATTEMPT_MASK))
    }

    /// What one machine of the type offers.
    pub(crate) fn capacity(&self, machine_type: &MachineType) -> Resources {
        self.machine_types
            .get(machine_type)
            .map_or(Resources::default(), |r| Resources {
                cpus: r.cpus,
                gpus: r.gpus,
                ram_gb: r.ram_gb,
            })
    }

    /// Takes in an event.
    pub fn on(&mut self, now: Instant, event: Event) {
        match event {
            Event::JobOpened {
                record,
                revision,
                submitted,
            } => self.job_opened(now, *record, revision, submitted),
            Event::JobClosed { id } => self.job_closed(now, &id, Closure::Unknown),
            Event::JobCancelled { id } => self.job_closed(now, &id, Closure::Cancelled),
            Event::TerminalRecordsRead { terminal_records } => {
                self.terminal_records_read(now, terminal_records)
            }
            Event::OpenJobs { jobs } => self.open_jobs(now, jobs),
            Event::PushAnswered {
                machine_id,
                seq,
                status,
            } => self.push_answered(now, &machine_id, seq, &status),
            Event::PushFailed {
                machine_id,
                seq,
                sent,
            } => self.push_failed(now, &machine_id, seq, sent),
            Event::MachineTypes(machine_types) => {
                self.machine_types = machine_types
                    .into_iter()
                    .map(|r| (r.name.clone(), r))
                    .collect();
                self.recount_room();
                self.placement_due = true;
            }
            Event::MachinesListed { asked, machines } => self.machines_listed(now, asked, machines),
            Event::ScaleOutAnswered {
                idempotency_key,
                machine_ids,
            } => self.rented(now, &idempotency_key, machine_ids),
            Event::ScaleOutUnclear { idempotency_key } => self.rent_unclear(now, &idempotency_key),
            Event::MachinesTerminated { machine_ids } => self.returned(now, &machine_ids),
            Event::ScaleInFailed { machine_ids } => self.return_failed(now, &machine_ids),
            Event::Written {
                seq,
                store_revision,
            } => self.written(now, seq, store_revision),
            Event::NotWritten { seq } => self.not_written(now, seq),
            Event::WriteLimited { seq, pause } => self.write_limited(now, seq, pause),
            Event::WriteRejected { seq } => self.write_rejected(now, seq),
            Event::WriteUnclear { seq, failed } => self.write_unclear(now, seq, &failed),
            Event::Reread { seq, items } => self.reread(now, seq, items),
        }
    }

    /// Decides: called soon after events, and at least once a second.
    pub fn step(&mut self, now: Instant) -> Vec<Effect> {
        if (now - self.last_recheck).0 >= 1000 {
            self.last_recheck = now;
            self.graph.recheck();
            self.apply_graph_changes(now);
            self.recheck_machines(now);
            self.recheck_aging(now);
            self.recheck_images();
            self.forget_closed_jobs();
            self.log_state(now);
            self.placement_due = true;
        }
        self.read_terminal_records(now);
        self.stop_unwanted(now);
        if self.placement_due && now - self.last_pass >= PASS_EVERY {
            self.last_pass = now;
            self.placement_due = false;
            self.graph.refresh();
            self.choose_warm_pool(now);
            let unplaced = self.place(now);
            self.preempt(now, &unplaced);
            self.size_fleet(now, unplaced);
        }
        self.write(now);
        self.send_pushes(now);
        std::mem::take(&mut self.effects)
    }

    /// Counts of open jobs, for display only.
    pub fn counts(&self) -> Vec<JobCounts> {
        self.jobs
            .iter()
            .filter(|(_, j)| !j.closed)
            .map(|(id, j)| (id.clone(), j.done.count(), j.running))
            .filter(|(_, done, running)| *done + *running > 0)
            .collect()
    }

    /// Counts of one job, for display only.
    pub fn counts_of(&self, id: &JobId) -> (u32, u32) {
        let job = self.jobs.get(id);
        job.map_or((0, 0), |j| (j.done.count(), j.running))
    }

    fn open_jobs(&mut self, now: Instant, jobs: Vec<(OpenJobRecord, KeyRevision, Instant)>) {
        let listed: BTreeSet<JobId> = jobs.iter().map(|(r, _, _)| r.spec.id.clone()).collect();
        let closed: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(id, j)| !j.closed && !listed.contains(*id))
            .map(|(id, _)| id.clone())
            .collect();
        for id in closed {
            self.job_closed(now, &id, Closure::Unknown);
        }
        for (record, revision, submitted) in jobs {
            self.job_opened(now, record, revision, submitted);
        }
    }

    /// Jobs that are over and have nothing left anywhere need not be remembered.
    fn forget_closed_jobs(&mut self) {
        let idle: Vec<JobId> = self
            .indexes
            .finished
            .iter()
            .filter(|id| !self.writer.mentions(id))
            .cloned()
            .collect();
        for id in idle {
            self.jobs.remove(&id);
            self.index_job(&id);
            self.graph.forget(&id);
        }
    }
}

/// Bits of an attempt's number that count within one leadership. Guards against numbers that come again:
/// with 20 bits they did after eleven hours of passes without a change of leaders; this takes five years.
const ATTEMPT_BITS: u32 = 32;
const ATTEMPT_MASK: u64 = (1 << ATTEMPT_BITS) - 1;

/// Placement looks at most this often: what happens in between is decided together.
const PASS_EVERY: TimeSpan = TimeSpan(40);
