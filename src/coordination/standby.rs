//! Machines held ready for classes whose tasks should start sooner than a machine can be rented
//! and their image fetched. How many follows from the arrivals seen: what comes in the time that a
//! rental would take, and a little for chance.

use super::Core;
use crate::ids::{HostId, Millis};
use crate::protocol::users::JobSpec;
use crate::storage::ledger::Amount;
use std::collections::BTreeMap;

impl Core {
    /// How many tasks of each class there should be room for at once, beyond what runs.
    pub(crate) fn standby_wanted(&self, now: Millis) -> Vec<(JobSpec, u32)> {
        let mut wanted = Vec::new();
        for (class, d) in &self.demand {
            let Some(within) = self.policy.started_within(class) else {
                continue;
            };
            let Some(spec) = d.last().last() else {
                continue;
            };
            let need = Amount::of(spec);
            let soonest = self
                .machine_types
                .values()
                .filter(|r| {
                    spec.machine_types
                        .as_ref()
                        .is_none_or(|a| a.contains(&r.name))
                })
                .filter(|r| need.fits(&self.capacity(&r.name)))
                .map(|r| r.boot_s + spec.image_gb / r.fetch_gb_per_s.max(0.01))
                .fold(f64::INFINITY, f64::min);
            if !soonest.is_finite() || soonest <= within || !self.bulk(spec) {
                continue;
            }
            let jobs = d.jobs_per_s(now) * soonest;
            if jobs < 0.2 {
                continue;
            }
            let n = ((jobs + 0.5 * jobs.sqrt()) * d.tasks_per_job()).ceil() as u32;
            let n = n.min(self.headroom(spec, self.team_of(spec), &self.used));
            if n > 0 {
                wanted.push((spec.clone(), n));
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
