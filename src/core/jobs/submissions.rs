//! Submissions: whether a job can run, and how it comes to be in the state service. Any controller accepts one by a
//! create-only key; its user is told when that is durable.

use crate::core::command::{Pending, ReadPurpose};
use crate::core::jobs::queries::{final_state, rebuilding_answer, state_body};
use crate::core::store::cache::JobValue;
use crate::core::store::keys::{PartGeneration, job_key, part_key};
use crate::core::store::large_jobs::{self, PartValue, PartWrite};
use crate::core::store::read_barrier::Question;
use crate::core::store::transaction::MAX_TRANSACTION_BYTES;
use crate::core::{Core, Ticket, record};
use crate::fault_injection::{Safeguard, is_enabled};
use crate::http::Response;
use crate::job::{JobId, JobKind, JobSpec};
use crate::settings::Settings;
use crate::store_client::{StoreOutcome, StoreRequest};
use crate::wire::{Change, CompareAndSwap, Condition, JobState, to_json, to_json_value};
use std::time::{Duration, Instant, SystemTime};

/// The state service answers within some ten milliseconds. A creation without an answer for so long is settled
/// as soon as this process's copy of the store shows the job, and looked at so often until then.
const CREATION_CHECK_INTERVAL: Duration = Duration::from_millis(60);
/// A submission takes 5 s at the most: its parts are written once more where no answer came within this.
const PARTS_RETRY_WINDOW: Duration = Duration::from_millis(2500);
/// The part of the memory that unfinished jobs may take, and what a task of theirs takes: a row
/// in the sets of its job, a little more while it is placed.
const JOBS_SHARE: f64 = 0.25;
const BYTES_PER_TASK: f64 = 32.0;

/// How many tasks unfinished jobs may have.
pub fn max_unfinished_tasks(settings: &Settings) -> u64 {
    (settings.memory_mb * 1e6 * JOBS_SHARE / BYTES_PER_TASK) as u64
}

/// The stored form of a newly accepted job; of a large one what its key holds, given its parts.
pub(in crate::core) fn creation(
    spec: &JobSpec,
    submitted_ms: u64,
    parts: Option<&PartWrite>,
) -> CompareAndSwap {
    let value = match parts {
        None => JobValue::live(Box::new(spec.clone()), submitted_ms),
        Some(w) => JobValue::Parted {
            parts: w.parts.len() as u32,
            generation: w.generation,
            submitted_ms,
        },
    };
    let key = job_key(&spec.id);
    // Create-only: an acceptance that is applied late, or twice, or by two nodes, is still the one
    // job that its user asked for. A large job's parts must be there: a leader clears those that
    // no job has referred to for long.
    let mut conditions = vec![Condition {
        key: key.clone(),
        version: 0,
    }];
    if let Some(w) = parts {
        let parts = w.versions.iter().enumerate();
        conditions.extend(parts.map(|(n, version)| Condition {
            key: part_key(&spec.id, w.generation, n as u32),
            version: *version,
        }));
    }
    CompareAndSwap {
        conditions,
        changes: vec![Change::Put {
            key,
            value: to_json_value(&value),
            lease: None,
        }],
    }
}

impl Core {
    /// 422 for what can never run, 503 while that cannot be told.
    fn validate_placement(&self, spec: &JobSpec) -> Result<(), Response> {
        let never = |text: &str| Err(Response::error(422, text));
        let Some(team) = self.settings.team(&spec.team) else {
            return never("unknown team");
        };
        if self.machine_types.is_empty() {
            return Err(Response::busy("machine types are not known yet", 2));
        }
        // A type that names no zones is to be had in those of the settings.
        let fits = self.machine_types.iter().any(|t| {
            let zones = if t.zones.is_empty() {
                &self.settings.zones
            } else {
                &t.zones
            };
            spec.allows_type(&t.name)
                && spec.resources.fits(&t.room())
                && (zones.is_empty() || spec.zone.as_ref().is_none_or(|z| zones.contains(z)))
        });
        if !fits {
            return never("a task fits no allowed machine type");
        }
        let n = match spec.job_kind {
            JobKind::Array => 1.0,
            JobKind::Service | JobKind::Gang => f64::from(spec.tasks),
        };
        let over = |need: f64, max: Option<f64>| max.is_some_and(|m| need * n > m + 1e-6);
        if over(spec.resources.cpus, team.cpus_max) || over(spec.resources.gpus, team.gpus_max) {
            return never("needs more than the team's limit");
        }
        Ok(())
    }

    /// 422 for what it awaits wrongly.
    fn validate_dependencies(&self, spec: &JobSpec) -> Result<(), Response> {
        let service = |a: &JobId| {
            let job = self.store_cache.jobs.get(a);
            job.is_some_and(|j| j.spec.job_kind == JobKind::Service)
        };
        let never = |text: String| Err(Response::error(422, &text));
        if spec.dependencies.contains(&spec.id) {
            return never("it awaits itself".into());
        }
        if let Some(a) = spec.dependencies.iter().find(|a| service(a)) {
            return never(format!("it awaits {a}, a service, which is never done"));
        }
        Ok(())
    }

    /// A job that is awaited and, as far as this node knows, was never accepted.
    fn unknown_dependency<'a>(&self, spec: &'a JobSpec) -> Option<&'a JobId> {
        spec.dependencies
            .iter()
            .find(|a| !self.store_cache.knows(a))
    }

    /// Why a submission was refused for good.
    pub(in crate::core) fn rejection_reason(&self, spec: &JobSpec) -> Response {
        let judged = self
            .validate_placement(spec)
            .and_then(|()| self.validate_dependencies(spec));
        judged.err().unwrap_or_else(|| {
            let text = match self.unknown_dependency(spec) {
                Some(a) => format!("it awaits {a}, which was never accepted"),
                None => "it can never run, the leader's log says why".into(),
            };
            Response::error(422, &text)
        })
    }

    /// Accepts a submission; `informed` if this node's copy holds all that was accepted before it
    /// came.
    pub(in crate::core) fn accept(
        &mut self,
        ticket: Ticket,
        mut spec: Box<JobSpec>,
        received: Instant,
        informed: bool,
    ) {
        // It may be over, and somebody remember that: accepted anew, it would be said to wait.
        if self.must_withhold_state() {
            return self.answer(ticket, rebuilding_answer());
        }
        let judged = self
            .validate_placement(&spec)
            .and_then(|()| self.validate_dependencies(&spec));
        if let Err(answer) = judged {
            if answer.status == 503 {
                return self.answer(ticket, answer);
            }
            let id = spec.id.to_string();
            return self.read_job_key(id, ReadPurpose::Reject(ticket, answer));
        }
        if self.unknown_dependency(&spec).is_some() {
            // This node's copy lags a little behind what other nodes accept, and users submit a
            // job as soon as those that it needs are accepted.
            if !informed {
                return self.queue_barrier_query(Question::Submit(ticket, spec, received));
            }
            let answer = self.rejection_reason(&spec);
            tracing::info!(
                job = %spec.id, "job {} refused: {}",
                spec.id,
                String::from_utf8_lossy(&answer.body)
            );
            return self.read_job_key(spec.id.to_string(), ReadPurpose::Reject(ticket, answer));
        }
        // A job more than the memory is for would end the process, and every other job with it.
        let live: u64 = self
            .store_cache
            .jobs
            .values()
            .map(|j| u64::from(j.spec.tasks))
            .sum();
        let most = max_unfinished_tasks(&self.settings);
        if !self.store_cache.jobs.is_empty() && live + u64::from(spec.tasks) > most {
            return self.answer(ticket, Response::busy("too many unfinished tasks", 30));
        }
        // Names of types that the cloud does not have allow nothing; they are not kept.
        if let Some(names) = &mut spec.machine_types {
            names.retain(|n| self.machine_types.iter().any(|t| t.name == *n));
        }
        // Somewhat less than a value may have: the service may write numbers at greater length.
        let most = self.settings.max_value_bytes / 16 * 15;
        let whole = JobValue::live(spec.clone(), u64::MAX);
        if to_json(&whole).len() <= most {
            return self.create(ticket, spec, received, 0, None);
        }
        let id = spec.id.to_string();
        if self.store_cache.knows(&id) {
            return self.read_job_key(id, ReadPurpose::Show(ticket));
        }
        let text = String::from_utf8(to_json(&spec)).unwrap_or_default();
        let parts = large_jobs::cut(&text, most);
        // The job's key is written on a condition for each part.
        if parts.len() > self.settings.max_transaction_changes * 4 - 1 {
            let answer = Response::error(422, "too large to be kept");
            return self.read_job_key(id, ReadPurpose::Reject(ticket, answer));
        }
        let parts = Box::new(PartWrite {
            generation: self.next_part_generation(),
            parts,
            versions: Vec::new(),
        });
        self.write_parts(ticket, spec, received, parts);
    }

    /// Another process, or this one later, writes under another stem.
    fn next_part_generation(&self) -> PartGeneration {
        self.nonce.wrapping_add(self.next_call) >> 1
    }

    /// Writes the next parts of a large job.
    fn write_parts(
        &mut self,
        ticket: Ticket,
        spec: Box<JobSpec>,
        since: Instant,
        parts: Box<PartWrite>,
    ) {
        let from = parts.versions.len();
        let by_bytes = MAX_TRANSACTION_BYTES / self.settings.max_value_bytes.max(1);
        let most = self.settings.max_transaction_changes.min(by_bytes).max(1);
        let next = parts.parts.iter().enumerate().skip(from).take(most);
        let put = |(n, text): (usize, &String)| Change::Put {
            key: part_key(&spec.id, parts.generation, n as u32),
            value: to_json_value(&PartValue { text: text.clone() }),
            lease: None,
        };
        let changes: Vec<Change> = next.map(put).collect();
        let sent = changes.len();
        let txn = CompareAndSwap {
            conditions: Vec::new(),
            changes,
        };
        let pending = Pending::CreateJobParts {
            ticket,
            spec,
            since,
            parts,
            sent,
        };
        self.call_store(pending, StoreRequest::CompareAndSwap(txn));
    }

    pub(in crate::core) fn parts_outcome(
        &mut self,
        ticket: Ticket,
        spec: Box<JobSpec>,
        since: Instant,
        mut parts: Box<PartWrite>,
        sent: usize,
        outcome: StoreOutcome,
    ) {
        match outcome {
            StoreOutcome::Committed { revision } => {
                parts.versions.extend(std::iter::repeat_n(revision, sent));
                if parts.versions.len() < parts.parts.len() {
                    self.write_parts(ticket, spec, since, parts);
                } else {
                    self.create(ticket, spec, since, 0, Some(parts));
                }
            }
            // Some may be written late: they are written anew under other names.
            StoreOutcome::Unknown(e)
                if self.now.mono.saturating_duration_since(since) < PARTS_RETRY_WINDOW =>
            {
                tracing::info!(job = %spec.id, "job {}: no answer to its parts: {e}", spec.id);
                parts.generation = self.next_part_generation();
                parts.versions.clear();
                self.write_parts(ticket, spec, since, parts);
            }
            // What was written is cleared when nobody has referred to it for long.
            other => {
                tracing::info!(job = %spec.id, "job {}: its parts are not kept: {other:?}", spec.id);
                self.answer(ticket, Response::busy("the job cannot be kept now", 1));
            }
        }
    }

    /// When a submission was made that was received at this moment, in milliseconds since 1970.
    fn submitted_ms(&self, received: Instant) -> u64 {
        let waited = self.now.mono.saturating_duration_since(received);
        let now = self.now.wall.duration_since(SystemTime::UNIX_EPOCH);
        now.unwrap_or_default().saturating_sub(waited).as_millis() as u64
    }

    fn create(
        &mut self,
        ticket: Ticket,
        spec: Box<JobSpec>,
        since: Instant,
        tries: u32,
        parts: Option<Box<PartWrite>>,
    ) {
        let ms = self.submitted_ms(since);
        let txn = creation(&spec, ms, parts.as_deref());
        let pending = Pending::CreateJob {
            ticket,
            spec,
            since,
            tries,
            parts,
        };
        let call = self.call_store(pending, StoreRequest::CompareAndSwap(txn));
        let look_at = self.now.mono + CREATION_CHECK_INTERVAL;
        self.unanswered_creations.push_back((look_at, call));
    }

    /// Settles creations without an answer whose job is in the store: it is accepted, whoever wrote it, and a
    /// fresh read tells how it stands.
    pub(in crate::core) fn resolve_creations(&mut self) {
        let now = self.now.mono;
        while let Some((_, call)) = self.unanswered_creations.pop_front_if(|(at, _)| *at <= now) {
            let Some(Pending::CreateJob { ticket, spec, .. }) = self.pending.get(&call) else {
                continue;
            };
            if !self.store_cache.knows(&spec.id) {
                let look_at = now + CREATION_CHECK_INTERVAL;
                self.unanswered_creations.push_back((look_at, call));
                continue;
            }
            let (ticket, id) = (*ticket, spec.id.to_string());
            tracing::info!(job = %id, "job {id}: no answer to its creation, and it is in the store");
            self.pending.remove(&call);
            self.read_job_key(id, ReadPurpose::Accepted(ticket));
        }
    }

    pub(in crate::core) fn creation_outcome(
        &mut self,
        ticket: Ticket,
        spec: Box<JobSpec>,
        since: Instant,
        tries: u32,
        parts: Option<Box<PartWrite>>,
        outcome: StoreOutcome,
    ) {
        let waited = self.now.mono.saturating_duration_since(since);
        match outcome {
            StoreOutcome::Committed { revision } => {
                let id = spec.id.clone();
                let ms = self.submitted_ms(since);
                tracing::info!(
                    job = %id, "job {id} accepted: class {} team {} tasks {}",
                    spec.class,
                    spec.team,
                    spec.tasks
                );
                record(&mut self.stats.accept, waited.as_millis());
                let value = match parts {
                    None => JobValue::live(spec, ms),
                    // The copy reads it from its parts, which were written before.
                    Some(w) => JobValue::Parted {
                        parts: w.parts.len() as u32,
                        generation: w.generation,
                        submitted_ms: ms,
                    },
                };
                self.store_cache.put_job(&id, value, revision);
                self.sync_job_runs();
                // What names a cancelled job is accepted all the same.
                let state = self
                    .store_cache
                    .outcome_of(&id)
                    .map_or(JobState::Queued, final_state);
                self.answer(
                    ticket,
                    Response::new(201, state_body(&id, state, None, None)),
                );
            }
            StoreOutcome::Conflict { .. } if is_enabled(Safeguard::ConflictDetection) => {
                self.read_job_key(spec.id.to_string(), ReadPurpose::Show(ticket));
            }
            StoreOutcome::Conflict { .. } => {
                let body = state_body(&spec.id, JobState::Queued, None, None);
                self.answer(ticket, Response::new(201, body));
            }
            StoreOutcome::Unknown(_) if !is_enabled(Safeguard::DurableAcceptance) => {
                let body = state_body(&spec.id, JobState::Queued, None, None);
                self.answer(ticket, Response::new(201, body));
            }
            StoreOutcome::Unknown(e) if tries < 2 && waited < Duration::from_secs(3) => {
                tracing::info!(job = %spec.id, "job {}: no answer to its creation: {e}", spec.id);
                self.create(ticket, spec, since, tries + 1, parts);
            }
            StoreOutcome::Refused(e) if tries < 1 => {
                tracing::debug!(job = %spec.id, "job {}: creation refused: {e}", spec.id);
                self.create(ticket, spec, since, tries + 1, parts);
            }
            StoreOutcome::Invalid(e) => {
                tracing::error!(job = %spec.id, "job {}: the state service refuses it: {e}", spec.id);
                self.answer(ticket, Response::error(422, "too large to be kept"));
            }
            _ => self.answer(ticket, Response::busy("the job cannot be kept now", 1)),
        }
    }
}
