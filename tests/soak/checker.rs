//! Checks the operators' rules against what is observed outside the controllers: the tasks that workers run, and the
//! responses that users get.

mod answers;

use chalklug::protocol::users::{JobSpec, Shape};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Extra time for cancelled tasks to end, because the fake workers can be slow: they share the test machine with the
/// controllers.
const CANCEL_SLACK: Duration = Duration::from_millis(1_500);
const EPSILON: f64 = 1e-6;

/// The operators' rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A task ran on two machines at the same time.
    RanTwice,
    /// A team exceeded its GPU limit.
    Quota,
    /// A task ran on a machine that its job's constraints exclude.
    WrongPlace,
    /// A task started before all upstream jobs of its job were done.
    TooEarly,
    /// A task ran for too long after its job's cancellation was confirmed.
    RanCancelled,
    /// A controller responded that an accepted job is unknown or invalid.
    Forgotten,
    /// A job or task was reported or run that nobody submitted.
    Invented,
    /// A job was reported as done before its tasks had completed.
    NotDone,
    /// The terminal phase of a job changed, or a job was cancelled without a request.
    WentBack,
    /// No task ran in the whole run.
    NothingRan,
    /// A job waited although it could have started, or did not end.
    LeftWaiting,
}

/// A violation of a rule.
#[derive(Clone, Debug)]
pub struct Violation {
    pub rule: Rule,
    pub details: String,
    /// Time since the start of the run.
    pub at: Duration,
}

/// The limits that the rules refer to.
pub struct Limits {
    /// How long tasks may run after their job's cancellation was confirmed.
    pub cancel_timeout: Duration,
    pub max_gpus: BTreeMap<String, f64>,
}

/// A task attempt on a machine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Attempt {
    pub job: String,
    pub index: u32,
    pub attempt_id: u64,
    pub machine: String,
}

/// A machine's properties and its lease.
#[derive(Clone, Debug)]
pub struct MachineInfo {
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    /// When the worker's lease expires and its tasks are killed, unless a response renews the lease.
    pub lease_until: Instant,
}

/// A controller's response to a user's request about a job.
#[derive(Clone, Copy, Debug)]
pub struct UserResponse<'a> {
    pub sent_at: Instant,
    pub received_at: Instant,
    pub status: u16,
    pub phase: &'a str,
}

#[derive(Clone, Debug)]
struct TerminalResponse {
    phase: String,
    received_at: Instant,
}

struct CheckedJob {
    spec: JobSpec,
    /// The jobs that must be done before the job starts.
    upstream: Vec<String>,
    accepted_at: Option<Instant>,
    /// Whether a user has requested the cancellation, with any outcome.
    cancel_requested: bool,
    terminal: Option<TerminalResponse>,
    completed: BTreeSet<u32>,
}

impl CheckedJob {
    fn cancelled_at(&self) -> Option<Instant> {
        let terminal = self.terminal.as_ref()?;
        (terminal.phase == "aborted").then_some(terminal.received_at)
    }

    fn is_complete(&self) -> bool {
        self.completed.len() as u32 >= self.spec.tasks
    }
}

/// The observations of a run so far, and the violations found in them.
pub struct Checker {
    limits: Limits,
    started_at: Instant,
    jobs: BTreeMap<String, CheckedJob>,
    machines: BTreeMap<String, MachineInfo>,
    running_attempts: BTreeSet<Attempt>,
    reported_overdue: BTreeSet<Attempt>,
    pub starts: u64,
    pub responses: u64,
    pub violations: Vec<Violation>,
}

impl Checker {
    pub fn new(limits: Limits, started_at: Instant) -> Checker {
        Checker {
            limits,
            started_at,
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            running_attempts: BTreeSet::new(),
            reported_overdue: BTreeSet::new(),
            starts: 0,
            responses: 0,
            violations: Vec::new(),
        }
    }

    fn record(&mut self, now: Instant, rule: Rule, details: String) {
        let at = now.saturating_duration_since(self.started_at);
        self.violations.push(Violation { rule, details, at });
    }

    pub fn job_submitted(&mut self, spec: JobSpec) {
        let job = CheckedJob {
            spec,
            upstream: Vec::new(),
            accepted_at: None,
            cancel_requested: false,
            terminal: None,
            completed: BTreeSet::new(),
        };
        let id = job.spec.id.as_str().to_owned();
        self.jobs.entry(id).or_insert(job);
    }

    /// Records that a job must not start before these jobs are done.
    pub fn depends_on(&mut self, job: &str, upstream: &[String]) {
        if let Some(job) = self.jobs.get_mut(job) {
            job.upstream = upstream.to_vec();
        }
    }

    /// Whether any upstream job of the job is not done.
    pub fn is_blocked(&self, job: &str) -> bool {
        let upstream = self.jobs.get(job).map_or(&[][..], |job| &job.upstream);
        upstream
            .iter()
            .any(|id| !self.jobs.get(id).is_some_and(CheckedJob::is_complete))
    }

    pub fn cancel_requested(&mut self, job: &str) {
        if let Some(job) = self.jobs.get_mut(job) {
            job.cancel_requested = true;
        }
    }

    pub fn machine_up(&mut self, id: &str, info: MachineInfo) {
        self.machines.insert(id.to_owned(), info);
    }

    pub fn machine_removed(&mut self, id: &str) {
        self.machines.remove(id);
        self.running_attempts
            .retain(|attempt| attempt.machine != id);
    }

    pub fn lease_renewed(&mut self, machine: &str, until: Instant) {
        if let Some(info) = self.machines.get_mut(machine) {
            info.lease_until = info.lease_until.max(until);
        }
    }

    /// Records that a worker's session has ended, with all its tasks, and the next one has started.
    pub fn session_ended(&mut self, machine: &str, next_lease_until: Instant) {
        self.running_attempts
            .retain(|attempt| attempt.machine != machine);
        if let Some(info) = self.machines.get_mut(machine) {
            info.lease_until = next_lease_until;
        }
    }

    /// Removes the attempts on machines whose lease has expired. Workers kill tasks when their lease expires, but
    /// the fake worker may get to it late.
    fn expire_leases(&mut self, now: Instant) {
        let machines = &self.machines;
        self.running_attempts.retain(|attempt| {
            let info = machines.get(&attempt.machine);
            info.is_some_and(|info| now <= info.lease_until)
        });
    }

    pub fn task_ended(&mut self, attempt: &Attempt) {
        self.running_attempts.remove(attempt);
    }

    pub fn task_completed(&mut self, attempt: &Attempt) {
        if let Some(job) = self.jobs.get_mut(&attempt.job) {
            job.completed.insert(attempt.index);
        }
        self.task_ended(attempt);
    }

    /// Records that a task attempt has its image and runs on its machine from now on, and checks the rules.
    pub fn task_started(&mut self, now: Instant, attempt: &Attempt) {
        self.expire_leases(now);
        self.starts += 1;
        self.check_single_run(now, attempt);
        self.check_placement(now, attempt);
        if self.is_blocked(&attempt.job) {
            self.record(now, Rule::TooEarly, format!("{attempt:?}"));
        }
        self.running_attempts.insert(attempt.clone());
        self.check_quota(now, attempt);
    }

    fn check_single_run(&mut self, now: Instant, attempt: &Attempt) {
        let elsewhere = self.running_attempts.iter().find(|other| {
            (&other.job, other.index) == (&attempt.job, attempt.index)
                && other.machine != attempt.machine
        });
        if let Some(other) = elsewhere {
            let details = format!("{attempt:?} started while {other:?} runs");
            self.record(now, Rule::RanTwice, details);
        }
    }

    fn check_placement(&mut self, now: Instant, attempt: &Attempt) {
        let (Some(job), Some(machine)) = (
            self.jobs.get(&attempt.job),
            self.machines.get(&attempt.machine),
        ) else {
            return self.record(
                now,
                Rule::Invented,
                format!("{attempt:?}: unknown job or machine"),
            );
        };
        let spec = &job.spec;
        let others = self.running_attempts.iter().filter(|other| {
            other.job == attempt.job
                && (other.index, &other.machine) != (attempt.index, &attempt.machine)
        });
        let zones: Vec<&str> = others
            .filter_map(|other| self.machines.get(&other.machine))
            .map(|info| info.zone.as_str())
            .collect();
        let in_zone = zones.iter().filter(|zone| **zone == machine.zone).count() as u32;
        let breaks_affinity = spec.zone_affinity && zones.iter().any(|zone| *zone != machine.zone);
        let breaks_anti_affinity = spec.zone_anti_affinity && in_zone + 1 > spec.tasks.div_ceil(2);
        if !allows(spec, machine) || breaks_affinity || breaks_anti_affinity {
            let details = format!("{attempt:?} in zone {}, others in {zones:?}", machine.zone);
            self.record(now, Rule::WrongPlace, details);
        }
    }

    fn check_quota(&mut self, now: Instant, started: &Attempt) {
        let Some(team) = self.jobs.get(&started.job).map(|job| job.spec.team.clone()) else {
            return;
        };
        let specs = self
            .running_attempts
            .iter()
            .filter_map(|a| self.jobs.get(&a.job));
        let of_team = specs.filter(|job| job.spec.team == team);
        let used: f64 = of_team.map(|job| job.spec.gpus).sum();
        let max = self.max_gpus(&team);
        if used > max + EPSILON {
            self.record(
                now,
                Rule::Quota,
                format!("{team} uses {used} of {max} GPUs"),
            );
        }
    }

    /// Records a violation for each task attempt that runs for too long after its job's cancellation was confirmed.
    pub fn check_cancelled_jobs(&mut self, now: Instant) {
        self.expire_leases(now);
        let limit = self.limits.cancel_timeout + CANCEL_SLACK;
        let late: Vec<Attempt> = self
            .running_attempts
            .iter()
            .filter(|attempt| !self.reported_overdue.contains(attempt))
            .filter(|attempt| {
                let job = self.jobs.get(&attempt.job);
                let cancelled_at = job.and_then(CheckedJob::cancelled_at);
                cancelled_at.is_some_and(|at| now.saturating_duration_since(at) > limit)
            })
            .cloned()
            .collect();
        for attempt in late {
            self.record(now, Rule::RanCancelled, format!("{attempt:?}"));
            self.reported_overdue.insert(attempt);
        }
    }

    /// Returns a job's specification.
    pub fn spec(&self, id: &str) -> Option<&JobSpec> {
        Some(&self.jobs.get(id)?.spec)
    }

    /// Returns a machine's properties and lease.
    pub fn machine(&self, id: &str) -> Option<&MachineInfo> {
        self.machines.get(id)
    }

    /// Returns a team's GPU limit.
    pub fn max_gpus(&self, team: &str) -> f64 {
        self.limits.max_gpus.get(team).copied().unwrap_or(0.0)
    }

    /// Records that a job has waited for too long while machines had free capacity for it.
    pub fn record_starvation(&mut self, now: Instant, id: &str) {
        self.record(
            now,
            Rule::LeftWaiting,
            format!("{id} waits although machines have free capacity for it"),
        );
    }

    /// Returns the accepted jobs for which no response has reported a terminal phase.
    pub fn unfinished_jobs(&self) -> Vec<String> {
        let jobs = self.jobs.iter();
        let unfinished_jobs =
            jobs.filter(|(_, job)| job.accepted_at.is_some() && job.terminal.is_none());
        unfinished_jobs.map(|(id, _)| id.clone()).collect()
    }

    /// Returns the unfinished services.
    pub fn unfinished_services(&self) -> Vec<String> {
        let is_service = |id: &String| self.jobs[id].spec.shape == Shape::Service;
        let unfinished_jobs = self.unfinished_jobs().into_iter();
        unfinished_jobs.filter(is_service).collect()
    }

    /// Returns the accepted jobs, unfinished or not.
    pub fn accepted_jobs(&self) -> Vec<String> {
        let jobs = self.jobs.iter();
        let accepted = jobs.filter(|(_, job)| job.accepted_at.is_some());
        accepted.map(|(id, _)| id.clone()).collect()
    }

    /// Checks that tasks ran and that every accepted job has ended. Called after the faults, once jobs had time to end.
    pub fn check_at_end(&mut self, now: Instant) {
        if self.starts == 0 {
            self.record(now, Rule::NothingRan, "no task was started".into());
        }
        for id in self.unfinished_jobs() {
            let job = &self.jobs[&id];
            let completed = job.completed.len();
            let running = self.running_attempts.iter().filter(|a| a.job == id).count();
            let details = format!(
                "{id}: {completed} of {} tasks completed, {running} running, {:?}",
                job.spec.tasks, job.spec
            );
            self.record(now, Rule::LeftWaiting, details);
        }
    }
}

/// Returns whether the job allows the machine's type, its zone, and spot machines if it is one.
pub fn allows(spec: &JobSpec, machine: &MachineInfo) -> bool {
    let types = spec.machine_types.as_ref();
    types.is_none_or(|types| types.iter().any(|t| t.as_str() == machine.machine_type))
        && spec
            .zone
            .as_ref()
            .is_none_or(|zone| zone.as_str() == machine.zone)
        && (spec.spot || !machine.spot)
}
