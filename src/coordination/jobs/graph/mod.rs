//! The dependency graph of jobs, after the Parrot paper: a job's output is a variable, and an edge leads from the
//! job that produces it to each job that consumes it. A job is released when the terminal record of its last
//! upstream job is durable. Deadlines, scheduling preferences and priorities are propagated from downstream jobs to
//! upstream jobs. Parallel jobs at one stage form a task group.
//!
//! [`DependencyGraph::take_changes`] returns the jobs that were released or cancelled.
//! [`DependencyGraph::unresolved_after`] returns the upstream jobs in an unknown state, whose terminal records have
//! to be read. Only a terminal record can release a job.

mod derivation;
mod node;

pub use node::{JobAttributes, SchedulingPreference};

use crate::ids::JobId;
use crate::protocol::users::Priority;
use crate::time::Instant;
use node::{DerivedAttributes, Node, NodeState};
use std::collections::{BTreeMap, BTreeSet};

/// A job that was released.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReleasedJob {
    /// The job.
    pub id: JobId,
    /// When the terminal record of the last upstream job was written, if there are upstream jobs.
    pub last_upstream_finish: Option<Instant>,
}

/// Changes of the graph since they were last taken.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GraphChanges {
    /// Jobs that may run now.
    pub released: Vec<ReleasedJob>,
    /// Open jobs downstream of a cancelled job.
    pub cancelled: Vec<JobId>,
}

/// The dependency graph of jobs.
#[derive(Debug, Default)]
pub struct DependencyGraph {
    nodes: BTreeMap<JobId, Node>,
    /// Finished jobs without a node that are still upstream of other jobs, with the times when they finished.
    finished: BTreeMap<JobId, Instant>,
    /// The jobs directly downstream of each job.
    downstream: BTreeMap<JobId, BTreeSet<JobId>>,
    /// Upstream jobs in an unknown state, whose terminal records have to be read.
    unresolved: BTreeSet<JobId>,
    changes: GraphChanges,
    /// Open jobs that had upstream or downstream jobs at the last `refresh`.
    linked_jobs: BTreeSet<JobId>,
    /// Whether edges or states have changed since the last `refresh`.
    needs_refresh: bool,
}

/// Changes of jobs.
impl DependencyGraph {
    /// Adds a job with its direct upstream jobs.
    pub fn add_job(&mut self, id: &JobId, upstream: &[JobId], attributes: JobAttributes) {
        self.unresolved.remove(id);
        let mut node = Node::new(upstream, attributes);
        let mut is_upstream_cancelled = false;
        for upstream_id in upstream {
            let downstream = self.downstream.entry(upstream_id.clone()).or_default();
            downstream.insert(id.clone());
            match self.state_of(upstream_id) {
                Some(NodeState::Finished(at)) => node.upstream_finished(upstream_id, at),
                Some(NodeState::Cancelled) => is_upstream_cancelled = true,
                Some(NodeState::Blocked | NodeState::Released) => {
                    node.unfinished_upstream.insert(upstream_id.clone());
                }
                Some(NodeState::Closed) | None => {
                    node.unfinished_upstream.insert(upstream_id.clone());
                    self.unresolved.insert(upstream_id.clone());
                }
            }
        }
        self.needs_refresh |= !upstream.is_empty() || self.has_downstream(id);
        self.nodes.insert(id.clone(), node);
        if is_upstream_cancelled {
            self.cancel_if_open(id.clone());
        } else {
            self.release_if_ready(id);
        }
    }

    /// Marks a job as done; its terminal record is durable since about `at`. Releases the downstream jobs that
    /// have no other unfinished upstream job.
    pub fn mark_finished(&mut self, id: &JobId, at: Instant) {
        self.unresolved.remove(id);
        let is_tracked = self.set_state(id, NodeState::Finished(at));
        let Some(downstream) = self.downstream.get(id).cloned() else {
            return;
        };
        if !is_tracked {
            self.finished.insert(id.clone(), at);
        }
        self.needs_refresh = true;
        for downstream_id in downstream {
            if let Some(node) = self.nodes.get_mut(&downstream_id) {
                node.upstream_finished(id, at);
            }
            self.release_if_ready(&downstream_id);
        }
    }

    /// Marks a job as cancelled, and all open jobs that depend on it directly or indirectly.
    pub fn mark_cancelled(&mut self, id: &JobId) {
        self.unresolved.remove(id);
        self.set_state(id, NodeState::Cancelled);
        let mut to_cancel = self.directly_downstream(id);
        while let Some(next) = to_cancel.pop() {
            to_cancel.extend(self.cancel_if_open(next));
        }
    }

    /// Marks a job as no longer open when it is unknown whether it finished or was cancelled. Its terminal record
    /// has to be read if other jobs depend on it.
    pub fn mark_closed(&mut self, id: &JobId) {
        if !self.is_open(id) {
            return;
        }
        self.set_state(id, NodeState::Closed);
        if self.has_downstream(id) {
            self.unresolved.insert(id.clone());
        }
    }

    /// Releases blocked jobs without unfinished upstream jobs, in case an earlier release was missed. To be called
    /// about once a second.
    pub fn release_ready_jobs(&mut self) {
        let nodes = self.nodes.iter();
        let ready = nodes.filter(|(_, node)| {
            node.state == NodeState::Blocked && node.unfinished_upstream.is_empty()
        });
        for id in ready.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            self.release_if_ready(&id);
        }
    }

    /// Removes a job. A finished job stays known as finished while other jobs depend on it.
    pub fn remove(&mut self, id: &JobId) {
        let Some(node) = self.nodes.remove(id) else {
            return;
        };
        self.linked_jobs.remove(id);
        for upstream_id in &node.upstream {
            self.remove_edge(upstream_id, id);
        }
        if let (NodeState::Finished(at), true) = (node.state, self.has_downstream(id)) {
            self.finished.insert(id.clone(), at);
        }
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> GraphChanges {
        std::mem::take(&mut self.changes)
    }

    /// Sets the state of a job. Returns whether the job is in the graph.
    fn set_state(&mut self, id: &JobId, state: NodeState) -> bool {
        let has_downstream = self.has_downstream(id);
        let Some(node) = self.nodes.get_mut(id) else {
            return false;
        };
        node.state = state;
        self.needs_refresh |= !node.upstream.is_empty() || has_downstream;
        true
    }

    /// Cancels a job, if it is open, because a direct upstream job is cancelled. Returns the direct downstream jobs
    /// of a job that it cancelled.
    fn cancel_if_open(&mut self, id: JobId) -> Vec<JobId> {
        let node = self.nodes.get_mut(&id);
        let Some(node) = node.filter(|node| node.state.is_open()) else {
            return Vec::new();
        };
        node.state = NodeState::Cancelled;
        self.needs_refresh = true;
        let downstream = self.directly_downstream(&id);
        self.changes.cancelled.push(id);
        downstream
    }

    fn release_if_ready(&mut self, id: &JobId) {
        let Some(node) = self.nodes.get_mut(id) else {
            return;
        };
        if node.state != NodeState::Blocked || !node.unfinished_upstream.is_empty() {
            return;
        }
        node.state = NodeState::Released;
        self.changes.released.push(ReleasedJob {
            id: id.clone(),
            last_upstream_finish: node.last_upstream_finish,
        });
    }

    /// Removes an edge, and with the last edge of an upstream job also the job's entries in `finished` and
    /// `unresolved`.
    fn remove_edge(&mut self, upstream_id: &JobId, downstream_id: &JobId) {
        let Some(downstream) = self.downstream.get_mut(upstream_id) else {
            return;
        };
        downstream.remove(downstream_id);
        if downstream.is_empty() {
            self.downstream.remove(upstream_id);
            self.finished.remove(upstream_id);
            self.unresolved.remove(upstream_id);
        }
    }
}

/// Queries.
impl DependencyGraph {
    /// Returns at most `max_count` upstream jobs whose terminal records have to be read: first those after `last`
    /// in the order of ids, then from the start.
    pub fn unresolved_after(&self, last: Option<&JobId>, max_count: usize) -> Vec<JobId> {
        let after = self.unresolved.iter().filter(|id| Some(*id) > last);
        let before = self.unresolved.iter().filter(|id| Some(*id) <= last);
        after.chain(before).take(max_count).cloned().collect()
    }

    /// Whether any job depends, or depended, directly on the job.
    pub fn has_downstream(&self, id: &JobId) -> bool {
        self.downstream.contains_key(id)
    }

    /// Whether the job may run.
    pub fn is_released(&self, id: &JobId) -> bool {
        let node = self.nodes.get(id);
        node.is_some_and(|node| node.state == NodeState::Released)
    }

    /// Returns the job's scheduling preference; throughput for unknown jobs.
    pub fn scheduling_preference(&self, id: &JobId) -> SchedulingPreference {
        self.derived(id)
            .map_or(SchedulingPreference::Throughput, |derived| {
                derived.scheduling_preference
            })
    }

    /// Returns the number of jobs on the longest path of unfinished upstream jobs; 0 for unknown jobs.
    pub fn depth(&self, id: &JobId) -> u32 {
        self.derived(id).map_or(0, |derived| derived.depth)
    }

    /// Returns the time by which the job has to be done to meet its own deadline and all downstream deadlines.
    pub fn deadline(&self, id: &JobId) -> Option<Instant> {
        self.derived(id).and_then(|derived| derived.deadline)
    }

    /// Returns the highest priority of the job and all its downstream jobs; `None` for unknown jobs.
    pub fn priority(&self, id: &JobId) -> Option<Priority> {
        self.derived(id).map(|derived| derived.priority)
    }

    /// Returns the jobs of the job's task group: parallel latency jobs of the same depth with the same downstream
    /// jobs. Any other job is the only one in its group.
    pub fn task_group(&self, id: &JobId) -> Vec<JobId> {
        let group = self.parallel_latency_jobs(id).unwrap_or_default();
        if group.is_empty() {
            vec![id.clone()]
        } else {
            group
        }
    }

    /// Returns the latency jobs, including the job itself, of the same depth and with the same downstream jobs as a
    /// latency job, in the order of the first downstream job's list of upstream jobs.
    fn parallel_latency_jobs(&self, id: &JobId) -> Option<Vec<JobId>> {
        let node = self.nodes.get(id)?;
        let downstream = self.downstream.get(id)?;
        if node.derived.scheduling_preference != SchedulingPreference::Latency {
            return None;
        }
        let first_downstream = self.nodes.get(downstream.first()?)?;
        let is_in_group = |other_id: &&JobId| {
            self.nodes.get(*other_id).is_some_and(|other| {
                other.state.is_open()
                    && other.derived.depth == node.derived.depth
                    && other.derived.scheduling_preference == SchedulingPreference::Latency
                    && self.downstream.get(*other_id) == Some(downstream)
            })
        };
        let group = first_downstream.upstream.iter().filter(is_in_group);
        Some(group.cloned().collect())
    }

    fn derived(&self, id: &JobId) -> Option<&DerivedAttributes> {
        self.nodes.get(id).map(|node| &node.derived)
    }

    fn is_open(&self, id: &JobId) -> bool {
        self.nodes.get(id).is_some_and(|node| node.state.is_open())
    }

    fn state_of(&self, id: &JobId) -> Option<NodeState> {
        let tracked = self.nodes.get(id).map(|node| node.state);
        tracked.or_else(|| self.finished.get(id).map(|at| NodeState::Finished(*at)))
    }

    fn directly_downstream(&self, id: &JobId) -> Vec<JobId> {
        let downstream = self.downstream.get(id).into_iter().flatten();
        downstream.cloned().collect()
    }
}
