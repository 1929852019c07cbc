//! Machine types: every controller must know them to judge submissions, also while the cloud is down.
//!
//! The leader asks the cloud and keeps a copy in the state store; the others read that copy, and ask the cloud
//! themselves only while they know no machine types and there is no copy.

use crate::coordination::Event;
use crate::protocol::cloud::{MachineTypeInfo, MachineTypeList};
use crate::protocol::state::{Change, Precondition, Transaction};
use crate::runtime::clients::state_store::StateStoreClient;
use crate::runtime::{lock, Node};
use crate::storage::records::CATALOG_KEY;
use rand::Rng;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How often a controller refreshes what it knows.
const REFRESH_INTERVAL: Duration = Duration::from_secs(20);
/// How soon it tries again after a failure, if it knows machine types from before.
const RETRY_INTERVAL: Duration = Duration::from_secs(5);
/// How soon it tries again while it knows none, plus a random part up to the same again.
const FIRST_RETRY_MS: u64 = 500;

/// The machine types that this controller knows; empty until the first read.
#[derive(Default)]
pub struct Catalog {
    machine_types: Mutex<Vec<MachineTypeInfo>>,
}

impl Catalog {
    /// The machine types as last read.
    pub fn machine_types(&self) -> Vec<MachineTypeInfo> {
        lock(&self.machine_types).clone()
    }

    fn is_empty(&self) -> bool {
        lock(&self.machine_types).is_empty()
    }

    fn differs_from(&self, machine_types: &[MachineTypeInfo]) -> bool {
        *lock(&self.machine_types) != machine_types
    }

    fn replace(&self, machine_types: Vec<MachineTypeInfo>) {
        *lock(&self.machine_types) = machine_types;
    }
}

/// Keeps the catalog up to date until the controller stops.
pub async fn refresh(node: Arc<Node>) {
    loop {
        let known = !node.catalog.is_empty();
        let leads = node.leadership.is_leader(node.now());
        let pause = match read_machine_types(&node, known, leads).await {
            Some(machine_types) => {
                take_in(&node, machine_types, known, leads).await;
                REFRESH_INTERVAL
            }
            None if known => RETRY_INTERVAL,
            None => {
                let jitter_ms = rand::rng().random_range(0..FIRST_RETRY_MS);
                Duration::from_millis(FIRST_RETRY_MS + jitter_ms)
            }
        };
        tokio::select! {
            _ = node.stop.cancelled() => return,
            _ = tokio::time::sleep(pause) => {}
        }
    }
}

/// Reads the machine types from where this controller has to look for them.
async fn read_machine_types(node: &Node, known: bool, leads: bool) -> Option<Vec<MachineTypeInfo>> {
    if leads {
        return node.cloud.machine_types().await;
    }
    let stored = read_stored(&node.state_store).await;
    if known || stored.is_some() {
        return stored;
    }
    node.cloud.machine_types().await
}

/// Takes in what was read: the scheduler is told, and the leader stores what is new.
async fn take_in(node: &Node, machine_types: Vec<MachineTypeInfo>, known: bool, leads: bool) {
    if leads || !known {
        let event = Event::MachineTypes(machine_types.clone());
        node.leadership.handle_event(node.now(), event);
    }
    if leads && (!known || node.catalog.differs_from(&machine_types)) {
        store(&node.state_store, &machine_types).await;
    }
    node.catalog.replace(machine_types);
}

async fn read_stored(state_store: &StateStoreClient) -> Option<Vec<MachineTypeInfo>> {
    let item = state_store.get(CATALOG_KEY).await.ok()??;
    let list: MachineTypeList = serde_json::from_value(item.data).ok()?;
    (!list.machine_types.is_empty()).then_some(list.machine_types)
}

/// Stores the copy. A failure is harmless: the next change or the next leader stores it again.
async fn store(state_store: &StateStoreClient, machine_types: &[MachineTypeInfo]) {
    let list = MachineTypeList {
        machine_types: machine_types.to_vec(),
    };
    let Ok(data) = serde_json::to_value(&list) else {
        return;
    };
    let revision = match state_store.get(CATALOG_KEY).await {
        Ok(item) => item.map(|item| item.revision).unwrap_or_default(),
        Err(_) => return,
    };
    let transaction = Transaction {
        preconditions: vec![Precondition {
            key: CATALOG_KEY.into(),
            revision,
        }],
        changes: vec![Change::put(CATALOG_KEY.into(), data)],
    };
    let _ = state_store.transaction(&transaction).await;
}
