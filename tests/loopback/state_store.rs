//! A stand-in of the state store over its published protocol: keys, transactions, leases, watches.

use super::http::serve;
use super::store_data::{query_parameter, StoreData};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// How often a waiting watch looks for changes.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(20);

type Response = (u16, Value);

/// The store, shared by the threads of its connections.
#[derive(Default)]
struct StateStore {
    data: Mutex<StoreData>,
}

impl StateStore {
    fn lock(&self) -> MutexGuard<'_, StoreData> {
        self.data.lock().expect("no thread panics with the lock")
    }

    fn handle(&self, method: &str, path: &str, body: &Value) -> Response {
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

    /// Answers once something has changed, or when the time asked for is over.
    fn watch(&self, path: &str) -> Response {
        let number = |name| -> u64 {
            let value = query_parameter(path, name);
            value
                .and_then(|value| value.parse().ok())
                .expect("a number")
        };
        let prefix = query_parameter(path, "prefix").expect("a prefix");
        let since = number("since");
        let end = Instant::now() + Duration::from_millis(number("holdMs"));
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

/// Starts a state store with nothing in it.
pub fn start_state_store() -> SocketAddr {
    let store = StateStore::default();
    serve(Arc::new(move |method, path, body| {
        store.handle(method, path, body)
    }))
}
