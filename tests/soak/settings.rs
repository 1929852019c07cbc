//! The controllers' settings files.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

/// The settings of all controllers of a run.
pub struct Settings {
    pub http_addrs: Vec<String>,
    pub peer_listen_addrs: Vec<String>,
    /// Addresses of the proxies between controllers, by the connecting controller and its peer.
    pub peer_addrs: BTreeMap<(usize, usize), SocketAddr>,
    pub store_addrs: Vec<SocketAddr>,
    pub cloud_addrs: Vec<SocketAddr>,
    /// Teams, each with its guaranteed GPUs and its GPU limit.
    pub teams: Vec<(&'static str, f64, f64)>,
    pub heartbeat_interval: Duration,
    pub lease: Duration,
    pub gang_wait_timeout: Duration,
    pub gang_peer_timeout: Duration,
    pub cancel_timeout: Duration,
    /// The state store's request rate limit.
    pub store_requests_per_sec: f64,
    /// Largest stored value, in kB. A small limit makes a small cluster need as many pages as a large one.
    pub max_value_kb: f64,
}

impl Settings {
    /// Returns the contents of one controller's settings file.
    pub fn text(&self, number: usize, list_lag_s: f64) -> String {
        let nodes = self.http_addrs.len();
        let mut text = format!(
            "host_name = \"n{number}\"\nlocation = \"a\"\nfront = \"{}\"\npeer_bind = \"{}\"\n",
            self.http_addrs[number], self.peer_listen_addrs[number]
        );
        for peer in (0..nodes).filter(|peer| *peer != number) {
            let addr = self.peer_addrs[&(number, peer)];
            let table = format!(
                "[[siblings]]\nhost_name = \"n{peer}\"\nlocation = \"a\"\naddr = \"{addr}\"\n"
            );
            text.push_str(&table);
        }
        let (cloud, store) = (self.cloud_addrs[number], self.store_addrs[number]);
        let _ = write!(
            text,
            "[endpoints]\ncloud = \"{cloud}\"\nstate = \"{store}\"\n[facts]\nnodes = {nodes}\nclock_error_ms = 10.0\n"
        );
        for (name, gpus, gpus_max) in &self.teams {
            let _ = write!(
                text,
                "[[facts.teams]]\nname = \"{name}\"\ngpus = {gpus:.1}\ngpus_max = {gpus_max:.1}\n"
            );
        }
        let secs = Duration::as_secs_f64;
        let _ = write!(
            text,
            "[facts.workers]\nreport_s = {:.2}\nlease_s = {:.2}\ngang_wait_s = {:.2}\ngang_peer_s = {:.2}\n\
             cancel_s = {:.2}\n[facts.state]\nrps = {:.1}\nwrite_rps = 1000.0\nvalue_kb = {:.2}\ntxn_ops = 8\n\
             [facts.cloud]\nrps = 50.0\nlist_lag_s = {list_lag_s:.2}\n\
             [facts.quota]\ncores = 1.0\nmemory_mb = 500.0\nmax_sockets = 3000\n",
            secs(&self.heartbeat_interval),
            secs(&self.lease),
            secs(&self.gang_wait_timeout),
            secs(&self.gang_peer_timeout),
            secs(&self.cancel_timeout),
            self.store_requests_per_sec,
            self.max_value_kb,
        );
        text
    }
}
