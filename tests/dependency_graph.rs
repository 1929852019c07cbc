//! The dependency graph of jobs: release, cancellation, deadlines, scheduling preferences, task groups.

use chalklug::coordination::jobs::graph::{
    DependencyGraph, JobAttributes, ReleasedJob, SchedulingPreference,
};
use chalklug::ids::JobId;
use chalklug::protocol::users::Priority;
use chalklug::time::{Instant, TimeSpan};

fn job_id(n: u32) -> JobId {
    JobId::from(format!("wk-{n}").as_str())
}

/// Attributes of a low-priority job that runs for 1 s.
fn attributes(deadline: Option<Instant>) -> JobAttributes {
    JobAttributes {
        deadline,
        run_time: TimeSpan(1000),
        priority: Priority::Low,
    }
}

const NO_DEADLINE: JobAttributes = JobAttributes {
    deadline: None,
    run_time: TimeSpan(1000),
    priority: Priority::Low,
};

#[test]
fn last_upstream_job_releases_and_cancelled_one_cancels_downstream() {
    let mut graph = DependencyGraph::default();
    graph.add_job(&job_id(3), &[job_id(1), job_id(2)], NO_DEADLINE);
    graph.add_job(&job_id(1), &[], NO_DEADLINE);
    graph.add_job(&job_id(2), &[], NO_DEADLINE);
    assert!(graph.is_released(&job_id(1)) && !graph.is_released(&job_id(3)));
    graph.mark_finished(&job_id(1), Instant(10));
    assert!(!graph.is_released(&job_id(3)));
    graph.take_changes();
    graph.mark_finished(&job_id(2), Instant(20));
    assert!(graph.is_released(&job_id(3)));
    let at = Some(Instant(20));
    assert_eq!(
        graph.take_changes().released,
        [ReleasedJob {
            id: job_id(3),
            last_upstream_finish: at
        }]
    );
    graph.add_job(&job_id(4), &[job_id(3)], NO_DEADLINE);
    graph.add_job(&job_id(5), &[job_id(4)], NO_DEADLINE);
    graph.mark_cancelled(&job_id(3));
    graph.release_ready_jobs();
    let changes = graph.take_changes();
    assert_eq!(changes.cancelled, [job_id(4), job_id(5)]);
    assert!(changes.released.is_empty());
    assert!(!graph.is_released(&job_id(4)) && !graph.is_released(&job_id(3)));
    graph.add_job(&job_id(6), &[job_id(5)], NO_DEADLINE);
    assert_eq!(graph.take_changes().cancelled, [job_id(6)]);
}

/// Guards against releasing a job because its upstream job is no longer open: that job counts as neither done nor
/// cancelled until its terminal record is known.
#[test]
fn closed_upstream_job_releases_nobody_before_its_terminal_record_is_known() {
    let mut graph = DependencyGraph::default();
    graph.add_job(&job_id(1), &[], NO_DEADLINE);
    graph.add_job(&job_id(2), &[job_id(1), job_id(9)], NO_DEADLINE);
    graph.take_changes();
    assert_eq!(graph.unresolved_after(None, 9), [job_id(9)]);
    graph.mark_closed(&job_id(1));
    assert_eq!(graph.unresolved_after(None, 9), [job_id(1), job_id(9)]);
    assert_eq!(
        graph.unresolved_after(Some(&job_id(1)), 9),
        [job_id(9), job_id(1)]
    );
    graph.remove(&job_id(1));
    graph.mark_finished(&job_id(9), Instant(5));
    assert!(!graph.is_released(&job_id(2)));
    assert_eq!(graph.unresolved_after(None, 9), [job_id(1)]);
    graph.mark_finished(&job_id(1), Instant(3));
    assert!(graph.is_released(&job_id(2)));
    // The job counts as released when the later of its two upstream jobs was done.
    assert_eq!(
        graph.take_changes().released[0].last_upstream_finish,
        Some(Instant(5))
    );
    assert!(graph.unresolved_after(None, 9).is_empty());
}

/// Deadlines, reduced by the run times of the jobs in between, and priorities propagate to all upstream jobs. They
/// are reset when the downstream job is cancelled.
#[test]
fn deadlines_and_priorities_propagate_upstream() {
    let mut graph = DependencyGraph::default();
    graph.add_job(&job_id(1), &[], NO_DEADLINE);
    graph.add_job(&job_id(2), &[job_id(1)], NO_DEADLINE);
    let last = JobAttributes {
        deadline: Some(Instant(9000)),
        run_time: TimeSpan(500),
        priority: Priority::Urgent,
    };
    graph.add_job(&job_id(3), &[job_id(2)], last);
    graph.refresh();
    let derived =
        |graph: &DependencyGraph, n| (graph.deadline(&job_id(n)), graph.priority(&job_id(n)));
    assert_eq!(
        derived(&graph, 2),
        (Some(Instant(8500)), Some(Priority::Urgent))
    );
    assert_eq!(
        derived(&graph, 1),
        (Some(Instant(7500)), Some(Priority::Urgent))
    );
    graph.mark_cancelled(&job_id(3));
    graph.refresh();
    assert_eq!(derived(&graph, 2), (None, Some(Priority::Low)));
    assert_eq!(derived(&graph, 1), (None, Some(Priority::Low)));
}

/// Guards against recursion that overflows the stack with thousands of jobs in one chain or upstream of one job.
#[test]
fn long_chains_and_wide_joins_do_not_overflow_the_stack() {
    let mut graph = DependencyGraph::default();
    for n in 0..5000 {
        let upstream: Vec<JobId> = (n > 0).then(|| job_id(n - 1)).into_iter().collect();
        graph.add_job(&job_id(n), &upstream, NO_DEADLINE);
    }
    let all_jobs: Vec<JobId> = (0..5000).map(job_id).collect();
    graph.add_job(
        &job_id(9999),
        &all_jobs,
        attributes(Some(Instant(9_000_000))),
    );
    graph.refresh();
    assert_eq!(graph.depth(&job_id(9999)), 5000);
    assert_eq!(
        graph.deadline(&job_id(0)),
        Some(Instant(9_000_000 - 5_000_000))
    );
    graph.take_changes();
    graph.mark_cancelled(&job_id(0));
    assert_eq!(graph.take_changes().cancelled.len(), 5000);
}

#[test]
fn latency_labels_propagate_upstream_and_stages_are_grouped() {
    let mut graph = DependencyGraph::default();
    let deadline = Some(Instant(9000));
    graph.add_job(&job_id(1), &[], NO_DEADLINE);
    graph.add_job(&job_id(2), &[job_id(1)], NO_DEADLINE);
    for n in [3, 4] {
        graph.add_job(&job_id(n), &[job_id(2)], NO_DEADLINE);
    }
    graph.add_job(&job_id(5), &[job_id(3), job_id(4)], attributes(deadline));
    graph.add_job(&job_id(9), &[], NO_DEADLINE);
    graph.refresh();
    let preferences: Vec<SchedulingPreference> = (1..=5)
        .map(|n| graph.scheduling_preference(&job_id(n)))
        .collect();
    use SchedulingPreference::{Latency as L, Throughput as T};
    assert_eq!(preferences, [T, L, L, L, L]);
    assert_eq!(graph.scheduling_preference(&job_id(9)), T);
    // Its deadline is reduced by the run times of three downstream stages of 1 s each.
    assert_eq!(graph.deadline(&job_id(1)), Some(Instant(6000)));
    assert_eq!(graph.task_group(&job_id(3)), [job_id(3), job_id(4)]);
    assert_eq!(graph.task_group(&job_id(9)), [job_id(9)]);
    assert_eq!(graph.depth(&job_id(5)), 3);
}

#[test]
fn cycle_is_never_released_and_blocks_no_other_job() {
    let mut graph = DependencyGraph::default();
    graph.add_job(&job_id(1), &[job_id(2)], NO_DEADLINE);
    graph.add_job(&job_id(2), &[job_id(1)], NO_DEADLINE);
    graph.add_job(&job_id(3), &[], NO_DEADLINE);
    graph.release_ready_jobs();
    graph.refresh();
    assert!(
        !graph.is_released(&job_id(1))
            && !graph.is_released(&job_id(2))
            && graph.is_released(&job_id(3))
    );
}
