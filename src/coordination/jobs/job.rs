//! A job as the leader holds it.

use crate::ids::{KeyRevision, MachineId, TeamIndex};
use crate::protocol::users::{JobSpec, Shape};
use crate::resources::Resources;
use crate::storage::records::CompletedTasks;
use crate::time::Instant;
use std::collections::{BTreeMap, BTreeSet};

/// A job that the leader holds: open, or over but with starts not yet proven gone.
#[derive(Debug)]
pub struct Job {
    pub spec: JobSpec,
    /// Its team, if the settings know it.
    pub team: Option<TeamIndex>,
    /// Version of the open record: the guard of every write on the job's behalf.
    pub revision: KeyRevision,
    /// When it was accepted, on our steady clock: deadlines count from here.
    pub submitted: Instant,
    /// Whether all jobs that it needs are done. Until then it counts for nothing but its deadline.
    pub released: bool,
    /// When it could first have run: when it was accepted, or the last job that it needs was done. All
    /// times but its deadline count from here.
    pub ready: Instant,
    /// A job that it needs, directly or through others, is cancelled: it is to be cancelled too.
    pub ancestor_cancelled: bool,
    /// Pages on the state service that name producers of it.
    pub dependency_pages: u32,
    /// Cancelled or finished: nothing may start, what runs is stopped.
    pub closed: bool,
    /// Done tasks, and those whose being done isn't durable yet.
    pub done: CompletedTasks,
    pub unpersisted: BTreeSet<u32>,
    /// Tasks that are neither done nor anywhere.
    pub pending: BTreeSet<u32>,
    /// Where tasks may be. More than one place only after taking over.
    pub placements: BTreeMap<u32, Vec<MachineId>>,
    /// Starts of it in the ledger, and how many were seen running and have not ended since: kept in
    /// step by `attempts.rs`.
    pub attempt_count: u32,
    pub running: u32,
    /// How long its tasks that are done ran, in all and at most, and how many that were.
    pub ran_s: f64,
    pub ran_most_s: f64,
    pub ran: u32,
    /// A task of it has run, or may have under a former leader.
    pub has_run: bool,
    /// A gang of whose last try a member gave up waiting for the others.
    pub incomplete: bool,
    /// Since when it has left room to jobs whose image is at hand.
    pub waits_since: Option<Instant>,
    /// No start before this: backs off after failures.
    pub not_before: Instant,
    pub failures: u32,
    /// Machines on which a task of this job ended in an error.
    pub failed_on: BTreeSet<MachineId>,
}

impl Job {
    /// A job of which nothing has happened yet.
    pub fn new(
        spec: JobSpec,
        team: Option<TeamIndex>,
        revision: KeyRevision,
        submitted: Instant,
    ) -> Job {
        let n = spec.tasks;
        Job {
            team,
            revision,
            submitted,
            released: false,
            ready: submitted,
            ancestor_cancelled: false,
            dependency_pages: 0,
            closed: false,
            done: CompletedTasks::new(n),
            unpersisted: BTreeSet::new(),
            pending: (0..n).collect(),
            placements: BTreeMap::new(),
            attempt_count: 0,
            running: 0,
            ran_s: 0.0,
            ran_most_s: 0.0,
            ran: 0,
            has_run: false,
            incomplete: false,
            waits_since: None,
            not_before: Instant::LONG_AGO,
            failures: 0,
            failed_on: BTreeSet::new(),
            spec,
        }
    }
    /// Whether every task is done.
    pub fn is_complete(&self) -> bool {
        self.spec.shape != Shape::Service && self.done.count() >= self.spec.tasks
    }
    /// Whether it has failed on several machines and never succeeded: most likely it fails on all.
    pub fn fails_everywhere(&self) -> bool {
        self.failed_on.len() > 2 && self.done.count() == 0
    }
    /// Whether a task still has to run.
    pub fn needs_run(&self, index: u32) -> bool {
        !self.closed && index < self.spec.tasks && !self.done.has(index)
    }
    /// What its unfinished tasks take together.
    pub fn left(&self) -> Resources {
        let left = self.spec.tasks - self.done.count().min(self.spec.tasks);
        Resources::of(&self.spec).times(f64::from(left))
    }
    /// A gang of more than one task of which none has completed: all of it runs, or nothing.
    pub fn is_all_or_nothing(&self) -> bool {
        self.spec.shape == Shape::Gang && self.spec.tasks > 1 && self.done.count() == 0
    }
}
