//! Gathering: machines that do little, and that the forecast has no use for, are emptied, if what runs
//! on them can go on elsewhere at once. Their tasks save, and go to machines that are fuller and have
//! the image; the machine is returned. Waiting until the last of its tasks ends by itself would cost
//! several times what the saving does.

use super::placement::emptiness;
use super::Core;
use crate::bookkeeping::ledger::{Amount, Job, Machine, Start};
use crate::ids::{HostId, Millis};
use crate::protocol::workers::PiecePhase;
use std::collections::{BTreeMap, BTreeSet};

/// Machines that are at least so empty may be emptied.
const LITTLE: f64 = 0.5;
/// A task that has run for less, or should soon end, is not moved: its start would not count, or it
/// ends sooner by itself.
const RAN_S: f64 = 32.0;
const ENDS_S: f64 = 15.0;
/// Machines emptied in one look, and one more for each so many that there are.
const MOST_AT_ONCE: usize = 1;
const MORE_A_MACHINE: usize = 60;

impl Core {
    /// Empties some of the machines that do little.
    pub(super) fn gather(&mut self, now: Millis, thin: &BTreeSet<HostId>) {
        if thin.is_empty() || !self.indexes.waiting.is_empty() {
            return;
        }
        let mut givers: Vec<(f64, &Machine)> = thin
            .iter()
            .filter_map(|h| self.machines.get(h))
            .filter(|m| m.live > 0 && !self.reserved.contains_key(&m.id) && m.kept_for.is_none())
            .map(|m| (emptiness(&m.free, &self.capacity(&m.rig)), m))
            .filter(|(empty, _)| *empty >= LITTLE)
            .collect();
        givers.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.id.cmp(&b.1.id)));
        // What is free on the others, the fullest first.
        let mut takers: Vec<(f64, &Machine)> = self
            .indexes
            .spacious
            .iter()
            .filter(|h| !thin.contains(*h))
            .filter_map(|h| self.machines.get(h))
            .filter(|m| m.live > 0 && self.usable(m, now) && !self.reserved.contains_key(&m.id))
            .map(|m| (emptiness(&m.free, &self.capacity(&m.rig)), m))
            .collect();
        takers.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.id.cmp(&b.1.id)));
        let mut room: BTreeMap<&HostId, Amount> =
            takers.iter().map(|(_, m)| (&m.id, m.free)).collect();
        let most = MOST_AT_ONCE + self.machines.len() / MORE_A_MACHINE;
        let mut emptied: Vec<HostId> = Vec::new();
        for (_, giver) in givers {
            if emptied.len() >= most {
                break;
            }
            let mut left = room.clone();
            let fits = giver
                .going()
                .all(|s| self.find_place(now, s, &takers, &mut left));
            if fits {
                room = left;
                emptied.push(giver.id.clone());
            }
        }
        for host in emptied {
            if let Some(m) = self.machines.get_mut(&host) {
                tracing::debug!(host = %host, tasks = m.live, "does little: emptied");
                m.start_drain(now);
            }
            self.to_review.insert(host);
        }
    }

    /// Finds a machine for a task that is to be moved, and takes its room; false if there is none, or
    /// the task had better stay.
    fn find_place(
        &self,
        now: Millis,
        s: &Start,
        takers: &[(f64, &Machine)],
        room: &mut BTreeMap<&HostId, Amount>,
    ) -> bool {
        let Some(job) = self.jobs.get(&s.piece.job) else {
            return false;
        };
        if !self.may_move(now, job, s) {
            return false;
        }
        let place = takers.iter().find(|(_, m)| {
            m.has_image(&job.spec.image)
                && Self::allows(&job.spec, m)
                && room.get(&m.id).is_some_and(|r| s.need.fits(r))
        });
        let Some(r) = place.and_then(|(_, m)| room.get_mut(&m.id)) else {
            return false;
        };
        r.sub(&s.need);
        true
    }

    fn may_move(&self, now: Millis, job: &Job, s: &Start) -> bool {
        let spec = &job.spec;
        let plain = spec.checkpoint_s > 0.0
            && !job.over
            && !job.stands_together()
            && !spec.together
            && !spec.scatter;
        let running = s.seen.is_some_and(|x| x.phase == PiecePhase::Running) && s.stop.is_none();
        let ran = s.running_since.map_or(0.0, |t| (now - t).secs());
        plain && running && ran > RAN_S && self.rest_s(job, ran) > ENDS_S + spec.save_s
    }
}
