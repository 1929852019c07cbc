//! What the stand-ins of a case share: jobs, times, addresses of the controllers and the record.

use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

#[derive(Clone, Copy)]
pub struct WorkerTimes {
    pub report: Duration,
    pub lease: Duration,
}

#[derive(Clone, Debug)]
pub struct Job {
    pub id: String,
    pub shape: &'static str,
    pub crew: &'static str,
    pub pieces: u32,
    pub cpus: f64,
    pub gpus: f64,
    pub ram: f64,
    pub bundle: String,
    pub pull_gb: f64,
    /// How long a task runs; None for a service.
    pub run: Option<Duration>,
    pub mark_every: f64,
    pub mark_cost: f64,
    pub waits_on: Vec<String>,
    pub site: Option<&'static str>,
    pub scatter: bool,
    pub loaners: bool,
}

impl Job {
    pub fn body(&self) -> String {
        let waits_on = if self.waits_on.is_empty() {
            String::new()
        } else {
            let ids: Vec<String> = self.waits_on.iter().map(|id| format!("\"{id}\"")).collect();
            format!(",\"waitsOn\":[{}]", ids.join(","))
        };
        format!(
            "{{\"ref\":\"{}\",\"jobclass\":\"plume-forecast\",\"crew\":\"{}\",\"shape\":\"{}\",\"urgency\":\"normal\",\
             \"pieces\":{},\"cpus\":{:.1},\"gpus\":{:.1},\"ramGb\":{:.1},\"bundle\":\"{}\",\"pullGb\":{:.1},\"rigs\":null,\
             \"site\":{},\"together\":false,\"scatter\":{},\"loaners\":{},\"guessS\":{:.1},\"markEveryS\":{:.1},\
             \"markCostS\":{:.1},\"dueS\":null{waits_on}}}",
            self.id, self.crew, self.shape, self.pieces, self.cpus, self.gpus, self.ram, self.bundle, self.pull_gb,
            self.site.map_or("null".into(), |site| format!("\"{site}\"")), self.scatter, self.loaners,
            self.run.map_or(0.0, |run| run.as_secs_f64()), self.mark_every, self.mark_cost
        )
    }
}

pub struct World {
    pub times: WorkerTimes,
    pub fronts: Vec<String>,
    pub names: Vec<String>,
    jobs: Mutex<BTreeMap<String, Job>>,
    done: Mutex<BTreeSet<String>>,
    record: Mutex<File>,
    started: Instant,
    seed: AtomicU64,
    heartbeats_answered: AtomicU64,
    /// The job whose next pushed launch is delivered late, and for how long it is held back.
    held: Mutex<Option<(String, Duration)>>,
    /// When each piece came onto a machine, and when it left.
    stays: Mutex<Vec<Stay>>,
}

#[derive(Clone, Debug)]
pub struct Stay {
    pub piece: String,
    pub host: String,
    pub from: Instant,
    pub to: Option<Instant>,
}

impl World {
    pub fn new(times: WorkerTimes, fronts: Vec<String>, names: Vec<String>, record: File) -> World {
        World {
            times,
            fronts,
            names,
            jobs: Mutex::default(),
            done: Mutex::default(),
            record: Mutex::new(record),
            started: Instant::now(),
            seed: AtomicU64::new(0x9e37_79b9_7f4a_7c15 ^ u64::from(std::process::id())),
            heartbeats_answered: AtomicU64::new(0),
            held: Mutex::default(),
            stays: Mutex::default(),
        }
    }

    pub fn record(&self, line: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.record.lock().unwrap(), "{at:8.3} {line}");
    }

    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn random(&self, below: u64) -> u64 {
        let mut x = self.seed.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (x ^ (x >> 31)) % below
    }

    pub fn add_job(&self, job: &Job) {
        self.jobs.lock().unwrap().insert(job.id.clone(), job.clone());
    }

    pub fn find_job_of(&self, piece: &str) -> Option<Job> {
        let (job, index) = piece.split_once('/')?;
        let job = self.jobs.lock().unwrap().get(job).cloned()?;
        (index.parse::<u32>().ok()? < job.pieces).then_some(job)
    }

    pub fn job_of(&self, piece: &str) -> Job {
        self.find_job_of(piece).expect("a known job")
    }

    pub fn task_done(&self, piece: &str) {
        self.done.lock().unwrap().insert(piece.to_owned());
    }

    pub fn is_done(&self, piece: &str) -> bool {
        self.done.lock().unwrap().contains(piece)
    }

    pub fn done_count(&self) -> usize {
        self.done.lock().unwrap().len()
    }

    /// A task has its image: from now on it is on its machine.
    pub fn came(&self, host: &str, piece: &str) {
        let stay = Stay { piece: piece.into(), host: host.into(), from: Instant::now(), to: None };
        self.stays.lock().unwrap().push(stay);
    }

    /// A task has ended, was killed, or its machine is gone.
    pub fn left(&self, host: &str, piece: &str) {
        let mut stays = self.stays.lock().unwrap();
        let open = stays.iter_mut().rev().find(|s| s.piece == piece && s.host == host && s.to.is_none());
        if let Some(stay) = open {
            stay.to = Some(Instant::now());
        }
    }

    pub fn stays(&self, job: &str) -> Vec<Stay> {
        let stays = self.stays.lock().unwrap();
        stays.iter().filter(|s| s.piece.split('/').next() == Some(job)).cloned().collect()
    }

    /// Holds back the next pushed launch of a job for this long.
    pub fn hold_launch(&self, job: &str, time: Duration) {
        *self.held.lock().unwrap() = Some((job.into(), time));
    }

    pub fn hold_nothing(&self) {
        *self.held.lock().unwrap() = None;
    }

    pub fn take_hold(&self, text: &str) -> Option<Duration> {
        let mut held = self.held.lock().unwrap();
        let (job, time) = held.as_ref()?;
        if !text.contains("\"launch\"") || !text.contains(&format!("\"{job}/")) {
            return None;
        }
        let time = *time;
        *held = None;
        Some(time)
    }

    pub fn is_held(&self) -> bool {
        self.held.lock().unwrap().is_none()
    }

    pub fn heartbeat_answered(&self) {
        self.heartbeats_answered.fetch_add(1, Ordering::Relaxed);
    }

    pub fn heartbeats(&self) -> u64 {
        self.heartbeats_answered.load(Ordering::Relaxed)
    }
}
