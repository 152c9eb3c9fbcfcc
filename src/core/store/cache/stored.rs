//! Values as they are stored, under the keys that `keys` lists.

use crate::core::store::keys::PartGeneration;
use crate::job::{JobOutcome, JobSpec, MachineId, Resources};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Who leads.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderValue {
    /// The controller's name.
    pub name: String,
    /// Tells its process from an earlier one of the same name.
    #[serde(rename = "nonce")]
    pub process_nonce: u64,
    /// The lease that the key is attached to.
    pub lease: u64,
}

/// What is written of a store once, under the key with its identity.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct IdentityValue {
    /// The version of the forms in which keys and values are written.
    pub format: u32,
    /// The identity of the store that it continues, where that one lost data.
    #[serde(rename = "of")]
    pub lost_store: Option<String>,
    /// Its first term, if it was empty and taken for new.
    #[serde(default)]
    #[serde(rename = "first")]
    pub first_term: Option<u64>,
}

/// While this is in the store, what is absent from it may yet have been accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RebuildingValue {
    /// The identity of the store that lost data, if it was known.
    #[serde(rename = "of")]
    pub lost_store: Option<String>,
    /// When that was noticed, in milliseconds since 1970.
    pub since_ms: u64,
    #[serde(rename = "why")]
    /// How it was noticed.
    pub reason: String,
}

/// The newest term.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TermValue {
    /// Earlier versions call it `term` and cannot read this: having seen it, they cannot raise
    /// the term, so none of them leads again that would not know of the pages of machines.
    #[serde(rename = "era", alias = "term")]
    pub term: u64,
}

/// A job's stored form: all of it while it lives, how it ended afterwards.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(untagged)]
pub enum JobValue {
    /// A live job without dependencies.
    Live {
        /// As it was submitted.
        spec: Box<JobSpec>,
        /// Time at which the job was accepted, in milliseconds since the Unix epoch.
        submitted_ms: u64,
    },
    /// A live job with dependencies. Versions that do not know of this must not start it, and
    /// cannot: they read no job from it, and answer questions about it with 503, not with 404.
    WithDependencies {
        /// As it was submitted.
        dependent: Box<JobSpec>,
        /// Time at which the job was accepted, in milliseconds since the Unix epoch.
        submitted_ms: u64,
    },
    /// A live job, as long as that many parts under keys of their own.
    Multipart {
        /// How many parts it has.
        parts: u32,
        /// The writing of parts that it refers to.
        #[serde(rename = "stem")]
        generation: PartGeneration,
        /// Time at which the job was accepted, in milliseconds since the Unix epoch.
        submitted_ms: u64,
    },
    /// How a job ended; this is never written again.
    Ended {
        /// Its outcome.
        end: JobOutcome,
        /// Tasks of a cancelled job that may still be on machines. Earlier versions neither write nor read this.
        #[serde(rename = "left", default, skip_serializing_if = "Option::is_none")]
        residual_tasks: Option<ResidualTasks>,
    },
}

/// Tasks of a cancelled job that may still be on machines: it counts towards its team's limit until their leases
/// have expired, also for a leader that never knew the job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ResidualTasks {
    /// The team that the job is of.
    pub team: String,
    /// What each task takes.
    #[serde(rename = "needs")]
    pub resources: Resources,
    /// How many were not done when the job's end was written.
    pub tasks: u32,
    /// When that was, in milliseconds since 1970.
    #[serde(rename = "at_ms")]
    pub cancelled_ms: u64,
}

/// Whether a job's stored form says how it ended; only that of one that is over has an end.
pub(in crate::core) fn is_ended(value: &serde_json::Value) -> bool {
    JobOutcome::deserialize(&value["end"]).is_ok()
}

impl JobValue {
    /// The stored form of a live job that fits into one value.
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

/// A machine that may hold a task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineValue {
    /// Where its worker listens.
    pub addr: String,
    /// The name of its machine type.
    #[serde(rename = "kind")]
    pub machine_type: String,
    /// The zone that it is in.
    pub zone: String,
    /// Whether the cloud may take it back at any time.
    pub spot: bool,
}

/// A page of machines.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PageValue {
    /// The machines, by id.
    pub machines: BTreeMap<MachineId, MachineValue>,
}

/// Done tasks of a job.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DoneValue {
    /// Ranges, counted from the task in the key: "0-4,7".
    #[serde(rename = "rows")]
    pub tasks: String,
}
