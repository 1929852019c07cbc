//! Three real processes on loopback against stand-ins of the state service, the cloud and the
//! workers, met over their published protocols: bad input, a job that runs, a kill, a restart.
//! Order and outcome are asserted, not time: every wait is for a condition, with a generous end.

mod chains;
mod standins;

use serde_json::{json, Value};
use standins::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::Duration;

fn bad_input(front: &str) {
    let with = |name: &str, v: Value| {
        let mut j = job("wk-000777", 1);
        j[name] = v;
        j
    };
    let without = |name: &str| {
        let mut j = job("wk-000777", 1);
        j.as_object_mut().unwrap().remove(name);
        j
    };
    let malformed = [
        json!([1]),
        json!("text"),
        without("crew"),
        without("pieces"),
        with("ref", json!("job-1")),
        with("ref", json!(7)),
        with("pieces", json!(0)),
        with("pieces", json!(100_001)),
        with("pieces", json!(1.5)),
        with("pieces", json!(-1)),
        with("cpus", json!(-1.0)),
        with("gpus", json!("1")),
        with("shape", json!("ring")),
        with("urgency", json!("very")),
        with("together", json!(null)),
        with("guessS", json!(null)),
        with("dueS", json!(-5)),
        with("rigs", json!("box")),
    ];
    for m in malformed {
        assert_eq!(submit(front, &m), Some(400), "{m}");
    }
    let post = |body: &[u8]| http(front, "POST", "/submissions", body).unwrap().0;
    assert_eq!(post(b"not json"), 400);
    assert_eq!(post(br#"{"ref":"wk-1","cpus":1e999}"#), 400);
    assert_eq!(post(&vec![b' '; 70_000]), 413);
    for never in [
        with("crew", json!("nobody")),
        with("gpus", json!(3.0)),
        with("rigs", json!([])),
        with("site", json!("z")),
    ] {
        assert_eq!(submit(front, &never), Some(422), "{never}");
    }
    let mut gang = job("wk-000777", 30);
    gang["shape"] = json!("gang");
    assert_eq!(submit(front, &gang), Some(422));
    // A known job is known, however bad the repeat.
    assert_eq!(submit(front, &job("wk-000776", 1)), Some(201));
    let mut repeat = job("wk-000776", 1);
    assert_eq!(submit(front, &repeat), Some(200));
    repeat["crew"] = json!("nobody");
    assert_eq!(submit(front, &repeat), Some(200));
    repeat["pieces"] = json!(0);
    assert_eq!(submit(front, &repeat), Some(200));
    let status = |method: &str, path: &str| http(front, method, path, b"").unwrap().0;
    assert_eq!(status("GET", "/submissions/wk-000777"), 404);
    assert_eq!(status("GET", "/submissions/nonsense"), 404);
    assert_eq!(status("POST", "/submissions/wk-000777/withdraw"), 404);
    assert_eq!(status("GET", "/elsewhere"), 404);
    assert_eq!(status("GET", "/submissions"), 405);
    assert_eq!(status("POST", "/submissions/wk-000776"), 405);
    assert_eq!(status("GET", "/submissions/wk-000776/withdraw"), 405);
    assert_eq!(status("POST", "/healthz"), 405);
    assert_eq!(http(front, "POST", "/checkin", b"{}").unwrap().0, 400);
}

/// Which controller leads, other than the one excepted, and its token.
fn leader(c: &Cluster, tick: &mut u64, not: Option<usize>) -> (usize, u64) {
    wait_for("a leader", || {
        (0..c.fronts.len())
            .filter(|i| Some(*i) != not)
            .find_map(|i| {
                *tick += 1;
                let (status, token) = check_in(&c.fronts[i], *tick)?;
                (status == 200).then_some((i, token))
            })
    })
}

/// The state service refuses the leader alone, another controller confirms a cancellation, then the
/// service refuses everybody. The leader, which still may act, learns of it from its sibling and stops
/// the tasks; nothing else could. (Its lease is long, so that a busy machine doesn't decide the test.)
#[test]
fn a_refused_leader_learns_of_cancellations_from_siblings() {
    let long = Some(r#"{"leader_life_ms": 40000}"#);
    let c = cluster_with("gap", 3, 500, long, 90.0);
    c.seen.run_ms.store(600_000, Ordering::Relaxed);
    let (first, _) = leader(&c, &mut 0, None);
    let other = (first + 1) % 3;
    wait_for("taken", || {
        submit(&c.fronts[other], &job("wk-000030", 4)).filter(|s| *s == 201)
    });
    wait_for("all launched", || {
        (c.seen.launched.lock().unwrap().len() == 4).then_some(())
    });
    c.ways[first].refuse(true);
    let path = "/submissions/wk-000030/withdraw";
    let (status, said) = http(&c.fronts[other], "POST", path, b"").unwrap();
    assert_eq!((status, said["phase"].as_str()), (200, Some("aborted")));
    for way in &c.ways {
        way.refuse(true);
    }
    wait_for("all stopped", || {
        (c.seen.stopped.lock().unwrap().len() == 4).then_some(())
    });
    // What is final was told to all: they answer even now.
    for f in &c.fronts {
        wait_for("a final state", || {
            phase(f, "wk-000030").filter(|p| p == "aborted")
        });
    }
}

/// Questions, cancellations and repeated submissions come through all controllers while short jobs end.
/// Whatever of done and aborted a user was told first, no controller says anything else afterwards.
#[test]
fn questions_and_cancellations_meet_the_end() {
    let c = cluster("at-the-end", 3, 500, None);
    c.seen.run_ms.store(300, Ordering::Relaxed);
    leader(&c, &mut 0, None);
    let ids: Vec<String> = (0..10).map(|n| format!("wk-0001{n:02}")).collect();
    std::thread::scope(|s| {
        for (n, id) in ids.iter().enumerate() {
            let fronts = &c.fronts;
            s.spawn(move || {
                let spec = job(id, 1 + n as u32 % 3);
                wait_for("taken", || {
                    submit(&fronts[n % 3], &spec).filter(|s| *s == 201 || *s == 200)
                });
                let path = format!("/submissions/{id}/withdraw");
                let mut last: Option<String> = None;
                let mut at = 0;
                let tell = |said: Option<String>, last: &mut Option<String>| {
                    let end = said.filter(|p| p == "done" || p == "aborted");
                    assert!(
                        last.is_none() || *last == end,
                        "{id}: {last:?}, then {end:?}"
                    );
                    *last = last.take().or(end);
                };
                // Every second job is cancelled, each a little later than the one before.
                let cancel_at = if n % 2 == 0 { n } else { usize::MAX };
                wait_for("the end", || {
                    at += 1;
                    let front = &fronts[at % 3];
                    if at > cancel_at {
                        let said = http(front, "POST", &path, b"").filter(|(s, _)| *s == 200);
                        let phase = said.and_then(|(_, b)| b["phase"].as_str().map(String::from));
                        if phase.is_some() {
                            tell(phase, &mut last);
                        }
                    }
                    if at % 4 == 0 {
                        let body = spec.to_string();
                        let (status, said) = http(front, "POST", "/submissions", body.as_bytes())?;
                        assert!(status == 200 || status == 503, "{id}: {status}");
                        if status == 200 {
                            tell(said["phase"].as_str().map(String::from), &mut last);
                        }
                    }
                    if let Some(p) = phase(&fronts[(at + 1) % 3], id) {
                        tell(Some(p), &mut last);
                    }
                    last.clone()
                });
                for front in fronts {
                    let said = wait_for("a state", || phase(front, id));
                    tell(Some(said), &mut last);
                }
            });
        }
    });
}

/// The leader loses the state service but not its workers: it ceases to answer them before another
/// can lead, and nothing is launched twice.
#[test]
fn a_leader_with_workers_only_falls_silent() {
    let c = cluster("workers-only", 3, 500, None);
    let mut tick = 0;
    let (first, token) = leader(&c, &mut tick, None);
    wait_for("taken", || {
        submit(&c.fronts[first], &job("wk-000010", 6)).filter(|s| *s == 201)
    });
    c.ways[first].cut(true);
    let (second, higher) = leader(&c, &mut tick, Some(first));
    assert!(higher > token && second != first);
    // It still hears workers, and answers none of them as their leader.
    let (status, _) = check_in(&c.fronts[first], 1_000_000).unwrap();
    assert!(status == 421 || status == 503, "{status}");
    wait_for("done", || {
        phase(&c.fronts[second], "wk-000010").filter(|p| p == "done")
    });
    // Users who ask the one cut off are served through a sibling.
    let through = wait_for("a state", || phase(&c.fronts[first], "wk-000010"));
    assert_eq!(through, "done");
    c.ways[first].cut(false);
    let mut all = c.seen.launched.lock().unwrap().clone();
    let n = all.len();
    all.sort();
    all.dedup();
    assert_eq!(all.len(), n, "each task was launched once");
}

/// Answers of the state service come later than an ordinary call waits for them: the leader's lease is
/// renewed all the same, so it still leads when its first life is long over.
#[test]
fn late_answers_renew_the_lease() {
    let c = cluster_with("late", 1, 500, Some(r#"{"leader_life_ms": 15000}"#), 60.0);
    let mut tick = 0;
    let mut leads = || {
        tick += 1;
        check_in(&c.fronts[0], tick).filter(|(status, _)| *status == 200)
    };
    let (_, token) = wait_for("a leader", &mut leads);
    c.ways[0].delay_ms.store(2000, Ordering::Relaxed);
    std::thread::sleep(Duration::from_secs(20));
    assert_eq!(leads(), Some((200, token)));
}

/// More connections than seats: users' idle ones make room, a worker's stays, and the controller
/// goes on serving.
#[test]
fn a_full_table_spares_workers() {
    let c = cluster("full", 1, 300, None);
    let mut worker = TcpStream::connect(&c.fronts[0]).unwrap();
    worker
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    let mut buf = Vec::new();
    let mut report = |tick: u64| {
        let body =
            json!({"host": "host-900001", "endpoint": "127.0.0.1:1", "rig": "box", "site": "a",
            "loaners": false, "tenure": 1, "tick": tick, "baton": 0, "recallS": null, "pieces": []})
            .to_string();
        let head = format!(
            "POST /checkin HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        worker.write_all(head.as_bytes()).ok()?;
        // An answer reads like a request: its first line, a head and a body.
        read_request(&mut worker, &mut buf).map(|(_, status, _)| status)
    };
    assert!(report(1).is_some());
    let mut idle: Vec<TcpStream> = (0..400)
        .map(|_| TcpStream::connect(&c.fronts[0]).unwrap())
        .collect();
    wait_for("the first idle connection's end", || {
        idle[0].set_nonblocking(true).unwrap();
        matches!(idle[0].read(&mut [0u8; 1]), Ok(0)).then_some(())
    });
    assert!(report(2).is_some(), "the worker's connection stays");
    wait_for("taken", || {
        submit(&c.fronts[0], &job("wk-000020", 2)).filter(|s| *s == 201)
    });
    wait_for("done", || {
        phase(&c.fronts[0], "wk-000020").filter(|p| p == "done")
    });
}

#[test]
fn three_processes_a_kill_and_a_restart() {
    let mut c = cluster("loopback", 3, 500, None);
    let (fronts, seen) = (c.fronts.clone(), c.seen.clone());
    let nodes = &mut c.nodes;
    wait_for("machine types", || {
        submit(&fronts[0], &job("wk-000001", 4)).filter(|s| *s == 201 || *s == 200)
    });
    bad_input(&fronts[1]);
    for f in &fronts {
        wait_for("done", || phase(f, "wk-000001").filter(|p| p == "done"));
    }
    // A job is under way; the controllers are killed one by one and started again.
    wait_for("taken", || {
        submit(&fronts[1], &job("wk-000002", 12)).filter(|s| *s == 201)
    });
    for i in 0..3 {
        let (config, front) = (nodes[i].config.clone(), nodes[i].front.clone());
        nodes[i].child.kill().unwrap();
        nodes[i].child.wait().unwrap();
        assert!(
            phase(&fronts[(i + 1) % 3], "wk-000002").is_some(),
            "accepted jobs stay known"
        );
        nodes[i] = Node::start(&config, &front);
        wait_for("health", || {
            http(&front, "GET", "/healthz", b"").filter(|(s, _)| *s == 200)
        });
    }
    wait_for("done after the kills", || {
        phase(&fronts[0], "wk-000002").filter(|p| p == "done")
    });
    // Requests that were carried out, repeated after the job is over.
    for f in &fronts {
        let (status, again) = http(
            f,
            "POST",
            "/submissions",
            job("wk-000001", 4).to_string().as_bytes(),
        )
        .unwrap();
        assert_eq!((status, again["phase"].as_str()), (200, Some("done")));
        let (status, late) = http(f, "POST", "/submissions/wk-000001/withdraw", b"").unwrap();
        assert_eq!((status, late["phase"].as_str()), (200, Some("done")));
    }
    // What is done stays done, a cancellation is final, and nothing was launched twice.
    assert_eq!(phase(&fronts[2], "wk-000001").as_deref(), Some("done"));
    wait_for("taken", || {
        submit(&fronts[2], &job("wk-000003", 1)).filter(|s| *s == 201)
    });
    let withdrawn = http(&fronts[0], "POST", "/submissions/wk-000003/withdraw", b"").unwrap();
    assert_eq!(withdrawn.0, 200);
    for f in &fronts {
        assert_eq!(
            phase(f, "wk-000003").as_deref(),
            withdrawn.1["phase"].as_str()
        );
        let again = http(f, "POST", "/submissions/wk-000003/withdraw", b"").unwrap();
        assert_eq!(again, withdrawn, "a withdrawal repeated");
    }
    let mut all = seen.launched.lock().unwrap().clone();
    let n = all.len();
    all.sort();
    all.dedup();
    assert_eq!(all.len(), n, "each task was launched once");
}
