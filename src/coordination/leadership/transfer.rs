//! Leadership transfer: when a leader that receives no heartbeats hands over to a peer that does.
//!
//! Decides only; whoever asks resigns the authority first and ends the lease then.

use crate::time::TimeSpan;

/// A leader that receives no heartbeat for so many heartbeat intervals receives none at all, however few
/// machines there are.
const MAX_SILENT_HEARTBEAT_INTERVALS: f64 = 2.5;
/// For the way of the last of those heartbeats.
const HEARTBEAT_DELIVERY_SECS: f64 = 0.5;
/// So many heartbeats missed in a row are no chance.
const MISSED_HEARTBEATS: f64 = 50.0;
/// Never sooner than this: a process that was paused for a moment receives everything late.
const MIN_SILENCE_SECS: f64 = 3.0;

/// How long a leader that receives no heartbeats waits before it looks whether a peer does; the heartbeat
/// interval is in seconds.
///
/// The more machines send heartbeats, the sooner silence tells. Guards against a standstill of 13 s each time
/// that the leader of a thousand machines lost its workers (recorded days 8dda and 2589): two and a half
/// heartbeat intervals of 5 s, in which 2,500 heartbeats had been missed.
pub fn silence_timeout(machines_up: usize, heartbeat_interval_s: f64) -> TimeSpan {
    let max = heartbeat_interval_s * MAX_SILENT_HEARTBEAT_INTERVALS + HEARTBEAT_DELIVERY_SECS;
    let missed = MISSED_HEARTBEATS * heartbeat_interval_s / machines_up.max(1) as f64;
    TimeSpan::from_secs(missed.max(MIN_SILENCE_SECS).min(max))
}

/// Whether a leader that receives no heartbeats should hand over: it has machines that should send some, none
/// has for longer than the bound, and some peer received one well within it. Without such a peer nobody would
/// do better.
pub fn should_transfer_leadership(
    machines_up: usize,
    own_silence: TimeSpan,
    peers_silence: &[Option<TimeSpan>],
    bound: TimeSpan,
) -> bool {
    let hears_workers = |silence: &TimeSpan| *silence < bound;
    machines_up > 0 && own_silence > bound && peers_silence.iter().flatten().any(hears_workers)
}
