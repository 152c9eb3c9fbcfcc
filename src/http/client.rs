//! Blocking HTTP client for one address, with a persistent connection and a deadline for each call.

use super::{MAX_HEAD_BYTES, MAX_HEADERS, WRITE_TIMEOUT, header};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::time::{Duration, Instant};

/// Maximum size of a response body, in bytes. A watch may return its entire backlog in one response.
const MAX_RESPONSE_BYTES: usize = 32 * 1024 * 1024;
/// Maximum number of bytes read by one system call.
const READ_BYTES: usize = 8192;

/// A response as received.
#[derive(Debug, Clone, PartialEq)]
pub struct ClientResponse {
    /// Status code.
    pub status: u16,
    /// Body.
    pub body: Vec<u8>,
}

impl ClientResponse {
    /// Returns the beginning of the body as text, for error messages.
    pub fn body_excerpt(&self, max_bytes: usize) -> String {
        let end = self.body.len().min(max_bytes);
        String::from_utf8_lossy(&self.body[..end]).into_owned()
    }
}

/// Failure of a call to another service.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum CallError {
    /// The request was not sent, so it has had no effect.
    #[error("not sent: {0}")]
    NotSent(String),
    /// No readable response: the request may have been executed, or may still be.
    #[error("no answer: {0}")]
    Unknown(String),
}

/// Client for one address that keeps its connection open between calls.
pub struct Client {
    addr: SocketAddrV4,
    connect_timeout: Duration,
    idle: Option<Connection>,
}

impl Client {
    /// Returns a client that connects at its first call.
    pub fn new(addr: SocketAddrV4, connect_timeout: Duration) -> Client {
        Client {
            addr,
            connect_timeout,
            idle: None,
        }
    }

    /// Sends a request and reads the response.
    ///
    /// # Errors
    /// Returns `NotSent` if no connection could be opened, and `Unknown` for every other failure, including
    /// a reused connection that the server has closed.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        body: &[u8],
        timeout: Duration,
    ) -> Result<ClientResponse, CallError> {
        self.try_call(method, path, body, Instant::now() + timeout)
    }

    /// Like `call`, for a request that may be executed more than once: if it fails on a reused connection
    /// within a quarter of the timeout, it is repeated on a new one.
    ///
    /// # Errors
    /// Returns the same errors as `call`.
    pub fn call_idempotent(
        &mut self,
        method: &str,
        path: &str,
        body: &[u8],
        timeout: Duration,
    ) -> Result<ClientResponse, CallError> {
        let was_reused = self.idle.is_some();
        let started = Instant::now();
        let deadline = started + timeout;
        match self.try_call(method, path, body, deadline) {
            Err(CallError::Unknown(_)) if was_reused && started.elapsed() < timeout / 4 => {
                self.try_call(method, path, body, deadline)
            }
            result => result,
        }
    }

    fn try_call(
        &mut self,
        method: &str,
        path: &str,
        body: &[u8],
        deadline: Instant,
    ) -> Result<ClientResponse, CallError> {
        let mut connection = match self.idle.take() {
            Some(connection) => connection,
            None => Connection::open(self.addr, self.connect_timeout)
                .map_err(|e| CallError::NotSent(e.to_string()))?,
        };
        let mut request = format!(
            "{method} {path} HTTP/1.1\r\nHost: {}\r\nContent-Length: {}\r\n\r\n",
            self.addr,
            body.len()
        )
        .into_bytes();
        request.extend_from_slice(body);
        let unknown = |e: io::Error| CallError::Unknown(e.to_string());
        connection.stream.write_all(&request).map_err(unknown)?;
        let (response, keep_alive) = connection.read_response(deadline).map_err(unknown)?;
        if keep_alive {
            self.idle = Some(connection);
        }
        Ok(response)
    }
}

/// A connection and the read timeout that is set on it. Remembering the timeout saves a system call for
/// each call, which matters with a thousand workers that send heartbeats.
struct Connection {
    stream: TcpStream,
    read_timeout: Duration,
}

/// The parts of a response's head that the client uses.
struct Head {
    /// Length of the head in bytes.
    bytes: usize,
    status: u16,
    keep_alive: bool,
    body: BodyLength,
}

enum BodyLength {
    Known(usize),
    Chunked,
    /// The body ends when the server closes the connection.
    UntilClose,
}

impl Connection {
    fn open(addr: SocketAddrV4, timeout: Duration) -> io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&SocketAddr::V4(addr), timeout)?;
        let _ = stream.set_nodelay(true);
        let _ = stream.set_write_timeout(Some(WRITE_TIMEOUT));
        Ok(Connection {
            stream,
            read_timeout: Duration::ZERO,
        })
    }

    fn set_read_timeout(&mut self, remaining: Duration) -> io::Result<()> {
        // Rounds up to whole seconds, so that the next request usually has the same timeout.
        let timeout = if remaining > Duration::from_secs(2) {
            Duration::from_secs(remaining.as_secs() + u64::from(remaining.subsec_nanos() > 0))
        } else {
            remaining.max(Duration::from_millis(1))
        };
        if timeout != self.read_timeout {
            self.stream.set_read_timeout(Some(timeout))?;
            self.read_timeout = timeout;
        }
        Ok(())
    }

    /// Reads more bytes into `buffer`, until `deadline` at the latest. Returns 0 at the end of the stream.
    fn read_more(&mut self, buffer: &mut Vec<u8>, deadline: Instant) -> io::Result<usize> {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.set_read_timeout(remaining)?;
        let mut chunk = [0u8; READ_BYTES];
        let length = loop {
            match self.stream.read(&mut chunk) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {
                    if Instant::now() >= deadline {
                        return Err(io::ErrorKind::TimedOut.into());
                    }
                }
                result => break result?,
            }
        };
        buffer.extend_from_slice(&chunk[..length]);
        Ok(length)
    }

    /// Like `read_more`, but returns an error at the end of the stream.
    fn read_some(&mut self, buffer: &mut Vec<u8>, deadline: Instant) -> io::Result<()> {
        match self.read_more(buffer, deadline)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    /// Reads a response; also returns whether the connection can be reused.
    fn read_response(&mut self, deadline: Instant) -> io::Result<(ClientResponse, bool)> {
        let mut buffer = Vec::new();
        let head = loop {
            self.read_some(&mut buffer, deadline)?;
            if let Some(head) = parse_head(&buffer)? {
                break head;
            }
        };
        buffer.drain(..head.bytes);
        let (body, keep_alive) = match head.body {
            BodyLength::Known(length) => {
                (self.read_body(buffer, length, deadline)?, head.keep_alive)
            }
            BodyLength::Chunked => (self.read_chunks(buffer, deadline)?, head.keep_alive),
            BodyLength::UntilClose => (self.read_until_close(buffer, deadline)?, false),
        };
        let status = head.status;
        Ok((ClientResponse { status, body }, keep_alive))
    }

    fn read_body(
        &mut self,
        mut buffer: Vec<u8>,
        length: usize,
        deadline: Instant,
    ) -> io::Result<Vec<u8>> {
        if length > MAX_RESPONSE_BYTES {
            return Err(too_large());
        }
        while buffer.len() < length {
            self.read_some(&mut buffer, deadline)?;
        }
        buffer.truncate(length);
        Ok(buffer)
    }

    fn read_until_close(&mut self, mut buffer: Vec<u8>, deadline: Instant) -> io::Result<Vec<u8>> {
        while self.read_more(&mut buffer, deadline)? > 0 {
            if buffer.len() > MAX_RESPONSE_BYTES {
                return Err(too_large());
            }
        }
        Ok(buffer)
    }

    fn read_chunks(&mut self, mut buffer: Vec<u8>, deadline: Instant) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            match httparse::parse_chunk_size(&buffer)
                .map_err(|_| invalid("malformed chunk size"))?
            {
                httparse::Status::Complete((start, size)) => {
                    let size =
                        usize::try_from(size).map_err(|_| invalid("malformed chunk size"))?;
                    if body.len().saturating_add(size) > MAX_RESPONSE_BYTES {
                        return Err(too_large());
                    }
                    let end = start + size;
                    let end_with_newline = end + 2;
                    while buffer.len() < end_with_newline {
                        self.read_some(&mut buffer, deadline)?;
                    }
                    body.extend_from_slice(&buffer[start..end]);
                    buffer.drain(..end_with_newline);
                    if size == 0 {
                        return Ok(body);
                    }
                }
                httparse::Status::Partial => self.read_some(&mut buffer, deadline)?,
            }
        }
    }
}

/// Parses the head of a response; returns `None` if it is not complete yet.
fn parse_head(buffer: &[u8]) -> io::Result<Option<Head>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let bytes = match head.parse(buffer) {
        Err(e) => return Err(invalid(&e.to_string())),
        Ok(httparse::Status::Partial) if buffer.len() > MAX_HEAD_BYTES => {
            return Err(invalid("response head too large"));
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Ok(httparse::Status::Complete(bytes)) => bytes,
    };
    let contains = |name: &str, value: &str| {
        header(head.headers, name).is_some_and(|v| v.to_ascii_lowercase().contains(value))
    };
    let length = match header(head.headers, "content-length") {
        Some(text) => Some(
            text.parse()
                .map_err(|_| invalid("malformed Content-Length"))?,
        ),
        None => None,
    };
    let body = match length {
        _ if contains("transfer-encoding", "chunked") => BodyLength::Chunked,
        Some(length) => BodyLength::Known(length),
        None => BodyLength::UntilClose,
    };
    Ok(Some(Head {
        bytes,
        status: head.code.unwrap_or(0),
        keep_alive: !contains("connection", "close"),
        body,
    }))
}

fn invalid(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.to_string())
}

fn too_large() -> io::Error {
    invalid("response body too large")
}
