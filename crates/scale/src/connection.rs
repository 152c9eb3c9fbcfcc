//! Non-blocking HTTP/1.1 connection with buffers for reading and writing, from which complete messages are parsed.

use burlusher::http::{self, Request};
use mio::net::TcpStream;
use std::io::{self, Read, Write};

/// Maximum number of headers of a message.
const MAX_HEADERS: usize = 32;
/// Maximum length of a message; none of the protocol is longer.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// A non-blocking connection with its buffers.
pub struct Connection {
    /// The socket.
    pub stream: TcpStream,
    write_buffer: Vec<u8>,
    read_buffer: Vec<u8>,
}

/// A complete response.
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Body of the response.
    pub body: Vec<u8>,
    /// Whether the server closes the connection after the response.
    pub close: bool,
}

impl Connection {
    /// Creates a connection with empty buffers.
    pub fn new(stream: TcpStream) -> Connection {
        Connection {
            stream,
            write_buffer: Vec::new(),
            read_buffer: Vec::new(),
        }
    }

    /// Adds a request to the write buffer; returns its length in bytes.
    pub fn queue_request(&mut self, method: &str, path: &str, body: &[u8]) -> usize {
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: controller\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\n\r\n",
            body.len()
        );
        self.write_buffer.extend_from_slice(head.as_bytes());
        self.write_buffer.extend_from_slice(body);
        head.len() + body.len()
    }

    /// Adds a response to the write buffer; returns its length in bytes.
    pub fn queue_response(&mut self, response: &http::Response) -> usize {
        let head = format!(
            "HTTP/1.1 {} Answer\r\nContent-Type: {}\r\nContent-Length: {}\r\n\r\n",
            response.status,
            response.content_type,
            response.body.len()
        );
        self.write_buffer.extend_from_slice(head.as_bytes());
        self.write_buffer.extend_from_slice(&response.body);
        head.len() + response.body.len()
    }

    /// Writes as much of the write buffer as the socket accepts without blocking.
    pub fn flush(&mut self) -> io::Result<()> {
        while !self.write_buffer.is_empty() {
            match self.stream.write(&self.write_buffer) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(n) => drop(self.write_buffer.drain(..n)),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                // The connection is not established yet; an event follows when it is.
                Err(e) if e.kind() == io::ErrorKind::NotConnected => return Ok(()),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// Reads all available bytes into the read buffer; returns their number, or an error if the peer has closed the
    /// connection.
    pub fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 * 1024];
        let mut total = 0;
        loop {
            match self.stream.read(&mut chunk) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(n) => {
                    total += n;
                    self.read_buffer.extend_from_slice(&chunk[..n]);
                    if self.read_buffer.len() > MAX_MESSAGE_BYTES {
                        return Err(io::ErrorKind::InvalidData.into());
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(total),
                Err(e) if e.kind() == io::ErrorKind::NotConnected => return Ok(total),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// Removes a complete response from the read buffer, if there is one.
    pub fn take_response(&mut self) -> io::Result<Option<Response>> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        let Some(head_len) = head_length(head.parse(&self.read_buffer))? else {
            return Ok(None);
        };
        let status = head.code.unwrap_or_default();
        let length = content_length(head.headers)?;
        let close = header(head.headers, "connection").is_some_and(|v| v == "close");
        let body = self.take_body(head_len, length);
        Ok(body.map(|body| Response {
            status,
            body,
            close,
        }))
    }

    /// Removes a complete request from the read buffer, if there is one.
    pub fn take_request(&mut self) -> io::Result<Option<Request>> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Request::new(&mut headers);
        let Some(head_len) = head_length(head.parse(&self.read_buffer))? else {
            return Ok(None);
        };
        let method = head.method.unwrap_or_default().to_string();
        let path = head.path.unwrap_or_default().to_string();
        let length = content_length(head.headers)?;
        let body = self.take_body(head_len, length);
        Ok(body.map(|body| Request { method, path, body }))
    }

    /// Removes a message with a head and a body of these lengths from the read buffer, and returns the body; `None` if
    /// the message is incomplete.
    fn take_body(&mut self, head_len: usize, length: usize) -> Option<Vec<u8>> {
        if self.read_buffer.len() < head_len + length {
            return None;
        }
        let body = self.read_buffer[head_len..head_len + length].to_vec();
        self.read_buffer.drain(..head_len + length);
        Some(body)
    }
}

/// Returns the length of a message's head, or `None` if the head is incomplete.
fn head_length(
    parsed: Result<httparse::Status<usize>, httparse::Error>,
) -> io::Result<Option<usize>> {
    match parsed {
        Ok(httparse::Status::Complete(at)) => Ok(Some(at)),
        Ok(httparse::Status::Partial) => Ok(None),
        Err(e) => Err(io::Error::new(io::ErrorKind::InvalidData, e)),
    }
}

fn header<'a>(headers: &'a [httparse::Header], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|h| h.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(found.value).ok()
}

fn content_length(headers: &[httparse::Header]) -> io::Result<usize> {
    let Some(text) = header(headers, "content-length") else {
        return Ok(0);
    };
    let length = text.trim().parse().ok().filter(|n| *n <= MAX_MESSAGE_BYTES);
    length.ok_or_else(|| io::ErrorKind::InvalidData.into())
}

#[cfg(test)]
mod tests;
