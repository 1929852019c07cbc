//! What became of the writer's transactions: done, refused, or unclear and to be read again.

use super::super::chains::Closure;
use super::super::{Core, Effect};
use super::{Flight, Work, REFUSED};
use crate::ids::{Epoch, JobId, Millis, PageNo, Stamp};
use crate::protocol::state::Item;
use crate::storage::pages::StartKey;
use crate::storage::records::{
    parse_page, parse_progress_key, progress_key, LeadRecord, EDGES, HINTS, HOSTS, INTENTS, LEAD,
    OPEN, TOKEN,
};
use std::collections::BTreeSet;

impl Core {
    pub(crate) fn written(&mut self, now: Millis, seq: u64, epoch: Epoch) {
        if !matches!(&self.writer.flight, Flight::Writing { seq: s, .. } if *s == seq) {
            return;
        }
        let Flight::Writing { works, .. } =
            std::mem::replace(&mut self.writer.flight, Flight::None)
        else {
            return;
        };
        let stamp = Stamp(epoch.0);
        for work in works {
            match work {
                Work::Intents { page, keys } => self.intents_written(now, page, stamp, keys),
                Work::DropIntents { page } => self.writer.intents.deleted(page),
                Work::Hosts { page, hosts } => {
                    self.writer.hosts.written(now, page, stamp, &hosts);
                    for h in &hosts {
                        if let Some(m) = self.machines.get_mut(h) {
                            m.noted = true;
                        }
                    }
                }
                Work::Raise { token } => {
                    tracing::debug!(token = %token, "our token is raised");
                    self.lead.token = token;
                    self.lead.stamp = stamp;
                    self.lead.token_stamp = stamp;
                    self.writer.raised_at = now;
                }
                Work::Progress { job, chunk, tasks } => {
                    self.writer.progress.insert((job.clone(), chunk), stamp);
                    self.writer.progress_at = now;
                    if let Some(j) = self.jobs.get_mut(&job) {
                        j.unsaved.retain(|i| !tasks.contains(i));
                        if j.over {
                            self.collect_orphaned_progress(&job);
                        }
                        self.index_job(&job);
                    }
                }
                Work::Finish { job } => {
                    tracing::debug!(job = %job, "done");
                    self.job_closed(now, &job, Closure::Finished);
                    self.collect_orphaned_progress(&job);
                }
                Work::Cancel { job } => {
                    tracing::debug!(job = %job, "cancelled with a job that it needs");
                    self.job_closed(now, &job, Closure::Cancelled);
                }
                Work::DropEdges { key } => {
                    self.writer.orphaned_edges.remove(&key);
                }
                Work::DropProgress { key } => {
                    self.writer.orphaned_progress.remove(&key);
                }
                Work::Hints => {
                    self.writer.hints = stamp;
                    self.writer.hints_at = now;
                    self.writer.hints_news = false;
                }
            }
        }
    }

    /// A page is written: its new starts may be launched.
    pub(super) fn intents_written(
        &mut self,
        now: Millis,
        page: PageNo,
        stamp: Stamp,
        keys: Vec<StartKey>,
    ) {
        let mut hosts = BTreeSet::new();
        let mut live = Vec::new();
        let mut gone = false;
        for k in keys {
            let m = self.machines.get_mut(&k.host);
            let start = m.and_then(|m| m.starts.get_mut(&(k.task.clone(), k.attempt)));
            match start.filter(|s| !s.ended()) {
                Some(s) => {
                    if s.page.is_none() {
                        hosts.insert(k.host.clone());
                    }
                    s.page = Some(page);
                    live.push(k);
                }
                None => gone = true,
            }
        }
        self.writer.intents.written(now, page, stamp, live, gone);
        self.direct_due.extend(hosts);
    }

    /// Progress records of a job that is over are swept when there is time.
    pub(crate) fn collect_orphaned_progress(&mut self, id: &JobId) {
        let keys: Vec<(JobId, u32)> = self
            .writer
            .progress
            .keys()
            .filter(|(j, _)| j == id)
            .cloned()
            .collect();
        for k in keys {
            if let Some(stamp) = self.writer.progress.remove(&k) {
                self.writer
                    .orphaned_progress
                    .insert(progress_key(&k.0, k.1), stamp);
            }
        }
    }

    pub(crate) fn not_written(&mut self, now: Millis, seq: u64) {
        if matches!(&self.writer.flight, Flight::Writing { seq: s, .. } if *s == seq) {
            self.writer.flight = Flight::None;
            self.writer.not_before = now + REFUSED;
        }
    }

    /// The service takes no more changes for now. What may wait does so until the rate allowed to this
    /// leader has come up again: leases, launches and ends of jobs go first.
    pub(crate) fn write_limited(&mut self, now: Millis, seq: u64, pause: Millis) {
        if matches!(&self.writer.flight, Flight::Writing { seq: s, .. } if *s == seq) {
            self.writer.flight = Flight::None;
            self.writer.not_before = now + pause;
            self.writer.budget.empty(now);
        }
    }

    /// A write whose guards failed (these, if it is known which), or of which nothing is known.
    pub(crate) fn write_unclear(&mut self, now: Millis, seq: u64, failed: &[String]) {
        let Flight::Writing { seq: s, txn, .. } = &self.writer.flight else {
            return;
        };
        if *s != seq {
            return;
        }
        let mut keys: BTreeSet<String> = txn.apply.iter().map(|c| c.key().to_string()).collect();
        keys.insert(LEAD.into());
        // Of open jobs only those that failed, if the service said which; else all of them.
        let guards = txn.guards.iter().map(|g| &g.key);
        keys.extend(
            guards
                .filter(|k| failed.is_empty() || failed.contains(k))
                .cloned(),
        );
        self.read_again(now, keys.into_iter().collect());
    }

    pub(super) fn read_again(&mut self, now: Millis, keys: Vec<String>) {
        let seq = self.seq();
        self.writer.flight = Flight::Reading {
            seq,
            keys: keys.clone(),
            at: now,
        };
        self.effects.push(Effect::Reread { seq, keys });
    }

    /// The keys as they stand: versions are taken over, and what still differs is written again.
    /// A transaction that may yet be applied late carries the old versions: if it is, our next one
    /// fails and we come here again; if ours is first, the late one does nothing.
    pub(crate) fn reread(&mut self, now: Millis, seq: u64, items: Vec<(String, Option<Item>)>) {
        if !matches!(&self.writer.flight, Flight::Reading { seq: s, .. } if *s == seq) {
            return;
        }
        self.writer.flight = Flight::None;
        for (key, item) in items {
            let stamp = item.as_ref().map_or(Stamp(0), |i| i.stamp);
            if key == LEAD {
                self.lead_reread(now, item);
            } else if key == TOKEN {
                self.lead.token_stamp = stamp;
            } else if key == HINTS {
                self.writer.hints = stamp;
            } else if let Some(id) = key.strip_prefix(OPEN) {
                self.open_reread(now, id, stamp);
            } else if let Some(page) = parse_page(&key, INTENTS) {
                self.writer.intents.reread(now, page, stamp);
            } else if let Some(page) = parse_page(&key, HOSTS) {
                self.writer.hosts.reread(now, page, stamp);
            } else if key.starts_with(EDGES) {
                if stamp == Stamp(0) {
                    self.writer.orphaned_edges.remove(&key);
                }
            } else if let Some((job, chunk)) = parse_progress_key(&key) {
                if self.writer.orphaned_progress.remove(&key).is_some() {
                    if stamp != Stamp(0) {
                        self.writer.orphaned_progress.insert(key, stamp);
                    }
                } else {
                    self.writer.progress.insert((job, chunk), stamp);
                }
            }
        }
        self.dirty = true;
    }

    pub(super) fn open_reread(&mut self, now: Millis, id: &str, stamp: Stamp) {
        let id = JobId::from(id);
        if stamp == Stamp(0) {
            self.job_closed(now, &id, Closure::Unknown);
            self.collect_orphaned_progress(&id);
        } else if let Some(job) = self.jobs.get_mut(&id) {
            job.stamp = stamp;
        }
    }

    /// The leader key is ours as long as it is on our lease. It may carry a token that we raised
    /// without learning of it.
    pub(super) fn lead_reread(&mut self, now: Millis, item: Option<Item>) {
        let ours = item
            .filter(|i| i.lease == Some(self.lead.lease))
            .and_then(|i| {
                let record: LeadRecord = serde_json::from_value(i.data).ok()?;
                (record.host_name == self.lead.host_name).then_some((record.token, i.stamp))
            });
        match ours {
            Some((token, stamp)) => {
                if token > self.lead.token {
                    self.lead.token = token;
                    self.writer.raised_at = now;
                }
                self.lead.stamp = stamp;
            }
            None => self.effects.push(Effect::StepDown {
                why: "the leader key is no longer ours",
            }),
        }
    }
}
