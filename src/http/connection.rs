//! One connection of the server: its state, and the right to respond to its request.
//!
//! The server's thread reads; the holder of the `Responder` writes. Neither ever blocks. Events
//! are edge-triggered, so an idle connection costs no system calls, and a heartbeat costs one read
//! and one write. `Connection::wake` brings the server's thread back to a connection: it
//! asks for writability, which holds at once, so that no further kind of descriptor is needed.

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
    /// Waits for a request, or for the rest of one.
    Reading,
    /// A request is with its handler.
    Handling,
    /// A response has not been taken by the client as a whole.
    Writing,
    Closed,
}

struct State {
    phase: Phase,
    parser: RequestParser,
    /// There may be bytes, or the client's end, that have not been read.
    readable: bool,
    outgoing: Vec<u8>,
    written: usize,
    close_after_response: bool,
    watches_writable: bool,
    /// When the connection is closed unless something happens; has no effect while `Handling`.
    deadline: Instant,
}

/// A connection, shared by the server and the responder of the request that is handled.
pub struct Connection {
    token: Token,
    stream: TcpStream,
    registry: Arc<Registry>,
    state: Mutex<State>,
}

/// What the server's thread has to do next about a connection.
pub enum Progress {
    /// Nothing until the next event; so many bytes of an incomplete request are held.
    Wait(usize),
    /// A whole request has come.
    Request(Request, Responder),
    /// The request cannot be served: this is the response.
    Rejected(Response, Responder),
    /// The connection is over.
    Closed,
}

impl Connection {
    /// Registers the stream for reading.
    ///
    /// # Errors
    /// The operating system refuses to watch it.
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

    /// Follows an event: finishes writing, then reads what has come up to a whole request.
    /// `ended`: the client will send nothing more.
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
            // Nothing is read meanwhile.
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

    /// One read. All that has come has been read if it did not fill the buffer, unless the client's
    /// end comes after it.
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

    /// Writes what the client takes. Afterwards the phase is `Writing` if there is more, else
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

    /// Begins to write a response; the server's thread is woken where something remains for it.
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
            tracing::debug!(error = %e, "connection not watched");
        }
    }

    /// Whether it is closed, or silent beyond its deadline. It may be dropped then.
    pub fn is_finished(&self, now: Instant) -> bool {
        let state = self.lock();
        match state.phase {
            Phase::Closed => true,
            Phase::Handling => false,
            Phase::Reading | Phase::Writing => now >= state.deadline,
        }
    }

    /// Sends a response that there is no room, where no request has been read.
    pub fn reject(&self, response: &Response) {
        if self.lock().phase != Phase::Reading {
            return;
        }
        let _ = (&self.stream).write(&encode_response(response, true));
    }
}

/// The right to respond to one request. Dropped without a response, it closes the connection.
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

    /// Sends the response without waiting for the client to take it. One that only a leader may give
    /// and that comes too late is not sent: no response is always safe.
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
