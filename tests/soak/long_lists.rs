//! A run with more long dependency lists than the state store answers requests in a second: all controllers are killed at
//! the same time while many jobs wait for the same upstream jobs, and pushes arrive late.

use super::cluster::{Cluster, Shared, CONTROLLERS};
use super::faults::{Fault, PlannedFault, Target};
use super::run::{self, Verdict};
use super::users::{query_phase, submit};
use super::world::SimulatedJob;
use chalklug::protocol::users::parse_submission;
use serde_json::{json, Value};
use std::time::{Duration, Instant};

/// The state store's request rate limit: less than one request for each list.
const STORE_REQUESTS_PER_SEC: f64 = 150.0;
const UPSTREAM_JOBS: usize = 70;
const DOWNSTREAM_JOBS: usize = 300;
const MACHINES: usize = 24;
/// How many users submit jobs at the same time.
const SUBMITTERS: usize = 10;
const SUBMIT_RETRY_PAUSE: Duration = Duration::from_millis(300);
/// The run time of the first upstream job, for which all downstream jobs wait beyond the crash, and of all other tasks.
const LONG_RUN_TIME: Duration = Duration::from_secs(30);
const SHORT_RUN_TIME: Duration = Duration::from_millis(400);
const FETCH_TIME: Duration = Duration::from_millis(100);
/// How long it may take until all controllers answer polls again: a fifth of the time after which a job counts as
/// forgotten, like the other times of the soak test.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(18);
/// How long the controllers stay down, and the time after which they have all been restarted.
const RESTART_AFTER: Duration = Duration::from_secs(1);
const RESTARTED_AFTER: Duration = Duration::from_secs(2);

/// Runs on a Tokio runtime of its own.
pub fn run() -> Verdict {
    run::on_runtime(run_with_long_lists())
}

async fn run_with_long_lists() -> Verdict {
    let name = format!("chalklug-soak-{}-lists", std::process::id());
    let directory = std::env::temp_dir().join(name);
    let mut cluster = Cluster::start(&directory, MACHINES, STORE_REQUESTS_PER_SEC).await;
    let ticker = tokio::spawn(run::advance(cluster.shared.clone()));
    let upstream: Vec<String> = (0..UPSTREAM_JOBS).map(|n| format!("wk-8{n:05}")).collect();
    let downstream: Vec<String> = (0..DOWNSTREAM_JOBS)
        .map(|n| format!("wk-7{n:05}"))
        .collect();
    submit_all(&cluster, &upstream, &[]).await;
    submit_all(&cluster, &downstream, &upstream).await;
    cluster.store.limit_requests(STORE_REQUESTS_PER_SEC);
    let faults = [
        Fault::LatePushes {
            share: 0.3,
            duration: RESTARTED_AFTER * 3,
        },
        Fault::Kill {
            target: Target::All,
            restart_after: RESTART_AFTER,
        },
    ];
    let schedule = faults.map(|fault| PlannedFault {
        at: Duration::ZERO,
        fault,
    });
    let exited = run::inject_faults(&mut cluster, &schedule, RESTARTED_AFTER * 3).await;
    run::end_faults(&mut cluster);
    if all_controllers_answer(&cluster.shared, &downstream[0]).await {
        run::wait_for_jobs_to_end(&cluster.shared).await;
    } else {
        cluster.shared.world().checker.check_at_end(Instant::now());
    }
    ticker.abort();
    run::verdict(0, cluster, schedule.to_vec(), exited)
}

/// Waits until all controllers have answered a poll of the job, for at most [`ANSWER_TIMEOUT`]. Returns whether they have.
async fn all_controllers_answer(shared: &Shared, id: &str) -> bool {
    let end = Instant::now() + ANSWER_TIMEOUT;
    let mut answered = [false; CONTROLLERS];
    while Instant::now() < end && answered.contains(&false) {
        for (controller, answered) in answered.iter_mut().enumerate() {
            *answered |= query_phase(shared, controller, id).await == Some(200);
        }
    }
    !answered.contains(&false)
}

/// Submits jobs that wait for the same upstream jobs, several at a time and at all controllers.
async fn submit_all(cluster: &Cluster, ids: &[String], upstream: &[String]) {
    let mut submitters = tokio::task::JoinSet::new();
    let share = ids.len().div_ceil(SUBMITTERS);
    for (number, ids) in ids.chunks(share).enumerate() {
        let (shared, ids, upstream) = (cluster.shared.clone(), ids.to_vec(), upstream.to_vec());
        submitters.spawn(async move {
            for id in ids {
                let spec = spec(&id, &upstream);
                let parsed =
                    parse_submission(spec.to_string().as_bytes()).expect("invalid submission");
                let is_first_upstream = upstream.is_empty() && id.ends_with("00000");
                let job = SimulatedJob {
                    run_time: match is_first_upstream {
                        true => LONG_RUN_TIME,
                        false => SHORT_RUN_TIME,
                    },
                    fetch_time: FETCH_TIME,
                    spec: parsed.spec,
                };
                shared.world().submit(job);
                shared.world().checker.depends_on(&id, &upstream);
                while submit(&shared, number % CONTROLLERS, &spec).await != Some(201) {
                    tokio::time::sleep(SUBMIT_RETRY_PAUSE).await;
                }
            }
        });
    }
    while let Some(submitter) = submitters.join_next().await {
        submitter.expect("a submitter panicked");
    }
}

fn spec(id: &str, upstream: &[String]) -> Value {
    json!({"ref": id, "jobclass": "chain", "crew": "blue", "shape": "array", "urgency": "normal", "pieces": 1,
        "cpus": 1.0, "gpus": 1.0, "ramGb": 4.0, "bundle": "img-0", "pullGb": 1.0, "together": false, "scatter": false,
        "loaners": true, "guessS": 1.0, "markEveryS": 0.0, "markCostS": 0.0, "waitsOn": upstream})
}
