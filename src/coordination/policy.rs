//! The settings that the scheduler goes by, and the bounds in time that follow from them.

use crate::config::{Config, DeploymentFacts, OperatorConfig, Slo, SloKind, Team};
use crate::ids::TeamIndex;
use crate::time::TimeSpan;
use crate::transport::sockets::SocketAllocation;

/// Two steady clocks may each drift by 0.05%: 0.2% covers both, with room.
const CLOCK_DRIFT_FACTOR: f64 = 1.002;
/// What a worker needs to act on the expiry of its lease.
const LEASE_EXPIRY_REACTION_SECS: f64 = 0.5;
/// Heartbeats are sent at their interval, give or take a quarter.
const MAX_HEARTBEAT_JITTER_FACTOR: f64 = 1.25;
/// For the way of a heartbeat.
const HEARTBEAT_DELIVERY_SECS: f64 = 1.0;
/// A worker whose heartbeat was under way to the former leader gives it up after 4 s, and tries the next
/// controller a second later.
const HEARTBEAT_RETRY_SECS: f64 = 5.0;

/// The settings that the scheduler goes by. They don't change while it lives.
#[derive(Debug, Clone)]
pub struct Policy {
    /// What is known of the deployment.
    pub facts: DeploymentFacts,
    /// What the operator chose.
    pub operator: OperatorConfig,
    /// Pushes that may await their answers at once.
    pub max_pushes: usize,
}

impl Policy {
    /// The part of the settings that the scheduler needs.
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

    /// The place of a team in the settings, by its name.
    pub fn team_index(&self, name: &str) -> Option<TeamIndex> {
        let index = self.facts.teams.iter().position(|team| team.name == name);
        index.map(TeamIndex)
    }

    /// A team's guaranteed shares and limits.
    pub fn team(&self, index: Option<TeamIndex>) -> Option<&Team> {
        index.and_then(|index| self.facts.teams.get(index.0))
    }

    /// Seconds within which most tasks of a job class should have started, if the settings name any.
    pub fn max_start_delay_s(&self, class: &str) -> Option<f64> {
        self.strictest_s(SloKind::StartDelay, class)
    }

    /// Seconds within which most jobs of a class should be completed, if the settings name any.
    pub fn max_completion_s(&self, class: &str) -> Option<f64> {
        self.strictest_s(SloKind::Completion, class)
    }

    fn strictest_s(&self, kind: SloKind, class: &str) -> Option<f64> {
        self.objectives(kind, class)
            .filter_map(|objective| objective.within_s)
            .min_by(f64::total_cmp)
    }

    /// The objectives of one kind for a job class.
    pub fn objectives<'a>(
        &'a self,
        kind: SloKind,
        class: &'a str,
    ) -> impl Iterator<Item = &'a Slo> {
        let is_of_class = |objective: &Slo, class| objective.class.as_deref() == Some(class);
        let all = self.facts.objectives.iter();
        all.filter(move |objective| objective.kind == kind && is_of_class(objective, class))
    }

    /// How long after a worker was last answered its lease has certainly expired, by its own clock.
    pub fn lease_expiry_bound(&self) -> TimeSpan {
        let lease_s = self.facts.workers.lease_s;
        TimeSpan::from_secs(lease_s * CLOCK_DRIFT_FACTOR + LEASE_EXPIRY_REACTION_SECS)
    }

    /// The time after a failover in which every worker that can reach the new leader has sent it a heartbeat.
    pub fn first_heartbeats_bound(&self) -> TimeSpan {
        let max_interval_s = self.facts.workers.heartbeat_interval_s * MAX_HEARTBEAT_JITTER_FACTOR;
        TimeSpan::from_secs(max_interval_s + HEARTBEAT_RETRY_SECS)
    }

    /// A machine from which no heartbeat came for longer than this is suspected.
    pub fn heartbeat_timeout(&self) -> TimeSpan {
        let max_interval_s = self.facts.workers.heartbeat_interval_s * MAX_HEARTBEAT_JITTER_FACTOR;
        let missed_s = max_interval_s * self.operator.max_missed_heartbeats;
        TimeSpan::from_secs(missed_s + HEARTBEAT_DELIVERY_SECS)
    }
}
