//! The pooled HTTP client: every request has a deadline, and a failure says whether the request
//! can have reached the other side.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client as Pool;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::time::Duration;

/// The largest answer read; a watch has no size limit of its own, so ours is generous.
const MAX_ANSWER: usize = 8 * 1024 * 1024;

/// An answer.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub body: Bytes,
}

/// Why there is none.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoAnswer {
    /// No connection came about: the request was certainly not carried out, nor will be.
    NotSent,
    /// It may have been carried out, or may yet be.
    Unclear,
}

/// The client.
#[derive(Clone)]
pub struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// A client whose connections are given `connect` to come about.
    pub fn new(connect: Duration, idle_per_host: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(connect));
        connector.set_nodelay(true);
        let pool = Pool::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_secs(20))
            .pool_max_idle_per_host(idle_per_host)
            .retry_canceled_requests(true)
            .build(connector);
        Client { pool }
    }

    /// Sends one request to `host` (address and port) and reads the whole answer by the deadline.
    pub async fn send(
        &self,
        method: Method,
        host: &str,
        path: &str,
        body: Option<Vec<u8>>,
        deadline: Duration,
    ) -> Result<Answer, NoAnswer> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{host}{path}"));
        if body.is_some() {
            request = request.header("content-type", "application/json");
        }
        let request = request
            .body(Full::new(Bytes::from(body.unwrap_or_default())))
            .map_err(|_| NoAnswer::NotSent)?;
        let exchange = async {
            let answer = self.pool.request(request).await.map_err(|e| {
                if e.is_connect() {
                    NoAnswer::NotSent
                } else {
                    NoAnswer::Unclear
                }
            })?;
            let status = answer.status().as_u16();
            let body = Limited::new(answer.into_body(), MAX_ANSWER)
                .collect()
                .await
                .map_err(|_| NoAnswer::Unclear)?
                .to_bytes();
            Ok(Answer { status, body })
        };
        tokio::time::timeout(deadline, exchange)
            .await
            .unwrap_or(Err(NoAnswer::Unclear))
    }
}
