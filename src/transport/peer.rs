//! The peer link: postcard in length-delimited frames over TCP, one request at a time on each
//! connection.

use crate::protocol::peers::{PeerReply, PeerRequest};
use bytes::Bytes;
use futures_util::{SinkExt, TryStreamExt};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio_util::sync::CancellationToken;

type Link = Framed<TcpStream, LengthDelimitedCodec>;

/// The largest frame; a user's body is at most 64 KiB, counts are shorter.
const MAX_FRAME: usize = 256 * 1024;

fn framed(s: TcpStream) -> Link {
    let _ = s.set_nodelay(true);
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME)
        .new_codec();
    Framed::new(s, codec)
}

/// One sibling, with a few connections kept open.
pub struct PeerClient {
    addr: SocketAddr,
    /// So many connections are kept open.
    most_idle: usize,
    idle: Mutex<Vec<Link>>,
}

impl PeerClient {
    /// A client that has not connected yet.
    pub fn new(addr: SocketAddr, most_idle: usize) -> Self {
        PeerClient {
            addr,
            most_idle,
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Asks and waits for the answer, at most until the deadline. None: no answer.
    pub async fn ask(&self, request: &PeerRequest, deadline: Duration) -> Option<PeerReply> {
        tokio::time::timeout(deadline, self.exchange(request))
            .await
            .ok()
            .flatten()
    }

    async fn exchange(&self, request: &PeerRequest) -> Option<PeerReply> {
        let bytes = Bytes::from(postcard::to_stdvec(request).ok()?);
        let kept = self.idle.lock().ok()?.pop();
        if let Some(mut link) = kept {
            if let Some(reply) = Self::once(&mut link, bytes.clone()).await {
                self.keep(link);
                return Some(reply);
            }
        }
        let stream = TcpStream::connect(self.addr).await.ok()?;
        let mut link = framed(stream);
        let reply = Self::once(&mut link, bytes).await?;
        self.keep(link);
        Some(reply)
    }

    async fn once(link: &mut Link, bytes: Bytes) -> Option<PeerReply> {
        link.send(bytes).await.ok()?;
        let frame = link.try_next().await.ok()??;
        postcard::from_bytes(&frame).ok()
    }

    fn keep(&self, link: Link) {
        if let Ok(mut idle) = self.idle.lock() {
            if idle.len() < self.most_idle {
                idle.push(link);
            }
        }
    }
}

/// Answers siblings until cancelled; a task for each connection, at most `most` at once.
pub async fn serve<F, R>(listener: TcpListener, stop: CancellationToken, most: usize, answer: F)
where
    F: Fn(PeerRequest) -> R + Send + Sync + 'static,
    R: Future<Output = PeerReply> + Send,
{
    let answer = Arc::new(answer);
    let room = Arc::new(tokio::sync::Semaphore::new(most));
    loop {
        let Ok(permit) = room.clone().acquire_owned().await else {
            return;
        };
        let accepted = tokio::select! {
            _ = stop.cancelled() => return,
            a = listener.accept() => a,
        };
        let Ok((stream, _)) = accepted else {
            // Out of sockets, most likely: wait a little rather than spin.
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let (answer, stop) = (answer.clone(), stop.clone());
        tokio::spawn(async move {
            let _permit = permit;
            let mut link = framed(stream);
            loop {
                let frame = tokio::select! {
                    _ = stop.cancelled() => return,
                    f = tokio::time::timeout(Duration::from_secs(120), link.try_next()) => f,
                };
                let Ok(Ok(Some(frame))) = frame else { return };
                let Ok(request) = postcard::from_bytes(&frame) else {
                    return;
                };
                let Ok(bytes) = postcard::to_stdvec(&answer(request).await) else {
                    return;
                };
                if link.send(Bytes::from(bytes)).await.is_err() {
                    return;
                }
            }
        });
    }
}
