//! Status probes of the peers (the other controllers), and broadcasts of cancellations to them.

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

/// The maximum age of a peer's status, from when it was requested.
const PEER_STATUS_MAX_AGE: TimeSpan = TimeSpan(2500);
/// The pause between two rounds of status probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// The timeout for a peer's reply to a short message.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(400);
/// The maximum number of cancellations in one broadcast; peers learn of the rest from the state store.
const MAX_BROADCAST_CANCELLATIONS: usize = 500;

/// The last status that a peer reported.
#[derive(Clone, Copy, Debug)]
struct PeerStatus {
    asked_at: Instant,
    state_store_ok: bool,
}

/// A peer whose status is recent (see [`PEER_STATUS_MAX_AGE`]).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReachablePeer {
    /// The peer's index in [`Peers::clients`].
    pub index: usize,
    /// Whether the state store serves the peer.
    pub state_store_ok: bool,
}

/// The other controllers.
pub struct Peers {
    clients: Vec<PeerClient>,
    /// The last status of each peer, in the order of `clients`.
    statuses: Mutex<Vec<Option<PeerStatus>>>,
    cancellations: PendingCancellations,
}

/// Cancellations that the state store confirmed to this controller and that are still to be broadcast to the peers.
#[derive(Default)]
struct PendingCancellations {
    jobs: Mutex<Vec<(JobId, u32)>>,
    added: Notify,
}

impl Peers {
    /// Creates the peers, with no status known yet.
    pub fn new(clients: Vec<PeerClient>) -> Peers {
        Peers {
            statuses: Mutex::new(vec![None; clients.len()]),
            clients,
            cancellations: PendingCancellations::default(),
        }
    }

    /// Returns the number of other controllers.
    pub fn len(&self) -> usize {
        self.clients.len()
    }

    /// Returns the clients of all peers.
    pub fn clients(&self) -> &[PeerClient] {
        &self.clients
    }

    /// Returns the peers whose status is recent.
    pub fn reachable(&self, now: Instant) -> Vec<ReachablePeer> {
        let statuses = lock(&self.statuses);
        let known = statuses
            .iter()
            .enumerate()
            .filter_map(|(index, status)| Some((index, (*status)?)));
        known
            .filter(|(_, status)| now - status.asked_at < PEER_STATUS_MAX_AGE)
            .map(|(index, status)| ReachablePeer {
                index,
                state_store_ok: status.state_store_ok,
            })
            .collect()
    }

    /// Records the peers' statuses; a peer that did not reply keeps its previous status.
    fn update_statuses(&self, statuses: Vec<Option<PeerStatus>>) {
        for (known, new) in lock(&self.statuses).iter_mut().zip(statuses) {
            *known = new.or(*known);
        }
    }

    /// Queues a cancellation for the next broadcast to the peers.
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

/// Probes all peers while the state store doesn't serve this controller, so that users' requests are forwarded only to
/// peers that are reachable and served by the state store. Runs until the controller stops.
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
        let statuses = join_all(clients.map(|client| request_status(&node, client))).await;
        node.peers.update_statuses(statuses);
    }
}

async fn request_status(node: &Node, client: &PeerClient) -> Option<PeerStatus> {
    let asked_at = node.now();
    match client.send(&PeerRequest::Hello, PEER_TIMEOUT).await {
        Some(PeerReply::Hello { state_ok, .. }) => Some(PeerStatus {
            asked_at,
            state_store_ok: state_ok,
        }),
        _ => None,
    }
}

/// Broadcasts confirmed cancellations to the peers until the controller stops.
///
/// A leader that the state store does not serve would otherwise go on renewing the worker leases of machines that run
/// tasks of jobs cancelled through other controllers. The broadcast only makes the stop faster: that such tasks stop
/// in time is ensured by the leader's own clock (`Authority`), not by messages.
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
    /// Records a cancellation that the state store confirmed to this controller, and queues it for broadcast so that
    /// the leader stops the job's tasks. `tasks` is the job's number of tasks.
    pub fn record_and_broadcast_cancellation(&self, id: &JobId, tasks: u32) {
        self.record_cancellation(id, tasks);
        self.peers.queue_cancellation(id, tasks);
    }

    /// Records on this controller that a job is cancelled, which is a terminal state, and notifies the scheduler.
    pub fn record_cancellation(&self, id: &JobId, tasks: u32) {
        self.terminal_states
            .insert(id, TerminalState::cancelled(tasks));
        let cancelled = Event::JobCancelled { id: id.clone() };
        self.leadership.handle_event(self.now(), cancelled);
    }
}
