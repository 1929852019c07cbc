//! One controller's connection to the state store, which can be cut, refused or delayed.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// How often a forwarding thread looks whether the connection was cut.
const CUT_POLL_INTERVAL: Duration = Duration::from_millis(50);
const READ_BUFFER_BYTES: usize = 16_384;
const UNAVAILABLE: &[u8] = b"HTTP/1.1 503 X\r\nContent-Length: 2\r\n\r\n{}";

/// What is wrong with the connection.
#[derive(Default)]
struct Faults {
    cut: AtomicBool,
    refuse: AtomicBool,
    response_delay_ms: AtomicU64,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    Requests,
    Responses,
}

/// A proxy before the state store.
pub struct StoreProxy {
    pub addr: SocketAddr,
    faults: Arc<Faults>,
}

impl StoreProxy {
    /// Forwards all connections to that address.
    pub fn start(target: SocketAddr) -> StoreProxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("an address");
        let faults = Arc::new(Faults::default());
        let shared = faults.clone();
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                if !shared.cut.load(Ordering::Relaxed) {
                    let store = TcpStream::connect(target).expect("the state store");
                    start_forwarding(&client, &store, Direction::Requests, &shared);
                    start_forwarding(&store, &client, Direction::Responses, &shared);
                }
            }
        });
        StoreProxy { addr, faults }
    }

    /// While cut, new connections are closed and open ones end.
    pub fn cut(&self, on: bool) {
        self.faults.cut.store(on, Ordering::Relaxed);
    }

    /// While refusing, every request is answered 503.
    pub fn refuse(&self, on: bool) {
        self.faults.refuse.store(on, Ordering::Relaxed);
    }

    /// Responses are delayed by so much.
    pub fn delay_responses(&self, delay: Duration) {
        let delay_ms = delay.as_millis() as u64;
        let stored = &self.faults.response_delay_ms;
        stored.store(delay_ms, Ordering::Relaxed);
    }
}

fn start_forwarding(from: &TcpStream, to: &TcpStream, direction: Direction, faults: &Arc<Faults>) {
    let mut from = from.try_clone().expect("a second handle");
    let mut to = to.try_clone().expect("a second handle");
    let faults = faults.clone();
    let timeout = from.set_read_timeout(Some(CUT_POLL_INTERVAL));
    timeout.expect("a timeout");
    std::thread::spawn(move || {
        forward(&mut from, &mut to, direction, &faults);
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    });
}

/// Forwards until either side ends or the connection is cut.
fn forward(from: &mut TcpStream, to: &mut TcpStream, direction: Direction, faults: &Faults) {
    let mut part = [0u8; READ_BUFFER_BYTES];
    while !faults.cut.load(Ordering::Relaxed) {
        let count = match from.read(&mut part) {
            Ok(count) if count > 0 => count,
            Err(error) if error.kind() == ErrorKind::WouldBlock => continue,
            _ => return,
        };
        let sent = match direction {
            Direction::Requests if faults.refuse.load(Ordering::Relaxed) => {
                from.write_all(UNAVAILABLE)
            }
            Direction::Requests => to.write_all(&part[..count]),
            Direction::Responses => {
                let delay_ms = faults.response_delay_ms.load(Ordering::Relaxed);
                std::thread::sleep(Duration::from_millis(delay_ms));
                to.write_all(&part[..count])
            }
        };
        if sent.is_err() {
            return;
        }
    }
}
