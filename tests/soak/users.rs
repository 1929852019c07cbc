//! Users: they submit, ask, repeat and cancel, at all controllers, all the time.

use super::checker::Told;
use super::cluster::Shared;
use super::world::RealJob;
use chalklug::protocol::users::{parse_submission, JobSpec};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Users of a run.
pub const USERS: u64 = 5;
/// Jobs that a user submits in a run.
const JOBS_PER_USER: u32 = 14;
const PAUSE_MS: std::ops::Range<u64> = 20..350;
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);
const ASK_TIMEOUT: Duration = Duration::from_secs(2);
const IMAGES: [&str; 4] = ["img-0", "img-1", "img-2", "img-3"];

/// One user.
pub struct User {
    shared: Arc<Shared>,
    rng: StdRng,
    number: u64,
    /// How many times as many tasks as in a small cluster jobs have.
    scale: u32,
    submitted: u32,
    mine: Vec<Value>,
}

impl User {
    pub fn new(shared: Arc<Shared>, seed: u64, number: u64, scale: u32) -> User {
        User {
            shared,
            rng: StdRng::seed_from_u64(seed * USERS + number),
            number,
            scale,
            submitted: 0,
            mine: Vec::new(),
        }
    }

    /// Goes on until told to stop.
    pub async fn run(mut self, stop: Arc<AtomicBool>) {
        while !stop.load(Ordering::Relaxed) {
            let pause_ms = self.rng.random_range(PAUSE_MS);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            let front = self.rng.random_range(0..self.shared.fronts.len());
            match self.rng.random_range(0..20) {
                0..=2 if self.submitted < JOBS_PER_USER => self.submit_new().await,
                3 | 4 => self.submit_again(front).await,
                5 => self.cancel(front).await,
                6 => self.ask_about_nobodys_job(front).await,
                _ => self.ask(front).await,
            }
        }
    }

    /// Submits a job until it is taken; gives up after a while, and then it may or may not be known.
    async fn submit_new(&mut self) {
        let id = format!("wk-{}{:05}", self.number + 1, self.submitted);
        self.submitted += 1;
        let spec = draw_job(&mut self.rng, &id, self.scale);
        let parsed = parse_submission(spec.to_string().as_bytes()).expect("a job");
        let job = real_job(&mut self.rng, parsed.spec);
        self.shared.world().submit(job);
        self.mine.push(spec.clone());
        for _ in 0..20 {
            let front = self.rng.random_range(0..self.shared.fronts.len());
            if matches!(submit(&self.shared, front, &spec).await, Some(200 | 201)) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
    }

    async fn submit_again(&mut self, front: usize) {
        if let Some(spec) = self.mine.choose(&mut self.rng) {
            submit(&self.shared, front, spec).await;
        }
    }

    async fn ask(&mut self, front: usize) {
        if let Some(spec) = self.mine.choose(&mut self.rng) {
            let id = spec["ref"].as_str().expect("an id").to_owned();
            ask(&self.shared, front, &id).await;
        }
    }

    async fn ask_about_nobodys_job(&mut self, front: usize) {
        let id = format!("wk-9{:05}", self.rng.random_range(0..99_999));
        ask(&self.shared, front, &id).await;
    }

    async fn cancel(&mut self, front: usize) {
        if let Some(spec) = self.mine.choose(&mut self.rng) {
            let id = spec["ref"].as_str().expect("an id").to_owned();
            cancel(&self.shared, front, &id).await;
        }
    }
}

/// One exchange with a controller; what it says goes to the checker.
async fn exchange(
    shared: &Shared,
    front: usize,
    id: &str,
    request: (&str, String, String),
    timeout: Duration,
) -> Option<u16> {
    let (method, path, body) = request;
    let asked_at = Instant::now();
    let addr = &shared.fronts[front];
    let (status, body) = shared
        .client
        .send(addr, method, &path, body, timeout)
        .await?;
    let told = Told {
        asked_at,
        told_at: Instant::now(),
        status,
        phase: body["phase"].as_str().unwrap_or_default(),
    };
    shared.world().checker.told(id, told);
    Some(status)
}

/// Submits a job at one controller: the status.
pub async fn submit(shared: &Shared, front: usize, spec: &Value) -> Option<u16> {
    let id = spec["ref"].as_str().expect("an id");
    let request = ("POST", "/submissions".to_owned(), spec.to_string());
    exchange(shared, front, id, request, SUBMIT_TIMEOUT).await
}

/// Asks one controller about a job: the status.
pub async fn ask(shared: &Shared, front: usize, id: &str) -> Option<u16> {
    let request = ("GET", format!("/submissions/{id}"), String::new());
    exchange(shared, front, id, request, ASK_TIMEOUT).await
}

/// Cancels a job at one controller: the status.
pub async fn cancel(shared: &Shared, front: usize, id: &str) -> Option<u16> {
    shared.world().checker.cancel_asked(id);
    let path = format!("/submissions/{id}/withdraw");
    let request = ("POST", path, String::new());
    exchange(shared, front, id, request, SUBMIT_TIMEOUT).await
}

fn real_job(rng: &mut StdRng, spec: JobSpec) -> RealJob {
    RealJob {
        run: Duration::from_millis(rng.random_range(400..9_000)),
        fetch: Duration::from_millis(rng.random_range(50..900)),
        spec,
    }
}

/// A job with constraints of any kind.
fn draw_job(rng: &mut StdRng, id: &str, scale: u32) -> Value {
    let shape = *["array", "array", "gang", "standing"]
        .choose(rng)
        .expect("a shape");
    let tasks = match shape {
        "array" => rng.random_range(1..24),
        "gang" => rng.random_range(1..6),
        _ => rng.random_range(1..9),
    } * scale;
    let together = shape != "standing" && rng.random_bool(0.45);
    let scatter = shape == "standing" || (!together && rng.random_bool(0.15));
    let zone = (!scatter && rng.random_bool(0.2)).then(|| *["a", "b"].choose(rng).expect("a zone"));
    let types = rng
        .random_bool(0.2)
        .then(|| *["box", "far"].choose(rng).expect("a type"));
    let checkpoint_s = if rng.random_bool(0.3) { 1.0 } else { 0.0 };
    let team = *["blue", "red"].choose(rng).expect("a team");
    let urgency = *["low", "normal", "normal", "urgent", "production"]
        .choose(rng)
        .expect("an urgency");
    json!({"ref": id, "jobclass": shape, "crew": team, "shape": shape, "urgency": urgency, "pieces": tasks,
        "cpus": 1.0, "gpus": 1.0, "ramGb": 4.0, "bundle": IMAGES.choose(rng), "pullGb": 1.0,
        "rigs": types.map(|name| [name]), "site": zone, "together": together, "scatter": scatter,
        "loaners": rng.random_bool(0.5), "guessS": 4.0, "markEveryS": checkpoint_s, "markCostS": 0.3,
        "dueS": null})
}
