//! HTTP/1.1 on loopback: a server with a thread for each connection, and a client with a connection for each call.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub struct Request {
    pub method: String,
    pub path: String,
    pub body: Vec<u8>,
}

pub type Answer = Option<(u16, String)>;

/// Serves until the process ends. `None` closes the connection without an answer.
pub fn serve(listener: TcpListener, handle: Arc<dyn Fn(&Request) -> Answer + Send + Sync>) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            let _ = std::thread::Builder::new().stack_size(256 * 1024).spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut stream = stream;
                let mut buffer = Vec::new();
                while let Ok(Some(request)) = read_request(&mut stream, &mut buffer) {
                    let Some((status, body)) = handle(&request) else { return };
                    let head = format!(
                        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                        body.len()
                    );
                    if stream.write_all(&[head.as_bytes(), body.as_bytes()].concat()).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

fn find_head(buffer: &[u8]) -> Option<usize> {
    buffer
        .windows(4)
        .position(|w| w == b"\r\n\r\n")
        .map(|n| n + 4)
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().skip(1).find_map(|line| {
        let (k, v) = line.split_once(':')?;
        k.eq_ignore_ascii_case(name).then_some(v.trim())
    })
}

fn more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<usize> {
    let mut chunk = [0u8; 16 * 1024];
    let n = stream.read(&mut chunk)?;
    buffer.extend_from_slice(&chunk[..n]);
    Ok(n)
}

fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Request>> {
    let head_len = loop {
        if let Some(n) = find_head(buffer) {
            break n;
        }
        if more(stream, buffer)? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&buffer[..head_len]).into_owned();
    let length: usize = header(&head, "content-length")
        .and_then(|v| v.parse().ok())
        .unwrap_or(0);
    while buffer.len() < head_len + length {
        if more(stream, buffer)? == 0 {
            return Ok(None);
        }
    }
    let body = buffer[head_len..head_len + length].to_vec();
    buffer.drain(..head_len + length);
    let mut first = head.lines().next().unwrap_or("").split(' ');
    let method = first.next().unwrap_or("").to_string();
    let path = first.next().unwrap_or("").to_string();
    Ok(Some(Request { method, path, body }))
}

/// One request on a new connection.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> io::Result<(u16, Vec<u8>)> {
    let end = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&addr, timeout.min(Duration::from_millis(500)))?;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(timeout))?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {addr}\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    // A server may answer before it has read the whole body, so a failed write is no end yet.
    let written = stream.write_all(request.as_bytes());
    let mut buffer = Vec::new();
    loop {
        if let Some(n) = find_head(&buffer) {
            let head = String::from_utf8_lossy(&buffer[..n]).into_owned();
            let length = header(&head, "content-length").and_then(|v| v.parse::<usize>().ok());
            if length.is_some_and(|l| buffer.len() >= n + l) {
                let status = head
                    .split(' ')
                    .nth(1)
                    .and_then(|s| s.parse().ok())
                    .unwrap_or(0);
                return Ok((status, buffer[n..n + length.unwrap_or(0)].to_vec()));
            }
        }
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        stream.set_read_timeout(Some(left))?;
        if more(&mut stream, &mut buffer)? == 0 {
            written?;
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}
