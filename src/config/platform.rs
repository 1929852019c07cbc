//! The platform's settings file, in TOML: what the platform that starts a controller tells it of itself, its
//! peers and the deployment. Unknown fields are ignored.
//!
//! Field names in the file are the platform's; where the code uses another word, serde maps it here.

use serde::Deserialize;
use std::net::SocketAddr;

/// The file that the platform hands over.
#[derive(Debug, Clone, Deserialize)]
pub struct PlatformConfig {
    /// The name of this controller's host, unique among controllers.
    pub host_name: String,
    /// The zone that this controller runs in.
    #[serde(rename = "location")]
    pub zone: String,
    /// Where users, workers and health checks connect to.
    #[serde(rename = "front")]
    pub http_address: SocketAddr,
    /// Where other controllers connect to.
    #[serde(rename = "peer_bind")]
    pub peer_address: SocketAddr,
    /// The other controllers.
    #[serde(rename = "siblings", default)]
    pub peers: Vec<PeerConfig>,
    /// Where the state store and the cloud are.
    pub endpoints: Endpoints,
    /// What is known of the deployment.
    pub facts: DeploymentFacts,
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct PeerConfig {
    /// The name of its host.
    pub host_name: String,
    /// The zone that it runs in.
    #[serde(rename = "location")]
    pub zone: String,
    /// Where it accepts connections from controllers.
    #[serde(rename = "addr")]
    pub address: SocketAddr,
}

/// Where the outside services are.
#[derive(Debug, Clone, Deserialize)]
pub struct Endpoints {
    /// The cloud.
    pub cloud: SocketAddr,
    /// The state store.
    #[serde(rename = "state")]
    pub state_store: SocketAddr,
}

/// What is known of the deployment.
#[derive(Debug, Clone, Deserialize)]
#[serde(expecting = "struct Facts")]
pub struct DeploymentFacts {
    /// By how much clocks of different machines may differ, in milliseconds.
    #[serde(default)]
    pub clock_error_ms: f64,
    /// The teams that may submit jobs.
    pub teams: Vec<Team>,
    /// Service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Slo>,
    /// What workers go by.
    pub workers: WorkerTimes,
    /// What the state store allows.
    pub state: StateStoreLimits,
    /// What the cloud allows.
    pub cloud: CloudLimits,
    /// What this process may use.
    #[serde(rename = "quota")]
    pub process_limits: ProcessLimits,
}

/// A team's quota: guaranteed shares and limits. 0 means none.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// The team's name, as submissions give it.
    pub name: String,
    /// Guaranteed share of CPUs.
    #[serde(default)]
    pub cpus: f64,
    /// Limit of CPUs.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed share of GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Limit of GPUs.
    #[serde(default)]
    pub gpus_max: f64,
}

/// What a service-level objective measures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum SloKind {
    /// The time until a task has started.
    #[serde(rename = "wait")]
    StartDelay,
    /// The time until a job is completed.
    #[serde(rename = "finished")]
    Completion,
    /// Completion within a multiple of the time that a job allows itself.
    #[serde(rename = "deadline")]
    Deadline,
    /// Another, which the scheduler has no use for.
    #[serde(other)]
    Other,
}

/// A service-level objective, as the platform repeats it.
#[derive(Debug, Clone, Deserialize)]
pub struct Slo {
    /// What is measured.
    pub kind: SloKind,
    /// The job class that it holds for; None: all.
    #[serde(default)]
    pub class: Option<String>,
    /// The time allowed, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// For a deadline: how many times the time that the job allows itself.
    #[serde(rename = "times", default)]
    pub deadline_factor: Option<f64>,
}

/// What workers go by, in seconds.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct WorkerTimes {
    /// Between two heartbeats of a worker.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// A worker that gets no response to a heartbeat for this long stops its tasks: its lease has expired.
    pub lease_s: f64,
    /// How long a gang member waits for the others.
    #[serde(rename = "gang_wait_s")]
    pub gang_wait_timeout_s: f64,
    /// After how long without contact a gang member gives another up.
    #[serde(rename = "gang_peer_s")]
    pub gang_peer_timeout_s: f64,
    /// Within this time of a confirmed cancellation no task of the job may run any more.
    pub cancel_s: f64,
}

/// What the state store allows all controllers together.
#[derive(Debug, Clone, Deserialize)]
pub struct StateStoreLimits {
    /// Requests a second.
    pub rps: f64,
    /// Changes a second.
    pub write_rps: f64,
    /// Size of a value, in KiB.
    pub value_kb: f64,
    /// Changes in a transaction.
    pub txn_ops: usize,
    /// What it will allow from some moment on, without notice.
    #[serde(default)]
    pub next: Option<NextStateStoreLimits>,
}

/// Limits that the state store will have; those that are absent stay as they are.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
pub struct NextStateStoreLimits {
    /// Requests a second.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Changes a second.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// Size of a value, in KiB.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Changes in a transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StateStoreLimits {
    /// The limits to keep to: the lower ones of those in force and those to come, since nobody says when
    /// they change and what is refused for its size would be refused for ever.
    pub fn effective(&self) -> StateStoreLimits {
        let next = self.next.unwrap_or_default();
        let lower = |now: f64, next: Option<f64>| next.map_or(now, |n| n.min(now));
        StateStoreLimits {
            rps: lower(self.rps, next.rps),
            write_rps: lower(self.write_rps, next.write_rps),
            value_kb: lower(self.value_kb, next.value_kb),
            txn_ops: next.txn_ops.map_or(self.txn_ops, |n| n.min(self.txn_ops)),
            next: self.next,
        }
    }
}

/// What the cloud allows.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Requests a second.
    pub rps: f64,
    /// How far the machine list may lag behind, in seconds.
    pub list_lag_s: f64,
}

/// What this process may use.
#[derive(Debug, Clone, Deserialize)]
pub struct ProcessLimits {
    /// Processor cores.
    pub cores: f64,
    /// Memory, in MB.
    pub memory_mb: f64,
    /// Sockets open at the same time.
    pub max_sockets: usize,
}
