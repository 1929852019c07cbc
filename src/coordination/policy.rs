//! The settings of the scheduler, and the timeouts derived from them.

use crate::config::{Config, DeploymentFacts, LeaderTimes, OperatorConfig, Slo, SloKind, Team};
use crate::ids::TeamIndex;
use crate::time::TimeSpan;
use crate::transport::sockets::SocketAllocation;

/// Covers the drift between two monotonic clocks, each up to 0.05%, with a margin.
const CLOCK_DRIFT_FACTOR: f64 = 1.002;
/// How long a worker may take to act on the expiry of its lease.
const LEASE_EXPIRY_REACTION_SECS: f64 = 0.5;
/// The interval between heartbeats varies by up to a quarter.
const MAX_HEARTBEAT_JITTER_FACTOR: f64 = 1.25;
/// The maximum delivery time of a heartbeat.
const HEARTBEAT_DELIVERY_SECS: f64 = 1.0;
/// A worker whose heartbeat was in flight to the former leader times out after 4 s and tries the next controller
/// 1 s later.
const HEARTBEAT_RETRY_SECS: f64 = 5.0;

/// The settings of the scheduler; immutable.
#[derive(Debug, Clone)]
pub struct Policy {
    /// Facts about the deployment, from the platform's settings.
    pub facts: DeploymentFacts,
    /// The operators' settings.
    pub operator: OperatorConfig,
    /// The maximum number of pushes in flight.
    pub max_pushes: usize,
}

impl Policy {
    /// Returns the part of the settings that the scheduler needs.
    pub fn new(config: &Config) -> Policy {
        let platform = &config.platform;
        let max_sockets = platform.facts.process_limits.max_sockets;
        let max_user_requests = config.operator.max_user_requests;
        let sockets = SocketAllocation::new(max_sockets, platform.peers.len(), max_user_requests);
        Policy {
            facts: platform.facts.clone(),
            operator: config.operator.clone(),
            max_pushes: sockets.pushes,
        }
    }

    /// Returns the index of the team with the given name in the settings.
    pub fn team_index(&self, name: &str) -> Option<TeamIndex> {
        let index = self.facts.teams.iter().position(|team| team.name == name);
        index.map(TeamIndex)
    }

    /// Returns a team's guaranteed shares and limits.
    pub fn team(&self, index: Option<TeamIndex>) -> Option<&Team> {
        index.and_then(|index| self.facts.teams.get(index.0))
    }

    /// Returns the strictest start delay objective of a job class, in seconds, if the settings have one.
    pub fn max_start_delay_s(&self, class: &str) -> Option<f64> {
        self.strictest_objective_s(SloKind::StartDelay, class)
    }

    /// Returns the strictest completion time objective of a job class, in seconds, if the settings have one.
    pub fn max_completion_s(&self, class: &str) -> Option<f64> {
        self.strictest_objective_s(SloKind::Completion, class)
    }

    fn strictest_objective_s(&self, kind: SloKind, class: &str) -> Option<f64> {
        self.objectives(kind, class)
            .filter_map(|objective| objective.within_s)
            .min_by(f64::total_cmp)
    }

    /// Returns the objectives of one kind for a job class.
    pub fn objectives<'a>(
        &'a self,
        kind: SloKind,
        class: &'a str,
    ) -> impl Iterator<Item = &'a Slo> {
        let is_of_class = |objective: &Slo, class| objective.class.as_deref() == Some(class);
        let all = self.facts.objectives.iter();
        all.filter(move |objective| objective.kind == kind && is_of_class(objective, class))
    }

    /// Returns the time after the last response to a worker by which its lease has certainly expired, by the
    /// worker's clock.
    pub fn lease_expiry_bound(&self) -> TimeSpan {
        let lease_s = self.facts.workers.lease_s;
        TimeSpan::from_secs(lease_s * CLOCK_DRIFT_FACTOR + LEASE_EXPIRY_REACTION_SECS)
    }

    /// Returns the longest time, in seconds, that a stopped task gets to save a checkpoint: within this time, the job that
    /// it is stopped for should have started.
    pub fn max_checkpoint_grace_s(&self) -> f64 {
        self.operator.start_target_s
    }

    /// Returns the age of the leader's view of the open jobs at which it stops acting; zero for settings that no leader
    /// can keep, which are rejected at startup.
    pub fn max_staleness(&self) -> TimeSpan {
        LeaderTimes::derive(&self.facts.workers, &self.operator)
            .map_or(TimeSpan::ZERO, |times| times.max_staleness)
    }

    /// Returns the time after a failover within which every worker that can reach the new leader has sent it a
    /// heartbeat.
    pub fn first_heartbeats_bound(&self) -> TimeSpan {
        let max_interval_s = self.facts.workers.heartbeat_interval_s * MAX_HEARTBEAT_JITTER_FACTOR;
        TimeSpan::from_secs(max_interval_s + HEARTBEAT_RETRY_SECS)
    }

    /// Returns the time without a heartbeat after which a machine is suspected.
    pub fn heartbeat_timeout(&self) -> TimeSpan {
        let max_interval_s = self.facts.workers.heartbeat_interval_s * MAX_HEARTBEAT_JITTER_FACTOR;
        let missed_s = max_interval_s * self.operator.max_missed_heartbeats;
        TimeSpan::from_secs(missed_s + HEARTBEAT_DELIVERY_SECS)
    }
}
