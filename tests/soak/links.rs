//! Network faults: which links are faulty now, and what happens to messages on them.

use super::faults::{Link, LinkFault};
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// How long a lost response is withheld: longer than any client's timeout.
const NO_RESPONSE_DURATION: Duration = Duration::from_secs(120);

/// The outcome of a message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Delivery {
    /// The message arrives.
    Arrives,
    /// The message is lost.
    Lost,
}

#[derive(Clone, Copy)]
struct ActiveFault {
    fault: LinkFault,
    until: Instant,
}

/// The faulty links and their faults.
#[derive(Default)]
pub struct Links {
    faults: Mutex<BTreeMap<Link, ActiveFault>>,
}

impl Links {
    /// Makes the links faulty for the given duration.
    pub fn break_links(&self, links: &[Link], fault: LinkFault, duration: Duration) {
        let until = Instant::now() + duration;
        let mut faults = self.faults.lock().expect("links lock poisoned");
        for link in links {
            faults.insert(*link, ActiveFault { fault, until });
        }
    }

    /// Ends the faults of all links.
    pub fn clear_faults(&self) {
        self.faults.lock().expect("links lock poisoned").clear();
    }

    fn active(&self, link: Link) -> Option<ActiveFault> {
        let faults = self.faults.lock().expect("links lock poisoned");
        faults
            .get(&link)
            .copied()
            .filter(|active| Instant::now() < active.until)
    }

    /// Waits for the delay of a request on this link, and returns whether the request arrives.
    pub async fn deliver_request(&self, link: Link) -> Delivery {
        let Some(active) = self.active(link) else {
            return Delivery::Arrives;
        };
        match active.fault {
            LinkFault::DropRequests => return Delivery::Lost,
            LinkFault::DropResponses => {}
            LinkFault::HoldRequests => tokio::time::sleep_until(active.until.into()).await,
            LinkFault::Delay(delay) => tokio::time::sleep(delay).await,
        }
        Delivery::Arrives
    }

    /// Returns whether a response on this link arrives.
    pub fn deliver_response(&self, link: Link) -> Delivery {
        match self.active(link) {
            Some(active) if active.fault == LinkFault::DropResponses => Delivery::Lost,
            _ => Delivery::Arrives,
        }
    }
}

/// Sleeps until every client has timed out, in place of a response.
pub async fn no_response() {
    tokio::time::sleep(NO_RESPONSE_DURATION).await;
}
