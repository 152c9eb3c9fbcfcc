//! A machine as the leader knows it: data that reports, commands, losses and renting act on. It
//! imports nothing of theirs.

use crate::fault_injection::{Safeguard, is_enabled};
use crate::job::{JobId, MachineId, Resources, TaskId};
use crate::planning::cluster_snapshot::ImageTag;
use crate::wire::{Heartbeat, TaskState};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Tokens are `term << TOKEN_EPOCH_BITS | epoch`; see `Machine::epoch`.
pub const TOKEN_EPOCH_BITS: u32 = 20;
/// A worker that gets no answer at one node tries the next one this much later (the protocol's
/// 4 s and 1 s): after a cut it takes that long until all are heard again.
pub const WORKER_RETRY: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// Its job is over, or it should not be here.
    Over,
    /// Room is needed for other work.
    Preempted,
    /// Its machine will be taken.
    Moved,
    /// Its gang has lost a task and starts again.
    Regrouped,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Told to start, but not seen yet: it may be there, and may come to be there.
    Unseen,
    Fetching,
    Running,
    Saving,
}

impl Phase {
    pub(in crate::core) fn of(state: TaskState) -> Phase {
        match state {
            TaskState::Fetching => Phase::Fetching,
            TaskState::Saving => Phase::Saving,
            _ => Phase::Running,
        }
    }
}

/// A task that is, or may be, on a machine.
#[derive(Clone, Debug)]
pub struct Placement {
    pub attempt: u64,
    pub phase: Phase,
    pub since: Instant,
    pub running_since: Option<Instant>,
    pub stopping: Option<(StopReason, Instant)>,
    /// What it takes; kept here as it holds its room even after its job is over.
    pub resources: Resources,
    /// The team whose limit it counts toward, by its place in the settings.
    pub team: Option<usize>,
}

impl Placement {
    pub fn runs(&self) -> bool {
        matches!(self.phase, Phase::Running | Phase::Saving)
    }

    pub fn stop(&mut self, reason: StopReason, now: Instant) {
        match self.stopping {
            Some((StopReason::Over, _)) => {}
            Some((_, since)) if reason == StopReason::Over => {
                self.stopping = Some((reason, since));
            }
            Some(_) => {}
            None => self.stopping = Some((reason, now)),
        }
    }
}

/// A task that ended on a machine and is still in its reports.
#[derive(Clone, Debug, PartialEq)]
pub struct Exited {
    pub key: TaskId,
    pub attempt: u64,
    /// It may have been started by a direct command that came with this token, or with a lower one.
    pub started_under_token: u64,
}

pub struct Machine {
    pub id: MachineId,
    pub addr: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    /// 0 until its first report.
    pub incarnation: u64,
    pub sequence: u64,
    pub last_heartbeat: Instant,
    /// Receipt of the last report answered 200: its lease cannot have begun later.
    pub lease_renewed: Instant,
    /// When its session was first heard of: it has its lease from when it began, and need not have been
    /// answered since.
    pub incarnation_since: Instant,
    /// Its tasks were counted out when its lease had run out; the session is over.
    pub lease_expired: bool,
    pub tasks: BTreeMap<TaskId, Placement>,
    /// Exited tasks in its newest report.
    pub exited: Vec<Exited>,
    /// The token under which it was last told directly to start something.
    pub started_under_token: u64,
    /// It gets no tasks before it has shown this token: its last session ended although it was answered,
    /// or starts do not come to be, so what it is told may not reach it.
    pub unconfirmed_token: Option<u64>,
    /// It has yet to show this term's token, and since when it has been answered with it.
    pub unproven_since: Option<Instant>,
    /// An earlier leader may have given it tasks that we have not seen yet.
    pub unresolved: bool,
    /// Something ended on it, or it came up, since it was last told anything.
    pub freed: bool,
    /// Its session and sequence when a call was made to find out whether it has begun anew, and that
    /// call.
    pub restart_probe: Option<((u64, u64), u64)>,
    /// The highest token that it has shown in this life of its: what shows a lower one is older, or of
    /// another life.
    pub highest_token: u64,
    /// It is in the state service and may get tasks.
    pub recorded: bool,
    /// Raised to outdate direct commands that got no answer: the worker refuses them once it has
    /// seen the higher token.
    pub token_epoch: u64,
    /// Direct commands may still arrive until the worker shows this token.
    pub doubtful_until_token: Option<u64>,
    pub call_in_flight: Option<u64>,
    /// The last answer to a report carried starts that no later report has confirmed or denied.
    pub start_unconfirmed: bool,
    /// It has something to be told before its next report.
    pub needs_push: bool,
    pub push_after: Instant,
    /// Direct calls in a row that got no answer.
    pub failed_calls: u32,
    pub reclaim_at: Option<Instant>,
    pub known_since: Instant,
    pub up_since: Option<Instant>,
    pub age: Duration,
    pub listed_since: Option<Instant>,
    pub deleting: Option<&'static str>,
    pub idle_since: Instant,
    /// Images on it or being fetched, the latest used last.
    pub images: Vec<(ImageTag, f64)>,
    pub fault_history: Faults,
    /// Whether the board shows it as open for tasks; time alone may change that.
    pub schedulable: bool,
    /// The controller that its newest report came by; `None`: it reports to this one.
    pub via: Option<Arc<str>>,
    /// A controller that may answer its reports from memory.
    pub delegated_to: Option<Arc<str>>,
    /// That controller is told, or has yet to be told, not to.
    pub revoked: bool,
    /// Another controller shows it the token; until then it is not asked from here.
    pub claimed_until: Option<Instant>,
    /// It is among those whose change has been noted.
    change_noted: bool,
}

/// All machines by id. Whoever changes one gets it from here, and that is noted: planning and
/// the telling of commands then look at what changed, not at all there is.
#[derive(Default)]
pub struct Machines {
    pub(in crate::core) all: BTreeMap<MachineId, Machine>,
    /// For the board, and for commands that should not wait for a report.
    changed: Vec<MachineId>,
    pub(in crate::core) to_push: BTreeSet<MachineId>,
}

impl Machines {
    pub fn get(&self, id: &MachineId) -> Option<&Machine> {
        self.all.get(id)
    }

    pub fn get_mut(&mut self, id: &MachineId) -> Option<&mut Machine> {
        let m = self.all.get_mut(id)?;
        Some(m.mark_changed(&mut self.changed))
    }

    /// For what neither the board nor commands depend on: that it was heard, and when.
    pub(in crate::core) fn get_mut_quiet(&mut self, id: &MachineId) -> Option<&mut Machine> {
        self.all.get_mut(id)
    }

    /// The machine of this id, made first if there is none.
    pub fn get_or_add(&mut self, id: &MachineId, make: impl FnOnce() -> Machine) -> &mut Machine {
        let m = self.all.entry(id.clone()).or_insert_with(make);
        m.mark_changed(&mut self.changed)
    }

    pub fn remove(&mut self, id: &MachineId) -> Option<Machine> {
        self.changed.push(id.clone());
        self.to_push.remove(id);
        self.all.remove(id)
    }

    pub fn values(&self) -> impl Iterator<Item = &Machine> {
        self.all.values()
    }

    /// What the board shows now; no change of the machine itself.
    pub fn set_schedulable(&mut self, id: &MachineId, open: bool) {
        if let Some(m) = self.all.get_mut(id) {
            m.schedulable = open;
        }
    }

    /// The types of machines changed, and with them what each is good for.
    pub fn mark_all_changed(&mut self) {
        for m in self.all.values_mut() {
            m.mark_changed(&mut self.changed);
        }
    }

    /// Those that changed since the last call, or are gone; the ones that have something to be
    /// told join the others of that kind.
    pub fn take_changed(&mut self) -> Vec<MachineId> {
        let noted = std::mem::take(&mut self.changed);
        for id in &noted {
            if let Some(m) = self.all.get_mut(id) {
                m.change_noted = false;
                if m.needs_push {
                    self.to_push.insert(id.clone());
                }
            }
        }
        noted
    }
}

/// What speaks against a machine.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Jobs of which tasks failed here since the last success.
    pub failed_jobs: BTreeSet<JobId>,
    pub failures: u32,
    pub avoid_until: Option<Instant>,
    pub slowness: Slowness,
}

/// Run times on a machine against those of the same jobs everywhere.
#[derive(Clone, Copy, Debug, Default)]
pub struct Slowness {
    sum: f64,
    weight: f64,
}

impl Slowness {
    /// Notes the logarithm of a run time's ratio to the usual one; older notes fade.
    pub fn note(&mut self, log_ratio: f64) {
        const FADE: f64 = 0.95;
        self.sum = self.sum * FADE + log_ratio;
        self.weight = self.weight * FADE + 1.0;
    }

    fn mean(&self) -> f64 {
        // A few doubtful notes say little.
        self.sum / (self.weight + 2.0)
    }

    /// Two and a half times the usual, over several tasks.
    pub fn faulty(&self) -> bool {
        self.weight >= 5.0 && self.mean() > 0.9
    }

    /// Seconds that it is worth to avoid the machine.
    pub fn delay(&self) -> f64 {
        (self.mean() - 0.3).max(0.0) * 20.0
    }
}

impl Machine {
    pub fn new(id: MachineId, kind: &str, zone: &str, spot: bool, now: Instant) -> Machine {
        Machine {
            id,
            addr: String::new(),
            machine_type: kind.into(),
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
            started_under_token: 0,
            unconfirmed_token: None,
            unproven_since: None,
            unresolved: false,
            freed: false,
            restart_probe: None,
            highest_token: 0,
            recorded: false,
            token_epoch: 0,
            doubtful_until_token: None,
            call_in_flight: None,
            start_unconfirmed: false,
            needs_push: false,
            push_after: now,
            failed_calls: 0,
            reclaim_at: None,
            known_since: now,
            up_since: None,
            age: Duration::ZERO,
            listed_since: None,
            deleting: None,
            idle_since: now,
            images: Vec::new(),
            fault_history: Faults::default(),
            schedulable: false,
            via: None,
            delegated_to: None,
            revoked: false,
            claimed_until: None,
            change_noted: false,
        }
    }

    pub fn token(&self, term: u64) -> u64 {
        (term << TOKEN_EPOCH_BITS) | self.token_epoch
    }

    /// Whether a report says only what is known, under this term's token: most reports do, and
    /// with a thousand machines that each hold dozens of tasks, taking them in anew every time
    /// was most of a leader's work.
    pub(in crate::core) fn is_unchanged_by(&self, heartbeat: &Heartbeat, term: u64) -> bool {
        let calm = heartbeat.incarnation == self.incarnation
            && heartbeat.sequence > self.sequence
            && heartbeat.fencing_token >= (term << TOKEN_EPOCH_BITS).max(self.highest_token)
            && !self.lease_expired
            && self.recorded
            && self.doubtful_until_token.is_none()
            && !self.start_unconfirmed
            && self.unconfirmed_token.is_none()
            && self.reclaim_at.is_none()
            && heartbeat.reclaim_in_s.is_none()
            && self.up_since.is_some()
            && self.spot == heartbeat.spot
            && self.addr == heartbeat.addr
            && heartbeat.tasks.len() == self.tasks.len() + self.exited.len();
        let is = |key: &TaskId, text: &str| {
            text.strip_prefix(&*key.job)
                .and_then(|rest| rest.strip_prefix('/'))
                .is_some_and(|row| row.parse() == Ok(key.index))
        };
        calm && heartbeat.tasks.iter().all(|row| {
            if row.state == TaskState::Exited {
                let mut exited = self.exited.iter();
                return exited.any(|e| e.attempt == row.attempt && is(&e.key, &row.task));
            }
            let mut tasks = self.tasks.iter();
            tasks.any(|(k, t)| {
                t.attempt == row.attempt && t.phase == Phase::of(row.state) && is(k, &row.task)
            })
        })
    }

    /// Nothing is open between it and the leader: a report that says the same as its last one
    /// would be answered with no orders.
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

    /// What it is told may not reach it: a later token shows that it does.
    pub(in crate::core) fn require_token_proof(&mut self, term: u64) {
        self.token_epoch += 1;
        self.unconfirmed_token = Some(self.token(term));
    }

    /// No command that was sent can still arrive.
    pub(in crate::core) fn no_command_in_flight(&self) -> bool {
        self.call_in_flight.is_none() && self.doubtful_until_token.is_none()
    }

    /// Notes that it is about to change, once until that is taken notice of.
    pub(in crate::core) fn mark_changed(&mut self, noted: &mut Vec<MachineId>) -> &mut Machine {
        if !self.change_noted {
            self.change_noted = true;
            noted.push(self.id.clone());
        }
        self
    }

    /// It can be given tasks now.
    pub fn usable(&self, now: Instant, patience: Duration) -> bool {
        self.incarnation > 0
            && (self.recorded || !is_enabled(Safeguard::MachineRecords))
            && !self.lease_expired
            && self.deleting.is_none()
            && self.reclaim_at.is_none()
            && self.doubtful_until_token.is_none()
            && self.unconfirmed_token.is_none()
            && now.saturating_duration_since(self.last_heartbeat) < patience
            // Answers to direct commands keep no lease: without reports, what is started dies with it.
            && (now.saturating_duration_since(self.lease_renewed) < patience || !is_enabled(Safeguard::HeartbeatRequired))
    }

    /// Its latest failures speak against giving it tasks now.
    pub fn avoided(&self, now: Instant) -> bool {
        self.fault_history.avoid_until.is_some_and(|t| now < t)
    }

    pub fn use_image(&mut self, image: ImageTag, gb: f64, cache_gb: f64) {
        self.images.retain(|(i, _)| *i != image);
        self.images.push((image, gb));
        let mut total: f64 = self.images.iter().map(|(_, g)| g).sum();
        while total > cache_gb && self.images.len() > 1 {
            total -= self.images.remove(0).1;
        }
    }
}
