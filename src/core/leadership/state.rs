//! The state that only a leader has, composed of the data of the other modules. It is created when a leadership
//! begins and dropped when the leadership ends.

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

/// The state that only a leader has.
pub struct LeaderState {
    /// Version of the leader key with which this leadership began.
    pub key_version: u64,
    /// Term of this leadership, unique to it.
    pub term: u64,
    /// Time at which this leadership began.
    pub since: Instant,
    /// Time at or after which the store last confirmed that the leader key exists. A successful renewal of the lease is
    /// no such confirmation: a store that has lost data may have assigned the lease's id to another process.
    pub leader_key_confirmed: Instant,
    /// Machines known to this leader.
    pub machines: Machines,
    /// The machines as planning and scaling see them.
    pub cluster_snapshot: ClusterSnapshot,
    /// Deleted machines; messages that still arrive from them are outdated.
    pub deleted_machines: BTreeSet<MachineId>,
    /// Progress of finding out which machines hold tasks of earlier leaders.
    pub recovery: Recovery,
    /// Number of direct calls to workers in flight.
    pub direct_calls_in_flight: usize,
    /// Progress of each live job.
    pub job_runs: BTreeMap<JobId, JobRun>,
    /// Live jobs that depend on a job whose cancellation is being written. The cancellation may be durable already,
    /// so another controller may have told a user that these jobs are cancelled.
    pub cancellation_pending: BTreeSet<JobId>,
    /// Urgency of jobs on which more urgent jobs depend.
    pub inherited_urgency: BTreeMap<JobId, Urgency>,
    /// Stored parts of large jobs to which no job refers, with the time at which that was first seen.
    pub unclaimed_parts: BTreeMap<(JobId, PartGeneration), Instant>,
    /// Changes that have yet to be written to the store.
    pub writes: PendingWrites,
    /// Cloud operations in progress.
    pub cloud: CloudOperations,
    /// State that planning and scaling keep between steps.
    pub scheduler: SchedulerState,
    /// Evidence of when zones, machines and this leader itself were last alive.
    pub liveness: Liveness,
    /// Controllers that serve workers on behalf of this leader.
    pub delegates: Delegates,
    /// Identity of the store and the version of its key. All writes are conditional on it, as on the leader key.
    pub identity: Option<(String, u64)>,
    /// Progress of rebuilding the store after a data loss; `None` while the store is complete.
    pub rebuild: Option<Rebuild>,
}

impl LeaderState {
    /// Creates the state of a leadership that begins at `now`, without any machines or jobs.
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

    /// Returns the condition that the store still has the identity it had when this leadership began; `None` if the
    /// store had no identity.
    pub(in crate::core) fn identity_condition(&self) -> Option<Condition> {
        self.identity.as_ref().map(identity_condition)
    }

    /// Records a worker's heartbeat, received directly or, with `via` set, through another controller.
    pub(in crate::core) fn record_heartbeat(&mut self, via: Option<&Arc<str>>, now: Instant) {
        self.liveness.record_heartbeat(now);
        if via.is_none() {
            self.liveness.record_direct_contact(now);
        }
    }

    /// Returns whether a machine may be given tasks now.
    pub fn accepts_tasks(&self, m: &Machine, now: Instant, heartbeat: Duration) -> bool {
        m.is_usable(now, heartbeat * 9 / 4) && !m.is_avoided(now) && !m.unresolved
    }
}
