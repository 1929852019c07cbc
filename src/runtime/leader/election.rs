//! Campaigning for the leadership: the leader key is taken when it is free, or was our predecessor's on this
//! host.

use crate::coordination::leadership::authority::Authority;
use crate::coordination::leadership::LeadershipTerm;
use crate::ids::{FencingToken, KeyRevision, LeaseId};
use crate::protocol::state::{Change, Precondition, Transaction};
use crate::runtime::clients::state_store::{StateError, TxnOutcome};
use crate::runtime::leader::{lead, STAND_BACK};
use crate::runtime::{lock, Node};
use crate::storage::records::{LeaderRecord, FENCING_TOKEN_KEY, LEADER_KEY};
use crate::time::{Instant, TimeSpan};
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;

/// A controller that handed over campaigns after so long all the same if nobody else has taken the lead.
const NOBODY_ELSE: TimeSpan = TimeSpan(4_000);

/// Campaigns, leads, and campaigns again, until stopped.
pub async fn campaign(node: Arc<Node>) {
    while !node.stop.is_cancelled() {
        let asked = node.now();
        match node.state.get(LEADER_KEY).await {
            Ok(item) => {
                let held = item.as_ref().and_then(|i| {
                    serde_json::from_value::<LeaderRecord>(i.data.clone())
                        .ok()
                        .map(|r| r.host_name)
                });
                let mine = held.as_deref() == Some(&node.settings.platform.host_name);
                *lock(&node.leader.other) = held.filter(|_| !mine).map(|name| (name, asked));
                // A leader key with our own name is that of our predecessor on this host, whose
                // process has ended: there is no need to wait for its lease.
                let now = node.now();
                let back = (*lock(&node.leader.stand_back)).filter(|until| now < *until);
                let wait = back
                    .is_some_and(|until| item.is_none() && until - now > STAND_BACK - NOBODY_ELSE);
                if (item.is_none() || mine) && !wait {
                    let revision = item.map(|i| i.revision).unwrap_or_default();
                    if let Some(won) = take_lead(&node, revision).await {
                        *lock(&node.leader.other) = None;
                        lead(&node, won).await;
                        continue;
                    }
                }
            }
            Err(_) => *lock(&node.leader.other) = None,
        }
        let pause = Duration::from_millis(500 + rand::rng().random_range(0..300));
        tokio::select! {
            _ = node.stop.cancelled() => {}
            _ = tokio::time::sleep(pause) => {}
        }
    }
}

/// The leader key is ours.
pub(in crate::runtime) struct Won {
    pub lead: LeadershipTerm,
    pub authority: Arc<Authority>,
}

/// Tries to take the leader key, raising the durable token in the same transaction.
async fn take_lead(node: &Node, lead_stamp: KeyRevision) -> Option<Won> {
    let life = node.settings.leader.life;
    let sent = node.now();
    let lease = node.state.grant(life.0 as u64).await.ok()?;
    let won = take_with(node, lead_stamp, lease, sent).await;
    if won.is_none() {
        // A late copy of our transaction can't take the key for a lease that has ended.
        node.state.revoke(lease).await;
    }
    won
}

async fn take_with(
    node: &Node,
    lead_stamp: KeyRevision,
    lease: LeaseId,
    sent: Instant,
) -> Option<Won> {
    let old = node.state.get(FENCING_TOKEN_KEY).await.ok()?;
    let (last, token_stamp) = match old {
        Some(i) => (i.data.as_u64()?, i.revision),
        None => (0, KeyRevision(0)),
    };
    let token = FencingToken(last + 1);
    let record = LeaderRecord {
        host_name: node.settings.platform.host_name.clone(),
        token,
    };
    let transaction = Transaction {
        preconditions: vec![
            Precondition {
                key: LEADER_KEY.into(),
                revision: lead_stamp,
            },
            Precondition {
                key: FENCING_TOKEN_KEY.into(),
                revision: token_stamp,
            },
        ],
        changes: vec![
            Change::Put {
                put: LEADER_KEY.into(),
                data: serde_json::to_value(&record).ok()?,
                lease: Some(lease),
            },
            Change::put(FENCING_TOKEN_KEY.into(), token.0.into()),
        ],
    };
    let (leader_key_revision, token_counter_revision) =
        match node.state.transaction(&transaction).await {
            Ok(TxnOutcome::Applied(store_revision)) => {
                (KeyRevision(store_revision.0), KeyRevision(store_revision.0))
            }
            Err(StateError::Unclear) => {
                // Only what is read settles it: the key carries our lease and this token, or not.
                let item = node.state.get(LEADER_KEY).await.ok()??;
                let record: LeaderRecord = serde_json::from_value(item.data).ok()?;
                if item.lease != Some(lease) || record.token != token {
                    return None;
                }
                // Both keys were written by the same transaction.
                (item.revision, item.revision)
            }
            _ => return None,
        };
    Some(Won {
        lead: LeadershipTerm {
            token,
            initial_token: token,
            leader_key_revision,
            token_counter_revision,
            lease,
            host_name: record.host_name,
        },
        authority: Arc::new(Authority::new(node.settings.leader, sent)),
    })
}
