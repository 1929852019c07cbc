//! The HTTP server. Each connection has its own task; the connection table bounds their number.

use super::connection_table::{ConnectionHandle, ConnectionTable, RemoveOnDrop};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tower_service::Service;

/// Pause before the retry when accepting a connection fails, most likely because the process is out of sockets.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Serves HTTP connections until `stop` is cancelled, then completes the requests in progress. A connection on which
/// no request starts for `idle_timeout` is closed.
pub async fn serve<S, B>(
    listener: TcpListener,
    connections: Arc<ConnectionTable>,
    idle_timeout: Duration,
    stop: CancellationToken,
    service: S,
) where
    S: Service<Request<Incoming>, Response = Response<B>, Error = Infallible>
        + Clone
        + Send
        + 'static,
    S::Future: Send,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut http = http1::Builder::new();
    http.timer(TokioTimer::new())
        .header_read_timeout(idle_timeout);
    let tasks = TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            _ = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let close = stop.child_token();
        let connection = ConnectionHandle::insert(&connections, close.clone());
        let service = service.clone();
        tasks.spawn(serve_connection(
            http.clone(),
            stream,
            connection,
            close,
            service,
        ));
    }
    tasks.close();
    tasks.wait().await;
}

/// Serves a connection until it ends. When `close` is cancelled, completes the request in progress and closes the
/// connection.
async fn serve_connection<S, B>(
    http: http1::Builder,
    stream: TcpStream,
    connection: ConnectionHandle,
    close: CancellationToken,
    service: S,
) where
    S: Service<Request<Incoming>, Response = Response<B>, Error = Infallible> + Clone,
    B: Body + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let _guard = RemoveOnDrop(connection.clone());
    let handler = service_fn(move |mut request: Request<Incoming>| {
        let connection = connection.clone();
        let mut service = service.clone();
        connection.request_started();
        request.extensions_mut().insert(connection.clone());
        async move {
            let response = service.call(request).await;
            connection.request_finished();
            response
        }
    });
    let mut connection_future =
        std::pin::pin!(http.serve_connection(TokioIo::new(stream), handler));
    let result = tokio::select! {
        result = connection_future.as_mut() => result,
        _ = close.cancelled() => {
            // Completes the request in progress and accepts no further ones.
            connection_future.as_mut().graceful_shutdown();
            connection_future.await
        }
    };
    if let Err(error) = result {
        tracing::debug!(%error, "connection ended with an error");
    }
}
