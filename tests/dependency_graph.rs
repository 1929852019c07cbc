//! The job graph: release, labels, groups.

use chalklug::coordination::jobs::graph::{Graph, JobTraits, Label, Release};
use chalklug::ids::JobId;
use chalklug::protocol::users::Priority;
use chalklug::time::{Instant, TimeSpan};

fn id(n: u32) -> JobId {
    JobId::from(format!("wk-{n}").as_str())
}

/// A job that runs for a second, with a deadline if one is given.
fn traits(deadline: Option<Instant>) -> JobTraits {
    JobTraits {
        deadline,
        run_time: TimeSpan(1000),
        priority: Priority::Low,
    }
}

const PLAIN: JobTraits = JobTraits {
    deadline: None,
    run_time: TimeSpan(1000),
    priority: Priority::Low,
};

#[test]
fn last_upstream_job_releases_and_cancelled_one_cancels_downstream() {
    let mut g = Graph::default();
    g.add(&id(3), &[id(1), id(2)], PLAIN);
    g.add(&id(1), &[], PLAIN);
    g.add(&id(2), &[], PLAIN);
    assert!(g.is_released(&id(1)) && !g.is_released(&id(3)));
    g.finished(&id(1), Instant(10));
    assert!(!g.is_released(&id(3)));
    g.take_changes();
    g.finished(&id(2), Instant(20));
    assert!(g.is_released(&id(3)));
    let at = Some(Instant(20));
    assert_eq!(
        g.take_changes().released,
        [Release {
            id: id(3),
            last_upstream_finish: at
        }]
    );
    g.add(&id(4), &[id(3)], PLAIN);
    g.add(&id(5), &[id(4)], PLAIN);
    g.cancelled(&id(3));
    g.recheck();
    let changes = g.take_changes();
    assert_eq!(changes.cancelled, [id(4), id(5)]);
    assert!(changes.released.is_empty());
    assert!(!g.is_released(&id(4)) && !g.is_released(&id(3)));
    g.add(&id(6), &[id(5)], PLAIN);
    assert_eq!(g.take_changes().cancelled, [id(6)]);
}

/// What is no longer open is neither finished nor cancelled until its mark says so.
#[test]
fn closed_upstream_job_releases_nobody_before_its_terminal_record_is_known() {
    let mut g = Graph::default();
    g.add(&id(1), &[], PLAIN);
    g.add(&id(2), &[id(1), id(9)], PLAIN);
    g.take_changes();
    assert_eq!(g.unresolved_after(None, 9), [id(9)]);
    g.closed(&id(1));
    assert_eq!(g.unresolved_after(None, 9), [id(1), id(9)]);
    assert_eq!(g.unresolved_after(Some(&id(1)), 9), [id(9), id(1)]);
    g.forget(&id(1));
    g.finished(&id(9), Instant(5));
    assert!(!g.is_released(&id(2)));
    assert_eq!(g.unresolved_after(None, 9), [id(1)]);
    g.finished(&id(1), Instant(3));
    assert!(g.is_released(&id(2)));
    // It was ready when the later of the two was done.
    assert_eq!(
        g.take_changes().released[0].last_upstream_finish,
        Some(Instant(5))
    );
    assert!(g.unresolved_after(None, 9).is_empty());
}

/// Deadlines, less the time of what lies behind, and priorities go backwards to all ancestors, and back
/// when the consumer is cancelled.
#[test]
fn deadlines_and_priorities_propagate_upstream() {
    let mut g = Graph::default();
    g.add(&id(1), &[], PLAIN);
    g.add(&id(2), &[id(1)], PLAIN);
    let last = JobTraits {
        deadline: Some(Instant(9000)),
        run_time: TimeSpan(500),
        priority: Priority::Urgent,
    };
    g.add(&id(3), &[id(2)], last);
    g.refresh();
    let seen = |g: &Graph, n| (g.deadline(&id(n)), g.priority(&id(n)));
    assert_eq!(seen(&g, 2), (Some(Instant(8500)), Some(Priority::Urgent)));
    assert_eq!(seen(&g, 1), (Some(Instant(7500)), Some(Priority::Urgent)));
    g.cancelled(&id(3));
    g.refresh();
    assert_eq!(seen(&g, 2), (None, Some(Priority::Low)));
    assert_eq!(seen(&g, 1), (None, Some(Priority::Low)));
}

/// Thousands of jobs in one chain, and before one consumer, are no danger to the stack.
#[test]
fn long_chains_and_wide_joins_do_not_overflow_the_stack() {
    let mut g = Graph::default();
    for n in 0..5000 {
        let after: Vec<JobId> = (n > 0).then(|| id(n - 1)).into_iter().collect();
        g.add(&id(n), &after, PLAIN);
    }
    let all: Vec<JobId> = (0..5000).map(id).collect();
    g.add(&id(9999), &all, traits(Some(Instant(9_000_000))));
    g.refresh();
    assert_eq!(g.depth(&id(9999)), 5000);
    assert_eq!(g.deadline(&id(0)), Some(Instant(9_000_000 - 5_000_000)));
    g.take_changes();
    g.cancelled(&id(0));
    assert_eq!(g.take_changes().cancelled.len(), 5000);
}

#[test]
fn latency_labels_propagate_upstream_and_stages_are_grouped() {
    let mut g = Graph::default();
    let due = Some(Instant(9000));
    g.add(&id(1), &[], PLAIN);
    g.add(&id(2), &[id(1)], PLAIN);
    for n in [3, 4] {
        g.add(&id(n), &[id(2)], PLAIN);
    }
    g.add(&id(5), &[id(3), id(4)], traits(due));
    g.add(&id(9), &[], PLAIN);
    g.refresh();
    let labels: Vec<Label> = (1..=5).map(|n| g.label(&id(n))).collect();
    use Label::{Latency as L, Throughput as T};
    assert_eq!(labels, [T, L, L, L, L]);
    assert_eq!(g.label(&id(9)), T);
    // Three jobs of a second each lie behind it.
    assert_eq!(g.deadline(&id(1)), Some(Instant(6000)));
    assert_eq!(g.task_group(&id(3)), [id(3), id(4)]);
    assert_eq!(g.task_group(&id(9)), [id(9)]);
    assert_eq!(g.depth(&id(5)), 3);
}

#[test]
fn cycle_is_never_released_and_blocks_no_other_job() {
    let mut g = Graph::default();
    g.add(&id(1), &[id(2)], PLAIN);
    g.add(&id(2), &[id(1)], PLAIN);
    g.add(&id(3), &[], PLAIN);
    g.recheck();
    g.refresh();
    assert!(!g.is_released(&id(1)) && !g.is_released(&id(2)) && g.is_released(&id(3)));
}
