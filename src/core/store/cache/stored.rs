//! Stored forms of the values. The module `keys` documents their keys.

use crate::core::store::keys::PartGeneration;
use crate::job::{JobOutcome, JobSpec, MachineId, Resources};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Current leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderValue {
    /// Name of the controller.
    pub name: String,
    /// Random number that distinguishes the process from earlier ones of the same controller.
    #[serde(rename = "nonce")]
    pub process_nonce: u64,
    /// Lease that the key is attached to.
    pub lease: u64,
}

/// Description of a store, written once under the key with its identity.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct IdentityValue {
    /// Version of the format of keys and values.
    pub format: u32,
    /// Identity that the store had before it lost data; `None` if it has lost none, or the identity is unknown.
    #[serde(rename = "of")]
    pub lost_store: Option<String>,
    /// First term of the store, if its first leader found it empty and assumed that it was new.
    #[serde(default)]
    #[serde(rename = "first")]
    pub first_term: Option<u64>,
}

/// Mark of an incomplete store: while it is present, jobs that are absent from the store may have been accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RebuildingValue {
    /// Identity of the store that lost data, if known.
    #[serde(rename = "of")]
    pub lost_store: Option<String>,
    /// Time at which the loss was detected, in milliseconds since the Unix epoch.
    pub since_ms: u64,
    /// How the loss was detected.
    #[serde(rename = "why")]
    pub reason: String,
}

/// Newest term.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TermValue {
    /// Number of the term. Earlier versions name the field `term` and cannot read this form, so they cannot raise the
    /// term and do not become leader again: they would not know the pages of machines.
    #[serde(rename = "era", alias = "term")]
    pub term: u64,
}

/// Stored form of a job: the whole job until it ends, its outcome afterwards.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(untagged)]
pub enum JobValue {
    /// Live job without dependencies.
    Live {
        /// Specification as submitted.
        spec: Box<JobSpec>,
        /// Time at which the job was accepted, in milliseconds since the Unix epoch.
        submitted_ms: u64,
    },
    /// Live job with dependencies. Versions that do not support dependencies must not start the job. They cannot
    /// parse this form, and respond to queries about the job with 503, not with 404.
    WithDependencies {
        /// Specification as submitted.
        dependent: Box<JobSpec>,
        /// Time at which the job was accepted, in milliseconds since the Unix epoch.
        submitted_ms: u64,
    },
    /// Live job that is stored in parts, under keys of their own.
    Multipart {
        /// Number of parts.
        parts: u32,
        /// Generation of the parts that this value refers to.
        #[serde(rename = "stem")]
        generation: PartGeneration,
        /// Time at which the job was accepted, in milliseconds since the Unix epoch.
        submitted_ms: u64,
    },
    /// Ended job; the key is never written again.
    Ended {
        /// Outcome of the job.
        end: JobOutcome,
        /// Tasks of a cancelled job that may still be on machines. Earlier versions neither write nor read this field.
        #[serde(rename = "left", default, skip_serializing_if = "Option::is_none")]
        residual_tasks: Option<ResidualTasks>,
    },
}

/// Tasks of a cancelled job that may still be on machines. They count towards their team's limit until the workers'
/// leases have expired. They are stored so that a later leader that has never seen the job counts them too.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ResidualTasks {
    /// Team of the job.
    pub team: String,
    /// Resources of each task.
    #[serde(rename = "needs")]
    pub resources: Resources,
    /// Number of tasks that were not done when the job's end was written.
    pub tasks: u32,
    /// Time of the cancellation, in milliseconds since the Unix epoch.
    #[serde(rename = "at_ms")]
    pub cancelled_ms: u64,
}

/// Returns whether the stored form of a job is that of an ended one, the only form with the field `end`.
pub(in crate::core) fn is_ended(value: &serde_json::Value) -> bool {
    JobOutcome::deserialize(&value["end"]).is_ok()
}

impl JobValue {
    /// Returns the stored form of a live job that fits into one value.
    pub fn live(spec: Box<JobSpec>, submitted_ms: u64) -> JobValue {
        if spec.dependencies.is_empty() {
            JobValue::Live { spec, submitted_ms }
        } else {
            JobValue::WithDependencies {
                dependent: spec,
                submitted_ms,
            }
        }
    }
}

/// Machine that may hold a task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineValue {
    /// Address on which the worker listens.
    pub addr: String,
    /// Name of the machine type.
    #[serde(rename = "kind")]
    pub machine_type: String,
    /// Zone of the machine.
    pub zone: String,
    /// Whether the cloud may reclaim the machine at any time.
    pub spot: bool,
}

/// Page of machines.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PageValue {
    /// Machines by id.
    pub machines: BTreeMap<MachineId, MachineValue>,
}

/// Range of a job's done tasks.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DoneValue {
    /// Done tasks as ranges relative to the first task, which is in the key: "0-4,7".
    #[serde(rename = "rows")]
    pub tasks: String,
}
