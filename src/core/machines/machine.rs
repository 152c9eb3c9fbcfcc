//! A machine as the leader knows it: the data that the handling of heartbeats, the sending of commands, failure
//! detection and the calls to the cloud work on. This module depends on none of those modules.

use crate::core::CallId;
use crate::core::machines::fault_history::FaultHistory;
use crate::core::machines::placement::{ExitedTask, Phase, Placement};
use crate::core::store::cache::MachineValue;
use crate::fault_injection::{Safeguard, is_enabled};
use crate::job::{MachineId, TaskId};
use crate::planning::cluster_snapshot::ImageHash;
use crate::wire::{Heartbeat, TaskState, TaskStatus};
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Number of low bits of a fencing token that hold the epoch: a token is `term << TOKEN_EPOCH_BITS | epoch`; see
/// `Machine::token_epoch`.
pub const TOKEN_EPOCH_BITS: u32 = 20;
/// Delay after which a worker that gets no response from one controller tries the next one: by the protocol, a response
/// timeout of 4 s and a pause of 1 s. After a network partition heals, it takes this long until the heartbeats of all
/// workers arrive again.
pub const WORKER_RETRY: Duration = Duration::from_secs(5);
/// Margin added to a worker's lease before its tasks count as gone, for clock drift and slow timers.
const LEASE_MARGIN: Duration = Duration::from_millis(1500);

/// Returns the time from the last response to a worker until its lease has certainly run out.
pub(in crate::core) fn lease_expiry(lease: Duration) -> Duration {
    lease + lease / 500 + LEASE_MARGIN
}

/// Reason for deleting a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeletionReason {
    /// No heartbeats arrive from the machine, although its zone is reachable.
    Silent,
    /// The machine may hold tasks of an earlier term, and its worker does not respond to calls.
    Unresponsive,
    /// The cloud announced the machine's reclamation, and no heartbeats have arrived since that time.
    Reclaimed,
    /// No heartbeat has arrived for longer than the worker's lease.
    LeaseExpired,
    /// The machine took far longer to boot than its type announces.
    BootTimeout,
    /// Tasks fail on the machine, or run much slower than elsewhere.
    Faulty,
    /// The machine has been without tasks for longer than its idle timeout.
    Idle,
}

impl fmt::Display for DeletionReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            DeletionReason::Silent => "it is silent",
            DeletionReason::Unresponsive => "it does not answer",
            DeletionReason::Reclaimed => "it was to be taken and is silent",
            DeletionReason::LeaseExpired => "its lease ran out",
            DeletionReason::BootTimeout => "it never came up",
            DeletionReason::Faulty => "it is faulty",
            DeletionReason::Idle => "it is idle",
        })
    }
}

/// Container image that is on a machine or is being fetched to the machine.
#[derive(Clone, Debug)]
pub struct CachedImage {
    /// Hash of the image's name.
    pub tag: ImageHash,
    /// Size in gigabytes.
    pub size_gb: f64,
}

/// Direct call that has no reply yet.
#[derive(Clone, Copy, Debug)]
pub struct DirectCall {
    /// Id of the call.
    pub id: CallId,
    /// Incarnation and sequence number of the machine's newest heartbeat when the call was made. The reply has higher
    /// ones, unless the worker has restarted.
    pub newest_heartbeat: (u64, u64),
    /// Whether the call carries a higher token than all before. Only then are heartbeats from before a restart, which
    /// may still arrive, distinguished from later ones.
    pub raises_token: bool,
}

/// State of the direct calls from the leader to a machine's worker.
#[derive(Clone, Debug)]
pub struct DirectCalls {
    /// Call in flight.
    pub in_flight: Option<DirectCall>,
    /// Earliest time at which commands are sent by a direct call again.
    pub retry_not_before: Instant,
    /// Number of consecutive calls without a response.
    pub failures: u32,
    /// Fencing token of the last direct call that carried a command to start a task.
    pub started_under_token: u64,
}

/// Machine as the leader knows it.
pub struct Machine {
    /// Name of the machine; never reused.
    pub id: MachineId,
    /// Network address of the machine's worker; empty until known.
    pub addr: String,
    /// Name of the machine type.
    pub machine_type: String,
    /// Zone of the machine.
    pub zone: String,
    /// Whether the machine is a spot machine, which the cloud may reclaim.
    pub spot: bool,
    /// Worker's incarnation in the newest heartbeat; 0 until the first heartbeat.
    pub incarnation: u64,
    /// Sequence number of the newest heartbeat within the incarnation.
    pub sequence: u64,
    /// Time at which the newest heartbeat arrived, including those in replies to direct calls.
    pub last_heartbeat: Instant,
    /// Receipt of the last heartbeat that was answered with status 200: the worker's lease began no later than this.
    pub lease_renewed: Instant,
    /// Time at which the first heartbeat of the incarnation arrived. A worker has a lease from its start on, even if
    /// none of its heartbeats has been answered yet.
    pub incarnation_since: Instant,
    /// Whether the worker's lease has run out. Its tasks then count as lost, and the incarnation is over.
    pub lease_expired: bool,
    /// Tasks that are, or may be, on the machine.
    pub tasks: BTreeMap<TaskId, Placement>,
    /// Exited tasks in the newest heartbeat.
    pub exited: Vec<ExitedTask>,
    /// State of the direct calls to the worker.
    pub direct_calls: DirectCalls,
    /// Fencing token that a heartbeat has to contain before the machine gets tasks; set where responses may not reach
    /// the worker: its last incarnation ended although its heartbeats were answered, or it does not execute commands
    /// to start tasks.
    pub unconfirmed_token: Option<u64>,
    /// Time since which the worker has been answered with this term's fencing token without a heartbeat that
    /// contains the token.
    pub unproven_since: Option<Instant>,
    /// Whether the machine may hold tasks of an earlier leader that no heartbeat has shown to this leader yet.
    pub unresolved: bool,
    /// Whether a task has ended on the machine, or the machine has come up, since the last response to its heartbeats.
    pub capacity_freed: bool,
    /// Highest fencing token in a heartbeat of this incarnation: a heartbeat with a lower token is older or from
    /// another incarnation.
    pub highest_token: u64,
    /// Whether the machine is recorded in the state service. Only then may it get tasks, as a later leader has to know
    /// every machine that may hold tasks.
    pub recorded: bool,
    /// Low bits of the machine's fencing token. The epoch is raised to invalidate direct commands without a response:
    /// the worker rejects them once it has seen the higher token.
    pub token_epoch: u64,
    /// Fencing token that a heartbeat has to contain before it is certain that no direct command without a response
    /// can still arrive.
    pub in_doubt_until_token: Option<u64>,
    /// Whether the last response to a heartbeat carried commands to start tasks, and no later heartbeat has shown yet
    /// whether the worker received them.
    pub start_unconfirmed: bool,
    /// Whether there are commands for the machine that should not wait for its next heartbeat.
    pub needs_push: bool,
    /// Time of the machine's reclamation, if the cloud has announced it.
    pub reclaim_at: Option<Instant>,
    /// Time since which this leader knows the machine.
    pub known_since: Instant,
    /// Time at which the first heartbeat arrived.
    pub up_since: Option<Instant>,
    /// Age of the machine at `known_since`.
    pub age: Duration,
    /// Time at which the cloud's list first contained the machine.
    pub listed_since: Option<Instant>,
    /// Reason for the machine's deletion, if it is being deleted.
    pub deleting: Option<DeletionReason>,
    /// Time since which the machine has had no tasks; meaningful only while it has none.
    pub idle_since: Instant,
    /// Images that are on the machine or being fetched, the most recently used last.
    pub images: Vec<CachedImage>,
    /// Failures and slow runs, which count against placing tasks on the machine.
    pub fault_history: FaultHistory,
    /// Whether the planning snapshot shows the machine as open for tasks. The snapshot has to be refreshed when that
    /// changes, which may happen by the passage of time alone.
    pub schedulable: bool,
    /// Controller that relayed the newest heartbeat; `None` if the worker sends its heartbeats to this controller.
    pub via: Option<Arc<str>>,
    /// Controller that may answer the machine's heartbeats without asking the leader.
    pub delegated_to: Option<Arc<str>>,
    /// Whether that delegation has been revoked, but the controller has not confirmed the revocation yet.
    pub revoked: bool,
    /// Time before which this controller does not probe the machine: another controller probes it, or a heartbeat with
    /// the new token is due.
    pub claimed_until: Option<Instant>,
    /// Whether the machine is among the changed machines of the registry.
    change_recorded: bool,
}

/// Returns whether a task id as a worker writes it is that of `key`.
fn is_task(key: &TaskId, text: &str) -> bool {
    text.strip_prefix(&*key.job)
        .and_then(|rest| rest.strip_prefix('/'))
        .is_some_and(|index| index.parse() == Ok(key.index))
}

impl Machine {
    /// Creates a machine of which nothing else is known yet.
    pub fn new(id: MachineId, machine_type: &str, zone: &str, spot: bool, now: Instant) -> Machine {
        Machine {
            id,
            addr: String::new(),
            machine_type: machine_type.into(),
            zone: zone.into(),
            spot,
            incarnation: 0,
            sequence: 0,
            last_heartbeat: now,
            lease_renewed: now,
            incarnation_since: now,
            lease_expired: false,
            tasks: BTreeMap::new(),
            exited: Vec::new(),
            direct_calls: DirectCalls {
                in_flight: None,
                retry_not_before: now,
                failures: 0,
                started_under_token: 0,
            },
            unconfirmed_token: None,
            unproven_since: None,
            unresolved: false,
            capacity_freed: false,
            highest_token: 0,
            recorded: false,
            token_epoch: 0,
            in_doubt_until_token: None,
            start_unconfirmed: false,
            needs_push: false,
            reclaim_at: None,
            known_since: now,
            up_since: None,
            age: Duration::ZERO,
            listed_since: None,
            deleting: None,
            idle_since: now,
            images: Vec::new(),
            fault_history: FaultHistory::default(),
            schedulable: false,
            via: None,
            delegated_to: None,
            revoked: false,
            claimed_until: None,
            change_recorded: false,
        }
    }

    /// Returns the fencing token of the commands that are sent to the machine in this term.
    pub fn token(&self, term: u64) -> u64 {
        (term << TOKEN_EPOCH_BITS) | self.token_epoch
    }

    /// Returns the machine's age, as far as it is known.
    pub fn age_at(&self, now: Instant) -> Duration {
        self.age + now.saturating_duration_since(self.known_since)
    }

    /// Returns whether a heartbeat with this term's token contains nothing new. Most heartbeats do not, and with a
    /// thousand machines of dozens of tasks each, processing all of them in full was most of a leader's work.
    pub(in crate::core) fn is_unchanged_by(&self, heartbeat: &Heartbeat, term: u64) -> bool {
        let is_next_of_incarnation = heartbeat.incarnation == self.incarnation
            && heartbeat.sequence > self.sequence
            && heartbeat.fencing_token >= (term << TOKEN_EPOCH_BITS).max(self.highest_token);
        let nothing_pending = !self.lease_expired
            && self.recorded
            && self.in_doubt_until_token.is_none()
            && !self.start_unconfirmed
            && self.unconfirmed_token.is_none()
            && self.reclaim_at.is_none()
            && self.up_since.is_some();
        let same_machine = heartbeat.reclaim_in_s.is_none()
            && self.spot == heartbeat.spot
            && self.addr == heartbeat.addr
            && heartbeat.tasks.len() == self.tasks.len() + self.exited.len();
        is_next_of_incarnation
            && nothing_pending
            && same_machine
            && (heartbeat.tasks.iter()).all(|status| self.has_same_status(status))
    }

    /// Returns whether a task's status is the same as in the heartbeat before.
    fn has_same_status(&self, status: &TaskStatus) -> bool {
        if status.state == TaskState::Exited {
            return (self.exited.iter())
                .any(|e| e.attempt == status.attempt && is_task(&e.key, &status.task));
        }
        let phase = Phase::of(status.state);
        self.tasks.iter().any(|(key, task)| {
            task.attempt == status.attempt && task.phase == phase && is_task(key, &status.task)
        })
    }

    /// Returns whether a heartbeat with the same content as the last one would be answered without commands, as the
    /// machine and the leader await nothing from each other.
    pub(in crate::core) fn is_steady(&self) -> bool {
        self.incarnation > 0
            && self.recorded
            && !self.lease_expired
            && self.no_command_in_flight()
            && !self.start_unconfirmed
            && !self.needs_push
            && self.unconfirmed_token.is_none()
            && self.reclaim_at.is_none()
            && self.deleting.is_none()
            && self.exited.is_empty()
            && (self.tasks.values()).all(|t| t.phase != Phase::Unseen && t.stopping.is_none())
    }

    /// Raises the fencing token and requires the worker to report it before the machine gets tasks again, where
    /// responses may not reach the worker.
    pub(in crate::core) fn require_token_proof(&mut self, term: u64) {
        self.token_epoch += 1;
        self.unconfirmed_token = Some(self.token(term));
    }

    /// Records that a direct call is made now.
    pub(in crate::core) fn record_direct_call(&mut self, id: CallId, raises_token: bool) {
        self.direct_calls.in_flight = Some(DirectCall {
            id,
            newest_heartbeat: (self.incarnation, self.sequence),
            raises_token,
        });
    }

    /// Returns whether no direct command that was sent can still arrive.
    pub(in crate::core) fn no_command_in_flight(&self) -> bool {
        self.direct_calls.in_flight.is_none() && self.in_doubt_until_token.is_none()
    }

    /// Adds the machine to `changed`, once until `clear_change_mark` is called.
    pub(super) fn mark_changed(&mut self, changed: &mut Vec<MachineId>) -> &mut Machine {
        if !self.change_recorded {
            self.change_recorded = true;
            changed.push(self.id.clone());
        }
        self
    }

    /// Clears the mark that `mark_changed` sets, when the registry's changes are read.
    pub(super) fn clear_change_mark(&mut self) {
        self.change_recorded = false;
    }

    /// Returns whether the machine can be given tasks now: its last heartbeat is younger than `max_silence`, its lease
    /// is valid, it is not about to be removed, and no commands to it are in doubt.
    pub fn is_usable(&self, now: Instant, max_silence: Duration) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < max_silence;
        self.incarnation > 0
            && (self.recorded || !is_enabled(Safeguard::MachineRecords))
            && !self.lease_expired
            && self.deleting.is_none()
            && self.reclaim_at.is_none()
            && self.in_doubt_until_token.is_none()
            && self.unconfirmed_token.is_none()
            && is_recent(self.last_heartbeat)
            // Direct calls do not renew the lease. Without heartbeats it expires, and the worker kills its tasks.
            && (is_recent(self.lease_renewed) || !is_enabled(Safeguard::HeartbeatRequired))
    }

    /// Returns whether the machine gets no tasks now because of its latest failures.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.fault_history.avoid_until.is_some_and(|t| now < t)
    }

    /// Adds the image of a task to the machine's cache of `cache_gb`, and evicts the least recently used images
    /// where there is not enough space.
    pub fn use_image(&mut self, tag: ImageHash, size_gb: f64, cache_gb: f64) {
        self.images.retain(|image| image.tag != tag);
        self.images.push(CachedImage { tag, size_gb });
        let mut total: f64 = self.images.iter().map(|image| image.size_gb).sum();
        while total > cache_gb && self.images.len() > 1 {
            total -= self.images.remove(0).size_gb;
        }
    }
}

impl From<&Machine> for MachineValue {
    fn from(machine: &Machine) -> MachineValue {
        MachineValue {
            addr: machine.addr.clone(),
            machine_type: machine.machine_type.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
        }
    }
}
