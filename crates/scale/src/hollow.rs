//! Hollow workers: workers of the stand-ins whose connections are multiplexed on a few threads.

use crate::connection::Connection;
use crate::error::ScaleError;
use burlusher::wire::{HeartbeatResponse, PATH_HEARTBEAT, Redirect};
use burlusher_standin::cloud::MachineLauncher;
use burlusher_standin::worker::Worker;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Registry, Token};
use rand::RngExt;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

/// Interval between checks of all machines for due heartbeats and timeouts.
const TICK: Duration = Duration::from_millis(30);
/// Timeout for the response to a heartbeat.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
/// Delay before a worker contacts another controller, unless a redirect named it.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Number of kinds of poll tokens. A token is `number * TOKEN_KINDS + kind`, where the number is that of a machine or,
/// for `COMMAND_TOKEN`, of a connection from a controller.
const TOKEN_KINDS: usize = 3;
/// Kind of the token of a machine's listener for direct commands.
const LISTENER_TOKEN: usize = 0;
/// Kind of the token of a machine's connection to a controller.
const HEARTBEAT_TOKEN: usize = 1;
/// Kind of the token of a connection from a controller.
const COMMAND_TOKEN: usize = 2;

/// Counters of the traffic over the workers' connections.
#[derive(Default)]
pub struct Traffic {
    /// Heartbeats sent.
    pub heartbeats: AtomicU64,
    /// Responses to heartbeats.
    pub responses: AtomicU64,
    /// Requests received from controllers, such as direct commands.
    pub commands: AtomicU64,
    /// Bytes sent by workers, for heartbeats and for direct commands.
    pub bytes_sent: AtomicU64,
    /// Bytes received by workers, for heartbeats and for direct commands.
    pub bytes_received: AtomicU64,
    /// Heartbeats that got no response.
    pub unanswered: AtomicU64,
    /// Heartbeats that were redirected to another controller (status 421).
    pub redirects: AtomicU64,
}

impl Traffic {
    fn add(counter: &AtomicU64, n: usize) {
        counter.fetch_add(n as u64, Ordering::Relaxed);
    }
}

/// A provisioned machine on the way to its thread.
struct ProvisionedMachine {
    worker: Arc<Worker>,
    listener: std::net::TcpListener,
    up_at: Instant,
}

/// Launcher that runs all machines on a few threads.
pub struct Fleet {
    threads: Vec<Sender<ProvisionedMachine>>,
    next_thread: AtomicUsize,
    /// Traffic over all connections.
    pub traffic: Arc<Traffic>,
}

impl Fleet {
    /// Starts this number of threads.
    pub fn new(threads: usize) -> Result<Fleet, ScaleError> {
        let traffic = Arc::new(Traffic::default());
        let mut senders = Vec::new();
        for n in 0..threads {
            let (sender, receiver) = channel();
            let poll = Poll::new().map_err(ScaleError::Poll)?;
            let traffic = traffic.clone();
            let spawned = std::thread::Builder::new()
                .name(format!("hollow-{n}"))
                .spawn(move || FleetThread::new(poll, receiver, traffic).run());
            spawned.map_err(ScaleError::Thread)?;
            senders.push(sender);
        }
        Ok(Fleet {
            threads: senders,
            next_thread: AtomicUsize::new(0),
            traffic,
        })
    }
}

impl MachineLauncher for Fleet {
    fn launch(&self, worker: Arc<Worker>, listener: std::net::TcpListener, boot: Duration) {
        let n = self.next_thread.fetch_add(1, Ordering::Relaxed);
        let up_at = Instant::now() + boot;
        let provisioned = ProvisionedMachine {
            worker,
            listener,
            up_at,
        };
        // If the thread has ended, the machine never comes up, which shows in the scenario's report.
        let _ = self.threads[n % self.threads.len()].send(provisioned);
    }
}

/// A machine, as held by its thread.
struct Machine {
    worker: Arc<Worker>,
    listener: TcpListener,
    /// Whether the listener is registered with the poll instance, so that direct commands are received.
    is_registered: bool,
    up_at: Instant,
    /// Number of the controller that heartbeats are sent to.
    controller: usize,
    connection: Option<Connection>,
    /// Time at which the outstanding heartbeat was sent, if one has no response yet.
    unanswered_since: Option<Instant>,
    last_heartbeat: Instant,
    /// Time before which no heartbeat is sent.
    resume_at: Instant,
}

/// State of one thread, with its machines.
struct FleetThread {
    poll: Poll,
    provisioned: Receiver<ProvisionedMachine>,
    traffic: Arc<Traffic>,
    machines: BTreeMap<usize, Machine>,
    next_machine: usize,
    /// Connections from controllers, with the number of the machine that each is to, by connection number.
    command_connections: BTreeMap<usize, (usize, Connection)>,
    next_command_connection: usize,
}

fn token(kind: usize, number: usize) -> Token {
    Token(number * TOKEN_KINDS + kind)
}

impl FleetThread {
    fn new(
        poll: Poll,
        provisioned: Receiver<ProvisionedMachine>,
        traffic: Arc<Traffic>,
    ) -> FleetThread {
        FleetThread {
            poll,
            provisioned,
            traffic,
            machines: BTreeMap::new(),
            next_machine: 0,
            command_connections: BTreeMap::new(),
            next_command_connection: 0,
        }
    }

    fn run(mut self) {
        let mut events = Events::with_capacity(1024);
        let mut last_check = Instant::now();
        loop {
            if let Err(e) = self.poll.poll(&mut events, Some(TICK))
                && e.kind() != io::ErrorKind::Interrupted
            {
                eprintln!("hollow workers: {e}");
                return;
            }
            for event in &events {
                let number = event.token().0 / TOKEN_KINDS;
                match event.token().0 % TOKEN_KINDS {
                    LISTENER_TOKEN => self.accept(number),
                    HEARTBEAT_TOKEN => self.receive_response(number),
                    _ => self.receive_commands(number),
                }
            }
            if last_check.elapsed() >= TICK {
                last_check = Instant::now();
                self.receive_machines();
                self.check_machines();
            }
        }
    }

    /// Adds the machines that have been provisioned.
    fn receive_machines(&mut self) {
        while let Ok(provisioned) = self.provisioned.try_recv() {
            if provisioned.listener.set_nonblocking(true).is_err() {
                continue;
            }
            let cluster_state = provisioned.worker.cluster_state();
            // A random offset spreads the heartbeats of all machines over the interval.
            let offset = cluster_state
                .heartbeat_interval
                .mul_f64(rand::rng().random_range(0.0..1.0));
            let controller = rand::rng().random_range(0..cluster_state.controller_addrs.len());
            let machine = Machine {
                worker: provisioned.worker,
                listener: TcpListener::from_std(provisioned.listener),
                is_registered: false,
                up_at: provisioned.up_at,
                controller,
                connection: None,
                unanswered_since: None,
                last_heartbeat: provisioned.up_at - offset,
                resume_at: provisioned.up_at,
            };
            self.machines.insert(self.next_machine, machine);
            self.next_machine += 1;
        }
    }

    /// Checks all machines: sends due heartbeats, handles timeouts, and removes machines that are gone.
    fn check_machines(&mut self) {
        let now = Instant::now();
        let registry = self.poll.registry();
        let mut gone = Vec::new();
        for (number, m) in &mut self.machines {
            if m.worker.is_gone() {
                gone.push(*number);
            } else if now >= m.up_at {
                m.register_listener(*number, registry);
                m.send_due_heartbeat(*number, now, registry, &self.traffic);
            }
        }
        for number in gone {
            self.machines.remove(&number);
            self.command_connections
                .retain(|_, (machine, _)| *machine != number);
        }
    }

    /// Accepts connections from controllers to a machine.
    fn accept(&mut self, number: usize) {
        let registry = self.poll.registry();
        let Some(m) = self.machines.get(&number) else {
            return;
        };
        while let Ok((mut stream, _)) = m.listener.accept() {
            let n = self.next_command_connection;
            self.next_command_connection += 1;
            let interest = Interest::READABLE | Interest::WRITABLE;
            if registry
                .register(&mut stream, token(COMMAND_TOKEN, n), interest)
                .is_ok()
            {
                self.command_connections
                    .insert(n, (number, Connection::new(stream)));
            }
        }
    }

    /// Handles an event on a machine's connection to a controller.
    fn receive_response(&mut self, number: usize) {
        if let Some(m) = self.machines.get_mut(&number) {
            m.handle_response(Instant::now(), &self.traffic);
        }
    }

    /// Handles an event on a connection from a controller; drops the connection if it has failed.
    fn receive_commands(&mut self, number: usize) {
        let Some((machine, connection)) = self.command_connections.get_mut(&number) else {
            return;
        };
        let worker = self.machines.get(machine).map(|m| m.worker.clone());
        let served = worker.map(|w| serve(&w, connection, &self.traffic));
        if !matches!(served, Some(Ok(()))) {
            self.command_connections.remove(&number);
        }
    }
}

/// Handles the requests that have been received completely.
fn serve(worker: &Worker, connection: &mut Connection, traffic: &Traffic) -> io::Result<()> {
    connection.flush()?;
    let filled = connection.fill();
    Traffic::add(&traffic.bytes_received, *filled.as_ref().unwrap_or(&0));
    while let Some(request) = connection.take_request()? {
        let Some(response) = worker.handle_request(&request) else {
            return Err(io::ErrorKind::ConnectionReset.into());
        };
        Traffic::add(&traffic.commands, 1);
        let bytes = connection.queue_response(&response);
        Traffic::add(&traffic.bytes_sent, bytes);
    }
    connection.flush()?;
    filled.map(|_| ())
}

impl Machine {
    /// Registers the listener, so that direct commands are received from now on.
    fn register_listener(&mut self, number: usize, registry: &Registry) {
        if self.is_registered {
            return;
        }
        let token = token(LISTENER_TOKEN, number);
        let registered = registry.register(&mut self.listener, token, Interest::READABLE);
        self.is_registered = registered.is_ok();
    }

    /// Sends the heartbeat if one is due; switches the controller if the response to the last one has timed out.
    fn send_due_heartbeat(
        &mut self,
        number: usize,
        now: Instant,
        registry: &Registry,
        traffic: &Traffic,
    ) {
        if let Some(sent) = self.unanswered_since {
            if now > sent + RESPONSE_TIMEOUT {
                Traffic::add(&traffic.unanswered, 1);
                self.switch_controller(None, now);
            }
            return;
        }
        if now < self.resume_at {
            return;
        }
        let Some(heartbeat) = self.worker.due_heartbeat(self.last_heartbeat) else {
            return;
        };
        self.last_heartbeat = now;
        if self.connection.is_none() {
            let addr = self.worker.cluster_state().controller_addrs[self.controller].1;
            self.connection = connect(addr.into(), number, registry).ok();
        }
        let Some(connection) = &mut self.connection else {
            return self.switch_controller(None, now);
        };
        let bytes = connection.queue_request("POST", PATH_HEARTBEAT, &heartbeat);
        Traffic::add(&traffic.heartbeats, 1);
        Traffic::add(&traffic.bytes_sent, bytes);
        self.unanswered_since = Some(now);
        if connection.flush().is_err() {
            Traffic::add(&traffic.unanswered, 1);
            self.switch_controller(None, now);
        }
    }

    /// Reads from the connection to the controller, and handles the response if it is complete.
    fn handle_response(&mut self, now: Instant, traffic: &Traffic) {
        let Some(connection) = &mut self.connection else {
            return;
        };
        let filled = connection.flush().and_then(|()| connection.fill());
        Traffic::add(&traffic.bytes_received, *filled.as_ref().unwrap_or(&0));
        let response = match connection.take_response() {
            Ok(response) => response,
            Err(_) => return self.switch_controller(None, now),
        };
        let Some(response) = response else {
            // A connection that is closed between two heartbeats is reopened for the next one.
            if filled.is_err() {
                self.connection = None;
                if self.unanswered_since.is_some() {
                    Traffic::add(&traffic.unanswered, 1);
                    self.switch_controller(None, now);
                }
            }
            return;
        };
        let Some(sent) = self.unanswered_since.take() else {
            self.connection = None;
            return;
        };
        Traffic::add(&traffic.responses, 1);
        if response.close || filled.is_err() {
            self.connection = None;
        }
        match response.status {
            200 => {
                if let Ok(heartbeat_response) =
                    serde_json::from_slice::<HeartbeatResponse>(&response.body)
                {
                    self.worker.handle_response(heartbeat_response, sent);
                }
            }
            421 => {
                Traffic::add(&traffic.redirects, 1);
                let redirect = serde_json::from_slice::<Redirect>(&response.body).ok();
                self.switch_controller(redirect.and_then(|r| r.leader), now);
            }
            _ => self.switch_controller(None, now),
        }
    }

    /// Switches to another controller, and makes the next heartbeat due.
    fn switch_controller(&mut self, redirect: Option<&str>, now: Instant) {
        let cluster_state = self.worker.cluster_state();
        let (controller, wait) = cluster_state.next_controller(self.controller, redirect);
        self.last_heartbeat = now - cluster_state.heartbeat_interval;
        self.connection = None;
        self.unanswered_since = None;
        self.controller = controller;
        self.resume_at = if wait { now + RETRY_DELAY } else { now };
    }
}

fn connect(addr: SocketAddr, number: usize, registry: &Registry) -> io::Result<Connection> {
    let mut stream = TcpStream::connect(addr)?;
    let interest = Interest::READABLE | Interest::WRITABLE;
    registry.register(&mut stream, token(HEARTBEAT_TOKEN, number), interest)?;
    Ok(Connection::new(stream))
}

#[cfg(test)]
mod tests;
