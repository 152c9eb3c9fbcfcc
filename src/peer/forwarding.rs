//! Requests of users that a follower forwards to the leader, and the leader's answers.

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
/// A job with dependencies: the count and the ids of these, then what `KIND_SUBMIT` has. It has a
/// kind of its own so that versions that do not know of this drop the connection: the node then
/// accepts the job itself, and they never take it for one that can start. All else stays byte for
/// byte what they read.
const KIND_SUBMIT_DEPENDENT: u8 = 5;

/// No number.
const ABSENT: u32 = u32::MAX;

/// The job states that an answer may tell, from 1 on; 0 is none.
const JOB_STATES: [JobState; 4] = [
    JobState::Queued,
    JobState::Running,
    JobState::Done,
    JobState::Cancelled,
];

/// A user's request, for the leader.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerRequest {
    /// Submit this job.
    Submit(Box<JobSpec>),
    /// Tell the state of the job with this id.
    Show(String),
    /// Cancel the job with this id.
    Cancel(String),
}

/// The leader's answer, as far as the follower needs it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerAnswer {
    /// The HTTP status to answer the user with.
    pub status: u16,
    /// Of the job, if there is one.
    pub state: Option<JobState>,
    /// Seconds after which the user may retry.
    pub retry_after: Option<u32>,
    /// Tasks that are done.
    pub done: Option<u32>,
    /// Tasks that run.
    pub running: Option<u32>,
}

#[derive(FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct AnswerBody {
    status: U16,
    /// 0 where there is no state to tell.
    state: u8,
    reserved: u8,
    retry_after: U32,
    done: U32,
    running: U32,
}

/// The frame of a request.
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

/// The request in a frame of this kind; `None` if it is malformed or of another kind.
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

/// The frame of an answer.
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

/// The answer in a frame of this kind; `None` if it is malformed or of another kind.
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
