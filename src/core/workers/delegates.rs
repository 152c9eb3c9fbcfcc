//! Delegates: the leader's records of the controllers that serve workers on its behalf. This module holds only the
//! data; `delegation` implements the protocol.

use crate::job::MachineId;
use burlusher_membership::grant::IssuedGrant;
use burlusher_membership::view::FailureDetectorTimeouts;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time without a message after which a controller is suspected or considered lost. A delegate sends a batch at least
/// every [`MAX_BATCH_INTERVAL`].
pub(in crate::core) const DELEGATE_TIMEOUTS: FailureDetectorTimeouts = FailureDetectorTimeouts {
    suspect_after: Duration::from_millis(1500),
    lost_after: Duration::from_millis(6000),
};
/// Maximum time between two batches from a delegate. If no heartbeats wait, it sends an empty batch to renew its grant.
pub(in crate::core) const MAX_BATCH_INTERVAL: Duration = Duration::from_millis(400);

/// A controller that serves workers on the leader's behalf.
pub struct Delegate {
    /// Grant under which the delegate may answer heartbeats itself.
    pub issued: IssuedGrant,
    /// Machines whose delegation is revoked and not yet confirmed as ended, each with the number of the first batch
    /// response that contained the revocation, or `None` if it has not been sent.
    pub revocations: BTreeMap<MachineId, Option<u64>>,
    /// Workers that the delegate is to redirect: the target controller and the number of workers for each target.
    pub reassignments: Vec<(String, u32)>,
    /// Whether machines may be delegated to this controller.
    pub has_delegations: bool,
}

/// All delegates, and the state of load balancing between the controllers.
#[derive(Default)]
pub struct Delegates {
    /// Delegates by the names of their controllers.
    pub by_name: BTreeMap<Arc<str>, Delegate>,
    /// Workers that the leader itself is to redirect: the target controller and the number of workers for each target.
    pub own_reassignments: Vec<(String, u32)>,
    /// Time of the last comparison of the controllers' loads.
    pub last_rebalance: Option<Instant>,
    /// Number of heartbeats that delegates have relayed, for the status view.
    pub relayed_heartbeats: u64,
    /// Number of heartbeats that delegates have answered themselves, for the status view.
    pub delegated_answers: u64,
}

impl Delegates {
    /// Returns the maximum delay until the leader learns of a heartbeat that a delegate answered.
    pub(in crate::core) fn delegation_delay(&self) -> Duration {
        if self.by_name.is_empty() {
            Duration::ZERO
        } else {
            MAX_BATCH_INTERVAL * 3 / 2
        }
    }
}
