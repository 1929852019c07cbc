//! The job table: every job that the leader holds, the graph of their dependencies, and the sets of jobs by
//! state that decisions look up often.
//!
//! Jobs change only through the table, so the sets are always in step with them.

use super::graph::DependencyGraph;
use super::index::{JobIndex, Memberships};
use super::job::Job;
use super::terminal_record_reads::TerminalRecordReads;
use crate::ids::{JobId, TeamIndex};
use std::collections::{btree_map, BTreeMap, BTreeSet};

/// All jobs of a leadership.
#[derive(Debug)]
pub struct JobTable {
    jobs: BTreeMap<JobId, Job>,
    pub(super) index: JobIndex,
    /// Which jobs depend on which.
    pub(super) graph: DependencyGraph,
    /// Reads of the terminal records of upstream jobs that are not held here.
    pub(super) terminal_record_reads: TerminalRecordReads,
}

impl JobTable {
    /// An empty table for so many teams.
    pub fn new(teams: usize) -> JobTable {
        JobTable {
            jobs: BTreeMap::new(),
            index: JobIndex::new(teams),
            graph: DependencyGraph::default(),
            terminal_record_reads: TerminalRecordReads::default(),
        }
    }

    /// The job with that id, if it is held.
    pub fn get(&self, id: &JobId) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// Whether a job is held.
    pub fn contains(&self, id: &JobId) -> bool {
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
        let after = Memberships::of(&job);
        let team = job.team();
        let replaced = self.jobs.insert(id.clone(), job);
        let before = replaced.as_ref().map(Memberships::of).unwrap_or_default();
        self.index.update(&id, team, &before, &after);
    }

    /// Changes a job; the sets by state follow. `None`: it is not held, and nothing was done.
    pub fn update<R>(&mut self, id: &JobId, change: impl FnOnce(&mut Job) -> R) -> Option<R> {
        let job = self.jobs.get_mut(id)?;
        let before = Memberships::of(job);
        let result = change(job);
        let after = Memberships::of(job);
        self.index.update(id, job.team(), &before, &after);
        Some(result)
    }

    /// Forgets a job and its place in the graph.
    pub fn remove(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.remove(id) {
            let before = Memberships::of(&job);
            let after = Memberships::default();
            self.index.update(id, job.team(), &before, &after);
        }
        self.graph.remove(id);
    }

    /// Released jobs with tasks that are placed nowhere.
    pub fn pending(&self) -> impl Iterator<Item = (&JobId, &Job)> {
        self.in_set(&self.index.pending)
    }

    /// Whether any job is pending.
    pub fn has_pending(&self) -> bool {
        !self.index.pending.is_empty()
    }

    /// Open jobs that wait for upstream jobs to be done.
    pub fn blocked(&self) -> impl Iterator<Item = (&JobId, &Job)> {
        self.in_set(&self.index.blocked)
    }

    /// Open jobs that are to be cancelled because a job upstream of them is.
    pub fn ancestor_cancelled(&self) -> impl Iterator<Item = (&JobId, &Job)> {
        self.in_set(&self.index.ancestor_cancelled)
    }

    /// Open jobs of which every task is completed.
    pub fn complete(&self) -> impl Iterator<Item = (&JobId, &Job)> {
        self.in_set(&self.index.complete)
    }

    /// Open jobs with completed tasks that are not persisted yet.
    pub fn unpersisted(&self) -> impl Iterator<Item = (&JobId, &Job)> {
        self.in_set(&self.index.unpersisted)
    }

    /// Jobs that are closed and have no task attempt left anywhere.
    pub fn removable(&self) -> impl Iterator<Item = &JobId> {
        self.index.removable.iter()
    }

    /// Which jobs depend on which, and what follows from it.
    pub fn graph(&self) -> &DependencyGraph {
        &self.graph
    }

    /// Derives deadlines, labels and priorities anew if anything changed in the graph.
    pub fn refresh_graph(&mut self) {
        self.graph.refresh();
    }

    /// The number of teams.
    pub fn team_count(&self) -> usize {
        self.index.released_by_team.len()
    }

    /// Released jobs of a team, in the order in which they became ready.
    pub fn released_of_team(&self, team: TeamIndex) -> impl Iterator<Item = (&JobId, &Job)> {
        let released = self.index.released_by_team.get(team.0);
        let ids = released.into_iter().flatten().map(|(_, id)| id);
        ids.filter_map(|id| Some((id, self.get(id)?)))
    }

    fn in_set<'a>(
        &'a self,
        ids: &'a BTreeSet<JobId>,
    ) -> impl Iterator<Item = (&'a JobId, &'a Job)> {
        ids.iter().filter_map(|id| Some((id, self.get(id)?)))
    }
}

impl<'a> IntoIterator for &'a JobTable {
    type Item = (&'a JobId, &'a Job);
    type IntoIter = btree_map::Iter<'a, JobId, Job>;
    fn into_iter(self) -> Self::IntoIter {
        self.jobs.iter()
    }
}
