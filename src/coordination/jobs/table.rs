//! The job table: every job that the leader holds, and the sets of jobs that decisions look up often.

use super::graph::Graph;
use super::job::Job;
use super::lifecycle::TerminalRecordReads;
use crate::ids::JobId;
use crate::time::Instant;
use std::collections::{btree_map, BTreeMap, BTreeSet};

/// All jobs of a leadership, with the graph of what depends on what.
///
/// Whoever changes a job through [`JobTable::get_mut`] calls [`JobTable::reindex`] afterwards.
#[derive(Debug)]
pub struct JobTable {
    jobs: BTreeMap<JobId, Job>,
    /// Sets of jobs by state, kept in step by [`JobTable::reindex`].
    pub(crate) index: JobIndex,
    /// Which jobs depend on which.
    pub(crate) graph: Graph,
    /// Reads of the terminal records of upstream jobs that are not held here.
    pub(crate) terminal_record_reads: TerminalRecordReads,
}

/// Sets of jobs by state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct JobIndex {
    /// Released jobs with tasks that are placed nowhere.
    pub pending: BTreeSet<JobId>,
    /// Open jobs that wait for upstream jobs to be done.
    pub blocked: BTreeSet<JobId>,
    /// Open jobs that are to be cancelled because a job upstream of them is.
    pub ancestor_cancelled: BTreeSet<JobId>,
    /// Released jobs by team, in the order in which they became ready: for guaranteed shares.
    pub by_team: Vec<BTreeSet<(Instant, JobId)>>,
    /// Open jobs of which every task is done.
    pub complete: BTreeSet<JobId>,
    /// Open jobs with completed tasks that are not persisted yet.
    pub unpersisted: BTreeSet<JobId>,
    /// Jobs that are closed and have no task attempt left anywhere.
    pub forgettable: BTreeSet<JobId>,
}

impl JobIndex {
    /// Empty sets for so many teams.
    pub fn new(teams: usize) -> JobIndex {
        JobIndex {
            by_team: vec![BTreeSet::new(); teams],
            ..JobIndex::default()
        }
    }

    /// Brings the sets in step with a job; `None`: it is no longer held.
    fn update(&mut self, id: &JobId, job: Option<&Job>) {
        let open = job.is_some_and(|job| !job.closed);
        let released = open && job.is_some_and(|job| job.released);
        let has = |test: &dyn Fn(&Job) -> bool| job.is_some_and(test);
        let pending = released && has(&|job| !job.pending.is_empty());
        let ancestor_cancelled = open && has(&|job| job.ancestor_cancelled);
        let complete = open && has(&Job::is_complete);
        let unpersisted = open && has(&|job| !job.unpersisted.is_empty());
        let forgettable = has(&|job| job.closed && job.attempt_count == 0);
        set_membership(&mut self.pending, id, pending);
        set_membership(&mut self.blocked, id, open && !released);
        set_membership(&mut self.ancestor_cancelled, id, ancestor_cancelled);
        set_membership(&mut self.complete, id, complete);
        set_membership(&mut self.unpersisted, id, unpersisted);
        set_membership(&mut self.forgettable, id, forgettable);
        let Some(job) = job else {
            return;
        };
        if let Some(set) = job.team.and_then(|team| self.by_team.get_mut(team.0)) {
            let entry = (job.ready, id.clone());
            if released {
                set.insert(entry);
            } else {
                set.remove(&entry);
            }
        }
    }
}

/// Puts an id into a set or takes it out.
pub(crate) fn set_membership<T: Ord + Clone>(set: &mut BTreeSet<T>, id: &T, member: bool) {
    if !member {
        set.remove(id);
    } else if !set.contains(id) {
        set.insert(id.clone());
    }
}

impl JobTable {
    /// An empty table for so many teams.
    pub fn new(teams: usize) -> JobTable {
        JobTable {
            jobs: BTreeMap::new(),
            index: JobIndex::new(teams),
            graph: Graph::default(),
            terminal_record_reads: TerminalRecordReads::default(),
        }
    }

    /// The job with that id, if it is held.
    pub fn get(&self, id: &JobId) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// The job with that id, to be changed and then reindexed.
    pub fn get_mut(&mut self, id: &JobId) -> Option<&mut Job> {
        self.jobs.get_mut(id)
    }

    /// Whether a job is held.
    pub fn contains_key(&self, id: &JobId) -> bool {
        self.jobs.contains_key(id)
    }

    /// Every job, in the order of ids.
    pub fn iter(&self) -> btree_map::Iter<'_, JobId, Job> {
        self.jobs.iter()
    }

    /// How many jobs are held.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether no job is held.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Takes a job in.
    pub fn insert(&mut self, id: JobId, job: Job) {
        self.jobs.insert(id.clone(), job);
        self.reindex(&id);
    }

    /// Forgets a job and its place in the graph.
    pub fn forget(&mut self, id: &JobId) {
        self.jobs.remove(id);
        self.reindex(id);
        self.graph.forget(id);
    }

    /// Brings the index in step with a job that has changed.
    pub fn reindex(&mut self, id: &JobId) {
        self.index.update(id, self.jobs.get(id));
    }
}

impl<'a> IntoIterator for &'a JobTable {
    type Item = (&'a JobId, &'a Job);
    type IntoIter = btree_map::Iter<'a, JobId, Job>;
    fn into_iter(self) -> Self::IntoIter {
        self.jobs.iter()
    }
}
