//! The client side: calls to one address over a kept connection, blocking, each with a deadline.

use super::{MAX_HEAD, MAX_HEADERS, WRITE_TIMEOUT, header};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::time::{Duration, Instant};

/// Largest answer read from another service. A watch may return all of its backlog at once.
const MAX_ANSWER: usize = 32 * 1024 * 1024;

/// A connection, with the timeout that is set on it: with a thousand workers, a system call saved
/// on each report counts.
struct Wire {
    stream: TcpStream,
    timeout: Duration,
}

impl Wire {
    fn new(stream: TcpStream) -> Wire {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_write_timeout(Some(WRITE_TIMEOUT));
        Wire {
            stream,
            timeout: Duration::ZERO,
        }
    }

    fn wait_at_most(&mut self, left: Duration) -> io::Result<()> {
        // Whole seconds where there are some: a new request's patience is then the last one's.
        let wanted = if left > Duration::from_secs(2) {
            Duration::from_secs(left.as_secs() + u64::from(left.subsec_nanos() > 0))
        } else {
            left.max(Duration::from_millis(1))
        };
        if wanted != self.timeout {
            self.stream.set_read_timeout(Some(wanted))?;
            self.timeout = wanted;
        }
        Ok(())
    }
}

/// Reads more bytes into `buf`, giving up at `deadline`. `Ok(0)` is the other side's end.
fn read_more(wire: &mut Wire, buf: &mut Vec<u8>, deadline: Instant) -> io::Result<usize> {
    let left = deadline.saturating_duration_since(Instant::now());
    if left.is_zero() {
        return Err(io::ErrorKind::TimedOut.into());
    }
    wire.wait_at_most(left)?;
    let mut chunk = [0u8; 8192];
    let n = loop {
        match wire.stream.read(&mut chunk) {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {
                if Instant::now() >= deadline {
                    return Err(io::ErrorKind::TimedOut.into());
                }
            }
            other => break other?,
        }
    };
    buf.extend_from_slice(&chunk[..n]);
    Ok(n)
}

/// How a call to another service went wrong.
#[derive(Debug, Clone, PartialEq)]
pub enum CallError {
    /// The request was not sent, so it has no effect.
    NotSent(String),
    /// No readable answer: the request may have been executed, or may be yet.
    Unknown(String),
}

impl std::fmt::Display for CallError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            CallError::NotSent(e) => write!(f, "not sent: {e}"),
            CallError::Unknown(e) => write!(f, "no answer: {e}"),
        }
    }
}

/// A client of one address that keeps its connection open between calls.
pub struct Client {
    addr: SocketAddrV4,
    connect: Duration,
    stream: Option<Wire>,
}

impl Client {
    pub fn new(addr: SocketAddrV4, connect: Duration) -> Client {
        Client {
            addr,
            connect,
            stream: None,
        }
    }

    /// Sends a request and reads its answer. With `repeatable`, a kept connection that turns out
    /// to be closed is replaced once; otherwise that is an unknown outcome.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        body: &[u8],
        timeout: Duration,
        repeatable: bool,
    ) -> Result<(u16, Vec<u8>), CallError> {
        let kept = self.stream.is_some();
        let begin = Instant::now();
        match self.try_call(method, path, body, begin + timeout) {
            Err(CallError::Unknown(_)) if kept && repeatable && begin.elapsed() < timeout / 4 => {
                self.try_call(method, path, body, begin + timeout)
            }
            other => other,
        }
    }

    fn try_call(
        &mut self,
        method: &str,
        path: &str,
        body: &[u8],
        deadline: Instant,
    ) -> Result<(u16, Vec<u8>), CallError> {
        let mut wire = match self.stream.take() {
            Some(w) => w,
            None => {
                let s = TcpStream::connect_timeout(&SocketAddr::V4(self.addr), self.connect)
                    .map_err(|e| CallError::NotSent(e.to_string()))?;
                Wire::new(s)
            }
        };
        let mut out = format!(
            "{method} {path} HTTP/1.1\r\nHost: {}\r\nContent-Length: {}\r\n\r\n",
            self.addr,
            body.len()
        )
        .into_bytes();
        out.extend_from_slice(body);
        let unknown = |e: io::Error| CallError::Unknown(e.to_string());
        wire.stream.write_all(&out).map_err(unknown)?;
        let (status, body, keep) = read_answer(&mut wire, deadline).map_err(unknown)?;
        if keep {
            self.stream = Some(wire);
        }
        Ok((status, body))
    }
}

fn bad(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.to_string())
}

fn read_answer(wire: &mut Wire, deadline: Instant) -> io::Result<(u16, Vec<u8>, bool)> {
    let mut buf = Vec::new();
    loop {
        if read_more(wire, &mut buf, deadline)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        let at = match head.parse(&buf) {
            Err(e) => return Err(bad(&e.to_string())),
            Ok(httparse::Status::Partial) if buf.len() > MAX_HEAD => {
                return Err(bad("head too large"));
            }
            Ok(httparse::Status::Partial) => continue,
            Ok(httparse::Status::Complete(at)) => at,
        };
        let status = head.code.unwrap_or(0);
        let keep = !header(head.headers, "connection")
            .is_some_and(|v| v.to_ascii_lowercase().contains("close"));
        let chunked = header(head.headers, "transfer-encoding")
            .is_some_and(|v| v.to_ascii_lowercase().contains("chunked"));
        let length = match header(head.headers, "content-length") {
            Some(t) => Some(t.parse::<usize>().map_err(|_| bad("bad Content-Length"))?),
            None => None,
        };
        buf.drain(..at);
        if chunked {
            return Ok((status, read_chunks(wire, buf, deadline)?, keep));
        }
        let Some(length) = length else {
            while read_more(wire, &mut buf, deadline)? > 0 {
                if buf.len() > MAX_ANSWER {
                    return Err(bad("answer too large"));
                }
            }
            return Ok((status, buf, false));
        };
        if length > MAX_ANSWER {
            return Err(bad("answer too large"));
        }
        while buf.len() < length {
            if read_more(wire, &mut buf, deadline)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        buf.truncate(length);
        return Ok((status, buf, keep));
    }
}

fn read_chunks(wire: &mut Wire, mut buf: Vec<u8>, deadline: Instant) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        match httparse::parse_chunk_size(&buf).map_err(|_| bad("bad chunk"))? {
            httparse::Status::Complete((at, size)) => {
                let size = usize::try_from(size).map_err(|_| bad("bad chunk"))?;
                if body.len().saturating_add(size) > MAX_ANSWER {
                    return Err(bad("answer too large"));
                }
                while buf.len() < at + size + 2 {
                    if read_more(wire, &mut buf, deadline)? == 0 {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                }
                body.extend_from_slice(&buf[at..at + size]);
                buf.drain(..at + size + 2);
                if size == 0 {
                    return Ok(body);
                }
            }
            httparse::Status::Partial => {
                if read_more(wire, &mut buf, deadline)? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
        }
    }
}
