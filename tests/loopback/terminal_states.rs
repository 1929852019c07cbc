//! Concurrent requests about jobs that are ending, none of which may change a terminal phase.

use super::client::*;
use super::cluster::{Cluster, SequenceNumbers};
use serde_json::Value;
use std::time::Duration;

const JOBS: usize = 10;

/// A user who sends requests about one job to all controllers.
struct User<'a> {
    http_addrs: &'a [String],
    id: &'a str,
    spec: Value,
    /// The first terminal phase that a controller reported to the user.
    terminal_phase: Option<String>,
}

impl User<'_> {
    /// Asserts that a phase reported by a controller doesn't contradict an earlier terminal phase.
    fn observe_phase(&mut self, phase: String) {
        let terminal = Some(phase).filter(|phase| phase == "done" || phase == "aborted");
        let (id, earlier) = (self.id, &self.terminal_phase);
        assert!(
            earlier.is_none() || *earlier == terminal,
            "{id}: reported as {earlier:?}, then as {terminal:?}"
        );
        self.terminal_phase = self.terminal_phase.take().or(terminal);
    }

    fn cancel(&mut self, http_addr: &str) {
        let phase = cancel(http_addr, self.id).filter(|(status, _)| *status == 200);
        if let Some((_, phase)) = phase {
            self.observe_phase(phase);
        }
    }

    /// Submits the job again. Returns None if no response came.
    fn submit_again(&mut self, http_addr: &str) -> Option<()> {
        let (status, phase) = submit_for_phase(http_addr, &self.spec)?;
        assert!(status == 200 || status == 503, "{}: {status}", self.id);
        if status == 200 {
            self.observe_phase(phase);
        }
        Some(())
    }

    fn query_phase(&mut self, http_addr: &str) {
        if let Some(phase) = phase(http_addr, self.id) {
            self.observe_phase(phase);
        }
    }

    /// Submits the job, then queries its phase, resubmits it every fourth round, and cancels it in each round after
    /// `cancel_after_round`, until a controller reports a terminal phase. Then every controller must report that phase.
    fn run(&mut self, first_controller: usize, cancel_after_round: usize) {
        let http_addrs = self.http_addrs;
        wait_for("acceptance of the job", || {
            submit(&http_addrs[first_controller % 3], &self.spec).filter(|s| *s == 201 || *s == 200)
        });
        let mut round = 0;
        wait_for("a terminal phase", || {
            round += 1;
            let http_addr = &http_addrs[round % 3];
            if round > cancel_after_round {
                self.cancel(http_addr);
            }
            if round % 4 == 0 {
                self.submit_again(http_addr)?;
            }
            self.query_phase(&http_addrs[(round + 1) % 3]);
            self.terminal_phase.clone()
        });
        for http_addr in http_addrs {
            let phase = wait_for_any_phase(http_addr, self.id);
            self.observe_phase(phase);
        }
    }
}

/// Users query, cancel and resubmit short jobs through all controllers while the jobs end. After a user has received
/// the phase `done` or `aborted`, no controller reports another one.
#[test]
fn terminal_states_never_change_under_concurrent_requests() {
    let cluster = Cluster::start("terminal-states");
    cluster.worker_log.set_run_time(Duration::from_millis(300));
    cluster.wait_for_leader(&mut SequenceNumbers::default());
    let ids: Vec<String> = (0..JOBS).map(|n| format!("wk-0001{n:02}")).collect();
    std::thread::scope(|scope| {
        for (n, id) in ids.iter().enumerate() {
            let mut user = User {
                http_addrs: &cluster.http_addrs,
                id,
                spec: job_spec(id, 1 + n as u32 % 3),
                terminal_phase: None,
            };
            // Every second job is cancelled, each two rounds later than the one before.
            let cancel_after_round = if n % 2 == 0 { n } else { usize::MAX };
            scope.spawn(move || user.run(n, cancel_after_round));
        }
    });
}
