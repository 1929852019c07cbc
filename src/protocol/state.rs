//! The wire between controllers and the state store (the operators' "state service").
//!
//! The operators' words are in serde names, and nowhere else.

use crate::ids::{KeyRevision, LeaseId, StoreRevision};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// One key as it stands.
#[derive(Clone, Debug, Deserialize)]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// Its value.
    #[serde(default)]
    pub data: Value,
    /// The revision of the key.
    #[serde(rename = "stamp")]
    pub revision: KeyRevision,
    /// The lease that the key is bound to, if any: it is deleted when the lease expires.
    #[serde(rename = "hold", default)]
    pub lease: Option<LeaseId>,
}

/// One page of a listing.
#[derive(Clone, Debug, Deserialize)]
pub struct KeyValuePage {
    /// The keys on the page, in order.
    pub pairs: Vec<KeyValue>,
    /// Whether there are pages after this one.
    #[serde(rename = "hasNext", default)]
    pub has_more: bool,
    /// The revision of the store at which the page was read.
    #[serde(rename = "epoch")]
    pub store_revision: StoreRevision,
}

/// A condition of a transaction: the key has this revision (0: absent).
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Precondition {
    /// The key.
    pub key: String,
    /// The revision that it must have.
    #[serde(rename = "stamp")]
    pub revision: KeyRevision,
}

impl Precondition {
    /// The key must not exist.
    pub fn absent(key: String) -> Precondition {
        Precondition {
            key,
            revision: KeyRevision(0),
        }
    }
}

/// A change of one key.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Change {
    /// Sets a key.
    Put {
        /// The key.
        #[serde(rename = "put")]
        key: String,
        /// Its value.
        data: Value,
        /// The lease that the key is to be bound to, if any.
        #[serde(rename = "hold", skip_serializing_if = "Option::is_none")]
        lease: Option<LeaseId>,
    },
    /// Deletes a key.
    Delete {
        /// The key.
        #[serde(rename = "delete")]
        key: String,
    },
}

impl Change {
    /// Sets a key that no lease deletes.
    pub fn put(key: String, data: Value) -> Change {
        Change::Put {
            key,
            data,
            lease: None,
        }
    }
    /// A deletion.
    pub fn delete(key: String) -> Change {
        Change::Delete { key }
    }
    /// The key that is changed.
    pub fn key(&self) -> &str {
        match self {
            Change::Put { key, .. } => key,
            Change::Delete { key } => key,
        }
    }
}

/// A transaction: all changes, if all preconditions hold, or none.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Transaction {
    /// All of these must hold.
    #[serde(rename = "guards")]
    pub preconditions: Vec<Precondition>,
    /// Then all of these are made.
    #[serde(rename = "apply")]
    pub changes: Vec<Change>,
}

/// The response to a transaction that was applied.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct TransactionApplied {
    /// The store revision at which the changes were made.
    #[serde(rename = "epoch")]
    pub store_revision: StoreRevision,
}

/// The response to a transaction whose preconditions failed.
#[derive(Clone, Debug, Deserialize)]
pub struct TransactionConflict {
    /// Keys whose preconditions failed, as far as the store names them.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// The response to granting a lease.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct LeaseGranted {
    /// The lease.
    #[serde(rename = "hold")]
    pub lease: LeaseId,
}

/// One change reported by a watch.
#[derive(Clone, Debug, Deserialize)]
pub struct WatchEvent {
    /// The key that was set, if one was.
    #[serde(rename = "put", default)]
    pub put_key: Option<String>,
    /// The key that was deleted, if one was.
    #[serde(rename = "delete", default)]
    pub deleted_key: Option<String>,
    /// The value that was set.
    #[serde(default)]
    pub data: Value,
    /// The revision of the key.
    #[serde(rename = "stamp")]
    pub revision: KeyRevision,
}

/// The response of a watch.
#[derive(Clone, Debug, Deserialize)]
pub struct WatchResponse {
    /// The store revision up to which all changes are included: the next watch goes on from it.
    #[serde(rename = "epoch")]
    pub store_revision: StoreRevision,
    /// The changes, in order.
    #[serde(default)]
    #[serde(rename = "news")]
    pub events: Vec<WatchEvent>,
}
