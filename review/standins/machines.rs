//! The cloud and the workers of its machines, as in the protocol page. Arrays, services and gangs of one task.

use crate::http::{query, serve, Client, Request, Response};
use crate::json::{quote, Json};
use crate::world::World;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const RIG: &str = "khangai-box";
pub const ZONES: [&str; 2] = ["bayangol", "chingeltei"];
const CPUS: f64 = 64.0;
const GPUS: f64 = 8.0;
const RAM_GB: f64 = 256.0;
const FETCH_GB_PER_S: f64 = 2.0;

struct Rental {
    site: String,
    loaners: bool,
    rented_at: Instant,
    worker: Option<Arc<Worker>>,
    /// When the cloud took the machine back; the list shows it for a while longer.
    taken_at: Option<Instant>,
}

struct CloudData {
    rentals: BTreeMap<String, Rental>,
    hires: BTreeMap<String, Vec<String>>,
    last: u32,
}

pub struct Cloud {
    world: Arc<World>,
    capacity: usize,
    boot: Duration,
    list_lag: Duration,
    data: Mutex<CloudData>,
}

impl Cloud {
    pub fn start(world: Arc<World>, capacity: usize, boot: Duration, list_lag: Duration) -> (Arc<Cloud>, SocketAddr) {
        let data = CloudData { rentals: BTreeMap::new(), hires: BTreeMap::new(), last: 0 };
        let cloud = Arc::new(Cloud { world, capacity, boot, list_lag, data: Mutex::new(data) });
        let served = cloud.clone();
        let addr = serve(move |request| Some(served.handle(request)));
        (cloud, addr)
    }

    pub fn workers(&self) -> Vec<Arc<Worker>> {
        let data = self.data.lock().unwrap();
        data.rentals.values().filter_map(|rental| rental.worker.clone()).collect()
    }

    /// Takes a spot machine back without notice.
    pub fn take(&self, host: &str) {
        let mut data = self.data.lock().unwrap();
        let Some(rental) = data.rentals.get_mut(host) else { return };
        rental.taken_at = Some(Instant::now());
        if let Some(worker) = rental.worker.take() {
            worker.remove();
        }
        self.world.record(&format!("trouble: the cloud takes {host} back"));
    }

    fn handle(self: &Arc<Cloud>, request: &Request) -> Response {
        thread::sleep(Duration::from_millis(20));
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/machine_types") => (
                200,
                format!(
                    "{{\"rigs\":[{{\"sku\":\"{RIG}\",\"cpus\":{CPUS:.1},\"gpus\":{GPUS:.1},\"ramGb\":{RAM_GB:.1},\
                     \"localGb\":200.0,\"fetchGbPerS\":{FETCH_GB_PER_S:.1},\"hourly\":27.6,\"marketPrice\":12.1,\
                     \"bootS\":{:.1},\"sites\":[\"{}\",\"{}\"]}}]}}",
                    self.boot.as_secs_f64(), ZONES[0], ZONES[1]
                ),
            ),
            ("POST", "/rentals") => self.rent(&request.body),
            ("POST", "/rentals/return") => self.give_back(&request.body),
            ("GET", path) => self.list(path),
            _ => (400, "{}".into()),
        }
    }

    fn rent(self: &Arc<Cloud>, body: &[u8]) -> Response {
        let Some(body) = Json::parse(body) else { return (400, "{}".into()) };
        let mut data = self.data.lock().unwrap();
        let hire = body.get("hire").str().unwrap_or("").to_owned();
        if let Some(hosts) = data.hires.get(&hire) {
            return (200, hosts_json(hosts));
        }
        let rented = data.rentals.values().filter(|rental| rental.taken_at.is_none()).count();
        let free = self.capacity.saturating_sub(rented);
        let count = free.min(body.get("number").u64().unwrap_or(0) as usize);
        if count == 0 {
            return (503, "{\"error\":\"no capacity\"}".into());
        }
        let mut hosts = Vec::new();
        for _ in 0..count {
            data.last += 1;
            let id = format!("host-{:06}", data.last);
            let rental = Rental {
                site: body.get("site").str().unwrap_or("").to_owned(),
                loaners: body.get("loaners").bool().unwrap_or(false),
                rented_at: Instant::now(),
                worker: None,
                taken_at: None,
            };
            data.rentals.insert(id.clone(), rental);
            let (cloud, host) = (self.clone(), id.clone());
            thread::spawn(move || {
                thread::sleep(cloud.boot);
                let mut data = cloud.data.lock().unwrap();
                if let Some(rental) = data.rentals.get_mut(&host).filter(|rental| rental.taken_at.is_none()) {
                    let worker = Worker::start(cloud.world.clone(), &host, &rental.site, rental.loaners);
                    rental.worker = Some(worker);
                }
            });
            hosts.push(id);
        }
        self.world.record(&format!("cloud: rented {hosts:?}"));
        let answer = hosts_json(&hosts);
        data.hires.insert(hire, hosts);
        (200, answer)
    }

    fn give_back(&self, body: &[u8]) -> Response {
        let Some(body) = Json::parse(body) else { return (400, "{}".into()) };
        for host in body.get("hosts").items().iter().filter_map(Json::str) {
            let rental = self.data.lock().unwrap().rentals.remove(host);
            if let Some(worker) = rental.and_then(|rental| rental.worker) {
                worker.remove();
            }
            self.world.record(&format!("cloud: returned {host}"));
        }
        (200, "{}".into())
    }

    fn list(&self, path: &str) -> Response {
        let since = query(path, "since").unwrap_or("");
        let most = query(path, "most").and_then(|m| m.parse().ok()).unwrap_or(500).min(500);
        let data = self.data.lock().unwrap();
        let listed: Vec<String> = data
            .rentals
            .iter()
            .filter(|(id, rental)| id.as_str() > since && rental.rented_at.elapsed() > self.list_lag)
            .filter(|(_, rental)| rental.taken_at.is_none_or(|at| at.elapsed() < self.list_lag))
            .map(|(id, rental)| {
                let endpoint = rental.worker.as_ref().map_or(String::new(), |w| w.endpoint());
                let phase = if rental.worker.is_some() || rental.taken_at.is_some() { "running" } else { "starting" };
                format!(
                    "{{\"ref\":{},\"endpoint\":{},\"rig\":\"{RIG}\",\"site\":{},\"loaners\":{},\"phase\":\"{phase}\",\
                     \"heldS\":{:.1}}}",
                    quote(id), quote(&endpoint), quote(&rental.site), rental.loaners,
                    rental.rented_at.elapsed().as_secs_f64()
                )
            })
            .collect();
        let more = listed.len() > most;
        let page: Vec<String> = listed.into_iter().take(most).collect();
        (200, format!("{{\"hosts\":[{}],\"hasNext\":{more}}}", page.join(",")))
    }
}

fn hosts_json(hosts: &[String]) -> String {
    let hosts: Vec<String> = hosts.iter().map(|host| quote(host)).collect();
    format!("{{\"hosts\":[{}]}}", hosts.join(","))
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum Phase {
    Pulling { until: Instant },
    Running { until: Option<Instant> },
    Saving { until: Instant },
    Ended { cause: &'static str, stored: bool },
}

struct State {
    endpoint: String,
    tenure: u64,
    tick: u64,
    baton: u64,
    /// From when the lease counts.
    lease_from: Instant,
    tasks: BTreeMap<(String, u64), Phase>,
    images: BTreeSet<String>,
    changed: bool,
    token_change_at: Option<Instant>,
}

pub struct Worker {
    world: Arc<World>,
    pub host: String,
    pub site: String,
    pub loaners: bool,
    gone: AtomicBool,
    state: Mutex<State>,
}

impl Worker {
    fn start(world: Arc<World>, host: &str, site: &str, loaners: bool) -> Arc<Worker> {
        let worker = Arc::new(Worker {
            world,
            host: host.into(),
            site: site.into(),
            loaners,
            gone: AtomicBool::new(false),
            state: Mutex::new(State {
                endpoint: String::new(),
                tenure: 1,
                tick: 0,
                baton: 0,
                lease_from: Instant::now(),
                tasks: BTreeMap::new(),
                images: BTreeSet::new(),
                changed: true,
                token_change_at: None,
            }),
        });
        let served = worker.clone();
        let addr = serve(move |request| served.handle(request));
        worker.state.lock().unwrap().endpoint = addr.to_string();
        let reporting = worker.clone();
        thread::spawn(move || reporting.report());
        // The lease runs out and tasks end also while a report waits for its response.
        let ticking = worker.clone();
        thread::spawn(move || {
            while !ticking.gone.load(Ordering::SeqCst) {
                ticking.advance(&mut ticking.state.lock().unwrap());
                thread::sleep(Duration::from_millis(25));
            }
        });
        worker
    }

    pub fn endpoint(&self) -> String {
        self.state.lock().unwrap().endpoint.clone()
    }

    /// The pieces that run now.
    pub fn running(&self) -> Vec<String> {
        let mut state = self.state.lock().unwrap();
        self.advance(&mut state);
        let running = state.tasks.iter().filter(|(_, p)| matches!(p, Phase::Running { .. }));
        running.map(|((piece, _), _)| piece.clone()).collect()
    }

    fn remove(&self) {
        self.gone.store(true, Ordering::SeqCst);
        let tasks = std::mem::take(&mut self.state.lock().unwrap().tasks);
        for (piece, _) in tasks.into_iter().filter(|(_, p)| !matches!(p, Phase::Ended { .. })).map(|(k, _)| k) {
            self.world.left(&self.host, &piece);
            self.world.record(&format!("{}: {piece} gone with the machine", self.host));
        }
    }

    fn advance(&self, state: &mut State) {
        let now = Instant::now();
        if now.duration_since(state.lease_from) > self.world.times.lease {
            self.world.record(&format!(
                "{}: lease expired, {} tasks killed, tenure {}",
                self.host, state.tasks.len(), state.tenure + 1
            ));
            for (piece, _) in state.tasks.keys() {
                self.world.left(&self.host, piece);
            }
            state.tasks.clear();
            state.tenure += 1;
            state.lease_from = now;
            state.changed = true;
        }
        let mut events = Vec::new();
        for ((piece, attempt), phase) in state.tasks.iter_mut() {
            let next = match *phase {
                Phase::Pulling { until } if now >= until => {
                    let job = self.world.job_of(piece);
                    state.images.insert(job.bundle.clone());
                    if self.world.is_done(piece) {
                        Phase::Ended { cause: "done", stored: false }
                    } else {
                        Phase::Running { until: job.run.map(|run| until + run) }
                    }
                }
                Phase::Running { until: Some(until) } if now >= until => {
                    self.world.task_done(piece);
                    Phase::Ended { cause: "done", stored: false }
                }
                Phase::Saving { until } if now >= until => Phase::Ended { cause: "halted", stored: true },
                same => same,
            };
            if next != *phase {
                if matches!(*phase, Phase::Pulling { .. }) {
                    self.world.came(&self.host, piece);
                }
                if matches!(next, Phase::Ended { .. }) {
                    self.world.left(&self.host, piece);
                }
                *phase = next;
                events.push(format!("{}: {piece} try {attempt} {}", self.host, name_of(next)));
            }
        }
        for event in events {
            state.changed = true;
            self.world.record(&event);
        }
    }

    fn status(&self, state: &mut State) -> String {
        state.tick += 1;
        let pieces: Vec<String> = state
            .tasks
            .iter()
            .map(|((piece, attempt), phase)| {
                let (name, rest) = match phase {
                    Phase::Pulling { .. } => ("pulling", String::new()),
                    Phase::Running { .. } => ("running", String::new()),
                    Phase::Saving { .. } => ("saving", String::new()),
                    Phase::Ended { cause, stored } => ("ended", format!(",\"cause\":\"{cause}\",\"stored\":{stored}")),
                };
                format!("{{\"piece\":{},\"try\":{attempt},\"phase\":\"{name}\"{rest}}}", quote(piece))
            })
            .collect();
        format!(
            "{{\"host\":{},\"endpoint\":{},\"rig\":\"{RIG}\",\"site\":{},\"loaners\":{},\"tenure\":{},\"tick\":{},\
             \"baton\":{},\"recallS\":null,\"pieces\":[{}]}}",
            quote(&self.host), quote(&state.endpoint), quote(&self.site), self.loaners, state.tenure, state.tick,
            state.baton, pieces.join(",")
        )
    }

    fn execute(&self, state: &mut State, body: &Json) {
        for order in body.get("orders").items() {
            let (Some(piece), Some(attempt)) = (order.get("piece").str(), order.get("try").u64()) else {
                continue;
            };
            let key = (piece.to_owned(), attempt);
            match order.get("verb").str() {
                Some("launch") if !state.tasks.contains_key(&key) => {
                    let phase = self.launch(state, piece);
                    self.world.record(&format!("{}: launch {piece} try {attempt}: {}", self.host, name_of(phase)));
                    state.tasks.insert(key, phase);
                    state.changed = true;
                }
                Some("stop") => {
                    let job = self.world.job_of(piece);
                    let grace = order.get("windDownS").f64().unwrap_or(0.0);
                    let Some(phase) = state.tasks.get_mut(&key) else { continue };
                    let next = match *phase {
                        Phase::Ended { .. } => continue,
                        Phase::Running { .. } if job.mark_every > 0.0 && grace >= job.mark_cost => {
                            Phase::Saving { until: Instant::now() + Duration::from_secs_f64(job.mark_cost) }
                        }
                        Phase::Saving { .. } if grace > 0.0 => continue,
                        _ => Phase::Ended { cause: "halted", stored: false },
                    };
                    *phase = next;
                    if matches!(next, Phase::Ended { .. }) {
                        self.world.left(&self.host, piece);
                    }
                    state.changed = true;
                    self.world.record(&format!("{}: stop {piece} try {attempt}: {}", self.host, name_of(next)));
                }
                Some("clear") => {
                    if matches!(state.tasks.get(&key), Some(Phase::Ended { .. })) {
                        state.tasks.remove(&key);
                    }
                }
                _ => {}
            }
        }
    }

    fn launch(&self, state: &State, piece: &str) -> Phase {
        let refused = |cause| Phase::Ended { cause, stored: false };
        let Some(job) = self.world.find_job_of(piece) else { return refused("no_such") };
        let live = || state.tasks.iter().filter(|(_, p)| !matches!(p, Phase::Ended { .. }));
        if live().any(|((other, _), _)| other == piece) {
            return refused("busy");
        }
        let (mut cpus, mut gpus, mut ram) = (job.cpus, job.gpus, job.ram);
        for ((other, _), _) in live() {
            let other = self.world.job_of(other);
            cpus += other.cpus;
            gpus += other.gpus;
            ram += other.ram;
        }
        if cpus > CPUS + 1e-6 || gpus > GPUS + 1e-6 || ram > RAM_GB + 1e-6 {
            return refused("full");
        }
        let pull_s = if state.images.contains(&job.bundle) { 0.0 } else { job.pull_gb / FETCH_GB_PER_S };
        Phase::Pulling { until: Instant::now() + Duration::from_secs_f64(pull_s) }
    }

    /// Handles `/commands` and `/inspect`.
    fn handle(&self, request: &Request) -> Option<Response> {
        if request.path == "/commands" {
            if let Some(time) = self.world.take_hold(&String::from_utf8_lossy(&request.body)) {
                // The network delivers the message late; the sender has given up long before.
                let text = String::from_utf8_lossy(&request.body).into_owned();
                self.world.record(&format!("trouble: {}: commands held back for {time:?}: {text}", self.host));
                thread::sleep(time);
                self.world.record(&format!("trouble: {}: commands delivered late: {text}", self.host));
                let answer = self.execute_request(request);
                self.world.record(&format!("{}: late commands: {:?}", self.host, answer.map(|(status, _)| status)));
                return None;
            }
        }
        self.execute_request(request)
    }

    fn execute_request(&self, request: &Request) -> Option<Response> {
        if self.gone.load(Ordering::SeqCst) {
            return None;
        }
        let mut state = self.state.lock().unwrap();
        self.advance(&mut state);
        if request.path == "/inspect" {
            return Some((200, self.status(&mut state)));
        }
        let body = Json::parse(&request.body)?;
        let (Some(baton), Some(tenure)) = (body.get("baton").u64(), body.get("tenure").u64()) else {
            return Some((400, "{}".into()));
        };
        if baton < state.baton || tenure != state.tenure {
            return Some((409, self.status(&mut state)));
        }
        self.saw_token(&mut state, baton);
        self.execute(&mut state, &body);
        self.advance(&mut state);
        Some((200, self.status(&mut state)))
    }

    /// At most once in half of the lease a higher token counts as a change.
    fn saw_token(&self, state: &mut State, baton: u64) {
        if baton > state.baton {
            state.baton = baton;
            let due = state.token_change_at.is_none_or(|at| at.elapsed() > self.world.times.lease / 2);
            if due {
                state.token_change_at = Some(Instant::now());
                state.changed = true;
            }
        }
    }

    fn report(&self) {
        let mut node = self.world.random(self.world.fronts.len() as u64) as usize;
        let mut client = Client::new(&self.world.fronts[node]);
        let mut last = Instant::now() - Duration::from_secs(60);
        while !self.gone.load(Ordering::SeqCst) {
            let interval = self.world.times.report.mul_f64(0.75 + self.world.random(500) as f64 / 1000.0);
            loop {
                thread::sleep(Duration::from_millis(25));
                let mut state = self.state.lock().unwrap();
                self.advance(&mut state);
                let since = last.elapsed();
                if since >= interval || (state.changed && since >= Duration::from_millis(500)) {
                    break;
                }
            }
            last = Instant::now();
            let (tenure, body) = {
                let mut state = self.state.lock().unwrap();
                state.changed = false;
                (state.tenure, self.status(&mut state))
            };
            let answer = client.call("POST", "/checkin", &body, Duration::from_secs(4));
            let next = match answer {
                Some((200, body)) => {
                    self.answered(tenure, last, &body);
                    continue;
                }
                Some((421, body)) => {
                    let foreman = Json::parse(body.as_bytes()).and_then(|b| Some(b.get("foreman").str()?.to_owned()));
                    foreman
                        .and_then(|name| self.world.names.iter().position(|known| *known == name))
                        .filter(|number| *number != node)
                }
                _ => None,
            };
            match next {
                Some(number) => {
                    thread::sleep(Duration::from_millis(self.world.random(500)));
                    node = number;
                    last = Instant::now() - Duration::from_secs(60);
                }
                None => {
                    thread::sleep(Duration::from_secs(1));
                    node = (node + 1) % self.world.fronts.len();
                    last = Instant::now() - Duration::from_secs(60);
                }
            }
            client = Client::new(&self.world.fronts[node]);
        }
    }

    fn answered(&self, tenure: u64, sent: Instant, body: &str) {
        let Some(body) = Json::parse(body.as_bytes()) else { return };
        let mut state = self.state.lock().unwrap();
        self.advance(&mut state);
        let baton = body.get("baton").u64();
        if tenure != state.tenure || baton.is_none_or(|baton| baton < state.baton) {
            return;
        }
        self.saw_token(&mut state, baton.unwrap_or(0));
        state.lease_from = state.lease_from.max(sent);
        self.world.heartbeat_answered();
        self.execute(&mut state, &body);
        self.advance(&mut state);
    }
}

fn name_of(phase: Phase) -> String {
    match phase {
        Phase::Pulling { .. } => "pulling".into(),
        Phase::Running { .. } => "running".into(),
        Phase::Saving { .. } => "saving".into(),
        Phase::Ended { cause, .. } => format!("ended {cause}"),
    }
}
