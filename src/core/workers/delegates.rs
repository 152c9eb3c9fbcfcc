//! Delegates: the controllers that serve workers for the leader, as the leader knows them. Data; `delegation` acts on
//! it.

use crate::job::MachineId;
use burlusher_membership::grant::IssuedGrant;
use burlusher_membership::view::FailureDetectorTimeouts;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// When a controller that serves workers is suspected or considered lost; it sends a batch at least every [`MAX_BATCH_INTERVAL`].
pub(in crate::core) const DELEGATE_TIMEOUTS: FailureDetectorTimeouts = FailureDetectorTimeouts {
    suspect_after: Duration::from_millis(1500),
    lost_after: Duration::from_millis(6000),
};
/// Without heartbeats to pass on, a delegate sends an empty batch to the leader this often: it keeps the grant.
pub(in crate::core) const MAX_BATCH_INTERVAL: Duration = Duration::from_millis(400);

/// One controller that serves workers.
pub struct Delegate {
    /// The grant by which it may answer heartbeats itself.
    pub issued: IssuedGrant,
    /// Machines whose heartbeats it may not answer any more, each with the number of the response that first said so.
    pub revocations: BTreeMap<MachineId, Option<u64>>,
    /// Workers that it is to redirect: to which controller, and how many.
    pub reassignments: Vec<(String, u32)>,
    /// Machines may be delegated to it.
    pub has_delegations: bool,
}

/// All delegates, and the balance of workers among controllers.
#[derive(Default)]
pub struct Delegates {
    /// By the controllers' names.
    pub by_name: BTreeMap<Arc<str>, Delegate>,
    /// Workers that send heartbeats to the leader itself and are to be redirected: to which controller, and how many.
    pub own_reassignments: Vec<(String, u32)>,
    /// When the controllers' loads were last compared.
    pub last_rebalance: Option<Instant>,
    /// How many heartbeats came through delegates, for the status view.
    pub relayed_heartbeats: u64,
    /// How many heartbeats delegates have answered themselves.
    pub delegated_answers: u64,
}

impl Delegates {
    /// How long after a heartbeat the leader may learn of it, if a delegate answered it.
    pub(in crate::core) fn delegation_delay(&self) -> Duration {
        if self.by_name.is_empty() {
            Duration::ZERO
        } else {
            MAX_BATCH_INTERVAL * 3 / 2
        }
    }
}
