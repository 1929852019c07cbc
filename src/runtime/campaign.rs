//! Campaigning for the leadership: the leader key is taken when it is free, or was our predecessor's on this
//! host.

use super::leader::{lead, STAND_BACK};
use super::state_client::{StateError, TxnOutcome};
use super::{lock, Node};
use crate::coordination::leadership::{Authority, Lead};
use crate::ids::{LeaseId, Millis, Stamp, Token};
use crate::protocol::state::{Change, Guard, Txn};
use crate::storage::records::{LeadRecord, LEAD, TOKEN};
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;

/// A controller that handed over campaigns after so long all the same if nobody else has taken the lead.
const NOBODY_ELSE: Millis = Millis(4_000);

/// Campaigns, leads, and campaigns again, until stopped.
pub async fn campaign(node: Arc<Node>) {
    while !node.stop.is_cancelled() {
        let asked = node.now();
        match node.state.get(LEAD).await {
            Ok(item) => {
                let held = item.as_ref().and_then(|i| {
                    serde_json::from_value::<LeadRecord>(i.data.clone())
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
                    let stamp = item.map(|i| i.stamp).unwrap_or_default();
                    if let Some(won) = take_lead(&node, stamp).await {
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
pub(super) struct Won {
    pub lead: Lead,
    pub authority: Arc<Authority>,
}

/// Tries to take the leader key, raising the durable token in the same transaction.
async fn take_lead(node: &Node, lead_stamp: Stamp) -> Option<Won> {
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

async fn take_with(node: &Node, lead_stamp: Stamp, lease: LeaseId, sent: Millis) -> Option<Won> {
    let old = node.state.get(TOKEN).await.ok()?;
    let (last, token_stamp) = match old {
        Some(i) => (i.data.as_u64()?, i.stamp),
        None => (0, Stamp(0)),
    };
    let token = Token(last + 1);
    let record = LeadRecord {
        host_name: node.settings.platform.host_name.clone(),
        token,
    };
    let txn = Txn {
        guards: vec![
            Guard {
                key: LEAD.into(),
                stamp: lead_stamp,
            },
            Guard {
                key: TOKEN.into(),
                stamp: token_stamp,
            },
        ],
        apply: vec![
            Change::Put {
                put: LEAD.into(),
                data: serde_json::to_value(&record).ok()?,
                lease: Some(lease),
            },
            Change::put(TOKEN.into(), token.0.into()),
        ],
    };
    let (stamp, token_stamp) = match node.state.txn(&txn).await {
        Ok(TxnOutcome::Applied(epoch)) => (Stamp(epoch.0), Stamp(epoch.0)),
        Err(StateError::Unclear) => {
            // Only what is read settles it: the key carries our lease and this token, or not.
            let item = node.state.get(LEAD).await.ok()??;
            let record: LeadRecord = serde_json::from_value(item.data).ok()?;
            if item.lease != Some(lease) || record.token != token {
                return None;
            }
            // Both keys were written by the same transaction.
            (item.stamp, item.stamp)
        }
        _ => return None,
    };
    Some(Won {
        lead: Lead {
            token,
            first: token,
            stamp,
            token_stamp,
            lease,
            host_name: record.host_name,
        },
        authority: Arc::new(Authority::new(node.settings.leader, sent)),
    })
}
