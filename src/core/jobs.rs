//! What users ask for, and how jobs progress and end.

use super::barrier::Question;
use super::keys::{Stem, job_key, part_key};
use super::leadership::{MOST_TXN_BYTES, creation, json};
use super::machine::StopReason;
use super::mirror::JobValue;
use super::parts::{self, PartValue, Writing};
use super::run::{Pace, Run};
use super::{Core, Effect, Pending, ReadPurpose, Ticket, note};
use crate::guard::{Guard, stands};
use crate::http::Answer;
use crate::job::{Final, JobId, JobSpec, Kind, MachineId, TaskKey};
use crate::peer::{PeerAnswer, PeerRequest};
use crate::settings::Settings;
use crate::state::{StateOutcome, StateRequest};
use crate::wire::{Change, JobAnswer, JobState, Txn, to_json};
use std::time::{Duration, Instant, SystemTime};

/// The lease is renewed more often than this while the state service answers.
const STALE: Duration = Duration::from_millis(1100);
/// The state service answers within some ten milliseconds. A creation without an answer for so long is settled
/// as soon as this process's copy of the store shows the job, and looked at so often until then.
const SETTLE_AFTER: Duration = Duration::from_millis(60);
/// A submission takes 5 s at the most: its parts are written once more where no answer came within this.
const PARTS_AGAIN: Duration = Duration::from_millis(2500);
const PROBE_EVERY: Duration = Duration::from_millis(1000);
const PROBE_ID: &str = "wk-0";
/// The part of the memory that unfinished jobs may take, and what a task of theirs takes: a row
/// in the sets of its job, a little more while it is placed.
const JOBS_SHARE: f64 = 0.25;
const BYTES_PER_TASK: f64 = 32.0;

#[derive(Debug)]
pub struct UserRequest {
    pub ticket: Ticket,
    pub what: Ask,
    /// It was passed on by another controller, and is not passed on again.
    pub forwarded: bool,
    /// Peers that have been asked already.
    pub tried: Vec<String>,
    pub received: Instant,
}

#[derive(Debug)]
pub enum Ask {
    Submit(Box<JobSpec>),
    /// A submission that cannot be read, though its id can.
    Malformed(String, Answer),
    Show(String),
    Cancel(String),
}

fn state_body(id: &str, state: JobState, done: Option<u32>, running: Option<u32>) -> Vec<u8> {
    to_json(&JobAnswer {
        id: id.to_string(),
        state,
        done,
        running,
    })
}

fn final_state(end: Final) -> JobState {
    match end {
        Final::Done => JobState::Done,
        Final::Cancelled => JobState::Cancelled,
    }
}

fn being_rebuilt() -> Answer {
    Answer::busy("the state service has lost data and is being rebuilt", 1)
}

/// How many tasks unfinished jobs may have.
pub fn most_tasks(settings: &Settings) -> u64 {
    (settings.memory_mb * 1e6 * JOBS_SHARE / BYTES_PER_TASK) as u64
}

impl Core {
    fn final_answer(&self, id: &str) -> Option<Answer> {
        let end = self.mirror.end_of(id)?;
        let body = state_body(id, final_state(end), None, None);
        Some(Answer::new(200, body))
    }

    /// The store has lost data, and somebody may remember more than is known here: what is not final
    /// can't be told.
    fn unsaid(&self) -> bool {
        self.incomplete() && !self.knows_enough()
    }

    /// The state of a live job, which only an acting leader may tell from memory, and only while
    /// no end of it, or cancellation of one that it needs, is being written: that write may be
    /// committed already, and another node may have told the user.
    fn live_answer(&self, id: &str) -> Option<Answer> {
        if !self.acting() || self.unsaid() {
            return None;
        }
        let job = self.mirror.jobs.get(id)?;
        let lead = self.lead.as_ref()?;
        let run = lead.runs.get(id)?;
        if run.ending.is_some() || lead.in_doubt.contains(id) {
            return None;
        }
        let running = self.running_of(id, run);
        let state = if running > 0 {
            JobState::Running
        } else {
            JobState::Queued
        };
        let body = state_body(id, state, Some(job.done.len()), Some(running));
        Some(Answer::new(200, body).until(self.leader_until()))
    }

    pub(super) fn running_of(&self, id: &str, run: &Run) -> u32 {
        let Some(lead) = &self.lead else { return 0 };
        let running = |(row, machine): (&u32, &MachineId)| {
            let key = TaskKey {
                job: Self::job_id(id),
                row: *row,
            };
            lead.machines
                .get(machine)
                .and_then(|m| m.tasks.get(&key))
                .is_some_and(|t| t.runs())
        };
        run.placed.iter().filter(|x| running(*x)).count() as u32
    }

    pub(super) fn user(&mut self, request: UserRequest) {
        let id = match &request.what {
            Ask::Submit(spec) => spec.id.to_string(),
            Ask::Malformed(id, _) | Ask::Show(id) | Ask::Cancel(id) => id.clone(),
        };
        // What is final may always be repeated, by any node.
        if let Some(answer) = self.final_answer(&id) {
            return self.answer(request.ticket, answer);
        }
        if self.acting() {
            return self.user_at_leader(&id, request);
        }
        if !stands(Guard::FreshRead) && matches!(request.what, Ask::Show(_)) {
            return match self.mirror.jobs.contains_key(id.as_str()) {
                true => self.show_fresh(request.ticket, &id),
                false => self.answer(request.ticket, Answer::error(404, "no such job")),
            };
        }
        if request.forwarded {
            // From a node that cannot reach the leader, or the state service: what needs no
            // leader is done here, if it can be.
            if self.state_is_stale() {
                return self.answer(request.ticket, Answer::busy("not the leader", 1));
            }
            return self.user_without_leader(request);
        }
        if let Ask::Malformed(id, answer) = request.what {
            return self.reread(id, ReadPurpose::Reject(request.ticket, answer));
        }
        self.pass_on(request);
    }

    /// Passes a request to the leader; without the state service, to whoever may serve it. When
    /// nobody is left to ask, it is served here as well as can be.
    fn pass_on(&mut self, mut request: UserRequest) {
        let now = self.now.mono;
        let stale = self.state_is_stale();
        let leader = self.leader_name();
        let reachable = |name: &str| self.peers_down.get(name).is_none_or(|t| now >= *t);
        // A submission needs no leader, and cannot wait to find out that there is none.
        let submission = matches!(request.what, Ask::Submit(_));
        let late = submission && !stale && self.relay.leader_is_late(self.mirror.term, now);
        let peer = self
            .settings
            .peers
            .iter()
            .map(|p| p.name.as_str())
            .filter(|p| (stale || leader == Some(*p)) && reachable(p) && !late)
            .filter(|p| !request.tried.iter().any(|t| t == p))
            // The one that leads, as far as known, comes first.
            .min_by_key(|p| leader != Some(*p))
            .map(str::to_string);
        let Some(peer) = peer else {
            return self.user_without_leader(request);
        };
        let message = match &request.what {
            Ask::Submit(spec) => PeerRequest::Submit(spec.clone()),
            Ask::Cancel(id) => PeerRequest::Cancel(id.clone()),
            Ask::Show(id) | Ask::Malformed(id, _) => PeerRequest::Show(id.clone()),
        };
        request.tried.push(peer.clone());
        let ticket = request.ticket;
        self.forwards.insert(ticket, request);
        self.out.push(Effect::Forward {
            ticket,
            peer,
            request: message,
        });
    }

    /// The state service has not been heard for longer than it ever takes.
    pub(super) fn state_is_stale(&self) -> bool {
        self.now.mono > self.state_ok + STALE
    }

    /// Without the state service, this node finds out whether others serve.
    pub(super) fn probe_peers(&mut self) {
        let now = self.now.mono;
        if !self.state_is_stale() || self.probed.is_some_and(|at| now < at + PROBE_EVERY) {
            return;
        }
        let n = self.settings.peers.len();
        if n == 0 {
            return;
        }
        self.probes += 1;
        let peer = self.settings.peers[self.probes as usize % n].name.clone();
        self.probed = Some(now);
        self.out.push(Effect::Forward {
            ticket: Ticket::MAX - self.probes,
            peer,
            // A job that nobody can have submitted: answered only by who can read the state.
            request: PeerRequest::Show(PROBE_ID.into()),
        });
    }

    fn user_at_leader(&mut self, id: &str, request: UserRequest) {
        let ticket = request.ticket;
        match request.what {
            // A leader that may just be losing its lease lets another node accept the job.
            Ask::Submit(spec)
                if !request.forwarded
                    && self.state_is_stale()
                    && !self.mirror.jobs.contains_key(id) =>
            {
                self.pass_on(UserRequest {
                    what: Ask::Submit(spec),
                    ..request
                });
            }
            Ask::Submit(spec) => match self.live_answer(id) {
                Some(answer) => self.answer(ticket, answer),
                None => self.accept(ticket, spec, request.received, false),
            },
            Ask::Malformed(id, answer) => match self.live_answer(&id) {
                Some(known) => self.answer(ticket, known),
                None => self.reread(id, ReadPurpose::Reject(ticket, answer)),
            },
            Ask::Show(id) => match self.live_answer(&id) {
                Some(answer) => self.answer(ticket, answer),
                None => self.read_for_question(id, ticket),
            },
            Ask::Cancel(id) => {
                if self.mirror.jobs.contains_key(id.as_str()) {
                    self.cancel(ticket, &id);
                } else {
                    self.reread(id, ReadPurpose::Cancel(ticket));
                }
            }
        }
    }

    /// The leader cannot be reached: jobs are accepted and read directly on the state service.
    /// Nothing is cancelled here, since the leader would not know it in time.
    fn user_without_leader(&mut self, request: UserRequest) {
        let ticket = request.ticket;
        // Nobody else is left to ask, and the state service would not be heard either: queued for it,
        // the request would be answered when its user has long gone.
        if self.state_is_stale() {
            let answer = Answer::busy("the state service is not reached", 1);
            return self.answer(ticket, answer);
        }
        match request.what {
            Ask::Submit(spec) => self.accept(ticket, spec, request.received, false),
            Ask::Show(id) => self.read_for_question(id, ticket),
            Ask::Malformed(id, answer) => self.reread(id, ReadPurpose::Reject(ticket, answer)),
            Ask::Cancel(_) => self.answer(ticket, Answer::busy("no leader", 1)),
        }
    }

    pub(super) fn forwarded(&mut self, ticket: Ticket, peer: String, answer: Option<PeerAnswer>) {
        if answer.is_some() {
            self.peer_heard = self.now.mono;
        }
        let Some(request) = self.forwards.remove(&ticket) else {
            return;
        };
        if let Some(a) = answer {
            self.peers_down.remove(&peer);
            if a.status != 503 {
                let id = match &request.what {
                    Ask::Submit(spec) => spec.id.to_string(),
                    Ask::Show(id) | Ask::Cancel(id) | Ask::Malformed(id, _) => id.clone(),
                };
                let body = match (a.state, &request.what) {
                    (Some(state), _) => state_body(&id, state, a.done, a.running),
                    // The leader's reason does not come along; this node mostly knows it too.
                    (None, Ask::Submit(spec)) if a.status == 422 => self.refusal_of(spec).body,
                    (None, _) => crate::wire::error_body("see the status"),
                };
                let mut answer = Answer::new(a.status, body);
                answer.retry_after = a.retry_after;
                return self.answer(ticket, answer);
            }
        } else {
            self.peers_down
                .insert(peer, self.now.mono + Duration::from_secs(1));
        }
        // Meanwhile this node may have become the leader itself.
        if self.acting() && !self.state_is_stale() {
            self.user(request);
        } else {
            self.pass_on(request);
        }
    }

    /// 422 for what can never run, 503 while that cannot be told.
    fn judge(&self, spec: &JobSpec) -> Result<(), Answer> {
        let never = |text: &str| Err(Answer::error(422, text));
        let Some(team) = self.settings.team(&spec.team) else {
            return never("unknown team");
        };
        if self.types.is_empty() {
            return Err(Answer::busy("machine types are not known yet", 2));
        }
        // A type that names no zones is to be had in those of the settings.
        let fits = self.types.iter().any(|t| {
            let zones = if t.zones.is_empty() {
                &self.settings.zones
            } else {
                &t.zones
            };
            spec.allows_type(&t.name)
                && spec.needs.fits(&t.room())
                && (zones.is_empty() || spec.zone.as_ref().is_none_or(|z| zones.contains(z)))
        });
        if !fits {
            return never("a task fits no allowed machine type");
        }
        let n = match spec.kind {
            Kind::Array => 1.0,
            Kind::Service | Kind::Gang => f64::from(spec.tasks),
        };
        let over = |need: f64, max: Option<f64>| max.is_some_and(|m| need * n > m + 1e-6);
        if over(spec.needs.cpus, team.cpus_max) || over(spec.needs.gpus, team.gpus_max) {
            return never("needs more than the team's limit");
        }
        Ok(())
    }

    /// 422 for what it awaits wrongly.
    fn judge_awaits(&self, spec: &JobSpec) -> Result<(), Answer> {
        let service = |a: &JobId| {
            let job = self.mirror.jobs.get(a);
            job.is_some_and(|j| j.spec.kind == Kind::Service)
        };
        let never = |text: String| Err(Answer::error(422, &text));
        if spec.awaits.contains(&spec.id) {
            return never("it awaits itself".into());
        }
        if let Some(a) = spec.awaits.iter().find(|a| service(a)) {
            return never(format!("it awaits {a}, a service, which is never done"));
        }
        Ok(())
    }

    /// A job that is awaited and, as far as this node knows, was never accepted.
    fn unknown_awaited<'a>(&self, spec: &'a JobSpec) -> Option<&'a JobId> {
        spec.awaits.iter().find(|a| !self.mirror.knows(a))
    }

    /// Why a submission was refused for good.
    fn refusal_of(&self, spec: &JobSpec) -> Answer {
        let judged = self.judge(spec).and_then(|()| self.judge_awaits(spec));
        judged.err().unwrap_or_else(|| {
            let text = match self.unknown_awaited(spec) {
                Some(a) => format!("it awaits {a}, which was never accepted"),
                None => "it can never run, the leader's log says why".into(),
            };
            Answer::error(422, &text)
        })
    }

    /// Accepts a submission; `informed` if this node's copy holds all that was accepted before it
    /// came.
    pub(super) fn accept(
        &mut self,
        ticket: Ticket,
        mut spec: Box<JobSpec>,
        received: Instant,
        informed: bool,
    ) {
        // It may be over, and somebody remember that: accepted anew, it would be said to wait.
        if self.unsaid() {
            return self.answer(ticket, being_rebuilt());
        }
        let judged = self.judge(&spec).and_then(|()| self.judge_awaits(&spec));
        if let Err(answer) = judged {
            if answer.status == 503 {
                return self.answer(ticket, answer);
            }
            let id = spec.id.to_string();
            return self.reread(id, ReadPurpose::Reject(ticket, answer));
        }
        if self.unknown_awaited(&spec).is_some() {
            // This node's copy lags a little behind what other nodes accept, and users submit a
            // job as soon as those that it needs are accepted.
            if !informed {
                return self.ask_all(Question::Submit(ticket, spec, received));
            }
            let answer = self.refusal_of(&spec);
            tracing::info!(
                job = %spec.id, "job {} refused: {}",
                spec.id,
                String::from_utf8_lossy(&answer.body)
            );
            return self.reread(spec.id.to_string(), ReadPurpose::Reject(ticket, answer));
        }
        // A job more than the memory is for would end the process, and every other job with it.
        let live: u64 = self
            .mirror
            .jobs
            .values()
            .map(|j| u64::from(j.spec.tasks))
            .sum();
        let most = most_tasks(&self.settings);
        if !self.mirror.jobs.is_empty() && live + u64::from(spec.tasks) > most {
            return self.answer(ticket, Answer::busy("too many unfinished tasks", 30));
        }
        // Names of types that the cloud does not have allow nothing; they are not kept.
        if let Some(names) = &mut spec.types {
            names.retain(|n| self.types.iter().any(|t| t.name == *n));
        }
        // Somewhat less than a value may have: the service may write numbers at greater length.
        let most = self.settings.value_bytes / 16 * 15;
        let whole = JobValue::live(spec.clone(), u64::MAX);
        if to_json(&whole).len() <= most {
            return self.create(ticket, spec, received, 0, None);
        }
        let id = spec.id.to_string();
        if self.mirror.knows(&id) {
            return self.reread(id, ReadPurpose::Show(ticket));
        }
        let text = String::from_utf8(to_json(&spec)).unwrap_or_default();
        let parts = parts::cut(&text, most);
        // The job's key is written on a condition for each part.
        if parts.len() > self.settings.txn_ops * 4 - 1 {
            let answer = Answer::error(422, "too large to be kept");
            return self.reread(id, ReadPurpose::Reject(ticket, answer));
        }
        let parts = Box::new(Writing {
            stem: self.next_stem(),
            parts,
            versions: Vec::new(),
        });
        self.write_parts(ticket, spec, received, parts);
    }

    /// Another process, or this one later, writes under another stem.
    fn next_stem(&self) -> Stem {
        self.nonce.wrapping_add(self.next_call) >> 1
    }

    /// Writes the next parts of a large job.
    fn write_parts(
        &mut self,
        ticket: Ticket,
        spec: Box<JobSpec>,
        since: Instant,
        parts: Box<Writing>,
    ) {
        let from = parts.versions.len();
        let by_bytes = MOST_TXN_BYTES / self.settings.value_bytes.max(1);
        let most = self.settings.txn_ops.min(by_bytes).max(1);
        let next = parts.parts.iter().enumerate().skip(from).take(most);
        let put = |(n, text): (usize, &String)| Change::Put {
            key: part_key(&spec.id, parts.stem, n as u32),
            value: json(&PartValue { text: text.clone() }),
            lease: None,
        };
        let changes: Vec<Change> = next.map(put).collect();
        let sent = changes.len();
        let txn = Txn {
            conditions: Vec::new(),
            changes,
        };
        let pending = Pending::Parts {
            ticket,
            spec,
            since,
            parts,
            sent,
        };
        self.ask_state(pending, StateRequest::Txn(txn));
    }

    pub(super) fn parts_written(
        &mut self,
        ticket: Ticket,
        spec: Box<JobSpec>,
        since: Instant,
        mut parts: Box<Writing>,
        sent: usize,
        outcome: StateOutcome,
    ) {
        match outcome {
            StateOutcome::Committed { revision } => {
                parts.versions.extend(std::iter::repeat_n(revision, sent));
                if parts.versions.len() < parts.parts.len() {
                    self.write_parts(ticket, spec, since, parts);
                } else {
                    self.create(ticket, spec, since, 0, Some(parts));
                }
            }
            // Some may be written late: they are written anew under other names.
            StateOutcome::Unknown(e)
                if self.now.mono.saturating_duration_since(since) < PARTS_AGAIN =>
            {
                tracing::info!(job = %spec.id, "job {}: no answer to its parts: {e}", spec.id);
                parts.stem = self.next_stem();
                parts.versions.clear();
                self.write_parts(ticket, spec, since, parts);
            }
            // What was written is cleared when nobody has referred to it for long.
            other => {
                tracing::info!(job = %spec.id, "job {}: its parts are not kept: {other:?}", spec.id);
                self.answer(ticket, Answer::busy("the job cannot be kept now", 1));
            }
        }
    }

    fn create(
        &mut self,
        ticket: Ticket,
        spec: Box<JobSpec>,
        since: Instant,
        tries: u32,
        parts: Option<Box<Writing>>,
    ) {
        let submitted = self.now.wall - self.now.mono.saturating_duration_since(since);
        let ms = submitted
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis() as u64;
        let txn = creation(&spec, ms, parts.as_deref());
        let pending = Pending::Create {
            ticket,
            spec,
            since,
            tries,
            parts,
        };
        let call = self.ask_state(pending, StateRequest::Txn(txn));
        let look_at = self.now.mono + SETTLE_AFTER;
        self.unanswered_creations.push_back((look_at, call));
    }

    /// Settles creations without an answer whose job is in the store: it is accepted, whoever wrote it, and a
    /// fresh read tells how it stands.
    pub(super) fn settle_creations(&mut self) {
        let now = self.now.mono;
        while let Some((_, call)) = self.unanswered_creations.pop_front_if(|(at, _)| *at <= now) {
            let Some(Pending::Create { ticket, spec, .. }) = self.pending.get(&call) else {
                continue;
            };
            if !self.mirror.knows(&spec.id) {
                let look_at = now + SETTLE_AFTER;
                self.unanswered_creations.push_back((look_at, call));
                continue;
            }
            let (ticket, id) = (*ticket, spec.id.to_string());
            tracing::info!(job = %id, "job {id}: no answer to its creation, and it is in the store");
            self.pending.remove(&call);
            self.reread(id, ReadPurpose::Accepted(ticket));
        }
    }

    pub(super) fn created(
        &mut self,
        ticket: Ticket,
        spec: Box<JobSpec>,
        since: Instant,
        tries: u32,
        parts: Option<Box<Writing>>,
        outcome: StateOutcome,
    ) {
        let waited = self.now.mono.saturating_duration_since(since);
        match outcome {
            StateOutcome::Committed { revision } => {
                let id = spec.id.clone();
                let ms = self
                    .now
                    .wall
                    .duration_since(SystemTime::UNIX_EPOCH)
                    .unwrap_or_default()
                    .saturating_sub(waited)
                    .as_millis() as u64;
                tracing::info!(
                    job = %id, "job {id} accepted: class {} team {} tasks {}",
                    spec.class,
                    spec.team,
                    spec.tasks
                );
                note(&mut self.stats.accept, waited.as_millis());
                let value = match parts {
                    None => JobValue::live(spec, ms),
                    // The copy reads it from its parts, which were written before.
                    Some(w) => JobValue::Parted {
                        parts: w.parts.len() as u32,
                        stem: w.stem,
                        submitted_ms: ms,
                    },
                };
                self.mirror.put_job(&id, value, revision);
                self.take_in_jobs();
                // What names a cancelled job is accepted all the same.
                let state = self
                    .mirror
                    .end_of(&id)
                    .map_or(JobState::Queued, final_state);
                self.answer(ticket, Answer::new(201, state_body(&id, state, None, None)));
            }
            StateOutcome::Conflict { .. } if stands(Guard::Conflict) => {
                self.reread(spec.id.to_string(), ReadPurpose::Show(ticket));
            }
            StateOutcome::Conflict { .. } => {
                let body = state_body(&spec.id, JobState::Queued, None, None);
                self.answer(ticket, Answer::new(201, body));
            }
            StateOutcome::Unknown(_) if !stands(Guard::Accepted) => {
                let body = state_body(&spec.id, JobState::Queued, None, None);
                self.answer(ticket, Answer::new(201, body));
            }
            StateOutcome::Unknown(e) if tries < 2 && waited < Duration::from_secs(3) => {
                tracing::info!(job = %spec.id, "job {}: no answer to its creation: {e}", spec.id);
                self.create(ticket, spec, since, tries + 1, parts);
            }
            StateOutcome::Refused(e) if tries < 1 => {
                tracing::debug!(job = %spec.id, "job {}: creation refused: {e}", spec.id);
                self.create(ticket, spec, since, tries + 1, parts);
            }
            StateOutcome::Invalid(e) => {
                tracing::error!(job = %spec.id, "job {}: the state service refuses it: {e}", spec.id);
                self.answer(ticket, Answer::error(422, "too large to be kept"));
            }
            _ => self.answer(ticket, Answer::busy("the job cannot be kept now", 1)),
        }
    }

    /// Reads a job's key for a user's question, within the budget for these. Without a leader every
    /// question takes a read. Queued for the state service's limit they kept it busy for many
    /// seconds after their askers had gone, and submissions waited behind them.
    fn read_for_question(&mut self, id: String, ticket: Ticket) {
        if self.read_budget.try_take(self.now.mono) {
            self.reread(id, ReadPurpose::Show(ticket));
        } else {
            self.answer(ticket, Answer::busy("too many questions now", 1));
        }
    }

    pub(super) fn reread(&mut self, id: String, purpose: ReadPurpose) {
        let key = job_key(&id);
        self.ask_state(Pending::Read { id, purpose }, StateRequest::Get(key));
    }

    pub(super) fn read(&mut self, id: String, purpose: ReadPurpose, outcome: StateOutcome) {
        let ticket = match &purpose {
            ReadPurpose::Show(t)
            | ReadPurpose::Accepted(t)
            | ReadPurpose::Cancel(t)
            | ReadPurpose::Reject(t, _) => *t,
        };
        let accepted = matches!(purpose, ReadPurpose::Accepted(_));
        match outcome {
            StateOutcome::Missing { .. } if self.mirror.jobs.contains_key(id.as_str()) => {
                if !self.incomplete() {
                    self.doubt("it has forgotten a job");
                    let answer = Answer::busy("the state service may have lost data", 1);
                    return self.answer(ticket, answer);
                }
                // Remembered, and not written back yet.
                match purpose {
                    ReadPurpose::Cancel(_) if self.acting() => self.cancel(ticket, &id),
                    ReadPurpose::Cancel(_) => {
                        self.answer(ticket, Answer::busy("the leader changed", 1));
                    }
                    _ => self.show_fresh(ticket, &id),
                }
            }
            StateOutcome::Missing { .. } if self.unproven() => {
                // It may have been accepted all the same.
                let answer = Answer::busy("whether it was accepted cannot be told yet", 3);
                self.answer(ticket, answer);
            }
            StateOutcome::Missing { .. } => match purpose {
                ReadPurpose::Reject(_, answer) => self.answer(ticket, answer),
                _ if stands(Guard::Unknown) => {
                    self.answer(ticket, Answer::error(404, "no such job"));
                }
                _ => {
                    let body = state_body(&id, JobState::Queued, None, None);
                    self.answer(ticket, Answer::new(200, body));
                }
            },
            StateOutcome::Found(item) => {
                let value: JobValue = match serde_json::from_value(item.value) {
                    Ok(v) => v,
                    Err(e) => {
                        tracing::error!(job = %id, "job {id}: unreadable: {e}");
                        return self.answer(ticket, Answer::busy("unreadable", 5));
                    }
                };
                self.mirror.put_job(&id, value, item.version);
                self.take_in_jobs();
                let settled = self.final_answer(&id).is_some()
                    || self.mirror.jobs.contains_key(id.as_str()) && !self.awaits_others(&id);
                if accepted && settled {
                    let mut answer = self.fresh_answer(&id);
                    if answer.status == 200 {
                        answer.status = 201;
                    }
                    self.answer(ticket, answer);
                } else if let Some(answer) = self.final_answer(&id) {
                    self.answer(ticket, answer);
                } else if let (ReadPurpose::Cancel(_), true) = (&purpose, self.acting()) {
                    self.cancel(ticket, &id);
                } else if let ReadPurpose::Cancel(_) = purpose {
                    self.answer(ticket, Answer::busy("the leader changed", 1));
                } else if self.awaits_others(&id) || !self.mirror.jobs.contains_key(id.as_str()) {
                    // Its own key does not tell how those that it needs have ended.
                    self.ask_all(Question::Show(ticket, id));
                } else {
                    self.show_fresh(ticket, &id);
                }
            }
            other => {
                tracing::debug!(job = %id, "job {id}: not read: {other:?}");
                self.answer(ticket, Answer::busy("the state cannot be read now", 1));
            }
        }
    }

    fn awaits_others(&self, id: &str) -> bool {
        let job = self.mirror.jobs.get(id);
        job.is_some_and(|j| !j.spec.awaits.is_empty())
    }

    /// Answers with what was read after the question came: nobody can have been told anything
    /// newer before.
    pub(super) fn show_fresh(&mut self, ticket: Ticket, id: &str) {
        let answer = self.fresh_answer(id);
        self.answer(ticket, answer);
    }

    fn fresh_answer(&self, id: &str) -> Answer {
        let known = self.final_answer(id).or_else(|| self.live_answer(id));
        known.unwrap_or_else(|| match self.mirror.jobs.get(id) {
            None => Answer::busy("the state cannot be read now", 1),
            Some(_) if self.unsaid() => being_rebuilt(),
            Some(job) => {
                let done = job.done.len();
                let state = if done > 0 {
                    JobState::Running
                } else {
                    JobState::Queued
                };
                Answer::new(200, state_body(id, state, Some(done), None))
            }
        })
    }

    /// Cancels a live job. Its end is durable before anybody is told.
    fn cancel(&mut self, ticket: Ticket, id: &str) {
        if self.unsaid() {
            return self.answer(ticket, being_rebuilt());
        }
        let Some(lead) = &mut self.lead else { return };
        let Some(run) = lead.runs.get_mut(id) else {
            return self.answer(ticket, Answer::busy("not ready", 1));
        };
        if stands(Guard::Cancelled) {
            run.cancel_waiters.push(ticket);
        } else {
            let body = state_body(id, JobState::Cancelled, None, None);
            self.out.push(Effect::Answer {
                ticket,
                answer: Answer::new(200, body),
            });
        }
        if run.ending.is_none() {
            tracing::info!(job = %id, "job {id}: cancelled by its user");
            run.ending = Some(Final::Cancelled);
            // What they do from now on is of no use to anybody, and what was still to start would start after
            // its user was told. Should the end never be written, a later leader starts them again.
            if stands(Guard::Early) && stands(Guard::Stopped) {
                let id = Self::job_id(id);
                run.stop_placed(&id, &mut lead.machines, StopReason::Over, self.now.mono);
            }
            lead.writes.ends.insert(id.into(), Final::Cancelled);
            let with_it = self.mirror.pipelines.downstream(&Self::job_id(id));
            lead.in_doubt.extend(with_it);
        }
    }

    /// Brings the leader's runs in line with the mirror: new jobs begin, finished ones end.
    pub(super) fn take_in_jobs(&mut self) {
        let changed = std::mem::take(&mut self.mirror.changed);
        for id in changed {
            self.take_in(&id);
        }
    }

    fn take_in(&mut self, id: &JobId) {
        let Some(lead) = &mut self.lead else { return };
        let Some(job) = self.mirror.jobs.get(id) else {
            return self.wind_up(id);
        };
        if let Some(root) = self.mirror.pipelines.doomed(id) {
            // Nothing of it can have started, as not all that it needs is done.
            if lead.writes.followers.insert(id.clone()) {
                tracing::info!(job = %id, "job {id}: cancelled with {root}, which it needs");
            }
        }
        if !lead.runs.contains_key(id) {
            let queued = (0..job.spec.tasks).filter(|r| !job.done.contains(*r));
            let run = Run {
                team: self.settings.team_index(&job.spec.team),
                queued: queued.collect(),
                succeeded: job.done.len() > 0,
                ..Run::default()
            };
            lead.runs.insert(id.clone(), run);
            lead.judge_guarantees = true;
            if job.version > lead.key_version {
                lead.arrivals.note(self.now.mono, 1);
                let pace = lead.pace.get(&job.spec.class).map_or(1.0, Pace::factor);
                let (rank, run) = (job.spec.rank, job.spec.estimate.mul_f64(pace));
                lead.bidding.arrived(self.now.mono, &job.spec, rank, run);
            }
            // Accepted while a cancellation of what it needs is being written.
            let doubtful = |a: &JobId| {
                let ending = lead.runs.get(a).and_then(|r| r.ending);
                lead.in_doubt.contains(a) || ending == Some(Final::Cancelled)
            };
            if job.spec.awaits.iter().any(doubtful) {
                lead.in_doubt.insert(id.clone());
                let with_it = self.mirror.pipelines.downstream(id);
                lead.in_doubt.extend(with_it);
            }
            lead.plan_again = true;
        }
        if !job.spec.awaits.is_empty() && self.mirror.ready(id) {
            let Some(run) = lead.runs.get_mut(id) else {
                return;
            };
            if run.ready.is_none() {
                run.ready = Some(self.now);
                lead.judge_guarantees = true;
                lead.plan_again = true;
                tracing::info!(job = %id, "job {id}: all that it awaits is done");
            }
        }
        self.adopt(id);
        let Some(job) = self.mirror.jobs.get(id) else {
            return;
        };
        let before = job.spec.awaits.clone();
        for a in before.iter().chain([id]) {
            self.flow_back(a);
        }
        self.end_if_done(id);
    }

    /// A job's end is durable: its user may know, and whatever is left of it is stopped.
    fn wind_up(&mut self, id: &JobId) {
        let now = self.now.mono;
        self.adopt(id);
        let Some(lead) = &mut self.lead else { return };
        let Some(run) = lead.runs.remove(id) else {
            return;
        };
        lead.writes.ends.remove(id);
        lead.writes.followers.remove(id);
        lead.writes.progress.remove(id);
        lead.in_doubt.remove(id);
        lead.urgency.remove(id);
        lead.judge_guarantees = true;
        lead.plan_again = true;
        if let Some(end) = self.mirror.finished.get(id) {
            tracing::info!(job = %id, "job {id} is over: {end:?}");
        }
        if stands(Guard::Stopped) {
            run.stop_placed(id, &mut lead.machines, StopReason::Over, now);
        }
        if let Some(answer) = self.final_answer(id) {
            for ticket in run.cancel_waiters {
                self.answer(ticket, answer.clone());
            }
        }
    }

    /// Ends an array whose tasks are all done.
    pub(super) fn end_if_done(&mut self, id: &str) {
        let Some(lead) = &mut self.lead else { return };
        let (Some(run), Some(job)) = (lead.runs.get_mut(id), self.mirror.jobs.get(id)) else {
            return;
        };
        let missing = job.spec.tasks.saturating_sub(job.done.len());
        let all = missing == 0 || missing == 1 && !stands(Guard::AllDone);
        let all = job.spec.kind != Kind::Service && all;
        if all && run.ending.is_none() {
            run.ending = Some(Final::Done);
            lead.writes.ends.insert(id.into(), Final::Done);
        }
    }
}
