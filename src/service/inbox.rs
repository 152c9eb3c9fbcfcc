//! Takes commands into the owner's queue, and its responses back to the clients.

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

/// Requests that may wait for the owner in a lane; beyond that callers get 503. Heartbeats do not
/// come near it: the gate admits a third as many.
const MAX_QUEUED_REQUESTS: usize = 1024;
/// A user waits 2 s for a poll; a response later than this is of no use.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(3500);
/// Heartbeats that are worked on at a time: what two steps of the owner take, so that the next one
/// finds work. The others wait, unparsed. Workers send one whenever something changes, so a
/// thousand of them that run short tasks send more than can be worked through: then each has its
/// next heartbeat processed a little later and with more in it, and what is urgent does not stand
/// behind a thousand of these.
const CONCURRENT_HEARTBEATS: usize = 2 * Lane::Heartbeat.commands_per_step();
/// Seconds after which a caller whose request found the queue full should retry.
const QUEUE_FULL_RETRY_S: u32 = 2;

/// Where a response goes.
pub enum ReplyTo {
    /// A request of the public interface.
    Client(Responder),
    /// A request for metrics, whose response is of this content type.
    MetricsClient(Responder, &'static str),
    /// A worker's heartbeat, which has a place at the gate.
    Worker(Responder),
    /// A thread that waits for it.
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

/// A request for which the owner's queue has no room, and the response to give at once.
struct QueueFull {
    reply_to: ReplyTo,
    response: Response,
}

struct Shared {
    queue: Mutex<CommandQueue>,
    /// Notified when a command comes while the owner is idle.
    not_empty: Condvar,
    next_ticket: AtomicU64,
    /// Requests to which the owner has yet to respond.
    pending: Mutex<BTreeMap<Ticket, PendingReply>>,
    heartbeats: AdmissionGate<UnparsedHeartbeat>,
    renewal: LeaseRenewalPriority,
    response_timeout: Duration,
}

/// A handle to the owner's queue; all clones share it.
#[derive(Clone)]
pub struct Inbox {
    shared: Arc<Shared>,
}

impl Inbox {
    /// Callers get 503 when they have waited for `response_timeout`.
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

    /// Whether other work is to wait for a renewal of the lease.
    pub fn renewal(&self) -> &LeaseRenewalPriority {
        &self.shared.renewal
    }

    /// Queues the outcome of one of our own calls. It must not be lost, and there are never more of
    /// them than calls, so there is no limit.
    pub fn put(&self, command: Command) {
        let wake = lock(&self.shared.queue).push(command);
        self.wake_owner(wake);
    }

    fn wake_owner(&self, wake: bool) {
        if wake {
            self.shared.not_empty.notify_one();
        }
    }

    /// Queues a request to the owner.
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

    /// Queues a request to the owner; its response goes to `reply_to`.
    pub fn request(&self, make: impl FnOnce(Ticket) -> Command, reply_to: ReplyTo) {
        if let Err(full) = self.enqueue(make, reply_to) {
            self.complete(full.reply_to, full.response);
        }
    }

    /// Queues a request to the owner and waits for its response.
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

    /// Passes a worker's heartbeat on as soon as there is a place for it.
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

    /// Parses a heartbeat that has a place at the gate, and queues it. Returns false if it was
    /// answered at once, so that it needs its place no longer.
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

    /// Gives a heartbeat's place to those that wait, until one of them keeps it.
    fn release_slot(&self) {
        while let Some(next) = self.shared.heartbeats.release() {
            if self.enqueue_heartbeat(next) {
                return;
            }
        }
    }

    /// Sends a response of the owner to the client, unless the request has expired.
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

    /// Answers 503 to those who have waited for too long.
    pub fn expire_requests(&self, now: Instant) {
        let timeout = self.shared.response_timeout;
        for heartbeat in self.shared.heartbeats.take_expired(now, timeout) {
            heartbeat.responder.send(&overloaded());
        }
        for pending in self.take_expired(now) {
            self.complete(pending.reply_to, no_response());
        }
    }

    /// Tickets rise with time, so the first ones have waited longest.
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

    /// How many commands wait for the owner in each lane.
    pub fn queue_lengths(&self) -> QueueLengths {
        lock(&self.shared.queue).lengths()
    }

    /// The commands of the owner's next step; none when nothing came for as long as `wait`.
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
