//! The state service: keys, transactions, leases and watches, with its limits.

use crate::http::{serve, Reply, Request};
use crate::json::{quote, Json};
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const KEPT_CHANGES: usize = 10_000;
const MAX_PAGE_BYTES: usize = 512 * 1024;
const MAX_TRANSACTION_BYTES: usize = 64 * 1024;
const RESPONSE_TIME: Duration = Duration::from_millis(3);
const POLL: Duration = Duration::from_millis(10);

#[derive(Clone, Copy)]
pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

struct Item {
    data: Json,
    stamp: u64,
    hold: Option<u64>,
}

struct Lease {
    life: Duration,
    renewed_at: Instant,
}

struct Bucket {
    rate: f64,
    tokens: f64,
    at: Instant,
}

impl Bucket {
    fn new(rate: f64) -> Bucket {
        Bucket {
            rate,
            tokens: rate,
            at: Instant::now(),
        }
    }

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

struct Data {
    epoch: u64,
    items: BTreeMap<String, Item>,
    /// Revision, key, and the data of a put.
    changes: VecDeque<(u64, String, Option<Json>)>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    requests: Bucket,
    writes: Bucket,
}

pub struct Store {
    data: Mutex<Data>,
    limits: Limits,
}

fn query<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = path.split_once('?')?;
    query
        .split('&')
        .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

impl Store {
    pub fn new(limits: Limits) -> Arc<Store> {
        let store = Arc::new(Store {
            data: Mutex::new(Data {
                epoch: 1,
                items: BTreeMap::new(),
                changes: VecDeque::new(),
                leases: BTreeMap::new(),
                last_lease: 0,
                requests: Bucket::new(limits.rps),
                writes: Bucket::new(limits.write_rps),
            }),
            limits,
        });
        let clock = store.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(POLL);
            clock.expire_leases();
        });
        store
    }

    /// Opens an address for one controller.
    pub fn new_address(self: &Arc<Store>) -> String {
        let store = self.clone();
        serve(Arc::new(move |request| store.handle(&request)))
    }

    /// The name of the controller in the leader key, as the project stores it; only to choose what to disturb.
    pub fn leader(&self) -> Option<String> {
        let data = self.data.lock().unwrap();
        let item = data.items.get("lead")?;
        let Json::Object(fields) = &item.data else {
            return None;
        };
        fields.values().find_map(|value| match value {
            Json::Text(text) => Some(text.clone()),
            _ => None,
        })
    }

    fn expire_leases(&self) {
        let now = Instant::now();
        let mut data = self.data.lock().unwrap();
        let ended = data
            .leases
            .iter()
            .filter(|(_, lease)| now - lease.renewed_at > lease.life);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        for id in ended {
            data.end_lease(id);
        }
    }

    fn handle(&self, request: &Request) -> Reply {
        std::thread::sleep(RESPONSE_TIME);
        let (status, body) = self.answer(request);
        Reply::Answer(status, body)
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let is_watch = request.path.starts_with("/watch");
        if !self.data.lock().unwrap().requests.take(1.0) {
            return (429, "{\"error\":\"too many\"}".into());
        }
        let path = request.path.as_str();
        if is_watch {
            return self.watch(path);
        }
        let mut data = self.data.lock().unwrap();
        if path == "/multi" {
            data.transaction(&request.body, &self.limits)
        } else if let Some(rest) = path.strip_prefix("/grants") {
            data.lease_request(&request.method, rest, &request.body)
        } else if let Some(key) = path.strip_prefix("/store/") {
            data.get(key)
        } else {
            data.page(path)
        }
    }

    fn watch(&self, path: &str) -> (u16, String) {
        let number = |name| {
            query(path, name)
                .and_then(|text| text.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let prefix = query(path, "prefix").unwrap_or("");
        let since = number("since");
        let end = Instant::now() + Duration::from_millis(number("holdMs"));
        loop {
            {
                let data = self.data.lock().unwrap();
                let oldest = data.changes.front().map_or(0, |change| change.0);
                if data.changes.len() >= KEPT_CHANGES && since + 1 < oldest {
                    return (410, "{}".into());
                }
                let news: Vec<String> = data
                    .changes
                    .iter()
                    .filter(|(epoch, key, _)| *epoch > since && key.starts_with(prefix))
                    .map(|(epoch, key, put)| match put {
                        Some(data) => format!("{{\"put\":{},\"data\":{data},\"stamp\":{epoch}}}", quote(key)),
                        None => format!("{{\"delete\":{},\"stamp\":{epoch}}}", quote(key)),
                    })
                    .collect();
                if !news.is_empty() || Instant::now() >= end {
                    return (
                        200,
                        format!("{{\"epoch\":{},\"news\":[{}]}}", data.epoch, news.join(",")),
                    );
                }
            }
            std::thread::sleep(POLL);
        }
    }
}

impl Data {
    fn record(&mut self, key: &str, put: Option<Json>) {
        self.changes.push_back((self.epoch, key.to_owned(), put));
        if self.changes.len() > KEPT_CHANGES {
            self.changes.pop_front();
        }
    }

    fn end_lease(&mut self, id: u64) -> bool {
        if self.leases.remove(&id).is_none() {
            return false;
        }
        let attached = self.items.iter().filter(|(_, item)| item.hold == Some(id));
        let attached: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        self.epoch += u64::from(!attached.is_empty());
        for key in attached {
            self.items.remove(&key);
            self.record(&key, None);
        }
        true
    }

    fn lease_request(&mut self, method: &str, rest: &str, body: &str) -> (u16, String) {
        if rest.is_empty() {
            let life = Json::parse(body).and_then(|body| body.get("lifeMs").u64());
            let Some(life) = life.filter(|ms| (100..=600_000).contains(ms)) else {
                return (400, "{}".into());
            };
            self.last_lease += 1;
            let lease = Lease {
                life: Duration::from_millis(life),
                renewed_at: Instant::now(),
            };
            self.leases.insert(self.last_lease, lease);
            return (200, format!("{{\"hold\":{}}}", self.last_lease));
        }
        let id = rest
            .trim_start_matches('/')
            .split('/')
            .next()
            .and_then(|id| id.parse().ok());
        let Some(id) = id else { return (400, "{}".into()) };
        if method == "DELETE" {
            return (if self.end_lease(id) { 200 } else { 404 }, "{}".into());
        }
        match self.leases.get_mut(&id) {
            Some(lease) => {
                lease.renewed_at = Instant::now();
                (200, "{}".into())
            }
            None => (404, "{}".into()),
        }
    }

    fn get(&self, key: &str) -> (u16, String) {
        match self.items.get(key) {
            Some(item) => {
                let hold = item.hold.map_or(String::new(), |id| format!(",\"hold\":{id}"));
                let (key, data, stamp) = (quote(key), &item.data, item.stamp);
                (
                    200,
                    format!("{{\"key\":{key},\"data\":{data},\"stamp\":{stamp}{hold}}}"),
                )
            }
            None => (404, format!("{{\"epoch\":{}}}", self.epoch)),
        }
    }

    fn page(&self, path: &str) -> (u16, String) {
        let prefix = query(path, "prefix").unwrap_or("");
        let since = query(path, "since").unwrap_or("");
        let most = query(path, "most")
            .and_then(|n| n.parse().ok())
            .unwrap_or(1000usize)
            .min(1000);
        let mut pairs = Vec::new();
        let mut bytes = 0;
        let mut has_next = false;
        for (key, item) in self.items.range(prefix.to_owned()..) {
            if !key.starts_with(prefix) {
                break;
            }
            if !since.is_empty() && key.as_str() <= since {
                continue;
            }
            let pair = format!(
                "{{\"key\":{},\"data\":{},\"stamp\":{}}}",
                quote(key),
                item.data,
                item.stamp
            );
            if pairs.len() >= most || bytes + pair.len() > MAX_PAGE_BYTES {
                has_next = true;
                break;
            }
            bytes += pair.len();
            pairs.push(pair);
        }
        let epoch = self.epoch;
        (
            200,
            format!(
                "{{\"pairs\":[{}],\"hasNext\":{has_next},\"epoch\":{epoch}}}",
                pairs.join(",")
            ),
        )
    }

    fn transaction(&mut self, body: &str, limits: &Limits) -> (u16, String) {
        let Some(request) = Json::parse(body).filter(|_| body.len() <= MAX_TRANSACTION_BYTES) else {
            return (400, "{\"error\":\"malformed or too long\"}".into());
        };
        let (guards, apply) = (request.get("guards").list(), request.get("apply").list());
        if apply.len() > limits.txn_ops || guards.len() > 4 * limits.txn_ops {
            return (400, "{\"error\":\"too many operations\"}".into());
        }
        let max_value = (limits.value_kb * 1024.0) as usize;
        if apply
            .iter()
            .any(|change| change.get("data").to_string().len() > max_value)
        {
            return (400, "{\"error\":\"value too large\"}".into());
        }
        let holds = apply.iter().filter_map(|change| change.get("hold").u64());
        if holds.into_iter().any(|id| !self.leases.contains_key(&id)) {
            return (400, "{\"error\":\"no such lease\"}".into());
        }
        if !self.writes.take(apply.len() as f64) {
            return (429, "{\"error\":\"too many changes\"}".into());
        }
        let stamp_of = |key: &str| self.items.get(key).map_or(0, |item| item.stamp);
        let failed = guards
            .iter()
            .filter(|guard| guard.get("stamp").u64() != Some(stamp_of(guard.get("key").text())));
        let failed: Vec<String> = failed.map(|guard| quote(guard.get("key").text())).collect();
        if !failed.is_empty() {
            return (
                409,
                format!("{{\"failed\":[{}],\"epoch\":{}}}", failed.join(","), self.epoch),
            );
        }
        self.epoch += u64::from(!apply.is_empty());
        for change in apply {
            let put = change.get("put").text();
            if put.is_empty() {
                let key = change.get("delete").text();
                if self.items.remove(key).is_some() {
                    self.record(key, None);
                }
                continue;
            }
            let item = Item {
                data: change.get("data").clone(),
                stamp: self.epoch,
                hold: change.get("hold").u64(),
            };
            self.record(put, Some(item.data.clone()));
            self.items.insert(put.to_owned(), item);
        }
        (200, format!("{{\"epoch\":{}}}", self.epoch))
    }
}
