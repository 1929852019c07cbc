//! A proxy for connections from one controller to another, which applies the faults of their link.

use super::faults::Link;
use super::links::{Delivery, Links};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

const BUFFER_BYTES: usize = 16_384;

/// Starts a proxy that forwards connections to `target`. Returns the proxy's address.
pub async fn start(links: Arc<Links>, link: Link, target: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("failed to bind a loopback port");
    let addr = listener
        .local_addr()
        .expect("failed to get the listener's address");
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            tokio::spawn(forward(links.clone(), link, client, target.clone()));
        }
    });
    addr
}

async fn forward(links: Arc<Links>, link: Link, client: TcpStream, target: String) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let requests = copy(
        links.clone(),
        link,
        Direction::Requests,
        from_client,
        to_server,
    );
    let responses = copy(links, link, Direction::Responses, from_server, to_client);
    tokio::select! {
        () = requests => {}
        () = responses => {}
    }
}

#[derive(Clone, Copy)]
enum Direction {
    Requests,
    Responses,
}

/// Copies bytes until either side closes the connection or a message is lost. A lost message ends the connection, since
/// the rest of the byte stream could not be parsed.
async fn copy(
    links: Arc<Links>,
    link: Link,
    direction: Direction,
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
) {
    let mut buffer = vec![0u8; BUFFER_BYTES];
    while let Ok(count) = from.read(&mut buffer).await {
        if count == 0 {
            return;
        }
        let delivery = match direction {
            Direction::Requests => links.deliver_request(link).await,
            Direction::Responses => links.deliver_response(link),
        };
        if delivery == Delivery::Lost || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
