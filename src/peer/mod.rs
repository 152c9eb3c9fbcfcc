//! What controllers say to one another: frames of a fixed layout, read in place with `zerocopy`.
//!
//! A follower passes a user's request on to the leader and hands its answer back. A frame is a
//! header, then a body of the length and layout that the header's kind implies. Numbers are
//! little-endian. Text comes last, its parts in the order in which their lengths are listed.

pub mod heartbeat_batch;
pub mod memory_exchange;

use crate::job::{JobId, JobKind, JobSpec, Priority, Resources};
use crate::wire::JobState;
use std::io::{self, Read, Write};
use std::time::Duration;
use zerocopy::byteorder::little_endian::{F64, U16, U32, U64};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

const MAGIC: u32 = 0x6275_726c;
const VERSION: u8 = 1;
/// Larger than any submission that the public interface accepts, and than what a leader tells
/// another controller at a time (`link`).
const MAX_FRAME: usize = 640 * 1024;

const KIND_SUBMIT: u8 = 1;
const KIND_SHOW: u8 = 2;
const KIND_CANCEL: u8 = 3;
const KIND_ANSWER: u8 = 4;
/// A job that awaits others: the count and the ids of these, then what `KIND_SUBMIT` has. It has a
/// kind of its own so that versions that do not know of this drop the connection: the node then
/// accepts the job itself, and they never take it for one that can start. All else stays byte for
/// byte what they read.
const KIND_SUBMIT_AWAITING: u8 = 5;

#[derive(FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct Header {
    magic: U32,
    version: u8,
    kind: u8,
    reserved: U16,
    length: U32,
}

const NO_TEXT: u32 = u32::MAX;

#[derive(FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct SpecFrame {
    tasks: U32,
    kind: u8,
    rank: u8,
    flags: u8,
    reserved: u8,
    cpus: F64,
    gpus: F64,
    ram: F64,
    image_gb: F64,
    estimate_ns: U64,
    checkpoint_ns: U64,
    save_ns: U64,
    /// All ones: no deadline.
    deadline_ns: U64,
    id: U32,
    class: U32,
    team: U32,
    image: U32,
    zone: U32,
    /// Lengths of the type names follow this struct, then the texts.
    types: U32,
}

const ONE_ZONE: u8 = 1;
const SPREAD: u8 = 2;
const SPOT: u8 = 4;

#[derive(FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct AnswerFrame {
    status: U16,
    /// 0 where there is no state to tell.
    state: u8,
    reserved: u8,
    retry_after: U32,
    done: U32,
    running: U32,
}

#[derive(Clone, Debug, PartialEq)]
pub enum PeerRequest {
    Submit(Box<JobSpec>),
    Show(String),
    Cancel(String),
}

/// The leader's answer, as far as the follower needs it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerAnswer {
    pub status: u16,
    pub state: Option<JobState>,
    pub retry_after: Option<u32>,
    pub done: Option<u32>,
    pub running: Option<u32>,
}

fn nanos(d: Duration) -> U64 {
    U64::new(u64::try_from(d.as_nanos()).unwrap_or(u64::MAX - 1))
}

pub(crate) fn frame(kind: u8, body: &[u8]) -> Vec<u8> {
    let header = Header {
        magic: U32::new(MAGIC),
        version: VERSION,
        kind,
        reserved: U16::new(0),
        length: U32::new(body.len() as u32),
    };
    let mut out = header.as_bytes().to_vec();
    out.extend_from_slice(body);
    out
}

fn encode_spec(s: &JobSpec) -> Vec<u8> {
    let len = |t: &str| U32::new(t.len() as u32);
    let none = U32::new(NO_TEXT);
    let flag = |on: bool, bit: u8| if on { bit } else { 0 };
    let fixed = SpecFrame {
        tasks: U32::new(s.tasks),
        kind: match s.job_kind {
            JobKind::Array => 0,
            JobKind::Service => 1,
            JobKind::Gang => 2,
        },
        rank: match s.priority {
            Priority::Production => 0,
            Priority::High => 1,
            Priority::Normal => 2,
            Priority::Low => 3,
        },
        flags: flag(s.one_zone, ONE_ZONE) | flag(s.spread, SPREAD) | flag(s.spot, SPOT),
        reserved: 0,
        cpus: F64::new(s.resources.cpus),
        gpus: F64::new(s.resources.gpus),
        ram: F64::new(s.resources.ram),
        image_gb: F64::new(s.image_gb),
        estimate_ns: nanos(s.estimate),
        checkpoint_ns: nanos(s.checkpoint_interval),
        save_ns: nanos(s.checkpoint_duration),
        deadline_ns: s.deadline.map_or(U64::new(u64::MAX), nanos),
        id: len(&s.id),
        class: len(&s.class),
        team: len(&s.team),
        image: len(&s.image),
        zone: s.zone.as_deref().map_or(none, len),
        types: s
            .machine_types
            .as_ref()
            .map_or(none, |t| U32::new(t.len() as u32)),
    };
    let mut out = fixed.as_bytes().to_vec();
    let types = s.machine_types.as_deref().unwrap_or_default();
    for t in types {
        out.extend_from_slice(len(t).as_bytes());
    }
    for text in [&*s.id, &s.class, &s.team, &s.image] {
        out.extend_from_slice(text.as_bytes());
    }
    out.extend_from_slice(s.zone.as_deref().unwrap_or_default().as_bytes());
    for t in types {
        out.extend_from_slice(t.as_bytes());
    }
    out
}

fn text(rest: &mut &[u8], len: u32) -> Option<String> {
    let (head, tail) = rest.split_at_checked(len as usize)?;
    *rest = tail;
    String::from_utf8(head.to_vec()).ok()
}

fn decode_spec(body: &[u8]) -> Option<JobSpec> {
    let (f, mut rest) = SpecFrame::ref_from_prefix(body).ok()?;
    let mut type_lengths = None;
    if f.types.get() != NO_TEXT {
        let mut lengths = Vec::new();
        for _ in 0..f.types.get() {
            let (len, tail) = U32::ref_from_prefix(rest).ok()?;
            lengths.push(len.get());
            rest = tail;
        }
        type_lengths = Some(lengths);
    }
    let id = text(&mut rest, f.id.get())?;
    let class = text(&mut rest, f.class.get())?;
    let team = text(&mut rest, f.team.get())?;
    let image = text(&mut rest, f.image.get())?;
    let zone = match f.zone.get() {
        NO_TEXT => None,
        n => Some(text(&mut rest, n)?),
    };
    let types = match type_lengths {
        None => None,
        Some(lengths) => Some(
            lengths
                .into_iter()
                .map(|n| text(&mut rest, n))
                .collect::<Option<Vec<_>>>()?,
        ),
    };
    let finite = [f.cpus, f.gpus, f.ram, f.image_gb]
        .iter()
        .all(|x| x.get().is_finite() && x.get() >= 0.0);
    if !rest.is_empty() || !finite || f.tasks.get() == 0 || !crate::wire::is_job_id(&id) {
        return None;
    }
    Some(JobSpec {
        id: id.into(),
        class,
        team,
        job_kind: match f.kind {
            0 => JobKind::Array,
            1 => JobKind::Service,
            2 => JobKind::Gang,
            _ => return None,
        },
        priority: match f.rank {
            0 => Priority::Production,
            1 => Priority::High,
            2 => Priority::Normal,
            3 => Priority::Low,
            _ => return None,
        },
        tasks: f.tasks.get(),
        resources: Resources {
            cpus: f.cpus.get(),
            gpus: f.gpus.get(),
            ram: f.ram.get(),
        },
        image,
        image_gb: f.image_gb.get(),
        machine_types: types,
        zone,
        one_zone: f.flags & ONE_ZONE != 0,
        spread: f.flags & SPREAD != 0,
        spot: f.flags & SPOT != 0,
        estimate: Duration::from_nanos(f.estimate_ns.get()),
        checkpoint_interval: Duration::from_nanos(f.checkpoint_ns.get()),
        checkpoint_duration: Duration::from_nanos(f.save_ns.get()),
        deadline: match f.deadline_ns.get() {
            u64::MAX => None,
            n => Some(Duration::from_nanos(n)),
        },
        dependencies: Vec::new(),
    })
}

fn encode_awaiting(s: &JobSpec) -> Vec<u8> {
    let len = |n: usize| U32::new(n as u32);
    let mut out = len(s.dependencies.len()).as_bytes().to_vec();
    for id in &s.dependencies {
        out.extend_from_slice(len(id.len()).as_bytes());
        out.extend_from_slice(id.as_bytes());
    }
    out.extend_from_slice(&encode_spec(s));
    out
}

fn decode_awaiting(body: &[u8]) -> Option<JobSpec> {
    let (count, mut rest) = U32::ref_from_prefix(body).ok()?;
    let mut dependencies: Vec<JobId> = Vec::new();
    for _ in 0..count.get() {
        let (len, tail) = U32::ref_from_prefix(rest).ok()?;
        rest = tail;
        let id = text(&mut rest, len.get())?;
        if !crate::wire::is_job_id(&id) || dependencies.last().is_some_and(|last| **last >= *id) {
            return None;
        }
        dependencies.push(id.into());
    }
    let spec = decode_spec(rest)?;
    Some(JobSpec {
        dependencies: dependencies,
        ..spec
    })
}

pub fn encode_request(request: &PeerRequest) -> Vec<u8> {
    match request {
        PeerRequest::Submit(spec) if spec.dependencies.is_empty() => {
            frame(KIND_SUBMIT, &encode_spec(spec))
        }
        PeerRequest::Submit(spec) => frame(KIND_SUBMIT_AWAITING, &encode_awaiting(spec)),
        PeerRequest::Show(id) => frame(KIND_SHOW, id.as_bytes()),
        PeerRequest::Cancel(id) => frame(KIND_CANCEL, id.as_bytes()),
    }
}

pub fn decode_request(kind: u8, body: &[u8]) -> Option<PeerRequest> {
    let id = || {
        let id = String::from_utf8(body.to_vec()).ok()?;
        crate::wire::is_job_id(&id).then_some(id)
    };
    match kind {
        KIND_SUBMIT => Some(PeerRequest::Submit(Box::new(decode_spec(body)?))),
        KIND_SUBMIT_AWAITING => Some(PeerRequest::Submit(Box::new(decode_awaiting(body)?))),
        KIND_SHOW => Some(PeerRequest::Show(id()?)),
        KIND_CANCEL => Some(PeerRequest::Cancel(id()?)),
        _ => None,
    }
}

pub fn encode_answer(a: &PeerAnswer) -> Vec<u8> {
    let count = |n: Option<u32>| U32::new(n.unwrap_or(u32::MAX));
    let fixed = AnswerFrame {
        status: U16::new(a.status),
        state: match a.state {
            None => 0,
            Some(JobState::Queued) => 1,
            Some(JobState::Running) => 2,
            Some(JobState::Done) => 3,
            Some(JobState::Cancelled) => 4,
        },
        reserved: 0,
        retry_after: count(a.retry_after),
        done: count(a.done),
        running: count(a.running),
    };
    frame(KIND_ANSWER, fixed.as_bytes())
}

pub fn decode_answer(kind: u8, body: &[u8]) -> Option<PeerAnswer> {
    if kind != KIND_ANSWER {
        return None;
    }
    let f = AnswerFrame::ref_from_bytes(body).ok()?;
    let count = |n: U32| (n.get() != u32::MAX).then_some(n.get());
    Some(PeerAnswer {
        status: f.status.get(),
        state: match f.state {
            0 => None,
            1 => Some(JobState::Queued),
            2 => Some(JobState::Running),
            3 => Some(JobState::Done),
            4 => Some(JobState::Cancelled),
            _ => return None,
        },
        retry_after: count(f.retry_after),
        done: count(f.done),
        running: count(f.running),
    })
}

/// Reads one frame; anything malformed is an error, upon which the connection is dropped.
pub fn read_frame(stream: &mut impl Read) -> io::Result<(u8, Vec<u8>)> {
    let mut head = [0u8; size_of::<Header>()];
    stream.read_exact(&mut head)?;
    let header = Header::ref_from_bytes(&head)
        .ok()
        .filter(|h| h.magic.get() == MAGIC && h.version == VERSION)
        .filter(|h| h.length.get() as usize <= MAX_FRAME)
        .ok_or(io::ErrorKind::InvalidData)?;
    let mut body = vec![0; header.length.get() as usize];
    stream.read_exact(&mut body)?;
    Ok((header.kind, body))
}

pub fn write_frame(stream: &mut impl Write, frame: &[u8]) -> io::Result<()> {
    stream.write_all(frame)
}

#[cfg(test)]
mod tests;
