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
    pub cancel: Duration,
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
pub struct MachineFacts {
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    /// Its tasks are killed then, unless an answer renews the lease.
    pub lease_until: Instant,
}

/// What a user was told of a job: when the question left, when the answer came, and what it said.
#[derive(Clone, Copy, Debug)]
pub struct Told<'a> {
    pub asked_at: Instant,
    pub told_at: Instant,
    pub status: u16,
    pub phase: &'a str,
}

#[derive(Clone, Debug)]
struct TerminalAnswer {
    phase: String,
    told_at: Instant,
}

struct CheckedJob {
    spec: JobSpec,
    accepted_at: Option<Instant>,
    /// A user has asked to cancel it, with whatever outcome.
    cancel_asked: bool,
    terminal: Option<TerminalAnswer>,
    completed: BTreeSet<u32>,
}

impl CheckedJob {
    fn cancelled_at(&self) -> Option<Instant> {
        let terminal = self.terminal.as_ref()?;
        (terminal.phase == "aborted").then_some(terminal.told_at)
    }

    fn is_complete(&self) -> bool {
        self.completed.len() as u32 >= self.spec.tasks
    }
}

/// Everything observed so far.
pub struct Checker {
    limits: Limits,
    began_at: Instant,
    jobs: BTreeMap<String, CheckedJob>,
    machines: BTreeMap<String, MachineFacts>,
    on_machines: BTreeSet<Attempt>,
    reported_late: BTreeSet<Attempt>,
    pub starts: u64,
    pub answers: u64,
    pub violations: Vec<Violation>,
}

impl Checker {
    pub fn new(limits: Limits, began_at: Instant) -> Checker {
        Checker {
            limits,
            began_at,
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            on_machines: BTreeSet::new(),
            reported_late: BTreeSet::new(),
            starts: 0,
            answers: 0,
            violations: Vec::new(),
        }
    }

    fn record(&mut self, now: Instant, rule: Rule, details: String) {
        let at = now.saturating_duration_since(self.began_at);
        self.violations.push(Violation { rule, details, at });
    }

    pub fn job_submitted(&mut self, spec: JobSpec) {
        let job = CheckedJob {
            spec,
            accepted_at: None,
            cancel_asked: false,
            terminal: None,
            completed: BTreeSet::new(),
        };
        let id = job.spec.id.as_str().to_owned();
        self.jobs.entry(id).or_insert(job);
    }

    pub fn cancel_asked(&mut self, job: &str) {
        if let Some(job) = self.jobs.get_mut(job) {
            job.cancel_asked = true;
        }
    }

    pub fn machine_up(&mut self, id: &str, facts: MachineFacts) {
        self.machines.insert(id.to_owned(), facts);
    }

    pub fn machine_gone(&mut self, id: &str) {
        self.machines.remove(id);
        self.on_machines.retain(|attempt| attempt.machine != id);
    }

    pub fn lease_renewed(&mut self, machine: &str, until: Instant) {
        if let Some(facts) = self.machines.get_mut(machine) {
            facts.lease_until = facts.lease_until.max(until);
        }
    }

    /// A new session of the worker has begun: nothing of the one before is left.
    pub fn session_ended(&mut self, machine: &str, next_lease_until: Instant) {
        self.on_machines
            .retain(|attempt| attempt.machine != machine);
        if let Some(facts) = self.machines.get_mut(machine) {
            facts.lease_until = next_lease_until;
        }
    }

    /// Machines kill their tasks when their lease ends, also when the stand-in gets to it late.
    fn end_leases(&mut self, now: Instant) {
        let machines = &self.machines;
        self.on_machines.retain(|attempt| {
            let facts = machines.get(&attempt.machine);
            facts.is_some_and(|facts| now <= facts.lease_until)
        });
    }

    pub fn task_left(&mut self, attempt: &Attempt) {
        self.on_machines.remove(attempt);
    }

    pub fn task_completed(&mut self, attempt: &Attempt) {
        if let Some(job) = self.jobs.get_mut(&attempt.job) {
            job.completed.insert(attempt.index);
        }
        self.task_left(attempt);
    }

    /// A task has its image, and is on its machine from now on.
    pub fn task_started(&mut self, now: Instant, attempt: &Attempt) {
        self.end_leases(now);
        self.starts += 1;
        self.check_second_start(now, attempt);
        self.check_place(now, attempt);
        self.on_machines.insert(attempt.clone());
        self.check_quota(now, attempt);
    }

    fn check_second_start(&mut self, now: Instant, attempt: &Attempt) {
        let elsewhere = self.on_machines.iter().find(|other| {
            (&other.job, other.index) == (&attempt.job, attempt.index)
                && other.machine != attempt.machine
        });
        if let Some(other) = elsewhere {
            let details = format!("{attempt:?} while {other:?}");
            self.record(now, Rule::RanTwice, details);
        }
    }

    fn check_place(&mut self, now: Instant, attempt: &Attempt) {
        let (Some(job), Some(machine)) = (
            self.jobs.get(&attempt.job),
            self.machines.get(&attempt.machine),
        ) else {
            return self.record(now, Rule::Invented, format!("{attempt:?} of no known job"));
        };
        let spec = &job.spec;
        let others = self.on_machines.iter().filter(|other| {
            other.job == attempt.job
                && (other.index, &other.machine) != (attempt.index, &attempt.machine)
        });
        let zones: Vec<&str> = others
            .filter_map(|other| self.machines.get(&other.machine))
            .map(|facts| facts.zone.as_str())
            .collect();
        let here = zones.iter().filter(|zone| **zone == machine.zone).count() as u32;
        let is_apart = spec.zone_affinity && zones.iter().any(|zone| *zone != machine.zone);
        let is_crowded = spec.zone_anti_affinity && here + 1 > spec.tasks.div_ceil(2);
        if !allows(spec, machine) || is_apart || is_crowded {
            let details = format!("{attempt:?} in zone {}, others in {zones:?}", machine.zone);
            self.record(now, Rule::WrongPlace, details);
        }
    }

    fn check_quota(&mut self, now: Instant, started: &Attempt) {
        let Some(team) = self.jobs.get(&started.job).map(|job| job.spec.team.clone()) else {
            return;
        };
        let specs = self
            .on_machines
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
    pub fn look_at_cancelled(&mut self, now: Instant) {
        self.end_leases(now);
        let limit = self.limits.cancel + CANCEL_SLACK;
        let late: Vec<Attempt> = self
            .on_machines
            .iter()
            .filter(|attempt| !self.reported_late.contains(attempt))
            .filter(|attempt| {
                let job = self.jobs.get(&attempt.job);
                let cancelled_at = job.and_then(CheckedJob::cancelled_at);
                cancelled_at.is_some_and(|at| now.saturating_duration_since(at) > limit)
            })
            .cloned()
            .collect();
        for attempt in late {
            self.record(now, Rule::RanCancelled, format!("{attempt:?}"));
            self.reported_late.insert(attempt);
        }
    }

    /// A job's description.
    pub fn spec(&self, id: &str) -> Option<&JobSpec> {
        Some(&self.jobs.get(id)?.spec)
    }

    /// What is true of a machine.
    pub fn machine(&self, id: &str) -> Option<&MachineFacts> {
        self.machines.get(id)
    }

    /// A team's limit.
    pub fn max_gpus(&self, team: &str) -> f64 {
        self.limits.max_gpus.get(team).copied().unwrap_or(0.0)
    }

    /// A job has waited for too long while there was room for it.
    pub fn left_waiting(&mut self, now: Instant, id: &str) {
        self.record(
            now,
            Rule::LeftWaiting,
            format!("{id} waits beside room for it"),
        );
    }

    /// Accepted jobs of which the user has not been told that they are over.
    pub fn unfinished(&self) -> Vec<String> {
        let jobs = self.jobs.iter();
        let unfinished =
            jobs.filter(|(_, job)| job.accepted_at.is_some() && job.terminal.is_none());
        unfinished.map(|(id, _)| id.clone()).collect()
    }

    /// Accepted services that nobody has cancelled yet.
    pub fn running_services(&self) -> Vec<String> {
        let is_service = |id: &String| self.jobs[id].spec.shape == Shape::Service;
        let unfinished = self.unfinished().into_iter();
        unfinished.filter(is_service).collect()
    }

    /// Accepted jobs, over or not.
    pub fn accepted(&self) -> Vec<String> {
        let jobs = self.jobs.iter();
        let accepted = jobs.filter(|(_, job)| job.accepted_at.is_some());
        accepted.map(|(id, _)| id.clone()).collect()
    }

    /// All troubles are over, and there was time for everything to end.
    pub fn at_end(&mut self, now: Instant) {
        if self.starts == 0 {
            self.record(now, Rule::NothingRan, "no task was started".into());
        }
        for id in self.unfinished() {
            let job = &self.jobs[&id];
            let completed = job.completed.len();
            let on_machines = self.on_machines.iter().filter(|a| a.job == id).count();
            let details = format!(
                "{id}: {completed} of {} tasks completed, {on_machines} on machines, {:?}",
                job.spec.tasks, job.spec
            );
            self.record(now, Rule::LeftWaiting, details);
        }
    }
}

/// Whether the job allows machines of this type, in this zone and of this kind.
pub fn allows(spec: &JobSpec, machine: &MachineFacts) -> bool {
    let types = spec.machine_types.as_ref();
    types.is_none_or(|types| types.iter().any(|t| t.as_str() == machine.machine_type))
        && spec
            .zone
            .as_ref()
            .is_none_or(|zone| zone.as_str() == machine.zone)
        && (spec.spot || !machine.spot)
}
