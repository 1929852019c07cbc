//! What a scenario starts with: teams, machine types, limits.

use super::{parse, Words};
use crate::simulation::Simulation;
use chalklug::config::*;
use chalklug::coordination::Policy;
use chalklug::ids::{MachineType, Zone};
use chalklug::protocol::cloud::MachineTypeInfo;

/// So many pushes may await their responses at once.
const MAX_PUSHES: usize = 96;

/// What a scenario starts with.
pub struct Setup {
    pub facts: DeploymentFacts,
    pub machine_types: Vec<MachineTypeInfo>,
    /// The cloud lets so many machines run.
    pub max_machines: u32,
    pub seed: u64,
    /// Leaders come and go by their leases.
    pub elections: bool,
}

impl Default for Setup {
    /// What holds unless a scenario says otherwise.
    fn default() -> Setup {
        Setup {
            facts: DeploymentFacts {
                clock_error_ms: 0.0,
                teams: Vec::new(),
                objectives: Vec::new(),
                workers: WorkerTimes {
                    heartbeat_interval_s: 3.0,
                    lease_s: 20.0,
                    gang_wait_timeout_s: 30.0,
                    gang_peer_timeout_s: 4.0,
                    cancel_s: 40.0,
                },
                state: StateStoreLimits {
                    rps: 100.0,
                    write_rps: 25.0,
                    value_kb: 4.0,
                    txn_ops: 8,
                    next: None,
                },
                cloud: CloudLimits {
                    rps: 5.0,
                    list_lag_s: 6.0,
                },
                process_limits: ProcessLimits {
                    cores: 0.1,
                    memory_mb: 100.0,
                    max_sockets: 1000,
                },
            },
            machine_types: Vec::new(),
            max_machines: 20,
            seed: 1,
            elections: false,
        }
    }
}

impl Setup {
    /// A setup of these lines.
    pub fn from_lines(lines: &[&str]) -> Setup {
        let mut setup = Setup::default();
        for line in lines {
            let words: Vec<&str> = line.split(' ').collect();
            setup.add_line(words[0], &words[1..]);
        }
        setup
    }

    /// One more line.
    pub fn add_line(&mut self, first: &str, rest: &[&str]) {
        match first {
            "team" => self.facts.teams.push(team(rest)),
            "machine-type" => self.machine_types.push(machine_type(rest)),
            "slo" => self.facts.objectives.push(objective(rest)),
            "machines" => self.max_machines = parse(rest[0], first),
            "seed" => self.seed = parse(rest[0], first),
            "worker-lease" => self.facts.workers.lease_s = parse(rest[0], first),
            "cancel-within" => self.facts.workers.cancel_s = parse(rest[0], first),
            "elections" => self.elections = true,
            other => panic!("not a word of scenarios: {other}"),
        }
    }

    /// A simulation that starts with this, with nothing in it yet.
    pub fn simulation(self) -> Simulation {
        let policy = Policy {
            facts: self.facts,
            operator: OperatorConfig::default(),
            max_pushes: MAX_PUSHES,
        };
        let mut simulation =
            Simulation::new(policy, self.machine_types, self.max_machines, self.seed);
        if self.elections {
            simulation.enable_elections();
        }
        simulation
    }
}

fn team(rest: &[&str]) -> Team {
    let words = Words(rest);
    Team {
        name: rest[0].into(),
        cpus: 0.0,
        cpus_max: 0.0,
        gpus: words.number("guaranteed-gpus", 0.0),
        gpus_max: words.number("max-gpus", 0.0),
    }
}

fn machine_type(rest: &[&str]) -> MachineTypeInfo {
    let words = Words(rest);
    let zones = words.get("zones").unwrap_or("a");
    MachineTypeInfo {
        name: MachineType::from(rest[0]),
        cpus: words.number("cpus", 64.0),
        gpus: words.number("gpus", 8.0),
        ram_gb: words.number("ram", 256.0),
        cache_gb: 100.0,
        fetch_gb_per_s: words.number("fetch", 1.0),
        price: words.number("price", 10.0),
        spot_price: words.number("spot-price", 4.0),
        boot_s: words.number("boot", 5.0),
        zones: zones.split(',').map(Zone::from).collect(),
    }
}

fn objective(rest: &[&str]) -> Slo {
    Slo {
        kind: match rest[0] {
            "wait" => SloKind::StartDelay,
            "finished" => SloKind::Completion,
            "deadline" => SloKind::Deadline,
            _ => SloKind::Other,
        },
        class: Some(rest[1].into()),
        within_s: Some(Words(rest).number("within", 60.0)),
        deadline_factor: None,
    }
}
