//! Pages of launch intents: which task attempts may be on which machines.

use crate::ids::{AttemptId, AttemptKey, JobId, MachineId, TaskId};
use crate::protocol::users::JobSpec;
use crate::resources::Resources;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One task attempt and the machine that it is, or is to be, launched on.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LaunchIntent {
    /// The machine.
    pub machine_id: MachineId,
    /// The task attempt.
    pub attempt: AttemptKey,
}

impl LaunchIntent {
    /// The intent to launch an attempt on a machine.
    pub fn new(machine_id: &MachineId, attempt: &AttemptKey) -> LaunchIntent {
        LaunchIntent {
            machine_id: machine_id.clone(),
            attempt: attempt.clone(),
        }
    }

    /// The job that the attempt is of.
    pub fn job(&self) -> &JobId {
        &self.attempt.task.job
    }
}

/// What each task of a job takes, and whose it is, stored as `[team, cpus, gpus, ram_gb]`.
///
/// An intent page says it itself, for a new leader must know it also of jobs that are closed but whose tasks may
/// still be on a machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "StoredJobResources", into = "StoredJobResources")]
pub struct JobResources {
    /// The name of the job's team.
    pub team: String,
    /// What one task requests.
    pub request: Resources,
}

type StoredJobResources = (String, f64, f64, f64);

impl From<StoredJobResources> for JobResources {
    fn from((team, cpus, gpus, ram_gb): StoredJobResources) -> JobResources {
        let request = Resources { cpus, gpus, ram_gb };
        JobResources { team, request }
    }
}

impl From<JobResources> for StoredJobResources {
    fn from(JobResources { team, request }: JobResources) -> StoredJobResources {
        (team, request.cpus, request.gpus, request.ram_gb)
    }
}

impl JobResources {
    /// From a job's description.
    pub fn of(spec: &JobSpec) -> JobResources {
        JobResources {
            team: spec.team.clone(),
            request: Resources::of(spec),
        }
    }
}

/// A page of launch intents. Stored under [`intent_page_key`](super::intent_page_key).
///
/// Written by the leader before any launch on it leaves; read by a new leader, which takes every attempt on it for
/// running until proven otherwise. Many attempts on many machines share one value, so that a burst of launches
/// costs few changes.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct IntentPage {
    /// Attempt id -> job -> machine -> numbers of the tasks.
    #[serde(rename = "starts")]
    pub attempts: BTreeMap<AttemptId, BTreeMap<JobId, BTreeMap<MachineId, Vec<u32>>>>,
    /// What the tasks of the jobs named above take.
    pub jobs: BTreeMap<JobId, JobResources>,
    /// The time of day at which each attempt was placed, in seconds since 1970. A hint: it tells a new leader how
    /// long the tasks have been running.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub placed_s: BTreeMap<AttemptId, u64>,
}

impl IntentPage {
    /// Adds a task attempt.
    pub fn add(&mut self, machine_id: &MachineId, task: &TaskId, attempt_id: AttemptId) {
        let tasks = self
            .attempts
            .entry(attempt_id)
            .or_default()
            .entry(task.job.clone())
            .or_default()
            .entry(machine_id.clone())
            .or_default();
        tasks.push(task.index);
    }

    /// Every intent on the page, by attempt id, job, machine and then as listed.
    pub fn intents(&self) -> impl Iterator<Item = LaunchIntent> + '_ {
        self.attempts.iter().flat_map(|(attempt_id, jobs)| {
            jobs.iter().flat_map(move |(job, machines)| {
                machines.iter().flat_map(move |(machine_id, tasks)| {
                    tasks.iter().map(move |index| LaunchIntent {
                        machine_id: machine_id.clone(),
                        attempt: AttemptKey {
                            task: TaskId {
                                job: job.clone(),
                                index: *index,
                            },
                            attempt_id: *attempt_id,
                        },
                    })
                })
            })
        })
    }
}
