//! The catalog of machine types. Every controller needs it to validate submissions, also while the cloud is down.
//!
//! The leader reads the machine types from the cloud and keeps a copy in the state store. The other controllers read
//! the copy; they ask the cloud only while they know no machine types and there is no copy.

use crate::coordination::Event;
use crate::protocol::cloud::{MachineTypeInfo, MachineTypeList};
use crate::protocol::state::{Change, Precondition, Transaction};
use crate::runtime::clients::state_store::StateStoreClient;
use crate::runtime::{lock, Node};
use crate::storage::records::CATALOG_KEY;
use rand::Rng;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The interval between refreshes of the catalog.
const REFRESH_INTERVAL: Duration = Duration::from_secs(20);
/// The delay of a retry while machine types from an earlier read are known.
const RETRY_INTERVAL: Duration = Duration::from_secs(5);
/// The delay of a retry while no machine types are known, plus random jitter of up to the same length.
const FIRST_RETRY_MS: u64 = 500;

/// The machine types that this controller knows; none until the first read.
#[derive(Default)]
pub struct Catalog {
    machine_types: Mutex<Vec<MachineTypeInfo>>,
}

impl Catalog {
    /// Returns the machine types as last read.
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

/// Refreshes the catalog periodically until the controller stops.
pub async fn refresh(node: Arc<Node>) {
    loop {
        let known = !node.catalog.is_empty();
        let leads = node.leadership.is_leader(node.now());
        let pause = match read_machine_types(&node, known, leads).await {
            Some(machine_types) => {
                update_machine_types(&node, machine_types, known, leads).await;
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

/// Reads the machine types: the leader from the cloud, any other controller from the copy in the state store, or from
/// the cloud if it knows no machine types and there is no copy.
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

/// Replaces the known machine types and passes them to the scheduler. The leader also writes the copy if they changed.
async fn update_machine_types(
    node: &Node,
    machine_types: Vec<MachineTypeInfo>,
    known: bool,
    leads: bool,
) {
    if leads || !known {
        let event = Event::MachineTypes(machine_types.clone());
        node.leadership.handle_event(node.now(), event);
    }
    if leads && (!known || node.catalog.differs_from(&machine_types)) {
        write_stored(&node.state_store, &machine_types).await;
    }
    node.catalog.replace(machine_types);
}

async fn read_stored(state_store: &StateStoreClient) -> Option<Vec<MachineTypeInfo>> {
    let item = state_store.get(CATALOG_KEY).await.ok()??;
    let list: MachineTypeList = serde_json::from_value(item.data).ok()?;
    (!list.machine_types.is_empty()).then_some(list.machine_types)
}

/// Writes the copy to the state store. A failure is harmless: the next change or the next leader writes it again.
async fn write_stored(state_store: &StateStoreClient, machine_types: &[MachineTypeInfo]) {
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
