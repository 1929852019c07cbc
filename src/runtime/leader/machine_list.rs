//! Reading the cloud's machine list over and over.

use super::term::Term;
use crate::coordination::Event;
use crate::runtime::clients::cloud::LIST_PAGE_SIZE;
use rand::Rng;
use std::time::Duration;

/// The share of the cloud's request rate that reading the list may use.
const REQUEST_RATE_SHARE: f64 = 0.25;
/// Bounds of the pause between two reads, in seconds.
const MIN_PAUSE_SECS: f64 = 3.0;
const MAX_PAUSE_SECS: f64 = 30.0;
/// A random part of the pause, up to this.
const MAX_JITTER_MS: u64 = 500;

/// Reads the list and hands it to the scheduler, until the term ends.
pub async fn poll(term: Term) {
    let node = &term.node;
    while !term.end.is_cancelled() {
        let requested_at = node.now();
        let mut listed = 0;
        if let Some(machines) = node.cloud.list_machines().await {
            listed = machines.len();
            let event = Event::MachinesListed {
                requested_at,
                machines,
            };
            node.leadership.handle_event(node.now(), event);
        }
        let pause = pause_after(listed, node.policy.facts.cloud.rps);
        tokio::select! {
            _ = term.end.cancelled() => return,
            _ = tokio::time::sleep(pause) => {}
        }
    }
}

/// The pause after a list of so many machines. Scale out and scale in come first: a list of many pages is read
/// less often.
fn pause_after(listed: usize, requests_per_sec: f64) -> Duration {
    let pages = (listed / LIST_PAGE_SIZE + 1) as f64;
    let min_secs = pages / (requests_per_sec * REQUEST_RATE_SHARE);
    let pause = Duration::from_secs_f64(min_secs.clamp(MIN_PAUSE_SECS, MAX_PAUSE_SECS));
    pause + Duration::from_millis(rand::rng().random_range(0..MAX_JITTER_MS))
}
