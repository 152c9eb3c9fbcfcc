//! Layout of a `HeartbeatBatchResponse` in a frame.

use super::request::decode_name;
use super::{
    ABSENT, HeartbeatBatchResponse, KIND_HEARTBEAT_BATCH_RESPONSE, MemberStatus, RelayedOutcome,
    RelayedResponse, duration, millis, millis_of_seconds,
};
use crate::peer::frame::{FrameReader, FrameWriter, length};
use crate::wire::TaskCommand;
use zerocopy::byteorder::little_endian::{U16, U32, U64};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

/// Status of a response with commands; any other status is that of a refusal.
const STATUS_OK: u16 = 200;

const VERB_START: u8 = 0;
const VERB_STOP: u8 = 1;
const VERB_FORGET: u8 = 2;

#[derive(FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct HeartbeatBatchResponseHeader {
    number: U64,
    term: U64,
    grant_ms: U32,
    refused: u8,
    revoked: U32,
    responses: U32,
    probes: U32,
    reassignments: U32,
    members: U32,
}

#[derive(FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct RelayedResponseHeader {
    id: U64,
    fencing_token: U64,
    status: U16,
    cacheable: u8,
    retry_after: U32,
    commands: U32,
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

/// Returns the size of the response to a heartbeat in a frame, in bytes.
pub fn response_size(commands: &[TaskCommand]) -> usize {
    let command_size = |command: &TaskCommand| {
        let (TaskCommand::Start { task, .. }
        | TaskCommand::Stop { task, .. }
        | TaskCommand::Forget { task, .. }) = command;
        size_of::<CommandHeader>() + size_of::<U16>() + task.len()
    };
    size_of::<RelayedResponseHeader>() + commands.iter().map(command_size).sum::<usize>()
}

/// Encodes a response as a frame.
pub fn encode_batch_response(response: &HeartbeatBatchResponse) -> Vec<u8> {
    let mut out = FrameWriter::default();
    out.fixed(&HeartbeatBatchResponseHeader {
        number: U64::new(response.number),
        term: U64::new(response.term),
        grant_ms: millis(response.grant),
        refused: u8::from(response.refused),
        revoked: length(response.revoked.len()),
        responses: length(response.responses.len()),
        probes: length(response.probes.len()),
        reassignments: length(response.reassignments.len()),
        members: length(response.members.len()),
    });
    for id in &response.revoked {
        out.text(id);
    }
    for relayed in &response.responses {
        encode_relayed_response(relayed, &mut out);
    }
    for (id, addr) in &response.probes {
        out.text(id);
        out.text(addr);
    }
    for (to, count) in &response.reassignments {
        out.fixed(&U32::new(*count));
        out.text(to);
    }
    for member in &response.members {
        out.fixed(&MemberStatusHeader {
            capabilities: U32::new(member.capabilities),
            load: U32::new(member.load),
            age_ms: millis(member.age),
        });
        out.text(&member.name);
    }
    out.finish(KIND_HEARTBEAT_BATCH_RESPONSE)
}

fn encode_relayed_response(response: &RelayedResponse, out: &mut FrameWriter) {
    let id = U64::new(response.id);
    match &response.outcome {
        RelayedOutcome::Commands {
            fencing_token,
            commands,
            cacheable,
        } => {
            out.fixed(&RelayedResponseHeader {
                id,
                fencing_token: U64::new(*fencing_token),
                status: U16::new(STATUS_OK),
                cacheable: u8::from(*cacheable),
                retry_after: U32::new(ABSENT),
                commands: length(commands.len()),
            });
            for command in commands {
                encode_command(command, out);
            }
        }
        RelayedOutcome::Refused {
            status,
            retry_after,
        } => out.fixed(&RelayedResponseHeader {
            id,
            fencing_token: U64::new(0),
            status: U16::new(*status),
            cacheable: 0,
            retry_after: U32::new(retry_after.unwrap_or(ABSENT)),
            commands: length(0),
        }),
    }
}

fn encode_command(command: &TaskCommand, out: &mut FrameWriter) {
    let (verb, task, attempt, grace_s) = match command {
        TaskCommand::Start { task, attempt } => (VERB_START, task, *attempt, 0.0),
        TaskCommand::Stop {
            task,
            attempt,
            grace,
        } => (VERB_STOP, task, *attempt, *grace),
        TaskCommand::Forget { task, attempt } => (VERB_FORGET, task, *attempt, 0.0),
    };
    out.fixed(&CommandHeader {
        verb,
        attempt: U64::new(attempt),
        grace_ms: millis_of_seconds(grace_s),
    });
    out.text(task);
}

/// Decodes a response from the body of a frame; `None` if it is malformed.
pub fn decode_batch_response(body: &[u8]) -> Option<HeartbeatBatchResponse> {
    let mut body = FrameReader::new(body);
    let header: &HeartbeatBatchResponseHeader = body.fixed()?;
    let response = HeartbeatBatchResponse {
        number: header.number.get(),
        term: header.term.get(),
        grant: duration(header.grant_ms),
        refused: header.refused != 0,
        revoked: body.list(header.revoked, decode_name)?,
        responses: body.list(header.responses, decode_relayed_response)?,
        probes: body.list(header.probes, |b| {
            Some((decode_name(b)?, b.text()?.to_string()))
        })?,
        reassignments: body.list(header.reassignments, decode_reassignment)?,
        members: body.list(header.members, decode_member)?,
    };
    body.finish(response)
}

fn decode_relayed_response(body: &mut FrameReader) -> Option<RelayedResponse> {
    let header: &RelayedResponseHeader = body.fixed()?;
    let commands = body.list(header.commands, decode_command)?;
    let retry_after = header.retry_after.get();
    let outcome = match header.status.get() {
        STATUS_OK => RelayedOutcome::Commands {
            fencing_token: header.fencing_token.get(),
            commands,
            cacheable: header.cacheable != 0,
        },
        status => RelayedOutcome::Refused {
            status,
            retry_after: (retry_after != ABSENT).then_some(retry_after),
        },
    };
    Some(RelayedResponse {
        id: header.id.get(),
        outcome,
    })
}

fn decode_command(body: &mut FrameReader) -> Option<TaskCommand> {
    let header: &CommandHeader = body.fixed()?;
    let attempt = header.attempt.get();
    let task = body.text()?.to_string();
    match header.verb {
        VERB_START => Some(TaskCommand::Start { task, attempt }),
        VERB_STOP => Some(TaskCommand::Stop {
            task,
            attempt,
            grace: duration(header.grace_ms).as_secs_f64(),
        }),
        VERB_FORGET => Some(TaskCommand::Forget { task, attempt }),
        _ => None,
    }
}

fn decode_reassignment(body: &mut FrameReader) -> Option<(String, u32)> {
    let count = body.fixed::<U32>()?.get();
    Some((body.text()?.to_string(), count))
}

fn decode_member(body: &mut FrameReader) -> Option<MemberStatus> {
    let header: &MemberStatusHeader = body.fixed()?;
    Some(MemberStatus {
        capabilities: header.capabilities.get(),
        load: header.load.get(),
        age: duration(header.age_ms),
        name: body.text()?.to_string(),
    })
}
