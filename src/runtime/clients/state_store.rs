//! Typed calls to the state service. Every failure says whether the request can have been executed.

use crate::ids::{LeaseId, StoreRevision};
use crate::protocol::state::{
    AtRevision, Conflict, Granted, KeyValue, KeyValuePage, Transaction, WatchResponse,
};
use crate::time::TimeSpan;
use crate::transport::client::{Answer, Client, NoAnswer};
use hyper::Method;
use serde::de::DeserializeOwned;
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::Duration;

/// Why a call brought no result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StateError {
    /// Certainly not executed, nor will be.
    Refused,
    /// The same, for there are too many requests or changes.
    Limited,
    /// Not executed, nor would it be if it were sent again.
    Rejected,
    /// May have been executed, or may yet be.
    Unclear,
    /// A watch began too far back.
    TooOld,
    /// The lease is over.
    NoLease,
}

/// The outcome of a transaction that was answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TxnOutcome {
    Applied(StoreRevision),
    /// Guards failed, these at least.
    Conflict(Vec<String>),
}

/// Time allowed for one ordinary call. Answers usually take milliseconds.
pub const CALL: Duration = Duration::from_millis(900);

/// Connections kept open between calls.
const KEPT_OPEN: usize = 8;

/// The client.
pub struct StateClient {
    http: Client,
    addr: String,
    began: std::time::Instant,
    last_ok_ms: AtomicI64,
}

impl StateClient {
    /// A client for the service at the address, with at most so many sockets.
    pub fn new(addr: String, sockets: usize) -> Self {
        StateClient {
            http: Client::new(Duration::from_millis(600), sockets.min(KEPT_OPEN)),
            addr,
            began: std::time::Instant::now(),
            last_ok_ms: AtomicI64::new(-1_000_000),
        }
    }

    /// How long ago the service last served us.
    pub fn since_ok(&self) -> Duration {
        let now = self.began.elapsed().as_millis() as i64;
        Duration::from_millis((now - self.last_ok_ms.load(Ordering::Relaxed)).max(0) as u64)
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        deadline: Duration,
    ) -> Result<Answer, StateError> {
        let read_only = method == Method::GET;
        match self
            .http
            .send(method, &self.addr, path, body, deadline)
            .await
        {
            Ok(a) if a.status == 503 => Err(StateError::Refused),
            Ok(a) if a.status == 429 => {
                tracing::info!(path, "the state service limits our rate");
                Err(StateError::Limited)
            }
            Ok(a) => {
                let now = self.began.elapsed().as_millis() as i64;
                self.last_ok_ms.store(now, Ordering::Relaxed);
                Ok(a)
            }
            Err(NoAnswer::NotSent) => Err(StateError::Refused),
            Err(NoAnswer::Unclear) if read_only => Err(StateError::Refused),
            Err(NoAnswer::Unclear) => Err(StateError::Unclear),
        }
    }

    fn read<T: DeserializeOwned>(a: &Answer) -> Result<T, StateError> {
        serde_json::from_slice(&a.body).map_err(|e| {
            tracing::error!(status = a.status, error = %e, "an answer of the state service can't be read");
            StateError::Unclear
        })
    }

    /// One key; None if it is absent. Linearizable.
    pub async fn get(&self, key: &str) -> Result<Option<KeyValue>, StateError> {
        let a = self
            .call(Method::GET, &format!("/store/{key}"), None, CALL)
            .await?;
        match a.status {
            200 => Self::read(&a).map(Some),
            404 => Ok(None),
            _ => Err(StateError::Refused),
        }
    }

    /// All keys with the prefix, and the epoch before which every change is included. Later
    /// changes may be too: take changes from that epoch on, they are the same again.
    pub async fn list(&self, prefix: &str) -> Result<(Vec<KeyValue>, StoreRevision), StateError> {
        let mut items: Vec<KeyValue> = Vec::new();
        let mut first = None;
        loop {
            let since = items
                .last()
                .map_or(String::new(), |i| format!("&since={}", i.key));
            let path = format!("/store?prefix={prefix}{since}&most=1000");
            let a = self
                .call(Method::GET, &path, None, Duration::from_millis(2500))
                .await?;
            if a.status != 200 {
                return Err(StateError::Refused);
            }
            let page: KeyValuePage = Self::read(&a)?;
            let store_revision = *first.get_or_insert(page.store_revision);
            let more = page.more && !page.pairs.is_empty();
            items.extend(page.pairs);
            if !more {
                return Ok((items, store_revision));
            }
        }
    }

    /// All or nothing.
    pub async fn transaction(&self, transaction: &Transaction) -> Result<TxnOutcome, StateError> {
        let body = serde_json::to_vec(transaction).map_err(|_| StateError::Refused)?;
        let a = self.call(Method::POST, "/multi", Some(body), CALL).await?;
        match a.status {
            200 => Ok(TxnOutcome::Applied(
                Self::read::<AtRevision>(&a)?.store_revision,
            )),
            409 => {
                let conflict: Option<Conflict> = serde_json::from_slice(&a.body).ok();
                Ok(TxnOutcome::Conflict(
                    conflict.map(|c| c.failed).unwrap_or_default(),
                ))
            }
            400 => {
                let text = String::from_utf8_lossy(&a.body);
                if text.contains("no such lease") {
                    return Err(StateError::NoLease);
                }
                tracing::error!(answer = %text, "the state service calls a transaction malformed");
                Err(StateError::Rejected)
            }
            _ => Err(StateError::Unclear),
        }
    }

    /// A new lease.
    pub async fn grant(&self, life_ms: u64) -> Result<LeaseId, StateError> {
        let body = format!("{{\"lifeMs\":{life_ms}}}").into_bytes();
        let a = self.call(Method::POST, "/grants", Some(body), CALL).await?;
        if a.status != 200 {
            return Err(StateError::Unclear);
        }
        Ok(Self::read::<Granted>(&a)?.lease)
    }

    /// Renews a lease.
    pub async fn touch(&self, lease: LeaseId, deadline: Duration) -> Result<(), StateError> {
        let path = format!("/grants/{lease}/touch");
        let a = self
            .call(Method::POST, &path, Some(b"{}".to_vec()), deadline)
            .await?;
        match a.status {
            200 => Ok(()),
            404 => Err(StateError::NoLease),
            _ => Err(StateError::Unclear),
        }
    }

    /// Ends a lease.
    pub async fn revoke(&self, lease: LeaseId) {
        let path = format!("/grants/{lease}");
        let _ = self.call(Method::DELETE, &path, None, CALL).await;
    }

    /// Changes under the prefix after the epoch, as they stand now.
    pub async fn changes(
        &self,
        prefix: &str,
        since: StoreRevision,
    ) -> Result<WatchResponse, StateError> {
        let patience = TimeSpan(2000);
        self.watch(prefix, since, TimeSpan::ZERO, patience).await
    }

    /// Waits for changes under the prefix after the epoch; the answer may take so much longer.
    pub async fn watch(
        &self,
        prefix: &str,
        since: StoreRevision,
        hold: TimeSpan,
        patience: TimeSpan,
    ) -> Result<WatchResponse, StateError> {
        let path = format!("/watch?prefix={prefix}&since={since}&holdMs={}", hold.0);
        let deadline = Duration::from_millis((hold + patience).0 as u64);
        let a = self.call(Method::GET, &path, None, deadline).await?;
        match a.status {
            200 => Self::read(&a),
            410 => Err(StateError::TooOld),
            _ => Err(StateError::Refused),
        }
    }
}
