//! The single owner of all state. `step` takes commands and returns effects; it does no I/O and
//! reads no clock, so every story of failure can be told to it in virtual time.
//!
//! - `keys`, `mirror`: what the state service holds, and this node's copy of it.
//! - `lead`, `run`: what only a leader has, and each job as it knows it.
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
//! - `reports`, `commands`, `losses`, `renting`: what machines say, are told, how they are lost, and
//!   how they are rented and returned.
//! - `parts`: jobs that do not fit into one value.
//! - `pipelines`: who awaits whom, and what follows from the end of a job for those that need it.
//! - `records`: the machines that a later leader has to know of.
//! - `recovery`: what a new leader does not know yet, and when it knows it.
//! - `relay`: what a controller does for the workers that report to it while another one leads.
//! - `urgency`: what a job owes to those that need it.
//! - `scheduling`: snapshots for `plan` and `fleet`, and their decisions carried out.

mod barrier;
mod bidding;
mod commands;
mod commit;
mod custody;
mod dead_key;
mod delegation;
mod expectation;
mod figures;
mod jobs;
mod keys;
mod lead;
mod leadership;
mod losses;
mod machine;
mod mirror;
mod parts;
mod pipelines;
mod questions;
mod rebuild;
mod records;
mod recovery;
mod relay;
mod renting;
mod report_queue;
mod reports;
mod run;
mod scheduling;
#[cfg(test)]
mod simulation;
mod status;
mod submissions;
mod urgency;
mod versions;
mod writes;

pub use leadership::LEASE_TTL;
pub use losses::late_cancellations;
pub use mirror::Mirror;
pub use questions::{Ask, UserRequest};
pub use submissions::most_tasks;

use crate::cloud::{CloudOutcome, CloudRequest};
use crate::http::Answer;
use crate::job::{JobId, JobSpec, MachineId};
use crate::link::{Sync, Synced};
use crate::peer::{PeerAnswer, PeerRequest};
use crate::policy::{Entry, FleetFacts, Policy};
use crate::recall::{Recall, Recalled};
use crate::settings::Settings;
use crate::state::{Budget, StateOutcome, StateRequest};
use crate::wire::{Condition, Event, Item, MachineType, Report};
use crate::worker::{DirectOutcome, DirectRequest};
use burlusher_membership::view::View;
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
        lanes: [usize; 3],
    },
    Report {
        ticket: Ticket,
        report: Box<Report>,
    },
    /// A controller that serves workers for the leader.
    Sync {
        ticket: Ticket,
        sync: Box<Sync>,
    },
    /// The leader's answer to our frame of this number, or `None` if it gave none.
    Synced {
        number: u64,
        answer: Option<Box<Synced>>,
    },
    /// A peer's answer to a request passed on to it, or `None` if it gave none.
    Forwarded {
        ticket: Ticket,
        peer: String,
        answer: Option<PeerAnswer>,
    },
    /// The lease is granted or renewed by a request sent at `sent`; and since then the leader key of
    /// this version was seen to stand.
    LeaseKept {
        lease: u64,
        sent: Instant,
        stands: Option<u64>,
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
        events: Vec<Event>,
        revision: u64,
    },
    /// Another controller asks what is remembered here.
    Recall {
        ticket: Ticket,
        recall: Recall,
    },
    /// What a peer remembers, or `None` if it gave no answer.
    Recalled {
        peer: String,
        asked: Recall,
        answer: Option<Box<Recalled>>,
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
        outcome: StateOutcome,
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
    Sync {
        peer: String,
        number: u64,
        frame: Vec<u8>,
    },
    State {
        call: CallId,
        request: StateRequest,
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
    Recall {
        peer: String,
        recall: Recall,
    },
    /// Read the state service as a whole, and watch it from there on.
    ReadAfresh,
    /// End the lease, and with it leadership, so that another controller can take over.
    GiveUpLease,
    /// Take another lease, and leave this one alone: in a store that has lost data it may be
    /// somebody else's by now.
    ChangeLease,
    /// With each renewal of the lease, see whether these still hold; or nothing any more.
    Stand(Option<Stand>),
    /// What `/ready` says from now on.
    Ready(bool),
}

/// What a leader's word rests on, beside its lease.
#[derive(Clone, Debug, PartialEq)]
pub struct Stand {
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
        parts: Option<Box<parts::Writing>>,
    },
    /// The parts of a job that is to be accepted.
    Parts {
        ticket: Ticket,
        spec: Box<JobSpec>,
        since: Instant,
        parts: Box<parts::Writing>,
        /// How many of them are in this transaction.
        sent: usize,
    },
    Read {
        id: String,
        purpose: ReadPurpose,
    },
    Barrier(Vec<barrier::Question>),
    TakeOver,
    /// Whether the store's identity is still of this version.
    LookAtName(u64),
    LookAtRevision,
    /// Some jobs, compared with what is known of them; from after this key on, and what was seen to
    /// differ when they were read before.
    Audit {
        after: String,
        suspicion: Option<String>,
    },
    /// The mark that tells another leader of a loss.
    Mark,
    /// Whether the lease runs on which a leader key of this version hangs.
    LeaseOf(u64),
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
    out: Vec<Effect>,
    next_call: CallId,
    pending: BTreeMap<CallId, Pending>,
    /// Creations of jobs on their way, and when each is looked at next.
    unanswered_creations: VecDeque<(Instant, CallId)>,
    mirror: Mirror,
    /// When it was last looked whether cancelled jobs can still have something left.
    cancelled_forgotten: Option<Instant>,
    lease: Option<lead::Lease>,
    lead: Option<lead::Lead>,
    /// Whether controllers serve workers for the one that leads.
    delegating: bool,
    relay: relay::Relay,
    view: View,
    /// How many leaderships this process has begun, and the newest term in which it has led.
    leaderships: u64,
    led_term: u64,
    /// When the last attempt to lead was sent.
    stood: Instant,
    /// No attempt to lead before this moment.
    candidate_after: Instant,
    /// When this process last gave leadership up.
    resigned: Option<Instant>,
    dead_key: Option<dead_key::DeadKey>,
    forwards: BTreeMap<Ticket, UserRequest>,
    barriers: barrier::Barriers,
    custody: custody::Custody,
    /// Peers that gave no answer lately, and until when they are not asked.
    peers_down: BTreeMap<String, Instant>,
    types: Vec<MachineType>,
    types_asked: Option<Instant>,
    state_ok: Instant,
    peer_heard: Instant,
    probed: Option<Instant>,
    probes: u64,
    ready: Option<bool>,
    scratch: crate::plan::Scratch,
    /// What the cloud's limit allows the leader now.
    cloud_budget: Budget,
    /// Reads for users who ask about jobs that the state service's limit allows.
    read_budget: Budget,
    /// Changes that the state service's limit allows the leader now.
    write_budget: Budget,
    pub stats: Stats,
}

/// What the owner does, as it is counted: what it takes in, what it decides, and what it sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    Step,
    Report,
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
    (Work::Report, "reports"),
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
            Command::Report { .. } => Work::Report,
            Command::User(_) => Work::Question,
            Command::Sync { .. } | Command::Synced { .. } | Command::Recall { .. } => Work::FrameIn,
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
            Effect::Sync { .. } | Effect::Forward { .. } | Effect::Recall { .. } => Work::FrameOut,
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
        let cloud_budget = Budget::new(settings.cloud_rps * 0.85, now.mono);
        let writes = settings.state_write_rps * writes::WRITE_SHARE;
        let write_budget = Budget::new(writes, now.mono);
        let share = settings.state_rps / (settings.peers.len() as f64 + 1.0);
        let read_budget = Budget::new(share * QUESTIONS_SHARE, now.mono);
        let delegating = policy.fleet_truth(Entry::Delegate, &FleetFacts::default());
        let others = (settings.peers.iter()).map(|p| (p.name.clone(), p.zone.clone()));
        let view = View::new(others, lead::PATIENCE);
        Core {
            write_budget,
            read_budget,
            cloud_budget,
            settings,
            policy,
            nonce,
            now,
            started: now.mono,
            out: Vec::new(),
            next_call: 1,
            pending: BTreeMap::new(),
            unanswered_creations: VecDeque::new(),
            mirror: Mirror::default(),
            cancelled_forgotten: None,
            lease: None,
            lead: None,
            delegating,
            relay: relay::Relay::new(nonce),
            view,
            leaderships: 0,
            led_term: 0,
            stood: now.mono,
            candidate_after: now.mono,
            resigned: None,
            dead_key: None,
            forwards: BTreeMap::new(),
            barriers: Default::default(),
            custody: Default::default(),
            peers_down: BTreeMap::new(),
            types: Vec::new(),
            types_asked: None,
            state_ok: now.mono,
            peer_heard: now.mono,
            probed: None,
            probes: 0,
            ready: None,
            scratch: Default::default(),
            stats: Stats::default(),
        }
    }

    /// What a snapshot of a store holds, before anything is read: a memory like any other, and found
    /// to be older than the store where that has lost nothing.
    pub fn remember(&mut self, items: Vec<Item>, revision: u64) {
        self.mirror.reset(items, revision);
        self.mirror.loaded = false;
    }

    /// Works through a batch of commands and says what is to be done.
    pub fn step(&mut self, now: Now, commands: Vec<Command>) -> Vec<Effect> {
        let late = now.mono.saturating_duration_since(self.now.mono);
        self.now = now;
        if late > Duration::from_millis(1500) {
            tracing::warn!("this process stood still for {} ms", late.as_millis());
            if let Some(lead) = &mut self.lead {
                // The machines' silence proves nothing.
                lead.deaf_until = now.mono + self.settings.report * 2;
            }
        }
        self.forget_cancelled();
        let mut reports = Vec::new();
        let mut syncs = Vec::new();
        for command in commands {
            self.stats.note_command(&command);
            match command {
                Command::User(request) => self.user(request),
                Command::Status(ticket) => self.answer_status(ticket),
                Command::Figures { ticket, lanes } => self.answer_figures(ticket, lanes),
                Command::Report { ticket, report } => reports.extend(self.report(ticket, report)),
                Command::Sync { ticket, sync } => syncs.extend(self.sync(ticket, *sync)),
                Command::Synced { number, answer } => self.synced(number, answer),
                Command::Forwarded {
                    ticket,
                    peer,
                    answer,
                } => self.forwarded(ticket, peer, answer),
                Command::LeaseKept {
                    lease,
                    sent,
                    stands,
                } => self.lease_kept(lease, sent, stands),
                Command::Deposed { key_version } => self.deposed(key_version),
                Command::LeaseLost => self.lease_lost(),
                Command::Recall { ticket, recall } => self.recall(ticket, recall),
                Command::Recalled {
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
                } => self.offered(ticket, &store, last, items),
                Command::Listed { items, revision } => self.listed(items, revision),
                Command::Changed { events, revision } => self.changed(events, revision),
                Command::State { call, outcome } => self.state_outcome(call, outcome),
                Command::Cloud { call, outcome } => self.cloud_outcome(call, outcome),
                Command::Direct { call, outcome } => self.direct_outcome(call, outcome),
            }
        }
        self.tend_custody();
        self.tend_leadership();
        self.tend_barriers();
        self.settle_creations();
        reports.extend(self.take_over_reports());
        if self.acting() {
            self.tend_rebuild();
            self.tend_machines();
            self.schedule();
            let mut due = lead::Held { reports, syncs };
            self.hold_answers(&mut due);
            for (ticket, machine) in due.reports {
                self.answer_report(ticket, &machine);
            }
            for work in due.syncs {
                self.answer_sync(work);
            }
            self.push_commands();
            self.flush_writes();
        } else {
            if let Some(lead) = &mut self.lead {
                let held = std::mem::take(&mut lead.held);
                reports.extend(held.reports);
                syncs.extend(held.syncs);
            }
            for (ticket, _) in reports {
                self.redirect(ticket);
            }
            for work in syncs {
                self.refuse_sync(work.ticket, work.number);
            }
            self.tend_relay();
        }
        self.send_barrier();
        self.tend_types();
        self.probe_peers();
        self.tend_readiness();
        for effect in &self.out {
            self.stats.note_effect(effect);
        }
        std::mem::take(&mut self.out)
    }

    /// How long the owner may sleep when no command comes.
    pub fn idle_for(&self) -> Duration {
        let now = self.now.mono;
        let idle = if self.lead.is_some() {
            let most = Duration::from_millis(100);
            self.plan_in().map_or(most, |d| d.min(most))
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

    fn ask_state(&mut self, pending: Pending, request: StateRequest) -> CallId {
        let call = self.call(pending);
        self.custody.call(call);
        self.out.push(Effect::State { call, request });
        call
    }

    fn answer(&mut self, ticket: Ticket, answer: Answer) {
        self.out.push(Effect::Answer { ticket, answer });
    }

    fn state_outcome(&mut self, call: CallId, outcome: StateOutcome) {
        if !matches!(outcome, StateOutcome::Refused(_) | StateOutcome::Unknown(_)) {
            self.state_ok = self.now.mono;
        }
        self.heed_revision(call, &outcome);
        match self.pending.remove(&call) {
            Some(Pending::Create {
                ticket,
                spec,
                since,
                tries,
                parts,
            }) => self.created(ticket, spec, since, tries, parts, outcome),
            Some(Pending::Parts {
                ticket,
                spec,
                since,
                parts,
                sent,
            }) => self.parts_written(ticket, spec, since, parts, sent, outcome),
            Some(Pending::Read { id, purpose }) => self.read(id, purpose, outcome),
            Some(Pending::Barrier(questions)) => self.barrier_read(questions, outcome),
            Some(Pending::TakeOver) => self.took_over(outcome),
            Some(Pending::Audit { after, suspicion }) => self.audited(after, suspicion, outcome),
            Some(Pending::LookAtName(version)) => self.looked_at_name(version, outcome),
            Some(Pending::LeaseOf(version)) => self.lease_of_leader(version, outcome),
            Some(Pending::LookAtRevision) => self.looked_at_revision(outcome),
            Some(Pending::Write) => self.written(call, outcome),
            _ => {}
        }
    }

    /// A node that reaches neither the state service nor any other controller serves nobody. One
    /// that reaches others passes requests on; and when the others cannot serve either, leaving
    /// the balancer would only lengthen the outage.
    fn tend_readiness(&mut self) {
        let now = self.now.mono;
        let patience = Duration::from_secs(3);
        let alone = now > self.state_ok + patience && now > self.peer_heard + patience;
        let ready = self.mirror.loaded && (!alone || self.settings.peers.is_empty());
        if self.ready != Some(ready) {
            self.ready = Some(ready);
            tracing::info!("ready: {ready}");
            self.out.push(Effect::Ready(ready));
        }
    }

    /// Every controller knows the machine types, for it has to judge submissions alone at times.
    fn tend_types(&mut self) {
        let now = self.now.mono;
        let every = if self.types.is_empty() {
            Duration::from_secs(2)
        } else if self.lead.is_some() {
            Duration::from_secs(60)
        } else {
            Duration::from_secs(600)
        };
        if self.types_asked.is_some_and(|t| now < t + every) {
            return;
        }
        self.types_asked = Some(now);
        let call = self.call(Pending::Types);
        self.out.push(Effect::Cloud {
            call,
            request: CloudRequest::Types,
            not_after: None,
        });
    }

    fn learn_types(&mut self, types: Vec<MachineType>) {
        if !types.is_empty() && types != self.types {
            if let Some(lead) = &mut self.lead {
                lead.writes.types = true;
                lead.machines.note_all();
            }
            self.types = types;
        }
    }

    fn type_of(&self, name: &str) -> Option<&MachineType> {
        self.types.iter().find(|t| t.name == name)
    }

    fn job_id(id: &str) -> JobId {
        JobId::from(id)
    }
}
