//! Users and the load balancer: each request opens a connection, to the controllers in turn. Every request and answer
//! goes into the record.

use crate::fleet::{Fleet, Job};
use crate::http::call;
use crate::json::Json;
use crate::nodes::Nodes;
use crate::record::Record;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What a controller answered: the status and the phase. None if there was no answer in time.
pub type Answer = Option<(u16, String)>;

pub struct Users {
    nodes: Arc<Nodes>,
    fleet: Arc<Fleet>,
    record: Arc<Record>,
    next: AtomicUsize,
}

impl Users {
    pub fn new(nodes: Arc<Nodes>, fleet: Arc<Fleet>, record: Arc<Record>) -> Users {
        Users {
            nodes,
            fleet,
            record,
            next: AtomicUsize::new(0),
        }
    }

    /// The controller that the load balancer chooses next.
    pub fn next_node(&self) -> usize {
        self.next.fetch_add(1, Ordering::SeqCst) % self.nodes.count()
    }

    pub fn ask(&self, node: usize, method: &str, path: &str, body: &str, limit: Duration) -> Answer {
        let answer = call(&self.nodes.front(node), method, path, body, limit);
        let shown: String = body.chars().take(160).collect();
        match &answer {
            Some((status, text)) => self.record.line(&format!(
                "user to node {node}: {method} {path} {shown} -> {status} {text}"
            )),
            None => self.record.line(&format!(
                "user to node {node}: {method} {path} {shown} -> no answer"
            )),
        }
        let (status, text) = answer?;
        let phase = Json::parse(&text).map(|body| body.get("phase").text().to_owned());
        Some((status, phase.unwrap_or_default()))
    }

    pub fn poll_at(&self, node: usize, id: &str) -> Answer {
        self.ask(
            node,
            "GET",
            &format!("/submissions/{id}"),
            "",
            Duration::from_secs(2),
        )
    }

    pub fn poll(&self, id: &str) -> Answer {
        self.poll_at(self.next_node(), id)
    }

    /// Submits a job until it is accepted. Returns false if the user gives up after 60 s or the job is refused.
    pub fn submit(&self, job: &Job) -> bool {
        self.fleet.submit(job);
        let end = Instant::now() + Duration::from_secs(60);
        while Instant::now() < end {
            match self.ask(
                self.next_node(),
                "POST",
                "/submissions",
                &job.body(),
                Duration::from_secs(5),
            ) {
                Some((200 | 201, _)) => return true,
                Some((400 | 422, _)) => return false,
                _ => std::thread::sleep(Duration::from_secs(1)),
            }
        }
        false
    }

    /// Polls every half second until the job has the phase.
    pub fn wait_for(&self, id: &str, phase: &str, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self
                .poll(id)
                .is_some_and(|(status, found)| status == 200 && found == phase)
            {
                return true;
            }
            std::thread::sleep(Duration::from_millis(500));
        }
        false
    }
}
