//! Requests of users, which any controller handles: submissions, cancellations and job phases.

use super::network::LATENCY;
use super::workload::TaskBehavior;
use super::Simulation;
use chalklug::coordination::Event;
use chalklug::ids::{JobId, KeyRevision};
use chalklug::protocol::state::{Change, KeyValue, Precondition, Transaction};
use chalklug::protocol::users::{JobPhase, JobSpec};
use chalklug::storage::records::*;

/// Size limit of an open job record, low enough that upstream jobs are often moved to dependency pages.
const MAX_OPEN_RECORD_BYTES: usize = 420;

fn to_json<T: serde::Serialize>(record: &T) -> serde_json::Value {
    serde_json::to_value(record).expect("records can be serialized")
}

impl Simulation {
    /// Submits a job that depends on the `upstream` jobs.
    pub fn submit(&mut self, spec: JobSpec, behavior: TaskBehavior, upstream: Vec<JobId>) {
        let id = spec.id.clone();
        self.workload.add(spec.clone(), behavior);
        let record = self.write_dependency_pages(OpenJobRecord {
            spec: spec.clone(),
            accepted_at_ms: 0,
            upstream_jobs: upstream.clone(),
            dependency_pages: 0,
        });
        // As in the controllers, a job with a cancelled upstream job is cancelled on acceptance.
        let is_cancelled = |id: &JobId| self.store.phase(id) == Some(JobPhase::Cancelled);
        let change = match upstream.iter().any(is_cancelled) {
            true => {
                let terminal_record = TerminalRecord::cancelled(spec.tasks);
                Change::put(terminal_key(&id), to_json(&terminal_record))
            }
            false => Change::put(open_job_key(&id), to_json(&record)),
        };
        let absent = |key| Precondition {
            key,
            revision: KeyRevision(0),
        };
        let transaction = Transaction {
            preconditions: vec![absent(open_job_key(&id)), absent(terminal_key(&id))],
            changes: vec![change],
        };
        let applied = self.store.apply(&transaction);
        assert!(applied.is_some(), "{id}: submitted before");
        self.checker.job_accepted(self.now, spec, upstream);
    }

    /// Writes the upstream jobs to dependency pages if the record is too long, and returns the
    /// resulting record.
    fn write_dependency_pages(&mut self, mut record: OpenJobRecord) -> OpenJobRecord {
        let pages = record.move_dependencies_to_pages(MAX_OPEN_RECORD_BYTES);
        for (page, job_ids) in
            (0..).zip(pages.expect("the specification fits without its upstream jobs"))
        {
            let key = dependency_page_key(&record.spec.id, page);
            let transaction = Transaction {
                preconditions: Vec::new(),
                changes: vec![Change::put(key, to_json(&job_ids))],
            };
            self.store.apply(&transaction);
        }
        record
    }

    /// Returns an open job record including the upstream jobs on its dependency pages.
    pub(super) fn read_open_record(&self, item: KeyValue) -> OpenJobRecord {
        let mut record: OpenJobRecord =
            serde_json::from_value(item.data).expect("the record can be parsed");
        for page in 0..record.dependency_pages {
            let item = self.store.get(&dependency_page_key(&record.spec.id, page));
            let data = item.expect("the dependency page exists").data;
            let job_ids: Vec<JobId> =
                serde_json::from_value(data).expect("the dependency page can be parsed");
            record.upstream_jobs.extend(job_ids);
        }
        record
    }

    /// Cancels a job and returns whether a controller confirmed the cancellation.
    #[must_use]
    pub fn cancel(&mut self, id: &JobId) -> bool {
        let elections = self.leadership.elections_enabled;
        if elections && self.now < self.faults.store_unavailable_until {
            // No controller can confirm the cancellation; the user is asked to retry.
            return false;
        }
        let Some(open) = self.store.get(&open_job_key(id)) else {
            return false;
        };
        let terminal_record = TerminalRecord::cancelled(self.workload.spec(id).tasks);
        let transaction = Transaction {
            preconditions: vec![Precondition {
                key: open_job_key(id),
                revision: open.revision,
            }],
            changes: vec![
                Change::Delete {
                    deleted_key: open_job_key(id),
                },
                Change::put(terminal_key(id), to_json(&terminal_record)),
            ],
        };
        let applied = self.store.apply(&transaction);
        assert!(
            applied.is_some(),
            "{id}: its open record changed during the cancellation"
        );
        self.checker.job_cancelled(id, self.now);
        self.broadcast_cancellation(id);
        true
    }

    /// Notifies the leader of a confirmed cancellation, as the confirming controller does with all of
    /// its peers.
    fn broadcast_cancellation(&mut self, id: &JobId) {
        if !self.peers_connected() {
            return;
        }
        if let Some(leader) = self.leadership.token() {
            let id = id.clone();
            self.send_to_leader(LATENCY, leader, Event::JobCancelled { id });
        }
    }

    /// Returns the phase of a job that controllers report to users.
    pub fn phase(&self, id: &JobId) -> Option<JobPhase> {
        self.store.phase(id)
    }
}
