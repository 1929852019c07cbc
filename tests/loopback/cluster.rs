//! A cluster of controller processes, with a fake state store, a fake cloud and fake workers.

use super::client::{heartbeat, wait_for};
use super::cloud::start_cloud;
use super::http::http;
use super::state_store::{start_state_store, StateStore};
use super::store_proxy::StoreProxy;
use super::worker::WorkerLog;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// A process that runs `chalklug serve`.
pub struct Controller {
    child: Child,
    config: PathBuf,
    /// The address for users and workers.
    pub http_addr: String,
}

impl Controller {
    /// Starts the process. Its log goes to standard error if `LOOPBACK_LOG` is set.
    fn start(config: &Path, http_addr: &str) -> Controller {
        let log = match std::env::var_os("LOOPBACK_LOG") {
            Some(_) => Stdio::inherit(),
            None => Stdio::null(),
        };
        let mut command = Command::new(env!("CARGO_BIN_EXE_chalklug"));
        command.args(["serve", "--config"]).arg(config).stderr(log);
        let operator = config.with_file_name("operator.json");
        if operator.exists() {
            command.arg("--operator").arg(operator);
        }
        Controller {
            child: command.spawn().expect("the process starts"),
            config: config.into(),
            http_addr: http_addr.into(),
        }
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process can be killed");
        self.child.wait().expect("the process exits");
    }

    /// Starts a killed controller again, with the same settings.
    pub fn restart(&mut self) {
        let restarted = Controller::start(&self.config, &self.http_addr);
        *self = restarted;
    }

    pub fn wait_until_healthy(&self) {
        wait_for("the controller's health check to succeed", || {
            let (status, _) = http(&self.http_addr, "GET", "/healthz", b"")?;
            (status == 200).then_some(())
        });
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The settings of a cluster's controllers that tests vary.
pub struct ClusterOptions<'a> {
    /// Part of the name of the cluster's directory.
    pub name: &'a str,
    pub controllers: usize,
    pub max_sockets: usize,
    pub cancel_secs: f64,
    /// The state store's request rate limit in the settings.
    pub store_requests_per_sec: f64,
    /// The content of the operator's settings file; None starts the controllers without one.
    pub operator: Option<&'a str>,
}

impl<'a> ClusterOptions<'a> {
    pub fn new(name: &'a str) -> ClusterOptions<'a> {
        ClusterOptions {
            name,
            controllers: 3,
            max_sockets: 500,
            cancel_secs: 30.0,
            store_requests_per_sec: 1000.0,
            operator: None,
        }
    }

    /// Returns options with a long lease of the leader, so that it doesn't expire because the machine that runs the
    /// test is busy.
    pub fn with_long_leader_lease(name: &'a str) -> ClusterOptions<'a> {
        ClusterOptions {
            cancel_secs: 90.0,
            operator: Some(r#"{"leader_life_ms": 40000}"#),
            ..ClusterOptions::new(name)
        }
    }
}

/// Controllers, each with a proxy of its own to the state store.
pub struct Cluster {
    pub controllers: Vec<Controller>,
    /// The addresses of the controllers for users and workers, in the order of `controllers`.
    pub http_addrs: Vec<String>,
    pub state_store: Arc<StateStore>,
    pub store_proxies: Vec<StoreProxy>,
    pub worker_log: Arc<WorkerLog>,
    directory: PathBuf,
}

impl Cluster {
    /// Starts a cluster with three controllers and the default options.
    pub fn start(name: &str) -> Cluster {
        Cluster::start_with(&ClusterOptions::new(name))
    }

    /// Starts all controllers and waits until they are healthy.
    pub fn start_with(options: &ClusterOptions) -> Cluster {
        let count = options.controllers;
        let ports = free_ports(2 * count);
        let (http_ports, peer_ports) = ports.split_at(count);
        let http_addrs: Vec<String> = http_ports.iter().map(|port| loopback(*port)).collect();
        let worker_log = Arc::new(WorkerLog::new());
        let (state_store, store_addr) = start_state_store();
        let store_proxies: Vec<StoreProxy> =
            (0..count).map(|_| StoreProxy::start(store_addr)).collect();
        let cloud = start_cloud(http_addrs.clone(), worker_log.clone());
        let directory = create_directory(options);
        let controllers: Vec<Controller> = (0..count)
            .map(|index| {
                let settings = Settings {
                    options,
                    index,
                    http_addr: &http_addrs[index],
                    peer_ports,
                    cloud,
                    store: store_proxies[index].addr,
                };
                let config = directory.join(format!("n{index}.toml"));
                std::fs::write(&config, settings.to_toml()).expect("the settings can be written");
                Controller::start(&config, &http_addrs[index])
            })
            .collect();
        for controller in &controllers {
            controller.wait_until_healthy();
        }
        Cluster {
            controllers,
            http_addrs,
            state_store,
            store_proxies,
            worker_log,
            directory,
        }
    }

    /// Waits until a controller leads. Returns its index and its fencing token.
    pub fn wait_for_leader(&self, sequence_numbers: &mut SequenceNumbers) -> (usize, u64) {
        self.wait_for_leader_except(sequence_numbers, None)
    }

    /// Waits until a controller other than `excluded` leads. Returns its index and its fencing token.
    pub fn wait_for_leader_except(
        &self,
        sequence_numbers: &mut SequenceNumbers,
        excluded: Option<usize>,
    ) -> (usize, u64) {
        wait_for("a controller to lead", || {
            let mut http_addrs = self.http_addrs.iter().enumerate();
            http_addrs.find_map(|(index, http_addr)| {
                if Some(index) == excluded {
                    return None;
                }
                let (status, token) = heartbeat(http_addr, sequence_numbers.next())?;
                (status == 200).then_some((index, token))
            })
        })
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// The sequence numbers of the unknown machine's heartbeats.
#[derive(Default)]
pub struct SequenceNumbers(u64);

impl SequenceNumbers {
    pub fn next(&mut self) -> u64 {
        self.0 += 1;
        self.0
    }
}

fn loopback(port: u16) -> String {
    format!("127.0.0.1:{port}")
}

fn create_directory(options: &ClusterOptions) -> PathBuf {
    let name = format!("chalklug-{}-{}", options.name, std::process::id());
    let directory = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&directory).expect("the directory can be created");
    if let Some(text) = options.operator {
        std::fs::write(directory.join("operator.json"), text)
            .expect("the operator's settings can be written");
    }
    directory
}

/// The settings of one controller.
struct Settings<'a> {
    options: &'a ClusterOptions<'a>,
    index: usize,
    http_addr: &'a str,
    peer_ports: &'a [u16],
    cloud: SocketAddr,
    store: SocketAddr,
}

impl Settings<'_> {
    fn to_toml(&self) -> String {
        let Settings {
            options,
            index,
            http_addr,
            cloud,
            store,
            ..
        } = self;
        let ClusterOptions {
            controllers,
            max_sockets,
            cancel_secs,
            store_requests_per_sec,
            ..
        } = options;
        let peer_bind = loopback(self.peer_ports[*index]);
        let peers = self.peers();
        format!(
            "host_name = \"n{index}\"\nlocation = \"a\"\nfront = \"{http_addr}\"\npeer_bind = \"{peer_bind}\"\nnew_field = 1\n{peers}\n\
             [endpoints]\ncloud = \"{cloud}\"\nstate = \"{store}\"\n[facts]\nnodes = {controllers}\nclock_error_ms = 10.0\n\
             [[facts.teams]]\nname = \"blue\"\ngpus = 4.0\ngpus_max = 20.0\n\
             [facts.workers]\nreport_s = 0.3\nlease_s = 20.0\ngang_wait_s = 20.0\ngang_peer_s = 4.0\ncancel_s = {cancel_secs}\n\
             [facts.state]\nrps = {store_requests_per_sec:.1}\nwrite_rps = 500.0\nvalue_kb = 4.0\ntxn_ops = 8\n\
             [facts.cloud]\nrps = 50.0\nlist_lag_s = 1.0\n[facts.quota]\ncores = 1.0\nmemory_mb = 500.0\nmax_sockets = {max_sockets}\n"
        )
    }

    /// Returns the settings' tables of the other controllers.
    fn peers(&self) -> String {
        let mut text = String::new();
        for (peer, port) in self.peer_ports.iter().enumerate() {
            if peer != self.index {
                let addr = loopback(*port);
                let table = format!(
                    "[[siblings]]\nhost_name = \"n{peer}\"\nlocation = \"a\"\naddr = \"{addr}\"\n"
                );
                text.push_str(&table);
            }
        }
        text
    }
}

/// Returns free ports for controllers to listen on: below the range of ephemeral ports, and no port twice in a process.
///
/// If the system chose the port, a connection of another test could get the same port after the check that it is free
/// and before the controller listens; the controller would fail to start.
fn free_ports(count: usize) -> Vec<u16> {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    const MIN_PORT: u64 = 12_000;
    const PORTS: u64 = 18_000;
    let first = u64::from(std::process::id()) * 97;
    let port = || (MIN_PORT + (first + NEXT.fetch_add(1, Ordering::Relaxed)) % PORTS) as u16;
    (0..PORTS)
        .map(|_| port())
        .filter(|port| TcpListener::bind(("127.0.0.1", *port)).is_ok())
        .take(count)
        .collect()
}
