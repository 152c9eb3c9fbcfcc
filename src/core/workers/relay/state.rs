//! State of the relay: the workers that send heartbeats to this controller while another one leads, the
//! leader's grant, and the batch of heartbeats in flight.

use super::backoff::LeaderBackoff;
use super::local_answers::{LocalAnswer, LocalAnswers, ReportedAnswers, answered_heartbeats};
use super::probes::{TokenProbe, TokenProbes};
use crate::core::leadership::state::LeaderState;
use crate::core::workers::heartbeat_queue::{HeartbeatQueue, QueuedHeartbeat};
use crate::job::MachineId;
use crate::peer::heartbeat_batch::{
    self, HeartbeatBatch, HeartbeatBatchResponse, RelayedHeartbeat,
};
use crate::wire::Heartbeat;
use burlusher_membership::digest::{Digest, Digester};
use burlusher_membership::grant::HeldGrant;
use burlusher_membership::share;
use burlusher_membership::view::Capabilities;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Time after the expiry of a grant for which heartbeats still wait. The leader that issued the grant may
/// be dead while its leader key still exists: the key's lease ends this much later than the leadership.
/// Workers that were redirected to the dead leader would go from controller to controller.
const EXPIRED_GRANT_WAIT: Duration = Duration::from_millis(1800);
/// Time after which the response to a batch counts as late. A live leader needs only a small part of it.
const LATE_RESPONSE_DELAY: Duration = Duration::from_millis(350);
/// Minimum time between two batches, unless more heartbeats wait than fit into one frame.
pub(super) const BATCH_INTERVAL: Duration = Duration::from_millis(50);
/// Bounds on the time until the relay needs another step.
const MIN_IDLE: Duration = Duration::from_millis(5);
const MAX_IDLE: Duration = Duration::from_secs(1);
/// Maximum age of a worker's newest heartbeat at which the worker counts as served here.
const SERVED_WINDOW: Duration = Duration::from_secs(20);
/// Time between two scans for workers whose lease has expired.
const EXPIRY_SCAN_INTERVAL: Duration = Duration::from_secs(5);

/// Response to heartbeats whose content does not change.
#[derive(Clone, Copy)]
pub(super) struct CachedResponse {
    /// Digest of the heartbeat to which the leader responded without commands.
    pub digest: Digest,
    /// Fencing token in the leader's response.
    pub fencing_token: u64,
}

/// A worker that sends its heartbeats to this controller.
pub(super) struct ServedWorker {
    pub incarnation: u64,
    pub sequence: u64,
    pub addr: String,
    /// Highest fencing token that the worker has shown.
    pub fencing_token: u64,
    pub last_heartbeat: Instant,
    /// Response to unchanged heartbeats; `None` if the next heartbeat must be relayed to the leader.
    pub cached_response: Option<CachedResponse>,
}

impl ServedWorker {
    /// Returns whether the worker's newest heartbeat is younger than `window`.
    fn reported_within(&self, window: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.last_heartbeat) < window
    }
}

/// A batch that was sent to the leader and has no response yet.
pub(super) struct BatchInFlight {
    pub number: u64,
    pub sent_at: Instant,
    pub leader: String,
    pub content: BatchContent,
}

/// Parts of a batch that are sent again if it gets no response.
pub(super) struct BatchContent {
    pub heartbeats: Vec<QueuedHeartbeat>,
    pub answers: ReportedAnswers,
}

/// State of the workers that a controller serves while it is not the leader.
#[derive(Default)]
pub struct Relay {
    /// Distinguishes this process from earlier ones of the same name.
    incarnation: u64,
    grant: Option<HeldGrant>,
    pub(super) workers: BTreeMap<MachineId, ServedWorker>,
    /// Heartbeats that were answered here, until the leader has received the report.
    answers: LocalAnswers,
    /// Number of the newest batch response that may be acknowledged: after it was applied, all `answers` have been
    /// reported.
    acknowledged: u64,
    /// Number of the newest batch response that was applied.
    last_response: u64,
    /// Heartbeats that are to be sent with the next batches.
    pub(super) queue: HeartbeatQueue,
    in_flight: Option<BatchInFlight>,
    last_number: u64,
    last_sent: Option<Instant>,
    /// Term whose leader has been sent the list of workers that send heartbeats here.
    registered_term: u64,
    pub(super) backoff: LeaderBackoff,
    /// Workers to redirect: the target controller and the number of workers for each target.
    reassignments: Vec<(String, u32)>,
    pub(super) probes: TokenProbes,
    last_expiry_scan: Option<Instant>,
}

impl Relay {
    /// Creates the relay of a process that has just started and serves no worker.
    pub fn new(incarnation: u64) -> Relay {
        Relay {
            incarnation,
            ..Relay::default()
        }
    }

    /// Returns the newest grant from a leader; it may have expired.
    pub(in crate::core) fn grant(&self) -> Option<HeldGrant> {
        self.grant
    }

    /// Returns the time until the relay needs another step, if nothing happens before.
    pub fn idle_for(&self, now: Instant) -> Duration {
        match self.last_sent {
            Some(sent) if self.in_flight.is_none() && !self.queue.is_empty() => {
                let next_batch = sent + BATCH_INTERVAL;
                next_batch.saturating_duration_since(now).max(MIN_IDLE)
            }
            _ => MAX_IDLE,
        }
    }

    /// Returns the number of heartbeats that wait for the leader's response.
    pub fn waiting(&self) -> usize {
        let in_flight = self.in_flight.as_ref();
        let sent = in_flight.map_or(0, |b| b.content.heartbeats.len());
        self.queue.len() + sent
    }

    /// Returns whether a worker sent a heartbeat here recently.
    pub fn serves(&self, id: &MachineId, now: Instant) -> bool {
        let worker = self.workers.get(id);
        worker.is_some_and(|w| w.reported_within(SERVED_WINDOW, now))
    }

    /// Returns whether the leader of this term issued a grant, and its response to the last batch is late
    /// or failed. A live leader responds several times a second.
    pub fn leader_is_late(&self, term: u64, now: Instant) -> bool {
        let granted = self.grant.is_some_and(|g| g.term == term);
        let in_flight = self.in_flight.as_ref();
        let overdue = in_flight.is_some_and(|b| now > b.sent_at + LATE_RESPONSE_DELAY);
        granted && (overdue || self.backoff.has_failures())
    }

    /// Returns whether the newest grant is valid or expired less than `EXPIRED_GRANT_WAIT` ago: its leader
    /// may have died while its leader key still exists.
    pub(super) fn was_granted_recently(&self, now: Instant) -> bool {
        self.grant
            .is_some_and(|g| now < g.expires_at + EXPIRED_GRANT_WAIT)
    }

    /// Returns whether the leader of this term issued the newest grant, and `was_granted_recently` holds.
    pub(super) fn was_granted_recently_in_term(&self, term: u64, now: Instant) -> bool {
        self.grant.is_some_and(|g| g.term == term) && self.was_granted_recently(now)
    }

    /// Returns whether the newest grant is from a leader of a later term than `term`.
    pub(super) fn is_superseded(&self, term: u64) -> bool {
        self.grant.is_some_and(|g| g.term > term)
    }

    /// Takes over the workers that reported directly to this controller, when its own leadership ends.
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

    /// Returns a digest of everything in a heartbeat to which the leader might respond with commands.
    fn digest(&self, heartbeat: &Heartbeat) -> Digest {
        let mut digester = Digester::new(self.incarnation);
        digester.write_str(&heartbeat.addr);
        let reclaimed = heartbeat.reclaim_in_s.is_some();
        digester.write_u64(u64::from(heartbeat.spot) + 2 * u64::from(reclaimed));
        for status in &heartbeat.tasks {
            digester.write_str(&status.task);
            digester.write_u64(status.attempt);
            digester.write_u64(status.state as u64);
        }
        digester.finish()
    }

    /// Returns the fencing token of the cached response, if the worker has one and the heartbeat is
    /// unchanged.
    pub(super) fn cached_response_token(&self, heartbeat: &Heartbeat) -> Option<u64> {
        let worker = self.workers.get(&heartbeat.machine)?;
        let cached = worker.cached_response?;
        let unchanged = heartbeat.incarnation == worker.incarnation
            && heartbeat.sequence > worker.sequence
            // The worker would discard a response with a lower token than it has seen, but would keep
            // reporting here until its lease expires.
            && heartbeat.fencing_token == cached.fencing_token
            && heartbeat.reclaim_in_s.is_none()
            && self.digest(heartbeat) == cached.digest;
        unchanged.then_some(cached.fencing_token)
    }

    /// Records that a heartbeat is answered here, which renews its worker's lease.
    pub(super) fn record_local_answer(&mut self, heartbeat: &Heartbeat, now: Instant) {
        if let Some(worker) = self.workers.get_mut(&heartbeat.machine) {
            worker.sequence = heartbeat.sequence;
            worker.last_heartbeat = now;
        }
        let answer = LocalAnswer {
            incarnation: heartbeat.incarnation,
            sequence: heartbeat.sequence,
            answered_at: now,
        };
        self.answers.record(&heartbeat.machine, answer);
    }

    /// Records a worker to whose heartbeat the leader has responded. If `cached_token` is given, the
    /// leader has delegated the machine, and unchanged heartbeats may be answered with this token.
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

    /// Returns the controller that this worker is to be redirected to, if it is to be moved.
    pub(super) fn next_reassignment(&mut self, id: &MachineId) -> Option<String> {
        let to = share::next_target(&mut self.reassignments)?;
        self.workers.remove(id);
        Some(to)
    }

    /// Applies the leader's response to a batch, except for the responses to heartbeats.
    pub(super) fn apply_response(
        &mut self,
        grant: HeldGrant,
        response: &mut HeartbeatBatchResponse,
        now: Instant,
    ) {
        self.renew_grant(grant, now);
        self.last_response = response.number;
        self.reassignments = std::mem::take(&mut response.reassignments);
        self.answers.revoke(&response.revoked);
        for id in &response.revoked {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.cached_response = None;
            }
        }
    }

    /// Replaces the grant. If the previous grant has expired or is from another term, all delegations
    /// under it have ended.
    fn renew_grant(&mut self, grant: HeldGrant, now: Instant) {
        let unbroken = self.grant.is_some_and(|g| g.is_valid(grant.term, now));
        if !unbroken {
            for worker in self.workers.values_mut() {
                worker.cached_response = None;
            }
        }
        // Within a term the leader may not have noticed that the grant expired here: by its record the grant was
        // extended by a response that was late or lost.
        if self.grant.is_none_or(|g| g.term != grant.term) {
            self.answers.clear();
        }
        self.grant = Some(grant);
    }

    /// Marks the leader of this term as informed of the workers that send heartbeats here. Returns whether
    /// it was not informed before.
    pub(super) fn register_term(&mut self, term: u64) -> bool {
        let is_new = self.registered_term != term;
        self.registered_term = term;
        is_new
    }

    /// Returns the number of the response to acknowledge to the leader. With the acknowledgement, the
    /// leader treats the delegations that were revoked by this response as ended. All heartbeats that
    /// were answered here under them must therefore have been reported first.
    fn acknowledge(&mut self) -> u64 {
        if self.answers.may_acknowledge() {
            self.acknowledged = self.last_response;
        }
        self.acknowledged
    }

    /// Takes back the answers in a batch without a response.
    pub(super) fn put_back_answers(&mut self, answers: ReportedAnswers) {
        self.answers.put_back(answers);
    }

    /// Records that the leader has received the answers in a batch.
    pub(super) fn confirm_answers(&mut self, answers: &ReportedAnswers) {
        self.answers.confirm(answers);
    }

    /// Periodically removes workers whose lease has expired.
    pub(super) fn drop_expired_workers(&mut self, now: Instant, lease: Duration) {
        let last_scan = self.last_expiry_scan;
        if last_scan.is_some_and(|at| now < at + EXPIRY_SCAN_INTERVAL) {
            return;
        }
        self.last_expiry_scan = Some(now);
        self.workers.retain(|_, w| w.reported_within(lease, now));
    }

    /// Returns whether a batch may be sent now: no batch is in flight, the last one was sent at least
    /// `interval` ago, and the backoff after a failure has passed.
    pub(super) fn may_send(&self, interval: Duration, now: Instant) -> bool {
        let early = self.last_sent.is_some_and(|at| now < at + interval);
        self.in_flight.is_none() && !early && !self.backoff.defers(now)
    }

    /// Builds the next batch for the leader of this term, and returns it with what is to be sent again if there is no
    /// response. `recent` is the maximum age of a worker's newest heartbeat at which the worker counts
    /// as reporting here.
    pub(super) fn next_batch(
        &mut self,
        from: &str,
        term: u64,
        recent: Duration,
        now: Instant,
    ) -> (HeartbeatBatch, BatchContent) {
        self.last_number += 1;
        self.last_sent = Some(now);
        let unanswered_probes = self.probes.take_unanswered_for_frame();
        let answers = self.answers.take_frame();
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
            answered: answered_heartbeats(&answers, now),
            heartbeats: relayed_heartbeats(&heartbeats),
        };
        let content = BatchContent {
            heartbeats,
            answers,
        };
        (batch, content)
    }

    fn recent_workers(
        &self,
        recent: Duration,
        now: Instant,
    ) -> impl Iterator<Item = (&MachineId, &ServedWorker)> {
        let workers = self.workers.iter();
        workers.filter(move |(_, w)| w.reported_within(recent, now))
    }

    /// Returns the workers that send heartbeats here, or none if the leader of this term has already been
    /// sent the list. The leader itself probes those that do not fit into the frame.
    fn served_for_frame(&self, term: u64, recent: Duration, now: Instant) -> Vec<MachineId> {
        if self.registered_term == term {
            return Vec::new();
        }
        let workers = self.recent_workers(recent, now);
        let mut served: Vec<MachineId> = workers.map(|(id, _)| id.clone()).collect();
        served.truncate(heartbeat_batch::count_fitting_names(&served));
        served
    }

    /// Records the batch in flight.
    pub(super) fn set_in_flight(&mut self, batch: BatchInFlight) {
        self.in_flight = Some(batch);
    }

    /// Takes the batch in flight, if it has this number.
    pub(super) fn take_in_flight(&mut self, number: u64) -> Option<BatchInFlight> {
        self.in_flight.take_if(|b| b.number == number)
    }

    /// Plans a probe for each worker that sent a heartbeat here recently and has not seen this token. Workers
    /// whose heartbeats are queued or in `answered` are skipped, as they receive the token in the responses.
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

/// Returns queued heartbeats in the form in which a batch contains them. The id of each is its index, counted
/// from 1, or 0 if it needs no response.
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
