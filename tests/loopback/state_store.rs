//! A fake state store that speaks the published protocol: keys, transactions, leases and watches.

use super::http::serve;
use super::request_limit::RequestLimit;
use super::store_data::{query_parameter, StoreData};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// How often an open watch request checks for changes.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(20);

type Response = (u16, Value);

/// The store, shared by the threads that serve its connections.
#[derive(Default)]
pub struct StateStore {
    data: Mutex<StoreData>,
    /// None if requests are not limited.
    limit: Mutex<Option<RequestLimit>>,
}

impl StateStore {
    fn lock(&self) -> MutexGuard<'_, StoreData> {
        self.data.lock().expect("the lock is not poisoned")
    }

    /// Refuses requests above this rate with status 429 from now on.
    pub fn limit_requests(&self, requests_per_sec: f64) {
        let mut limit = self.limit.lock().expect("the lock is not poisoned");
        *limit = Some(RequestLimit::new(requests_per_sec));
    }

    fn exceeds_limit(&self) -> bool {
        let mut limit = self.limit.lock().expect("the lock is not poisoned");
        limit.as_mut().is_some_and(|limit| !limit.try_take())
    }

    fn handle(&self, method: &str, path: &str, body: &Value) -> Response {
        if self.exceeds_limit() {
            return (429, json!({"error": "too many requests"}));
        }
        if path.starts_with("/watch") {
            return self.watch(path);
        }
        let mut data = self.lock();
        data.expire_leases(Instant::now());
        if let Some(rest) = path.strip_prefix("/grants") {
            data.handle_lease_request(method, rest, body)
        } else if path == "/multi" {
            data.handle_transaction(body)
        } else if let Some(key) = path.strip_prefix("/store/") {
            data.get(key)
        } else {
            data.list(path)
        }
    }

    /// Responds once a key with the prefix has changed, or when the request's wait time has passed.
    fn watch(&self, path: &str) -> Response {
        let number_parameter = |name| -> u64 {
            let value = query_parameter(path, name);
            value
                .and_then(|value| value.parse().ok())
                .expect("the parameter is a number")
        };
        let prefix = query_parameter(path, "prefix").expect("the path has a prefix");
        let since = number_parameter("since");
        let end = Instant::now() + Duration::from_millis(number_parameter("holdMs"));
        loop {
            let data = self.lock();
            let changes = data.changes_since(since, prefix);
            if !changes.is_empty() || Instant::now() > end {
                return (200, json!({"epoch": data.store_revision, "news": changes}));
            }
            drop(data);
            std::thread::sleep(WATCH_POLL_INTERVAL);
        }
    }
}

/// Starts an empty state store. Returns it and its address.
pub fn start_state_store() -> (Arc<StateStore>, SocketAddr) {
    let store = Arc::new(StateStore::default());
    let served = store.clone();
    let addr = serve(Arc::new(move |method, path, body| {
        served.handle(method, path, body)
    }));
    (store, addr)
}
