//! The arrival rate that the autoscaler derives from observed arrivals.

use chalklug::coordination::autoscaler::arrivals::ArrivalRate;
use chalklug::protocol::users::{parse_submission, JobSpec};
use chalklug::time::Instant;

fn spec(tasks: u32) -> JobSpec {
    let body = serde_json::json!({"ref":"wk-1","jobclass":"c","crew":"t","shape":"array",
        "urgency":"normal","pieces":tasks,"cpus":1,"gpus":1,"ramGb":1,"bundle":"i","pullGb":1,
        "together":false,"scatter":false,"loaners":true,"guessS":10,"markEveryS":0,"markCostS":0});
    parse_submission(body.to_string().as_bytes()).unwrap().spec
}

#[test]
fn backlog_is_no_arrival_rate_but_a_burst_is() {
    let mut rate = ArrivalRate::new(&spec(10));
    for _ in 0..100 {
        rate.record(&spec(10), Instant(500));
    }
    assert_eq!(
        rate.jobs_per_s(Instant(12_000)),
        0.0,
        "a single backlog is an outlier, not a rate"
    );
    for i in 0..110 {
        rate.record(&spec(10), Instant(10_000 + i * 1000));
    }
    let steady = rate.jobs_per_s(Instant(120_000));
    assert!((steady - 1.0).abs() < 0.15, "{steady}");
    for i in 0..80 {
        rate.record(&spec(10), Instant(120_000 + i * 250));
    }
    let burst = rate.jobs_per_s(Instant(140_000));
    assert!((burst - 4.0).abs() < 0.2, "{burst}");
    let mut subsided = ArrivalRate::new(&spec(10));
    for i in 0..100 {
        subsided.record(&spec(10), Instant(i * 1000));
    }
    assert!(
        subsided.jobs_per_s(Instant(110_000)) > 0.5,
        "one interval without arrivals may be chance"
    );
    assert_eq!(
        subsided.jobs_per_s(Instant(130_000)),
        0.0,
        "after three such intervals arrivals have ceased"
    );
    assert_eq!(
        rate.jobs_per_s(Instant(300_000)),
        0.0,
        "no arrivals for a long time"
    );
}
