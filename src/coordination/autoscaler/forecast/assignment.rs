//! Assigns like tasks, one by one, to the machine of the forecast on which each would start first.

use super::simulated_cluster::SimulatedCluster;
use super::slot::MachineSlot;
use crate::coordination::autoscaler::view::AutoscalerView;
use crate::coordination::autoscaler::MachineOffer;
use crate::protocol::users::{JobSpec, Shape};
use crate::resources::Resources;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// No machine is rented for an expected task that would wait for less than this.
const MAX_EXPECTED_WAIT_SECS: f64 = 3.0;

/// Like tasks to be assigned to machines.
pub(super) struct TaskBatch<'a> {
    /// The job that they belong to, or that they are like.
    pub(super) spec: &'a JobSpec,
    /// How many there are.
    pub(super) count: u32,
    /// Where they come from.
    pub(super) origin: TaskOrigin,
}

/// Where the tasks of a batch come from.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum TaskOrigin {
    /// They stand for room that the warm pool lacks: machines that will only come free some time won't do.
    WarmPool,
    /// They wait now.
    Waiting,
    /// They are expected to arrive, so many seconds from now.
    Expected { arrives_in_s: f64 },
}

/// A batch that is being assigned, with what is the same for each of its tasks.
struct Assignment<'a> {
    view: &'a AutoscalerView<'a>,
    batch: &'a TaskBatch<'a>,
    request: Resources,
    run_s: f64,
    /// Whether a task takes most of a machine.
    is_large: bool,
}

/// A machine on which the next task could start. The order is that of preference, the best one first.
#[derive(Clone, Copy)]
struct Candidate {
    /// When the task would start.
    start_s: f64,
    /// Among equal times the fullest machine comes first.
    free_share: f64,
    /// Its place in [`SimulatedCluster::slots`].
    slot: usize,
}

impl Ord for Candidate {
    fn cmp(&self, other: &Self) -> Ordering {
        self.start_s
            .total_cmp(&other.start_s)
            .then(self.free_share.total_cmp(&other.free_share))
            .then(self.slot.cmp(&other.slot))
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

/// The candidates, soonest first.
type Candidates = BinaryHeap<Reverse<Candidate>>;

/// Where a task would start first.
enum Choice {
    /// On a machine of the forecast.
    Slot(Candidate),
    /// On a machine to be rented, at that time.
    NewMachine { start_s: f64, offer: MachineOffer },
}

/// Assigns a batch, one task after the other, each to the machine on which it starts first. A new
/// machine joins the cluster where it would be sooner. Returns how many tasks were assigned.
pub(super) fn assign(
    view: &AutoscalerView<'_>,
    batch: &TaskBatch<'_>,
    cluster: &mut SimulatedCluster,
) -> u32 {
    let assignment = Assignment::new(view, batch);
    let mut candidates = assignment.candidates(cluster);
    let mut offer = assignment.cheapest_offer(batch.count, cluster);
    for assigned in 0..batch.count {
        if cluster.is_full() {
            offer = None;
        }
        let (start_s, slot) = match assignment.choose(&mut candidates, &mut offer) {
            Some(Choice::Slot(candidate)) => (candidate.start_s, candidate.slot),
            Some(Choice::NewMachine {
                start_s,
                offer: chosen,
            }) => {
                let slot = cluster.add(assignment.new_machine(chosen));
                offer = assignment.cheapest_offer(batch.count - assigned, cluster);
                (start_s, slot)
            }
            None => return assigned,
        };
        let machine = cluster.slot_mut(slot);
        machine.add_image(&batch.spec.image);
        machine.allocate(start_s, &assignment.request, assignment.run_s);
        candidates.extend(assignment.candidate(slot, machine).map(Reverse));
    }
    batch.count
}

impl<'a> Assignment<'a> {
    fn new(view: &'a AutoscalerView<'a>, batch: &'a TaskBatch<'a>) -> Assignment<'a> {
        let spec = batch.spec;
        // Tasks of a gang run at once, and those of a service never end: none can follow another in the same place.
        let run_at_once = match spec.shape {
            Shape::Gang => batch.count > 1,
            Shape::Service => true,
            Shape::Array => false,
        };
        Assignment {
            view,
            batch,
            request: Resources::of(spec),
            run_s: if run_at_once {
                f64::INFINITY
            } else {
                view.run_time_s(spec)
            },
            is_large: view.is_large_task(spec),
        }
    }

    fn candidates(&self, cluster: &SimulatedCluster) -> Candidates {
        let slots = cluster.slots().iter().enumerate();
        slots
            .filter_map(|(slot, machine)| self.candidate(slot, machine))
            .map(Reverse)
            .collect()
    }

    /// The machine as a candidate for the next task; None if it can't be used.
    fn candidate(&self, slot: usize, machine: &MachineSlot) -> Option<Candidate> {
        self.can_use(machine).then(|| Candidate {
            start_s: self.start_s(machine),
            free_share: machine.free_share(),
            slot,
        })
    }

    fn can_use(&self, machine: &MachineSlot) -> bool {
        let must_be_free = self.batch.origin == TaskOrigin::WarmPool;
        // Small tasks will fill the gaps of a machine shared by several: a large task can't count on
        // all of them ending.
        machine.is_allowed_by(self.batch.spec)
            && (!must_be_free || machine.has_free(&self.request))
            && !(self.is_large && machine.is_shared())
    }

    /// When the next task would start there, its image fetched.
    fn start_s(&self, machine: &MachineSlot) -> f64 {
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

    /// When the next task would start on a machine rented now. For an expected task that is taken to be so
    /// much later that none is rented to spare it a short wait.
    fn start_on_new_machine_s(&self, offer: &MachineOffer) -> f64 {
        let not_before_s = match self.batch.origin {
            TaskOrigin::Expected { arrives_in_s } => arrives_in_s + MAX_EXPECTED_WAIT_SECS,
            TaskOrigin::WarmPool | TaskOrigin::Waiting => 0.0,
        };
        let boot_s = self.view.boot_s(&offer.machine_type);
        boot_s.max(not_before_s) + self.fetch_s(offer)
    }

    /// Where the next task starts first: that candidate, or the offer, is taken. None if it can't start
    /// anywhere.
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
                Some(Choice::Slot(candidate))
            }
            (Some(candidate), None) if candidate.start_s.is_finite() => {
                candidates.pop();
                Some(Choice::Slot(candidate))
            }
            (_, Some(start_s)) => {
                let offer = offer.take()?;
                Some(Choice::NewMachine { start_s, offer })
            }
            (_, None) => None,
        }
    }

    fn cheapest_offer(&self, tasks: u32, cluster: &SimulatedCluster) -> Option<MachineOffer> {
        let machines_by_zone = cluster.machines_by_zone();
        let spec = self.batch.spec;
        self.view.cheapest_offer(spec, tasks, machines_by_zone)
    }

    /// A machine rented now. It will have the image of the task that it is rented for.
    fn new_machine(&self, offer: MachineOffer) -> MachineSlot {
        let boot_s = self.view.boot_s(&offer.machine_type);
        let capacity = self.view.capacity(&offer.machine_type);
        MachineSlot::coming(offer, boot_s, capacity)
    }
}
