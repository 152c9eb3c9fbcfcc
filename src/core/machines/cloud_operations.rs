//! State of the leader's calls to the cloud: pending scale-outs, deletions and lists. `cloud_calls`
//! makes the calls.

use crate::job::MachineId;
use crate::planning::cluster_snapshot::Offer;
use crate::wire::ScaleOutRequest;
use std::collections::BTreeMap;
use std::time::Instant;

/// State of the leader's calls to the cloud.
#[derive(Default)]
pub struct CloudOperations {
    /// Scale-outs without a final response, by the number in the request's name.
    pub scale_outs: BTreeMap<u64, ScaleOutOperation>,
    /// Number in the name of the last scale-out.
    pub last_request: u64,
    /// Number of the last scale-out of each offer that was sent.
    pub last_sent: BTreeMap<Offer, u64>,
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
    /// Whether the request has been sent: the cloud may have carried it out.
    pub sent: bool,
    /// Call in flight that carries the request.
    pub call: Option<u64>,
    /// Earliest time at which the request is sent next, for the first time or again after an unknown outcome.
    pub retry_at: Instant,
}

impl ScaleOutOperation {
    /// Returns the offer whose machines are requested.
    pub fn offer(&self) -> Offer {
        Offer::new(&self.body.machine_type, &self.body.zone, self.body.spot)
    }
}

impl CloudOperations {
    /// Drops the scale-outs that were not sent yet. The next plan requests the machines that are still needed.
    pub fn drop_unsent_scale_outs(&mut self) {
        self.scale_outs.retain(|_, operation| operation.sent);
    }
}
