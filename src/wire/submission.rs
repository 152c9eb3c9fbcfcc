//! Submissions of jobs: parsed, checked, and turned into the scheduler's terms.

use super::to_json;
use crate::job::{JobId, JobKind, JobSpec, Priority, Resources};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeSet;
use std::time::Duration;

/// All ids of jobs begin with this; digits follow.
pub const JOB_PREFIX: &str = "wk-";
/// Most tasks of one job.
pub(super) const MAX_TASKS: u64 = 100_000;
/// No amount or duration that a user may state is larger than this.
const MAX_AMOUNT: f64 = 1e9;
const MAX_NAME_BYTES: usize = 200;
const MAX_ID_DIGITS: usize = 32;

/// Why a submission cannot be accepted. The text is for the user.
#[derive(Debug, thiserror::Error)]
pub enum SubmissionError {
    /// The body is something else than an object.
    #[error("not a JSON object")]
    NotAnObject,
    /// Not JSON, a field is missing, or one has another type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The job's id has another form.
    #[error("name_id: not a job id")]
    JobId,
    /// An id of a job that this one depends on has another form.
    #[error("awaits: {0:?} is not a job id")]
    Dependency(String),
    /// No tasks, or too many.
    #[error("rows: must be 1 to {MAX_TASKS}")]
    TaskCount,
    /// An amount is negative, too large or not a number.
    #[error("{0}: out of range")]
    Amount(&'static str),
    /// A name is empty or too long.
    #[error("a name must have 1 to {MAX_NAME_BYTES} bytes")]
    Name,
}

/// A submission with the protocol's names.
#[derive(Deserialize, Serialize)]
struct SubmissionBody {
    name_id: String,
    crop: String,
    steward: String,
    shape: Shape,
    rank: Rank,
    rows: u64,
    cpus: f64,
    accelerators: f64,
    ram_gb: f64,
    seedstock: String,
    size_gb: f64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    breeds: Option<Vec<String>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    parcel: Option<String>,
    together: bool,
    scatter: bool,
    gleanable: bool,
    reckon_s: f64,
    harvest_s: f64,
    bale_s: f64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    due_s: Option<f64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    awaits: Option<BTreeSet<String>>,
}

/// A kind of jobs by the protocol's name. Read from a string only: an object with the name as its
/// only key would pass for an enum otherwise.
#[derive(Deserialize, Serialize, Clone, Copy)]
#[serde(rename_all = "lowercase", try_from = "String")]
enum Shape {
    Array,
    Service,
    Ensemble,
}

/// A priority by the protocol's name. Read from a string only, as `Shape`.
#[derive(Deserialize, Serialize, Clone, Copy)]
#[serde(rename_all = "lowercase", try_from = "String")]
enum Rank {
    Production,
    Urgent,
    Standard,
    Low,
}

/// A name that the protocol does not have.
#[derive(Debug, thiserror::Error)]
#[error("{field}: {name:?} is not known")]
struct UnknownName {
    field: &'static str,
    name: String,
}

impl TryFrom<String> for Shape {
    type Error = UnknownName;

    fn try_from(name: String) -> Result<Shape, UnknownName> {
        match name.as_str() {
            "array" => Ok(Shape::Array),
            "service" => Ok(Shape::Service),
            "ensemble" => Ok(Shape::Ensemble),
            _ => Err(UnknownName {
                field: "shape",
                name,
            }),
        }
    }
}

impl TryFrom<String> for Rank {
    type Error = UnknownName;

    fn try_from(name: String) -> Result<Rank, UnknownName> {
        match name.as_str() {
            "production" => Ok(Rank::Production),
            "urgent" => Ok(Rank::Urgent),
            "standard" => Ok(Rank::Standard),
            "low" => Ok(Rank::Low),
            _ => Err(UnknownName {
                field: "rank",
                name,
            }),
        }
    }
}

impl From<Shape> for JobKind {
    fn from(shape: Shape) -> JobKind {
        match shape {
            Shape::Array => JobKind::Array,
            Shape::Service => JobKind::Service,
            Shape::Ensemble => JobKind::Gang,
        }
    }
}

impl From<JobKind> for Shape {
    fn from(kind: JobKind) -> Shape {
        match kind {
            JobKind::Array => Shape::Array,
            JobKind::Service => Shape::Service,
            JobKind::Gang => Shape::Ensemble,
        }
    }
}

impl From<Rank> for Priority {
    fn from(rank: Rank) -> Priority {
        match rank {
            Rank::Production => Priority::Production,
            Rank::Urgent => Priority::High,
            Rank::Standard => Priority::Normal,
            Rank::Low => Priority::Low,
        }
    }
}

impl From<Priority> for Rank {
    fn from(priority: Priority) -> Rank {
        match priority {
            Priority::Production => Rank::Production,
            Priority::High => Rank::Urgent,
            Priority::Normal => Rank::Standard,
            Priority::Low => Rank::Low,
        }
    }
}

/// Whether `id` has the form of a job's id: the prefix and digits.
pub fn is_job_id(id: &str) -> bool {
    id.strip_prefix(JOB_PREFIX).is_some_and(|digits| {
        (1..=MAX_ID_DIGITS).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit())
    })
}

/// Reads and checks a submission.
///
/// # Errors
/// The first fault that is found; its text is for the user.
pub fn parse_submission(body: &[u8]) -> Result<JobSpec, SubmissionError> {
    // A list of values in the fields' order would pass for an object.
    let first = body.iter().find(|b| !b.is_ascii_whitespace());
    if first != Some(&b'{') {
        return Err(SubmissionError::NotAnObject);
    }
    let submission: SubmissionBody = serde_json::from_slice(body)?;
    submission.check_ids()?;
    if submission.rows == 0 || submission.rows > MAX_TASKS {
        return Err(SubmissionError::TaskCount);
    }
    submission.check_amounts()?;
    submission.check_names()?;
    Ok(submission.into_spec())
}

impl SubmissionBody {
    fn check_ids(&self) -> Result<(), SubmissionError> {
        if !is_job_id(&self.name_id) {
            return Err(SubmissionError::JobId);
        }
        let mut dependencies = self.awaits.iter().flatten();
        match dependencies.find(|id| !is_job_id(id)) {
            Some(id) => Err(SubmissionError::Dependency(id.clone())),
            None => Ok(()),
        }
    }

    fn check_amounts(&self) -> Result<(), SubmissionError> {
        let amounts = [
            ("cpus", self.cpus),
            ("accelerators", self.accelerators),
            ("ram_gb", self.ram_gb),
            ("size_gb", self.size_gb),
            ("reckon_s", self.reckon_s),
            ("harvest_s", self.harvest_s),
            ("bale_s", self.bale_s),
            ("due_s", self.due_s.unwrap_or(0.0)),
        ];
        match (amounts.iter()).find(|(_, amount)| !(0.0..=MAX_AMOUNT).contains(amount)) {
            Some((field, _)) => Err(SubmissionError::Amount(field)),
            None => Ok(()),
        }
    }

    fn check_names(&self) -> Result<(), SubmissionError> {
        let mut names = [&self.crop, &self.steward, &self.seedstock]
            .into_iter()
            .chain(&self.parcel)
            .chain(self.breeds.iter().flatten());
        if names.all(|name| (1..=MAX_NAME_BYTES).contains(&name.len())) {
            Ok(())
        } else {
            Err(SubmissionError::Name)
        }
    }

    /// What it says, once it has been checked.
    fn into_spec(self) -> JobSpec {
        let dependencies = self.awaits.unwrap_or_default();
        JobSpec {
            id: self.name_id.into(),
            class: self.crop,
            team: self.steward,
            job_kind: self.shape.into(),
            priority: self.rank.into(),
            tasks: self.rows as u32,
            resources: Resources {
                cpus: self.cpus,
                gpus: self.accelerators,
                ram: self.ram_gb,
            },
            image: self.seedstock,
            image_gb: self.size_gb,
            machine_types: self.breeds,
            zone: self.parcel,
            one_zone: self.together,
            spread: self.scatter,
            spot: self.gleanable,
            estimate: Duration::from_secs_f64(self.reckon_s),
            checkpoint_interval: Duration::from_secs_f64(self.harvest_s),
            checkpoint_duration: Duration::from_secs_f64(self.bale_s),
            deadline: self.due_s.map(Duration::from_secs_f64),
            dependencies: dependencies.into_iter().map(JobId::from).collect(),
        }
    }
}

/// A submission as users send it.
pub fn submission(spec: &JobSpec) -> Vec<u8> {
    let dependencies: BTreeSet<String> =
        spec.dependencies.iter().map(ToString::to_string).collect();
    to_json(&SubmissionBody {
        name_id: spec.id.to_string(),
        crop: spec.class.clone(),
        steward: spec.team.clone(),
        shape: spec.job_kind.into(),
        rank: spec.priority.into(),
        rows: u64::from(spec.tasks),
        cpus: spec.resources.cpus,
        accelerators: spec.resources.gpus,
        ram_gb: spec.resources.ram,
        seedstock: spec.image.clone(),
        size_gb: spec.image_gb,
        breeds: spec.machine_types.clone(),
        parcel: spec.zone.clone(),
        together: spec.one_zone,
        scatter: spec.spread,
        gleanable: spec.spot,
        reckon_s: spec.estimate.as_secs_f64(),
        harvest_s: spec.checkpoint_interval.as_secs_f64(),
        bale_s: spec.checkpoint_duration.as_secs_f64(),
        due_s: spec.deadline.map(|deadline| deadline.as_secs_f64()),
        awaits: (!dependencies.is_empty()).then_some(dependencies),
    })
}

/// The id in a submission that is otherwise unreadable, if it has one.
pub fn submitted_id(body: &[u8]) -> Option<String> {
    let submission: Value = serde_json::from_slice(body).ok()?;
    let id = submission.get("name_id")?.as_str()?;
    is_job_id(id).then(|| id.to_string())
}
