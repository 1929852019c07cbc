//! Renews the leader's lease until its authority is lost.

use super::term::TermContext;
use crate::ids::LeaseId;
use crate::runtime::clients::state_store::StateStoreError;
use std::time::Duration;
use tokio::task::JoinSet;

/// Renewals sent per lease duration; also the maximum number of renewals in flight.
const RENEWALS_PER_LEASE: u64 = 5;

/// Renews the lease until the authority is lost, without waiting for the response to the previous renewal.
///
/// Guards against a leader that loses its authority shortly after a failover: a thousand workers sent
/// heartbeats at once, responses stayed in the socket buffers for longer than the usual request timeout, and
/// every renewal timed out although it had been answered. A renewal counts from the time it was sent, however
/// late its response is read.
pub async fn renew(term: TermContext, lease: LeaseId) {
    let lease_ttl_ms = term.node.config.leader.lease_duration.0 as u64;
    let interval = Duration::from_millis(lease_ttl_ms / RENEWALS_PER_LEASE);
    let timeout = Duration::from_millis(lease_ttl_ms);
    let mut renewals = JoinSet::new();
    loop {
        tokio::select! {
            _ = term.end.cancelled() => return,
            _ = tokio::time::sleep(interval) => {}
        }
        while renewals.try_join_next().is_some() {}
        let now = term.node.now();
        if !term.authority.is_held(now) {
            term.end_lapsed(now);
            return;
        }
        if renewals.len() < RENEWALS_PER_LEASE as usize {
            renewals.spawn(renew_once(term.clone(), lease, timeout));
        }
    }
}

async fn renew_once(term: TermContext, lease: LeaseId, timeout: Duration) {
    let sent_at = term.node.now();
    match term.node.state_store.renew_lease(lease, timeout).await {
        Ok(()) => term.authority.lease_renewed(sent_at),
        Err(StateStoreError::LeaseExpired) => {
            tracing::info!("lease expired");
            term.authority.resign();
        }
        Err(_) => {}
    }
}
