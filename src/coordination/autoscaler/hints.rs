//! Arrival rates and run times that a leader records in the state store, so that the next leader need not learn
//! them again. Nothing depends on the record: one that can't be read is ignored.

use crate::coordination::jobs::estimates::ObservedRunTimes;
use crate::coordination::Scheduler;
use crate::protocol::users::JobSpec;
use crate::time::Instant;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The recorded observations, by job class.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Hints {
    #[serde(default)]
    observed: BTreeMap<String, ObservedRunTimes>,
    #[serde(default, rename = "demand")]
    arrivals: BTreeMap<String, RecordedArrivals>,
}

/// Arrivals of one class, stored as an array of jobs per second, tasks per job, and the last job.
#[derive(Debug, Serialize, Deserialize)]
struct RecordedArrivals(f64, f64, JobSpec);

impl Scheduler {
    /// Returns the observations to record.
    pub(crate) fn hints(&self, now: Instant) -> Hints {
        let arrivals = self.autoscaler.arrivals.iter();
        let arrivals = arrivals.filter_map(|(class, rate)| {
            let last_job = rate.last_job()?.clone();
            let recorded = RecordedArrivals(rate.jobs_per_s(now), rate.tasks_per_job(), last_job);
            Some((class.clone(), recorded))
        });
        Hints {
            observed: self.estimates.observed().clone(),
            arrivals: arrivals.collect(),
        }
    }

    /// Adopts the observations that the previous leader recorded.
    pub(crate) fn load_hints(&mut self, now: Instant, hints: Hints) {
        self.estimates.load(hints.observed);
        for (class, RecordedArrivals(jobs_per_s, tasks_per_job, last_job)) in hints.arrivals {
            let rate = self.autoscaler.arrivals.rate_of(class, &last_job);
            rate.recover(now, jobs_per_s, tasks_per_job);
        }
    }

    /// Records the arrival of a job.
    pub(crate) fn record_arrival(&mut self, spec: &JobSpec, at: Instant) {
        self.autoscaler.arrivals.record(spec, at);
        self.writer.mark_hints_changed();
    }
}
