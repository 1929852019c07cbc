//! Who leads: leases, takeovers, and what reaches the leader of the jobs.

use super::World;
use chalklug::coordination::leadership::authority::Authority;
use chalklug::coordination::leadership::recovery::RecoveredState;
use chalklug::coordination::leadership::LeadershipTerm;
use chalklug::coordination::{Event, OpenJob, Scheduler};
use chalklug::ids::*;
use chalklug::protocol::state::{Change, Transaction};
use chalklug::protocol::workers::Command;
use chalklug::storage::records::*;
use chalklug::time::{Instant, TimeSpan};

impl World {
    /// The leader dies. What it has sent stays on its way.
    pub fn crash(&mut self) {
        self.core = None;
        self.authority = None;
    }

    /// Whether the present leader is served by the state service.
    pub(super) fn leader_served(&self) -> bool {
        self.now >= self.state_down && self.now >= self.leader_refused
    }

    /// The lease behind the leader's authority: touched while that is possible, over after its life,
    /// and with its full time again once an outage ends.
    pub(super) fn keep_lease(&mut self) {
        let now = self.now;
        let down = now < self.state_down;
        if down && self.lease_until > now {
            self.lease_until = self.state_down + self.times.life;
        }
        if self.core.is_some() {
            let due = now - self.touched >= TimeSpan(self.times.life.0 / 5);
            if due && self.leader_served() && self.lease_until > now {
                self.touched = now;
                self.lease_until = now + self.times.life;
                if let Some(a) = &self.authority {
                    a.lease_renewed(now);
                }
            }
            let holds = self.authority.as_ref().is_none_or(|a| a.is_held(now));
            if !holds {
                self.crash();
                if self.leader_served() {
                    // It ends its own lease: others needn't wait for it.
                    self.lease_until = now;
                }
            }
        }
        // Half a second until somebody notices.
        let over = now - self.lease_until >= TimeSpan(500);
        if over && !down {
            if self.core.is_some() {
                self.checker.two_leaders(now);
            }
            self.lead();
        }
    }

    /// A new leader takes over.
    pub fn lead(&mut self) {
        let last = self.store.get(FENCING_TOKEN_KEY);
        let token = FencingToken(last.as_ref().and_then(|i| i.data.as_u64()).unwrap_or(0) + 1);
        self.leases += 1;
        let lease = LeaseId(self.leases);
        let record = LeaderRecord {
            host_name: format!("controller-{}", self.leases),
            token,
        };
        let transaction = Transaction {
            preconditions: Vec::new(),
            changes: vec![
                Change::Put {
                    put: LEADER_KEY.into(),
                    data: serde_json::to_value(&record).unwrap(),
                    lease: Some(lease),
                },
                Change::put(FENCING_TOKEN_KEY.into(), token.0.into()),
            ],
        };
        let revision = KeyRevision(self.store.apply(&transaction).unwrap().0);
        let now = self.now;
        let open: Vec<_> = self
            .store
            .list(OPEN_JOB_PREFIX)
            .into_iter()
            .map(|i| {
                let revision = i.revision;
                OpenJob {
                    record: self.open_record(i),
                    revision,
                    submitted_at: now,
                }
            })
            .collect();
        let found = RecoveredState {
            open_jobs: open,
            progress_records: self.store.list(PROGRESS_PREFIX),
            intent_pages: self.store.list(INTENT_PAGE_PREFIX),
            machine_pages: self.store.list(MACHINE_PAGE_PREFIX),
            machine_types: self.machine_types.clone(),
            hints: self.store.get(HINTS_KEY),
            time_of_day_at_zero_ms: 0,
        };
        self.seen_epoch = self.store.store_revision;
        let lead = LeadershipTerm {
            token,
            initial_token: token,
            leader_key_revision: revision,
            token_counter_revision: revision,
            lease,
            host_name: record.host_name,
        };
        self.authority = self.campaigns.then(|| Authority::new(self.times, now));
        self.lease_until = now + self.times.life;
        self.touched = now;
        // The next to lead is another controller, which the service serves.
        self.leader_refused = Instant(0);
        let core = Scheduler::recover(self.policy.clone(), lead, now, found);
        self.core = Some(core.unwrap_or_else(|e| panic!("{e}")));
    }

    /// For how long the leader can't have heard of what was confirmed elsewhere.
    pub(super) fn unheard(&self) -> TimeSpan {
        let now = self.now;
        let told = self.campaigns && now >= self.peers_cut;
        if told || (self.leader_served() && now >= self.watch_stuck) {
            return TimeSpan::ZERO;
        }
        if self.leader_served() {
            return self.times.max_staleness;
        }
        self.times.life
    }

    pub(super) fn launches_leave(&mut self, commands: &[Command]) {
        let (now, unheard) = (self.now, self.unheard());
        for o in commands {
            if let Command::Launch { task, .. } = o {
                self.checker.launch_leaves(now, task, unheard);
            }
        }
    }

    pub(super) fn watch(&mut self) {
        let slow = self.now < self.state_slow && self.now.0 % 1500 != 0;
        if !self.leader_served() || self.now < self.watch_stuck || slow || self.rogue_deaf {
            return;
        }
        if let Some(a) = &self.authority {
            a.view_refreshed(self.now);
        }
        if self.core.is_none() {
            return;
        }
        let mut events = Vec::new();
        for (key, item) in self.store.changes_since(self.seen_epoch) {
            let Some(id) = key.strip_prefix(OPEN_JOB_PREFIX) else {
                continue;
            };
            let event = match item {
                Some(i) => Event::JobOpened(Box::new(OpenJob {
                    revision: i.revision,
                    record: self.open_record(i),
                    submitted_at: self.now,
                })),
                None => Event::JobClosed {
                    id: JobId::from(id),
                },
            };
            events.push(event);
        }
        for event in events {
            if let Some(core) = self.core.as_mut() {
                core.on(self.now, event);
            }
        }
        self.seen_epoch = self.store.store_revision;
    }
}
