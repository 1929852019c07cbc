//! What is sent to workers: launches, stops and clears, in answers to check-ins and as direct commands.

use super::{Core, Effect};
use crate::ids::{HostId, Millis, Session};
use crate::protocol::workers::{Cause, Order, TaskPhase};
use crate::storage::ledger::{DirectCarrier, Machine, MachineState, Start};
use std::collections::BTreeSet;

/// The part of the wait for a gang by which fetches may differ, as estimated: they take up to half as
/// long again.
const PATIENT: f64 = 0.4;
/// Orders in one message: keeps its line well under 64 KiB.
const MAX_ORDERS: usize = 400;

impl Core {
    /// Whether an ended start may be cleared: its outcome is durable (or of no interest), and no
    /// launch of the same try can arrive any more and start it afresh.
    ///
    /// Guards against a copy of a direct command that is executed again: once cleared, the worker
    /// would not know the try any more. The command that clears carries a higher token than any that
    /// launched, and a worker refuses lower ones from then on.
    fn may_clear(&self, s: &Start) -> bool {
        if !s.ended() || s.in_flight() || s.launched_with.is_some_and(|b| b >= self.lead.token) {
            return false;
        }
        let done = s.seen.is_some_and(|x| x.cause == Some(Cause::Done));
        match self.jobs.get(&s.task.job) {
            Some(j) if done && !j.over => {
                j.done.has(s.task.index) && !j.unsaved.contains(&s.task.index)
            }
            _ => true,
        }
    }

    fn wants_launch(&self, m: &Machine, s: &Start) -> bool {
        s.page.is_some()
            && !self.waits_for_mates(s)
            && s.stop.is_none()
            && s.seen.is_none()
            && !s.inherited
            && !m.drain
            && m.recall_at.is_none()
            && m.state == MachineState::Up
            && self
                .jobs
                .get(&s.task.job)
                .is_some_and(|j| j.wants(s.task.index))
    }

    /// Whether a member of a gang has its image so much sooner than another that it would give up
    /// before the other has it: it is launched once all of those have theirs.
    ///
    /// Guards against a gang that never stands: on a calm day of the fleet one member had a large
    /// image already, the other's fetch took longer than the wait for a gang; both ended, the fetch
    /// was given up, and the same began anew, four times.
    fn waits_for_mates(&self, s: &Start) -> bool {
        let Some(soon) = s.image_s else {
            return false;
        };
        let Some(job) = self.jobs.get(&s.task.job) else {
            return false;
        };
        let patience = self.policy.facts.workers.gang_wait_s * PATIENT;
        let fetches = |m: &Start| {
            m.task.job == s.task.job
                && m.attempt == s.attempt
                && m.image_s.is_some_and(|later| later > soon + patience)
                && m.seen.is_none_or(|x| x.phase == TaskPhase::Fetching)
        };
        job.places
            .values()
            .flatten()
            .filter_map(|h| self.machines.get(h))
            .flat_map(Machine::going)
            .any(fetches)
    }

    /// The orders that answer a check-in: all that the worker should know now.
    pub(super) fn check_in_orders(
        &mut self,
        now: Millis,
        host: &HostId,
        fresh: bool,
    ) -> Vec<Order> {
        let Some(m) = self.machines.get(host) else {
            return Vec::new();
        };
        let mut orders = Vec::new();
        let mut launched = Vec::new();
        for (key, s) in &m.starts {
            if orders.len() >= MAX_ORDERS {
                break;
            }
            if s.ended() {
                if self.may_clear(s) {
                    orders.push(Order::Clear {
                        task: s.task.clone(),
                        attempt: s.attempt,
                    });
                }
            } else if s.stop.is_some() {
                orders.extend(Self::stop_order(s, now));
            } else if fresh
                && self.wants_launch(m, s)
                && !matches!(s.direct, DirectCarrier::InFlight(_))
            {
                orders.push(Order::Launch {
                    task: s.task.clone(),
                    attempt: s.attempt,
                });
                launched.push(key.clone());
            }
        }
        let (session, tick) = (m.session, m.tick);
        for key in launched {
            if let Some(s) = self.start_mut(host, &key) {
                s.checkin_carrier = Some(tick);
                s.launched_in = Some(session);
            }
        }
        orders
    }

    /// The orders of a direct command with what is known as it leaves: launches of tasks that are no longer
    /// wanted are left out.
    ///
    /// Guards against a command that waits for its turn on a busy processor while its job is cancelled. The
    /// answer to it lists no such task, so the start is dropped as one that was never launched.
    pub fn still_wanted(&self, mut orders: Vec<Order>) -> Vec<Order> {
        orders.retain(|order| match order {
            Order::Launch { task, .. } => {
                let job = self.jobs.get(&task.job);
                job.is_some_and(|j| j.wants(task.index))
            }
            Order::Stop { .. } | Order::Clear { .. } => true,
        });
        orders
    }

    /// Launches and stops that needn't wait for the next check-in go straight to the worker: one
    /// command at a time on each machine, and a bounded number of them at once.
    pub(crate) fn push_direct(&mut self, now: Millis) {
        let mut later = BTreeSet::new();
        while let Some(host) = self.direct_due.pop_first() {
            let Some(m) = self.machines.get(&host) else {
                continue;
            };
            // An answer that is awaited brings it back here; so does the worker's first report.
            let never = m.direct_seq.is_some() || m.endpoint.is_empty() || m.session == Session(0);
            if never || m.state != MachineState::Up {
                continue;
            }
            if m.direct_after > now || self.directs >= self.policy.most_direct {
                later.insert(host);
                continue;
            }
            self.push_direct_to(now, &host);
        }
        self.direct_due = later;
    }

    fn push_direct_to(&mut self, now: Millis, host: &HostId) {
        let Some(m) = self.machines.get(host) else {
            return;
        };
        let mut orders = Vec::new();
        let mut carried = Vec::new();
        let mut stops = Vec::new();
        for (key, s) in &m.starts {
            if orders.len() >= MAX_ORDERS {
                break;
            }
            if let Some(w) = s.stop.filter(|_| !s.ended()) {
                // Repeats are left to the check-ins.
                if !w.sent_direct {
                    orders.extend(Self::stop_order(s, now));
                    stops.push(key.clone());
                }
            } else if self.wants_launch(m, s) && !s.in_flight() {
                orders.push(Order::Launch {
                    task: s.task.clone(),
                    attempt: s.attempt,
                });
                carried.push(key.clone());
            }
        }
        // Whether a machine that seems deaf hears us after all is seen by asking it.
        if orders.is_empty() && !m.deaf() {
            return;
        }
        let (endpoint, session) = (m.endpoint.clone(), m.session);
        let seq = self.seq();
        let token = self.lead.token;
        self.directs += 1;
        if let Some(m) = self.machines.get_mut(host) {
            m.direct_seq = Some(seq);
            for key in carried {
                if let Some(s) = m.starts.get_mut(&key) {
                    s.direct = DirectCarrier::InFlight(seq);
                    s.launched_in = Some(session);
                    s.launched_with = Some(token);
                }
            }
            for key in stops {
                if let Some(w) = m.starts.get_mut(&key).and_then(|s| s.stop.as_mut()) {
                    w.sent_direct = true;
                }
            }
        }
        self.effects.push(Effect::Direct {
            host: host.clone(),
            endpoint,
            seq,
            token,
            session,
            orders,
        });
    }
}
