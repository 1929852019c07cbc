//! Tests of controller processes on the loopback interface, with a fake state store, a fake cloud and fake workers that
//! speak the published protocols. The tests assert order and outcome, not times: they wait for conditions, with a long
//! timeout.

mod client;
mod cloud;
mod cluster;
mod dependencies;
mod http;
mod invalid_requests;
#[path = "../support/request_limit.rs"]
mod request_limit;
mod state_store;
#[path = "../support/store_data.rs"]
mod store_data;
mod store_proxy;
mod terminal_states;
mod worker;

use client::*;
use cluster::{Cluster, ClusterOptions, SequenceNumbers};
use http::read_message;
use invalid_requests::check_invalid_requests;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// The state store refuses the leader's requests, another controller confirms a cancellation, and then the store
/// refuses the requests of all controllers. The leader, whose lease has not expired, can learn of the cancellation
/// only from its peer, and must stop the tasks. Its lease is long, so that it doesn't expire on a busy machine.
#[test]
fn refused_leader_learns_of_cancellations_from_peers() {
    let options = ClusterOptions::with_long_leader_lease("refused-leader");
    let cluster = Cluster::start_with(&options);
    cluster.worker_log.set_run_time(Duration::from_secs(600));
    let (leader, _) = cluster.wait_for_leader(&mut SequenceNumbers::default());
    let other = &cluster.http_addrs[(leader + 1) % 3];
    submit_accepted(other, &job_spec("wk-000030", 4));
    wait_for("four task launches", || {
        (cluster.worker_log.launched().len() == 4).then_some(())
    });
    cluster.store_proxies[leader].refuse_requests(true);
    let cancelled = cancel(other, "wk-000030");
    assert_eq!(cancelled, Some((200, "aborted".to_owned())));
    for proxy in &cluster.store_proxies {
        proxy.refuse_requests(true);
    }
    wait_for("four task stops", || {
        (cluster.worker_log.stopped().len() == 4).then_some(())
    });
    // Terminal states are broadcast to peers, so all controllers report them without the state store.
    for http_addr in &cluster.http_addrs {
        wait_for_phase(http_addr, "wk-000030", "aborted");
    }
}

/// A leader that can't reach the state store, but still receives heartbeats, stops answering them before another
/// controller can lead, and no task is launched twice.
#[test]
fn leader_without_state_store_stops_answering_workers() {
    let cluster = Cluster::start("workers-only");
    let mut sequence_numbers = SequenceNumbers::default();
    let (first, token) = cluster.wait_for_leader(&mut sequence_numbers);
    submit_accepted(&cluster.http_addrs[first], &job_spec("wk-000010", 6));
    cluster.store_proxies[first].disconnect(true);
    let (second, higher_token) = cluster.wait_for_leader_except(&mut sequence_numbers, Some(first));
    assert!(higher_token > token && second != first);
    // The former leader still receives heartbeats, but refuses them.
    let response = heartbeat(&cluster.http_addrs[first], 1_000_000);
    let status = response.map(|(status, _)| status);
    assert!(matches!(status, Some(421 | 503)), "{status:?}");
    wait_for_phase(&cluster.http_addrs[second], "wk-000010", "done");
    // The disconnected controller answers users' requests through a peer.
    let through_peer = wait_for_any_phase(&cluster.http_addrs[first], "wk-000010");
    assert_eq!(through_peer, "done");
    cluster.store_proxies[first].disconnect(false);
    cluster.worker_log.assert_each_launched_once();
}

/// The state store's responses take longer than the timeout of other requests. The leader still renews its lease, and
/// leads beyond the lease's initial duration.
#[test]
fn late_store_responses_renew_the_leader_lease() {
    let cluster = Cluster::start_with(&ClusterOptions {
        controllers: 1,
        operator: Some(r#"{"leader_life_ms": 15000}"#),
        cancel_secs: 60.0,
        ..ClusterOptions::new("late-responses")
    });
    let mut sequence_numbers = SequenceNumbers::default();
    let mut leader_response = || {
        let response = heartbeat(&cluster.http_addrs[0], sequence_numbers.next());
        response.filter(|(status, _)| *status == 200)
    };
    let (_, token) = wait_for("a leader", &mut leader_response);
    cluster.store_proxies[0].delay_responses(Duration::from_secs(2));
    std::thread::sleep(Duration::from_secs(20));
    assert_eq!(leader_response(), Some((200, token)));
}

/// Sends a heartbeat on the connection. Returns whether a response arrived.
fn heartbeat_on(connection: &mut TcpStream, sequence_number: u64) -> bool {
    let body = unknown_machine_status("host-900001", sequence_number).to_string();
    let length = body.len();
    let request =
        format!("POST /checkin HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n{body}");
    let sent = connection.write_all(request.as_bytes());
    sent.is_ok() && read_message(connection, &mut Vec::new()).is_some()
}

/// When clients open more connections than the connection table holds, idle connections of users are closed, a worker's
/// connection stays open, and the controller keeps serving requests.
#[test]
fn full_connection_table_keeps_worker_connections() {
    let cluster = Cluster::start_with(&ClusterOptions {
        controllers: 1,
        max_sockets: 300,
        ..ClusterOptions::new("full-table")
    });
    let http_addr = &cluster.http_addrs[0];
    let connect = || TcpStream::connect(http_addr).expect("the controller accepts connections");
    let mut worker = connect();
    let timeout = worker.set_read_timeout(Some(Duration::from_secs(10)));
    timeout.expect("the timeout can be set");
    assert!(heartbeat_on(&mut worker, 1));
    let mut idle: Vec<TcpStream> = (0..400).map(|_| connect()).collect();
    idle[0]
        .set_nonblocking(true)
        .expect("the socket can be non-blocking");
    wait_for("the first idle connection to be closed", || {
        matches!(idle[0].read(&mut [0u8; 1]), Ok(0)).then_some(())
    });
    let is_served = heartbeat_on(&mut worker, 2);
    assert!(is_served, "the worker's connection was closed");
    submit_accepted(http_addr, &job_spec("wk-000020", 2));
    wait_for_phase(http_addr, "wk-000020", "done");
}

/// Invalid requests, completed jobs, a restart of every controller while a job runs, repeated requests, and a
/// cancellation.
#[test]
fn jobs_survive_killing_every_controller() {
    let mut cluster = Cluster::start("restarts");
    let http_addrs = cluster.http_addrs.clone();
    wait_for("acceptance of the first job", || {
        submit(&http_addrs[0], &job_spec("wk-000001", 4)).filter(|s| *s == 201 || *s == 200)
    });
    check_invalid_requests(&http_addrs[1]);
    for http_addr in &http_addrs {
        wait_for_phase(http_addr, "wk-000001", "done");
    }
    submit_accepted(&http_addrs[1], &job_spec("wk-000002", 12));
    rolling_restart(&mut cluster, "wk-000002");
    wait_for_phase(&http_addrs[0], "wk-000002", "done");
    check_repeated_requests_after_completion(&http_addrs, "wk-000001");
    check_cancellation_is_final(&http_addrs, "wk-000003");
    cluster.worker_log.assert_each_launched_once();
}

/// Kills and restarts each controller in turn while the job runs; another controller still returns its phase.
fn rolling_restart(cluster: &mut Cluster, running: &str) {
    for index in 0..cluster.controllers.len() {
        cluster.controllers[index].kill();
        let other = &cluster.http_addrs[(index + 1) % cluster.http_addrs.len()];
        assert!(
            phase(other, running).is_some(),
            "the accepted job is unknown"
        );
        cluster.controllers[index].restart();
        cluster.controllers[index].wait_until_healthy();
    }
}

/// A submission and cancellations of a job that is done are answered with its phase, which doesn't change.
fn check_repeated_requests_after_completion(http_addrs: &[String], done: &str) {
    let expected = Some((200, "done".to_owned()));
    for http_addr in http_addrs {
        assert_eq!(submit_for_phase(http_addr, &job_spec(done, 4)), expected);
        assert_eq!(cancel(http_addr, done), expected);
    }
    assert_eq!(phase(&http_addrs[2], done).as_deref(), Some("done"));
}

/// All controllers report the phase with which the first cancellation was answered, and answer a repeated cancellation
/// with the same body.
fn check_cancellation_is_final(http_addrs: &[String], id: &str) {
    submit_accepted(&http_addrs[2], &job_spec(id, 1));
    let cancelled = cancel_response(&http_addrs[0], id).expect("the controller responds");
    assert_eq!(cancelled.0, 200);
    for http_addr in http_addrs {
        let reported = phase(http_addr, id);
        assert_eq!(reported.as_deref(), cancelled.1["phase"].as_str());
        let repeated = cancel_response(http_addr, id).expect("the controller responds");
        assert_eq!(repeated, cancelled, "the repeated cancellation");
    }
}
