//! Messages between controllers and the state store (the operators' "state service").
//!
//! Wire names that differ from the code's terms are given as serde names.

use crate::ids::{KeyRevision, LeaseId, StoreRevision};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A key with its value and revision.
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
    /// The lease that the key is bound to, if any: the key is deleted when the lease expires.
    #[serde(rename = "hold", default)]
    pub lease: Option<LeaseId>,
}

/// One page of a listing.
#[derive(Clone, Debug, Deserialize)]
pub struct KeyValuePage {
    /// The entries of the page, sorted by key.
    pub pairs: Vec<KeyValue>,
    /// Whether there are pages after this one.
    #[serde(rename = "hasNext", default)]
    pub has_more: bool,
    /// The revision of the store at which the page was read.
    #[serde(rename = "epoch")]
    pub store_revision: StoreRevision,
}

/// A precondition of a transaction: the key must have the given revision (0: absent).
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Precondition {
    /// The key.
    pub key: String,
    /// The required revision.
    #[serde(rename = "stamp")]
    pub revision: KeyRevision,
}

impl Precondition {
    /// Returns the precondition that the key does not exist.
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
        put_key: String,
        /// Its value.
        data: Value,
        /// The lease to bind the key to, if any.
        #[serde(rename = "hold", skip_serializing_if = "Option::is_none")]
        lease: Option<LeaseId>,
    },
    /// Deletes a key.
    Delete {
        /// The key.
        #[serde(rename = "delete")]
        deleted_key: String,
    },
}

impl Change {
    /// Returns the change that sets a key without binding it to a lease.
    pub fn put(key: String, data: Value) -> Change {
        Change::Put {
            put_key: key,
            data,
            lease: None,
        }
    }
    /// Returns the change that deletes a key.
    pub fn delete(key: String) -> Change {
        Change::Delete { deleted_key: key }
    }
    /// The key to be set or deleted.
    pub fn key(&self) -> &str {
        match self {
            Change::Put { put_key, .. } => put_key,
            Change::Delete { deleted_key } => deleted_key,
        }
    }
}

/// A transaction: makes all changes if all preconditions hold, and none otherwise.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Transaction {
    /// Preconditions, all of which must hold.
    #[serde(rename = "guards")]
    pub preconditions: Vec<Precondition>,
    /// Changes to make atomically.
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

/// The response to a transaction that was rejected because a precondition failed.
#[derive(Clone, Debug, Deserialize)]
pub struct TransactionConflict {
    /// Keys whose preconditions failed; the list may be incomplete.
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
    /// The key that was set; `None` if the change is a deletion.
    #[serde(rename = "put", default)]
    pub put_key: Option<String>,
    /// The key that was deleted; `None` if the change sets a key.
    #[serde(rename = "delete", default)]
    pub deleted_key: Option<String>,
    /// The new value, if the change sets a key.
    #[serde(default)]
    pub data: Value,
    /// The revision of the key.
    #[serde(rename = "stamp")]
    pub revision: KeyRevision,
}

/// The response of a watch.
#[derive(Clone, Debug, Deserialize)]
pub struct WatchResponse {
    /// The store revision up to which all changes are included; the next watch continues from here.
    #[serde(rename = "epoch")]
    pub store_revision: StoreRevision,
    /// The changes, in order.
    #[serde(default)]
    #[serde(rename = "news")]
    pub events: Vec<WatchEvent>,
}
