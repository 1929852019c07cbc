//! The words of scenarios: what is given, and jobs.

use super::World;
use chalklug::coordination::Policy;
use chalklug::ids::*;
use chalklug::protocol::cloud::MachineTypeInfo;
use chalklug::protocol::users::{JobSpec, Priority, Shape};
use chalklug::settings::*;

/// Direct commands awaited at once.
pub const MAX_PUSHES: usize = 96;

/// Words after the first, as `name value` pairs; bare flags have an empty value.
pub struct Words<'a>(pub Vec<&'a str>);

const FLAGS: [&str; 5] = ["together", "scatter", "spot", "never", "mistaken"];

impl<'a> Words<'a> {
    pub fn get(&self, name: &str) -> Option<&'a str> {
        let at = self.0.iter().position(|w| *w == name)?;
        if FLAGS.contains(&name) {
            return Some("");
        }
        self.0.get(at + 1).copied()
    }
    pub fn num(&self, name: &str, default: f64) -> f64 {
        self.get(name).map_or(default, |v| {
            v.parse().unwrap_or_else(|_| panic!("{name}: {v}"))
        })
    }
    pub fn has(&self, name: &str) -> bool {
        self.0.contains(&name)
    }
}

/// What a scenario is given.
pub struct Given {
    pub facts: Facts,
    pub machine_types: Vec<MachineTypeInfo>,
    pub machines: u32,
    pub seed: u64,
    pub campaigns: bool,
}

/// What holds unless a scenario says otherwise.
pub fn defaults() -> Given {
    Given {
        facts: Facts {
            clock_error_ms: 0.0,
            teams: Vec::new(),
            objectives: Vec::new(),
            workers: Workers {
                report_s: 3.0,
                lease_s: 20.0,
                gang_wait_s: 30.0,
                gang_peer_s: 4.0,
                cancel_s: 40.0,
            },
            state: StateLimits {
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
            quota: Quota {
                cores: 0.1,
                memory_mb: 100.0,
                max_sockets: 1000,
            },
        },
        machine_types: Vec::new(),
        machines: 20,
        seed: 1,
        campaigns: false,
    }
}

/// One line of what is given.
pub fn given(g: &mut Given, first: &str, rest: &[&str]) {
    let w = Words(rest.to_vec());
    match first {
        "team" => g.facts.teams.push(Team {
            name: rest[0].into(),
            cpus: 0.0,
            cpus_max: 0.0,
            gpus: w.num("gpus", 0.0),
            gpus_max: w.num("max", 0.0),
        }),
        "rig" => g.machine_types.push(MachineTypeInfo {
            name: MachineType::from(rest[0]),
            cpus: w.num("cpus", 64.0),
            gpus: w.num("gpus", 8.0),
            ram_gb: w.num("ram", 256.0),
            cache_gb: 100.0,
            fetch_gb_per_s: w.num("fetch", 1.0),
            price: w.num("price", 10.0),
            spot_price: w.num("spotprice", 4.0),
            boot_s: w.num("boot", 5.0),
            zones: w
                .get("sites")
                .unwrap_or("a")
                .split(',')
                .map(Zone::from)
                .collect(),
        }),
        "objective" => g.facts.objectives.push(Objective {
            kind: rest[0].into(),
            class: Some(rest[1].into()),
            within_s: Some(w.num("within", 60.0)),
            times: None,
        }),
        "machines" => g.machines = rest[0].parse().unwrap(),
        "seed" => g.seed = rest[0].parse().unwrap(),
        "lease" => g.facts.workers.lease_s = rest[0].parse().unwrap(),
        "cancel-within" => g.facts.workers.cancel_s = rest[0].parse().unwrap(),
        "campaigns" => g.campaigns = true,
        other => panic!("not a word of scenarios: {other}"),
    }
}

/// A job as a scenario describes it.
pub fn spec(rest: &[&str]) -> JobSpec {
    let w = Words(rest.to_vec());
    JobSpec {
        id: JobId::parse(rest[0]).expect("a job id"),
        class: w.get("class").unwrap_or("any").into(),
        team: w.get("team").unwrap_or("blue").into(),
        shape: match w.get("shape").unwrap_or("array") {
            "array" => Shape::Array,
            "gang" => Shape::Gang,
            "standing" => Shape::Service,
            s => panic!("shape {s}"),
        },
        priority: match w.get("urgency").unwrap_or("normal") {
            "low" => Priority::Low,
            "normal" => Priority::Normal,
            "urgent" => Priority::Urgent,
            _ => Priority::Production,
        },
        tasks: w.num("pieces", 1.0) as u32,
        cpus: w.num("cpus", 1.0),
        gpus: w.num("gpus", 1.0),
        ram_gb: 1.0,
        image: Image::from(w.get("image").unwrap_or("img")),
        image_gb: w.num("gb", 2.0),
        machine_types: None,
        zone: w.get("site").map(Zone::from),
        together: w.has("together"),
        scatter: w.has("scatter"),
        spot: w.has("spot"),
        guess_s: w.num("guess", w.num("run", 10.0)),
        checkpoint_s: w.num("checkpoint", 0.0),
        save_s: w.num("save", 1.0),
        due_s: w.get("due").map(|v| v.parse().unwrap()),
    }
}

impl Given {
    /// The world that is given, with nothing in it yet.
    pub fn world(self) -> World {
        let policy = Policy {
            facts: self.facts,
            operator: Operator::default(),
            max_pushes: MAX_PUSHES,
        };
        let mut world = World::new(policy, self.machine_types, self.machines, self.seed);
        world.campaigns = self.campaigns;
        world
    }
}

/// What is given by these lines.
pub fn given_lines(lines: &[&str]) -> Given {
    let mut g = defaults();
    for line in lines {
        let words: Vec<&str> = line.split(' ').collect();
        given(&mut g, words[0], &words[1..]);
    }
    g
}
