//! All state of a controller and all decisions on it. [`Core::step`] takes commands and returns effects; it does no I/O
//! and reads no clock, so that any sequence of failures can be simulated in virtual time.
//!
//! | module | owns | main types |
//! |---|---|---|
//! | `command`, `clock`, `ids`, `stats` | input and output of a step; counters | [`Command`], [`Effect`], [`Stats`] |
//! | `leadership` | the lease, the leader key and its term, campaign and step-down, isolation and liveness, recovery of a new leader | `LeaderState`, `Lease`, `Candidacy`, `Recovery` |
//! | `store` | the cache of the key-value store, the leader's durable writes, read barriers, detection of data loss in the store and rebuild of lost data | [`StoreCache`], `PendingWrites`, `StoreIntegrity`, `Rebuild` |
//! | `workers` | heartbeats, commands, fencing tokens; delegation of workers to other controllers | `Delegates`, `Relay` |
//! | `machines` | the leader's view of the machines, failure detection, placement, reclamation and removal, calls to the cloud | `Machine`, `CloudOperations` |
//! | `jobs` | submission and validation, users' requests, dependencies, task assignment, progress and end of jobs | `JobRun` |
//! | `scheduling` | queue, quotas, gangs, bidding and scaling: takes snapshots for `planning` and carries out its decisions | `SchedulerState` |
//! | `monitoring` | status page, metrics, readiness | |
//! | `simulation` | tests: a cluster of controllers in virtual time, with injected faults | |
//!
//! Only the leader has a `LeaderState`, which is created when a leadership begins and dropped when the leadership ends.
//! Everything else in [`Core`] outlives leaderships.

#[cfg(test)]
mod simulation;

mod clock;
mod command;
mod ids;
mod jobs;
mod leadership;
mod machines;
mod monitoring;
mod scheduling;
mod stats;
mod store;
mod workers;

pub use clock::Now;
pub use command::{Command, Effect, LeadershipProof};
pub use ids::{CallId, Ticket};
pub use jobs::requests::{UserAction, UserRequest};
pub use jobs::submissions::max_unfinished_tasks;
pub use leadership::lease::LEASE_TTL;
pub use machines::cancellation_bound::cancellation_warning;
pub use stats::{Stats, WORK_NAMES, Work, record};
pub use store::cache::{StoreCache, StoreList, max_ended_job_bytes};

use crate::core::command::PendingCall;
use crate::core::leadership::candidacy::Candidacy;
use crate::core::leadership::lease::Lease;
use crate::core::leadership::stale_key::StaleLeaderKey;
use crate::core::leadership::state::LeaderState;
use crate::core::store::end_reads::EndReads;
use crate::core::store::integrity::StoreIntegrity;
use crate::core::store::read_barrier::ReadBarriers;
use crate::core::workers::delegates::DELEGATE_TIMEOUTS;
use crate::core::workers::pending_responses::DeferredResponses;
use crate::core::workers::relay::Relay;
use crate::http::Response;
use crate::job::JobId;
use crate::planning::backfill::KnapsackTables;
use crate::policy::{Entry, FleetFacts, Policy};
use crate::rate_limiter::RateLimiter;
use crate::settings::Settings;
use crate::store_client::{StoreOutcome, StoreRequest};
use crate::wire::MachineType;
use burlusher_membership::view::MembershipView;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Fraction of this process's share of the store's request rate that reads for users may take. It amounts to a
/// third of the requests that a process makes, as submissions and ends of jobs matter more than queries.
const USER_READS_SHARE: f64 = 0.2;
/// Fraction of the cloud's request rate that the leader uses. The rest is left for the other controllers, which list
/// machine types, and for a former leader that may still send requests.
const CLOUD_SHARE: f64 = 0.85;
/// Interval between two steps above which the process counts as having been stopped, so that heartbeats missing from
/// this interval are no evidence of failed machines.
const STALL_THRESHOLD: Duration = Duration::from_millis(1500);
/// Maximum interval between two steps of a leader.
const LEADER_TICK: Duration = Duration::from_millis(100);
/// Maximum interval between two steps of a follower.
const FOLLOWER_TICK: Duration = Duration::from_millis(200);

/// A controller: its state and its decisions.
pub struct Core {
    settings: Arc<Settings>,
    policy: Arc<Policy>,
    /// Random number that distinguishes this process from earlier ones of the same name.
    nonce: u64,
    now: Now,
    started: Instant,
    /// Effects of the step in progress.
    effects: Vec<Effect>,
    next_call: CallId,
    /// Calls in flight.
    pending: BTreeMap<CallId, PendingCall>,
    /// Creations of jobs whose outcome is not known yet, each with the time at which it is checked next.
    unanswered_creations: VecDeque<(Instant, CallId)>,
    store_cache: StoreCache,
    /// Reads of ends of jobs that were dropped from the cache.
    end_reads: EndReads,
    /// Time of the last check whether cancelled jobs can still have tasks on machines.
    last_residual_check: Option<Instant>,
    lease: Option<Lease>,
    leader: Option<LeaderState>,
    candidacy: Candidacy,
    stale_leader_key: Option<StaleLeaderKey>,
    /// Whether the leader delegates workers to other controllers.
    delegating: bool,
    relay: Relay,
    members: MembershipView,
    /// Users' requests that were forwarded to a peer.
    forwards: BTreeMap<Ticket, UserRequest>,
    barriers: ReadBarriers,
    store_integrity: StoreIntegrity,
    /// Peers that did not respond to a recent request, with the time until which nothing is sent to them.
    unreachable_peers: BTreeMap<String, Instant>,
    machine_types: Vec<MachineType>,
    machine_types_requested: Option<Instant>,
    store_reachable_at: Instant,
    peer_reachable_at: Instant,
    last_peer_probe: Option<Instant>,
    peer_probes: u64,
    /// Result of the readiness check; `None` before the first one.
    ready: Option<bool>,
    knapsack_tables: KnapsackTables,
    /// Budget of requests to the cloud that the leader may send.
    cloud_budget: RateLimiter,
    /// Budget of reads from the store for users' queries about jobs.
    read_budget: RateLimiter,
    /// Budget of changes that the leader may write to the store.
    write_budget: RateLimiter,
    /// Counters and latencies for the metrics and the log.
    pub stats: Stats,
}

impl Core {
    /// Creates a controller that has no copy of the store yet. `nonce` must differ from that of every earlier process.
    pub fn new(settings: Arc<Settings>, policy: Arc<Policy>, nonce: u64, now: Now) -> Core {
        let store_cache = StoreCache::with_limit(max_ended_job_bytes(&settings));
        let cloud_budget = RateLimiter::new(settings.cloud_rps * CLOUD_SHARE, now.mono);
        let writes = settings.store_write_rps * store::writes::WRITE_SHARE;
        let write_budget = RateLimiter::new(writes, now.mono);
        let share = settings.store_rps / (settings.peers.len() as f64 + 1.0);
        let read_budget = RateLimiter::new(share * USER_READS_SHARE, now.mono);
        let delegating = policy.fleet_boolean(Entry::DelegateWorkers, &FleetFacts::default());
        let peers = settings.peers.iter();
        let members = peers.map(|p| (p.name.clone(), p.zone.clone()));
        let members = MembershipView::new(members, DELEGATE_TIMEOUTS);
        Core {
            settings,
            policy,
            nonce,
            now,
            started: now.mono,
            effects: Vec::new(),
            next_call: 1,
            pending: BTreeMap::new(),
            unanswered_creations: VecDeque::new(),
            store_cache,
            end_reads: EndReads::default(),
            last_residual_check: None,
            lease: None,
            leader: None,
            candidacy: Candidacy::new(now.mono),
            stale_leader_key: None,
            delegating,
            relay: Relay::new(nonce),
            members,
            forwards: BTreeMap::new(),
            barriers: ReadBarriers::default(),
            store_integrity: StoreIntegrity::default(),
            unreachable_peers: BTreeMap::new(),
            machine_types: Vec::new(),
            machine_types_requested: None,
            store_reachable_at: now.mono,
            peer_reachable_at: now.mono,
            last_peer_probe: None,
            peer_probes: 0,
            ready: None,
            knapsack_tables: KnapsackTables::default(),
            cloud_budget,
            read_budget,
            write_budget,
            stats: Stats::default(),
        }
    }

    /// Loads a snapshot into the cached copy of the store, before anything is read from the store. If the store has
    /// lost no data, its own contents replace the snapshot.
    pub fn load_snapshot(&mut self, list: StoreList, revision: u64) {
        self.store_cache.reset(list, revision);
        self.store_cache.loaded = false;
    }

    /// Processes a batch of commands and returns the effects to carry out.
    pub fn step(&mut self, now: Now, commands: Vec<Command>) -> Vec<Effect> {
        self.advance_clock(now);
        self.forget_cancelled();
        let mut responses = DeferredResponses::default();
        for command in commands {
            self.stats.count_command(&command);
            self.dispatch(command, &mut responses);
        }
        self.check_store_integrity();
        self.advance_leadership();
        self.answer_barriers();
        self.resolve_creations();
        self.read_unresolved_jobs();
        let waiting = self.drain_waiting_heartbeats();
        responses.heartbeats.extend(waiting);
        if self.is_active_leader() {
            self.finish_step_as_leader(responses);
        } else {
            self.finish_step_as_follower(responses);
        }
        self.send_barrier();
        self.refresh_machine_types();
        self.probe_next_peer();
        self.update_readiness();
        for effect in &self.effects {
            self.stats.count_effect(effect);
        }
        std::mem::take(&mut self.effects)
    }

    /// Sets the time of this step. If the process was stopped since the last step, heartbeats that are missing now are
    /// not counted as failures.
    fn advance_clock(&mut self, now: Now) {
        let elapsed = now.mono.saturating_duration_since(self.now.mono);
        self.now = now;
        if elapsed <= STALL_THRESHOLD {
            return;
        }
        let stalled_ms = elapsed.as_millis() as u64;
        tracing::warn!(stalled_ms, "process stalled");
        if let Some(leader) = &mut self.leader {
            let until = now.mono + self.settings.heartbeat_interval * 2;
            leader.liveness.extend_heartbeat_grace(until);
        }
    }

    /// Processes one command. Responses to workers and delegates are collected in `responses` and sent at the end of
    /// the step.
    fn dispatch(&mut self, command: Command, responses: &mut DeferredResponses) {
        match command {
            Command::User(request) => self.serve_user(request),
            Command::Status(ticket) => self.answer_status(ticket),
            Command::Metrics {
                ticket,
                queue_lengths,
            } => self.answer_metrics(ticket, queue_lengths),
            Command::Heartbeat { ticket, heartbeat } => {
                let due = self.receive_heartbeat(ticket, heartbeat);
                responses.heartbeats.extend(due);
            }
            Command::HeartbeatBatch { ticket, batch } => {
                let due = self.receive_batch(ticket, *batch);
                responses.batches.extend(due);
            }
            Command::HeartbeatBatchResponse { number, response } => {
                self.batch_answered(number, response);
            }
            Command::ForwardResponse {
                ticket,
                peer,
                response,
            } => self.forward_outcome(ticket, peer, response),
            Command::LeaseRenewed {
                lease,
                sent,
                confirmed_key_version,
            } => self.lease_renewed(lease, sent, confirmed_key_version),
            Command::LeadershipDisproved { key_version } => self.leadership_disproved(key_version),
            Command::LeaseLost => self.lease_lost(),
            Command::StoreListed { list, revision } => self.store_listed(list, revision),
            Command::StoreChanged { events, revision } => self.store_changed(events, revision),
            Command::CacheRequest { ticket, request } => self.serve_cache_request(ticket, &request),
            Command::CachePage {
                peer,
                request,
                response,
            } => self.handle_cache_response(peer, &request, response),
            Command::AcceptIncompleteStore(ticket) => self.accept_incomplete_store(ticket),
            Command::OfferSnapshot {
                ticket,
                store,
                last,
                items,
            } => self.merge_snapshot(ticket, &store, last, items),
            Command::StoreOutcome { call, outcome } => self.store_outcome(call, outcome),
            Command::CloudOutcome { call, outcome } => self.cloud_outcome(call, outcome),
            Command::DirectOutcome { call, outcome } => self.direct_outcome(call, outcome),
        }
    }

    /// Completes a step as the leader: makes decisions, answers workers accordingly, and sends commands and writes.
    fn finish_step_as_leader(&mut self, mut responses: DeferredResponses) {
        self.advance_rebuild();
        self.check_machines();
        self.schedule();
        self.defer_responses(&mut responses);
        for (ticket, machine) in responses.heartbeats {
            self.respond_to_heartbeat(ticket, &machine);
        }
        for batch in responses.batches {
            self.answer_batch(batch);
        }
        self.send_direct_commands();
        self.send_writes();
    }

    /// Completes a step as a controller that may not act as the leader: redirects workers to the leader, unless this
    /// controller serves them on the leader's behalf.
    fn finish_step_as_follower(&mut self, mut responses: DeferredResponses) {
        if let Some(leader) = &mut self.leader {
            responses.append(leader.scheduler.take_deferred_responses());
        }
        for (ticket, _) in responses.heartbeats {
            self.redirect(ticket);
        }
        for batch in responses.batches {
            self.refuse_batch(batch.ticket, batch.number);
        }
        self.advance_relay();
    }

    /// Returns the maximum time until the next call of `step` if no command arrives.
    pub fn idle_for(&self) -> Duration {
        let now = self.now.mono;
        let idle = if self.leader.is_some() {
            let until_plan = self.until_next_plan();
            until_plan.map_or(LEADER_TICK, |d| d.min(LEADER_TICK))
        } else {
            self.relay.idle_for(now).min(FOLLOWER_TICK)
        };
        let creation = self.unanswered_creations.front();
        creation.map_or(idle, |(at, _)| idle.min(at.saturating_duration_since(now)))
    }

    /// Registers a call, and returns the identifier for the effect that makes the call.
    fn register_call(&mut self, pending: PendingCall) -> CallId {
        let id = self.next_call;
        self.next_call += 1;
        self.pending.insert(id, pending);
        id
    }

    fn call_store(&mut self, pending: PendingCall, request: StoreRequest) -> CallId {
        let call = self.register_call(pending);
        self.store_integrity.record_call(call);
        self.effects.push(Effect::StoreCall { call, request });
        call
    }

    fn answer(&mut self, ticket: Ticket, response: Response) {
        self.effects.push(Effect::Response { ticket, response });
    }

    /// Passes the outcome of a call to the store to the handler for the purpose of the call.
    fn store_outcome(&mut self, call: CallId, outcome: StoreOutcome) {
        if !matches!(outcome, StoreOutcome::Refused(_) | StoreOutcome::Unknown(_)) {
            self.store_reachable_at = self.now.mono;
        }
        self.observe_revision(call, &outcome);
        match self.pending.remove(&call) {
            Some(PendingCall::CreateJob(creation)) => self.creation_outcome(creation, outcome),
            Some(PendingCall::CreateJobParts(creation)) => self.parts_outcome(creation, outcome),
            Some(PendingCall::ReadJob { id, purpose }) => {
                self.job_read_outcome(id, purpose, outcome)
            }
            Some(PendingCall::ReadBarrier(requests)) => self.barrier_outcome(requests, outcome),
            Some(PendingCall::Campaign) => self.campaign_outcome(outcome),
            Some(PendingCall::AuditJobs { after, suspicion }) => {
                self.jobs_audited(after, suspicion, outcome);
            }
            Some(PendingCall::CheckIdentity(version)) => self.identity_checked(version, outcome),
            Some(PendingCall::CheckLeaderLease(version)) => {
                self.leader_lease_checked(version, outcome)
            }
            Some(PendingCall::CheckRevision) => self.revision_checked(outcome),
            Some(PendingCall::CompareJobChanges(compared)) => {
                self.job_changes_compared(compared, outcome);
            }
            Some(PendingCall::ReadEnd { job, losses }) => {
                self.end_read_outcome(job, losses, outcome);
            }
            Some(PendingCall::Write) => self.write_outcome(call, outcome),
            _ => {}
        }
    }

    fn job_id(id: &str) -> JobId {
        JobId::from(id)
    }
}
