//! What only a leader has: its lease and term, the machines and runs that it knows, what it writes, what
//! is under way at the cloud, and what it has lent. Data; what is done with it is in the modules above.

use crate::core::jobs::job_run::{ArrivalRate, JobRun, RuntimeRatio, Urgency};
use crate::core::machines::cloud_operations::CloudOperations;
use crate::core::machines::machine::{Machine, Machines};
use crate::core::scheduling::demand::Bidding;
use crate::core::store::keys::{PartGeneration, named};
use crate::core::store::pending_writes::Writes;
use crate::core::store::rebuild::Rebuild;
use crate::core::workers::delegates::Delegates;
use crate::core::workers::pending_responses::DeferredResponses;
use crate::job::{JobId, MachineId};
use crate::planning::cluster_snapshot::Board;
use crate::wire::Condition;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

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
    pub board: Board,
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
    pub bidding: Bidding,
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
            bidding: Bidding::default(),
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
            board: Board::default(),
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
