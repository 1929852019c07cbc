//! The client of the state store (a consensus-backed key-value store).
//!
//! Every error states whether the request may have been executed. Requests are not retried here, apart from those of
//! listings that the state store refuses for its rate limit.

use super::read_pacer::{ReadPacer, RetryBackoff};
use crate::ids::{LeaseId, StoreRevision};
use crate::protocol::state::{
    KeyValue, KeyValuePage, LeaseGranted, Transaction, TransactionApplied, TransactionConflict,
    WatchResponse,
};
use crate::time::TimeSpan;
use crate::transport::client::{HttpClient, HttpResponse, RequestError};
use hyper::Method;
use serde::de::DeserializeOwned;
use std::future::Future;
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::Duration;

/// Why a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum StateStoreError {
    /// The request was not executed and will not be.
    #[error("the request was not executed")]
    NotExecuted,
    /// The request was not executed because the rate limit on requests or changes is exceeded.
    #[error("the state store's rate limit is exceeded")]
    RateLimited,
    /// The request was not executed, and would be rejected again if repeated.
    #[error("the state store rejected the request as invalid")]
    Invalid,
    /// The request may have been executed, or may still be.
    #[error("the outcome of the request is unknown")]
    OutcomeUnknown,
    /// The start revision of a watch is compacted: the store no longer keeps the changes after it.
    #[error("the revision is compacted")]
    RevisionCompacted,
    /// The lease has expired or was revoked.
    #[error("the lease has expired")]
    LeaseExpired,
}

/// The outcome of a transaction, as the state store reported it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[must_use = "a conflict means that nothing was written"]
pub enum TransactionOutcome {
    /// All changes were applied, at this store revision.
    Applied(StoreRevision),
    /// Nothing was written, because preconditions on at least these keys failed.
    Conflict(Vec<String>),
}

/// The timeout of most calls. Responses usually take milliseconds.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// The timeout for one page of a listing.
const LIST_PAGE_TIMEOUT: Duration = Duration::from_millis(2500);
/// The timeout of a watch request that does not wait for changes.
const CHANGES_TIMEOUT: TimeSpan = TimeSpan(2000);
/// The timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// The maximum number of keys in the response to a list request.
pub const MAX_LIST_ITEMS: usize = 1000;
/// How often the same request of a listing may be refused for the rate limit before the listing fails.
const MAX_REFUSALS: u32 = 8;
/// The maximum number of idle connections.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// The value of `last_success_ms` before the first success.
const NEVER_MS: i64 = -1_000_000;

/// The client of the state store's HTTP API. Records when the store last served a request, whatever the outcome.
pub struct StateStoreClient {
    http: HttpClient,
    address: String,
    read_pacer: ReadPacer,
    started: std::time::Instant,
    /// The time of the last response with a status other than 429 or 503, in milliseconds since `started`.
    last_success_ms: AtomicI64,
}

impl StateStoreClient {
    /// Creates a client for the store at `address`, with at most `max_sockets` idle connections. `read_pacer` paces the
    /// listings of more than one request.
    pub fn new(address: String, max_sockets: usize, read_pacer: ReadPacer) -> Self {
        StateStoreClient {
            http: HttpClient::new(CONNECT_TIMEOUT, max_sockets.min(MAX_IDLE_CONNECTIONS)),
            address,
            read_pacer,
            started: std::time::Instant::now(),
            last_success_ms: AtomicI64::new(NEVER_MS),
        }
    }

    /// Returns the time since the store last served a request of this controller.
    pub fn time_since_success(&self) -> Duration {
        let last_success_ms = self.last_success_ms.load(Ordering::Relaxed);
        Duration::from_millis((self.elapsed_ms() - last_success_ms).max(0) as u64)
    }

    /// Reads one key; None if it is absent. Linearizable.
    pub async fn get(&self, key: &str) -> Result<Option<KeyValue>, StateStoreError> {
        let path = format!("/store/{key}");
        let response = self.call(Method::GET, &path, None, CALL_TIMEOUT).await?;
        match response.status {
            200 => parse_body(&response).map(Some),
            404 => Ok(None),
            _ => Err(StateStoreError::NotExecuted),
        }
    }

    /// Like [`Self::get`], but sent again if the state store refuses the request for its rate limit.
    pub async fn get_persistently(&self, key: &str) -> Result<Option<KeyValue>, StateStoreError> {
        retry_refused(|| self.get(key)).await
    }

    /// Lists all keys with the prefix, and returns with them the store revision of the first page. The list includes
    /// every change up to that revision and may include later ones, which a watch from that revision reports again.
    pub async fn list(
        &self,
        prefix: &str,
    ) -> Result<(Vec<KeyValue>, StoreRevision), StateStoreError> {
        let first = retry_refused(|| self.list_page(prefix, "", MAX_LIST_ITEMS)).await?;
        let store_revision = first.store_revision;
        let mut items = first.pairs;
        let mut has_more = first.has_more;
        while let Some(last) = items.last().filter(|_| has_more) {
            let page = self.list_some(prefix, &last.key, MAX_LIST_ITEMS).await?;
            has_more = page.has_more && !page.pairs.is_empty();
            items.extend(page.pairs);
        }
        Ok((items, store_revision))
    }

    /// Lists up to `limit` keys with the prefix that come after `since`, within the rate for reads of many requests.
    pub async fn list_some(
        &self,
        prefix: &str,
        since: &str,
        limit: usize,
    ) -> Result<KeyValuePage, StateStoreError> {
        self.read_pacer.wait().await;
        retry_refused(|| self.list_page(prefix, since, limit)).await
    }

    /// Waits until the next request of a read of many requests may be sent.
    pub async fn wait_for_read_budget(&self) {
        self.read_pacer.wait().await;
    }

    async fn list_page(
        &self,
        prefix: &str,
        since: &str,
        limit: usize,
    ) -> Result<KeyValuePage, StateStoreError> {
        let since = match since {
            "" => String::new(),
            key => format!("&since={key}"),
        };
        let path = format!("/store?prefix={prefix}{since}&most={limit}");
        let response = self
            .call(Method::GET, &path, None, LIST_PAGE_TIMEOUT)
            .await?;
        match response.status {
            200 => parse_body(&response),
            _ => Err(StateStoreError::NotExecuted),
        }
    }

    /// Executes a transaction: applies all of its changes if all preconditions hold, and none otherwise.
    pub async fn transaction(
        &self,
        transaction: &Transaction,
    ) -> Result<TransactionOutcome, StateStoreError> {
        let body = serde_json::to_vec(transaction).map_err(|_| StateStoreError::NotExecuted)?;
        let response = self
            .call(Method::POST, "/multi", Some(body), CALL_TIMEOUT)
            .await?;
        match response.status {
            200 => {
                let applied: TransactionApplied = parse_body(&response)?;
                Ok(TransactionOutcome::Applied(applied.store_revision))
            }
            409 => {
                let conflict: Option<TransactionConflict> =
                    serde_json::from_slice(&response.body).ok();
                let failed = conflict.map(|conflict| conflict.failed).unwrap_or_default();
                Ok(TransactionOutcome::Conflict(failed))
            }
            400 => Err(invalid_transaction(&response)),
            _ => Err(StateStoreError::OutcomeUnknown),
        }
    }

    /// Grants a lease that expires `ttl` after its last renewal.
    pub async fn grant_lease(&self, ttl: TimeSpan) -> Result<LeaseId, StateStoreError> {
        let body = format!("{{\"lifeMs\":{}}}", ttl.0).into_bytes();
        let response = self
            .call(Method::POST, "/grants", Some(body), CALL_TIMEOUT)
            .await?;
        if response.status != 200 {
            return Err(StateStoreError::OutcomeUnknown);
        }
        let granted: LeaseGranted = parse_body(&response)?;
        Ok(granted.lease)
    }

    /// Renews a lease.
    pub async fn renew_lease(
        &self,
        lease: LeaseId,
        timeout: Duration,
    ) -> Result<(), StateStoreError> {
        let path = format!("/grants/{lease}/touch");
        let body = Some(b"{}".to_vec());
        let response = self.call(Method::POST, &path, body, timeout).await?;
        match response.status {
            200 => Ok(()),
            404 => Err(StateStoreError::LeaseExpired),
            _ => Err(StateStoreError::OutcomeUnknown),
        }
    }

    /// Revokes a lease. A failure is ignored, since the lease then expires by itself.
    pub async fn revoke_lease(&self, lease: LeaseId) {
        let path = format!("/grants/{lease}");
        let _ = self.call(Method::DELETE, &path, None, CALL_TIMEOUT).await;
    }

    /// Returns the changes under the prefix after the revision, without waiting for any.
    pub async fn changes(
        &self,
        prefix: &str,
        since: StoreRevision,
    ) -> Result<WatchResponse, StateStoreError> {
        self.watch(prefix, since, TimeSpan::ZERO, CHANGES_TIMEOUT)
            .await
    }

    /// Returns the changes under the prefix after the revision, waiting up to `max_wait` for one. The request times out
    /// after `max_wait` plus `response_margin`.
    pub async fn watch(
        &self,
        prefix: &str,
        since: StoreRevision,
        max_wait: TimeSpan,
        response_margin: TimeSpan,
    ) -> Result<WatchResponse, StateStoreError> {
        let path = format!("/watch?prefix={prefix}&since={since}&holdMs={}", max_wait.0);
        let timeout = Duration::from_millis((max_wait + response_margin).0 as u64);
        let response = self.call(Method::GET, &path, None, timeout).await?;
        match response.status {
            200 => parse_body(&response),
            410 => Err(StateStoreError::RevisionCompacted),
            _ => Err(StateStoreError::NotExecuted),
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        timeout: Duration,
    ) -> Result<HttpResponse, StateStoreError> {
        let read_only = method == Method::GET;
        let response = self
            .http
            .send(method, &self.address, path, body, timeout)
            .await;
        match response {
            Ok(response) if response.status == 503 => Err(StateStoreError::NotExecuted),
            Ok(response) if response.status == 429 => {
                tracing::info!(path, "state store rate limit exceeded");
                Err(StateStoreError::RateLimited)
            }
            Ok(response) => {
                self.last_success_ms
                    .store(self.elapsed_ms(), Ordering::Relaxed);
                Ok(response)
            }
            Err(RequestError::NotSent) => Err(StateStoreError::NotExecuted),
            Err(RequestError::OutcomeUnknown) if read_only => Err(StateStoreError::NotExecuted),
            Err(RequestError::OutcomeUnknown) => Err(StateStoreError::OutcomeUnknown),
        }
    }

    fn elapsed_ms(&self) -> i64 {
        self.started.elapsed().as_millis() as i64
    }
}

/// Sends a request that may be repeated, with growing pauses while the state store refuses it for its rate limit.
///
/// Guards against a failover that never ends: the first refused request of a listing made it start again from the
/// beginning, at once, which used up the rate that it was waiting for.
async fn retry_refused<T, F>(request: impl Fn() -> F) -> Result<T, StateStoreError>
where
    F: Future<Output = Result<T, StateStoreError>>,
{
    let mut backoff = RetryBackoff::default();
    for _ in 0..MAX_REFUSALS {
        match request().await {
            Err(StateStoreError::RateLimited) => backoff.pause().await,
            outcome => return outcome,
        }
    }
    Err(StateStoreError::RateLimited)
}

/// Parses a response body. If it can't be parsed, the outcome of the request is unknown.
fn parse_body<T: DeserializeOwned>(response: &HttpResponse) -> Result<T, StateStoreError> {
    serde_json::from_slice(&response.body).map_err(|error| {
        tracing::error!(status = response.status, %error, "unreadable state store response");
        StateStoreError::OutcomeUnknown
    })
}

/// Returns the error for a transaction that the store rejected with status 400.
fn invalid_transaction(response: &HttpResponse) -> StateStoreError {
    let text = String::from_utf8_lossy(&response.body);
    if text.contains("no such lease") {
        return StateStoreError::LeaseExpired;
    }
    tracing::error!(response = %text, "state store refused a transaction as malformed");
    StateStoreError::Invalid
}
