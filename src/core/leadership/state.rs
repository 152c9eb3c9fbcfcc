//! What only a leader has: its lease and term, the machines and runs that it knows, what it writes, what
//! is under way at the cloud, and what it has lent. Data; what is done with it is in the modules above.

use crate::core::jobs::job_run::{ArrivalRate, JobRun, RuntimeRatio, Urgency};
use crate::core::machines::machine::{Machine, Machines};
use crate::core::scheduling::bidding_state::BiddingState;
use crate::core::store::cache::ResidualTasks;
use crate::core::store::keys::{PartGeneration, named};
use crate::core::store::machine_records::MachineRecords;
use crate::core::store::rebuild::Rebuild;
use crate::core::workers::delegation::PendingBatch;
use crate::core::{CallId, Ticket};
use crate::job::{JobId, JobOutcome, MachineId};
use crate::planning::cluster_snapshot::ClusterSnapshot;
use crate::wire::{CompareAndSwap, Condition, ScaleOutRequest};
use burlusher_membership::grant::IssuedGrant;
use burlusher_membership::view::FailureDetectorTimeouts;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A controller that serves workers says something at least every `HEARTBEAT`.
pub(in crate::core) const PATIENCE: FailureDetectorTimeouts = FailureDetectorTimeouts {
    suspect_after: Duration::from_millis(1500),
    lost_after: Duration::from_millis(6000),
};
/// With nothing to say, a frame goes to the leader this often: it keeps the grant.
pub(in crate::core) const HEARTBEAT: Duration = Duration::from_millis(400);

#[derive(Clone, Copy, Debug)]
pub struct Lease {
    pub id: u64,
    /// When the last successful renewal was sent.
    pub renewed_at: Instant,
}

/// What only a leader has.
pub struct LeaderState {
    pub key_version: u64,
    pub term: u64,
    pub since: Instant,
    /// When it was last seen that the leader key stands, by when that was asked. Renewals of the lease
    /// alone prove nothing: in a store that has lost data its number may have been given again.
    pub leader_key_confirmed: Instant,
    pub machines: Machines,
    /// What placing and renting see of the machines.
    pub cluster_snapshot: ClusterSnapshot,
    /// Machines that are gone; what still arrives from them is old.
    pub deleted_machines: BTreeSet<MachineId>,
    pub recovery: Recovery,
    /// Direct calls on their way.
    pub direct_calls_in_flight: usize,
    pub job_runs: BTreeMap<JobId, JobRun>,
    /// Live jobs that need one whose cancellation is being written: that may be durable already,
    /// and another node may have told their users that they are cancelled.
    pub cancellation_pending: BTreeSet<JobId>,
    /// How urgent jobs are that are needed by more urgent ones.
    pub inherited_urgency: BTreeMap<JobId, Urgency>,
    /// Parts that no job refers to, and since when.
    pub unclaimed_parts: BTreeMap<(JobId, PartGeneration), Instant>,
    pub writes: Writes,
    pub cloud: CloudOperations,
    pub scheduler: SchedulerState,
    pub liveness: Liveness,
    /// Controllers that serve workers for this one.
    pub delegates: Delegates,
    /// The store's identity, on which all writes depend as on the leader key.
    pub identity: Option<(String, u64)>,
    /// While the store is incomplete.
    pub rebuild: Option<Rebuild>,
}

/// Which machines may hold tasks of an earlier leader, and how far they have been probed.
#[derive(Default)]
pub struct Recovery {
    /// How many machines there are that an earlier leader may have given tasks that we have not seen yet.
    pub unresolved: usize,
    /// Those of them that are still to be asked, the next one last.
    pub to_probe: Vec<MachineId>,
    /// Those that did not answer and are asked once more, and when.
    pub retries: BTreeSet<(Instant, MachineId)>,
    /// How many there were when this leader began, until nearly all are known.
    pub initially_unresolved: usize,
    /// Zones in which a machine has answered a call: elsewhere, a call without an answer says nothing of
    /// the machine.
    pub reachable_zones: BTreeSet<String>,
}

/// When machines, zones and this leader itself were last known to be alive.
pub struct Liveness {
    /// Silence proves nothing before this moment.
    pub silence_excused_until: Instant,
    /// When this leader was last able to act.
    pub last_able_to_act: Instant,
    pub last_heartbeat: Option<Instant>,
    /// When a worker last reported here or answered a direct call, and how many such calls have
    /// failed since.
    pub last_direct_contact: Instant,
    pub failed_direct_calls: u32,
    /// With as many machines as there are, silence for this long means that this node does not
    /// hear them.
    pub silence_limit: Duration,
    pub last_machine_check: Option<Instant>,
    /// Zones that are heard, and since when without a break.
    pub zone_reachable_since: BTreeMap<String, Instant>,
}

impl Liveness {
    fn new(now: Instant) -> Liveness {
        Liveness {
            silence_excused_until: now,
            last_able_to_act: now,
            last_heartbeat: None,
            last_direct_contact: now,
            failed_direct_calls: 0,
            silence_limit: Duration::ZERO,
            last_machine_check: None,
            zone_reachable_since: BTreeMap::new(),
        }
    }
}

/// What planning and scaling carry over from one step to the next.
pub struct SchedulerState {
    pub attempts: u64,
    pub last_plan: Option<Instant>,
    pub plan_again: bool,
    /// Which jobs lie within their team's guarantee is to be found out again.
    pub guarantees_changed: bool,
    /// Work waited for room at the last plan.
    pub has_pending_demand: bool,
    /// Reports of machines that were freed, and frames with such: their answers wait for the next plan,
    /// so that they say what to start.
    pub deferred_responses: DeferredResponses,
    pub last_scaling: Option<Instant>,
    pub last_status_log: Option<Instant>,
    /// The head of the queue and when it may start, for the status view.
    pub queue_head: Option<(JobId, Option<Duration>)>,
    /// How actual run times compare with estimates, by class.
    pub runtime_ratios: BTreeMap<String, RuntimeRatio>,
    pub arrivals: ArrivalRate,
    pub bidding: BiddingState,
}

impl SchedulerState {
    fn new(arrivals: ArrivalRate) -> SchedulerState {
        SchedulerState {
            attempts: 0,
            last_plan: None,
            plan_again: true,
            guarantees_changed: true,
            has_pending_demand: false,
            deferred_responses: DeferredResponses::default(),
            last_scaling: None,
            last_status_log: None,
            queue_head: None,
            runtime_ratios: BTreeMap::new(),
            arrivals,
            bidding: BiddingState::default(),
        }
    }
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
            writes: Writes::default(),
            cloud: CloudOperations::default(),
            scheduler: SchedulerState::new(arrivals),
            liveness: Liveness::new(now),
            delegates: Delegates::default(),
            identity: None,
            rebuild: None,
        }
    }

    /// That the store is still the one it was.
    pub(in crate::core) fn named(&self) -> Option<Condition> {
        self.identity.as_ref().map(named)
    }

    /// A worker is heard, here or by way of another controller.
    pub(in crate::core) fn record_heartbeat(&mut self, via: Option<&Arc<str>>, now: Instant) {
        self.liveness.last_heartbeat = Some(now);
        if via.is_none() {
            (
                self.liveness.last_direct_contact,
                self.liveness.failed_direct_calls,
            ) = (now, 0);
        }
    }

    /// Whether a machine may be given tasks now.
    pub fn accepts_tasks(&self, m: &Machine, now: Instant, heartbeat: Duration) -> bool {
        m.usable(now, heartbeat * 9 / 4) && !m.avoided(now) && !m.unresolved
    }
}

#[derive(Default)]
pub struct DeferredResponses {
    pub heartbeats: Vec<(Ticket, MachineId)>,
    pub batches: Vec<PendingBatch>,
}

/// One durable change of the leader's.
#[derive(Clone, Debug)]
pub enum WriteOp {
    /// With what may be left of it on machines.
    End(JobId, JobOutcome, Option<ResidualTasks>),
    Progress(JobId, Vec<u32>),
    /// Pages of machines, and who is on them.
    Pages(Vec<usize>, Vec<MachineId>),
    Types,
    /// A job that the store had lost, or so many parts of it.
    Owed(JobId),
    OwedParts(JobId, usize),
    /// The store is whole again.
    Rebuilt,
}

/// Changes that wait for the next transaction, and the one that is on its way.
#[derive(Default)]
pub struct Writes {
    pub ends: BTreeMap<JobId, JobOutcome>,
    /// Jobs cancelled with one that they need: that is durable already, and these follow.
    pub followers: BTreeSet<JobId>,
    /// Jobs with done tasks that are not written yet, and since when.
    pub progress: BTreeMap<JobId, Instant>,
    pub records: MachineRecords,
    pub machine_types: bool,
    /// The mark of an incomplete store is to be taken off.
    pub rebuild_complete: bool,
    /// How many parts are written of large jobs that are owed.
    pub missing_parts_written: BTreeMap<JobId, usize>,
    pub in_flight: Option<InFlightWrite>,
    /// Nothing is sent before the copy is as new as this: a write was refused for what had changed then.
    pub minimum_revision: u64,
    /// Writes refused for that in a row.
    pub conflicts: u32,
    /// Changes that a transaction may have, if the service refused one of those allowed.
    pub max_changes: Option<usize>,
    /// Keys that the service refuses to have put, and until when that is not tried again.
    pub quarantined_keys: BTreeMap<String, Instant>,
}

/// The transaction that is on its way, or whose outcome is unknown.
pub struct InFlightWrite {
    pub txn: CompareAndSwap,
    pub ops: Vec<WriteOp>,
    pub call: Option<CallId>,
    pub retry_at: Instant,
    /// Where the state service shows it to have been committed.
    pub committed: Option<u64>,
    /// It was refused for what the state service held at some revision: whether that is its own first copy
    /// is known when this process's copy of the store has come as far.
    pub refused: Option<RefusedWrite>,
}

/// A refused transaction, until it is known who made the change for which it was refused.
pub struct RefusedWrite {
    pub conflicting_keys: Vec<String>,
    pub revision: u64,
    pub since: Instant,
}

impl InFlightWrite {
    pub fn new(
        txn: CompareAndSwap,
        ops: Vec<WriteOp>,
        call: CallId,
        now: Instant,
    ) -> InFlightWrite {
        InFlightWrite {
            txn,
            ops,
            call: Some(call),
            retry_at: now,
            committed: None,
            refused: None,
        }
    }
}

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
