//! State of the leader's calls to the cloud: pending scale-outs, deletions and lists. This module holds data only;
//! `cloud_calls` makes the calls.

use crate::job::MachineId;
use crate::wire::ScaleOutRequest;
use std::collections::BTreeMap;
use std::time::Instant;

/// State of the leader's calls to the cloud.
#[derive(Default)]
pub struct CloudOperations {
    /// Scale-outs without a final response, by request name.
    pub scale_outs: BTreeMap<String, ScaleOutOperation>,
    /// Number in the name of the last scale-out.
    pub last_request: u64,
    /// Time of the last request for the list of machines.
    pub list_requested: Option<Instant>,
    /// Whether a request for the list is in flight.
    pub list_in_flight: bool,
    /// Number of machines in the newest list.
    pub listed_machines: usize,
    /// Machines to be deleted, each with the time of its next deletion request.
    pub deletions: BTreeMap<MachineId, Instant>,
    /// Number of deletion requests in flight.
    pub delete_calls_in_flight: usize,
}

/// Request for new machines. It is repeated under the same name until it gets a final response; the name makes it
/// idempotent.
pub struct ScaleOutOperation {
    /// Body of the request.
    pub body: ScaleOutRequest,
    /// Time at which the request was queued.
    pub since: Instant,
    /// Call in flight that carries the request.
    pub call: Option<u64>,
    /// Earliest time at which the request is sent next, for the first time or again after an unknown outcome.
    pub retry_at: Instant,
}
