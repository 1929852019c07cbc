//! Sessions with workers: which message is newer, what a report proves, which orders to send.
//!
//! A start leaves the ledger only by one of the proofs of docs/SAFETY.md; `remove_start` is the one place
//! where that happens, and each caller names its proof.

mod places;
mod task_ends;

use super::{Core, Effect};
use crate::ids::{Attempt, HostId, JobId, Millis, Session, TaskId};
use crate::protocol::workers::{Cause, Order, Report, TaskPhase, TaskReport};
use crate::storage::ledger::{DirectCarrier, MachineState, Seen, Start, DEAF_AFTER_REPLIES};

/// How a report came.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ReportChannel {
    CheckIn,
    Direct,
}

/// How long a machine whose direct commands fail is left to its check-ins.
const DIRECT_PAUSE: Millis = Millis(3000);
/// A launch whose direct command was never answered, and which hasn't shown up either, keeps its
/// place for this long before the whole machine is given up.
const LOST_LAUNCH_TIMEOUT: Millis = Millis(45_000);
/// Starts on one machine, tombstones included: keeps its reports well under 64 KiB.
pub(crate) const MAX_LISTED: usize = 400;
/// Machines reviewed each second beyond those that something happened to.
const REVIEW_PARTS: u64 = 4;

/// The answer to a check-in.
#[derive(Debug, PartialEq)]
pub enum CheckInAnswer {
    /// 200 with these orders.
    Orders(Vec<Order>),
    /// Not to be answered with 200: the machine is gone for us, or a newer leader exists.
    Refuse,
}

impl Core {
    /// A worker's check-in. The caller has made sure of the leader's authority, and sends the
    /// orders only if it still holds then.
    pub fn check_in(&mut self, now: Millis, report: &Report) -> CheckInAnswer {
        if report.token > self.lead.token {
            self.effects.push(Effect::StepDown {
                why: "a worker has seen a higher token",
            });
            return CheckInAnswer::Refuse;
        }
        if self.gone.contains(&report.host) {
            return CheckInAnswer::Refuse;
        }
        // Guards against copies of old reports: each check-in has a larger tick than the one before,
        // so one that has not is a copy. It renews no clock and is answered by nothing, for the
        // worker does not wait for it.
        let place = (report.session, report.tick);
        let known = self.machines.get(&report.host);
        if known.is_some_and(|m| place <= m.checked_in) {
            tracing::debug!(host = %report.host, "a late copy of a report");
            return CheckInAnswer::Refuse;
        }
        let fresh = self.take_report(now, report, ReportChannel::CheckIn);
        self.review(now, &report.host);
        let token = self.lead.token;
        let Some(m) = self.machines.get_mut(&report.host) else {
            return CheckInAnswer::Refuse;
        };
        m.checked_in = place;
        m.reported = Some(now);
        if m.lease_withheld {
            // Its lease is to run out: that is the proof that frees its tasks.
            return CheckInAnswer::Refuse;
        }
        m.answered = now;
        m.told = m.told.max(token);
        let mut orders = self.check_in_orders(now, &report.host, fresh);
        if !fresh {
            // Overtaken by a direct answer: what it lists is old. It renews the lease all the same, so
            // it says what is to stop: otherwise a cancelled task might be renewed without being told.
            orders.retain(|o| matches!(o, Order::Stop { .. }));
        }
        CheckInAnswer::Orders(orders)
    }

    pub(crate) fn direct_answered(
        &mut self,
        now: Millis,
        host: &HostId,
        seq: u64,
        report: &Report,
    ) {
        if report.token > self.lead.token {
            self.effects.push(Effect::StepDown {
                why: "a worker has seen a higher token",
            });
            return;
        }
        if report.host != *host || self.gone.contains(host) {
            return;
        }
        // Answered: executed, or certainly not. Either way it no longer is under way, and what the
        // report lists is what came of it.
        self.settle_direct(host, seq, DirectCarrier::None);
        self.take_report(now, report, ReportChannel::Direct);
        if let Some(m) = self.machines.get_mut(host) {
            m.mark_responsive();
        }
    }

    pub(crate) fn direct_failed(&mut self, now: Millis, host: &HostId, seq: u64, sent: bool) {
        let token = self.lead.token;
        let Some(m) = self.machines.get_mut(host) else {
            return;
        };
        m.direct_after = now + DIRECT_PAUSE;
        // Guards against a command that a cut or a hang held back: it may execute at any later
        // time in this session, until the worker has seen a higher token, so the launch stays in
        // flight until then.
        let end = if sent {
            DirectCarrier::Lost(m.session, token)
        } else {
            DirectCarrier::None
        };
        tracing::debug!(host = %host, sent, "direct command not answered");
        self.settle_direct(host, seq, end);
        self.stop_again(now, host);
        self.direct_due.insert(host.clone());
    }

    fn settle_direct(&mut self, host: &HostId, seq: u64, end: DirectCarrier) {
        let Some(m) = self.machines.get_mut(host) else {
            return;
        };
        if m.direct_seq == Some(seq) {
            m.direct_seq = None;
            self.directs = self.directs.saturating_sub(1);
        }
        for s in m.starts.values_mut() {
            if s.direct == DirectCarrier::InFlight(seq) {
                s.direct = end;
            }
        }
        self.direct_due.insert(host.clone());
    }

    /// Takes a report in; false if it was no news. The list of an old report proves nothing.
    fn take_report(&mut self, now: Millis, r: &Report, channel: ReportChannel) -> bool {
        let host = &r.host;
        if !self.machines.contains_key(host) {
            tracing::info!(host = %r.host, machine_type = %r.machine_type, "a machine reports that was not known");
            // Not verified: this may be a late copy of a report of a machine long returned. It is
            // given work once it has shown our token.
            self.enter_machine(now, host, &r.machine_type, &r.zone, r.spot, now, false);
        }
        let first = self.lead.first;
        let Some(m) = self.machines.get_mut(host) else {
            return false;
        };
        if (r.session, r.tick) <= (m.session, m.tick) {
            return false;
        }
        if m.state == MachineState::Booting {
            m.state = MachineState::Up;
            m.idle_since = Some(now);
            tracing::debug!(host = %m.id, boot_ms = (now - m.since).0, "machine is up");
            self.dirty = true;
            let page = m.page;
            self.index_machine(host);
            if let Some(page) = page {
                self.writer.hosts.changed(now, page);
            }
        }
        let Some(m) = self.machines.get_mut(host) else {
            return false;
        };
        if m.endpoint != r.endpoint {
            m.endpoint.clone_from(&r.endpoint);
        }
        let ended_session = r.session > m.session;
        if r.token > m.shown && r.token >= first {
            m.mark_responsive();
        }
        if ended_session && m.session > Session(0) && now - m.answered < self.policy.lease_over() {
            // Its lease ran out although we answered: nothing that we say reaches it.
            m.ignored_replies = DEAF_AFTER_REPLIES;
        }
        if ended_session {
            m.session_seen = now;
        }
        m.session = r.session;
        m.tick = r.tick;
        m.heard = Some(now);
        let recall = r.recall_s.map(|s| now + Millis::from_secs(s));
        if m.recall_at.is_none() && recall.is_some() {
            tracing::debug!(host = %m.id, "spot notice");
            self.dirty = true;
            self.to_review.insert(host.clone());
        }
        m.recall_at = recall;
        // A report with a token of this leadership was written after it began.
        let confirmed = r.token >= first;
        m.shown = m.shown.max(r.token);
        if confirmed && !m.confirmed {
            m.confirmed = true;
            m.mark_responsive();
            self.dirty = true;
            self.index_machine(host);
        }
        for p in &r.tasks {
            self.see(now, host, p, r, confirmed);
        }
        self.see_absent(now, r, channel, ended_session, confirmed);
        true
    }

    /// A start that a report lists.
    fn see(&mut self, now: Millis, host: &HostId, p: &TaskReport, r: &Report, confirmed: bool) {
        let key = (p.task.clone(), p.attempt);
        let Some(m) = self.machines.get_mut(host) else {
            return;
        };
        if !m.starts.contains_key(&key) {
            if !confirmed {
                // Every start that is on a machine has an intent. One without was proven gone: this
                // is a report from before that, and a later one will tell.
                return;
            }
            // Listed but not in our ledger: a tombstone, for its intent needn't be kept.
            let mut s = self.new_start(host, p.task.clone(), p.attempt, now);
            s.inherited = true;
            self.put_start(host, s);
            if p.phase != TaskPhase::Ended {
                self.add_place(host, &p.task);
            }
        }
        let Some(m) = self.machines.get_mut(host) else {
            return;
        };
        let Some(s) = m.starts.get_mut(&key) else {
            return;
        };
        // A launch by a carrier of an earlier session, or with a token that the worker has outgrown,
        // can't be what we see now, nor come any more.
        if let DirectCarrier::Lost(t, b) = s.direct {
            if t < r.session || b < r.token {
                s.direct = DirectCarrier::None;
            }
        }
        let before = s.seen;
        if before.is_none() && s.launched_in == Some(r.session) {
            m.mark_responsive();
        }
        let since = match before {
            Some(b) if b.phase == p.phase => b.since,
            _ => now,
        };
        let seen = Seen {
            phase: p.phase,
            cause: p.cause,
            stored: p.stored,
            since,
            at: (r.session, r.tick),
        };
        match before {
            // No news: only noted, so that the start isn't taken for absent.
            Some(b) if b.phase == p.phase && b.cause == p.cause && b.stored == p.stored => {
                if let Some(s) = self.start_mut(host, &key) {
                    s.seen = Some(seen);
                }
                return;
            }
            _ => self.see_start(now, host, &key, seen),
        }
        let was = before.map(|b| b.phase);
        if p.phase == TaskPhase::Waiting && was != Some(TaskPhase::Waiting) {
            // It has its image; members that had theirs at once may be launched now.
            self.note_image(now, host, &p.task.job);
            if let Some(job) = self.jobs.get(&p.task.job) {
                self.direct_due
                    .extend(job.places.values().flatten().cloned());
            }
        }
        if p.phase == TaskPhase::Running && was != Some(TaskPhase::Running) {
            tracing::debug!(task = %p.task, host = %host, "runs");
            self.note_image(now, host, &p.task.job);
        }
        if p.phase == TaskPhase::Ended && was != Some(TaskPhase::Ended) {
            self.ended(now, host, &key, p.cause.unwrap_or(Cause::Error));
        }
    }

    fn note_image(&mut self, now: Millis, host: &HostId, job: &JobId) {
        let (Some(m), Some(job)) = (self.machines.get_mut(host), self.jobs.get(job)) else {
            return;
        };
        let new = !m.has_image(&job.spec.image);
        let cache = self
            .machine_types
            .get(&m.machine_type)
            .map_or(0.0, |r| r.cache_gb);
        m.use_image(&job.spec.image, job.spec.image_gb, cache);
        if let Some(page) = m.page.filter(|_| new) {
            self.writer.hosts.changed(now, page);
        }
    }

    /// Starts that a report does not list: which of them are proven gone.
    fn see_absent(
        &mut self,
        now: Millis,
        r: &Report,
        channel: ReportChannel,
        ended_session: bool,
        confirmed: bool,
    ) {
        let host = &r.host;
        let Some(m) = self.machines.get_mut(host) else {
            return;
        };
        let mut gone = Vec::new();
        let mut ignored_replies = m.told > r.token;
        for (key, s) in m.starts.iter_mut() {
            let listed = s.seen.is_some_and(|x| x.at == (r.session, r.tick));
            let settled = channel == ReportChannel::CheckIn
                && s.checkin_carrier
                    .is_some_and(|t| t < r.tick || ended_session);
            if settled {
                // A later check-in of the same session means that the answer which carried the launch
                // was either executed or dropped.
                s.checkin_carrier = None;
            }
            if listed || s.untouched() {
                continue;
            }
            ignored_replies |= settled;
            if ended_session && !s.inherited {
                // Proof 2: launched in an earlier session, whose tasks are all killed and forgotten
                // and whose launches no longer match.
                s.checkin_carrier = None;
                s.direct = DirectCarrier::None;
                gone.push(key.clone());
                continue;
            }
            if !confirmed {
                // Guards against an order of the former leader that may still be executed.
                continue;
            }
            if let DirectCarrier::Lost(_, b) = s.direct {
                if b < r.token {
                    // The worker refuses that command from now on.
                    s.direct = DirectCarrier::None;
                }
            }
            if s.inherited || !s.in_flight() {
                // Proof 1. For an inherited start our token in the report is enough: orders with
                // the former one are no longer accepted by this worker.
                gone.push(key.clone());
            }
        }
        if channel == ReportChannel::CheckIn && ignored_replies {
            m.ignored_replies += 1;
            if m.deaf() && m.deaf_since.is_none() {
                tracing::info!(host = %host, "reports, but nothing that we say reaches it");
                m.deaf_since = Some(now);
                self.direct_due.insert(host.clone());
            }
        }
        for key in gone {
            let relaunch = self.machines.get(host).is_some_and(|m| {
                m.starts.get(&key).is_some_and(|s| {
                    s.seen.is_none() && !s.inherited && s.launched_in == Some(m.session)
                })
            });
            if relaunch {
                // The launch was dropped, nothing was started: it may simply be sent again.
                if let Some(s) = self.start_mut(host, &key) {
                    s.launched_in = None;
                }
                self.direct_due.insert(host.clone());
                continue;
            }
            self.remove_start(now, host, &key);
        }
    }

    /// Once a second: leases that are over, machines that heed nothing, starts that make no
    /// progress.
    pub(crate) fn recheck_machines(&mut self, now: Millis) {
        let lease_over = self.policy.lease_over();
        let quiet = self.machines.values().filter(|m| !m.starts.is_empty());
        let quiet = quiet.filter(|m| now - m.answered.max(self.began) > lease_over);
        let over: Vec<(HostId, (TaskId, Attempt))> = quiet
            .flat_map(|m| {
                let gone = |s: &&Start| now - m.lease_from(s).max(self.began) > lease_over;
                let key = |s: &Start| (m.id.clone(), (s.task.clone(), s.attempt));
                m.starts.values().filter(gone).map(key)
            })
            .collect();
        for (host, key) in over {
            // Proof 3: no entitled controller has answered it for longer than its lease, and the
            // session that the start belongs to is older than that too. Starts that were never
            // launched stay planned no longer either.
            tracing::info!(host = %host, task = %key.0, "lease over: the task is gone");
            self.remove_start(now, &host, &key);
        }
        let patience = self.policy.silence();
        let mut given_up = Vec::new();
        for m in self.machines.values_mut() {
            let unaccounted = |s: &Start| {
                matches!(s.direct, DirectCarrier::Lost(..))
                    && s.seen.is_none()
                    && now - s.since > LOST_LAUNCH_TIMEOUT
            };
            if !m.drain && m.starts.values().any(unaccounted) {
                tracing::info!(host = %m.id, "a launch stays unaccounted for: giving the machine up");
                m.start_drain(now);
                given_up.push(m.id.clone());
            }
            // Guards against a machine whose reports reach us but which nothing reaches: each of
            // its reports would renew the clock of its lease for us, though not for it, and a task
            // that may be on it would be held for ever. So it is answered no more.
            if !m.lease_withheld && m.deaf() && m.deaf_since.is_some_and(|t| now - t > patience) {
                tracing::info!(host = %m.id, "nothing reaches it: answered no more, and given up");
                m.lease_withheld = true;
                m.start_drain(now);
                given_up.push(m.id.clone());
            }
        }
        self.to_review.extend(given_up);
        // A part of the rest each time, whatever may have been missed.
        self.reviewed += 1;
        let part = self.reviewed % REVIEW_PARTS;
        let mine = self.machines.keys().enumerate();
        let mine = mine.filter(|(n, _)| *n as u64 % REVIEW_PARTS == part);
        let hosts: Vec<HostId> = mine.map(|(_, h)| h.clone()).collect();
        self.to_review.extend(hosts);
    }
}
