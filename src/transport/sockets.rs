//! How the sockets of a process are allocated, so that none of its links can starve another.

/// Sockets by use. They add up to no more than the process may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SocketAllocation {
    /// Connections from users and workers.
    pub http_connections: usize,
    /// Pushes to workers at the same time; each takes a connection for as long as it lasts.
    pub pushes: usize,
    /// Connections from peers.
    pub peer_connections: usize,
    /// Idle connections kept open to each peer.
    pub idle_per_peer: usize,
    /// Connections to the state store.
    pub state_store: usize,
    /// Connections to the cloud.
    pub cloud: usize,
}

/// Listeners, the log and what the asynchronous runtime needs.
const RESERVED: usize = 16;
/// One socket in so many is for pushes, and at least so many.
const SOCKETS_PER_PUSH: usize = 30;
const MIN_PUSHES: usize = 4;
/// One socket in so many is for connections from peers, within bounds.
const SOCKETS_PER_PEER_CONNECTION: usize = 20;
const MIN_PEER_CONNECTIONS: usize = 8;
const MAX_PEER_CONNECTIONS: usize = 16;
const MAX_CONNECTIONS_PER_PEER: usize = 8;
/// Idle connections kept open to each peer.
const IDLE_PER_PEER: usize = 4;
/// What the leader's tasks need of the state store beside users' requests.
const LEADER_STATE_STORE_CONNECTIONS: usize = 16;
/// Connections to the cloud.
const CLOUD_CONNECTIONS: usize = 4;

impl SocketAllocation {
    /// Allocates `max_sockets` for a controller with so many peers and concurrent user requests: links without
    /// which nothing can be decided come first, the HTTP server has the rest.
    pub fn new(max_sockets: usize, peers: usize, user_requests: usize) -> SocketAllocation {
        let pushes = (max_sockets / SOCKETS_PER_PUSH).max(MIN_PUSHES);
        let max_peer_connections = MAX_PEER_CONNECTIONS + MAX_CONNECTIONS_PER_PEER * peers.max(1);
        let peer_connections = (max_sockets / SOCKETS_PER_PEER_CONNECTION)
            .clamp(MIN_PEER_CONNECTIONS, max_peer_connections);
        // Each user's request may have a connection of its own.
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

    /// All sockets of a controller with so many peers.
    pub fn total(&self, peers: usize) -> usize {
        RESERVED
            + self.http_connections
            + self.pushes
            + self.peer_connections
            + self.idle_per_peer * peers
            + self.state_store
            + self.cloud
    }
}
