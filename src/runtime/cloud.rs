//! Calls to the cloud: the machine list, rentals and returns.

use super::Node;
use crate::coordination::Event;
use crate::protocol::cloud::{CloudHost, HostPage, RentReply, RentRequest};
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
pub(super) async fn list_hosts(node: Arc<Node>, end: CancellationToken) {
    while !end.is_cancelled() {
        let asked = node.now();
        let mut listed = 0;
        if let Some(hosts) = whole_list(&node).await {
            listed = hosts.len();
            node.leader.event(node.now(), Event::Hosts { asked, hosts });
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

async fn whole_list(node: &Node) -> Option<Vec<CloudHost>> {
    let mut hosts: Vec<CloudHost> = Vec::new();
    loop {
        let since = hosts
            .last()
            .map_or(String::new(), |h| format!("since={}&", h.id));
        let path = format!("/rentals?{since}most={LIST_PAGE}");
        let a = cloud(node, Method::GET, &path, None).await.ok()?;
        if a.0 != 200 {
            return None;
        }
        let page: HostPage = serde_json::from_slice(&a.1).ok()?;
        let more = page.more && !page.hosts.is_empty();
        hosts.extend(page.hosts);
        if !more {
            return Some(hosts);
        }
    }
}

pub(super) async fn rent(node: &Node, hire: String, request: &RentRequest) -> Event {
    let body = serde_json::to_vec(request).unwrap_or_default();
    match cloud(node, Method::POST, "/rentals", Some(body)).await {
        Ok((200, body)) => match serde_json::from_slice::<RentReply>(&body) {
            Ok(r) => Event::Rented {
                hire,
                hosts: Some(r.hosts),
            },
            Err(_) => Event::RentUnclear { hire },
        },
        Ok((503, body)) if String::from_utf8_lossy(&body).contains("no capacity") => {
            Event::Rented { hire, hosts: None }
        }
        _ => Event::RentUnclear { hire },
    }
}

pub(super) async fn cloud(
    node: &Node,
    method: Method,
    path: &str,
    body: Option<Vec<u8>>,
) -> Result<(u16, bytes::Bytes), NoAnswer> {
    let host = node.settings.platform.endpoints.cloud.to_string();
    let deadline = Duration::from_secs(4);
    let a = node.cloud.send(method, &host, path, body, deadline).await?;
    Ok((a.status, a.body))
}
