//! Election: a controller acquires the leader key if the key is absent, or if it was written by an earlier
//! process of this controller.

use crate::coordination::leadership::authority::Authority;
use crate::coordination::leadership::LeadershipTerm;
use crate::ids::{FencingToken, KeyRevision, LeaseId};
use crate::protocol::state::{Change, KeyValue, Precondition, Transaction};
use crate::runtime::clients::state_store::{StateStoreError, TransactionOutcome};
use crate::runtime::Node;
use crate::storage::records::{LeaderRecord, FENCING_TOKEN_KEY, LEADER_KEY};
use std::sync::Arc;

/// A won election: this controller has acquired the leader key.
pub struct ElectionWon {
    /// The new term: its fencing token, its lease and the revisions of its keys.
    pub term: LeadershipTerm,
    /// The leader's authority to act.
    pub authority: Arc<Authority>,
}

/// Reads the leader key, and tries to win the election if no other controller leads.
pub async fn campaign(node: &Node) -> Option<ElectionWon> {
    let requested_at = node.now();
    let Ok(leader_key) = node.state_store.get(LEADER_KEY).await else {
        node.leadership.set_other_leader(None);
        return None;
    };
    let leader = leader_key.as_ref().and_then(leader_name);
    // A leader key with this controller's name was written by an earlier process on this host, which has
    // ended: there is no need to wait for its lease to expire.
    let is_predecessor = leader.as_deref() == Some(&node.config.platform.host_name);
    let other = leader.filter(|_| !is_predecessor);
    node.leadership
        .set_other_leader(other.map(|name| (name, requested_at)));
    let vacant = leader_key.is_none();
    // Guards against a failover that lasts longer than the leader's authority, because it reads many dependency lists:
    // this controller knows nearly all of them once it has listed the open jobs.
    if !node.open_jobs.is_listed() {
        return None;
    }
    if !(vacant || is_predecessor) || node.leadership.must_not_campaign(node.now(), vacant) {
        return None;
    }
    let revision = leader_key.map(|item| item.revision).unwrap_or_default();
    let won = acquire_leadership(node, revision).await?;
    node.leadership.set_other_leader(None);
    Some(won)
}

fn leader_name(item: &KeyValue) -> Option<String> {
    let record = serde_json::from_value::<LeaderRecord>(item.data.clone());
    Some(record.ok()?.host_name)
}

/// Tries to acquire the leader key, which must be at this revision. The same transaction raises the stored
/// fencing token.
async fn acquire_leadership(node: &Node, leader_key_revision: KeyRevision) -> Option<ElectionWon> {
    let lease_sent_at = node.now();
    let lease_ttl = node.config.leader.lease_duration;
    let lease = node.state_store.grant_lease(lease_ttl).await.ok()?;
    let term = acquire_leader_key(node, leader_key_revision, lease).await;
    let Some(term) = term else {
        // Once the lease is revoked, a copy of the transaction that arrives late can't acquire the key.
        node.state_store.revoke_lease(lease).await;
        return None;
    };
    let authority = Authority::new(node.config.leader, lease_sent_at);
    Some(ElectionWon {
        term,
        authority: Arc::new(authority),
    })
}

async fn acquire_leader_key(
    node: &Node,
    leader_key_revision: KeyRevision,
    lease: LeaseId,
) -> Option<LeadershipTerm> {
    let (last_token, token_revision) = read_fencing_token(node).await?;
    let record = LeaderRecord {
        host_name: node.config.platform.host_name.clone(),
        token: FencingToken(last_token.0 + 1),
    };
    let transaction = Transaction {
        preconditions: vec![
            Precondition {
                key: LEADER_KEY.into(),
                revision: leader_key_revision,
            },
            Precondition {
                key: FENCING_TOKEN_KEY.into(),
                revision: token_revision,
            },
        ],
        changes: vec![
            Change::Put {
                put_key: LEADER_KEY.into(),
                data: serde_json::to_value(&record).ok()?,
                lease: Some(lease),
            },
            Change::put(FENCING_TOKEN_KEY.into(), record.token.0.into()),
        ],
    };
    let revision = match node.state_store.transaction(&transaction).await {
        Ok(TransactionOutcome::Applied(store_revision)) => KeyRevision(store_revision.0),
        Err(StateStoreError::OutcomeUnknown) => own_key_revision(node, lease, record.token).await?,
        _ => return None,
    };
    Some(LeadershipTerm {
        token: record.token,
        initial_token: record.token,
        // The same transaction wrote both keys, so they have the same revision.
        leader_key_revision: revision,
        token_counter_revision: revision,
        lease,
        host_name: record.host_name,
    })
}

/// Reads the last fencing token that was issued, and the revision of its key. Both are 0 if none was issued.
async fn read_fencing_token(node: &Node) -> Option<(FencingToken, KeyRevision)> {
    match node.state_store.get(FENCING_TOKEN_KEY).await.ok()? {
        Some(item) => Some((FencingToken(item.data.as_u64()?), item.revision)),
        None => Some((FencingToken(0), KeyRevision(0))),
    }
}

/// Reads the leader key after a transaction with an unknown outcome: returns the key's revision if the key has
/// this lease and token, so that the transaction was applied.
async fn own_key_revision(node: &Node, lease: LeaseId, token: FencingToken) -> Option<KeyRevision> {
    let item = node.state_store.get(LEADER_KEY).await.ok()??;
    let record: LeaderRecord = serde_json::from_value(item.data).ok()?;
    (item.lease == Some(lease) && record.token == token).then_some(item.revision)
}
