//! State of one connection of the server, and the responder to its current request.
//!
//! The server thread reads; the holder of the `Responder` writes. Neither blocks. Events are
//! edge-triggered, so an idle connection causes no system calls, and a heartbeat takes one read and one
//! write. `Connection::wake` makes the server thread handle a connection again: it registers for
//! writability, of which the poll reports an event immediately, so no separate wake-up descriptor is
//! needed.

use super::parser::RequestParser;
use super::{IDLE_TIMEOUT, REQUEST_TIMEOUT, Request, Response, WRITE_TIMEOUT, encode_response};
use mio::net::TcpStream;
use mio::unix::SourceFd;
use mio::{Interest, Registry, Token};
use std::io::{self, Read, Write};
use std::os::fd::AsRawFd;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// The server waits for a request or for the rest of one.
    Reading,
    /// The handler has the request and has not responded yet.
    Handling,
    /// Part of the response has not been written yet.
    Writing,
    Closed,
}

struct State {
    phase: Phase,
    parser: RequestParser,
    /// Whether the stream may contain unread bytes or an unread end of the stream.
    readable: bool,
    outgoing: Vec<u8>,
    written: usize,
    close_after_response: bool,
    watches_writable: bool,
    /// Time after which the connection counts as timed out; ignored in phase `Handling`.
    deadline: Instant,
}

/// A connection, shared by the server and the responder to its current request.
pub struct Connection {
    token: Token,
    stream: TcpStream,
    registry: Arc<Registry>,
    state: Mutex<State>,
}

/// Next action of the server thread for a connection.
pub enum Progress {
    /// Wait for the next event; the value is the number of buffered bytes of an incomplete request.
    Wait(usize),
    /// Handle a complete request.
    Request(Request, Responder),
    /// Send this response, because the request cannot be served.
    Rejected(Response, Responder),
    /// Remove the connection, which is closed.
    Closed,
}

impl Connection {
    /// Registers the stream for readability events.
    ///
    /// # Errors
    /// Fails if the stream cannot be registered.
    pub fn register(
        stream: TcpStream,
        token: Token,
        registry: &Arc<Registry>,
        now: Instant,
    ) -> io::Result<Arc<Connection>> {
        let _ = stream.set_nodelay(true);
        registry.register(
            &mut SourceFd(&stream.as_raw_fd()),
            token,
            Interest::READABLE,
        )?;
        Ok(Arc::new(Connection {
            token,
            stream,
            registry: registry.clone(),
            state: Mutex::new(State {
                phase: Phase::Reading,
                parser: RequestParser::default(),
                readable: false,
                outgoing: Vec::new(),
                written: 0,
                close_after_response: false,
                watches_writable: false,
                deadline: now + IDLE_TIMEOUT,
            }),
        }))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Handles an event: continues writing, then reads until a request is complete. `ended` tells that the
    /// client has closed its side of the connection.
    pub fn advance(
        self: &Arc<Self>,
        readable: bool,
        ended: bool,
        read_buffer: &mut [u8],
        now: Instant,
    ) -> Progress {
        let mut state = self.lock();
        state.readable |= readable;
        if state.phase == Phase::Writing {
            self.flush(&mut state, now);
        }
        match state.phase {
            Phase::Closed => return Progress::Closed,
            // No further request is read before the response is sent.
            Phase::Writing | Phase::Handling => return Progress::Wait(0),
            Phase::Reading => {}
        }
        if state.watches_writable {
            state.watches_writable = false;
            self.watch(Interest::READABLE);
        }
        loop {
            match state.parser.next() {
                Err(response) => {
                    state.phase = Phase::Handling;
                    return Progress::Rejected(response, Responder::new(self, true));
                }
                Ok(Some(parsed)) => {
                    state.phase = Phase::Handling;
                    let responder = Responder::new(self, parsed.close);
                    return Progress::Request(parsed.request, responder);
                }
                Ok(None) => {}
            }
            if state.parser.take_expects_continue()
                && (&self.stream)
                    .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
                    .is_err()
            {
                state.phase = Phase::Closed;
                return Progress::Closed;
            }
            if !state.readable {
                return Progress::Wait(state.parser.len());
            }
            if let Err(e) = self.read(&mut state, ended, read_buffer, now) {
                tracing::trace!(error = %e, "connection ended");
                state.phase = Phase::Closed;
                return Progress::Closed;
            }
        }
    }

    /// Reads once. A read that does not fill the buffer has emptied the stream, except that the end of the
    /// stream may still follow.
    fn read(
        &self,
        state: &mut State,
        ended: bool,
        read_buffer: &mut [u8],
        now: Instant,
    ) -> io::Result<()> {
        match (&self.stream).read(read_buffer) {
            Ok(0) => Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(length) => {
                if state.parser.is_empty() {
                    state.deadline = now + REQUEST_TIMEOUT;
                }
                state.parser.extend(&read_buffer[..length]);
                state.readable = ended || length == read_buffer.len();
                Ok(())
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                state.readable = false;
                Ok(())
            }
            Err(e) if e.kind() == io::ErrorKind::Interrupted => Ok(()),
            Err(e) => Err(e),
        }
    }

    /// Writes as much as the socket accepts. Afterwards the phase is `Writing` if bytes remain, else
    /// `Reading` or `Closed`.
    fn flush(&self, state: &mut State, now: Instant) {
        while state.written < state.outgoing.len() {
            match (&self.stream).write(&state.outgoing[state.written..]) {
                Ok(length) if length > 0 => {
                    state.written += length;
                    state.deadline = now + WRITE_TIMEOUT;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                _ => {
                    state.phase = Phase::Closed;
                    return;
                }
            }
        }
        state.outgoing = Vec::new();
        if state.close_after_response {
            state.phase = Phase::Closed;
            return;
        }
        state.phase = Phase::Reading;
        let timeout = if state.parser.is_empty() {
            IDLE_TIMEOUT
        } else {
            REQUEST_TIMEOUT
        };
        state.deadline = now + timeout;
    }

    /// Starts to write a response; wakes the server thread if it has to write the rest, read a next request
    /// or remove the connection.
    fn send(&self, bytes: Vec<u8>, close: bool) {
        let now = Instant::now();
        let mut state = self.lock();
        state.phase = Phase::Writing;
        state.outgoing = bytes;
        state.written = 0;
        state.close_after_response = close;
        state.deadline = now + WRITE_TIMEOUT;
        self.flush(&mut state, now);
        let more_to_read = state.readable || !state.parser.is_empty();
        if state.phase != Phase::Reading || more_to_read {
            self.wake(&mut state);
        }
    }

    fn wake(&self, state: &mut State) {
        state.watches_writable = true;
        self.watch(Interest::READABLE | Interest::WRITABLE);
    }

    fn watch(&self, interest: Interest) {
        let source = self.stream.as_raw_fd();
        if let Err(e) = (self.registry).reregister(&mut SourceFd(&source), self.token, interest) {
            tracing::debug!(error = %e, "connection not registered for events");
        }
    }

    /// Returns whether the connection is closed or has timed out, so that it can be removed.
    pub fn is_finished(&self, now: Instant) -> bool {
        let state = self.lock();
        match state.phase {
            Phase::Closed => true,
            Phase::Handling => false,
            Phase::Reading | Phase::Writing => now >= state.deadline,
        }
    }

    /// Sends a response that rejects the connection, unless a request is being handled.
    pub fn reject(&self, response: &Response) {
        if self.lock().phase != Phase::Reading {
            return;
        }
        let _ = (&self.stream).write(&encode_response(response, true));
    }
}

/// Responder to one request. Dropping it without a response closes the connection.
pub struct Responder {
    connection: Arc<Connection>,
    close: bool,
    responded: bool,
}

impl Responder {
    fn new(connection: &Arc<Connection>, close: bool) -> Responder {
        Responder {
            connection: connection.clone(),
            close,
            responded: false,
        }
    }

    /// Sends the response without waiting until the client has read it. A response whose validity has ended
    /// is not sent; the connection is closed instead, which is always safe.
    pub fn send(mut self, response: &Response) {
        if response.expired() {
            return;
        }
        self.responded = true;
        let bytes = encode_response(response, self.close);
        self.connection.send(bytes, self.close);
    }

    /// Sends the response and closes the connection.
    pub fn send_and_close(mut self, response: &Response) {
        self.close = true;
        self.send(response);
    }
}

impl Drop for Responder {
    fn drop(&mut self) {
        if !self.responded {
            let mut state = self.connection.lock();
            state.phase = Phase::Closed;
            self.connection.wake(&mut state);
        }
    }
}
