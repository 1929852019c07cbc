//! Chains of jobs: opening and closing of jobs, what follows from it for the jobs that need them, and
//! the reading of finish marks that decide a release.
//!
//! A job is released only by finish marks known to be durable: one that this leader's own transaction
//! has written, or one that was read. A report, a write without an answer, or an open record that is
//! gone decide nothing.

use crate::coordination::jobs::graph::{Changes, JobTraits, Release};
use crate::coordination::jobs::job::Job;
use crate::coordination::{Effect, OpenJob, Scheduler, TerminalRecordRead};
use crate::ids::{JobId, MachineId};
use crate::protocol::users::JobPhase;
use crate::time::{Instant, TimeSpan};
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
const MAX_TERMINAL_RECORDS_PER_READ: usize = 32;
/// The pause after a read in which a job had no mark: its open record is on the way to us.
const MISSING_RECORD_RETRY_DELAY: TimeSpan = TimeSpan(1_000);
/// A read that is not answered within this is made again, should the runtime have lost it.
const READ_TIMEOUT: TimeSpan = TimeSpan(30_000);

/// The reading of finish marks.
#[derive(Debug)]
pub struct TerminalRecordReads {
    /// Since when a read is under way.
    asked: Option<Instant>,
    not_before: Instant,
    /// The last id of the last read: all have their turn.
    last: Option<JobId>,
}

impl Default for TerminalRecordReads {
    fn default() -> TerminalRecordReads {
        TerminalRecordReads {
            asked: None,
            not_before: Instant::LONG_AGO,
            last: None,
        }
    }
}

impl Scheduler {
    /// An open job has appeared, or is listed again.
    pub(crate) fn job_opened(&mut self, now: Instant, open_job: OpenJob) {
        let OpenJob {
            record,
            revision,
            submitted_at,
        } = open_job;
        let id = record.spec.id.clone();
        if let Some(job) = self.jobs.get(&id) {
            // A job that is closed here never opens again: the terminal record stands for ever.
            if !job.is_closed() {
                self.jobs.update(&id, |job| job.open_record_seen(revision));
            }
            return;
        }
        let team = self.policy.team_index(&record.spec.team);
        let pages = record.dependency_pages;
        let job = Job::new(record.spec, team, revision, submitted_at, pages);
        let traits = self.traits_of(&job, &record.after);
        self.jobs.insert(id.clone(), job);
        self.jobs.graph.add(&id, &record.after, traits);
        self.apply_graph_changes(now);
        self.placement.request_pass();
    }

    /// What the job brings into the graph. Its deadline is its own, or else the class's `finished`
    /// objective (an exception of ours, see docs/DESIGN.md: most deployed jobs state no deadline); that
    /// one counts from the release, so it says nothing for a job that waits for others.
    fn traits_of(&self, job: &Job, after: &[JobId]) -> JobTraits {
        let spec = job.spec();
        let objective = || self.policy.max_completion_s(&spec.class);
        let fallback = || objective().filter(|_| after.is_empty());
        let due_s = spec.due_s.or_else(fallback);
        // Without machine types nothing is known of the fetch.
        let fetch_s = Some(self.machines.shortest_image_pull_s(spec)).filter(|s| s.is_finite());
        let run_s = self.longest_of(job) + fetch_s.unwrap_or(0.0);
        JobTraits {
            due: due_s.map(|s| job.submitted_at() + TimeSpan::from_secs(s)),
            run: TimeSpan::from_secs(run_s),
            priority: spec.priority,
        }
    }

    /// A job is no longer open.
    ///
    /// Guards against a cancellation inferred from what is known of the tasks: changes can come twice, so
    /// that a job which was done and forgotten opens once more without its tasks, and closes; the jobs that
    /// need it were cancelled. Where the closure is unknown, only the finish mark says what it was.
    pub(crate) fn job_closed(&mut self, now: Instant, id: &JobId, closure: Closure) {
        if !self.jobs.contains(id) {
            return;
        }
        match closure {
            Closure::Finished => self.jobs.graph.finished(id, now),
            Closure::Cancelled => self.jobs.graph.cancelled(id),
            Closure::Unknown => self.jobs.graph.closed(id),
        }
        self.apply_graph_changes(now);
        self.end_job(now, id);
    }

    /// Nothing of the job may start any more, and what runs is stopped.
    fn end_job(&mut self, now: Instant, id: &JobId) {
        let Some(job) = self.jobs.get(id).filter(|job| !job.is_closed()) else {
            return;
        };
        if !job.is_complete() {
            tracing::debug!(job = %id, "cancelled");
        }
        self.writer.orphan_edges(id, job.dependency_pages());
        let placements = job.placements().values().flatten();
        let machine_ids: BTreeSet<MachineId> = placements.cloned().collect();
        self.jobs.update(id, Job::close);
        self.placement.request_pass();
        for machine_id in machine_ids {
            self.ledger().remove_never_launched(now, &machine_id, id);
            self.outbox.machines_to_review.insert(machine_id);
        }
    }

    /// Carries over to the jobs what the graph says.
    pub(crate) fn apply_graph_changes(&mut self, now: Instant) {
        let Changes {
            released,
            cancelled,
        } = self.jobs.graph.take_changes();
        for release in released {
            self.release(now, release);
        }
        for id in cancelled {
            self.jobs.update(&id, Job::cancel_with_ancestor);
        }
    }

    /// A job may run: from now on it counts for its team, for the forecast and for its aims.
    fn release(&mut self, now: Instant, release: Release) {
        self.jobs
            .update(&release.id, |job| job.release(now, release.at));
        let Some(job) = self.jobs.get(&release.id) else {
            return;
        };
        if let Some(last_mark) = release.at {
            tracing::debug!(job = %release.id, last_mark_ms = last_mark.0, "released by the marks of its producers");
        }
        let (spec, ready) = (job.spec().clone(), job.ready_at());
        self.note_arrival(&spec, ready);
        self.note_size(&spec.class, spec.tasks);
        self.placement.request_pass();
    }

    /// Asks for the finish marks of producers of which nothing is known here.
    pub(crate) fn read_terminal_records(&mut self, now: Instant) {
        let reads = &mut self.jobs.terminal_record_reads;
        let under_way = reads.asked.is_some_and(|t| now - t < READ_TIMEOUT);
        if under_way || now < reads.not_before {
            return;
        }
        let last = reads.last.as_ref();
        let ids = self
            .jobs
            .graph
            .unknown_after(last, MAX_TERMINAL_RECORDS_PER_READ);
        if ids.is_empty() {
            return;
        }
        reads.asked = Some(now);
        reads.last = ids.last().cloned();
        self.effects.push(Effect::ReadTerminalRecords { ids });
    }

    /// Finish marks as they stand.
    pub(crate) fn terminal_records_read(&mut self, now: Instant, records: Vec<TerminalRecordRead>) {
        self.jobs.terminal_record_reads.asked = None;
        for TerminalRecordRead { job: id, record } in records {
            match record {
                Some(terminal_record) if terminal_record.phase == JobPhase::Done => {
                    let at = terminal_record
                        .at_ms
                        .map(|ms| self.leadership.on_steady_clock(TimeSpan(ms as i64)));
                    self.jobs
                        .graph
                        .finished(&id, at.map_or(now, |at| at.min(now)));
                }
                Some(terminal_record) if terminal_record.phase == JobPhase::Cancelled => {
                    self.jobs.graph.cancelled(&id)
                }
                // Still open as far as the service goes: its record comes with the next changes.
                _ => self.jobs.terminal_record_reads.not_before = now + MISSING_RECORD_RETRY_DELAY,
            }
        }
        self.apply_graph_changes(now);
    }
}
