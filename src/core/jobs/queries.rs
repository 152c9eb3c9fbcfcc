//! What users ask for: requests are answered from what is final, by an acting leader from memory, or by a read that is
//! begun after the question came; otherwise they are passed on to the leader.

use crate::core::jobs::creation::Submission;
use crate::core::jobs::job_run::JobRun;
use crate::core::store::cache::JobValue;
use crate::core::store::keys::job_key;
use crate::core::store::read_barrier::Question;
use crate::core::{Core, Effect, Pending, ReadPurpose, Ticket};
use crate::fault_injection::{Safeguard, is_enabled};
use crate::http::Answer;
use crate::job::{JobOutcome, JobSpec, MachineId, TaskId};
use crate::peer::{PeerAnswer, PeerRequest};
use crate::store_client::{StoreOutcome, StoreRequest};
use crate::wire::{JobState, JobStatus, to_json};
use std::time::{Duration, Instant};

/// The lease is renewed more often than this while the state service answers.
const STALE: Duration = Duration::from_millis(1100);
const PROBE_INTERVAL: Duration = Duration::from_millis(1000);
const PROBE_ID: &str = "wk-0";

#[derive(Debug)]
pub struct UserRequest {
    pub ticket: Ticket,
    pub action: Ask,
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

pub(in crate::core) fn state_body(
    id: &str,
    state: JobState,
    done: Option<u32>,
    running: Option<u32>,
) -> Vec<u8> {
    to_json(&JobStatus {
        id: id.to_string(),
        state,
        done,
        running,
    })
}

pub(in crate::core) fn final_state(end: JobOutcome) -> JobState {
    match end {
        JobOutcome::Done => JobState::Done,
        JobOutcome::Cancelled => JobState::Cancelled,
    }
}

pub(in crate::core) fn rebuilding_answer() -> Answer {
    Answer::busy("the state service has lost data and is being rebuilt", 1)
}

impl Core {
    pub(in crate::core) fn final_answer(&self, id: &str) -> Option<Answer> {
        let end = self.store_cache.outcome_of(id)?;
        let body = state_body(id, final_state(end), None, None);
        Some(Answer::new(200, body))
    }

    /// The store has lost data, and somebody may remember more than is known here: what is not final
    /// can't be told.
    pub(in crate::core) fn must_withhold_state(&self) -> bool {
        self.store_is_incomplete() && !self.may_report_state()
    }

    /// The state of a live job, which only an acting leader may tell from memory, and only while
    /// no end of it, or cancellation of one that it needs, is being written: that write may be
    /// committed already, and another node may have told the user.
    fn live_answer(&self, id: &str) -> Option<Answer> {
        if !self.acting() || self.must_withhold_state() {
            return None;
        }
        let job = self.store_cache.jobs.get(id)?;
        let leader = self.leader.as_ref()?;
        let run = leader.job_runs.get(id)?;
        if run.ending.is_some() || leader.cancellation_pending.contains(id) {
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

    pub(in crate::core) fn running_of(&self, id: &str, run: &JobRun) -> u32 {
        let Some(leader) = &self.leader else { return 0 };
        let running = |(row, machine): (&u32, &MachineId)| {
            let key = TaskId {
                job: Self::job_id(id),
                index: *row,
            };
            leader
                .machines
                .get(machine)
                .and_then(|m| m.tasks.get(&key))
                .is_some_and(|t| t.runs())
        };
        run.placed.iter().filter(|x| running(*x)).count() as u32
    }

    pub(in crate::core) fn serve_user(&mut self, request: UserRequest) {
        let id = match &request.action {
            Ask::Submit(spec) => spec.id.to_string(),
            Ask::Malformed(id, _) | Ask::Show(id) | Ask::Cancel(id) => id.clone(),
        };
        // What is final may always be repeated, by any node.
        if let Some(answer) = self.final_answer(&id) {
            return self.answer(request.ticket, answer);
        }
        if self.acting() {
            return self.serve_as_leader(&id, request);
        }
        if !is_enabled(Safeguard::FreshRead) && matches!(request.action, Ask::Show(_)) {
            return match self.store_cache.jobs.contains_key(id.as_str()) {
                true => self.show_fresh(request.ticket, &id),
                false => self.answer(request.ticket, Answer::error(404, "no such job")),
            };
        }
        if request.forwarded {
            // From a node that cannot reach the leader, or the state service: what needs no
            // leader is done here, if it can be.
            if self.store_is_stale() {
                return self.answer(request.ticket, Answer::busy("not the leader", 1));
            }
            return self.serve_without_leader(request);
        }
        if let Ask::Malformed(id, answer) = request.action {
            return self.read_job_key(id, ReadPurpose::Reject(request.ticket, answer));
        }
        self.forward_request(request);
    }

    /// Passes a request to the leader; without the state service, to whoever may serve it. When
    /// nobody is left to ask, it is served here as well as can be.
    fn forward_request(&mut self, mut request: UserRequest) {
        let now = self.now.mono;
        let stale = self.store_is_stale();
        let leader = self.leader_name();
        let reachable = |name: &str| self.unreachable_peers.get(name).is_none_or(|t| now >= *t);
        // A submission needs no leader, and cannot wait to find out that there is none.
        let submission = matches!(request.action, Ask::Submit(_));
        let late = submission && !stale && self.relay.leader_is_late(self.store_cache.term, now);
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
            return self.serve_without_leader(request);
        };
        let message = match &request.action {
            Ask::Submit(spec) => PeerRequest::Submit(spec.clone()),
            Ask::Cancel(id) => PeerRequest::Cancel(id.clone()),
            Ask::Show(id) | Ask::Malformed(id, _) => PeerRequest::Show(id.clone()),
        };
        request.tried.push(peer.clone());
        let ticket = request.ticket;
        self.forwards.insert(ticket, request);
        self.effects.push(Effect::Forward {
            ticket,
            peer,
            request: message,
        });
    }

    /// The state service has not been heard for longer than it ever takes.
    pub(in crate::core) fn store_is_stale(&self) -> bool {
        self.now.mono > self.store_reachable_at + STALE
    }

    /// Without the state service, this node finds out whether others serve.
    pub(in crate::core) fn probe_unreachable_peers(&mut self) {
        let now = self.now.mono;
        if !self.store_is_stale()
            || self
                .last_peer_probe
                .is_some_and(|at| now < at + PROBE_INTERVAL)
        {
            return;
        }
        let n = self.settings.peers.len();
        if n == 0 {
            return;
        }
        self.peer_probes += 1;
        let peer = self.settings.peers[self.peer_probes as usize % n]
            .name
            .clone();
        self.last_peer_probe = Some(now);
        self.effects.push(Effect::Forward {
            ticket: Ticket::MAX - self.peer_probes,
            peer,
            // A job that nobody can have submitted: answered only by who can read the state.
            request: PeerRequest::Show(PROBE_ID.into()),
        });
    }

    fn serve_as_leader(&mut self, id: &str, request: UserRequest) {
        let ticket = request.ticket;
        match request.action {
            // A leader that may just be losing its lease lets another node accept the job.
            Ask::Submit(spec)
                if !request.forwarded
                    && self.store_is_stale()
                    && !self.store_cache.jobs.contains_key(id) =>
            {
                self.forward_request(UserRequest {
                    action: Ask::Submit(spec),
                    ..request
                });
            }
            Ask::Submit(spec) => match self.live_answer(id) {
                Some(answer) => self.answer(ticket, answer),
                None => self.accept(
                    Submission {
                        ticket,
                        spec,
                        received: request.received,
                    },
                    false,
                ),
            },
            Ask::Malformed(id, answer) => match self.live_answer(&id) {
                Some(known) => self.answer(ticket, known),
                None => self.read_job_key(id, ReadPurpose::Reject(ticket, answer)),
            },
            Ask::Show(id) => match self.live_answer(&id) {
                Some(answer) => self.answer(ticket, answer),
                None => self.read_for_query(id, ticket),
            },
            Ask::Cancel(id) => {
                if self.store_cache.jobs.contains_key(id.as_str()) {
                    self.cancel(ticket, &id);
                } else {
                    self.read_job_key(id, ReadPurpose::Cancel(ticket));
                }
            }
        }
    }

    /// The leader cannot be reached: jobs are accepted and read directly on the state service.
    /// Nothing is cancelled here, since the leader would not know it in time.
    fn serve_without_leader(&mut self, request: UserRequest) {
        let ticket = request.ticket;
        // Nobody else is left to ask, and the state service would not be heard either: queued for it,
        // the request would be answered when its user has long gone.
        if self.store_is_stale() {
            let answer = Answer::busy("the state service is not reached", 1);
            return self.answer(ticket, answer);
        }
        match request.action {
            Ask::Submit(spec) => self.accept(
                Submission {
                    ticket,
                    spec,
                    received: request.received,
                },
                false,
            ),
            Ask::Show(id) => self.read_for_query(id, ticket),
            Ask::Malformed(id, answer) => {
                self.read_job_key(id, ReadPurpose::Reject(ticket, answer))
            }
            Ask::Cancel(_) => self.answer(ticket, Answer::busy("no leader", 1)),
        }
    }

    pub(in crate::core) fn forward_outcome(
        &mut self,
        ticket: Ticket,
        peer: String,
        answer: Option<PeerAnswer>,
    ) {
        if answer.is_some() {
            self.peer_reachable_at = self.now.mono;
        }
        let Some(request) = self.forwards.remove(&ticket) else {
            return;
        };
        if let Some(a) = answer {
            self.unreachable_peers.remove(&peer);
            if a.status != 503 {
                let id = match &request.action {
                    Ask::Submit(spec) => spec.id.to_string(),
                    Ask::Show(id) | Ask::Cancel(id) | Ask::Malformed(id, _) => id.clone(),
                };
                let body = match (a.state, &request.action) {
                    (Some(state), _) => state_body(&id, state, a.done, a.running),
                    // The leader's reason does not come along; this node mostly knows it too.
                    (None, Ask::Submit(spec)) if a.status == 422 => {
                        self.rejection_reason(spec).body
                    }
                    (None, _) => crate::wire::error_body("see the status"),
                };
                let mut answer = Answer::new(a.status, body);
                answer.retry_after = a.retry_after;
                return self.answer(ticket, answer);
            }
        } else {
            self.unreachable_peers
                .insert(peer, self.now.mono + Duration::from_secs(1));
        }
        // Meanwhile this node may have become the leader itself.
        if self.acting() && !self.store_is_stale() {
            self.serve_user(request);
        } else {
            self.forward_request(request);
        }
    }

    /// Reads a job's key for a user's question, within the budget for these. Without a leader every
    /// question takes a read. Queued for the state service's limit they kept it busy for many
    /// seconds after their askers had gone, and submissions waited behind them.
    fn read_for_query(&mut self, id: String, ticket: Ticket) {
        if self.read_budget.try_take(self.now.mono) {
            self.read_job_key(id, ReadPurpose::Show(ticket));
        } else {
            self.answer(ticket, Answer::busy("too many questions now", 1));
        }
    }

    pub(in crate::core) fn read_job_key(&mut self, id: String, purpose: ReadPurpose) {
        let key = job_key(&id);
        self.ask_state(Pending::Read { id, purpose }, StoreRequest::Get(key));
    }

    pub(in crate::core) fn read(
        &mut self,
        id: String,
        purpose: ReadPurpose,
        outcome: StoreOutcome,
    ) {
        let ticket = match &purpose {
            ReadPurpose::Show(t)
            | ReadPurpose::Accepted(t)
            | ReadPurpose::Cancel(t)
            | ReadPurpose::Reject(t, _) => *t,
        };
        let accepted = matches!(purpose, ReadPurpose::Accepted(_));
        match outcome {
            StoreOutcome::Missing { .. } if self.store_cache.jobs.contains_key(id.as_str()) => {
                if !self.store_is_incomplete() {
                    self.suspect_data_loss("it has forgotten a job");
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
            StoreOutcome::Missing { .. } if self.existence_is_uncertain() => {
                // It may have been accepted all the same.
                let answer = Answer::busy("whether it was accepted cannot be told yet", 3);
                self.answer(ticket, answer);
            }
            StoreOutcome::Missing { .. } => match purpose {
                ReadPurpose::Reject(_, answer) => self.answer(ticket, answer),
                _ if is_enabled(Safeguard::Unknown) => {
                    self.answer(ticket, Answer::error(404, "no such job"));
                }
                _ => {
                    let body = state_body(&id, JobState::Queued, None, None);
                    self.answer(ticket, Answer::new(200, body));
                }
            },
            StoreOutcome::Found(item) => {
                let value: JobValue = match serde_json::from_value(item.value) {
                    Ok(v) => v,
                    Err(e) => {
                        tracing::error!(job = %id, "job {id}: unreadable: {e}");
                        return self.answer(ticket, Answer::busy("unreadable", 5));
                    }
                };
                self.store_cache.put_job(&id, value, item.version);
                self.sync_job_runs();
                let settled = self.final_answer(&id).is_some()
                    || self.store_cache.jobs.contains_key(id.as_str()) && !self.awaits_others(&id);
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
                } else if self.awaits_others(&id)
                    || !self.store_cache.jobs.contains_key(id.as_str())
                {
                    // Its own key does not tell how those that it needs have ended.
                    self.queue_barrier_query(Question::Show(ticket, id));
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
        let job = self.store_cache.jobs.get(id);
        job.is_some_and(|j| !j.spec.dependencies.is_empty())
    }

    /// Answers with what was read after the question came: nobody can have been told anything
    /// newer before.
    pub(in crate::core) fn show_fresh(&mut self, ticket: Ticket, id: &str) {
        let answer = self.fresh_answer(id);
        self.answer(ticket, answer);
    }

    fn fresh_answer(&self, id: &str) -> Answer {
        let known = self.final_answer(id).or_else(|| self.live_answer(id));
        known.unwrap_or_else(|| match self.store_cache.jobs.get(id) {
            None => Answer::busy("the state cannot be read now", 1),
            Some(_) if self.must_withhold_state() => rebuilding_answer(),
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
}
