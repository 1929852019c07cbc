//! The state that the tasks of one controller share.
//!
//! **Locks.** Each component has a private lock around plain data:
//!
//! | component | data under its lock |
//! | --- | --- |
//! | [`LeadershipState`] | the scheduler of an active leader; the other leader as last read; the end of a cool-down |
//! | [`Peers`] | the last status of each peer; cancellations still to be broadcast |
//! | [`Catalog`] | the machine types |
//! | [`OpenJobCache`] | lookups that wait for the next read of the open jobs |
//! | [`DependencyLists`] | the dependency lists that were read from dependency pages |
//! | [`TerminalStateCache`] | the cached terminal states |
//! | [`TaskCountsFromLeader`] | the task counts that the leader last sent |
//!
//! No task acquires one of these locks while it holds another, so no lock order is needed. The one nested lock is
//! that of the activity log's counters, which is acquired under the lock of the active leader. No lock is held
//! across an `await`: each is acquired and released within one non-`async` method or one expression. Two asynchronous
//! locks are held during reads of the state store, so that concurrent reads don't request the same keys: one for
//! dependency lists, one for the terminal records of many upstream jobs. Neither is acquired while the other is held.

use crate::config::Config;
use crate::coordination::Policy;
use crate::coordination::TaskCounts;
use crate::ids::JobId;
use crate::runtime::clients::catalog::Catalog;
use crate::runtime::clients::cloud::CloudClient;
use crate::runtime::clients::dependency_lists::DependencyLists;
use crate::runtime::clients::job_lookup::TerminalStateCache;
use crate::runtime::clients::open_job_cache::OpenJobCache;
use crate::runtime::clients::peers::Peers;
use crate::runtime::clients::read_pacer::ReadPacer;
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

/// The state store counts as reachable for this long after it last served a request of this controller.
pub const STATE_STORE_REACHABILITY_TIMEOUT: Duration = Duration::from_millis(2000);

/// The timeout for connecting to a worker.
const WORKER_CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// The value of `last_heartbeat_ms` before the first heartbeat.
const NO_HEARTBEAT: i64 = -1;

/// The state that the tasks of one controller share.
pub struct Node {
    /// The validated settings.
    pub config: Config,
    /// The scheduler's settings, derived from `config`.
    pub policy: Arc<Policy>,
    /// The client of the state store.
    pub state_store: StateStoreClient,
    /// The client of the cloud.
    pub cloud: CloudClient,
    /// The HTTP client that pushes commands to workers.
    pub worker_client: HttpClient,
    /// The other controllers.
    pub peers: Peers,
    /// Whether this controller is the leader, and its scheduler if it is.
    pub leadership: LeadershipState,
    /// The known machine types.
    pub catalog: Catalog,
    /// The task counts that the leader last sent.
    pub task_counts: TaskCountsFromLeader,
    /// The cache of the open jobs.
    pub open_jobs: OpenJobCache,
    /// The dependency lists of open jobs that don't fit into the open job records.
    pub dependency_lists: DependencyLists,
    /// The cache of terminal states.
    pub terminal_states: TerminalStateCache,
    /// Limits concurrent user requests: each holds one permit while it is handled.
    pub user_request_slots: Semaphore,
    /// The allocation of the process's sockets.
    pub sockets: SocketAllocation,
    /// Cancelled to stop the controller.
    pub stop: CancellationToken,
    /// When this controller last received a heartbeat, in milliseconds since `started`, whatever the response was.
    last_heartbeat_ms: AtomicI64,
    started: std::time::Instant,
}

impl Node {
    /// Creates a controller that has not sent any request yet.
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
                ReadPacer::new(&platform.facts.state, platform.peers.len() + 1),
            ),
            cloud: CloudClient::new(endpoints.cloud.to_string(), sockets.cloud),
            // No idle connections: with thousands of machines, one to each would use up the sockets, and two
            // pushes to the same machine seldom follow each other closely.
            worker_client: HttpClient::new(WORKER_CONNECT_TIMEOUT, 0),
            peers: Peers::new(peer_clients),
            leadership: LeadershipState::default(),
            catalog: Catalog::default(),
            task_counts: TaskCountsFromLeader::default(),
            open_jobs: OpenJobCache::default(),
            dependency_lists: DependencyLists::default(),
            terminal_states: TerminalStateCache::default(),
            user_request_slots: Semaphore::new(max_user_requests),
            sockets,
            stop,
            last_heartbeat_ms: AtomicI64::new(NO_HEARTBEAT),
            started: std::time::Instant::now(),
            config,
        }
    }

    /// Reads the monotonic clock, in milliseconds since this controller started.
    pub fn now(&self) -> Instant {
        Instant(self.started.elapsed().as_millis() as i64)
    }

    /// Records that a heartbeat was received now.
    pub fn record_heartbeat(&self) {
        let now = self.now();
        self.last_heartbeat_ms.store(now.0, Ordering::Relaxed);
    }

    /// Returns the time since this controller last received a heartbeat; None if it never received one.
    pub fn time_since_heartbeat(&self) -> Option<TimeSpan> {
        let last_ms = self.last_heartbeat_ms.load(Ordering::Relaxed);
        (last_ms != NO_HEARTBEAT).then(|| self.now() - Instant(last_ms))
    }

    /// Whether the state store has served a request within [`STATE_STORE_REACHABILITY_TIMEOUT`].
    pub fn state_store_reachable(&self) -> bool {
        self.state_store.time_since_success() < STATE_STORE_REACHABILITY_TIMEOUT
    }
}

/// The task counts that the leader last sent; used only for display in responses to users.
#[derive(Default)]
pub struct TaskCountsFromLeader {
    by_job: Mutex<BTreeMap<JobId, TaskCounts>>,
}

impl TaskCountsFromLeader {
    /// Returns the counts of one job; zeros if none are known.
    pub fn get(&self, id: &JobId) -> TaskCounts {
        lock(&self.by_job).get(id).copied().unwrap_or_default()
    }

    /// Replaces the counts of all jobs.
    pub fn replace(&self, counts: BTreeMap<JobId, TaskCounts>) {
        *lock(&self.by_job) = counts;
    }
}

/// Returns the Unix time in milliseconds; only for times that outlive the process.
pub fn unix_time_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since_epoch| since_epoch.as_millis() as u64)
}

/// Locks a mutex and ignores poisoning: the guarded data is plain values that stay valid after a panic.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}
