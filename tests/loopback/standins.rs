//! Stand-ins of the state service, the cloud and the workers, met over their published protocols, and
//! controllers as real processes around them.

use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub type Handler = Arc<dyn Fn(&str, &str, &Value) -> (u16, Value) + Send + Sync>;

/// One HTTP exchange on a connection of its own.
pub fn http(addr: &str, method: &str, path: &str, body: &[u8]) -> Option<(u16, Value)> {
    let mut s = TcpStream::connect(addr).ok()?;
    s.set_read_timeout(Some(Duration::from_secs(10))).ok()?;
    let head = format!("{method} {path} HTTP/1.1\r\nHost: {addr}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n", body.len());
    s.write_all(head.as_bytes()).ok()?;
    // The server may answer before it has read everything: a failed write is no failure here.
    let _ = s.write_all(body);
    let mut out = Vec::new();
    let _ = s.read_to_end(&mut out);
    let text = String::from_utf8_lossy(&out);
    let status = text.split(' ').nth(1)?.parse().ok()?;
    let body = text.split_once("\r\n\r\n").map_or("", |(_, b)| b);
    Some((status, serde_json::from_str(body).unwrap_or(Value::Null)))
}

pub fn read_request(s: &mut TcpStream, buf: &mut Vec<u8>) -> Option<(String, String, Value)> {
    let mut part = [0u8; 16384];
    loop {
        let text = String::from_utf8_lossy(buf).into_owned();
        if let Some(end) = text.find("\r\n\r\n") {
            let head = &text[..end];
            let length = head
                .lines()
                .filter_map(|l| l.split_once(':'))
                .find(|(n, _)| n.eq_ignore_ascii_case("content-length"))
                .map_or(0, |(_, v)| v.trim().parse::<usize>().unwrap_or(0));
            if buf.len() >= end + 4 + length {
                let mut first = head.lines().next()?.split(' ');
                let (method, path) = (first.next()?.to_string(), first.next()?.to_string());
                let body =
                    serde_json::from_slice(&buf[end + 4..end + 4 + length]).unwrap_or(Value::Null);
                buf.drain(..end + 4 + length);
                return Some((method, path, body));
            }
        }
        match s.read(&mut part) {
            Ok(n) if n > 0 => buf.extend_from_slice(&part[..n]),
            _ => return None,
        }
    }
}

/// A stand-in's server: a thread for each connection.
pub fn serve(handler: Handler) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for s in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || {
                let mut s = s;
                let mut buf = Vec::new();
                while let Some((method, path, body)) = read_request(&mut s, &mut buf) {
                    let (status, answer) = handler(&method, &path, &body);
                    let text = answer.to_string();
                    let head = format!("HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n", text.len());
                    if s.write_all((head + &text).as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    addr
}

#[derive(Default)]
pub struct State {
    epoch: u64,
    items: BTreeMap<String, (Value, u64, Option<u64>)>,
    changes: Vec<(u64, String)>,
    holds: BTreeMap<u64, (Instant, u64)>,
}

impl State {
    fn change(&mut self, key: &str, item: Option<(Value, Option<u64>)>) {
        self.changes.push((self.epoch, key.into()));
        match item {
            Some((v, hold)) => drop(self.items.insert(key.into(), (v, self.epoch, hold))),
            None => drop(self.items.remove(key)),
        }
    }
    fn expire(&mut self) {
        let over: Vec<u64> = self
            .holds
            .iter()
            .filter(|(_, (t, _))| *t < Instant::now())
            .map(|(h, _)| *h)
            .collect();
        for h in over {
            self.end(h);
        }
    }
    fn end(&mut self, hold: u64) {
        self.holds.remove(&hold);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, i)| i.2 == Some(hold))
            .map(|(k, _)| k.clone())
            .collect();
        for k in keys {
            self.epoch += 1;
            self.change(&k, None);
        }
    }
}

pub fn query(path: &str, name: &str) -> Option<String> {
    let (_, q) = path.split_once('?')?;
    q.split('&')
        .filter_map(|p| p.split_once('='))
        .find(|(n, _)| *n == name)
        .map(|(_, v)| v.to_string())
}

pub fn state_service() -> SocketAddr {
    let state = Arc::new(Mutex::new(State::default()));
    serve(Arc::new(move |method, path, body| {
        if path.starts_with("/watch") {
            let since: u64 = query(path, "since").unwrap().parse().unwrap();
            let prefix = query(path, "prefix").unwrap();
            let end = Instant::now()
                + Duration::from_millis(query(path, "holdMs").unwrap().parse().unwrap());
            loop {
                let s = state.lock().unwrap();
                let news: Vec<Value> = s
                    .changes
                    .iter()
                    .filter(|(e, k)| *e > since && k.starts_with(&prefix))
                    .map(|(e, k)| match s.items.get(k) {
                        Some((v, stamp, _)) => json!({"put": k, "data": v, "stamp": stamp}),
                        None => json!({"delete": k, "stamp": e}),
                    })
                    .collect();
                if !news.is_empty() || Instant::now() > end {
                    return (200, json!({"epoch": s.epoch, "news": news}));
                }
                drop(s);
                std::thread::sleep(Duration::from_millis(20));
            }
        }
        let mut s = state.lock().unwrap();
        s.expire();
        if let Some(rest) = path.strip_prefix("/grants") {
            if method == "POST" && rest.is_empty() {
                let life = body["lifeMs"].as_u64().unwrap();
                let id = s.epoch * 1000 + s.holds.len() as u64 + 1;
                s.holds
                    .insert(id, (Instant::now() + Duration::from_millis(life), life));
                return (200, json!({"hold": id}));
            }
            let id: u64 = rest
                .trim_start_matches('/')
                .split('/')
                .next()
                .unwrap()
                .parse()
                .unwrap();
            if method == "DELETE" {
                s.end(id);
                return (200, json!({}));
            }
            return match s.holds.get_mut(&id) {
                Some((until, life)) => {
                    *until = Instant::now() + Duration::from_millis(*life);
                    (200, json!({}))
                }
                None => (404, json!({})),
            };
        }
        if path == "/multi" {
            let failed: Vec<&Value> = body["guards"]
                .as_array()
                .unwrap()
                .iter()
                .filter(|g| {
                    s.items.get(g["key"].as_str().unwrap()).map_or(0, |i| i.1)
                        != g["stamp"].as_u64().unwrap()
                })
                .map(|g| &g["key"])
                .collect();
            if !failed.is_empty() {
                return (409, json!({"failed": failed, "epoch": s.epoch}));
            }
            s.epoch += 1;
            for c in body["apply"].as_array().unwrap() {
                if let Some(k) = c["put"].as_str() {
                    let hold = c["hold"].as_u64();
                    if hold.is_some_and(|h| !s.holds.contains_key(&h)) {
                        return (400, json!({"error": "no such lease"}));
                    }
                    s.change(k, Some((c["data"].clone(), hold)));
                } else {
                    s.change(c["delete"].as_str().unwrap(), None);
                }
            }
            return (200, json!({"epoch": s.epoch}));
        }
        if let Some(key) = path.strip_prefix("/store/") {
            return match s.items.get(key) {
                Some((v, stamp, hold)) => (
                    200,
                    json!({"key": key, "data": v, "stamp": stamp, "hold": hold}),
                ),
                None => (404, json!({"epoch": s.epoch})),
            };
        }
        let prefix = query(path, "prefix").unwrap();
        let since = query(path, "since").unwrap_or_default();
        let pairs: Vec<Value> = s
            .items
            .iter()
            .filter(|(k, _)| k.starts_with(&prefix) && **k > since)
            .map(|(k, (v, stamp, _))| json!({"key": k, "data": v, "stamp": stamp}))
            .collect();
        (
            200,
            json!({"pairs": pairs, "hasNext": false, "epoch": s.epoch}),
        )
    }))
}

/// What the workers of one cluster were told, and how long their tasks run.
pub struct Seen {
    pub launched: Mutex<Vec<String>>,
    pub stopped: Mutex<Vec<String>>,
    pub run_ms: AtomicU64,
}

/// What a worker knows, shared between its server and its report loop.
pub struct Worker {
    name: String,
    endpoint: String,
    tick: u64,
    token: u64,
    tasks: BTreeMap<(String, u64), Instant>,
    seen: Arc<Seen>,
}

impl Worker {
    fn obey(&mut self, token: u64, orders: &Value) {
        if token < self.token {
            return;
        }
        self.token = token;
        for o in orders.as_array().unwrap() {
            let key = (
                o["piece"].as_str().unwrap().to_string(),
                o["try"].as_u64().unwrap(),
            );
            match o["verb"].as_str().unwrap() {
                "launch" => {
                    self.tasks.entry(key.clone()).or_insert_with(|| {
                        self.seen.launched.lock().unwrap().push(key.0);
                        Instant::now()
                    });
                }
                verb => {
                    let known = self.tasks.remove(&key).is_some();
                    if verb == "stop" && known {
                        self.seen.stopped.lock().unwrap().push(key.0);
                    }
                }
            }
        }
    }
    fn report(&mut self) -> Value {
        self.tick += 1;
        let run = Duration::from_millis(self.seen.run_ms.load(Ordering::Relaxed));
        let pieces: Vec<Value> = self
            .tasks
            .iter()
            .map(|((p, a), t)| match t.elapsed() > run {
                true => json!({"piece": p, "try": a, "phase": "ended", "cause": "done"}),
                false => json!({"piece": p, "try": a, "phase": "running"}),
            })
            .collect();
        json!({"host": self.name, "endpoint": self.endpoint, "rig": "box", "site": "a", "loaners": false,
            "tenure": 1, "tick": self.tick, "baton": self.token, "recallS": null, "pieces": pieces, "new": {"unknown": 1}})
    }
}

/// A cloud whose machines are up at once; each reports to the controllers in turn.
pub fn cloud(fronts: Vec<String>, seen: Arc<Seen>) -> SocketAddr {
    let hosts: Arc<Mutex<Vec<Value>>> = Arc::default();
    let names = Arc::new(Mutex::new(0u32));
    serve(Arc::new(move |_, path, body| {
        if path == "/machine_types" {
            return (
                200,
                json!({"rigs": [{"sku": "box", "cpus": 8, "gpus": 2, "ramGb": 32, "localGb": 50, "fetchGbPerS": 1.0,
                "hourly": 5.0, "marketPrice": 2.0, "bootS": 5, "sites": ["a"]}]}),
            );
        }
        if path == "/rentals" && body["hire"].is_string() {
            let mut n = names.lock().unwrap();
            *n += 1;
            let name = format!("host-{:06}", *n);
            let w = Arc::new(Mutex::new(Worker {
                name: name.clone(),
                endpoint: String::new(),
                tick: 0,
                token: 0,
                tasks: BTreeMap::new(),
                seen: seen.clone(),
            }));
            let mine = w.clone();
            let addr = serve(Arc::new(move |_, _, b| {
                let mut w = mine.lock().unwrap();
                w.obey(b["baton"].as_u64().unwrap(), &b["orders"]);
                (200, w.report())
            }));
            w.lock().unwrap().endpoint = addr.to_string();
            hosts.lock().unwrap().push(
                json!({"ref": name, "endpoint": addr.to_string(), "rig": "box", "site": "a",
                "loaners": false, "phase": "running", "heldS": 1.0}),
            );
            let fronts = fronts.clone();
            std::thread::spawn(move || {
                for at in 0.. {
                    let report = w.lock().unwrap().report();
                    let body = report.to_string();
                    if let Some((200, answer)) = http(
                        &fronts[at % fronts.len()],
                        "POST",
                        "/checkin",
                        body.as_bytes(),
                    ) {
                        w.lock()
                            .unwrap()
                            .obey(answer["baton"].as_u64().unwrap(), &answer["orders"]);
                    }
                    std::thread::sleep(Duration::from_millis(150));
                }
            });
            return (200, json!({"hosts": [name]}));
        }
        if path.starts_with("/rentals/return") {
            return (503, json!({"error": "trouble"}));
        }
        (
            200,
            json!({"hosts": *hosts.lock().unwrap(), "hasNext": false}),
        )
    }))
}

/// A way to the state service that can be cut: while it is, connections are refused and open ones end.
pub struct Way {
    pub addr: SocketAddr,
    pub cut: Arc<AtomicBool>,
    /// The service answers 503 to whoever comes this way.
    pub refuse: Arc<AtomicBool>,
    /// Answers are held back by so much.
    pub delay_ms: Arc<AtomicU64>,
}

impl Way {
    pub fn to(target: SocketAddr) -> Way {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let cut = Arc::new(AtomicBool::new(false));
        let held = cut.clone();
        let refuse = Arc::new(AtomicBool::new(false));
        let refused = refuse.clone();
        let delay_ms = Arc::new(AtomicU64::new(0));
        let late = delay_ms.clone();
        std::thread::spawn(move || {
            for from in listener.incoming().flatten() {
                if held.load(Ordering::Relaxed) {
                    continue;
                }
                let to = TcpStream::connect(target).unwrap();
                for (a, b, answers) in [(&from, &to, false), (&to, &from, true)] {
                    let (mut a, mut b) = (a.try_clone().unwrap(), b.try_clone().unwrap());
                    let (cut, late, refused) = (held.clone(), late.clone(), refused.clone());
                    a.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
                    std::thread::spawn(move || {
                        let mut part = [0u8; 16384];
                        while !cut.load(Ordering::Relaxed) {
                            match a.read(&mut part) {
                                Ok(n) if n > 0 => {
                                    if !answers && refused.load(Ordering::Relaxed) {
                                        let no = b"HTTP/1.1 503 X\r\nContent-Length: 2\r\n\r\n{}";
                                        if a.write_all(no).is_err() {
                                            break;
                                        }
                                        continue;
                                    }
                                    if answers {
                                        let ms = late.load(Ordering::Relaxed);
                                        std::thread::sleep(Duration::from_millis(ms));
                                    }
                                    if b.write_all(&part[..n]).is_err() {
                                        break;
                                    }
                                }
                                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                                _ => break,
                            }
                        }
                        let _ = a.shutdown(std::net::Shutdown::Both);
                        let _ = b.shutdown(std::net::Shutdown::Both);
                    });
                }
            }
        });
        Way {
            addr,
            cut,
            refuse,
            delay_ms,
        }
    }
    pub fn cut(&self, on: bool) {
        self.cut.store(on, Ordering::Relaxed);
    }
    pub fn refuse(&self, on: bool) {
        self.refuse.store(on, Ordering::Relaxed);
    }
}

pub struct Node {
    pub child: Child,
    pub config: std::path::PathBuf,
    pub front: String,
}

impl Node {
    pub fn start(config: &std::path::Path, front: &str) -> Node {
        let own = config.with_file_name("operator.json");
        let own = own.exists().then_some(own);
        let log = std::env::var("LOOPBACK_LOG").is_ok();
        let child = Command::new(env!("CARGO_BIN_EXE_chalklug"))
            .args(["serve", "--config"])
            .arg(config)
            .args(
                own.iter()
                    .flat_map(|f| [std::ffi::OsStr::new("--operator"), f.as_os_str()]),
            )
            .stderr(if log { Stdio::inherit() } else { Stdio::null() })
            .spawn()
            .unwrap();
        Node {
            child,
            config: config.into(),
            front: front.into(),
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Ports for controllers to listen on: below those that outgoing connections get by themselves, and
/// given to one cluster only.
///
/// Guards against a controller that never came up: its port, found free and let go, had meanwhile gone
/// to a connection of another test.
pub fn free_ports(n: usize) -> Vec<u16> {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    const LOWEST: u64 = 12_000;
    const MANY: u64 = 18_000;
    let first = u64::from(std::process::id()) * 97;
    let port = || (LOWEST + (first + NEXT.fetch_add(1, Ordering::Relaxed)) % MANY) as u16;
    (0..MANY)
        .map(|_| port())
        .filter(|p| TcpListener::bind(("127.0.0.1", *p)).is_ok())
        .take(n)
        .collect()
}

pub fn wait_for<T>(what: &str, mut f: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + Duration::from_secs(90);
    while Instant::now() < end {
        if let Some(t) = f() {
            return t;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("never came: {what}");
}

pub fn job(id: &str, pieces: u32) -> Value {
    json!({"ref": id, "jobclass": "any", "crew": "blue", "shape": "array", "urgency": "normal", "pieces": pieces,
        "cpus": 1.0, "gpus": 1.0, "ramGb": 4.0, "bundle": "img", "pullGb": 1.0, "rigs": null, "site": null,
        "together": false, "scatter": false, "loaners": false, "guessS": 1.0, "markEveryS": 0.0, "markCostS": 0.0, "dueS": null})
}

pub fn submit(front: &str, body: &Value) -> Option<u16> {
    http(front, "POST", "/submissions", body.to_string().as_bytes()).map(|(s, _)| s)
}

pub fn phase(front: &str, id: &str) -> Option<String> {
    let (status, body) = http(front, "GET", &format!("/submissions/{id}"), b"")?;
    (status == 200).then(|| body["phase"].as_str().unwrap().to_string())
}

/// So many controllers, each with its own way to the state service.
pub struct Cluster {
    pub nodes: Vec<Node>,
    pub fronts: Vec<String>,
    pub ways: Vec<Way>,
    pub seen: Arc<Seen>,
    pub dir: std::path::PathBuf,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

pub fn cluster(name: &str, n: usize, max_sockets: usize, operator: Option<&str>) -> Cluster {
    cluster_with(name, n, max_sockets, operator, 30.0)
}

pub fn cluster_with(
    name: &str,
    n: usize,
    max_sockets: usize,
    operator: Option<&str>,
    cancel_s: f64,
) -> Cluster {
    let ports = free_ports(2 * n);
    let fronts: Vec<String> = (0..n).map(|i| format!("127.0.0.1:{}", ports[i])).collect();
    let seen = Arc::new(Seen {
        launched: Mutex::default(),
        stopped: Mutex::default(),
        run_ms: AtomicU64::new(1500),
    });
    let state = state_service();
    let ways: Vec<Way> = (0..n).map(|_| Way::to(state)).collect();
    let cloud = cloud(fronts.clone(), seen.clone());
    let dir = std::env::temp_dir().join(format!("chalklug-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    if let Some(text) = operator {
        std::fs::write(dir.join("operator.json"), text).unwrap();
    }
    let nodes: Vec<Node> = (0..n)
        .map(|i| {
            let siblings: String = (0..n)
                .filter(|j| *j != i)
                .map(|j| format!("[[siblings]]\nhost_name = \"n{j}\"\nlocation = \"a\"\naddr = \"127.0.0.1:{}\"\n", ports[n + j]))
                .collect();
            let state = ways[i].addr;
            let text = format!(
                "host_name = \"n{i}\"\nlocation = \"a\"\nfront = \"{}\"\npeer_bind = \"127.0.0.1:{}\"\nnew_field = 1\n{siblings}\n\
                 [endpoints]\ncloud = \"{cloud}\"\nstate = \"{state}\"\n[facts]\nnodes = {n}\nclock_error_ms = 10.0\n\
                 [[facts.teams]]\nname = \"blue\"\ngpus = 4.0\ngpus_max = 20.0\n\
                 [facts.workers]\nreport_s = 0.3\nlease_s = 20.0\ngang_wait_s = 20.0\ngang_peer_s = 4.0\ncancel_s = {cancel_s}\n\
                 [facts.state]\nrps = 1000.0\nwrite_rps = 500.0\nvalue_kb = 4.0\ntxn_ops = 8\n\
                 [facts.cloud]\nrps = 50.0\nlist_lag_s = 1.0\n[facts.quota]\ncores = 1.0\nmemory_mb = 500.0\nmax_sockets = {max_sockets}\n",
                fronts[i],
                ports[n + i]
            );
            let config = dir.join(format!("n{i}.toml"));
            std::fs::write(&config, text).unwrap();
            Node::start(&config, &fronts[i])
        })
        .collect();
    for n in &nodes {
        wait_for("health", || {
            http(&n.front, "GET", "/healthz", b"").filter(|(s, _)| *s == 200)
        });
    }
    Cluster {
        nodes,
        fronts,
        ways,
        seen,
        dir,
    }
}

/// A check-in of a machine that nobody rented: what a controller answers, and its token.
pub fn check_in(front: &str, tick: u64) -> Option<(u16, u64)> {
    let report = json!({"host": "host-900000", "endpoint": "127.0.0.1:1", "rig": "box", "site": "a",
        "loaners": false, "tenure": 1, "tick": tick, "baton": 0, "recallS": null, "pieces": []});
    let (status, body) = http(front, "POST", "/checkin", report.to_string().as_bytes())?;
    Some((status, body["baton"].as_u64().unwrap_or(0)))
}
