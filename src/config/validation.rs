//! Validation of settings that parse but may have invalid values.

use super::leader_times::LeaderTimes;
use super::operator::OperatorConfig;
use super::platform::{NextStateStoreLimits, PlatformConfig, Team, WorkerTimes};
use super::{Config, ConfigError};
use std::fmt::Display;
use std::path::Path;

/// Number of changes in the transaction that finishes a job.
const MIN_TXN_OPS: usize = 3;
/// Valid durations of the leader's lease, in milliseconds.
const LEADER_LEASE_RANGE_MS: std::ops::RangeInclusive<u64> = 2000..=60_000;

/// Checks the settings of one file, which its errors name.
struct Checker<'a> {
    file: &'a Path,
}

impl Checker<'_> {
    fn error(&self, field: &str, value: impl Display, requirement: &str) -> ConfigError {
        ConfigError::InvalidValue {
            file: self.file.into(),
            field: field.into(),
            value: value.to_string(),
            requirement: requirement.into(),
        }
    }

    fn require(
        &self,
        condition: bool,
        field: &str,
        value: impl Display,
        requirement: &str,
    ) -> Result<(), ConfigError> {
        if condition {
            Ok(())
        } else {
            Err(self.error(field, value, requirement))
        }
    }

    fn positive(&self, field: &str, value: f64) -> Result<(), ConfigError> {
        let valid = value.is_finite() && value > 0.0;
        self.require(valid, field, value, "must be a number above 0")
    }

    fn non_negative(&self, field: &str, value: f64) -> Result<(), ConfigError> {
        let valid = value.is_finite() && value >= 0.0;
        self.require(valid, field, value, "must be 0 or more")
    }

    fn txn_ops(&self, field: &str, value: usize) -> Result<(), ConfigError> {
        let requirement = "at least 3 are needed, to finish a job in one transaction";
        self.require(value >= MIN_TXN_OPS, field, value, requirement)
    }

    fn team(&self, team: &Team) -> Result<(), ConfigError> {
        for (name, value) in [
            ("cpus", team.cpus),
            ("cpus_max", team.cpus_max),
            ("gpus", team.gpus),
            ("gpus_max", team.gpus_max),
        ] {
            self.non_negative(&format!("facts.teams.{}.{name}", team.name), value)?;
        }
        Ok(())
    }

    fn next_state_store_limits(&self, next: &NextStateStoreLimits) -> Result<(), ConfigError> {
        for (field, value) in [
            ("facts.state.next.rps", next.rps),
            ("facts.state.next.write_rps", next.write_rps),
            ("facts.state.next.value_kb", next.value_kb),
        ] {
            if let Some(value) = value {
                self.positive(field, value)?;
            }
        }
        match next.txn_ops {
            Some(value) => self.txn_ops("facts.state.next.txn_ops", value),
            None => Ok(()),
        }
    }
}

/// Checks the platform's settings.
pub fn check_platform(file: &Path, platform: &PlatformConfig) -> Result<(), ConfigError> {
    let checker = Checker { file };
    let name = &platform.host_name;
    checker.require(!name.is_empty(), "host_name", "\"\"", "must not be empty")?;
    let lists_itself = platform.peers.iter().any(|peer| peer.host_name == *name);
    let requirement = "names this controller itself; only the others belong here";
    checker.require(!lists_itself, "siblings", name, requirement)?;
    let facts = &platform.facts;
    let requirement = "at least one team is needed";
    checker.require(!facts.teams.is_empty(), "facts.teams", "[]", requirement)?;
    for team in &facts.teams {
        checker.team(team)?;
    }
    for (field, value) in [
        ("facts.workers.report_s", facts.workers.heartbeat_interval_s),
        ("facts.workers.lease_s", facts.workers.lease_s),
        (
            "facts.workers.gang_wait_s",
            facts.workers.gang_wait_timeout_s,
        ),
        (
            "facts.workers.gang_peer_s",
            facts.workers.gang_peer_timeout_s,
        ),
        ("facts.workers.cancel_s", facts.workers.cancel_s),
        ("facts.state.rps", facts.state.rps),
        ("facts.state.write_rps", facts.state.write_rps),
        ("facts.state.value_kb", facts.state.value_kb),
        ("facts.cloud.rps", facts.cloud.rps),
    ] {
        checker.positive(field, value)?;
    }
    checker.txn_ops("facts.state.txn_ops", facts.state.txn_ops)?;
    checker.next_state_store_limits(&facts.state.next.unwrap_or_default())
}

/// Returns the error for a `cancel_s` that leaves a leader no time to learn of a cancellation.
pub fn cancel_too_short(file: &Path, workers: &WorkerTimes) -> ConfigError {
    let requirement = format!(
        "must be at least {:.1}: `facts.workers.lease_s` has to run out within it, and a leader needs some \
         seconds to learn of a cancellation",
        LeaderTimes::min_cancel_secs(workers)
    );
    Checker { file }.error("facts.workers.cancel_s", workers.cancel_s, &requirement)
}

/// Checks that tasks survive a failover. A controller starts without this check: its safety does not depend on it,
/// but each failover would stop every task.
pub fn check_worker_lease(file: &Path, config: &Config) -> Result<(), ConfigError> {
    let workers = &config.platform.facts.workers;
    let min_secs = config.leader.min_worker_lease_secs(workers);
    let requirement = format!(
        "must be at least {min_secs:.1}, or each failover ends every task: a worker waits for the leader's lease to run out \
         (`leader_life_ms`), for an election, and for its next heartbeat (`facts.workers.report_s`)"
    );
    let is_long_enough = workers.lease_s >= min_secs;
    let checker = Checker { file };
    checker.require(
        is_long_enough,
        "facts.workers.lease_s",
        workers.lease_s,
        &requirement,
    )
}

/// Checks the operators' settings.
pub fn check_operator(file: &Path, operator: &OperatorConfig) -> Result<(), ConfigError> {
    let checker = Checker { file };
    let lease_ms = operator.leader_lease_ms;
    checker.require(
        LEADER_LEASE_RANGE_MS.contains(&lease_ms),
        "leader_life_ms",
        lease_ms,
        "must be 2000 to 60000",
    )?;
    let margin_ms = operator.authority_margin_ms;
    checker.require(
        margin_ms.saturating_mul(2) < lease_ms,
        "authority_margin_ms",
        margin_ms,
        "must be under half of leader_life_ms",
    )?;
    checker.non_negative("idle_boots", operator.idle_timeout_factor)?;
    checker.positive("silent_reports", operator.max_missed_heartbeats)?;
    checker.positive("begin_within_s", operator.start_target_s)?;
    let share = operator.max_silent_share;
    let valid_share = (0.0..=1.0).contains(&share);
    checker.require(valid_share, "give_up_share", share, "must be 0 to 1")?;
    let errors = operator.quarantine_threshold;
    checker.require(errors > 0, "sick_errors", errors, "must be 1 or more")?;
    let requests = operator.max_user_requests;
    checker.require(
        requests > 0,
        "max_user_requests",
        requests,
        "must be 1 or more",
    )
}
