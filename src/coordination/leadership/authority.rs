//! Authority: until when a leader may act, on its own steady clock; and what it holds on the state
//! service.

use crate::ids::{FencingToken, KeyRevision, LeaseId};
use crate::settings::LeaderTimes;
use crate::time::{Instant, TimeSpan};
use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};

/// What a leader holds on the state service.
#[derive(Debug, Clone)]
pub struct LeadershipTerm {
    /// The token in force, and the one this leadership began with: a leader may raise its own.
    pub token: FencingToken,
    pub first: FencingToken,
    /// Versions of the leader key and of the counter of tokens.
    pub revision: KeyRevision,
    pub token_stamp: KeyRevision,
    /// The lease that the leader key is on, and the name it carries.
    pub lease: LeaseId,
    pub host_name: String,
}

/// Why a leader may not act.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AuthorityLoss {
    /// It gave its authority up, or a record or a worker showed it that somebody else leads.
    Resigned,
    /// No touch of its lease that was sent lately has succeeded.
    LeaseExpired,
    /// What it knows of the open jobs is too old.
    ViewTooOld,
}

/// A leader's right to act. It ends with the earlier of two:
///
/// - the moment the last successful touch of the lease was *sent*, plus the lease's life, less a
///   margin: the state service can't have ended the lease before that, so nobody else can have taken
///   over;
/// - the moment the last answered request for the open jobs was *sent*, plus the staleness allowed.
///
/// The second guards against a leader whose touches are served while what it knows of the jobs grows
/// old: each of its answers would renew the lease of a worker with tasks that were cancelled meanwhile.
/// It bounds what a cancellation that the leader never hears of costs, see docs/SAFETY.md.
#[derive(Debug)]
pub struct Authority {
    times: LeaderTimes,
    leased_until: AtomicI64,
    known_until: AtomicI64,
    resigned: AtomicBool,
}

impl Authority {
    /// Authority from a lease granted by a request sent at `sent`. What is known of the jobs is read
    /// later than that.
    pub fn new(times: LeaderTimes, sent: Instant) -> Authority {
        let a = Authority {
            times,
            leased_until: AtomicI64::new(i64::MIN),
            known_until: AtomicI64::new(i64::MIN),
            resigned: AtomicBool::new(false),
        };
        a.renewed(sent);
        a.knows(sent);
        a
    }

    /// A touch sent at that moment succeeded.
    pub fn renewed(&self, sent: Instant) {
        // Both clocks may be off by 0.05%: 0.2% covers them with room.
        let life = self.times.life;
        let drift = Instant(life.0 / 500 + 1);
        let until = sent + life - self.times.margin - drift;
        self.leased_until.fetch_max(until.0, Ordering::Relaxed);
    }

    /// A request for the open jobs, or for what changed in them, sent at that moment was answered, and
    /// the core has taken the answer in.
    pub fn knows(&self, sent: Instant) {
        let until = sent + self.times.max_staleness;
        self.known_until.fetch_max(until.0, Ordering::Relaxed);
    }

    /// Gives authority up for good: a touch still under way can't bring it back.
    pub fn resign(&self) {
        self.resigned.store(true, Ordering::Relaxed);
    }

    /// Whether the leader may act at this moment.
    pub fn holds(&self, now: Instant) -> bool {
        self.authority_loss(now).is_none()
    }

    /// Why the leader may not act at this moment; None if it may.
    pub fn authority_loss(&self, now: Instant) -> Option<AuthorityLoss> {
        if self.resigned.load(Ordering::Relaxed) {
            return Some(AuthorityLoss::Resigned);
        }
        if now.0 >= self.leased_until.load(Ordering::Relaxed) {
            return Some(AuthorityLoss::LeaseExpired);
        }
        let too_old = now.0 >= self.known_until.load(Ordering::Relaxed);
        too_old.then_some(AuthorityLoss::ViewTooOld)
    }

    /// How long ago the last answered request for the open jobs was sent.
    pub fn view_age(&self, now: Instant) -> TimeSpan {
        let known_until = Instant(self.known_until.load(Ordering::Relaxed));
        now - (known_until - self.times.max_staleness)
    }
}

/// A leader that hears no worker for this part of the report interval hears none of them, however few
/// machines there are; the rest is for the way.
const SILENT_REPORTS: f64 = 2.5;
const SILENT_PLUS_S: f64 = 0.5;
/// So many reports missed in a row are no chance.
const MISSED_REPORTS: f64 = 50.0;
/// Never sooner than this: a process that stood still for a moment hears everything late.
const SHORTEST_SILENCE_S: f64 = 3.0;

/// How long a leader that hears no worker waits before it looks whether a sibling does.
///
/// The more machines report, the sooner silence tells. Guards against a standstill of 13 s each time that
/// the leader of a thousand machines lost its workers (recorded days 8dda and 2589): two and a half
/// report intervals of 5 s, in which 2,500 reports had been missed.
pub fn silence_bound(machines_up: usize, report_s: f64) -> TimeSpan {
    let longest = report_s * SILENT_REPORTS + SILENT_PLUS_S;
    let missed = MISSED_REPORTS * report_s / machines_up.max(1) as f64;
    TimeSpan::from_secs(missed.max(SHORTEST_SILENCE_S).min(longest))
}

/// Whether a leader that hears no worker should hand over: it has machines that should report, none
/// has for longer than the bound, and some sibling hears workers well within it. Without such a
/// sibling nobody would do better.
pub fn should_hand_over(
    machines_up: usize,
    own_silence: TimeSpan,
    siblings_silence: &[Option<TimeSpan>],
    bound: TimeSpan,
) -> bool {
    machines_up > 0 && own_silence > bound && siblings_silence.iter().flatten().any(|s| *s < bound)
}
