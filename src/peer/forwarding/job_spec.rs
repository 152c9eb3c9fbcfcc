//! Layout of a job specification in a frame: a header of fixed size, the lengths of the machine types'
//! names, then all texts in the order of their lengths.

use crate::job::{JobId, JobKind, JobSpec, Priority, Resources};
use crate::peer::frame::{FrameReader, FrameWriter, index_of, length, value_at};
use crate::wire::is_job_id;
use std::time::Duration;
use zerocopy::byteorder::little_endian::{F64, U32, U64};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

/// Encoded length of a text or a list that is absent.
const ABSENT: u32 = u32::MAX;
const NO_DEADLINE: u64 = u64::MAX;

const JOB_KINDS: [JobKind; 3] = [JobKind::Array, JobKind::Service, JobKind::Gang];
const PRIORITIES: [Priority; 4] = [
    Priority::Production,
    Priority::High,
    Priority::Normal,
    Priority::Low,
];

const FLAG_ONE_ZONE: u8 = 1;
const FLAG_SPREAD: u8 = 2;
const FLAG_SPOT: u8 = 4;

#[derive(FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct JobSpecHeader {
    tasks: U32,
    job_kind: u8,
    priority: u8,
    flags: u8,
    reserved: u8,
    cpus: F64,
    gpus: F64,
    ram: F64,
    image_gb: F64,
    estimate_ns: U64,
    checkpoint_interval_ns: U64,
    checkpoint_duration_ns: U64,
    deadline_ns: U64,
    id_length: U32,
    class_length: U32,
    team_length: U32,
    image_length: U32,
    zone_length: U32,
    machine_types: U32,
}

fn nanos(duration: Duration) -> U64 {
    U64::new(u64::try_from(duration.as_nanos()).unwrap_or(NO_DEADLINE - 1))
}

fn duration(nanos: U64) -> Duration {
    Duration::from_nanos(nanos.get())
}

fn flags(spec: &JobSpec) -> u8 {
    let flag = |on: bool, bit: u8| if on { bit } else { 0 };
    flag(spec.one_zone, FLAG_ONE_ZONE) | flag(spec.spread, FLAG_SPREAD) | flag(spec.spot, FLAG_SPOT)
}

fn header(spec: &JobSpec) -> JobSpecHeader {
    let absent = U32::new(ABSENT);
    let machine_types = spec.machine_types.as_ref();
    JobSpecHeader {
        tasks: U32::new(spec.tasks),
        job_kind: index_of(&JOB_KINDS, &spec.job_kind),
        priority: index_of(&PRIORITIES, &spec.priority),
        flags: flags(spec),
        reserved: 0,
        cpus: F64::new(spec.resources.cpus),
        gpus: F64::new(spec.resources.gpus),
        ram: F64::new(spec.resources.ram),
        image_gb: F64::new(spec.image_gb),
        estimate_ns: nanos(spec.estimate),
        checkpoint_interval_ns: nanos(spec.checkpoint_interval),
        checkpoint_duration_ns: nanos(spec.checkpoint_duration),
        deadline_ns: spec.deadline.map_or(U64::new(NO_DEADLINE), nanos),
        id_length: length(spec.id.len()),
        class_length: length(spec.class.len()),
        team_length: length(spec.team.len()),
        image_length: length(spec.image.len()),
        zone_length: spec.zone.as_ref().map_or(absent, |z| length(z.len())),
        machine_types: machine_types.map_or(absent, |t| length(t.len())),
    }
}

/// Writes a job specification without its dependencies.
pub(super) fn encode_spec(spec: &JobSpec, out: &mut FrameWriter) {
    out.fixed(&header(spec));
    let machine_types = spec.machine_types.as_deref().unwrap_or_default();
    for name in machine_types {
        out.fixed(&length(name.len()));
    }
    for text in [&*spec.id, &spec.class, &spec.team, &spec.image] {
        out.bytes(text.as_bytes());
    }
    out.bytes(spec.zone.as_deref().unwrap_or_default().as_bytes());
    for name in machine_types {
        out.bytes(name.as_bytes());
    }
}

/// Reads a job specification written by `encode_spec`; `None` if it is malformed or invalid.
pub(super) fn decode_spec(mut body: FrameReader) -> Option<JobSpec> {
    let header: &JobSpecHeader = body.fixed()?;
    let type_lengths = match header.machine_types.get() {
        ABSENT => None,
        _ => Some(body.list(header.machine_types, |b| b.fixed::<U32>().copied())?),
    };
    let mut text = |length| body.text_of(length).map(str::to_string);
    let id = text(header.id_length)?;
    let class = text(header.class_length)?;
    let team = text(header.team_length)?;
    let image = text(header.image_length)?;
    let zone = match header.zone_length.get() {
        ABSENT => None,
        _ => Some(text(header.zone_length)?),
    };
    let machine_types = match type_lengths {
        None => None,
        Some(lengths) => Some(lengths.into_iter().map(text).collect::<Option<_>>()?),
    };
    if !has_valid_numbers(header) || !is_job_id(&id) {
        return None;
    }
    let deadline = header.deadline_ns;
    body.finish(JobSpec {
        id: id.into(),
        class,
        team,
        job_kind: value_at(&JOB_KINDS, header.job_kind)?,
        priority: value_at(&PRIORITIES, header.priority)?,
        tasks: header.tasks.get(),
        resources: Resources {
            cpus: header.cpus.get(),
            gpus: header.gpus.get(),
            ram: header.ram.get(),
        },
        image,
        image_gb: header.image_gb.get(),
        machine_types,
        zone,
        one_zone: header.flags & FLAG_ONE_ZONE != 0,
        spread: header.flags & FLAG_SPREAD != 0,
        spot: header.flags & FLAG_SPOT != 0,
        estimate: duration(header.estimate_ns),
        checkpoint_interval: duration(header.checkpoint_interval_ns),
        checkpoint_duration: duration(header.checkpoint_duration_ns),
        deadline: (deadline.get() != NO_DEADLINE).then(|| duration(deadline)),
        dependencies: Vec::new(),
    })
}

/// Returns whether there is at least one task, and all amounts are finite and not negative.
fn has_valid_numbers(header: &JobSpecHeader) -> bool {
    let amounts = [header.cpus, header.gpus, header.ram, header.image_gb];
    let is_valid = |amount: &F64| amount.get().is_finite() && amount.get() >= 0.0;
    header.tasks.get() > 0 && amounts.iter().all(is_valid)
}

/// Writes a job's dependencies, followed by its specification.
pub(super) fn encode_dependent_spec(spec: &JobSpec, out: &mut FrameWriter) {
    out.fixed(&length(spec.dependencies.len()));
    for id in &spec.dependencies {
        out.long_text(id);
    }
    encode_spec(spec, out);
}

/// Reads a job specification written by `encode_dependent_spec`; `None` if it is malformed or invalid.
pub(super) fn decode_dependent_spec(mut body: FrameReader) -> Option<JobSpec> {
    let count = *body.fixed::<U32>()?;
    let dependencies = body.list(count, |b| {
        let id = b.long_text()?;
        is_job_id(id).then(|| JobId::from(id))
    })?;
    if !dependencies.is_sorted_by(|a, b| **a < **b) {
        return None;
    }
    let spec = decode_spec(body)?;
    Some(JobSpec {
        dependencies,
        ..spec
    })
}
