//! HTTP/1.1 on loopback: a server with a thread for each connection, and a client with a deadline.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub body: Vec<u8>,
}

pub struct Response {
    pub status: u16,
    pub body: String,
    pub retry_after: Option<u64>,
}

impl Response {
    pub fn new(status: u16, body: String) -> Response {
        Response {
            status,
            body,
            retry_after: None,
        }
    }

    pub fn error(status: u16, why: &str) -> Response {
        Response::new(status, format!("{{\"error\":\"{why}\"}}"))
    }
}

impl Request {
    /// A parameter of the query string.
    pub fn param(&self, name: &str) -> Option<&str> {
        let mut pairs = self.query.split('&').filter_map(|p| p.split_once('='));
        pairs.find(|(n, _)| *n == name).map(|(_, v)| v)
    }
}

/// Serves until the process ends. Without a response the connection is closed.
pub fn serve(
    listener: TcpListener,
    handle: Arc<dyn Fn(Request) -> Option<Response> + Send + Sync>,
) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            let served = std::thread::Builder::new().stack_size(256 * 1024);
            let _ = served.spawn(move || serve_connection(stream, &*handle));
        }
    });
}

fn serve_connection(mut stream: TcpStream, handle: &dyn Fn(Request) -> Option<Response>) {
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(300)));
    let mut buffer = Vec::new();
    while let Some((head, body)) = read_message(&mut stream, &mut buffer) {
        let mut words = head.split_whitespace();
        let (Some(method), Some(target)) = (words.next(), words.next()) else {
            return;
        };
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let request = Request {
            method: method.to_string(),
            path: path.to_string(),
            query: query.to_string(),
            body,
        };
        let Some(response) = handle(request) else {
            return;
        };
        let retry = match response.retry_after {
            Some(s) => format!("Retry-After: {s}\r\n"),
            None => String::new(),
        };
        let out = format!(
            "HTTP/1.1 {} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n{retry}\r\n{}",
            response.status,
            response.body.len(),
            response.body
        );
        if stream.write_all(out.as_bytes()).is_err() {
            return;
        }
    }
}

/// Reads one message; returns its head and its body.
fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<(String, Vec<u8>)> {
    let mut chunk = [0u8; 16384];
    loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let length = head
                .lines()
                .filter_map(|l| l.split_once(':'))
                .find(|(n, _)| n.eq_ignore_ascii_case("content-length"))
                .and_then(|(_, v)| v.trim().parse::<usize>().ok())
                .unwrap_or(0);
            while buffer.len() < end + 4 + length {
                match stream.read(&mut chunk) {
                    Ok(n) if n > 0 => buffer.extend_from_slice(&chunk[..n]),
                    _ => return None,
                }
            }
            let body = buffer[end + 4..end + 4 + length].to_vec();
            buffer.drain(..end + 4 + length);
            return Some((head, body));
        }
        match stream.read(&mut chunk) {
            Ok(n) if n > 0 => buffer.extend_from_slice(&chunk[..n]),
            _ => return None,
        }
    }
}

/// A response as received.
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
    pub retry_after: Option<f64>,
}

/// A client that keeps its connection open until a call fails.
pub struct Client {
    addr: SocketAddr,
    stream: Option<TcpStream>,
}

impl Client {
    pub fn new(addr: SocketAddr) -> Client {
        Client { addr, stream: None }
    }

    /// Opens the connection; returns whether the server accepts it within this time.
    pub fn connect(&mut self, timeout: Duration) -> bool {
        self.stream = TcpStream::connect_timeout(&self.addr, timeout).ok();
        self.stream.is_some()
    }

    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        body: &str,
        timeout: Duration,
    ) -> Option<Answer> {
        let deadline = Instant::now() + timeout;
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => TcpStream::connect_timeout(&self.addr, Duration::from_millis(500)).ok()?,
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_write_timeout(Some(timeout));
        let out = format!(
            "{method} {path} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            self.addr,
            body.len()
        );
        // A server may answer and close before it has read the whole body.
        let sent = stream.write_all(out.as_bytes());
        let mut received = Vec::new();
        let mut chunk = [0u8; 16384];
        loop {
            if let Some((answer, close)) = parse_answer(&received) {
                if !close && sent.is_ok() {
                    self.stream = Some(stream);
                }
                return Some(answer);
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return None;
            }
            let _ = stream.set_read_timeout(Some(left));
            match stream.read(&mut chunk) {
                Ok(n) if n > 0 => received.extend_from_slice(&chunk[..n]),
                _ => return None,
            }
        }
    }
}

fn parse_answer(received: &[u8]) -> Option<(Answer, bool)> {
    let end = received.windows(4).position(|w| w == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&received[..end]).into_owned();
    let status = head.split_whitespace().nth(1)?.parse().ok()?;
    let header = |name: &str| {
        let mut lines = head.lines().filter_map(|l| l.split_once(':'));
        lines
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v.trim().to_string())
    };
    let length: usize = header("content-length")
        .and_then(|v| v.parse().ok())
        .unwrap_or(0);
    if received.len() < end + 4 + length {
        return None;
    }
    let answer = Answer {
        status,
        body: received[end + 4..end + 4 + length].to_vec(),
        retry_after: header("retry-after").and_then(|v| v.parse().ok()),
    };
    Some((
        answer,
        header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close")),
    ))
}
