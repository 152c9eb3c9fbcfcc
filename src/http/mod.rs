//! HTTP/1.1 client and server, with `httparse` as the parser.
//!
//! The server (`server`, `connection`, `parser`) does not block on any connection: one thread reads all
//! of them, with `mio`. Every worker keeps a connection to the leader open and uses it about once a
//! second, so there are thousands of connections. With a thread for each, the memory of the threads
//! limited their number (`docs/CAPACITY.md`), and when a thousand workers connected to a new leader at
//! once, the thread that renews the lease ran only after the lease had expired. Now a connection takes
//! only the memory of its buffers, and an idle one causes no system calls.
//!
//! Two parts still block: the client (`client`), which makes one call at a time, each with a deadline,
//! on the thread of its caller; and handlers started by `serve`, which have a thread for each request.
//!
//! Everything that a peer can enlarge has a limit: heads, bodies, the number of connections, and the
//! duration of each phase of a request.

mod client;
mod connection;
mod parser;
mod server;

pub use client::{CallError, Client, ClientResponse};
pub use connection::Responder;
pub use server::{ConnectionClass, Handler, Limits, Server, serve};

use std::time::{Duration, Instant};

/// Maximum size of a request body, in bytes.
pub const MAX_BODY: usize = 64 * 1024;
const MAX_HEAD_BYTES: usize = 8 * 1024;
const MAX_HEADERS: usize = 48;
/// Time after which a connection without requests is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// Longest time from the first byte of a request to the last.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(8);
/// Time after which a connection is closed if the peer accepts no byte of a response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(4);

/// A complete request, as read by the server.
#[derive(Debug)]
pub struct Request {
    /// Method, in capitals.
    pub method: String,
    /// Path with its query.
    pub path: String,
    /// Body, empty if there is none.
    pub body: Vec<u8>,
}

/// A response of the server.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Body.
    pub body: Vec<u8>,
    /// Value of `Retry-After`: seconds after which the client should retry.
    pub retry_after: Option<u32>,
    /// End of the response's validity: a response that only a leader may give is not sent after it.
    pub not_after: Option<Instant>,
    /// Media type of the body.
    pub content_type: &'static str,
}

impl Response {
    /// Returns a response with a JSON body.
    pub fn new(status: u16, body: Vec<u8>) -> Response {
        Response {
            status,
            body,
            retry_after: None,
            not_after: None,
            content_type: "application/json",
        }
    }

    /// Returns an error response with a message for the user.
    pub fn error(status: u16, text: &str) -> Response {
        Response::new(status, crate::wire::error_body(text))
    }

    /// Returns a response with status 503 and a `Retry-After` header in seconds.
    pub fn busy(text: &str, retry_after: u32) -> Response {
        let mut response = Response::error(503, text);
        response.retry_after = Some(retry_after);
        response
    }

    /// Returns the same response, which is not sent after `deadline`.
    pub fn until(mut self, deadline: Option<Instant>) -> Response {
        self.not_after = deadline;
        self
    }

    /// Returns the same response with another media type, unless it is an error.
    pub fn with_content_type(mut self, content_type: &'static str) -> Response {
        if self.status == 200 {
            self.content_type = content_type;
        }
        self
    }

    /// Returns whether the response's validity has ended.
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

/// Encodes a response for the wire; with `close`, its head announces that the connection is closed after it.
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

/// Returns the value of the first header of this name, without surrounding whitespace.
fn header<'a>(headers: &[httparse::Header<'a>], name: &str) -> Option<&'a str> {
    headers
        .iter()
        .find(|header| header.name.eq_ignore_ascii_case(name))
        .and_then(|header| std::str::from_utf8(header.value).ok())
        .map(str::trim)
}

#[cfg(test)]
pub(crate) mod tests;
