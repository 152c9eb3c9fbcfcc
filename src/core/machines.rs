//! Machines: what they report, what they are told, how they are lost, rented and returned.
//!
//! The leader keeps for each machine the tasks that may be on it, and with each answer tells the
//! machine the difference to what it reported. Every command may be repeated, save one: after a
//! `clear`, a repeated `run` would start the task anew. So a `clear` goes only into the answer of
//! a report (never executed late), and only while no other command can still arrive.

use super::mirror::MachineValue;
use super::{Core, Effect, Pending, Ticket, note};
use crate::board::{ImageTag, Offer, image_tag};
use crate::cloud::{CloudOutcome, CloudRequest, MOST_DELETED, PAGE};
use crate::http::Answer;
use crate::job::{JobId, Kind, MachineId, Resources, TaskKey};
use crate::wire::{
    DirectBody, ListedMachine, ListedState, Order, Redirect, RentBody, Report, ReportAnswer,
    RowReport, RowState, Why, parse_task, to_json,
};
use crate::worker::{DirectOutcome, DirectRequest};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A machine that may hold old tasks is asked this often, so far apart, before it counts as dead:
/// one lost packet condemns none, and all old tasks that nobody has shown wait for the dead ones.
const ASKED_IN_VAIN: u32 = 2;
const ASK_PAUSE: Duration = Duration::from_millis(300);
/// Added to the time after which a leader that hears nobody resigns: for a takeover costs more
/// than a moment's silence.
const DEAF_MARGIN: Duration = Duration::from_millis(1000);
/// More orders than this would make an answer longer than a worker accepts.
const MOST_ORDERS: usize = 400;
/// Deletions on their way at a time.
const MOST_DELETIONS: usize = 2;
/// Direct calls on their way at a time: what the threads that make them finish well within the
/// leader's word, so that none is given up unsent for having queued too long.
pub(super) const MOST_DIRECT: usize = 2 * crate::service::DIRECT_THREADS;
/// After an answer with a new token, a worker's next report has come.
const TOKEN_SEEN: Duration = Duration::from_millis(900);
/// Added to a worker's lease before its tasks count as gone: for drift, and for slow timers.
const LEASE_MARGIN: Duration = Duration::from_millis(1500);
/// A worker that gets no answer at one node tries the next one this much later (the protocol's
/// 4 s and 1 s): after a cut it takes that long until all are heard again.
pub(super) const WORKER_RETRY: Duration = Duration::from_secs(5);

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
    fn of(state: RowState) -> Phase {
        match state {
            RowState::Fetching => Phase::Fetching,
            RowState::Saving => Phase::Saving,
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
    pub needs: Resources,
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

pub struct Machine {
    pub id: MachineId,
    pub addr: String,
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    /// 0 until its first report.
    pub session: u64,
    pub seq: u64,
    pub seen: Instant,
    /// Receipt of the last report answered 200: its lease cannot have begun later.
    pub lease_from: Instant,
    /// Its tasks were counted out when its lease had run out; the session is over.
    pub session_over: bool,
    pub tasks: BTreeMap<TaskKey, Placement>,
    /// Exited tasks in its newest report.
    pub exited: Vec<(TaskKey, u64)>,
    /// It is in the state service and may get tasks.
    pub recorded: bool,
    /// Raised to outdate direct commands that got no answer: the worker refuses them once it has
    /// seen the higher token.
    pub epoch: u64,
    /// Direct commands may still arrive until the worker shows this token.
    pub doubt: Option<u64>,
    pub call: Option<u64>,
    /// The last answer to a report carried starts that no later report has confirmed or denied.
    pub answered: bool,
    /// It has something to be told before its next report.
    pub push: bool,
    pub push_after: Instant,
    /// Direct calls in a row that got no answer.
    pub unanswered: u32,
    pub notice: Option<Instant>,
    pub known_since: Instant,
    pub up_since: Option<Instant>,
    pub age: Duration,
    pub listed: Option<Instant>,
    pub deleting: Option<&'static str>,
    pub idle_since: Instant,
    /// Images on it or being fetched, the latest used last.
    pub images: Vec<(ImageTag, f64)>,
    pub faults: Faults,
    /// Whether the board shows it as open for tasks; time alone may change that.
    pub open: bool,
    /// The controller that its newest report came by; `None`: it reports to this one.
    pub via: Option<Arc<str>>,
    /// A controller that may answer its reports from memory.
    pub lent_to: Option<Arc<str>>,
    /// That controller is told, or has yet to be told, not to.
    pub recalled: bool,
    /// Another controller shows it the token; until then it is not asked from here.
    pub claimed_until: Option<Instant>,
    /// It is among those whose change has been noted.
    noted: bool,
}

/// All machines by id. Whoever changes one gets it from here, and that is noted: planning and
/// the telling of commands then look at what changed, not at all there is.
#[derive(Default)]
pub struct Machines {
    all: BTreeMap<MachineId, Machine>,
    /// For the board, and for commands that should not wait for a report.
    noted: Vec<MachineId>,
    to_tell: BTreeSet<MachineId>,
}

impl Machines {
    pub fn get(&self, id: &MachineId) -> Option<&Machine> {
        self.all.get(id)
    }

    pub fn get_mut(&mut self, id: &MachineId) -> Option<&mut Machine> {
        let m = self.all.get_mut(id)?;
        Some(m.note_in(&mut self.noted))
    }

    /// For what neither the board nor commands depend on: that it was heard, and when.
    pub(super) fn get_unnoted(&mut self, id: &MachineId) -> Option<&mut Machine> {
        self.all.get_mut(id)
    }

    /// The machine of this id, made first if there is none.
    pub fn get_or_add(&mut self, id: &MachineId, make: impl FnOnce() -> Machine) -> &mut Machine {
        let m = self.all.entry(id.clone()).or_insert_with(make);
        m.note_in(&mut self.noted)
    }

    pub fn remove(&mut self, id: &MachineId) -> Option<Machine> {
        self.noted.push(id.clone());
        self.to_tell.remove(id);
        self.all.remove(id)
    }

    pub fn values(&self) -> impl Iterator<Item = &Machine> {
        self.all.values()
    }

    /// What the board shows now; no change of the machine itself.
    pub fn set_open(&mut self, id: &MachineId, open: bool) {
        if let Some(m) = self.all.get_mut(id) {
            m.open = open;
        }
    }

    /// The types of machines changed, and with them what each is good for.
    pub fn note_all(&mut self) {
        for m in self.all.values_mut() {
            m.note_in(&mut self.noted);
        }
    }

    /// Those that changed since the last call, or are gone; the ones that have something to be
    /// told join the others of that kind.
    pub fn take_noted(&mut self) -> Vec<MachineId> {
        let noted = std::mem::take(&mut self.noted);
        for id in &noted {
            if let Some(m) = self.all.get_mut(id) {
                m.noted = false;
                if m.push {
                    self.to_tell.insert(id.clone());
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
    pub pace: Slowness,
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
            kind: kind.into(),
            zone: zone.into(),
            spot,
            session: 0,
            seq: 0,
            seen: now,
            lease_from: now,
            session_over: false,
            tasks: BTreeMap::new(),
            exited: Vec::new(),
            recorded: false,
            epoch: 0,
            doubt: None,
            call: None,
            answered: false,
            push: false,
            push_after: now,
            unanswered: 0,
            notice: None,
            known_since: now,
            up_since: None,
            age: Duration::ZERO,
            listed: None,
            deleting: None,
            idle_since: now,
            images: Vec::new(),
            faults: Faults::default(),
            open: false,
            via: None,
            lent_to: None,
            recalled: false,
            claimed_until: None,
            noted: false,
        }
    }

    pub fn token(&self, term: u64) -> u64 {
        (term << super::leadership::EPOCH_BITS) | self.epoch
    }

    /// Whether a report says only what is known, under this term's token: most reports do, and
    /// with a thousand machines that each hold dozens of tasks, taking them in anew every time
    /// was most of a leader's work.
    fn tells_nothing_new(&self, report: &Report, term: u64) -> bool {
        let calm = report.session == self.session
            && report.seq > self.seq
            && report.token >= term << super::leadership::EPOCH_BITS
            && !self.session_over
            && self.recorded
            && self.doubt.is_none()
            && !self.answered
            && self.notice.is_none()
            && report.notice.is_none()
            && self.up_since.is_some()
            && self.spot == report.spot
            && self.addr == report.addr
            && report.rows.len() == self.tasks.len() + self.exited.len();
        let is = |key: &TaskKey, text: &str| {
            text.strip_prefix(&*key.job)
                .and_then(|rest| rest.strip_prefix('/'))
                .is_some_and(|row| row.parse() == Ok(key.row))
        };
        calm && report.rows.iter().all(|row| {
            if row.state == RowState::Exited {
                let mut exited = self.exited.iter();
                return exited.any(|(k, a)| *a == row.attempt && is(k, &row.task));
            }
            let mut tasks = self.tasks.iter();
            tasks.any(|(k, t)| {
                t.attempt == row.attempt && t.phase == Phase::of(row.state) && is(k, &row.task)
            })
        })
    }

    /// Nothing is open between it and the leader: a report that says the same as its last one
    /// would be answered with no orders.
    pub(super) fn calm(&self) -> bool {
        self.session > 0
            && self.recorded
            && !self.session_over
            && self.settled()
            && !self.answered
            && !self.push
            && self.notice.is_none()
            && self.deleting.is_none()
            && self.exited.is_empty()
            && (self.tasks.values()).all(|t| t.phase != Phase::Unseen && t.stopping.is_none())
    }

    /// No command that was sent can still arrive.
    fn settled(&self) -> bool {
        self.call.is_none() && self.doubt.is_none()
    }

    /// Notes that it is about to change, once until that is taken notice of.
    fn note_in(&mut self, noted: &mut Vec<MachineId>) -> &mut Machine {
        if !self.noted {
            self.noted = true;
            noted.push(self.id.clone());
        }
        self
    }

    /// It can be given tasks now.
    pub fn usable(&self, now: Instant, patience: Duration) -> bool {
        self.session > 0
            && self.recorded
            && !self.session_over
            && self.deleting.is_none()
            && self.notice.is_none()
            && self.doubt.is_none()
            && now.saturating_duration_since(self.seen) < patience
    }

    /// Its latest failures speak against giving it tasks now.
    pub fn avoided(&self, now: Instant) -> bool {
        self.faults.avoid_until.is_some_and(|t| now < t)
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

/// What is known and under way at the cloud.
#[derive(Default)]
pub struct Market {
    pub rents: BTreeMap<String, RentOp>,
    pub next_rent: u64,
    pub list_asked: Option<Instant>,
    pub listing: bool,
    /// How many machines the newest list had.
    pub listed: usize,
    pub deletions: BTreeMap<MachineId, Instant>,
    pub delete_calls: usize,
}

pub struct RentOp {
    pub body: RentBody,
    pub since: Instant,
    pub call: Option<u64>,
    pub again_at: Instant,
}

/// So many machines are hardly ever all silent for this long: with reports spread over their
/// interval, one in 400 times.
fn hush(report: Duration, machines: u32) -> Duration {
    (report * 6 / machines.max(1)).min(report * 2)
}

impl Core {
    /// Takes in a report; a ticket that comes back is answered at the end of the step.
    pub(super) fn report(
        &mut self,
        ticket: Ticket,
        report: Box<Report>,
    ) -> Option<(Ticket, MachineId)> {
        if !self.acting() {
            self.report_to_follower(ticket, report);
            return None;
        }
        match self.take_report(*report, None) {
            Ok(machine) => Some((ticket, machine)),
            Err(answer) => {
                self.answer(ticket, answer);
                None
            }
        }
    }

    /// A report that came here, or by way of another controller; what comes back is the machine,
    /// or why the report is not answered as it would like.
    pub(super) fn take_report(
        &mut self,
        report: Report,
        via: Option<&Arc<str>>,
    ) -> Result<MachineId, Answer> {
        let now = self.now.mono;
        let id = report.machine.clone();
        let sane = !id.is_empty()
            && id.len() <= 100
            && id.bytes().all(|b| b.is_ascii_graphic() && b != b'/')
            && report.addr.parse::<SocketAddrV4>().is_ok()
            && report.session > 0;
        if !sane {
            return Err(Answer::error(400, "malformed report"));
        }
        let no_leader = || Answer::busy("no leader here", 1);
        let lead = self.lead.as_mut().ok_or_else(no_leader)?;
        if lead.gone.contains(&id) {
            // Sent before the machine was deleted, and held up on the way.
            return Err(Answer::busy("this machine is gone", 30));
        }
        lead.last_report = Some(now);
        if via.is_none() {
            (lead.touched, lead.missed) = (now, 0);
        }
        let term = lead.term;
        if !lead.unresolved.contains(&id)
            && let Some(m) = lead.machines.get_unnoted(&id)
            && m.tells_nothing_new(&report, term)
        {
            m.seq = report.seq;
            m.seen = now;
            m.lease_from = now;
            if m.via.as_ref() != via {
                m.via = via.cloned();
            }
            if m.lent_to.is_some() && m.lent_to.as_ref() != via {
                lead.recall(&id);
            }
            if via.is_none()
                && let Some(to) = lead.move_one(&id)
            {
                return Err(Answer::new(421, to_json(&Redirect { leader: Some(&to) })));
            }
            return Ok(id);
        }
        lead.machines.get_or_add(&id, || {
            log::info!("machine {id}: unexpected, taken on");
            Machine::new(id.clone(), &report.kind, &report.zone, report.spot, now)
        });
        // Passed on once more, as our answer to the other controller was lost: what it says is
        // known, and nothing newer is.
        let again = via.is_some()
            && lead.machines.get(&id).is_some_and(|m| {
                (m.session, m.seq) == (report.session, report.seq) && !m.session_over
            });
        if !again && !self.absorb(&id, report, true) {
            return Err(Answer::busy("an older report", 1));
        }
        let lead = self.lead.as_mut().ok_or_else(no_leader)?;
        let m = (lead.machines.get_mut(&id)).ok_or_else(no_leader)?;
        m.lease_from = now;
        m.via = via.cloned();
        let moved = m.lent_to.is_some() && m.lent_to.as_ref() != via;
        if !m.recorded {
            // Before its first task: a later leader must know every place a task may be.
            let value = MachineValue::from(&*m);
            lead.writes.records.add(&id, value);
        }
        if moved {
            lead.recall(&id);
        }
        Ok(id)
    }

    pub(super) fn redirect(&mut self, ticket: Ticket) {
        let me = self.settings.name.as_str();
        // Without the state service, what is known of the leader may be old.
        let stale = self.state_is_stale();
        let leader = self.leader_name().filter(|n| *n != me && !stale);
        let answer = match leader {
            Some(_) => Answer::new(421, to_json(&Redirect { leader })),
            None => Answer::busy("no leader here", 1),
        };
        self.answer(ticket, answer);
    }

    /// Compares a report with what is known; false if it is older than one seen before.
    pub(super) fn absorb(&mut self, id: &MachineId, report: Report, answered: bool) -> bool {
        let now = self.now.mono;
        let Some(lead) = &mut self.lead else {
            return false;
        };
        let term = lead.term;
        let Some(m) = lead.machines.get_mut(id) else {
            return false;
        };
        if (report.session, report.seq) <= (m.session, m.seq) {
            return false;
        }
        // Made before that session's lease ran out, and held up on the way: what it tells of is
        // gone, and may have been started elsewhere since.
        if m.session_over && report.session == m.session {
            return false;
        }
        let mut lost = Vec::new();
        if report.session > m.session {
            if m.session > 0 {
                // The earlier session's tasks were killed, and its commands are refused.
                log::info!("machine {id}: session {} begins", report.session);
                lost = m.tasks.keys().cloned().collect();
            }
            m.session_over = false;
            m.doubt = None;
            m.answered = false;
            m.images.clear();
        }
        if m.up_since.is_none() {
            m.up_since = Some(now);
            m.idle_since = now;
            let took = m.age + now.saturating_duration_since(m.known_since);
            if let Some(t) = self.types.iter().find(|t| t.name == m.kind)
                && m.session == 0
            {
                let announced = Duration::from_secs_f64(t.boot_s.clamp(0.0, 1e6));
                lead.bidding.beliefs.came_up(&t.name, announced, took);
            }
        }
        let noticed = m.notice.is_none() && report.notice.is_some();
        m.session = report.session;
        m.seq = report.seq;
        m.seen = now;
        m.addr = report.addr;
        m.spot = report.spot;
        m.notice = report
            .notice
            .filter(|n| n.is_finite())
            .map(|n| now + Duration::from_secs_f64(n.clamp(0.0, 86400.0)));
        if m.doubt.is_some_and(|token| report.token >= token) {
            m.doubt = None;
        }
        if noticed {
            let offer = (m.kind.clone(), m.zone.clone(), m.spot);
            lead.bidding.beliefs.lost(&offer, 1, now);
        }
        if answered {
            m.answered = false;
        }
        // With our term's token seen, whatever the predecessors sent is refused from now on.
        let knows_us = report.token >= term << super::leadership::EPOCH_BITS;
        // A report that answers direct commands may have been made before the worker read our
        // last answer, so what that one started may be yet to come.
        let complete = m.settled() && !m.answered;
        self.lose(id, lost, "its session ended");
        let mut seen = BTreeSet::new();
        let mut exited = Vec::new();
        for row in report.rows {
            let Some(key) = parse_task(&row.task) else {
                log::warn!("machine {id}: unreadable task {:?}", row.task);
                continue;
            };
            if row.state == RowState::Exited {
                exited.push((key.clone(), row.attempt));
                self.row_exited(id, &key, &row);
            } else {
                seen.insert(key.clone());
                self.row_live(id, &key, &row);
            }
        }
        let Some(lead) = &mut self.lead else {
            return false;
        };
        let Some(m) = lead.machines.get_mut(id) else {
            return false;
        };
        m.exited = exited;
        let missing: Vec<TaskKey> = m
            .tasks
            .iter()
            .filter(|(k, t)| {
                !seen.contains(*k)
                    && match t.phase {
                        // It is not there and nothing is left that could start it.
                        Phase::Unseen => complete && t.stopping.is_some(),
                        _ => true,
                    }
            })
            .map(|(k, _)| k.clone())
            .collect();
        if m.tasks
            .iter()
            .any(|(_, t)| t.phase == Phase::Unseen && t.stopping.is_none())
            && complete
        {
            m.push = true;
        }
        self.lose(id, missing, "it is not on the machine any more");
        if knows_us {
            self.resolve(id, "it reported");
        }
        true
    }

    fn row_live(&mut self, id: &MachineId, key: &TaskKey, row: &RowReport) {
        let now = self.now.mono;
        let Some(lead) = &mut self.lead else { return };
        let Some(m) = lead.machines.get_mut(id) else {
            return;
        };
        let phase = Phase::of(row.state);
        let kind = self.types.iter().find(|t| t.name == m.kind);
        // A task of which nothing is known any more may take all there is.
        let room = kind.map_or(Resources::default(), |t| t.room());
        let cache_gb = kind.map_or(0.0, |t| t.cache_gb);
        let known = m.tasks.contains_key(key);
        if !known {
            let spec = self.mirror.jobs.get(&key.job).map(|j| j.spec.clone());
            if let Some(spec) = &spec {
                m.use_image(image_tag(&spec.image), spec.image_gb, cache_gb);
            }
            let mut t = Placement {
                attempt: row.attempt,
                phase: Phase::Unseen,
                since: now,
                running_since: None,
                stopping: None,
                needs: spec.as_ref().map_or(room, |s| s.needs),
                team: spec
                    .as_ref()
                    .and_then(|s| self.settings.team_index(&s.team)),
            };
            let mut wanted = false;
            if let (Some(job), Some(run)) =
                (self.mirror.jobs.get(&key.job), lead.runs.get_mut(&key.job))
            {
                let elsewhere = run.placed.get(&key.row).filter(|m| *m != id);
                if let Some(other) = elsewhere {
                    log::error!("task {key} is on {id} and was placed on {other}");
                } else if run.ending.is_none() && !job.done.contains(key.row) {
                    wanted = true;
                    run.queued.remove(&key.row);
                    run.placed.insert(key.row, id.clone());
                    log::debug!("task {key} attempt {} found on {id}", row.attempt);
                }
            }
            if !wanted {
                t.stop(StopReason::Over, now);
                m.push = true;
            }
            m.tasks.insert(key.clone(), t);
        }
        let Some(t) = m.tasks.get_mut(key) else {
            return;
        };
        if t.attempt != row.attempt {
            // Not expected: a worker refuses a second attempt of a task it has.
            log::error!(
                "task {key} on {id}: attempt {} instead of {}",
                row.attempt,
                t.attempt
            );
            t.attempt = row.attempt;
        }
        if phase == Phase::Running && t.running_since.is_none() {
            t.running_since = Some(now);
            log::debug!("task {key} attempt {} runs on {id}", t.attempt);
            if let Some(run) = lead.runs.get_mut(&key.job)
                && run.started.is_none()
            {
                run.started = Some(now);
                if let Some(job) = self.mirror.jobs.get(&key.job)
                    && let Ok(waited) = self.now.wall.duration_since(job.submitted)
                {
                    note(&mut self.stats.start, waited.as_millis());
                }
            }
        }
        t.phase = phase;
    }

    fn row_exited(&mut self, id: &MachineId, key: &TaskKey, row: &RowReport) {
        let now = self.now.mono;
        let Some(lead) = &mut self.lead else { return };
        let Some(m) = lead.machines.get_mut(id) else {
            return;
        };
        let ours = m.tasks.get(key).is_some_and(|t| t.attempt == row.attempt);
        let why = row.why.unwrap_or(Why::Other);
        if !ours {
            // Seen before, or started by an earlier leader. A completed task stays completed.
            if why == Why::Done {
                self.task_done(key, None);
            }
            return;
        }
        let Some(t) = m.tasks.remove(key) else { return };
        if m.tasks.is_empty() {
            m.idle_since = now;
        }
        lead.plan_again = true;
        log::debug!("task {key} attempt {} on {id} ended: {why:?}", t.attempt);
        let ran = t.running_since.map(|s| now.saturating_duration_since(s));
        if why == Why::Done {
            m.faults.failed_jobs.clear();
            m.faults.failures = 0;
            self.note_run_time(id, key, ran);
            self.task_done(key, Some(id));
            return;
        }
        let mut hold = None;
        match why {
            Why::Error => {
                self.note_failure(id, key);
                hold = Some(self.retry_delay(&key.job));
            }
            Why::NoRoom => {
                // Its account and ours differ; the next report tells.
                m.push_after = now + Duration::from_secs(1);
                hold = Some(Duration::from_secs(1));
            }
            Why::Busy => hold = Some(Duration::from_secs(2)),
            Why::Unknown => hold = Some(Duration::from_secs(3)),
            // Tasks of a gang end like this when one of it is missing.
            Why::Other => hold = Some(Duration::from_millis(500)),
            Why::Done | Why::Stopped => {}
        }
        if let Some(lead) = &mut self.lead
            && let Some(run) = lead.runs.get_mut(&key.job)
        {
            if let Some(d) = hold {
                run.held.insert(key.row, now + d);
            }
            if run.placed.get(&key.row) == Some(id) {
                run.placed.remove(&key.row);
                run.queued.insert(key.row);
            }
        }
    }

    /// A job whose tasks fail again and again is tried ever more rarely.
    fn retry_delay(&self, job: &JobId) -> Duration {
        let failures: u32 = self
            .lead
            .as_ref()
            .and_then(|l| l.runs.get(job))
            .map_or(0, |r| {
                if r.succeeded {
                    0
                } else {
                    r.failures.values().sum()
                }
            });
        Duration::from_millis(250 << failures.min(7))
    }

    fn note_failure(&mut self, id: &MachineId, key: &TaskKey) {
        let now = self.now.mono;
        let Some(lead) = &mut self.lead else { return };
        let Some(run) = lead.runs.get_mut(&key.job) else {
            return;
        };
        *run.failures.entry(id.clone()).or_default() += 1;
        // A job that has failed on several machines and succeeded on none speaks against itself.
        log::warn!("task {key} failed on {id}");
        run.failed_again(now);
        if run.suspect() {
            // The machines it was tried on are cleared of its failures.
            for machine in run.failures.keys() {
                if let Some(m) = lead.machines.get_mut(machine) {
                    m.faults.failed_jobs.remove(&key.job);
                    if m.faults.failed_jobs.is_empty() {
                        m.faults.failures = 0;
                        m.faults.avoid_until = None;
                    }
                }
            }
            return;
        }
        let Some(m) = lead.machines.get_mut(id) else {
            return;
        };
        m.faults.failures += 1;
        m.faults.failed_jobs.insert(key.job.clone());
        let pause = Duration::from_secs(5) * 2u32.pow(m.faults.failures.min(5));
        m.faults.avoid_until = Some(now + pause);
    }

    /// A machine on which work of several jobs failed, with no success in between, is faulty.
    fn faulty(&self, m: &Machine) -> bool {
        let Some(lead) = &self.lead else { return false };
        let believable = m
            .faults
            .failed_jobs
            .iter()
            .filter(|j| lead.runs.get(*j).is_none_or(|r| !r.suspect()))
            .count();
        (believable >= 2 && m.faults.failures >= 2)
            || (believable >= 1
                && m.faults.failures >= 3
                && m.faults
                    .failed_jobs
                    .iter()
                    .any(|j| lead.runs.get(j).is_some_and(|r| r.succeeded)))
            || m.faults.pace.faulty()
    }

    fn task_done(&mut self, key: &TaskKey, on: Option<&MachineId>) {
        let now = self.now.mono;
        let Some(lead) = &mut self.lead else { return };
        let (Some(job), Some(run)) = (
            self.mirror.jobs.get_mut(&key.job),
            lead.runs.get_mut(&key.job),
        ) else {
            return;
        };
        if key.row >= job.spec.tasks {
            return;
        }
        run.succeeded = true;
        if job.spec.kind == Kind::Service {
            // A replica that ends is started again.
            if on.is_some() && run.placed.remove(&key.row).is_some() {
                run.queued.insert(key.row);
            }
            return;
        }
        if job.done.insert(key.row) {
            run.unwritten.insert(key.row);
            lead.writes.progress.entry(key.job.clone()).or_insert(now);
        }
        run.queued.remove(&key.row);
        run.held.remove(&key.row);
        if let Some(machine) = run.placed.remove(&key.row)
            && let Some(m) = lead.machines.get_mut(&machine)
            && let Some(t) = m.tasks.get_mut(key)
        {
            t.stop(StopReason::Over, now);
            m.push = true;
        }
        self.end_if_done(&key.job);
    }

    /// These tasks are not on the machine any more, without a result.
    fn lose(&mut self, id: &MachineId, tasks: Vec<TaskKey>, why: &str) {
        let now = self.now.mono;
        let Some(lead) = &mut self.lead else { return };
        for key in tasks {
            let Some(m) = lead.machines.get_mut(id) else {
                return;
            };
            let Some(t) = m.tasks.remove(&key) else {
                continue;
            };
            if m.tasks.is_empty() {
                m.idle_since = now;
            }
            lead.plan_again = true;
            if let Some(run) = lead.runs.get_mut(&key.job)
                && run.placed.get(&key.row) == Some(id)
            {
                run.placed.remove(&key.row);
                run.queued.insert(key.row);
                log::debug!("task {key} attempt {} lost on {id}: {why}", t.attempt);
            }
        }
    }

    /// What the machine should be told, given its newest report.
    pub(super) fn orders(&self, m: &Machine, in_answer: bool) -> Vec<Order> {
        let Some(lead) = &self.lead else {
            return Vec::new();
        };
        let mut orders = Vec::new();
        for (key, t) in &m.tasks {
            let Some((_, since)) = t.stopping else {
                continue;
            };
            if t.phase == Phase::Unseen {
                continue;
            }
            let grace = self.grace(m, key, t);
            let overdue = self.now.mono > since + grace + Duration::from_secs(3);
            if t.phase == Phase::Saving && !overdue {
                continue;
            }
            orders.push(Order::Stop {
                task: key.to_string(),
                attempt: t.attempt,
                grace: if overdue { 0.0 } else { grace.as_secs_f64() },
            });
        }
        if in_answer && m.settled() {
            for (key, attempt) in &m.exited {
                // A completed task is kept in the reports until a later leader would know it
                // without them.
                let unwritten = lead
                    .runs
                    .get(&key.job)
                    .is_some_and(|r| r.unwritten.contains(&key.row));
                if !unwritten && m.tasks.get(key).is_none_or(|t| t.attempt != *attempt) {
                    orders.push(Order::Forget {
                        task: key.to_string(),
                        attempt: *attempt,
                    });
                }
            }
        }
        for (key, t) in &m.tasks {
            if t.phase == Phase::Unseen && t.stopping.is_none() {
                orders.push(Order::Start {
                    task: key.to_string(),
                    attempt: t.attempt,
                });
            }
        }
        orders.truncate(MOST_ORDERS);
        orders
    }

    /// Time to save is given to what can save and is still of use.
    fn grace(&self, m: &Machine, key: &TaskKey, t: &Placement) -> Duration {
        if matches!(t.stopping, Some((StopReason::Over, _))) {
            return Duration::ZERO;
        }
        let Some(job) = self.mirror.jobs.get(&key.job) else {
            return Duration::ZERO;
        };
        if job.spec.checkpoint.is_zero() {
            return Duration::ZERO;
        }
        let grace = job.spec.save.mul_f64(1.5) + Duration::from_secs(1);
        match m.notice {
            Some(at) => grace.min(at.saturating_duration_since(self.now.mono)),
            None => grace,
        }
    }

    pub(super) fn answer_report(&mut self, ticket: Ticket, id: &MachineId) {
        let until = self.leader_until();
        let answer = match self.tell(id) {
            Some(body) => Answer::new(200, to_json(&body)).until(until),
            None => Answer::busy("this machine is gone", 30),
        };
        self.answer(ticket, answer);
    }

    /// What a machine that has reported is told; that it is told is noted.
    pub(super) fn tell(&mut self, id: &MachineId) -> Option<ReportAnswer> {
        let lead = self.lead.as_ref()?;
        let m = lead.machines.get(id)?;
        let body = ReportAnswer {
            token: m.token(lead.term),
            orders: self.orders(m, true),
        };
        let unaware = lead.unresolved.contains(id);
        let starts = body.orders.iter().any(|o| matches!(o, Order::Start { .. }));
        if (m.answered, m.push) != (starts, false)
            && let Some(m) = self.lead.as_mut().and_then(|l| l.machines.get_mut(id))
        {
            m.answered = starts;
            m.push = false;
        }
        // A worker that sees a new token reports it within half a second, on the connection that it
        // has: that costs less than asking it.
        if unaware && let Some(m) = (self.lead.as_mut()).and_then(|l| l.machines.get_unnoted(id)) {
            m.claimed_until = Some(self.now.mono + TOKEN_SEEN);
        }
        Some(body)
    }

    /// Sends machines what should not wait for their next report.
    pub(super) fn push_commands(&mut self) {
        let now = self.now.mono;
        let Some(until) = self.leader_until() else {
            return;
        };
        self.refresh_board();
        let Some(lead) = &mut self.lead else { return };
        let term = lead.term;
        let silent = self.settings.report * 2;
        let machines = &lead.machines.all;
        lead.machines
            .to_tell
            .retain(|id| machines.get(id).is_some_and(|m| m.push));
        let due: Vec<MachineId> = (lead.machines.to_tell.iter())
            .filter_map(|id| machines.get(id))
            .filter(|m| {
                m.session > 0
                    && !m.session_over
                    && m.settled()
                    && now >= m.push_after
                    && now.saturating_duration_since(m.seen) < silent
            })
            .map(|m| m.id.clone())
            .collect();
        for id in due {
            let Some(lead) = &self.lead else { return };
            if lead.calls_out >= MOST_DIRECT {
                return;
            }
            let Some(m) = lead.machines.get(&id) else {
                continue;
            };
            let orders = self.orders(m, false);
            let body = DirectBody {
                token: m.token(term),
                session: m.session,
                orders,
            };
            let addr = m.addr.parse();
            let Some(m) = self.lead.as_mut().and_then(|l| l.machines.get_mut(&id)) else {
                continue;
            };
            m.push = false;
            let Ok(addr) = addr else { continue };
            if body.orders.is_empty() {
                continue;
            }
            let call = self.call(Pending::Direct(id.clone()));
            if let Some(lead) = &mut self.lead
                && let Some(m) = lead.machines.get_mut(&id)
            {
                m.call = Some(call);
                lead.calls_out += 1;
            }
            self.out.push(Effect::Direct {
                call,
                addr,
                request: DirectRequest::Commands(body),
                not_after: until,
            });
        }
        self.ask_machines();
    }

    pub(super) fn direct_outcome(&mut self, call: u64, outcome: DirectOutcome) {
        let now = self.now.mono;
        let id = match self.pending.remove(&call) {
            Some(Pending::Direct(id)) => id,
            Some(Pending::Show(id)) => return self.shown(&id, outcome),
            _ => return,
        };
        let Some(lead) = &mut self.lead else { return };
        let term = lead.term;
        lead.calls_out = lead.calls_out.saturating_sub(1);
        let Some(m) = lead.machines.get_mut(&id) else {
            return;
        };
        if m.call != Some(call) {
            return;
        }
        m.call = None;
        let answers = matches!(outcome, DirectOutcome::Report { .. });
        m.unanswered = if answers { 0 } else { m.unanswered + 1 };
        if answers {
            (lead.touched, lead.missed) = (now, 0);
        } else {
            lead.missed += 1;
        }
        if !answers && lead.unresolved.contains(&id) && m.unanswered < ASKED_IN_VAIN {
            lead.ask_again.insert((now + ASK_PAUSE, id.clone()));
        }
        match outcome {
            DirectOutcome::Report { report, executed } => {
                if !executed {
                    log::debug!("machine {id}: direct commands refused");
                    m.push_after = now + Duration::from_millis(500);
                }
                if report.machine == id {
                    self.absorb(&id, *report, false);
                }
            }
            DirectOutcome::NotSent(e) => {
                log::debug!("machine {id}: direct commands not sent: {e}");
                m.push_after = now + Duration::from_secs(3);
            }
            DirectOutcome::Unknown(e) => {
                log::info!("machine {id}: direct commands without an answer: {e}");
                // They may be executed at any later time, until the worker has seen a higher
                // token; the next answer to a report carries one.
                m.epoch += 1;
                m.doubt = Some(m.token(term));
                m.push_after = now + Duration::from_secs(3);
            }
        }
    }

    /// Losses, notices and the cloud's list.
    pub(super) fn tend_machines(&mut self) {
        let now = self.now.mono;
        let Some(lead) = &mut self.lead else { return };
        if lead
            .tended
            .is_some_and(|t| now < t + Duration::from_millis(250))
        {
            return;
        }
        lead.tended = Some(now);
        self.tend_delegates();
        let Some(lead) = &mut self.lead else { return };
        let report = self.settings.report;
        let run_out = self.settings.lease + self.settings.lease / 500 + LEASE_MARGIN;
        let fresh =
            |m: &Machine| m.session > 0 && now.saturating_duration_since(m.seen) < report * 2;
        let mut zones: BTreeMap<&str, (u32, u32, Instant)> = BTreeMap::new();
        for m in lead
            .machines
            .values()
            .filter(|m| m.session > 0 || lead.unresolved.contains(&m.id))
        {
            let z = zones.entry(&m.zone).or_insert((0, 0, lead.since));
            z.0 += 1;
            z.1 += u32::from(fresh(m));
            if m.session > 0 {
                z.2 = z.2.max(m.seen);
            }
        }
        // What others hear is told a little later.
        let told_late = lead.delegates.told_late();
        // A zone from which next to nothing comes is cut off; its machines work on and their
        // leases protect them, so they are not given up for their silence. The first sign is
        // that nobody is heard at all for longer than so many machines ever keep silent together:
        // half of them are still fresh when the first ones are silent for too long.
        let reachable = |zone: &str| {
            zones.get(zone).is_some_and(|(all, up, newest)| {
                let pause = hush(report, *up).max(report / 3) + told_late;
                up * 2 >= *all && *up > 0 && now.saturating_duration_since(*newest) <= pause
            })
        };
        let sessions = lead.machines.values().filter(|m| m.session > 0).count();
        lead.deaf_after = hush(report, sessions as u32).max(report / 2) + DEAF_MARGIN;
        // After a cut, the machines behind it need a moment to be heard again.
        let back: BTreeMap<String, Instant> = zones
            .keys()
            .filter(|z| reachable(z))
            .map(|z| {
                let since = lead.zones_back.get(*z).copied().unwrap_or(now);
                (z.to_string(), since)
            })
            .collect();
        let heard_for = |zone: &str| {
            back.get(zone)
                .map_or(Duration::ZERO, |t| now.saturating_duration_since(*t))
        };
        let mut over = Vec::new();
        let mut silent = Vec::new();
        for m in lead.machines.values() {
            if (m.session > 0 || lead.unresolved.contains(&m.id))
                && !m.session_over
                && now > m.lease_from + run_out
                // Who may answer it in our name may have renewed its lease since.
                && m.lent_to.is_none()
            {
                over.push(m.id.clone());
            }
            let since = m.seen.max(lead.deaf_until).max(lead.since);
            // Its controller is not heard: the worker has to find another one first.
            let since = lead.excused(m, now).map_or(since, |t| since.max(t));
            let quiet = now.saturating_duration_since(since);
            let expected = m.session > 0 || lead.unresolved.contains(&m.id);
            let heard = heard_for(&m.zone).min(now.saturating_duration_since(lead.deaf_until));
            let all_heard = heard >= (report * 5 / 4).max(WORKER_RETRY);
            if expected && m.deleting.is_none() && quiet > report * 5 / 2 && all_heard {
                silent.push((m.id.clone(), "it is silent"));
            }
            // All old tasks that nobody has shown wait for each machine not heard of, one that
            // died with the old leader, say. Its neighbours answer, and it did not, twice.
            let in_vain = lead.unresolved.contains(&m.id) && m.unanswered >= ASKED_IN_VAIN;
            if in_vain && m.deleting.is_none() && reachable(&m.zone) {
                silent.push((m.id.clone(), "it does not answer"));
            }
            let taken = m
                .notice
                .is_some_and(|t| now > t + Duration::from_millis(500));
            if taken && m.deleting.is_none() && quiet > report * 5 / 4 {
                silent.push((m.id.clone(), "it was to be taken and is silent"));
            }
            if m.deleting.is_none() && quiet > run_out && expected {
                silent.push((m.id.clone(), "its lease ran out"));
            }
            // A new leader first hears from those that came up before it led.
            let heard_out = now > lead.since + report * 2;
            if !expected && m.deleting.is_none() && heard_out {
                let boot = self
                    .types
                    .iter()
                    .find(|t| t.name == m.kind)
                    .map_or(60.0, |t| t.boot_s);
                let limit = Duration::from_secs_f64((boot * 2.5 + 10.0).min(86400.0));
                if m.age + now.saturating_duration_since(m.known_since) > limit {
                    silent.push((m.id.clone(), "it never came up"));
                }
            }
        }
        lead.zones_back = back;
        let turned: Vec<MachineId> = lead
            .machines
            .values()
            .filter(|m| m.open != lead.takes_tasks(m, now, report))
            .map(|m| m.id.clone())
            .collect();
        for id in turned {
            lead.machines.get_mut(&id);
        }
        if let Some(lead) = &self.lead {
            let suspects = lead.machines.values().filter(|m| m.deleting.is_none());
            let faulty = suspects.filter(|m| self.faulty(m));
            silent.extend(faulty.map(|m| (m.id.clone(), "it is faulty")));
        }
        for id in over {
            self.session_over(&id);
        }
        for (id, why) in silent {
            self.machine_lost(&id);
            self.give_up_machine(&id, why);
        }
        self.heed_notices();
        self.tend_cloud();
    }

    fn session_over(&mut self, id: &MachineId) {
        let Some(lead) = &mut self.lead else { return };
        let Some(m) = lead.machines.get_mut(id) else {
            return;
        };
        m.session_over = true;
        let tasks: Vec<TaskKey> = m.tasks.keys().cloned().collect();
        log::warn!(
            "machine {id}: its lease has run out, {} tasks lost",
            tasks.len()
        );
        self.lose(id, tasks, "the lease ran out");
        self.resolve(id, "its lease ran out");
    }

    /// The machine is deleted; until that is confirmed, its tasks stay where they are.
    pub(super) fn give_up_machine(&mut self, id: &MachineId, why: &'static str) {
        let now = self.now.mono;
        let Some(lead) = &mut self.lead else { return };
        let Some(m) = lead.machines.get_mut(id) else {
            return;
        };
        if m.deleting.is_none() {
            log::info!(
                "machine {id} ({} in {}, {}): given up: {why}",
                m.kind,
                m.zone,
                if m.spot { "spot" } else { "ordinary" }
            );
            m.deleting = Some(why);
            lead.market.deletions.insert(id.clone(), now);
            lead.plan_again = true;
        }
    }

    /// It is certain that the machine and everything on it is gone.
    fn machine_gone(&mut self, id: &MachineId, how: &str) {
        let now = self.now.mono;
        let Some(lead) = &mut self.lead else { return };
        let Some(m) = lead.machines.get(id) else {
            return;
        };
        log::info!("machine {id} is gone: {how}");
        let tasks: Vec<TaskKey> = m.tasks.keys().cloned().collect();
        self.lose(id, tasks, "its machine is gone");
        self.resolve(id, how);
        let Some(lead) = &mut self.lead else { return };
        lead.machines.remove(id);
        lead.gone.insert(id.clone());
        lead.market.deletions.remove(id);
        lead.writes.records.remove(id, now);
        lead.plan_again = true;
    }

    /// Work that will not end before its machine is taken is stopped, to save or to start anew
    /// elsewhere.
    fn heed_notices(&mut self) {
        let now = self.now.mono;
        let Some(lead) = &mut self.lead else { return };
        let jobs = &self.mirror.jobs;
        let hopeless = |key: &TaskKey, t: &Placement, left: Duration| {
            let Some(job) = jobs.get(&key.job) else {
                return false;
            };
            let ran = t
                .running_since
                .map_or(Duration::ZERO, |s| now.saturating_duration_since(s));
            let rest = job.spec.estimate.saturating_sub(ran);
            let hopeless = t.running_since.is_none() || rest > left.mul_f64(1.5);
            let saves = !job.spec.checkpoint.is_zero() || job.spec.kind == Kind::Service;
            // What cannot save may be lucky and end in time; stopping it early only pays where it
            // has hardly begun.
            t.stopping.is_none()
                && hopeless
                && (saves || ran < Duration::from_secs(5) || rest > left * 3)
        };
        let mut moved = Vec::new();
        for m in lead.machines.values() {
            let Some(at) = m.notice else { continue };
            let left = at.saturating_duration_since(now);
            let tasks = m.tasks.iter().filter(|(key, t)| hopeless(key, t, left));
            moved.extend(tasks.map(|(key, _)| (m.id.clone(), key.clone())));
        }
        for (id, key) in moved {
            if let Some(m) = lead.machines.get_mut(&id)
                && let Some(t) = m.tasks.get_mut(&key)
            {
                t.stop(StopReason::Moved, now);
                m.push = true;
            }
        }
    }

    // ------------------------------------------------------------ cloud

    /// Sends the calls that the cloud's limit allows now. What would have to wait stays here: a
    /// call that queues elsewhere outlives the leader's word for it, is asked again, and so makes
    /// the queue longer still.
    fn tend_cloud(&mut self) {
        let now = self.now.mono;
        let Some(lead) = &mut self.lead else { return };
        let hurry = lead.machines.values().any(|m| {
            m.session == 0 || now.saturating_duration_since(m.seen) > self.settings.report * 2
        });
        // A list takes a call for each page of machines: no more than a third of what is allowed.
        let pages = 1.0 + lead.market.listed as f64 / PAGE as f64;
        let every = Duration::from_secs_f64(3.0 * pages / self.settings.cloud_rps);
        let every = every.max(Duration::from_secs(if hurry { 2 } else { 6 }));
        let list = !lead.market.listing && lead.market.list_asked.is_none_or(|t| now >= t + every);
        if list && self.cloud_budget.try_take(now) {
            let Some(lead) = &mut self.lead else { return };
            lead.market.listing = true;
            lead.market.list_asked = Some(now);
            self.ask_cloud(Pending::List { sent: now }, CloudRequest::List);
        }
        let Some(lead) = &mut self.lead else { return };
        if lead.market.delete_calls < MOST_DELETIONS {
            let due = lead.market.deletions.iter().filter(|(_, at)| **at <= now);
            let names: Vec<MachineId> = due.map(|d| d.0.clone()).take(MOST_DELETED).collect();
            if !names.is_empty() && self.cloud_budget.try_take(now) {
                lead.market.delete_calls += 1;
                for id in &names {
                    let again = now + Duration::from_secs(4);
                    lead.market.deletions.insert(id.clone(), again);
                }
                let request = CloudRequest::Delete(names.clone());
                self.ask_cloud(Pending::Delete(names), request);
            }
        }
        let Some(lead) = &self.lead else { return };
        let due = lead.market.rents.iter();
        let due = due.filter(|(_, r)| r.call.is_none() && now >= r.again_at);
        let rents: Vec<String> = due.map(|(name, _)| name.clone()).collect();
        for name in rents {
            if !self.cloud_budget.try_take(now) {
                return;
            }
            let op = self.lead.as_ref().and_then(|l| l.market.rents.get(&name));
            let Some(body) = op.map(|op| op.body.clone()) else {
                return;
            };
            let call = self.ask_cloud(Pending::Rent(name.clone()), CloudRequest::Rent(body));
            let op = self
                .lead
                .as_mut()
                .and_then(|l| l.market.rents.get_mut(&name));
            if let Some(op) = op {
                op.call = Some(call);
            }
        }
    }

    fn ask_cloud(&mut self, pending: Pending, request: CloudRequest) -> u64 {
        let not_after = self.leader_until();
        let call = self.call(pending);
        self.out.push(Effect::Cloud {
            call,
            request,
            not_after,
        });
        call
    }

    /// Queues a rental under a name that no controller has ever used.
    pub(super) fn rent(&mut self, offer: Offer, count: u32) {
        let now = self.now.mono;
        let Some(lead) = &mut self.lead else { return };
        lead.market.next_rent += 1;
        // Terms are unique for ever, and so is the number within one.
        let name = format!("burlusher-{}-{}", lead.term, lead.market.next_rent);
        log::info!(
            "renting {count} of {} in {}, {}: {name}",
            offer.0,
            offer.1,
            if offer.2 { "spot" } else { "ordinary" }
        );
        let body = RentBody {
            request: name.clone(),
            kind: offer.0,
            zone: offer.1,
            spot: offer.2,
            count,
        };
        lead.market.rents.insert(
            name,
            RentOp {
                body,
                since: now,
                call: None,
                again_at: now,
            },
        );
    }

    pub(super) fn cloud_outcome(&mut self, call: u64, outcome: CloudOutcome) {
        let now = self.now.mono;
        let pending = self.pending.remove(&call);
        if let (Some(Pending::Types), CloudOutcome::Types(types)) = (&pending, &outcome) {
            return self.learn_types(types.clone());
        }
        if let CloudOutcome::Trouble(e) | CloudOutcome::Invalid(e) = &outcome {
            log::info!("cloud: {e}");
        }
        let Some(lead) = &mut self.lead else { return };
        match pending {
            Some(Pending::List { sent }) => {
                lead.market.listing = false;
                if let CloudOutcome::Listed(list) = outcome {
                    lead.market.listed = list.len();
                    for _ in 0..list.len() / PAGE {
                        self.cloud_budget.take(now);
                    }
                    self.machine_list(sent, list);
                }
            }
            Some(Pending::Delete(names)) => {
                lead.market.delete_calls = lead.market.delete_calls.saturating_sub(1);
                if let CloudOutcome::Deleted(_) = outcome {
                    for id in &names {
                        lead.market.deletions.remove(id);
                        lead.gone.insert(id.clone());
                    }
                    for id in names {
                        self.machine_gone(&id, "deleted");
                    }
                } else {
                    for id in names {
                        if let Some(at) = lead.market.deletions.get_mut(&id) {
                            *at = now + Duration::from_secs(1);
                        }
                    }
                }
            }
            Some(Pending::Rent(name)) => self.rented(&name, outcome),
            _ => {}
        }
    }

    fn rented(&mut self, name: &str, outcome: CloudOutcome) {
        let now = self.now.mono;
        let Some(lead) = &mut self.lead else { return };
        let Some(op) = lead.market.rents.get_mut(name) else {
            return;
        };
        op.call = None;
        let offer = (op.body.kind.clone(), op.body.zone.clone(), op.body.spot);
        let asked = op.body.count as usize;
        let since = op.since;
        let mut got = Some(0);
        match outcome {
            CloudOutcome::Rented(ids) => {
                got = Some(ids.len());
                lead.market.rents.remove(name);
                for id in ids {
                    let m = Machine::new(id.clone(), &offer.0, &offer.1, offer.2, now);
                    if !lead.gone.contains(&id) {
                        lead.machines.get_or_add(&id, || m).age =
                            now.saturating_duration_since(since);
                    }
                }
            }
            CloudOutcome::NoCapacity | CloudOutcome::Invalid(_) => {
                lead.market.rents.remove(name);
            }
            // It may have been carried out: only the same name asked again tells.
            _ => {
                op.again_at = now + Duration::from_secs(2);
                got = None;
            }
        }
        if let Some(got) = got {
            let beliefs = &mut lead.bidding.beliefs;
            beliefs.answered(&offer, asked as u32, got as u32, now);
            if got < asked {
                lead.fleet_at = None;
            }
        }
    }

    fn machine_list(&mut self, sent: Instant, list: Vec<ListedMachine>) {
        let now = self.now.mono;
        let lag = self.settings.list_lag * 2 + Duration::from_secs(2);
        let Some(lead) = &mut self.lead else { return };
        let mut present = BTreeSet::new();
        let mut gone = Vec::new();
        for l in list {
            present.insert(l.id.clone());
            if lead.gone.contains(&l.id) {
                continue;
            }
            let known = lead.machines.get(&l.id);
            // Most machines are listed as they are known: nothing to change, nothing to note.
            if known.is_some_and(|m| m.session > 0 && m.listed.is_some() && !m.addr.is_empty())
                && l.state != ListedState::Failed
            {
                continue;
            }
            let m = lead.machines.get_or_add(&l.id, || {
                log::info!("machine {}: found in the cloud's list, taken on", l.id);
                Machine::new(l.id.clone(), &l.kind, &l.zone, l.spot, now)
            });
            m.listed.get_or_insert(now);
            // Also of machines that an earlier leader rented: taken for new, they would be kept
            // idle for the minute that is paid at least.
            if l.age_s.is_finite() && l.age_s >= 0.0 {
                let age = Duration::from_secs_f64(l.age_s.min(1e7));
                m.age = age.saturating_sub(now.saturating_duration_since(m.known_since));
            }
            if m.addr.is_empty()
                && let Some(addr) = l.addr
            {
                m.addr = addr;
            }
            if l.state == ListedState::Failed {
                gone.push(l.id);
            }
        }
        for id in &gone {
            // It stopped by itself, but stays in the list until it is deleted.
            self.machine_gone(id, "the cloud lists it as failed");
            if let Some(lead) = &mut self.lead {
                lead.market.deletions.insert(id.clone(), now);
            }
        }
        let Some(lead) = &self.lead else { return };
        // The list tells of a time at most twice its lag ago. A machine known to exist before
        // that time and absent now is gone.
        let absent: Vec<MachineId> = lead
            .machines
            .values()
            .filter(|m| !present.contains(&m.id) && m.known_since + lag < sent)
            .filter(|m| now.saturating_duration_since(m.seen) > Duration::from_secs(2))
            .map(|m| m.id.clone())
            .collect();
        for id in absent {
            self.machine_gone(&id, "the cloud does not list it any more");
        }
    }
}

impl From<&Machine> for MachineValue {
    fn from(m: &Machine) -> MachineValue {
        MachineValue {
            addr: m.addr.clone(),
            kind: m.kind.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
        }
    }
}
