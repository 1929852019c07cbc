//! The state of the links between the parties: what happens to each message at this moment.

use super::faults::{Link, LinkFault};
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Longer than anybody waits for a response.
const NO_RESPONSE_DURATION: Duration = Duration::from_secs(120);

/// What becomes of a message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Delivery {
    /// It arrives.
    Arrives,
    /// It never does.
    Lost,
}

#[derive(Clone, Copy)]
struct ActiveFault {
    fault: LinkFault,
    until: Instant,
}

/// The faulty links.
#[derive(Default)]
pub struct Links {
    faults: Mutex<BTreeMap<Link, ActiveFault>>,
}

impl Links {
    /// The links are faulty from now on, for that long.
    pub fn break_links(&self, links: &[Link], fault: LinkFault, duration: Duration) {
        let until = Instant::now() + duration;
        let mut faults = self.faults.lock().expect("links");
        for link in links {
            faults.insert(*link, ActiveFault { fault, until });
        }
    }

    /// All links work again.
    pub fn clear_faults(&self) {
        self.faults.lock().expect("links").clear();
    }

    fn active(&self, link: Link) -> Option<ActiveFault> {
        let faults = self.faults.lock().expect("links");
        faults
            .get(&link)
            .copied()
            .filter(|active| Instant::now() < active.until)
    }

    /// Waits for as long as a request is on its way.
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

    /// What becomes of a response.
    pub fn deliver_response(&self, link: Link) -> Delivery {
        match self.active(link) {
            Some(active) if active.fault == LinkFault::DropResponses => Delivery::Lost,
            _ => Delivery::Arrives,
        }
    }
}

/// Never answers.
pub async fn no_response() {
    tokio::time::sleep(NO_RESPONSE_DURATION).await;
}
