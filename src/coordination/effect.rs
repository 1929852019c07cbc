//! What the scheduler asks its runtime to do.

use super::autoscaler::MachineOffer;
use crate::ids::{FencingToken, IdempotencyKey, JobId, MachineId, Session};
use crate::protocol::state::Transaction;
use crate::protocol::workers::Command;
use std::fmt;

/// Tells one request of the scheduler from another within a leadership term; the event that answers it
/// repeats it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Why the scheduler asks its leader to step down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepDownReason {
    /// A worker has seen a fencing token higher than ours, so another controller leads.
    HigherFencingTokenSeen,
    /// The leader key is gone, or another controller's.
    LeaderKeyLost,
}

impl fmt::Display for StepDownReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            StepDownReason::HigherFencingTokenSeen => "higher fencing token seen",
            StepDownReason::LeaderKeyLost => "leader key lost",
        })
    }
}

/// What is to be done. Every effect is carried out only while the leader's authority holds.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send a transaction to the state store. It is safe to apply late: the leader key and the records that
    /// it changes are among its preconditions.
    Write {
        /// The write.
        request_id: RequestId,
        /// The transaction.
        transaction: Transaction,
    },
    /// Read keys again, until all are read.
    Reread {
        /// The read.
        request_id: RequestId,
        /// The keys.
        keys: Vec<String>,
    },
    /// Read the terminal records of jobs that others wait for.
    ReadTerminalRecords {
        /// The jobs.
        ids: Vec<JobId>,
    },
    /// Push commands to a worker, which executes them only in that session and if it has seen no higher
    /// fencing token.
    Push {
        /// The worker's machine.
        machine_id: MachineId,
        /// Where the worker listens.
        endpoint: String,
        /// The push.
        request_id: RequestId,
        /// The fencing token.
        token: FencingToken,
        /// The worker's session.
        session: Session,
        /// The commands.
        commands: Vec<Command>,
    },
    /// Ask the cloud for machines; the answer is [`Event::ScaleOutAnswered`] or [`Event::ScaleOutUnconfirmed`].
    ///
    /// [`Event::ScaleOutAnswered`]: super::Event::ScaleOutAnswered
    /// [`Event::ScaleOutUnconfirmed`]: super::Event::ScaleOutUnconfirmed
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
        /// The machines.
        machine_ids: Vec<MachineId>,
    },
    /// Another controller leads: stop acting.
    StepDown {
        /// How that is known.
        reason: StepDownReason,
    },
}
