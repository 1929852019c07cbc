//! What each team uses: the sum of what its live task attempts take.

use crate::coordination::Policy;
use crate::ids::TeamIndex;
use crate::protocol::users::JobSpec;
use crate::resources::Resources;

/// What each team uses. The ledger keeps one in step with all attempts; decisions may charge a copy with
/// what they plan.
#[derive(Clone, Debug)]
pub struct TeamUsage {
    by_team: Vec<Resources>,
}

impl TeamUsage {
    /// Nothing used yet by so many teams.
    pub fn new(teams: usize) -> TeamUsage {
        TeamUsage {
            by_team: vec![Resources::default(); teams],
        }
    }

    /// What a team uses; nothing if the settings don't know the team.
    pub fn of(&self, team: Option<TeamIndex>) -> Resources {
        let usage = team.and_then(|team| self.by_team.get(team.0));
        usage.copied().unwrap_or_default()
    }

    /// Adds what a team takes in addition.
    pub fn charge(&mut self, team: Option<TeamIndex>, request: &Resources) {
        if let Some(usage) = team.and_then(|team| self.by_team.get_mut(team.0)) {
            usage.add(request);
        }
    }

    /// Takes away what a team takes no longer.
    pub(super) fn release(&mut self, team: Option<TeamIndex>, request: &Resources) {
        if let Some(usage) = team.and_then(|team| self.by_team.get_mut(team.0)) {
            usage.sub(request);
        }
    }

    /// How many tasks of a job its team's limit has room for; none if the settings don't know the team.
    /// Memory is not limited.
    pub fn headroom(&self, policy: &Policy, team: Option<TeamIndex>, spec: &JobSpec) -> u32 {
        let Some(limit) = policy.team(team) else {
            return 0;
        };
        let used = self.of(team);
        let left = |max: f64, used: f64| {
            if max > 0.0 {
                max - used
            } else {
                f64::INFINITY
            }
        };
        let room = Resources {
            cpus: left(limit.cpus_max, used.cpus),
            gpus: left(limit.gpus_max, used.gpus),
            ram_gb: f64::INFINITY,
        };
        Resources::of(spec).count_in(&room, spec.tasks)
    }

    /// Usage team by team, for comparisons.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Resources> {
        self.by_team.iter()
    }
}
