//! Real processes on loopback with stand-ins of the state store, the cloud and the workers, over their
//! published protocols. Order and outcome are asserted, not time: every wait is for a condition, with a
//! generous end.

mod client;
mod cloud;
mod cluster;
mod dependencies;
mod http;
mod invalid_requests;
mod state_store;
#[path = "../support/store_data.rs"]
mod store_data;
mod store_proxy;
mod terminal_states;
mod worker;

use client::*;
use cluster::{Cluster, ClusterOptions, Ticks};
use http::read_message;
use invalid_requests::check_invalid_requests;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// The state store refuses the leader alone, another controller confirms a cancellation, then the store
/// refuses everybody. The leader, which still may act, learns of it from its peer and stops the tasks;
/// nothing else could. (The leader's lease is long, so that a busy machine doesn't decide the test.)
#[test]
fn refused_leader_learns_of_cancellations_from_peers() {
    let options = ClusterOptions::with_long_leader_lease("refused-leader");
    let cluster = Cluster::start_with(&options);
    cluster.worker_log.set_run_time(Duration::from_secs(600));
    let (leader, _) = cluster.wait_for_leader(&mut Ticks::default());
    let other = &cluster.fronts[(leader + 1) % 3];
    submit_accepted(other, &job("wk-000030", 4));
    wait_for("four launches", || {
        (cluster.worker_log.launched().len() == 4).then_some(())
    });
    cluster.store_proxies[leader].refuse(true);
    let cancelled = cancel(other, "wk-000030");
    assert_eq!(cancelled, Some((200, "aborted".to_owned())));
    for proxy in &cluster.store_proxies {
        proxy.refuse(true);
    }
    wait_for("four stops", || {
        (cluster.worker_log.stopped().len() == 4).then_some(())
    });
    // Terminal states are broadcast: all controllers answer even now.
    for front in &cluster.fronts {
        wait_for_phase(front, "wk-000030", "aborted");
    }
}

/// The leader loses the state store but not its workers: it ceases to answer them before another
/// can lead, and nothing is launched twice.
#[test]
fn leader_without_state_store_stops_answering_workers() {
    let cluster = Cluster::start("workers-only");
    let mut ticks = Ticks::default();
    let (first, token) = cluster.wait_for_leader(&mut ticks);
    submit_accepted(&cluster.fronts[first], &job("wk-000010", 6));
    cluster.store_proxies[first].cut(true);
    let (second, higher_token) = cluster.wait_for_leader_except(&mut ticks, Some(first));
    assert!(higher_token > token && second != first);
    // It still hears workers, and answers none of them as their leader.
    let response = heartbeat(&cluster.fronts[first], 1_000_000);
    let status = response.map(|(status, _)| status);
    assert!(matches!(status, Some(421 | 503)), "{status:?}");
    wait_for_phase(&cluster.fronts[second], "wk-000010", "done");
    // Users who ask the one cut off are served through a peer.
    let through_peer = wait_for_any_phase(&cluster.fronts[first], "wk-000010");
    assert_eq!(through_peer, "done");
    cluster.store_proxies[first].cut(false);
    cluster.worker_log.assert_each_launched_once();
}

/// Responses of the state store come later than an ordinary request waits for them: the leader's lease is
/// renewed all the same, so it still leads when its first life is long over.
#[test]
fn late_store_responses_renew_the_leader_lease() {
    let cluster = Cluster::start_with(&ClusterOptions {
        controllers: 1,
        operator: Some(r#"{"leader_life_ms": 15000}"#),
        cancel_secs: 60.0,
        ..ClusterOptions::new("late-responses")
    });
    let mut ticks = Ticks::default();
    let mut leads = || {
        let response = heartbeat(&cluster.fronts[0], ticks.next());
        response.filter(|(status, _)| *status == 200)
    };
    let (_, token) = wait_for("a leader", &mut leads);
    cluster.store_proxies[0].delay_responses(Duration::from_secs(2));
    std::thread::sleep(Duration::from_secs(20));
    assert_eq!(leads(), Some((200, token)));
}

/// Sends a heartbeat on that connection; whether there was a response.
fn heartbeat_on(connection: &mut TcpStream, tick: u64) -> bool {
    let body = unknown_machine_status("host-900001", tick).to_string();
    let length = body.len();
    let request =
        format!("POST /checkin HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n{body}");
    let sent = connection.write_all(request.as_bytes());
    sent.is_ok() && read_message(connection, &mut Vec::new()).is_some()
}

/// More connections than places: users' idle ones make room, a worker's stays, and the controller
/// goes on serving.
#[test]
fn full_connection_table_keeps_worker_connections() {
    let cluster = Cluster::start_with(&ClusterOptions {
        controllers: 1,
        max_sockets: 300,
        ..ClusterOptions::new("full-table")
    });
    let front = &cluster.fronts[0];
    let connect = || TcpStream::connect(front).expect("a connection");
    let mut worker = connect();
    let timeout = worker.set_read_timeout(Some(Duration::from_secs(10)));
    timeout.expect("a timeout");
    assert!(heartbeat_on(&mut worker, 1));
    let mut idle: Vec<TcpStream> = (0..400).map(|_| connect()).collect();
    idle[0].set_nonblocking(true).expect("non-blocking");
    wait_for("the first idle connection's end", || {
        matches!(idle[0].read(&mut [0u8; 1]), Ok(0)).then_some(())
    });
    let stays = heartbeat_on(&mut worker, 2);
    assert!(stays, "the worker's connection stays");
    submit_accepted(front, &job("wk-000020", 2));
    wait_for_phase(front, "wk-000020", "done");
}

/// The ordinary life of a cluster: invalid requests, a job that runs, every controller killed and
/// restarted, requests repeated, a cancellation.
#[test]
fn jobs_survive_killing_every_controller() {
    let mut cluster = Cluster::start("restarts");
    let fronts = cluster.fronts.clone();
    wait_for("machine types", || {
        submit(&fronts[0], &job("wk-000001", 4)).filter(|s| *s == 201 || *s == 200)
    });
    check_invalid_requests(&fronts[1]);
    for front in &fronts {
        wait_for_phase(front, "wk-000001", "done");
    }
    submit_accepted(&fronts[1], &job("wk-000002", 12));
    restart_one_by_one(&mut cluster, "wk-000002");
    wait_for_phase(&fronts[0], "wk-000002", "done");
    check_repeats_after_the_end(&fronts, "wk-000001");
    check_cancellation_is_final(&fronts, "wk-000003");
    cluster.worker_log.assert_each_launched_once();
}

/// Kills and restarts each controller while the job runs; the others still know it.
fn restart_one_by_one(cluster: &mut Cluster, running: &str) {
    for index in 0..cluster.controllers.len() {
        cluster.controllers[index].kill();
        let other = &cluster.fronts[(index + 1) % cluster.fronts.len()];
        assert!(phase(other, running).is_some(), "accepted jobs stay known");
        cluster.controllers[index].restart();
        cluster.controllers[index].wait_until_healthy();
    }
}

/// Requests that were carried out, repeated after the job is done: it stays done.
fn check_repeats_after_the_end(fronts: &[String], done: &str) {
    let expected = Some((200, "done".to_owned()));
    for front in fronts {
        assert_eq!(submit_for_phase(front, &job(done, 4)), expected);
        assert_eq!(cancel(front, done), expected);
    }
    assert_eq!(phase(&fronts[2], done).as_deref(), Some("done"));
}

/// Whatever the first cancellation is answered with, all controllers say, and a repeat is answered alike.
fn check_cancellation_is_final(fronts: &[String], id: &str) {
    submit_accepted(&fronts[2], &job(id, 1));
    let cancelled = cancel_response(&fronts[0], id).expect("a response");
    assert_eq!(cancelled.0, 200);
    for front in fronts {
        let told = phase(front, id);
        assert_eq!(told.as_deref(), cancelled.1["phase"].as_str());
        let again = cancel_response(front, id).expect("a response");
        assert_eq!(again, cancelled, "a repeated cancellation");
    }
}
