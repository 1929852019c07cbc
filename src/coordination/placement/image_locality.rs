//! When a job does not take the room there is, for the sake of its image: it waits for machines that have the
//! image cached, or takes them from tasks of lower priority. The paper's `CtxInEngine`, for when every
//! machine is in use.

use super::pass::PlacementPass;
use super::preemption::{Eviction, MAX_JOBS_PER_ROUND};
use super::request::ResourceRequest;
use crate::coordination::jobs::job::Job;
use crate::ids::JobId;
use crate::protocol::users::Shape;
use crate::time::TimeSpan;

/// A job waits for machines that have its image for this fraction of the time that a pull takes.
const MAX_WAIT_FRACTION_OF_PULL: f64 = 0.5;
/// All pending tasks of a job that waits should find such machines within the time of so many pulls.
const MAX_PULLS_UNTIL_PLACED: f64 = 2.0;
/// A job that has been ready for longer than this takes any machine rather than one with its image.
const MAX_READY_TIME_FOR_IMAGE_PREEMPTION: TimeSpan = TimeSpan(30_000);
/// Stands for no GPUs in divisions.
const MIN_GPUS_PER_TASK: f64 = 0.1;
const MIN_SLOTS: f64 = 1e-9;

/// Whether a job takes machines that have its image from tasks of lower priority.
#[derive(Debug)]
#[must_use = "evictions have no effect until they are applied"]
pub(super) enum ImagePreemption {
    /// No: it is placed like any other.
    None,
    /// Such machines are being emptied for it already: it is not placed anywhere else.
    InProgress,
    /// These are to be emptied for it: it is not placed anywhere else.
    Evict(Vec<Eviction>),
}

impl PlacementPass<'_> {
    /// Whether a job leaves the room there is to jobs behind it that need no image pull, for machines that
    /// have its own image should come free soon. It does so for no longer than a part of the pull that it
    /// spares itself, counted from when it could first have taken something.
    ///
    /// Guards against every image being pulled to every machine while there is too much to do: what
    /// came free was taken at once by the first job in the queue, and half of all starts pulled.
    pub(super) fn waits_for_image(&self, job_id: &JobId) -> bool {
        let Some(job) = self.view.jobs().get(job_id) else {
            return false;
        };
        let spec = job.spec();
        if spec.shape != Shape::Array || job.pending().is_empty() || self.view.is_aged(job) {
            return false;
        }
        if self.state.is_known_to_fail(&ResourceRequest::of(spec)) {
            return false;
        }
        let pull_s = self.view.shortest_image_fetch_s(spec);
        let max_wait = TimeSpan::from_secs(pull_s * MAX_WAIT_FRACTION_OF_PULL);
        let has_waited_enough = job
            .image_wait_since()
            .is_some_and(|since| self.view.now() - since > max_wait);
        if has_waited_enough
            || self.image_machines_free_within_s(job) > pull_s * MAX_PULLS_UNTIL_PLACED
        {
            return false;
        }
        self.view.quota_headroom(job, &self.state.team_usage) > 0
            && self.has_room_for_one(job_id, job)
    }

    /// Seconds in which all pending tasks of the job could have had a turn on machines with its image.
    fn image_machines_free_within_s(&self, job: &Job) -> f64 {
        let gpus = self.view.machines().gpus_caching(&job.spec().image);
        let slots = gpus / job.spec().gpus.max(MIN_GPUS_PER_TASK);
        job.pending().len() as f64 * self.view.estimated_run_time_s(job) / slots.max(MIN_SLOTS)
    }

    /// Whether a job leaves the room there is, because machines that have its image can be had sooner than
    /// the image can be pulled, at the cost of tasks of lower priority.
    ///
    /// Guards against large jobs that pull their image again and again while it is at hand: on the recorded
    /// day 0a7c a team without a guarantee filled every machine that had come free, and the part of starts
    /// that found their image there fell from a half to a tenth.
    pub(super) fn image_preemption(&mut self, job_id: &JobId) -> ImagePreemption {
        if !self.may_preempt_for_image(job_id) {
            return ImagePreemption::None;
        }
        if self.state.has_reservation(job_id) && self.view.is_room_being_made_for(job_id) {
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

    /// Whether a job is a gang of higher priority than other work, may start as far as its team's limit
    /// goes, and is nowhere yet.
    fn may_preempt_for_image(&self, job_id: &JobId) -> bool {
        let Some(job) = self.view.jobs().get(job_id) else {
            return false;
        };
        // Guards against a job for which machine after machine is emptied in vain: it goes anywhere then.
        let is_recent = self.view.now() - job.ready_at() < MAX_READY_TIME_FOR_IMAGE_PREEMPTION;
        let priority = self.view.effective_priority(job_id, job.spec());
        is_recent
            && self.state.is_above_lowest(priority)
            && job.spec().shape == Shape::Gang
            && job.placements().is_empty()
            && self.view.quota_headroom(job, &self.state.team_usage) as usize >= job.pending().len()
    }
}
