//! What this controller knows of its peers (the other controllers), and what it tells them unasked.

use crate::coordination::Event;
use crate::ids::JobId;
use crate::protocol::peers::{PeerReply, PeerRequest};
use crate::runtime::clients::job_lookup::TerminalState;
use crate::runtime::{lock, Node, STATE_STORE_REACHABILITY_TIMEOUT};
use crate::time::{Instant, TimeSpan};
use crate::transport::peer::PeerClient;
use futures_util::future::join_all;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Notify;

/// What a peer said of itself counts for this long after it was asked.
const PEER_STATUS_FRESH: TimeSpan = TimeSpan(2500);
/// Between two rounds of asking all peers.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// A peer that doesn't answer a short message within this is taken for unreachable.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(400);
/// Peers are told of at most this many cancellations at once; they learn of the rest from the state store.
const MAX_BROADCAST_CANCELLATIONS: usize = 500;

/// What a peer last said of itself.
#[derive(Clone, Copy, Debug)]
struct PeerStatus {
    asked_at: Instant,
    state_store_ok: bool,
}

/// A peer that answered lately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReachablePeer {
    /// The peer's place among the clients.
    pub index: usize,
    /// Whether the state store serves the peer.
    pub state_store_ok: bool,
}

/// The other controllers.
pub struct Peers {
    clients: Vec<PeerClient>,
    /// What each peer last said, in the order of the clients.
    statuses: Mutex<Vec<Option<PeerStatus>>>,
    cancellations: PendingCancellations,
}

/// Cancellations that the state store confirmed here and peers are still to be told of.
#[derive(Default)]
struct PendingCancellations {
    jobs: Mutex<Vec<(JobId, u32)>>,
    added: Notify,
}

impl Peers {
    /// Peers that nothing is known of yet.
    pub fn new(clients: Vec<PeerClient>) -> Peers {
        Peers {
            statuses: Mutex::new(vec![None; clients.len()]),
            clients,
            cancellations: PendingCancellations::default(),
        }
    }

    /// How many other controllers there are.
    pub fn len(&self) -> usize {
        self.clients.len()
    }

    /// The links to all peers.
    pub fn clients(&self) -> &[PeerClient] {
        &self.clients
    }

    /// The peers that answered lately.
    pub fn reachable(&self, now: Instant) -> Vec<ReachablePeer> {
        let statuses = lock(&self.statuses);
        let known = statuses
            .iter()
            .enumerate()
            .filter_map(|(index, status)| Some((index, (*status)?)));
        known
            .filter(|(_, status)| now - status.asked_at < PEER_STATUS_FRESH)
            .map(|(index, status)| ReachablePeer {
                index,
                state_store_ok: status.state_store_ok,
            })
            .collect()
    }

    /// Notes what the peers said; one that did not answer keeps its former status.
    fn update_statuses(&self, statuses: Vec<Option<PeerStatus>>) {
        for (known, new) in lock(&self.statuses).iter_mut().zip(statuses) {
            *known = new.or(*known);
        }
    }

    /// Peers are to be told that the job is cancelled.
    fn queue_cancellation(&self, id: &JobId, tasks: u32) {
        let mut jobs = lock(&self.cancellations.jobs);
        if jobs.len() < MAX_BROADCAST_CANCELLATIONS {
            jobs.push((id.clone(), tasks));
            self.cancellations.added.notify_one();
        }
    }

    fn take_cancellations(&self) -> Vec<(JobId, u32)> {
        std::mem::take(&mut *lock(&self.cancellations.jobs))
    }
}

/// While the state store doesn't serve this controller, asks which peers can be reached and whether it serves
/// them, so that users' requests needn't find out one by one. Runs until the controller stops.
pub async fn probe(node: Arc<Node>) {
    loop {
        tokio::select! {
            _ = node.stop.cancelled() => return,
            _ = tokio::time::sleep(PROBE_INTERVAL) => {}
        }
        if node.state_store.time_since_success() < STATE_STORE_REACHABILITY_TIMEOUT / 2 {
            continue;
        }
        let clients = node.peers.clients.iter();
        let statuses = join_all(clients.map(|client| ask_status(&node, client))).await;
        node.peers.update_statuses(statuses);
    }
}

async fn ask_status(node: &Node, client: &PeerClient) -> Option<PeerStatus> {
    let asked_at = node.now();
    match client.send(&PeerRequest::Hello, PEER_TIMEOUT).await {
        Some(PeerReply::Hello { state_ok, .. }) => Some(PeerStatus {
            asked_at,
            state_store_ok: state_ok,
        }),
        _ => None,
    }
}

/// Tells peers of confirmed cancellations until the controller stops.
///
/// Guards against a leader that the state store alone refuses: it would go on renewing the leases of machines
/// whose jobs were cancelled through others. This is for speed: that such tasks are gone in time rests on the
/// leader's own clock (`Authority`), not on any message.
pub async fn broadcast_cancellations(node: Arc<Node>) {
    loop {
        tokio::select! {
            _ = node.stop.cancelled() => return,
            _ = node.peers.cancellations.added.notified() => {}
        }
        let jobs = node.peers.take_cancellations();
        if jobs.is_empty() {
            continue;
        }
        let request = PeerRequest::Cancelled { jobs };
        let clients = node.peers.clients.iter();
        join_all(clients.map(|client| client.send(&request, PEER_TIMEOUT))).await;
    }
}

impl Node {
    /// A cancellation of a job of so many tasks is confirmed here: the leader stops its tasks, here or on a
    /// peer.
    pub fn cancellation_confirmed(&self, id: &JobId, tasks: u32) {
        self.job_cancelled(id, tasks);
        self.peers.queue_cancellation(id, tasks);
    }

    /// Takes in, on this controller, that a job is cancelled. That is final.
    pub fn job_cancelled(&self, id: &JobId, tasks: u32) {
        self.terminal_states
            .insert(id, TerminalState::cancelled(tasks));
        let cancelled = Event::JobCancelled { id: id.clone() };
        self.leadership.handle_event(self.now(), cancelled);
    }
}
