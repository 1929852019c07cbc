//! Controllers -> state service.

use crate::ids::{KeyRevision, LeaseId, StoreRevision};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// One key as it stands.
#[derive(Clone, Debug, Deserialize)]
pub struct KeyValue {
    pub key: String,
    #[serde(default)]
    pub data: Value,
    #[serde(rename = "stamp")]
    pub revision: KeyRevision,
    #[serde(rename = "hold", default)]
    pub lease: Option<LeaseId>,
}

/// One page of a listing.
#[derive(Clone, Debug, Deserialize)]
pub struct KeyValuePage {
    pub pairs: Vec<KeyValue>,
    #[serde(rename = "hasNext", default)]
    pub more: bool,
    #[serde(rename = "epoch")]
    pub store_revision: StoreRevision,
}

/// A condition: the key has this version (0: absent).
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Precondition {
    pub key: String,
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

/// A change.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Change {
    Put {
        put: String,
        data: Value,
        #[serde(rename = "hold", skip_serializing_if = "Option::is_none")]
        lease: Option<LeaseId>,
    },
    Delete {
        delete: String,
    },
}

impl Change {
    /// A lasting put.
    pub fn put(key: String, data: Value) -> Change {
        Change::Put {
            put: key,
            data,
            lease: None,
        }
    }
    /// The key changed.
    pub fn key(&self) -> &str {
        match self {
            Change::Put { put, .. } => put,
            Change::Delete { delete } => delete,
        }
    }
}

/// All or nothing.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Transaction {
    #[serde(rename = "guards")]
    pub preconditions: Vec<Precondition>,
    #[serde(rename = "apply")]
    pub changes: Vec<Change>,
}

/// The revision in force, in many answers.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct AtRevision {
    #[serde(rename = "epoch")]
    pub store_revision: StoreRevision,
}

/// The answer to a transaction whose guards failed.
#[derive(Clone, Debug, Deserialize)]
pub struct Conflict {
    #[serde(default)]
    pub failed: Vec<String>,
}

/// The answer to granting a lease.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Granted {
    #[serde(rename = "hold")]
    pub lease: LeaseId,
}

/// One change told by a watch.
#[derive(Clone, Debug, Deserialize)]
pub struct WatchEvent {
    #[serde(default)]
    pub put: Option<String>,
    #[serde(default)]
    pub delete: Option<String>,
    #[serde(default)]
    pub data: Value,
    #[serde(rename = "stamp")]
    pub revision: KeyRevision,
}

/// The answer of a watch.
#[derive(Clone, Debug, Deserialize)]
pub struct WatchResponse {
    #[serde(rename = "epoch")]
    pub store_revision: StoreRevision,
    #[serde(default)]
    #[serde(rename = "news")]
    pub events: Vec<WatchEvent>,
}
