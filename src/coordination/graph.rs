//! The job graph, after Parrot: a job's output is a variable, an edge leads from its producer to
//! each consumer. A job is released when its last producer finishes; labels are walked backwards
//! from outputs with a deadline; parallel jobs at one stage form a task group.

use crate::ids::{JobId, Millis};
use std::collections::{BTreeMap, BTreeSet};

/// How a job is to be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Label {
    /// Its end, or that of a job close behind it, is waited for.
    Latency,
    /// Only the whole matters.
    Throughput,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NodeState {
    Waiting,
    Released,
    Finished,
    Failed,
}

#[derive(Debug)]
struct Node {
    after: Vec<JobId>,
    state: NodeState,
    due: Option<Millis>,
    depth: u32,
    label: Label,
    /// Earliest deadline of this job and all behind it.
    pressing: Option<Millis>,
}

/// The graph.
#[derive(Debug, Default)]
pub struct Graph {
    nodes: BTreeMap<JobId, Node>,
    /// Finished jobs that are forgotten but still named as producers.
    finished: BTreeSet<JobId>,
    consumers: BTreeMap<JobId, BTreeSet<JobId>>,
}

impl Graph {
    /// Adds a job with its producers and, if it has one, its deadline.
    pub fn add(&mut self, id: &JobId, after: &[JobId], due: Option<Millis>) {
        for p in after {
            self.consumers
                .entry(p.clone())
                .or_default()
                .insert(id.clone());
        }
        let node = Node {
            after: after.to_vec(),
            state: NodeState::Waiting,
            due,
            depth: 0,
            label: Label::Throughput,
            pressing: due,
        };
        self.nodes.insert(id.clone(), node);
        self.release_if_ready(id);
        self.relabel(id);
    }

    /// A producer's finish mark is known, though the job itself isn't held here.
    pub fn known_finished(&mut self, id: &JobId) {
        self.finished.insert(id.clone());
        self.finished(id);
    }

    /// A job finished: consumers whose last producer it was are released.
    pub fn finished(&mut self, id: &JobId) {
        if let Some(n) = self.nodes.get_mut(id) {
            n.state = NodeState::Finished;
        }
        for c in self.consumers.get(id).cloned().unwrap_or_default() {
            self.release_if_ready(&c);
        }
    }

    /// A job failed (its user cancelled it): its consumers, and theirs, fail too. They are never
    /// released; their users may cancel them. Nobody calls them cancelled before that.
    pub fn failed(&mut self, id: &JobId) {
        let mut todo = vec![id.clone()];
        while let Some(id) = todo.pop() {
            if let Some(n) = self.nodes.get_mut(&id) {
                if matches!(n.state, NodeState::Failed | NodeState::Finished) {
                    continue;
                }
                n.state = NodeState::Failed;
            }
            todo.extend(self.consumers.get(&id).into_iter().flatten().cloned());
        }
    }

    /// The once-a-second recheck: whatever should have been released is.
    pub fn recheck(&mut self) {
        let waiting: Vec<JobId> = self
            .nodes
            .iter()
            .filter(|(_, n)| n.state == NodeState::Waiting)
            .map(|(id, _)| id.clone())
            .collect();
        for id in waiting {
            self.release_if_ready(&id);
        }
    }

    /// A job over and gone. It stays known as finished while a consumer names it.
    pub fn forget(&mut self, id: &JobId) {
        let Some(n) = self.nodes.remove(id) else {
            return;
        };
        for p in n.after {
            if let Some(c) = self.consumers.get_mut(&p) {
                c.remove(id);
                if c.is_empty() {
                    self.consumers.remove(&p);
                    self.finished.remove(&p);
                }
            }
        }
        if n.state == NodeState::Finished && self.consumers.contains_key(id) {
            self.finished.insert(id.clone());
        }
    }

    /// Whether the job may run.
    pub fn released(&self, id: &JobId) -> bool {
        self.nodes
            .get(id)
            .is_some_and(|n| n.state == NodeState::Released)
    }

    /// The label; unknown jobs are throughput.
    pub fn label(&self, id: &JobId) -> Label {
        self.nodes.get(id).map_or(Label::Throughput, |n| n.label)
    }

    /// The place in topological order: producers before consumers.
    pub fn depth(&self, id: &JobId) -> u32 {
        self.nodes.get(id).map_or(0, |n| n.depth)
    }

    /// The earliest deadline that waits for this job.
    pub fn pressing(&self, id: &JobId) -> Option<Millis> {
        self.nodes.get(id).and_then(|n| n.pressing)
    }

    /// The task group: parallel latency jobs at one stage before the same consumers. A job by
    /// itself (as all deployed jobs are today) is a group of its own tasks.
    pub fn group(&self, id: &JobId) -> Vec<JobId> {
        let alone = vec![id.clone()];
        let (Some(node), Some(mine)) = (self.nodes.get(id), self.consumers.get(id)) else {
            return alone;
        };
        if node.label != Label::Latency {
            return alone;
        }
        let Some(first) = mine.first() else {
            return alone;
        };
        let Some(consumer) = self.nodes.get(first) else {
            return alone;
        };
        consumer
            .after
            .iter()
            .filter(|p| self.depth(p) == node.depth && self.consumers.get(*p) == Some(mine))
            .filter(|p| self.label(p) == Label::Latency)
            .cloned()
            .collect()
    }

    fn release_if_ready(&mut self, id: &JobId) {
        let Some(n) = self.nodes.get(id) else { return };
        if n.state != NodeState::Waiting {
            return;
        }
        let producer = |p: &JobId| match self.nodes.get(p) {
            Some(p) => p.state,
            None if self.finished.contains(p) => NodeState::Finished,
            None => NodeState::Waiting,
        };
        let states: Vec<NodeState> = n.after.iter().map(producer).collect();
        let next = if states.contains(&NodeState::Failed) {
            NodeState::Failed
        } else if states.iter().all(|s| *s == NodeState::Finished) {
            NodeState::Released
        } else {
            return;
        };
        if let Some(n) = self.nodes.get_mut(id) {
            n.state = next;
        }
        if next == NodeState::Failed {
            for c in self.consumers.get(id).cloned().unwrap_or_default() {
                self.release_if_ready(&c);
            }
        }
    }

    /// Recomputes labels and depths of the pipeline around a new job: only what is connected to it.
    fn relabel(&mut self, id: &JobId) {
        let mut part = BTreeSet::new();
        let mut todo = vec![id.clone()];
        while let Some(id) = todo.pop() {
            if !part.insert(id.clone()) {
                continue;
            }
            if let Some(n) = self.nodes.get(&id) {
                todo.extend(n.after.iter().cloned());
            }
            todo.extend(self.consumers.get(&id).into_iter().flatten().cloned());
        }
        // Kahn's order; jobs in a cycle never come up, keep their defaults and are never released.
        let mut order: Vec<JobId> = Vec::new();
        let mut placed = BTreeSet::new();
        loop {
            let ready: Vec<JobId> = part
                .iter()
                .filter(|id| !placed.contains(*id))
                .filter(|id| {
                    let after = self.nodes.get(*id).map_or(&[][..], |n| &n.after[..]);
                    after.iter().all(|p| placed.contains(p))
                })
                .cloned()
                .collect();
            if ready.is_empty() {
                break;
            }
            let depth = |id: &JobId, g: &Graph| {
                let after = g.nodes.get(id).map_or(&[][..], |n| &n.after[..]);
                after.iter().map(|p| g.depth(p) + 1).max().unwrap_or(0)
            };
            for id in ready {
                let d = depth(&id, self);
                if let Some(n) = self.nodes.get_mut(&id) {
                    n.depth = d;
                    n.label = Label::Throughput;
                    n.pressing = n.due;
                }
                placed.insert(id.clone());
                order.push(id);
            }
        }
        // Backwards from outputs: deadlines are inherited by all ancestors, the latency label by
        // the producers and their immediate predecessors.
        let mut steps: BTreeMap<JobId, u32> = BTreeMap::new();
        for id in order.iter().rev() {
            let Some(n) = self.nodes.get(id) else {
                continue;
            };
            let (after, pressing) = (n.after.clone(), n.pressing);
            let is_output = self.consumers.get(id).is_none_or(|c| c.is_empty());
            let mut near = steps.get(id).copied();
            if is_output && n.due.is_some() {
                near = Some(0);
            }
            if near.is_some() {
                if let Some(n) = self.nodes.get_mut(id) {
                    n.label = Label::Latency;
                }
            }
            for p in after {
                if let Some(p) = self.nodes.get_mut(&p) {
                    p.pressing = match (p.pressing, pressing) {
                        (Some(a), Some(b)) => Some(a.min(b)),
                        (a, b) => a.or(b),
                    };
                }
                if let Some(step) = near.filter(|s| *s < 2) {
                    let e = steps.entry(p).or_insert(step + 1);
                    *e = (*e).min(step + 1);
                }
            }
        }
    }
}
