//! A blocking HTTP client and server with JSON bodies, for the tests and the fake services.

use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

const READ_TIMEOUT: Duration = Duration::from_secs(10);
const READ_BUFFER_BYTES: usize = 16_384;
const END_OF_HEAD: &str = "\r\n\r\n";

/// Handles a request, given its method, path and body. Returns the response's status and body.
pub type Handler = Arc<dyn Fn(&str, &str, &Value) -> (u16, Value) + Send + Sync>;

/// Sends a request on a new connection. Returns the response's status and body, or None if no response came.
pub fn http(addr: &str, method: &str, path: &str, body: &[u8]) -> Option<(u16, Value)> {
    let mut stream = TcpStream::connect(addr).ok()?;
    stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {addr}\r\nContent-Length: {}\r\nConnection: close{END_OF_HEAD}",
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    // The server may respond and close before it has read the whole body, so a failed write is not an error.
    let _ = stream.write_all(body);
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    let text = String::from_utf8_lossy(&response);
    let status = text.split(' ').nth(1)?.parse().ok()?;
    let body = text.split_once(END_OF_HEAD).map_or("", |(_, body)| body);
    Some((status, serde_json::from_str(body).unwrap_or(Value::Null)))
}

/// Reads the next HTTP message from the connection. Returns the first two words of its first line, and its body. Bytes
/// after the message stay in `buffer`.
pub fn read_message(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> Option<(String, String, Value)> {
    let mut chunk = [0u8; READ_BUFFER_BYTES];
    loop {
        if let Some(message) = take_message(buffer) {
            return Some(message);
        }
        match stream.read(&mut chunk) {
            Ok(count) if count > 0 => buffer.extend_from_slice(&chunk[..count]),
            _ => return None,
        }
    }
}

/// Removes the first message from the buffer. Returns None if the message is not complete yet.
fn take_message(buffer: &mut Vec<u8>) -> Option<(String, String, Value)> {
    let text = String::from_utf8_lossy(buffer).into_owned();
    let head_end = text.find(END_OF_HEAD)?;
    let head = &text[..head_end];
    let body_start = head_end + END_OF_HEAD.len();
    let body_end = body_start + content_length(head);
    if buffer.len() < body_end {
        return None;
    }
    let mut first_line = head.lines().next()?.split(' ');
    let (first, second) = (first_line.next()?.to_owned(), first_line.next()?.to_owned());
    let body = serde_json::from_slice(&buffer[body_start..body_end]).unwrap_or(Value::Null);
    buffer.drain(..body_end);
    Some((first, second, body))
}

fn content_length(head: &str) -> usize {
    let mut headers = head.lines().filter_map(|line| line.split_once(':'));
    headers
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
        .map_or(0, |(_, value)| value.trim().parse().unwrap_or(0))
}

/// Starts a server on a free loopback port, with a thread for each connection. Returns its address.
pub fn serve(handler: Handler) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let addr = listener.local_addr().expect("the listener has an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || serve_connection(stream, &handler));
        }
    });
    addr
}

fn serve_connection(mut stream: TcpStream, handler: &Handler) {
    let mut buffer = Vec::new();
    while let Some((method, path, body)) = read_message(&mut stream, &mut buffer) {
        let (status, body) = handler(&method, &path, &body);
        let text = body.to_string();
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}{END_OF_HEAD}",
            text.len()
        );
        if stream.write_all((head + &text).as_bytes()).is_err() {
            return;
        }
    }
}
