//! State of the relay: the workers that send heartbeats to this controller while another one leads, the
//! leader's grant, and the batch of heartbeats in flight.

use super::backoff::LeaderBackoff;
use crate::core::leadership::state::LeaderState;
use crate::core::workers::heartbeat_queue::{HeartbeatQueue, QueuedHeartbeat};
use crate::job::MachineId;
use crate::peer::heartbeat_batch::{
    self, AnsweredHeartbeat, HeartbeatBatch, HeartbeatBatchResponse, RelayedHeartbeat,
};
use crate::wire::Heartbeat;
use burlusher_membership::digest::{Digest, Digester};
use burlusher_membership::grant::HeldGrant;
use burlusher_membership::share;
use burlusher_membership::view::Capabilities;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// A leader that granted in this term may be dead with its key still there, for the lease's time
/// less what passed before its leadership expired. Until then heartbeats wait: sent on to it, their
/// workers would go from node to node.
const EXPIRED_GRANT_WAIT: Duration = Duration::from_millis(1800);
/// A leader at work answers a batch in a small part of this.
const LATE_RESPONSE_DELAY: Duration = Duration::from_millis(350);
/// Heartbeats that come closer together than this go together, as far as a frame takes them.
pub(super) const BATCH_INTERVAL: Duration = Duration::from_millis(50);
const MIN_IDLE: Duration = Duration::from_millis(5);
const MAX_IDLE: Duration = Duration::from_secs(1);
/// A worker whose last heartbeat is older than this does not count as served here.
const SERVED_WINDOW: Duration = Duration::from_secs(20);
/// How often workers whose lease has expired are looked for.
const EXPIRY_SCAN_INTERVAL: Duration = Duration::from_secs(5);

/// The answer that a heartbeat with the same content as the last one may get.
#[derive(Clone, Copy)]
pub(super) struct CachedResponse {
    /// Of the heartbeat that the leader had no commands for.
    pub digest: Digest,
    /// The fencing token that the leader answered it with.
    pub fencing_token: u64,
}

/// A worker that sends its heartbeats here.
pub(super) struct ServedWorker {
    pub incarnation: u64,
    pub sequence: u64,
    pub addr: String,
    /// The highest fencing token that it has shown.
    pub fencing_token: u64,
    pub last_heartbeat: Instant,
    /// `None`: its next heartbeat has to go to the leader.
    pub cached_response: Option<CachedResponse>,
}

impl ServedWorker {
    /// Whether its last heartbeat came within this time.
    fn reported_within(&self, window: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.last_heartbeat) < window
    }
}

/// A batch that the leader has yet to answer.
pub(super) struct BatchInFlight {
    pub number: u64,
    pub sent_at: Instant,
    pub leader: String,
    pub heartbeats: Vec<QueuedHeartbeat>,
}

/// A worker that a new fencing token is to be shown to.
pub(super) struct TokenProbe {
    pub machine: MachineId,
    /// 0 if not known: the worker never reported here.
    pub incarnation: u64,
    pub addr: String,
}

/// Probes that show workers the token of a new term.
#[derive(Default)]
pub(super) struct TokenProbes {
    pub pending: Vec<TokenProbe>,
    pub in_flight: usize,
    /// Workers that gave no answer; the leader has yet to be informed.
    pub unanswered: Vec<MachineId>,
}

impl TokenProbes {
    /// Unanswered workers for the next frame, as many as it takes.
    fn take_unanswered_for_frame(&mut self) -> Vec<MachineId> {
        let count = heartbeat_batch::names_that_fit(&self.unanswered);
        self.unanswered.drain(..count).collect()
    }
}

/// What a controller that does not lead keeps of the workers that it serves.
#[derive(Default)]
pub struct Relay {
    /// Tells this process from an earlier one of the same name.
    incarnation: u64,
    grant: Option<HeldGrant>,
    pub(super) workers: BTreeMap<MachineId, ServedWorker>,
    /// Workers that were answered here, and whose lease renewal the leader has yet to be informed
    /// of.
    unreported: BTreeSet<MachineId>,
    /// The newest answer that was applied before a batch that listed all of them.
    acknowledged: u64,
    /// The newest answer that was applied.
    last_response: u64,
    pub(super) queue: HeartbeatQueue,
    in_flight: Option<BatchInFlight>,
    last_number: u64,
    last_sent: Option<Instant>,
    /// The term whose leader was informed which workers send heartbeats here.
    registered_term: u64,
    pub(super) backoff: LeaderBackoff,
    /// Workers to send elsewhere: the controllers to send them to, and how many to each.
    reassignments: Vec<(String, u32)>,
    pub(super) probes: TokenProbes,
    last_expiry_scan: Option<Instant>,
}

impl Relay {
    /// The relay of a process that has just started and serves no worker.
    pub fn new(incarnation: u64) -> Relay {
        Relay {
            incarnation,
            ..Relay::default()
        }
    }

    /// The newest grant of a leader; it may have expired.
    pub(in crate::core) fn grant(&self) -> Option<HeldGrant> {
        self.grant
    }

    /// How long the owner may sleep.
    pub fn idle_for(&self, now: Instant) -> Duration {
        match self.last_sent {
            Some(sent) if self.in_flight.is_none() && !self.queue.is_empty() => {
                let next_batch = sent + BATCH_INTERVAL;
                next_batch.saturating_duration_since(now).max(MIN_IDLE)
            }
            _ => MAX_IDLE,
        }
    }

    /// The number of heartbeats that wait for the leader's answer.
    pub fn waiting(&self) -> usize {
        let sent = self.in_flight.as_ref().map_or(0, |b| b.heartbeats.len());
        self.queue.len() + sent
    }

    /// Whether a worker sent a heartbeat here recently.
    pub fn serves(&self, id: &MachineId, now: Instant) -> bool {
        let worker = self.workers.get(id);
        worker.is_some_and(|w| w.reported_within(SERVED_WINDOW, now))
    }

    /// Whether the leader of this term granted, and by now owes an answer or gave none. One at work
    /// answers several times a second.
    pub fn leader_is_late(&self, term: u64, now: Instant) -> bool {
        let granted = self.grant.is_some_and(|g| g.term == term);
        let in_flight = self.in_flight.as_ref();
        let overdue = in_flight.is_some_and(|b| now > b.sent_at + LATE_RESPONSE_DELAY);
        granted && (overdue || self.backoff.has_failures())
    }

    /// Whether the newest grant is valid or expired a moment ago: its leader may be gone with its
    /// key still there.
    pub(super) fn was_granted_recently(&self, now: Instant) -> bool {
        self.grant
            .is_some_and(|g| now < g.expires_at + EXPIRED_GRANT_WAIT)
    }

    /// As `was_granted_recently`, by the leader of this term.
    pub(super) fn was_granted_recently_in_term(&self, term: u64, now: Instant) -> bool {
        self.grant.is_some_and(|g| g.term == term) && self.was_granted_recently(now)
    }

    /// Whether a leader of a later term than this one has granted.
    pub(super) fn is_superseded(&self, term: u64) -> bool {
        self.grant.is_some_and(|g| g.term > term)
    }

    /// This controller led until now: the workers that reported to it stay with it.
    pub fn adopt_workers(&mut self, leader: &LeaderState) {
        self.grant = None;
        for m in leader.machines.values() {
            if m.incarnation > 0 && m.via.is_none() && !m.lease_expired {
                let worker = ServedWorker {
                    incarnation: m.incarnation,
                    sequence: m.sequence,
                    addr: m.addr.clone(),
                    fencing_token: m.token(leader.term),
                    last_heartbeat: m.last_heartbeat,
                    cached_response: None,
                };
                self.workers.insert(m.id.clone(), worker);
            }
        }
    }

    /// A digest of everything in a heartbeat that the leader might have commands for.
    fn digest(&self, heartbeat: &Heartbeat) -> Digest {
        let mut digester = Digester::new(self.incarnation);
        digester.text(&heartbeat.addr);
        let reclaimed = heartbeat.reclaim_in_s.is_some();
        digester.number(u64::from(heartbeat.spot) + 2 * u64::from(reclaimed));
        for status in &heartbeat.tasks {
            digester.text(&status.task);
            digester.number(status.attempt);
            digester.number(status.state as u64);
        }
        digester.finish()
    }

    /// The fencing token to answer this heartbeat with, if it says what the last one said and the
    /// leader had no commands for that.
    pub(super) fn cached_response_token(
        &mut self,
        heartbeat: &Heartbeat,
        now: Instant,
    ) -> Option<u64> {
        let digest = self.digest(heartbeat);
        let worker = self.workers.get_mut(&heartbeat.machine)?;
        let cached = worker.cached_response?;
        let unchanged = heartbeat.incarnation == worker.incarnation
            && heartbeat.sequence > worker.sequence
            // The worker would drop an answer with a lower token than it has seen, and yet stay
            // here while its lease expires.
            && heartbeat.fencing_token == cached.fencing_token
            && heartbeat.reclaim_in_s.is_none()
            && digest == cached.digest;
        if !unchanged {
            return None;
        }
        worker.sequence = heartbeat.sequence;
        worker.last_heartbeat = now;
        if !self.unreported.contains(&heartbeat.machine) {
            self.unreported.insert(heartbeat.machine.clone());
        }
        Some(cached.fencing_token)
    }

    /// Records a worker whose heartbeat the leader answered with commands or, if `cached_token` is
    /// given, with none and this token for as long as the worker's heartbeats are unchanged.
    pub(super) fn record_worker(&mut self, answered: &QueuedHeartbeat, cached_token: Option<u64>) {
        let heartbeat = &answered.heartbeat;
        let cached_response = cached_token.map(|fencing_token| CachedResponse {
            digest: self.digest(heartbeat),
            fencing_token,
        });
        let worker = ServedWorker {
            incarnation: heartbeat.incarnation,
            sequence: heartbeat.sequence,
            addr: heartbeat.addr.clone(),
            fencing_token: heartbeat.fencing_token,
            last_heartbeat: answered.received,
            cached_response,
        };
        self.workers.insert(heartbeat.machine.clone(), worker);
    }

    /// The controller that this worker is to go to, if it is to go.
    pub(super) fn next_reassignment(&mut self, id: &MachineId) -> Option<String> {
        let to = share::next_target(&mut self.reassignments)?;
        self.workers.remove(id);
        Some(to)
    }

    /// Applies the leader's answer to a batch but for the responses to heartbeats.
    pub(super) fn apply_response(
        &mut self,
        grant: HeldGrant,
        response: &mut HeartbeatBatchResponse,
        now: Instant,
    ) {
        self.renew_grant(grant, now);
        self.last_response = response.number;
        self.reassignments = std::mem::take(&mut response.reassignments);
        for id in &response.revoked {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.cached_response = None;
            }
        }
    }

    /// Holds a new grant. If the one before has expired, or is another leader's, what was delegated
    /// under it is void.
    fn renew_grant(&mut self, grant: HeldGrant, now: Instant) {
        let unbroken = self.grant.is_some_and(|g| g.is_valid(grant.term, now));
        if !unbroken {
            // The leader counted every delegation as ended when the grant expired.
            for worker in self.workers.values_mut() {
                worker.cached_response = None;
            }
            self.unreported.clear();
        }
        self.grant = Some(grant);
    }

    /// Whether the leader of this term has yet to be informed which workers send heartbeats here; it counts
    /// as informed from now on.
    pub(super) fn register_term(&mut self, term: u64) -> bool {
        let is_new = self.registered_term != term;
        self.registered_term = term;
        is_new
    }

    /// Workers whose heartbeats were answered here, as many as a frame takes.
    fn take_answered_for_frame(&mut self, now: Instant) -> Vec<AnsweredHeartbeat> {
        let mut answered = Vec::new();
        let mut size = 0;
        while size < heartbeat_batch::MAX_ANSWERED_BYTES
            && let Some(id) = self.unreported.pop_first()
        {
            if let Some(worker) = self.workers.get(&id) {
                size += heartbeat_batch::answered_heartbeat_size(&id);
                answered.push(AnsweredHeartbeat {
                    machine: id,
                    incarnation: worker.incarnation,
                    sequence: worker.sequence,
                    age: now.saturating_duration_since(worker.last_heartbeat),
                });
            }
        }
        answered
    }

    /// The number of the answer to acknowledge to the leader. The leader counts delegations that
    /// this answer revoked as its own from then on, so it must have been informed before of all
    /// heartbeats that were answered here until then.
    fn acknowledge(&mut self) -> u64 {
        if self.unreported.is_empty() {
            self.acknowledged = self.last_response;
        }
        self.acknowledged
    }

    /// Forgets workers whose lease has expired, now and then.
    pub(super) fn drop_expired_workers(&mut self, now: Instant, lease: Duration) {
        let last_scan = self.last_expiry_scan;
        if last_scan.is_some_and(|at| now < at + EXPIRY_SCAN_INTERVAL) {
            return;
        }
        self.last_expiry_scan = Some(now);
        self.workers.retain(|_, w| w.reported_within(lease, now));
    }

    /// Whether a batch may be sent now: none is in flight, and the last one was sent at least
    /// `interval` ago and did not fail a moment ago.
    pub(super) fn may_send(&self, interval: Duration, now: Instant) -> bool {
        let early = self.last_sent.is_some_and(|at| now < at + interval);
        self.in_flight.is_none() && !early && !self.backoff.defers(now)
    }

    /// The next batch for the leader of this term, with the heartbeats that wait, which are
    /// returned beside it. `recent` is the age up to which a worker's heartbeat counts it as
    /// reporting here.
    pub(super) fn next_batch(
        &mut self,
        from: &str,
        term: u64,
        recent: Duration,
        now: Instant,
    ) -> (HeartbeatBatch, Vec<QueuedHeartbeat>) {
        self.last_number += 1;
        self.last_sent = Some(now);
        let unanswered_probes = self.probes.take_unanswered_for_frame();
        let answered = self.take_answered_for_frame(now);
        let acknowledged = self.acknowledge();
        let heartbeats = self.queue.take_frame();
        let batch = HeartbeatBatch {
            from: from.to_string(),
            incarnation: self.incarnation,
            number: self.last_number,
            acknowledged,
            capabilities: Capabilities::SERVES_WORKERS.0,
            load: self.recent_workers(recent, now).count() as u32,
            pending_probes: (self.probes.pending.len() + self.probes.in_flight) as u32,
            term: self.grant.map_or(0, |g| g.term),
            served: self.served_for_frame(term, recent, now),
            unanswered_probes,
            answered,
            heartbeats: relayed_heartbeats(&heartbeats),
        };
        (batch, heartbeats)
    }

    fn recent_workers(
        &self,
        recent: Duration,
        now: Instant,
    ) -> impl Iterator<Item = (&MachineId, &ServedWorker)> {
        let workers = self.workers.iter();
        workers.filter(move |(_, w)| w.reported_within(recent, now))
    }

    /// The workers that send heartbeats here, for a leader that has yet to be informed of them. It probes
    /// those itself that do not fit into the frame.
    fn served_for_frame(&self, term: u64, recent: Duration, now: Instant) -> Vec<MachineId> {
        if self.registered_term == term {
            return Vec::new();
        }
        let workers = self.recent_workers(recent, now);
        let mut served: Vec<MachineId> = workers.map(|(id, _)| id.clone()).collect();
        served.truncate(heartbeat_batch::names_that_fit(&served));
        served
    }

    /// A batch is in flight.
    pub(super) fn set_in_flight(&mut self, batch: BatchInFlight) {
        self.in_flight = Some(batch);
    }

    /// The batch in flight, if it has this number.
    pub(super) fn take_in_flight(&mut self, number: u64) -> Option<BatchInFlight> {
        self.in_flight.take_if(|b| b.number == number)
    }

    /// Plans a probe for each worker that sent a heartbeat here recently and has not seen this token. Those
    /// whose heartbeats wait here, or are in `answered`, see it in the answers to these.
    pub(super) fn plan_token_probes(
        &mut self,
        token: u64,
        answered: &[QueuedHeartbeat],
        recent: Duration,
        now: Instant,
    ) {
        let responded = self.queue.iter().chain(answered);
        let responded: BTreeSet<&MachineId> = responded.map(|w| &w.heartbeat.machine).collect();
        let without_token = self
            .recent_workers(recent, now)
            .filter(|(id, w)| w.fencing_token < token && !responded.contains(id));
        let probes = without_token.map(|(id, w)| TokenProbe {
            machine: id.clone(),
            incarnation: w.incarnation,
            addr: w.addr.clone(),
        });
        self.probes.pending = probes.collect();
    }
}

/// QueuedHeartbeat heartbeats as they stand in a batch, each with its index from 1 as id. 0 is the id of
/// those that want no response.
fn relayed_heartbeats(heartbeats: &[QueuedHeartbeat]) -> Vec<RelayedHeartbeat> {
    let numbered = heartbeats.iter().enumerate();
    let relayed = numbered.map(|(index, queued)| RelayedHeartbeat {
        id: queued.ticket.map_or(0, |_| index as u64 + 1),
        heartbeat: queued.heartbeat.clone(),
    });
    relayed.collect()
}

#[cfg(test)]
mod tests;
