//! The cases.

use crate::controllers::{free_ports, Controllers, Facts};
use crate::http::Client;
use crate::json::Json;
use crate::machines::{Cloud, ZONES};
use crate::store::{Limits, Store};
use crate::world::{Job, WorkerTimes, World};
use std::collections::BTreeMap;
use std::fs::File;
use std::path::Path;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

const CONTROLLERS: usize = 3;
/// A controller comes back about 6 s after an end.
const RESTART: Duration = Duration::from_secs(6);

/// Whether the rule held, or why the case could not run.
type Verdict = Result<bool, String>;

pub fn run(case: &str, run: &str, dir: &Path, record: &Path, trouble: bool) -> Verdict {
    match case {
        "late-launch" => late_launch(run, dir, record, trouble),
        "lost-replica" => lost_replica(run, dir, record, trouble),
        "long-lists" => long_lists(run, dir, record, trouble),
        _ => Err(format!("no case {case}")),
    }
}

/// Settings of a small deployment: the station network's, with room for some load.
fn facts() -> Facts {
    Facts {
        zones: vec!["bayangol", "chingeltei", "nalaikh"],
        teams: vec![("forecasting", 24.0, 56.0), ("data-platform", 40.0, 136.0)],
        report_s: 3.0,
        lease_s: 26.0,
        gang_wait_s: 40.0,
        gang_peer_s: 4.0,
        cancel_s: 51.0,
        rps: 120.0,
        write_rps: 25.0,
        value_kb: 4.0,
        txn_ops: 8,
        cloud_rps: 5.0,
        list_lag_s: 6.0,
    }
}

/// The times and limits of the river site.
fn river_facts() -> Facts {
    Facts {
        report_s: 2.0,
        lease_s: 10.0,
        gang_wait_s: 50.0,
        gang_peer_s: 6.0,
        cancel_s: CANCEL_S,
        rps: 250.0,
        write_rps: 100.0,
        value_kb: 8.0,
        txn_ops: 32,
        cloud_rps: 6.0,
        ..facts()
    }
}

struct Deployment {
    world: Arc<World>,
    store: Arc<Store>,
    cloud: Arc<Cloud>,
    controllers: Controllers,
    users: Vec<Client>,
}

impl Deployment {
    fn start(run: &str, dir: &Path, record: &Path, facts: &Facts, machines: usize) -> Result<Deployment, String> {
        let record = File::create(record).map_err(|error| format!("record: {error}"))?;
        let ports = free_ports(2 * CONTROLLERS);
        let addr = |port: &u16| format!("127.0.0.1:{port}");
        let fronts: Vec<String> = ports[..CONTROLLERS].iter().map(addr).collect();
        let peers: Vec<String> = ports[CONTROLLERS..].iter().map(addr).collect();
        let limits = Limits {
            rps: facts.rps,
            write_rps: facts.write_rps,
            value_kb: facts.value_kb,
            txn_ops: facts.txn_ops,
            latency: Duration::from_millis(2),
        };
        let (store, store_addr) = Store::start(limits);
        let times = WorkerTimes {
            report: Duration::from_secs_f64(facts.report_s),
            lease: Duration::from_secs_f64(facts.lease_s),
        };
        let names = (0..CONTROLLERS).map(|i| format!("chalkbox-{i}")).collect();
        let world = Arc::new(World::new(times, fronts.clone(), names, record));
        let (cloud, cloud_addr) =
            Cloud::start(world.clone(), machines, Duration::from_secs(2), Duration::from_secs_f64(facts.list_lag_s));
        let mut controllers = Controllers::write(run, dir, &fronts, &peers, facts, &[store_addr], cloud_addr);
        for number in 0..CONTROLLERS {
            controllers.start(number);
        }
        let users = fronts.iter().map(|front| Client::new(front)).collect();
        let mut deployment = Deployment { world, store, cloud, controllers, users };
        for number in 0..CONTROLLERS {
            deployment.wait_healthy(number)?;
        }
        Ok(deployment)
    }

    fn wait_healthy(&mut self, number: usize) -> Result<(), String> {
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            let answer = self.users[number].call("GET", "/healthz", "", Duration::from_secs(1));
            if matches!(answer, Some((200, _))) {
                self.world.record(&format!("user: {} is healthy", self.controllers.names[number]));
                return Ok(());
            }
            sleep(Duration::from_millis(200));
        }
        Err(format!("{} is not healthy", self.controllers.names[number]))
    }

    /// Submits a job, and retries until it is accepted.
    fn submit(&mut self, number: usize, job: &Job) -> Result<(), String> {
        self.world.add_job(job);
        let end = Instant::now() + Duration::from_secs(40);
        while Instant::now() < end {
            let answer = self.users[number].call("POST", "/submissions", &job.body(), Duration::from_secs(5));
            if let Some((200 | 201, body)) = &answer {
                self.world.record(&format!("user: {} accepted at {}: {body}", job.id, self.controllers.names[number]));
                return Ok(());
            }
            if let Some((400 | 422, body)) = &answer {
                return Err(format!("{} refused: {body}", job.id));
            }
            sleep(Duration::from_millis(300));
        }
        Err(format!("{} was not accepted", job.id))
    }

    fn wait_until(&self, seconds: u64, what: &str, holds: impl Fn(&Deployment) -> bool) -> Result<(), String> {
        let end = Instant::now() + Duration::from_secs(seconds);
        while !holds(self) {
            if Instant::now() > end {
                return Err(format!("{what}: not running"));
            }
            sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// Cancels a job; returns when its user was told.
    fn withdraw(&mut self, number: usize, id: &str) -> Result<Instant, String> {
        let end = Instant::now() + Duration::from_secs(10);
        while Instant::now() < end {
            let path = format!("/submissions/{id}/withdraw");
            let answer = self.users[number].call("POST", &path, "", Duration::from_secs(5));
            let name = &self.controllers.names[number];
            self.world.record(&format!("user: withdraws {id} at {name}: {answer:?}"));
            if matches!(&answer, Some((200, body)) if body.contains("aborted")) {
                return Ok(Instant::now());
            }
            sleep(Duration::from_secs(1));
        }
        Err(format!("{id} was not cancelled"))
    }

    /// Asks about a job; returns the status and the phase.
    fn poll(&mut self, number: usize, id: &str) -> Option<(u16, String)> {
        let (status, body) = self.users[number].call("GET", &format!("/submissions/{id}"), "", Duration::from_secs(2))?;
        let phase = Json::parse(body.as_bytes()).and_then(|b| Some(b.get("phase").str()?.to_owned()));
        Some((status, phase.unwrap_or_default()))
    }

    /// The jobs with a running task, with the number of those tasks.
    fn running(&self) -> BTreeMap<String, usize> {
        let mut running = BTreeMap::new();
        for piece in self.cloud.workers().iter().flat_map(|worker| worker.running()) {
            let job = piece.split('/').next().unwrap_or("").to_owned();
            *running.entry(job).or_default() += 1;
        }
        running
    }

    /// Records and prints the verdict. A controller that ended by itself spoils the run.
    fn finish(&mut self, held: bool, verdict: &str) -> Verdict {
        self.world.record(verdict);
        println!("{verdict}");
        let ended = self.controllers.ended();
        if ended.is_empty() {
            Ok(held)
        } else {
            Err(format!("controllers {ended:?} ended by themselves"))
        }
    }

    fn record_log_lines(&self, what: &[&str]) {
        for number in 0..CONTROLLERS {
            for text in what {
                let count = self.controllers.log(number).lines().filter(|line| line.contains(text)).count();
                self.world.record(&format!("log of {}: {count} lines with {text:?}", self.controllers.names[number]));
            }
        }
    }
}

fn job(id: &str, shape: &'static str, pieces: u32, run_s: u64) -> Job {
    Job {
        id: id.into(),
        shape,
        crew: "forecasting",
        pieces,
        cpus: 6.0,
        gpus: 1.0,
        ram: 24.0,
        bundle: "img-01".into(),
        pull_gb: 2.0,
        run: (shape != "standing").then(|| Duration::from_secs(run_s)),
        mark_every: 0.0,
        mark_cost: 0.0,
        waits_on: Vec::new(),
        site: None,
        scatter: false,
        loaners: false,
    }
}

/// Enough names for a list that doesn't fit beside the description in one value of 4 KiB. A submission with it has 4 KB.
const BASE_JOBS: usize = 290;
/// The jobs that wait on all of the others.
const WAITING_JOBS: usize = 240;
/// When the run ends, counted from its start.
const END: Duration = Duration::from_secs(110);

/// Many jobs wait on long lists of jobs when all controllers are killed and started again.
fn long_lists(run: &str, dir: &Path, record: &Path, trouble: bool) -> Verdict {
    let facts = Facts { write_rps: 100.0, txn_ops: 32, ..facts() };
    let mut deployment = Deployment::start(run, dir, record, &facts, 3)?;
    let id = |number: usize| format!("wk-{number:06}");
    let base: Vec<String> = (1..=BASE_JOBS).map(id).collect();
    for (number, id) in base.iter().enumerate() {
        deployment.submit(number % CONTROLLERS, &job(id, "array", 1, 20))?;
    }
    for number in 1..=WAITING_JOBS {
        let mut waiting = job(&id(1000 + number), "array", 1, 20);
        waiting.waits_on = base.clone();
        deployment.submit(number % CONTROLLERS, &waiting)?;
    }
    deployment.world.record(&format!("keys: {} o/, {} e/", deployment.store.count_keys("o/"), deployment.store.count_keys("e/")));
    sleep(Duration::from_secs(3));
    if trouble {
        for number in 0..CONTROLLERS {
            deployment.controllers.kill(number);
        }
        deployment.world.record("trouble: all controllers killed");
        sleep(RESTART);
        for number in 0..CONTROLLERS {
            deployment.controllers.start(number);
        }
        deployment.world.record("trouble: all controllers started again");
    }
    let (before, done_before) = (deployment.world.heartbeats(), deployment.world.done_count());
    let mut counters = deployment.store.counters();
    let (mut asked, mut answered) = (0, 0);
    let since = Instant::now();
    let mut next = 0;
    while deployment.world.elapsed() < END {
        for number in 0..CONTROLLERS {
            let id = if next % 2 == 0 { base[next % BASE_JOBS].clone() } else { id(1001 + next % WAITING_JOBS) };
            next += 1;
            let answer = deployment.poll(number, &id);
            let health = deployment.users[number].call("GET", "/healthz", "", Duration::from_secs(1));
            let name = &deployment.controllers.names[number];
            let health = health.map(|(status, _)| status);
            deployment.world.record(&format!("user: {id} asked at {name}: {answer:?}; healthz: {health:?}"));
            asked += 1;
            answered += usize::from(matches!(answer, Some((200, _))));
        }
        let now = deployment.store.counters();
        deployment.world.record(&format!(
            "state service: {} answered, {} refused with 429; heartbeats answered: {}; tasks done: {}",
            now.answered - counters.answered, now.limited - counters.limited,
            deployment.world.heartbeats() - before, deployment.world.done_count() - done_before
        ));
        counters = now;
        sleep(Duration::from_secs(2));
    }
    deployment.record_log_lines(&["election won", "failover complete", "failover abandoned"]);
    let (heartbeats, done) = (deployment.world.heartbeats() - before, deployment.world.done_count() - done_before);
    let verdict = format!(
        "in {:.0} s {answered} of {asked} polls of accepted jobs were answered and {heartbeats} reports of workers; \
         {done} tasks completed",
        since.elapsed().as_secs_f64()
    );
    // Broken only if nothing at all was answered: no job can run then, and no task can go on running.
    deployment.finish(answered > 0 || heartbeats > 0, &verdict)
}

/// How long a replica may wait.
const MAX_WAIT: Duration = Duration::from_secs(90);

/// How long after `cancel_s` the late launch arrives.
const PAST_CANCEL: Duration = Duration::from_secs(3);
const CANCEL_S: f64 = 35.0;

/// A launch that was pushed to a worker arrives late, after its job was cancelled; the worker reports as always.
fn late_launch(run: &str, dir: &Path, record: &Path, trouble: bool) -> Verdict {
    let mut deployment = Deployment::start(run, dir, record, &river_facts(), 1)?;
    // The machine has the image from an earlier job, and a service keeps it rented.
    let service = job("wk-000001", "standing", 1, 0);
    deployment.submit(0, &service)?;
    deployment.wait_until(20, "the service", |d| d.running().get(&service.id) == Some(&1))?;
    sleep(Duration::from_secs(1));
    let cancel = Duration::from_secs_f64(CANCEL_S);
    for number in 2..6 {
        let cancelled = job(&format!("wk-{number:06}"), "array", 1, 300);
        if trouble {
            deployment.world.hold_launch(&cancelled.id, cancel + PAST_CANCEL);
        }
        deployment.submit(0, &cancelled)?;
        sleep(Duration::from_millis(700));
        // A launch may also go with the response to a report; then the next job is tried.
        let held = !trouble || deployment.world.is_held();
        deployment.world.hold_nothing();
        let told = deployment.withdraw(1, &cancelled.id)?;
        if !held {
            continue;
        }
        sleep((told + cancel + PAST_CANCEL + Duration::from_secs(5)).saturating_duration_since(Instant::now()));
        let mut broken = false;
        for stay in deployment.world.stays(&cancelled.id) {
            let late = |at: Instant| at.saturating_duration_since(told).as_secs_f64();
            let to = stay.to.unwrap_or_else(Instant::now);
            deployment.world.record(&format!(
                "{} was on {} from {:.3} s to {:.3} s after its user was told", stay.piece, stay.host, late(stay.from), late(to)
            ));
            broken |= late(to) > CANCEL_S;
        }
        let verdict = format!("a task of {} more than {CANCEL_S} s after the cancellation: {broken}", cancelled.id);
        return deployment.finish(!broken, &verdict);
    }
    Err("no launch was pushed".into())
}

/// A service spread over two zones loses a spot machine; the replica has to run again.
fn lost_replica(run: &str, dir: &Path, record: &Path, trouble: bool) -> Verdict {
    let mut deployment = Deployment::start(run, dir, record, &river_facts(), 6)?;
    // Two short jobs, each bound to a zone, bring up a machine in each.
    let bound = ZONES.map(|zone| {
        let id = if zone == ZONES[0] { "wk-000001" } else { "wk-000002" };
        Job { site: Some(zone), loaners: true, ..job(id, "array", 1, 12) }
    });
    for job in &bound {
        deployment.submit(0, job)?;
    }
    deployment.wait_until(30, "the short jobs", |d| bound.iter().all(|job| d.running().contains_key(&job.id)))?;
    let service = Job { scatter: true, loaners: true, ..job("wk-000003", "standing", 2, 0) };
    deployment.submit(1, &service)?;
    let both_run = |d: &Deployment| d.running().get(&service.id) == Some(&2);
    deployment.wait_until(10, "the service", both_run)?;
    deployment.world.record("both replicas run, one in each zone");
    sleep(Duration::from_secs(15));
    let piece = |name: &str| name.split('/').next() == Some(service.id.as_str());
    let workers = deployment.cloud.workers();
    let lost = workers.iter().find(|w| w.site == ZONES[1] && w.running().iter().any(|name| piece(name)));
    let lost = lost.filter(|w| w.loaners).ok_or("no replica on a spot machine of the second zone")?;
    if trouble {
        deployment.cloud.take(&lost.host);
    }
    let since = Instant::now();
    let mut running = 0;
    while since.elapsed() < MAX_WAIT {
        sleep(Duration::from_secs(3));
        running = deployment.running().get(&service.id).copied().unwrap_or(0);
        let phase = deployment.poll(2, &service.id);
        let machines: Vec<String> =
            deployment.cloud.workers().iter().map(|w| format!("{} in {}", w.host, w.site)).collect();
        deployment.world.record(&format!("{running} of 2 replicas run; user: {phase:?}; machines: {machines:?}"));
        if trouble && running == 2 {
            break;
        }
    }
    let verdict = format!("{running} of 2 replicas run {:.0} s later", since.elapsed().as_secs_f64());
    deployment.finish(running == 2, &verdict)
}
