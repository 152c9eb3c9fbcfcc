//! One connection of the server: its state, and the right to answer its request.
//!
//! The server's thread reads; whoever holds the `Responder` writes. Neither ever blocks. Events
//! are edge-triggered, so an idle connection costs no system calls, and a heartbeat costs one read
//! and one write. `Connection::wake` brings the server's thread back to a connection: it
//! asks for writability, which holds at once, so that no further kind of descriptor is needed.

use super::parser::Parser;
use super::{IDLE, Request, Response, SLOWEST_REQUEST, WRITE_TIMEOUT, encode_answer};
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
    /// An answer has not been taken by the peer as a whole.
    Writing,
    Closed,
}

struct State {
    phase: Phase,
    parser: Parser,
    /// There may be bytes, or the peer's end, that have not been read.
    readable: bool,
    outgoing: Vec<u8>,
    written: usize,
    close_after_answer: bool,
    watches_writable: bool,
    /// When the connection is closed unless something happens; not heeded while `Handling`.
    deadline: Instant,
}

pub struct Connection {
    token: Token,
    stream: TcpStream,
    registry: Arc<Registry>,
    state: Mutex<State>,
}

/// What the server's thread does next about a connection.
pub enum Progress {
    /// Nothing until the next event; so many bytes of an incomplete request are held.
    Wait(usize),
    Request(Request, Responder),
    /// The request cannot be served: this is its answer.
    Refused(Response, Responder),
    Closed,
}

impl Connection {
    /// Registers the stream for reading.
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
                parser: Parser::default(),
                readable: false,
                outgoing: Vec::new(),
                written: 0,
                close_after_answer: false,
                watches_writable: false,
                deadline: now + IDLE,
            }),
        }))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Follows an event: finishes writing, then reads what has come up to a whole request.
    /// `ended` says that the peer has sent all it will.
    pub fn advance(
        self: &Arc<Self>,
        readable: bool,
        ended: bool,
        scratch: &mut [u8],
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
                Err(answer) => {
                    state.phase = Phase::Handling;
                    return Progress::Refused(answer, Responder::new(self, true));
                }
                Ok(Some(parsed)) => {
                    state.phase = Phase::Handling;
                    let responder = Responder::new(self, parsed.close);
                    return Progress::Request(parsed.request, responder);
                }
                Ok(None) => {}
            }
            if state.parser.take_expectation()
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
            if let Err(e) = self.read(&mut state, ended, scratch, now) {
                tracing::trace!("a connection ends: {e}");
                state.phase = Phase::Closed;
                return Progress::Closed;
            }
        }
    }

    /// One read. All that has come has been read if it did not fill the buffer, unless the peer's
    /// end stands behind it.
    fn read(
        &self,
        state: &mut State,
        ended: bool,
        scratch: &mut [u8],
        now: Instant,
    ) -> io::Result<()> {
        match (&self.stream).read(scratch) {
            Ok(0) => Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(length) => {
                if state.parser.is_empty() {
                    state.deadline = now + SLOWEST_REQUEST;
                }
                state.parser.extend(&scratch[..length]);
                state.readable = ended || length == scratch.len();
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

    /// Writes what the peer takes. Afterwards the phase is `Writing` if there is more, else
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
        if state.close_after_answer {
            state.phase = Phase::Closed;
            return;
        }
        state.phase = Phase::Reading;
        let patience = if state.parser.is_empty() {
            IDLE
        } else {
            SLOWEST_REQUEST
        };
        state.deadline = now + patience;
    }

    /// Begins to write an answer; the server's thread is woken where something is left for it.
    fn send(&self, bytes: Vec<u8>, close: bool) {
        let now = Instant::now();
        let mut state = self.lock();
        state.phase = Phase::Writing;
        state.outgoing = bytes;
        state.written = 0;
        state.close_after_answer = close;
        state.deadline = now + WRITE_TIMEOUT;
        self.flush(&mut state, now);
        let next_has_come = state.readable || !state.parser.is_empty();
        if state.phase != Phase::Reading || next_has_come {
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
            tracing::debug!("a connection is not watched: {e}");
        }
    }

    /// Whether it is closed, or silent beyond its deadline. It may be dropped then.
    pub fn is_over(&self, now: Instant) -> bool {
        let state = self.lock();
        match state.phase {
            Phase::Closed => true,
            Phase::Handling => false,
            Phase::Reading | Phase::Writing => now >= state.deadline,
        }
    }

    /// Answers that there is no room, where no request has been read.
    pub fn turn_away(&self, answer: &Response) {
        if self.lock().phase != Phase::Reading {
            return;
        }
        let _ = (&self.stream).write(&encode_answer(answer, true));
    }
}

/// The right to answer one request. Dropped without an answer, it closes the connection.
pub struct Responder {
    connection: Arc<Connection>,
    close: bool,
    answered: bool,
}

impl Responder {
    fn new(connection: &Arc<Connection>, close: bool) -> Responder {
        Responder {
            connection: connection.clone(),
            close,
            answered: false,
        }
    }

    /// Sends the answer without waiting for the peer to take it. One that only a leader may give
    /// and that comes too late is not given: silence is always safe.
    pub fn answer(mut self, answer: &Response) {
        if answer.expired() {
            return;
        }
        self.answered = true;
        let bytes = encode_answer(answer, self.close);
        self.connection.send(bytes, self.close);
    }

    /// Answers, and closes the connection.
    pub fn refuse(mut self, answer: &Response) {
        self.close = true;
        self.answer(answer);
    }
}

impl Drop for Responder {
    fn drop(&mut self) {
        if !self.answered {
            let mut state = self.connection.lock();
            state.phase = Phase::Closed;
            self.connection.wake(&mut state);
        }
    }
}
