//! Executes the scheduler's effects: each effect becomes one or more requests, whose outcome is reported as an
//! event.
//!
//! No decisions are made here. A failed request is reported as not executed, refused, or of unknown outcome.

use crate::coordination::leadership::authority::Authority;
use crate::coordination::{
    Effect, Event, KeyReread, RequestId, ScaleOutAnswer, TerminalRecordRead,
};
use crate::ids::{JobId, MachineId};
use crate::protocol::cloud::{RentRequest, TerminateRequest};
use crate::protocol::state::{KeyValue, Transaction};
use crate::protocol::workers::{CommandBatch, WorkerStatus};
use crate::runtime::clients::cloud::RentOutcome;
use crate::runtime::clients::state_store::{StateStoreError, TransactionOutcome};
use crate::runtime::Node;
use crate::storage::records::terminal_key;
use crate::time::TimeSpan;
use crate::transport::client::RequestError;
use hyper::Method;
use rand::Rng;
use std::time::Duration;

/// Range of the random pause in the leader's writes after the state store has rejected one for its rate limit:
/// clients that were rejected together don't retry together.
const RATE_LIMITED_PAUSE_MS: std::ops::Range<i64> = 200..500;
/// The fraction of the state store's request rate limit that the leader's reads of terminal records use: a failover with
/// many dependencies must not exhaust it.
const TERMINAL_READ_RATE_SHARE: f64 = 0.5;
/// The longest pause between two of these reads, however low the limit is.
const MAX_TERMINAL_READ_SPACING_SECS: f64 = 1.0;
/// Pause before a failed read is retried, plus a random jitter of at most the same length.
const READ_RETRY_PAUSE_MS: u64 = 150;
/// Timeout of a push.
const PUSH_TIMEOUT: Duration = Duration::from_millis(2500);

/// Executes an effect and returns the event that reports its outcome. None if the leader's authority lapsed
/// meanwhile or there is no outcome to report.
pub async fn execute(node: &Node, authority: &Authority, effect: Effect) -> Option<Event> {
    match effect {
        Effect::Write {
            request_id,
            transaction,
        } => Some(write(node, request_id, &transaction).await),
        Effect::Reread { request_id, keys } => reread(node, authority, request_id, keys).await,
        Effect::ReadTerminalRecords { ids } => read_terminal_records(node, authority, ids).await,
        Effect::Push {
            machine_id,
            endpoint,
            request_id,
            token,
            session,
            commands,
        } => {
            let batch = CommandBatch {
                token,
                session,
                commands,
            };
            Some(push(node, machine_id, &endpoint, request_id, &batch).await)
        }
        Effect::ScaleOut {
            idempotency_key,
            offer,
            count,
        } => {
            let request = RentRequest {
                idempotency_key,
                machine_type: offer.machine_type,
                zone: offer.zone,
                spot: offer.spot,
                count,
            };
            Some(scale_out(node, request).await)
        }
        Effect::ScaleIn { machine_ids } => scale_in(node, machine_ids).await,
        Effect::StepDown { .. } => None,
    }
}

async fn write(node: &Node, request_id: RequestId, transaction: &Transaction) -> Event {
    match node.state_store.transaction(transaction).await {
        Ok(TransactionOutcome::Applied(store_revision)) => Event::WriteApplied {
            request_id,
            store_revision,
        },
        Ok(TransactionOutcome::Conflict(failed_preconditions)) => Event::WriteUnconfirmed {
            request_id,
            failed_preconditions,
        },
        Err(StateStoreError::NotExecuted) => Event::WriteNotApplied { request_id },
        Err(StateStoreError::RateLimited) => {
            let pause_ms = rand::rng().random_range(RATE_LIMITED_PAUSE_MS);
            Event::WriteRateLimited {
                request_id,
                pause: TimeSpan(pause_ms),
            }
        }
        Err(StateStoreError::Invalid) => Event::WriteRejected { request_id },
        Err(
            StateStoreError::OutcomeUnknown
            | StateStoreError::RevisionCompacted
            | StateStoreError::LeaseExpired,
        ) => Event::WriteUnconfirmed {
            request_id,
            failed_preconditions: Vec::new(),
        },
    }
}

async fn reread(
    node: &Node,
    authority: &Authority,
    request_id: RequestId,
    keys: Vec<String>,
) -> Option<Event> {
    let mut items = Vec::new();
    for key in keys {
        let item = read_with_retry(node, authority, &key).await?;
        items.push(KeyReread { key, item });
    }
    Some(Event::Reread { request_id, items })
}

async fn read_terminal_records(
    node: &Node,
    authority: &Authority,
    ids: Vec<JobId>,
) -> Option<Event> {
    let request_rate = node.policy.facts.state.effective().rps * TERMINAL_READ_RATE_SHARE;
    let spacing_secs = (1.0 / request_rate).min(MAX_TERMINAL_READ_SPACING_SECS);
    let spacing = Duration::from_secs_f64(spacing_secs);
    let mut records = Vec::new();
    for job in ids {
        let item = read_with_retry(node, authority, &terminal_key(&job)).await?;
        let record = item.and_then(|item| serde_json::from_value(item.data).ok());
        records.push(TerminalRecordRead { job, record });
        tokio::time::sleep(spacing).await;
    }
    Some(Event::TerminalRecordsRead(records))
}

/// Reads a key, retrying until the state store answers. The outer option is None if the authority lapses first,
/// the inner one if the key doesn't exist.
async fn read_with_retry(
    node: &Node,
    authority: &Authority,
    key: &str,
) -> Option<Option<KeyValue>> {
    loop {
        match node.state_store.get(key).await {
            Ok(item) => return Some(item),
            Err(_) if !authority.is_held(node.now()) => return None,
            Err(_) => {
                let jitter_ms = rand::rng().random_range(0..READ_RETRY_PAUSE_MS);
                tokio::time::sleep(Duration::from_millis(READ_RETRY_PAUSE_MS + jitter_ms)).await;
            }
        }
    }
}

async fn push(
    node: &Node,
    machine_id: MachineId,
    endpoint: &str,
    request_id: RequestId,
    batch: &CommandBatch,
) -> Event {
    let body = serde_json::to_vec(batch).unwrap_or_default();
    let response = node
        .worker_client
        .send(
            Method::POST,
            endpoint,
            "/commands",
            Some(body),
            PUSH_TIMEOUT,
        )
        .await;
    // 200: the worker executed the commands; 409: it didn't. Both responses contain the worker's status.
    let status = match &response {
        Ok(response) if matches!(response.status, 200 | 409) => {
            serde_json::from_slice::<WorkerStatus>(&response.body).ok()
        }
        _ => None,
    };
    match status {
        Some(status) => Event::PushAnswered {
            machine_id,
            request_id,
            status: Box::new(status),
        },
        None => Event::PushFailed {
            machine_id,
            request_id,
            sent: !matches!(response, Err(RequestError::NotSent)),
        },
    }
}

async fn scale_out(node: &Node, request: RentRequest) -> Event {
    let outcome = node.cloud.rent(&request).await;
    let idempotency_key = request.idempotency_key;
    match outcome {
        RentOutcome::Rented(machine_ids) => Event::ScaleOutAnswered {
            idempotency_key,
            answer: ScaleOutAnswer::Granted(machine_ids),
        },
        RentOutcome::NoCapacity => Event::ScaleOutAnswered {
            idempotency_key,
            answer: ScaleOutAnswer::NoCapacity,
        },
        RentOutcome::Unknown => Event::ScaleOutUnconfirmed { idempotency_key },
    }
}

async fn scale_in(node: &Node, machine_ids: Vec<MachineId>) -> Option<Event> {
    let request = TerminateRequest { machine_ids };
    let terminated = node.cloud.terminate_machines(&request).await.ok()?;
    let machine_ids = request.machine_ids;
    Some(if terminated {
        Event::MachinesTerminated { machine_ids }
    } else {
        Event::ScaleInFailed { machine_ids }
    })
}
