//! The worker of one machine on the network: heartbeats to the controllers in turn, and pushed commands.

use super::cluster::Shared;
use super::faults::Link;
use super::http::{serve, HttpRequest, HttpResponse};
use super::links::{no_response, Delivery};
use super::world::MachineKind;
use rand::Rng;
use serde_json::{json, Value};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
const MIN_HEARTBEAT_GAP: Duration = Duration::from_millis(250);
const POLL_INTERVAL: Duration = Duration::from_millis(30);
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
const NEXT_CONTROLLER_DELAY: Duration = Duration::from_millis(400);
/// How much later a copy of a heartbeat, or a late push, arrives.
const LATE_DELIVERY_MS: std::ops::Range<u64> = 500..7_000;

/// Starts the worker of a machine that is up from now on.
pub async fn start(shared: Arc<Shared>, id: String, kind: MachineKind) {
    let zone = shared.zone_number(kind.zone);
    let (served, served_id) = (shared.clone(), id.clone());
    let addr = serve(move |request| {
        let (shared, id) = (served.clone(), served_id.clone());
        async move { handle(shared, &id, zone, request).await }
    })
    .await;
    let endpoint = addr.to_string();
    shared
        .world()
        .machine_up(Instant::now(), &id, kind, endpoint);
    tokio::spawn(async move {
        let first = rand::rng().random_range(0..shared.http_addrs.len());
        let mut heartbeats = Heartbeats {
            shared,
            id,
            zone,
            controller: first,
        };
        while heartbeats.send_next().await {}
    });
}

/// Waits for as long as the machine hangs. False if it is gone.
async fn wait_while_hanging(shared: &Shared, id: &str) -> bool {
    loop {
        let until = shared.world().hangs_until(id, Instant::now());
        let Some(until) = until else {
            return shared.world().machines.contains_key(id);
        };
        tokio::time::sleep_until(until.into()).await;
    }
}

/// A pushed command, or a request for the status.
async fn handle(shared: Arc<Shared>, id: &str, zone: usize, request: HttpRequest) -> HttpResponse {
    let link = Link::Pushes(zone);
    if shared.links.deliver_request(link).await == Delivery::Lost
        || !wait_while_hanging(&shared, id).await
    {
        no_response().await;
    }
    let mut status_code = 200;
    if request.path == "/commands" {
        if shared.should_delay_push() {
            execute_push_late(shared.clone(), id.to_owned(), request.body);
            no_response().await;
            return (503, Value::Null);
        }
        let executed = shared.world().push(Instant::now(), id, &request.body);
        status_code = if executed { 200 } else { 409 };
    }
    if shared.links.deliver_response(link) == Delivery::Lost {
        no_response().await;
    }
    match shared.world().status(id) {
        Some(status) => (status_code, status),
        None => (503, Value::Null),
    }
}

/// Commands that were held up on their way are executed once, late, if token and session still match.
fn execute_push_late(shared: Arc<Shared>, id: String, body: Value) {
    tokio::spawn(async move {
        let delay_ms = rand::rng().random_range(LATE_DELIVERY_MS);
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        if wait_while_hanging(&shared, &id).await {
            shared.world().push(Instant::now(), &id, &body);
        }
    });
}

/// Sends heartbeats to one controller, and to others when it does not answer.
struct Heartbeats {
    shared: Arc<Shared>,
    id: String,
    zone: usize,
    controller: usize,
}

impl Heartbeats {
    /// Waits until a heartbeat is due, and sends it. False if the machine is gone.
    async fn send_next(&mut self) -> bool {
        let started_at = Instant::now();
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            let waited = started_at.elapsed();
            let has_changes = match self.shared.world().machines.get(&self.id) {
                Some(machine) => machine.has_changes,
                None => return false,
            };
            if waited >= HEARTBEAT_INTERVAL || (has_changes && waited >= MIN_HEARTBEAT_GAP) {
                break;
            }
        }
        if !wait_while_hanging(&self.shared, &self.id).await {
            return false;
        }
        if !self.send().await {
            self.controller = (self.controller + 1) % self.shared.http_addrs.len();
            tokio::time::sleep(NEXT_CONTROLLER_DELAY).await;
        }
        true
    }

    /// Sends a heartbeat; false if another controller is to be tried, one not named by this one.
    async fn send(&mut self) -> bool {
        let (session, status) = {
            let mut world = self.shared.world();
            world.advance(Instant::now());
            let Some(status) = world.status(&self.id) else {
                return true;
            };
            if let Some(machine) = world.machines.get_mut(&self.id) {
                machine.has_changes = false;
            }
            (world.session(&self.id).unwrap_or(0), status.to_string())
        };
        self.send_duplicate_if_faulty(&status);
        let sent_at = Instant::now();
        let response = tokio::time::timeout(RESPONSE_TIMEOUT, self.exchange(status)).await;
        let Ok(Some((status, body))) = response else {
            return false;
        };
        // Whatever arrives while the machine hangs is taken in afterwards, if the lease still holds.
        if !wait_while_hanging(&self.shared, &self.id).await {
            return true;
        }
        match status {
            200 => {
                self.shared.record_leader(self.controller);
                let now = Instant::now();
                if now.duration_since(sent_at) < RESPONSE_TIMEOUT {
                    let mut world = self.shared.world();
                    world.heartbeat_answered(now, &self.id, session, sent_at, &body);
                }
                true
            }
            421 => self.follow_redirect(&body),
            _ => false,
        }
    }

    /// Goes to the controller that this one names. False if it names none, or itself.
    fn follow_redirect(&mut self, body: &Value) -> bool {
        let leader = body["foreman"].as_str();
        let number = leader.and_then(|name| self.shared.controller_number(name));
        match number.filter(|number| *number != self.controller) {
            Some(number) => {
                self.controller = number;
                true
            }
            None => false,
        }
    }

    async fn exchange(&self, status: String) -> Option<HttpResponse> {
        let link = Link::Heartbeats(self.zone, self.controller);
        if self.shared.links.deliver_request(link).await == Delivery::Lost {
            no_response().await;
        }
        let addr = &self.shared.http_addrs[self.controller];
        let timeout = RESPONSE_TIMEOUT;
        let client = &self.shared.client;
        let response = client.send(addr, "POST", "/checkin", status, timeout).await;
        if self.shared.links.deliver_response(link) == Delivery::Lost {
            no_response().await;
        }
        response
    }

    /// A copy of the heartbeat arrives again later, at any controller; nobody waits for its response.
    fn send_duplicate_if_faulty(&self, status: &str) {
        if !self.shared.should_duplicate_heartbeat() {
            return;
        }
        let (shared, status) = (self.shared.clone(), status.to_owned());
        tokio::spawn(async move {
            let delay_ms = rand::rng().random_range(LATE_DELIVERY_MS);
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            let number = rand::rng().random_range(0..shared.http_addrs.len());
            let addr = &shared.http_addrs[number];
            let timeout = RESPONSE_TIMEOUT;
            shared
                .client
                .send(addr, "POST", "/checkin", status, timeout)
                .await;
        });
    }
}

/// What a machine of that name looks like in the cloud's list.
pub fn list_entry(
    id: &str,
    kind: &MachineKind,
    endpoint: &str,
    phase: &str,
    age: Duration,
) -> Value {
    json!({"ref": id, "endpoint": endpoint, "rig": kind.machine_type, "site": kind.zone,
        "loaners": kind.spot, "phase": phase, "heldS": age.as_secs_f64()})
}
