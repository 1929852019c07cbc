//! The protocol's rules, applied to what the simulated parts see. A rule that is broken is recorded by
//! name, as `expect rule-broken` in scenarios names it.

mod job_states;
mod placement;
mod starvation;

use super::state_store::StateStore;
use super::worker::Worker;
use chalklug::config::{DeploymentFacts, Team};
use chalklug::ids::*;
use chalklug::protocol::cloud::MachineTypeInfo;
use chalklug::protocol::users::{JobPhase, JobSpec, Shape};
use chalklug::time::{Instant, TimeSpan};
use placement::Placement;
use std::collections::{BTreeMap, BTreeSet};

/// A leader that hears of a cancellation may send launches for this much longer.
const CANCELLATION_GRACE: TimeSpan = TimeSpan(1_000);
/// Waiting jobs are looked at this often.
const STARVATION_CHECK_INTERVAL: TimeSpan = TimeSpan(1_000);
/// Rounding errors of sums of resources.
const EPSILON: f64 = 1e-6;

/// What the checker has seen, and the rules broken by it.
pub struct Checker {
    facts: DeploymentFacts,
    machine_types: Vec<MachineTypeInfo>,
    jobs: BTreeMap<JobId, JobSpec>,
    /// Jobs that a job depends on.
    upstream: BTreeMap<JobId, Vec<JobId>>,
    accepted_at: BTreeMap<JobId, Instant>,
    cancelled_at: BTreeMap<JobId, Instant>,
    /// Tasks that a worker has completed.
    done_tasks: BTreeMap<JobId, BTreeSet<u32>>,
    last_phases: BTreeMap<JobId, JobPhase>,
    /// What was on which machine when last looked at.
    placements: BTreeSet<Placement>,
    /// How often each task was started.
    pub attempts: BTreeMap<TaskId, u32>,
    /// Names of the rules that were broken.
    pub broken_rules: BTreeSet<String>,
    /// The first violation, for the message of a failing test.
    pub first_violation: Option<String>,
    /// A job that nobody submits.
    pub unknown_job: JobId,
    last_fault_at: Instant,
    /// Since when there has been room for a job that waits.
    room_since: BTreeMap<JobId, Instant>,
}

impl Checker {
    pub fn new(facts: DeploymentFacts, machine_types: Vec<MachineTypeInfo>) -> Checker {
        Checker {
            facts,
            machine_types,
            jobs: BTreeMap::new(),
            upstream: BTreeMap::new(),
            accepted_at: BTreeMap::new(),
            cancelled_at: BTreeMap::new(),
            done_tasks: BTreeMap::new(),
            last_phases: BTreeMap::new(),
            placements: BTreeSet::new(),
            attempts: BTreeMap::new(),
            broken_rules: BTreeSet::new(),
            first_violation: None,
            unknown_job: JobId::from("wk-999999"),
            last_fault_at: Instant(0),
            room_since: BTreeMap::new(),
        }
    }

    /// Some fault is active that excuses delays.
    pub fn fault_active(&mut self, now: Instant) {
        self.last_fault_at = now;
    }

    /// A job is accepted: it must be able to run at all.
    pub fn job_accepted(&mut self, now: Instant, spec: JobSpec, upstream: Vec<JobId>) {
        if !self.fits_some_machine(&spec) || !self.fits_team_limit(&spec) {
            self.record_violation(now, "accepted_unfit", spec.id.to_string());
        }
        self.accepted_at.insert(spec.id.clone(), now);
        self.upstream.insert(spec.id.clone(), upstream);
        self.jobs.insert(spec.id.clone(), spec);
    }

    fn fits_some_machine(&self, spec: &JobSpec) -> bool {
        let allowed = spec.machine_types.as_ref();
        self.machine_types.iter().any(|info| {
            spec.cpus <= info.cpus
                && spec.gpus <= info.gpus
                && spec.ram_gb <= info.ram_gb
                && allowed.is_none_or(|types| types.contains(&info.name))
                && spec.zone.as_ref().is_none_or(|z| info.zones.contains(z))
        })
    }

    fn fits_team_limit(&self, spec: &JobSpec) -> bool {
        let at_once = match spec.shape {
            Shape::Array => 1.0,
            _ => f64::from(spec.tasks),
        };
        let fits = |each: f64, max: f64| max <= 0.0 || each * at_once <= max + EPSILON;
        self.team(&spec.team)
            .is_some_and(|team| fits(spec.cpus, team.cpus_max) && fits(spec.gpus, team.gpus_max))
    }

    fn team(&self, name: &str) -> Option<&Team> {
        self.facts.teams.iter().find(|team| team.name == name)
    }

    /// A user's cancellation is confirmed.
    pub fn job_cancelled(&mut self, id: &JobId, now: Instant) {
        self.cancelled_at.insert(id.clone(), now);
    }

    /// A launch leaves the leader, which may not have heard of anything confirmed within the last
    /// `max_staleness`.
    pub fn launch_sent(&mut self, now: Instant, task: &TaskId, max_staleness: TimeSpan) {
        let allowed = max_staleness.max(CANCELLATION_GRACE);
        let cancelled_at = self.cancelled_at.get(&task.job);
        if cancelled_at.is_some_and(|at| now - *at > allowed) {
            self.record_violation(now, "launched_cancelled", task.to_string());
        }
    }

    /// A leader still acts although another may have taken over.
    pub fn two_leaders(&mut self, now: Instant) {
        let details = "a lease has expired, its leader acts";
        self.record_violation(now, "two_leaders", details.into());
    }

    /// Looks at everything, once in each tick.
    pub fn observe(
        &mut self,
        now: Instant,
        workers: &BTreeMap<MachineId, Worker>,
        store: &StateStore,
    ) {
        self.check_placements(now, workers, store);
        self.check_job_states(now, store);
        if now.0 % STARVATION_CHECK_INTERVAL.0 == 0 {
            self.check_starvation(now, workers, store);
        }
    }

    /// At the end of a run: something must have run.
    pub fn check_at_end(&mut self, now: Instant) {
        if self.attempts.is_empty() {
            self.record_violation(now, "nothing_ran", String::new());
        }
    }

    fn record_violation(&mut self, now: Instant, rule: &str, details: String) {
        self.broken_rules.insert(rule.into());
        self.first_violation
            .get_or_insert(format!("{:.1} s: {rule}: {details}", now.secs()));
    }
}
