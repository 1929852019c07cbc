//! HTTP server and client of the fake services, with JSON bodies and persistent connections.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioIo};
use serde_json::Value;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// A request to a fake service.
pub struct HttpRequest {
    pub method: String,
    /// The path with the query.
    pub path: String,
    pub body: Value,
}

/// The status and the body of a response.
pub type HttpResponse = (u16, Value);

/// Serves requests on a free loopback port until the runtime shuts down. Returns the address.
pub async fn serve<H, F>(handler: H) -> SocketAddr
where
    H: Fn(HttpRequest) -> F + Send + Sync + 'static,
    F: Future<Output = HttpResponse> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("failed to bind a loopback port");
    let addr = listener
        .local_addr()
        .expect("failed to get the listener's address");
    let handler = Arc::new(handler);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let handler = handler.clone();
            tokio::spawn(async move {
                let service = service_fn(move |request| respond(handler.clone(), request));
                let connection = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service);
                // Connections that break during a request are expected under faults.
                let _ = connection.await;
            });
        }
    });
    addr
}

async fn respond<H, F>(
    handler: Arc<H>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible>
where
    H: Fn(HttpRequest) -> F,
    F: Future<Output = HttpResponse>,
{
    let method = request.method().to_string();
    let path = request.uri().to_string();
    let body = match request.into_body().collect().await {
        Ok(body) => serde_json::from_slice(&body.to_bytes()).unwrap_or(Value::Null),
        Err(_) => Value::Null,
    };
    let request = HttpRequest { method, path, body };
    let (status, body) = handler(request).await;
    let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
    *response.status_mut() = StatusCode::from_u16(status).expect("invalid HTTP status");
    Ok(response)
}

/// An HTTP client for requests to controllers.
#[derive(Clone)]
pub struct HttpClient(Client<HttpConnector, Full<Bytes>>);

impl HttpClient {
    pub fn new() -> HttpClient {
        HttpClient(Client::builder(TokioExecutor::new()).build_http())
    }

    /// Sends a request and returns the response, or None if there was none within the timeout.
    pub async fn send(
        &self,
        addr: &str,
        method: &str,
        path: &str,
        body: String,
        timeout: Duration,
    ) -> Option<HttpResponse> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{addr}{path}"))
            .body(Full::new(Bytes::from(body)))
            .ok()?;
        let exchange = async {
            let response = self.0.request(request).await.ok()?;
            let status = response.status().as_u16();
            let body = response.into_body().collect().await.ok()?.to_bytes();
            Some((status, serde_json::from_slice(&body).unwrap_or(Value::Null)))
        };
        tokio::time::timeout(timeout, exchange).await.ok()?
    }
}
