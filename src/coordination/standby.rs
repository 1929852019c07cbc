//! Machines held ready for classes whose tasks should start sooner than a machine can be rented
//! and their image fetched. How many follows from the arrivals seen: what comes in the time that a
//! rental would take, and a little for chance.

use super::placement::Observed;
use super::Core;
use crate::bookkeeping::ledger::Amount;
use crate::ids::{HostId, Millis};
use crate::protocol::users::JobSpec;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What is kept on the state service for a new leader. Times are seconds ago.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Hints {
    #[serde(default)]
    observed: BTreeMap<String, Observed>,
    #[serde(default)]
    demand: BTreeMap<String, (f64, JobSpec)>,
}

/// What has been seen of one class.
#[derive(Debug, Clone)]
pub struct Demand {
    /// Machines asked for a second, decaying.
    rate: f64,
    at: Millis,
    /// The last job: the next one is taken to look like it.
    pub spec: JobSpec,
}

/// Arrivals count less with age, by this time constant.
const MEMORY_S: f64 = 200.0;

impl Demand {
    fn rate_at(&self, now: Millis) -> f64 {
        self.rate * (-(now - self.at).secs().max(0.0) / MEMORY_S).exp()
    }
}

impl Core {
    pub(crate) fn hints(&self, now: Millis) -> Hints {
        let demand = self.demand.iter();
        Hints {
            observed: self.observed.clone(),
            demand: demand
                .map(|(c, d)| (c.clone(), (d.rate_at(now), d.spec.clone())))
                .collect(),
        }
    }

    pub(crate) fn load_hints(&mut self, now: Millis, hints: Hints) {
        self.observed = hints.observed;
        for (class, (rate, spec)) in hints.demand {
            self.demand.insert(
                class,
                Demand {
                    rate,
                    at: now,
                    spec,
                },
            );
        }
    }

    /// Notes the arrival of a job.
    pub(crate) fn note_arrival(&mut self, spec: &JobSpec, at: Millis) {
        if self.policy.started_within(&spec.class).is_none() {
            return;
        }
        let new = Demand {
            rate: 0.0,
            at,
            spec: spec.clone(),
        };
        let d = self.demand.entry(spec.class.clone()).or_insert(new);
        d.rate = d.rate_at(at) + 1.0 / MEMORY_S;
        d.at = at.max(d.at);
        d.spec = spec.clone();
        self.writer.hints_news = true;
    }

    /// How many tasks of each class there should be room for at once, beyond what runs.
    pub(crate) fn standby_wanted(&self, now: Millis) -> Vec<(JobSpec, u32)> {
        let mut wanted = Vec::new();
        for (class, d) in &self.demand {
            let Some(within) = self.policy.started_within(class) else {
                continue;
            };
            let need = Amount::of(&d.spec);
            let soonest = self
                .rigs
                .values()
                .filter(|r| d.spec.rigs.as_ref().is_none_or(|a| a.contains(&r.name)))
                .filter(|r| need.fits(&self.capacity(&r.name)))
                .map(|r| r.boot_s + d.spec.image_gb / r.fetch_gb_per_s.max(0.01))
                .fold(f64::INFINITY, f64::min);
            if !soonest.is_finite() || soonest <= within || !self.bulk(&d.spec) {
                continue;
            }
            let expected = d.rate_at(now) * soonest;
            if expected < 0.2 {
                continue;
            }
            let n = (expected + 0.5 * expected.sqrt()).ceil() as u32;
            let n = n.min(self.headroom(&d.spec, self.team_of(&d.spec), &self.used));
            if n > 0 {
                wanted.push((d.spec.clone(), n));
            }
        }
        wanted
    }

    /// Chooses the machines that stand by, and says what is missing.
    pub(crate) fn choose_standby(&mut self, now: Millis) {
        let mut reserved: BTreeMap<HostId, String> = BTreeMap::new();
        let mut missing = Vec::new();
        for (spec, n) in self.standby_wanted(now) {
            let need = Amount::of(&spec);
            let mut fit: Vec<(bool, &HostId)> = self
                .indexes
                .spacious
                .iter()
                .filter_map(|h| self.machines.get(h))
                .filter(|m| need.fits(&m.free) && Self::allows(&spec, m) && self.usable(m, now))
                .filter(|m| !reserved.contains_key(&m.id))
                .map(|m| (!m.has_image(&spec.image), &m.id))
                .collect();
            fit.sort();
            let short = n.saturating_sub(fit.len() as u32);
            for (_, host) in fit.into_iter().take(n as usize) {
                reserved.insert(host.clone(), spec.class.clone());
            }
            if short > 0 {
                missing.push((spec, short));
            }
        }
        self.reserved = reserved;
        self.standby_missing = missing;
    }
}
