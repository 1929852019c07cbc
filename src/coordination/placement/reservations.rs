//! Reservations of machines for jobs that could not be placed, so that jobs later in the queue don't take the
//! capacity that they wait for. A reservation made here holds for the rest of the pass; one made on the machine
//! ([`Machine::reserve_for`]) by preemption, or when a gang attempt failed, holds until a given time.

use super::candidates::free_fraction;
use super::pass::PlacementPass;
use super::start_check::StartCheck;
use super::view::PlacementView;
use crate::coordination::jobs::job::Job;
use crate::coordination::machines::machine::Machine;
use crate::ids::{JobId, MachineId, Zone};
use crate::resources::Resources;
use std::collections::{BTreeMap, BTreeSet};

impl<'a> PlacementView<'a> {
    /// Whether the machine is reserved beyond this pass for another job.
    pub(super) fn is_reserved_for_another(&self, machine: &Machine, job_id: &JobId) -> bool {
        machine
            .reserved_for(self.now())
            .is_some_and(|holder| holder != job_id)
    }

    /// All jobs for which machines are reserved beyond this pass.
    pub(super) fn jobs_with_reservations(&self) -> BTreeSet<JobId> {
        let machines = self.machines().values();
        machines
            .filter_map(|machine| machine.reserved_for(self.now()))
            .cloned()
            .collect()
    }

    /// Whether jobs of the class may use the machine: it is not in the warm pool, or kept ready for that class.
    pub(super) fn warm_pool_admits(&self, machine_id: &MachineId, class: &str) -> bool {
        self.warm_pool_class(machine_id)
            .is_none_or(|pool_class| pool_class == class)
    }

    /// Machines that are up and have free capacity.
    fn machines_with_free_capacity(&self) -> impl Iterator<Item = &'a Machine> {
        let machines = self.machines();
        let ids = machines.index.with_free_capacity.iter();
        ids.filter_map(|id| machines.get(id))
    }
}

impl PlacementPass<'_> {
    /// Reserves machines for a job that could not be placed.
    pub(super) fn reserve_machines_for(&mut self, job: &Job) {
        let spec = job.spec();
        let is_gang_of_several = job.needs_gang_scheduling();
        let is_large = self.view.is_large_task(spec);
        let is_aged = self.view.is_aged(job);
        if is_gang_of_several && (is_aged || is_large) {
            self.reserve_free_machines(job);
        }
        let may_wait = || !is_aged && self.view.may_scale_out_for(spec);
        if (is_gang_of_several && is_aged) || (is_large && !may_wait()) {
            let count = if is_gang_of_several { spec.tasks } else { 1 };
            self.reserve_least_allocated_machines(job, count as usize);
        }
    }

    /// Reserves the machines with the largest free fractions of those that the job may use, `count` at most. Otherwise a
    /// task that needs a whole machine would starve when no more machines can be rented, because small tasks fill every
    /// gap.
    fn reserve_least_allocated_machines(&mut self, job: &Job, count: usize) {
        let request = Resources::of(job.spec());
        let start_check = StartCheck::for_pending_tasks(job);
        let mut least_allocated: Vec<(f64, &MachineId)> = self
            .view
            .machines_with_free_capacity()
            .filter(|machine| !self.state.is_reserved(&machine.id))
            .filter(|machine| {
                start_check.check(machine).is_ok() && self.view.is_schedulable(machine)
            })
            .map(|machine| (machine, self.view.capacity(machine)))
            .filter(|(_, capacity)| request.fits(capacity))
            .map(|(machine, capacity)| (free_fraction(machine.free(), &capacity), &machine.id))
            .collect();
        least_allocated
            .sort_by(|left, right| right.0.total_cmp(&left.0).then_with(|| left.1.cmp(right.1)));
        for (_, machine_id) in least_allocated.into_iter().take(count) {
            self.state.reserve(machine_id);
        }
    }

    /// Reserves the machines that have room for a task of the gang, all in one zone if it has affinity.
    /// Otherwise the gang would starve, because jobs that need less take each machine that becomes free.
    fn reserve_free_machines(&mut self, job: &Job) {
        let spec = job.spec();
        let request = Resources::of(spec);
        let start_check = StartCheck::for_pending_tasks(job);
        let mut by_zone: BTreeMap<Option<&Zone>, Vec<&MachineId>> = BTreeMap::new();
        for machine in self.view.machines_with_free_capacity() {
            if request.fits(machine.free())
                && start_check.check(machine).is_ok()
                && self.view.is_schedulable(machine)
                && !self.state.is_reserved(&machine.id)
            {
                let zone = spec.zone_affinity.then_some(&machine.zone);
                by_zone.entry(zone).or_default().push(&machine.id);
            }
        }
        let largest_zone = by_zone.into_values().max_by_key(Vec::len);
        for machine_id in largest_zone.into_iter().flatten().take(spec.tasks as usize) {
            self.state.reserve(machine_id);
        }
    }
}
