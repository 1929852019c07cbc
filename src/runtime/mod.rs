//! The long-lived tasks of one controller: all I/O around the decision core.

mod api;
mod clients;
mod leader;

use crate::coordination::Policy;
use crate::ids::JobId;
use crate::protocol::cloud::MachineTypeInfo;
use crate::settings::Settings;
use crate::time::{Instant, TimeSpan};
use crate::transport::client::Client;
use crate::transport::peer::PeerClient;
use crate::transport::sockets::Sockets;
use api::{peers, routes, users};
use clients::state_store::StateClient;
use clients::{machine_types, open_jobs};
use leader::{election, LeaderCell};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio_util::sync::CancellationToken;

/// What the tasks of one controller share.
pub struct Node {
    pub settings: Settings,
    pub policy: Arc<Policy>,
    pub state: StateClient,
    pub cloud: Client,
    pub workers: Client,
    pub siblings: Vec<PeerClient>,
    /// What each sibling last said of itself, and when.
    pub heard: Mutex<Vec<Option<peers::Heard>>>,
    pub leader: LeaderCell,
    pub machine_types: Mutex<Vec<MachineTypeInfo>>,
    /// Task counts as the leader last told, for display.
    pub counts: Mutex<BTreeMap<JobId, (u32, u32)>>,
    pub copy: open_jobs::OpenCopy,
    pub cancel_news: peers::CancelNews,
    pub finals: Mutex<users::FinalCache>,
    pub user_slots: tokio::sync::Semaphore,
    pub sockets: Sockets,
    pub stop: CancellationToken,
    /// When a worker last reported here, whatever it was answered; negative: never.
    pub last_check_in: AtomicI64,
    began: std::time::Instant,
}

impl Node {
    /// The steady clock, in milliseconds since the process began.
    pub fn now(&self) -> Instant {
        Instant(self.began.elapsed().as_millis() as i64)
    }

    /// How long ago a worker last reported here.
    pub fn workers_heard(&self) -> Option<TimeSpan> {
        let at = self.last_check_in.load(Ordering::Relaxed);
        (at >= 0).then(|| self.now() - Instant(at))
    }
}

/// Time of day, in milliseconds; for deadlines only.
pub fn time_of_day_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

/// A lock whose data stays usable whatever happened to an earlier holder.
pub fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Why a controller can't start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    #[error("the runtime cannot be built: {0}")]
    Runtime(std::io::Error),
    #[error("cannot listen on {what} {addr}: {why}")]
    Listen {
        what: &'static str,
        addr: std::net::SocketAddr,
        why: std::io::Error,
    },
}

/// Runs a controller until its process is killed.
pub fn run(settings: Settings) -> Result<(), StartError> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(StartError::Runtime)?
        .block_on(serve(settings, CancellationToken::new()))
}

/// Runs a controller until the token is cancelled.
pub async fn serve(settings: Settings, stop: CancellationToken) -> Result<(), StartError> {
    let p = &settings.platform;
    let front_socket = listen("front", p.front).await?;
    let peer_socket = listen("peer_bind", p.peer_bind).await?;
    tracing::info!(name = %p.host_name, zone = %p.location, front = %p.front, "controller starts");
    let connect = Duration::from_millis(700);
    let most = p.facts.quota.max_sockets;
    let users = settings.operator.max_user_requests;
    let sockets = Sockets::divide(most, p.siblings.len(), users);
    tracing::debug!(?sockets, "sockets divided");
    let node = Arc::new(Node {
        policy: Arc::new(Policy::new(&settings)),
        state: StateClient::new(p.endpoints.state.to_string(), sockets.to_state),
        cloud: Client::new(connect, sockets.to_cloud),
        // None is kept open: with thousands of machines, one to each would leave none for others,
        // and the next command to the same machine seldom comes soon.
        workers: Client::new(connect, 0),
        siblings: p
            .siblings
            .iter()
            .map(|s| PeerClient::new(s.addr, sockets.to_sibling))
            .collect(),
        heard: Mutex::new(vec![None; p.siblings.len()]),
        leader: LeaderCell::default(),
        machine_types: Mutex::new(Vec::new()),
        counts: Mutex::new(BTreeMap::new()),
        copy: open_jobs::OpenCopy::default(),
        cancel_news: peers::CancelNews::default(),
        finals: Mutex::new(users::FinalCache::default()),
        user_slots: tokio::sync::Semaphore::new(settings.operator.max_user_requests),
        sockets,
        stop: stop.clone(),
        last_check_in: AtomicI64::new(-1),
        began: std::time::Instant::now(),
        settings,
    });
    let tasks = [
        tokio::spawn(routes::serve(node.clone(), front_socket)),
        tokio::spawn(peers::serve(node.clone(), peer_socket)),
        tokio::spawn(machine_types::keep(node.clone())),
        tokio::spawn(open_jobs::keep(node.clone())),
        tokio::spawn(peers::look(node.clone())),
        tokio::spawn(peers::tell_cancelled(node.clone())),
        tokio::spawn(election::campaign(node.clone())),
    ];
    for task in tasks {
        if let Err(e) = task.await {
            tracing::error!(error = %e, "a task of the controller ended");
        }
    }
    Ok(())
}

async fn listen(
    what: &'static str,
    addr: std::net::SocketAddr,
) -> Result<tokio::net::TcpListener, StartError> {
    tokio::net::TcpListener::bind(addr)
        .await
        .map_err(|why| StartError::Listen { what, addr, why })
}
