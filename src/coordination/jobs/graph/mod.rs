//! The graph of dependencies, after the Parrot paper: a job's output is a variable, an edge leads from the
//! job that produces it to each job that consumes it. A job is released when the terminal record of its last
//! upstream job is durable; deadlines, labels and priorities are derived backwards from the downstream jobs;
//! parallel jobs at one stage form a task group.
//!
//! The graph says what changed ([`DependencyGraph::take_changes`]), and of which upstream jobs the terminal records have
//! to be read because nothing is known of them here ([`DependencyGraph::unresolved_after`]). A release is never decided
//! on anything but a terminal record.

mod derivation;
mod node;

pub use node::{JobAttributes, SchedulingPreference};

use crate::ids::JobId;
use crate::protocol::users::Priority;
use crate::time::Instant;
use node::{Derived, Node, NodeState};
use std::collections::{BTreeMap, BTreeSet};

/// A job that has been released.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReleasedJob {
    /// The job.
    pub id: JobId,
    /// When the terminal record of its last upstream job was written, if it has any.
    pub last_upstream_finish: Option<Instant>,
}

/// What has changed since it was last asked.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GraphChanges {
    /// Jobs that may run now.
    pub released: Vec<ReleasedJob>,
    /// Open jobs downstream of a job that is cancelled.
    pub cancelled: Vec<JobId>,
}

/// All jobs of which something upstream or downstream matters.
#[derive(Debug, Default)]
pub struct DependencyGraph {
    nodes: BTreeMap<JobId, Node>,
    /// Finished jobs that are forgotten but still named as upstream jobs, and when they finished.
    finished: BTreeMap<JobId, Instant>,
    /// The jobs directly downstream of each job.
    downstream: BTreeMap<JobId, BTreeSet<JobId>>,
    /// Upstream jobs of blocked jobs whose terminal records have to be read.
    unresolved: BTreeSet<JobId>,
    changes: GraphChanges,
    /// Jobs with more than their own traits to go by, as of the last `refresh`.
    linked: BTreeSet<JobId>,
    /// Whether edges or states changed since the last `refresh`.
    is_stale: bool,
}

/// What happens to jobs.
impl DependencyGraph {
    /// Adds a job with the jobs that it depends on directly.
    pub fn add_job(&mut self, id: &JobId, upstream: &[JobId], traits: JobAttributes) {
        self.unresolved.remove(id);
        let mut node = Node::new(upstream, traits);
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
        self.is_stale |= !upstream.is_empty() || self.has_downstream(id);
        self.nodes.insert(id.clone(), node);
        if is_upstream_cancelled {
            self.cancel_if_open(id.clone());
        } else {
            self.release_if_ready(id);
        }
    }

    /// A job's terminal record says that it is done, and is durable since about that time: downstream jobs
    /// whose last upstream job it was are released.
    pub fn mark_finished(&mut self, id: &JobId, at: Instant) {
        self.unresolved.remove(id);
        let is_held = self.set_state(id, NodeState::Finished(at));
        let Some(downstream) = self.downstream.get(id).cloned() else {
            return;
        };
        if !is_held {
            self.finished.insert(id.clone(), at);
        }
        self.is_stale = true;
        for downstream_id in downstream {
            if let Some(node) = self.nodes.get_mut(&downstream_id) {
                node.upstream_finished(id, at);
            }
            self.release_if_ready(&downstream_id);
        }
    }

    /// A job is cancelled: all open jobs downstream of it, directly or through others, are too.
    pub fn mark_cancelled(&mut self, id: &JobId) {
        self.unresolved.remove(id);
        self.set_state(id, NodeState::Cancelled);
        let mut to_cancel = self.directly_downstream(id);
        while let Some(next) = to_cancel.pop() {
            to_cancel.extend(self.cancel_if_open(next));
        }
    }

    /// A job is no longer open, and whether it was finished or cancelled is not known: its terminal record has
    /// to be read if a job waits for it.
    pub fn mark_closed(&mut self, id: &JobId) {
        if !self.is_open(id) {
            return;
        }
        self.set_state(id, NodeState::Closed);
        if self.has_downstream(id) {
            self.unresolved.insert(id.clone());
        }
    }

    /// Releases whatever should have been released already. To be called about once a second.
    pub fn release_ready_jobs(&mut self) {
        let nodes = self.nodes.iter();
        let ready = nodes.filter(|(_, node)| {
            node.state == NodeState::Blocked && node.unfinished_upstream.is_empty()
        });
        for id in ready.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            self.release_if_ready(&id);
        }
    }

    /// A job is no longer held. It stays known as finished while a downstream job names it.
    pub fn remove(&mut self, id: &JobId) {
        let Some(node) = self.nodes.remove(id) else {
            return;
        };
        self.linked.remove(id);
        for upstream_id in &node.upstream {
            self.remove_edge(upstream_id, id);
        }
        if let (NodeState::Finished(at), true) = (node.state, self.has_downstream(id)) {
            self.finished.insert(id.clone(), at);
        }
    }

    /// What has changed since this was last called.
    pub fn take_changes(&mut self) -> GraphChanges {
        std::mem::take(&mut self.changes)
    }

    /// Whether the job is held here; it has the given state then.
    fn set_state(&mut self, id: &JobId, state: NodeState) -> bool {
        let has_downstream = self.has_downstream(id);
        let Some(node) = self.nodes.get_mut(id) else {
            return false;
        };
        node.state = state;
        self.is_stale |= !node.upstream.is_empty() || has_downstream;
        true
    }

    /// Cancels a job, if it is open, because one directly upstream of it is cancelled; says which are directly
    /// downstream of it in turn.
    fn cancel_if_open(&mut self, id: JobId) -> Vec<JobId> {
        let node = self.nodes.get_mut(&id);
        let Some(node) = node.filter(|node| node.state.is_open()) else {
            return Vec::new();
        };
        node.state = NodeState::Cancelled;
        self.is_stale = true;
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

    /// Removes an edge, and what is only kept for the sake of the edges of the upstream job.
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

/// What is known of jobs.
impl DependencyGraph {
    /// Upstream jobs of which nothing is known here, after the given one in order and then from the start:
    /// their terminal records have to be read. At most so many.
    pub fn unresolved_after(&self, last: Option<&JobId>, max_count: usize) -> Vec<JobId> {
        let after = self.unresolved.iter().filter(|id| Some(*id) > last);
        let before = self.unresolved.iter().filter(|id| Some(*id) <= last);
        after.chain(before).take(max_count).cloned().collect()
    }

    /// Whether a job depends, or depended, directly on this one.
    pub fn has_downstream(&self, id: &JobId) -> bool {
        self.downstream.contains_key(id)
    }

    /// Whether the job may run.
    pub fn is_released(&self, id: &JobId) -> bool {
        let node = self.nodes.get(id);
        node.is_some_and(|node| node.state == NodeState::Released)
    }

    /// The label; that of jobs not held here is throughput.
    pub fn scheduling_preference(&self, id: &JobId) -> SchedulingPreference {
        self.derived(id)
            .map_or(SchedulingPreference::Throughput, |derived| {
                derived.scheduling_preference
            })
    }

    /// The place in topological order: unfinished upstream jobs before downstream ones.
    pub fn depth(&self, id: &JobId) -> u32 {
        self.derived(id).map_or(0, |derived| derived.depth)
    }

    /// The time by which the job has to be done for its own deadline and all downstream of it.
    pub fn deadline(&self, id: &JobId) -> Option<Instant> {
        self.derived(id).and_then(|derived| derived.deadline)
    }

    /// The highest priority of the job and of all jobs downstream of it; `None` if it is not held here.
    pub fn priority(&self, id: &JobId) -> Option<Priority> {
        self.derived(id).map(|derived| derived.priority)
    }

    /// The task group: parallel latency jobs at one stage before the same downstream jobs. A job without
    /// downstream jobs is a group of its own tasks.
    pub fn task_group(&self, id: &JobId) -> Vec<JobId> {
        let group = self.latency_jobs_alongside(id).unwrap_or_default();
        if group.is_empty() {
            vec![id.clone()]
        } else {
            group
        }
    }

    /// The latency jobs, itself included, that are at the same depth as a latency job and before the same
    /// downstream jobs, in the order in which the first of those names them.
    fn latency_jobs_alongside(&self, id: &JobId) -> Option<Vec<JobId>> {
        let node = self.nodes.get(id)?;
        let downstream = self.downstream.get(id)?;
        if node.derived.scheduling_preference != SchedulingPreference::Latency {
            return None;
        }
        let first_downstream = self.nodes.get(downstream.first()?)?;
        let is_alike = |other_id: &&JobId| {
            self.nodes.get(*other_id).is_some_and(|other| {
                other.state.is_open()
                    && other.derived.depth == node.derived.depth
                    && other.derived.scheduling_preference == SchedulingPreference::Latency
                    && self.downstream.get(*other_id) == Some(downstream)
            })
        };
        let siblings = first_downstream.upstream.iter().filter(is_alike);
        Some(siblings.cloned().collect())
    }

    fn derived(&self, id: &JobId) -> Option<&Derived> {
        self.nodes.get(id).map(|node| &node.derived)
    }

    fn is_open(&self, id: &JobId) -> bool {
        self.nodes.get(id).is_some_and(|node| node.state.is_open())
    }

    fn state_of(&self, id: &JobId) -> Option<NodeState> {
        let held = self.nodes.get(id).map(|node| node.state);
        held.or_else(|| self.finished.get(id).map(|at| NodeState::Finished(*at)))
    }

    fn directly_downstream(&self, id: &JobId) -> Vec<JobId> {
        let downstream = self.downstream.get(id).into_iter().flatten();
        downstream.cloned().collect()
    }
}
