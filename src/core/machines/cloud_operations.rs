//! What the leader knows of the cloud's machines, and its calls that are in flight there. Data; `cloud_calls` makes
//! the calls.

use crate::job::MachineId;
use crate::wire::ScaleOutRequest;
use std::collections::BTreeMap;
use std::time::Instant;

/// What is known of the cloud's machines, and in flight there.
#[derive(Default)]
pub struct CloudOperations {
    /// Requests for machines without a final answer, by their names.
    pub scale_outs: BTreeMap<String, ScaleOutOperation>,
    /// The number that goes into the next request's name.
    pub last_request: u64,
    /// When the list of machines was last asked for.
    pub list_requested: Option<Instant>,
    /// A request for the list is in flight.
    pub list_in_flight: bool,
    /// How many machines the newest list had.
    pub listed_machines: usize,
    /// Machines to be deleted, and when to ask for that.
    pub deletions: BTreeMap<MachineId, Instant>,
    /// How many requests to delete machines are in flight.
    pub delete_calls_in_flight: usize,
}

/// A request for machines. It is repeated under the same name until it has a final answer, which makes it idempotent.
pub struct ScaleOutOperation {
    /// As sent.
    pub body: ScaleOutRequest,
    /// When it was first sent.
    pub since: Instant,
    /// The call that carries it, until that has an outcome.
    pub call: Option<u64>,
    /// When it is sent again if its outcome is unknown.
    pub retry_at: Instant,
}
