//! Sessions with workers: which message is newer, what a report proves, which orders to send.
//!
//! What a status proves, and what follows for the ledger, is decided in `ledger`.

use crate::coordination::attempts::ledger::{
    LastStatus, PushDelivery, RemovalProof, StatusEvidence, TaskAttempt,
};
use crate::coordination::autoscaler::MachineOffer;
use crate::coordination::machines::machine::{MachineState, MAX_UNACKNOWLEDGED_RESPONSES};
use crate::coordination::{Effect, Scheduler};
use crate::ids::{AttemptKey, JobId, MachineId, Session};
use crate::protocol::workers::{Cause, Command, TaskPhase, TaskStatus, WorkerStatus};
use crate::time::{Instant, TimeSpan};

/// How a report came.
#[derive(Clone, Copy, PartialEq, Eq)]
enum StatusSource {
    Heartbeat,
    Push,
}

/// How long a machine whose direct commands fail is left to its check-ins.
const PUSH_RETRY_DELAY: TimeSpan = TimeSpan(3000);
/// A launch whose direct command was never answered, and which hasn't shown up either, keeps its
/// place for this long before the whole machine is given up.
const LOST_LAUNCH_TIMEOUT: TimeSpan = TimeSpan(45_000);
/// Starts on one machine, tombstones included: keeps its reports well under 64 KiB.
pub(crate) const MAX_LISTED: usize = 400;
/// Machines reviewed each second beyond those that something happened to.
const REVIEW_PARTS: u64 = 4;

/// The answer to a check-in.
#[derive(Debug, PartialEq)]
pub enum HeartbeatOutcome {
    /// 200 with these orders.
    Commands(Vec<Command>),
    /// Not to be answered with 200: the machine is gone for us, or a newer leader exists.
    Refused,
}

impl Scheduler {
    /// A worker's check-in. The caller has made sure of the leader's authority, and sends the
    /// orders only if it still holds then.
    pub fn heartbeat(&mut self, now: Instant, status: &WorkerStatus) -> HeartbeatOutcome {
        if status.token > self.leadership.token() {
            self.effects.push(Effect::StepDown {
                why: "a worker has seen a higher token",
            });
            return HeartbeatOutcome::Refused;
        }
        if self.machines.terminated.contains(&status.machine_id) {
            return HeartbeatOutcome::Refused;
        }
        // Guards against copies of old reports: each check-in has a larger tick than the one before,
        // so one that has not is a copy. It renews no clock and is answered by nothing, for the
        // worker does not wait for it.
        let place = (status.session, status.tick);
        let known = self.machines.get(&status.machine_id);
        if known.is_some_and(|m| place <= m.last_heartbeat) {
            tracing::debug!(machine = %status.machine_id, "a late copy of a report");
            return HeartbeatOutcome::Refused;
        }
        let fresh = self.take_report(now, status, StatusSource::Heartbeat);
        self.review(now, &status.machine_id);
        let token = self.leadership.token();
        let Some(m) = self.machines.get_mut(&status.machine_id) else {
            return HeartbeatOutcome::Refused;
        };
        m.last_heartbeat = place;
        m.last_heartbeat_at = Some(now);
        if m.lease_withheld {
            // Its lease is to run out: that is the proof that frees its tasks.
            return HeartbeatOutcome::Refused;
        }
        m.last_response_at = now;
        m.token_sent = m.token_sent.max(token);
        let mut commands = self.heartbeat_commands(now, &status.machine_id, fresh);
        if !fresh {
            // Overtaken by a direct answer: what it lists is old. It renews the lease all the same, so
            // it says what is to stop: otherwise a cancelled task might be renewed without being told.
            commands.retain(|o| matches!(o, Command::Stop { .. }));
        }
        HeartbeatOutcome::Commands(commands)
    }

    pub(crate) fn push_answered(
        &mut self,
        now: Instant,
        machine_id: &MachineId,
        seq: u64,
        status: &WorkerStatus,
    ) {
        if status.token > self.leadership.token() {
            self.effects.push(Effect::StepDown {
                why: "a worker has seen a higher token",
            });
            return;
        }
        if status.machine_id != *machine_id || self.machines.terminated.contains(machine_id) {
            return;
        }
        // Answered: executed, or certainly not. Either way it no longer is under way, and what the
        // report lists is what came of it.
        self.settle_push(machine_id, seq, PushDelivery::None);
        self.take_report(now, status, StatusSource::Push);
        if let Some(m) = self.machines.get_mut(machine_id) {
            m.mark_reachable();
        }
    }

    pub(crate) fn push_failed(
        &mut self,
        now: Instant,
        machine_id: &MachineId,
        seq: u64,
        sent: bool,
    ) {
        let token = self.leadership.token();
        let Some(m) = self.machines.get_mut(machine_id) else {
            return;
        };
        m.push_not_before = now + PUSH_RETRY_DELAY;
        // Guards against a command that a cut or a hang held back: it may execute at any later
        // time in this session, until the worker has seen a higher token, so the launch stays in
        // flight until then.
        let end = if sent {
            PushDelivery::Lost(m.session, token)
        } else {
            PushDelivery::None
        };
        tracing::debug!(machine = %machine_id, sent, "direct command not answered");
        self.settle_push(machine_id, seq, end);
        self.stop_again(now, machine_id);
        self.outbox.pushes_due.insert(machine_id.clone());
    }

    fn settle_push(&mut self, machine_id: &MachineId, seq: u64, end: PushDelivery) {
        let Some(m) = self.machines.get_mut(machine_id) else {
            return;
        };
        if m.push_in_flight == Some(seq) {
            m.push_in_flight = None;
            self.outbox.pushes_in_flight = self.outbox.pushes_in_flight.saturating_sub(1);
        }
        for s in m.attempts.iter_mut() {
            if s.push == PushDelivery::InFlight(seq) {
                s.push = end;
            }
        }
        self.outbox.pushes_due.insert(machine_id.clone());
    }

    /// Takes a report in; false if it was no news. The list of an old report proves nothing.
    fn take_report(&mut self, now: Instant, r: &WorkerStatus, channel: StatusSource) -> bool {
        let machine_id = &r.machine_id;
        if !self.machines.contains_key(machine_id) {
            tracing::info!(machine = %r.machine_id, machine_type = %r.machine_type, "a machine reports that was not known");
            // Not verified: this may be a late copy of a report of a machine long returned. It is
            // given work once it has shown our token.
            let offer = MachineOffer {
                machine_type: r.machine_type.clone(),
                zone: r.zone.clone(),
                spot: r.spot,
            };
            self.add_machine(now, machine_id, &offer, now, false);
        }
        let first = self.leadership.initial_token();
        let Some(m) = self.machines.get_mut(machine_id) else {
            return false;
        };
        if (r.session, r.tick) <= (m.session, m.tick) {
            return false;
        }
        if m.state == MachineState::Booting {
            m.state = MachineState::Up;
            m.idle_since = Some(now);
            tracing::debug!(machine = %m.id, boot_ms = (now - m.since).0, "machine is up");
            self.placement.request_pass();
            let page = m.page;
            self.machines.reindex(machine_id);
            if let Some(page) = page {
                self.writer.machine_pages.changed(now, page);
            }
        }
        let Some(m) = self.machines.get_mut(machine_id) else {
            return false;
        };
        if m.endpoint != r.endpoint {
            m.endpoint.clone_from(&r.endpoint);
        }
        let ended_session = r.session > m.session;
        if r.token > m.token_acknowledged && r.token >= first {
            m.mark_reachable();
        }
        if ended_session
            && m.session > Session(0)
            && now - m.last_response_at < self.policy.lease_expiry_bound()
        {
            // Its lease ran out although we answered: nothing that we say reaches it.
            m.unacknowledged_responses = MAX_UNACKNOWLEDGED_RESPONSES;
        }
        if ended_session {
            m.session_first_seen_at = now;
        }
        m.session = r.session;
        m.tick = r.tick;
        m.last_message_at = Some(now);
        let recall = r.recall_s.map(|s| now + TimeSpan::from_secs(s));
        if m.reclaim_at.is_none() && recall.is_some() {
            tracing::debug!(machine = %m.id, "spot notice");
            self.placement.request_pass();
            self.outbox.machines_to_review.insert(machine_id.clone());
        }
        m.reclaim_at = recall;
        // A report with a token of this leadership was written after it began.
        let confirmed = r.token >= first;
        m.token_acknowledged = m.token_acknowledged.max(r.token);
        if confirmed && !m.confirmed {
            m.confirmed = true;
            m.mark_reachable();
            self.placement.request_pass();
            self.machines.reindex(machine_id);
        }
        for p in &r.tasks {
            self.see(now, machine_id, p, r, confirmed);
        }
        self.see_absent(now, r, channel, ended_session, confirmed);
        true
    }

    /// A start that a report lists.
    fn see(
        &mut self,
        now: Instant,
        machine_id: &MachineId,
        p: &TaskStatus,
        r: &WorkerStatus,
        confirmed: bool,
    ) {
        let key = AttemptKey {
            task: p.task.clone(),
            attempt_id: p.attempt_id,
        };
        let Some(m) = self.machines.get_mut(machine_id) else {
            return;
        };
        if !m.attempts.contains(&key) {
            if !confirmed {
                // Every start that is on a machine has an intent. One without was proven gone: this
                // is a report from before that, and a later one will tell.
                return;
            }
            // Listed but not in our ledger: a tombstone, for its intent needn't be kept.
            let mut s = self.new_attempt(machine_id, key.clone(), now);
            s.recovered = true;
            if p.phase == TaskPhase::Ended {
                self.ledger().insert_without_place(machine_id, s);
            } else {
                self.ledger().insert(machine_id, s);
            }
        }
        let Some(m) = self.machines.get_mut(machine_id) else {
            return;
        };
        let Some(s) = m.attempts.get_mut(&key) else {
            return;
        };
        let before = s.last_status;
        if before.is_none() && s.launched_in == Some(r.session) {
            m.mark_reachable();
        }
        let since = match before {
            Some(b) if b.phase == p.phase => b.since,
            _ => now,
        };
        let last_status = LastStatus {
            phase: p.phase,
            cause: p.cause,
            stored: p.stored,
            since,
            at: (r.session, r.tick),
        };
        match before {
            // No news: only noted, so that the start isn't taken for absent.
            Some(b) if b.phase == p.phase && b.cause == p.cause && b.stored == p.stored => {
                if let Some(s) = self.ledger().get_mut(machine_id, &key) {
                    s.last_status = Some(last_status);
                }
                return;
            }
            _ => self.record_status(now, machine_id, &key, last_status),
        }
        let was = before.map(|b| b.phase);
        if p.phase == TaskPhase::Waiting && was != Some(TaskPhase::Waiting) {
            // It has its image; members that had theirs at once may be launched now.
            self.note_image(now, machine_id, &p.task.job);
            if let Some(job) = self.jobs.get(&p.task.job) {
                self.outbox
                    .pushes_due
                    .extend(job.placements().values().flatten().cloned());
            }
        }
        if p.phase == TaskPhase::Running && was != Some(TaskPhase::Running) {
            tracing::debug!(task = %p.task, machine = %machine_id, "runs");
            self.note_image(now, machine_id, &p.task.job);
        }
        if p.phase == TaskPhase::Ended && was != Some(TaskPhase::Ended) {
            self.ended(now, machine_id, &key, p.cause.unwrap_or(Cause::Error));
        }
    }

    /// Notes what a status says of an attempt in the ledger.
    fn record_status(
        &mut self,
        now: Instant,
        machine_id: &MachineId,
        key: &AttemptKey,
        status: LastStatus,
    ) {
        let running_since = self.running_since(now, machine_id, key);
        let is_first = self
            .ledger()
            .record_status(machine_id, key, status, running_since);
        if let Some(job) = self.jobs.get(&key.task.job).filter(|_| is_first) {
            self.aging.job_began(now, job);
        }
    }

    /// Since when an attempt that is first seen running now has run, at the latest. What a former leader
    /// launched may have run for long: since its image was there.
    fn running_since(&self, now: Instant, machine_id: &MachineId, key: &AttemptKey) -> Instant {
        let machine = self.machines.get(machine_id);
        let attempt = machine.and_then(|machine| machine.attempts.get(key));
        match attempt.filter(|attempt| attempt.recovered) {
            Some(attempt) => {
                let fetch_s = self.longest_fetch_s(machine_id, &key.task.job);
                (attempt.since + TimeSpan::from_secs(fetch_s)).min(now)
            }
            None => now,
        }
    }

    fn note_image(&mut self, now: Instant, machine_id: &MachineId, job: &JobId) {
        let Some(job) = self.jobs.get(job) else {
            return;
        };
        let cache_gb = self.machines.cache_gb(machine_id);
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        let new = !machine.has_image(&job.spec().image);
        machine.use_image(&job.spec().image, job.spec().image_gb, cache_gb);
        if let Some(page) = machine.page.filter(|_| new) {
            self.writer.machine_pages.changed(now, page);
        }
    }

    /// Starts that a report does not list: which of them are proven gone.
    fn see_absent(
        &mut self,
        now: Instant,
        r: &WorkerStatus,
        channel: StatusSource,
        ended_session: bool,
        confirmed: bool,
    ) {
        let machine_id = &r.machine_id;
        let Some(m) = self.machines.get_mut(machine_id) else {
            return;
        };
        let evidence = StatusEvidence {
            at: (r.session, r.tick),
            token: r.token,
            is_heartbeat: channel == StatusSource::Heartbeat,
            starts_session: ended_session,
            is_confirmed: confirmed,
        };
        let mut gone = Vec::new();
        let mut unacknowledged_responses = m.token_sent > r.token;
        for s in m.attempts.iter_mut() {
            let settled = channel == StatusSource::Heartbeat
                && s.heartbeat_carrier
                    .is_some_and(|t| t < r.tick || ended_session);
            if settled {
                // A later check-in of the same session means that the answer which carried the launch
                // was either executed or dropped.
                s.heartbeat_carrier = None;
            }
            if let PushDelivery::Lost(session, token) = s.push {
                // The worker refuses that command from now on.
                if session < r.session || token < r.token {
                    s.push = PushDelivery::None;
                }
            }
            if evidence.lists(s) || s.untouched() {
                continue;
            }
            unacknowledged_responses |= settled;
            if let Some(proof) = RemovalProof::from_status(s, &evidence) {
                gone.push((s.key(), proof));
            }
        }
        if channel == StatusSource::Heartbeat && unacknowledged_responses {
            m.unacknowledged_responses += 1;
            if m.is_unreachable() && m.unreachable_since.is_none() {
                tracing::info!(machine = %machine_id, "reports, but nothing that we say reaches it");
                m.unreachable_since = Some(now);
                self.outbox.pushes_due.insert(machine_id.clone());
            }
        }
        for (key, proof) in gone {
            let relaunch = self.machines.get(machine_id).is_some_and(|m| {
                m.attempts.get(&key).is_some_and(|s| {
                    s.last_status.is_none() && !s.recovered && s.launched_in == Some(m.session)
                })
            });
            if relaunch {
                // The launch was dropped, nothing was started: it may simply be sent again.
                if let Some(s) = self.ledger().get_mut(machine_id, &key) {
                    s.launched_in = None;
                }
                self.outbox.pushes_due.insert(machine_id.clone());
                continue;
            }
            self.ledger().remove(now, machine_id, &key, proof);
        }
    }

    /// Once a second: leases that are over, machines that heed nothing, starts that make no
    /// progress.
    pub(crate) fn recheck_machines(&mut self, now: Instant) {
        let lease_expiry_bound = self.policy.lease_expiry_bound();
        let began_at = self.leadership.began_at();
        let quiet = self.machines.values().filter(|m| !m.attempts.is_empty());
        let quiet = quiet.filter(|m| now - m.last_response_at.max(began_at) > lease_expiry_bound);
        let expired: Vec<(MachineId, AttemptKey, RemovalProof)> = quiet
            .flat_map(|m| {
                m.attempts.iter().filter_map(move |s| {
                    let proof =
                        RemovalProof::lease_expired(m, s, began_at, lease_expiry_bound, now)?;
                    Some((m.id.clone(), s.key(), proof))
                })
            })
            .collect();
        for (machine_id, key, proof) in expired {
            tracing::info!(machine = %machine_id, task = %key.task, "lease over: the task is gone");
            self.ledger().remove(now, &machine_id, &key, proof);
        }
        let patience = self.policy.silence();
        let mut given_up = Vec::new();
        for m in self.machines.values_mut() {
            let unaccounted = |s: &TaskAttempt| {
                matches!(s.push, PushDelivery::Lost(..))
                    && s.last_status.is_none()
                    && now - s.since > LOST_LAUNCH_TIMEOUT
            };
            if !m.draining && m.attempts.iter().any(unaccounted) {
                tracing::info!(machine = %m.id, "a launch stays unaccounted for: giving the machine up");
                m.start_draining(now);
                given_up.push(m.id.clone());
            }
            // Guards against a machine whose reports reach us but which nothing reaches: each of
            // its reports would renew the clock of its lease for us, though not for it, and a task
            // that may be on it would be held for ever. So it is answered no more.
            if !m.lease_withheld
                && m.is_unreachable()
                && m.unreachable_since.is_some_and(|t| now - t > patience)
            {
                tracing::info!(machine = %m.id, "nothing reaches it: answered no more, and given up");
                m.lease_withheld = true;
                m.start_draining(now);
                given_up.push(m.id.clone());
            }
        }
        self.outbox.machines_to_review.extend(given_up);
        // A part of the rest each time, whatever may have been missed.
        self.outbox.review_round += 1;
        let part = self.outbox.review_round % REVIEW_PARTS;
        let mine = self.machines.keys().enumerate();
        let mine = mine.filter(|(n, _)| *n as u64 % REVIEW_PARTS == part);
        let machine_ids: Vec<MachineId> = mine.map(|(_, h)| h.clone()).collect();
        self.outbox.machines_to_review.extend(machine_ids);
    }
}
