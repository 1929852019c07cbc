//! The lifecycle of jobs: opening, release and closing, and the effects on downstream jobs.
//!
//! A job is released only by terminal records known to be durable: written by a confirmed transaction of this
//! leader, or read from the state store. A heartbeat, an unconfirmed write or a missing open record never releases
//! a job.

use crate::coordination::jobs::graph::{GraphChanges, JobAttributes, ReleasedJob};
use crate::coordination::jobs::job::Job;
use crate::coordination::jobs::table::JobTable;
use crate::coordination::{Effect, OpenJob, Scheduler, TerminalRecordRead};
use crate::ids::{JobId, MachineId};
use crate::protocol::users::JobPhase;
use crate::time::{Instant, TimeSpan};

/// Why a job is no longer open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CloseReason {
    /// The job is done, and its terminal record is durable.
    Finished,
    /// The job's cancellation is durable.
    Cancelled,
    /// The open record is gone: removed by a write of this leader that is still in flight, by a cancellation, or
    /// long ago if the view is stale. The terminal record shows which.
    Unknown,
}

impl JobTable {
    /// Inserts a job that was opened, with its direct upstream jobs.
    fn open(&mut self, id: JobId, job: Job, upstream: &[JobId], attributes: JobAttributes) {
        self.insert(id.clone(), job);
        self.graph.add_job(&id, upstream, attributes);
    }

    /// Marks a job as closed in the graph.
    fn mark_closed_in_graph(&mut self, now: Instant, id: &JobId, reason: CloseReason) {
        match reason {
            CloseReason::Finished => self.graph.mark_finished(id, now),
            CloseReason::Cancelled => self.graph.mark_cancelled(id),
            CloseReason::Unknown => self.graph.mark_closed(id),
        }
    }

    /// Applies the changes of the graph to the jobs. Returns the released jobs that are in the table.
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
    /// Handles a job that was opened or is listed again.
    pub(crate) fn job_opened(&mut self, now: Instant, open_job: OpenJob) {
        let OpenJob {
            record,
            revision,
            submitted_at,
        } = open_job;
        let id = record.spec.id.clone();
        if let Some(job) = self.jobs.get(&id) {
            // A closed job never reopens: terminal records are permanent.
            if !job.is_closed() {
                self.jobs
                    .update(&id, |job| job.set_open_record_revision(revision));
            }
            return;
        }
        let team = self.policy.team_index(&record.spec.team);
        let pages = record.dependency_pages;
        let job = Job::new(record.spec, team, revision, submitted_at, pages);
        let attributes = self.graph_attributes(&job, &record.upstream_jobs);
        self.jobs.open(id, job, &record.upstream_jobs, attributes);
        self.apply_graph_changes(now);
        self.placement.request_pass();
    }

    /// Returns the job's own attributes for the graph. Most deployed jobs state no deadline, so the `finished`
    /// objective of the job's class is the default (see docs/DESIGN.md). That objective counts from the release, so
    /// it does not apply to jobs with upstream jobs.
    fn graph_attributes(&self, job: &Job, upstream: &[JobId]) -> JobAttributes {
        let spec = job.spec();
        let objective = || self.policy.max_completion_s(&spec.class);
        let fallback = || objective().filter(|_| upstream.is_empty());
        let deadline_s = spec.deadline_s.or_else(fallback);
        // The image fetch time is unknown until the machine types are known.
        let fetch_s =
            Some(self.machines.shortest_image_fetch_s(spec)).filter(|seconds| seconds.is_finite());
        let run_time_s = self.estimates.longest_task_run_time_s(job) + fetch_s.unwrap_or(0.0);
        JobAttributes {
            deadline: deadline_s.map(|seconds| job.submitted_at() + TimeSpan::from_secs(seconds)),
            run_time: TimeSpan::from_secs(run_time_s),
            priority: spec.priority,
        }
    }

    /// Handles a job that is no longer open.
    ///
    /// An unknown reason is resolved by the terminal record only, never inferred from the state of the job's tasks.
    /// Changes can arrive twice, so a job that was done and removed can reopen without its completed tasks and
    /// close again; inferring a cancellation from that cancelled the jobs downstream of it.
    pub(crate) fn job_closed(&mut self, now: Instant, id: &JobId, reason: CloseReason) {
        if !self.jobs.contains(id) {
            return;
        }
        self.jobs.mark_closed_in_graph(now, id, reason);
        self.apply_graph_changes(now);
        self.close_job(now, id, reason);
    }

    /// Closes a job: none of its tasks may start any more, and running tasks are stopped.
    fn close_job(&mut self, now: Instant, id: &JobId, reason: CloseReason) {
        let Some(job) = self.jobs.get(id).filter(|job| !job.is_closed()) else {
            return;
        };
        if !job.is_complete() {
            tracing::debug!(job = %id, "job cancelled");
        }
        self.writer.orphan_dependencies(id, job.dependency_pages());
        let machine_ids: Vec<MachineId> = job.placement_machines().into_iter().cloned().collect();
        self.jobs.update(id, Job::close);
        self.placement.request_pass();
        for machine_id in machine_ids {
            self.ledger().remove_never_launched(now, &machine_id, id);
            if reason != CloseReason::Finished {
                self.limit_launches_of_closed_job(&machine_id, id);
            }
            self.work_queues.machines_to_review.insert(machine_id);
        }
    }

    /// Applies the changes of the graph to the jobs. From its release, a job counts for its team, for the demand
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

    /// Releases blocked jobs without unfinished upstream jobs, in case an earlier release was missed. To be called
    /// about once a second.
    pub(crate) fn release_ready_jobs(&mut self, now: Instant) {
        self.jobs.graph.release_ready_jobs();
        self.apply_graph_changes(now);
    }

    /// Starts a read of the terminal records of upstream jobs in an unknown state, if one is due.
    pub(crate) fn read_terminal_records(&mut self, now: Instant) {
        let jobs = &mut self.jobs;
        if let Some(ids) = jobs.terminal_record_reads.start(now, &jobs.graph) {
            self.effects.push(Effect::ReadTerminalRecords { ids });
        }
    }

    /// Handles the answer to a read of terminal records, with `None` for a job without one.
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
                // The job is still open in the state store; its open record arrives with the next changes.
                _ => any_missing = true,
            }
        }
        self.jobs.terminal_record_reads.answered(now, any_missing);
        self.apply_graph_changes(now);
    }
}
