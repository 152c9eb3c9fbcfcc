//! Incremental parser for the requests on a connection.

use super::{MAX_BODY, MAX_HEAD_BYTES, MAX_HEADERS, Request, Response, header};

/// Head of a request. Lengths are in bytes.
struct Head {
    method: String,
    path: String,
    head_length: usize,
    body_length: usize,
    close: bool,
    expects_continue: bool,
}

/// A complete request.
pub struct ParsedRequest {
    /// Request.
    pub request: Request,
    /// Whether the connection is to be closed after the response.
    pub close: bool,
}

/// Parser of one connection; buffers the bytes of requests that are not complete yet.
#[derive(Default)]
pub struct RequestParser {
    buffer: Vec<u8>,
    /// Head of the request at the start of the buffer, once the head is complete.
    head: Option<Head>,
}

impl RequestParser {
    /// Adds received bytes.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the number of buffered bytes.
    pub fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Returns whether no bytes are buffered.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Takes the next request if it is complete; later bytes stay in the buffer.
    ///
    /// # Errors
    /// Returns the response to a request that cannot be served.
    pub fn next(&mut self) -> Result<Option<ParsedRequest>, Response> {
        if self.head.is_none() && !self.buffer.is_empty() {
            self.head = parse_head(&self.buffer)?;
        }
        let Some(head) = self.head.take() else {
            return Ok(None);
        };
        let end = head.head_length + head.body_length;
        if self.buffer.len() < end {
            self.head = Some(head);
            return Ok(None);
        }
        let body = self.buffer[head.head_length..end].to_vec();
        self.buffer.drain(..end);
        if self.buffer.is_empty() {
            // Frees the memory, because thousands of connections are idle most of the time.
            self.buffer = Vec::new();
        }
        Ok(Some(ParsedRequest {
            request: Request {
                method: head.method,
                path: head.path,
                body,
            },
            close: head.close,
        }))
    }

    /// Returns whether the client waits for "100 Continue" before it sends the body; true at most once per
    /// request.
    pub fn take_expects_continue(&mut self) -> bool {
        let head = self.head.as_mut();
        head.is_some_and(|head| std::mem::take(&mut head.expects_continue))
    }
}

/// Parses the head of a request; returns `None` if it is not complete yet.
fn parse_head(buffer: &[u8]) -> Result<Option<Head>, Response> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let head_length = match head.parse(buffer) {
        Err(httparse::Error::TooManyHeaders) => {
            return Err(Response::error(431, "too many headers"));
        }
        Err(e) => return Err(Response::error(400, &format!("bad request: {e}"))),
        Ok(httparse::Status::Partial) if buffer.len() > MAX_HEAD_BYTES => {
            return Err(Response::error(431, "head too large"));
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Ok(httparse::Status::Complete(length)) => length,
    };
    if header(head.headers, "transfer-encoding").is_some() {
        return Err(Response::error(501, "send a Content-Length"));
    }
    let body_length = body_length(header(head.headers, "content-length"))?;
    let wants_close = header(head.headers, "connection")
        .is_some_and(|value| value.to_ascii_lowercase().contains("close"));
    Ok(Some(Head {
        method: head.method.unwrap_or_default().to_string(),
        path: head.path.unwrap_or_default().to_string(),
        head_length,
        body_length,
        close: wants_close || head.version == Some(0),
        expects_continue: header(head.headers, "expect").is_some(),
    }))
}

fn body_length(content_length: Option<&str>) -> Result<usize, Response> {
    let length = match content_length {
        None => 0,
        Some(text) if !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit()) => {
            text.parse().unwrap_or(usize::MAX)
        }
        Some(_) => return Err(Response::error(400, "bad Content-Length")),
    };
    if length > MAX_BODY {
        return Err(Response::error(413, "body over 64 KiB"));
    }
    Ok(length)
}
