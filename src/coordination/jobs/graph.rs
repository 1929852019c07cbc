//! The job graph, after Parrot: a job's output is a variable, an edge leads from its producer to
//! each consumer. A job is released when the finish mark of its last producer is durable; deadlines,
//! labels and priorities are walked backwards from the consumers; parallel jobs at one stage form a
//! task group.
//!
//! The graph says what changed (`take_changes`), and which producers' finish marks have to be read
//! because nothing is known of them here (`unknown`). A release is never decided on anything but a
//! finish mark.

use crate::ids::JobId;
use crate::protocol::users::Priority;
use crate::time::{Instant, TimeSpan};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// How a job is to be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Label {
    /// Its end, or that of a job close behind it, is waited for.
    Latency,
    /// Only the whole matters.
    Throughput,
}

/// How many steps before an output with a deadline jobs are still latency jobs.
const LATENCY_STEPS: u32 = 2;

/// What a job brings into the graph.
#[derive(Clone, Copy, Debug)]
pub struct JobTraits {
    /// Its own deadline.
    pub due: Option<Instant>,
    /// How long it should take from its release to its end.
    pub run: TimeSpan,
    /// Its own priority.
    pub priority: Priority,
}

/// What follows for a job from its own traits and those of all jobs that need it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Derived {
    /// The longest path of unfinished producers before it.
    depth: u32,
    label: Label,
    /// The time by which it has to be done for every deadline behind it.
    due: Option<Instant>,
    priority: Priority,
}

impl Derived {
    /// What holds for a job that nothing depends on and that depends on nothing.
    fn alone(traits: &JobTraits) -> Derived {
        Derived {
            depth: 0,
            label: match traits.due {
                Some(_) => Label::Latency,
                None => Label::Throughput,
            },
            due: traits.due,
            priority: traits.priority,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NodeState {
    /// Waits for producers.
    Waiting,
    /// May run.
    Released,
    /// Its finish mark is durable, since about then.
    Finished(Instant),
    /// Cancelled by its user, or needs a job that was.
    Cancelled,
    /// No longer open; whether it was finished or cancelled is not known.
    Closed,
}

impl NodeState {
    fn open(self) -> bool {
        matches!(self, NodeState::Waiting | NodeState::Released)
    }
}

#[derive(Debug)]
struct Node {
    after: Vec<JobId>,
    /// Producers whose finish mark is not known to be durable.
    missing: BTreeSet<JobId>,
    /// When the last known finish mark of a producer was written.
    last_finish: Option<Instant>,
    state: NodeState,
    traits: JobTraits,
    derived: Derived,
}

/// A job that has been released, and when its last producer finished, if it had one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Release {
    pub id: JobId,
    pub at: Option<Instant>,
}

/// What has changed since it was last asked.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    pub released: Vec<Release>,
    /// Open jobs of which an ancestor is cancelled.
    pub cancelled: Vec<JobId>,
}

/// The graph.
#[derive(Debug, Default)]
pub struct Graph {
    nodes: BTreeMap<JobId, Node>,
    /// Finished jobs that are forgotten but still named as producers, and when they finished.
    finished: BTreeMap<JobId, Instant>,
    consumers: BTreeMap<JobId, BTreeSet<JobId>>,
    /// Producers of waiting jobs whose finish mark has to be read.
    unknown: BTreeSet<JobId>,
    changes: Changes,
    /// Jobs with more than their own traits to go by, as of the last `refresh`.
    linked: BTreeSet<JobId>,
    /// Edges or states changed since the last `refresh`.
    stale: bool,
}

impl Graph {
    /// Adds a job with its producers.
    pub fn add(&mut self, id: &JobId, after: &[JobId], traits: JobTraits) {
        self.unknown.remove(id);
        let mut node = Node {
            after: after.to_vec(),
            missing: BTreeSet::new(),
            last_finish: None,
            state: NodeState::Waiting,
            traits,
            derived: Derived::alone(&traits),
        };
        let mut cancelled = false;
        for producer in after {
            let consumers = self.consumers.entry(producer.clone()).or_default();
            consumers.insert(id.clone());
            match self.state_of(producer) {
                Some(NodeState::Finished(at)) => node.last_finish = node.last_finish.max(Some(at)),
                Some(NodeState::Cancelled) => cancelled = true,
                Some(NodeState::Waiting | NodeState::Released) => {
                    node.missing.insert(producer.clone());
                }
                Some(NodeState::Closed) | None => {
                    node.missing.insert(producer.clone());
                    self.unknown.insert(producer.clone());
                }
            }
        }
        self.stale |= !after.is_empty() || self.consumers.contains_key(id);
        self.nodes.insert(id.clone(), node);
        if cancelled {
            self.cancel_open(id.clone());
        } else {
            self.release_if_ready(id);
        }
    }

    fn state_of(&self, id: &JobId) -> Option<NodeState> {
        let node = self.nodes.get(id).map(|n| n.state);
        node.or_else(|| self.finished.get(id).map(|at| NodeState::Finished(*at)))
    }

    /// A job's finish mark is durable, since about the given time: consumers whose last producer it
    /// was are released.
    pub fn finished(&mut self, id: &JobId, at: Instant) {
        self.unknown.remove(id);
        let Some(consumers) = self.consumers.get(id).cloned() else {
            self.set_state(id, NodeState::Finished(at));
            return;
        };
        if !self.set_state(id, NodeState::Finished(at)) {
            self.finished.insert(id.clone(), at);
        }
        self.stale = true;
        for consumer in consumers {
            if let Some(node) = self.nodes.get_mut(&consumer) {
                node.missing.remove(id);
                node.last_finish = node.last_finish.max(Some(at));
            }
            self.release_if_ready(&consumer);
        }
    }

    /// A job is cancelled: all open jobs that need it, directly or through others, are too.
    pub fn cancelled(&mut self, id: &JobId) {
        self.unknown.remove(id);
        self.set_state(id, NodeState::Cancelled);
        let consumers = self.consumers.get(id).into_iter().flatten();
        let mut todo: Vec<JobId> = consumers.cloned().collect();
        while let Some(next) = todo.pop() {
            todo.extend(self.cancel_open(next));
        }
    }

    /// Cancels one job that needs a cancelled one; says which others need it in turn.
    fn cancel_open(&mut self, id: JobId) -> Vec<JobId> {
        let Some(node) = self.nodes.get_mut(&id).filter(|n| n.state.open()) else {
            return Vec::new();
        };
        node.state = NodeState::Cancelled;
        self.stale = true;
        let consumers = self.consumers.get(&id).into_iter().flatten();
        let consumers = consumers.cloned().collect();
        self.changes.cancelled.push(id);
        consumers
    }

    /// A job is no longer open, and whether it was finished or cancelled is not known: its mark has to
    /// be read if a job waits for it.
    pub fn closed(&mut self, id: &JobId) {
        if !self.nodes.get(id).is_some_and(|n| n.state.open()) {
            return;
        }
        self.set_state(id, NodeState::Closed);
        if self.has_consumers(id) {
            self.unknown.insert(id.clone());
        }
    }

    /// Whether the job is held here; its state is the given one then.
    fn set_state(&mut self, id: &JobId, state: NodeState) -> bool {
        let Some(node) = self.nodes.get_mut(id) else {
            return false;
        };
        node.state = state;
        self.stale |= !node.after.is_empty() || self.consumers.contains_key(id);
        true
    }

    /// What has changed since this was last called.
    pub fn take_changes(&mut self) -> Changes {
        std::mem::take(&mut self.changes)
    }

    /// Producers of which nothing is known here, after the given one in order and then from the start:
    /// their finish marks have to be read. At most so many.
    pub fn unknown_after(&self, last: Option<&JobId>, most: usize) -> Vec<JobId> {
        let behind = self.unknown.iter().filter(|id| Some(*id) > last);
        let before = self.unknown.iter().filter(|id| Some(*id) <= last);
        behind.chain(before).take(most).cloned().collect()
    }

    /// Whether a job waits, or waited, for this one.
    pub fn has_consumers(&self, id: &JobId) -> bool {
        self.consumers.contains_key(id)
    }

    /// The once-a-second recheck: whatever should have been released is.
    pub fn recheck(&mut self) {
        let waiting = self.nodes.iter();
        let waiting = waiting.filter(|(_, n)| n.state == NodeState::Waiting);
        let ready = waiting.filter(|(_, n)| n.missing.is_empty());
        for id in ready.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            self.release_if_ready(&id);
        }
    }

    /// A job over and gone. It stays known as finished while a consumer names it.
    pub fn forget(&mut self, id: &JobId) {
        let Some(node) = self.nodes.remove(id) else {
            return;
        };
        self.linked.remove(id);
        for producer in node.after {
            if let Some(consumers) = self.consumers.get_mut(&producer) {
                consumers.remove(id);
                if consumers.is_empty() {
                    self.consumers.remove(&producer);
                    self.finished.remove(&producer);
                    self.unknown.remove(&producer);
                }
            }
        }
        if let (NodeState::Finished(at), true) = (node.state, self.has_consumers(id)) {
            self.finished.insert(id.clone(), at);
        }
    }

    /// Whether the job may run.
    pub fn released(&self, id: &JobId) -> bool {
        self.nodes
            .get(id)
            .is_some_and(|n| n.state == NodeState::Released)
    }

    fn derived(&self, id: &JobId) -> Option<&Derived> {
        self.nodes.get(id).map(|n| &n.derived)
    }

    /// The label; unknown jobs are throughput.
    pub fn label(&self, id: &JobId) -> Label {
        self.derived(id).map_or(Label::Throughput, |d| d.label)
    }

    /// The place in topological order: unfinished producers before consumers.
    pub fn depth(&self, id: &JobId) -> u32 {
        self.derived(id).map_or(0, |d| d.depth)
    }

    /// The time by which the job has to be done for its own deadline and all behind it.
    pub fn due(&self, id: &JobId) -> Option<Instant> {
        self.derived(id).and_then(|d| d.due)
    }

    /// The highest priority of the job and of all that need it; None if it is not held here.
    pub fn priority(&self, id: &JobId) -> Option<Priority> {
        self.derived(id).map(|d| d.priority)
    }

    /// The task group: parallel latency jobs at one stage before the same consumers. A job without
    /// consumers is a group of its own tasks.
    pub fn group(&self, id: &JobId) -> Vec<JobId> {
        let alone = || vec![id.clone()];
        let (Some(node), Some(mine)) = (self.nodes.get(id), self.consumers.get(id)) else {
            return alone();
        };
        if node.derived.label != Label::Latency {
            return alone();
        }
        let Some(consumer) = mine.first().and_then(|c| self.nodes.get(c)) else {
            return alone();
        };
        let alike = |p: &&JobId| {
            self.nodes.get(*p).is_some_and(|other| {
                other.state.open()
                    && other.derived.depth == node.derived.depth
                    && other.derived.label == Label::Latency
                    && self.consumers.get(*p) == Some(mine)
            })
        };
        let group: Vec<JobId> = consumer.after.iter().filter(alike).cloned().collect();
        if group.is_empty() {
            alone()
        } else {
            group
        }
    }

    fn release_if_ready(&mut self, id: &JobId) {
        let Some(node) = self.nodes.get_mut(id) else {
            return;
        };
        if node.state != NodeState::Waiting || !node.missing.is_empty() {
            return;
        }
        node.state = NodeState::Released;
        self.changes.released.push(Release {
            id: id.clone(),
            at: node.last_finish,
        });
    }

    /// Derives deadlines, labels and priorities anew if anything changed; linear in the jobs that have
    /// producers or consumers.
    pub fn refresh(&mut self) {
        if !std::mem::take(&mut self.stale) {
            return;
        }
        for id in std::mem::take(&mut self.linked) {
            if let Some(node) = self.nodes.get_mut(&id) {
                node.derived = Derived::alone(&node.traits);
            }
        }
        let command = self.topological_order();
        self.derive_backwards(&command);
        self.linked = command.into_iter().collect();
    }

    /// Open producers of an open job.
    fn open_producers<'a>(&'a self, id: &JobId) -> impl Iterator<Item = &'a JobId> {
        let node = self.nodes.get(id).filter(|n| n.state.open());
        let missing = node.into_iter().flat_map(|n| &n.missing);
        missing.filter(|p| self.nodes.get(*p).is_some_and(|n| n.state.open()))
    }

    /// Open jobs that need an open job.
    fn open_consumers<'a>(&'a self, id: &JobId) -> impl Iterator<Item = &'a JobId> {
        let all = self.consumers.get(id).into_iter().flatten();
        all.filter(|c| self.nodes.get(*c).is_some_and(|n| n.state.open()))
    }

    /// Open jobs with edges, producers first, with their depths set. Jobs in a cycle, which no accepted
    /// submission can make, never come up: they keep what is their own and are never released.
    fn topological_order(&mut self) -> Vec<JobId> {
        let open = |id: &JobId| self.nodes.get(id).is_some_and(|n| n.state.open());
        let producers = self.consumers.keys().filter(|id| open(id));
        let consumers = self.consumers.values().flatten().filter(|id| open(id));
        let part: BTreeSet<JobId> = producers.chain(consumers).cloned().collect();
        let mut before: BTreeMap<JobId, usize> = BTreeMap::new();
        let mut ready: VecDeque<JobId> = VecDeque::new();
        for id in part {
            match self.open_producers(&id).count() {
                0 => ready.push_back(id),
                n => drop(before.insert(id, n)),
            }
        }
        let mut command = Vec::new();
        while let Some(id) = ready.pop_front() {
            let next_depth = self.depth(&id) + 1;
            for consumer in self.open_consumers(&id).cloned().collect::<Vec<_>>() {
                if let Some(node) = self.nodes.get_mut(&consumer) {
                    node.derived.depth = node.derived.depth.max(next_depth);
                }
                if let Some(left) = before.get_mut(&consumer) {
                    *left -= 1;
                    if *left == 0 {
                        ready.push_back(consumer);
                    }
                }
            }
            command.push(id);
        }
        command
    }

    /// Backwards from outputs: each producer has to be done before its consumers must begin, and has
    /// the highest of their priorities; the latency label goes to the producers of an output with a
    /// deadline and their immediate predecessors.
    fn derive_backwards(&mut self, command: &[JobId]) {
        let mut steps: BTreeMap<JobId, u32> = BTreeMap::new();
        for id in command.iter().rev() {
            let output = self.open_consumers(id).next().is_none();
            let Some(node) = self.nodes.get_mut(id) else {
                continue;
            };
            let mut step = steps.get(id).copied();
            if output && node.traits.due.is_some() {
                step = Some(0);
            }
            node.derived.label = match step {
                Some(_) => Label::Latency,
                None => Label::Throughput,
            };
            let derived = node.derived;
            let begin_by = derived.due.map(|due| due - node.traits.run);
            for producer in self.open_producers(id).cloned().collect::<Vec<_>>() {
                if let Some(p) = self.nodes.get_mut(&producer) {
                    p.derived.priority = p.derived.priority.max(derived.priority);
                    p.derived.due = match (p.derived.due, begin_by) {
                        (Some(a), Some(b)) => Some(a.min(b)),
                        (a, b) => a.or(b),
                    };
                }
                if let Some(step) = step.filter(|s| *s < LATENCY_STEPS) {
                    let nearest = steps.entry(producer).or_insert(step + 1);
                    *nearest = (*nearest).min(step + 1);
                }
            }
        }
    }
}
