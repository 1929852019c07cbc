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
mod view;

pub use effect::Effect;
pub use event::{Event, OpenJob, ScaleOutAnswer};
pub use policy::Policy;
pub use view::ClusterView;

use crate::ids::{AttemptId, FencingToken, JobId};
use crate::time::Instant;
use attempts::ledger::TeamUsage;
use attempts::Outbox;
use autoscaler::Autoscaler;
use jobs::aging::Aging;
use jobs::estimates::Estimates;
use jobs::lifecycle::Closure;
use jobs::table::JobTable;
use leadership::{Leadership, LeadershipTerm};
use machines::machine::{Machine, MachineState};
use machines::table::MachineTable;
use persistence::Writer;
use placement::PlacementState;
use std::collections::BTreeSet;
use std::sync::Arc;

/// The state of one leadership: what each part owns, and what no part owns.
pub struct Scheduler {
    pub(crate) policy: Arc<Policy>,
    pub(crate) leadership: Leadership,
    pub(crate) jobs: JobTable,
    pub(crate) machines: MachineTable,
    /// What each team uses, kept by the ledger.
    pub(crate) team_usage: TeamUsage,
    pub(crate) outbox: Outbox,
    pub(crate) placement: PlacementState,
    pub(crate) autoscaler: Autoscaler,
    pub(crate) estimates: Estimates,
    pub(crate) aging: Aging,
    pub(crate) writer: Writer,
    /// What the present step asks the runtime to do.
    pub(crate) effects: Vec<Effect>,
    /// The last number given to a request of the scheduler.
    pub(crate) last_seq: u64,
    pub(crate) last_recheck_at: Instant,
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
    /// The scheduler of a leadership term that begins now, before anything is known of jobs and machines.
    fn new(
        policy: Arc<Policy>,
        term: LeadershipTerm,
        now: Instant,
        time_of_day_at_zero_ms: u64,
    ) -> Scheduler {
        let teams = policy.facts.teams.len();
        Scheduler {
            leadership: Leadership::new(term, now, time_of_day_at_zero_ms),
            jobs: JobTable::new(teams),
            machines: MachineTable::default(),
            team_usage: TeamUsage::new(teams),
            outbox: Outbox::default(),
            placement: PlacementState::new(policy.facts.process_limits.cores),
            autoscaler: Autoscaler::new(policy.facts.cloud.rps),
            estimates: Estimates::default(),
            aging: Aging::new(policy.operator.begin_within_s),
            writer: Writer::new(&policy.facts.state, now),
            policy,
            effects: Vec::new(),
            last_seq: 0,
            last_recheck_at: now,
        }
    }

    /// The fencing token in force.
    pub fn token(&self) -> FencingToken {
        self.leadership.token()
    }

    /// The fencing token that this leadership began with.
    pub fn initial_token(&self) -> FencingToken {
        self.leadership.initial_token()
    }

    /// Machines whose workers should be reporting.
    pub fn machines_up(&self) -> usize {
        let up = |m: &&Machine| m.state == MachineState::Up;
        self.machines.values().filter(up).count()
    }

    /// Starts that may be on machines, and those of them whose job is not open any more.
    pub fn attempt_counts(&self) -> AttemptCounts {
        let mut listed = AttemptCounts::default();
        for attempt in self.machines.values().flat_map(|m| m.attempts.iter()) {
            let open = self
                .jobs
                .get(&attempt.task.job)
                .is_some_and(|j| !j.is_closed());
            listed.all += 1;
            listed.of_closed_jobs += usize::from(!open);
        }
        listed
    }

    pub(crate) fn seq(&mut self) -> u64 {
        self.last_seq += 1;
        self.last_seq
    }

    /// An attempt id never used before.
    pub fn fresh_attempt(&mut self) -> AttemptId {
        self.leadership.next_attempt_id()
    }

    /// Takes in an event.
    pub fn on(&mut self, now: Instant, event: Event) {
        match event {
            Event::JobOpened(open_job) => self.job_opened(now, *open_job),
            Event::JobClosed { id } => self.job_closed(now, &id, Closure::Unknown),
            Event::JobCancelled { id } => self.job_closed(now, &id, Closure::Cancelled),
            Event::TerminalRecordsRead { terminal_records } => {
                self.terminal_records_read(now, terminal_records)
            }
            Event::OpenJobs(open_jobs) => self.open_jobs_listed(now, open_jobs),
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
                self.machines.set_types(machine_types);
                self.placement.request_pass();
            }
            Event::MachinesListed { asked, machines } => self.machines_listed(now, asked, machines),
            Event::ScaleOutAnswered {
                idempotency_key,
                answer,
            } => self.scale_out_answered(now, &idempotency_key, answer),
            Event::ScaleOutUnclear { idempotency_key } => {
                self.autoscaler.scale_out_unclear(now, &idempotency_key)
            }
            Event::MachinesTerminated { machine_ids } => {
                self.machines_terminated(now, &machine_ids)
            }
            Event::ScaleInFailed { machine_ids } => self.scale_in_failed(now, &machine_ids),
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
        if (now - self.last_recheck_at).0 >= 1000 {
            self.last_recheck_at = now;
            self.recheck_releases(now);
            self.recheck_machines(now);
            self.aging
                .recheck(now, self.jobs.pending().map(|(_, job)| job));
            self.machines.recheck_cached_images();
            self.forget_closed_jobs();
            self.log_cluster_state(now);
            self.placement.request_pass();
        }
        self.read_terminal_records(now);
        self.stop_unwanted(now);
        if self.placement.start_pass_if_due(now) {
            self.jobs.refresh_graph();
            self.update_warm_pool(now);
            let unplaced = self.place(now);
            self.preempt(now, &unplaced);
            self.autoscale(now, &unplaced);
        }
        self.write(now);
        self.send_pushes(now);
        std::mem::take(&mut self.effects)
    }

    /// Counts of open jobs, for display only.
    pub fn counts(&self) -> Vec<JobCounts> {
        self.jobs
            .iter()
            .filter(|(_, j)| !j.is_closed())
            .map(|(id, j)| (id.clone(), j.completed().count(), j.running_count()))
            .filter(|(_, done, running)| *done + *running > 0)
            .collect()
    }

    /// Counts of one job, for display only.
    pub fn counts_of(&self, id: &JobId) -> (u32, u32) {
        let job = self.jobs.get(id);
        job.map_or((0, 0), |j| (j.completed().count(), j.running_count()))
    }

    /// The whole list of open jobs: one that is missing from it is no longer open.
    fn open_jobs_listed(&mut self, now: Instant, open_jobs: Vec<OpenJob>) {
        let id_of = |open_job: &OpenJob| open_job.record.spec.id.clone();
        let listed: BTreeSet<JobId> = open_jobs.iter().map(id_of).collect();
        let closed: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(id, j)| !j.is_closed() && !listed.contains(*id))
            .map(|(id, _)| id.clone())
            .collect();
        for id in closed {
            self.job_closed(now, &id, Closure::Unknown);
        }
        for open_job in open_jobs {
            self.job_opened(now, open_job);
        }
    }

    /// Jobs that are over and have nothing left anywhere need not be remembered.
    fn forget_closed_jobs(&mut self) {
        let idle: Vec<JobId> = self
            .jobs
            .forgettable()
            .filter(|id| !self.writer.mentions(id))
            .cloned()
            .collect();
        for id in idle {
            self.jobs.forget(&id);
        }
    }
}
