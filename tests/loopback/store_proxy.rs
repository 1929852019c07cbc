//! A proxy between one controller and the state store that can close connections, refuse requests and delay responses.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// How often a forwarding thread checks whether to close its connection.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(50);
const READ_BUFFER_BYTES: usize = 16_384;
const UNAVAILABLE_RESPONSE: &[u8] = b"HTTP/1.1 503 X\r\nContent-Length: 2\r\n\r\n{}";

/// The faults that the proxy injects.
#[derive(Default)]
struct Faults {
    disconnected: AtomicBool,
    refuse_requests: AtomicBool,
    response_delay_ms: AtomicU64,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    Requests,
    Responses,
}

/// A proxy between one controller and the state store.
pub struct StoreProxy {
    pub addr: SocketAddr,
    faults: Arc<Faults>,
}

impl StoreProxy {
    /// Starts a proxy that forwards all connections to `target`.
    pub fn start(target: SocketAddr) -> StoreProxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let addr = listener.local_addr().expect("the listener has an address");
        let faults = Arc::new(Faults::default());
        let shared = faults.clone();
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                if !shared.disconnected.load(Ordering::Relaxed) {
                    let store =
                        TcpStream::connect(target).expect("the state store accepts connections");
                    start_forwarding(&client, &store, Direction::Requests, &shared);
                    start_forwarding(&store, &client, Direction::Responses, &shared);
                }
            }
        });
        StoreProxy { addr, faults }
    }

    /// While enabled, open connections end and new ones are closed at once.
    pub fn disconnect(&self, enabled: bool) {
        self.faults.disconnected.store(enabled, Ordering::Relaxed);
    }

    /// While enabled, every request is answered with status 503.
    pub fn refuse_requests(&self, enabled: bool) {
        self.faults
            .refuse_requests
            .store(enabled, Ordering::Relaxed);
    }

    /// Delays every response by `delay`.
    pub fn delay_responses(&self, delay: Duration) {
        let delay_ms = delay.as_millis() as u64;
        let stored = &self.faults.response_delay_ms;
        stored.store(delay_ms, Ordering::Relaxed);
    }
}

fn start_forwarding(from: &TcpStream, to: &TcpStream, direction: Direction, faults: &Arc<Faults>) {
    let mut from = from.try_clone().expect("the socket can be cloned");
    let mut to = to.try_clone().expect("the socket can be cloned");
    let faults = faults.clone();
    let timeout = from.set_read_timeout(Some(DISCONNECT_POLL_INTERVAL));
    timeout.expect("the timeout can be set");
    std::thread::spawn(move || {
        forward(&mut from, &mut to, direction, &faults);
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    });
}

/// Forwards bytes until either side closes the connection or the proxy disconnects it.
fn forward(from: &mut TcpStream, to: &mut TcpStream, direction: Direction, faults: &Faults) {
    let mut chunk = [0u8; READ_BUFFER_BYTES];
    while !faults.disconnected.load(Ordering::Relaxed) {
        let count = match from.read(&mut chunk) {
            Ok(count) if count > 0 => count,
            Err(error) if error.kind() == ErrorKind::WouldBlock => continue,
            _ => return,
        };
        let sent = match direction {
            Direction::Requests if faults.refuse_requests.load(Ordering::Relaxed) => {
                from.write_all(UNAVAILABLE_RESPONSE)
            }
            Direction::Requests => to.write_all(&chunk[..count]),
            Direction::Responses => {
                let delay_ms = faults.response_delay_ms.load(Ordering::Relaxed);
                std::thread::sleep(Duration::from_millis(delay_ms));
                to.write_all(&chunk[..count])
            }
        };
        if sent.is_err() {
            return;
        }
    }
}
