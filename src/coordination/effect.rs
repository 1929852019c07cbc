//! Effects: the scheduler's requests to its runtime.

use super::autoscaler::MachineOffer;
use crate::ids::{FencingToken, IdempotencyKey, JobId, MachineId, Session};
use crate::protocol::state::Transaction;
use crate::protocol::workers::Command;
use std::fmt;

/// Identifies a request of the scheduler within a leadership term; the event that answers the request repeats
/// the id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Why the scheduler asks the leader to step down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepDownReason {
    /// A worker has seen a fencing token higher than this leader's, so another controller leads.
    HigherFencingTokenSeen,
    /// The leader key is absent or belongs to another controller.
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

/// A request to the runtime, which executes it only while the leader's authority is valid.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send a transaction to the state store. Applying it late is safe: its preconditions include the leader key
    /// and the records that it changes.
    Write {
        /// The id of the write.
        request_id: RequestId,
        /// The transaction.
        transaction: Transaction,
    },
    /// Read keys again after an unconfirmed write; retried until all keys are read.
    Reread {
        /// The id of the read.
        request_id: RequestId,
        /// The keys.
        keys: Vec<String>,
    },
    /// Read the terminal records of upstream jobs.
    ReadTerminalRecords {
        /// The upstream jobs.
        ids: Vec<JobId>,
    },
    /// Push commands to a worker. The worker executes them only if it is still in the session and has seen no
    /// higher fencing token.
    Push {
        /// The worker's machine.
        machine_id: MachineId,
        /// The address at which the worker listens.
        endpoint: String,
        /// The id of the push.
        request_id: RequestId,
        /// The fencing token.
        token: FencingToken,
        /// The worker's session.
        session: Session,
        /// The commands.
        commands: Vec<Command>,
    },
    /// Rent machines; answered by [`Event::ScaleOutAnswered`] or [`Event::ScaleOutUnconfirmed`].
    ///
    /// [`Event::ScaleOutAnswered`]: super::Event::ScaleOutAnswered
    /// [`Event::ScaleOutUnconfirmed`]: super::Event::ScaleOutUnconfirmed
    ScaleOut {
        /// The request's idempotency key, the same in every retry.
        idempotency_key: IdempotencyKey,
        /// The machine type, the zone, and whether the machines are spot machines.
        offer: MachineOffer,
        /// The number of machines.
        count: u32,
    },
    /// Terminate machines.
    ScaleIn {
        /// The machines to terminate.
        machine_ids: Vec<MachineId>,
    },
    /// Step down, because another controller leads.
    StepDown {
        /// The evidence for another leader.
        reason: StepDownReason,
    },
}
