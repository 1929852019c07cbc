//! The data of the fake state stores: keys, transactions and leases, as in the published protocol.

use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The maximum number of items in the response to a list request, and their maximum size.
const MAX_ITEMS: usize = 1_000;
const MAX_LIST_BYTES: usize = 512 * 1024;

/// The status and the body of a response.
type Response = (u16, Value);

/// A value with its key revision and the lease that it is attached to, if any.
struct Item {
    data: Value,
    revision: u64,
    lease: Option<u64>,
}

struct Lease {
    expires_at: Instant,
    duration: Duration,
}

/// The content of the store, its history of changes, and its leases.
#[derive(Default)]
pub struct StoreData {
    pub store_revision: u64,
    items: BTreeMap<String, Item>,
    changes: Vec<(u64, String)>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
}

impl StoreData {
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
        if self.items.remove(key).is_some() {
            self.changes.push((self.store_revision, key.into()));
        }
    }

    fn revision_of(&self, key: &str) -> u64 {
        self.items.get(key).map_or(0, |item| item.revision)
    }

    /// Ends the leases that have expired.
    pub fn expire_leases(&mut self, now: Instant) {
        let leases = self.leases.iter();
        let expired = leases.filter(|(_, lease)| lease.expires_at < now);
        let expired: Vec<u64> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            self.end_lease(id);
        }
    }

    /// Renews every lease to its full duration, at the end of an outage.
    #[allow(dead_code, reason = "not every fake store has outages")]
    pub fn renew_all_leases(&mut self, now: Instant) {
        for lease in self.leases.values_mut() {
            lease.expires_at = now + lease.duration;
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let items = self.items.iter();
        let attached = items.filter(|(_, item)| item.lease == Some(id));
        let keys: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.store_revision += 1;
            self.delete(&key);
        }
    }

    fn grant_lease(&mut self, body: &Value) -> Response {
        let duration = Duration::from_millis(body["lifeMs"].as_u64().expect("a lease duration"));
        self.last_lease += 1;
        let lease = Lease {
            expires_at: Instant::now() + duration,
            duration,
        };
        self.leases.insert(self.last_lease, lease);
        (200, json!({"hold": self.last_lease}))
    }

    /// Handles a request that grants, renews or ends a lease.
    pub fn handle_lease_request(&mut self, method: &str, rest: &str, body: &Value) -> Response {
        if rest.is_empty() {
            return self.grant_lease(body);
        }
        let id = rest.trim_start_matches('/').split('/').next();
        let id: u64 = id
            .and_then(|id| id.parse().ok())
            .expect("the path has a lease id");
        if method == "DELETE" {
            self.end_lease(id);
            return (200, json!({}));
        }
        match self.leases.get_mut(&id) {
            Some(lease) => {
                lease.expires_at = Instant::now() + lease.duration;
                (200, json!({}))
            }
            None => (404, json!({})),
        }
    }

    /// Applies a transaction if all of its preconditions hold and none of its leases has ended.
    pub fn handle_transaction(&mut self, body: &Value) -> Response {
        let empty = Vec::new();
        let preconditions = body["guards"].as_array().unwrap_or(&empty).iter();
        let holds = |p: &&Value| Some(self.revision_of(text(&p["key"]))) == p["stamp"].as_u64();
        let failed: Vec<Value> = preconditions
            .filter(|p| !holds(p))
            .map(|p| p["key"].clone())
            .collect();
        let changes = body["apply"].as_array().unwrap_or(&empty);
        let lease_of = |change: &Value| change["hold"].as_u64();
        let has_ended = |lease: u64| !self.leases.contains_key(&lease);
        if changes.iter().filter_map(lease_of).any(has_ended) {
            return (400, json!({"error": "no such lease"}));
        }
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "epoch": self.store_revision}));
        }
        if !changes.is_empty() {
            self.store_revision += 1;
        }
        for change in changes {
            match change["put"].as_str() {
                Some(key) => self.put(key, change["data"].clone(), lease_of(change)),
                None => self.delete(text(&change["delete"])),
            }
        }
        (200, json!({"epoch": self.store_revision}))
    }

    /// Handles a read of one key.
    pub fn get(&self, key: &str) -> Response {
        match self.items.get(key) {
            Some(item) => (
                200,
                json!({"key": key, "data": item.data, "stamp": item.revision, "hold": item.lease}),
            ),
            None => (404, json!({"epoch": self.store_revision})),
        }
    }

    /// Handles a request that lists the keys with a prefix, in order.
    pub fn list(&self, path: &str) -> Response {
        let prefix = query_parameter(path, "prefix").expect("the path has a prefix");
        let since = query_parameter(path, "since").unwrap_or_default();
        let limit = query_parameter(path, "most").and_then(|limit| limit.parse().ok());
        let limit = limit.unwrap_or(MAX_ITEMS).min(MAX_ITEMS);
        let items = self.items.iter();
        let matching = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > since);
        let mut pairs: Vec<Value> = matching
            .take(limit + 1)
            .map(|(key, item)| json!({"key": key, "data": item.data, "stamp": item.revision}))
            .collect();
        let mut bytes = 0;
        let fitting = pairs.iter().take_while(|pair| {
            bytes += pair.to_string().len();
            bytes <= MAX_LIST_BYTES
        });
        let fitting = fitting.count().min(limit);
        let has_next = pairs.len() > fitting;
        pairs.truncate(fitting);
        (
            200,
            json!({"pairs": pairs, "hasNext": has_next, "epoch": self.store_revision}),
        )
    }

    /// Returns the changes of keys with the prefix after the store revision `since`, each with the key's current value.
    pub fn changes_since(&self, since: u64, prefix: &str) -> Vec<Value> {
        let first = self.changes.partition_point(|(at, _)| *at <= since);
        let changes = self.changes[first..].iter();
        let matching = changes.filter(|(_, key)| key.starts_with(prefix));
        matching
            .map(|(at, key)| match self.items.get(key) {
                Some(item) => json!({"put": key, "data": item.data, "stamp": item.revision}),
                None => json!({"delete": key, "stamp": at}),
            })
            .collect()
    }
}

fn text(value: &Value) -> &str {
    value.as_str().expect("the value is a string")
}

/// Returns the named parameter from the query of a path.
pub fn query_parameter<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = path.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}
