//! The operators' own settings, in JSON with a schema. Unknown fields are refused, and every field has a built-in
//! default.
//!
//! Doc comments of the fields go into the schema, `deploy/operator.schema.json`, which a test compares.

use schemars::JsonSchema;
use serde::Deserialize;

/// The operators' own settings. Every field has a default, so the file is optional.
#[derive(Debug, Clone, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
#[schemars(rename = "Operator")]
pub struct OperatorConfig {
    /// Life of the leader's lease on the state service, in milliseconds (2,000 to 60,000). Shortened
    /// if `cancel_s` leaves less beyond `lease_s`.
    #[serde(rename = "leader_life_ms")]
    pub leader_lease_ms: u64,
    /// Taken off the leader's authority for pauses and drift, in milliseconds.
    pub authority_margin_ms: u64,
    /// How long an idle machine is kept, as a multiple of the time to boot such a machine again and
    /// fetch an image.
    #[serde(rename = "idle_boots")]
    pub idle_timeout_factor: f64,
    /// Reports missed in a row before a worker counts as silent.
    #[serde(rename = "silent_reports")]
    pub max_missed_heartbeats: f64,
    /// Errors of different jobs on one machine, with no success between, that make it sick.
    #[serde(rename = "sick_errors")]
    pub quarantine_threshold: u32,
    /// Largest part of a zone's machines that may be quiet at once for any of them to be given up
    /// before its lease is over; beyond it, the network is suspected.
    #[serde(rename = "give_up_share")]
    pub max_silent_share: f64,
    /// User requests handled at once; more are told to come back.
    pub max_user_requests: usize,
    /// Most jobs of every kind should have begun within this many seconds: past two thirds of them,
    /// jobs go ahead of all others if too many of their class, team or size are late.
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

/// The schema of the operators' file, as committed under `deploy/`.
pub fn operator_schema() -> String {
    let schema = schemars::schema_for!(OperatorConfig);
    serde_json::to_string_pretty(&schema).unwrap_or_default() + "\n"
}
