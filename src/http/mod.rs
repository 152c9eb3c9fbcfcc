//! HTTP/1.1, both sides, parsed by `httparse`.
//!
//! The server (`server`, `connection`, `parser`) does not block on any connection: one thread reads
//! them all, by `mio`. Every worker keeps a connection open to the leader and uses it about once a
//! second, so there are thousands of them. With a thread for each, their number was bounded by the
//! memory of the threads (`docs/CAPACITY.md`), and when a thousand workers came to a new leader at
//! once, the thread that renews the lease had its turn on the processor only after the lease had
//! expired. Now a connection costs its buffers, and an idle one no system calls.
//!
//! What stays blocking: the client (`client`), which makes one call at a time on threads of its own
//! with a deadline for each; and handlers started by `serve`, which have a thread for each request.
//!
//! Everything that a peer can make grow has a bound here: heads, bodies, connections, and the time
//! that any of them may take.

mod client;
mod connection;
mod parser;
mod server;

pub use client::{CallError, Client, ClientResponse};
pub use connection::Responder;
pub use server::{ConnectionClass, Handler, Limits, Server, serve};

use std::time::{Duration, Instant};

/// Largest body that a request may carry, in bytes.
pub const MAX_BODY: usize = 64 * 1024;
const MAX_HEAD_BYTES: usize = 8 * 1024;
const MAX_HEADERS: usize = 48;
/// A connection without a request for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// From a request's first byte to its last.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(8);
/// While the peer takes nothing of a response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(4);

/// A request that the server has read as a whole.
#[derive(Debug)]
pub struct Request {
    /// The method, in capitals.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// The body, empty if there is none.
    pub body: Vec<u8>,
}

/// A response of the server.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
    /// Seconds after which the client should retry.
    pub retry_after: Option<u32>,
    /// A response that only a leader may give is not sent after this moment.
    pub not_after: Option<Instant>,
    /// The media type of the body.
    pub content_type: &'static str,
}

impl Response {
    /// A response with a JSON body.
    pub fn new(status: u16, body: Vec<u8>) -> Response {
        Response {
            status,
            body,
            retry_after: None,
            not_after: None,
            content_type: "application/json",
        }
    }

    /// An error with a text for the user.
    pub fn error(status: u16, text: &str) -> Response {
        Response::new(status, crate::wire::error_body(text))
    }

    /// Status 503: with `Retry-After` in seconds.
    pub fn busy(text: &str, retry_after: u32) -> Response {
        let mut response = Response::error(503, text);
        response.retry_after = Some(retry_after);
        response
    }

    /// The same response, not to be sent after `deadline`.
    pub fn until(mut self, deadline: Option<Instant>) -> Response {
        self.not_after = deadline;
        self
    }

    /// The same response with another media type, unless it is an error.
    pub fn with_content_type(mut self, content_type: &'static str) -> Response {
        if self.status == 200 {
            self.content_type = content_type;
        }
        self
    }

    /// Whether it is too late to send this.
    pub fn expired(&self) -> bool {
        self.not_after.is_some_and(|end| Instant::now() >= end)
    }
}

fn reason_phrase(status: u16) -> &'static str {
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

/// A response as it goes over the wire; with `close`, its head announces that the connection ends with it.
fn encode_response(response: &Response, close: bool) -> Vec<u8> {
    let mut head = format!(
        "HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n",
        response.status,
        reason_phrase(response.status),
        response.content_type,
        response.body.len()
    );
    if let Some(seconds) = response.retry_after {
        head.push_str(&format!("Retry-After: {seconds}\r\n"));
    }
    if close {
        head.push_str("Connection: close\r\n");
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(&response.body);
    bytes
}

/// The value of the first header of this name, without the spaces around it.
fn header<'a>(headers: &[httparse::Header<'a>], name: &str) -> Option<&'a str> {
    headers
        .iter()
        .find(|header| header.name.eq_ignore_ascii_case(name))
        .and_then(|header| std::str::from_utf8(header.value).ok())
        .map(str::trim)
}

#[cfg(test)]
pub(crate) mod tests;
