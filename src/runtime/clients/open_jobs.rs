//! This controller's copy of the open jobs, brought up to date by one read that serves every question
//! which came before it was sent. Hundreds of users ask every few seconds; a read or two for each
//! would use up what the state service allows.
//!
//! Nobody is answered from an older state: a question waits for the next read that begins after it.

use crate::ids::{JobId, KeyRevision, StoreRevision};
use crate::runtime::clients::dependency_pages;
use crate::runtime::clients::state_store::StateError;
use crate::runtime::{lock, Node};
use crate::storage::records::{OpenJobRecord, OPEN_JOB_PREFIX};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{oneshot, Notify};

/// An open job, as far as users' questions need it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenNote {
    pub revision: KeyRevision,
    pub tasks: u32,
    /// The jobs that it needs.
    pub after: Vec<JobId>,
}

/// An open job, and how the jobs stand that it needs directly or through others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenJob {
    pub revision: KeyRevision,
    pub tasks: u32,
    /// Ancestors that are no longer open: the finish marks of these say whether the job is cancelled
    /// with them.
    pub closed_ancestors: Vec<JobId>,
}

type Answer = Result<Option<OpenJob>, StateError>;

/// The copy, and the questions that wait.
#[derive(Default)]
pub struct OpenCopy {
    waiting: Mutex<Vec<(JobId, oneshot::Sender<Answer>)>>,
    asked: Notify,
}

impl OpenCopy {
    /// The job's open record as it stands at some moment after this call; None if it has none.
    pub async fn ask(&self, id: &JobId) -> Answer {
        let (send, receive) = oneshot::channel();
        lock(&self.waiting).push((id.clone(), send));
        self.asked.notify_one();
        receive.await.unwrap_or(Err(StateError::Refused))
    }
}

/// The part of the state service's requests that all controllers together use for this.
const RATE_SHARE: f64 = 0.35;
/// The copy is brought up to date this often even if nobody asks, so that it never falls far behind.
const IDLE: Duration = Duration::from_secs(5);

/// Keeps the copy and answers the questions.
pub async fn keep(node: Arc<Node>) {
    let nodes = node.siblings.len() as f64 + 1.0;
    let rps = node.policy.facts.state.rps;
    let spacing = Duration::from_secs_f64((nodes / (rps * RATE_SHARE)).clamp(0.03, 0.5));
    let mut copy = State::default();
    loop {
        let asked = tokio::time::timeout(IDLE, node.copy.asked.notified());
        tokio::select! {
            _ = node.stop.cancelled() => return,
            _ = asked => {}
        }
        let questions = std::mem::take(&mut *lock(&node.copy.waiting));
        // The read is sent after these questions came: that is what makes it good for them.
        let outcome = copy.update(&node).await;
        for (id, answer) in questions {
            let said = outcome.map(|()| copy.open_job(&id));
            let _ = answer.send(said);
        }
        tokio::select! {
            _ = node.stop.cancelled() => return,
            _ = tokio::time::sleep(spacing) => {}
        }
    }
}

#[derive(Default)]
struct State {
    open: BTreeMap<JobId, OpenNote>,
    /// The revision that the copy stands for; None: to be listed anew.
    store_revision: Option<StoreRevision>,
}

impl OpenNote {
    /// What matters of an open record, also of one that can't be read otherwise: the job is open all the
    /// same. None if it is open no more.
    pub async fn read(
        node: &Node,
        revision: KeyRevision,
        data: &Value,
    ) -> Result<Option<OpenNote>, StateError> {
        let Ok(mut record) = serde_json::from_value::<OpenJobRecord>(data.clone()) else {
            let n = data.pointer("/spec/pieces").and_then(Value::as_u64);
            return Ok(Some(OpenNote {
                revision,
                tasks: n.and_then(|n| u32::try_from(n).ok()).unwrap_or(1),
                after: Vec::new(),
            }));
        };
        let open = dependency_pages::is_complete(node, &mut record).await?;
        Ok(open.then_some(OpenNote {
            revision,
            tasks: record.spec.tasks,
            after: record.after,
        }))
    }
}

impl State {
    async fn update(&mut self, node: &Node) -> Result<(), StateError> {
        let since = match self.store_revision {
            Some(e) => e,
            None => {
                let (items, store_revision) = node.state.list(OPEN_JOB_PREFIX).await?;
                self.open.clear();
                for i in items {
                    self.put(node, &i.key, &i.data, i.revision).await?;
                }
                store_revision
            }
        };
        let page = match node.state.changes(OPEN_JOB_PREFIX, since).await {
            Ok(page) => page,
            Err(e) => {
                // A list without the changes since isn't of one moment: it is made again.
                self.store_revision = self.store_revision.filter(|_| e != StateError::TooOld);
                return Err(e);
            }
        };
        for n in page.events {
            if let Some(key) = &n.put {
                self.put(node, key, &n.data, n.revision).await?;
            } else if let Some(id) = n
                .delete
                .as_deref()
                .and_then(|k| k.strip_prefix(OPEN_JOB_PREFIX))
            {
                self.open.remove(&JobId::from(id));
            }
        }
        self.store_revision = Some(page.store_revision);
        Ok(())
    }

    /// Takes in an open record. After a failure the same changes are asked for again.
    async fn put(
        &mut self,
        node: &Node,
        key: &str,
        data: &Value,
        revision: KeyRevision,
    ) -> Result<(), StateError> {
        let Some(id) = key.strip_prefix(OPEN_JOB_PREFIX) else {
            return Ok(());
        };
        let note = OpenNote::read(node, revision, data).await?;
        self.open.extend(note.map(|note| (JobId::from(id), note)));
        Ok(())
    }

    /// The job with what closed ancestors it has. Each is looked at once, however many ways lead there.
    fn open_job(&self, id: &JobId) -> Option<OpenJob> {
        let note = self.open.get(id)?;
        let mut seen: BTreeSet<&JobId> = BTreeSet::new();
        let mut todo: Vec<&JobId> = note.after.iter().collect();
        let mut closed_ancestors = Vec::new();
        while let Some(ancestor) = todo.pop() {
            if !seen.insert(ancestor) {
                continue;
            }
            match self.open.get(ancestor) {
                Some(open) => todo.extend(&open.after),
                None => closed_ancestors.push(ancestor.clone()),
            }
        }
        Some(OpenJob {
            revision: note.revision,
            tasks: note.tasks,
            closed_ancestors,
        })
    }
}
