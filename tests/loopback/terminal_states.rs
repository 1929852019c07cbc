//! Concurrent requests around the end of jobs: a terminal state never changes.

use super::client::*;
use super::cluster::{Cluster, Ticks};
use serde_json::Value;
use std::time::Duration;

const JOBS: usize = 10;

/// One user, who asks all controllers about one job.
struct User<'a> {
    fronts: &'a [String],
    id: &'a str,
    spec: Value,
    /// The terminal phase that the user was told first.
    told: Option<String>,
}

impl User<'_> {
    /// A controller tells a phase: once terminal, it must stay.
    fn is_told(&mut self, phase: String) {
        let terminal = Some(phase).filter(|phase| phase == "done" || phase == "aborted");
        let (id, told) = (self.id, &self.told);
        assert!(
            told.is_none() || *told == terminal,
            "{id}: {told:?}, then {terminal:?}"
        );
        self.told = self.told.take().or(terminal);
    }

    fn cancel(&mut self, front: &str) {
        let phase = cancel(front, self.id).filter(|(status, _)| *status == 200);
        if let Some((_, phase)) = phase {
            self.is_told(phase);
        }
    }

    /// Submits the job again. None: there was no response.
    fn submit_again(&mut self, front: &str) -> Option<()> {
        let (status, phase) = submit_for_phase(front, &self.spec)?;
        assert!(status == 200 || status == 503, "{}: {status}", self.id);
        if status == 200 {
            self.is_told(phase);
        }
        Some(())
    }

    fn ask(&mut self, front: &str) {
        if let Some(phase) = phase(front, self.id) {
            self.is_told(phase);
        }
    }

    /// Submits the job and then asks, submits again, and from that round on cancels, until the job has
    /// ended.
    fn run(&mut self, first: usize, cancel_from: usize) {
        let fronts = self.fronts;
        wait_for("the job's acceptance", || {
            submit(&fronts[first % 3], &self.spec).filter(|s| *s == 201 || *s == 200)
        });
        let mut round = 0;
        wait_for("a terminal state", || {
            round += 1;
            let front = &fronts[round % 3];
            if round > cancel_from {
                self.cancel(front);
            }
            if round % 4 == 0 {
                self.submit_again(front)?;
            }
            self.ask(&fronts[(round + 1) % 3]);
            self.told.clone()
        });
        for front in fronts {
            let phase = wait_for_any_phase(front, self.id);
            self.is_told(phase);
        }
    }
}

/// Questions, cancellations and repeated submissions come through all controllers while short jobs end.
/// Whatever of done and aborted a user was told first, no controller says anything else afterwards.
#[test]
fn terminal_states_never_change_under_concurrent_requests() {
    let cluster = Cluster::start("terminal-states");
    cluster.worker_log.set_run_time(Duration::from_millis(300));
    cluster.wait_for_leader(&mut Ticks::default());
    let ids: Vec<String> = (0..JOBS).map(|n| format!("wk-0001{n:02}")).collect();
    std::thread::scope(|scope| {
        for (n, id) in ids.iter().enumerate() {
            let mut user = User {
                fronts: &cluster.fronts,
                id,
                spec: job(id, 1 + n as u32 % 3),
                told: None,
            };
            // Every second job is cancelled, each a little later than the one before.
            let cancel_from = if n % 2 == 0 { n } else { usize::MAX };
            scope.spawn(move || user.run(n, cancel_from));
        }
    });
}
