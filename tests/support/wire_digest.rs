//! Digests of everything that a leader sends. Two versions of the scheduler that behave alike have the same digests.
//! Digests are written only if `WIRE_DIGESTS` names a file; see `tests/scenarios/README.md`.

use chalklug::coordination::attempts::reconciliation::HeartbeatOutcome;
use chalklug::coordination::Effect;
use chalklug::ids::FencingToken;
use chalklug::protocol::cloud::{RentRequest, TerminateRequest};
use chalklug::protocol::workers::{CommandBatch, HeartbeatResponse};
use chalklug::storage::records::terminal_key;
use chalklug::time::Instant;
use sha2::{Digest, Sha256};
use std::cell::Cell;
use std::io::Write;

/// The environment variable that names the output file. Each run appends a line with its name, its digest, and its
/// number of messages.
const OUTPUT_VARIABLE: &str = "WIRE_DIGESTS";

thread_local! {
    /// The number of runs that the current test has started.
    static RUNS: Cell<u32> = const { Cell::new(0) };
}

/// The digest of one run: every transaction, read, push, heartbeat response and request to the cloud, as serialized
/// on the wire, in order, each with its time.
pub struct WireDigest {
    name: String,
    messages: u64,
    hasher: Sha256,
}

impl WireDigest {
    /// Creates the digest of the current test's next run, named after the test and the number of the run.
    pub fn new() -> WireDigest {
        let run = RUNS.replace(RUNS.get() + 1);
        let thread = std::thread::current();
        let test = thread.name().unwrap_or("unnamed");
        WireDigest {
            name: format!("{test}#{run}"),
            messages: 0,
            hasher: Sha256::new(),
        }
    }

    /// Sets the name of the run.
    #[allow(dead_code, reason = "not every test binary names its runs")]
    pub fn set_name(&mut self, name: &str) {
        self.name = name.to_owned();
    }

    /// Adds the effects of a step of the scheduler.
    pub fn add_effects(&mut self, now: Instant, effects: &[Effect]) {
        for effect in effects {
            self.add_effect(now, effect);
        }
    }

    /// Adds the response to a worker's heartbeat.
    pub fn add_heartbeat_response(
        &mut self,
        now: Instant,
        token: FencingToken,
        outcome: &HeartbeatOutcome,
    ) {
        match outcome {
            HeartbeatOutcome::Commands(commands) => {
                let commands = commands.clone();
                self.add_message(now, "answer", &HeartbeatResponse { token, commands });
            }
            HeartbeatOutcome::Refused => self.add_message(now, "refusal", &()),
        }
    }

    fn add_effect(&mut self, now: Instant, effect: &Effect) {
        match effect {
            Effect::Write { transaction, .. } => self.add_message(now, "transaction", transaction),
            Effect::Reread { keys, .. } => self.add_message(now, "read", keys),
            Effect::ReadTerminalRecords { ids } => {
                let keys: Vec<String> = ids.iter().map(terminal_key).collect();
                self.add_message(now, "read", &keys);
            }
            Effect::Push {
                machine_id,
                endpoint,
                token,
                session,
                commands,
                ..
            } => {
                let commands = CommandBatch {
                    token: *token,
                    session: *session,
                    commands: commands.clone(),
                };
                self.add_message(now, "commands", &(machine_id, endpoint, commands));
            }
            Effect::ScaleOut {
                idempotency_key,
                offer,
                count,
            } => {
                let request = RentRequest {
                    idempotency_key: idempotency_key.clone(),
                    machine_type: offer.machine_type.clone(),
                    zone: offer.zone.clone(),
                    spot: offer.spot,
                    count: *count,
                };
                self.add_message(now, "rental", &request);
            }
            Effect::ScaleIn { machine_ids } => {
                let machine_ids = machine_ids.clone();
                self.add_message(now, "return", &TerminateRequest { machine_ids });
            }
            Effect::StepDown { .. } => self.add_message(now, "step down", &()),
        }
    }

    fn add_message<T: serde::Serialize>(&mut self, now: Instant, kind: &str, body: &T) {
        let body = serde_json::to_string(body).expect("messages can be serialized");
        if std::env::var_os("WIRE_DIGEST_MESSAGES").is_some() {
            eprintln!("{} {} {kind} {body}", self.name, now.0);
        }
        self.hasher.update(format!("{} {kind} {body}\n", now.0));
        self.messages += 1;
    }
}

impl Drop for WireDigest {
    fn drop(&mut self) {
        let Some(path) = std::env::var_os(OUTPUT_VARIABLE) else {
            return;
        };
        let digest = std::mem::take(&mut self.hasher).finalize();
        let digest: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
        let line = format!("{} {digest} {}\n", self.name, self.messages);
        let file = std::fs::OpenOptions::new()
            .append(true)
            .create(true)
            .open(path);
        let written = file.and_then(|mut file| file.write_all(line.as_bytes()));
        if let Err(error) = written {
            eprintln!("{OUTPUT_VARIABLE}: {error}");
        }
    }
}
