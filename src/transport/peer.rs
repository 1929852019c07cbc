//! The link between controllers: postcard in length-delimited frames over TCP, one request at a time on each
//! connection.

use crate::protocol::peers::{PeerReply, PeerRequest};
use bytes::Bytes;
use futures_util::{SinkExt, TryStreamExt};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio_util::sync::CancellationToken;

type Connection = Framed<TcpStream, LengthDelimitedCodec>;

/// The largest frame; a user's body is at most 64 KiB, counts are shorter.
const MAX_FRAME_BYTES: usize = 256 * 1024;
/// A connection on which no request comes for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// Pause after a failure to accept a connection: most likely the sockets are used up.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

fn framed(stream: TcpStream) -> Connection {
    let _ = stream.set_nodelay(true);
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    Framed::new(stream, codec)
}

/// The client of one peer, with a few connections kept open.
pub struct PeerClient {
    address: SocketAddr,
    max_idle: usize,
    /// Held only to take or put back a connection, never over an `await`.
    idle: Mutex<Vec<Connection>>,
}

impl PeerClient {
    /// A client that has not connected yet, and will keep up to `max_idle` connections open.
    pub fn new(address: SocketAddr, max_idle: usize) -> Self {
        PeerClient {
            address,
            max_idle,
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Sends a request and waits for the reply, at most until the deadline. None: no reply.
    pub async fn send(&self, request: &PeerRequest, deadline: Duration) -> Option<PeerReply> {
        tokio::time::timeout(deadline, self.exchange(request))
            .await
            .ok()
            .flatten()
    }

    /// Tries an idle connection, which the peer may have closed, and then a new one.
    async fn exchange(&self, request: &PeerRequest) -> Option<PeerReply> {
        let bytes = Bytes::from(postcard::to_stdvec(request).ok()?);
        let idle = self.idle.lock().ok()?.pop();
        if let Some(mut connection) = idle {
            if let Some(reply) = exchange_on(&mut connection, bytes.clone()).await {
                self.keep(connection);
                return Some(reply);
            }
        }
        let stream = TcpStream::connect(self.address).await.ok()?;
        let mut connection = framed(stream);
        let reply = exchange_on(&mut connection, bytes).await?;
        self.keep(connection);
        Some(reply)
    }

    fn keep(&self, connection: Connection) {
        if let Ok(mut idle) = self.idle.lock() {
            if idle.len() < self.max_idle {
                idle.push(connection);
            }
        }
    }
}

async fn exchange_on(connection: &mut Connection, bytes: Bytes) -> Option<PeerReply> {
    connection.send(bytes).await.ok()?;
    let frame = connection.try_next().await.ok()??;
    postcard::from_bytes(&frame).ok()
}

/// Answers peers until cancelled: a task for each connection, at most `max_connections` at the same time.
pub async fn serve<F, R>(
    listener: TcpListener,
    stop: CancellationToken,
    max_connections: usize,
    answer: F,
) where
    F: Fn(PeerRequest) -> R + Send + Sync + 'static,
    R: Future<Output = PeerReply> + Send,
{
    let answer = Arc::new(answer);
    let slots = Arc::new(Semaphore::new(max_connections));
    loop {
        let Ok(slot) = slots.clone().acquire_owned().await else {
            return;
        };
        let accepted = tokio::select! {
            _ = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            continue;
        };
        let (answer, stop) = (answer.clone(), stop.clone());
        tokio::spawn(async move {
            let _slot = slot;
            serve_connection(framed(stream), &stop, answer.as_ref()).await;
        });
    }
}

/// Answers the requests on one connection, one after the other, until it is closed, idle for too long or broken.
async fn serve_connection<F, R>(mut connection: Connection, stop: &CancellationToken, answer: &F)
where
    F: Fn(PeerRequest) -> R,
    R: Future<Output = PeerReply>,
{
    loop {
        let frame = tokio::select! {
            _ = stop.cancelled() => return,
            frame = tokio::time::timeout(IDLE_TIMEOUT, connection.try_next()) => frame,
        };
        let Ok(Ok(Some(frame))) = frame else { return };
        let Ok(request) = postcard::from_bytes(&frame) else {
            return;
        };
        let Ok(reply) = postcard::to_stdvec(&answer(request).await) else {
            return;
        };
        if connection.send(Bytes::from(reply)).await.is_err() {
            return;
        }
    }
}
