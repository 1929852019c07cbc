//! What a leader reads of the jobs: everything as it takes over, and then what changes.

use super::edges;
use super::state_client::StateError;
use super::{lock, time_of_day_ms, Node};
use crate::coordination::leadership::Authority;
use crate::coordination::recovery::Inheritance;
use crate::coordination::Event;
use crate::ids::{Epoch, JobId, Millis, Stamp};
use crate::protocol::state::{Item, NewsPage};
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
    let open = read_open(node, open).await.ok()?;
    let found = Inheritance {
        open,
        progress,
        intents,
        hosts,
        machine_types: lock(&node.machine_types).clone(),
        hints,
        day_ms: time_of_day_ms().saturating_sub(node.now().0.max(0) as u64),
    };
    Some((found, epoch))
}

async fn read_open(
    node: &Node,
    items: Vec<Item>,
) -> Result<Vec<(OpenRecord, Stamp, Millis)>, StateError> {
    let mut jobs = Vec::new();
    for item in items {
        let record = serde_json::from_value::<OpenRecord>(item.data);
        let Ok(mut record) = record else {
            tracing::error!(key = %item.key, "an open job can't be read");
            continue;
        };
        if edges::complete(node, &mut record).await? {
            let submitted = submitted_at(node, &record);
            jobs.push((record, item.stamp, submitted));
        }
    }
    Ok(jobs)
}

/// Hands the leader what has changed. If that fails halfway, the same changes are to be asked for again:
/// each may come twice.
async fn take_in(node: &Node, page: &NewsPage) -> Result<(), StateError> {
    for news in &page.news {
        if let Some(key) = &news.put {
            let Ok(mut record) = serde_json::from_value::<OpenRecord>(news.data.clone()) else {
                tracing::error!(key, "an open job can't be read");
                continue;
            };
            if !edges::complete(node, &mut record).await? {
                continue;
            }
            let opened = Event::JobOpened {
                submitted: submitted_at(node, &record),
                record: Box::new(record),
                stamp: news.stamp,
            };
            node.leader.event(node.now(), opened);
        } else if let Some(id) = news.delete.as_deref().and_then(|k| k.strip_prefix(OPEN)) {
            let id = JobId::from(id);
            node.leader.event(node.now(), Event::JobClosed { id });
        }
    }
    Ok(())
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
        let taken = match news {
            Ok(page) => take_in(&node, &page).await.map(|()| page),
            Err(e) => Err(e),
        };
        match taken {
            Ok(page) => {
                let (age_ms, changes) = ((node.now() - asked).0, page.news.len());
                tracing::debug!(since = %since, epoch = %page.epoch, age_ms, changes, "open jobs followed");
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
                    let listed = match node.state.list(OPEN).await {
                        Ok((items, epoch)) => read_open(&node, items).await.map(|j| (j, epoch)),
                        Err(e) => Err(e),
                    };
                    if let Ok((jobs, epoch)) = listed {
                        let age_ms = (node.now() - asked).0;
                        tracing::info!(reason = ?e, since = %since, epoch = %epoch, age_ms, jobs = jobs.len(), "open jobs listed again after a gap");
                        node.leader.event(node.now(), Event::OpenJobs { jobs });
                        since = epoch;
                        authority.knows(asked);
                    }
                }
            }
        }
    }
}
