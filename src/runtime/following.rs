//! What a leader reads of the jobs: everything as it takes over, and then what changes.

use super::state_client::StateError;
use super::{lock, time_of_day_ms, Node};
use crate::coordination::leadership::Authority;
use crate::coordination::recovery::Inheritance;
use crate::coordination::Event;
use crate::ids::{Epoch, JobId, Millis, Stamp};
use crate::protocol::state::Item;
use crate::storage::records::{OpenRecord, HINTS, HOSTS, INTENTS, OPEN, PROGRESS};
use std::sync::Arc;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// Reads everything a new leader needs. All reads come after the leader key was written, so no
/// former leader can add an intent that we miss: its writes are guarded by the old key.
pub(super) async fn inherit(node: &Node) -> Option<(Inheritance, Epoch)> {
    let state = &node.state;
    let ((open, epoch), (progress, _), (hosts, _), (intents, _), hints) = tokio::try_join!(
        state.list(OPEN),
        state.list(PROGRESS),
        state.list(HOSTS),
        state.list(INTENTS),
        state.get(HINTS),
    )
    .ok()?;
    let open = read_open(node, open);
    let found = Inheritance {
        open,
        progress,
        intents,
        hosts,
        rigs: lock(&node.rigs).clone(),
        hints,
        day_ms: time_of_day_ms().saturating_sub(node.now().0.max(0) as u64),
    };
    Some((found, epoch))
}

fn read_open(node: &Node, items: Vec<Item>) -> Vec<(OpenRecord, Stamp, Millis)> {
    items
        .into_iter()
        .filter_map(|i| {
            let record: OpenRecord = serde_json::from_value(i.data)
                .map_err(|e| tracing::error!(key = %i.key, error = %e, "an open job can't be read"))
                .ok()?;
            let submitted = submitted_at(node, &record);
            Some((record, i.stamp, submitted))
        })
        .collect()
}

fn submitted_at(node: &Node, record: &OpenRecord) -> Millis {
    let age = time_of_day_ms().saturating_sub(record.at_ms);
    node.now() - Millis(age.min(1 << 50) as i64)
}

/// Follows open jobs, from the epoch of the list that was read. Each answer says what had happened by
/// the time it was asked for: the leader's authority doesn't outlast that by more than the staleness
/// allowed.
pub(super) async fn watch_jobs(
    node: Arc<Node>,
    authority: Arc<Authority>,
    mut since: Epoch,
    end: CancellationToken,
) {
    let hold = node.settings.leader.watch_hold;
    let patience = node.settings.leader.watch_patience;
    while !end.is_cancelled() {
        let asked = node.now();
        let news = tokio::select! {
            _ = end.cancelled() => return,
            n = node.state.watch(OPEN, since, hold, patience) => n,
        };
        match news {
            Ok(page) => {
                for n in page.news {
                    if let Some(key) = &n.put {
                        let Ok(record) = serde_json::from_value::<OpenRecord>(n.data) else {
                            tracing::error!(key, "an open job can't be read");
                            continue;
                        };
                        let submitted = submitted_at(&node, &record);
                        let opened = Event::JobOpened {
                            record: Box::new(record),
                            stamp: n.stamp,
                            submitted,
                        };
                        node.leader.event(node.now(), opened);
                    } else if let Some(id) = n.delete.as_deref().and_then(|k| k.strip_prefix(OPEN))
                    {
                        let id = JobId::from(id);
                        node.leader.event(node.now(), Event::JobClosed { id });
                    }
                }
                since = page.epoch;
                authority.knows(asked);
                // Changes come in bunches: a short pause spares requests.
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
            Err(e) => {
                // A gap: read the whole list again rather than guess what was missed.
                tokio::time::sleep(Duration::from_millis(300)).await;
                if e == StateError::TooOld || e == StateError::Unclear {
                    let asked = node.now();
                    if let Ok((items, epoch)) = node.state.list(OPEN).await {
                        let jobs = read_open(&node, items);
                        node.leader.event(node.now(), Event::OpenJobs { jobs });
                        since = epoch;
                        authority.knows(asked);
                    }
                }
            }
        }
    }
}
