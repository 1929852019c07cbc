//! What the scheduler asks its runtime to do.

use crate::ids::{FencingToken, JobId, MachineId, MachineType, Session, Zone};
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
    ScaleOut {
        idempotency_key: String,
        machine_type: MachineType,
        zone: Zone,
        spot: bool,
        count: u32,
    },
    ScaleIn {
        machine_ids: Vec<MachineId>,
    },
    /// Somebody else leads: stop.
    StepDown {
        why: &'static str,
    },
}
