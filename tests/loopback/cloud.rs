//! A fake cloud that speaks the published protocol. A rented machine runs at once, with a fake worker; requests to
//! terminate machines fail.

use super::http::serve;
use super::worker::{start_worker, WorkerLog};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

struct Cloud {
    controllers: Vec<String>,
    log: Arc<WorkerLog>,
    /// All machines rented so far, as listed to the controllers.
    machines: Mutex<Vec<Value>>,
}

impl Cloud {
    fn handle(&self, path: &str, body: &Value) -> (u16, Value) {
        if path == "/machine_types" {
            return (200, machine_types());
        }
        if path == "/rentals" && body["hire"].is_string() {
            return (200, json!({"hosts": [self.rent()]}));
        }
        if path.starts_with("/rentals/return") {
            return (503, json!({"error": "trouble"}));
        }
        let machines = self.machines.lock().expect("the lock is not poisoned");
        (200, json!({"hosts": *machines, "hasNext": false}))
    }

    /// Rents one machine, regardless of the number requested. Returns its name.
    fn rent(&self) -> String {
        let mut machines = self.machines.lock().expect("the lock is not poisoned");
        let name = format!("host-{:06}", machines.len() + 1);
        let endpoint = start_worker(&name, self.controllers.clone(), self.log.clone());
        machines.push(
            json!({"ref": name, "endpoint": endpoint, "rig": "box", "site": "a",
            "loaners": false, "phase": "running", "heldS": 1.0}),
        );
        name
    }
}

fn machine_types() -> Value {
    json!({"rigs": [{"sku": "box", "cpus": 8, "gpus": 2, "ramGb": 32, "localGb": 50, "fetchGbPerS": 1.0,
        "hourly": 5.0, "marketPrice": 2.0, "bootS": 5, "sites": ["a"]}]})
}

/// Starts a cloud whose workers send heartbeats to the controllers with these HTTP addresses.
pub fn start_cloud(controllers: Vec<String>, log: Arc<WorkerLog>) -> SocketAddr {
    let cloud = Cloud {
        controllers,
        log,
        machines: Mutex::default(),
    };
    serve(Arc::new(move |_, path, body| cloud.handle(path, body)))
}
