//! Carrying out what the core decides.

use super::cloud::{cloud, rent};
use super::state_client::{StateError, TxnOutcome};
use super::Node;
use crate::coordination::leadership::Authority;
use crate::coordination::{Effect, Event};
use crate::ids::{HostId, Millis};
use crate::protocol::cloud::{RentRequest, ReturnRequest};
use crate::protocol::state::Item;
use crate::protocol::workers::{Commands, Report};
use crate::storage::records::final_key;
use crate::transport::client::NoAnswer;
use hyper::Method;
use rand::Rng;
use std::time::Duration;

/// The leader writes nothing for so long after the state service has refused a write for its rate, by
/// chance: whoever else was refused comes again at another moment.
const LIMITED_PAUSE_MS: std::ops::Range<i64> = 200..500;
/// Between reads of finish marks: a takeover with many chains must not use up the service's rate.
const BETWEEN_MARKS: Duration = Duration::from_millis(15);

pub(super) async fn carry_out(node: &Node, authority: &Authority, effect: Effect) -> Option<Event> {
    match effect {
        Effect::Write { seq, txn } => Some(match node.state.txn(&txn).await {
            Ok(TxnOutcome::Applied(epoch)) => Event::Written { seq, epoch },
            Ok(TxnOutcome::Conflict(failed)) => Event::WriteUnclear { seq, failed },
            Err(StateError::Refused) => Event::NotWritten { seq },
            Err(StateError::Limited) => {
                let ms = rand::rng().random_range(LIMITED_PAUSE_MS);
                let pause = Millis(ms);
                Event::WriteLimited { seq, pause }
            }
            Err(StateError::Rejected) => Event::WriteRejected { seq },
            Err(_) => Event::WriteUnclear {
                seq,
                failed: Vec::new(),
            },
        }),
        Effect::Reread { seq, keys } => {
            let mut items = Vec::new();
            for key in keys {
                items.push((key.clone(), read_surely(node, authority, &key).await?));
            }
            Some(Event::Reread { seq, items })
        }
        Effect::ReadMarks { ids } => {
            let mut marks = Vec::new();
            for id in ids {
                let item = read_surely(node, authority, &final_key(&id)).await?;
                marks.push((id, item.and_then(|i| serde_json::from_value(i.data).ok())));
                tokio::time::sleep(BETWEEN_MARKS).await;
            }
            Some(Event::MarksRead { marks })
        }
        Effect::Direct {
            host,
            endpoint,
            seq,
            token,
            session,
            orders,
        } => {
            let commands = Commands {
                token,
                session,
                orders,
            };
            Some(direct(node, host, &endpoint, seq, &commands).await)
        }
        Effect::Rent {
            hire,
            machine_type,
            zone,
            spot,
            count,
        } => {
            let request = RentRequest {
                hire: hire.clone(),
                machine_type,
                zone,
                spot,
                count,
            };
            Some(rent(node, hire, &request).await)
        }
        Effect::Return { hosts } => {
            let request = ReturnRequest {
                hosts: hosts.clone(),
            };
            let body = serde_json::to_vec(&request).ok()?;
            Some(
                match cloud(node, Method::POST, "/rentals/return", Some(body)).await {
                    Ok((200, _)) => Event::Returned { hosts },
                    _ => Event::ReturnFailed { hosts },
                },
            )
        }
        Effect::StepDown { .. } => None,
    }
}

/// Reads a key, again and again while we lead.
async fn read_surely(node: &Node, authority: &Authority, key: &str) -> Option<Option<Item>> {
    loop {
        match node.state.get(key).await {
            Ok(item) => return Some(item),
            Err(_) if !authority.holds(node.now()) => return None,
            Err(_) => {
                let ms = 150 + rand::rng().random_range(0..150);
                tokio::time::sleep(Duration::from_millis(ms)).await;
            }
        }
    }
}

async fn direct(node: &Node, host: HostId, endpoint: &str, seq: u64, commands: &Commands) -> Event {
    let body = serde_json::to_vec(commands).unwrap_or_default();
    let deadline = Duration::from_millis(2500);
    let sent = node
        .workers
        .send(Method::POST, endpoint, "/commands", Some(body), deadline)
        .await;
    match sent {
        Ok(a) if a.status == 200 || a.status == 409 => {
            match serde_json::from_slice::<Report>(&a.body) {
                Ok(report) => Event::DirectAnswered {
                    host,
                    seq,
                    report: Box::new(report),
                },
                Err(_) => Event::DirectFailed {
                    host,
                    seq,
                    sent: true,
                },
            }
        }
        Ok(_) => Event::DirectFailed {
            host,
            seq,
            sent: true,
        },
        Err(e) => Event::DirectFailed {
            host,
            seq,
            sent: e != NoAnswer::NotSent,
        },
    }
}
