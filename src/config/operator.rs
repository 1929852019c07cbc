//! The operators' own settings, in JSON with a schema. Unknown fields are rejected, and every field has a default.
//!
//! Where a field's name in the file differs from the one in the code, a serde attribute maps it. The doc comments of
//! the fields are part of the schema, `deploy/operator.schema.json`; a test compares the two.

use schemars::JsonSchema;
use serde::Deserialize;

/// The operators' own settings. Every field has a default, so the file is optional.
#[derive(Debug, Clone, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
#[schemars(rename = "Operator")]
pub struct OperatorConfig {
    /// Duration of the leader's lease on the state service, in milliseconds (2,000 to 60,000). Shortened
    /// if `cancel_s` leaves less time beyond `lease_s`.
    #[serde(rename = "leader_life_ms")]
    pub leader_lease_ms: u64,
    /// How long before the end of its lease the leader stops acting, in milliseconds; allows for process
    /// pauses and clock drift.
    pub authority_margin_ms: u64,
    /// How long an idle machine is kept, as a multiple of the time to boot such a machine and fetch an
    /// image.
    #[serde(rename = "idle_boots")]
    pub idle_timeout_factor: f64,
    /// Consecutive heartbeats missed before a worker counts as silent.
    #[serde(rename = "silent_reports")]
    pub max_missed_heartbeats: f64,
    /// Errors of different jobs on one machine, without a success in between, after which the machine is
    /// quarantined.
    #[serde(rename = "sick_errors")]
    pub quarantine_threshold: u32,
    /// Largest share of a zone's machines that may be silent at once for any of them to be terminated
    /// before its lease has expired; beyond it, a network failure is suspected.
    #[serde(rename = "give_up_share")]
    pub max_silent_share: f64,
    /// User requests handled concurrently; beyond that, clients are asked to retry.
    pub max_user_requests: usize,
    /// Time in seconds within which most jobs of every class, team and size should start. A job that has
    /// waited for two thirds of it goes ahead of all others if too many of its class, team or size are late.
    #[serde(rename = "begin_within_s")]
    pub start_target_s: f64,
}

impl Default for OperatorConfig {
    fn default() -> Self {
        OperatorConfig {
            leader_lease_ms: 4000,
            authority_margin_ms: 300,
            idle_timeout_factor: 1.0,
            max_missed_heartbeats: 3.0,
            quarantine_threshold: 2,
            max_silent_share: 0.34,
            max_user_requests: 64,
            start_target_s: 240.0,
        }
    }
}

/// Returns the JSON schema of the operators' file, as committed under `deploy/`.
pub fn operator_schema() -> String {
    let schema = schemars::schema_for!(OperatorConfig);
    serde_json::to_string_pretty(&schema).unwrap_or_default() + "\n"
}
