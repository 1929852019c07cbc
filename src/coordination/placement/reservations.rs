//! Machines kept during one placement pass for jobs that could not be placed, so that those behind them in
//! the queue don't take what they wait for.

use crate::coordination::placement::candidates::emptiness;
use crate::coordination::placement::Pass;
use crate::coordination::Scheduler;
use crate::ids::{MachineId, Zone};
use crate::protocol::users::JobSpec;
use crate::resources::Resources;
use crate::time::Instant;
use std::collections::BTreeMap;

impl Scheduler {
    /// Guards against a task of a whole machine that never finds one, because small tasks fill
    /// every gap and no more machines are to be had: the emptiest that it may use takes nothing
    /// more from jobs behind it.
    fn keep_a_machine(&self, now: Instant, spec: &JobSpec, pass: &mut Pass) {
        let request = Resources::of(spec);
        let best = self
            .machines
            .index
            .with_room
            .iter()
            .filter(|h| !pass.kept.contains(*h))
            .filter_map(|h| self.machines.get(h))
            .filter(|m| Self::allows(spec, m) && self.usable(m, now))
            .map(|m| (m, self.machines.capacity(&m.machine_type)))
            .filter(|(_, whole)| request.fits(whole))
            .map(|(m, whole)| (emptiness(&m.free, &whole), &m.id))
            .max_by(|a, b| a.0.total_cmp(&b.0).then_with(|| b.1.cmp(a.1)));
        if let Some((_, machine_id)) = best {
            pass.kept.insert(machine_id.clone());
        }
    }

    /// Holds machines for a job that could not be placed.
    pub(crate) fn hold_for(
        &self,
        now: Instant,
        spec: &JobSpec,
        gang: bool,
        aged: bool,
        pass: &mut Pass,
    ) {
        let several = gang && spec.tasks > 1;
        if several && (aged || self.bulk(spec)) {
            self.hold_machines(now, spec, pass);
        }
        if (several && aged)
            || (self.bulk(spec)
                && (aged || !self.autoscaler.may_scale_out_for(&self.view(now), spec)))
        {
            let n = if several { spec.tasks } else { 1 };
            for _ in 0..n {
                self.keep_a_machine(now, spec, pass);
            }
        }
    }

    /// Guards against a gang of several machines that never finds them at once, because what comes
    /// free is taken by whatever needs less: those that it could use are held for it.
    fn hold_machines(&self, now: Instant, spec: &JobSpec, pass: &mut Pass) {
        let request = Resources::of(spec);
        let mut fit: BTreeMap<Option<&Zone>, Vec<&MachineId>> = BTreeMap::new();
        for m in self
            .machines
            .index
            .with_room
            .iter()
            .filter_map(|h| self.machines.get(h))
        {
            let free = request.fits(&m.free) && Self::allows(spec, m) && self.usable(m, now);
            if free && !pass.kept.contains(&m.id) {
                let zone = spec.together.then_some(&m.zone);
                fit.entry(zone).or_default().push(&m.id);
            }
        }
        let most = fit.into_values().max_by_key(Vec::len).unwrap_or_default();
        for machine_id in most.into_iter().take(spec.tasks as usize) {
            pass.kept.insert(machine_id.clone());
        }
    }
}
