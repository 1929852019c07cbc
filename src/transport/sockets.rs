//! Allocates the sockets of the process to its uses, so that no use can starve another.

/// The number of sockets for each use. The total is within the limit of the process unless that limit is too low for
/// the minimums.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SocketAllocation {
    /// Connections from users and workers.
    pub http_connections: usize,
    /// Concurrent pushes to workers; each occupies a connection until it completes.
    pub pushes: usize,
    /// Connections from peers.
    pub peer_connections: usize,
    /// Idle connections kept open per peer.
    pub idle_per_peer: usize,
    /// Connections to the state store.
    pub state_store: usize,
    /// Connections to the cloud.
    pub cloud: usize,
}

/// Sockets reserved for listeners, the log and the asynchronous runtime.
const RESERVED_SOCKETS: usize = 16;
/// One socket in this many is allocated to pushes.
const SOCKETS_PER_PUSH: usize = 30;
/// Minimum number of sockets for pushes.
const MIN_PUSHES: usize = 4;
/// One socket in this many is allocated to connections from peers, within the following bounds.
const SOCKETS_PER_PEER_CONNECTION: usize = 20;
const MIN_PEER_CONNECTIONS: usize = 8;
/// The upper bound is this base plus `MAX_CONNECTIONS_PER_PEER` for each peer.
const MAX_PEER_CONNECTIONS_BASE: usize = 16;
const MAX_CONNECTIONS_PER_PEER: usize = 8;
/// Idle connections kept open per peer.
const IDLE_PER_PEER: usize = 4;
/// Connections to the state store for the leader's tasks, in addition to those for user requests.
const LEADER_STATE_STORE_CONNECTIONS: usize = 16;
/// Connections to the cloud.
const CLOUD_CONNECTIONS: usize = 4;

impl SocketAllocation {
    /// Allocates `max_sockets` for a controller with `peers` peers and at most `user_requests` concurrent user
    /// requests. The HTTP server gets what the other uses leave, but at least a quarter: scheduling decisions depend
    /// on the other connections.
    pub fn new(max_sockets: usize, peers: usize, user_requests: usize) -> SocketAllocation {
        let pushes = (max_sockets / SOCKETS_PER_PUSH).max(MIN_PUSHES);
        let max_peer_connections =
            MAX_PEER_CONNECTIONS_BASE + MAX_CONNECTIONS_PER_PEER * peers.max(1);
        let peer_connections = (max_sockets / SOCKETS_PER_PEER_CONNECTION)
            .clamp(MIN_PEER_CONNECTIONS, max_peer_connections);
        // Each user request may need a connection of its own.
        let state_store = user_requests + LEADER_STATE_STORE_CONNECTIONS;
        let mut allocation = SocketAllocation {
            http_connections: 0,
            pushes,
            peer_connections,
            idle_per_peer: IDLE_PER_PEER,
            state_store,
            cloud: CLOUD_CONNECTIONS,
        };
        let rest = max_sockets.saturating_sub(allocation.total(peers));
        allocation.http_connections = rest.max(max_sockets / 4);
        allocation
    }

    /// The total number of sockets of a controller with `peers` peers.
    pub fn total(&self, peers: usize) -> usize {
        RESERVED_SOCKETS
            + self.http_connections
            + self.pushes
            + self.peer_connections
            + self.idle_per_peer * peers
            + self.state_store
            + self.cloud
    }
}
