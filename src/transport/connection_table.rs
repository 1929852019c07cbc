//! A table of bounded size for the connections of an HTTP server. When the table is full, a new connection evicts an
//! existing one: idle connections before busy ones, then the lowest rank, then the least recently used. The caller
//! assigns the ranks.
//!
//! Guards against socket exhaustion: a machine that loses power never closes its connection, and without free sockets
//! the controller cannot connect to the state store or to a peer either.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use tokio_util::sync::CancellationToken;

/// The eviction rank of a connection: lower ranks are evicted first. A new connection has the lowest rank.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank(pub u8);

/// Identifies a connection within its table; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(u64);

#[derive(Debug)]
struct ConnectionSlot {
    rank: Rank,
    /// Whether a request is in progress.
    busy: bool,
    last_used: Instant,
    /// Cancelling this token closes the connection.
    close: CancellationToken,
}

#[derive(Debug, Default)]
struct Slots {
    by_id: BTreeMap<ConnectionId, ConnectionSlot>,
    last_id: u64,
}

/// The connections of an HTTP server.
#[derive(Debug)]
pub struct ConnectionTable {
    max_connections: usize,
    /// Locked for a single operation, never across an `await`.
    slots: Mutex<Slots>,
}

impl ConnectionTable {
    /// Creates an empty table for `max_connections` connections, but at least one.
    pub fn new(max_connections: usize) -> ConnectionTable {
        ConnectionTable {
            max_connections: max_connections.max(1),
            slots: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Slots> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The number of connections in the table.
    pub fn connection_count(&self) -> usize {
        self.lock().by_id.len()
    }

    /// Inserts a connection with the lowest rank, to be closed by cancelling `close`. If the table is full, evicts a
    /// connection first: closes and removes it.
    pub fn insert(&self, close: CancellationToken) -> ConnectionId {
        let mut slots = self.lock();
        if slots.by_id.len() >= self.max_connections {
            slots.evict_one();
        }
        slots.last_id += 1;
        let id = ConnectionId(slots.last_id);
        let slot = ConnectionSlot {
            rank: Rank::default(),
            busy: false,
            last_used: Instant::now(),
            close,
        };
        slots.by_id.insert(id, slot);
        id
    }

    /// Sets the eviction rank of a connection.
    pub fn set_rank(&self, id: ConnectionId, rank: Rank) {
        self.update(id, |slot| slot.rank = rank);
    }

    /// Marks a connection as busy with a request.
    pub fn request_started(&self, id: ConnectionId) {
        self.update(id, |slot| slot.busy = true);
    }

    /// Marks a connection as idle and records the time of its last use.
    pub fn request_finished(&self, id: ConnectionId) {
        self.update(id, |slot| {
            slot.busy = false;
            slot.last_used = Instant::now();
        });
    }

    fn update(&self, id: ConnectionId, change: impl FnOnce(&mut ConnectionSlot)) {
        if let Some(slot) = self.lock().by_id.get_mut(&id) {
            change(slot);
        }
    }

    fn remove(&self, id: ConnectionId) {
        self.lock().by_id.remove(&id);
    }
}

impl Slots {
    fn evict_one(&mut self) {
        let victim = self
            .by_id
            .iter()
            .min_by_key(|(_, slot)| (slot.busy, slot.rank, slot.last_used))
            .map(|(id, _)| *id);
        if let Some(slot) = victim.and_then(|id| self.by_id.remove(&id)) {
            slot.close.cancel();
        }
    }
}

/// Refers to the connection that a request arrived on; the server adds it to the request's extensions.
#[derive(Clone, Debug)]
pub struct ConnectionHandle {
    table: Arc<ConnectionTable>,
    id: ConnectionId,
}

impl ConnectionHandle {
    /// Inserts a connection into the table and returns its handle.
    pub fn insert(table: &Arc<ConnectionTable>, close: CancellationToken) -> ConnectionHandle {
        ConnectionHandle {
            id: table.insert(close),
            table: table.clone(),
        }
    }

    /// Sets the eviction rank of the connection.
    pub fn set_rank(&self, rank: Rank) {
        self.table.set_rank(self.id, rank);
    }

    /// Marks the connection as busy with a request.
    pub fn request_started(&self) {
        self.table.request_started(self.id);
    }

    /// Marks the connection as idle and records the time of its last use.
    pub fn request_finished(&self) {
        self.table.request_finished(self.id);
    }
}

/// Removes the connection from its table on drop, whatever ends the connection.
pub struct RemoveOnDrop(pub ConnectionHandle);

impl Drop for RemoveOnDrop {
    fn drop(&mut self) {
        self.0.table.remove(self.0.id);
    }
}
