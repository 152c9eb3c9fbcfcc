//! What a controller does for the workers that report to it while another one leads.
//!
//! Their reports wait here until the leader's answer comes, many in a frame; one that says the same
//! as the last one is answered at once, under the leader's grant and as far as the leader has lent
//! that machine (`delegation`). While there is no leader, reports wait for the next one, though not
//! for longer than a worker does: those that are turned away would all connect to somebody else,
//! at the very moment at which a new leader has most to do. When it comes, the workers need not
//! look for it, and this controller shows them its token.

use crate::core::leadership::state::{HEARTBEAT, LeaderState};
use crate::core::workers::commands::MAX_DIRECT_CALLS;
use crate::core::workers::heartbeat_queue::{ReportQueue, Waiting};
use crate::core::workers::heartbeats::redirect_to;
use crate::core::{Core, Effect, Pending, Ticket};
use crate::fault_injection::{Safeguard, is_enabled};
use crate::http::Response;
use crate::job::MachineId;
use crate::peer::heartbeat_batch::{
    self, AnsweredHeartbeat, HeartbeatBatch, HeartbeatBatchResponse, RelayedHeartbeat,
    RelayedOutcome, RelayedResponse,
};
use crate::wire::{DirectCommands, Heartbeat, HeartbeatResponse, to_json};
use crate::worker_client::{DirectOutcome, DirectRequest};
use burlusher_membership::digest::{Digest, Digester};
use burlusher_membership::grant::HeldGrant;
use burlusher_membership::share;
use burlusher_membership::view::Capabilities;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// A leader that granted in this term may be dead with its key still there, for the lease's time
/// less what passed before its word was over. Until then reports wait: sent on to it, their workers
/// would go from node to node.
const LEADER_WAIT: Duration = Duration::from_millis(1800);
/// A leader at work answers a frame in a small part of this.
const LATE: Duration = Duration::from_millis(350);
/// Reports that come closer together than this go together, as far as a frame takes them.
const GATHER: Duration = Duration::from_millis(50);
/// A worker waits 4 s for an answer, and its report was under way for a moment.
const MAX_WAIT: Duration = Duration::from_millis(3000);
const RESPONSE_DEADLINE: Duration = Duration::from_millis(3400);
/// After failures in a row, the leader is left alone for this long, doubled each time up to the
/// longest: it may be a version that drops the connection. One that granted just now is asked at
/// the shortest pace: a lost packet, or a cut that may end.
const BACK_OFF: Duration = Duration::from_millis(200);
const SHORT_BACK_OFF: Duration = Duration::from_millis(300);
const MAX_BACK_OFF: Duration = Duration::from_secs(5);
/// A leader that does not work like this is asked again after this long.
const REFUSED: Duration = Duration::from_secs(10);

/// A worker that reports here.
struct Worker {
    incarnation: u64,
    sequence: u64,
    addr: String,
    /// The highest token that it has shown.
    fencing_token: u64,
    last_heartbeat: Instant,
    /// What its last report said, and the token to answer the same with.
    steady_response: Option<(Digest, u64)>,
}

struct Sent {
    number: u64,
    at: Instant,
    to: String,
    heartbeats: Vec<Waiting>,
}

#[derive(Default)]
pub struct Relay {
    incarnation: u64,
    pub(in crate::core) grant: Option<HeldGrant>,
    workers: BTreeMap<MachineId, Worker>,
    /// Workers that were answered here, of which the leader has yet to be told.
    unreported: BTreeSet<MachineId>,
    /// The newest answer that was taken in before a frame which left none of them out.
    acknowledged: u64,
    waiting: ReportQueue,
    in_flight: Option<Sent>,
    last_number: u64,
    last_acknowledged: u64,
    last_sent: Option<Instant>,
    /// The term whose leader has been told which workers report here.
    registered_term: u64,
    failures: u32,
    /// The term that failures were counted in.
    failures_term: u64,
    retry_not_before: Option<Instant>,
    reassignments: Vec<(String, u32)>,
    /// Workers that a new token is to be shown to: their sessions, 0 if not known, and addresses.
    pending_probes: Vec<(MachineId, u64, String)>,
    probes_in_flight: usize,
    /// Workers that gave no answer to it; the leader has yet to be told.
    unanswered_probes: Vec<MachineId>,
    last_expiry_scan: Option<Instant>,
}

impl Relay {
    pub fn new(nonce: u64) -> Relay {
        Relay {
            incarnation: nonce,
            ..Relay::default()
        }
    }

    /// How long the owner may sleep.
    pub fn idle_for(&self, now: Instant) -> Duration {
        match self.last_sent {
            Some(t) if self.in_flight.is_none() && !self.waiting.is_empty() => (t + GATHER)
                .saturating_duration_since(now)
                .max(Duration::from_millis(5)),
            _ => Duration::from_secs(1),
        }
    }

    /// Reports that wait for the leader's answer.
    pub fn waiting(&self) -> usize {
        let sent = self.in_flight.as_ref().map_or(0, |s| s.heartbeats.len());
        self.waiting.len() + sent
    }

    /// Whether a worker reported here lately.
    pub fn serves(&self, id: &MachineId, now: Instant) -> bool {
        let w = self.workers.get(id);
        w.is_some_and(|w| now.saturating_duration_since(w.last_heartbeat) < Duration::from_secs(20))
    }

    /// The leader, which answers several times a second, owes an answer for so long, or gave none.
    pub fn leader_is_late(&self, term: u64, now: Instant) -> bool {
        let granted = self.grant.is_some_and(|g| g.term == term);
        let owed = (self.in_flight.as_ref()).is_some_and(|s| now > s.at + LATE);
        granted && (owed || self.failures > 0)
    }

    /// This controller led until now: the workers that reported to it stay with it.
    pub fn adopt_workers(&mut self, leader: &LeaderState) {
        self.grant = None;
        for m in leader.machines.values() {
            if m.incarnation > 0 && m.via.is_none() && !m.lease_expired {
                let w = Worker {
                    incarnation: m.incarnation,
                    sequence: m.sequence,
                    addr: m.addr.clone(),
                    fencing_token: m.token(leader.term),
                    last_heartbeat: m.last_heartbeat,
                    steady_response: None,
                };
                self.workers.insert(m.id.clone(), w);
            }
        }
    }

    fn digest(&self, r: &Heartbeat) -> Digest {
        let mut d = Digester::new(self.incarnation);
        d.text(&r.addr);
        d.number(u64::from(r.spot) + 2 * u64::from(r.reclaim_in_s.is_some()));
        for row in &r.tasks {
            d.text(&row.task);
            d.number(row.attempt);
            d.number(row.state as u64);
        }
        d.finish()
    }

    /// The token to answer this report with, if it says what the last one said and that was all
    /// that the leader wanted to hear.
    fn steady_answer(&mut self, heartbeat: &Heartbeat, now: Instant) -> Option<u64> {
        let digest = self.digest(heartbeat);
        let w = self.workers.get_mut(&heartbeat.machine)?;
        let (said, token) = w.steady_response?;
        let same = heartbeat.incarnation == w.incarnation
            && heartbeat.sequence > w.sequence
            // The worker would drop an answer with a lower token than it has seen, and yet stay
            // here while its lease runs out.
            && heartbeat.fencing_token == token
            && heartbeat.reclaim_in_s.is_none()
            && digest == said;
        if !same {
            return None;
        }
        (w.sequence, w.last_heartbeat) = (heartbeat.sequence, now);
        if !self.unreported.contains(&heartbeat.machine) {
            self.unreported.insert(heartbeat.machine.clone());
        }
        Some(token)
    }

    /// A worker that is to go elsewhere.
    fn next_reassignment(&mut self, id: &MachineId) -> Option<String> {
        let to = share::take_one(&mut self.reassignments)?;
        self.workers.remove(id);
        Some(to)
    }

    /// The leader's word for an answer: what was lent under an earlier one is void.
    fn hold(&mut self, held: HeldGrant, now: Instant) {
        let unbroken = self.grant.is_some_and(|g| g.holds(held.term, now));
        if !unbroken {
            // The leader has counted everything lent as back when the grant ran out.
            self.workers
                .values_mut()
                .for_each(|w| w.steady_response = None);
            self.unreported.clear();
        }
        self.grant = Some(held);
    }

    /// Machines that gave no answer, as many as a frame takes.
    fn failed_for_frame(&mut self) -> Vec<MachineId> {
        let count = heartbeat_batch::names_that_fit(&self.unanswered_probes);
        self.unanswered_probes.drain(..count).collect()
    }

    /// Machines whose reports were answered here, as many as a frame takes.
    fn heard_for_frame(&mut self, now: Instant) -> Vec<AnsweredHeartbeat> {
        let mut heard = Vec::new();
        let mut size = 0;
        while size < heartbeat_batch::MOST_HEARD_BYTES
            && let Some(id) = self.unreported.pop_first()
        {
            if let Some(w) = self.workers.get(&id) {
                size += heartbeat_batch::size_of_heard(&id);
                heard.push(AnsweredHeartbeat {
                    machine: id,
                    incarnation: w.incarnation,
                    sequence: w.sequence,
                    age: now.saturating_duration_since(w.last_heartbeat),
                });
            }
        }
        heard
    }

    /// The answer to tell the leader as taken in. It counts what that took back as its own from then on, and
    /// has to have heard before of all that was answered here until then.
    fn acknowledge(&mut self) -> u64 {
        if self.unreported.is_empty() {
            self.acknowledged = self.last_acknowledged;
        }
        self.acknowledged
    }

    fn drop_expired_workers(&mut self, now: Instant, lease: Duration) {
        if self
            .last_expiry_scan
            .is_some_and(|t| now < t + Duration::from_secs(5))
        {
            return;
        }
        self.last_expiry_scan = Some(now);
        self.workers
            .retain(|_, w| now.saturating_duration_since(w.last_heartbeat) < lease);
    }
}

impl Core {
    /// A worker reports here, and another controller leads, or none.
    pub(in crate::core) fn relay_heartbeat(&mut self, ticket: Ticket, heartbeat: Box<Heartbeat>) {
        let now = self.now.mono;
        self.observe_fencing_token(heartbeat.fencing_token);
        if !self.delegating {
            return self.redirect(ticket);
        }
        if let Some(grant) = self.relay.grant
            && (grant.holds(self.store_cache.term, now) || !is_enabled(Safeguard::Grant))
            && let Some(token) = self.relay.steady_answer(&heartbeat, now)
        {
            let answer = match self.relay.next_reassignment(&heartbeat.machine) {
                Some(to) => redirect_to(&to),
                None => {
                    let orders = Vec::new();
                    let body = to_json(&HeartbeatResponse {
                        fencing_token: token,
                        commands: orders,
                    });
                    let until = is_enabled(Safeguard::Grant).then_some(grant.until);
                    Response::new(200, body).until(until)
                }
            };
            return self.answer(ticket, answer);
        }
        if self.store_is_stale() || !self.may_wait_for_leader() {
            return self.redirect(ticket);
        }
        if !self.relay.waiting.has_room(&self.settings) {
            return self.answer(ticket, Response::busy("overloaded", 1));
        }
        self.relay.waiting.push(Waiting {
            ticket: Some(ticket),
            heartbeat: heartbeat,
            received: now,
        });
    }

    /// Whether it is of use to let reports wait for the leader's answer: there is none, or one that
    /// has not failed to answer, or one that granted in this term and may be gone.
    fn may_wait_for_leader(&self) -> bool {
        let now = self.now.mono;
        let term = self.store_cache.term;
        let hopeful =
            (self.relay.grant).is_some_and(|g| g.term == term && now < g.until + LEADER_WAIT);
        let failing = self.relay.failures_term == term && self.relay.retry_not_before.is_some();
        self.leader_name().is_none() || hopeful || !failing
    }

    /// This controller has come to lead: what waited for a leader is answered here.
    pub(in crate::core) fn drain_waiting_heartbeats(&mut self) -> Vec<(Ticket, MachineId)> {
        if !self.acting() || self.relay.waiting.is_empty() {
            return Vec::new();
        }
        let mut out = Vec::new();
        for w in self.relay.waiting.take_all() {
            match w.ticket {
                Some(ticket) => out.extend(self.heartbeat(ticket, w.heartbeat)),
                None => {
                    let id = w.heartbeat.machine.clone();
                    self.apply_heartbeat(&id, *w.heartbeat, false);
                }
            }
        }
        out
    }

    /// Called at the end of each step of a controller that does not lead.
    pub(in crate::core) fn advance_relay(&mut self) {
        if !self.delegating {
            return;
        }
        let now = self.now.mono;
        self.relay
            .drop_expired_workers(now, self.settings.worker_lease);
        while let Some(w) = self.relay.waiting.pop_overdue(now, MAX_WAIT) {
            if let Some(ticket) = w.ticket {
                self.answer(ticket, Response::busy("no leader yet", 1));
            }
        }
        if self.relay.failures_term != self.store_cache.term {
            // Another leader, or another version: it has not failed yet.
            self.relay.failures_term = self.store_cache.term;
            (self.relay.failures, self.relay.retry_not_before) = (0, None);
        }
        self.send_token_probes();
        let me = self.settings.name.as_str();
        let leader = self.leader_name().filter(|n| *n != me);
        let Some(leader) = leader.map(str::to_string) else {
            return;
        };
        let relay = &self.relay;
        let pause = if relay.waiting.is_empty() {
            HEARTBEAT
        } else if relay.waiting.exceeds_a_frame() {
            Duration::ZERO
        } else {
            GATHER
        };
        let early = relay.last_sent.is_some_and(|t| now < t + pause)
            || relay.retry_not_before.is_some_and(|t| now < t);
        let known = self.settings.peers.iter().any(|p| p.name == leader);
        if relay.in_flight.is_some() || early || !known || self.store_is_stale() {
            return;
        }
        self.send_batch(leader);
    }

    fn send_batch(&mut self, leader: String) {
        let now = self.now.mono;
        let term = self.store_cache.term;
        let recent = self.settings.heartbeat_interval * 5 / 2;
        let relay = &mut self.relay;
        relay.last_number += 1;
        relay.last_sent = Some(now);
        let mut sync = HeartbeatBatch {
            from: self.settings.name.clone(),
            incarnation: relay.incarnation,
            number: relay.last_number,
            capabilities: Capabilities::REPORTS.0,
            load: (relay.workers.values())
                .filter(|w| now.saturating_duration_since(w.last_heartbeat) < recent)
                .count() as u32,
            pending_probes: (relay.pending_probes.len() + relay.probes_in_flight) as u32,
            term: relay.grant.map_or(0, |g| g.term),
            unanswered_probes: relay.failed_for_frame(),
            ..HeartbeatBatch::default()
        };
        if relay.registered_term != term {
            let lately = |w: &&Worker| now.saturating_duration_since(w.last_heartbeat) < recent;
            let mine = relay.workers.iter().filter(|(_, w)| lately(w));
            sync.served = mine.map(|(id, _)| id.clone()).collect();
            // The leader asks those that are left out itself.
            sync.served
                .truncate(heartbeat_batch::names_that_fit(&sync.served));
        }
        sync.answered = relay.heard_for_frame(now);
        sync.acknowledged = relay.acknowledge();
        let heartbeats = relay.waiting.take_frame();
        sync.heartbeats = (heartbeats.iter().enumerate())
            .map(|(n, w)| RelayedHeartbeat {
                id: w.ticket.map_or(0, |_| n as u64 + 1),
                heartbeat: w.heartbeat.clone(),
            })
            .collect();
        let frame = heartbeat_batch::encode_sync(&sync);
        let number = sync.number;
        relay.in_flight = Some(Sent {
            number,
            at: now,
            to: leader.clone(),
            heartbeats,
        });
        self.effects.push(Effect::HeartbeatBatch {
            peer: leader,
            number,
            frame,
        });
    }

    /// The leader's answer to our frame, or that there is none.
    pub(in crate::core) fn batch_answered(
        &mut self,
        number: u64,
        answer: Option<Box<HeartbeatBatchResponse>>,
    ) {
        let now = self.now.mono;
        let Some(sent) = self.relay.in_flight.take_if(|s| s.number == number) else {
            return;
        };
        let Some(answer) = answer.filter(|a| a.number == number) else {
            self.relay.failures += 1;
            let wait = BACK_OFF * 2u32.pow(self.relay.failures.min(6));
            let hopeful = (self.relay.grant).is_some_and(|g| now < g.until + LEADER_WAIT);
            if hopeful {
                self.relay.retry_not_before = Some(now + SHORT_BACK_OFF);
            } else if self.relay.failures > 1 {
                self.relay.retry_not_before = Some(now + wait.min(MAX_BACK_OFF));
            }
            tracing::debug!("{} gives no answer for our workers", sent.to);
            return self.requeue_heartbeats(sent.heartbeats);
        };
        self.relay.failures = 0;
        self.relay.retry_not_before = None;
        self.peer_reachable_at = now;
        if answer.refused {
            self.relay.retry_not_before = Some(now + REFUSED);
            return self.requeue_heartbeats(sent.heartbeats);
        }
        // It does not lead, or not yet, or not any more.
        let succeeded = (self.relay.grant).is_some_and(|g| g.term > answer.term);
        if answer.grant.is_zero() || succeeded {
            return self.requeue_heartbeats(sent.heartbeats);
        }
        let held = HeldGrant::new(answer.term, sent.at, answer.grant);
        self.members
            .heard(&sent.to, 0, Capabilities::REPORTS, 0, now);
        for m in &answer.members {
            let at = now.checked_sub(m.age).unwrap_or(now);
            (self.members).told(&m.name, Capabilities(m.capabilities), m.load, at);
        }
        self.relay.hold(held, now);
        self.relay.last_acknowledged = number;
        self.relay.reassignments = answer.reassignments;
        for id in &answer.revoked {
            if let Some(w) = self.relay.workers.get_mut(id) {
                w.steady_response = None;
            }
        }
        if self.relay.registered_term != answer.term {
            self.relay.registered_term = answer.term;
            self.begin_token_probes(answer.term, &sent.heartbeats);
        }
        for (id, addr) in answer.probes {
            let incarnation = self.relay.workers.get(&id).map_or(0, |w| w.incarnation);
            self.relay.pending_probes.push((id, incarnation, addr));
        }
        let mut told: BTreeMap<u64, RelayedResponse> =
            answer.responses.into_iter().map(|t| (t.id, t)).collect();
        for (n, w) in sent.heartbeats.into_iter().enumerate() {
            let Some(ticket) = w.ticket else { continue };
            match told.remove(&(n as u64 + 1)) {
                Some(t) => self.deliver_response(ticket, w, t.outcome, held),
                None => self.answer(ticket, Response::busy("no answer", 1)),
            }
        }
    }

    fn deliver_response(
        &mut self,
        ticket: Ticket,
        w: Waiting,
        told: RelayedOutcome,
        held: HeldGrant,
    ) {
        let r = &w.heartbeat;
        match told {
            RelayedOutcome::Refused {
                status,
                retry_after,
            } => {
                self.relay.workers.remove(&r.machine);
                let mut answer = Response::error(status, "see the status");
                answer.retry_after = retry_after;
                self.answer(ticket, answer);
            }
            RelayedOutcome::Commands {
                fencing_token,
                commands,
                steady,
            } => {
                let digest = self.relay.digest(r);
                let worker = Worker {
                    incarnation: r.incarnation,
                    sequence: r.sequence,
                    addr: r.addr.clone(),
                    fencing_token: r.fencing_token,
                    last_heartbeat: w.received,
                    steady_response: steady.then_some((digest, fencing_token)),
                };
                self.relay.workers.insert(r.machine.clone(), worker);
                let body = to_json(&HeartbeatResponse {
                    fencing_token,
                    commands,
                });
                // Before the leader's word is over, and before the worker stops to wait.
                let until = held.until.min(w.received + RESPONSE_DEADLINE);
                self.answer(ticket, Response::new(200, body).until(Some(until)));
            }
        }
    }

    /// Reports whose frame came to nothing wait on, or their workers are led to the leader.
    fn requeue_heartbeats(&mut self, heartbeats: Vec<Waiting>) {
        self.relay.waiting.put_back(heartbeats);
        if !self.may_wait_for_leader() {
            for w in self.relay.waiting.take_all() {
                if let Some(ticket) = w.ticket {
                    self.redirect(ticket);
                }
            }
        }
    }

    /// A new leader's token is shown to the workers that report here, so that whatever an earlier
    /// one sent is refused by them, and the leader knows what each of them has. Those whose reports
    /// wait here see it in the answers to these.
    fn begin_token_probes(&mut self, term: u64, answered: &[Waiting]) {
        let now = self.now.mono;
        let token = term << crate::core::machines::machine::TOKEN_EPOCH_BITS;
        let recent = self.settings.heartbeat_interval * 5 / 2;
        let relay = &mut self.relay;
        let waiting = relay.waiting.iter().chain(answered);
        let waiting: BTreeSet<&MachineId> = waiting.map(|w| &w.heartbeat.machine).collect();
        let workers = relay.workers.iter();
        let unaware = workers.filter(|(id, w)| {
            w.fencing_token < token
                && now.saturating_duration_since(w.last_heartbeat) < recent
                && !waiting.contains(id)
        });
        let all = unaware.map(|(id, w)| (id.clone(), w.incarnation, w.addr.clone()));
        relay.pending_probes = all.collect();
        tracing::info!(
            term = term,
            "term {term}: of {} workers here, {} are to see its token",
            relay.workers.len(),
            relay.pending_probes.len()
        );
    }

    fn send_token_probes(&mut self) {
        let now = self.now.mono;
        let Some(grant) = self.relay.grant.filter(|g| now < g.until) else {
            self.relay.pending_probes.clear();
            self.relay.unanswered_probes.clear();
            return;
        };
        let token = grant.term << crate::core::machines::machine::TOKEN_EPOCH_BITS;
        while self.relay.probes_in_flight < MAX_DIRECT_CALLS
            && let Some((id, incarnation, addr)) = self.relay.pending_probes.pop()
        {
            let seen = |w: &Worker| w.fencing_token >= token;
            if self.relay.workers.get(&id).is_some_and(seen) {
                continue;
            }
            let Ok(addr) = addr.parse() else { continue };
            // Of a worker that never reported here, the session is not known.
            let request = if incarnation == 0 {
                DirectRequest::Status { token }
            } else {
                DirectRequest::Commands(DirectCommands {
                    fencing_token: token,
                    incarnation: incarnation,
                    commands: Vec::new(),
                })
            };
            let call = self.call(Pending::Show(id));
            self.relay.probes_in_flight += 1;
            self.effects.push(Effect::Direct {
                call,
                addr,
                request,
                not_after: grant.until,
            });
        }
    }

    /// A worker's answer to the token; without one, the leader is told, and asks it once more.
    pub(in crate::core) fn token_probe_answered(&mut self, id: &MachineId, outcome: DirectOutcome) {
        self.relay.probes_in_flight = self.relay.probes_in_flight.saturating_sub(1);
        let DirectOutcome::Heartbeat { heartbeat, .. } = outcome else {
            self.relay.unanswered_probes.push(id.clone());
            return;
        };
        if heartbeat.machine != *id || !self.relay.waiting.has_room(&self.settings) {
            return;
        }
        if let Some(w) = self.relay.workers.get_mut(id)
            && heartbeat.incarnation == w.incarnation
        {
            w.sequence = w.sequence.max(heartbeat.sequence);
            w.fencing_token = w.fencing_token.max(heartbeat.fencing_token);
        }
        self.relay.waiting.push(Waiting {
            ticket: None,
            heartbeat: heartbeat,
            received: self.now.mono,
        });
    }
}

#[cfg(test)]
mod tests;
