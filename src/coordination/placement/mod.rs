//! Which task goes to which machine: Parrot's Algorithm 1. The queue is walked in topological
//! order; a task group is placed in one round, what does not fit in later ones; otherwise jobs
//! sharing an image go together, then to machines caching it, then alone. Among those, machines
//! that run tasks of the same label are preferred. Within one depth of the graph, work inside its
//! team's guarantee comes first, then priority, then the least slack.

pub(crate) mod candidates;
mod preemption;
mod queue;
mod reservations;

use crate::coordination::jobs::graph::Label;
use crate::coordination::jobs::job::Job;
use crate::coordination::machines::machine::{Machine, MachineState};
use crate::coordination::Scheduler;
use crate::ids::{AttemptId, JobId, MachineId, MachineType, TaskId, TeamIndex, Zone};
use crate::protocol::users::{JobSpec, Priority, Shape};
use crate::resources::Resources;
use crate::storage::records::LaunchIntent;
use crate::time::{Instant, TimeSpan};
use crate::transport::budget::Budget;
use std::collections::{BTreeMap, BTreeSet};

/// When placement and preemption last ran, and what holds them back.
#[derive(Debug)]
pub struct PlacementState {
    /// Something changed that placement should look at.
    pub(crate) due: bool,
    /// Tasks that may be placed: the processor must keep up with what comes of them.
    pub(crate) budget: Budget,
    /// When the last pass began.
    pub(crate) last_pass_at: Instant,
    /// When ways to make room were last looked for.
    pub(crate) last_preemption_at: Instant,
}

impl PlacementState {
    /// For a process with so many cores.
    pub fn new(cores: f64) -> PlacementState {
        PlacementState {
            due: true,
            budget: placement_budget(cores),
            last_pass_at: Instant::LONG_AGO,
            last_preemption_at: Instant::LONG_AGO,
        }
    }
}

/// The rate at which a process with so many cores can place tasks and keep up with what comes of them.
fn placement_budget(cores: f64) -> Budget {
    let per_s = (cores * PLACED_PER_CORE_S).max(LEAST_PLACED_S);
    let burst = (per_s * PLACED_BURST_S).max(MOST_PLACED as f64);
    Budget::new(per_s, burst)
}

/// What is left to place after a pass, in queue order.
#[derive(Debug, Clone)]
pub struct UnplacedTasks {
    pub job: JobId,
    pub count: u32,
}

/// A task of a job that failed on several machines has run for this long: the job isn't mistaken.
const PROVEN: TimeSpan = TimeSpan(6_000);

/// Tasks placed each second for each core of this process's quota, and seconds' worth of them at once.
///
/// Guards against a leader that one huge job deposes: on the recorded day de36 some 24,000 tasks of a few
/// seconds were placed within 6 s; what came of them took all of a twelfth of a core, and the leader's lease
/// was over before the answers to its renewals had been read.
const PLACED_PER_CORE_S: f64 = 7_500.0;
const PLACED_BURST_S: f64 = 5.0;
/// However small the quota, or if it is none: placement never stops.
const LEAST_PLACED_S: f64 = 100.0;
/// A job that has been ready for longer than this takes any machine rather than one with its image.
const LONGEST_IMAGE_WAIT: TimeSpan = TimeSpan(30_000);
/// A pass for fewer tasks than this is not worth the look at the whole queue.
const LEAST_PLACED: usize = 20;
/// Tasks placed in one pass: what is left is placed in the next one, so that reports and the
/// lease's renewal never wait for a whole wave.
const MOST_PLACED: usize = 400;

/// What a pass works with.
pub(crate) struct Pass {
    attempt_id: AttemptId,
    /// What teams use, and what is kept for jobs that their team's limit holds up.
    pub(crate) used: Vec<Resources>,
    /// Machines kept for large tasks.
    pub(crate) kept: BTreeSet<MachineId>,
    /// Jobs for which a machine was emptied.
    pub(crate) favoured: BTreeSet<JobId>,
    /// Needs for which there was no room: nothing as large or larger has to look again.
    pub(crate) full: Vec<ResourceRequest>,
    placed: usize,
    most_placed: usize,
    /// Only machines that have the image will do for now.
    pub(crate) cached: bool,
    /// The least urgent of all open jobs.
    least_urgent: Option<Priority>,
    /// Jobs for which it was looked whether machines with their image can be emptied.
    pub(crate) looked_for_image: usize,
}

/// What a task asks of a machine, as far as the machine's kind and room go.
#[derive(Clone)]
pub(crate) struct ResourceRequest {
    amount: Resources,
    class: String,
    spot: bool,
    zone: Option<Zone>,
    machine_types: Option<Vec<MachineType>>,
}

impl ResourceRequest {
    pub(crate) fn of(spec: &JobSpec) -> ResourceRequest {
        ResourceRequest {
            amount: Resources::of(spec),
            class: spec.class.clone(),
            spot: spec.spot,
            zone: spec.zone.clone(),
            machine_types: spec.machine_types.clone(),
        }
    }
    /// Whether a task with this need is at least as hard to place as `o`.
    pub(crate) fn covers(&self, o: &ResourceRequest) -> bool {
        o.amount.fits(&self.amount)
            && self.class == o.class
            && (o.spot || !self.spot)
            && (o.zone.is_none() || o.zone == self.zone)
            && (o.machine_types.is_none() || o.machine_types == self.machine_types)
    }
}

impl Scheduler {
    /// Whether a machine may be given new work at all.
    pub(crate) fn usable(&self, m: &Machine, now: Instant) -> bool {
        m.state == MachineState::Up
            && m.verified
            && !m.is_unreachable()
            && !m.draining
            && m.reclaim_at.is_none()
            && m.unschedulable_until <= now
            && !m.silent(now, self.policy.silence())
    }

    /// One pass: places what fits and says what does not.
    pub(crate) fn place(&mut self, now: Instant) -> Vec<UnplacedTasks> {
        if self.machines.types.is_empty() {
            return Vec::new();
        }
        let most_placed = MOST_PLACED.min(self.placement.budget.available(now) as usize);
        if most_placed < LEAST_PLACED {
            self.placement.due = true;
            return Vec::new();
        }
        let queue = self.queue(now);
        if queue.is_empty() {
            return Vec::new();
        }
        let mut pass = Pass {
            most_placed,
            attempt_id: self.fresh_attempt(),
            used: self.team_usage.clone(),
            kept: BTreeSet::new(),
            favoured: self
                .machines
                .values()
                .filter_map(|m| m.reservation.as_ref())
                .filter(|(_, until)| now < *until)
                .map(|(job, _)| job.clone())
                .collect(),
            full: Vec::new(),
            placed: 0,
            cached: false,
            least_urgent: self.least_urgent(),
            looked_for_image: 0,
        };
        // By place in the queue: what is left of each job.
        let mut unplaced: BTreeMap<usize, UnplacedTasks> = BTreeMap::new();
        let mut later = Vec::new();
        let mut at = 0;
        for round in queue {
            // Jobs that are alike first go where their image is; what is left goes anywhere. With too
            // much to do, a tenth of all machine time went into fetching otherwise.
            pass.cached = true;
            for id in &round {
                if pass.placed < pass.most_placed {
                    self.place_job(now, id, &mut pass);
                }
            }
            pass.cached = false;
            for id in round {
                at += 1;
                if self.waits_for_image(now, &id, &pass) {
                    later.push((at, id));
                } else {
                    self.place_rest(now, at, id, &mut pass, &mut unplaced);
                }
            }
        }
        // What nobody with the image at hand has taken.
        for (at, id) in later {
            self.place_rest(now, at, id, &mut pass, &mut unplaced);
        }
        // What is left of a job of many tasks has its turn in the next pass.
        self.placement.due |= pass.placed >= pass.most_placed;
        // A gang is placed as a whole, even if that is a little more than the rate allows.
        let spent = self.placement.budget.available(now).min(pass.placed as f64);
        self.placement.budget.take(now, spent);
        unplaced.into_values().collect()
    }

    fn place_rest(
        &mut self,
        now: Instant,
        at: usize,
        id: JobId,
        pass: &mut Pass,
        unplaced: &mut BTreeMap<usize, UnplacedTasks>,
    ) {
        if pass.placed >= pass.most_placed {
            self.placement.due = true;
            return;
        }
        if self.may_take_machines(now, &id, pass) && self.takes_machines_with_image(now, &id, pass)
        {
            return;
        }
        let count = self.place_job(now, &id, pass);
        if count > 0 {
            unplaced.insert(at, UnplacedTasks { job: id, count });
        }
    }

    /// Whether a gang is more urgent than other work, may start as far as its team's limit goes, and is
    /// nowhere yet.
    fn may_take_machines(&self, now: Instant, id: &JobId, pass: &Pass) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let above_others = pass
            .least_urgent
            .is_some_and(|least| least < self.urgency_of(id, &job.spec));
        // Guards against a job for which machine after machine is emptied in vain: it goes anywhere then.
        let young = now - job.ready < LONGEST_IMAGE_WAIT;
        let candidate =
            young && above_others && job.spec.shape == Shape::Gang && job.placements.is_empty();
        let head = || self.headroom(&job.spec, job.team, &pass.used) as usize;
        candidate && head() >= job.pending.len()
    }

    /// How many more tasks the team's limit lets start.
    pub(crate) fn headroom(
        &self,
        spec: &JobSpec,
        team: Option<TeamIndex>,
        used: &[Resources],
    ) -> u32 {
        let (Some(no), Some(team)) = (team, self.policy.team(team)) else {
            return 0;
        };
        let used = used.get(no.0).copied().unwrap_or_default();
        let bound = |max: f64, used: f64| if max > 0.0 { max - used } else { f64::INFINITY };
        let room = Resources {
            cpus: bound(team.cpus_max, used.cpus),
            gpus: bound(team.gpus_max, used.gpus),
            ram_gb: f64::INFINITY,
        };
        Resources::of(spec).count_in(&room, spec.tasks)
    }

    /// Whether a task of the job has run for long enough to say that the job can run.
    fn has_run_long_enough(&self, now: Instant, id: &JobId, job: &Job) -> bool {
        let machine_ids = job.placements.values().flatten();
        let attempts = machine_ids
            .filter_map(|h| self.machines.get(h))
            .flat_map(Machine::live_attempts);
        let mut since = attempts
            .filter(|s| s.task.job == *id)
            .filter_map(|s| s.running_since);
        since.any(|t| now - t > PROVEN)
    }

    /// Places what it can of one job; says how many tasks could start but for want of machines.
    fn place_job(&mut self, now: Instant, id: &JobId, pass: &mut Pass) -> u32 {
        let Some(job) = self.jobs.get(id) else {
            return 0;
        };
        let spec = job.spec.clone();
        let team = job.team;
        let head = self.headroom(&spec, team, &pass.used);
        // Once one task of a gang is done all are, and the rest only have to say so one by one.
        let gang = spec.shape == Shape::Gang && job.done.count() == 0;
        if pass.cached && (gang || job.pending.is_empty()) {
            return 0;
        }
        if gang && !job.placements.is_empty() {
            // Nothing while a task of the last attempt lingers anywhere.
            return 0;
        }
        let mut could = head.min(job.pending.len() as u32);
        if !gang && job.fails_everywhere() && !self.has_run_long_enough(now, id, job) {
            // Guards against a job submitted with a mistake whose tasks all start and fail again and
            // again, with a write for each and machines rented for all: one task tries, the rest wait
            // for how it fares.
            could = could.min(u32::from(job.placements.is_empty()));
            if could == 0 {
                return 0;
            }
        }
        let keep = |pass: &mut Pass, n: f64| {
            if let Some(u) = team.and_then(|t| pass.used.get_mut(t.0)) {
                u.add(&Resources::of(&spec).times(n));
            }
        };
        if pass.cached && could == 0 {
            return 0;
        }
        if could == 0 || (gang && could < spec.tasks) {
            // Guards against a large job that never finds its team's limit free, because smaller
            // jobs behind it take every bit that is given back: what it needs is kept for it.
            let n = if gang { f64::from(spec.tasks) } else { 1.0 };
            keep(pass, n);
            return 0;
        }
        let aged = self.aged(job, now);
        let request = ResourceRequest::of(&spec);
        if !pass.favoured.contains(id) && pass.full.iter().any(|f| request.covers(f)) {
            if pass.cached {
                return could;
            }
            self.hold_for(now, &spec, gang, aged, pass);
            return could;
        }
        let most = if gang {
            could
        } else {
            could.min((pass.most_placed - pass.placed) as u32)
        };
        let pending: Vec<u32> = job.pending.iter().take(most as usize).copied().collect();
        let zones = self.zone_choices(now, &spec, job, pass);
        let mut plan: Vec<(u32, MachineId)> = Vec::new();
        for zone in zones {
            plan = self.plan(now, id, &spec, &pending, zone.as_ref(), pass);
            if !plan.is_empty() && (!gang || plan.len() == pending.len()) {
                break;
            }
            plan.clear();
        }
        let left = could - plan.len() as u32;
        if plan.is_empty() && pass.cached {
            return left;
        }
        if plan.is_empty() {
            // Whether there is room depends on the job itself only if it avoids machines, or must
            // spread or stay together.
            if job.failed_on.is_empty() && !spec.scatter && (!gang || spec.tasks == 1) {
                pass.full.push(request);
            }
            self.hold_for(now, &spec, gang, aged, pass);
            return left;
        }
        pass.placed += plan.len();
        if let Some(job) = self.jobs.get_mut(id) {
            job.incomplete = false;
        }
        if let Some(job) = self.jobs.get_mut(id).filter(|_| pass.cached) {
            // What it waits for does come.
            job.waits_since = None;
        }
        let latency = self.jobs.graph.label(id) == Label::Latency;
        for (index, machine_id) in plan {
            let task = TaskId {
                job: id.clone(),
                index,
            };
            tracing::debug!(task = %task, machine = %machine_id, "placed");
            if let Some(m) = self.machines.get_mut(&machine_id) {
                m.idle_since = None;
                if m.reservation.as_ref().is_some_and(|(j, _)| j == id) {
                    m.reservation = None;
                }
            }
            let mut attempt = self.new_attempt(&machine_id, task.clone(), pass.attempt_id, now);
            let several = gang && spec.tasks > 1;
            let m = self.machines.get(&machine_id).filter(|_| several);
            attempt.image_s = m.map(|m| self.wait_for_image(now, m, &spec));
            attempt.latency = latency;
            let placed = LaunchIntent::new(&machine_id, &attempt.key());
            self.insert_attempt(&machine_id, attempt);
            self.add_place(&machine_id, &task);
            self.writer.intents.wait(placed);
            keep(pass, 1.0);
        }
        left
    }

    /// The zones to try in turn: None stands for all at once.
    fn zone_choices(
        &self,
        now: Instant,
        spec: &JobSpec,
        job: &Job,
        pass: &Pass,
    ) -> Vec<Option<Zone>> {
        if let Some(zone) = &spec.zone {
            return vec![Some(zone.clone())];
        }
        if !spec.together || spec.tasks == 1 {
            return vec![None];
        }
        if let Some(zone) = self.zones_of(job).into_keys().next() {
            return vec![Some(zone)];
        }
        let mut fit: BTreeMap<Zone, u32> = BTreeMap::new();
        let request = Resources::of(spec);
        for m in self.machines.with_room_for(spec) {
            if self.usable(m, now) && Self::allows(spec, m) && !pass.kept.contains(&m.id) {
                let n = request.count_in(&m.free, spec.tasks);
                *fit.entry(m.zone.clone()).or_default() += n;
            }
        }
        let mut zones: Vec<(u32, Zone)> = fit.into_iter().map(|(s, n)| (n, s)).collect();
        zones.sort_by(|a, b| b.cmp(a));
        zones.into_iter().map(|(_, s)| Some(s)).collect()
    }

    /// How many tasks of the job may be in each zone, lingering ones included.
    pub(crate) fn zones_of(&self, job: &Job) -> BTreeMap<Zone, u32> {
        let mut zones = BTreeMap::new();
        for machine_id in job.placements.values().flatten() {
            if let Some(m) = self.machines.get(machine_id) {
                *zones.entry(m.zone.clone()).or_default() += 1;
            }
        }
        zones
    }

    /// Whether the job's own constraints allow this kind of machine.
    pub(crate) fn allows(spec: &JobSpec, m: &Machine) -> bool {
        (spec.spot || !m.spot)
            && spec.zone.as_ref().is_none_or(|s| *s == m.zone)
            && spec
                .machine_types
                .as_ref()
                .is_none_or(|r| r.contains(&m.machine_type))
    }
}
