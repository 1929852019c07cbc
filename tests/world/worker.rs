//! A stand-in for workers: sessions, leases, tokens, images, tasks and gangs as the protocol says.

use super::Cut;
use chalklug::ids::*;
use chalklug::protocol::cloud::MachineTypeInfo;
use chalklug::protocol::users::{JobSpec, Shape};
use chalklug::protocol::workers::{Cause, Command, TaskPhase, TaskStatus, WorkerStatus};
use chalklug::settings::Workers as Times;
use chalklug::time::{Instant, TimeSpan};
use rand::rngs::StdRng;
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};

pub struct Task {
    pub phase: TaskPhase,
    pub cause: Option<Cause>,
    pub stored: bool,
    /// When the present phase ends by itself.
    pub until: Instant,
    left_s: f64,
    /// Its job was submitted with a mistake.
    fails: bool,
    running_from: Instant,
}

pub struct Worker {
    pub id: MachineId,
    pub machine_type: MachineType,
    pub zone: Zone,
    pub spot: bool,
    pub rented_at: Instant,
    pub up_at: Instant,
    pub session: Session,
    pub token: FencingToken,
    pub lease_from: Instant,
    pub tasks: BTreeMap<(TaskId, AttemptId), Task>,
    pub sick: bool,
    /// Images take so many times as long.
    pub fetch_times: f64,
    pub recall_at: Option<Instant>,
    tick: u64,
    images: BTreeSet<Image>,
    next_report: Instant,
    changed: bool,
    hang: Option<Instant>,
    /// Its reports arrive, but nothing reaches it until then.
    deaf: Option<Instant>,
    /// It reaches no controller until then, while direct commands reach it.
    mute: Option<Instant>,
    cut: Option<(Instant, Cut)>,
}

type Specs = BTreeMap<JobId, JobSpec>;

impl Worker {
    pub fn new(
        id: MachineId,
        machine_type: MachineType,
        zone: Zone,
        spot: bool,
        now: Instant,
        up: Instant,
    ) -> Worker {
        Worker {
            id,
            machine_type,
            zone,
            spot,
            rented_at: now,
            up_at: up,
            session: Session(1),
            token: FencingToken(0),
            lease_from: up,
            tasks: BTreeMap::new(),
            sick: false,
            fetch_times: 1.0,
            recall_at: None,
            tick: 0,
            images: BTreeSet::new(),
            next_report: up,
            changed: false,
            hang: None,
            deaf: None,
            mute: None,
            cut: None,
        }
    }

    pub fn endpoint(&self) -> String {
        format!("{}:9000", self.id)
    }
    pub fn hang_until(&mut self, t: Instant) {
        self.hang = Some(t);
    }
    pub fn deaf_until(&mut self, t: Instant) {
        self.deaf = Some(t);
    }
    pub fn deaf(&self, now: Instant) -> bool {
        self.deaf.is_some_and(|t| now < t)
    }
    pub fn mute_until(&mut self, t: Instant) {
        self.mute = Some(t);
    }
    pub fn mute(&self, now: Instant) -> bool {
        self.mute.is_some_and(|t| now < t)
    }
    pub fn cut_until(&mut self, t: Instant, how: Cut) {
        self.cut = Some((t, how));
    }
    pub fn cut(&self, now: Instant) -> Option<(Instant, Cut)> {
        self.cut.filter(|(t, _)| now < *t)
    }
    /// Whether some trouble of its own goes on.
    pub fn troubled(&self, now: Instant) -> bool {
        let on = |t: Option<Instant>| t.is_some_and(|t| now < t);
        on(self.hang) || on(self.deaf) || on(self.mute) || self.cut(now).is_some()
    }
    pub fn asleep_until(&self, now: Instant) -> Option<Instant> {
        let t = self.hang.into_iter().chain([self.up_at]).max()?;
        (now < t).then_some(t)
    }
    pub fn awake(&self, now: Instant) -> bool {
        self.asleep_until(now).is_none()
    }

    /// Tasks that have their image and haven't ended: on the machine, in the rules' sense.
    pub fn on_machine(&self) -> impl Iterator<Item = (&TaskId, &Task)> {
        let there = |t: &Task| !matches!(t.phase, TaskPhase::Fetching | TaskPhase::Ended);
        self.tasks
            .iter()
            .filter(move |(_, t)| there(t))
            .map(|((p, _), t)| (p, t))
    }

    pub fn report(&mut self) -> WorkerStatus {
        self.tick += 1;
        WorkerStatus {
            machine_id: self.id.clone(),
            endpoint: self.endpoint(),
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            session: self.session,
            tick: Tick(self.tick),
            token: self.token,
            recall_s: self.recall_at.map(|_| 10.0),
            tasks: self
                .tasks
                .iter()
                .map(|((task, attempt_id), t)| TaskStatus {
                    task: task.clone(),
                    attempt_id: *attempt_id,
                    phase: t.phase,
                    cause: t.cause,
                    stored: t.stored,
                })
                .collect(),
        }
    }

    pub fn report_due(
        &mut self,
        now: Instant,
        times: &Times,
        rng: &mut StdRng,
    ) -> Option<WorkerStatus> {
        if !self.awake(now) {
            return None;
        }
        let soon = self.changed
            && self.next_report - now < TimeSpan::from_secs(times.report_s * 0.75 - 0.5);
        if now < self.next_report && !soon {
            return None;
        }
        self.changed = false;
        let pause = times.report_s * rng.random_range(0.75..1.25);
        self.next_report = now + TimeSpan::from_secs(pause);
        Some(self.report())
    }

    fn end(t: &mut Task, cause: Cause) {
        t.phase = TaskPhase::Ended;
        t.cause = Some(cause);
    }

    pub fn live(
        &mut self,
        now: Instant,
        specs: &Specs,
        progress: &mut BTreeMap<TaskId, f64>,
        times: &Times,
    ) {
        // The lease: counted from when the last answered report was sent. It ends also while the
        // machine hangs: beyond it, nothing of it resumes.
        if self.up_at <= now && (now - self.lease_from).secs() > times.lease_s {
            self.tasks.clear();
            self.session = Session(self.session.0 + 1);
            self.lease_from = now;
            self.changed = true;
        }
        if !self.awake(now) {
            return;
        }
        for ((task, _), t) in self.tasks.iter_mut() {
            let spec = &specs[&task.job];
            if now < t.until {
                continue;
            }
            match t.phase {
                TaskPhase::Fetching => {
                    self.images.insert(spec.image.clone());
                    if t.left_s < 0.0 && !t.fails {
                        Self::end(t, Cause::Done);
                    } else if spec.shape == Shape::Gang {
                        t.phase = TaskPhase::Waiting;
                        t.until = now + TimeSpan::from_secs(times.gang_wait_s);
                    } else {
                        Self::run(now, t);
                    }
                }
                TaskPhase::Waiting => Self::end(t, Cause::Incomplete),
                TaskPhase::Running if self.sick || t.fails => Self::end(t, Cause::Error),
                TaskPhase::Running => {
                    // The result is kept: a later start ends as done once it has its image. A gang
                    // completes as a whole.
                    let all = spec.shape == Shape::Gang;
                    let tasks = if all {
                        0..spec.tasks
                    } else {
                        task.index..task.index + 1
                    };
                    for index in tasks {
                        let job = task.job.clone();
                        progress.insert(TaskId { job, index }, -1.0);
                    }
                    Self::end(t, Cause::Done)
                }
                TaskPhase::Saving => {
                    let ran = (now - t.running_from).secs();
                    progress.insert(task.clone(), (t.left_s - ran).max(0.0));
                    t.stored = true;
                    Self::end(t, Cause::Stopped);
                }
                TaskPhase::Ended => continue,
            }
            self.changed = true;
        }
    }

    fn run(now: Instant, t: &mut Task) {
        t.phase = TaskPhase::Running;
        t.running_from = now;
        t.until = now + TimeSpan::from_secs(t.left_s);
    }

    pub fn execute(
        &mut self,
        now: Instant,
        order: &Command,
        specs: &Specs,
        runs: &BTreeMap<JobId, f64>,
        progress: &mut BTreeMap<TaskId, f64>,
        machine_types: &[MachineTypeInfo],
    ) {
        self.changed = true;
        match order {
            Command::Launch { task, attempt_id } => {
                if self.tasks.contains_key(&(task.clone(), *attempt_id)) {
                    return;
                }
                let spec = &specs[&task.job];
                let machine_type = machine_types
                    .iter()
                    .find(|r| r.name == self.machine_type)
                    .unwrap();
                let fetch = if self.images.contains(&spec.image) {
                    0.0
                } else {
                    spec.image_gb / machine_type.fetch_gb_per_s * self.fetch_times
                };
                let left_s = progress.get(task).copied().unwrap_or(runs[&task.job]);
                let mut t = Task {
                    phase: TaskPhase::Fetching,
                    cause: None,
                    stored: false,
                    until: now + TimeSpan::from_secs(fetch),
                    left_s: if self.sick {
                        0.5
                    } else if runs[&task.job] < 0.0 {
                        0.2
                    } else {
                        left_s
                    },
                    fails: runs[&task.job] < 0.0,
                    running_from: now,
                };
                let other = |(p, _): &(TaskId, AttemptId)| p == task;
                if self
                    .tasks
                    .iter()
                    .any(|(k, t)| other(k) && t.phase != TaskPhase::Ended)
                {
                    Self::end(&mut t, Cause::Busy);
                }
                let used: f64 = self
                    .tasks
                    .iter()
                    .filter(|(_, t)| t.phase != TaskPhase::Ended)
                    .map(|((p, _), _)| specs[&p.job].gpus)
                    .sum();
                if used + spec.gpus > machine_type.gpus + 1e-9 {
                    Self::end(&mut t, Cause::Full);
                }
                self.tasks.insert((task.clone(), *attempt_id), t);
            }
            Command::Stop {
                task,
                attempt_id,
                grace_s,
            } => {
                let Some(t) = self.tasks.get_mut(&(task.clone(), *attempt_id)) else {
                    return;
                };
                let spec = &specs[&task.job];
                match t.phase {
                    TaskPhase::Ended => {}
                    TaskPhase::Running if spec.checkpoint_s > 0.0 && *grace_s >= spec.save_s => {
                        t.phase = TaskPhase::Saving;
                        t.until = now + TimeSpan::from_secs(spec.save_s);
                    }
                    TaskPhase::Saving if *grace_s > 0.0 => {}
                    _ => Self::end(t, Cause::Stopped),
                }
            }
            Command::Clear { task, attempt_id } => {
                let key = (task.clone(), *attempt_id);
                if self
                    .tasks
                    .get(&key)
                    .is_some_and(|t| t.phase == TaskPhase::Ended)
                {
                    self.tasks.remove(&key);
                }
            }
        }
    }
}

/// Gangs across machines: they start together, end together, and miss a member that is gone.
pub fn gangs(
    now: Instant,
    workers: &mut BTreeMap<MachineId, Worker>,
    specs: &Specs,
    times: &Times,
) {
    let mut by_try: BTreeMap<(JobId, AttemptId), Vec<TaskPhase>> = BTreeMap::new();
    let mut done: BTreeSet<(JobId, AttemptId)> = BTreeSet::new();
    for w in workers.values() {
        for ((p, a), t) in &w.tasks {
            if specs[&p.job].shape != Shape::Gang {
                continue;
            }
            let key = (p.job.clone(), *a);
            if t.cause == Some(Cause::Done) {
                done.insert(key.clone());
            }
            if t.phase != TaskPhase::Ended && w.awake(now) {
                by_try.entry(key).or_default().push(t.phase);
            }
        }
    }
    for w in workers.values_mut().filter(|w| w.awake(now)) {
        for ((p, a), t) in w.tasks.iter_mut() {
            let spec = &specs[&p.job];
            let key = (p.job.clone(), *a);
            let Some(phases) = by_try.get(&key) else {
                continue;
            };
            let all = phases.len() == spec.tasks as usize;
            match t.phase {
                TaskPhase::Waiting if all && !phases.contains(&TaskPhase::Fetching) => {
                    Worker::run(now, t)
                }
                TaskPhase::Running if done.contains(&key) => Worker::end(t, Cause::Done),
                TaskPhase::Running
                    if !all && now - t.running_from > TimeSpan::from_secs(times.gang_peer_s) =>
                {
                    Worker::end(t, Cause::MatesGone)
                }
                _ => continue,
            }
            w.changed = true;
        }
    }
}
