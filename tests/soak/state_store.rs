//! A fake state store with keys, transactions, leases and watches over the published protocol, and injected faults.
//! Each controller connects to a port of its own, which identifies the controller.

use super::faults::Link;
use super::http::{serve, HttpRequest, HttpResponse};
use super::links::{no_response, Delivery, Links};
use super::request_limit::RequestLimit;
use super::store_data::{query_parameter, StoreData};
use rand::Rng;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// How often leases, late transactions and open watches are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Delay of late transactions, in milliseconds.
const LATE_TRANSACTION_DELAY_MS: std::ops::Range<u64> = 800..5_000;

/// A fault that affects a random share of transactions until a given time.
#[derive(Clone, Copy)]
struct TransactionFault {
    share: f64,
    until: Instant,
}

impl TransactionFault {
    fn applies(this: Option<TransactionFault>) -> bool {
        this.is_some_and(|f| Instant::now() < f.until && rand::rng().random_bool(f.share))
    }
}

#[derive(Default)]
struct StoreFaults {
    refused_until: BTreeMap<usize, Instant>,
    late: Option<TransactionFault>,
    lost_responses: Option<TransactionFault>,
}

/// A transaction that is applied later.
struct LateTransaction {
    due_at: Instant,
    request: HttpRequest,
}

/// The state store and its faults.
pub struct StateStore {
    data: Mutex<StoreData>,
    late_transactions: Mutex<Vec<LateTransaction>>,
    /// None if requests are not limited.
    limit: Mutex<Option<RequestLimit>>,
    faults: Mutex<StoreFaults>,
    links: Arc<Links>,
    controllers: usize,
}

impl StateStore {
    pub fn new(controllers: usize, links: Arc<Links>) -> Arc<StateStore> {
        let store = Arc::new(StateStore {
            data: Mutex::default(),
            late_transactions: Mutex::default(),
            limit: Mutex::default(),
            faults: Mutex::default(),
            links,
            controllers,
        });
        tokio::spawn(store.clone().run());
        store
    }

    /// Opens a port for one controller, and returns its address.
    pub async fn port_for(self: &Arc<StateStore>, controller: usize) -> SocketAddr {
        let store = self.clone();
        serve(move |request| {
            let store = store.clone();
            async move { store.handle(controller, request).await }
        })
        .await
    }

    /// Refuses requests above this rate with status 429 from now on.
    pub fn limit_requests(&self, requests_per_sec: f64) {
        let limit = RequestLimit::new(requests_per_sec);
        *self.limit.lock().expect("limit lock poisoned") = Some(limit);
    }

    fn exceeds_limit(&self) -> bool {
        let mut limit = self.limit.lock().expect("limit lock poisoned");
        limit.as_mut().is_some_and(|limit| !limit.try_take())
    }

    /// Refuses requests of these controllers for the given duration.
    pub fn refuse(&self, controllers: &[usize], duration: Duration) {
        let until = Instant::now() + duration;
        let mut faults = self.faults.lock().expect("faults lock poisoned");
        for controller in controllers {
            faults.refused_until.insert(*controller, until);
        }
    }

    /// Applies a share of transactions late and without a response.
    pub fn delay_transactions(&self, share: f64, duration: Duration) {
        let until = Instant::now() + duration;
        self.faults.lock().expect("faults lock poisoned").late =
            Some(TransactionFault { share, until });
    }

    /// Applies a share of transactions without delay, but sends no response.
    pub fn lose_transaction_responses(&self, share: f64, duration: Duration) {
        let until = Instant::now() + duration;
        self.faults
            .lock()
            .expect("faults lock poisoned")
            .lost_responses = Some(TransactionFault { share, until });
    }

    /// Ends all faults of the store.
    pub fn clear_faults(&self) {
        *self.faults.lock().expect("faults lock poisoned") = StoreFaults::default();
    }

    fn lock(&self) -> MutexGuard<'_, StoreData> {
        self.data.lock().expect("store data lock poisoned")
    }

    fn refuses(&self, controller: usize) -> bool {
        let faults = self.faults.lock().expect("faults lock poisoned");
        let until = faults.refused_until.get(&controller);
        until.is_some_and(|until| Instant::now() < *until)
    }

    /// Applies the late transactions that are due. Their connections are closed by now.
    fn apply_due(&self, now: Instant) {
        let mut waiting = self
            .late_transactions
            .lock()
            .expect("late transactions lock poisoned");
        let (due, not_due) = waiting.drain(..).partition(|late| late.due_at <= now);
        *waiting = not_due;
        drop(waiting);
        let due: Vec<LateTransaction> = due;
        for late in due {
            self.execute(&late.request);
        }
    }

    /// Expires leases and applies late transactions. While all controllers are refused, as in an outage of the store,
    /// leases are renewed instead; if only some are refused, their leases expire.
    async fn run(self: Arc<StateStore>) {
        loop {
            let now = Instant::now();
            if (0..self.controllers).all(|controller| self.refuses(controller)) {
                self.lock().renew_all_leases(now);
            } else {
                self.lock().expire_leases(now);
                self.apply_due(now);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn handle(&self, controller: usize, request: HttpRequest) -> HttpResponse {
        let link = Link::StateStore(controller);
        if self.links.deliver_request(link).await == Delivery::Lost {
            no_response().await;
        }
        if self.exceeds_limit() {
            return (429, json!({"error": "too many requests"}));
        }
        if request.path.starts_with("/watch") {
            return self.watch(controller, &request.path).await;
        }
        if self.refuses(controller) {
            return (503, json!({"error": "unavailable"}));
        }
        let is_transaction = request.path == "/multi";
        let (late, lost_responses) = {
            let faults = self.faults.lock().expect("faults lock poisoned");
            (faults.late, faults.lost_responses)
        };
        if is_transaction && TransactionFault::applies(late) {
            // The controller times out and closes the connection, but the transaction is still applied later.
            return self.apply_late(request).await;
        }
        let response = self.execute(&request);
        let is_lost = is_transaction && TransactionFault::applies(lost_responses);
        if is_lost || self.links.deliver_response(link) == Delivery::Lost {
            no_response().await;
        }
        response
    }

    async fn apply_late(&self, request: HttpRequest) -> HttpResponse {
        let late = Duration::from_millis(rand::rng().random_range(LATE_TRANSACTION_DELAY_MS));
        let late_transaction = LateTransaction {
            due_at: Instant::now() + late,
            request,
        };
        self.late_transactions
            .lock()
            .expect("late transactions lock poisoned")
            .push(late_transaction);
        no_response().await;
        (503, Value::Null)
    }

    fn execute(&self, request: &HttpRequest) -> HttpResponse {
        let (method, path) = (request.method.as_str(), request.path.as_str());
        let mut data = self.lock();
        data.expire_leases(Instant::now());
        if let Some(rest) = path.strip_prefix("/grants") {
            data.handle_lease_request(method, rest, &request.body)
        } else if path == "/multi" {
            data.handle_transaction(&request.body)
        } else if let Some(key) = path.strip_prefix("/store/") {
            data.get(key)
        } else {
            data.list(path)
        }
    }

    /// Responds once there are changes or after the requested time. Sends no response while the controller is refused.
    async fn watch(&self, controller: usize, path: &str) -> HttpResponse {
        let number = |name| -> u64 {
            let value = query_parameter(path, name).and_then(|value| value.parse().ok());
            value.unwrap_or(0)
        };
        let prefix = query_parameter(path, "prefix").expect("watch request has no prefix");
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
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}
