//! Judges a run from outside: from what workers ran and what users were told, by the operators' rules.

mod answers;

use chalklug::protocol::users::{JobSpec, Shape};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// What our own workers may need beyond the time that the rule allows, when the machine is busy: the stand-ins
/// and the controllers share it.
const CANCEL_SLACK: Duration = Duration::from_millis(1_500);
const EPSILON: f64 = 1e-6;

/// A rule, by the operators' name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    RanTwice,
    Quota,
    WrongPlace,
    RanCancelled,
    Forgotten,
    Invented,
    NotDone,
    WentBack,
    NothingRan,
    LeftWaiting,
}

/// A broken rule.
#[derive(Clone, Debug)]
pub struct Violation {
    pub rule: Rule,
    pub details: String,
    /// Since the start of the run.
    pub at: Duration,
}

/// What the rules are judged by.
pub struct Limits {
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

/// What is true of a machine.
#[derive(Clone, Debug)]
pub struct MachineInfo {
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    /// Its tasks are killed then, unless an answer renews the lease.
    pub lease_until: Instant,
}

/// What a user was told of a job: when the question left, when the answer came, and what it said.
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
    accepted_at: Option<Instant>,
    /// A user has asked to cancel it, with whatever outcome.
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

/// Everything observed so far.
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
            accepted_at: None,
            cancel_requested: false,
            terminal: None,
            completed: BTreeSet::new(),
        };
        let id = job.spec.id.as_str().to_owned();
        self.jobs.entry(id).or_insert(job);
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

    /// A new session of the worker has begun: nothing of the one before is left.
    pub fn session_ended(&mut self, machine: &str, next_lease_until: Instant) {
        self.running_attempts
            .retain(|attempt| attempt.machine != machine);
        if let Some(info) = self.machines.get_mut(machine) {
            info.lease_until = next_lease_until;
        }
    }

    /// Machines kill their tasks when their lease ends, also when the stand-in gets to it late.
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

    /// A task has its image, and is on its machine from now on.
    pub fn task_started(&mut self, now: Instant, attempt: &Attempt) {
        self.expire_leases(now);
        self.starts += 1;
        self.check_single_run(now, attempt);
        self.check_placement(now, attempt);
        self.running_attempts.insert(attempt.clone());
        self.check_quota(now, attempt);
    }

    fn check_single_run(&mut self, now: Instant, attempt: &Attempt) {
        let elsewhere = self.running_attempts.iter().find(|other| {
            (&other.job, other.index) == (&attempt.job, attempt.index)
                && other.machine != attempt.machine
        });
        if let Some(other) = elsewhere {
            let details = format!("{attempt:?} while {other:?}");
            self.record(now, Rule::RanTwice, details);
        }
    }

    fn check_placement(&mut self, now: Instant, attempt: &Attempt) {
        let (Some(job), Some(machine)) = (
            self.jobs.get(&attempt.job),
            self.machines.get(&attempt.machine),
        ) else {
            return self.record(now, Rule::Invented, format!("{attempt:?} of no known job"));
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

    /// Looks for tasks of cancelled jobs that are on machines for too long.
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

    /// A job's description.
    pub fn spec(&self, id: &str) -> Option<&JobSpec> {
        Some(&self.jobs.get(id)?.spec)
    }

    /// What is true of a machine.
    pub fn machine(&self, id: &str) -> Option<&MachineInfo> {
        self.machines.get(id)
    }

    /// A team's limit.
    pub fn max_gpus(&self, team: &str) -> f64 {
        self.limits.max_gpus.get(team).copied().unwrap_or(0.0)
    }

    /// A job has waited for too long while there was room for it.
    pub fn record_starvation(&mut self, now: Instant, id: &str) {
        self.record(
            now,
            Rule::LeftWaiting,
            format!("{id} waits beside room for it"),
        );
    }

    /// Accepted jobs of which the user has not been told that they are over.
    pub fn unfinished_jobs(&self) -> Vec<String> {
        let jobs = self.jobs.iter();
        let unfinished_jobs =
            jobs.filter(|(_, job)| job.accepted_at.is_some() && job.terminal.is_none());
        unfinished_jobs.map(|(id, _)| id.clone()).collect()
    }

    /// Accepted services that nobody has cancelled yet.
    pub fn running_services(&self) -> Vec<String> {
        let is_service = |id: &String| self.jobs[id].spec.shape == Shape::Service;
        let unfinished_jobs = self.unfinished_jobs().into_iter();
        unfinished_jobs.filter(is_service).collect()
    }

    /// Accepted jobs, over or not.
    pub fn accepted_jobs(&self) -> Vec<String> {
        let jobs = self.jobs.iter();
        let accepted = jobs.filter(|(_, job)| job.accepted_at.is_some());
        accepted.map(|(id, _)| id.clone()).collect()
    }

    /// All troubles are over, and there was time for everything to end.
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

/// Whether the job allows machines of this type, in this zone and of this kind.
pub fn allows(spec: &JobSpec, machine: &MachineInfo) -> bool {
    let types = spec.machine_types.as_ref();
    types.is_none_or(|types| types.iter().any(|t| t.as_str() == machine.machine_type))
        && spec
            .zone
            .as_ref()
            .is_none_or(|zone| zone.as_str() == machine.zone)
        && (spec.spot || !machine.spot)
}
