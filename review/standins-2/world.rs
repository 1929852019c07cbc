//! A small deployment: the state service, the cloud with its machines, the controllers and the users.

use crate::fleet::{Fleet, MachineType, Offer, WorkerTimes};
use crate::nodes::{Facts, Nodes};
use crate::record::Record;
use crate::store::{Limits, Store};
use crate::users::Users;
use std::sync::Arc;
use std::time::{Duration, Instant};

pub struct World {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub fleet: Arc<Fleet>,
    pub nodes: Arc<Nodes>,
    pub users: Users,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

/// The result of a case.
pub enum Verdict {
    Held,
    Broken(String),
    CouldNotRun(String),
}

/// The deployment of a case. Numbers are those of the Tsagaan Agaar pages.
pub struct Site {
    pub nodes: usize,
    pub facts: Facts,
    pub types: Vec<MachineType>,
    pub offers: Vec<Offer>,
    pub boot: Duration,
}

pub const ZONES: [&str; 3] = ["bayangol", "chingeltei", "nalaikh"];

impl Site {
    /// The first version's deployment: three controllers, up to 34 ordinary machines and ten spot machines.
    pub fn small() -> Site {
        Site {
            nodes: 3,
            facts: Facts {
                zones: ZONES.to_vec(),
                teams: vec![
                    ("calibration", 0.0, 0.0, 16.0, 60.0),
                    ("forecasting", 0.0, 0.0, 24.0, 56.0),
                    ("field-ops", 0.0, 0.0, 32.0, 72.0),
                    ("health-liaison", 0.0, 0.0, 48.0, 168.0),
                    ("data-platform", 0.0, 0.0, 40.0, 136.0),
                ],
                objectives: vec![("wait", "drift-retrain", 120.0)],
                workers: [3.0, 26.0, 40.0, 4.0, 51.0],
                state: Limits {
                    rps: 120.0,
                    write_rps: 25.0,
                    value_kb: 4.0,
                    txn_ops: 8,
                },
                cloud_rps: 5.0,
                quota: (0.16, 136.0, 2500),
            },
            types: vec![MachineType {
                name: "khangai-box",
                cpus: 64.0,
                gpus: 8.0,
                ram_gb: 256.0,
                boot_s: 25.0,
            }],
            offers: vec![
                Offer {
                    rig: "khangai-box",
                    site: "bayangol",
                    ordinary: 11,
                    spot: 4,
                },
                Offer {
                    rig: "khangai-box",
                    site: "chingeltei",
                    ordinary: 12,
                    spot: 3,
                },
                Offer {
                    rig: "khangai-box",
                    site: "nalaikh",
                    ordinary: 11,
                    spot: 3,
                },
            ],
            boot: Duration::from_millis(1500),
        }
    }

    /// The Sunwai deployment with job chains: seven controllers. Only the machines are fewer.
    pub fn with_chains() -> Site {
        let zones = ["lahore-campus", "karachi-colo"];
        let offer = |site| Offer {
            rig: "chenab-node",
            site,
            ordinary: 4,
            spot: 2,
        };
        Site {
            nodes: 7,
            facts: Facts {
                zones: zones.to_vec(),
                teams: vec![
                    ("speech-lab", 0.0, 0.0, 800.0, 3000.0),
                    ("editorial", 0.0, 0.0, 1200.0, 3500.0),
                    ("partner-desk", 0.0, 0.0, 700.0, 1200.0),
                ],
                objectives: vec![("wait", "asr-train", 20.0)],
                workers: [5.0, 31.0, 40.0, 6.0, 56.0],
                state: Limits {
                    rps: 100.0,
                    write_rps: 25.0,
                    value_kb: 8.0,
                    txn_ops: 20,
                },
                cloud_rps: 4.0,
                quota: (0.08, 136.0, 3000),
            },
            types: vec![MachineType {
                name: "chenab-node",
                cpus: 48.0,
                gpus: 4.0,
                ram_gb: 384.0,
                boot_s: 30.0,
            }],
            offers: zones.map(offer).to_vec(),
            boot: Duration::from_millis(1500),
        }
    }
}

impl World {
    pub fn start(site: Site, record: Arc<Record>, trouble: bool) -> World {
        let Site {
            nodes,
            facts,
            types,
            offers,
            boot,
        } = site;
        let [report_s, lease_s, gang_wait_s, _, cancel_s] = facts.workers;
        let times = WorkerTimes {
            report_s,
            lease_s,
            gang_wait_s,
            cancel_s,
        };
        let store = Store::new(facts.state);
        let fleet = Fleet::new(types, offers, times, boot, record.clone());
        for (name, _, cpus_max, _, gpus_max) in &facts.teams {
            fleet.set_team_limit(name, *cpus_max, *gpus_max);
        }
        let nodes = Nodes::new(nodes, &facts, &store, &fleet.cloud_address(), record.clone());
        fleet.set_nodes(nodes.names());
        let users = Users::new(nodes.clone(), fleet.clone(), record.clone());
        World {
            record,
            store,
            fleet,
            nodes,
            users,
            trouble,
        }
    }

    /// Starts all controllers, and waits until they are healthy and one of them leads.
    pub fn start_nodes(&self) -> bool {
        (0..self.nodes.count()).for_each(|node| self.nodes.start(node));
        let healthy =
            (0..self.nodes.count()).all(|node| self.nodes.wait_healthy(node, Duration::from_secs(10)));
        healthy && self.wait(Duration::from_secs(15), || self.leader().is_some())
    }

    pub fn leader(&self) -> Option<usize> {
        self.nodes.position(&self.store.leader()?)
    }

    /// Waits until the condition holds.
    pub fn wait(&self, limit: Duration, condition: impl Fn() -> bool) -> bool {
        let end = Instant::now() + limit;
        loop {
            if condition() {
                return true;
            }
            if Instant::now() > end {
                return false;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    pub fn violations(&self) -> Vec<String> {
        self.fleet.state().violations.clone()
    }

    pub fn end(&self) {
        for ended in self.nodes.ended() {
            self.record
                .line(&format!("a controller ended by itself: {ended}"));
        }
        self.nodes.end_all();
    }
}
