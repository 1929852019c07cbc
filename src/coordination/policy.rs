//! The settings that the scheduler goes by.

use crate::config::{Config, Facts, OperatorConfig, Slo, Team};
use crate::ids::TeamIndex;
use crate::time::TimeSpan;
use crate::transport::sockets::SocketAllocation;

/// The settings the core goes by.
#[derive(Debug, Clone)]
pub struct Policy {
    pub facts: Facts,
    pub operator: OperatorConfig,
    /// Direct commands that may be awaited at once.
    pub max_pushes: usize,
}

impl Policy {
    /// Takes what the core needs.
    pub fn new(s: &Config) -> Policy {
        let most = s.platform.facts.process_limits.max_sockets;
        let users = s.operator.max_user_requests;
        Policy {
            facts: s.platform.facts.clone(),
            operator: s.operator.clone(),
            max_pushes: SocketAllocation::new(most, s.platform.peers.len(), users).pushes,
        }
    }
    /// A team's number.
    pub fn team_index(&self, name: &str) -> Option<TeamIndex> {
        let at = self.facts.teams.iter().position(|t| t.name == name);
        at.map(TeamIndex)
    }
    /// A team's guarantee and limit.
    pub fn team(&self, no: Option<TeamIndex>) -> Option<&Team> {
        no.and_then(|n| self.facts.teams.get(n.0))
    }
    /// The time by which most tasks of a class should have started, if the settings name one.
    pub fn started_within(&self, class: &str) -> Option<f64> {
        self.least("wait", class)
    }
    /// The time by which most jobs of a class should be finished, if the settings name one.
    pub fn finished_within(&self, class: &str) -> Option<f64> {
        self.least("finished", class)
    }
    /// The time by which work within a guarantee should have started.
    pub fn guarantee_within(&self) -> Option<f64> {
        self.facts
            .objectives
            .iter()
            .filter(|o| o.kind == "guarantee")
            .filter_map(|o| o.within_s)
            .min_by(f64::total_cmp)
    }
    fn least(&self, kind: &str, class: &str) -> Option<f64> {
        self.of_class(kind, class)
            .filter_map(|o| o.within_s)
            .min_by(f64::total_cmp)
    }
    /// The objectives of one kind for a class.
    pub fn of_class<'a>(&'a self, kind: &'a str, class: &'a str) -> impl Iterator<Item = &'a Slo> {
        let all = self.facts.objectives.iter();
        all.filter(move |o| o.kind == kind && o.class.as_deref() == Some(class))
    }
    /// How long after its last answer a worker certainly has no lease: drift of both clocks, and a
    /// little for what the worker needs to act on it.
    pub fn lease_expiry_bound(&self) -> TimeSpan {
        TimeSpan::from_secs(self.facts.workers.lease_s * 1.002 + 0.5)
    }
    /// The time in which every worker that can reach a new leader has reported to it: one whose report was
    /// under way to the former one gives that up after 4 s and tries the next controller a second later.
    pub fn first_reports(&self) -> TimeSpan {
        TimeSpan::from_secs(self.facts.workers.report_s * 1.25 + 5.0)
    }
    /// How long a worker may keep silent before it counts as silent.
    pub fn silence(&self) -> TimeSpan {
        // Reports go out every `report_s`, give or take a quarter; a second for the way.
        let s = self.facts.workers.report_s * 1.25 * self.operator.silent_reports;
        TimeSpan::from_secs(s + 1.0)
    }
}
