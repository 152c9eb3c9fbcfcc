//! The single owner of all state. [`Core::step`] takes commands and returns effects; it does no I/O and reads no
//! clock, so that any sequence of failures can be simulated in virtual time.
//!
//! | module | owns | main types |
//! |---|---|---|
//! | `command`, `clock`, `ids`, `stats` | what goes into a step and comes out of it; counters | [`Command`], [`Effect`], [`Stats`] |
//! | `leadership` | the lease, the leader key and its term, campaign and step-down, isolation and liveness, recovery of a new leader | `LeaderState`, `Lease`, `Candidacy`, `Recovery` |
//! | `store` | the cache of the key-value store, the leader's durable writes, read barriers, loss of the store's data and its rebuild | [`StoreCache`], `PendingWrites`, `StoreIntegrity`, `Rebuild` |
//! | `workers` | heartbeats, commands, fencing tokens; delegation of workers to other controllers | `Delegates`, `Relay` |
//! | `machines` | machines as the leader knows them, failure detection, placement, reclamation and removal, calls to the cloud | `Machine`, `CloudOperations` |
//! | `jobs` | submission and validation, users' requests, dependencies, task assignment, progress and end of jobs | `JobRun` |
//! | `scheduling` | queue, quotas, gangs, bidding and scaling: snapshots for `planning`, and its decisions carried out | `SchedulerState` |
//! | `monitoring` | status page, metrics, readiness | |
//! | `simulation` | tests: a cluster of controllers in virtual time, with faults | |
//!
//! Only the leader has a `LeaderState`; it is created when a leadership begins and dropped when it ends. Everything
//! else in [`Core`] outlives leaderships.

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
pub use store::cache::StoreCache;

use crate::core::command::PendingCall;
use crate::core::leadership::candidacy::Candidacy;
use crate::core::leadership::lease::Lease;
use crate::core::leadership::stale_key::StaleLeaderKey;
use crate::core::leadership::state::LeaderState;
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
use crate::wire::{Item, MachineType};
use burlusher_membership::view::MembershipView;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The part of this process's share of the store's requests that reads for users may take: a third of what it uses
/// in all, as submissions and ends of jobs matter more.
const USER_READS_SHARE: f64 = 0.2;
/// The part of the cloud's requests that the leader uses: less than all, as the other controllers list machine
/// types, and a former leader may still send requests.
const CLOUD_SHARE: f64 = 0.85;
/// Without a step for longer than this, the process was stopped, and what it did not receive meanwhile proves
/// nothing.
const STALL_THRESHOLD: Duration = Duration::from_millis(1500);
/// The longest time between two steps of a leader.
const LEADER_TICK: Duration = Duration::from_millis(100);
/// The longest time between two steps of a follower.
const FOLLOWER_TICK: Duration = Duration::from_millis(200);

/// All state of a controller, and all decisions on it.
pub struct Core {
    settings: Arc<Settings>,
    policy: Arc<Policy>,
    /// Distinguishes this process from an earlier one of the same name.
    nonce: u64,
    now: Now,
    started: Instant,
    /// The effects of the step in progress.
    effects: Vec<Effect>,
    next_call: CallId,
    /// The calls in flight.
    pending: BTreeMap<CallId, PendingCall>,
    /// Creations of jobs without an outcome yet, and when each is looked at next.
    unanswered_creations: VecDeque<(Instant, CallId)>,
    store_cache: StoreCache,
    /// When it was last checked whether cancelled jobs can still have tasks on machines.
    last_residual_check: Option<Instant>,
    lease: Option<Lease>,
    leader: Option<LeaderState>,
    candidacy: Candidacy,
    stale_leader_key: Option<StaleLeaderKey>,
    /// Whether the leader delegates workers to other controllers.
    delegating: bool,
    relay: Relay,
    members: MembershipView,
    /// Users' requests that were passed on to a peer.
    forwards: BTreeMap<Ticket, UserRequest>,
    barriers: ReadBarriers,
    store_integrity: StoreIntegrity,
    /// Peers that did not respond lately, and until when nothing is sent to them.
    unreachable_peers: BTreeMap<String, Instant>,
    machine_types: Vec<MachineType>,
    machine_types_requested: Option<Instant>,
    store_reachable_at: Instant,
    peer_reachable_at: Instant,
    last_peer_probe: Option<Instant>,
    peer_probes: u64,
    /// What the readiness check reports, once that is known.
    ready: Option<bool>,
    knapsack_tables: KnapsackTables,
    /// Requests that the cloud's limit allows the leader now.
    cloud_budget: RateLimiter,
    /// Reads for users' queries about jobs that the store's limit allows.
    read_budget: RateLimiter,
    /// Changes that the store's limit allows the leader now.
    write_budget: RateLimiter,
    /// Counters and latencies, for metrics and the log.
    pub stats: Stats,
}

impl Core {
    /// A controller that has just started, without a copy of the store. `nonce` must differ from that of every
    /// earlier process.
    pub fn new(settings: Arc<Settings>, policy: Arc<Policy>, nonce: u64, now: Now) -> Core {
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
            store_cache: StoreCache::default(),
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

    /// Loads a snapshot of the store before anything is read from it. It counts as what this process remembers;
    /// a store that has lost nothing supersedes it.
    pub fn load_snapshot(&mut self, items: Vec<Item>, revision: u64) {
        self.store_cache.reset(items, revision);
        self.store_cache.loaded = false;
    }

    /// Processes a batch of commands and returns what is to be done.
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

    /// Sets the time of this step. If the process was stopped meanwhile, missing heartbeats prove nothing.
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

    /// Processes one command. Workers' and delegates' responses are collected, and sent at the end of the step.
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
            Command::StoreListed { items, revision } => self.store_listed(items, revision),
            Command::StoreChanged { events, revision } => self.store_changed(events, revision),
            Command::MemoryRequest { ticket, request } => {
                self.serve_memory_request(ticket, &request)
            }
            Command::MemoryPage {
                peer,
                request,
                response,
            } => self.memory_response(peer, &request, response),
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

    /// What a leader does after the commands of a step: it decides, responds to workers accordingly, and writes.
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

    /// What a controller that may not act as the leader does after the commands of a step: workers are redirected to the
    /// leader, unless they are served on its behalf.
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

    /// How long the owner may sleep when no command comes.
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

    /// Registers a call; its number goes into the effect that makes it.
    fn register_call(&mut self, pending: PendingCall) -> CallId {
        let id = self.next_call;
        self.next_call += 1;
        self.pending.insert(id, pending);
        id
    }

    fn call_store(&mut self, pending: PendingCall, request: StoreRequest) -> CallId {
        let call = self.register_call(pending);
        self.store_integrity.call(call);
        self.effects.push(Effect::StoreCall { call, request });
        call
    }

    fn answer(&mut self, ticket: Ticket, response: Response) {
        self.effects.push(Effect::Response { ticket, response });
    }

    /// Hands the outcome of a call to the store to the concern that made it.
    fn store_outcome(&mut self, call: CallId, outcome: StoreOutcome) {
        if !matches!(outcome, StoreOutcome::Refused(_) | StoreOutcome::Unknown(_)) {
            self.store_reachable_at = self.now.mono;
        }
        self.observe_revision(call, &outcome);
        match self.pending.remove(&call) {
 Some(PendingCall::CreateJob(creation)) => self.creation_outcome(creation, outcome), Some(PendingCall::CreateJobParts(creation)) => self.parts_outcome(creation, outcome), Some(PendingCall::ReadJob {id, purpose}) => self.job_read_outcome(id, purpose, outcome), Some(PendingCall::ReadBarrier(requests)) => self.barrier_outcome(requests, outcome), Some(PendingCall::Campaign) => self.campaign_outcome(outcome), Some(PendingCall::AuditJobs {after, suspicion}) => {
                self.jobs_audited(after, suspicion, outcome);
            }
            Some(PendingCall::CheckIdentity(version)) => self.identity_checked(version, outcome),
            Some(PendingCall::CheckLeaderLease(version)) => {
                self.leader_lease_checked(version, outcome)
            }
            Some(PendingCall::CheckRevision) => self.revision_checked(outcome),
            Some(PendingCall::Write) => self.write_outcome(call, outcome),
            _ => {}
        }
    }

    fn job_id(id: &str) -> JobId {
        JobId::from(id)
    }
}
