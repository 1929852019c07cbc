//! The decision core: a deterministic state machine. Events and a `now` go in, effects come out;
//! there is no I/O, clock, thread or random number inside. The runtime around it carries the effects
//! out, and check the leader's authority again as each one leaves.

pub mod ageing;
mod candidates;
pub mod chains;
pub mod demand;
pub mod estimates;
pub mod fleet;
pub mod forecast;
pub mod graph;
pub mod images;
pub mod leadership;
pub mod orders;
pub mod placement;
pub mod preemption;
pub mod recovery;
mod reservations;
pub mod standby;
pub mod starts;
pub mod stops;
pub mod waiting;
pub mod worker_sessions;
pub mod writer;

use crate::coordination::leadership::Lead;
use crate::ids::{
    Attempt, Epoch, HostId, Image, JobId, MachineType, Millis, Session, Stamp, TeamNo, Token, Zone,
};
use crate::protocol::cloud::{CloudHost, MachineTypeInfo};
use crate::protocol::state::{Item, Txn};
use crate::protocol::users::JobSpec;
use crate::protocol::workers::{Order, Report};
use crate::settings::{Facts, Objective, Operator, Settings, Team};
use crate::storage::ledger::{Amount, Job, Machine, MachineState};
use crate::storage::records::{FinalRecord, OpenRecord};
use crate::transport::budget::Budget;
use crate::transport::sockets::Sockets;
use ageing::Ageing;
use chains::{Closure, MarkReads};
use fleet::Fleet;
use graph::Graph;
use starts::Indexes;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use writer::Writer;

/// The settings the core goes by.
#[derive(Debug, Clone)]
pub struct Policy {
    pub facts: Facts,
    pub operator: Operator,
    /// Direct commands that may be awaited at once.
    pub most_direct: usize,
}

impl Policy {
    /// Takes what the core needs.
    pub fn new(s: &Settings) -> Policy {
        let most = s.platform.facts.quota.max_sockets;
        let users = s.operator.max_user_requests;
        Policy {
            facts: s.platform.facts.clone(),
            operator: s.operator.clone(),
            most_direct: Sockets::divide(most, s.platform.siblings.len(), users).direct,
        }
    }
    /// A team's number.
    pub fn team_no(&self, name: &str) -> Option<TeamNo> {
        let at = self.facts.teams.iter().position(|t| t.name == name);
        at.map(TeamNo)
    }
    /// A team's guarantee and limit.
    pub fn team(&self, no: Option<TeamNo>) -> Option<&Team> {
        no.and_then(|n| self.facts.teams.get(n.0))
    }
    /// The time by which most tasks of a class should have started, if the settings name one.
    pub fn started_within(&self, class: &str) -> Option<f64> {
        self.least("wait", class)
    }
    /// The time by which most jobs of a class should be finished, if the settings name one.
    pub fn finished_within(&self, class: &str) -> Option<f64> {
        self.least("finished", class)
    }
    /// The time by which work within a guarantee should have started.
    pub fn guarantee_within(&self) -> Option<f64> {
        self.facts
            .objectives
            .iter()
            .filter(|o| o.kind == "guarantee")
            .filter_map(|o| o.within_s)
            .min_by(f64::total_cmp)
    }
    fn least(&self, kind: &str, class: &str) -> Option<f64> {
        self.of_class(kind, class)
            .filter_map(|o| o.within_s)
            .min_by(f64::total_cmp)
    }
    /// The objectives of one kind for a class.
    pub fn of_class<'a>(
        &'a self,
        kind: &'a str,
        class: &'a str,
    ) -> impl Iterator<Item = &'a Objective> {
        let all = self.facts.objectives.iter();
        all.filter(move |o| o.kind == kind && o.class.as_deref() == Some(class))
    }
    /// How long after its last answer a worker certainly has no lease: drift of both clocks, and a
    /// little for what the worker needs to act on it.
    pub fn lease_over(&self) -> Millis {
        Millis::from_secs(self.facts.workers.lease_s * 1.002 + 0.5)
    }
    /// The time in which every worker that can reach a new leader has reported to it: one whose report was
    /// under way to the former one gives that up after 4 s and tries the next controller a second later.
    pub fn first_reports(&self) -> Millis {
        Millis::from_secs(self.facts.workers.report_s * 1.25 + 5.0)
    }
    /// How long a worker may keep silent before it counts as silent.
    pub fn silence(&self) -> Millis {
        // Reports go out every `report_s`, give or take a quarter; a second for the way.
        let s = self.facts.workers.report_s * 1.25 * self.operator.silent_reports;
        Millis::from_secs(s + 1.0)
    }
}

/// What happened.
#[derive(Debug)]
pub enum Event {
    /// An open job appeared.
    JobOpened {
        record: Box<OpenRecord>,
        stamp: Stamp,
        submitted: Millis,
    },
    /// A job is no longer open: cancelled, or finished by us.
    JobClosed { id: JobId },
    /// A controller has confirmed that a job is cancelled: its mark is written.
    JobCancelled { id: JobId },
    /// Finish marks as read; None: the job has none.
    MarksRead {
        marks: Vec<(JobId, Option<FinalRecord>)>,
    },
    /// The whole list of open jobs, as read anew (after a gap in the watch).
    OpenJobs {
        jobs: Vec<(OpenRecord, Stamp, Millis)>,
    },
    /// A direct command was answered: 200 (executed) or 409 (not).
    DirectAnswered {
        host: HostId,
        seq: u64,
        report: Box<Report>,
    },
    /// A direct command was not answered. `sent` is false if it certainly never left.
    DirectFailed { host: HostId, seq: u64, sent: bool },
    /// Machine types and their prices.
    MachineTypes(Vec<MachineTypeInfo>),
    /// The whole machine list, asked for at the given moment.
    Hosts {
        asked: Millis,
        hosts: Vec<CloudHost>,
    },
    /// A rental was answered: machines, or None for no capacity.
    Rented {
        hire: String,
        hosts: Option<Vec<HostId>>,
    },
    /// A rental's outcome is unclear; it is asked again under the same name.
    RentUnclear { hire: String },
    /// The cloud confirmed that the machines are gone.
    Returned { hosts: Vec<HostId> },
    /// Returning was not confirmed.
    ReturnFailed { hosts: Vec<HostId> },
    /// A write is known to be done.
    Written { seq: u64, epoch: Epoch },
    /// A write was certainly not executed, nor will be.
    NotWritten { seq: u64 },
    /// A write was not executed since there were too many changes; none for so long.
    WriteLimited { seq: u64, pause: Millis },
    /// A write was refused for what it is, and would be each time: too many operations, too large a value.
    WriteRejected { seq: u64 },
    /// A write's guards failed (these, if the service said which), or its outcome is unclear: the
    /// keys must be read again.
    WriteUnclear { seq: u64, failed: Vec<String> },
    /// The keys read again.
    Reread {
        seq: u64,
        items: Vec<(String, Option<Item>)>,
    },
}

/// What is to be done. Every effect is carried out only with the leader's authority.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    Write {
        seq: u64,
        txn: Txn,
    },
    Reread {
        seq: u64,
        keys: Vec<String>,
    },
    /// Read the finish marks of jobs that others wait for.
    ReadMarks {
        ids: Vec<JobId>,
    },
    Direct {
        host: HostId,
        endpoint: String,
        seq: u64,
        token: Token,
        session: Session,
        orders: Vec<Order>,
    },
    Rent {
        hire: String,
        machine_type: MachineType,
        zone: Zone,
        spot: bool,
        count: u32,
    },
    Return {
        hosts: Vec<HostId>,
    },
    /// Somebody else leads: stop.
    StepDown {
        why: &'static str,
    },
}

/// The state of one leadership.
pub struct Core {
    pub(crate) policy: Arc<Policy>,
    pub(crate) lead: Lead,
    /// The time of day at the steady clock's zero: for hints about ages in records.
    pub(crate) day_ms: u64,
    /// When this leadership began: no former leader has answered a worker since.
    pub(crate) began: Millis,
    pub(crate) machine_types: BTreeMap<MachineType, MachineTypeInfo>,
    pub(crate) jobs: BTreeMap<JobId, Job>,
    pub(crate) graph: Graph,
    /// The reading of finish marks of producers that are not held here.
    pub(crate) mark_reads: MarkReads,
    pub(crate) machines: BTreeMap<HostId, Machine>,
    /// What each team uses, and what is looked up often: kept in step by `starts.rs`.
    pub(crate) used: Vec<Amount>,
    pub(crate) indexes: Indexes,
    /// Names that the cloud confirmed gone: late reports of theirs mean nothing.
    pub(crate) gone: BTreeSet<HostId>,
    pub(crate) fleet: Fleet,
    pub(crate) ageing: Ageing,
    pub(crate) writer: Writer,
    pub(crate) effects: Vec<Effect>,
    pub(crate) next_seq: u64,
    pub(crate) next_attempt: u64,
    /// Something changed that placement should look at.
    pub(crate) dirty: bool,
    pub(crate) last_recheck: Millis,
    /// Tasks that may be placed: the processor must keep up with what comes of them.
    pub(crate) placement_budget: Budget,
    /// When placement last looked, and how far the spread-out review of machines has come.
    pub(crate) last_pass: Millis,
    pub(crate) last_preempt: Millis,
    pub(crate) reviewed: u64,
    /// Machines whose starts are to be looked at, gangs that may be broken, machines that may have
    /// something to be told directly, and how many direct commands are awaited.
    pub(crate) to_review: BTreeSet<HostId>,
    pub(crate) gangs_due: BTreeSet<JobId>,
    pub(crate) direct_due: BTreeSet<HostId>,
    pub(crate) directs: usize,
    /// Observed against guessed run times, per class: an estimate for slack and for renting.
    pub(crate) observed: BTreeMap<String, estimates::Observed>,
    /// Arrivals of classes that want to start soon, the machines that stand by for them, and how
    /// many are missing.
    pub(crate) demand: BTreeMap<String, demand::Demand>,
    pub(crate) reserved: BTreeMap<HostId, String>,
    pub(crate) standby_missing: Vec<(JobSpec, u32)>,
    /// GPUs of machines that have each image cached.
    pub(crate) image_room: BTreeMap<Image, f64>,
}

/// How many starts the ledger lists, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StartsListed {
    pub all: usize,
    /// Of jobs that are not open any more: they are to be stopped.
    pub of_closed_jobs: usize,
}

/// Counts of one job, for display.
pub type JobCounts = (JobId, u32, u32);

impl Core {
    /// The leader's token.
    pub fn token(&self) -> Token {
        self.lead.token
    }

    /// The token that this leadership began with.
    pub fn first_token(&self) -> Token {
        self.lead.first
    }

    /// Machines whose workers should be reporting.
    pub fn machines_up(&self) -> usize {
        let up = |m: &&Machine| m.state == MachineState::Up;
        self.machines.values().filter(up).count()
    }

    /// Starts that may be on machines, and those of them whose job is not open any more.
    pub fn starts_listed(&self) -> StartsListed {
        let mut listed = StartsListed::default();
        for start in self.machines.values().flat_map(|m| m.starts.values()) {
            let open = self.jobs.get(&start.task.job).is_some_and(|j| !j.over);
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
    pub fn fresh_attempt(&mut self) -> Attempt {
        self.next_attempt += 1;
        Attempt((self.lead.first.0 << ATTEMPT_BITS) | (self.next_attempt & ATTEMPT_MASK))
    }

    /// What one machine of the type offers.
    pub(crate) fn capacity(&self, machine_type: &MachineType) -> Amount {
        self.machine_types
            .get(machine_type)
            .map_or(Amount::default(), |r| Amount {
                cpus: r.cpus,
                gpus: r.gpus,
                ram_gb: r.ram_gb,
            })
    }

    /// Takes in an event.
    pub fn on(&mut self, now: Millis, event: Event) {
        match event {
            Event::JobOpened {
                record,
                stamp,
                submitted,
            } => self.job_opened(now, *record, stamp, submitted),
            Event::JobClosed { id } => self.job_closed(now, &id, Closure::Unknown),
            Event::JobCancelled { id } => self.job_closed(now, &id, Closure::Cancelled),
            Event::MarksRead { marks } => self.marks_read(now, marks),
            Event::OpenJobs { jobs } => self.open_jobs(now, jobs),
            Event::DirectAnswered { host, seq, report } => {
                self.direct_answered(now, &host, seq, &report)
            }
            Event::DirectFailed { host, seq, sent } => self.direct_failed(now, &host, seq, sent),
            Event::MachineTypes(machine_types) => {
                self.machine_types = machine_types
                    .into_iter()
                    .map(|r| (r.name.clone(), r))
                    .collect();
                self.recount_room();
                self.dirty = true;
            }
            Event::Hosts { asked, hosts } => self.hosts_listed(now, asked, hosts),
            Event::Rented { hire, hosts } => self.rented(now, &hire, hosts),
            Event::RentUnclear { hire } => self.rent_unclear(now, &hire),
            Event::Returned { hosts } => self.returned(now, &hosts),
            Event::ReturnFailed { hosts } => self.return_failed(now, &hosts),
            Event::Written { seq, epoch } => self.written(now, seq, epoch),
            Event::NotWritten { seq } => self.not_written(now, seq),
            Event::WriteLimited { seq, pause } => self.write_limited(now, seq, pause),
            Event::WriteRejected { seq } => self.write_rejected(now, seq),
            Event::WriteUnclear { seq, failed } => self.write_unclear(now, seq, &failed),
            Event::Reread { seq, items } => self.reread(now, seq, items),
        }
    }

    /// Decides: called soon after events, and at least once a second.
    pub fn step(&mut self, now: Millis) -> Vec<Effect> {
        if (now - self.last_recheck).0 >= 1000 {
            self.last_recheck = now;
            self.graph.recheck();
            self.apply_graph_changes(now);
            self.recheck_machines(now);
            self.recheck_ageing(now);
            self.recheck_images();
            self.forget_closed_jobs();
            self.log_state(now);
            self.dirty = true;
        }
        self.read_marks(now);
        self.stop_unwanted(now);
        if self.dirty && now - self.last_pass >= PASS_EVERY {
            self.last_pass = now;
            self.dirty = false;
            self.graph.refresh();
            self.choose_standby(now);
            let unmet = self.place(now);
            self.preempt(now, &unmet);
            self.size_fleet(now, unmet);
        }
        self.write(now);
        self.push_direct(now);
        std::mem::take(&mut self.effects)
    }

    /// Counts of open jobs, for display only.
    pub fn counts(&self) -> Vec<JobCounts> {
        self.jobs
            .iter()
            .filter(|(_, j)| !j.over)
            .map(|(id, j)| (id.clone(), j.done.count(), j.running))
            .filter(|(_, done, running)| *done + *running > 0)
            .collect()
    }

    /// Counts of one job, for display only.
    pub fn counts_of(&self, id: &JobId) -> (u32, u32) {
        let job = self.jobs.get(id);
        job.map_or((0, 0), |j| (j.done.count(), j.running))
    }

    fn open_jobs(&mut self, now: Millis, jobs: Vec<(OpenRecord, Stamp, Millis)>) {
        let listed: BTreeSet<JobId> = jobs.iter().map(|(r, _, _)| r.spec.id.clone()).collect();
        let closed: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(id, j)| !j.over && !listed.contains(*id))
            .map(|(id, _)| id.clone())
            .collect();
        for id in closed {
            self.job_closed(now, &id, Closure::Unknown);
        }
        for (record, stamp, submitted) in jobs {
            self.job_opened(now, record, stamp, submitted);
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
const PASS_EVERY: Millis = Millis(40);
