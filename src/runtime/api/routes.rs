//! The HTTP API: one place where users', workers' and health requests come in.

use crate::protocol::peers::{PeerReply, PeerRequest};
use crate::protocol::workers::{HeartbeatResponse, Redirect, WorkerStatus};
use crate::runtime::api::peers::STATE_FRESH;
use crate::runtime::api::users;
use crate::runtime::leader::Heartbeat;
use crate::runtime::Node;
use crate::transport::server::{self, ConnectionHandle, ConnectionTable, Rank};
use bytes::{Buf, BytesMut};
use futures_util::{Stream, TryStreamExt};
use serde::Serialize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use warp::http::{Method, Response, StatusCode};
use warp::path::FullPath;
use warp::Filter;

/// The limit for a request body.
const MAX_BODY: usize = 64 * 1024;
/// How long a client may take to send its body.
const BODY_TIME: Duration = Duration::from_secs(4);

/// An answer to be sent.
#[derive(Debug, Clone)]
pub struct Reply {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Reply {
    /// A JSON body.
    pub fn json<T: Serialize>(status: u16, body: &T) -> Reply {
        Reply {
            status,
            body: serde_json::to_vec(body).unwrap_or_default(),
        }
    }
    /// An error with a short reason.
    pub fn error(status: u16, reason: &str) -> Reply {
        Reply::json(status, &serde_json::json!({ "error": reason }))
    }
    /// Not now: come back.
    pub fn busy(reason: &str) -> Reply {
        Reply::error(503, reason)
    }
}

fn to_http(r: Reply) -> Response<Vec<u8>> {
    let mut out = Response::builder()
        .status(StatusCode::from_u16(r.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR))
        .header("content-type", "application/json");
    if r.status == 503 {
        out = out.header("retry-after", "1");
    }
    out.body(r.body).unwrap_or_default()
}

/// Serves until stopped.
pub async fn serve(node: Arc<Node>, listener: tokio::net::TcpListener) {
    let stop = node.stop.clone();
    let slots = Arc::new(ConnectionTable::new(node.sockets.front));
    let idle = idle_time(node.policy.facts.workers.report_s);
    let routes = warp::method()
        .and(warp::path::full())
        .and(warp::ext::optional::<ConnectionHandle>())
        .and(warp::body::stream())
        .then(
            move |method: Method, path: FullPath, slot: Option<ConnectionHandle>, body| {
                let node = node.clone();
                async move {
                    // Reports come first: when slots run out, users' connections make room.
                    if let Some(slot) = slot.filter(|_| path.as_str() == CHECK_IN) {
                        slot.rank(WORKER);
                    }
                    to_http(answer(&node, method, path.as_str(), body).await)
                }
            },
        );
    server::serve(listener, slots, idle, stop, warp::service(routes)).await;
}

/// Where workers report.
const CHECK_IN: &str = "/checkin";
/// What a worker's connection is worth; a user's has the lowest rank.
const WORKER: Rank = Rank(1);

/// After this without a request a connection is taken for dead: a machine without power never says
/// so. Workers report more often, and so do users who wait for something.
fn idle_time(report_s: f64) -> Duration {
    Duration::from_secs_f64((report_s * 6.0).clamp(30.0, 300.0))
}

/// Reads the body within its limits. Err: the status that says what is wrong.
async fn read_body<S, B>(body: S) -> Result<Vec<u8>, u16>
where
    S: Stream<Item = Result<B, warp::Error>>,
    B: Buf,
{
    let read = async {
        let mut out = BytesMut::new();
        let mut body = std::pin::pin!(body);
        while let Some(mut part) = body.try_next().await.map_err(|_| 400u16)? {
            while part.has_remaining() {
                let n = part.chunk().len();
                if out.len() + n > MAX_BODY {
                    return Err(413);
                }
                out.extend_from_slice(part.chunk());
                part.advance(n);
            }
        }
        Ok(out.to_vec())
    };
    tokio::time::timeout(BODY_TIME, read)
        .await
        .unwrap_or(Err(408))
}

async fn answer<S, B>(node: &Arc<Node>, method: Method, path: &str, body: S) -> Reply
where
    S: Stream<Item = Result<B, warp::Error>>,
    B: Buf,
{
    match (path, method.as_str()) {
        ("/healthz", "GET") => return health(node),
        ("/healthz" | CHECK_IN, m) if (path == "/healthz") || m != "POST" => {
            return Reply::error(405, "method not allowed");
        }
        _ => {}
    }
    let body = match read_body(body).await {
        Ok(b) => b,
        Err(status) => return Reply::error(status, "the body can't be taken"),
    };
    if path == CHECK_IN {
        return heartbeat(node, &body).await;
    }
    // Reports of workers come first: users' requests beyond what fits are told to come back.
    let Ok(_slot) = node.user_slots.try_acquire() else {
        return Reply::busy("too many requests at once");
    };
    user_request(node, method.as_str(), path, &body, false).await
}

async fn heartbeat(node: &Node, body: &[u8]) -> Reply {
    let report: WorkerStatus = match serde_json::from_slice(body) {
        Ok(r) => r,
        Err(e) => return Reply::error(400, &e.to_string()),
    };
    node.last_check_in.store(node.now().0, Ordering::Relaxed);
    let mut said = node.leader.heartbeat(node.now(), &report);
    if matches!(said, Heartbeat::TakingOver) {
        node.leader.taken_over().await;
        said = node.leader.heartbeat(node.now(), &report);
    }
    match said {
        Heartbeat::Commands { token, commands } => {
            Reply::json(200, &HeartbeatResponse { token, commands })
        }
        Heartbeat::TakingOver => Reply::json(421, &Redirect { leader: None }),
        Heartbeat::GoTo(leader) => Reply::json(
            421,
            &Redirect {
                leader: leader.as_deref(),
            },
        ),
    }
}

/// Routes a user's request; `passed_on` if a sibling sent it, so that it isn't passed on again.
pub async fn user_request(
    node: &Arc<Node>,
    method: &str,
    path: &str,
    body: &[u8],
    passed_on: bool,
) -> Reply {
    let Some(mut rest) = path.strip_prefix("/submissions") else {
        return Reply::error(404, "no such path");
    };
    if passed_on && rest == FORWARDED_CHAIN {
        rest = "";
    }
    let time = if method == "GET" {
        users::POLL
    } else {
        users::SUBMIT
    };
    let wanted = match rest {
        "" => "POST",
        r if !r.starts_with('/') => return Reply::error(404, "no such path"),
        r => match r[1..].split_once('/') {
            None => "GET",
            Some((_, "withdraw")) => "POST",
            Some(_) => return Reply::error(404, "no such path"),
        },
    };
    if method != wanted {
        return Reply::error(405, "method not allowed");
    }
    // Guards against users who wait while we find out, each time again, what we know already: that
    // the state service does not serve us.
    let lost = node.state.since_ok() >= STATE_FRESH;
    let named = rest.strip_prefix('/').map(|r| r.split_once('/'));
    // What is final can't change: known here, it is answered with the state service or without.
    let known = match named {
        None => false,
        Some(None) => users::known_final(node, &rest[1..]),
        Some(Some((id, _))) => users::known_final(node, id),
    };
    if !lost || known {
        let here = match named {
            None => tokio::time::timeout(time, users::submit(node, body))
                .await
                .unwrap_or_else(|_| Reply::busy("the state service answers too slowly")),
            Some(None) => users::poll(node, &rest[1..]).await,
            Some(Some((id, _))) => users::cancel(node, id).await,
        };
        if here.status != 503 || node.state.since_ok() < STATE_FRESH {
            return here;
        }
    }
    if passed_on {
        return Reply::busy("the state service can't be reached");
    }
    through_sibling(node, method, path, body, time).await
}

/// Added to the path of a forwarded submission that names producers. Guards against a sibling of the
/// version before chains, which would accept the job without its edges: to that one it is no path.
const FORWARDED_CHAIN: &str = "/chain/new";

/// A request that we can't serve because the state service refuses us goes through a sibling that it
/// serves; if we know of none, the user is told at once.
async fn through_sibling(
    node: &Node,
    method: &str,
    path: &str,
    body: &[u8],
    time: Duration,
) -> Reply {
    let chain = path == "/submissions" && users::names_producers(body);
    let suffix = if chain { FORWARDED_CHAIN } else { "" };
    let request = PeerRequest::Forward {
        method: method.into(),
        path: format!("{path}{suffix}"),
        body: body.to_vec(),
    };
    let served = node.siblings_heard();
    for (n, _) in served.into_iter().filter(|(_, ok)| *ok).take(2) {
        let answer = node.siblings[n].ask(&request, time / 2).await;
        if let Some(PeerReply::Answer { status, body }) = answer {
            let unknown_path = chain && status == 404;
            if status != 503 && !unknown_path {
                return Reply { status, body };
            }
        }
    }
    Reply::busy("the state service can't be reached")
}

/// Whether this controller can serve users, itself or through a sibling. In an outage common to
/// all it stays healthy: that isn't the node's fault, and nobody else would do better.
fn health(node: &Node) -> Reply {
    let ok = || Reply::json(200, &serde_json::json!({ "healthy": true }));
    if node.state.since_ok() < STATE_FRESH {
        return ok();
    }
    if !node.siblings_heard().is_empty() {
        return ok();
    }
    Reply::busy("neither the state service nor a sibling can be reached")
}
