//! What a controller that serves workers for the leader says to it, and is told: frames of a fixed
//! layout, read with `zerocopy`, like those of `peer` and on the same port. One is on its way at a
//! time between two controllers; what comes up meanwhile goes together in the next one.
//!
//! A frame is `peer`'s header and a body. In a body, a fixed part is followed by lists, whose
//! lengths it states; each text in them has its length before it. Versions that do not know these
//! kinds drop the connection, and are left alone.

use crate::job::MachineId;
use crate::wire::{ExitCause, Heartbeat, TaskCommand, TaskState, TaskStatus};
use std::time::Duration;
use zerocopy::byteorder::little_endian::{U16, U32, U64};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

pub const KIND_HEARTBEAT_BATCH: u8 = 6;
pub const KIND_HEARTBEAT_BATCH_RESPONSE: u8 = 7;

/// A body is filled up to this; the rest goes into the next frame.
pub const TARGET_BODY_BYTES: usize = 56 * 1024;
/// Bounds of the other lists in a frame. Together with the reports, or with the answers to them, they stay
/// under what a frame may have; what does not fit follows in the next frames.
pub const MAX_ANSWERED_BYTES: usize = 300 * 1024;
pub const MAX_NAMES_BYTES: usize = 100 * 1024;
/// No notice, and no time to come back after.
const NONE: u32 = u32::MAX;

/// From a controller that serves workers.
#[derive(Clone, Debug, Default)]
pub struct HeartbeatBatch {
    pub from: String,
    /// Tells this process from an earlier one of the same name.
    pub incarnation: u64,
    /// Rises with each frame of a process.
    pub number: u64,
    /// The newest answer that it has taken in: what that took back is taken back.
    pub acknowledged: u64,
    pub capabilities: u32,
    /// Workers that it serves.
    pub load: u32,
    /// Workers that it has yet to show the token to.
    pub pending_probes: u32,
    /// The term in which it last had a grant.
    pub term: u64,
    /// Machines that it serves and will show the token to; told when a term begins.
    pub served: Vec<MachineId>,
    /// Machines that gave no answer when they were shown the token.
    pub unanswered_probes: Vec<MachineId>,
    /// Machines whose reports it answered itself.
    pub answered: Vec<AnsweredHeartbeat>,
    /// Reports for the leader to take in.
    pub heartbeats: Vec<RelayedHeartbeat>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct AnsweredHeartbeat {
    pub machine: MachineId,
    pub incarnation: u64,
    pub sequence: u64,
    /// How long ago the report came.
    pub age: Duration,
}

#[derive(Clone, Debug)]
pub struct RelayedHeartbeat {
    /// Names the report in the answer; 0: the answer to a direct command, which wants none.
    pub id: u64,
    pub heartbeat: Box<Heartbeat>,
}

/// The leader's answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HeartbeatBatchResponse {
    /// Of the frame that it answers.
    pub number: u64,
    pub term: u64,
    /// How long the leader's word holds, from when it worked on the frame; zero: no grant.
    pub grant: Duration,
    /// The leader does not take part at all: this controller leads its workers to it.
    pub refused: bool,
    /// Reports of these machines are not to be answered from memory any more.
    pub revoked: Vec<MachineId>,
    pub responses: Vec<RelayedResponse>,
    /// Workers to show the token to, and their addresses.
    pub probes: Vec<(MachineId, String)>,
    /// So many workers are to be sent to that controller.
    pub reassignments: Vec<(String, u32)>,
    /// What the leader knows of the others: name, abilities, load, and how long ago it heard them.
    pub members: Vec<MemberStatus>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct MemberStatus {
    pub name: String,
    pub capabilities: u32,
    pub load: u32,
    pub age: Duration,
}

/// The answer to one report.
#[derive(Clone, Debug, PartialEq)]
pub struct RelayedResponse {
    pub id: u64,
    pub outcome: RelayedOutcome,
}

#[derive(Clone, Debug, PartialEq)]
pub enum RelayedOutcome {
    Commands {
        fencing_token: u64,
        commands: Vec<TaskCommand>,
        /// Until it is recalled, a report that says the same may be answered with this token and
        /// no orders.
        steady: bool,
    },
    Refused {
        status: u16,
        retry_after: Option<u32>,
    },
}

#[derive(FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct HeartbeatBatchHeader {
    incarnation: U64,
    number: U64,
    answered: U64,
    term: U64,
    capabilities: U32,
    load: U32,
    to_show: U32,
    mine: U32,
    failed: U32,
    heard: U32,
    heartbeats: U32,
}

#[derive(FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct AnsweredHeartbeatHeader {
    incarnation: U64,
    sequence: U64,
    age_ms: U32,
}

#[derive(FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct HeartbeatHeader {
    name: U64,
    incarnation: U64,
    sequence: U64,
    token: U64,
    notice_ms: U32,
    rows: U32,
    spot: u8,
}

#[derive(FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct TaskStatusHeader {
    attempt: U64,
    state: u8,
    why: u8,
    saved: u8,
}

#[derive(FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct HeartbeatBatchResponseHeader {
    number: U64,
    term: U64,
    grant_ms: U32,
    refused: u8,
    recalled: U32,
    answers: U32,
    asks: U32,
    moves: U32,
    members: U32,
}

#[derive(FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct RelayedResponseHeader {
    name: U64,
    token: U64,
    /// 200 and orders, or why not.
    status: U16,
    calm: u8,
    retry_after: U32,
    orders: U32,
}

#[derive(FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct CommandHeader {
    verb: u8,
    attempt: U64,
    grace_ms: U32,
}

#[derive(FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct MemberStatusHeader {
    capabilities: U32,
    load: U32,
    age_ms: U32,
}

fn ms(d: Duration) -> U32 {
    U32::new(u32::try_from(d.as_millis()).unwrap_or(NONE - 1))
}

fn span(ms: U32) -> Duration {
    Duration::from_millis(u64::from(ms.get()))
}

pub(crate) fn count(n: usize) -> U32 {
    U32::new(n as u32)
}

#[derive(Default)]
pub(crate) struct Out(pub(crate) Vec<u8>);

impl Out {
    pub(crate) fn put(&mut self, fixed: &(impl IntoBytes + Immutable)) {
        self.0.extend_from_slice(fixed.as_bytes());
    }

    /// Names are far shorter than the length allows; a longer text is cut, and is then unknown.
    pub(crate) fn text(&mut self, text: &str) {
        let bytes = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
        self.put(&U16::new(bytes.len() as u16));
        self.0.extend_from_slice(bytes);
    }

    /// For what may be longer than a name.
    pub(crate) fn long_text(&mut self, text: &str) {
        self.put(&count(text.len()));
        self.0.extend_from_slice(text.as_bytes());
    }
}

pub(crate) struct In<'a>(pub(crate) &'a [u8]);

impl<'a> In<'a> {
    pub(crate) fn get<T: FromBytes + KnownLayout + Immutable + Unaligned>(
        &mut self,
    ) -> Option<&'a T> {
        let (fixed, rest) = T::ref_from_prefix(self.0).ok()?;
        self.0 = rest;
        Some(fixed)
    }

    fn take(&mut self, n: usize) -> Option<&'a str> {
        let (head, rest) = self.0.split_at_checked(n)?;
        self.0 = rest;
        std::str::from_utf8(head).ok()
    }

    pub(crate) fn text(&mut self) -> Option<&'a str> {
        let n = self.get::<U16>()?.get();
        self.take(usize::from(n))
    }

    pub(crate) fn long_text(&mut self) -> Option<&'a str> {
        let n = self.get::<U32>()?.get();
        self.take(n as usize)
    }

    /// A list of as many as stated; what is stated is not believed beyond what is there.
    pub(crate) fn list<T>(
        &mut self,
        n: U32,
        f: impl Fn(&mut In<'a>) -> Option<T>,
    ) -> Option<Vec<T>> {
        let mut out = Vec::new();
        for _ in 0..n.get() {
            out.push(f(self)?);
        }
        Some(out)
    }
}

const STATES: [TaskState; 5] = [
    TaskState::Fetching,
    TaskState::Waiting,
    TaskState::Running,
    TaskState::Saving,
    TaskState::Exited,
];
const CAUSES: [ExitCause; 7] = [
    ExitCause::Done,
    ExitCause::Stopped,
    ExitCause::Error,
    ExitCause::NoRoom,
    ExitCause::Busy,
    ExitCause::Unknown,
    ExitCause::Other,
];

fn index<T: PartialEq>(all: &[T], x: &T) -> u8 {
    all.iter().position(|y| y == x).unwrap_or(all.len()) as u8
}

/// The bytes that a machine's name takes in a frame.
fn name_size(machine: &MachineId) -> usize {
    size_of::<U16>() + machine.len()
}

/// The bytes that a machine which was heard of takes in a frame.
pub fn answered_heartbeat_size(machine: &MachineId) -> usize {
    size_of::<AnsweredHeartbeatHeader>() + name_size(machine)
}

/// How many of these machines, the first ones, a list of names in a frame takes.
pub fn names_that_fit<'a>(machines: impl IntoIterator<Item = &'a MachineId>) -> usize {
    let mut size = 0;
    let fits = |machine: &&MachineId| {
        size += name_size(machine);
        size <= MAX_NAMES_BYTES
    };
    machines.into_iter().take_while(fits).count()
}

/// The bytes that the answer to a report takes in a frame.
pub fn response_size(orders: &[TaskCommand]) -> usize {
    let size_of_order = |order: &TaskCommand| {
        let (TaskCommand::Start { task, .. }
        | TaskCommand::Stop { task, .. }
        | TaskCommand::Forget { task, .. }) = order;
        size_of::<CommandHeader>() + size_of::<U16>() + task.len()
    };
    size_of::<RelayedResponseHeader>() + orders.iter().map(size_of_order).sum::<usize>()
}

/// Roughly the bytes that a report takes in a frame.
pub fn encoded_heartbeat_size(r: &Heartbeat) -> usize {
    let rows: usize = r.tasks.iter().map(|row| row.task.len() + 13).sum();
    64 + r.machine.len() + r.addr.len() + r.machine_type.len() + r.zone.len() + rows
}

pub fn encode_batch(s: &HeartbeatBatch) -> Vec<u8> {
    let mut out = Out::default();
    out.put(&HeartbeatBatchHeader {
        incarnation: U64::new(s.incarnation),
        number: U64::new(s.number),
        answered: U64::new(s.acknowledged),
        term: U64::new(s.term),
        capabilities: U32::new(s.capabilities),
        load: U32::new(s.load),
        to_show: U32::new(s.pending_probes),
        mine: count(s.served.len()),
        failed: count(s.unanswered_probes.len()),
        heard: count(s.answered.len()),
        heartbeats: count(s.heartbeats.len()),
    });
    out.text(&s.from);
    for id in s.served.iter().chain(&s.unanswered_probes) {
        out.text(id);
    }
    for h in &s.answered {
        out.put(&AnsweredHeartbeatHeader {
            incarnation: U64::new(h.incarnation),
            sequence: U64::new(h.sequence),
            age_ms: ms(h.age),
        });
        out.text(&h.machine);
    }
    for RelayedHeartbeat { id, heartbeat: r } in &s.heartbeats {
        let notice = |s: f64| ms(Duration::from_secs_f64(s.clamp(0.0, 1e6)));
        out.put(&HeartbeatHeader {
            name: U64::new(*id),
            incarnation: U64::new(r.incarnation),
            sequence: U64::new(r.sequence),
            token: U64::new(r.fencing_token),
            notice_ms: r
                .reclaim_in_s
                .filter(|n| n.is_finite())
                .map_or(U32::new(NONE), notice),
            rows: count(r.tasks.len()),
            spot: u8::from(r.spot),
        });
        for text in [&*r.machine, &r.addr, &r.machine_type, &r.zone] {
            out.text(text);
        }
        for row in &r.tasks {
            out.put(&TaskStatusHeader {
                attempt: U64::new(row.attempt),
                state: index(&STATES, &row.state),
                why: row.cause.map_or(u8::MAX, |w| index(&CAUSES, &w)),
                saved: row.checkpointed.map_or(2, u8::from),
            });
            out.text(&row.task);
        }
    }
    crate::peer::frame(KIND_HEARTBEAT_BATCH, &out.0)
}

fn decode_report(b: &mut In) -> Option<RelayedHeartbeat> {
    let f = b.get::<HeartbeatHeader>()?;
    let mut text = || b.text().map(str::to_string);
    let (machine, addr, kind, zone) = (text()?, text()?, text()?, text()?);
    let rows = b.list(f.rows, |b| {
        let row = b.get::<TaskStatusHeader>()?;
        let why = match row.why {
            u8::MAX => None,
            n => Some(*CAUSES.get(usize::from(n))?),
        };
        Some(TaskStatus {
            attempt: row.attempt.get(),
            state: *STATES.get(usize::from(row.state))?,
            cause: why,
            checkpointed: (row.saved < 2).then_some(row.saved == 1),
            task: b.text()?.to_string(),
        })
    })?;
    let heartbeat = Heartbeat {
        machine: machine.into(),
        addr,
        machine_type: kind,
        zone,
        spot: f.spot != 0,
        incarnation: f.incarnation.get(),
        sequence: f.sequence.get(),
        fencing_token: f.token.get(),
        reclaim_in_s: (f.notice_ms.get() != NONE).then(|| span(f.notice_ms).as_secs_f64()),
        tasks: rows,
    };
    Some(RelayedHeartbeat {
        id: f.name.get(),
        heartbeat: Box::new(heartbeat),
    })
}

pub fn decode_batch(body: &[u8]) -> Option<HeartbeatBatch> {
    let mut b = In(body);
    let f = b.get::<HeartbeatBatchHeader>()?;
    let sync = HeartbeatBatch {
        incarnation: f.incarnation.get(),
        number: f.number.get(),
        acknowledged: f.answered.get(),
        term: f.term.get(),
        capabilities: f.capabilities.get(),
        load: f.load.get(),
        pending_probes: f.to_show.get(),
        from: b.text()?.to_string(),
        served: b.list(f.mine, |b| b.text().map(MachineId::from))?,
        unanswered_probes: b.list(f.failed, |b| b.text().map(MachineId::from))?,
        answered: b.list(f.heard, |b| {
            let h = b.get::<AnsweredHeartbeatHeader>()?;
            Some(AnsweredHeartbeat {
                incarnation: h.incarnation.get(),
                sequence: h.sequence.get(),
                age: span(h.age_ms),
                machine: b.text()?.into(),
            })
        })?,
        heartbeats: b.list(f.heartbeats, decode_report)?,
    };
    b.0.is_empty().then_some(sync)
}

pub fn encode_batch_response(s: &HeartbeatBatchResponse) -> Vec<u8> {
    let mut out = Out::default();
    out.put(&HeartbeatBatchResponseHeader {
        number: U64::new(s.number),
        term: U64::new(s.term),
        grant_ms: ms(s.grant),
        refused: u8::from(s.refused),
        recalled: count(s.revoked.len()),
        answers: count(s.responses.len()),
        asks: count(s.probes.len()),
        moves: count(s.reassignments.len()),
        members: count(s.members.len()),
    });
    for id in &s.revoked {
        out.text(id);
    }
    for told in &s.responses {
        let (token, status, calm, retry, orders) = match &told.outcome {
            RelayedOutcome::Commands {
                fencing_token,
                commands,
                steady,
            } => (*fencing_token, 200, *steady, None, commands.as_slice()),
            RelayedOutcome::Refused {
                status,
                retry_after,
            } => (0, *status, false, *retry_after, [].as_slice()),
        };
        out.put(&RelayedResponseHeader {
            name: U64::new(told.id),
            token: U64::new(token),
            status: U16::new(status),
            calm: u8::from(calm),
            retry_after: U32::new(retry.unwrap_or(NONE)),
            orders: count(orders.len()),
        });
        for order in orders {
            let (verb, task, attempt, grace) = match order {
                TaskCommand::Start { task, attempt } => (0, task, *attempt, 0.0),
                TaskCommand::Stop {
                    task,
                    attempt,
                    grace,
                } => (1, task, *attempt, *grace),
                TaskCommand::Forget { task, attempt } => (2, task, *attempt, 0.0),
            };
            out.put(&CommandHeader {
                verb,
                attempt: U64::new(attempt),
                grace_ms: ms(Duration::from_secs_f64(grace.clamp(0.0, 1e6))),
            });
            out.text(task);
        }
    }
    for (id, addr) in &s.probes {
        out.text(id);
        out.text(addr);
    }
    for (to, n) in &s.reassignments {
        out.put(&U32::new(*n));
        out.text(to);
    }
    for m in &s.members {
        out.put(&MemberStatusHeader {
            capabilities: U32::new(m.capabilities),
            load: U32::new(m.load),
            age_ms: ms(m.age),
        });
        out.text(&m.name);
    }
    crate::peer::frame(KIND_HEARTBEAT_BATCH_RESPONSE, &out.0)
}

fn decode_told(b: &mut In) -> Option<RelayedResponse> {
    let f = b.get::<RelayedResponseHeader>()?;
    let orders = b.list(f.orders, |b| {
        let o = b.get::<CommandHeader>()?;
        let (task, attempt) = (b.text()?.to_string(), o.attempt.get());
        Some(match o.verb {
            0 => TaskCommand::Start { task, attempt },
            1 => TaskCommand::Stop {
                task,
                attempt,
                grace: span(o.grace_ms).as_secs_f64(),
            },
            2 => TaskCommand::Forget { task, attempt },
            _ => return None,
        })
    })?;
    let retry = f.retry_after.get();
    let kind = match f.status.get() {
        200 => RelayedOutcome::Commands {
            fencing_token: f.token.get(),
            commands: orders,
            steady: f.calm != 0,
        },
        status => RelayedOutcome::Refused {
            status,
            retry_after: (retry != NONE).then_some(retry),
        },
    };
    Some(RelayedResponse {
        id: f.name.get(),
        outcome: kind,
    })
}

pub fn decode_batch_response(body: &[u8]) -> Option<HeartbeatBatchResponse> {
    let mut b = In(body);
    let f = b.get::<HeartbeatBatchResponseHeader>()?;
    let synced = HeartbeatBatchResponse {
        number: f.number.get(),
        term: f.term.get(),
        grant: span(f.grant_ms),
        refused: f.refused != 0,
        revoked: b.list(f.recalled, |b| b.text().map(MachineId::from))?,
        responses: b.list(f.answers, decode_told)?,
        probes: b.list(f.asks, |b| Some((b.text()?.into(), b.text()?.to_string())))?,
        reassignments: b.list(f.moves, |b| {
            let n = b.get::<U32>()?.get();
            Some((b.text()?.to_string(), n))
        })?,
        members: b.list(f.members, |b| {
            let m = b.get::<MemberStatusHeader>()?;
            Some(MemberStatus {
                capabilities: m.capabilities.get(),
                load: m.load.get(),
                age: span(m.age_ms),
                name: b.text()?.to_string(),
            })
        })?,
    };
    b.0.is_empty().then_some(synced)
}

#[cfg(test)]
mod tests;
