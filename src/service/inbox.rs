//! Queues commands for the owner thread, and returns its responses to the clients.

use super::admission_gate::{Admission, AdmissionGate};
use super::command_queue::{CommandQueue, Lane, QueueLengths};
use super::renewal_priority::LeaseRenewalPriority;
use super::threads::lock;
use crate::core::{Command, Ticket};
use crate::http::{Responder, Response};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{SyncSender, sync_channel};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Maximum number of requests that wait for the owner thread in one lane; further requests get status 503.
/// Heartbeats stay far below it: the admission gate admits a third as many.
const MAX_QUEUED_REQUESTS: usize = 1024;
/// Time after which a request without a response gets status 503. Clients wait 2 s for the response to a
/// poll, so a response later than this is useless.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(3500);
/// Maximum number of heartbeats processed concurrently: as many as two steps of the owner thread take, so
/// that the next step finds work. Further heartbeats wait unparsed.
///
/// Workers send a heartbeat whenever something changes, so a thousand workers that run short tasks send
/// more than can be processed. The limit delays their next heartbeats, which then report more changes
/// each, and urgent commands do not queue behind a thousand heartbeats.
const CONCURRENT_HEARTBEATS: usize = 2 * Lane::Heartbeat.commands_per_step();
/// Value in seconds of `Retry-After` for a request that is rejected because the queue is full.
const QUEUE_FULL_RETRY_S: u32 = 2;

/// Recipient of a response.
pub enum ReplyTo {
    /// The client of a request to the public interface.
    Client(Responder),
    /// The client of a request for metrics, with the content type of the response.
    MetricsClient(Responder, &'static str),
    /// The worker that sent a heartbeat, which occupies a slot of the admission gate.
    Worker(Responder),
    /// A thread that waits for the response.
    Thread(SyncSender<Response>),
}

struct PendingReply {
    reply_to: ReplyTo,
    since: Instant,
}

struct UnparsedHeartbeat {
    body: Vec<u8>,
    responder: Responder,
}

/// Error for a request that does not fit into the queue, with the response for its client.
struct QueueFull {
    reply_to: ReplyTo,
    response: Response,
}

struct Shared {
    queue: Mutex<CommandQueue>,
    /// Notified when a command is queued while the owner thread is idle.
    not_empty: Condvar,
    next_ticket: AtomicU64,
    /// Requests to which the owner thread has not responded yet.
    pending: Mutex<BTreeMap<Ticket, PendingReply>>,
    heartbeats: AdmissionGate<UnparsedHeartbeat>,
    renewal: LeaseRenewalPriority,
    response_timeout: Duration,
}

/// Handle to the queue of the owner thread; all clones share the queue.
#[derive(Clone)]
pub struct Inbox {
    shared: Arc<Shared>,
}

impl Inbox {
    /// Returns a handle to a new queue. Requests get status 503 after `response_timeout`.
    pub fn new(response_timeout: Duration) -> Inbox {
        Inbox {
            shared: Arc::new(Shared {
                queue: Mutex::default(),
                not_empty: Condvar::new(),
                next_ticket: AtomicU64::new(1),
                pending: Mutex::default(),
                heartbeats: AdmissionGate::new(CONCURRENT_HEARTBEATS),
                renewal: LeaseRenewalPriority::new(),
                response_timeout,
            }),
        }
    }

    /// Returns the priority of the lease renewal, by which other work waits while a renewal is late.
    pub fn renewal(&self) -> &LeaseRenewalPriority {
        &self.shared.renewal
    }

    /// Queues the outcome of a call of this process. No limit applies: an outcome must not be lost, and there
    /// are at most as many as calls.
    pub fn put(&self, command: Command) {
        let wake = lock(&self.shared.queue).push(command);
        self.wake_owner(wake);
    }

    fn wake_owner(&self, wake: bool) {
        if wake {
            self.shared.not_empty.notify_one();
        }
    }

    /// Queues a request to the owner thread, unless its lane is full.
    fn enqueue(
        &self,
        make: impl FnOnce(Ticket) -> Command,
        reply_to: ReplyTo,
    ) -> Result<Ticket, QueueFull> {
        let ticket = self.shared.next_ticket.fetch_add(1, Ordering::Relaxed);
        let command = make(ticket);
        let wake = {
            let mut queue = lock(&self.shared.queue);
            if queue.len(Lane::of(&command)) >= MAX_QUEUED_REQUESTS {
                let response = Response::busy("overloaded", QUEUE_FULL_RETRY_S);
                return Err(QueueFull { reply_to, response });
            }
            let since = Instant::now();
            lock(&self.shared.pending).insert(ticket, PendingReply { reply_to, since });
            queue.push(command)
        };
        self.wake_owner(wake);
        Ok(ticket)
    }

    /// Queues a request to the owner thread; the response goes to `reply_to`.
    pub fn request(&self, make: impl FnOnce(Ticket) -> Command, reply_to: ReplyTo) {
        if let Err(full) = self.enqueue(make, reply_to) {
            self.complete(full.reply_to, full.response);
        }
    }

    /// Queues a request to the owner thread and waits for the response.
    pub fn request_and_wait(&self, make: impl FnOnce(Ticket) -> Command) -> Response {
        let (sender, receiver) = sync_channel(1);
        let ticket = match self.enqueue(make, ReplyTo::Thread(sender)) {
            Ok(ticket) => ticket,
            Err(full) => return full.response,
        };
        let timeout = self.shared.response_timeout;
        receiver.recv_timeout(timeout).unwrap_or_else(|_| {
            lock(&self.shared.pending).remove(&ticket);
            no_response()
        })
    }

    /// Queues a worker's heartbeat as soon as the admission gate has a free slot.
    pub fn receive_heartbeat(&self, body: Vec<u8>, responder: Responder) {
        let bytes = body.len();
        let heartbeat = UnparsedHeartbeat { body, responder };
        let gate = &self.shared.heartbeats;
        match gate.admit(heartbeat, bytes, Instant::now()) {
            Admission::Admitted(heartbeat) => {
                if !self.enqueue_heartbeat(heartbeat) {
                    self.release_slot();
                }
            }
            Admission::Queued => {}
            Admission::Full(heartbeat) => heartbeat.responder.send(&overloaded()),
        }
    }

    /// Parses and queues a heartbeat that has been admitted. Returns false if it has been rejected, so that
    /// its slot is to be released.
    fn enqueue_heartbeat(&self, heartbeat: UnparsedHeartbeat) -> bool {
        let UnparsedHeartbeat { body, responder } = heartbeat;
        let heartbeat = match serde_json::from_slice(&body) {
            Ok(heartbeat) => heartbeat,
            Err(error) => {
                responder.send(&Response::error(400, &error.to_string()));
                return false;
            }
        };
        let command = |ticket| Command::Heartbeat { ticket, heartbeat };
        match self.enqueue(command, ReplyTo::Worker(responder)) {
            Ok(_) => true,
            Err(full) => {
                if let ReplyTo::Worker(responder) = full.reply_to {
                    responder.send(&full.response);
                }
                false
            }
        }
    }

    /// Releases a heartbeat's slot and queues waiting heartbeats until one of them is accepted.
    fn release_slot(&self) {
        while let Some(next) = self.shared.heartbeats.release() {
            if self.enqueue_heartbeat(next) {
                return;
            }
        }
    }

    /// Sends a response of the owner thread to the client, unless the request has expired.
    pub fn respond(&self, ticket: Ticket, response: Response) {
        let pending = lock(&self.shared.pending).remove(&ticket);
        if let Some(pending) = pending {
            self.complete(pending.reply_to, response);
        }
    }

    fn complete(&self, reply_to: ReplyTo, response: Response) {
        match reply_to {
            ReplyTo::Client(responder) => responder.send(&response),
            ReplyTo::MetricsClient(responder, content_type) => {
                responder.send(&response.with_content_type(content_type));
            }
            ReplyTo::Worker(responder) => {
                responder.send(&response);
                self.release_slot();
            }
            ReplyTo::Thread(sender) => {
                let _ = sender.try_send(response);
            }
        }
    }

    /// Responds with status 503 to requests that have waited for too long.
    pub fn expire_requests(&self, now: Instant) {
        let timeout = self.shared.response_timeout;
        for heartbeat in self.shared.heartbeats.take_expired(now, timeout) {
            heartbeat.responder.send(&overloaded());
        }
        for pending in self.take_expired(now) {
            self.complete(pending.reply_to, no_response());
        }
    }

    /// Removes and returns the expired requests. Tickets increase over time, so the first ones have waited
    /// longest.
    fn take_expired(&self, now: Instant) -> Vec<PendingReply> {
        let mut pending = lock(&self.shared.pending);
        let mut expired = Vec::new();
        while let Some(first) = pending.first_entry()
            && now.saturating_duration_since(first.get().since) >= self.shared.response_timeout
        {
            expired.push(first.remove());
        }
        expired
    }

    /// Returns the number of commands that wait for the owner thread in each lane.
    pub fn queue_lengths(&self) -> QueueLengths {
        lock(&self.shared.queue).lengths()
    }

    /// Returns the commands of the owner thread's next step; none if no command is queued within `wait`.
    pub fn next_commands(&self, wait: Duration) -> Vec<Command> {
        let mut queue = lock(&self.shared.queue);
        if queue.is_empty() {
            queue.owner_idle = true;
            queue = match self.shared.not_empty.wait_timeout(queue, wait) {
                Ok((guard, _)) => guard,
                Err(poisoned) => poisoned.into_inner().0,
            };
            queue.owner_idle = false;
        }
        queue.take_step()
    }
}

fn no_response() -> Response {
    Response::busy("no answer in time", 1)
}

fn overloaded() -> Response {
    Response::busy("overloaded", 1)
}
