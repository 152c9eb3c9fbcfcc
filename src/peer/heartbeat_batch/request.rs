//! Layout of a `HeartbeatBatch` in a frame.

use super::{
    ABSENT, AnsweredHeartbeat, HeartbeatBatch, KIND_HEARTBEAT_BATCH, MAX_NAMES_BYTES,
    RelayedHeartbeat, duration, millis, millis_of_seconds,
};
use crate::job::MachineId;
use crate::peer::frame::{FrameReader, FrameWriter, index_of, length, value_at};
use crate::wire::{ExitCause, Heartbeat, TaskState, TaskStatus};
use zerocopy::byteorder::little_endian::{U16, U32, U64};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

const TASK_STATES: [TaskState; 5] = [
    TaskState::Fetching,
    TaskState::Waiting,
    TaskState::Running,
    TaskState::Saving,
    TaskState::Exited,
];
const EXIT_CAUSES: [ExitCause; 7] = [
    ExitCause::Done,
    ExitCause::Stopped,
    ExitCause::Error,
    ExitCause::NoRoom,
    ExitCause::Busy,
    ExitCause::Unknown,
    ExitCause::Other,
];
const NO_EXIT_CAUSE: u8 = u8::MAX;
/// Encoding for a task whose status does not contain whether the checkpoint was written; 0 means no
/// and 1 means yes.
const CHECKPOINT_UNKNOWN: u8 = 2;

#[derive(FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct HeartbeatBatchHeader {
    incarnation: U64,
    number: U64,
    acknowledged: U64,
    term: U64,
    capabilities: U32,
    load: U32,
    pending_probes: U32,
    served: U32,
    unanswered_probes: U32,
    answered: U32,
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
    id: U64,
    incarnation: U64,
    sequence: U64,
    fencing_token: U64,
    reclaim_in_ms: U32,
    tasks: U32,
    spot: u8,
}

#[derive(FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
pub(super) struct TaskStatusHeader {
    attempt: U64,
    state: u8,
    cause: u8,
    checkpointed: u8,
}

/// Returns the size of a machine's name in a frame, in bytes.
pub(super) fn name_size(machine: &MachineId) -> usize {
    size_of::<U16>() + machine.len()
}

/// Returns the size of an answered heartbeat of this machine in a frame, in bytes.
pub fn answered_heartbeat_size(machine: &MachineId) -> usize {
    size_of::<AnsweredHeartbeatHeader>() + name_size(machine)
}

/// Returns how many of these machines, counted from the first, fit into a list of names in a frame.
pub fn count_fitting_names<'a>(machines: impl IntoIterator<Item = &'a MachineId>) -> usize {
    let mut size = 0;
    let fits = |machine: &&MachineId| {
        size += name_size(machine);
        size <= MAX_NAMES_BYTES
    };
    machines.into_iter().take_while(fits).count()
}

/// Returns the approximate size of a heartbeat in a frame, in bytes.
pub fn encoded_heartbeat_size(heartbeat: &Heartbeat) -> usize {
    const FIXED_BYTES: usize = 64;
    const TASK_BYTES: usize = 13;
    let tasks = heartbeat.tasks.iter();
    let texts = [
        &*heartbeat.machine,
        &heartbeat.addr,
        &heartbeat.machine_type,
        &heartbeat.zone,
    ];
    FIXED_BYTES
        + texts.iter().map(|text| text.len()).sum::<usize>()
        + tasks.map(|t| t.task.len() + TASK_BYTES).sum::<usize>()
}

/// Encodes a batch as a frame.
pub fn encode_batch(batch: &HeartbeatBatch) -> Vec<u8> {
    let mut out = FrameWriter::default();
    out.fixed(&HeartbeatBatchHeader {
        incarnation: U64::new(batch.incarnation),
        number: U64::new(batch.number),
        acknowledged: U64::new(batch.acknowledged),
        term: U64::new(batch.term),
        capabilities: U32::new(batch.capabilities),
        load: U32::new(batch.load),
        pending_probes: U32::new(batch.pending_probes),
        served: length(batch.served.len()),
        unanswered_probes: length(batch.unanswered_probes.len()),
        answered: length(batch.answered.len()),
        heartbeats: length(batch.heartbeats.len()),
    });
    out.text(&batch.from);
    for id in batch.served.iter().chain(&batch.unanswered_probes) {
        out.text(id);
    }
    for answered in &batch.answered {
        out.fixed(&AnsweredHeartbeatHeader {
            incarnation: U64::new(answered.incarnation),
            sequence: U64::new(answered.sequence),
            age_ms: millis(answered.age),
        });
        out.text(&answered.machine);
    }
    for relayed in &batch.heartbeats {
        encode_heartbeat(relayed, &mut out);
    }
    out.finish(KIND_HEARTBEAT_BATCH)
}

fn encode_heartbeat(relayed: &RelayedHeartbeat, out: &mut FrameWriter) {
    let heartbeat = &relayed.heartbeat;
    let reclaim_in_s = heartbeat.reclaim_in_s.filter(|s| s.is_finite());
    out.fixed(&HeartbeatHeader {
        id: U64::new(relayed.id),
        incarnation: U64::new(heartbeat.incarnation),
        sequence: U64::new(heartbeat.sequence),
        fencing_token: U64::new(heartbeat.fencing_token),
        reclaim_in_ms: reclaim_in_s.map_or(U32::new(ABSENT), millis_of_seconds),
        tasks: length(heartbeat.tasks.len()),
        spot: u8::from(heartbeat.spot),
    });
    out.text(&heartbeat.machine);
    out.text(&heartbeat.addr);
    out.text(&heartbeat.machine_type);
    out.text(&heartbeat.zone);
    for status in &heartbeat.tasks {
        encode_task_status(status, out);
    }
}

fn encode_task_status(status: &TaskStatus, out: &mut FrameWriter) {
    out.fixed(&TaskStatusHeader {
        attempt: U64::new(status.attempt),
        state: index_of(&TASK_STATES, &status.state),
        cause: status
            .cause
            .map_or(NO_EXIT_CAUSE, |cause| index_of(&EXIT_CAUSES, &cause)),
        checkpointed: status.checkpointed.map_or(CHECKPOINT_UNKNOWN, u8::from),
    });
    out.text(&status.task);
}

/// Decodes a batch from the body of a frame; `None` if it is malformed.
pub fn decode_batch(body: &[u8]) -> Option<HeartbeatBatch> {
    let mut body = FrameReader::new(body);
    let header: &HeartbeatBatchHeader = body.fixed()?;
    let batch = HeartbeatBatch {
        incarnation: header.incarnation.get(),
        number: header.number.get(),
        acknowledged: header.acknowledged.get(),
        term: header.term.get(),
        capabilities: header.capabilities.get(),
        load: header.load.get(),
        pending_probes: header.pending_probes.get(),
        from: body.text()?.to_string(),
        served: body.list(header.served, decode_name)?,
        unanswered_probes: body.list(header.unanswered_probes, decode_name)?,
        answered: body.list(header.answered, decode_answered)?,
        heartbeats: body.list(header.heartbeats, decode_heartbeat)?,
    };
    body.finish(batch)
}

/// Reads a machine's name in a list.
pub(super) fn decode_name(body: &mut FrameReader) -> Option<MachineId> {
    body.text().map(MachineId::from)
}

fn decode_answered(body: &mut FrameReader) -> Option<AnsweredHeartbeat> {
    let header: &AnsweredHeartbeatHeader = body.fixed()?;
    Some(AnsweredHeartbeat {
        incarnation: header.incarnation.get(),
        sequence: header.sequence.get(),
        age: duration(header.age_ms),
        machine: decode_name(body)?,
    })
}

fn decode_heartbeat(body: &mut FrameReader) -> Option<RelayedHeartbeat> {
    let header: &HeartbeatHeader = body.fixed()?;
    let reclaim_in = header.reclaim_in_ms;
    let heartbeat = Heartbeat {
        machine: decode_name(body)?,
        addr: body.text()?.to_string(),
        machine_type: body.text()?.to_string(),
        zone: body.text()?.to_string(),
        spot: header.spot != 0,
        incarnation: header.incarnation.get(),
        sequence: header.sequence.get(),
        fencing_token: header.fencing_token.get(),
        reclaim_in_s: (reclaim_in.get() != ABSENT).then(|| duration(reclaim_in).as_secs_f64()),
        tasks: body.list(header.tasks, decode_task_status)?,
    };
    Some(RelayedHeartbeat {
        id: header.id.get(),
        heartbeat: Box::new(heartbeat),
    })
}

fn decode_task_status(body: &mut FrameReader) -> Option<TaskStatus> {
    let header: &TaskStatusHeader = body.fixed()?;
    let cause = match header.cause {
        NO_EXIT_CAUSE => None,
        index => Some(value_at(&EXIT_CAUSES, index)?),
    };
    let checkpointed = header.checkpointed;
    Some(TaskStatus {
        attempt: header.attempt.get(),
        state: value_at(&TASK_STATES, header.state)?,
        cause,
        checkpointed: (checkpointed < CHECKPOINT_UNKNOWN).then_some(checkpointed == 1),
        task: body.text()?.to_string(),
    })
}
