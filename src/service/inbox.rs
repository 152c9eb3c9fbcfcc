//! The way into the owner's queue, and the way of its answers back to those who asked.

use super::gate::{AdmissionGate, Entry};
use super::lanes::{Lanes, SHARES};
use super::lock;
use super::renewal::LeaseRenewalPriority;
use crate::core::{Command, Ticket};
use crate::http::{Responder, Response};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{SyncSender, sync_channel};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Commands that may wait for the owner in a lane; beyond that users are told to come back. Reports
/// do not come near it: the gate lets in a third as many.
const QUEUE: usize = 1024;
/// A user waits 2 s for a poll; an answer later than this is of no use.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(3500);
/// Reports that are worked on at a time: what two steps of the owner take, so that the next one
/// finds work. The others wait as they came, unread by anybody. Workers
/// report whenever something changes, so a thousand of them that run short tasks send more than
/// can be worked through: then each has its next report answered a little later and with more in
/// it, and what matters more does not stand behind a thousand of these.
const REPORTS_AT_A_TIME: usize = SHARES[2] * 2;

/// Where an answer goes.
pub enum Reply {
    /// A request of the public interface.
    Public(Responder),
    /// Figures for monitoring, which are of this content type.
    Typed(Responder, &'static str),
    /// A worker's report, which has a place at the gate.
    Heartbeat(Responder),
    /// A thread that waits for it.
    Thread(SyncSender<Response>),
}

struct Waiting {
    reply: Reply,
    since: Instant,
}

/// A report that has not been read.
struct RawReport {
    body: Vec<u8>,
    responder: Responder,
}

struct Shared {
    lanes: Mutex<Lanes>,
    filled: Condvar,
    tickets: AtomicU64,
    /// Who waits for an answer of the owner.
    waiting: Mutex<BTreeMap<Ticket, Waiting>>,
    heartbeats: AdmissionGate<RawReport>,
    renewal: LeaseRenewalPriority,
    answer_timeout: Duration,
}

#[derive(Clone)]
pub struct Inbox {
    shared: Arc<Shared>,
}

impl Inbox {
    /// Those who ask are told to come back when they have waited for so long.
    pub fn new(answer_timeout: Duration) -> Inbox {
        Inbox {
            shared: Arc::new(Shared {
                lanes: Mutex::default(),
                filled: Condvar::new(),
                tickets: AtomicU64::new(1),
                waiting: Mutex::default(),
                heartbeats: AdmissionGate::new(REPORTS_AT_A_TIME),
                renewal: LeaseRenewalPriority::new(),
                answer_timeout,
            }),
        }
    }

    pub fn renewal(&self) -> &LeaseRenewalPriority {
        &self.shared.renewal
    }

    /// For outcomes of our own calls, which must not be lost; there are never more than calls.
    pub fn put(&self, command: Command) {
        let wake = lock(&self.shared.lanes).put(command);
        self.wake_owner(wake);
    }

    fn wake_owner(&self, wake: bool) {
        if wake {
            self.shared.filled.notify_one();
        }
    }

    /// Asks the owner; its answer goes to `reply`. If there is no room, the reply comes back with
    /// the answer to give at once.
    fn enqueue(
        &self,
        make: impl FnOnce(Ticket) -> Command,
        reply: Reply,
    ) -> Result<Ticket, (Reply, Response)> {
        let ticket = self.shared.tickets.fetch_add(1, Ordering::Relaxed);
        let command = make(ticket);
        let wake = {
            let mut lanes = lock(&self.shared.lanes);
            if lanes.waiting()[Lanes::of(&command)] >= QUEUE {
                return Err((reply, Response::busy("overloaded", 2)));
            }
            let since = Instant::now();
            lock(&self.shared.waiting).insert(ticket, Waiting { reply, since });
            lanes.put(command)
        };
        self.wake_owner(wake);
        Ok(ticket)
    }

    /// Asks the owner; its answer goes to `reply`.
    pub fn ask(&self, make: impl FnOnce(Ticket) -> Command, reply: Reply) {
        if let Err((reply, answer)) = self.enqueue(make, reply) {
            self.complete(reply, answer);
        }
    }

    /// Asks the owner and waits for its answer.
    pub fn ask_and_wait(&self, make: impl FnOnce(Ticket) -> Command) -> Response {
        let (sender, receiver) = sync_channel(1);
        let ticket = match self.enqueue(make, Reply::Thread(sender)) {
            Ok(ticket) => ticket,
            Err((_, answer)) => return answer,
        };
        let patience = self.shared.answer_timeout;
        receiver.recv_timeout(patience).unwrap_or_else(|_| {
            lock(&self.shared.waiting).remove(&ticket);
            no_answer()
        })
    }

    /// Passes a worker's report on as soon as there is a place for it.
    pub fn heartbeat(&self, body: Vec<u8>, responder: Responder) {
        let bytes = body.len();
        let heartbeat = RawReport { body, responder };
        match self
            .shared
            .heartbeats
            .enter(heartbeat, bytes, Instant::now())
        {
            Entry::Inside(heartbeat) => {
                if !self.forward_request(heartbeat) {
                    self.leave_gate();
                }
            }
            Entry::Waits => {}
            Entry::Full(heartbeat) => heartbeat.responder.answer(&overloaded()),
        }
    }

    /// Reads a report that has a place at the gate. False: it was answered at once.
    fn forward_request(&self, heartbeat: RawReport) -> bool {
        let RawReport { body, responder } = heartbeat;
        let heartbeat = match serde_json::from_slice(&body) {
            Ok(heartbeat) => heartbeat,
            Err(e) => {
                responder.answer(&Response::error(400, &e.to_string()));
                return false;
            }
        };
        let command = |ticket| Command::Heartbeat { ticket, heartbeat };
        match self.enqueue(command, Reply::Heartbeat(responder)) {
            Ok(_) => true,
            Err((reply, answer)) => {
                if let Reply::Heartbeat(responder) = reply {
                    responder.answer(&answer);
                }
                false
            }
        }
    }

    /// Gives a report's place to those that wait, until one of them needs it for longer.
    fn leave_gate(&self) {
        while let Some(next) = self.shared.heartbeats.leave() {
            if self.forward_request(next) {
                return;
            }
        }
    }

    /// An answer of the owner.
    pub fn answer(&self, ticket: Ticket, answer: Response) {
        let waiting = lock(&self.shared.waiting).remove(&ticket);
        if let Some(waiting) = waiting {
            self.complete(waiting.reply, answer);
        }
    }

    fn complete(&self, reply: Reply, answer: Response) {
        match reply {
            Reply::Public(responder) => responder.answer(&answer),
            Reply::Typed(responder, content_type) => {
                responder.answer(&answer.of_type(content_type));
            }
            Reply::Heartbeat(responder) => {
                responder.answer(&answer);
                self.leave_gate();
            }
            Reply::Thread(sender) => {
                let _ = sender.try_send(answer);
            }
        }
    }

    /// Answers those who have waited for too long.
    pub fn give_up_late(&self, now: Instant) {
        let longest = self.shared.answer_timeout;
        for heartbeat in self.shared.heartbeats.take_late(now, longest) {
            heartbeat.responder.answer(&overloaded());
        }
        for waiting in self.take_unanswered(now) {
            self.complete(waiting.reply, no_answer());
        }
    }

    /// Tickets rise with time.
    fn take_unanswered(&self, now: Instant) -> Vec<Waiting> {
        let mut waiting = lock(&self.shared.waiting);
        let mut late = Vec::new();
        while let Some(first) = waiting.first_entry()
            && now.saturating_duration_since(first.get().since) >= self.shared.answer_timeout
        {
            late.push(first.remove());
        }
        late
    }

    /// What waits in each lane.
    pub fn waiting(&self) -> [usize; 3] {
        lock(&self.shared.lanes).waiting()
    }

    /// What the owner works through next; empty when nothing came for so long.
    pub fn next(&self, wait: Duration) -> Vec<Command> {
        let mut lanes = lock(&self.shared.lanes);
        if lanes.is_empty() {
            lanes.idle = true;
            lanes = match self.shared.filled.wait_timeout(lanes, wait) {
                Ok((guard, _)) => guard,
                Err(poisoned) => poisoned.into_inner().0,
            };
            lanes.idle = false;
        }
        lanes.take()
    }
}

fn no_answer() -> Response {
    Response::busy("no answer in time", 1)
}

fn overloaded() -> Response {
    Response::busy("overloaded", 1)
}
