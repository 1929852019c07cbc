//! A fake cloud, which rents machines up to a limit, lists them with a lag, and terminates or reclaims them.

use super::cluster::Shared;
use super::faults::Link;
use super::http::{serve, HttpRequest, HttpResponse};
use super::links::{no_response, Delivery};
use super::store_data::query_parameter;
use super::worker;
use super::world::MachineKind;
use rand::Rng;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// The zones in which machines can be rented.
pub const ZONES: [&str; 3] = ["a", "b", "c"];
/// Longest lag until a rented machine is listed, in seconds, as stated in the controllers' settings.
pub const LIST_LAG_SECS: f64 = 1.0;
/// The actual lag until a rented machine is listed.
const LIST_LAG: Duration = Duration::from_millis(800);
const BOOT_MS: std::ops::Range<u64> = 200..2_500;
/// The share of rented machines that never boot.
const BOOT_FAILURE_SHARE: f64 = 0.03;

/// A machine type that the cloud offers.
struct Offer {
    name: &'static str,
    cpus: f64,
    gpus: f64,
    ram_gb: f64,
    price: f64,
    zones: &'static [&'static str],
}

const OFFERS: [Offer; 2] = [
    Offer {
        name: "box",
        cpus: 16.0,
        gpus: 4.0,
        ram_gb: 64.0,
        price: 5.0,
        zones: &ZONES,
    },
    Offer {
        name: "far",
        cpus: 32.0,
        gpus: 8.0,
        ram_gb: 128.0,
        price: 9.0,
        zones: &["a", "b"],
    },
];

/// A rented machine.
struct Rental {
    kind: MachineKind,
    rented_at: Instant,
}

#[derive(Default)]
struct Data {
    rentals: BTreeMap<String, Rental>,
    /// The machines rented for each idempotency key.
    responses: BTreeMap<String, Vec<String>>,
    last_number: u32,
    refuses_until: Option<Instant>,
}

/// The fake cloud.
pub struct Cloud {
    data: Mutex<Data>,
    shared: Arc<Shared>,
    max_machines: usize,
}

impl Cloud {
    pub fn new(shared: Arc<Shared>, max_machines: usize) -> Arc<Cloud> {
        Arc::new(Cloud {
            data: Mutex::default(),
            shared,
            max_machines,
        })
    }

    /// Opens a port for one controller, and returns its address.
    pub async fn port_for(self: &Arc<Cloud>, controller: usize) -> SocketAddr {
        let cloud = self.clone();
        serve(move |request| {
            let cloud = cloud.clone();
            async move { cloud.handle(controller, request).await }
        })
        .await
    }

    fn lock(&self) -> MutexGuard<'_, Data> {
        self.data.lock().expect("cloud data lock poisoned")
    }

    /// Refuses all requests for the given duration.
    pub fn refuse(&self, duration: Duration) {
        self.lock().refuses_until = Some(Instant::now() + duration);
    }

    /// Stops refusing requests.
    pub fn clear_faults(&self) {
        self.lock().refuses_until = None;
    }

    /// Reclaims a machine without notice.
    pub fn reclaim(&self, id: &str) {
        self.lock().rentals.remove(id);
        self.shared.world().machine_removed(id);
    }

    async fn handle(&self, controller: usize, request: HttpRequest) -> HttpResponse {
        let link = Link::Cloud(controller);
        if self.shared.links.deliver_request(link).await == Delivery::Lost {
            no_response().await;
        }
        let is_refusing = self
            .lock()
            .refuses_until
            .is_some_and(|until| Instant::now() < until);
        let response = if is_refusing {
            (503, json!({"error": "trouble"}))
        } else {
            self.execute(&request)
        };
        if self.shared.links.deliver_response(link) == Delivery::Lost {
            no_response().await;
        }
        response
    }

    fn execute(&self, request: &HttpRequest) -> HttpResponse {
        match (request.method.as_str(), request.path.as_str()) {
            (_, "/machine_types") => (200, machine_types()),
            ("POST", "/rentals") => self.rent(&request.body),
            ("POST", "/rentals/return") => self.terminate(&request.body),
            _ => self.list(&request.path),
        }
    }

    fn rent(&self, body: &Value) -> HttpResponse {
        let mut data = self.lock();
        let key = body["hire"]
            .as_str()
            .expect("rental request has no idempotency key")
            .to_owned();
        if let Some(hosts) = data.responses.get(&key) {
            return (200, json!({"hosts": hosts}));
        }
        let Some(kind) = requested_kind(body) else {
            return (400, json!({}));
        };
        let free = self.max_machines.saturating_sub(data.rentals.len());
        let count = free.min(body["number"].as_u64().unwrap_or(0) as usize);
        if count == 0 {
            return (503, json!({"error": "no capacity"}));
        }
        let hosts: Vec<String> = (0..count)
            .map(|_| {
                data.last_number += 1;
                let id = format!("host-{:06}", data.last_number);
                let rented_at = Instant::now();
                let kind = kind.clone();
                data.rentals.insert(id.clone(), Rental { kind, rented_at });
                id
            })
            .collect();
        data.responses.insert(key, hosts.clone());
        drop(data);
        for id in &hosts {
            self.boot(id.clone(), kind.clone());
        }
        (200, json!({"hosts": hosts}))
    }

    fn boot(&self, id: String, kind: MachineKind) {
        if rand::rng().random_bool(BOOT_FAILURE_SHARE) {
            return;
        }
        let shared = self.shared.clone();
        tokio::spawn(async move {
            let boot_ms = rand::rng().random_range(BOOT_MS);
            tokio::time::sleep(Duration::from_millis(boot_ms)).await;
            if shared.is_rented(&id) {
                worker::start(shared, id, kind).await;
            }
        });
    }

    fn terminate(&self, body: &Value) -> HttpResponse {
        for host in body["hosts"].as_array().into_iter().flatten() {
            self.reclaim(host.as_str().unwrap_or_default());
        }
        (200, json!({}))
    }

    fn list(&self, path: &str) -> HttpResponse {
        let since = query_parameter(path, "since").unwrap_or_default();
        let most = query_parameter(path, "most").and_then(|most| most.parse().ok());
        let most: usize = most.unwrap_or(500);
        let data = self.lock();
        let world = self.shared.world();
        let listed = data
            .rentals
            .iter()
            .filter(|(id, rental)| id.as_str() > since && rental.rented_at.elapsed() > LIST_LAG);
        let mut hosts: Vec<Value> = listed
            .take(most + 1)
            .map(|(id, rental)| {
                let age = rental.rented_at.elapsed();
                let machine = world.machines.get(id);
                let endpoint = machine.map_or("", |machine| machine.endpoint.as_str());
                let phase = machine.map_or("starting", |_| "running");
                worker::list_entry(id, &rental.kind, endpoint, phase, age)
            })
            .collect();
        let has_next = hosts.len() > most;
        hosts.truncate(most);
        (200, json!({"hosts": hosts, "hasNext": has_next}))
    }

    /// Returns whether the machine is rented.
    pub fn is_rented(&self, id: &str) -> bool {
        self.lock().rentals.contains_key(id)
    }
}

/// Returns the kind of machine that a request asks for, or None if it is not offered.
fn requested_kind(body: &Value) -> Option<MachineKind> {
    let name = body["rig"].as_str()?;
    let zone = body["site"].as_str()?;
    let offer = OFFERS.iter().find(|offer| offer.name == name)?;
    let zone = offer.zones.iter().find(|offered| **offered == zone)?;
    Some(MachineKind {
        machine_type: offer.name,
        zone,
        spot: body["loaners"].as_bool()?,
        cpus: offer.cpus,
        gpus: offer.gpus,
        ram_gb: offer.ram_gb,
    })
}

fn machine_types() -> Value {
    let offers = OFFERS.iter().map(|offer| {
        json!({"sku": offer.name, "cpus": offer.cpus, "gpus": offer.gpus, "ramGb": offer.ram_gb, "localGb": 50,
            "fetchGbPerS": 2.0, "hourly": offer.price, "marketPrice": offer.price / 3.0, "bootS": 1.5,
            "sites": offer.zones})
    });
    json!({"rigs": offers.collect::<Vec<Value>>()})
}
