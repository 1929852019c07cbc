//! Authority: until when a leader may act, on its own steady clock; and what it holds on the state
//! service.

use crate::ids::{Baton, Hold, Millis, Stamp};
use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};

/// What a leader holds on the state service.
#[derive(Debug, Clone)]
pub struct Lead {
    /// The baton in force, and the one this leadership began with: a leader may raise its own.
    pub baton: Baton,
    pub first: Baton,
    /// Versions of the leader key and of the counter of batons.
    pub stamp: Stamp,
    pub baton_stamp: Stamp,
    /// The lease that the leader key is on, and the name it carries.
    pub hold: Hold,
    pub host_name: String,
}

/// A leader's right to act. It lasts until the moment the last successful touch of the lease was
/// *sent*, plus the lease's life, less a margin: the state service can't have ended the lease
/// before that, so nobody else can have taken over.
#[derive(Debug)]
pub struct Authority {
    life: Millis,
    margin: Millis,
    until: AtomicI64,
    resigned: AtomicBool,
}

impl Authority {
    /// Authority from a lease granted, or touched, by a request sent at `sent`.
    pub fn new(life: Millis, margin: Millis, sent: Millis) -> Authority {
        let a = Authority {
            life,
            margin,
            until: AtomicI64::new(i64::MIN),
            resigned: AtomicBool::new(false),
        };
        a.renewed(sent);
        a
    }

    /// A touch sent at that moment succeeded.
    pub fn renewed(&self, sent: Millis) {
        // Both clocks may be off by 0.05%: 0.2% covers them with room.
        let drift = Millis(self.life.0 / 500 + 1);
        let until = sent + self.life - self.margin - drift;
        self.until.fetch_max(until.0, Ordering::Relaxed);
    }

    /// Gives authority up for good: a touch still under way can't bring it back.
    pub fn resign(&self) {
        self.resigned.store(true, Ordering::Relaxed);
    }

    /// Whether the leader may act at this moment.
    pub fn holds(&self, now: Millis) -> bool {
        !self.resigned.load(Ordering::Relaxed) && now.0 < self.until.load(Ordering::Relaxed)
    }
}

/// Whether a leader that hears no worker should hand over: it has machines that should report, none
/// has for longer than the bound, and some sibling hears workers well within it. Without such a
/// sibling nobody would do better.
pub fn should_hand_over(
    machines_up: usize,
    own_silence: Millis,
    siblings_silence: &[Option<Millis>],
    bound: Millis,
) -> bool {
    machines_up > 0 && own_silence > bound && siblings_silence.iter().flatten().any(|s| *s < bound)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_a_leader_deaf_alone_hands_over() {
        let (quiet, loud, bound) = (Millis(9000), Millis(100), Millis(6000));
        let over = |n, own, sib: &[Option<Millis>]| should_hand_over(n, own, sib, bound);
        assert!(over(3, quiet, &[None, Some(loud)]));
        assert!(!over(3, loud, &[Some(loud)]), "it hears workers itself");
        assert!(!over(0, quiet, &[Some(loud)]), "there is nobody to hear");
        assert!(!over(3, quiet, &[None, Some(quiet)]), "nobody hears more");
    }

    #[test]
    fn authority_counts_from_sending_and_never_shrinks() {
        let a = Authority::new(Millis(4000), Millis(300), Millis(1000));
        let end = 1000 + 4000 - 300 - 9;
        assert!(a.holds(Millis(end - 1)) && !a.holds(Millis(end)));
        a.renewed(Millis(3000));
        a.renewed(Millis(2000));
        assert!(a.holds(Millis(end + 1999)) && !a.holds(Millis(end + 2000)));
        a.resign();
        a.renewed(Millis(9000));
        assert!(!a.holds(Millis(3000)));
    }
}
