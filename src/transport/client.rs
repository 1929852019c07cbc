//! A pooled HTTP client. Every request has a timeout, and an error states whether the request may have been executed.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client as Pool;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::time::Duration;

/// Maximum size of a response body, in bytes. The state store doesn't limit the size of a watch response, so this
/// limit is large.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// An HTTP response.
#[derive(Debug)]
pub struct HttpResponse {
    /// The HTTP status.
    pub status: u16,
    /// The complete body.
    pub body: Bytes,
}

/// Why a request got no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// No connection was established: the request was not executed and never will be.
    #[error("the request was not sent")]
    NotSent,
    /// The request may have been executed, or may still be.
    #[error("the request got no response")]
    OutcomeUnknown,
}

/// A pooled HTTP client; clones share the connection pool.
#[derive(Clone)]
pub struct HttpClient {
    pool: Pool<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// Creates a client that allows `connect_timeout` to establish a connection and keeps at most
    /// `max_idle_per_host` idle connections to each host.
    pub fn new(connect_timeout: Duration, max_idle_per_host: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(connect_timeout));
        connector.set_nodelay(true);
        let pool = Pool::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(max_idle_per_host)
            .retry_canceled_requests(true)
            .build(connector);
        HttpClient { pool }
    }

    /// Sends a request to `host` (address and port) and reads the complete response within `timeout`.
    pub async fn send(
        &self,
        method: Method,
        host: &str,
        path: &str,
        body: Option<Vec<u8>>,
        timeout: Duration,
    ) -> Result<HttpResponse, RequestError> {
        let request = build_request(method, host, path, body)?;
        tokio::time::timeout(timeout, self.exchange(request))
            .await
            .unwrap_or(Err(RequestError::OutcomeUnknown))
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<HttpResponse, RequestError> {
        let response = self.pool.request(request).await.map_err(|error| {
            if error.is_connect() {
                RequestError::NotSent
            } else {
                RequestError::OutcomeUnknown
            }
        })?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
            .collect()
            .await
            .map_err(|_| RequestError::OutcomeUnknown)?
            .to_bytes();
        Ok(HttpResponse { status, body })
    }
}

fn build_request(
    method: Method,
    host: &str,
    path: &str,
    body: Option<Vec<u8>>,
) -> Result<Request<Full<Bytes>>, RequestError> {
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{host}{path}"));
    if body.is_some() {
        request = request.header("content-type", "application/json");
    }
    request
        .body(Full::new(Bytes::from(body.unwrap_or_default())))
        .map_err(|_| RequestError::NotSent)
}
