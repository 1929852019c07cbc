//! The client of the cloud: machine types, the machine list, scale-out and scale-in.

use crate::ids::MachineId;
use crate::protocol::cloud::{
    ListedMachine, MachineListPage, MachineTypeInfo, MachineTypeList, RentReply, RentRequest,
    TerminateRequest,
};
use crate::transport::client::{HttpClient, HttpResponse};
use hyper::Method;
use std::time::Duration;

/// The number of machines on a page of the machine list, the maximum that the cloud allows.
pub const LIST_PAGE_SIZE: usize = 500;
/// The timeout of a call, except for machine types.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);
/// The timeout of a request for the machine types.
const MACHINE_TYPES_TIMEOUT: Duration = Duration::from_secs(3);
/// The timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// The outcome of a request to rent machines.
#[derive(Debug)]
pub enum RentOutcome {
    /// The machines with these ids were rented.
    Rented(Vec<MachineId>),
    /// The cloud has no capacity for the requested machines at the moment.
    NoCapacity,
    /// The machines may have been rented; the request has to be repeated with the same idempotency key.
    Unknown,
}

/// The client of the cloud's HTTP API.
pub struct CloudClient {
    http: HttpClient,
    address: String,
}

impl CloudClient {
    /// Creates a client for the cloud at `address` that keeps at most `max_idle_connections` idle connections.
    pub fn new(address: String, max_idle_connections: usize) -> Self {
        CloudClient {
            http: HttpClient::new(CONNECT_TIMEOUT, max_idle_connections),
            address,
        }
    }

    /// Reads the machine types; None if the request fails or the list is empty.
    pub async fn machine_types(&self) -> Option<Vec<MachineTypeInfo>> {
        let path = "/machine_types";
        let response = self
            .send(Method::GET, path, None, MACHINE_TYPES_TIMEOUT)
            .await?;
        if response.status != 200 {
            return None;
        }
        let list: MachineTypeList = serde_json::from_slice(&response.body).ok()?;
        (!list.machine_types.is_empty()).then_some(list.machine_types)
    }

    /// Reads the whole machine list, page by page; None if any page fails.
    pub async fn list_machines(&self) -> Option<Vec<ListedMachine>> {
        let mut machines: Vec<ListedMachine> = Vec::new();
        loop {
            let since = machines
                .last()
                .map_or(String::new(), |last| format!("since={}&", last.id));
            let path = format!("/rentals?{since}most={LIST_PAGE_SIZE}");
            let response = self.send(Method::GET, &path, None, CALL_TIMEOUT).await?;
            if response.status != 200 {
                return None;
            }
            let page: MachineListPage = serde_json::from_slice(&response.body).ok()?;
            let more = page.has_more && !page.machines.is_empty();
            machines.extend(page.machines);
            if !more {
                return Some(machines);
            }
        }
    }

    /// Rents machines. The idempotency key in the request makes a repeated request rent no further machines.
    pub async fn rent(&self, request: &RentRequest) -> RentOutcome {
        let body = serde_json::to_vec(request).unwrap_or_default();
        let response = self
            .send(Method::POST, "/rentals", Some(body), CALL_TIMEOUT)
            .await;
        match response {
            Some(HttpResponse { status: 200, body }) => {
                match serde_json::from_slice::<RentReply>(&body) {
                    Ok(reply) => RentOutcome::Rented(reply.machine_ids),
                    Err(_) => RentOutcome::Unknown,
                }
            }
            Some(HttpResponse { status: 503, body })
                if String::from_utf8_lossy(&body).contains("no capacity") =>
            {
                RentOutcome::NoCapacity
            }
            _ => RentOutcome::Unknown,
        }
    }

    /// Terminates machines. Returns whether the cloud has confirmed the termination.
    pub async fn terminate_machines(
        &self,
        request: &TerminateRequest,
    ) -> Result<bool, serde_json::Error> {
        let body = serde_json::to_vec(request)?;
        let response = self
            .send(Method::POST, "/rentals/return", Some(body), CALL_TIMEOUT)
            .await;
        Ok(response.is_some_and(|response| response.status == 200))
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        timeout: Duration,
    ) -> Option<HttpResponse> {
        self.http
            .send(method, &self.address, path, body, timeout)
            .await
            .ok()
    }
}
