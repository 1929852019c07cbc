//! A stand-in of the state store over its published protocol: keys, transactions, leases, watches.

use super::http::{query, serve};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// How often a waiting watch looks for changes.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(20);

type Response = (u16, Value);

/// A value with its key revision, and the lease that it goes with.
struct Item {
    data: Value,
    revision: u64,
    lease: Option<u64>,
}

struct Lease {
    expires_at: Instant,
    life: Duration,
}

/// All that the store keeps.
#[derive(Default)]
struct Data {
    store_revision: u64,
    items: BTreeMap<String, Item>,
    changes: Vec<(u64, String)>,
    leases: BTreeMap<u64, Lease>,
}

impl Data {
    fn put(&mut self, key: &str, data: Value, lease: Option<u64>) {
        let revision = self.store_revision;
        self.changes.push((revision, key.into()));
        let item = Item {
            data,
            revision,
            lease,
        };
        self.items.insert(key.into(), item);
    }

    fn delete(&mut self, key: &str) {
        self.changes.push((self.store_revision, key.into()));
        self.items.remove(key);
    }

    fn revision_of(&self, key: &str) -> u64 {
        self.items.get(key).map_or(0, |item| item.revision)
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        let leases = self.leases.iter();
        let expired: Vec<u64> = leases
            .filter(|(_, lease)| lease.expires_at < now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let items = self.items.iter();
        let keys: Vec<String> = items
            .filter(|(_, item)| item.lease == Some(id))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.store_revision += 1;
            self.delete(&key);
        }
    }

    /// What changed after that revision, as the watch tells it.
    fn changes_since(&self, since: u64, prefix: &str) -> Vec<Value> {
        let changes = self.changes.iter();
        changes
            .filter(|(revision, key)| *revision > since && key.starts_with(prefix))
            .map(|(revision, key)| match self.items.get(key) {
                Some(item) => json!({"put": key, "data": item.data, "stamp": item.revision}),
                None => json!({"delete": key, "stamp": revision}),
            })
            .collect()
    }

    fn handle_lease(&mut self, method: &str, rest: &str, body: &Value) -> Response {
        if method == "POST" && rest.is_empty() {
            return self.grant_lease(body);
        }
        let id = rest.trim_start_matches('/').split('/').next();
        let id: u64 = id.and_then(|id| id.parse().ok()).expect("a lease's id");
        if method == "DELETE" {
            self.end_lease(id);
            return (200, json!({}));
        }
        match self.leases.get_mut(&id) {
            Some(lease) => {
                lease.expires_at = Instant::now() + lease.life;
                (200, json!({}))
            }
            None => (404, json!({})),
        }
    }

    fn grant_lease(&mut self, body: &Value) -> Response {
        let life = Duration::from_millis(body["lifeMs"].as_u64().expect("a life"));
        let id = self.store_revision * 1000 + self.leases.len() as u64 + 1;
        let lease = Lease {
            expires_at: Instant::now() + life,
            life,
        };
        self.leases.insert(id, lease);
        (200, json!({"hold": id}))
    }

    fn handle_transaction(&mut self, body: &Value) -> Response {
        let preconditions = body["guards"].as_array().expect("preconditions").iter();
        let failed: Vec<&Value> = preconditions
            .filter(|p| {
                self.revision_of(text(&p["key"])) != p["stamp"].as_u64().expect("a revision")
            })
            .map(|p| &p["key"])
            .collect();
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "epoch": self.store_revision}));
        }
        self.store_revision += 1;
        for change in body["apply"].as_array().expect("changes") {
            let Some(key) = change["put"].as_str() else {
                self.delete(text(&change["delete"]));
                continue;
            };
            let lease = change["hold"].as_u64();
            if lease.is_some_and(|id| !self.leases.contains_key(&id)) {
                return (400, json!({"error": "no such lease"}));
            }
            self.put(key, change["data"].clone(), lease);
        }
        (200, json!({"epoch": self.store_revision}))
    }

    fn get(&self, key: &str) -> Response {
        match self.items.get(key) {
            Some(item) => (
                200,
                json!({"key": key, "data": item.data, "stamp": item.revision, "hold": item.lease}),
            ),
            None => (404, json!({"epoch": self.store_revision})),
        }
    }

    fn list(&self, path: &str) -> Response {
        let prefix = query(path, "prefix").expect("a prefix");
        let since = query(path, "since").unwrap_or_default();
        let items = self.items.iter();
        let pairs: Vec<Value> = items
            .filter(|(key, _)| key.starts_with(&prefix) && **key > since)
            .map(|(key, item)| json!({"key": key, "data": item.data, "stamp": item.revision}))
            .collect();
        (
            200,
            json!({"pairs": pairs, "hasNext": false, "epoch": self.store_revision}),
        )
    }
}

fn text(value: &Value) -> &str {
    value.as_str().expect("a text")
}

/// The store, shared by the threads of its connections.
#[derive(Default)]
struct StateStore {
    data: Mutex<Data>,
}

impl StateStore {
    fn lock(&self) -> MutexGuard<'_, Data> {
        self.data.lock().expect("no thread panics with the lock")
    }

    fn handle(&self, method: &str, path: &str, body: &Value) -> Response {
        if path.starts_with("/watch") {
            return self.watch(path);
        }
        let mut data = self.lock();
        data.expire_leases();
        if let Some(rest) = path.strip_prefix("/grants") {
            data.handle_lease(method, rest, body)
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
            let value = query(path, name);
            value
                .and_then(|value| value.parse().ok())
                .expect("a number")
        };
        let prefix = query(path, "prefix").expect("a prefix");
        let since = number("since");
        let end = Instant::now() + Duration::from_millis(number("holdMs"));
        loop {
            let data = self.lock();
            let changes = data.changes_since(since, &prefix);
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
