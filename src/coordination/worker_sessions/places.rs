//! Where the tasks of jobs may be, and how starts leave the ledger.

use super::super::Core;
use crate::ids::{Attempt, HostId, JobId, Millis, TaskId};
use crate::storage::ledger::Start;

impl Core {
    pub(crate) fn start_mut(
        &mut self,
        host: &HostId,
        key: &(TaskId, Attempt),
    ) -> Option<&mut Start> {
        self.machines.get_mut(host)?.starts.get_mut(key)
    }

    pub(crate) fn add_place(&mut self, host: &HostId, task: &TaskId) {
        if let Some(job) = self.jobs.get_mut(&task.job) {
            let places = job.places.entry(task.index).or_default();
            if !places.contains(host) {
                places.push(host.clone());
            }
            job.pending.remove(&task.index);
            self.index_job(&task.job);
        }
    }

    /// The task is no longer on that machine (ended there, or proven gone).
    pub(super) fn drop_place(&mut self, host: &HostId, task: &TaskId) {
        // Another try of the same task may be on this machine.
        let still = self.machines.get(host).is_some_and(|m| {
            let tries = (task.clone(), Attempt(0))..=(task.clone(), Attempt(u64::MAX));
            m.starts.range(tries).any(|(_, s)| !s.ended())
        });
        self.dirty = true;
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if still {
            return;
        }
        if let Some(places) = job.places.get_mut(&task.index) {
            places.retain(|h| h != host);
            if places.is_empty() {
                job.places.remove(&task.index);
            }
        }
        if job.wants(task.index) && !job.places.contains_key(&task.index) {
            job.pending.insert(task.index);
        }
        if job.stands_together() {
            self.gangs_due.insert(task.job.clone());
        }
        self.index_job(&task.job);
    }

    /// A start is proven gone. Callers name the proof.
    pub(crate) fn remove_start(&mut self, now: Millis, host: &HostId, key: &(TaskId, Attempt)) {
        let Some(s) = self.take_start(now, host, key) else {
            return;
        };
        self.note_idle(now, host);
        if !s.ended() {
            tracing::debug!(task = %key.0, host = %host, "proven gone");
            self.drop_place(host, &key.0);
        }
    }

    /// Notes since when a machine has had nothing to do.
    pub(super) fn note_idle(&mut self, now: Millis, host: &HostId) {
        if let Some(m) = self.machines.get_mut(host) {
            if m.live > 0 {
                m.idle_since = None;
            } else {
                m.idle_since.get_or_insert(now);
            }
        }
    }

    /// Starts of a closed job that were never launched by anybody are dropped at once.
    pub(crate) fn drop_untouched(&mut self, now: Millis, host: &HostId, job: &JobId) {
        let Some(m) = self.machines.get(host) else {
            return;
        };
        let keys: Vec<_> = m
            .starts
            .values()
            .filter(|s| s.task.job == *job && s.untouched())
            .map(|s| (s.task.clone(), s.attempt))
            .collect();
        for key in keys {
            // Proof: never launched. If its intent is being written, that only errs on the safe side.
            self.remove_start(now, host, &key);
        }
    }

    /// All starts of a machine are proven gone at once: its lease is over, or the cloud said so.
    pub(crate) fn empty_machine(&mut self, now: Millis, host: &HostId) {
        let Some(m) = self.machines.get(host) else {
            return;
        };
        let keys: Vec<_> = m.starts.keys().cloned().collect();
        for key in keys {
            self.remove_start(now, host, &key);
        }
    }
}
