//! Assigns the tasks of a batch to the simulated machines on which they would start first.

use super::simulated_cluster::SimulatedCluster;
use super::simulated_machine::SimulatedMachine;
use crate::coordination::autoscaler::view::AutoscalerView;
use crate::coordination::autoscaler::MachineOffer;
use crate::protocol::users::{JobSpec, Shape};
use crate::resources::Resources;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// No machine is rented for an expected task that would wait for less than this.
const MAX_EXPECTED_WAIT_SECS: f64 = 3.0;

/// Tasks with the same specification that are to be assigned to machines.
pub(super) struct TaskBatch<'a> {
    /// The job that the tasks belong to, or that they are assumed to resemble.
    pub(super) spec: &'a JobSpec,
    /// The number of tasks.
    pub(super) count: u32,
    /// Where the tasks come from.
    pub(super) origin: TaskOrigin,
}

/// Where the tasks of a batch come from.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum TaskOrigin {
    /// The tasks stand for capacity that the warm pool lacks, which only a machine with free capacity provides, not
    /// one that frees it later.
    WarmPool,
    /// The tasks are waiting.
    Waiting,
    /// The tasks are expected to arrive in this many seconds.
    Expected { arrives_in_s: f64 },
}

/// A batch that is being assigned, with the values that its tasks share.
struct Assignment<'a> {
    view: &'a AutoscalerView<'a>,
    batch: &'a TaskBatch<'a>,
    request: Resources,
    run_s: f64,
    /// Whether a task takes most of a machine.
    is_large: bool,
}

/// A machine on which the next task could start. Candidates are ordered by preference, the best first.
#[derive(Clone, Copy)]
struct Candidate {
    /// When the task would start, in seconds from the forecast.
    start_s: f64,
    /// Share of the machine that is free. If start times are equal, the fullest machine comes first.
    free_share: f64,
    /// Index of the machine in [`SimulatedCluster::machines`].
    index: usize,
}

impl Ord for Candidate {
    fn cmp(&self, other: &Self) -> Ordering {
        self.start_s
            .total_cmp(&other.start_s)
            .then(self.free_share.total_cmp(&other.free_share))
            .then(self.index.cmp(&other.index))
    }
}
impl PartialOrd for Candidate {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Eq for Candidate {}
impl PartialEq for Candidate {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

/// The candidates, earliest start first.
type Candidates = BinaryHeap<Reverse<Candidate>>;

/// Where a task would start first.
enum Choice {
    /// On a machine of the simulated cluster.
    Machine(Candidate),
    /// On a machine to be rented, at `start_s`.
    NewMachine { start_s: f64, offer: MachineOffer },
}

/// Assigns the tasks of a batch one after another, each to the machine on which it starts first. A new machine is
/// added to the cluster if a task would start sooner on it. Returns the number of tasks assigned, which is fewer than
/// all if they can't start anywhere, or after as many starts as may be simulated.
pub(super) fn assign(
    view: &AutoscalerView<'_>,
    batch: &TaskBatch<'_>,
    cluster: &mut SimulatedCluster,
) -> u32 {
    let assignment = Assignment::new(view, batch);
    let mut candidates = assignment.candidates(cluster);
    let mut offer = assignment.cheapest_offer(batch.count, cluster);
    let mut unassigned = batch.count;
    for _ in 0..cluster.max_starts(batch.origin) {
        if unassigned == 0 {
            break;
        }
        if cluster.is_full() {
            offer = None;
        }
        let (start_s, index) = match assignment.choose(&mut candidates, &mut offer) {
            Some(Choice::Machine(candidate)) => (candidate.start_s, candidate.index),
            Some(Choice::NewMachine {
                start_s,
                offer: chosen,
            }) => {
                let index = cluster.add(assignment.new_machine(chosen));
                offer = assignment.cheapest_offer(unassigned, cluster);
                (start_s, index)
            }
            None => break,
        };
        cluster.count_start();
        let machine = cluster.machine_mut(index);
        unassigned -= assignment.start(machine, start_s, unassigned);
        candidates.extend(assignment.candidate(index, machine).map(Reverse));
    }
    batch.count - unassigned
}

impl<'a> Assignment<'a> {
    fn new(view: &'a AutoscalerView<'a>, batch: &'a TaskBatch<'a>) -> Assignment<'a> {
        let spec = batch.spec;
        // Gang members run at the same time and service replicas never end, so no task can follow another on the
        // same capacity.
        let runs_concurrently = match spec.shape {
            Shape::Gang => batch.count > 1,
            Shape::Service => true,
            Shape::Array => false,
        };
        Assignment {
            view,
            batch,
            request: Resources::of(spec),
            run_s: if runs_concurrently {
                f64::INFINITY
            } else {
                view.run_time_s(spec)
            },
            is_large: view.is_large_task(spec),
        }
    }

    fn candidates(&self, cluster: &SimulatedCluster) -> Candidates {
        let machines = cluster.machines().iter().enumerate();
        machines
            .filter_map(|(index, machine)| self.candidate(index, machine))
            .map(Reverse)
            .collect()
    }

    /// Returns the machine as a candidate for the next task; None if it can't be used.
    fn candidate(&self, index: usize, machine: &SimulatedMachine) -> Option<Candidate> {
        if !self.can_use(machine) {
            return None;
        }
        let start_s = self.start_s(machine);
        start_s.is_finite().then(|| Candidate {
            start_s,
            free_share: machine.free_share(),
            index,
        })
    }

    /// Starts a task on the machine, and with it all others, at most `max_tasks` in all, for which the machine would be
    /// chosen next because they start there at the same time. Returns the number of tasks started.
    fn start(&self, machine: &mut SimulatedMachine, start_s: f64, max_tasks: u32) -> u32 {
        machine.add_image(&self.batch.spec.image);
        machine.allocate(start_s, &self.request, self.run_s, 1);
        if !self.can_use(machine) || self.start_s(machine) != start_s {
            return 1;
        }
        let tasks = machine.task_capacity(&self.request, max_tasks - 1);
        if tasks > 0 {
            machine.allocate(start_s, &self.request, self.run_s, tasks);
        }
        1 + tasks
    }

    fn can_use(&self, machine: &SimulatedMachine) -> bool {
        let must_be_free = self.batch.origin == TaskOrigin::WarmPool;
        // Small tasks fill the capacity that is freed on a machine shared by several tasks, so a large task can't
        // rely on the whole machine becoming free.
        machine.is_allowed_by(self.batch.spec)
            && (!must_be_free || machine.has_capacity_for(&self.request))
            && !(self.is_large && machine.is_shared())
    }

    /// Returns when the next task would start on the machine, with its image fetched.
    fn start_s(&self, machine: &SimulatedMachine) -> f64 {
        let earliest_s = match self.batch.origin {
            TaskOrigin::Expected { arrives_in_s } => arrives_in_s,
            TaskOrigin::WarmPool | TaskOrigin::Waiting => 0.0,
        };
        let fit_s = machine.earliest_fit_s(&self.request).max(earliest_s);
        let fetch_s = if machine.has_image(&self.batch.spec.image) {
            0.0
        } else {
            self.fetch_s(&machine.offer)
        };
        fit_s + fetch_s
    }

    fn fetch_s(&self, offer: &MachineOffer) -> f64 {
        self.view
            .fetch_s(&offer.machine_type, self.batch.spec.image_gb)
    }

    /// Returns when the next task would start on a machine rented now. For an expected task, at least
    /// [`MAX_EXPECTED_WAIT_SECS`] after its arrival, so that no machine is rented to save it a short wait.
    fn start_on_new_machine_s(&self, offer: &MachineOffer) -> f64 {
        let not_before_s = match self.batch.origin {
            TaskOrigin::Expected { arrives_in_s } => arrives_in_s + MAX_EXPECTED_WAIT_SECS,
            TaskOrigin::WarmPool | TaskOrigin::Waiting => 0.0,
        };
        let boot_s = self.view.boot_s(&offer.machine_type);
        boot_s.max(not_before_s) + self.fetch_s(offer)
    }

    /// Chooses where the next task starts first, and removes that candidate or takes the offer. None if the task
    /// can't start anywhere.
    fn choose(
        &self,
        candidates: &mut Candidates,
        offer: &mut Option<MachineOffer>,
    ) -> Option<Choice> {
        let first = candidates.peek().map(|Reverse(candidate)| *candidate);
        let new_machine_s = offer
            .as_ref()
            .map(|offer| self.start_on_new_machine_s(offer));
        match (first, new_machine_s) {
            (Some(candidate), Some(new_s)) if candidate.start_s <= new_s => {
                candidates.pop();
                Some(Choice::Machine(candidate))
            }
            (Some(candidate), None) => {
                candidates.pop();
                Some(Choice::Machine(candidate))
            }
            (_, Some(start_s)) => {
                let offer = offer.take()?;
                Some(Choice::NewMachine { start_s, offer })
            }
            (None, None) => None,
        }
    }

    fn cheapest_offer(&self, tasks: u32, cluster: &SimulatedCluster) -> Option<MachineOffer> {
        let machines_by_zone = cluster.machines_by_zone();
        let spec = self.batch.spec;
        self.view.cheapest_offer(spec, tasks, machines_by_zone)
    }

    /// Returns a machine rented now, without images: [`assign`] adds the image of its first task.
    fn new_machine(&self, offer: MachineOffer) -> SimulatedMachine {
        let boot_s = self.view.boot_s(&offer.machine_type);
        let capacity = self.view.capacity(&offer.machine_type);
        SimulatedMachine::starting(offer, boot_s, capacity)
    }
}
