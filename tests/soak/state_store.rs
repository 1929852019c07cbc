//! A stand-in of the state store: keys, transactions, leases and watches over the published protocol, with the
//! faults that it may have. Each controller has a port of its own, by which it is known.

use super::faults::Link;
use super::http::{query, serve, StandInRequest, StandInResponse};
use super::links::{no_response, Delivery, Links};
use rand::Rng;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// How often leases are looked at, and waiting watches look for changes.
const TICK: Duration = Duration::from_millis(20);
/// Items in one response.
const MAX_ITEMS: usize = 1_000;
/// How much later a late transaction is carried out.
const LATE_MS: std::ops::Range<u64> = 800..5_000;

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
    last_lease: u64,
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
        if self.items.remove(key).is_some() {
            self.changes.push((self.store_revision, key.into()));
        }
    }

    fn revision_of(&self, key: &str) -> u64 {
        self.items.get(key).map_or(0, |item| item.revision)
    }

    fn expire_leases(&mut self, now: Instant) {
        let leases = self.leases.iter();
        let expired = leases.filter(|(_, lease)| lease.expires_at < now);
        let expired: Vec<u64> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            self.end_lease(id);
        }
    }

    /// An outage ends: every lease has its full time again.
    fn renew_all_leases(&mut self, now: Instant) {
        for lease in self.leases.values_mut() {
            lease.expires_at = now + lease.life;
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

    fn grant_lease(&mut self, body: &Value) -> StandInResponse {
        let life = Duration::from_millis(body["lifeMs"].as_u64().expect("a life"));
        self.last_lease += 1;
        let lease = Lease {
            expires_at: Instant::now() + life,
            life,
        };
        self.leases.insert(self.last_lease, lease);
        (200, json!({"hold": self.last_lease}))
    }

    fn handle_lease(&mut self, method: &str, rest: &str, body: &Value) -> StandInResponse {
        if rest.is_empty() {
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

    fn handle_transaction(&mut self, body: &Value) -> StandInResponse {
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

    fn get(&self, key: &str) -> StandInResponse {
        match self.items.get(key) {
            Some(item) => (
                200,
                json!({"key": key, "data": item.data, "stamp": item.revision, "hold": item.lease}),
            ),
            None => (404, json!({"epoch": self.store_revision})),
        }
    }

    fn list(&self, path: &str) -> StandInResponse {
        let prefix = query(path, "prefix").expect("a prefix");
        let since = query(path, "since").unwrap_or_default();
        let most = query(path, "most").and_then(|most| most.parse().ok());
        let most = most.unwrap_or(MAX_ITEMS).min(MAX_ITEMS);
        let items = self.items.iter();
        let matching = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > since);
        let mut pairs: Vec<Value> = matching
            .take(most + 1)
            .map(|(key, item)| json!({"key": key, "data": item.data, "stamp": item.revision}))
            .collect();
        let has_next = pairs.len() > most;
        pairs.truncate(most);
        (
            200,
            json!({"pairs": pairs, "hasNext": has_next, "epoch": self.store_revision}),
        )
    }

    /// What changed after that revision.
    fn changes_since(&self, since: u64, prefix: &str) -> Vec<Value> {
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
    value.as_str().expect("a text")
}

/// A share of transactions that is treated in some way until a moment.
#[derive(Clone, Copy)]
struct ShareUntil {
    share: f64,
    until: Instant,
}

impl ShareUntil {
    fn strikes(this: Option<ShareUntil>) -> bool {
        this.is_some_and(|f| Instant::now() < f.until && rand::rng().random_bool(f.share))
    }
}

#[derive(Default)]
struct StoreFaults {
    refused_until: BTreeMap<usize, Instant>,
    late: Option<ShareUntil>,
    unanswered: Option<ShareUntil>,
}

/// A transaction that is carried out later.
struct LateTransaction {
    due_at: Instant,
    request: StandInRequest,
}

/// The store, and what is wrong with it.
pub struct StateStore {
    data: Mutex<Data>,
    late_transactions: Mutex<Vec<LateTransaction>>,
    faults: Mutex<StoreFaults>,
    links: Arc<Links>,
    controllers: usize,
}

impl StateStore {
    pub fn new(controllers: usize, links: Arc<Links>) -> Arc<StateStore> {
        let store = Arc::new(StateStore {
            data: Mutex::default(),
            late_transactions: Mutex::default(),
            faults: Mutex::default(),
            links,
            controllers,
        });
        tokio::spawn(store.clone().run());
        store
    }

    /// A port for one controller.
    pub async fn port_for(self: &Arc<StateStore>, controller: usize) -> SocketAddr {
        let store = self.clone();
        serve(move |request| {
            let store = store.clone();
            async move { store.handle(controller, request).await }
        })
        .await
    }

    /// Refuses those controllers for that long.
    pub fn refuse(&self, controllers: &[usize], lasts: Duration) {
        let until = Instant::now() + lasts;
        let mut faults = self.faults.lock().expect("faults");
        for controller in controllers {
            faults.refused_until.insert(*controller, until);
        }
    }

    /// That share of transactions is carried out late, and gets no response.
    pub fn delay_transactions(&self, share: f64, lasts: Duration) {
        let until = Instant::now() + lasts;
        self.faults.lock().expect("faults").late = Some(ShareUntil { share, until });
    }

    /// That share of transactions gets no response.
    pub fn lose_transaction_responses(&self, share: f64, lasts: Duration) {
        let until = Instant::now() + lasts;
        self.faults.lock().expect("faults").unanswered = Some(ShareUntil { share, until });
    }

    /// Nothing is wrong with it any more.
    pub fn mend(&self) {
        *self.faults.lock().expect("faults") = StoreFaults::default();
    }

    fn lock(&self) -> MutexGuard<'_, Data> {
        self.data.lock().expect("the store's data")
    }

    fn refuses(&self, controller: usize) -> bool {
        let faults = self.faults.lock().expect("faults");
        let until = faults.refused_until.get(&controller);
        until.is_some_and(|until| Instant::now() < *until)
    }

    /// Carries out the late transactions that are due. The connections that they came on are long closed.
    fn carry_out_due(&self, now: Instant) {
        let mut waiting = self.late_transactions.lock().expect("late transactions");
        let (due, not_due) = waiting.drain(..).partition(|late| late.due_at <= now);
        *waiting = not_due;
        drop(waiting);
        let due: Vec<LateTransaction> = due;
        for late in due {
            self.carry_out(&late.request);
        }
    }

    /// In an outage no lease expires; when one controller alone is refused, its leases run out.
    async fn run(self: Arc<StateStore>) {
        loop {
            let now = Instant::now();
            if (0..self.controllers).all(|controller| self.refuses(controller)) {
                self.lock().renew_all_leases(now);
            } else {
                self.lock().expire_leases(now);
                self.carry_out_due(now);
            }
            tokio::time::sleep(TICK).await;
        }
    }

    async fn handle(&self, controller: usize, request: StandInRequest) -> StandInResponse {
        let link = Link::StateStore(controller);
        if self.links.request(link).await == Delivery::Lost {
            no_response().await;
        }
        if request.path.starts_with("/watch") {
            return self.watch(controller, &request.path).await;
        }
        if self.refuses(controller) {
            return (503, json!({"error": "unavailable"}));
        }
        let is_transaction = request.path == "/multi";
        let (late, unanswered) = {
            let faults = self.faults.lock().expect("faults");
            (faults.late, faults.unanswered)
        };
        if is_transaction && ShareUntil::strikes(late) {
            // The caller gives up, and the connection ends; the transaction is carried out all the same.
            return self.carry_out_late(request).await;
        }
        let response = self.carry_out(&request);
        let is_lost = is_transaction && ShareUntil::strikes(unanswered);
        if is_lost || self.links.response(link) == Delivery::Lost {
            no_response().await;
        }
        response
    }

    async fn carry_out_late(&self, request: StandInRequest) -> StandInResponse {
        let late = Duration::from_millis(rand::rng().random_range(LATE_MS));
        let late_transaction = LateTransaction {
            due_at: Instant::now() + late,
            request,
        };
        self.late_transactions
            .lock()
            .expect("late transactions")
            .push(late_transaction);
        no_response().await;
        (503, Value::Null)
    }

    fn carry_out(&self, request: &StandInRequest) -> StandInResponse {
        let (method, path) = (request.method.as_str(), request.path.as_str());
        let mut data = self.lock();
        data.expire_leases(Instant::now());
        if let Some(rest) = path.strip_prefix("/grants") {
            data.handle_lease(method, rest, &request.body)
        } else if path == "/multi" {
            data.handle_transaction(&request.body)
        } else if let Some(key) = path.strip_prefix("/store/") {
            data.get(key)
        } else {
            data.list(path)
        }
    }

    /// Responds once something has changed, or when the time asked for is over; stays open in an outage.
    async fn watch(&self, controller: usize, path: &str) -> StandInResponse {
        let number = |name| -> u64 {
            let value = query(path, name).and_then(|value| value.parse().ok());
            value.unwrap_or(0)
        };
        let prefix = query(path, "prefix").expect("a prefix");
        let since = number("since");
        let end = Instant::now() + Duration::from_millis(number("holdMs"));
        loop {
            if !self.refuses(controller) {
                let data = self.lock();
                let news = data.changes_since(since, prefix);
                if !news.is_empty() || Instant::now() >= end {
                    return (200, json!({"epoch": data.store_revision, "news": news}));
                }
            }
            tokio::time::sleep(TICK).await;
        }
    }
}
