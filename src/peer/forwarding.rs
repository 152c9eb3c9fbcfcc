//! User requests that a follower forwards to the leader, and the leader's answers.

mod job_spec;

use super::frame::{self, FrameReader, FrameWriter};
use crate::job::JobSpec;
use crate::wire::{JobState, is_job_id};
use job_spec::{decode_dependent_spec, decode_spec, encode_dependent_spec, encode_spec};
use zerocopy::byteorder::little_endian::{U16, U32};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

const KIND_SUBMIT: u8 = 1;
const KIND_SHOW: u8 = 2;
const KIND_CANCEL: u8 = 3;
const KIND_ANSWER: u8 = 4;
/// Submission of a job with dependencies: their count and ids, then the body of `KIND_SUBMIT`. It is a
/// separate kind so that versions without dependencies close the connection, rather than take the job
/// for one that can start; the sender then accepts the job itself. All other frames stay byte for byte
/// as those versions read them.
const KIND_SUBMIT_DEPENDENT: u8 = 5;

/// Encoding of a number that is absent.
const ABSENT: u32 = u32::MAX;

/// Job states in the order of their encoding, which starts at 1; 0 means no state.
const JOB_STATES: [JobState; 4] = [
    JobState::Queued,
    JobState::Running,
    JobState::Done,
    JobState::Cancelled,
];

/// A user's request, forwarded to the leader.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerRequest {
    /// Submits this job.
    Submit(Box<JobSpec>),
    /// Requests the state of the job with this id.
    Show(String),
    /// Cancels the job with this id.
    Cancel(String),
}

/// The parts of the leader's answer that the follower needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerAnswer {
    /// HTTP status of the response to the user.
    pub status: u16,
    /// State of the job, if there is one.
    pub state: Option<JobState>,
    /// Seconds after which the user may retry.
    pub retry_after: Option<u32>,
    /// Number of tasks that are done.
    pub done: Option<u32>,
    /// Number of tasks that run.
    pub running: Option<u32>,
}

#[derive(FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct AnswerBody {
    status: U16,
    /// 0 for no state.
    state: u8,
    reserved: u8,
    retry_after: U32,
    done: U32,
    running: U32,
}

/// Encodes a request as a frame.
pub fn encode_request(request: &PeerRequest) -> Vec<u8> {
    let mut body = FrameWriter::default();
    let kind = match request {
        PeerRequest::Submit(spec) if spec.dependencies.is_empty() => {
            encode_spec(spec, &mut body);
            KIND_SUBMIT
        }
        PeerRequest::Submit(spec) => {
            encode_dependent_spec(spec, &mut body);
            KIND_SUBMIT_DEPENDENT
        }
        PeerRequest::Show(id) => {
            body.bytes(id.as_bytes());
            KIND_SHOW
        }
        PeerRequest::Cancel(id) => {
            body.bytes(id.as_bytes());
            KIND_CANCEL
        }
    };
    body.finish(kind)
}

/// Decodes a request from the body of a frame; `None` if it is malformed or of another kind.
pub fn decode_request(kind: u8, body: &[u8]) -> Option<PeerRequest> {
    match kind {
        KIND_SUBMIT => {
            let spec = decode_spec(FrameReader::new(body))?;
            Some(PeerRequest::Submit(Box::new(spec)))
        }
        KIND_SUBMIT_DEPENDENT => {
            let spec = decode_dependent_spec(FrameReader::new(body))?;
            Some(PeerRequest::Submit(Box::new(spec)))
        }
        KIND_SHOW => decode_id(body).map(PeerRequest::Show),
        KIND_CANCEL => decode_id(body).map(PeerRequest::Cancel),
        _ => None,
    }
}

fn decode_id(body: &[u8]) -> Option<String> {
    let id = std::str::from_utf8(body).ok()?;
    is_job_id(id).then(|| id.to_string())
}

/// Encodes an answer as a frame.
pub fn encode_answer(answer: &PeerAnswer) -> Vec<u8> {
    let number = |n: Option<u32>| U32::new(n.unwrap_or(ABSENT));
    let body = AnswerBody {
        status: U16::new(answer.status),
        state: answer
            .state
            .map_or(0, |state| frame::index_of(&JOB_STATES, &state) + 1),
        reserved: 0,
        retry_after: number(answer.retry_after),
        done: number(answer.done),
        running: number(answer.running),
    };
    frame::encode_frame(KIND_ANSWER, body.as_bytes())
}

/// Decodes an answer from the body of a frame; `None` if it is malformed or of another kind.
pub fn decode_answer(kind: u8, body: &[u8]) -> Option<PeerAnswer> {
    if kind != KIND_ANSWER {
        return None;
    }
    let answer = AnswerBody::ref_from_bytes(body).ok()?;
    let number = |n: U32| (n.get() != ABSENT).then_some(n.get());
    let state = match answer.state {
        0 => None,
        n => Some(frame::value_at(&JOB_STATES, n - 1)?),
    };
    Some(PeerAnswer {
        status: answer.status.get(),
        state,
        retry_after: number(answer.retry_after),
        done: number(answer.done),
        running: number(answer.running),
    })
}

#[cfg(test)]
mod tests;
