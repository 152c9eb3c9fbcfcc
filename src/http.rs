//! HTTP/1.1 over blocking sockets, both sides, parsed by `httparse`.
//!
//! Everything a stranger can make grow has a bound here: heads, bodies, connections, and the
//! time that any of them may take.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Largest body that a request may carry.
pub const MAX_BODY: usize = 64 * 1024;
const MAX_HEAD: usize = 8 * 1024;
const MAX_HEADERS: usize = 48;
/// Largest answer read from another service. A watch may return all of its backlog at once.
const MAX_ANSWER: usize = 32 * 1024 * 1024;
/// A connection without a request for this long is closed.
const IDLE: Duration = Duration::from_secs(75);
/// From a request's first byte to its last.
const SLOWEST_REQUEST: Duration = Duration::from_secs(8);
const WRITE_TIMEOUT: Duration = Duration::from_secs(4);

#[derive(Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub body: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
    /// Seconds after which the asker should come back.
    pub retry_after: Option<u32>,
    /// An answer that only a leader may give is worthless after this moment and is not sent.
    pub not_after: Option<Instant>,
    pub content_type: &'static str,
}

impl Answer {
    pub fn new(status: u16, body: Vec<u8>) -> Answer {
        Answer {
            status,
            body,
            retry_after: None,
            not_after: None,
            content_type: "application/json",
        }
    }

    pub fn error(status: u16, text: &str) -> Answer {
        Answer::new(status, crate::wire::error_body(text))
    }

    /// "Not now": the asker is told when to come back.
    pub fn busy(text: &str, after: u32) -> Answer {
        let mut a = Answer::error(503, text);
        a.retry_after = Some(after);
        a
    }

    pub fn until(mut self, deadline: Option<Instant>) -> Answer {
        self.not_after = deadline;
        self
    }

    pub fn of_type(mut self, content_type: &'static str) -> Answer {
        // An error stays what it is.
        if self.status == 200 {
            self.content_type = content_type;
        }
        self
    }

    pub fn expired(&self) -> bool {
        self.not_after.is_some_and(|t| Instant::now() >= t)
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        _ => "Status",
    }
}

fn write_answer(stream: &mut TcpStream, answer: &Answer, close: bool) -> io::Result<()> {
    let mut head = format!(
        "HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n",
        answer.status,
        reason(answer.status),
        answer.content_type,
        answer.body.len()
    );
    if let Some(s) = answer.retry_after {
        head.push_str(&format!("Retry-After: {s}\r\n"));
    }
    if close {
        head.push_str("Connection: close\r\n");
    }
    head.push_str("\r\n");
    let mut out = head.into_bytes();
    out.extend_from_slice(&answer.body);
    stream.write_all(&out)
}

/// Why a connection can serve no further request.
enum Refusal {
    Closed,
    Answer(Answer),
}

fn refuse(status: u16, text: &str) -> Refusal {
    Refusal::Answer(Answer::error(status, text))
}

impl From<io::Error> for Refusal {
    fn from(_: io::Error) -> Refusal {
        Refusal::Closed
    }
}

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

fn header<'a>(headers: &[httparse::Header<'a>], name: &str) -> Option<&'a str> {
    headers
        .iter()
        .find(|h| h.name.eq_ignore_ascii_case(name))
        .and_then(|h| std::str::from_utf8(h.value).ok())
        .map(str::trim)
}

/// Reads one request; bytes of the next one stay in `buf`. The flag says whether to close after.
fn read_request(wire: &mut Wire, buf: &mut Vec<u8>) -> Result<(Request, bool), Refusal> {
    let mut deadline = Instant::now()
        + if buf.is_empty() {
            IDLE
        } else {
            SLOWEST_REQUEST
        };
    let mut started = !buf.is_empty();
    loop {
        if started {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut head = httparse::Request::new(&mut headers);
            match head.parse(buf) {
                Err(httparse::Error::TooManyHeaders) => {
                    return Err(refuse(431, "too many headers"));
                }
                Err(e) => return Err(refuse(400, &format!("bad request: {e}"))),
                Ok(httparse::Status::Partial) if buf.len() > MAX_HEAD => {
                    return Err(refuse(431, "head too large"));
                }
                Ok(httparse::Status::Partial) => {}
                Ok(httparse::Status::Complete(at)) => {
                    if header(head.headers, "transfer-encoding").is_some() {
                        return Err(refuse(501, "send a Content-Length"));
                    }
                    let length = match header(head.headers, "content-length") {
                        None => 0,
                        Some(t) if t.bytes().all(|b| b.is_ascii_digit()) && !t.is_empty() => {
                            t.parse::<usize>().unwrap_or(usize::MAX)
                        }
                        Some(_) => return Err(refuse(400, "bad Content-Length")),
                    };
                    if length > MAX_BODY {
                        return Err(refuse(413, "body over 64 KiB"));
                    }
                    let wants_close = header(head.headers, "connection")
                        .is_some_and(|v| v.to_ascii_lowercase().contains("close"));
                    let close = wants_close || head.version == Some(0);
                    let expects = header(head.headers, "expect").is_some();
                    let mut request = Request {
                        method: head.method.unwrap_or_default().to_string(),
                        path: head.path.unwrap_or_default().to_string(),
                        body: Vec::new(),
                    };
                    if expects && buf.len() < at + length {
                        wire.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n")?;
                    }
                    while buf.len() < at + length {
                        if read_more(wire, buf, deadline)? == 0 {
                            return Err(Refusal::Closed);
                        }
                    }
                    request.body = buf[at..at + length].to_vec();
                    buf.drain(..at + length);
                    if buf.is_empty() && buf.capacity() > MAX_HEAD {
                        *buf = Vec::new();
                    }
                    return Ok((request, close));
                }
            }
        }
        if read_more(wire, buf, deadline)? == 0 {
            return Err(Refusal::Closed);
        }
        if !started {
            started = true;
            deadline = Instant::now() + SLOWEST_REQUEST;
        }
    }
}

fn serve_connection(stream: TcpStream, handle: &dyn Fn(Request) -> Option<Answer>) {
    let mut wire = Wire::new(stream);
    let mut buf = Vec::new();
    loop {
        match read_request(&mut wire, &mut buf) {
            Ok((request, close)) => {
                let Some(answer) = handle(request) else {
                    return;
                };
                // A leader's word that comes too late is not given: silence is always safe.
                if answer.expired()
                    || write_answer(&mut wire.stream, &answer, close).is_err()
                    || close
                {
                    return;
                }
            }
            Err(Refusal::Closed) => return,
            Err(Refusal::Answer(answer)) => {
                let _ = write_answer(&mut wire.stream, &answer, true);
                return;
            }
        }
    }
}

/// Accepts connections for ever, each served by a thread of its own, at most `most` at a time.
pub fn serve(
    listener: TcpListener,
    most: usize,
    handle: Arc<dyn Fn(Request) -> Option<Answer> + Send + Sync>,
) {
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        let mut stream = match listener.accept() {
            Ok((stream, _)) => stream,
            Err(e) => {
                // Out of sockets, say: wait for some to close instead of spinning.
                tracing::debug!("accept: {e}");
                std::thread::sleep(Duration::from_millis(50));
                continue;
            }
        };
        if open.fetch_add(1, Ordering::Relaxed) >= most {
            open.fetch_sub(1, Ordering::Relaxed);
            let _ = stream.set_write_timeout(Some(Duration::from_millis(50)));
            let _ = write_answer(&mut stream, &Answer::busy("too many connections", 2), true);
            continue;
        }
        let (handle, count) = (handle.clone(), open.clone());
        let spawned = std::thread::Builder::new()
            .name("conn".into())
            .stack_size(128 * 1024)
            .spawn(move || {
                serve_connection(stream, &*handle);
                count.fetch_sub(1, Ordering::Relaxed);
            });
        if let Err(e) = spawned {
            tracing::warn!("no thread for a connection: {e}");
            open.fetch_sub(1, Ordering::Relaxed);
        }
    }
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

#[cfg(test)]
mod tests;
