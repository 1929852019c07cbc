//! The expectations of scenarios.

use super::{job_number, parse, Words};
use crate::simulation::Simulation;
use chalklug::ids::{JobId, TaskId};
use chalklug::protocol::users::JobPhase;

/// Checks an expectation; panics with the reason if it doesn't hold.
pub fn expect(simulation: &Simulation, rest: &[&str], scenario: &str) {
    let context = format!("{scenario}, {:.1} s", simulation.now.secs());
    match rest {
        ["phase", id, phase] => expect_phase(simulation, id, phase, &context),
        ["jobs-ended", first, count] => expect_ended(simulation, first, count, &context),
        ["attempts", task, count] => expect_starts(simulation, task, count, &context),
        ["total-attempts", id, ..] => {
            let starts = total_starts(simulation, &JobId::from(*id));
            expect_in_range(
                f64::from(starts),
                &Words(rest),
                &format!("{context}: attempts of {id}"),
            );
        }
        ["running-tasks", id, count] => {
            let running = running_tasks(simulation, &JobId::from(*id));
            assert_eq!(
                running.to_string(),
                *count,
                "{context}: running tasks of {id}"
            );
        }
        ["machines", ..] => {
            let machines = simulation.workers.len() as f64;
            expect_in_range(machines, &Words(rest), &format!("{context}: machines"));
        }
        ["machines-of", id, count] => {
            let machines = simulation.machines_of(&JobId::from(*id)).len();
            assert_eq!(machines.to_string(), *count, "{context}: machines of {id}");
        }
        ["rule-broken", rule] => expect_violation(simulation, rule, &context),
        other => panic!("{context}: unknown expectation: {other:?}"),
    }
}

fn expect_phase(simulation: &Simulation, id: &str, phase: &str, context: &str) {
    let expected = match phase {
        "queued" => JobPhase::Queued,
        "running" => JobPhase::Running,
        "done" => JobPhase::Done,
        "cancelled" => JobPhase::Cancelled,
        other => panic!("{context}: unknown phase: {other}"),
    };
    let actual = simulation.phase(&JobId::from(id));
    assert_eq!(actual, Some(expected), "{context}: phase of {id}");
}

/// Checks that `count` jobs, numbered consecutively from `first`, are done or cancelled.
fn expect_ended(simulation: &Simulation, first: &str, count: &str, context: &str) {
    let first = job_number(first);
    let count: u32 = parse(count, "number of jobs");
    for number in first..first + count {
        let phase = simulation.phase(&JobId::from(format!("wk-{number}").as_str()));
        let ended = matches!(phase, Some(JobPhase::Done | JobPhase::Cancelled));
        assert!(ended, "{context}: wk-{number} hasn't ended: {phase:?}");
    }
}

fn expect_starts(simulation: &Simulation, task: &str, count: &str, context: &str) {
    let task = TaskId::parse(task).expect("the expectation names a task");
    let starts = simulation.checker.start_counts.get(&task).copied();
    let starts = starts.unwrap_or(0);
    assert_eq!(starts.to_string(), count, "{context}: attempts of {task}");
}

fn total_starts(simulation: &Simulation, id: &JobId) -> u32 {
    let attempts = simulation.checker.start_counts.iter();
    let of_job = attempts.filter(|(task, _)| task.job == *id);
    of_job.map(|(_, starts)| starts).sum()
}

fn running_tasks(simulation: &Simulation, id: &JobId) -> usize {
    let workers = simulation.workers.values();
    let tasks = workers.flat_map(|worker| worker.tasks_on_machine());
    tasks.filter(|(task, _)| task.job == *id).count()
}

/// Checks the value against the bounds `at-least` and `at-most`, if given.
fn expect_in_range(actual: f64, words: &Words, context: &str) {
    let min = words.number("at-least", 0.0);
    let max = words.number("at-most", f64::INFINITY);
    assert!(
        (min..=max).contains(&actual),
        "{context}: {actual}, expected {min} to {max}"
    );
}

fn expect_violation(simulation: &Simulation, rule: &str, context: &str) {
    let broken = &simulation.checker.broken_rules;
    assert!(
        broken.contains(rule),
        "{context}: the checker found no violation of {rule}, only of {broken:?}"
    );
}
