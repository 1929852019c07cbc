//! Machines kept for one job until a time: its tasks were preempted for it, or a gang attempt of it failed there
//! and is about to be repeated.

use super::machine::Machine;
use crate::ids::JobId;
use crate::time::Instant;

/// A machine is kept for a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Reservation {
    job: JobId,
    /// Until then no other job may use it.
    until: Instant,
}

impl Machine {
    /// Keeps the machine for the job until then, instead of any it was kept for.
    pub(crate) fn reserve_for(&mut self, job: JobId, until: Instant) {
        self.reservation = Some(Reservation { job, until });
    }

    /// The job that the machine is kept for, if any.
    pub(crate) fn reserved_for(&self, now: Instant) -> Option<&JobId> {
        self.reservation
            .as_ref()
            .filter(|reservation| now < reservation.until)
            .map(|reservation| &reservation.job)
    }

    /// The job uses the machine: a reservation for it has served its purpose. One for another job stays.
    pub(crate) fn end_reservation_of(&mut self, job: &JobId) {
        self.reservation
            .take_if(|reservation| reservation.job == *job);
    }
}
