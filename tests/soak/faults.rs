//! Faults drawn from a seed. The schedule repeats from the seed; how the processes interleave does not.

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Which controller a fault strikes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Target {
    /// The one that answered workers last.
    Leader,
    /// The one with that number.
    Number(usize),
    /// Each of them.
    All,
}

/// A kind of connection, between controllers and one kind of party.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Link {
    /// Requests of a controller to the state store.
    StateStore(usize),
    /// Requests of a controller to the cloud.
    Cloud(usize),
    /// Heartbeats of the workers in a zone to a controller.
    Heartbeats(usize, usize),
    /// Commands pushed to the workers of a zone.
    Pushes(usize),
    /// What one controller sends another.
    Peers(usize, usize),
}

/// What happens to messages on a link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LinkFault {
    /// Requests are never delivered.
    DropRequests,
    /// Requests are delivered, responses are lost.
    DropResponses,
    /// Requests are delivered when the fault ends.
    HoldRequests,
    /// Requests are delivered so much later.
    Delay(Duration),
}

/// One fault.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Controllers are killed, and started again after that time.
    Kill {
        target: Target,
        restart_after: Duration,
    },
    /// The leader is killed so many times, again as soon as there is another.
    KillLeadersInSeries { times: u32 },
    /// Controllers stand still while their clocks run on.
    Pause { target: Target, duration: Duration },
    /// Links of a controller, of a zone or of both are faulty.
    Links {
        links: Vec<Link>,
        fault: LinkFault,
        duration: Duration,
    },
    /// The state store refuses controllers.
    RefuseState { target: Target, duration: Duration },
    /// That share of transactions is carried out late, without a response.
    LateTransactions { share: f64, duration: Duration },
    /// That share of transactions is carried out at once, without a response.
    LostTransactionResponses { share: f64, duration: Duration },
    /// Of that share of heartbeats a copy arrives again, at any controller.
    DuplicateHeartbeats { share: f64, duration: Duration },
    /// That share of pushes is carried out late, without a response.
    LatePushes { share: f64, duration: Duration },
    /// So many machines hang and then go on.
    Hang { machines: usize, duration: Duration },
    /// So many machines are gone at once.
    Reclaim { machines: usize },
    /// The cloud refuses everything.
    RefuseCloud { duration: Duration },
    /// Users cancel so many jobs at once.
    CancelMany { jobs: usize },
}

/// A fault and when it begins, counted from the start of the run.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedFault {
    pub at: Duration,
    pub fault: Fault,
}

/// The longest pause between the beginnings of two faults.
const MAX_GAP_MS: u64 = 4_000;
const ZONES: usize = super::cloud::ZONES.len();

/// The faults of a run, in order. Two or three overlap, for most last longer than the gaps between them.
pub fn draw(seed: u64, controllers: usize, faults_for: Duration) -> Vec<PlannedFault> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut planned = Vec::new();
    let mut at = Duration::from_millis(rng.random_range(4_000..7_000));
    while at < faults_for {
        let fault = draw_fault(&mut rng, controllers);
        planned.push(PlannedFault { at, fault });
        at += Duration::from_millis(rng.random_range(200..MAX_GAP_MS));
    }
    planned
}

fn draw_fault(rng: &mut StdRng, controllers: usize) -> Fault {
    let duration = Duration::from_millis(rng.random_range(500..9_000));
    let share = rng.random_range(0.1..0.5);
    match rng.random_range(0..16) {
        0 | 1 => Fault::Kill {
            target: draw_target(rng, controllers),
            restart_after: Duration::from_millis(rng.random_range(50..3_000)),
        },
        2 => Fault::KillLeadersInSeries {
            times: rng.random_range(2..11),
        },
        3 => Fault::Pause {
            target: draw_target(rng, controllers),
            duration: Duration::from_millis(rng.random_range(300..7_000)),
        },
        4..=7 => Fault::Links {
            links: draw_links(rng, controllers),
            fault: draw_link_fault(rng),
            duration,
        },
        8 => Fault::RefuseState {
            target: draw_target(rng, controllers),
            duration,
        },
        9 => Fault::LateTransactions { share, duration },
        10 => Fault::LostTransactionResponses { share, duration },
        11 => Fault::DuplicateHeartbeats { share, duration },
        12 => Fault::LatePushes { share, duration },
        13 => Fault::Hang {
            machines: rng.random_range(1..5),
            duration,
        },
        14 => match rng.random_bool(0.5) {
            true => Fault::Reclaim {
                machines: rng.random_range(1..4),
            },
            false => Fault::RefuseCloud { duration },
        },
        _ => Fault::CancelMany {
            jobs: rng.random_range(2..9),
        },
    }
}

fn draw_target(rng: &mut StdRng, controllers: usize) -> Target {
    match rng.random_range(0..5) {
        0..=2 => Target::Leader,
        3 => Target::Number(rng.random_range(0..controllers)),
        _ => Target::All,
    }
}

fn draw_link_fault(rng: &mut StdRng) -> LinkFault {
    let delay = Duration::from_millis(rng.random_range(100..2_500));
    let kinds = [
        LinkFault::DropRequests,
        LinkFault::DropResponses,
        LinkFault::HoldRequests,
        LinkFault::Delay(delay),
    ];
    *kinds.choose(rng).expect("there are kinds")
}

fn draw_links(rng: &mut StdRng, controllers: usize) -> Vec<Link> {
    let controller = rng.random_range(0..controllers);
    let zone = rng.random_range(0..ZONES);
    let to_peers = (0..controllers).filter(|peer| *peer != controller);
    let to_peers = to_peers.flat_map(|p| [Link::Peers(controller, p), Link::Peers(p, controller)]);
    let of_zone = (0..controllers).map(|number| Link::Heartbeats(zone, number));
    match rng.random_range(0..6) {
        0 => vec![Link::StateStore(controller)],
        1 => to_peers.collect(),
        2 => to_peers.chain([Link::StateStore(controller)]).collect(),
        3 => of_zone.collect(),
        4 => of_zone.chain([Link::Pushes(zone)]).collect(),
        _ => vec![Link::Pushes(zone), Link::Cloud(controller)],
    }
}

#[test]
fn schedule_repeats_from_its_seed() {
    let draw = |seed| draw(seed, 3, Duration::from_secs(60));
    assert_eq!(draw(7), draw(7));
    assert_ne!(draw(7), draw(8));
    assert!(draw(7).len() > 10);
}
