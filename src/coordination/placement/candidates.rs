//! Which machines take the tasks of a job, among those that may: the cheapest first, all preferences in
//! seconds of waiting.

use crate::coordination::attempts::reconciliation::MAX_LISTED;
use crate::coordination::jobs::graph::Label;
use crate::coordination::machines::machine::Machine;
use crate::coordination::placement::Pass;
use crate::coordination::Scheduler;
use crate::ids::{JobId, MachineId, Zone};
use crate::protocol::users::JobSpec;
use crate::resources::Resources;
use crate::time::Instant;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap};

/// Seconds a machine with another label is worse by; all preferences are in seconds of waiting.
const OTHER_LABEL_S: f64 = 1.0;
/// Seconds an ordinary machine is worse by for a job that may use spot machines: it keeps ordinary
/// machines free for jobs that may not.
const ORDINARY_S: f64 = 2.0;
/// Seconds a whole empty machine is worse by than a full one: packs tasks, leaves whole machines.
const EMPTY_S: f64 = 3.0;
/// Machines a job has failed on are avoided up to this many; past it, it is the job that is bad.
const AVOID: usize = 3;

/// A machine that may take a task, as a pass sees it; the cheapest is the greatest.
struct Candidate {
    cost: f64,
    fixed: f64,
    room: Resources,
    machine_id: MachineId,
    zone: Zone,
    whole: Resources,
    listed: usize,
}

impl Candidate {
    fn price(mut self) -> Candidate {
        self.cost = self.fixed + emptiness(&self.room, &self.whole) * EMPTY_S;
        self
    }
}

impl PartialEq for Candidate {
    fn eq(&self, o: &Self) -> bool {
        self.cmp(o) == Ordering::Equal
    }
}
impl Eq for Candidate {}
impl PartialOrd for Candidate {
    fn partial_cmp(&self, o: &Self) -> Option<Ordering> {
        Some(self.cmp(o))
    }
}
impl Ord for Candidate {
    fn cmp(&self, o: &Self) -> Ordering {
        o.cost
            .total_cmp(&self.cost)
            .then_with(|| o.machine_id.cmp(&self.machine_id))
    }
}

/// The larger part of a machine that is free.
pub(crate) fn emptiness(room: &Resources, whole: &Resources) -> f64 {
    let part = |free: f64, all: f64| if all > 0.0 { free / all } else { 0.0 };
    part(room.gpus, whole.gpus).max(part(room.cpus, whole.cpus))
}

impl Scheduler {
    /// Chooses machines for as many of the tasks as fit.
    pub(crate) fn plan(
        &self,
        now: Instant,
        id: &JobId,
        spec: &JobSpec,
        pending: &[u32],
        zone: Option<&Zone>,
        pass: &Pass,
    ) -> Vec<(u32, MachineId)> {
        let Some(job) = self.jobs.get(id) else {
            return Vec::new();
        };
        let request = Resources::of(spec);
        let latency = self.jobs.graph.label(id) == Label::Latency;
        let avoid = job.failed_on.len() <= AVOID;
        let aged = self.aged(job, now);
        let mut zones = if spec.scatter {
            self.zones_of(job)
        } else {
            BTreeMap::new()
        };
        let most_in_zone = spec.tasks.div_ceil(2);
        // Machines that may take it, with what does not change as tasks are added.
        let mut heap: BinaryHeap<Candidate> = self
            .machines
            .with_room_for(spec)
            .filter(|m| request.fits(m.free()) && m.attempts.len() < MAX_LISTED)
            .filter(|m| Self::allows(spec, m) && zone.is_none_or(|z| *z == m.zone))
            .filter(|m| self.usable(m, now) && !pass.kept.contains(&m.id))
            .filter(|m| !pass.cached || m.has_image(&spec.image))
            .filter(|m| !(avoid && job.failed_on.contains(&m.id)))
            .filter(|m| {
                m.reservation
                    .as_ref()
                    .is_none_or(|(j, t)| j == id || now >= *t)
            })
            .filter(|m| {
                aged || self
                    .autoscaler
                    .warm_pool
                    .get(&m.id)
                    .is_none_or(|c| *c == spec.class)
            })
            .map(|m| {
                Candidate {
                    cost: 0.0,
                    fixed: self.wait_for_image(now, m, spec) + Self::dislike(m, spec, latency),
                    room: *m.free(),
                    machine_id: m.id.clone(),
                    zone: m.zone.clone(),
                    whole: self.machines.capacity(&m.machine_type),
                    listed: m.attempts.len(),
                }
                .price()
            })
            .collect();
        let mut plan: Vec<(u32, MachineId)> = Vec::new();
        for index in pending {
            let Some(mut best) = heap.pop() else { break };
            while spec.scatter && zones.get(&best.zone).copied().unwrap_or(0) >= most_in_zone {
                // That zone is full, and stays so.
                match heap.pop() {
                    Some(next) => best = next,
                    None => return plan,
                }
            }
            plan.push((*index, best.machine_id.clone()));
            best.room.sub(&request);
            best.listed += 1;
            *zones.entry(best.zone.clone()).or_default() += 1;
            if request.fits(&best.room) && best.listed < MAX_LISTED {
                heap.push(best.price());
            }
        }
        plan
    }

    fn dislike(m: &Machine, spec: &JobSpec, latency: bool) -> f64 {
        let mut cost = 0.0;
        if spec.spot && !m.spot {
            cost += ORDINARY_S;
        }
        if m.live_attempts().any(|s| s.latency != latency) {
            cost += OTHER_LABEL_S;
        }
        cost
    }
}
