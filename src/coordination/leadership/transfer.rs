//! Leadership transfer: when a leader that receives no heartbeats resigns in favor of a peer that
//! does.
//!
//! Only decides. The caller resigns the authority first and then revokes the lease.

use crate::time::TimeSpan;

/// Upper limit of the silence timeout, in heartbeat intervals: applies with few machines.
const MAX_SILENT_HEARTBEAT_INTERVALS: f64 = 2.5;
/// Time for the delivery of the last heartbeat, added to the upper limit.
const HEARTBEAT_DELIVERY_SECS: f64 = 0.5;
/// Number of missed heartbeats after which the silence can't be random loss.
const MISSED_HEARTBEATS: f64 = 50.0;
/// Lower limit of the silence timeout: after a short pause a process receives all messages late.
const MIN_SILENCE_SECS: f64 = 3.0;

/// Returns how long a leader without heartbeats waits before it asks whether a peer receives some.
/// `heartbeat_interval_s` is in seconds.
///
/// The timeout shrinks with the number of machines. Guards against an outage of 13 s each time the leader of a
/// thousand machines lost contact with its workers: it waited 2.5 heartbeat intervals of 5 s, in which 2,500
/// heartbeats were missed.
pub fn silence_timeout(machines_up: usize, heartbeat_interval_s: f64) -> TimeSpan {
    let max = heartbeat_interval_s * MAX_SILENT_HEARTBEAT_INTERVALS + HEARTBEAT_DELIVERY_SECS;
    let missed = MISSED_HEARTBEATS * heartbeat_interval_s / machines_up.max(1) as f64;
    TimeSpan::from_secs(missed.max(MIN_SILENCE_SECS).min(max))
}

/// Whether a leader should transfer its leadership: it has machines that should send heartbeats, has received
/// none for longer than `timeout`, and a peer has received one within that time. Without such a peer a transfer
/// would not help.
pub fn should_transfer_leadership(
    machines_up: usize,
    own_silence: TimeSpan,
    peers_silence: &[Option<TimeSpan>],
    timeout: TimeSpan,
) -> bool {
    let receives_heartbeats = |silence: &TimeSpan| *silence < timeout;
    machines_up > 0
        && own_silence > timeout
        && peers_silence.iter().flatten().any(receives_heartbeats)
}
