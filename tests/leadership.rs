//! A leader's right to act, and when it hands over.

use chalklug::config::{LeaderTimes, OperatorConfig, WorkerTimes};
use chalklug::coordination::leadership::authority::{Authority, AuthorityLoss};
use chalklug::coordination::leadership::transfer::{should_hand_over, silence_bound};
use chalklug::time::{Instant, TimeSpan};

fn times() -> LeaderTimes {
    LeaderTimes {
        lease_duration: TimeSpan(4000),
        authority_margin: TimeSpan(300),
        max_staleness: TimeSpan(20_000),
        watch_hold: TimeSpan(2500),
        watch_patience: TimeSpan(5000),
    }
}

fn workers(lease_s: f64, cancel_s: f64) -> WorkerTimes {
    WorkerTimes {
        report_s: 3.0,
        lease_s,
        gang_wait_s: 40.0,
        gang_peer_s: 4.0,
        cancel_s,
    }
}

#[test]
fn leader_that_alone_hears_no_workers_transfers_leadership() {
    let (quiet, loud, bound) = (TimeSpan(9000), TimeSpan(100), TimeSpan(6000));
    let over = |n, own, sib: &[Option<TimeSpan>]| should_hand_over(n, own, sib, bound);
    assert!(over(3, quiet, &[None, Some(loud)]));
    assert!(!over(3, loud, &[Some(loud)]), "it hears workers itself");
    assert!(!over(0, quiet, &[Some(loud)]), "there is nobody to hear");
    assert!(!over(3, quiet, &[None, Some(quiet)]), "nobody hears more");
}

#[test]
fn silence_bound_shrinks_with_more_machines() {
    let bound = |machines| silence_bound(machines, 5.0);
    assert_eq!(bound(0), TimeSpan(13_000));
    assert_eq!(bound(10), TimeSpan(13_000));
    assert_eq!(bound(40), TimeSpan(6_250));
    assert_eq!(bound(1_000), TimeSpan(3_000));
    assert_eq!(silence_bound(1_000, 1.0), TimeSpan(3_000));
    // Reports so frequent that the longest wait is the shorter one.
    assert_eq!(silence_bound(1_000, 0.5), TimeSpan(1_750));
}

#[test]
fn authority_counts_from_sending_the_renewal_and_never_shrinks() {
    let a = Authority::new(times(), Instant(1000));
    let end = 1000 + 4000 - 300 - 9;
    assert!(a.is_held(Instant(end - 1)) && !a.is_held(Instant(end)));
    a.lease_renewed(Instant(3000));
    a.lease_renewed(Instant(2000));
    assert!(a.is_held(Instant(end + 1999)) && !a.is_held(Instant(end + 2000)));
    a.resign();
    a.lease_renewed(Instant(9000));
    assert!(!a.is_held(Instant(3000)));
}

/// Touches are served, but what is known of the jobs grows old: authority ends all the same, and an
/// answer to a request sent long ago brings back no more than it proves.
#[test]
fn authority_ends_when_the_view_is_too_old() {
    let a = Authority::new(times(), Instant(0));
    for t in 1..=30 {
        a.lease_renewed(Instant(t * 1000));
    }
    assert!(a.is_held(Instant(19_999)) && !a.is_held(Instant(20_000)));
    a.view_refreshed(Instant(5000));
    assert!(a.is_held(Instant(24_999)) && !a.is_held(Instant(25_000)));
}

/// The inequality of docs/SAFETY.md, over many settings: the staleness allowed and a worker's lease,
/// both stretched by drift, leave two seconds of `cancel_s`; and a watch that fails and the next fit into it.
#[test]
fn derived_times_end_cancelled_tasks_within_the_limit() {
    let operators = [2000, 4000, 60_000].map(|life| OperatorConfig {
        leader_life_ms: life,
        ..OperatorConfig::default()
    });
    let mut derived = 0;
    for lease in [5.0, 20.0, 26.0, 31.0, 120.0, 600.0] {
        for more in [0.5, 3.0, 4.2, 5.5, 10.0, 25.0, 60.0, 600.0] {
            for o in &operators {
                let w = workers(lease, lease + more);
                let Some(t) = LeaderTimes::derive(&w, o) else {
                    assert!(more < 6.0, "lease {lease}, {more} more");
                    continue;
                };
                derived += 1;
                let gone = t.max_staleness.secs() * 1.0005 + lease * 1.0005 + 2.0;
                assert!(gone <= w.cancel_s, "lease {lease}, {more} more: {gone}");
                assert!(
                    t.lease_duration <= t.max_staleness
                        && t.authority_margin.0 * 2 < t.lease_duration.0
                );
                let (once, pause) = (t.watch_hold + t.watch_patience, 300);
                let next = t.watch_hold.0 * 2 + pause;
                assert!(once.0 * 2 <= t.max_staleness.0, "{t:?}");
                assert!(once.0 + next < t.max_staleness.0, "{t:?}");
            }
        }
    }
    assert!(derived > 60, "{derived} of the settings can be kept");
}

/// The log says why a leader ended: an operator must tell a processor that is too slow from a view that stood still.
#[test]
fn authority_loss_has_a_reason() {
    let a = Authority::new(times(), Instant(0));
    assert_eq!(a.loss(Instant(3000)), None);
    assert_eq!(a.loss(Instant(4000)), Some(AuthorityLoss::LeaseExpired));
    a.lease_renewed(Instant(19_000));
    assert_eq!(a.loss(Instant(19_999)), None);
    assert_eq!(a.view_age(Instant(19_999)), TimeSpan(19_999));
    assert_eq!(a.loss(Instant(20_000)), Some(AuthorityLoss::ViewTooOld));
    a.view_refreshed(Instant(18_000));
    assert_eq!(a.loss(Instant(20_000)), None);
    assert_eq!(a.view_age(Instant(20_000)), TimeSpan(2000));
    a.resign();
    assert_eq!(a.loss(Instant(20_000)), Some(AuthorityLoss::Resigned));
}
