//! A machine as the leader knows it: data that heartbeats, commands, failure detection and the calls to the
//! cloud act on. It imports none of them.

use crate::core::CallId;
use crate::core::machines::fault_history::FaultHistory;
use crate::core::machines::placement::{ExitedTask, Phase, Placement};
use crate::core::store::cache::MachineValue;
use crate::fault_injection::{Safeguard, is_enabled};
use crate::job::{MachineId, TaskId};
use crate::planning::cluster_snapshot::ImageTag;
use crate::wire::{Heartbeat, TaskState, TaskStatus};
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Fencing tokens are `term << TOKEN_EPOCH_BITS | epoch`; see `Machine::token_epoch`.
pub const TOKEN_EPOCH_BITS: u32 = 20;
/// A worker that gets no answer from one controller tries the next one this much later (the protocol's
/// 4 s and 1 s): after a cut it takes that long until heartbeats of all arrive again.
pub const WORKER_RETRY: Duration = Duration::from_secs(5);
/// Added to a worker's lease before its tasks count as gone: for drift, and for slow timers.
const LEASE_MARGIN: Duration = Duration::from_millis(1500);

/// From when a worker was last answered until its lease has run out for certain.
pub(in crate::core) fn lease_expiry(lease: Duration) -> Duration {
    lease + lease / 500 + LEASE_MARGIN
}

/// Why a machine is deleted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeletionReason {
    /// No heartbeats come from it, while its zone is reachable.
    Silent,
    /// It may hold tasks of an earlier term, and answers no calls.
    Unresponsive,
    /// The cloud gave notice to reclaim it, and it is silent since.
    Reclaimed,
    /// It has been silent for longer than its worker's lease.
    LeaseExpired,
    /// It took much too long to boot.
    BootTimeout,
    /// Tasks fail on it, or are much too slow there.
    Faulty,
    /// It has had nothing to do for long enough.
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

/// An image on a machine, or being fetched to it.
#[derive(Clone, Debug)]
pub struct CachedImage {
    /// Which image.
    pub tag: ImageTag,
    /// Its size in gigabytes.
    pub size_gb: f64,
}

/// A call made to find out whether a worker has restarted.
#[derive(Clone, Copy, Debug)]
pub struct RestartProbe {
    /// The incarnation and sequence number that were known when the call was made.
    pub known: (u64, u64),
    /// The call.
    pub call: CallId,
}

/// Direct calls to a machine's worker.
#[derive(Clone, Debug)]
pub struct DirectCalls {
    /// The call in flight.
    pub in_flight: Option<CallId>,
    /// No commands are sent by a call before this moment.
    pub retry_not_before: Instant,
    /// Consecutive calls that got no answer.
    pub failures: u32,
    /// The probe in flight that shows whether the worker has restarted.
    pub restart_probe: Option<RestartProbe>,
    /// The token of the last call that started something.
    pub started_under_token: u64,
}

/// A machine as the leader knows it.
pub struct Machine {
    /// Its name, never reused.
    pub id: MachineId,
    /// Its worker's address, empty until it is known.
    pub addr: String,
    /// The name of its type.
    pub machine_type: String,
    /// The zone that it is in.
    pub zone: String,
    /// Whether the cloud may reclaim it.
    pub spot: bool,
    /// The worker's incarnation in the newest heartbeat; 0 until the first one.
    pub incarnation: u64,
    /// The newest heartbeat's number within the incarnation.
    pub sequence: u64,
    /// When the newest heartbeat came, in answer to a call too.
    pub last_heartbeat: Instant,
    /// Receipt of the last heartbeat answered 200: its lease cannot have begun later.
    pub lease_renewed: Instant,
    /// When the first heartbeat of its incarnation came: it has its lease from when it began, and need not have been
    /// answered since.
    pub incarnation_since: Instant,
    /// Its tasks were counted as lost when its lease had run out; the incarnation is over.
    pub lease_expired: bool,
    /// The tasks that are, or may be, on it.
    pub tasks: BTreeMap<TaskId, Placement>,
    /// Exited tasks in its newest heartbeat.
    pub exited: Vec<ExitedTask>,
    /// Direct calls to its worker.
    pub direct_calls: DirectCalls,
    /// It gets no tasks before it has shown this token: its last incarnation ended although it was answered,
    /// or starts are not executed, so answers may not reach it.
    pub unconfirmed_token: Option<u64>,
    /// It has yet to show this term's token, and since when it has been answered with it.
    pub unproven_since: Option<Instant>,
    /// An earlier leader may have given it tasks that this one has not seen yet.
    pub unresolved: bool,
    /// Something ended on it, or it came up, since its last answer.
    pub capacity_freed: bool,
    /// The highest token that it has shown in this incarnation: a heartbeat with a lower one is older, or of
    /// another incarnation.
    pub highest_token: u64,
    /// It is in the state service and may get tasks.
    pub recorded: bool,
    /// Raised to outdate direct commands that got no answer: the worker refuses them once it has
    /// seen the higher token.
    pub token_epoch: u64,
    /// Direct commands may still arrive until the worker shows this token.
    pub in_doubt_until_token: Option<u64>,
    /// The last answer to a heartbeat carried starts that no later heartbeat has confirmed or denied.
    pub start_unconfirmed: bool,
    /// There are commands for it that should not wait for its next heartbeat.
    pub needs_push: bool,
    /// When it will be reclaimed, if the cloud gave notice.
    pub reclaim_at: Option<Instant>,
    /// Since when this leader knows it.
    pub known_since: Instant,
    /// When the first heartbeat came.
    pub up_since: Option<Instant>,
    /// How old it was when this leader came to know it.
    pub age: Duration,
    /// When the cloud's list first showed it.
    pub listed_since: Option<Instant>,
    /// It is being deleted, and why.
    pub deleting: Option<DeletionReason>,
    /// Since when it has no tasks, if it has none.
    pub idle_since: Instant,
    /// Images on it or being fetched, the latest used last.
    pub images: Vec<CachedImage>,
    /// Failures and slow runs that count against placing tasks on it.
    pub fault_history: FaultHistory,
    /// Whether planning takes it as open for tasks; time alone may change that.
    pub schedulable: bool,
    /// The controller that its newest heartbeat came by; `None`: it sends them to this one.
    pub via: Option<Arc<str>>,
    /// A controller that may answer its heartbeats from memory.
    pub delegated_to: Option<Arc<str>>,
    /// That delegation is revoked, and the controller has yet to confirm it.
    pub revoked: bool,
    /// Another controller shows it the token; until then it is not probed from here.
    pub claimed_until: Option<Instant>,
    /// It is among the changed machines of the registry.
    change_recorded: bool,
}

/// Whether a task's id as a worker writes it is this task's.
fn is_task(key: &TaskId, text: &str) -> bool {
    text.strip_prefix(&*key.job)
        .and_then(|rest| rest.strip_prefix('/'))
        .is_some_and(|index| index.parse() == Ok(key.index))
}

impl Machine {
    /// A machine of which nothing more is known yet.
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
                restart_probe: None,
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

    /// The fencing token of whatever is sent to it in this term.
    pub fn token(&self, term: u64) -> u64 {
        (term << TOKEN_EPOCH_BITS) | self.token_epoch
    }

    /// How old it is, as far as is known.
    pub fn age_at(&self, now: Instant) -> Duration {
        self.age + now.saturating_duration_since(self.known_since)
    }

    /// Whether a heartbeat contains nothing new, under this term's token: most do not, and with a
    /// thousand machines that each hold dozens of tasks, processing them in full every time was
    /// most of a leader's work.
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

    /// Whether a task is as it was in the heartbeat before.
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

    /// Nothing is open between it and the leader: a heartbeat that says the same as its last one
    /// would be answered with no commands.
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

    /// Answers may not reach it: a later token shows that they do.
    pub(in crate::core) fn require_token_proof(&mut self, term: u64) {
        self.token_epoch += 1;
        self.unconfirmed_token = Some(self.token(term));
    }

    /// No command that was sent can still arrive.
    pub(in crate::core) fn no_command_in_flight(&self) -> bool {
        self.direct_calls.in_flight.is_none() && self.in_doubt_until_token.is_none()
    }

    /// Notes that it is about to change, once until `clear_change_mark`.
    pub(super) fn mark_changed(&mut self, changed: &mut Vec<MachineId>) -> &mut Machine {
        if !self.change_recorded {
            self.change_recorded = true;
            changed.push(self.id.clone());
        }
        self
    }

    /// Its changes so far have been read.
    pub(super) fn clear_change_mark(&mut self) {
        self.change_recorded = false;
    }

    /// It can be given tasks now: its last heartbeat is younger than `max_silence`, and nothing is open.
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
            // Answers to direct calls renew no lease: without heartbeats, what is started dies with it.
            && (is_recent(self.lease_renewed) || !is_enabled(Safeguard::HeartbeatRequired))
    }

    /// Whether it gets no tasks now because of its latest failures.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.fault_history.avoid_until.is_some_and(|t| now < t)
    }

    /// A task uses this image: it is fetched to the machine's cache of `cache_gb`, and the images least
    /// recently used give way.
    pub fn use_image(&mut self, tag: ImageTag, size_gb: f64, cache_gb: f64) {
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
