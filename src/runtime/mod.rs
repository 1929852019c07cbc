//! All I/O of one controller, around the deterministic scheduler in [`crate::coordination`].
//!
//! - `api`: HTTP for users, workers and health checks; the responses to other controllers;
//! - `leader`: election, the lease, the step loop and carrying out effects;
//! - `clients`: the state store, the cloud, the peers, and what a controller knows through them;
//! - `node`: what the tasks of one controller share, and its locks.
//!
//! `api` uses `leader` and `clients`; `leader` uses `clients`. Nothing here decides what runs where.

mod api;
mod clients;
mod leader;
mod node;

use crate::config::Config;
use node::{lock, unix_time_ms, Node, STATE_STORE_REACHABILITY_TIMEOUT};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// Why a controller can't start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The asynchronous runtime can't be built.
    #[error("cannot build the asynchronous runtime: {0}")]
    Runtime(std::io::Error),
    /// An address of the settings can't be listened on.
    #[error("cannot listen on {setting} {address}: {source}")]
    Listen {
        /// The field of the platform's settings.
        setting: &'static str,
        /// Its value.
        address: SocketAddr,
        /// What the operating system says.
        source: std::io::Error,
    },
}

/// Runs a controller until its process is killed.
pub fn run(config: Config) -> Result<(), StartError> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(StartError::Runtime)?
        .block_on(serve(config, CancellationToken::new()))
}

/// Runs a controller until the token is cancelled.
pub async fn serve(config: Config, stop: CancellationToken) -> Result<(), StartError> {
    let listeners = Listeners::bind(&config).await?;
    log_start(&config);
    let node = Arc::new(Node::new(config, stop));
    for task in spawn_tasks(&node, listeners) {
        if let Err(error) = task.await {
            tracing::error!(%error, "controller task failed");
        }
    }
    Ok(())
}

/// The sockets on which a controller accepts connections.
struct Listeners {
    /// Users, workers and health checks.
    http: TcpListener,
    /// Other controllers.
    peers: TcpListener,
}

impl Listeners {
    async fn bind(config: &Config) -> Result<Listeners, StartError> {
        let platform = &config.platform;
        Ok(Listeners {
            http: listen("front", platform.http_address).await?,
            peers: listen("peer_bind", platform.peer_address).await?,
        })
    }
}

async fn listen(setting: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| StartError::Listen {
        setting,
        address,
        source,
    })
}

fn log_start(config: &Config) {
    let platform = &config.platform;
    tracing::info!(
        name = %platform.host_name,
        zone = %platform.zone,
        front = %platform.http_address,
        "controller started"
    );
}

/// Starts the tasks that every controller runs, whether it is the leader or not.
fn spawn_tasks(node: &Arc<Node>, listeners: Listeners) -> [JoinHandle<()>; 7] {
    [
        tokio::spawn(api::routes::serve(node.clone(), listeners.http)),
        tokio::spawn(api::peers::serve(node.clone(), listeners.peers)),
        tokio::spawn(clients::catalog::refresh(node.clone())),
        tokio::spawn(clients::open_job_cache::refresh(node.clone())),
        tokio::spawn(clients::peers::probe(node.clone())),
        tokio::spawn(clients::peers::broadcast_cancellations(node.clone())),
        tokio::spawn(leader::run(node.clone())),
    ]
}
