//! The single owner of all state. `step` takes commands and returns effects; it does no I/O and
//! reads no clock, so every story of failure can be told to it in virtual time.
//!
//! - `keys`, `store_cache`: what the state service holds, and this node's copy of it.
//! - `leader`, `run`: what only a leader has, and each job as it knows it.
//! - `leadership`: the lease, taking over, resigning; `dead_key`: a leader key that nobody stands behind.
//! - `writes`: the leader's durable writes.
//! - `commit`: whether a transaction without an answer was committed.
//! - `questions`, `submissions`: what users ask for, and how jobs are accepted.
//! - `jobs`: how jobs progress and end.
//! - `barrier`: questions that take knowing all that was written before they came.
//! - `custody`: whether the state service still holds what it was given, and who may lead if not.
//! - `rebuild`: how a leader brings back what it has lost, and what waits for that.
//! - `delegation`: what a leader lends to the other controllers, and takes back.
//! - `machine`: a machine as the leader knows it, for all who act on machines.
//! - `heartbeats`, `commands`, `losses`, `renting`: what machines say, are told, how they are lost, and
//!   how they are rented and returned.
//! - `parts`: jobs that do not fit into one value.
//! - `pipelines`: who awaits whom, and what follows from the end of a job for those that need it.
//! - `records`: the machines that a later leader has to know of.
//! - `recovery`: what a new leader does not know yet, and when it knows it.
//! - `relay`: what a controller does for the workers that report to it while another one leads.
//! - `urgency`: what a job owes to those that need it.
//! - `scheduling`: snapshots for `plan` and `fleet`, and their decisions carried out.

#[cfg(test)]
mod simulation;

mod jobs;
mod leadership;
mod machines;
mod monitoring;
mod scheduling;
mod store;
mod workers;

pub use jobs::queries::{Ask, UserRequest};
pub use jobs::submissions::max_unfinished_tasks;
pub use leadership::LEASE_TTL;
pub use machines::failure_detection::cancellation_warning;
pub use store::cache::StoreCache;

use crate::cloud_client::{CloudOutcome, CloudRequest};
use crate::http::Answer;
use crate::job::{JobId, JobSpec, MachineId};
use crate::peer::heartbeat_batch::{HeartbeatBatch, HeartbeatBatchResponse};
use crate::peer::memory_exchange::{MemoryPage, MemoryRequest};
use crate::peer::{PeerAnswer, PeerRequest};
use crate::policy::{Entry, FleetFacts, Policy};
use crate::settings::Settings;
use crate::store_client::{RateLimiter, StoreOutcome, StoreRequest};
use crate::wire::{Condition, Heartbeat, Item, MachineType, WatchEvent};
use crate::worker_client::{DirectOutcome, DirectRequest};
use burlusher_membership::view::MembershipView;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

/// The part of this node's share of the state service's requests that reads for users' questions
/// may take: a third of what it uses in all, as submissions and ends of jobs matter more.
const QUESTIONS_SHARE: f64 = 0.2;

/// Names the asker of a request until it is answered.
pub type Ticket = u64;
/// Names a call to another service until its outcome is known.
pub type CallId = u64;

/// The steady clock and the time of day, read once per step.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    pub mono: Instant,
    pub wall: SystemTime,
}

#[derive(Debug)]
pub enum Command {
    User(UserRequest),
    Status(Ticket),
    /// Figures for monitoring; with what waits in each lane of the owner's queue.
    Figures {
        ticket: Ticket,
        queue_lengths: [usize; 3],
    },
    Heartbeat {
        ticket: Ticket,
        heartbeat: Box<Heartbeat>,
    },
    /// A controller that serves workers for the leader.
    HeartbeatBatch {
        ticket: Ticket,
        sync: Box<HeartbeatBatch>,
    },
    /// The leader's answer to our frame of this number, or `None` if it gave none.
    HeartbeatBatchResponse {
        number: u64,
        answer: Option<Box<HeartbeatBatchResponse>>,
    },
    /// A peer's answer to a request passed on to it, or `None` if it gave none.
    Forwarded {
        ticket: Ticket,
        peer: String,
        answer: Option<PeerAnswer>,
    },
    /// The lease is granted or renewed by a request sent at `sent`; and since then the leader key of
    /// this version was seen to stand.
    LeaseRenewed {
        lease: u64,
        sent: Instant,
        confirmed_key_version: Option<u64>,
    },
    /// What a leader's word rests on is not as it was when it was asked to be watched.
    Deposed {
        key_version: u64,
    },
    LeaseLost,
    /// Everything under our prefix, as of `revision` or later.
    Listed {
        items: Vec<Item>,
        revision: u64,
    },
    Changed {
        events: Vec<WatchEvent>,
        revision: u64,
    },
    /// Another controller asks what is remembered here.
    MemoryRequest {
        ticket: Ticket,
        recall: MemoryRequest,
    },
    /// What a peer remembers, or `None` if it gave no answer.
    MemoryPage {
        peer: String,
        asked: MemoryRequest,
        answer: Option<Box<MemoryPage>>,
    },
    /// An operator takes an incomplete store as it is.
    Settle(Ticket),
    /// A page of a snapshot, offered as one more memory.
    Offer {
        ticket: Ticket,
        store: String,
        last: bool,
        items: Vec<(String, serde_json::Value)>,
    },
    State {
        call: CallId,
        outcome: StoreOutcome,
    },
    Cloud {
        call: CallId,
        outcome: CloudOutcome,
    },
    Direct {
        call: CallId,
        outcome: DirectOutcome,
    },
}

#[derive(Debug)]
pub enum Effect {
    Answer {
        ticket: Ticket,
        answer: Answer,
    },
    Forward {
        ticket: Ticket,
        peer: String,
        request: PeerRequest,
    },
    /// A frame for the leader, whose answer is wanted.
    HeartbeatBatch {
        peer: String,
        number: u64,
        frame: Vec<u8>,
    },
    State {
        call: CallId,
        request: StoreRequest,
    },
    Cloud {
        call: CallId,
        request: CloudRequest,
        not_after: Option<Instant>,
    },
    Direct {
        call: CallId,
        addr: SocketAddrV4,
        request: DirectRequest,
        not_after: Instant,
    },
    /// Ask a peer what it remembers.
    MemoryRequest {
        peer: String,
        recall: MemoryRequest,
    },
    /// Read the state service as a whole, and watch it from there on.
    RereadStore,
    /// End the lease, and with it leadership, so that another controller can take over.
    ReleaseLease,
    /// Take another lease, and leave this one alone: in a store that has lost data it may be
    /// somebody else's by now.
    ReplaceLease,
    /// With each renewal of the lease, see whether these still hold; or nothing any more.
    LeadershipProof(Option<LeadershipProof>),
    /// What `/ready` says from now on.
    Ready(bool),
}

/// What a leader's word rests on, beside its lease.
#[derive(Clone, Debug, PartialEq)]
pub struct LeadershipProof {
    pub key_version: u64,
    pub conditions: Vec<Condition>,
}

/// What a call in flight is for.
#[derive(Debug)]
enum Pending {
    Create {
        ticket: Ticket,
        spec: Box<JobSpec>,
        since: Instant,
        tries: u32,
        /// Where it does not fit into one value.
        parts: Option<Box<store::large_jobs::PartWrite>>,
    },
    /// The parts of a job that is to be accepted.
    Parts {
        ticket: Ticket,
        spec: Box<JobSpec>,
        since: Instant,
        parts: Box<store::large_jobs::PartWrite>,
        /// How many of them are in this transaction.
        sent: usize,
    },
    Read {
        id: String,
        purpose: ReadPurpose,
    },
    Barrier(Vec<store::read_barrier::Question>),
    TakeOver,
    /// Whether the store's identity is still of this version.
    CheckIdentity(u64),
    CheckRevision,
    /// Some jobs, compared with what is known of them; from after this key on, and what was seen to
    /// differ when they were read before.
    Audit {
        after: String,
        suspicion: Option<String>,
    },
    /// The mark that tells another leader of a loss.
    Mark,
    /// Whether the lease runs on which a leader key of this version hangs.
    CheckLeaderLease(u64),
    /// A leader key that hangs on none is taken away.
    Bury,
    Write,
    Direct(MachineId),
    /// The token shown to a machine for the leader.
    Show(MachineId),
    Types,
    List {
        sent: Instant,
    },
    Rent(String),
    Delete(Vec<MachineId>),
}

/// Why a job's key is read afresh.
#[derive(Debug)]
enum ReadPurpose {
    Show(Ticket),
    /// Its creation got no answer, and it is in the store.
    Accepted(Ticket),
    Cancel(Ticket),
    /// It is invalid as submitted, which may be said only of a job that is not known.
    Reject(Ticket, Answer),
}

pub struct Core {
    settings: Arc<Settings>,
    policy: Arc<Policy>,
    /// Tells this process from an earlier one of the same name.
    nonce: u64,
    now: Now,
    started: Instant,
    effects: Vec<Effect>,
    next_call: CallId,
    pending: BTreeMap<CallId, Pending>,
    /// Creations of jobs on their way, and when each is looked at next.
    unanswered_creations: VecDeque<(Instant, CallId)>,
    store_cache: StoreCache,
    /// When it was last looked whether cancelled jobs can still have something left.
    cancelled_forgotten: Option<Instant>,
    lease: Option<leadership::state::Lease>,
    leader: Option<leadership::state::LeaderState>,
    /// Whether controllers serve workers for the one that leads.
    delegating: bool,
    relay: workers::relay::Relay,
    members: MembershipView,
    /// How many leaderships this process has begun, and the newest term in which it has led.
    leaderships: u64,
    newest_led_term: u64,
    /// When the last attempt to lead was sent.
    campaign_started: Instant,
    /// No attempt to lead before this moment.
    candidate_after: Instant,
    /// When this process last gave leadership up.
    resigned: Option<Instant>,
    stale_leader_key: Option<leadership::stale_key::StaleLeaderKey>,
    forwards: BTreeMap<Ticket, UserRequest>,
    barriers: store::read_barrier::ReadBarriers,
    store_integrity: store::integrity::StoreIntegrity,
    /// Peers that gave no answer lately, and until when they are not asked.
    unreachable_peers: BTreeMap<String, Instant>,
    machine_types: Vec<MachineType>,
    types_requested: Option<Instant>,
    store_reachable_at: Instant,
    peer_reachable_at: Instant,
    last_peer_probe: Option<Instant>,
    peer_probes: u64,
    ready: Option<bool>,
    knapsack_tables: crate::planning::backfill::KnapsackTables,
    /// What the cloud's limit allows the leader now.
    cloud_budget: RateLimiter,
    /// Reads for users who ask about jobs that the state service's limit allows.
    read_budget: RateLimiter,
    /// Changes that the state service's limit allows the leader now.
    write_budget: RateLimiter,
    pub stats: Stats,
}

/// What the owner does, as it is counted: what it takes in, what it decides, and what it sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    Step,
    Heartbeat,
    Question,
    Change,
    FrameIn,
    FrameOut,
    StateCall,
    CloudCall,
    DirectCall,
    Plan,
    StartInAnswer,
    StartByCall,
}

pub const WORK: [(Work, &str); 12] = [
    (Work::Step, "steps"),
    (Work::Heartbeat, "reports"),
    (Work::Question, "requests"),
    (Work::Change, "changes"),
    (Work::FrameIn, "frames_in"),
    (Work::FrameOut, "frames_out"),
    (Work::StateCall, "state_calls"),
    (Work::CloudCall, "cloud_calls"),
    (Work::DirectCall, "direct_calls"),
    (Work::Plan, "plans"),
    (Work::StartInAnswer, "starts_in_answers"),
    (Work::StartByCall, "starts_by_calls"),
];

/// Figures for the on-call person.
pub struct Stats {
    /// What was done so far, by `Work`.
    pub work: [u64; WORK.len()],
    pub accept: hdrhistogram::Histogram<u64>,
    pub start: hdrhistogram::Histogram<u64>,
    pub step: hdrhistogram::Histogram<u64>,
}

impl Default for Stats {
    fn default() -> Stats {
        // Milliseconds (microseconds for steps) to three digits, up to an hour; more saturates.
        let new = || {
            let mut h = hdrhistogram::Histogram::new_with_bounds(1, 3_600_000, 2)
                .expect("constant bounds are valid");
            h.auto(false);
            h
        };
        Stats {
            work: [0; WORK.len()],
            accept: new(),
            start: new(),
            step: new(),
        }
    }
}

impl Stats {
    fn note_command(&mut self, command: &Command) {
        let work = match command {
            Command::Heartbeat { .. } => Work::Heartbeat,
            Command::User(_) => Work::Question,
            Command::HeartbeatBatch { .. }
            | Command::HeartbeatBatchResponse { .. }
            | Command::MemoryRequest { .. } => Work::FrameIn,
            Command::Changed { events, .. } => {
                self.work[Work::Change as usize] += events.len() as u64;
                return;
            }
            _ => return,
        };
        self.work[work as usize] += 1;
    }

    fn note_effect(&mut self, effect: &Effect) {
        let work = match effect {
            Effect::State { .. } => Work::StateCall,
            Effect::Cloud { .. } => Work::CloudCall,
            Effect::Direct { .. } => Work::DirectCall,
            Effect::HeartbeatBatch { .. }
            | Effect::Forward { .. }
            | Effect::MemoryRequest { .. } => Work::FrameOut,
            _ => return,
        };
        self.work[work as usize] += 1;
    }

    /// What was done since the last call, for the log.
    pub fn work_since(&self, last: &mut [u64; WORK.len()]) -> String {
        let mut out = String::new();
        for (work, name) in WORK {
            let n = self.work[work as usize];
            out.push_str(&format!(" {name} {}", n - last[work as usize]));
        }
        *last = self.work;
        out
    }
}

/// Records a value; one beyond the histogram's range counts as the largest.
pub fn note(h: &mut hdrhistogram::Histogram<u64>, value: u128) {
    h.saturating_record(u64::try_from(value).unwrap_or(u64::MAX));
}

impl Core {
    pub fn new(settings: Arc<Settings>, policy: Arc<Policy>, nonce: u64, now: Now) -> Core {
        // Less than all, as the others ask for machine types, and an old leader for more.
        let cloud_budget = RateLimiter::new(settings.cloud_rps * 0.85, now.mono);
        let writes = settings.store_write_rps * store::writes::WRITE_SHARE;
        let write_budget = RateLimiter::new(writes, now.mono);
        let share = settings.store_rps / (settings.peers.len() as f64 + 1.0);
        let read_budget = RateLimiter::new(share * QUESTIONS_SHARE, now.mono);
        let delegating = policy.fleet_truth(Entry::DelegateWorkers, &FleetFacts::default());
        let others = (settings.peers.iter()).map(|p| (p.name.clone(), p.zone.clone()));
        let view = MembershipView::new(others, leadership::state::PATIENCE);
        Core {
            write_budget,
            read_budget,
            cloud_budget,
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
            cancelled_forgotten: None,
            lease: None,
            leader: None,
            delegating,
            relay: workers::relay::Relay::new(nonce),
            members: view,
            leaderships: 0,
            newest_led_term: 0,
            campaign_started: now.mono,
            candidate_after: now.mono,
            resigned: None,
            stale_leader_key: None,
            forwards: BTreeMap::new(),
            barriers: Default::default(),
            store_integrity: Default::default(),
            unreachable_peers: BTreeMap::new(),
            machine_types: Vec::new(),
            types_requested: None,
            store_reachable_at: now.mono,
            peer_reachable_at: now.mono,
            last_peer_probe: None,
            peer_probes: 0,
            ready: None,
            knapsack_tables: Default::default(),
            stats: Stats::default(),
        }
    }

    /// What a snapshot of a store holds, before anything is read: a memory like any other, and found
    /// to be older than the store where that has lost nothing.
    pub fn remember(&mut self, items: Vec<Item>, revision: u64) {
        self.store_cache.reset(items, revision);
        self.store_cache.loaded = false;
    }

    /// Works through a batch of commands and says what is to be done.
    pub fn step(&mut self, now: Now, commands: Vec<Command>) -> Vec<Effect> {
        let late = now.mono.saturating_duration_since(self.now.mono);
        self.now = now;
        if late > Duration::from_millis(1500) {
            tracing::warn!("this process stood still for {} ms", late.as_millis());
            if let Some(leader) = &mut self.leader {
                // The machines' silence proves nothing.
                leader.liveness.silence_excused_until =
                    now.mono + self.settings.heartbeat_interval * 2;
            }
        }
        self.forget_cancelled();
        let mut heartbeats = Vec::new();
        let mut syncs = Vec::new();
        for command in commands {
            self.stats.note_command(&command);
            match command {
                Command::User(request) => self.serve_user(request),
                Command::Status(ticket) => self.answer_status(ticket),
                Command::Figures {
                    ticket,
                    queue_lengths: lanes,
                } => self.answer_metrics(ticket, lanes),
                Command::Heartbeat { ticket, heartbeat } => {
                    heartbeats.extend(self.heartbeat(ticket, heartbeat))
                }
                Command::HeartbeatBatch { ticket, sync } => syncs.extend(self.sync(ticket, *sync)),
                Command::HeartbeatBatchResponse { number, answer } => {
                    self.batch_answered(number, answer)
                }
                Command::Forwarded {
                    ticket,
                    peer,
                    answer,
                } => self.forward_outcome(ticket, peer, answer),
                Command::LeaseRenewed {
                    lease,
                    sent,
                    confirmed_key_version: is_enabled,
                } => self.lease_renewed(lease, sent, is_enabled),
                Command::Deposed { key_version } => self.deposed(key_version),
                Command::LeaseLost => self.lease_lost(),
                Command::MemoryRequest { ticket, recall } => self.recall(ticket, recall),
                Command::MemoryPage {
                    peer,
                    asked,
                    answer,
                } => self.recalled(peer, asked, answer),
                Command::Settle(ticket) => self.settle(ticket),
                Command::Offer {
                    ticket,
                    store,
                    last,
                    items,
                } => self.merge_snapshot(ticket, &store, last, items),
                Command::Listed { items, revision } => self.listed(items, revision),
                Command::Changed { events, revision } => self.changed(events, revision),
                Command::State { call, outcome } => self.state_outcome(call, outcome),
                Command::Cloud { call, outcome } => self.cloud_outcome(call, outcome),
                Command::Direct { call, outcome } => self.direct_outcome(call, outcome),
            }
        }
        self.check_store_integrity();
        self.advance_leadership();
        self.answer_barriers();
        self.resolve_creations();
        heartbeats.extend(self.drain_waiting_heartbeats());
        if self.acting() {
            self.advance_rebuild();
            self.check_machines();
            self.schedule();
            let mut due = leadership::state::DeferredResponses {
                heartbeats: heartbeats,
                batches: syncs,
            };
            self.defer_responses(&mut due);
            for (ticket, machine) in due.heartbeats {
                self.respond_to_heartbeat(ticket, &machine);
            }
            for work in due.batches {
                self.answer_batch(work);
            }
            self.send_direct_commands();
            self.send_writes();
        } else {
            if let Some(leader) = &mut self.leader {
                let held = std::mem::take(&mut leader.scheduler.deferred_responses);
                heartbeats.extend(held.heartbeats);
                syncs.extend(held.batches);
            }
            for (ticket, _) in heartbeats {
                self.redirect(ticket);
            }
            for work in syncs {
                self.refuse_batch(work.ticket, work.number);
            }
            self.advance_relay();
        }
        self.send_barrier();
        self.refresh_machine_types();
        self.probe_unreachable_peers();
        self.update_readiness();
        for effect in &self.effects {
            self.stats.note_effect(effect);
        }
        std::mem::take(&mut self.effects)
    }

    /// How long the owner may sleep when no command comes.
    pub fn idle_for(&self) -> Duration {
        let now = self.now.mono;
        let idle = if self.leader.is_some() {
            let most = Duration::from_millis(100);
            self.until_next_plan().map_or(most, |d| d.min(most))
        } else {
            self.relay.idle_for(now).min(Duration::from_millis(200))
        };
        let creation = self.unanswered_creations.front();
        creation.map_or(idle, |(at, _)| idle.min(at.saturating_duration_since(now)))
    }

    pub fn leads(&self) -> bool {
        self.acting()
    }

    fn call(&mut self, pending: Pending) -> CallId {
        let id = self.next_call;
        self.next_call += 1;
        self.pending.insert(id, pending);
        id
    }

    fn ask_state(&mut self, pending: Pending, request: StoreRequest) -> CallId {
        let call = self.call(pending);
        self.store_integrity.call(call);
        self.effects.push(Effect::State { call, request });
        call
    }

    fn answer(&mut self, ticket: Ticket, answer: Answer) {
        self.effects.push(Effect::Answer { ticket, answer });
    }

    fn state_outcome(&mut self, call: CallId, outcome: StoreOutcome) {
        if !matches!(outcome, StoreOutcome::Refused(_) | StoreOutcome::Unknown(_)) {
            self.store_reachable_at = self.now.mono;
        }
        self.heed_revision(call, &outcome);
        match self.pending.remove(&call) {
            Some(Pending::Create {
                ticket,
                spec,
                since,
                tries,
                parts,
            }) => self.creation_outcome(ticket, spec, since, tries, parts, outcome),
            Some(Pending::Parts {
                ticket,
                spec,
                since,
                parts,
                sent,
            }) => self.parts_outcome(ticket, spec, since, parts, sent, outcome),
            Some(Pending::Read { id, purpose }) => self.read(id, purpose, outcome),
            Some(Pending::Barrier(questions)) => self.barrier_read(questions, outcome),
            Some(Pending::TakeOver) => self.campaign_outcome(outcome),
            Some(Pending::Audit { after, suspicion }) => {
                self.jobs_audited(after, suspicion, outcome)
            }
            Some(Pending::CheckIdentity(version)) => self.identity_checked(version, outcome),
            Some(Pending::CheckLeaderLease(version)) => self.leader_lease_checked(version, outcome),
            Some(Pending::CheckRevision) => self.revision_checked(outcome),
            Some(Pending::Write) => self.write_outcome(call, outcome),
            _ => {}
        }
    }

    /// A node that reaches neither the state service nor any other controller serves nobody. One
    /// that reaches others passes requests on; and when the others cannot serve either, leaving
    /// the balancer would only lengthen the outage.
    fn update_readiness(&mut self) {
        let now = self.now.mono;
        let patience = Duration::from_secs(3);
        let alone =
            now > self.store_reachable_at + patience && now > self.peer_reachable_at + patience;
        let ready = self.store_cache.loaded && (!alone || self.settings.peers.is_empty());
        if self.ready != Some(ready) {
            self.ready = Some(ready);
            tracing::info!("ready: {ready}");
            self.effects.push(Effect::Ready(ready));
        }
    }

    /// Every controller knows the machine types, for it has to judge submissions alone at times.
    fn refresh_machine_types(&mut self) {
        let now = self.now.mono;
        let every = if self.machine_types.is_empty() {
            Duration::from_secs(2)
        } else if self.leader.is_some() {
            Duration::from_secs(60)
        } else {
            Duration::from_secs(600)
        };
        if self.types_requested.is_some_and(|t| now < t + every) {
            return;
        }
        self.types_requested = Some(now);
        let call = self.call(Pending::Types);
        self.effects.push(Effect::Cloud {
            call,
            request: CloudRequest::Types,
            not_after: None,
        });
    }

    fn set_machine_types(&mut self, types: Vec<MachineType>) {
        if !types.is_empty() && types != self.machine_types {
            if let Some(leader) = &mut self.leader {
                leader.writes.machine_types = true;
                leader.machines.mark_all_changed();
            }
            self.machine_types = types;
        }
    }

    fn type_of(&self, name: &str) -> Option<&MachineType> {
        self.machine_types.iter().find(|t| t.name == name)
    }

    fn job_id(id: &str) -> JobId {
        JobId::from(id)
    }
}
