//! The platform's settings file (TOML, unknown fields ignored) and the operators' own (JSON with a
//! schema, unknown fields refused, every field with a built-in default).

use crate::time::TimeSpan;
use schemars::JsonSchema;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Why the settings can't be used: file, field and reason.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{file}: cannot be read: {why}")]
    Read { file: PathBuf, why: std::io::Error },
    /// The file isn't of the right form; the message names the field.
    #[error("{file}: {why}")]
    Form { file: PathBuf, why: String },
    /// A value is outside what makes sense.
    #[error("{file}: field `{field}`: {why}")]
    Value {
        file: PathBuf,
        field: String,
        why: String,
    },
}

/// The file that the platform hands over.
#[derive(Debug, Clone, Deserialize)]
pub struct Platform {
    pub host_name: String,
    pub location: String,
    pub front: SocketAddr,
    pub peer_bind: SocketAddr,
    #[serde(default)]
    pub siblings: Vec<Sibling>,
    pub endpoints: Endpoints,
    pub facts: Facts,
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Sibling {
    pub host_name: String,
    pub location: String,
    pub addr: SocketAddr,
}

/// Where the outside services are.
#[derive(Debug, Clone, Deserialize)]
pub struct Endpoints {
    pub cloud: SocketAddr,
    pub state: SocketAddr,
}

/// What is known of the deployment.
#[derive(Debug, Clone, Deserialize)]
pub struct Facts {
    #[serde(default)]
    pub clock_error_ms: f64,
    pub teams: Vec<Team>,
    #[serde(default)]
    pub objectives: Vec<Objective>,
    pub workers: Workers,
    pub state: StateLimits,
    pub cloud: CloudLimits,
    pub quota: Quota,
}

/// A team's guarantee and limit; 0 means none.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    pub name: String,
    #[serde(default)]
    pub cpus: f64,
    #[serde(default)]
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

/// An aim, as the platform repeats it.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    pub kind: String,
    #[serde(default)]
    pub class: Option<String>,
    #[serde(default)]
    pub within_s: Option<f64>,
    /// For a deadline: how many times the time that the job allows itself.
    #[serde(default)]
    pub times: Option<f64>,
}

/// What workers go by.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct Workers {
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
}

/// What the state service allows all controllers together.
#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    /// What it will allow from some moment on, without notice.
    #[serde(default)]
    pub next: Option<NextStateLimits>,
}

/// Limits that the state service will have; those that are absent stay as they are.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
pub struct NextStateLimits {
    #[serde(default)]
    pub rps: Option<f64>,
    #[serde(default)]
    pub write_rps: Option<f64>,
    #[serde(default)]
    pub value_kb: Option<f64>,
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StateLimits {
    /// The limits to keep to: the lower ones of those in force and those to come, since nobody says when
    /// they change and what is refused for its size would be refused for ever.
    pub fn lowest(&self) -> StateLimits {
        let next = self.next.unwrap_or_default();
        let lower = |now: f64, next: Option<f64>| next.map_or(now, |n| n.min(now));
        StateLimits {
            rps: lower(self.rps, next.rps),
            write_rps: lower(self.write_rps, next.write_rps),
            value_kb: lower(self.value_kb, next.value_kb),
            txn_ops: next.txn_ops.map_or(self.txn_ops, |n| n.min(self.txn_ops)),
            next: self.next,
        }
    }
}

/// What the cloud allows.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    pub rps: f64,
    pub list_lag_s: f64,
}

/// What one controller may use.
#[derive(Debug, Clone, Deserialize)]
pub struct Quota {
    pub cores: f64,
    pub memory_mb: f64,
    pub max_sockets: usize,
}

/// The operators' own settings. Every field has a default, so the file is optional.
#[derive(Debug, Clone, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    /// Life of the leader's lease on the state service, in milliseconds (2,000 to 60,000). Shortened
    /// if `cancel_s` leaves less beyond `lease_s`.
    pub leader_life_ms: u64,
    /// Taken off the leader's authority for pauses and drift, in milliseconds.
    pub authority_margin_ms: u64,
    /// How long an idle machine is kept, as a multiple of the time to boot such a machine again and
    /// fetch an image.
    pub idle_boots: f64,
    /// Reports missed in a row before a worker counts as silent.
    pub silent_reports: f64,
    /// Errors of different jobs on one machine, with no success between, that make it sick.
    pub sick_errors: u32,
    /// Largest part of a zone's machines that may be quiet at once for any of them to be given up
    /// before its lease is over; beyond it, the network is suspected.
    pub give_up_share: f64,
    /// User requests handled at once; more are told to come back.
    pub max_user_requests: usize,
    /// Most jobs of every kind should have begun within this many seconds: past two thirds of them,
    /// jobs go ahead of all others if too many of their class, team or size are late.
    pub begin_within_s: f64,
}

impl Default for Operator {
    fn default() -> Self {
        Operator {
            leader_life_ms: 4000,
            authority_margin_ms: 300,
            idle_boots: 1.0,
            silent_reports: 3.0,
            sick_errors: 2,
            give_up_share: 0.34,
            max_user_requests: 64,
            begin_within_s: 240.0,
        }
    }
}

/// Everything a controller is started with.
#[derive(Debug, Clone)]
pub struct Settings {
    pub platform: Platform,
    pub operator: Operator,
    /// What bounds a leader's right to act, derived from both.
    pub leader: LeaderTimes,
}

/// What bounds a leader's right to act. `max_staleness` is the term that keeps the time for
/// cancellations, see docs/SAFETY.md, "The bound on cancelled work".
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaderTimes {
    /// Life of the leader's lease on the state service.
    pub life: TimeSpan,
    /// Taken off the authority that the lease gives, for pauses and drift.
    pub margin: TimeSpan,
    /// A leader acts on no view of the open jobs that it asked for longer ago than this.
    pub max_staleness: TimeSpan,
    /// How long one request for changes is held open, and how much longer its answer may take. One
    /// that fails and the next fit into the staleness, and so do two that are as late as they may be.
    pub watch_hold: TimeSpan,
    pub watch_patience: TimeSpan,
}

/// Two steady clocks may differ by 0.05% each way: 0.2% covers them with room.
const DRIFT: f64 = 1.002;
/// What stopping takes apart from waiting: a decision of the core, the grain of timers, and what a
/// worker needs to act on the end of its lease.
const STOPPING_S: f64 = 2.0;
/// A leader that must know everything of the last moments would lose its authority by chance.
const LEAST_STALENESS_S: f64 = 2.0;

impl LeaderTimes {
    /// The times that keep `cancel_s`; None if it is too close to `lease_s` for any leader.
    ///
    /// Guards against tasks that outlive their cancellation: a leader that has not learnt of it goes
    /// on answering a worker, whose lease then begins anew. Nothing that reaches the leader is
    /// counted on, only its own clock.
    pub fn derive(workers: &Workers, operator: &Operator) -> Option<LeaderTimes> {
        let room = workers.cancel_s - workers.lease_s * DRIFT - STOPPING_S;
        let staleness = room / DRIFT;
        if staleness < LEAST_STALENESS_S {
            return None;
        }
        let max_staleness = TimeSpan::from_secs(staleness);
        let life = TimeSpan(operator.leader_life_ms as i64).min(max_staleness);
        let margin = TimeSpan(operator.authority_margin_ms as i64);
        Some(LeaderTimes {
            life,
            margin: margin.min(TimeSpan(life.0 / 3)),
            max_staleness,
            watch_hold: TimeSpan::from_secs((staleness / 8.0).clamp(0.25, 8.0)),
            watch_patience: TimeSpan::from_secs((staleness * 0.375).clamp(0.5, 10.0)),
        })
    }
}

/// Reads and checks both files.
pub fn load(platform: &Path, operator: Option<&Path>) -> Result<Settings, SettingsError> {
    let text = read(platform)?;
    let mut parsed: Platform = toml::from_str(&text).map_err(|e| SettingsError::Form {
        file: platform.into(),
        why: e.to_string().trim().to_string(),
    })?;
    check_platform(platform, &parsed)?;
    parsed.facts.state = parsed.facts.state.lowest();
    let own = match operator {
        None => Operator::default(),
        Some(file) => {
            let text = read(file)?;
            let own = serde_json::from_str(&text).map_err(|e| SettingsError::Form {
                file: file.into(),
                why: e.to_string(),
            })?;
            check_operator(file, &own)?;
            own
        }
    };
    let Some(leader) = LeaderTimes::derive(&parsed.facts.workers, &own) else {
        let least = parsed.facts.workers.lease_s * DRIFT + STOPPING_S + LEAST_STALENESS_S * DRIFT;
        let why = format!(
            "must be at least {least:.1}: `facts.workers.lease_s` has to run out within it, and a \
             leader needs some seconds to learn of a cancellation"
        );
        return Err(bad(platform, "facts.workers.cancel_s", &why));
    };
    Ok(Settings {
        platform: parsed,
        operator: own,
        leader,
    })
}

/// The schema of the operators' file, as committed under `deploy/`.
pub fn operator_schema() -> String {
    let schema = schemars::schema_for!(Operator);
    serde_json::to_string_pretty(&schema).unwrap_or_default() + "\n"
}

fn read(file: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(file).map_err(|why| SettingsError::Read {
        file: file.into(),
        why,
    })
}

fn bad(file: &Path, field: &str, why: &str) -> SettingsError {
    SettingsError::Value {
        file: file.into(),
        field: field.into(),
        why: why.into(),
    }
}

fn positive(file: &Path, field: &str, v: f64) -> Result<(), SettingsError> {
    if v.is_finite() && v > 0.0 {
        Ok(())
    } else {
        Err(bad(file, field, "must be a number above 0"))
    }
}

fn not_negative(file: &Path, field: &str, v: f64) -> Result<(), SettingsError> {
    if v.is_finite() && v >= 0.0 {
        Ok(())
    } else {
        Err(bad(file, field, "must be 0 or more"))
    }
}

fn check_platform(file: &Path, p: &Platform) -> Result<(), SettingsError> {
    if p.host_name.is_empty() {
        return Err(bad(file, "host_name", "must not be empty"));
    }
    if p.siblings.iter().any(|s| s.host_name == p.host_name) {
        return Err(bad(file, "siblings", "names this controller itself"));
    }
    let f = &p.facts;
    if f.teams.is_empty() {
        return Err(bad(file, "facts.teams", "at least one team is needed"));
    }
    for t in &f.teams {
        for (name, v) in [
            ("cpus", t.cpus),
            ("cpus_max", t.cpus_max),
            ("gpus", t.gpus),
            ("gpus_max", t.gpus_max),
        ] {
            not_negative(file, &format!("facts.teams.{}.{name}", t.name), v)?;
        }
    }
    for (name, v) in [
        ("facts.workers.report_s", f.workers.report_s),
        ("facts.workers.lease_s", f.workers.lease_s),
        ("facts.workers.gang_wait_s", f.workers.gang_wait_s),
        ("facts.workers.gang_peer_s", f.workers.gang_peer_s),
        ("facts.workers.cancel_s", f.workers.cancel_s),
        ("facts.state.rps", f.state.rps),
        ("facts.state.write_rps", f.state.write_rps),
        ("facts.state.value_kb", f.state.value_kb),
        ("facts.cloud.rps", f.cloud.rps),
    ] {
        positive(file, name, v)?;
    }
    check_txn_ops(file, "facts.state.txn_ops", f.state.txn_ops)?;
    check_next_limits(file, &f.state.next.unwrap_or_default())
}

fn check_txn_ops(file: &Path, field: &str, ops: usize) -> Result<(), SettingsError> {
    if ops < 3 {
        let why = "at least 3 are needed, to finish a job in one transaction";
        return Err(bad(file, field, why));
    }
    Ok(())
}

fn check_next_limits(file: &Path, next: &NextStateLimits) -> Result<(), SettingsError> {
    for (name, limit) in [
        ("facts.state.next.rps", next.rps),
        ("facts.state.next.write_rps", next.write_rps),
        ("facts.state.next.value_kb", next.value_kb),
    ] {
        if let Some(limit) = limit {
            positive(file, name, limit)?;
        }
    }
    if let Some(ops) = next.txn_ops {
        check_txn_ops(file, "facts.state.next.txn_ops", ops)?;
    }
    Ok(())
}

fn check_operator(file: &Path, o: &Operator) -> Result<(), SettingsError> {
    if !(2000..=60_000).contains(&o.leader_life_ms) {
        return Err(bad(file, "leader_life_ms", "must be 2000 to 60000"));
    }
    if o.authority_margin_ms * 2 >= o.leader_life_ms {
        return Err(bad(
            file,
            "authority_margin_ms",
            "must be under half of leader_life_ms",
        ));
    }
    not_negative(file, "idle_boots", o.idle_boots)?;
    positive(file, "silent_reports", o.silent_reports)?;
    positive(file, "begin_within_s", o.begin_within_s)?;
    if !(0.0..=1.0).contains(&o.give_up_share) {
        return Err(bad(file, "give_up_share", "must be 0 to 1"));
    }
    if o.sick_errors == 0 {
        return Err(bad(file, "sick_errors", "must be 1 or more"));
    }
    if o.max_user_requests == 0 {
        return Err(bad(file, "max_user_requests", "must be 1 or more"));
    }
    Ok(())
}
