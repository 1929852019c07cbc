//! Sets of jobs by state. Only the job table changes them, with each change of a job.

use super::job::Job;
use super::table::JobTable;
use crate::ids::{JobId, TeamIndex};
use crate::time::Instant;
use std::collections::BTreeSet;

/// Sets of jobs by state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct JobIndex {
    /// Released jobs with tasks that are placed nowhere.
    pub(super) pending: BTreeSet<JobId>,
    /// Open jobs that wait for upstream jobs to be done.
    pub(super) blocked: BTreeSet<JobId>,
    /// Open jobs that are to be cancelled because a job upstream of them is.
    pub(super) ancestor_cancelled: BTreeSet<JobId>,
    /// Released jobs by team, in the order in which they became ready: for guaranteed shares.
    pub(super) released_by_team: Vec<BTreeSet<(Instant, JobId)>>,
    /// Open jobs of which every task is completed.
    pub(super) complete: BTreeSet<JobId>,
    /// Open jobs with completed tasks that are not persisted yet.
    pub(super) unpersisted: BTreeSet<JobId>,
    /// Jobs that are closed and have no task attempt left anywhere.
    pub(super) removable: BTreeSet<JobId>,
}

/// The sets that a job belongs to; the default is none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Memberships {
    pending: bool,
    blocked: bool,
    ancestor_cancelled: bool,
    /// When it became ready, if it is released.
    released: Option<Instant>,
    complete: bool,
    unpersisted: bool,
    removable: bool,
}

impl Memberships {
    /// The sets that a job belongs to in its present state.
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
    /// Empty sets for so many teams.
    pub(super) fn new(teams: usize) -> JobIndex {
        JobIndex {
            released_by_team: vec![BTreeSet::new(); teams],
            ..JobIndex::default()
        }
    }

    /// Brings the sets in step with a job whose memberships may have changed.
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

/// Puts an id into a set or takes it out.
pub(crate) fn set_membership<T: Ord + Clone>(set: &mut BTreeSet<T>, id: &T, member: bool) {
    if !member {
        set.remove(id);
    } else if !set.contains(id) {
        set.insert(id.clone());
    }
}

/// The sets as kept, and as counted anew: they differ.
#[derive(Debug)]
pub struct JobIndexMismatch {
    /// As kept.
    pub kept: JobIndex,
    /// As counted.
    pub counted: JobIndex,
}

impl JobTable {
    /// Counts the sets anew and compares. For tests: no decision calls it.
    ///
    /// The rules of membership stand here once more, apart from those that keep the sets in step.
    ///
    /// # Errors
    /// Both sets, if they differ.
    pub fn audit_index(&self) -> Result<(), Box<JobIndexMismatch>> {
        let mut counted = JobIndex::new(self.team_count());
        for (id, job) in self {
            let (open, released) = (!job.is_closed(), job.is_released());
            for (set, member) in [
                (&mut counted.pending, released && !job.pending().is_empty()),
                (&mut counted.blocked, open && !released),
                (
                    &mut counted.ancestor_cancelled,
                    open && job.is_ancestor_cancelled(),
                ),
                (&mut counted.complete, open && job.is_complete()),
                (
                    &mut counted.unpersisted,
                    open && !job.unpersisted().is_empty(),
                ),
                (&mut counted.removable, !open && job.attempt_count() == 0),
            ] {
                if member {
                    set.insert(id.clone());
                }
            }
            let team = job.team().filter(|_| released);
            if let Some(set) = team.and_then(|team| counted.released_by_team.get_mut(team.0)) {
                set.insert((job.ready_at(), id.clone()));
            }
        }
        if counted == self.index {
            return Ok(());
        }
        let kept = self.index.clone();
        Err(Box::new(JobIndexMismatch { kept, counted }))
    }
}
