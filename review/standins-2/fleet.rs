//! The cloud, its machines with their workers, and the tasks on them. A single lock guards all of it. Starts are
//! compared with the operators' rules as they happen.

use crate::http::{call, serve, Reply, Request};
use crate::json::Json;
use crate::record::Record;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(20);
const REPORT_TIMEOUT: Duration = Duration::from_secs(4);
const NEXT_NODE_DELAY: Duration = Duration::from_secs(1);
const MIN_REPORT_SPACING: Duration = Duration::from_millis(500);

#[derive(Clone, Debug)]
pub struct MachineType {
    pub name: &'static str,
    pub cpus: f64,
    pub gpus: f64,
    pub ram_gb: f64,
    pub boot_s: f64,
}

/// How many ordinary and how many spot machines of a type the cloud has in a zone.
#[derive(Clone, Debug)]
pub struct Offer {
    pub rig: &'static str,
    pub site: &'static str,
    pub ordinary: usize,
    pub spot: usize,
}

#[derive(Clone, Copy)]
pub struct WorkerTimes {
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub cancel_s: f64,
}

/// A job as its user submits it, with what its tasks do.
#[derive(Clone, Debug)]
pub struct Job {
    pub id: String,
    pub class: &'static str,
    pub team: String,
    pub shape: &'static str,
    pub urgency: &'static str,
    pub pieces: u32,
    pub cpus: f64,
    pub gpus: f64,
    pub ram_gb: f64,
    pub bundle: &'static str,
    pub together: bool,
    pub scatter: bool,
    pub loaners: bool,
    pub site: Option<&'static str>,
    pub waits_on: Vec<String>,
    pub run: Duration,
    pub fetch: Duration,
    /// The size of the image, as its user states it.
    pub pull_gb: f64,
    /// The job was submitted with a mistake, and fails on every machine.
    pub fails: bool,
}

impl Job {
    /// An array of one task that takes one CPU.
    pub fn small(id: &str, team: &str, run: Duration) -> Job {
        Job {
            id: id.into(),
            class: "review",
            team: team.into(),
            shape: "array",
            urgency: "normal",
            pieces: 1,
            cpus: 1.0,
            gpus: 0.0,
            ram_gb: 1.0,
            bundle: "img-01",
            together: false,
            scatter: false,
            loaners: true,
            site: None,
            waits_on: Vec::new(),
            run,
            fetch: Duration::from_millis(200),
            pull_gb: 6.2,
            fails: false,
        }
    }

    pub fn body(&self) -> String {
        let Job {
            id,
            class,
            team,
            shape,
            urgency,
            pieces,
            cpus,
            gpus,
            ram_gb,
            bundle,
            together,
            scatter,
            loaners,
            pull_gb,
            ..
        } = self;
        let site = self
            .site
            .map_or(String::new(), |site| format!(",\"site\":\"{site}\""));
        let waits: Vec<String> = self.waits_on.iter().map(|id| format!("\"{id}\"")).collect();
        let waits = if waits.is_empty() {
            String::new()
        } else {
            format!(",\"waitsOn\":[{}]", waits.join(","))
        };
        format!(
            "{{\"ref\":\"{id}\",\"jobclass\":\"{class}\",\"crew\":\"{team}\",\"shape\":\"{shape}\",\"urgency\":\"{urgency}\",\
             \"pieces\":{pieces},\"cpus\":{cpus:.1},\"gpus\":{gpus:.1},\"ramGb\":{ram_gb:.1},\"bundle\":\"{bundle}\",\
             \"pullGb\":{pull_gb:.1},\"together\":{together},\"scatter\":{scatter},\"loaners\":{loaners},\
             \"guessS\":{:.1},\"markEveryS\":0.0,\"markCostS\":0.0{site}{waits}}}",
            self.run.as_secs_f64().min(600.0)
        )
    }
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Phase {
    Pulling,
    Waiting,
    Running,
    Ended,
}

struct Task {
    job: String,
    index: u32,
    phase: Phase,
    cause: &'static str,
    since: Instant,
}

type TaskKey = (String, u64);

struct Machine {
    rig: &'static str,
    site: &'static str,
    spot: bool,
    rented_at: Instant,
    up_at: Option<Instant>,
    endpoint: String,
    tenure: u64,
    tick: u64,
    baton: u64,
    lease_from: Instant,
    tasks: BTreeMap<TaskKey, Task>,
    images: BTreeSet<&'static str>,
    changed: bool,
    /// It fails every task that it starts from the first time to the second.
    sick: (Instant, Instant),
}

pub struct State {
    types: Vec<MachineType>,
    offers: Vec<Offer>,
    machines: BTreeMap<String, Machine>,
    hires: BTreeMap<String, Vec<String>>,
    jobs: BTreeMap<String, Job>,
    done: BTreeSet<(String, u32)>,
    cancelled: BTreeMap<String, Instant>,
    limits: BTreeMap<String, (f64, f64)>,
    last_machine: usize,
    /// Starts of each job's tasks.
    pub starts: BTreeMap<String, u32>,
    pub violations: Vec<String>,
}

pub struct Fleet {
    state: Mutex<State>,
    times: WorkerTimes,
    boot: Duration,
    nodes: Mutex<Vec<(String, String)>>,
    record: Arc<Record>,
}

fn on_machine(task: &Task) -> bool {
    matches!(task.phase, Phase::Waiting | Phase::Running)
}

impl Fleet {
    pub fn new(
        types: Vec<MachineType>,
        offers: Vec<Offer>,
        times: WorkerTimes,
        boot: Duration,
        record: Arc<Record>,
    ) -> Arc<Fleet> {
        let state = State {
            types,
            offers,
            machines: BTreeMap::new(),
            hires: BTreeMap::new(),
            jobs: BTreeMap::new(),
            done: BTreeSet::new(),
            cancelled: BTreeMap::new(),
            limits: BTreeMap::new(),
            last_machine: 0,
            starts: BTreeMap::new(),
            violations: Vec::new(),
        };
        let fleet = Arc::new(Fleet {
            state: Mutex::new(state),
            times,
            boot,
            nodes: Mutex::default(),
            record,
        });
        let clock = fleet.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(STEP);
            clock.step();
        });
        fleet
    }

    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// The names and addresses of the controllers, for the workers.
    pub fn set_nodes(&self, nodes: Vec<(String, String)>) {
        *self.nodes.lock().unwrap() = nodes;
    }

    pub fn set_team_limit(&self, team: &str, cpus: f64, gpus: f64) {
        self.state().limits.insert(team.into(), (cpus, gpus));
    }

    /// The user uploads the job's description, from which the workers fetch it.
    pub fn submit(&self, job: &Job) {
        self.state().jobs.insert(job.id.clone(), job.clone());
    }

    pub fn user_told_cancelled(&self, id: &str) {
        self.state()
            .cancelled
            .entry(id.into())
            .or_insert_with(Instant::now);
    }

    pub fn is_done(&self, id: &str) -> bool {
        let state = self.state();
        state
            .jobs
            .get(id)
            .is_some_and(|job| (0..job.pieces).all(|index| state.done.contains(&(id.to_owned(), index))))
    }

    pub fn starts_of(&self, id: &str) -> u32 {
        self.state().starts.get(id).copied().unwrap_or(0)
    }

    pub fn machines_up(&self) -> Vec<String> {
        let state = self.state();
        let up = state.machines.iter().filter(|(_, m)| m.up_at.is_some());
        up.map(|(id, _)| id.clone()).collect()
    }

    /// The cloud takes a spot machine back without notice, and has no other in its place.
    pub fn take_back(&self, id: &str) {
        let mut state = self.state();
        let Some(machine) = state.machines.remove(id) else {
            return;
        };
        self.record.line(&format!("cloud takes {id} back without notice"));
        let same = |offer: &&mut Offer| offer.rig == machine.rig && offer.site == machine.site;
        for offer in state.offers.iter_mut().filter(same) {
            offer.spot = offer.spot.saturating_sub(1);
        }
    }

    /// The machine fails every task that it starts in this time.
    pub fn make_sick(&self, id: &str, time: Duration) {
        self.record.line(&format!(
            "machine {id} fails every task that it starts for {} s",
            time.as_secs()
        ));
        if let Some(machine) = self.state().machines.get_mut(id) {
            let now = Instant::now();
            machine.sick = (now, now + time);
        }
    }

    /// Where tasks of the job are now: machine, index, phase.
    pub fn tasks_of(&self, id: &str) -> Vec<(String, u32, Phase)> {
        let state = self.state();
        let mut found = Vec::new();
        for (machine, m) in &state.machines {
            for task in m
                .tasks
                .values()
                .filter(|task| task.job == id && task.phase != Phase::Ended)
            {
                found.push((machine.clone(), task.index, task.phase));
            }
        }
        found
    }

    /// CPUs and GPUs that are free on a machine that is up.
    pub fn free_on(&self, machine: &str) -> Option<(f64, f64)> {
        let state = self.state();
        let m = state.machines.get(machine).filter(|m| m.up_at.is_some())?;
        Some(state.free(m))
    }

    // The cloud.

    pub fn cloud_address(self: &Arc<Fleet>) -> String {
        let fleet = self.clone();
        serve(Arc::new(move |request| fleet.cloud(&request)))
    }

    fn cloud(self: &Arc<Fleet>, request: &Request) -> Reply {
        let (status, body) = match request.path.split('?').next().unwrap_or("") {
            "/machine_types" => (200, self.types_text()),
            "/rentals" if request.method == "POST" => self.rent(&request.body),
            "/rentals/return" => self.give_back(&request.body),
            "/rentals" => (200, self.listing(&request.path)),
            _ => (400, "{}".into()),
        };
        Reply::Answer(status, body)
    }

    fn types_text(&self) -> String {
        let state = self.state();
        let rigs: Vec<String> = state
            .types
            .iter()
            .map(|t| {
                let sites: BTreeSet<&str> = state.offers.iter().filter(|o| o.rig == t.name).map(|o| o.site).collect();
                let sites: Vec<String> = sites.iter().map(|site| format!("\"{site}\"")).collect();
                format!(
                    "{{\"sku\":\"{}\",\"cpus\":{:.1},\"gpus\":{:.1},\"ramGb\":{:.1},\"localGb\":150.0,\"fetchGbPerS\":0.25,\
                     \"hourly\":27.6,\"marketPrice\":12.1,\"bootS\":{:.1},\"sites\":[{}]}}",
                    t.name, t.cpus, t.gpus, t.ram_gb, t.boot_s, sites.join(",")
                )
            })
            .collect();
        format!("{{\"rigs\":[{}]}}", rigs.join(","))
    }

    fn rent(self: &Arc<Fleet>, body: &str) -> (u16, String) {
        let Some(request) = Json::parse(body) else {
            return (400, "{}".into());
        };
        let hire = request.get("hire").text().to_owned();
        let names = |ids: &[String]| {
            let ids: Vec<String> = ids.iter().map(|id| format!("\"{id}\"")).collect();
            (200, format!("{{\"hosts\":[{}]}}", ids.join(",")))
        };
        let mut state = self.state();
        if let Some(ids) = state.hires.get(&hire) {
            return names(ids);
        }
        let spot = *request.get("loaners") == Json::Bool(true);
        let (rig, site) = (request.get("rig").text(), request.get("site").text());
        let Some(offer) = state
            .offers
            .iter()
            .find(|o| o.rig == rig && o.site == site)
            .cloned()
        else {
            return (400, "{}".into());
        };
        let in_use = |m: &&Machine| m.rig == rig && m.site == site && m.spot == spot;
        let in_use = state.machines.values().filter(in_use).count();
        let room = if spot { offer.spot } else { offer.ordinary }.saturating_sub(in_use);
        let number = room.min(request.get("number").u64().unwrap_or(0).min(50) as usize);
        if number == 0 {
            return (503, "{\"error\":\"no capacity\"}".into());
        }
        let now = Instant::now();
        let mut ids = Vec::new();
        for _ in 0..number {
            state.last_machine += 1;
            let id = format!("host-{:06}", state.last_machine);
            let machine = Machine {
                rig: offer.rig,
                site: offer.site,
                spot,
                rented_at: now,
                up_at: None,
                endpoint: String::new(),
                tenure: 1,
                tick: 0,
                baton: 0,
                lease_from: now,
                tasks: BTreeMap::new(),
                images: BTreeSet::new(),
                changed: false,
                sick: (now, now),
            };
            state.machines.insert(id.clone(), machine);
            self.record
                .line(&format!("cloud rents out {id}: {rig} in {site}, spot {spot}"));
            let (fleet, name) = (self.clone(), id.clone());
            std::thread::spawn(move || fleet.run_worker(&name));
            ids.push(id);
        }
        state.hires.insert(hire, ids.clone());
        names(&ids)
    }

    fn give_back(&self, body: &str) -> (u16, String) {
        let Some(request) = Json::parse(body) else {
            return (400, "{}".into());
        };
        let mut state = self.state();
        for id in request.get("hosts").list() {
            if state.machines.remove(id.text()).is_some() {
                self.record.line(&format!("cloud takes back {}", id.text()));
            }
        }
        (200, "{}".into())
    }

    fn listing(&self, path: &str) -> String {
        let since = path
            .split(['?', '&'])
            .find_map(|pair| pair.strip_prefix("since="))
            .unwrap_or("");
        let state = self.state();
        let now = Instant::now();
        let hosts: Vec<String> = state
            .machines
            .iter()
            .filter(|(id, _)| id.as_str() > since)
            .map(|(id, m)| {
                let phase = if m.up_at.is_some() { "running" } else { "starting" };
                format!(
                    "{{\"ref\":\"{id}\",\"endpoint\":\"{}\",\"rig\":\"{}\",\"site\":\"{}\",\"loaners\":{},\"phase\":\"{phase}\",\"heldS\":{:.1}}}",
                    m.endpoint, m.rig, m.site, m.spot, (now - m.rented_at).as_secs_f64()
                )
            })
            .collect();
        format!("{{\"hosts\":[{}],\"hasNext\":false}}", hosts.join(","))
    }

    // The workers.

    fn run_worker(self: Arc<Fleet>, id: &str) {
        std::thread::sleep(self.boot);
        let (fleet, name) = (self.clone(), id.to_owned());
        let endpoint = serve(Arc::new(move |request| fleet.handle_push(&name, &request)));
        {
            let mut state = self.state();
            let now = Instant::now();
            let Some(machine) = state.machines.get_mut(id) else {
                return;
            };
            machine.endpoint = endpoint;
            machine.up_at = Some(now);
            machine.lease_from = now;
            machine.changed = true;
        }
        let mut node = id.bytes().map(usize::from).sum::<usize>();
        let mut number = 0u64;
        loop {
            let waiting_since = Instant::now();
            // Every `report_s`, give or take a quarter.
            number += 1;
            let spread = 0.75 + 0.5 * ((number * 7 + node as u64) % 11) as f64 / 10.0;
            let interval = Duration::from_secs_f64(self.times.report_s * spread);
            loop {
                std::thread::sleep(STEP);
                let state = self.state();
                let Some(machine) = state.machines.get(id) else {
                    return;
                };
                let waited = waiting_since.elapsed();
                let due = waited >= interval || (machine.changed && waited >= MIN_REPORT_SPACING);
                if due {
                    break;
                }
            }
            if !self.report(id, &mut node) {
                node += 1;
                std::thread::sleep(NEXT_NODE_DELAY);
            }
        }
    }

    /// Sends a report. Returns false if the worker has to try the next controller.
    fn report(&self, id: &str, node: &mut usize) -> bool {
        let nodes = self.nodes.lock().unwrap().clone();
        let (text, tenure) = {
            let mut state = self.state();
            let Some(machine) = state.machines.get_mut(id) else {
                return true;
            };
            machine.changed = false;
            machine.tick += 1;
            (machine.status(id), machine.tenure)
        };
        let sent_at = Instant::now();
        let answer = call(
            &nodes[*node % nodes.len()].1,
            "POST",
            "/checkin",
            &text,
            REPORT_TIMEOUT,
        );
        let Some((status, body)) = answer else {
            return false;
        };
        let body = Json::parse(&body).unwrap_or(Json::Null);
        match status {
            200 => {
                let mut state = self.state();
                let now = Instant::now();
                let Some(machine) = state.machines.get_mut(id) else {
                    return true;
                };
                let baton = body.get("baton").u64();
                let stale = machine.tenure != tenure || baton.is_none_or(|baton| baton < machine.baton);
                if stale || now - sent_at > REPORT_TIMEOUT {
                    return true;
                }
                machine.lease_from = sent_at;
                machine.see(baton.unwrap_or(0));
                self.execute(&mut state, id, body.get("orders"));
                true
            }
            421 => {
                let foreman = body.get("foreman").text();
                let named = nodes.iter().position(|(name, _)| name == foreman);
                match named.filter(|named| *named != *node % nodes.len()) {
                    Some(named) => {
                        *node = named;
                        self.state().machines.get_mut(id).map(|m| m.changed = true);
                        true
                    }
                    None => false,
                }
            }
            _ => false,
        }
    }

    fn handle_push(&self, id: &str, request: &Request) -> Reply {
        let mut status = 200;
        if request.path == "/commands" {
            let body = Json::parse(&request.body).unwrap_or(Json::Null);
            let (Some(baton), Some(tenure)) = (body.get("baton").u64(), body.get("tenure").u64()) else {
                return Reply::Answer(400, "{}".into());
            };
            let mut state = self.state();
            let Some(machine) = state.machines.get_mut(id) else {
                return Reply::Silence(Duration::from_secs(5));
            };
            if baton < machine.baton || tenure != machine.tenure {
                status = 409;
            } else {
                machine.see(baton);
                self.execute(&mut state, id, body.get("orders"));
            }
        }
        let mut state = self.state();
        let Some(machine) = state.machines.get_mut(id) else {
            return Reply::Silence(Duration::from_secs(5));
        };
        machine.tick += 1;
        Reply::Answer(status, machine.status(id))
    }

    fn execute(&self, state: &mut State, id: &str, orders: &Json) {
        let now = Instant::now();
        for order in orders.list() {
            let (verb, piece) = (order.get("verb").text(), order.get("piece").text());
            let key = (piece.to_owned(), order.get("try").u64().unwrap_or(0));
            self.record
                .line(&format!("order to {id}: {verb} {piece} try {}", key.1));
            let Some(machine) = state.machines.get_mut(id) else {
                return;
            };
            machine.changed = true;
            match verb {
                "clear" => {
                    if machine
                        .tasks
                        .get(&key)
                        .is_some_and(|task| task.phase == Phase::Ended)
                    {
                        machine.tasks.remove(&key);
                    }
                }
                "stop" => {
                    if let Some(task) = machine
                        .tasks
                        .get_mut(&key)
                        .filter(|task| task.phase != Phase::Ended)
                    {
                        (task.phase, task.cause, task.since) = (Phase::Ended, "halted", now);
                        self.record.line(&format!("task {piece} on {id} ends: halted"));
                    }
                }
                "launch" if !machine.tasks.contains_key(&key) => {
                    let Some((job, index)) = piece.rsplit_once('/') else {
                        continue;
                    };
                    let index: u32 = index.parse().unwrap_or(u32::MAX);
                    let cause = state.refusal(id, job, index, piece);
                    let phase = if cause.is_empty() {
                        Phase::Pulling
                    } else {
                        Phase::Ended
                    };
                    let task = Task {
                        job: job.into(),
                        index,
                        phase,
                        cause,
                        since: now,
                    };
                    if let Some(machine) = state.machines.get_mut(id) {
                        machine.tasks.insert(key, task);
                    }
                }
                _ => {}
            }
        }
    }

    /// Moves all tasks on, and ends leases.
    fn step(&self) {
        let mut state = self.state();
        let now = Instant::now();
        let lease = Duration::from_secs_f64(self.times.lease_s);
        let gang_wait = Duration::from_secs_f64(self.times.gang_wait_s);
        let cancel = Duration::from_secs_f64(self.times.cancel_s);
        let ids: Vec<String> = state.machines.keys().cloned().collect();
        for id in ids {
            let Some(machine) = state.machines.get_mut(&id) else {
                continue;
            };
            if machine.up_at.is_none() {
                continue;
            }
            if now - machine.lease_from > lease {
                self.record.line(&format!(
                    "lease of {id} ends, session {} begins",
                    machine.tenure + 1
                ));
                machine.tasks.clear();
                machine.tenure += 1;
                machine.lease_from = now;
                machine.changed = true;
                continue;
            }
            let keys: Vec<TaskKey> = machine.tasks.keys().cloned().collect();
            for key in keys {
                self.step_task(&mut state, &id, &key, now, gang_wait);
            }
        }
        let late = state
            .machines
            .iter()
            .flat_map(|(id, m)| m.tasks.values().map(move |task| (id, task)));
        let late = late.filter(|(_, task)| on_machine(task));
        let late = late.filter(|(_, task)| {
            state
                .cancelled
                .get(&task.job)
                .is_some_and(|at| now - *at > cancel)
        });
        let late: Vec<String> = late
            .map(|(id, task)| format!("ran_cancelled: {}/{} on {id}", task.job, task.index))
            .collect();
        for text in late {
            self.violation(&mut state, text);
        }
    }

    fn step_task(&self, state: &mut State, id: &str, key: &TaskKey, now: Instant, gang_wait: Duration) {
        let Some(machine) = state.machines.get(id) else {
            return;
        };
        let Some(task) = machine.tasks.get(key) else {
            return;
        };
        let Some(job) = state.jobs.get(&task.job).cloned() else {
            return;
        };
        let (phase, since, index) = (task.phase, task.since, task.index);
        let is_gang = job.shape == "gang";
        let (next, cause) = match phase {
            Phase::Pulling if machine.images.contains(job.bundle) || now - since >= job.fetch => {
                let next = if is_gang { Phase::Waiting } else { Phase::Running };
                (next, "")
            }
            Phase::Waiting if state.gang_is_ready(&job, key.1) => (Phase::Running, ""),
            Phase::Waiting if now - since > gang_wait => (Phase::Ended, "incomplete"),
            Phase::Running if job.fails || (machine.sick.0..machine.sick.1).contains(&since) => {
                (Phase::Ended, "error")
            }
            Phase::Running if state.done.contains(&(job.id.clone(), index)) => (Phase::Ended, "done"),
            Phase::Running if job.shape != "standing" && now - since >= job.run => (Phase::Ended, "done"),
            Phase::Running if is_gang && !state.gang_is_ready(&job, key.1) => (Phase::Ended, "mates_gone"),
            _ => return,
        };
        if phase == Phase::Pulling {
            self.check_start(state, id, &job, index);
        }
        if cause == "done" {
            let indices = if is_gang { 0..job.pieces } else { index..index + 1 };
            state.done.extend(indices.map(|index| (job.id.clone(), index)));
        }
        let Some(machine) = state.machines.get_mut(id) else {
            return;
        };
        machine.images.insert(job.bundle);
        machine.changed = true;
        if let Some(task) = machine.tasks.get_mut(key) {
            (task.phase, task.cause, task.since) = (next, cause, now);
        }
        self.record
            .line(&format!("task {} on {id}: {next:?} {cause}", key.0));
    }

    /// Compares the start of a task with the rules.
    fn check_start(&self, state: &mut State, id: &str, job: &Job, index: u32) {
        *state.starts.entry(job.id.clone()).or_default() += 1;
        let mut broken = Vec::new();
        let mut used = (job.cpus, job.gpus);
        let mut sites: BTreeMap<&str, u32> = BTreeMap::new();
        for (other, machine) in &state.machines {
            for task in machine.tasks.values().filter(|task| on_machine(task)) {
                if task.job == job.id && task.index == index && other != id {
                    broken.push(format!(
                        "ran_twice: {}/{index} starts on {id} while it is on {other}",
                        job.id
                    ));
                }
                if task.job == job.id && !(task.index == index && other == id) {
                    *sites.entry(machine.site).or_default() += 1;
                }
                if let Some(other) = state.jobs.get(&task.job).filter(|other| other.team == job.team) {
                    used = (used.0 + other.cpus, used.1 + other.gpus);
                }
            }
        }
        if let Some((cpus, gpus)) = state.limits.get(&job.team) {
            if (*cpus > 0.0 && used.0 > cpus + 0.001) || (*gpus > 0.0 && used.1 > gpus + 0.001) {
                broken.push(format!(
                    "quota: {} uses {used:?} with {}/{index}",
                    job.team, job.id
                ));
            }
        }
        let Some(machine) = state.machines.get(id) else {
            return;
        };
        let here = sites.get(machine.site).copied().unwrap_or(0);
        let elsewhere = sites.keys().any(|site| *site != machine.site);
        let misplaced = (job.together && elsewhere)
            || (job.scatter && here >= job.pieces.div_ceil(2))
            || job.site.is_some_and(|site| site != machine.site)
            || (machine.spot && !job.loaners);
        if misplaced {
            broken.push(format!(
                "wrong_place: {}/{index} starts on {id} in {}",
                job.id, machine.site
            ));
        }
        for upstream in &job.waits_on {
            let pieces = state.jobs.get(upstream).map_or(0, |job| job.pieces);
            if !(0..pieces).all(|index| state.done.contains(&(upstream.clone(), index))) {
                broken.push(format!(
                    "too_early: {}/{index} starts before {upstream} is done",
                    job.id
                ));
            }
        }
        for text in broken {
            self.violation(state, text);
        }
    }

    fn violation(&self, state: &mut State, text: String) {
        if !state.violations.contains(&text) {
            self.record.line(&format!("RULE BROKEN {text}"));
            state.violations.push(text);
        }
    }
}

impl State {
    fn free(&self, machine: &Machine) -> (f64, f64) {
        let Some(rig) = self.types.iter().find(|t| t.name == machine.rig) else {
            return (0.0, 0.0);
        };
        let live = machine.tasks.values().filter(|task| task.phase != Phase::Ended);
        let jobs = live.filter_map(|task| self.jobs.get(&task.job));
        jobs.fold((rig.cpus, rig.gpus), |free, job| {
            (free.0 - job.cpus, free.1 - job.gpus)
        })
    }

    /// Why the machine refuses to start the task; empty if it does not.
    fn refusal(&self, id: &str, job: &str, index: u32, piece: &str) -> &'static str {
        let (Some(machine), Some(job)) = (self.machines.get(id), self.jobs.get(job)) else {
            return "no_such";
        };
        if index >= job.pieces {
            return "no_such";
        }
        let same = |(key, task): (&TaskKey, &Task)| key.0 == piece && task.phase != Phase::Ended;
        if machine.tasks.iter().any(same) {
            return "busy";
        }
        let free = self.free(machine);
        if free.0 + 0.001 < job.cpus || free.1 + 0.001 < job.gpus {
            return "full";
        }
        ""
    }

    /// Whether all tasks of the gang have their image, in this attempt.
    fn gang_is_ready(&self, job: &Job, attempt: u64) -> bool {
        let tasks = self.machines.values().flat_map(|m| m.tasks.iter());
        let ready = tasks.filter(|((_, number), task)| {
            *number == attempt && task.job == job.id && (on_machine(task) || task.cause == "done")
        });
        let ready: BTreeSet<u32> = ready.map(|(_, task)| task.index).collect();
        ready.len() as u32 == job.pieces
    }
}

impl Machine {
    fn see(&mut self, baton: u64) {
        self.changed |= baton > self.baton;
        self.baton = self.baton.max(baton);
    }

    fn status(&self, id: &str) -> String {
        let pieces: Vec<String> = self
            .tasks
            .iter()
            .map(|((piece, number), task)| {
                let phase = match task.phase {
                    Phase::Pulling => "pulling",
                    Phase::Waiting => "waiting",
                    Phase::Running => "running",
                    Phase::Ended => "ended",
                };
                let cause = if task.cause.is_empty() {
                    String::new()
                } else {
                    format!(",\"cause\":\"{}\"", task.cause)
                };
                format!("{{\"piece\":\"{piece}\",\"try\":{number},\"phase\":\"{phase}\"{cause}}}")
            })
            .collect();
        format!(
            "{{\"host\":\"{id}\",\"endpoint\":\"{}\",\"rig\":\"{}\",\"site\":\"{}\",\"loaners\":{},\"tenure\":{},\"tick\":{},\
             \"baton\":{},\"recallS\":null,\"pieces\":[{}]}}",
            self.endpoint, self.rig, self.site, self.spot, self.tenure, self.tick, self.baton, pieces.join(",")
        )
    }
}
