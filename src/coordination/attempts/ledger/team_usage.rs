//! Resource usage of each team: the sum of the requests of its live task attempts.

use crate::coordination::Policy;
use crate::ids::TeamIndex;
use crate::protocol::users::JobSpec;
use crate::resources::Resources;

/// Resource usage of each team. The ledger keeps one instance up to date; decisions charge planned work to a
/// copy.
#[derive(Clone, Debug)]
pub struct TeamUsage {
    by_team: Vec<Resources>,
}

impl TeamUsage {
    /// Creates zero usage for the given number of teams.
    pub fn new(teams: usize) -> TeamUsage {
        TeamUsage {
            by_team: vec![Resources::default(); teams],
        }
    }

    /// Returns a team's usage; zero if the settings do not contain the team.
    pub fn of(&self, team: Option<TeamIndex>) -> Resources {
        let usage = team.and_then(|team| self.by_team.get(team.0));
        usage.copied().unwrap_or_default()
    }

    /// Adds a resource request to a team's usage.
    pub fn charge(&mut self, team: Option<TeamIndex>, request: &Resources) {
        if let Some(usage) = team.and_then(|team| self.by_team.get_mut(team.0)) {
            usage.add(request);
        }
    }

    /// Subtracts a resource request from a team's usage.
    pub(super) fn release(&mut self, team: Option<TeamIndex>, request: &Resources) {
        if let Some(usage) = team.and_then(|team| self.by_team.get_mut(team.0)) {
            usage.sub(request);
        }
    }

    /// Returns how many tasks of a job fit under its team's limit; 0 if the settings do not contain the team.
    /// Memory is not limited.
    pub fn headroom(&self, policy: &Policy, team: Option<TeamIndex>, spec: &JobSpec) -> u32 {
        let Some(limit) = policy.team(team) else {
            return 0;
        };
        let used = self.of(team);
        let remaining = |max: f64, used: f64| {
            if max > 0.0 {
                max - used
            } else {
                f64::INFINITY
            }
        };
        let room = Resources {
            cpus: remaining(limit.cpus_max, used.cpus),
            gpus: remaining(limit.gpus_max, used.gpus),
            ram_gb: f64::INFINITY,
        };
        Resources::of(spec).count_in(&room, spec.tasks)
    }

    /// Returns the usage of each team, for audits.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Resources> {
        self.by_team.iter()
    }
}
