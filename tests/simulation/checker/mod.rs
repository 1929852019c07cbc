//! Checks of the protocol's rules on the state of the simulated components. A violation is recorded
//! under the rule's name, which `expect rule-broken` in scenarios refers to.

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

/// Time after a cancellation during which a leader may send launches of the job even if its view is
/// up to date.
const CANCELLATION_GRACE: TimeSpan = TimeSpan(1_000);
/// How often the checker checks for starvation.
const STARVATION_CHECK_INTERVAL: TimeSpan = TimeSpan(1_000);
/// Tolerance for rounding errors in sums of resources.
const EPSILON: f64 = 1e-6;

/// Observations of the checker, and the rules that were broken.
pub struct Checker {
    facts: DeploymentFacts,
    machine_types: Vec<MachineTypeInfo>,
    jobs: BTreeMap<JobId, JobSpec>,
    /// The jobs that each job depends on directly.
    upstream: BTreeMap<JobId, Vec<JobId>>,
    accepted_at: BTreeMap<JobId, Instant>,
    cancelled_at: BTreeMap<JobId, Instant>,
    /// Indices of the tasks that a worker has completed, by job.
    completed_tasks: BTreeMap<JobId, BTreeSet<u32>>,
    last_phases: BTreeMap<JobId, JobPhase>,
    /// The placements at the previous observation.
    placements: BTreeSet<Placement>,
    /// How many times each task was started.
    pub start_counts: BTreeMap<TaskId, u32>,
    /// Names of the rules that were broken.
    pub broken_rules: BTreeSet<String>,
    /// The first violation, for the message of a failing test.
    pub first_violation: Option<String>,
    /// A job that is never submitted.
    pub unknown_job: JobId,
    last_fault_at: Instant,
    /// Since when each pending job could have started.
    startable_since: BTreeMap<JobId, Instant>,
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
            completed_tasks: BTreeMap::new(),
            last_phases: BTreeMap::new(),
            placements: BTreeSet::new(),
            start_counts: BTreeMap::new(),
            broken_rules: BTreeSet::new(),
            first_violation: None,
            unknown_job: JobId::from("wk-999999"),
            last_fault_at: Instant(0),
            startable_since: BTreeMap::new(),
        }
    }

    /// Records that a fault is active for which delays are tolerated.
    pub fn fault_active(&mut self, now: Instant) {
        self.last_fault_at = now;
    }

    /// Records an accepted job, and checks that it fits some machine type and its team's limit.
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
        let concurrent_tasks = match spec.shape {
            Shape::Array => 1.0,
            _ => f64::from(spec.tasks),
        };
        let fits = |each: f64, max: f64| max <= 0.0 || each * concurrent_tasks <= max + EPSILON;
        self.team(&spec.team)
            .is_some_and(|team| fits(spec.cpus, team.cpus_max) && fits(spec.gpus, team.gpus_max))
    }

    fn team(&self, name: &str) -> Option<&Team> {
        self.facts.teams.iter().find(|team| team.name == name)
    }

    /// Records a confirmed cancellation.
    pub fn job_cancelled(&mut self, id: &JobId, now: Instant) {
        self.cancelled_at.insert(id.clone(), now);
    }

    /// Checks a launch sent by the leader, whose view may be up to `max_staleness` old.
    pub fn launch_sent(&mut self, now: Instant, task: &TaskId, max_staleness: TimeSpan) {
        let allowed = max_staleness.max(CANCELLATION_GRACE);
        let cancelled_at = self.cancelled_at.get(&task.job);
        if cancelled_at.is_some_and(|at| now - *at > allowed) {
            self.record_violation(now, "launched_cancelled", task.to_string());
        }
    }

    /// Records that a leader still acts after the expiry of its lease, when another may be elected.
    pub fn leader_active_after_expiry(&mut self, now: Instant) {
        let details = "the leader acts after the expiry of its lease";
        self.record_violation(now, "two_leaders", details.into());
    }

    /// Checks the current state; called once per tick.
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

    /// Checks at the end of a run that at least one task was started.
    pub fn check_at_end(&mut self, now: Instant) {
        if self.start_counts.is_empty() {
            self.record_violation(now, "nothing_ran", String::new());
        }
    }

    fn record_violation(&mut self, now: Instant, rule: &str, details: String) {
        self.broken_rules.insert(rule.into());
        self.first_violation
            .get_or_insert(format!("{:.1} s: {rule}: {details}", now.secs()));
    }
}
