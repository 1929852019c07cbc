//! Rules on the controllers' responses to users.

use super::{Checker, Rule, TerminalResponse, UserResponse};

impl Checker {
    /// Checks the response to a submission, a phase query or a cancellation.
    pub fn check_response(&mut self, id: &str, response: UserResponse<'_>) {
        self.responses += 1;
        let now = response.received_at;
        let Some(job) = self.jobs.get_mut(id) else {
            if response.status == 200 {
                self.record(
                    now,
                    Rule::Invented,
                    format!("{id}: {} but not submitted", response.phase),
                );
            }
            return;
        };
        match response.status {
            200 | 201 => {
                job.accepted_at.get_or_insert(now);
                self.check_phase(id, response);
            }
            400 | 404 | 422 => {
                let was_accepted = job.accepted_at.is_some_and(|at| at < response.sent_at);
                if was_accepted {
                    let status = response.status;
                    self.record(
                        now,
                        Rule::Forgotten,
                        format!("{id}: status {status} after it was accepted"),
                    );
                }
            }
            _ => {}
        }
    }

    fn check_phase(&mut self, id: &str, response: UserResponse<'_>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let is_terminal = matches!(response.phase, "done" | "aborted");
        let mut broken = Vec::new();
        match &job.terminal {
            Some(terminal) => {
                let is_reopened =
                    response.sent_at > terminal.received_at && response.phase != terminal.phase;
                let contradicts = is_terminal && response.phase != terminal.phase;
                if is_reopened || contradicts {
                    broken.push((
                        Rule::WentBack,
                        format!("{id}: {} after {terminal:?}", response.phase),
                    ));
                }
            }
            None if is_terminal => {
                let phase = response.phase.to_owned();
                let received_at = response.received_at;
                job.terminal = Some(TerminalResponse { phase, received_at });
                if response.phase == "aborted" && !job.cancel_requested {
                    broken.push((
                        Rule::WentBack,
                        format!("{id}: aborted without a cancellation request"),
                    ));
                }
                if response.phase == "done" && !job.is_complete() {
                    let completed = job.completed.len();
                    broken.push((
                        Rule::NotDone,
                        format!("{id}: done with {completed} tasks completed"),
                    ));
                }
            }
            None => {}
        }
        for (rule, details) in broken {
            self.record(response.received_at, rule, details);
        }
    }
}
