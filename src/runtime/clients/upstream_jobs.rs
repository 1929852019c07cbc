//! Looking up the jobs that a submission waits for.
//!
//! Each is read from the state service after the submission came, never from a copy that may lag. A few
//! are read one by one, at once; more share the reads that keep the copy of all open jobs up to date.

use crate::ids::JobId;
use crate::protocol::users::JobPhase;
use crate::runtime::api::users::{find_final, Final};
use crate::runtime::clients::open_jobs::OpenNote;
use crate::runtime::clients::state_store::StateError;
use crate::runtime::Node;
use crate::storage::records::open_key;
use futures_util::future::try_join_all;
use futures_util::{stream, StreamExt, TryStreamExt};
use std::collections::BTreeSet;
use std::time::Duration;

/// How the jobs stand that a submission waits for.
pub(in crate::runtime) enum Producers {
    /// All were accepted and none is cancelled; these are not done yet.
    Unfinished(Vec<JobId>),
    /// One is cancelled, or needs a job that is.
    Cancelled,
    /// This one was never accepted.
    NeverAccepted(JobId),
}

/// Up to so many jobs, ancestors included, are read one by one.
const MOST_SINGLE_READS: usize = 16;
/// Finish marks read at once for a long list.
const MARKS_AT_ONCE: usize = 4;
/// The look-up may take so long: what it has read is remembered for the user's next attempt.
const MOST_TIME: Duration = Duration::from_millis(2500);

/// Looks up the jobs that a submission waits for.
pub(in crate::runtime) async fn look_up(
    node: &Node,
    ids: Vec<JobId>,
) -> Result<Producers, StateError> {
    if ids.is_empty() {
        return Ok(Producers::Unfinished(ids));
    }
    let answer = async {
        match look_up_singly(node, &ids).await? {
            Some(producers) => Ok(producers),
            None => look_up_in_copy(node, ids).await,
        }
    };
    let in_time = tokio::time::timeout(MOST_TIME, answer).await;
    in_time.unwrap_or(Err(StateError::Refused))
}

/// One read for each job and each open ancestor; None if there are too many for that.
async fn look_up_singly(node: &Node, ids: &[JobId]) -> Result<Option<Producers>, StateError> {
    let mut outcome = Outcome::default();
    let mut seen: BTreeSet<JobId> = BTreeSet::new();
    let mut level: Vec<JobId> = ids.to_vec();
    while !level.is_empty() {
        seen.extend(level.iter().cloned());
        if seen.len() > MOST_SINGLE_READS {
            return Ok(None);
        }
        let read = try_join_all(level.iter().map(|id| read_one(node, id))).await?;
        let mut ancestors = BTreeSet::new();
        for (id, found) in level.into_iter().zip(read) {
            let named = ids.contains(&id);
            match found {
                Single::Open(after) => {
                    ancestors.extend(after);
                    outcome.unfinished.extend(named.then_some(id));
                }
                Single::Final(terminal_record) => {
                    outcome.cancelled |= terminal_record.phase == JobPhase::Cancelled
                }
                Single::Never if named => outcome.never = Some(id),
                Single::Never => {}
            }
        }
        level = ancestors.difference(&seen).cloned().collect();
    }
    Ok(Some(outcome.into_producers()))
}

/// What has been found so far.
#[derive(Default)]
struct Outcome {
    unfinished: Vec<JobId>,
    cancelled: bool,
    never: Option<JobId>,
}

impl Outcome {
    fn into_producers(self) -> Producers {
        match (self.never, self.cancelled) {
            (Some(id), _) => Producers::NeverAccepted(id),
            (None, true) => Producers::Cancelled,
            (None, false) => Producers::Unfinished(self.unfinished),
        }
    }
}

/// A job as read by itself.
enum Single {
    /// Open, and waiting for these.
    Open(Vec<JobId>),
    Final(Final),
    Never,
}

async fn read_one(node: &Node, id: &JobId) -> Result<Single, StateError> {
    if let Some(item) = node.state.get(&open_key(id)).await? {
        if let Some(note) = OpenNote::read(node, item.revision, &item.data).await? {
            return Ok(Single::Open(note.after));
        }
    }
    let terminal_record = find_final(node, id).await?;
    Ok(terminal_record.map_or(Single::Never, Single::Final))
}

/// All questions share the copy's next read; what is not open needs a read of its finish mark each,
/// unless that is known here.
async fn look_up_in_copy(node: &Node, ids: Vec<JobId>) -> Result<Producers, StateError> {
    let mut outcome = Outcome::default();
    let open = try_join_all(ids.iter().map(|id| node.copy.ask(id))).await?;
    let mut closed: BTreeSet<JobId> = BTreeSet::new();
    let mut named_closed: BTreeSet<JobId> = BTreeSet::new();
    for (id, job) in ids.into_iter().zip(open) {
        match job {
            Some(job) => {
                closed.extend(job.closed_ancestors);
                outcome.unfinished.push(id);
            }
            None => drop(named_closed.insert(id)),
        }
    }
    closed.extend(named_closed.iter().cloned());
    let terminal_records = stream::iter(closed).map(|id| async {
        let terminal_record = find_final(node, &id).await?;
        Ok::<_, StateError>((id, terminal_record))
    });
    let terminal_records: Vec<_> = terminal_records
        .buffer_unordered(MARKS_AT_ONCE)
        .try_collect()
        .await?;
    for (id, terminal_record) in terminal_records {
        match terminal_record {
            Some(terminal_record) => {
                outcome.cancelled |= terminal_record.phase == JobPhase::Cancelled
            }
            None if named_closed.contains(&id) => outcome.never = Some(id),
            None => {}
        }
    }
    Ok(outcome.into_producers())
}
