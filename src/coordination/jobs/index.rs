//! Sets of jobs by state, which the job table updates with each change of a job.

use super::job::Job;
use super::table::JobTable;
use crate::ids::{JobId, TeamIndex};
use crate::time::Instant;
use std::collections::BTreeSet;

/// Sets of jobs by state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct JobIndex {
    /// Released jobs with pending tasks.
    pub(super) pending: BTreeSet<JobId>,
    /// Open jobs that wait for upstream jobs.
    pub(super) blocked: BTreeSet<JobId>,
    /// Open jobs that have to be cancelled because an upstream job was cancelled.
    pub(super) ancestor_cancelled: BTreeSet<JobId>,
    /// Released jobs by team, ordered by the time when they became ready; used for guaranteed shares.
    pub(super) released_by_team: Vec<BTreeSet<(Instant, JobId)>>,
    /// Open jobs whose tasks are all completed.
    pub(super) complete: BTreeSet<JobId>,
    /// Open jobs with completed tasks that are not persisted yet.
    pub(super) unpersisted: BTreeSet<JobId>,
    /// Closed jobs without task attempts.
    pub(super) removable: BTreeSet<JobId>,
}

/// The sets that a job belongs to; by default none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Memberships {
    pending: bool,
    blocked: bool,
    ancestor_cancelled: bool,
    /// When the job became ready, if it is released.
    released: Option<Instant>,
    complete: bool,
    unpersisted: bool,
    removable: bool,
}

impl Memberships {
    /// Returns the sets that a job belongs to in its current state.
    pub(super) fn of(job: &Job) -> Memberships {
        let open = !job.is_closed();
        Memberships {
            pending: job.is_released() && !job.pending().is_empty(),
            blocked: job.is_blocked(),
            ancestor_cancelled: open && job.is_ancestor_cancelled(),
            released: job.is_released().then(|| job.ready_at()),
            complete: open && job.is_complete(),
            unpersisted: open && !job.unpersisted().is_empty(),
            removable: !open && job.attempt_count() == 0,
        }
    }
}

impl JobIndex {
    /// Creates empty sets for the given number of teams.
    pub(super) fn new(teams: usize) -> JobIndex {
        JobIndex {
            released_by_team: vec![BTreeSet::new(); teams],
            ..JobIndex::default()
        }
    }

    /// Updates the sets for a job whose memberships may have changed.
    pub(super) fn update(
        &mut self,
        id: &JobId,
        team: Option<TeamIndex>,
        before: &Memberships,
        after: &Memberships,
    ) {
        if before == after {
            return;
        }
        set_membership(&mut self.pending, id, after.pending);
        set_membership(&mut self.blocked, id, after.blocked);
        set_membership(&mut self.ancestor_cancelled, id, after.ancestor_cancelled);
        set_membership(&mut self.complete, id, after.complete);
        set_membership(&mut self.unpersisted, id, after.unpersisted);
        set_membership(&mut self.removable, id, after.removable);
        let of_team = team.and_then(|team| self.released_by_team.get_mut(team.0));
        if let Some(released) = of_team.filter(|_| before.released != after.released) {
            released.extend(after.released.map(|ready_at| (ready_at, id.clone())));
            if let Some(ready_at) = before.released {
                released.remove(&(ready_at, id.clone()));
            }
        }
    }
}

/// Inserts an id into a set or removes it.
pub(crate) fn set_membership<T: Ord + Clone>(set: &mut BTreeSet<T>, id: &T, member: bool) {
    if !member {
        set.remove(id);
    } else if !set.contains(id) {
        set.insert(id.clone());
    }
}

/// A difference between the tracked and the recomputed sets of jobs.
#[derive(Debug)]
pub struct JobIndexMismatch {
    /// The tracked sets.
    pub tracked: JobIndex,
    /// The recomputed sets.
    pub recomputed: JobIndex,
}

impl JobTable {
    /// Recomputes the sets of jobs and compares them with the tracked ones. For tests only.
    ///
    /// The membership rules are repeated here on purpose, to check those in [`Memberships`].
    ///
    /// # Errors
    /// Returns the tracked and the recomputed sets if they differ.
    pub fn audit_index(&self) -> Result<(), Box<JobIndexMismatch>> {
        let mut recomputed = JobIndex::new(self.team_count());
        for (id, job) in self {
            let (open, released) = (!job.is_closed(), job.is_released());
            for (set, member) in [
                (
                    &mut recomputed.pending,
                    released && !job.pending().is_empty(),
                ),
                (&mut recomputed.blocked, open && !released),
                (
                    &mut recomputed.ancestor_cancelled,
                    open && job.is_ancestor_cancelled(),
                ),
                (&mut recomputed.complete, open && job.is_complete()),
                (
                    &mut recomputed.unpersisted,
                    open && !job.unpersisted().is_empty(),
                ),
                (&mut recomputed.removable, !open && job.attempt_count() == 0),
            ] {
                if member {
                    set.insert(id.clone());
                }
            }
            let team = job.team().filter(|_| released);
            if let Some(set) = team.and_then(|team| recomputed.released_by_team.get_mut(team.0)) {
                set.insert((job.ready_at(), id.clone()));
            }
        }
        if recomputed == self.index {
            return Ok(());
        }
        let tracked = self.index.clone();
        Err(Box::new(JobIndexMismatch {
            tracked,
            recomputed,
        }))
    }
}
