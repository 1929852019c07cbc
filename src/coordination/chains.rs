//! Chains of jobs: opening and closing of jobs, what follows from it for the jobs that need them, and
//! the reading of finish marks that decide a release.
//!
//! A job is released only by finish marks known to be durable: one that this leader's own transaction
//! has written, or one that was read. A report, a write without an answer, or an open record that is
//! gone decide nothing.

use super::graph::{Changes, JobTraits, Release};
use super::{Core, Effect};
use crate::ids::{HostId, JobId, Millis, Stamp};
use crate::protocol::users::JobPhase;
use crate::storage::ledger::Job;
use crate::storage::records::{FinalRecord, OpenRecord};
use std::collections::BTreeSet;

/// How a job came to be no longer open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Closure {
    /// Its finish mark is durable.
    Finished,
    /// Its cancellation is durable.
    Cancelled,
    /// Its open record is gone: by a write of ours whose answer is still to come, by a cancellation, or
    /// long ago, if what we see is old. Its finish mark says which.
    Unknown,
}

/// Finish marks read in one go.
const MARKS_READ_AT_ONCE: usize = 32;
/// The pause after a read in which a job had no mark: its open record is on the way to us.
const MARK_MISSING_PAUSE: Millis = Millis(1_000);
/// A read that is not answered within this is made again, should the runtime have lost it.
const MARK_READ_LOST: Millis = Millis(30_000);

/// The reading of finish marks.
#[derive(Debug)]
pub struct MarkReads {
    /// Since when a read is under way.
    asked: Option<Millis>,
    not_before: Millis,
    /// The last id of the last read: all have their turn.
    last: Option<JobId>,
}

impl Default for MarkReads {
    fn default() -> MarkReads {
        MarkReads {
            asked: None,
            not_before: Millis(i64::MIN / 4),
            last: None,
        }
    }
}

impl Core {
    pub(super) fn job_opened(
        &mut self,
        now: Millis,
        record: OpenRecord,
        stamp: Stamp,
        submitted: Millis,
    ) {
        let id = record.spec.id.clone();
        match self.jobs.get_mut(&id) {
            // A job that is over here never opens again: the finish mark stands for ever.
            Some(job) if job.over => {}
            Some(job) => job.stamp = stamp,
            None => {
                let team = self.team_of(&record.spec);
                let mut job = Job::new(record.spec, team, stamp, submitted);
                job.edge_pages = record.edge_pages;
                let traits = self.traits_of(&job, &record.after);
                self.jobs.insert(id.clone(), job);
                self.index_job(&id);
                self.graph.add(&id, &record.after, traits);
                self.apply_graph_changes(now);
                self.dirty = true;
            }
        }
    }

    /// What the job brings into the graph. Its deadline is its own, or else the class's `finished`
    /// objective (an exception of ours, see docs/DESIGN.md: most deployed jobs state no deadline); that
    /// one counts from the release, so it says nothing for a job that waits for others.
    fn traits_of(&self, job: &Job, after: &[JobId]) -> JobTraits {
        let spec = &job.spec;
        let objective = || self.policy.finished_within(&spec.class);
        let fallback = || objective().filter(|_| after.is_empty());
        let due_s = spec.due_s.or_else(fallback);
        // Without machine types nothing is known of the fetch.
        let fetch_s = Some(self.shortest_fetch_s(spec)).filter(|s| s.is_finite());
        let run_s = self.longest_of(job) + fetch_s.unwrap_or(0.0);
        JobTraits {
            due: due_s.map(|s| job.submitted + Millis::from_secs(s)),
            run: Millis::from_secs(run_s),
            urgency: spec.urgency,
        }
    }

    /// A job is no longer open.
    ///
    /// Guards against a cancellation inferred from what is known of the tasks: changes can come twice, so
    /// that a job which was done and forgotten opens once more without its tasks, and closes; the jobs that
    /// need it were cancelled. Where the closure is unknown, only the finish mark says what it was.
    pub(crate) fn job_closed(&mut self, now: Millis, id: &JobId, closure: Closure) {
        if !self.jobs.contains_key(id) {
            return;
        }
        match closure {
            Closure::Finished => self.graph.finished(id, now),
            Closure::Cancelled => self.graph.cancelled(id),
            Closure::Unknown => self.graph.closed(id),
        }
        self.apply_graph_changes(now);
        self.end_job(now, id);
    }

    /// Nothing of the job may start any more, and what runs is stopped.
    fn end_job(&mut self, now: Millis, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id).filter(|j| !j.over) else {
            return;
        };
        if !job.complete() {
            tracing::debug!(job = %id, "cancelled");
        }
        job.over = true;
        job.pending.clear();
        self.writer.orphan_edges(id, job.edge_pages);
        self.dirty = true;
        let hosts: BTreeSet<HostId> = job.places.values().flatten().cloned().collect();
        for h in hosts {
            self.drop_untouched(now, &h, id);
            self.to_review.insert(h);
        }
        self.index_job(id);
    }

    /// Carries over to the jobs what the graph says.
    pub(super) fn apply_graph_changes(&mut self, now: Millis) {
        let Changes {
            released,
            cancelled,
        } = self.graph.take_changes();
        for release in released {
            self.release(now, release);
        }
        for id in cancelled {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.ancestor_cancelled = true;
                self.index_job(&id);
            }
        }
    }

    /// A job may run: from now on it counts for its team, for the forecast and for its aims.
    fn release(&mut self, now: Millis, release: Release) {
        let Some(job) = self.jobs.get_mut(&release.id) else {
            return;
        };
        job.released = true;
        if let Some(at) = release.at {
            job.ready = at.min(now).max(job.submitted);
        }
        if let Some(last_mark) = release.at {
            tracing::debug!(job = %release.id, last_mark_ms = last_mark.0, "released by the marks of its producers");
        }
        let (spec, ready) = (job.spec.clone(), job.ready);
        self.note_arrival(&spec, ready);
        self.note_size(&spec.class, spec.tasks);
        self.index_job(&release.id);
        self.dirty = true;
    }

    /// Asks for the finish marks of producers of which nothing is known here.
    pub(super) fn read_marks(&mut self, now: Millis) {
        let reads = &mut self.mark_reads;
        let under_way = reads.asked.is_some_and(|t| now - t < MARK_READ_LOST);
        if under_way || now < reads.not_before {
            return;
        }
        let last = reads.last.as_ref();
        let ids = self.graph.unknown_after(last, MARKS_READ_AT_ONCE);
        if ids.is_empty() {
            return;
        }
        reads.asked = Some(now);
        reads.last = ids.last().cloned();
        self.effects.push(Effect::ReadMarks { ids });
    }

    /// Finish marks as they stand.
    pub(super) fn marks_read(&mut self, now: Millis, marks: Vec<(JobId, Option<FinalRecord>)>) {
        self.mark_reads.asked = None;
        for (id, mark) in marks {
            match mark {
                Some(mark) if mark.phase == JobPhase::Done => {
                    let at = mark
                        .at_ms
                        .map(|ms| Millis(ms as i64) - Millis(self.day_ms as i64));
                    self.graph.finished(&id, at.map_or(now, |at| at.min(now)));
                }
                Some(mark) if mark.phase == JobPhase::Cancelled => self.graph.cancelled(&id),
                // Still open as far as the service goes: its record comes with the next changes.
                _ => self.mark_reads.not_before = now + MARK_MISSING_PAUSE,
            }
        }
        self.apply_graph_changes(now);
    }
}
