//! The controller processes, started with the run line of the deploy file.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Settings of a small deployment.
pub struct Facts {
    pub zones: Vec<&'static str>,
    /// Name, guaranteed GPUs and most GPUs.
    pub teams: Vec<(&'static str, f64, f64)>,
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    pub cloud_rps: f64,
    pub list_lag_s: f64,
}

pub struct Controllers {
    run: Vec<String>,
    dir: PathBuf,
    children: Vec<Option<Child>>,
    pub names: Vec<String>,
}

/// Free ports below the range that the system hands out by itself.
pub fn free_ports(count: usize) -> Vec<u16> {
    let first = std::process::id() as usize * 31;
    let ports = (0..18_000).map(|i| (12_000 + (first + i) % 18_000) as u16);
    ports.filter(|port| TcpListener::bind(("127.0.0.1", *port)).is_ok()).take(count).collect()
}

impl Controllers {
    pub fn write(
        run: &str, dir: &Path, fronts: &[String], peers: &[String], facts: &Facts,
        store: &[SocketAddr], cloud: SocketAddr,
    ) -> Controllers {
        let names: Vec<String> = (0..fronts.len()).map(|i| format!("chalkbox-{i}")).collect();
        for (number, front) in fronts.iter().enumerate() {
            let zone = |i: usize| facts.zones[i % facts.zones.len()];
            let mut text = format!(
                "host_name = \"{}\"\nlocation = \"{}\"\nfront = \"{front}\"\npeer_bind = \"{}\"\n",
                names[number], zone(number), peers[number]
            );
            for (peer, addr) in peers.iter().enumerate().filter(|(peer, _)| *peer != number) {
                text += &format!(
                    "[[siblings]]\nhost_name = \"{}\"\nlocation = \"{}\"\naddr = \"{addr}\"\n", names[peer], zone(peer)
                );
            }
            text += &format!(
                "[endpoints]\ncloud = \"{cloud}\"\nstate = \"{}\"\n[facts]\nnodes = {}\nzones = {:?}\nclock_error_ms = 25.0\n",
                store[number % store.len()], fronts.len(), facts.zones
            );
            for (name, gpus, most) in &facts.teams {
                text += &format!(
                    "[[facts.teams]]\nname = \"{name}\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = {gpus:.1}\ngpus_max = {most:.1}\n"
                );
            }
            text += &format!(
                "[facts.workers]\nreport_s = {:.1}\nlease_s = {:.1}\ngang_wait_s = {:.1}\ngang_peer_s = {:.1}\ncancel_s = {:.1}\n\
                 [facts.state]\nrps = {:.1}\nwrite_rps = {:.1}\nvalue_kb = {:.1}\ntxn_ops = {}\n\
                 [facts.cloud]\nrps = {:.1}\nlist_lag_s = {:.1}\n\
                 [facts.quota]\ncores = 0.16\nmemory_mb = 136.0\nmax_sockets = 2500\n",
                facts.report_s, facts.lease_s, facts.gang_wait_s, facts.gang_peer_s, facts.cancel_s,
                facts.rps, facts.write_rps, facts.value_kb, facts.txn_ops, facts.cloud_rps, facts.list_lag_s
            );
            std::fs::write(dir.join(format!("{number}.toml")), text).expect("a settings file");
        }
        Controllers {
            run: run.split_whitespace().map(str::to_owned).collect(),
            dir: dir.to_owned(),
            children: fronts.iter().map(|_| None).collect(),
            names,
        }
    }

    pub fn start(&mut self, number: usize) {
        let log = OpenOptions::new().create(true).append(true).open(self.log_path(number)).expect("a log file");
        let child = Command::new(&self.run[0])
            .args(&self.run[1..])
            .arg(self.dir.join(format!("{number}.toml")))
            .env("LOG_LEVEL", "debug")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("a controller process");
        let mut pids: File = OpenOptions::new().create(true).append(true).open(self.dir.join("pids")).expect("pids");
        let _ = writeln!(pids, "{}", child.id());
        self.children[number] = Some(child);
    }

    pub fn kill(&mut self, number: usize) {
        if let Some(mut child) = self.children[number].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends STOP or CONT.
    pub fn signal(&self, number: usize, name: &str) {
        if let Some(child) = &self.children[number] {
            let _ = Command::new("kill").arg(format!("-{name}")).arg(child.id().to_string()).status();
        }
    }

    /// The controllers that have ended by themselves.
    pub fn ended(&mut self) -> Vec<usize> {
        let children = self.children.iter_mut().enumerate();
        let mut ended = Vec::new();
        for (number, child) in children {
            if child.as_mut().is_some_and(|c| !matches!(c.try_wait(), Ok(None))) {
                ended.push(number);
            }
        }
        ended
    }

    fn log_path(&self, number: usize) -> PathBuf {
        self.dir.join(format!("{number}.log"))
    }

    pub fn log(&self, number: usize) -> String {
        std::fs::read_to_string(self.log_path(number)).unwrap_or_default()
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        for number in 0..self.children.len() {
            self.signal(number, "CONT");
            self.kill(number);
        }
    }
}
