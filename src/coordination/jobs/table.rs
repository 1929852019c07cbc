//! The job table: all jobs that the leader tracks, their dependency graph, and sets of jobs by state for frequent
//! lookups.
//!
//! Jobs change only through the table, so the sets are always consistent with them.

use super::graph::DependencyGraph;
use super::index::{JobIndex, Memberships};
use super::job::Job;
use super::terminal_record_reads::TerminalRecordReads;
use crate::ids::{JobId, TeamIndex};
use std::collections::{btree_map, BTreeMap, BTreeSet};

/// All jobs that the leader tracks during its leadership term.
#[derive(Debug)]
pub struct JobTable {
    jobs: BTreeMap<JobId, Job>,
    pub(super) index: JobIndex,
    /// The dependencies between jobs.
    pub(super) graph: DependencyGraph,
    /// Reads of the terminal records of upstream jobs in an unknown state.
    pub(super) terminal_record_reads: TerminalRecordReads,
}

impl JobTable {
    /// Creates an empty table for the given number of teams.
    pub fn new(teams: usize) -> JobTable {
        JobTable {
            jobs: BTreeMap::new(),
            index: JobIndex::new(teams),
            graph: DependencyGraph::default(),
            terminal_record_reads: TerminalRecordReads::default(),
        }
    }

    /// Returns the job with the given id, if it is in the table.
    pub fn get(&self, id: &JobId) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// Whether a job is in the table.
    pub fn contains(&self, id: &JobId) -> bool {
        self.jobs.contains_key(id)
    }

    /// Returns all jobs in the order of their ids.
    pub fn iter(&self) -> btree_map::Iter<'_, JobId, Job> {
        self.jobs.iter()
    }

    /// Returns the number of jobs.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Inserts a job.
    pub fn insert(&mut self, id: JobId, job: Job) {
        let after = Memberships::of(&job);
        let team = job.team();
        let replaced = self.jobs.insert(id.clone(), job);
        let before = replaced.as_ref().map(Memberships::of).unwrap_or_default();
        self.index.update(&id, team, &before, &after);
    }

    /// Changes a job and updates the sets by state. Returns `None` if the job is not in the table.
    pub fn update<R>(&mut self, id: &JobId, change: impl FnOnce(&mut Job) -> R) -> Option<R> {
        let job = self.jobs.get_mut(id)?;
        let before = Memberships::of(job);
        let result = change(job);
        let after = Memberships::of(job);
        self.index.update(id, job.team(), &before, &after);
        Some(result)
    }

    /// Removes a job from the table and the graph.
    pub fn remove(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.remove(id) {
            let before = Memberships::of(&job);
            let after = Memberships::default();
            self.index.update(id, job.team(), &before, &after);
        }
        self.graph.remove(id);
    }

    /// Returns the released jobs with pending tasks.
    pub fn pending(&self) -> impl Iterator<Item = (&JobId, &Job)> {
        self.in_set(&self.index.pending)
    }

    /// Whether any job has pending tasks.
    pub fn has_pending(&self) -> bool {
        !self.index.pending.is_empty()
    }

    /// Returns the open jobs that wait for upstream jobs.
    pub fn blocked(&self) -> impl Iterator<Item = (&JobId, &Job)> {
        self.in_set(&self.index.blocked)
    }

    /// Returns the open jobs that have to be cancelled because an upstream job was cancelled.
    pub fn ancestor_cancelled(&self) -> impl Iterator<Item = (&JobId, &Job)> {
        self.in_set(&self.index.ancestor_cancelled)
    }

    /// Returns the open jobs whose tasks are all completed.
    pub fn complete(&self) -> impl Iterator<Item = (&JobId, &Job)> {
        self.in_set(&self.index.complete)
    }

    /// Returns the open jobs with completed tasks that are not persisted yet.
    pub fn unpersisted(&self) -> impl Iterator<Item = (&JobId, &Job)> {
        self.in_set(&self.index.unpersisted)
    }

    /// Returns the closed jobs without task attempts.
    pub fn removable(&self) -> impl Iterator<Item = &JobId> {
        self.index.removable.iter()
    }

    /// Returns the dependency graph.
    pub fn graph(&self) -> &DependencyGraph {
        &self.graph
    }

    /// Recomputes depths, deadlines, scheduling preferences and priorities if the graph changed.
    pub fn refresh_graph(&mut self) {
        self.graph.refresh();
    }

    /// Returns the number of teams.
    pub fn team_count(&self) -> usize {
        self.index.released_by_team.len()
    }

    /// Returns a team's released jobs, ordered by the time when they became ready.
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
