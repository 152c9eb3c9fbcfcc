//! Parses and validates job submissions and converts them to job specifications.

use super::to_json;
use crate::job::{JobId, JobKind, JobSpec, Priority, Resources};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeSet;
use std::time::Duration;

/// Prefix of all job ids; digits follow it.
pub const JOB_PREFIX: &str = "wk-";
/// Maximum number of tasks of one job.
pub(super) const MAX_TASKS: u64 = 100_000;
/// Maximum of every amount and duration (in seconds) in a submission.
const MAX_AMOUNT: f64 = 1e9;
const MAX_NAME_BYTES: usize = 200;
const MAX_ID_DIGITS: usize = 32;

/// Reason why a submission is rejected. The text is shown to the user.
#[derive(Debug, thiserror::Error)]
pub enum SubmissionError {
    /// The body is not a JSON object.
    #[error("not a JSON object")]
    NotAnObject,
    /// The body is not JSON, a field is missing, or a field has the wrong type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The job's id is malformed.
    #[error("name_id: not a job id")]
    JobId,
    /// The id of a dependency is malformed.
    #[error("awaits: {0:?} is not a job id")]
    Dependency(String),
    /// The job has no tasks, or too many.
    #[error("rows: must be 1 to {MAX_TASKS}")]
    TaskCount,
    /// An amount is negative, too large or not a number.
    #[error("{0}: out of range")]
    Amount(&'static str),
    /// A name is empty or too long.
    #[error("a name must have 1 to {MAX_NAME_BYTES} bytes")]
    Name,
}

/// A submission as transmitted.
#[derive(Deserialize, Serialize)]
struct SubmissionBody {
    #[serde(rename = "name_id")]
    id: String,
    #[serde(rename = "crop")]
    class: String,
    #[serde(rename = "steward")]
    team: String,
    #[serde(rename = "shape")]
    job_kind: WireJobKind,
    #[serde(rename = "rank")]
    priority: WirePriority,
    #[serde(rename = "rows")]
    tasks: u64,
    cpus: f64,
    #[serde(rename = "accelerators")]
    gpus: f64,
    #[serde(rename = "ram_gb")]
    ram: f64,
    #[serde(rename = "seedstock")]
    image: String,
    #[serde(rename = "size_gb")]
    image_gb: f64,
    #[serde(rename = "breeds", default, skip_serializing_if = "Option::is_none")]
    machine_types: Option<Vec<String>>,
    #[serde(rename = "parcel", default, skip_serializing_if = "Option::is_none")]
    zone: Option<String>,
    #[serde(rename = "together")]
    one_zone: bool,
    #[serde(rename = "scatter")]
    spread: bool,
    #[serde(rename = "gleanable")]
    spot: bool,
    #[serde(rename = "reckon_s")]
    estimate_s: f64,
    #[serde(rename = "harvest_s")]
    checkpoint_interval_s: f64,
    #[serde(rename = "bale_s")]
    checkpoint_duration_s: f64,
    #[serde(rename = "due_s", default, skip_serializing_if = "Option::is_none")]
    deadline_s: Option<f64>,
    #[serde(rename = "awaits", default, skip_serializing_if = "Option::is_none")]
    dependencies: Option<BTreeSet<String>>,
}

/// A job kind as transmitted. Deserialised from a string only: serde would otherwise also accept an
/// object with the name as its only key.
#[derive(Deserialize, Serialize, Clone, Copy)]
#[serde(rename_all = "lowercase", try_from = "String")]
enum WireJobKind {
    Array,
    Service,
    #[serde(rename = "ensemble")]
    Gang,
}

/// A priority as transmitted. Deserialised from a string only, like `WireJobKind`.
#[derive(Deserialize, Serialize, Clone, Copy)]
#[serde(rename_all = "lowercase", try_from = "String")]
enum WirePriority {
    Production,
    #[serde(rename = "urgent")]
    High,
    #[serde(rename = "standard")]
    Normal,
    Low,
}

/// Error for a name that the protocol does not define.
#[derive(Debug, thiserror::Error)]
#[error("{field}: {name:?} is not known")]
struct UnknownName {
    field: &'static str,
    name: String,
}

impl TryFrom<String> for WireJobKind {
    type Error = UnknownName;

    fn try_from(name: String) -> Result<WireJobKind, UnknownName> {
        match name.as_str() {
            "array" => Ok(WireJobKind::Array),
            "service" => Ok(WireJobKind::Service),
            "ensemble" => Ok(WireJobKind::Gang),
            _ => Err(UnknownName {
                field: "shape",
                name,
            }),
        }
    }
}

impl TryFrom<String> for WirePriority {
    type Error = UnknownName;

    fn try_from(name: String) -> Result<WirePriority, UnknownName> {
        match name.as_str() {
            "production" => Ok(WirePriority::Production),
            "urgent" => Ok(WirePriority::High),
            "standard" => Ok(WirePriority::Normal),
            "low" => Ok(WirePriority::Low),
            _ => Err(UnknownName {
                field: "rank",
                name,
            }),
        }
    }
}

impl From<WireJobKind> for JobKind {
    fn from(kind: WireJobKind) -> JobKind {
        match kind {
            WireJobKind::Array => JobKind::Array,
            WireJobKind::Service => JobKind::Service,
            WireJobKind::Gang => JobKind::Gang,
        }
    }
}

impl From<JobKind> for WireJobKind {
    fn from(kind: JobKind) -> WireJobKind {
        match kind {
            JobKind::Array => WireJobKind::Array,
            JobKind::Service => WireJobKind::Service,
            JobKind::Gang => WireJobKind::Gang,
        }
    }
}

impl From<WirePriority> for Priority {
    fn from(priority: WirePriority) -> Priority {
        match priority {
            WirePriority::Production => Priority::Production,
            WirePriority::High => Priority::High,
            WirePriority::Normal => Priority::Normal,
            WirePriority::Low => Priority::Low,
        }
    }
}

impl From<Priority> for WirePriority {
    fn from(priority: Priority) -> WirePriority {
        match priority {
            Priority::Production => WirePriority::Production,
            Priority::High => WirePriority::High,
            Priority::Normal => WirePriority::Normal,
            Priority::Low => WirePriority::Low,
        }
    }
}

/// Returns whether `id` has the form of a job id: the prefix and digits.
pub fn is_job_id(id: &str) -> bool {
    id.strip_prefix(JOB_PREFIX).is_some_and(|digits| {
        (1..=MAX_ID_DIGITS).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit())
    })
}

/// Parses and validates a submission.
///
/// # Errors
/// The first problem that is found; its text is shown to the user.
pub fn parse_submission(body: &[u8]) -> Result<JobSpec, SubmissionError> {
    // serde would also accept an array of the values in the order of the fields.
    let first = body.iter().find(|b| !b.is_ascii_whitespace());
    if first != Some(&b'{') {
        return Err(SubmissionError::NotAnObject);
    }
    let submission: SubmissionBody = serde_json::from_slice(body)?;
    submission.check_ids()?;
    if submission.tasks == 0 || submission.tasks > MAX_TASKS {
        return Err(SubmissionError::TaskCount);
    }
    submission.check_amounts()?;
    submission.check_names()?;
    Ok(submission.into_spec())
}

impl SubmissionBody {
    fn check_ids(&self) -> Result<(), SubmissionError> {
        if !is_job_id(&self.id) {
            return Err(SubmissionError::JobId);
        }
        let mut dependencies = self.dependencies.iter().flatten();
        match dependencies.find(|id| !is_job_id(id)) {
            Some(id) => Err(SubmissionError::Dependency(id.clone())),
            None => Ok(()),
        }
    }

    fn check_amounts(&self) -> Result<(), SubmissionError> {
        let amounts = [
            ("cpus", self.cpus),
            ("accelerators", self.gpus),
            ("ram_gb", self.ram),
            ("size_gb", self.image_gb),
            ("reckon_s", self.estimate_s),
            ("harvest_s", self.checkpoint_interval_s),
            ("bale_s", self.checkpoint_duration_s),
            ("due_s", self.deadline_s.unwrap_or(0.0)),
        ];
        match (amounts.iter()).find(|(_, amount)| !(0.0..=MAX_AMOUNT).contains(amount)) {
            Some((field, _)) => Err(SubmissionError::Amount(field)),
            None => Ok(()),
        }
    }

    fn check_names(&self) -> Result<(), SubmissionError> {
        let mut names = [&self.class, &self.team, &self.image]
            .into_iter()
            .chain(&self.zone)
            .chain(self.machine_types.iter().flatten());
        if names.all(|name| (1..=MAX_NAME_BYTES).contains(&name.len())) {
            Ok(())
        } else {
            Err(SubmissionError::Name)
        }
    }

    /// Converts a validated submission to a job specification.
    fn into_spec(self) -> JobSpec {
        let dependencies = self.dependencies.unwrap_or_default();
        JobSpec {
            id: self.id.into(),
            class: self.class,
            team: self.team,
            job_kind: self.job_kind.into(),
            priority: self.priority.into(),
            tasks: self.tasks as u32,
            resources: Resources {
                cpus: self.cpus,
                gpus: self.gpus,
                ram: self.ram,
            },
            image: self.image,
            image_gb: self.image_gb,
            machine_types: self.machine_types,
            zone: self.zone,
            one_zone: self.one_zone,
            spread: self.spread,
            spot: self.spot,
            estimate: Duration::from_secs_f64(self.estimate_s),
            checkpoint_interval: Duration::from_secs_f64(self.checkpoint_interval_s),
            checkpoint_duration: Duration::from_secs_f64(self.checkpoint_duration_s),
            deadline: self.deadline_s.map(Duration::from_secs_f64),
            dependencies: dependencies.into_iter().map(JobId::from).collect(),
        }
    }
}

/// Encodes a submission as users send it.
pub fn encode_submission(spec: &JobSpec) -> Vec<u8> {
    let dependencies: BTreeSet<String> =
        spec.dependencies.iter().map(ToString::to_string).collect();
    to_json(&SubmissionBody {
        id: spec.id.to_string(),
        class: spec.class.clone(),
        team: spec.team.clone(),
        job_kind: spec.job_kind.into(),
        priority: spec.priority.into(),
        tasks: u64::from(spec.tasks),
        cpus: spec.resources.cpus,
        gpus: spec.resources.gpus,
        ram: spec.resources.ram,
        image: spec.image.clone(),
        image_gb: spec.image_gb,
        machine_types: spec.machine_types.clone(),
        zone: spec.zone.clone(),
        one_zone: spec.one_zone,
        spread: spec.spread,
        spot: spec.spot,
        estimate_s: spec.estimate.as_secs_f64(),
        checkpoint_interval_s: spec.checkpoint_interval.as_secs_f64(),
        checkpoint_duration_s: spec.checkpoint_duration.as_secs_f64(),
        deadline_s: spec.deadline.map(|deadline| deadline.as_secs_f64()),
        dependencies: (!dependencies.is_empty()).then_some(dependencies),
    })
}

/// Returns the job id of a submission that is otherwise invalid, if it has a valid one.
pub fn submitted_id(body: &[u8]) -> Option<String> {
    let submission: Value = serde_json::from_slice(body).ok()?;
    let id = submission.get("name_id")?.as_str()?;
    is_job_id(id).then(|| id.to_string())
}
