//! The connections of an HTTP server, at most so many. When the table is full, a new connection takes the slot of
//! the one worth least: of the lowest rank, idle, and longest unused. The caller says which connection ranks how.
//!
//! Guards against running out of sockets: a machine without power never closes its connection, and once every
//! socket is taken no connection to the state store or to a peer can be made either.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use tokio_util::sync::CancellationToken;

/// What a connection is worth when the table is full; a new one has the lowest rank.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank(pub u8);

/// Identifies a connection in its table; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(u64);

#[derive(Debug)]
struct ConnectionSlot {
    rank: Rank,
    /// A request is being answered.
    busy: bool,
    last_used: Instant,
    /// Cancelled to close the connection.
    close: CancellationToken,
}

#[derive(Debug, Default)]
struct Slots {
    by_id: BTreeMap<ConnectionId, ConnectionSlot>,
    last_id: u64,
}

/// The connections of one server.
#[derive(Debug)]
pub struct ConnectionTable {
    max_connections: usize,
    /// Held for one change, never over an `await`.
    slots: Mutex<Slots>,
}

impl ConnectionTable {
    /// An empty table with so many slots, at least one.
    pub fn new(max_connections: usize) -> ConnectionTable {
        ConnectionTable {
            max_connections: max_connections.max(1),
            slots: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Slots> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How many connections there are.
    pub fn connection_count(&self) -> usize {
        self.lock().by_id.len()
    }

    /// Adds a connection that is closed through the token. If the table is full, the connection worth least is
    /// closed and removed.
    pub fn insert(&self, close: CancellationToken) -> ConnectionId {
        let mut slots = self.lock();
        if slots.by_id.len() >= self.max_connections {
            slots.evict_least_valuable();
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

    /// From now on the connection has this rank.
    pub fn set_rank(&self, id: ConnectionId, rank: Rank) {
        self.update(id, |slot| slot.rank = rank);
    }

    /// A request on the connection is being answered.
    pub fn request_started(&self, id: ConnectionId) {
        self.update(id, |slot| slot.busy = true);
    }

    /// The request has been answered.
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
    fn evict_least_valuable(&mut self) {
        let least = self
            .by_id
            .iter()
            .min_by_key(|(_, slot)| (slot.busy, slot.rank, slot.last_used))
            .map(|(id, _)| *id);
        if let Some(slot) = least.and_then(|id| self.by_id.remove(&id)) {
            slot.close.cancel();
        }
    }
}

/// The connection that a request came on: among the request's extensions.
#[derive(Clone, Debug)]
pub struct ConnectionHandle {
    table: Arc<ConnectionTable>,
    id: ConnectionId,
}

impl ConnectionHandle {
    /// Adds a connection to the table.
    pub fn insert(table: &Arc<ConnectionTable>, close: CancellationToken) -> ConnectionHandle {
        ConnectionHandle {
            id: table.insert(close),
            table: table.clone(),
        }
    }

    /// From now on the connection has this rank.
    pub fn set_rank(&self, rank: Rank) {
        self.table.set_rank(self.id, rank);
    }

    /// A request on the connection is being answered.
    pub fn request_started(&self) {
        self.table.request_started(self.id);
    }

    /// The request has been answered.
    pub fn request_finished(&self) {
        self.table.request_finished(self.id);
    }
}

/// Removes the connection from its table when it is dropped, however the connection ends.
pub struct RemoveOnDrop(pub ConnectionHandle);

impl Drop for RemoveOnDrop {
    fn drop(&mut self) {
        self.0.table.remove(self.0.id);
    }
}
