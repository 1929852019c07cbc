//! Derived attributes of the jobs in the graph: the depth, from upstream jobs; the deadline, the scheduling
//! preference and the priority, from downstream jobs.

use super::node::{DerivedAttributes, SchedulingPreference};
use super::DependencyGraph;
use crate::ids::JobId;
use crate::time::Instant;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Jobs at most this many edges upstream of an output job with a deadline are latency jobs.
const MAX_LATENCY_STEPS: u32 = 2;

impl DependencyGraph {
    /// Recomputes depths, deadlines, scheduling preferences and priorities if anything changed. Takes time linear
    /// in the number of jobs that have upstream or downstream jobs.
    pub fn refresh(&mut self) {
        if !std::mem::take(&mut self.needs_refresh) {
            return;
        }
        for id in std::mem::take(&mut self.linked_jobs) {
            if let Some(node) = self.nodes.get_mut(&id) {
                node.derived = DerivedAttributes::without_edges(&node.attributes);
            }
        }
        let order = self.topological_order();
        self.derive_backwards(&order);
        self.linked_jobs = order.into_iter().collect();
    }

    /// Returns the open jobs directly upstream of an open job.
    fn open_upstream<'a>(&'a self, id: &JobId) -> impl Iterator<Item = &'a JobId> {
        let node = self.nodes.get(id).filter(|node| node.state.is_open());
        let unfinished = node.into_iter().flat_map(|node| &node.unfinished_upstream);
        unfinished.filter(|upstream| self.is_open(upstream))
    }

    /// Returns the open jobs directly downstream of a job.
    fn open_downstream<'a>(&'a self, id: &JobId) -> impl Iterator<Item = &'a JobId> {
        let all = self.downstream.get(id).into_iter().flatten();
        all.filter(|downstream| self.is_open(downstream))
    }

    /// Returns the open jobs that have upstream or downstream jobs.
    fn open_linked_jobs(&self) -> BTreeSet<JobId> {
        let upstream = self.downstream.keys();
        let downstream = self.downstream.values().flatten();
        let linked = upstream.chain(downstream);
        linked.filter(|id| self.is_open(id)).cloned().collect()
    }

    /// Returns the open jobs with edges in topological order, upstream jobs first, and sets their depths. Jobs in
    /// a cycle, which accepted submissions can't create, are left out: they keep their own attributes and are
    /// never released.
    fn topological_order(&mut self) -> Vec<JobId> {
        let mut unordered_upstream: BTreeMap<JobId, usize> = BTreeMap::new();
        let mut ready: VecDeque<JobId> = VecDeque::new();
        for id in self.open_linked_jobs() {
            match self.open_upstream(&id).count() {
                0 => ready.push_back(id),
                count => drop(unordered_upstream.insert(id, count)),
            }
        }
        let mut order = Vec::new();
        while let Some(id) = ready.pop_front() {
            let next_depth = self.depth(&id) + 1;
            for downstream in self.open_downstream(&id).cloned().collect::<Vec<_>>() {
                if let Some(node) = self.nodes.get_mut(&downstream) {
                    node.derived.depth = node.derived.depth.max(next_depth);
                }
                if let Some(left) = unordered_upstream.get_mut(&downstream) {
                    *left -= 1;
                    if *left == 0 {
                        ready.push_back(downstream);
                    }
                }
            }
            order.push(id);
        }
        order
    }

    /// Propagates attributes from downstream jobs to upstream jobs: each job has to be done before its downstream
    /// jobs must start, and gets the highest of their priorities. Output jobs with a deadline, and jobs up to
    /// [`MAX_LATENCY_STEPS`] edges upstream of them, are latency jobs.
    fn derive_backwards(&mut self, order: &[JobId]) {
        let mut steps_to_deadline: BTreeMap<JobId, u32> = BTreeMap::new();
        for id in order.iter().rev() {
            let is_output = self.open_downstream(id).next().is_none();
            let Some(node) = self.nodes.get_mut(id) else {
                continue;
            };
            let mut steps = steps_to_deadline.get(id).copied();
            if is_output && node.attributes.deadline.is_some() {
                steps = Some(0);
            }
            node.derived.scheduling_preference = match steps {
                Some(_) => SchedulingPreference::Latency,
                None => SchedulingPreference::Throughput,
            };
            let derived = node.derived;
            let latest_start = derived.deadline.map(|at| at - node.attributes.run_time);
            for upstream in self.open_upstream(id).cloned().collect::<Vec<_>>() {
                self.derive_upstream(&upstream, &derived, latest_start);
                if let Some(steps) = steps.filter(|steps| *steps < MAX_LATENCY_STEPS) {
                    let nearest = steps_to_deadline.entry(upstream).or_insert(steps + 1);
                    *nearest = (*nearest).min(steps + 1);
                }
            }
        }
    }

    /// Propagates priority and deadline to a job from a job directly downstream of it.
    fn derive_upstream(
        &mut self,
        id: &JobId,
        downstream: &DerivedAttributes,
        latest_start: Option<Instant>,
    ) {
        let Some(node) = self.nodes.get_mut(id) else {
            return;
        };
        node.derived.priority = node.derived.priority.max(downstream.priority);
        node.derived.deadline = match (node.derived.deadline, latest_start) {
            (Some(own), Some(latest)) => Some(own.min(latest)),
            (own, latest) => own.or(latest),
        };
    }
}
