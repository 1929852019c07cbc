//! A small HTTP/1.1 server and client on loopback, one thread a connection.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

pub struct Request {
    pub method: String,
    pub path: String,
    pub body: Vec<u8>,
}

pub type Response = (u16, String);

/// Serves requests on a free loopback port. `None` closes the connection without a response.
pub fn serve(handler: impl Fn(&Request) -> Option<Response> + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
    addr
}

fn serve_connection(stream: TcpStream, handler: &dyn Fn(&Request) -> Option<Response>) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let (first, body) = read_message(&mut reader)?;
        let mut words = first.split(' ');
        let request = Request {
            method: words.next()?.to_owned(),
            path: words.next()?.to_owned(),
            body,
        };
        let (status, body) = handler(&request)?;
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        writer.write_all((head + &body).as_bytes()).ok()?;
    }
}

fn read_message(reader: &mut BufReader<TcpStream>) -> Option<(String, Vec<u8>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            if name.eq_ignore_ascii_case("content-length") {
                length = value.trim().parse().ok()?;
            }
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((first.trim_end().to_owned(), body))
}

/// A client with one persistent connection to one address.
pub struct Client {
    addr: String,
    connection: Option<BufReader<TcpStream>>,
}

impl Client {
    pub fn new(addr: &str) -> Client {
        Client {
            addr: addr.to_owned(),
            connection: None,
        }
    }

    /// Sends a request. `None` if there is no response in time; the connection is closed then.
    pub fn call(&mut self, method: &str, path: &str, body: &str, timeout: Duration) -> Option<Response> {
        let end = Instant::now() + timeout;
        let kept = self.connection.take();
        let was_kept = kept.is_some();
        let connection = kept.or_else(|| self.connect(end));
        let response = connection.and_then(|c| self.exchange(c, method, path, body, end));
        // A server may close an idle connection at any time; a request on it is repeated on a new one.
        if response.is_none() && was_kept && method == "GET" && Instant::now() < end {
            let connection = self.connect(end)?;
            return self.exchange(connection, method, path, body, end);
        }
        response
    }

    fn connect(&self, end: Instant) -> Option<BufReader<TcpStream>> {
        let left = end.checked_duration_since(Instant::now())?;
        let stream = TcpStream::connect_timeout(&self.addr.parse().ok()?, left).ok()?;
        let _ = stream.set_nodelay(true);
        Some(BufReader::new(stream))
    }

    fn exchange(
        &mut self,
        mut connection: BufReader<TcpStream>,
        method: &str,
        path: &str,
        body: &str,
        end: Instant,
    ) -> Option<Response> {
        let left = end.checked_duration_since(Instant::now())?;
        let stream = connection.get_mut();
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1)))).ok()?;
        stream.set_write_timeout(Some(left.max(Duration::from_millis(1)))).ok()?;
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            self.addr,
            body.len()
        );
        stream.write_all((head + body).as_bytes()).ok()?;
        let (first, body) = read_message(&mut connection)?;
        let status = first.split(' ').nth(1)?.parse().ok()?;
        self.connection = Some(connection);
        Some((status, String::from_utf8_lossy(&body).into_owned()))
    }
}

/// Returns the named parameter of a path's query.
pub fn query<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = path.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}
