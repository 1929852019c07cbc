//! Image locality under contention: instead of taking any free capacity, a job waits for machines that have its
//! image cached, or preempts tasks of lower priority on them. This is the paper's `CtxInEngine` for the case
//! that every machine is in use.

use super::pass::PlacementPass;
use super::preemption::{Eviction, MAX_JOBS_PER_ROUND};
use super::request::ResourceRequest;
use crate::coordination::jobs::job::Job;
use crate::ids::JobId;
use crate::protocol::users::Shape;
use crate::time::TimeSpan;

/// A job waits for machines that have its image for at most this fraction of the time of a fetch.
const MAX_WAIT_FRACTION_OF_FETCH: f64 = 0.5;
/// A job waits only if all its pending tasks can run on such machines within the time of this many fetches.
const MAX_FETCH_TIMES_UNTIL_PLACED: f64 = 2.0;
/// A job that has been ready for longer than this doesn't preempt tasks for its image, but takes any machine.
const MAX_READY_TIME_FOR_IMAGE_PREEMPTION: TimeSpan = TimeSpan(30_000);
/// The lowest number of GPUs assumed for a task, to avoid a division by zero.
const MIN_GPUS_PER_TASK: f64 = 0.1;
/// The lowest number of tasks assumed to run at once on machines with an image, to avoid a division by zero.
const MIN_SLOTS: f64 = 1e-9;

/// Whether a job preempts tasks of lower priority on machines that have its image.
#[derive(Debug)]
#[must_use = "evictions have no effect until they are applied"]
pub(super) enum ImagePreemption {
    /// The job preempts nothing, and is placed like any other.
    None,
    /// Tasks are being stopped for the job already: it is not placed elsewhere.
    InProgress,
    /// The job preempts tasks with these evictions: it is not placed elsewhere.
    Evict(Vec<Eviction>),
}

impl PlacementPass<'_> {
    /// Whether the job leaves free capacity to later jobs that need no image fetch, because machines that have
    /// its own image should become free soon. The wait is limited to a fraction of the fetch that it saves,
    /// counted from when the job could first have been placed.
    ///
    /// Without the wait, every image was fetched to every machine under overload: the first job in the queue
    /// took each machine that became free, and half of all starts fetched their image.
    pub(super) fn should_wait_for_image(&self, job_id: &JobId) -> bool {
        let Some(job) = self.view.jobs().get(job_id) else {
            return false;
        };
        let spec = job.spec();
        if spec.shape != Shape::Array || job.pending().is_empty() || self.view.is_aged(job) {
            return false;
        }
        if self.state.is_known_unplaceable(&ResourceRequest::of(spec)) {
            return false;
        }
        let fetch_s = self.view.shortest_image_fetch_s(spec);
        let max_wait = TimeSpan::from_secs(fetch_s * MAX_WAIT_FRACTION_OF_FETCH);
        let has_waited_enough = job
            .image_wait_since()
            .is_some_and(|since| self.view.now() - since > max_wait);
        if has_waited_enough
            || self.image_machine_wait_s(job) > fetch_s * MAX_FETCH_TIMES_UNTIL_PLACED
        {
            return false;
        }
        self.view.quota_headroom(job, &self.state.team_usage) > 0
            && self.has_room_for_one(job_id, job)
    }

    /// The time in which all pending tasks of the job could run on machines that have its image, in seconds.
    fn image_machine_wait_s(&self, job: &Job) -> f64 {
        let gpus = self
            .view
            .machines()
            .gpus_with_image_cached(&job.spec().image);
        let slots = gpus / job.spec().gpus.max(MIN_GPUS_PER_TASK);
        job.pending().len() as f64 * self.view.estimated_run_time_s(job) / slots.max(MIN_SLOTS)
    }

    /// Decides whether the job leaves free capacity because preempting tasks of lower priority on machines that
    /// have its image is faster than fetching the image.
    ///
    /// Without the preemption, large jobs fetched their image over and over although machines had it cached: a
    /// team without a guaranteed share filled every machine that became free, and the fraction of starts with a
    /// cached image fell from a half to a tenth.
    pub(super) fn image_preemption(&mut self, job_id: &JobId) -> ImagePreemption {
        if !self.may_preempt_for_image(job_id) {
            return ImagePreemption::None;
        }
        if self.state.has_reservation(job_id) && self.view.has_eviction_in_progress(job_id) {
            return ImagePreemption::InProgress;
        }
        if self.state.image_preemption_checks >= MAX_JOBS_PER_ROUND {
            return ImagePreemption::None;
        }
        self.state.image_preemption_checks += 1;
        let evictions = self.view.evictions_for_image(job_id);
        if evictions.is_empty() {
            ImagePreemption::None
        } else {
            ImagePreemption::Evict(evictions)
        }
    }

    /// Whether the job may preempt tasks for its image: it became ready recently, is a gang of a higher
    /// priority than other jobs, has no task on a machine, and fits into its team's limit.
    fn may_preempt_for_image(&self, job_id: &JobId) -> bool {
        let Some(job) = self.view.jobs().get(job_id) else {
            return false;
        };
        // The time limit prevents machines from being emptied one after another for a job that still can't
        // start.
        let is_recent = self.view.now() - job.ready_at() < MAX_READY_TIME_FOR_IMAGE_PREEMPTION;
        let priority = self.view.effective_priority(job_id, job.spec());
        is_recent
            && self.state.is_above_lowest(priority)
            && job.spec().shape == Shape::Gang
            && job.placements().is_empty()
            && self.view.quota_headroom(job, &self.state.team_usage) as usize >= job.pending().len()
    }
}
