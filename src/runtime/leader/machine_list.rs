//! Polls the cloud's machine list.

use super::term::TermContext;
use crate::coordination::Event;
use crate::runtime::clients::cloud::LIST_PAGE_SIZE;
use rand::Rng;
use std::time::Duration;

/// Share of the cloud's request rate limit that polling the machine list may use.
const REQUEST_RATE_SHARE: f64 = 0.25;
/// Bounds of the pause between two polls, in seconds.
const MIN_PAUSE_SECS: f64 = 3.0;
const MAX_PAUSE_SECS: f64 = 30.0;
/// Maximum random jitter added to the pause.
const MAX_JITTER_MS: u64 = 500;

/// Polls the machine list and passes it to the scheduler until the term ends.
pub async fn poll(term: TermContext) {
    let node = &term.node;
    while !term.end.is_cancelled() {
        let requested_at = node.now();
        let mut machine_count = 0;
        if let Some(machines) = node.cloud.list_machines().await {
            machine_count = machines.len();
            let event = Event::MachinesListed {
                requested_at,
                machines,
            };
            node.leadership.handle_event(node.now(), event);
        }
        let pause = pause_after(machine_count, node.policy.facts.cloud.rps);
        tokio::select! {
            _ = term.end.cancelled() => return,
            _ = tokio::time::sleep(pause) => {}
        }
    }
}

/// Returns the pause after reading a list of `machine_count` machines. A list of many pages is read less often,
/// to leave most of the request rate to scale out and scale in.
fn pause_after(machine_count: usize, requests_per_sec: f64) -> Duration {
    let pages = (machine_count / LIST_PAGE_SIZE + 1) as f64;
    let min_secs = pages / (requests_per_sec * REQUEST_RATE_SHARE);
    let pause = Duration::from_secs_f64(min_secs.clamp(MIN_PAUSE_SECS, MAX_PAUSE_SECS));
    pause + Duration::from_millis(rand::rng().random_range(0..MAX_JITTER_MS))
}
