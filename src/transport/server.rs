//! The HTTP server: a task for each connection, in a table of bounded size.

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

/// Pause after a failure to accept a connection: most likely the sockets are used up.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Serves until stopped; a connection on which no request begins for `idle` is closed. Requests that are being
/// answered when the server stops are answered to their end.
pub async fn serve<S, B>(
    listener: TcpListener,
    connections: Arc<ConnectionTable>,
    idle: Duration,
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
    http.timer(TokioTimer::new()).header_read_timeout(idle);
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

/// Serves one connection until it ends or is to be closed.
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
    let _remove = RemoveOnDrop(connection.clone());
    let answer = service_fn(move |mut request: Request<Incoming>| {
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
    let mut serving = std::pin::pin!(http.serve_connection(TokioIo::new(stream), answer));
    let ended = tokio::select! {
        ended = serving.as_mut() => ended,
        _ = close.cancelled() => {
            // What is being answered is answered to its end; nothing new begins.
            serving.as_mut().graceful_shutdown();
            serving.await
        }
    };
    if let Err(error) = ended {
        tracing::debug!(%error, "connection ended with an error");
    }
}
