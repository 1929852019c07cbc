//! Opening and closing of jobs, and what follows from it for the jobs downstream of them.
//!
//! A job is released only by terminal records known to be durable: one that this leader's own transaction
//! has written, or one that was read. A heartbeat, a write without an answer, or an open record that is gone
//! decide nothing.

use crate::coordination::jobs::graph::{GraphChanges, JobAttributes, ReleasedJob};
use crate::coordination::jobs::job::Job;
use crate::coordination::jobs::table::JobTable;
use crate::coordination::{Effect, OpenJob, Scheduler, TerminalRecordRead};
use crate::ids::{JobId, MachineId};
use crate::protocol::users::JobPhase;
use crate::time::{Instant, TimeSpan};
use std::collections::BTreeSet;

/// How a job came to be no longer open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CloseReason {
    /// Its terminal record is durable and says that it is done.
    Finished,
    /// Its cancellation is durable.
    Cancelled,
    /// Its open record is gone: by a write of ours whose answer is still to come, by a cancellation, or
    /// long ago, if what we see is old. Its terminal record says which.
    Unknown,
}

impl JobTable {
    /// Takes in a job that was opened, with the jobs that it depends on directly.
    fn open(&mut self, id: JobId, job: Job, upstream: &[JobId], traits: JobAttributes) {
        self.insert(id.clone(), job);
        self.graph.add_job(&id, upstream, traits);
    }

    /// Tells the graph how a job was closed.
    fn closed_by(&mut self, now: Instant, id: &JobId, closure: CloseReason) {
        match closure {
            CloseReason::Finished => self.graph.mark_finished(id, now),
            CloseReason::Cancelled => self.graph.mark_cancelled(id),
            CloseReason::Unknown => self.graph.mark_closed(id),
        }
    }

    /// Carries over to the jobs what the graph says. Returns the released ones that are held.
    #[must_use]
    fn apply_graph_changes(&mut self, now: Instant) -> Vec<ReleasedJob> {
        let GraphChanges {
            mut released,
            cancelled,
        } = self.graph.take_changes();
        released.retain(|release| {
            let finish = release.last_upstream_finish;
            self.update(&release.id, |job| job.release(now, finish))
                .is_some()
        });
        for id in cancelled {
            self.update(&id, Job::cancel_with_ancestor);
        }
        released
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
                self.jobs
                    .update(&id, |job| job.set_open_record_revision(revision));
            }
            return;
        }
        let team = self.policy.team_index(&record.spec.team);
        let pages = record.dependency_pages;
        let job = Job::new(record.spec, team, revision, submitted_at, pages);
        let traits = self.traits_of(&job, &record.upstream_jobs);
        self.jobs.open(id, job, &record.upstream_jobs, traits);
        self.apply_graph_changes(now);
        self.placement.request_pass();
    }

    /// What the job brings into the graph. Its deadline is its own, or else the class's `finished`
    /// objective (an exception of ours, see docs/DESIGN.md: most deployed jobs state no deadline); that
    /// one counts from the release, so it says nothing for a job that waits for others.
    fn traits_of(&self, job: &Job, upstream: &[JobId]) -> JobAttributes {
        let spec = job.spec();
        let objective = || self.policy.max_completion_s(&spec.class);
        let fallback = || objective().filter(|_| upstream.is_empty());
        let deadline_s = spec.deadline_s.or_else(fallback);
        // Without machine types nothing is known of the image pull.
        let pull_s =
            Some(self.machines.shortest_image_fetch_s(spec)).filter(|seconds| seconds.is_finite());
        let run_time_s = self.estimates.longest_task_run_time_s(job) + pull_s.unwrap_or(0.0);
        JobAttributes {
            deadline: deadline_s.map(|seconds| job.submitted_at() + TimeSpan::from_secs(seconds)),
            run_time: TimeSpan::from_secs(run_time_s),
            priority: spec.priority,
        }
    }

    /// A job is no longer open.
    ///
    /// Guards against a cancellation inferred from what is known of the tasks: changes can come twice, so
    /// that a job which was done and forgotten opens once more without its tasks, and closes; the jobs
    /// downstream of it were cancelled. Where the closure is unknown, only the terminal record says what it
    /// was.
    pub(crate) fn job_closed(&mut self, now: Instant, id: &JobId, closure: CloseReason) {
        if !self.jobs.contains(id) {
            return;
        }
        self.jobs.closed_by(now, id, closure);
        self.apply_graph_changes(now);
        self.close_job(now, id);
    }

    /// Nothing of the job may start any more, and what runs is stopped.
    fn close_job(&mut self, now: Instant, id: &JobId) {
        let Some(job) = self.jobs.get(id).filter(|job| !job.is_closed()) else {
            return;
        };
        if !job.is_complete() {
            tracing::debug!(job = %id, "job cancelled");
        }
        self.writer.orphan_dependencies(id, job.dependency_pages());
        let placements = job.placements().values().flatten();
        let machine_ids: BTreeSet<MachineId> = placements.cloned().collect();
        self.jobs.update(id, Job::close);
        self.placement.request_pass();
        for machine_id in machine_ids {
            self.ledger().remove_never_launched(now, &machine_id, id);
            self.outbox.machines_to_review.insert(machine_id);
        }
    }

    /// Carries over to the jobs what the graph says. A released job counts from now on for its team, for the
    /// forecast and for its objectives.
    pub(crate) fn apply_graph_changes(&mut self, now: Instant) {
        for release in self.jobs.apply_graph_changes(now) {
            let Some(job) = self.jobs.get(&release.id) else {
                continue;
            };
            if let Some(finish) = release.last_upstream_finish {
                tracing::debug!(job = %release.id, last_upstream_finish_ms = finish.0, "job released");
            }
            let (spec, ready_at) = (job.spec().clone(), job.ready_at());
            self.aging.job_released(&spec);
            self.record_arrival(&spec, ready_at);
            self.placement.request_pass();
        }
    }

    /// Releases whatever should have been released already. To be called about once a second.
    pub(crate) fn release_ready_jobs(&mut self, now: Instant) {
        self.jobs.graph.release_ready_jobs();
        self.apply_graph_changes(now);
    }

    /// Asks for the terminal records of upstream jobs of which nothing is known here.
    pub(crate) fn read_terminal_records(&mut self, now: Instant) {
        let jobs = &mut self.jobs;
        if let Some(ids) = jobs.terminal_record_reads.start(now, &jobs.graph) {
            self.effects.push(Effect::ReadTerminalRecords { ids });
        }
    }

    /// Terminal records as they stand, with `None` for a job that has none.
    pub(crate) fn terminal_records_read(&mut self, now: Instant, records: Vec<TerminalRecordRead>) {
        let mut any_missing = false;
        for TerminalRecordRead { job: id, record } in records {
            match record {
                Some(record) if record.phase == JobPhase::Done => {
                    let at = record.done_at_ms;
                    let at = at.map(|ms| self.leadership.monotonic_from_unix(TimeSpan(ms as i64)));
                    let at = at.map_or(now, |at| at.min(now));
                    self.jobs.graph.mark_finished(&id, at);
                }
                Some(record) if record.phase == JobPhase::Cancelled => {
                    self.jobs.graph.mark_cancelled(&id);
                }
                // Still open as far as the state store goes: its record comes with the next changes.
                _ => any_missing = true,
            }
        }
        self.jobs.terminal_record_reads.answered(now, any_missing);
        self.apply_graph_changes(now);
    }
}
