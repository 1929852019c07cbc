//! The policy and the leadership term of a leader, for tests that run only the scheduler.

use chalklug::config::OperatorConfig;
use chalklug::coordination::leadership::LeadershipTerm;
use chalklug::coordination::Policy;
use chalklug::ids::{FencingToken, KeyRevision, LeaseId};
use std::sync::Arc;

/// Returns a policy with one team that has `gpus` as its guaranteed share and twice as many as its limit, and with at
/// most `max_pushes` concurrent pushes.
pub fn policy(gpus: f64, max_pushes: usize) -> Arc<Policy> {
    let text = format!(
        r#"
        teams = [{{ name = "blue", gpus = {gpus:.1}, gpus_max = {:.1} }}]
        workers = {{ report_s = 5.0, lease_s = 26.0, gang_wait_s = 40.0, gang_peer_s = 4.0, cancel_s = 51.0 }}
        state = {{ rps = 150.0, write_rps = 30.0, value_kb = 4.0, txn_ops = 8 }}
        cloud = {{ rps = 6.0, list_lag_s = 6.0 }}
        quota = {{ cores = 0.1, memory_mb = 150.0, max_sockets = 3000 }}
    "#,
        gpus * 2.0
    );
    Arc::new(Policy {
        facts: toml::from_str(&text).unwrap(),
        operator: OperatorConfig::default(),
        max_pushes,
    })
}

/// Returns a leadership term with the given fencing token.
pub fn term(token: u64) -> LeadershipTerm {
    LeadershipTerm {
        token: FencingToken(token),
        initial_token: FencingToken(token),
        leader_key_revision: KeyRevision(2),
        token_counter_revision: KeyRevision(2),
        lease: LeaseId(1),
        host_name: "n".into(),
    }
}
