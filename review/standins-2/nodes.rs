//! The controllers: the project's program, started as the deploy file says, one process each.

use crate::record::Record;
use crate::store::{Limits, Store};
use std::fs;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// What the settings file says beyond addresses.
#[derive(Clone)]
pub struct Facts {
    pub zones: Vec<&'static str>,
    /// Name, guaranteed CPUs, CPU limit, guaranteed GPUs, GPU limit.
    pub teams: Vec<(&'static str, f64, f64, f64, f64)>,
    /// Kind, class, within_s.
    pub objectives: Vec<(&'static str, &'static str, f64)>,
    /// report_s, lease_s, gang_wait_s, gang_peer_s, cancel_s.
    pub workers: [f64; 5],
    pub state: Limits,
    pub cloud_rps: f64,
    /// cores, memory_mb, max_sockets.
    pub quota: (f64, f64, u32),
}

struct Node {
    name: String,
    front: String,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

pub struct Nodes {
    nodes: Mutex<Vec<Node>>,
    program: Vec<String>,
    pub directory: PathBuf,
    record: Arc<Record>,
}

fn free_address() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
    let address = listener.local_addr().expect("no address").to_string();
    (listener, address)
}

/// The words of `run` in the deploy file.
fn run_command() -> Vec<String> {
    let text = fs::read_to_string("deploy/service.toml").expect("no deploy file");
    let line = text
        .lines()
        .find_map(|line| line.trim().strip_prefix("run"))
        .expect("no run line");
    let command = line.trim().trim_start_matches('=').trim().trim_matches('"');
    command.split_whitespace().map(str::to_owned).collect()
}

impl Nodes {
    pub fn new(
        count: usize,
        facts: &Facts,
        store: &Arc<Store>,
        cloud: &str,
        record: Arc<Record>,
    ) -> Arc<Nodes> {
        let directory = std::env::temp_dir().join(format!("chalklug-review-{}", std::process::id()));
        fs::create_dir_all(&directory).expect("no temporary folder");
        let held: Vec<_> = (0..2 * count).map(|_| free_address()).collect();
        let (fronts, peers) = held.split_at(count);
        let name = |n: usize| format!("chalkbox-{n}");
        let zone = |n: usize| facts.zones[n % facts.zones.len()];
        let nodes = (0..count)
            .map(|n| {
                let mut text = format!(
                    "host_name = \"{}\"\nlocation = \"{}\"\nfront = \"{}\"\npeer_bind = \"{}\"\n",
                    name(n),
                    zone(n),
                    fronts[n].1,
                    peers[n].1
                );
                for other in (0..count).filter(|other| *other != n) {
                    text += &format!(
                        "[[siblings]]\nhost_name = \"{}\"\nlocation = \"{}\"\naddr = \"{}\"\n",
                        name(other),
                        zone(other),
                        peers[other].1
                    );
                }
                text += &facts.text(count, &store.new_address(), cloud);
                let settings = directory.join(format!("{}.toml", name(n)));
                fs::write(&settings, text).expect("cannot write the settings");
                Node {
                    name: name(n),
                    front: fronts[n].1.clone(),
                    settings,
                    log: directory.join(format!("{}.log", name(n))),
                    process: None,
                }
            })
            .collect();
        Arc::new(Nodes {
            nodes: Mutex::new(nodes),
            program: run_command(),
            directory,
            record,
        })
    }

    pub fn count(&self) -> usize {
        self.nodes.lock().unwrap().len()
    }

    pub fn front(&self, node: usize) -> String {
        self.nodes.lock().unwrap()[node].front.clone()
    }

    pub fn names(&self) -> Vec<(String, String)> {
        self.nodes
            .lock()
            .unwrap()
            .iter()
            .map(|n| (n.name.clone(), n.front.clone()))
            .collect()
    }

    pub fn position(&self, name: &str) -> Option<usize> {
        self.nodes
            .lock()
            .unwrap()
            .iter()
            .position(|node| node.name == name)
    }

    pub fn start(&self, number: usize) {
        let mut nodes = self.nodes.lock().unwrap();
        let node = &mut nodes[number];
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&node.log)
            .expect("no log");
        let process = Command::new(&self.program[0])
            .args(&self.program[1..])
            .arg(&node.settings)
            .env("LOG_LEVEL", std::env::var("LOG_LEVEL").unwrap_or("info".into()))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("cannot start a controller");
        self.record
            .line(&format!("start {} as process {}", node.name, process.id()));
        node.process = Some(process);
    }

    pub fn kill(&self, number: usize) {
        let mut nodes = self.nodes.lock().unwrap();
        let node = &mut nodes[number];
        if let Some(mut process) = node.process.take() {
            let _ = process.kill();
            let _ = process.wait();
            self.record.line(&format!("killed {}", node.name));
        }
    }

    /// Names of the controllers whose processes have ended by themselves.
    pub fn ended(&self) -> Vec<String> {
        let mut nodes = self.nodes.lock().unwrap();
        let mut ended = Vec::new();
        for node in nodes.iter_mut() {
            if let Some(Ok(Some(status))) = node.process.as_mut().map(Child::try_wait) {
                ended.push(format!("{} ({status})", node.name));
            }
        }
        ended
    }

    pub fn end_all(&self) {
        for number in 0..self.count() {
            self.kill(number);
        }
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.directory);
        }
    }

    pub fn wait_healthy(&self, number: usize, limit: Duration) -> bool {
        let end = std::time::Instant::now() + limit;
        let front = self.front(number);
        while std::time::Instant::now() < end {
            let answer = crate::http::call(&front, "GET", "/healthz", "", Duration::from_secs(1));
            if answer.is_some_and(|(status, _)| status == 200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Facts {
    fn text(&self, count: usize, state: &str, cloud: &str) -> String {
        let zones: Vec<String> = self.zones.iter().map(|zone| format!("\"{zone}\"")).collect();
        let mut text = format!(
            "[endpoints]\ncloud = \"{cloud}\"\nstate = \"{state}\"\n[facts]\nnodes = {count}\nzones = [{}]\nclock_error_ms = 1000.0\n",
            zones.join(", ")
        );
        for (name, cpus, cpus_max, gpus, gpus_max) in &self.teams {
            text += &format!(
                "[[facts.teams]]\nname = \"{name}\"\ncpus = {cpus:.1}\ncpus_max = {cpus_max:.1}\ngpus = {gpus:.1}\ngpus_max = {gpus_max:.1}\n"
            );
        }
        for (kind, class, within) in &self.objectives {
            text += &format!("[[facts.objectives]]\nkind = \"{kind}\"\nclass = \"{class}\"\nwithin_s = {within:.1}\nshare = 0.9\n");
        }
        let [report, lease, wait, peer, cancel] = self.workers;
        text += &format!(
            "[facts.workers]\nreport_s = {report:.1}\nlease_s = {lease:.1}\ngang_wait_s = {wait:.1}\ngang_peer_s = {peer:.1}\ncancel_s = {cancel:.1}\n"
        );
        let Limits {
            rps,
            write_rps,
            value_kb,
            txn_ops,
        } = self.state;
        text += &format!("[facts.state]\nrps = {rps:.1}\nwrite_rps = {write_rps:.1}\nvalue_kb = {value_kb:.1}\ntxn_ops = {txn_ops}\n");
        text += &format!("[facts.cloud]\nrps = {:.1}\nlist_lag_s = 6.0\n", self.cloud_rps);
        let (cores, memory, sockets) = self.quota;
        text +=
            &format!("[facts.quota]\ncores = {cores}\nmemory_mb = {memory:.1}\nmax_sockets = {sockets}\n");
        text
    }
}
