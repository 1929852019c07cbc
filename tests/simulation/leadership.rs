//! Simulated leadership: the leader's lease on the state store, elections, failover, and the delivery
//! of job changes to the leader.

use super::Simulation;
use chalklug::config::LeaderTimes;
use chalklug::coordination::leadership::authority::Authority;
use chalklug::coordination::leadership::recovery::RecoveredState;
use chalklug::coordination::leadership::LeadershipTerm;
use chalklug::coordination::{Event, OpenJob, Policy, Scheduler};
use chalklug::ids::*;
use chalklug::protocol::state::{Change, Transaction};
use chalklug::protocol::workers::Command;
use chalklug::storage::records::*;
use chalklug::time::{Instant, TimeSpan};

/// Time from the expiry of the leader's lease to the next election.
const ELECTION_DELAY: TimeSpan = TimeSpan(500);
/// How many times a leader renews its lease per lease duration.
const RENEWALS_PER_LEASE: i64 = 5;
/// Interval at which a slow state store delivers changes.
const SLOW_WATCH_INTERVAL: TimeSpan = TimeSpan(1_500);

/// The current leader and its lease.
pub(super) struct Leadership {
    pub scheduler: Option<Scheduler>,
    /// The leader's authority to act; `None` if the authority never expires.
    authority: Option<Authority>,
    /// Whether a leader without authority steps down, and another one is elected once the lease on
    /// the state store has expired.
    pub elections_enabled: bool,
    times: LeaderTimes,
    lease_expires_at: Instant,
    lease_renewed_at: Instant,
    term_count: u64,
    /// Store revision up to which changes were delivered to the leader.
    watched_revision: StoreRevision,
}

impl Leadership {
    pub(super) fn new(policy: &Policy) -> Leadership {
        let times = LeaderTimes::derive(&policy.facts.workers, &policy.operator);
        Leadership {
            scheduler: None,
            authority: None,
            elections_enabled: false,
            times: times.expect("cancel_s exceeds lease_s by enough for any leader"),
            lease_expires_at: Instant(0),
            lease_renewed_at: Instant(0),
            term_count: 0,
            watched_revision: StoreRevision(0),
        }
    }

    /// Returns the initial fencing token of the current leader, which identifies the leader.
    pub(super) fn token(&self) -> Option<FencingToken> {
        self.scheduler.as_ref().map(Scheduler::initial_token)
    }

    /// Returns the scheduler of `leader` if it is still the current leader.
    pub(super) fn scheduler_of(&mut self, leader: FencingToken) -> Option<&mut Scheduler> {
        let scheduler = self.scheduler.as_mut();
        scheduler.filter(|scheduler| scheduler.initial_token() == leader)
    }

    fn renewal_is_due(&self, now: Instant) -> bool {
        let interval = TimeSpan(self.times.lease_duration.0 / RENEWALS_PER_LEASE);
        now - self.lease_renewed_at >= interval && self.lease_expires_at > now
    }

    fn renew(&mut self, now: Instant) {
        self.lease_renewed_at = now;
        self.lease_expires_at = now + self.times.lease_duration;
        if let Some(authority) = &self.authority {
            authority.lease_renewed(now);
        }
    }

    fn has_authority(&self, now: Instant) -> bool {
        let authority = self.authority.as_ref();
        authority.is_none_or(|authority| authority.is_held(now))
    }
}

impl Simulation {
    /// Enables elections, and with them the expiry of the leader's authority.
    pub fn enable_elections(&mut self) {
        self.leadership.elections_enabled = true;
    }

    /// Crashes the leader; its messages stay in flight.
    pub fn crash_leader(&mut self) {
        self.leadership.scheduler = None;
        self.leadership.authority = None;
    }

    /// Renews the leader's lease, or elects another leader after the expiry. A lease that is valid
    /// during an outage of the state store gets its full duration again when the outage ends.
    pub(super) fn renew_lease_or_elect(&mut self) {
        let now = self.now;
        let outage_end = self.faults.store_unavailable_until;
        let outage = now < outage_end;
        if outage && self.leadership.lease_expires_at > now {
            self.leadership.lease_expires_at = outage_end + self.leadership.times.lease_duration;
        }
        if self.leadership.scheduler.is_some() {
            self.renew_lease_or_step_down();
        }
        let expired = now - self.leadership.lease_expires_at >= ELECTION_DELAY;
        if expired && !outage {
            if self.leadership.scheduler.is_some() {
                self.checker.leader_active_after_expiry(now);
            }
            self.elect_leader();
        }
    }

    fn renew_lease_or_step_down(&mut self) {
        let now = self.now;
        let served = self.faults.store_serves_leader(now);
        if served && self.leadership.renewal_is_due(now) {
            self.leadership.renew(now);
        }
        if !self.leadership.has_authority(now) {
            self.crash_leader();
            if served {
                // The leader revokes its lease, so that the next election needn't wait for the expiry.
                self.leadership.lease_expires_at = now;
            }
        }
    }

    /// Elects a new leader, which recovers its state from the state store.
    pub fn elect_leader(&mut self) {
        let now = self.now;
        let term = self.start_term();
        let recovered = self.read_recovered_state();
        self.leadership.watched_revision = self.store.store_revision;
        let times = self.leadership.times;
        let elections = self.leadership.elections_enabled;
        self.leadership.authority = elections.then(|| Authority::new(times, now));
        self.leadership.lease_expires_at = now + times.lease_duration;
        self.leadership.lease_renewed_at = now;
        // The new leader is another controller, which the fault doesn't affect.
        self.faults.store_refuses_leader_until = Instant(0);
        let scheduler = Scheduler::recover(self.policy.clone(), term, now, recovered);
        self.leadership.scheduler =
            Some(scheduler.unwrap_or_else(|e| panic!("failover failed: {e}")));
    }

    /// Starts a leadership term: writes the leader's record and the next fencing token.
    fn start_term(&mut self) -> LeadershipTerm {
        let last = self.store.get(FENCING_TOKEN_KEY);
        let last = last.and_then(|item| item.data.as_u64()).unwrap_or(0);
        let token = FencingToken(last + 1);
        self.leadership.term_count += 1;
        let lease = LeaseId(self.leadership.term_count);
        let record = LeaderRecord {
            host_name: format!("controller-{}", self.leadership.term_count),
            token,
        };
        let transaction = Transaction {
            preconditions: Vec::new(),
            changes: vec![
                Change::Put {
                    put_key: LEADER_KEY.into(),
                    data: serde_json::to_value(&record).expect("leader records can be serialized"),
                    lease: Some(lease),
                },
                Change::put(FENCING_TOKEN_KEY.into(), token.0.into()),
            ],
        };
        let applied = self
            .store
            .apply(&transaction)
            .expect("a transaction without preconditions is applied");
        let revision = KeyRevision(applied.0);
        LeadershipTerm {
            token,
            initial_token: token,
            leader_key_revision: revision,
            token_counter_revision: revision,
            lease,
            host_name: record.host_name,
        }
    }

    /// Returns the state that a new leader reads from the state store.
    fn read_recovered_state(&self) -> RecoveredState {
        let open = self.store.list(OPEN_JOB_PREFIX).into_iter();
        RecoveredState {
            requested_at: self.now,
            open_jobs: open
                .map(|item| OpenJob {
                    revision: item.revision,
                    record: self.read_open_record(item),
                    submitted_at: self.now,
                })
                .collect(),
            progress_records: self.store.list(PROGRESS_PREFIX),
            intent_pages: self.store.list(INTENT_PAGE_PREFIX),
            machine_pages: self.store.list(MACHINE_PAGE_PREFIX),
            machine_types: self.cloud.machine_types.clone(),
            hints: self.store.get(HINTS_KEY),
            unix_time_at_zero_ms: 0,
        }
    }

    /// Whether messages between controllers arrive.
    pub(super) fn peers_connected(&self) -> bool {
        self.leadership.elections_enabled && self.now >= self.faults.peers_partitioned_until
    }

    /// Returns the maximum time for which the leader may not know a change that another controller has
    /// confirmed.
    fn max_staleness(&self) -> TimeSpan {
        let now = self.now;
        let served = self.faults.store_serves_leader(now);
        if self.peers_connected() || (served && now >= self.faults.watch_stalled_until) {
            return TimeSpan::ZERO;
        }
        match served {
            true => self.leadership.times.max_staleness,
            false => self.leadership.times.lease_duration,
        }
    }

    /// Passes the launches among the commands to the checker as the leader sends them.
    pub(super) fn check_launches(&mut self, commands: &[Command]) {
        let max_staleness = self.max_staleness();
        for command in commands {
            if let Command::Launch { task, .. } = command {
                self.checker.launch_sent(self.now, task, max_staleness);
            }
        }
    }

    /// Executes a command that the scheduler would never send, to show that the checker detects it.
    pub fn send_rogue_command(&mut self, machine_id: &MachineId, command: Command) {
        let commands = [command];
        self.check_launches(&commands);
        if let Some(worker) = self.workers.get_mut(machine_id) {
            worker.execute(self.now, &commands, &self.workload);
        }
    }

    /// Delivers the jobs that were opened or closed to the leader, as its watch does.
    pub(super) fn deliver_job_changes(&mut self) {
        let now = self.now;
        let slow = now < self.faults.store_slow_until && now.0 % SLOW_WATCH_INTERVAL.0 != 0;
        let served = self.faults.store_serves_leader(now);
        let stalled = now < self.faults.watch_stalled_until;
        if !served || stalled || slow || self.faults.watch_blocked {
            return;
        }
        if let Some(authority) = &self.leadership.authority {
            authority.view_refreshed(now);
        }
        if self.leadership.scheduler.is_none() {
            return;
        }
        let since = self.leadership.watched_revision;
        let changes = self.store.changes_since(since).into_iter();
        let events: Vec<Event> = changes
            .filter_map(|(key, item)| {
                let id = JobId::from(key.strip_prefix(OPEN_JOB_PREFIX)?);
                Some(match item {
                    Some(item) => Event::JobOpened(Box::new(OpenJob {
                        revision: item.revision,
                        record: self.read_open_record(item),
                        submitted_at: now,
                    })),
                    None => Event::JobClosed { id },
                })
            })
            .collect();
        if let Some(scheduler) = self.leadership.scheduler.as_mut() {
            for event in events {
                scheduler.handle(now, event);
            }
            scheduler.handle(now, Event::ViewRefreshed { requested_at: now });
        }
        self.leadership.watched_revision = self.store.store_revision;
    }
}
