//! Launch intent pages: which task attempts may be on which machines.

use crate::ids::{AttemptId, AttemptKey, JobId, MachineId, TaskId};
use crate::protocol::users::JobSpec;
use crate::resources::Resources;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One task attempt and the machine on which it has been or will be launched.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LaunchIntent {
    /// The machine.
    pub machine_id: MachineId,
    /// The task attempt.
    pub attempt: AttemptKey,
}

impl LaunchIntent {
    /// Returns the intent to launch an attempt on a machine.
    pub fn new(machine_id: &MachineId, attempt: &AttemptKey) -> LaunchIntent {
        LaunchIntent {
            machine_id: machine_id.clone(),
            attempt: attempt.clone(),
        }
    }

    /// Returns the job that the attempt belongs to.
    pub fn job(&self) -> &JobId {
        &self.attempt.task.job
    }
}

/// The team of a job and the resource request of each of its tasks, stored as `[team, cpus, gpus, ram_gb]`.
///
/// Stored on the intent page itself because a new leader also needs it for closed jobs whose tasks may still be on
/// a machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "StoredJobResources", into = "StoredJobResources")]
pub struct JobResources {
    /// The name of the job's team.
    pub team: String,
    /// The resource request of one task.
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
    /// Returns the team and the resource request of a job.
    pub fn of(spec: &JobSpec) -> JobResources {
        JobResources {
            team: spec.team.clone(),
            request: Resources::of(spec),
        }
    }
}

/// A launch intent page. Stored under [`intent_page_key`](super::intent_page_key).
///
/// Written by the leader before it sends any of the launches on the page. A new leader reads it and assumes that
/// every attempt on it is running until proven otherwise. One page holds attempts of many machines, so that a burst
/// of launches takes few changes in the state store.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct IntentPage {
    /// Attempt id -> job -> machine -> indices of the tasks.
    #[serde(rename = "starts")]
    pub attempts: BTreeMap<AttemptId, BTreeMap<JobId, BTreeMap<MachineId, Vec<u32>>>>,
    /// Team and resource request of each job in `attempts`.
    pub jobs: BTreeMap<JobId, JobResources>,
    /// Unix time at which each attempt was placed, in seconds. A hint: a new leader derives from it how long the
    /// tasks have been running.
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

    /// Iterates over the intents on the page, ordered by attempt id, job and machine; tasks keep their listed order.
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
