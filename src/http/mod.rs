//! HTTP/1.1, both sides, parsed by `httparse`: a blocking client, and a server whose connections
//! share one thread.
//!
//! Everything a stranger can make grow has a bound here: heads, bodies, connections, and the
//! time that any of them may take.

mod client;
mod connection;
mod parser;
mod server;

pub use client::{CallError, Client};
pub use connection::Responder;
pub use server::{Class, Handler, Limits, Server, serve};

use std::time::{Duration, Instant};

/// Largest body that a request may carry.
pub const MAX_BODY: usize = 64 * 1024;
const MAX_HEAD: usize = 8 * 1024;
const MAX_HEADERS: usize = 48;
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
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
    /// Seconds after which the asker should come back.
    pub retry_after: Option<u32>,
    /// An answer that only a leader may give is worthless after this moment and is not sent.
    pub not_after: Option<Instant>,
    pub content_type: &'static str,
}

impl Response {
    pub fn new(status: u16, body: Vec<u8>) -> Response {
        Response {
            status,
            body,
            retry_after: None,
            not_after: None,
            content_type: "application/json",
        }
    }

    pub fn error(status: u16, text: &str) -> Response {
        Response::new(status, crate::wire::error_body(text))
    }

    /// "Not now": the asker is told when to come back.
    pub fn busy(text: &str, after: u32) -> Response {
        let mut a = Response::error(503, text);
        a.retry_after = Some(after);
        a
    }

    pub fn until(mut self, deadline: Option<Instant>) -> Response {
        self.not_after = deadline;
        self
    }

    pub fn of_type(mut self, content_type: &'static str) -> Response {
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

/// An answer as it goes over the wire.
fn encode_answer(answer: &Response, close: bool) -> Vec<u8> {
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
    out
}

fn header<'a>(headers: &[httparse::Header<'a>], name: &str) -> Option<&'a str> {
    headers
        .iter()
        .find(|h| h.name.eq_ignore_ascii_case(name))
        .and_then(|h| std::str::from_utf8(h.value).ok())
        .map(str::trim)
}

#[cfg(test)]
pub(crate) mod tests;
