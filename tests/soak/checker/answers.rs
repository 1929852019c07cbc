//! Rules on what users are told.

use super::{Checker, Rule, TerminalAnswer, Told};

impl Checker {
    /// A user was answered: to a submission, a question or a cancellation.
    pub fn told(&mut self, id: &str, told: Told<'_>) {
        self.answers += 1;
        let now = told.told_at;
        let Some(job) = self.jobs.get_mut(id) else {
            if told.status == 200 {
                self.record(now, Rule::Invented, format!("{id}: {}", told.phase));
            }
            return;
        };
        match told.status {
            200 | 201 => {
                job.accepted_at.get_or_insert(now);
                self.told_phase(id, told);
            }
            400 | 404 | 422 => {
                let was_accepted = job.accepted_at.is_some_and(|at| at < told.asked_at);
                if was_accepted {
                    let status = told.status;
                    self.record(now, Rule::Forgotten, format!("{id}: {status}"));
                }
            }
            _ => {}
        }
    }

    fn told_phase(&mut self, id: &str, told: Told<'_>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let is_terminal = matches!(told.phase, "done" | "aborted");
        let mut broken = Vec::new();
        match &job.terminal {
            Some(terminal) => {
                let is_older = told.asked_at > terminal.told_at && told.phase != terminal.phase;
                let contradicts = is_terminal && told.phase != terminal.phase;
                if is_older || contradicts {
                    broken.push((
                        Rule::WentBack,
                        format!("{id}: {} after {terminal:?}", told.phase),
                    ));
                }
            }
            None if is_terminal => {
                let phase = told.phase.to_owned();
                let told_at = told.told_at;
                job.terminal = Some(TerminalAnswer { phase, told_at });
                if told.phase == "aborted" && !job.cancel_asked {
                    broken.push((Rule::WentBack, format!("{id}: nobody cancelled it")));
                }
                if told.phase == "done" && !job.is_complete() {
                    let completed = job.completed.len();
                    broken.push((Rule::NotDone, format!("{id}: {completed} tasks completed")));
                }
            }
            None => {}
        }
        for (rule, details) in broken {
            self.record(told.told_at, rule, details);
        }
    }
}
