//! What only a leader has. Data, put together from the data of each concern; it is created when a leadership begins
//! and dropped when it ends.

use crate::core::jobs::job_run::{JobRun, Urgency};
use crate::core::jobs::statistics::ArrivalRate;
use crate::core::leadership::liveness::Liveness;
use crate::core::leadership::recovery_state::Recovery;
use crate::core::machines::cloud_operations::CloudOperations;
use crate::core::machines::machine::Machine;
use crate::core::machines::registry::Machines;
use crate::core::scheduling::state::SchedulerState;
use crate::core::store::keys::{PartGeneration, identity_condition};
use crate::core::store::pending_writes::PendingWrites;
use crate::core::store::rebuild::Rebuild;
use crate::core::workers::delegates::Delegates;
use crate::job::{JobId, MachineId};
use crate::planning::cluster_snapshot::ClusterSnapshot;
use crate::wire::Condition;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What only a leader has.
pub struct LeaderState {
    /// The version of the leader key that began this leadership.
    pub key_version: u64,
    /// The term of this leadership, which no other leadership has.
    pub term: u64,
    /// When this leadership began.
    pub since: Instant,
    /// When it was last seen that the leader key exists, by when that was asked. Renewals of the lease alone prove
    /// nothing: in a store that has lost data its number may have been given to another process.
    pub leader_key_confirmed: Instant,
    /// All machines that this leader knows.
    pub machines: Machines,
    /// What planning and scaling see of the machines.
    pub cluster_snapshot: ClusterSnapshot,
    /// Machines that are deleted; what still arrives from them is old.
    pub deleted_machines: BTreeSet<MachineId>,
    /// Which machines may hold tasks of earlier leaders.
    pub recovery: Recovery,
    /// How many direct calls are in flight.
    pub direct_calls_in_flight: usize,
    /// Each live job's progress.
    pub job_runs: BTreeMap<JobId, JobRun>,
    /// Live jobs that depend on one whose cancellation is being written: that may be durable already, and another
    /// controller may have answered a user that they are cancelled.
    pub cancellation_pending: BTreeSet<JobId>,
    /// How urgent jobs are that more urgent ones depend on.
    pub inherited_urgency: BTreeMap<JobId, Urgency>,
    /// Parts of large jobs that no job refers to, and since when.
    pub unclaimed_parts: BTreeMap<(JobId, PartGeneration), Instant>,
    /// Changes that are to be written to the store.
    pub writes: PendingWrites,
    /// Operations in flight at the cloud.
    pub cloud: CloudOperations,
    /// What planning and scaling carry over from one step to the next.
    pub scheduler: SchedulerState,
    /// When machines and this leader were last known to be alive.
    pub liveness: Liveness,
    /// Controllers that serve workers for this one.
    pub delegates: Delegates,
    /// The store's identity and its version, on which all writes depend as on the leader key.
    pub identity: Option<(String, u64)>,
    /// While the store is incomplete.
    pub rebuild: Option<Rebuild>,
}

impl LeaderState {
    /// A leadership that begins now and knows nothing yet.
    pub(in crate::core) fn new(
        key_version: u64,
        term: u64,
        now: Instant,
        arrivals: ArrivalRate,
    ) -> LeaderState {
        LeaderState {
            key_version,
            term,
            since: now,
            leader_key_confirmed: now,
            machines: Machines::default(),
            cluster_snapshot: ClusterSnapshot::default(),
            deleted_machines: BTreeSet::new(),
            recovery: Recovery::default(),
            direct_calls_in_flight: 0,
            job_runs: BTreeMap::new(),
            cancellation_pending: BTreeSet::new(),
            inherited_urgency: BTreeMap::new(),
            unclaimed_parts: BTreeMap::new(),
            writes: PendingWrites::default(),
            cloud: CloudOperations::default(),
            scheduler: SchedulerState::new(arrivals),
            liveness: Liveness::new(now),
            delegates: Delegates::default(),
            identity: None,
            rebuild: None,
        }
    }

    /// The condition that the store is still the one it was.
 pub(in crate::core) fn identity_condition(&self) -> Option<Condition> {self.identity.as_ref().map(identity_condition) 
    }

    /// A worker's heartbeat came, here or through another controller.
    pub(in crate::core) fn record_heartbeat(&mut self, via: Option<&Arc<str>>, now: Instant) {
        self.liveness.record_heartbeat(now);
        if via.is_none() {
            self.liveness.record_direct_contact(now);
        }
    }

    /// Whether a machine may be given tasks now.
    pub fn accepts_tasks(&self, m: &Machine, now: Instant, heartbeat: Duration) -> bool {
        m.is_usable(now, heartbeat * 9 / 4) && !m.is_avoided(now) && !m.unresolved
    }
}
