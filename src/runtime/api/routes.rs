//! The HTTP server: connections, body limits and routing.

use super::error::{ApiError, BodyError};
use super::request::{Origin, UserRequest};
use super::response::ApiResponse;
use super::{health, users, workers};
use crate::runtime::Node;
use crate::transport::connection_table::{ConnectionHandle, ConnectionTable, Rank};
use crate::transport::server;
use bytes::{Buf, BytesMut};
use futures_util::{Stream, TryStreamExt};
use std::sync::Arc;
use std::time::Duration;
use warp::http::{Method, Response};
use warp::path::FullPath;
use warp::Filter;

/// The maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// The time in which a client has to send its body.
const BODY_TIMEOUT: Duration = Duration::from_secs(4);
/// The path of the health check, for load balancers and operators.
const HEALTH_PATH: &str = "/healthz";
/// The path to which workers send heartbeats.
const HEARTBEAT_PATH: &str = "/checkin";
/// The rank of a worker's connection; users' connections have the lowest rank and are closed first.
const WORKER_RANK: Rank = Rank(1);
/// The idle timeout of a connection, in heartbeat intervals; the bounds below apply.
const IDLE_HEARTBEATS: f64 = 6.0;
const MIN_IDLE_SECS: f64 = 30.0;
const MAX_IDLE_SECS: f64 = 300.0;

/// Serves HTTP requests until the controller stops.
pub async fn serve(node: Arc<Node>, listener: tokio::net::TcpListener) {
    let stop = node.stop.clone();
    let connections = Arc::new(ConnectionTable::new(node.sockets.http_connections));
    let idle = idle_timeout(node.policy.facts.workers.heartbeat_interval_s);
    let routes = warp::method()
        .and(warp::path::full())
        .and(warp::ext::optional::<ConnectionHandle>())
        .and(warp::body::stream())
        .then(move |method, path, connection, body| {
            respond(node.clone(), method, path, connection, body)
        });
    server::serve(listener, connections, idle, stop, warp::service(routes)).await;
}

/// Returns the time without a request after which a connection is closed as dead: a machine that lost power never
/// closes its connections. Workers, and users who poll, send requests more often than that.
fn idle_timeout(heartbeat_interval_secs: f64) -> Duration {
    let idle_secs = heartbeat_interval_secs * IDLE_HEARTBEATS;
    Duration::from_secs_f64(idle_secs.clamp(MIN_IDLE_SECS, MAX_IDLE_SECS))
}

async fn respond<S, B>(
    node: Arc<Node>,
    method: Method,
    path: FullPath,
    connection: Option<ConnectionHandle>,
    body: S,
) -> Response<Vec<u8>>
where
    S: Stream<Item = Result<B, warp::Error>>,
    B: Buf,
{
    // Heartbeats take precedence: when the connection table is full, users' connections are closed first.
    if let Some(connection) = connection.filter(|_| path.as_str() == HEARTBEAT_PATH) {
        connection.set_rank(WORKER_RANK);
    }
    let response = route(&node, method.as_str(), path.as_str(), body).await;
    ApiResponse::from(response).into_http()
}

async fn route<S, B>(
    node: &Arc<Node>,
    method: &str,
    path: &str,
    body: S,
) -> Result<ApiResponse, ApiError>
where
    S: Stream<Item = Result<B, warp::Error>>,
    B: Buf,
{
    match (path, method) {
        (HEALTH_PATH, "GET") => return health::check(node),
        (HEALTH_PATH, _) => return Err(ApiError::MethodNotAllowed),
        (HEARTBEAT_PATH, method) if method != "POST" => return Err(ApiError::MethodNotAllowed),
        _ => {}
    }
    let body = read_body(body).await?;
    if path == HEARTBEAT_PATH {
        return workers::heartbeat(node, &body).await;
    }
    // Heartbeats take precedence: only users' requests are limited, and those over the limit are rejected.
    let Ok(_slot) = node.user_request_slots.try_acquire() else {
        return Err(ApiError::TooManyRequests);
    };
    let request = UserRequest::parse(method, path, body, Origin::User)?;
    users::respond(node, request).await
}

/// Reads the body, within [`MAX_BODY_BYTES`] and [`BODY_TIMEOUT`].
async fn read_body<S, B>(body: S) -> Result<Vec<u8>, BodyError>
where
    S: Stream<Item = Result<B, warp::Error>>,
    B: Buf,
{
    let read = async {
        let mut bytes = BytesMut::new();
        let mut body = std::pin::pin!(body);
        while let Some(mut part) = body.try_next().await.map_err(|_| BodyError::Broken)? {
            while part.has_remaining() {
                let length = part.chunk().len();
                if bytes.len() + length > MAX_BODY_BYTES {
                    return Err(BodyError::TooLarge);
                }
                bytes.extend_from_slice(part.chunk());
                part.advance(length);
            }
        }
        Ok(bytes.to_vec())
    };
    tokio::time::timeout(BODY_TIMEOUT, read)
        .await
        .unwrap_or(Err(BodyError::Timeout))
}
