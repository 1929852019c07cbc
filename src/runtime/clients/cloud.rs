//! Calls to the cloud: the machine list, rentals and returns.

use crate::coordination::{Event, ScaleOutAnswer};
use crate::ids::IdempotencyKey;
use crate::protocol::cloud::{ListedMachine, MachineListPage, RentReply, RentRequest};
use crate::runtime::Node;
use crate::transport::client::NoAnswer;
use hyper::Method;
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// Machines on a page of the list, the most that the protocol allows.
const LIST_PAGE: usize = 500;
/// The part of the cloud's rate that reading the list may use.
const LIST_SHARE: f64 = 0.25;

/// Reads the cloud's machine list over and over.
pub(in crate::runtime) async fn list_hosts(node: Arc<Node>, end: CancellationToken) {
    while !end.is_cancelled() {
        let asked = node.now();
        let mut listed = 0;
        if let Some(machines) = whole_list(&node).await {
            listed = machines.len();
            node.leader
                .event(node.now(), Event::MachinesListed { asked, machines });
        }
        // Rentals and returns come first: a list of many pages is read less often.
        let pages = (listed / LIST_PAGE + 1) as f64;
        let least_s = pages / (node.policy.facts.cloud.rps * LIST_SHARE);
        let pause = Duration::from_secs_f64(least_s.clamp(3.0, 30.0));
        let pause = pause + Duration::from_millis(rand::rng().random_range(0..500));
        tokio::select! {
            _ = end.cancelled() => return,
            _ = tokio::time::sleep(pause) => {}
        }
    }
}

async fn whole_list(node: &Node) -> Option<Vec<ListedMachine>> {
    let mut machines: Vec<ListedMachine> = Vec::new();
    loop {
        let since = machines
            .last()
            .map_or(String::new(), |h| format!("since={}&", h.id));
        let path = format!("/rentals?{since}most={LIST_PAGE}");
        let a = cloud(node, Method::GET, &path, None).await.ok()?;
        if a.0 != 200 {
            return None;
        }
        let page: MachineListPage = serde_json::from_slice(&a.1).ok()?;
        let more = page.more && !page.machines.is_empty();
        machines.extend(page.machines);
        if !more {
            return Some(machines);
        }
    }
}

pub(in crate::runtime) async fn rent(
    node: &Node,
    idempotency_key: IdempotencyKey,
    request: &RentRequest,
) -> Event {
    let body = serde_json::to_vec(request).unwrap_or_default();
    match cloud(node, Method::POST, "/rentals", Some(body)).await {
        Ok((200, body)) => match serde_json::from_slice::<RentReply>(&body) {
            Ok(r) => Event::ScaleOutAnswered {
                idempotency_key,
                answer: ScaleOutAnswer::Granted(r.machine_ids),
            },
            Err(_) => Event::ScaleOutUnclear { idempotency_key },
        },
        Ok((503, body)) if String::from_utf8_lossy(&body).contains("no capacity") => {
            Event::ScaleOutAnswered {
                idempotency_key,
                answer: ScaleOutAnswer::NoCapacity,
            }
        }
        _ => Event::ScaleOutUnclear { idempotency_key },
    }
}

pub(in crate::runtime) async fn cloud(
    node: &Node,
    method: Method,
    path: &str,
    body: Option<Vec<u8>>,
) -> Result<(u16, bytes::Bytes), NoAnswer> {
    let machine_id = node.settings.platform.endpoints.cloud.to_string();
    let deadline = Duration::from_secs(4);
    let a = node
        .cloud
        .send(method, &machine_id, path, body, deadline)
        .await?;
    Ok((a.status, a.body))
}
