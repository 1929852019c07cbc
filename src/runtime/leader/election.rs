//! Election: the leader key is taken when it is free, or when it is that of our own predecessor on this host.

use crate::coordination::leadership::authority::Authority;
use crate::coordination::leadership::LeadershipTerm;
use crate::ids::{FencingToken, KeyRevision, LeaseId};
use crate::protocol::state::{Change, KeyValue, Precondition, Transaction};
use crate::runtime::clients::state_store::{StateStoreError, TransactionOutcome};
use crate::runtime::Node;
use crate::storage::records::{LeaderRecord, FENCING_TOKEN_KEY, LEADER_KEY};
use std::sync::Arc;

/// An election won: the leader key is ours.
pub struct ElectionWon {
    /// What this leader holds in the state store.
    pub term: LeadershipTerm,
    /// Its right to act.
    pub authority: Arc<Authority>,
}

/// Reads who leads, and tries to win the election if nobody else does.
pub async fn campaign(node: &Node) -> Option<ElectionWon> {
    let asked_at = node.now();
    let Ok(leader_key) = node.state_store.get(LEADER_KEY).await else {
        node.leadership.set_other_leader(None);
        return None;
    };
    let leader = leader_key.as_ref().and_then(leader_name);
    // A leader key with our own name is that of our predecessor on this host, whose process has ended:
    // there is no need to wait for its lease.
    let is_predecessor = leader.as_deref() == Some(&node.config.platform.host_name);
    let other = leader.filter(|_| !is_predecessor);
    node.leadership
        .set_other_leader(other.map(|name| (name, asked_at)));
    let vacant = leader_key.is_none();
    if !(vacant || is_predecessor) || node.leadership.must_stand_back(node.now(), vacant) {
        return None;
    }
    let revision = leader_key.map(|item| item.revision).unwrap_or_default();
    let won = try_to_win(node, revision).await?;
    node.leadership.set_other_leader(None);
    Some(won)
}

fn leader_name(item: &KeyValue) -> Option<String> {
    let record = serde_json::from_value::<LeaderRecord>(item.data.clone());
    Some(record.ok()?.host_name)
}

/// Tries to take the leader key at this revision, raising the durable fencing token in the same transaction.
async fn try_to_win(node: &Node, leader_key_revision: KeyRevision) -> Option<ElectionWon> {
    let lease_sent_at = node.now();
    let lease_ttl = node.config.leader.lease_duration;
    let lease = node.state_store.grant_lease(lease_ttl).await.ok()?;
    let term = take_leader_key(node, leader_key_revision, lease).await;
    let Some(term) = term else {
        // A late copy of our transaction can't take the key for a lease that has ended.
        node.state_store.revoke_lease(lease).await;
        return None;
    };
    let authority = Authority::new(node.config.leader, lease_sent_at);
    Some(ElectionWon {
        term,
        authority: Arc::new(authority),
    })
}

async fn take_leader_key(
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
                key: LEADER_KEY.into(),
                data: serde_json::to_value(&record).ok()?,
                lease: Some(lease),
            },
            Change::put(FENCING_TOKEN_KEY.into(), record.token.0.into()),
        ],
    };
    let revision = match node.state_store.transaction(&transaction).await {
        Ok(TransactionOutcome::Applied(store_revision)) => KeyRevision(store_revision.0),
        Err(StateStoreError::OutcomeUnknown) => revision_if_ours(node, lease, record.token).await?,
        _ => return None,
    };
    Some(LeadershipTerm {
        token: record.token,
        initial_token: record.token,
        // Both keys were written by the same transaction.
        leader_key_revision: revision,
        token_counter_revision: revision,
        lease,
        host_name: record.host_name,
    })
}

/// The last fencing token handed out, and the revision of its key.
async fn read_fencing_token(node: &Node) -> Option<(FencingToken, KeyRevision)> {
    match node.state_store.get(FENCING_TOKEN_KEY).await.ok()? {
        Some(item) => Some((FencingToken(item.data.as_u64()?), item.revision)),
        None => Some((FencingToken(0), KeyRevision(0))),
    }
}

/// Settles a transaction whose outcome is unknown by what is read: the leader key carries our lease and token,
/// or it is not ours.
async fn revision_if_ours(node: &Node, lease: LeaseId, token: FencingToken) -> Option<KeyRevision> {
    let item = node.state_store.get(LEADER_KEY).await.ok()??;
    let record: LeaderRecord = serde_json::from_value(item.data).ok()?;
    (item.lease == Some(lease) && record.token == token).then_some(item.revision)
}
