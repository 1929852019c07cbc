//! A fake worker that speaks the published protocol: it sends heartbeats to all controllers in turn and
//! accepts pushed commands.

use super::http::{http, serve};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);
/// The run time of tasks unless a test sets another.
const DEFAULT_RUN_MS: u64 = 1_500;

/// The commands that the workers of a cluster have executed, and the run time of their tasks.
pub struct WorkerLog {
    launched: Mutex<Vec<String>>,
    stopped: Mutex<Vec<String>>,
    run_ms: AtomicU64,
}

impl WorkerLog {
    pub fn new() -> WorkerLog {
        WorkerLog {
            launched: Mutex::default(),
            stopped: Mutex::default(),
            run_ms: AtomicU64::new(DEFAULT_RUN_MS),
        }
    }

    pub fn set_run_time(&self, run: Duration) {
        let run_ms = run.as_millis() as u64;
        self.run_ms.store(run_ms, Ordering::Relaxed);
    }

    fn run_time(&self) -> Duration {
        Duration::from_millis(self.run_ms.load(Ordering::Relaxed))
    }

    /// Returns the launched tasks, in order.
    pub fn launched(&self) -> Vec<String> {
        self.launched
            .lock()
            .expect("the lock is not poisoned")
            .clone()
    }

    /// Returns the stopped tasks, in order.
    pub fn stopped(&self) -> Vec<String> {
        self.stopped
            .lock()
            .expect("the lock is not poisoned")
            .clone()
    }

    /// Asserts that no task was launched twice.
    pub fn assert_each_launched_once(&self) {
        let mut launched = self.launched();
        let count = launched.len();
        launched.sort();
        launched.dedup();
        assert_eq!(launched.len(), count, "a task was launched twice");
    }
}

/// The task and the attempt id of a task attempt.
type Attempt = (String, u64);

/// The state of a worker, shared by its server and the thread that sends its heartbeats.
struct Worker {
    machine: String,
    endpoint: String,
    sequence_number: u64,
    token: u64,
    started_at: BTreeMap<Attempt, Instant>,
    log: Arc<WorkerLog>,
}

impl Worker {
    /// Executes the commands in a heartbeat response or a push. Ignores them if their fencing token is lower than the
    /// highest one seen.
    fn execute(&mut self, body: &Value) {
        let token = body["baton"]
            .as_u64()
            .expect("the body has a fencing token");
        if token < self.token {
            return;
        }
        self.token = token;
        for command in body["orders"].as_array().expect("the body has commands") {
            let task = command["piece"]
                .as_str()
                .expect("the command names a task")
                .to_owned();
            let attempt = (
                task,
                command["try"]
                    .as_u64()
                    .expect("the command has an attempt id"),
            );
            match command["verb"].as_str().expect("the command has a verb") {
                "launch" => self.launch(attempt),
                verb => self.remove(attempt, verb == "stop"),
            }
        }
    }

    fn launch(&mut self, attempt: Attempt) {
        if !self.started_at.contains_key(&attempt) {
            let mut launched = self.log.launched.lock().expect("the lock is not poisoned");
            launched.push(attempt.0.clone());
            self.started_at.insert(attempt, Instant::now());
        }
    }

    fn remove(&mut self, attempt: Attempt, is_stop: bool) {
        let was_running = self.started_at.remove(&attempt).is_some();
        if is_stop && was_running {
            let mut stopped = self.log.stopped.lock().expect("the lock is not poisoned");
            stopped.push(attempt.0);
        }
    }

    fn status(&mut self) -> Value {
        self.sequence_number += 1;
        let run_time = self.log.run_time();
        let attempts = self.started_at.iter();
        let tasks: Vec<Value> = attempts
            .map(
                |((task, id), started_at)| match started_at.elapsed() > run_time {
                    true => json!({"piece": task, "try": id, "phase": "ended", "cause": "done"}),
                    false => json!({"piece": task, "try": id, "phase": "running"}),
                },
            )
            .collect();
        json!({"host": self.machine, "endpoint": self.endpoint, "rig": "box", "site": "a", "loaners": false,
            "tenure": 1, "tick": self.sequence_number, "baton": self.token, "recallS": null, "pieces": tasks,
            "new": {"unknown": 1}})
    }
}

fn lock(worker: &Mutex<Worker>) -> MutexGuard<'_, Worker> {
    worker.lock().expect("the lock is not poisoned")
}

/// Starts a worker on the named machine. Returns its endpoint.
pub fn start_worker(machine: &str, controllers: Vec<String>, log: Arc<WorkerLog>) -> String {
    let worker = Arc::new(Mutex::new(Worker {
        machine: machine.to_owned(),
        endpoint: String::new(),
        sequence_number: 0,
        token: 0,
        started_at: BTreeMap::new(),
        log,
    }));
    let served = worker.clone();
    let addr = serve(Arc::new(move |_, _, body| {
        let mut worker = lock(&served);
        worker.execute(body);
        (200, worker.status())
    }));
    let endpoint = addr.to_string();
    lock(&worker).endpoint.clone_from(&endpoint);
    std::thread::spawn(move || send_heartbeats(&worker, &controllers));
    endpoint
}

/// Sends heartbeats to the controllers in turn, until the test process ends.
fn send_heartbeats(worker: &Mutex<Worker>, controllers: &[String]) {
    for controller in controllers.iter().cycle() {
        let status = lock(worker).status().to_string();
        let response = http(controller, "POST", "/checkin", status.as_bytes());
        if let Some((200, body)) = response {
            lock(worker).execute(&body);
        }
        std::thread::sleep(HEARTBEAT_INTERVAL);
    }
}
