//! The controllers that serve workers for the leader, as the leader knows them. Data; `delegation` acts on it.

use crate::job::MachineId;
use burlusher_membership::grant::IssuedGrant;
use burlusher_membership::view::FailureDetectorTimeouts;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A controller that serves workers says something at least every `HEARTBEAT`.
pub(in crate::core) const PATIENCE: FailureDetectorTimeouts = FailureDetectorTimeouts {
    suspect_after: Duration::from_millis(1500),
    lost_after: Duration::from_millis(6000),
};
/// With nothing to say, a frame goes to the leader this often: it keeps the grant.
pub(in crate::core) const HEARTBEAT: Duration = Duration::from_millis(400);

/// One controller that serves workers.
pub struct Delegate {
    pub issued: IssuedGrant,
    /// Machines not to be answered from memory, each with the answer that first said so.
    pub revocations: BTreeMap<MachineId, Option<u64>>,
    /// Workers it is to send elsewhere.
    pub reassignments: Vec<(String, u32)>,
    /// Machines may be lent to it.
    pub has_delegations: bool,
}

#[derive(Default)]
pub struct Delegates {
    pub by_name: BTreeMap<Arc<str>, Delegate>,
    /// Workers that report here and are to go elsewhere.
    pub own_reassignments: Vec<(String, u32)>,
    pub last_rebalance: Option<Instant>,
    /// Reports taken in that came by way of others, for the status view.
    pub relayed_heartbeats: u64,
    /// Those answered by others.
    pub delegated_answers: u64,
}

impl Delegates {
    /// How long after a report the leader may hear of it, where another controller answered it.
    pub(in crate::core) fn delegation_delay(&self) -> Duration {
        if self.by_name.is_empty() {
            Duration::ZERO
        } else {
            HEARTBEAT * 3 / 2
        }
    }
}
