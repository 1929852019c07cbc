//! Controllers -> state service.

use crate::ids::{Epoch, LeaseId, Stamp};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// One key as it stands.
#[derive(Clone, Debug, Deserialize)]
pub struct Item {
    pub key: String,
    #[serde(default)]
    pub data: Value,
    pub stamp: Stamp,
    #[serde(rename = "hold", default)]
    pub lease: Option<LeaseId>,
}

/// One page of a listing.
#[derive(Clone, Debug, Deserialize)]
pub struct Page {
    pub pairs: Vec<Item>,
    #[serde(rename = "hasNext", default)]
    pub more: bool,
    pub epoch: Epoch,
}

/// A condition: the key has this version (0: absent).
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Guard {
    pub key: String,
    pub stamp: Stamp,
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
pub struct Txn {
    pub guards: Vec<Guard>,
    pub apply: Vec<Change>,
}

/// The revision in force, in many answers.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct AtEpoch {
    pub epoch: Epoch,
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
pub struct News {
    #[serde(default)]
    pub put: Option<String>,
    #[serde(default)]
    pub delete: Option<String>,
    #[serde(default)]
    pub data: Value,
    pub stamp: Stamp,
}

/// The answer of a watch.
#[derive(Clone, Debug, Deserialize)]
pub struct NewsPage {
    pub epoch: Epoch,
    #[serde(default)]
    pub news: Vec<News>,
}
