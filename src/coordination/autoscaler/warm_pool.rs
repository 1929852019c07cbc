//! Machines held ready for classes whose tasks should start sooner than a machine can be rented
//! and their image fetched. How many follows from the arrivals seen: what comes in the time that a
//! rental would take, and a little for chance.

use crate::coordination::Scheduler;
use crate::ids::MachineId;
use crate::protocol::users::JobSpec;
use crate::resources::Resources;
use crate::time::Instant;
use std::collections::BTreeMap;

impl Scheduler {
    /// How many tasks of each class there should be room for at once, beyond what runs.
    pub(crate) fn warm_pool_wanted(&self, now: Instant) -> Vec<(JobSpec, u32)> {
        let mut wanted = Vec::new();
        for (class, d) in &self.autoscaler.arrivals {
            let Some(within) = self.policy.started_within(class) else {
                continue;
            };
            let Some(spec) = d.last().last() else {
                continue;
            };
            let request = Resources::of(spec);
            let soonest = self
                .machines
                .types
                .values()
                .filter(|r| {
                    spec.machine_types
                        .as_ref()
                        .is_none_or(|a| a.contains(&r.name))
                })
                .filter(|r| request.fits(&self.machines.capacity(&r.name)))
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
            let n = n.min(self.team_usage.headroom(
                &self.policy,
                self.policy.team_index(&spec.team),
                spec,
            ));
            if n > 0 {
                wanted.push((spec.clone(), n));
            }
        }
        wanted
    }

    /// Chooses the machines that stand by, and says what is missing.
    pub(crate) fn choose_warm_pool(&mut self, now: Instant) {
        let mut warm_pool: BTreeMap<MachineId, String> = BTreeMap::new();
        let mut missing = Vec::new();
        for (spec, n) in self.warm_pool_wanted(now) {
            let request = Resources::of(&spec);
            let mut fit: Vec<(bool, &MachineId)> = self
                .machines
                .index
                .with_room
                .iter()
                .filter_map(|h| self.machines.get(h))
                .filter(|m| request.fits(m.free()) && Self::allows(&spec, m) && self.usable(m, now))
                .filter(|m| !warm_pool.contains_key(&m.id))
                .map(|m| (!m.has_image(&spec.image), &m.id))
                .collect();
            fit.sort();
            let short = n.saturating_sub(fit.len() as u32);
            for (_, machine_id) in fit.into_iter().take(n as usize) {
                warm_pool.insert(machine_id.clone(), spec.class.clone());
            }
            if short > 0 {
                missing.push((spec, short));
            }
        }
        self.autoscaler.warm_pool = warm_pool;
        self.autoscaler.warm_pool_missing = missing;
    }
}
