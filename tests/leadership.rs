//! A leader's authority, the times derived for it, and leadership transfer.

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
    let (long, short, timeout) = (TimeSpan(9000), TimeSpan(100), TimeSpan(6000));
    let transfers = |machines, silence, peer_silences: &[Option<TimeSpan>]| {
        should_transfer_leadership(machines, silence, peer_silences, timeout)
    };
    assert!(transfers(3, long, &[None, Some(short)]));
    let receives_heartbeats = transfers(3, short, &[Some(short)]);
    assert!(
        !receives_heartbeats,
        "the leader receives heartbeats itself"
    );
    let no_machines = transfers(0, long, &[Some(short)]);
    assert!(!no_machines, "no machine is up to send heartbeats");
    let all_silent = transfers(3, long, &[None, Some(long)]);
    assert!(!all_silent, "no peer receives heartbeats either");
}

#[test]
fn silence_bound_shrinks_with_more_machines() {
    let timeout = |machines| silence_timeout(machines, 5.0);
    assert_eq!(timeout(0), TimeSpan(13_000));
    assert_eq!(timeout(10), TimeSpan(13_000));
    assert_eq!(timeout(40), TimeSpan(6_250));
    assert_eq!(timeout(1_000), TimeSpan(3_000));
    assert_eq!(silence_timeout(1_000, 1.0), TimeSpan(3_000));
    // With such frequent heartbeats the upper limit, 2.5 intervals plus 0.5 s, is below the lower limit of 3 s.
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

/// Lease renewals succeed, but the view of the open jobs becomes stale. Guards against a leader that acts on it:
/// authority ends nevertheless, and a response extends it from the time at which its request was sent, however late the
/// response arrives.
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

/// Checks the inequality of docs/SAFETY.md over many settings: the allowed staleness and a worker's lease, both
/// extended by clock drift, leave two seconds of `cancel_s`. A failed watch and the next one fit into the staleness.
#[test]
fn derived_times_end_cancelled_tasks_within_the_limit() {
    let operators = [2000, 4000, 60_000].map(|lease_ms| OperatorConfig {
        leader_lease_ms: lease_ms,
        ..OperatorConfig::default()
    });
    let mut derived = 0;
    for lease in [5.0, 20.0, 26.0, 31.0, 120.0, 600.0] {
        for extra in [0.5, 3.0, 4.2, 5.5, 10.0, 25.0, 60.0, 600.0] {
            for operator in &operators {
                let worker_times = workers(lease, lease + extra);
                let Some(times) = LeaderTimes::derive(&worker_times, operator) else {
                    assert!(extra < 6.0, "lease {lease}, cancel_s {extra} s longer");
                    continue;
                };
                derived += 1;
                let last_end_s = times.max_staleness.secs() * 1.0005 + lease * 1.0005 + 2.0;
                assert!(
                    last_end_s <= worker_times.cancel_s,
                    "lease {lease}, cancel_s {extra} s longer: {last_end_s}"
                );
                assert!(
                    times.lease_duration <= times.max_staleness
                        && times.authority_margin.0 * 2 < times.lease_duration.0
                );
                let (first_watch, retry_delay) = (times.watch_hold + times.watch_timeout, 300);
                let next_watch = times.watch_hold.0 * 2 + retry_delay;
                assert!(first_watch.0 * 2 <= times.max_staleness.0, "{times:?}");
                assert!(
                    first_watch.0 + next_watch < times.max_staleness.0,
                    "{times:?}"
                );
            }
        }
    }
    assert!(
        derived > 60,
        "times could be derived for only {derived} of the settings"
    );
}

/// The log gives the reason why authority ended: operators have to distinguish an expired lease from a stale view.
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
