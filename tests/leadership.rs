//! A leader's authority, and when it transfers leadership.

use chalklug::config::{LeaderTimes, OperatorConfig, WorkerTimes};
use chalklug::coordination::leadership::authority::{Authority, AuthorityLoss};
use chalklug::coordination::leadership::transfer::{should_transfer_leadership, silence_timeout};
use chalklug::time::{Instant, TimeSpan};

fn times() -> LeaderTimes {
    LeaderTimes {
        lease_duration: TimeSpan(4000),
        authority_margin: TimeSpan(300),
        max_staleness: TimeSpan(20_000),
        watch_hold: TimeSpan(2500),
        watch_timeout: TimeSpan(5000),
    }
}

fn workers(lease_s: f64, cancel_s: f64) -> WorkerTimes {
    WorkerTimes {
        heartbeat_interval_s: 3.0,
        lease_s,
        gang_wait_timeout_s: 40.0,
        gang_peer_timeout_s: 4.0,
        cancel_s,
    }
}

#[test]
fn leader_that_alone_hears_no_workers_transfers_leadership() {
    let (long, short, bound) = (TimeSpan(9000), TimeSpan(100), TimeSpan(6000));
    let transfers = |machines, silence, peer_silences: &[Option<TimeSpan>]| {
        should_transfer_leadership(machines, silence, peer_silences, bound)
    };
    assert!(transfers(3, long, &[None, Some(short)]));
    let hears_workers = transfers(3, short, &[Some(short)]);
    assert!(!hears_workers, "it hears workers itself");
    let no_machines = transfers(0, long, &[Some(short)]);
    assert!(!no_machines, "there is nobody to hear");
    let all_silent = transfers(3, long, &[None, Some(long)]);
    assert!(!all_silent, "nobody hears more");
}

#[test]
fn silence_bound_shrinks_with_more_machines() {
    let bound = |machines| silence_timeout(machines, 5.0);
    assert_eq!(bound(0), TimeSpan(13_000));
    assert_eq!(bound(10), TimeSpan(13_000));
    assert_eq!(bound(40), TimeSpan(6_250));
    assert_eq!(bound(1_000), TimeSpan(3_000));
    assert_eq!(silence_timeout(1_000, 1.0), TimeSpan(3_000));
    // Heartbeats so frequent that the longest interval is the shorter bound.
    assert_eq!(silence_timeout(1_000, 0.5), TimeSpan(1_750));
}

#[test]
fn authority_counts_from_sending_the_renewal_and_never_shrinks() {
    let authority = Authority::new(times(), Instant(1000));
    let end = 1000 + 4000 - 300 - 9;
    assert!(authority.is_held(Instant(end - 1)) && !authority.is_held(Instant(end)));
    authority.lease_renewed(Instant(3000));
    authority.lease_renewed(Instant(2000));
    assert!(authority.is_held(Instant(end + 1999)) && !authority.is_held(Instant(end + 2000)));
    authority.resign();
    authority.lease_renewed(Instant(9000));
    assert!(!authority.is_held(Instant(3000)));
}

/// Lease renewals are served, but the view of the jobs grows old. Guards against acting on it: authority ends
/// all the same, and a response to a request sent long ago extends it no further than it proves.
#[test]
fn authority_ends_when_the_view_is_too_old() {
    let authority = Authority::new(times(), Instant(0));
    for t in 1..=30 {
        authority.lease_renewed(Instant(t * 1000));
    }
    assert!(authority.is_held(Instant(19_999)) && !authority.is_held(Instant(20_000)));
    authority.view_refreshed(Instant(5000));
    assert!(authority.is_held(Instant(24_999)) && !authority.is_held(Instant(25_000)));
}

/// The inequality of docs/SAFETY.md, over many settings: the staleness allowed and a worker's lease,
/// both stretched by drift, leave two seconds of `cancel_s`; and a watch that fails and the next fit into it.
#[test]
fn derived_times_end_cancelled_tasks_within_the_limit() {
    let operators = [2000, 4000, 60_000].map(|life| OperatorConfig {
        leader_lease_ms: life,
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
                let (once, pause) = (t.watch_hold + t.watch_timeout, 300);
                let next = t.watch_hold.0 * 2 + pause;
                assert!(once.0 * 2 <= t.max_staleness.0, "{t:?}");
                assert!(once.0 + next < t.max_staleness.0, "{t:?}");
            }
        }
    }
    assert!(derived > 60, "{derived} of the settings can be kept");
}

/// The log says why a leader ended: an operator must tell a lease that expired from a view that grew too old.
#[test]
fn authority_loss_has_a_reason() {
    let authority = Authority::new(times(), Instant(0));
    assert_eq!(authority.loss(Instant(3000)), None);
    assert_eq!(
        authority.loss(Instant(4000)),
        Some(AuthorityLoss::LeaseExpired)
    );
    authority.lease_renewed(Instant(19_000));
    assert_eq!(authority.loss(Instant(19_999)), None);
    assert_eq!(authority.view_age(Instant(19_999)), TimeSpan(19_999));
    assert_eq!(
        authority.loss(Instant(20_000)),
        Some(AuthorityLoss::ViewTooOld)
    );
    authority.view_refreshed(Instant(18_000));
    assert_eq!(authority.loss(Instant(20_000)), None);
    assert_eq!(authority.view_age(Instant(20_000)), TimeSpan(2000));
    authority.resign();
    assert_eq!(
        authority.loss(Instant(20_000)),
        Some(AuthorityLoss::Resigned)
    );
}
