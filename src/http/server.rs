//! HTTP server that handles all connections on one thread.
//!
//! The thread accepts connections, reads the available bytes, and passes complete requests to a
//! `Handler`, which must not block either. A connection that is idle, slow, or waiting for its response
//! takes memory, but neither a thread nor system calls.
//!
//! The number of connections is limited per class, so that any number of workers leaves room for users
//! and health checks, and clients that never complete a request leave room for both.

use super::connection::{Connection, Progress, Responder};
use super::{MAX_BODY, Request, Response};
use mio::event::Event;
use mio::net::TcpListener;
use mio::{Events, Interest, Poll, Registry, Token};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

const LISTENER: Token = Token(0);
/// Maximum number of events returned by one poll.
const EVENTS_PER_POLL: usize = 256;
/// Maximum number of connections accepted before the open ones are served again.
const ACCEPTS_PER_POLL: usize = 64;
/// Maximum number of requests handled before health checks are served again.
const REQUESTS_PER_POLL: usize = 32;
/// Maximum number of bytes read by one system call.
const READ_BYTES: usize = 16 * 1024;
/// Interval between calls of `Handler::tick`.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which closed and timed-out connections are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Pause after a failed poll or accept, for example for lack of sockets, instead of a busy loop.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Interval at which the handler is asked again while it defers requests.
const DEFER_PAUSE: Duration = Duration::from_millis(25);
/// Maximum number of bytes buffered for incomplete requests on all connections together.
const MAX_BUFFERED_BYTES: usize = 128 * MAX_BODY;
/// Minimum number of connections that `Limits::with_reserve` keeps from workers, unless it is more than
/// half of all.
const MIN_RESERVE: usize = 64;
/// Value in seconds of `Retry-After` for a client that is rejected because a limit is reached.
const FULL_RETRY_S: u32 = 2;
const REQUEST_STACK_BYTES: usize = 128 * 1024;

/// Class of a connection, determined by its first request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectionClass {
    /// Heartbeats.
    Worker,
    /// Health checks, which are handled before all other requests.
    HealthCheck,
    /// Users and operators.
    Other,
}

/// Handler of requests; its methods must not block.
pub trait Handler {
    /// Returns the class of a request; the first request determines the class of its connection.
    fn class(&self, request: &Request) -> ConnectionClass;

    /// Returns whether requests other than health checks have to wait.
    fn defers_requests(&self) -> bool {
        false
    }

    /// Handles one request. The response may be sent later, from any thread.
    fn handle(&mut self, request: Request, responder: Responder);

    /// Performs periodic work; called several times a second.
    fn tick(&mut self, _now: Instant) {}
}

/// Maximum numbers of open connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// All connections.
    pub connections: usize,
    /// Connections of workers.
    pub workers: usize,
    /// Connections without a complete request so far, whose class is unknown. At the limit, a new
    /// connection replaces the oldest one.
    pub unclassified: usize,
}

impl Limits {
    /// Returns limits that reserve an eighth of the connections for clients other than workers; unclassified
    /// connections may take up to half of that reserve.
    pub fn with_reserve(connections: usize) -> Limits {
        let reserve = (connections / 8).max(MIN_RESERVE).min(connections / 2);
        Limits {
            connections,
            workers: connections - reserve,
            unclassified: (reserve / 2).max(1),
        }
    }

    /// Returns limits under which every class may use all connections.
    pub fn without_reserve(connections: usize) -> Limits {
        Limits {
            connections,
            workers: connections,
            unclassified: connections,
        }
    }
}

struct Entry {
    connection: Arc<Connection>,
    /// `None` until the first request is complete.
    class: Option<ConnectionClass>,
    /// Number of buffered bytes of an incomplete request.
    buffered: usize,
}

/// All connections, and the totals to which limits apply.
#[derive(Default)]
struct ConnectionTable {
    entries: HashMap<Token, Entry>,
    unclassified: BTreeSet<Token>,
    workers: usize,
    buffered: usize,
}

impl ConnectionTable {
    fn insert(&mut self, token: Token, connection: Arc<Connection>) {
        self.unclassified.insert(token);
        let entry = Entry {
            connection,
            class: None,
            buffered: 0,
        };
        self.entries.insert(token, entry);
    }

    fn remove(&mut self, token: Token) -> Option<Entry> {
        let entry = self.entries.remove(&token)?;
        self.unclassified.remove(&token);
        self.workers -= usize::from(entry.class == Some(ConnectionClass::Worker));
        self.buffered -= entry.buffered;
        Some(entry)
    }

    /// Sets the class of a connection from its first request. Returns false if the limit for the class is
    /// reached.
    fn classify(&mut self, token: Token, class: ConnectionClass, limits: &Limits) -> bool {
        let Some(entry) = self.entries.get_mut(&token) else {
            return false;
        };
        if entry.class.is_some() {
            return true;
        }
        if class == ConnectionClass::Worker {
            if self.workers >= limits.workers {
                return false;
            }
            self.workers += 1;
        }
        entry.class = Some(class);
        self.unclassified.remove(&token);
        true
    }

    /// Records how many bytes are buffered for a connection. Returns false if that exceeds the limit for all
    /// connections.
    fn set_buffered(&mut self, token: Token, bytes: usize) -> bool {
        let Some(entry) = self.entries.get_mut(&token) else {
            return true;
        };
        self.buffered = self.buffered - entry.buffered + bytes;
        entry.buffered = bytes;
        bytes == 0 || self.buffered <= MAX_BUFFERED_BYTES
    }

    fn remove_finished(&mut self, now: Instant) {
        let finished: Vec<Token> = (self.entries.iter())
            .filter(|(_, entry)| entry.connection.is_finished(now))
            .map(|(token, _)| *token)
            .collect();
        for token in finished {
            self.remove(token);
        }
    }
}

/// HTTP server; `run` serves on the calling thread.
pub struct Server {
    poll: Poll,
    registry: Arc<Registry>,
    listener: TcpListener,
    limits: Limits,
    table: ConnectionTable,
    last_token: usize,
    /// Time from which connections are to be accepted, which is later after a failure; `None` if none are
    /// pending.
    accept_after: Option<Instant>,
    /// Requests that wait to be handled.
    backlog: VecDeque<(Request, Responder)>,
    read_buffer: Vec<u8>,
}

impl Server {
    /// Returns a server for a bound listener.
    ///
    /// # Errors
    /// Fails if the listener cannot be registered for events.
    pub fn new(listener: std::net::TcpListener, limits: Limits) -> io::Result<Server> {
        listener.set_nonblocking(true)?;
        let mut listener = TcpListener::from_std(listener);
        let poll = Poll::new()?;
        poll.registry()
            .register(&mut listener, LISTENER, Interest::READABLE)?;
        let registry = Arc::new(poll.registry().try_clone()?);
        Ok(Server {
            poll,
            registry,
            listener,
            limits,
            table: ConnectionTable::default(),
            last_token: LISTENER.0,
            accept_after: None,
            backlog: VecDeque::new(),
            read_buffer: vec![0; READ_BYTES],
        })
    }

    /// Serves until the process ends.
    pub fn run(mut self, mut handler: impl Handler) -> ! {
        let mut events = Events::with_capacity(EVENTS_PER_POLL);
        let mut last_tick = Instant::now();
        let mut last_sweep = last_tick;
        loop {
            let timeout = self.poll_timeout(&handler);
            if let Err(e) = self.poll.poll(&mut events, Some(timeout))
                && e.kind() != io::ErrorKind::Interrupted
            {
                tracing::warn!(error = %e, "connections not watched");
                std::thread::sleep(RETRY_PAUSE);
            }
            let now = Instant::now();
            for event in &events {
                self.handle_event(event, &mut handler, now);
            }
            self.accept(now);
            self.process_backlog(&mut handler);
            if now >= last_tick + TICK_INTERVAL {
                last_tick = now;
                handler.tick(now);
            }
            if now >= last_sweep + SWEEP_INTERVAL {
                last_sweep = now;
                self.table.remove_finished(now);
            }
        }
    }

    /// Returns the longest time to wait for the next event.
    fn poll_timeout(&self, handler: &impl Handler) -> Duration {
        let accept = match self.accept_after {
            Some(at) => at.saturating_duration_since(Instant::now()),
            None => TICK_INTERVAL,
        };
        let backlog = match self.backlog.is_empty() {
            true => TICK_INTERVAL,
            false if handler.defers_requests() => DEFER_PAUSE,
            false => Duration::ZERO,
        };
        accept.min(backlog)
    }

    fn handle_event(&mut self, event: &Event, handler: &mut impl Handler, now: Instant) {
        let token = event.token();
        if token == LISTENER {
            self.accept_after = Some(now);
            return;
        }
        let Some(entry) = self.table.entries.get(&token) else {
            return;
        };
        let ended = event.is_read_closed() || event.is_error();
        let readable = event.is_readable() || ended;
        let connection = entry.connection.clone();
        let progress = connection.advance(readable, ended, &mut self.read_buffer, now);
        let buffered = match progress {
            Progress::Wait(buffered) => buffered,
            _ => 0,
        };
        let fits = self.table.set_buffered(token, buffered);
        match progress {
            Progress::Wait(_) if fits => {}
            Progress::Wait(_) => {
                connection.reject(&Response::busy("overloaded", FULL_RETRY_S));
                self.table.remove(token);
            }
            Progress::Closed => {
                self.table.remove(token);
            }
            Progress::Rejected(response, responder) => responder.send(&response),
            Progress::Request(request, responder) => {
                self.dispatch(token, request, responder, handler);
            }
        }
    }

    fn dispatch(
        &mut self,
        token: Token,
        request: Request,
        responder: Responder,
        handler: &mut impl Handler,
    ) {
        let class = handler.class(&request);
        if !self.table.classify(token, class, &self.limits) {
            responder.send_and_close(&too_many_connections());
        } else if class == ConnectionClass::HealthCheck {
            handler.handle(request, responder);
        } else {
            self.backlog.push_back((request, responder));
        }
    }

    fn process_backlog(&mut self, handler: &mut impl Handler) {
        for _ in 0..REQUESTS_PER_POLL {
            if self.backlog.is_empty() || handler.defers_requests() {
                return;
            }
            if let Some((request, responder)) = self.backlog.pop_front() {
                handler.handle(request, responder);
            }
        }
    }

    fn accept(&mut self, now: Instant) {
        if self.accept_after.is_none_or(|at| now < at) {
            return;
        }
        for _ in 0..ACCEPTS_PER_POLL {
            match self.listener.accept() {
                Ok((stream, _)) => self.admit(stream, now),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.accept_after = None;
                    return;
                }
                Err(e) => {
                    tracing::debug!(error = %e, "connection not accepted");
                    self.accept_after = Some(now + RETRY_PAUSE);
                    return;
                }
            }
        }
    }

    fn admit(&mut self, stream: mio::net::TcpStream, now: Instant) {
        self.last_token += 1;
        let token = Token(self.last_token);
        let connection = match Connection::register(stream, token, &self.registry, now) {
            Ok(connection) => connection,
            Err(e) => {
                tracing::debug!(error = %e, "connection not registered for events");
                return;
            }
        };
        if self.table.entries.len() >= self.limits.connections {
            connection.reject(&too_many_connections());
            return;
        }
        if self.table.unclassified.len() >= self.limits.unclassified
            && let Some(oldest) = self.table.unclassified.first().copied()
            && let Some(entry) = self.table.remove(oldest)
        {
            entry.connection.reject(&too_many_connections());
        }
        self.table.insert(token, connection);
    }
}

fn too_many_connections() -> Response {
    Response::busy("too many connections", FULL_RETRY_S)
}

/// Function that handles a request and may block; returns `None` to close the connection without a
/// response.
type BlockingHandler = dyn Fn(Request) -> Option<Response> + Send + Sync;

/// Serves up to `max_connections` connections with a handler that may block, on a separate thread for each
/// request.
pub fn serve(
    listener: std::net::TcpListener,
    max_connections: usize,
    handle: Arc<BlockingHandler>,
) {
    match Server::new(listener, Limits::without_reserve(max_connections)) {
        Ok(server) => server.run(ThreadPerRequest {
            handle,
            spawn_failure_logged: false,
        }),
        Err(e) => tracing::error!(error = %e, "connections cannot be served"),
    }
}

struct ThreadPerRequest {
    handle: Arc<BlockingHandler>,
    spawn_failure_logged: bool,
}

impl Handler for ThreadPerRequest {
    fn class(&self, _: &Request) -> ConnectionClass {
        ConnectionClass::Other
    }

    fn handle(&mut self, request: Request, responder: Responder) {
        let handle = self.handle.clone();
        // Shared, so that the responder is still available if the thread cannot be started.
        let shared_responder = Arc::new(Mutex::new(Some(responder)));
        let thread_responder = shared_responder.clone();
        let started = std::thread::Builder::new()
            .name("request".into())
            .stack_size(REQUEST_STACK_BYTES)
            .spawn(move || {
                let response = handle(request);
                let responder = take(&thread_responder);
                if let (Some(response), Some(responder)) = (response, responder) {
                    responder.send(&response);
                }
            });
        if let Err(e) = started {
            if !std::mem::replace(&mut self.spawn_failure_logged, true) {
                tracing::warn!(error = %e, "no thread for a request");
            }
            if let Some(responder) = take(&shared_responder) {
                responder.send(&Response::busy("overloaded", 1));
            }
        }
    }
}

fn take(responder: &Mutex<Option<Responder>>) -> Option<Responder> {
    responder
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .take()
}
