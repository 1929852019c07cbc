//! Carrying out what the core decides.

use crate::coordination::leadership::authority::Authority;
use crate::coordination::{Effect, Event};
use crate::ids::MachineId;
use crate::protocol::cloud::{RentRequest, ReturnRequest};
use crate::protocol::state::KeyValue;
use crate::protocol::workers::{CommandBatch, WorkerStatus};
use crate::runtime::clients::cloud::{cloud, rent};
use crate::runtime::clients::state_store::{StateError, TxnOutcome};
use crate::runtime::Node;
use crate::storage::records::terminal_key;
use crate::time::TimeSpan;
use crate::transport::client::NoAnswer;
use hyper::Method;
use rand::Rng;
use std::time::Duration;

/// The leader writes nothing for so long after the state service has refused a write for its rate, by
/// chance: whoever else was refused comes again at another moment.
const LIMITED_PAUSE_MS: std::ops::Range<i64> = 200..500;
/// Between reads of finish marks: a takeover with many chains must not use up the service's rate.
const BETWEEN_MARKS: Duration = Duration::from_millis(15);

pub(in crate::runtime) async fn carry_out(
    node: &Node,
    authority: &Authority,
    effect: Effect,
) -> Option<Event> {
    match effect {
        Effect::Write { seq, transaction } => {
            Some(match node.state.transaction(&transaction).await {
                Ok(TxnOutcome::Applied(store_revision)) => Event::Written {
                    seq,
                    store_revision,
                },
                Ok(TxnOutcome::Conflict(failed)) => Event::WriteUnclear { seq, failed },
                Err(StateError::Refused) => Event::NotWritten { seq },
                Err(StateError::Limited) => {
                    let ms = rand::rng().random_range(LIMITED_PAUSE_MS);
                    let pause = TimeSpan(ms);
                    Event::WriteLimited { seq, pause }
                }
                Err(StateError::Rejected) => Event::WriteRejected { seq },
                Err(_) => Event::WriteUnclear {
                    seq,
                    failed: Vec::new(),
                },
            })
        }
        Effect::Reread { seq, keys } => {
            let mut items = Vec::new();
            for key in keys {
                items.push((key.clone(), read_surely(node, authority, &key).await?));
            }
            Some(Event::Reread { seq, items })
        }
        Effect::ReadTerminalRecords { ids } => {
            let mut terminal_records = Vec::new();
            for id in ids {
                let item = read_surely(node, authority, &terminal_key(&id)).await?;
                terminal_records.push((id, item.and_then(|i| serde_json::from_value(i.data).ok())));
                tokio::time::sleep(BETWEEN_MARKS).await;
            }
            Some(Event::TerminalRecordsRead { terminal_records })
        }
        Effect::Push {
            machine_id,
            endpoint,
            seq,
            token,
            session,
            commands,
        } => {
            let commands = CommandBatch {
                token,
                session,
                commands,
            };
            Some(direct(node, machine_id, &endpoint, seq, &commands).await)
        }
        Effect::ScaleOut {
            idempotency_key,
            offer,
            count,
        } => {
            let request = RentRequest {
                idempotency_key: idempotency_key.clone(),
                machine_type: offer.machine_type,
                zone: offer.zone,
                spot: offer.spot,
                count,
            };
            Some(rent(node, idempotency_key, &request).await)
        }
        Effect::ScaleIn { machine_ids } => {
            let request = ReturnRequest {
                machine_ids: machine_ids.clone(),
            };
            let body = serde_json::to_vec(&request).ok()?;
            Some(
                match cloud(node, Method::POST, "/rentals/return", Some(body)).await {
                    Ok((200, _)) => Event::MachinesTerminated { machine_ids },
                    _ => Event::ScaleInFailed { machine_ids },
                },
            )
        }
        Effect::StepDown { .. } => None,
    }
}

/// Reads a key, again and again while we lead.
async fn read_surely(node: &Node, authority: &Authority, key: &str) -> Option<Option<KeyValue>> {
    loop {
        match node.state.get(key).await {
            Ok(item) => return Some(item),
            Err(_) if !authority.is_held(node.now()) => return None,
            Err(_) => {
                let ms = 150 + rand::rng().random_range(0..150);
                tokio::time::sleep(Duration::from_millis(ms)).await;
            }
        }
    }
}

async fn direct(
    node: &Node,
    machine_id: MachineId,
    endpoint: &str,
    seq: u64,
    commands: &CommandBatch,
) -> Event {
    let body = serde_json::to_vec(commands).unwrap_or_default();
    let deadline = Duration::from_millis(2500);
    let sent = node
        .workers
        .send(Method::POST, endpoint, "/commands", Some(body), deadline)
        .await;
    match sent {
        Ok(a) if a.status == 200 || a.status == 409 => {
            match serde_json::from_slice::<WorkerStatus>(&a.body) {
                Ok(report) => Event::PushAnswered {
                    machine_id,
                    seq,
                    status: Box::new(report),
                },
                Err(_) => Event::PushFailed {
                    machine_id,
                    seq,
                    sent: true,
                },
            }
        }
        Ok(_) => Event::PushFailed {
            machine_id,
            seq,
            sent: true,
        },
        Err(e) => Event::PushFailed {
            machine_id,
            seq,
            sent: e != NoAnswer::NotSent,
        },
    }
}
