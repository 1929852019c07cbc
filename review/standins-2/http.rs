//! A blocking HTTP/1.1 server and client on loopback addresses, one thread for each connection.

use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub body: String,
}

pub enum Reply {
    Answer(u16, String),
    /// No answer: the connection stays open for this long and is then closed.
    Silence(Duration),
}

pub type Handler = Arc<dyn Fn(Request) -> Reply + Send + Sync>;

/// Serves requests on a free port, and returns the address.
pub fn serve(handler: Handler) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
    let address = listener.local_addr().expect("no address").to_string();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || serve_connection(stream, &handler));
        }
    });
    address
}

fn serve_connection(stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some((start, body)) = read_message(&mut reader) {
        let mut words = start.split_whitespace();
        let (Some(method), Some(path)) = (words.next(), words.next()) else {
            return;
        };
        let request = Request {
            method: method.into(),
            path: path.into(),
            body,
        };
        match handler(request) {
            Reply::Answer(status, body) => {
                let text = format!(
                    "HTTP/1.1 {status} S\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
                    body.len()
                );
                if writer.write_all(text.as_bytes()).is_err() {
                    return;
                }
            }
            Reply::Silence(time) => {
                std::thread::sleep(time);
                return;
            }
        }
    }
}

/// Reads a request or a response: its first line and its body.
fn read_message(reader: &mut impl BufRead) -> Option<(String, String)> {
    let mut start = String::new();
    reader.read_line(&mut start).ok().filter(|n| *n > 0)?;
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let line = line.trim().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((start, String::from_utf8_lossy(&body).into_owned()))
}

/// Sends a request on a connection of its own. None if there is no response in time.
pub fn call(address: &str, method: &str, path: &str, body: &str, timeout: Duration) -> Option<(u16, String)> {
    let end = Instant::now() + timeout;
    let stream = TcpStream::connect_timeout(&address.parse().ok()?, timeout).ok()?;
    let left = end
        .saturating_duration_since(Instant::now())
        .max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left)).ok()?;
    stream.set_write_timeout(Some(left)).ok()?;
    let _ = stream.set_nodelay(true);
    let mut writer = stream.try_clone().ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    writer.write_all(format!("{head}{body}").as_bytes()).ok()?;
    let (start, body) = read_message(&mut BufReader::new(stream))?;
    if Instant::now() > end {
        return None;
    }
    Some((start.split_whitespace().nth(1)?.parse().ok()?, body))
}
