//! What the graph holds of one job.

use crate::ids::JobId;
use crate::protocol::users::Priority;
use crate::time::{Instant, TimeSpan};
use std::collections::BTreeSet;

/// How a job is to be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SchedulingPreference {
    /// Its end, or that of a job close downstream of it, is waited for.
    Latency,
    /// Only the throughput of the whole matters.
    Throughput,
}

/// What a job brings into the graph.
#[derive(Clone, Copy, Debug)]
pub struct JobAttributes {
    /// Its own deadline.
    pub deadline: Option<Instant>,
    /// How long it should take from its release to its end.
    pub run_time: TimeSpan,
    /// Its own priority.
    pub priority: Priority,
}

/// What follows for a job from its own traits and those of all downstream jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Derived {
    /// The number of jobs on the longest path of unfinished jobs upstream of it.
    pub(super) depth: u32,
    pub(super) scheduling_preference: SchedulingPreference,
    /// The time by which it has to be done for every deadline downstream of it.
    pub(super) deadline: Option<Instant>,
    pub(super) priority: Priority,
}

impl Derived {
    /// What holds for a job without upstream and downstream jobs.
    pub(super) fn alone(traits: &JobAttributes) -> Derived {
        Derived {
            depth: 0,
            scheduling_preference: match traits.deadline {
                Some(_) => SchedulingPreference::Latency,
                None => SchedulingPreference::Throughput,
            },
            deadline: traits.deadline,
            priority: traits.priority,
        }
    }
}

/// How far a job of the graph has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NodeState {
    /// Waits for upstream jobs.
    Blocked,
    /// May run.
    Released,
    /// Its terminal record is durable, since about then.
    Finished(Instant),
    /// Cancelled by its user, or downstream of a job that was.
    Cancelled,
    /// No longer open; whether it was finished or cancelled is not known.
    Closed,
}

impl NodeState {
    pub(super) fn is_open(self) -> bool {
        matches!(self, NodeState::Blocked | NodeState::Released)
    }
}

/// A job of the graph.
#[derive(Debug)]
pub(super) struct Node {
    /// All jobs that it depends on directly.
    pub(super) upstream: Vec<JobId>,
    /// Those of them whose terminal record is not known to be durable.
    pub(super) unfinished_upstream: BTreeSet<JobId>,
    /// When the last known terminal record of an upstream job was written.
    pub(super) last_upstream_finish: Option<Instant>,
    pub(super) state: NodeState,
    pub(super) traits: JobAttributes,
    pub(super) derived: Derived,
}

impl Node {
    /// A job of which nothing is known yet but what it depends on.
    pub(super) fn new(upstream: &[JobId], traits: JobAttributes) -> Node {
        Node {
            upstream: upstream.to_vec(),
            unfinished_upstream: BTreeSet::new(),
            last_upstream_finish: None,
            state: NodeState::Blocked,
            traits,
            derived: Derived::alone(&traits),
        }
    }

    /// An upstream job finished: its terminal record was written at that time.
    pub(super) fn upstream_finished(&mut self, id: &JobId, at: Instant) {
        self.unfinished_upstream.remove(id);
        self.last_upstream_finish = self.last_upstream_finish.max(Some(at));
    }
}
