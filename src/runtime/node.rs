//! What the tasks of one controller share.
//!
//! **Locks.** Each shared part keeps its own lock, private to it, around plain data:
//!
//! | part | its lock guards |
//! | --- | --- |
//! | [`LeadershipState`] | the scheduler of an active leader; the other leader as last read; the end of a cool-down |
//! | [`Peers`] | what peers last said; cancellations still to be broadcast |
//! | [`Catalog`] | the machine types |
//! | [`OpenJobCache`] | lookups that wait for the next read |
//! | [`TerminalStateCache`] | the cached terminal states |
//! | [`TaskCountsFromLeader`] | the task counts that the leader last sent |
//!
//! A holder of one of these locks takes none of the others, so there is no order to keep among them. Only the
//! counters of the activity log are locked below another lock, that of the active leader. No lock is held over
//! an `await`: each is taken and released inside of one method that isn't `async`, or one expression.

use crate::config::Config;
use crate::coordination::Policy;
use crate::coordination::TaskCounts;
use crate::ids::JobId;
use crate::runtime::clients::catalog::Catalog;
use crate::runtime::clients::cloud::CloudClient;
use crate::runtime::clients::job_lookup::TerminalStateCache;
use crate::runtime::clients::open_job_cache::OpenJobCache;
use crate::runtime::clients::peers::Peers;
use crate::runtime::clients::state_store::StateStoreClient;
use crate::runtime::leader::LeadershipState;
use crate::time::{Instant, TimeSpan};
use crate::transport::client::HttpClient;
use crate::transport::peer::PeerClient;
use crate::transport::sockets::SocketAllocation;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

/// The state store counts as reachable for this long after it last served this controller.
pub const STATE_STORE_REACHABILITY_TIMEOUT: Duration = Duration::from_millis(2000);

/// Time allowed to connect to a worker.
const WORKER_CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// What `last_heartbeat_ms` holds before the first heartbeat.
const NO_HEARTBEAT: i64 = -1;

/// What the tasks of one controller share.
pub struct Node {
    /// The checked settings.
    pub config: Config,
    /// What the scheduler derives from them.
    pub policy: Arc<Policy>,
    /// The client of the state store.
    pub state_store: StateStoreClient,
    /// The client of the cloud.
    pub cloud: CloudClient,
    /// The HTTP client for commands that are pushed to workers.
    pub worker_client: HttpClient,
    /// The other controllers.
    pub peers: Peers,
    /// Whether this controller is the leader, and its scheduler if it is.
    pub leadership: LeadershipState,
    /// The machine types.
    pub catalog: Catalog,
    /// The task counts that the leader last sent.
    pub task_counts: TaskCountsFromLeader,
    /// The cache of open jobs.
    pub open_jobs: OpenJobCache,
    /// The cache of terminal states.
    pub terminal_states: TerminalStateCache,
    /// One permit for each user request that may be handled at the same time.
    pub user_request_slots: Semaphore,
    /// How the process's sockets are divided.
    pub sockets: SocketAllocation,
    /// Cancelled when the controller is to stop.
    pub stop: CancellationToken,
    /// When a worker last sent a heartbeat here, whatever the response was.
    last_heartbeat_ms: AtomicI64,
    started: std::time::Instant,
}

impl Node {
    /// A controller with these settings that has not contacted anybody yet.
    pub fn new(config: Config, stop: CancellationToken) -> Node {
        let platform = &config.platform;
        let max_user_requests = config.operator.max_user_requests;
        let max_sockets = platform.facts.process_limits.max_sockets;
        let sockets = SocketAllocation::new(max_sockets, platform.peers.len(), max_user_requests);
        tracing::debug!(?sockets, "sockets allocated");
        let peer_clients = platform
            .peers
            .iter()
            .map(|peer| PeerClient::new(peer.address, sockets.idle_per_peer))
            .collect();
        let endpoints = &platform.endpoints;
        Node {
            policy: Arc::new(Policy::new(&config)),
            state_store: StateStoreClient::new(
                endpoints.state_store.to_string(),
                sockets.state_store,
            ),
            cloud: CloudClient::new(endpoints.cloud.to_string(), sockets.cloud),
            // None is kept open: with thousands of machines, one to each would leave none for others,
            // and the next command to the same machine seldom comes soon.
            worker_client: HttpClient::new(WORKER_CONNECT_TIMEOUT, 0),
            peers: Peers::new(peer_clients),
            leadership: LeadershipState::default(),
            catalog: Catalog::default(),
            task_counts: TaskCountsFromLeader::default(),
            open_jobs: OpenJobCache::default(),
            terminal_states: TerminalStateCache::default(),
            user_request_slots: Semaphore::new(max_user_requests),
            sockets,
            stop,
            last_heartbeat_ms: AtomicI64::new(NO_HEARTBEAT),
            started: std::time::Instant::now(),
            config,
        }
    }

    /// The steady clock, in milliseconds since the process began.
    pub fn now(&self) -> Instant {
        Instant(self.started.elapsed().as_millis() as i64)
    }

    /// A worker has sent a heartbeat here.
    pub fn heartbeat_received(&self) {
        let now = self.now();
        self.last_heartbeat_ms.store(now.0, Ordering::Relaxed);
    }

    /// How long ago a worker last sent a heartbeat here; None if none ever did.
    pub fn time_since_heartbeat(&self) -> Option<TimeSpan> {
        let last_ms = self.last_heartbeat_ms.load(Ordering::Relaxed);
        (last_ms != NO_HEARTBEAT).then(|| self.now() - Instant(last_ms))
    }

    /// Whether the state store served this controller a moment ago.
    pub fn state_store_reachable(&self) -> bool {
        self.state_store.time_since_success() < STATE_STORE_REACHABILITY_TIMEOUT
    }
}

/// The task counts that the leader last sent, for display in responses to polls.
#[derive(Default)]
pub struct TaskCountsFromLeader {
    by_job: Mutex<BTreeMap<JobId, TaskCounts>>,
}

impl TaskCountsFromLeader {
    /// The counts of one job; zeros if none are known.
    pub fn of(&self, id: &JobId) -> TaskCounts {
        lock(&self.by_job).get(id).copied().unwrap_or_default()
    }

    /// Replaces all counts.
    pub fn replace(&self, counts: BTreeMap<JobId, TaskCounts>) {
        *lock(&self.by_job) = counts;
    }
}

/// Time of day in milliseconds since the Unix epoch; for times that outlive this process only.
pub fn unix_time_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since_epoch| since_epoch.as_millis() as u64)
}

/// Locks a mutex, also one whose earlier holder panicked: the data is plain values that stay usable.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}
