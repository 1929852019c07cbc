//! What the scheduler asks its runtime to do.

use super::autoscaler::MachineOffer;
use crate::ids::{FencingToken, IdempotencyKey, JobId, MachineId, Session};
use crate::protocol::state::Transaction;
use crate::protocol::workers::Command;

/// What is to be done. Every effect is carried out only with the leader's authority.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    Write {
        seq: u64,
        transaction: Transaction,
    },
    Reread {
        seq: u64,
        keys: Vec<String>,
    },
    /// Read the finish marks of jobs that others wait for.
    ReadTerminalRecords {
        ids: Vec<JobId>,
    },
    Push {
        machine_id: MachineId,
        endpoint: String,
        seq: u64,
        token: FencingToken,
        session: Session,
        commands: Vec<Command>,
    },
    /// Ask the cloud for machines; the answer is [`Event::ScaleOutAnswered`] or [`Event::ScaleOutUnclear`].
    ///
    /// [`Event::ScaleOutAnswered`]: super::Event::ScaleOutAnswered
    /// [`Event::ScaleOutUnclear`]: super::Event::ScaleOutUnclear
    ScaleOut {
        /// The same for every repetition of one request.
        idempotency_key: IdempotencyKey,
        /// What kind of machine.
        offer: MachineOffer,
        /// How many of them.
        count: u32,
    },
    /// Ask the cloud to terminate machines.
    ScaleIn {
        machine_ids: Vec<MachineId>,
    },
    /// Somebody else leads: stop.
    StepDown {
        why: &'static str,
    },
}
