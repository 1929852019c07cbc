//! Authority: until when a leader may act, on its own steady clock.

use crate::ids::{Baton, Millis};
use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};

/// A leader's right to act. It lasts until the moment the last successful touch of the lease was
/// *sent*, plus the lease's life, less a margin: the state service can't have ended the lease
/// before that, so nobody else can have taken over.
#[derive(Debug)]
pub struct Authority {
    pub baton: Baton,
    life: Millis,
    margin: Millis,
    until: AtomicI64,
    resigned: AtomicBool,
}

impl Authority {
    /// Authority from a lease granted, or touched, by a request sent at `sent`.
    pub fn new(baton: Baton, life: Millis, margin: Millis, sent: Millis) -> Authority {
        let a = Authority {
            baton,
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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn authority_counts_from_sending_and_never_shrinks() {
        let a = Authority::new(Baton(1), Millis(4000), Millis(300), Millis(1000));
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
