//! Client and server of the protocol between controllers: postcard in length-delimited frames over TCP, one request
//! at a time per connection.

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

/// Maximum length of a frame. A forwarded user request has a body of at most 64 KiB; task counts are shorter.
const MAX_FRAME_BYTES: usize = 256 * 1024;
/// Time without a request after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// Pause before the retry when accepting a connection fails, most likely because the process is out of sockets.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

fn framed(stream: TcpStream) -> Connection {
    let _ = stream.set_nodelay(true);
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    Framed::new(stream, codec)
}

/// A client for one peer, with a pool of idle connections.
pub struct PeerClient {
    address: SocketAddr,
    max_idle: usize,
    /// Locked only to take or return a connection, never across an `await`.
    idle: Mutex<Vec<Connection>>,
}

impl PeerClient {
    /// Creates a client that keeps at most `max_idle` idle connections; connects on the first request.
    pub fn new(address: SocketAddr, max_idle: usize) -> Self {
        PeerClient {
            address,
            max_idle,
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Sends a request and returns the reply, or `None` if none arrives within `timeout`.
    pub async fn send(&self, request: &PeerRequest, timeout: Duration) -> Option<PeerReply> {
        tokio::time::timeout(timeout, self.exchange(request))
            .await
            .ok()
            .flatten()
    }

    /// Sends the request on an idle connection; if that fails, for example because the peer has closed the connection,
    /// retries on a new one.
    async fn exchange(&self, request: &PeerRequest) -> Option<PeerReply> {
        let bytes = Bytes::from(postcard::to_stdvec(request).ok()?);
        let idle = self.idle.lock().ok()?.pop();
        if let Some(mut connection) = idle {
            if let Some(reply) = exchange_on(&mut connection, bytes.clone()).await {
                self.return_to_pool(connection);
                return Some(reply);
            }
        }
        let stream = TcpStream::connect(self.address).await.ok()?;
        let mut connection = framed(stream);
        let reply = exchange_on(&mut connection, bytes).await?;
        self.return_to_pool(connection);
        Some(reply)
    }

    fn return_to_pool(&self, connection: Connection) {
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

/// Serves requests from peers until `stop` is cancelled. Each connection has its own task; at most `max_connections`
/// are served at the same time.
pub async fn serve<F, R>(
    listener: TcpListener,
    stop: CancellationToken,
    max_connections: usize,
    handler: F,
) where
    F: Fn(PeerRequest) -> R + Send + Sync + 'static,
    R: Future<Output = PeerReply> + Send,
{
    let handler = Arc::new(handler);
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
        let (handler, stop) = (handler.clone(), stop.clone());
        tokio::spawn(async move {
            let _slot = slot;
            serve_connection(framed(stream), &stop, handler.as_ref()).await;
        });
    }
}

/// Serves the requests on a connection in sequence until the connection is closed, fails or reaches the idle
/// timeout, or until `stop` is cancelled.
async fn serve_connection<F, R>(mut connection: Connection, stop: &CancellationToken, handler: &F)
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
        let Ok(reply) = postcard::to_stdvec(&handler(request).await) else {
            return;
        };
        if connection.send(Bytes::from(reply)).await.is_err() {
            return;
        }
    }
}
