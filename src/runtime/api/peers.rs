//! What controllers ask of each other.

use crate::coordination::Event;
use crate::ids::JobId;
use crate::protocol::peers::{PeerReply, PeerRequest};
use crate::protocol::users::JobPhase;
use crate::runtime::api::routes;
use crate::runtime::{lock, Node};
use crate::time::{Instant, TimeSpan};
use crate::transport::peer;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Notify;

/// The state service counts as reachable for this long after it last served us.
pub const STATE_FRESH: Duration = Duration::from_millis(2000);

/// What a sibling said counts for this long.
pub const HEARD_FRESH: TimeSpan = TimeSpan(2500);

/// What a sibling last said of itself.
#[derive(Clone, Copy, Debug)]
pub struct Heard {
    pub at: Instant,
    pub state_ok: bool,
}

/// While the state service doesn't serve us, looks which siblings can be reached and whether it
/// serves them, so that users' requests needn't find out one by one.
pub async fn look(node: Arc<Node>) {
    loop {
        tokio::select! {
            _ = node.stop.cancelled() => return,
            _ = tokio::time::sleep(Duration::from_millis(500)) => {}
        }
        if node.state.since_ok() < STATE_FRESH / 2 {
            continue;
        }
        let hellos = node.siblings.iter().map(|s| async {
            let asked = node.now();
            let reply = s.ask(&PeerRequest::Hello, Duration::from_millis(400)).await;
            match reply {
                Some(PeerReply::Hello { state_ok, .. }) => Some(Heard {
                    at: asked,
                    state_ok,
                }),
                _ => None,
            }
        });
        let all = futures_util::future::join_all(hellos).await;
        for (kept, new) in lock(&node.heard).iter_mut().zip(all) {
            *kept = new.or(*kept);
        }
    }
}

impl Node {
    /// Siblings heard lately: their numbers, and whether the state service serves them.
    pub fn siblings_heard(&self) -> Vec<(usize, bool)> {
        let now = self.now();
        lock(&self.heard)
            .iter()
            .enumerate()
            .filter_map(|(n, h)| h.map(|h| (n, h)))
            .filter(|(_, h)| now - h.at < HEARD_FRESH)
            .map(|(n, h)| (n, h.state_ok))
            .collect()
    }
}

/// Cancellations that the state service confirmed here and siblings are still to be told of.
#[derive(Default)]
pub struct CancelNews {
    untold: Mutex<Vec<(JobId, u32)>>,
    events: Notify,
}

/// Siblings are told of so many at most at once; what is beyond they learn from the state service.
const MOST_NEWS: usize = 500;

impl Node {
    /// A cancellation is confirmed: the leader stops the job's tasks, here or on a sibling.
    pub fn cancelled(&self, id: &JobId, tasks: u32) {
        self.job_cancelled(id, tasks);
        let mut untold = lock(&self.cancel_news.untold);
        if untold.len() < MOST_NEWS {
            untold.push((id.clone(), tasks));
            self.cancel_news.events.notify_one();
        }
    }

    /// What a confirmed cancellation means on this controller. It is final.
    fn job_cancelled(&self, id: &JobId, tasks: u32) {
        lock(&self.finals).put(id, JobPhase::Cancelled, tasks);
        let cancelled = Event::JobCancelled { id: id.clone() };
        self.leader.event(self.now(), cancelled);
    }
}

/// Tells siblings of cancellations.
///
/// Guards against a leader that the state service alone refuses: it would go on renewing the leases of
/// machines whose jobs were cancelled through others. This is for speed: that such tasks are gone in
/// time rests on the leader's own clock (`Authority`), not on any message.
pub async fn tell_cancelled(node: Arc<Node>) {
    loop {
        tokio::select! {
            _ = node.stop.cancelled() => return,
            _ = node.cancel_news.events.notified() => {}
        }
        let jobs = std::mem::take(&mut *lock(&node.cancel_news.untold));
        if jobs.is_empty() {
            continue;
        }
        let request = PeerRequest::Cancelled { jobs };
        let all = node.siblings.iter().map(|s| s.ask(&request, TELL));
        futures_util::future::join_all(all).await;
    }
}

/// A sibling that doesn't answer within this is not told.
const TELL: Duration = Duration::from_millis(400);

/// Answers siblings.
pub async fn serve(node: Arc<Node>, listener: TcpListener) {
    let most = node.sockets.siblings_in;
    let stop = node.stop.clone();
    peer::serve(listener, stop, most, move |request| {
        let node = node.clone();
        async move {
            match request {
                PeerRequest::Hello => PeerReply::Hello {
                    state_ok: node.state.since_ok() < STATE_FRESH,
                    workers_heard_ms: node.workers_heard().map(|m| m.0),
                },
                PeerRequest::Forward { method, path, body } => {
                    let answer = routes::user_request(&node, &method, &path, &body, true).await;
                    PeerReply::Answer {
                        status: answer.status,
                        body: answer.body,
                    }
                }
                PeerRequest::Counts { jobs } => {
                    *lock(&node.counts) = jobs.into_iter().map(|(j, d, r)| (j, (d, r))).collect();
                    PeerReply::Noted
                }
                PeerRequest::Cancelled { jobs } => {
                    for (id, tasks) in &jobs {
                        node.job_cancelled(id, *tasks);
                    }
                    PeerReply::Noted
                }
            }
        }
    })
    .await;
}
