//! The one place where starts are put on machines, change and leave: sums and indexes follow each
//! change, so that no decision has to add everything up again. `audit` does add everything up, for
//! tests.

use crate::coordination::attempts::task_attempt::{LastStatus, TaskAttempt};
use crate::coordination::machines::machine::{Machine, MachineState};
use crate::coordination::Scheduler;
use crate::ids::{AttemptId, JobId, MachineId, TaskId, TeamIndex};
use crate::protocol::users::JobSpec;
use crate::resources::Resources;
use crate::storage::pages::PlacedAttempt;
use crate::time::{Instant, TimeSpan};
use std::collections::BTreeSet;

/// What is looked up again and again, kept in step with the ledgers.
#[derive(Debug, Default, PartialEq)]
pub struct Indexes {
    /// Released jobs with tasks that are nowhere.
    pub waiting: BTreeSet<JobId>,
    /// Open jobs that wait for others to be done.
    pub unreleased: BTreeSet<JobId>,
    /// Open jobs that are to be cancelled because a job that they need is.
    pub ancestor_cancelled: BTreeSet<JobId>,
    /// Released jobs by team, in the order in which they were ready: for guarantees.
    pub by_team: Vec<BTreeSet<(Instant, JobId)>>,
    /// Open jobs of which every task is done.
    pub complete: BTreeSet<JobId>,
    /// Open jobs with done tasks that aren't durable.
    pub unpersisted: BTreeSet<JobId>,
    /// Jobs that are over and have nothing left anywhere.
    pub finished: BTreeSet<JobId>,
    /// Machines that report and are not full.
    pub spacious: BTreeSet<MachineId>,
    /// Machines that report and whose GPUs are all taken, but not their CPUs: room for tasks that need
    /// no GPU.
    pub cpus_left: BTreeSet<MachineId>,
}

/// What kind of room a machine has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Room {
    /// None, or it does not report.
    None,
    /// CPUs, but no GPUs though its type has some.
    NoGpus,
    /// Some of all that its type is rented for.
    Some,
}

/// Puts an id into a set or takes it out.
fn keep_member<T: Ord + Clone>(set: &mut BTreeSet<T>, id: &T, member: bool) {
    if !member {
        set.remove(id);
    } else if !set.contains(id) {
        set.insert(id.clone());
    }
}

impl Scheduler {
    /// What a team uses: everything that may be on a machine, lingering starts included.
    pub(crate) fn used_by(&self, team: Option<TeamIndex>) -> Resources {
        team.and_then(|t| self.used.get(t.0))
            .copied()
            .unwrap_or_default()
    }

    fn charge(&mut self, team: Option<TeamIndex>, request: &Resources, on: bool) {
        if let Some(u) = team.and_then(|t| self.used.get_mut(t.0)) {
            if on {
                u.add(request);
            } else {
                u.sub(request);
            }
        }
    }

    fn charge_machine(m: &mut Machine, request: &Resources, on: bool) {
        if on {
            m.free.sub(request);
            m.live_count += 1;
        } else {
            m.free.add(request);
            m.live_count = m.live_count.saturating_sub(1);
        }
    }

    /// Puts a start on a machine.
    pub(crate) fn insert_attempt(&mut self, machine_id: &MachineId, attempt: TaskAttempt) {
        let Some(m) = self.machines.get_mut(machine_id) else {
            return;
        };
        let (request, team, on) = (attempt.request, attempt.team, !attempt.ended());
        let (job, runs) = (attempt.task.job.clone(), attempt.runs());
        let key = (attempt.task.clone(), attempt.attempt_id);
        if on {
            Self::charge_machine(m, &request, true);
        }
        let before = m.attempts.insert(key, attempt);
        debug_assert!(before.is_none(), "a start is put once");
        if on {
            self.charge(team, &request, true);
        }
        if let Some(j) = self.jobs.get_mut(&job) {
            j.listed += 1;
            j.running += u32::from(runs);
        }
        self.index_job(&job);
        self.index_machine(machine_id);
    }

    /// A report says how a start is.
    pub(crate) fn update_status(
        &mut self,
        now: Instant,
        machine_id: &MachineId,
        key: &(TaskId, AttemptId),
        last_status: LastStatus,
    ) {
        let fetch_s = self.longest_fetch_s(machine_id, &key.0.job);
        let Some(m) = self.machines.get_mut(machine_id) else {
            return;
        };
        let Some(s) = m.attempts.get_mut(key) else {
            return;
        };
        let (was_on, ran) = (!s.ended(), s.runs());
        // What a former leader launched may have run for long: since its image was there, at the latest.
        let fetched = s.since + TimeSpan::from_secs(fetch_s);
        let running_since = if s.recovered { fetched.min(now) } else { now };
        s.last_status = Some(last_status);
        if last_status.phase == crate::protocol::workers::TaskPhase::Running
            && s.running_since.is_none()
        {
            s.running_since = Some(running_since);
        }
        let (on, runs) = (!s.ended(), s.runs());
        let (request, team) = (s.request, s.team);
        if was_on != on {
            Self::charge_machine(m, &request, on);
            self.charge(team, &request, on);
            self.index_machine(machine_id);
        }
        if ran != runs {
            if let Some(j) = self.jobs.get_mut(&key.0.job) {
                j.running = (j.running + u32::from(runs)).saturating_sub(u32::from(ran));
                if runs && !j.has_run {
                    j.has_run = true;
                    self.note_begun(now, &key.0.job);
                }
            }
        }
    }

    /// Takes a start off the ledger. Only `remove_attempt` does this, for only proofs may.
    pub(crate) fn detach_attempt(
        &mut self,
        now: Instant,
        machine_id: &MachineId,
        key: &(TaskId, AttemptId),
    ) -> Option<TaskAttempt> {
        let m = self.machines.get_mut(machine_id)?;
        let s = m.attempts.remove(key)?;
        let (request, team, on) = (s.request, s.team, !s.ended());
        if on {
            Self::charge_machine(m, &request, false);
            self.charge(team, &request, false);
        }
        if let Some(j) = self.jobs.get_mut(&key.0.job) {
            j.listed = j.listed.saturating_sub(1);
            j.running = j.running.saturating_sub(u32::from(s.runs()));
        }
        if let Some(page) = s.page {
            let gone = PlacedAttempt::new(machine_id, key);
            self.writer.intents.gone(now, page, &gone);
        }
        self.index_job(&key.0.job);
        self.index_machine(machine_id);
        Some(s)
    }

    /// Brings the indexes in step with a job.
    pub(crate) fn index_job(&mut self, id: &JobId) {
        let x = &mut self.indexes;
        let Some(j) = self.jobs.get(id) else {
            for set in [
                &mut x.waiting,
                &mut x.unreleased,
                &mut x.ancestor_cancelled,
                &mut x.complete,
                &mut x.unpersisted,
                &mut x.finished,
            ] {
                set.remove(id);
            }
            return;
        };
        let open = !j.closed;
        let released = open && j.released;
        keep_member(&mut x.waiting, id, released && !j.pending.is_empty());
        keep_member(&mut x.unreleased, id, open && !j.released);
        let cancelled = open && j.ancestor_cancelled;
        keep_member(&mut x.ancestor_cancelled, id, cancelled);
        keep_member(&mut x.complete, id, open && j.is_complete());
        keep_member(&mut x.unpersisted, id, open && !j.unpersisted.is_empty());
        keep_member(&mut x.finished, id, j.closed && j.listed == 0);
        if let Some(set) = j.team.and_then(|t| x.by_team.get_mut(t.0)) {
            let place = (j.ready, id.clone());
            if released {
                set.insert(place);
            } else {
                set.remove(&place);
            }
        }
    }

    /// Brings the indexes in step with a machine.
    pub(crate) fn index_machine(&mut self, machine_id: &MachineId) {
        let room = self.machines.get(machine_id).map(|m| self.room_on(m));
        let spacious = &mut self.indexes.spacious;
        keep_member(spacious, machine_id, room == Some(Room::Some));
        let cpus_left = &mut self.indexes.cpus_left;
        keep_member(cpus_left, machine_id, room == Some(Room::NoGpus));
    }

    /// What kind of room a machine has.
    fn room_on(&self, m: &Machine) -> Room {
        let whole = self.capacity(&m.machine_type);
        let some = |free: f64, whole: f64| whole <= 0.0 || free > 1e-6;
        if m.state != MachineState::Up || !some(m.free.cpus, whole.cpus) {
            Room::None
        } else if some(m.free.gpus, whole.gpus) {
            Room::Some
        } else {
            Room::NoGpus
        }
    }

    /// Machines that report and have room of the kind that a job's tasks need.
    pub(crate) fn with_room_for<'a>(&'a self, spec: &JobSpec) -> impl Iterator<Item = &'a Machine> {
        let spacious = self.indexes.spacious.iter();
        let cpus_left = (spec.gpus <= 0.0).then_some(&self.indexes.cpus_left);
        let machine_ids = spacious.chain(cpus_left.into_iter().flatten());
        machine_ids.filter_map(|h| self.machines.get(h))
    }

    /// The machine types have changed: what is free follows.
    pub(crate) fn recount_room(&mut self) {
        let machine_ids: Vec<MachineId> = self.machines.keys().cloned().collect();
        for machine_id in machine_ids {
            let Some(m) = self.machines.get(&machine_id) else {
                continue;
            };
            let free = Self::room_left(m, self.capacity(&m.machine_type));
            if let Some(m) = self.machines.get_mut(&machine_id) {
                m.free = free;
            }
            self.index_machine(&machine_id);
        }
    }

    fn room_left(m: &Machine, whole: Resources) -> Resources {
        let mut free = whole;
        for s in m.live_attempts() {
            free.sub(&s.request);
        }
        free
    }

    /// Counts everything again and compares: what differs, if anything. For tests.
    pub fn audit(&self) -> Result<(), String> {
        let near = |a: &Resources, b: &Resources| {
            (a.cpus - b.cpus).abs() + (a.gpus - b.gpus).abs() + (a.ram_gb - b.ram_gb).abs() < 1e-3
        };
        let mut used = vec![Resources::default(); self.used.len()];
        let mut spacious = BTreeSet::new();
        let mut cpus_left = BTreeSet::new();
        for m in self.machines.values() {
            let free = Self::room_left(m, self.capacity(&m.machine_type));
            if !near(&free, &m.free) || m.live_count as usize != m.live_attempts().count() {
                return Err(format!("{}: free {:?}, counted {free:?}", m.id, m.free));
            }
            for s in m.live_attempts() {
                if let Some(u) = s.team.and_then(|t| used.get_mut(t.0)) {
                    u.add(&s.request);
                }
            }
            match self.room_on(m) {
                Room::Some => drop(spacious.insert(m.id.clone())),
                Room::NoGpus => drop(cpus_left.insert(m.id.clone())),
                Room::None => {}
            }
        }
        for (a, b) in used.iter().zip(&self.used) {
            if !near(a, b) {
                return Err(format!("teams use {:?}, counted {used:?}", self.used));
            }
        }
        if spacious != self.indexes.spacious || cpus_left != self.indexes.cpus_left {
            return Err("machines with room are not those indexed".into());
        }
        let mut want = Indexes {
            by_team: vec![BTreeSet::new(); self.indexes.by_team.len()],
            spacious,
            cpus_left,
            ..Indexes::default()
        };
        for (id, j) in &self.jobs {
            let attempts = || {
                let of = |m: &'_ Machine| m.attempts.values().filter(|s| s.task.job == *id).count();
                self.machines.values().map(of).sum::<usize>()
            };
            let runs = self
                .machines
                .values()
                .flat_map(|m| m.attempts.values())
                .filter(|s| s.task.job == *id && s.runs())
                .count();
            if j.listed as usize != attempts() || j.running as usize != runs {
                return Err(format!("{id}: {} starts, {} run", j.listed, j.running));
            }
            let open = !j.closed;
            let released = open && j.released;
            for (set, member) in [
                (&mut want.waiting, released && !j.pending.is_empty()),
                (&mut want.unreleased, open && !j.released),
                (&mut want.ancestor_cancelled, open && j.ancestor_cancelled),
                (&mut want.complete, open && j.is_complete()),
                (&mut want.unpersisted, open && !j.unpersisted.is_empty()),
                (&mut want.finished, !open && j.listed == 0),
            ] {
                if member {
                    set.insert(id.clone());
                }
            }
            if let Some(set) = j
                .team
                .filter(|_| released)
                .and_then(|t| want.by_team.get_mut(t.0))
            {
                set.insert((j.ready, id.clone()));
            }
        }
        if want != self.indexes {
            return Err(format!("indexes {:?}, counted {want:?}", self.indexes));
        }
        Ok(())
    }

    /// A start as planned for a task of a job, here or by a former leader.
    pub(crate) fn new_attempt(
        &self,
        machine_id: &MachineId,
        task: TaskId,
        attempt_id: AttemptId,
        now: Instant,
    ) -> TaskAttempt {
        // Something of which we know nothing may take everything.
        let whole = self
            .machines
            .get(machine_id)
            .map(|m| self.capacity(&m.machine_type));
        let job = self.jobs.get(&task.job);
        TaskAttempt::planned(task, attempt_id, job, whole.unwrap_or_default(), now)
    }

    /// The team of a job, by its number in the settings.
    pub(crate) fn team_of(&self, spec: &JobSpec) -> Option<TeamIndex> {
        self.policy.team_index(&spec.team)
    }
}
