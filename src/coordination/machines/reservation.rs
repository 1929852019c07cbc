//! Reservations of machines for one job until a given time: after tasks were preempted for the job, or after a
//! gang attempt of the job failed and is about to be retried.

use super::machine::Machine;
use crate::ids::JobId;
use crate::time::Instant;

/// A reservation of a machine for a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Reservation {
    job: JobId,
    /// No other job may use the machine before this time.
    until: Instant,
}

impl Machine {
    /// Reserves the machine for the job, in place of any earlier reservation.
    pub(crate) fn reserve_for(&mut self, job: JobId, until: Instant) {
        self.reservation = Some(Reservation { job, until });
    }

    /// The job that the machine is reserved for, if any.
    pub(crate) fn reserved_for(&self, now: Instant) -> Option<&JobId> {
        self.reservation
            .as_ref()
            .filter(|reservation| now < reservation.until)
            .map(|reservation| &reservation.job)
    }

    /// Ends the reservation if it is for the job, which now uses the machine.
    pub(crate) fn end_reservation_of(&mut self, job: &JobId) {
        self.reservation
            .take_if(|reservation| reservation.job == *job);
    }
}
