//! What the leader knows of the cloud's machines, and its calls that are in flight there. Data; `cloud_calls` makes
//! the calls.

use crate::job::MachineId;
use crate::wire::ScaleOutRequest;
use std::collections::BTreeMap;
use std::time::Instant;

/// What is known and under way at the cloud.
#[derive(Default)]
pub struct CloudOperations {
    pub scale_outs: BTreeMap<String, ScaleOutOperation>,
    pub next_request: u64,
    pub list_requested: Option<Instant>,
    pub list_in_flight: bool,
    /// How many machines the newest list had.
    pub listed_machines: usize,
    pub deletions: BTreeMap<MachineId, Instant>,
    pub delete_calls_in_flight: usize,
}

pub struct ScaleOutOperation {
    pub body: ScaleOutRequest,
    pub since: Instant,
    pub call: Option<u64>,
    pub retry_at: Instant,
}
