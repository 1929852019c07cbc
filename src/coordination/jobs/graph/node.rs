//! The nodes of the dependency graph: one for each job.

use crate::ids::JobId;
use crate::protocol::users::Priority;
use crate::time::{Instant, TimeSpan};
use std::collections::BTreeSet;

/// Whether a job is scheduled for low latency or for throughput.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SchedulingPreference {
    /// The job is an output job with a deadline, or at most two edges upstream of one.
    Latency,
    /// Only total throughput matters.
    Throughput,
}

/// A job's own attributes, from which the graph derives those of its upstream jobs.
#[derive(Clone, Copy, Debug)]
pub struct JobAttributes {
    /// The job's own deadline.
    pub deadline: Option<Instant>,
    /// The estimated time from the job's release to its end.
    pub run_time: TimeSpan,
    /// The job's own priority.
    pub priority: Priority,
}

/// Attributes derived from a job's own attributes and those of all its downstream jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct DerivedAttributes {
    /// The number of jobs on the longest path of unfinished upstream jobs.
    pub(super) depth: u32,
    pub(super) scheduling_preference: SchedulingPreference,
    /// The time by which the job has to be done to meet its own deadline and all downstream deadlines.
    pub(super) deadline: Option<Instant>,
    pub(super) priority: Priority,
}

impl DerivedAttributes {
    /// Returns the derived attributes of a job without upstream and downstream jobs.
    pub(super) fn without_edges(attributes: &JobAttributes) -> DerivedAttributes {
        DerivedAttributes {
            depth: 0,
            scheduling_preference: match attributes.deadline {
                Some(_) => SchedulingPreference::Latency,
                None => SchedulingPreference::Throughput,
            },
            deadline: attributes.deadline,
            priority: attributes.priority,
        }
    }
}

/// The state of a job in the graph.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NodeState {
    /// Waits for upstream jobs.
    Blocked,
    /// May run.
    Released,
    /// Done; the terminal record is durable since about this time.
    Finished(Instant),
    /// Cancelled by its user, or downstream of a cancelled job.
    Cancelled,
    /// No longer open; whether the job finished or was cancelled is unknown.
    Closed,
}

impl NodeState {
    pub(super) fn is_open(self) -> bool {
        matches!(self, NodeState::Blocked | NodeState::Released)
    }
}

/// A job in the graph.
#[derive(Debug)]
pub(super) struct Node {
    /// All jobs directly upstream of the job.
    pub(super) upstream: Vec<JobId>,
    /// Upstream jobs whose terminal record is not known to be durable.
    pub(super) unfinished_upstream: BTreeSet<JobId>,
    /// The time of the latest known terminal record of an upstream job.
    pub(super) last_upstream_finish: Option<Instant>,
    pub(super) state: NodeState,
    pub(super) attributes: JobAttributes,
    pub(super) derived: DerivedAttributes,
}

impl Node {
    /// Creates a blocked job, before the states of its upstream jobs are known.
    pub(super) fn new(upstream: &[JobId], attributes: JobAttributes) -> Node {
        Node {
            upstream: upstream.to_vec(),
            unfinished_upstream: BTreeSet::new(),
            last_upstream_finish: None,
            state: NodeState::Blocked,
            attributes,
            derived: DerivedAttributes::without_edges(&attributes),
        }
    }

    /// Records that an upstream job finished; its terminal record was written at `at`.
    pub(super) fn upstream_finished(&mut self, id: &JobId, at: Instant) {
        self.unfinished_upstream.remove(id);
        self.last_upstream_finish = self.last_upstream_finish.max(Some(at));
    }
}
