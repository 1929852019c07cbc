//! The state service, as in the protocol page: keys, transactions, leases, watches, and its limits.

use crate::http::{query, serve, Request, Response};
use crate::json::{quote, Json};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The number of changes that are kept for watches.
const KEPT_CHANGES: usize = 10_000;
/// The largest list response, and the largest transaction.
const MAX_LIST_BYTES: usize = 512 * 1024;
const MAX_TRANSACTION_BYTES: usize = 64 * 1024;

#[derive(Clone, Copy)]
pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    /// The time that each response takes.
    pub latency: Duration,
}

struct Bucket {
    rate: f64,
    tokens: f64,
    at: Instant,
}

impl Bucket {
    fn new(rate: f64) -> Bucket {
        Bucket { rate, tokens: rate, at: Instant::now() }
    }
    /// Bursts of one second's worth are allowed.
    fn take(&mut self, count: f64) -> bool {
        let now = Instant::now();
        self.tokens = (self.tokens + (now - self.at).as_secs_f64() * self.rate).min(self.rate);
        self.at = now;
        let granted = self.tokens >= count;
        if granted {
            self.tokens -= count;
        }
        granted
    }
}

struct Item {
    data: String,
    stamp: u64,
    lease: Option<u64>,
}

struct Lease {
    until: Instant,
    life: Duration,
}

#[derive(Default, Clone)]
pub struct Counters {
    pub answered: u64,
    pub limited: u64,
}

struct Data {
    epoch: u64,
    items: BTreeMap<String, Item>,
    /// (revision, key, value or None if deleted)
    changes: VecDeque<(u64, String, Option<String>)>,
    dropped_to: u64,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    requests: Bucket,
    writes: Bucket,
    counters: Counters,
}

pub struct Store {
    limits: Limits,
    data: Mutex<Data>,
    changed: Condvar,
}

impl Store {
    pub fn start(limits: Limits) -> (Arc<Store>, SocketAddr) {
        let store = Arc::new(Store {
            limits,
            data: Mutex::new(Data {
                epoch: 1,
                items: BTreeMap::new(),
                changes: VecDeque::new(),
                dropped_to: 0,
                leases: BTreeMap::new(),
                last_lease: 0,
                requests: Bucket::new(limits.rps),
                writes: Bucket::new(limits.write_rps),
                counters: Counters::default(),
            }),
            changed: Condvar::new(),
        });
        let served = store.clone();
        let addr = serve(move |request| Some(served.handle(request)));
        let expiring = store.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(20));
            expiring.data.lock().unwrap().expire(Instant::now());
            expiring.changed.notify_all();
        });
        (store, addr)
    }

    pub fn counters(&self) -> Counters {
        self.data.lock().unwrap().counters.clone()
    }

    pub fn count_keys(&self, prefix: &str) -> usize {
        let data = self.data.lock().unwrap();
        data.items.keys().filter(|key| key.starts_with(prefix)).count()
    }

    fn handle(&self, request: &Request) -> Response {
        thread::sleep(self.limits.latency);
        let (method, path) = (request.method.as_str(), request.path.as_str());
        let mut data = self.data.lock().unwrap();
        data.expire(Instant::now());
        if !data.requests.take(1.0) {
            data.counters.limited += 1;
            return (429, "{\"error\":\"too many requests\"}".into());
        }
        data.counters.answered += 1;
        if let Some(rest) = path.strip_prefix("/grants") {
            return data.grants(method, rest, &request.body);
        }
        if path == "/multi" {
            let response = data.multi(&self.limits, &request.body);
            if response.0 == 429 {
                data.counters.limited += 1;
            }
            drop(data);
            self.changed.notify_all();
            return response;
        }
        if let Some(key) = path.strip_prefix("/store/") {
            return data.read(key);
        }
        if path.starts_with("/store?") {
            return data.list(path);
        }
        if path.starts_with("/watch?") {
            let number = |name| query(path, name).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
            let (prefix, since) = (query(path, "prefix").unwrap_or(""), number("since"));
            let end = Instant::now() + Duration::from_millis(number("holdMs").min(60_000));
            loop {
                if since < data.dropped_to {
                    return (410, "{}".into());
                }
                let news = data.news(prefix, since);
                let now = Instant::now();
                if !news.is_empty() || now >= end {
                    return (200, format!("{{\"epoch\":{},\"news\":[{}]}}", data.epoch, news.join(",")));
                }
                data = self.changed.wait_timeout(data, end - now).unwrap().0;
            }
        }
        (400, "{}".into())
    }
}

impl Data {
    fn expire(&mut self, now: Instant) {
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, l)| l.until < now).map(|(id, _)| *id).collect();
        for id in ended {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == Some(id))
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.epoch += 1;
        }
        for key in keys {
            self.items.remove(&key);
            self.record(key, None);
        }
    }

    fn record(&mut self, key: String, value: Option<String>) {
        self.changes.push_back((self.epoch, key, value));
        if self.changes.len() > KEPT_CHANGES {
            if let Some((epoch, _, _)) = self.changes.pop_front() {
                self.dropped_to = epoch;
            }
        }
    }

    fn grants(&mut self, method: &str, rest: &str, body: &[u8]) -> Response {
        let id = rest.trim_start_matches('/').split('/').next().and_then(|id| id.parse::<u64>().ok());
        match (method, id) {
            ("POST", None) => {
                let life = Json::parse(body).and_then(|b| b.get("lifeMs").u64());
                let Some(life) = life.filter(|life| (100..=600_000).contains(life)) else {
                    return (400, "{}".into());
                };
                let life = Duration::from_millis(life);
                self.last_lease += 1;
                self.leases.insert(self.last_lease, Lease { until: Instant::now() + life, life });
                (200, format!("{{\"hold\":{}}}", self.last_lease))
            }
            ("POST", Some(id)) => match self.leases.get_mut(&id) {
                Some(lease) => {
                    lease.until = Instant::now() + lease.life;
                    (200, "{}".into())
                }
                None => (404, "{}".into()),
            },
            ("DELETE", Some(id)) => {
                self.end_lease(id);
                (200, "{}".into())
            }
            _ => (400, "{}".into()),
        }
    }

    fn multi(&mut self, limits: &Limits, body: &[u8]) -> Response {
        let Some(body) = (body.len() <= MAX_TRANSACTION_BYTES).then(|| Json::parse(body)).flatten() else {
            return (400, "{\"error\":\"malformed\"}".into());
        };
        let (guards, apply) = (body.get("guards").items(), body.get("apply").items());
        let max_value = (limits.value_kb * 1024.0) as usize;
        let too_large = apply
            .iter()
            .any(|change| change.get("put").str().is_some() && change.get("data").to_string().len() > max_value);
        if apply.len() > limits.txn_ops || guards.len() > 4 * limits.txn_ops || too_large {
            return (400, "{\"error\":\"too large\"}".into());
        }
        if !apply.is_empty() && !self.writes.take(apply.len() as f64) {
            return (429, "{\"error\":\"too many changes\"}".into());
        }
        if apply.iter().filter_map(|c| c.get("hold").u64()).any(|id| !self.leases.contains_key(&id)) {
            return (400, "{\"error\":\"no such lease\"}".into());
        }
        let stamp = |key: &str| self.items.get(key).map_or(0, |item| item.stamp);
        let failed: Vec<String> = guards
            .iter()
            .filter_map(|guard| {
                let key = guard.get("key").str()?;
                (Some(stamp(key)) != guard.get("stamp").u64()).then(|| quote(key))
            })
            .collect();
        if !failed.is_empty() {
            return (409, format!("{{\"failed\":[{}],\"epoch\":{}}}", failed.join(","), self.epoch));
        }
        if !apply.is_empty() {
            self.epoch += 1;
        }
        for change in apply {
            if let Some(key) = change.get("put").str() {
                let data = change.get("data").to_string();
                let lease = change.get("hold").u64();
                self.items.insert(key.into(), Item { data: data.clone(), stamp: self.epoch, lease });
                self.record(key.into(), Some(data));
            } else if let Some(key) = change.get("delete").str() {
                if self.items.remove(key).is_some() {
                    self.record(key.into(), None);
                }
            }
        }
        (200, format!("{{\"epoch\":{}}}", self.epoch))
    }

    fn read(&self, key: &str) -> Response {
        match self.items.get(key) {
            Some(item) => (200, pair(key, item)),
            None => (404, format!("{{\"epoch\":{}}}", self.epoch)),
        }
    }

    fn list(&self, path: &str) -> Response {
        let (prefix, since) = (query(path, "prefix").unwrap_or(""), query(path, "since").unwrap_or(""));
        let most = query(path, "most").and_then(|m| m.parse().ok()).unwrap_or(1000).min(1000);
        let (mut pairs, mut bytes, mut more) = (Vec::new(), 0, false);
        for (key, item) in self.items.range(prefix.to_owned()..) {
            if !key.starts_with(prefix) {
                break;
            }
            if key.as_str() <= since {
                continue;
            }
            let text = pair(key, item);
            if pairs.len() >= most || bytes + text.len() > MAX_LIST_BYTES {
                more = true;
                break;
            }
            bytes += text.len();
            pairs.push(text);
        }
        (200, format!("{{\"pairs\":[{}],\"hasNext\":{more},\"epoch\":{}}}", pairs.join(","), self.epoch))
    }

    fn news(&self, prefix: &str, since: u64) -> Vec<String> {
        let first = self.changes.partition_point(|(epoch, _, _)| *epoch <= since);
        let changes = self.changes.range(first..).filter(|(_, key, _)| key.starts_with(prefix));
        changes
            .map(|(epoch, key, value)| match value {
                Some(data) => format!("{{\"put\":{},\"data\":{data},\"stamp\":{epoch}}}", quote(key)),
                None => format!("{{\"delete\":{},\"stamp\":{epoch}}}", quote(key)),
            })
            .collect()
    }
}

fn pair(key: &str, item: &Item) -> String {
    let lease = item.lease.map_or(String::new(), |lease| format!(",\"hold\":{lease}"));
    format!("{{\"key\":{},\"data\":{},\"stamp\":{}{lease}}}", quote(key), item.data, item.stamp)
}
