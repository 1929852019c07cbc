//! Machine types: every controller must know them to judge submissions, also while the cloud is
//! down. The leader asks the cloud and keeps a copy on the state service; the others read that, and
//! ask the cloud themselves only while there is no copy.

use crate::coordination::Event;
use crate::protocol::cloud::{MachineTypeInfo, MachineTypeList};
use crate::protocol::state::{Change, Precondition, Transaction};
use crate::runtime::{lock, Node};
use crate::storage::records::CATALOG_KEY;
use hyper::Method;
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;

/// How often a controller refreshes what it knows.
const REFRESH: Duration = Duration::from_secs(20);

/// Keeps the machine types.
pub async fn keep(node: Arc<Node>) {
    loop {
        let known = !lock(&node.machine_types).is_empty();
        let leads = node.leader.leads(node.now());
        let mut pause = REFRESH;
        let found = if known && !leads {
            from_state(&node).await
        } else if leads {
            from_cloud(&node).await
        } else {
            match from_state(&node).await {
                Some(r) => Some(r),
                None => from_cloud(&node).await,
            }
        };
        match found {
            Some(machine_types) => {
                if leads {
                    node.leader
                        .event(node.now(), Event::MachineTypes(machine_types.clone()));
                    if *lock(&node.machine_types) != machine_types || !known {
                        store(&node, &machine_types).await;
                    }
                } else if !known {
                    node.leader
                        .event(node.now(), Event::MachineTypes(machine_types.clone()));
                }
                *lock(&node.machine_types) = machine_types;
            }
            None if known => pause = Duration::from_secs(5),
            None => pause = Duration::from_millis(500 + rand::rng().random_range(0..500)),
        }
        tokio::select! {
            _ = node.stop.cancelled() => return,
            _ = tokio::time::sleep(pause) => {}
        }
    }
}

async fn from_state(node: &Node) -> Option<Vec<MachineTypeInfo>> {
    let item = node.state.get(CATALOG_KEY).await.ok()??;
    let list: MachineTypeList = serde_json::from_value(item.data).ok()?;
    (!list.machine_types.is_empty()).then_some(list.machine_types)
}

async fn from_cloud(node: &Node) -> Option<Vec<MachineTypeInfo>> {
    let cloud = node.settings.platform.endpoints.cloud.to_string();
    let deadline = Duration::from_secs(3);
    let a = node
        .cloud
        .send(Method::GET, &cloud, "/machine_types", None, deadline)
        .await
        .ok()?;
    if a.status != 200 {
        return None;
    }
    let list: MachineTypeList = serde_json::from_slice(&a.body).ok()?;
    (!list.machine_types.is_empty()).then_some(list.machine_types)
}

async fn store(node: &Node, machine_types: &[MachineTypeInfo]) {
    let list = MachineTypeList {
        machine_types: machine_types.to_vec(),
    };
    let Ok(data) = serde_json::to_value(&list) else {
        return;
    };
    let revision = match node.state.get(CATALOG_KEY).await {
        Ok(item) => item.map(|i| i.revision).unwrap_or_default(),
        Err(_) => return,
    };
    let transaction = Transaction {
        preconditions: vec![Precondition {
            key: CATALOG_KEY.into(),
            revision,
        }],
        changes: vec![Change::put(CATALOG_KEY.into(), data)],
    };
    let _ = node.state.transaction(&transaction).await;
}
