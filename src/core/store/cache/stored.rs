//! Values as they are stored, under the keys that `store_cache` lists.

use crate::core::store::keys::PartGeneration;
use crate::job::{JobOutcome, JobSpec, MachineId, Resources};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderValue {
    pub name: String,
    #[serde(rename = "nonce")]
    pub process_nonce: u64,
    pub lease: u64,
}

/// What a store is told of itself, once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct IdentityValue {
    /// Of the forms in which keys and values are written.
    pub format: u32,
    /// The store that it continues, where that one lost data.
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
    /// The store that lost data, as far as anybody knew it.
    #[serde(rename = "of")]
    pub lost_store: Option<String>,
    /// When that was noticed, in milliseconds since 1970.
    pub since_ms: u64,
    #[serde(rename = "why")]
    pub reason: String,
}

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
    Live {
        spec: Box<JobSpec>,
        submitted_ms: u64,
    },
    /// A live job that awaits others. Versions that do not know of this must not start it, and
    /// cannot: they read no job from it, and answer questions about it with 503, not with 404.
    Awaiting {
        dependent: Box<JobSpec>,
        submitted_ms: u64,
    },
    /// A live job, as long as that many parts under keys of their own.
    Parted {
        parts: u32,
        stem: PartGeneration,
        submitted_ms: u64,
    },
    Over {
        end: JobOutcome,
        /// Earlier versions neither write nor read this.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        left: Option<ResidualTasks>,
    },
}

/// What of a cancelled job may still be on machines: it counts towards its team's limit until their leases
/// have run out, also for a leader that never knew the job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ResidualTasks {
    pub team: String,
    #[serde(rename = "needs")]
    pub resources: Resources,
    /// Those that were not done when its end was written, and when that was (milliseconds since 1970).
    pub tasks: u32,
    #[serde(rename = "at_ms")]
    pub cancelled_ms: u64,
}

/// Whether a job's stored form says how it ended; only that of one that is over has an end.
pub(in crate::core) fn is_over(value: &serde_json::Value) -> bool {
    JobOutcome::deserialize(&value["end"]).is_ok()
}

impl JobValue {
    pub fn live(spec: Box<JobSpec>, submitted_ms: u64) -> JobValue {
        if spec.dependencies.is_empty() {
            JobValue::Live { spec, submitted_ms }
        } else {
            JobValue::Awaiting {
                dependent: spec,
                submitted_ms,
            }
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineValue {
    pub addr: String,
    #[serde(rename = "kind")]
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PageValue {
    pub machines: BTreeMap<MachineId, MachineValue>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DoneValue {
    #[serde(rename = "rows")]
    pub tasks: String,
}
