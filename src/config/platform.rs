//! The platform's settings file, in TOML, which describes the controller, its peers and the deployment. Unknown
//! fields are ignored.
//!
//! The platform defines the field names in the file; where the code uses another name, a serde attribute maps it.

use serde::Deserialize;
use std::net::SocketAddr;

/// The contents of the platform's settings file.
#[derive(Debug, Clone, Deserialize)]
pub struct PlatformConfig {
    /// The name of this controller's host, unique among controllers.
    pub host_name: String,
    /// The zone that this controller runs in.
    #[serde(rename = "location")]
    pub zone: String,
    /// Listen address for users, workers and health checks.
    #[serde(rename = "front")]
    pub http_address: SocketAddr,
    /// Listen address for the other controllers.
    #[serde(rename = "peer_bind")]
    pub peer_address: SocketAddr,
    /// The other controllers.
    #[serde(rename = "siblings", default)]
    pub peers: Vec<PeerConfig>,
    /// Addresses of the state store and the cloud.
    pub endpoints: Endpoints,
    /// The deployment's teams, objectives, timeouts and limits.
    pub facts: DeploymentFacts,
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct PeerConfig {
    /// The name of the peer's host.
    pub host_name: String,
    /// The zone that the peer runs in.
    #[serde(rename = "location")]
    pub zone: String,
    /// Address at which the peer accepts connections from controllers.
    #[serde(rename = "addr")]
    pub address: SocketAddr,
}

/// Addresses of the external services.
#[derive(Debug, Clone, Deserialize)]
pub struct Endpoints {
    /// The cloud.
    pub cloud: SocketAddr,
    /// The state store.
    #[serde(rename = "state")]
    pub state_store: SocketAddr,
}

/// The deployment's teams, objectives, timeouts and limits.
#[derive(Debug, Clone, Deserialize)]
#[serde(expecting = "struct Facts")]
pub struct DeploymentFacts {
    /// Largest difference between the clocks of two machines, in milliseconds.
    #[serde(default)]
    pub clock_error_ms: f64,
    /// The teams that may submit jobs.
    pub teams: Vec<Team>,
    /// Service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Slo>,
    /// Intervals and timeouts of the workers.
    pub workers: WorkerTimes,
    /// Limits of the state store.
    pub state: StateStoreLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// Resource limits of this process.
    #[serde(rename = "quota")]
    pub process_limits: ProcessLimits,
}

/// A team's quota: guaranteed shares and limits. 0 means none.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// The team's name, as given in submissions.
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
    /// Completion within a multiple of the time from a job's submission to its deadline.
    #[serde(rename = "deadline")]
    Deadline,
    /// A kind that the scheduler ignores.
    #[serde(other)]
    Other,
}

/// A service-level objective.
#[derive(Debug, Clone, Deserialize)]
pub struct Slo {
    /// What is measured.
    pub kind: SloKind,
    /// The job class that the objective applies to. An objective without a class is ignored.
    #[serde(default)]
    pub class: Option<String>,
    /// The time allowed, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// For a deadline: the factor by which the time from submission to deadline is multiplied.
    #[serde(rename = "times", default)]
    pub deadline_factor: Option<f64>,
}

/// Intervals and timeouts of the workers, in seconds.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct WorkerTimes {
    /// Interval between two heartbeats of a worker.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// Duration of a worker's lease: a worker that gets no response to a heartbeat for this long stops its tasks.
    pub lease_s: f64,
    /// How long a gang member waits for the other members.
    #[serde(rename = "gang_wait_s")]
    pub gang_wait_timeout_s: f64,
    /// Time without contact after which a gang member considers another member failed.
    #[serde(rename = "gang_peer_s")]
    pub gang_peer_timeout_s: f64,
    /// Time after the confirmation of a cancellation by which all tasks of the job must have stopped.
    pub cancel_s: f64,
}

/// Limits of the state store, shared by all controllers.
#[derive(Debug, Clone, Deserialize)]
pub struct StateStoreLimits {
    /// Requests per second.
    pub rps: f64,
    /// Changes per second.
    pub write_rps: f64,
    /// Largest size of a value, in KiB.
    pub value_kb: f64,
    /// Changes per transaction.
    pub txn_ops: usize,
    /// Limits that will apply from an unannounced time on.
    #[serde(default)]
    pub next: Option<NextStateStoreLimits>,
}

/// Limits that the state store will change to; absent ones stay as they are.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
pub struct NextStateStoreLimits {
    /// Requests per second.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Changes per second.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// Largest size of a value, in KiB.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Changes per transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StateStoreLimits {
    /// Returns the limits to observe: the lower of the current and the next value of each, since the time of the
    /// change is not announced, and a transaction rejected for its size would be rejected on every retry.
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

/// Limits of the cloud.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Requests per second.
    pub rps: f64,
    /// Largest lag of the machine list, in seconds.
    pub list_lag_s: f64,
}

/// Resource limits of this process.
#[derive(Debug, Clone, Deserialize)]
pub struct ProcessLimits {
    /// Processor cores.
    pub cores: f64,
    /// Memory, in MB.
    pub memory_mb: f64,
    /// Sockets open at the same time.
    pub max_sockets: usize,
}
