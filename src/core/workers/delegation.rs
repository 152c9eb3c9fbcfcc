//! What a leader lends to the other controllers, and takes back.
//!
//! Each of them may serve workers: it passes their reports on to the leader, many in a frame, and
//! hands out the leader's answers. A machine to which nothing is to be said is lent to the
//! controller that it reports to: that one answers reports which say the same as the last one by
//! itself. What it says under the grant is what the leader would have said, so it can renew a
//! worker's lease, and nothing else.
//!
//! - The grant ends before the leader's own word does, see `membership::grant`.
//! - A lent machine's lease may have been renewed without the leader knowing. Its session is never
//!   counted as over before it was taken back: the borrower says so, or its grant has run out.
//! - Whatever changes on a lent machine takes it back. Until the borrower hears of that it says
//!   "nothing new" with a token that is still good, which is harmless; the command itself goes to
//!   the worker directly, or into the next answer that comes by way of the leader.

use crate::core::leadership::state::{Delegate, LeaderState, PATIENCE};
use crate::core::machines::machine::WORKER_RETRY;
use crate::core::workers::commands::MAX_DIRECT_CALLS;
use crate::core::{Core, Ticket};
use crate::http::Response;
use crate::job::MachineId;
use crate::peer::heartbeat_batch::{
    self, AnsweredHeartbeat, HeartbeatBatch, HeartbeatBatchResponse, MemberStatus, RelayedOutcome,
    RelayedResponse,
};
use burlusher_membership::grant::{IssuedGrant, Request};
use burlusher_membership::share::{self, Server};
use burlusher_membership::view::{Capabilities, Standing};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Another controller sees to the machines that it claims for this long; then they are asked from
/// here.
const PROBE_CLAIM: Duration = Duration::from_millis(1500);
/// Machines that another controller is given to ask at a time: as many as it asks at once, and some
/// to go on with until its next frame.
const MAX_PROBES_PER_DELEGATE: usize = 3 * MAX_DIRECT_CALLS / 2;
/// How often loads are compared. A worker that is sent elsewhere is back within half a second.
const REBALANCE_INTERVAL: Duration = Duration::from_millis(1000);
/// The part of all workers that is moved at a time, at most.
const MOVED_FRACTION: u32 = 20;
const MIN_MOVED: u32 = 4;
/// The leader's part of an even share, where two others or more serve workers: its processor
/// is needed for what no other one can do.
const LEADER_WEIGHT: f64 = 0.25;
/// Answers in one frame take this much; a worker whose answer does not fit any more asks again.
const MAX_RESPONSE_BYTES: usize = 400 * 1024;

/// A frame that is answered at the end of the step.
pub struct PendingBatch {
    pub ticket: Ticket,
    pub number: u64,
    from: Arc<str>,
    /// Workers that the sender has still to ask.
    probes_pending: usize,
    heartbeats: Vec<(u64, Result<MachineId, Response>)>,
}

impl PendingBatch {
    /// The machines whose reports it answers.
    pub(in crate::core) fn machines(&self) -> impl Iterator<Item = &MachineId> {
        self.heartbeats
            .iter()
            .filter_map(|(_, taken)| taken.as_ref().ok())
    }
}

impl LeaderState {
    /// Takes a machine back from the controller that may answer its reports.
    pub(in crate::core) fn recall(&mut self, id: &MachineId) {
        let Some(m) = self.machines.get_mut_quiet(id) else {
            return;
        };
        if m.revoked {
            return;
        }
        if let Some(d) = (m.delegated_to.as_ref()).and_then(|to| self.delegates.by_name.get_mut(to))
        {
            m.revoked = true;
            d.revocations.insert(id.clone(), None);
        }
    }

    /// A report came by way of this controller, or to this one itself: no other may answer the
    /// machine from memory any more.
    pub(in crate::core) fn record_route(&mut self, id: &MachineId, via: Option<&Arc<str>>) {
        let Some(m) = self.machines.get_mut_quiet(id) else {
            return;
        };
        if m.via.as_ref() != via {
            m.via = via.cloned();
        }
        if m.delegated_to.is_some() && m.delegated_to.as_ref() != via {
            self.recall(id);
        }
    }

    /// Of machines that changed, those to which there is something to say now.
    pub(in crate::core) fn revoke_changed(&mut self, changed: &[MachineId]) {
        if self.delegates.by_name.is_empty() {
            return;
        }
        for id in changed {
            let m = self.machines.get(id);
            if m.is_some_and(|m| m.delegated_to.is_some() && !m.is_steady()) {
                self.recall(id);
            }
        }
    }

    /// Until when a machine's silence says nothing, as a controller is not heard either that it may
    /// report to, or was just sent to by another: the worker has yet to find out, and to find the next.
    pub(in crate::core) fn silence_excuse(&self, now: Instant) -> Option<Instant> {
        let heard = self
            .delegates
            .by_name
            .values()
            .map(|d| d.issued.last_request);
        let late = |at: &Instant| now.saturating_duration_since(*at) > PATIENCE.suspect_after;
        heard.filter(late).max().map(|at| at + WORKER_RETRY)
    }

    /// Machines for another controller to show the token to, so that all controllers that live
    /// share the work of a takeover, whoever the workers reported to.
    fn assign_probes(&mut self, asking: usize, now: Instant) -> Vec<(MachineId, String)> {
        let mut out = Vec::new();
        while asking + out.len() < MAX_PROBES_PER_DELEGATE
            && let Some(id) = self.next_probe(now)
        {
            let Some(m) = self.machines.get_mut_quiet(&id) else {
                continue;
            };
            m.claimed_until = Some(now + PROBE_CLAIM);
            // If nothing comes of it, it is asked from here.
            self.recovery
                .retries
                .insert((now + PROBE_CLAIM, id.clone()));
            out.push((id, m.addr.clone()));
        }
        out
    }

    /// The controller that a worker reporting here is to go to, if it is to go.
    pub(in crate::core) fn next_reassignment(&mut self, id: &MachineId) -> Option<String> {
        let to = share::take_one(&mut self.delegates.own_reassignments)?;
        if let Some(m) = self.machines.get_mut_quiet(id) {
            m.via = Some(to.as_str().into());
        }
        Some(to)
    }

    /// Nothing that this controller was lent is answered by it after `until`.
    fn end_delegations(&mut self, name: &Arc<str>, until: Instant) {
        let ids: Vec<MachineId> = (self.machines.values())
            .filter(|m| m.delegated_to.as_ref() == Some(name))
            .map(|m| m.id.clone())
            .collect();
        for id in ids {
            if let Some(m) = self.machines.get_mut_quiet(&id) {
                m.lease_renewed = m.lease_renewed.max(until);
                (m.delegated_to, m.revoked) = (None, false);
            }
        }
    }
}

impl Core {
    /// Takes in a frame of a controller that serves workers.
    pub(in crate::core) fn sync(
        &mut self,
        ticket: Ticket,
        sync: HeartbeatBatch,
    ) -> Option<PendingBatch> {
        let now = self.now.mono;
        let known = self.members.heard(
            &sync.from,
            sync.incarnation,
            Capabilities(sync.capabilities),
            sync.load,
            now,
        );
        if !self.delegating || !known || !self.acting() {
            self.refuse_batch(ticket, sync.number);
            return None;
        }
        let from: Arc<str> = sync.from.as_str().into();
        let leader = self.leader.as_mut()?;
        let term = leader.term;
        let d = (leader.delegates.by_name)
            .entry(from.clone())
            .or_insert_with(|| Delegate {
                issued: IssuedGrant::first(sync.incarnation, 0, now),
                revocations: BTreeMap::new(),
                reassignments: Vec::new(),
                has_delegations: false,
            });
        match d.issued.request(sync.incarnation, sync.number, now) {
            // Held up on the way: its sender has given it up, and its reports were made long ago.
            Request::Old => {
                self.refuse_batch(ticket, sync.number);
                return None;
            }
            // The process that could answer from memory is gone, and this one knows nothing.
            Request::Fresh => {
                d.revocations.clear();
                let until = d.issued.until;
                leader.end_delegations(&from, until);
            }
            Request::Next => self.confirm_revocations(&from, sync.acknowledged),
        }
        let leader = self.leader.as_mut()?;
        if !sync.answered.is_empty() || !sync.heartbeats.is_empty() {
            leader.liveness.last_heartbeat = Some(now);
        }
        leader.delegates.relayed_heartbeats += sync.heartbeats.len() as u64;
        leader.delegates.delegated_answers += sync.answered.len() as u64;
        // What it heard under an earlier term tells nothing in this one.
        if sync.term == term {
            for h in &sync.answered {
                leader.record_delegated_heartbeat(h, &from, now);
            }
        }
        for id in &sync.served {
            if let Some(m) = leader.machines.get_mut_quiet(id)
                && m.unresolved
            {
                m.claimed_until = Some(now + PROBE_CLAIM);
                m.via = Some(from.clone());
            }
        }
        for id in &sync.unanswered_probes {
            if let Some(m) = leader.machines.get_mut_quiet(id)
                && m.unresolved
            {
                m.failed_calls += 1;
                m.claimed_until = None;
                leader.recovery.retries.insert((now, id.clone()));
            }
        }
        let mut heartbeats = Vec::new();
        for r in sync.heartbeats {
            if r.id == 0 {
                let id = r.heartbeat.machine.clone();
                let known = (self.leader.as_ref()).is_some_and(|l| l.machines.get(&id).is_some());
                if known {
                    if let Some(leader) = &mut self.leader {
                        leader.mark_zone_reachable(&r.heartbeat.zone);
                    }
                    self.apply_heartbeat(&id, *r.heartbeat, false);
                }
            } else {
                heartbeats.push((r.id, self.accept_heartbeat(*r.heartbeat, Some(&from))));
            }
        }
        Some(PendingBatch {
            ticket,
            number: sync.number,
            from,
            probes_pending: sync.pending_probes as usize + sync.served.len(),
            heartbeats: heartbeats,
        })
    }

    /// The borrower has taken in our answers up to this one, and said so after that.
    fn confirm_revocations(&mut self, from: &Arc<str>, answered: u64) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let Some(d) = leader.delegates.by_name.get_mut(from) else {
            return;
        };
        let heard = |_: &MachineId, sent: &mut Option<u64>| sent.is_some_and(|n| n <= answered);
        for (id, _) in d.revocations.extract_if(.., heard) {
            if let Some(m) = leader.machines.get_mut_quiet(&id)
                && m.delegated_to.as_ref() == Some(from)
            {
                (m.delegated_to, m.revoked) = (None, false);
            }
        }
    }

    /// Not the leader, or none that works like this: nothing is granted.
    pub(in crate::core) fn refuse_batch(&mut self, ticket: Ticket, number: u64) {
        let answer = HeartbeatBatchResponse {
            number,
            refused: !self.delegating,
            ..HeartbeatBatchResponse::default()
        };
        self.answer(
            ticket,
            Response::new(200, heartbeat_batch::encode_synced(&answer)),
        );
    }

    pub(in crate::core) fn answer_batch(&mut self, work: PendingBatch) {
        let now = self.now.mono;
        let Some(word) = self.leader_until() else {
            return self.refuse_batch(work.ticket, work.number);
        };
        let mut answers = Vec::new();
        let mut size = 0;
        for (name, taken) in work.heartbeats {
            let refused = |a: &Response| RelayedOutcome::Refused {
                status: a.status,
                retry_after: a.retry_after,
            };
            let told = taken.and_then(|id| {
                if size > MAX_RESPONSE_BYTES {
                    return Err(Response::busy("overloaded", 1));
                }
                let gone = || Response::busy("this machine is gone", 30);
                let body = self.heartbeat_response(&id).ok_or_else(gone)?;
                size += heartbeat_batch::size_of_answer(&body.commands);
                let calm = body.commands.is_empty() && self.delegate(&id, &work.from);
                Ok(RelayedOutcome::Commands {
                    fencing_token: body.fencing_token,
                    commands: body.commands,
                    steady: calm,
                })
            });
            let kind = told.unwrap_or_else(|a| refused(&a));
            answers.push(RelayedResponse {
                id: name,
                outcome: kind,
            });
        }
        let members = self.member_statuses(&work.from);
        let Some(leader) = &mut self.leader else {
            return;
        };
        let asks = leader.assign_probes(work.probes_pending, now);
        let term = leader.term;
        let Some(d) = leader.delegates.by_name.get_mut(&work.from) else {
            return;
        };
        let recalled = d.recalls_for_frame(work.number);
        let answer = HeartbeatBatchResponse {
            number: work.number,
            term,
            grant: d.issued.grant(word, now),
            refused: false,
            revoked: recalled,
            responses: answers,
            probes: asks,
            reassignments: std::mem::take(&mut d.reassignments),
            members,
        };
        let frame = heartbeat_batch::encode_synced(&answer);
        self.answer(work.ticket, Response::new(200, frame).until(Some(word)));
    }

    fn member_statuses(&self, to: &str) -> Vec<MemberStatus> {
        let now = self.now.mono;
        let others = self.members.members().filter(|(name, _)| *name != to);
        let told = others.filter_map(|(name, m)| {
            Some(MemberStatus {
                name: name.to_string(),
                capabilities: m.capabilities.0,
                load: m.load,
                age: now.saturating_duration_since(m.last_heard?),
            })
        });
        told.collect()
    }

    /// Lends a machine to which there is nothing to say.
    fn delegate(&mut self, id: &MachineId, to: &Arc<str>) -> bool {
        let Some(leader) = &mut self.leader else {
            return false;
        };
        let Some(m) = leader.machines.get_mut_quiet(id) else {
            return false;
        };
        if m.unresolved {
            return false;
        }
        let free = m.delegated_to.as_ref().is_none_or(|t| t == to) && !m.revoked;
        if !free || !m.is_steady() {
            return false;
        }
        m.delegated_to = Some(to.clone());
        if let Some(d) = leader.delegates.by_name.get_mut(to) {
            d.has_delegations = true;
        }
        true
    }

    /// Grants that have run out, silent machines, and who serves how many.
    pub(in crate::core) fn check_delegates(&mut self) {
        let now = self.now.mono;
        let heartbeat = self.settings.heartbeat_interval;
        let Some(leader) = &mut self.leader else {
            return;
        };
        if leader.delegates.by_name.is_empty() {
            return;
        }
        let mut ended = Vec::new();
        for (name, d) in &mut leader.delegates.by_name {
            if d.has_delegations && now >= d.issued.until {
                d.has_delegations = false;
                d.revocations.clear();
                ended.push((name.clone(), d.issued.until));
            }
        }
        for (name, until) in ended {
            tracing::info!(
                term = leader.term,
                "term {}: {name}'s grant has run out",
                leader.term
            );
            leader.end_delegations(&name, until);
        }
        // Before a silent machine can count as lost, it has to be here again.
        let silent: Vec<MachineId> = (leader.machines.values())
            .filter(|m| m.delegated_to.is_some() && !m.revoked)
            .filter(|m| now.saturating_duration_since(m.last_heartbeat) > heartbeat * 7 / 4)
            .map(|m| m.id.clone())
            .collect();
        for id in silent {
            leader.recall(&id);
        }
        if (leader.delegates.last_rebalance).is_none_or(|t| now >= t + REBALANCE_INTERVAL) {
            leader.delegates.last_rebalance = Some(now);
            self.rebalance_workers();
        }
    }

    fn rebalance_workers(&mut self) {
        let now = self.now.mono;
        let Some(leader) = &mut self.leader else {
            return;
        };
        let me = self.settings.name.as_str();
        let mut loads: BTreeMap<&str, u32> = BTreeMap::new();
        let fresh = self.settings.heartbeat_interval * 2;
        for m in leader.machines.values() {
            if m.incarnation > 0 && now.saturating_duration_since(m.last_heartbeat) < fresh {
                *loads.entry(m.via.as_deref().unwrap_or(me)).or_default() += 1;
            }
        }
        let able = |name: &&Arc<str>| {
            self.members.standing(name, now) == Standing::Alive
                && (self.members.get(name))
                    .is_some_and(|m| m.capabilities.has(Capabilities::REPORTS))
        };
        let others: Vec<&Arc<str>> = leader.delegates.by_name.keys().filter(able).collect();
        let load = |name: &str| loads.get(name).copied().unwrap_or(0);
        let leader_server = Server {
            name: me.to_string(),
            load: load(me),
            weight: if others.len() > 1 { LEADER_WEIGHT } else { 1.0 },
        };
        let mut servers = vec![leader_server];
        servers.extend(others.iter().map(|name| Server {
            name: name.to_string(),
            load: load(name),
            weight: 1.0,
        }));
        let total: u32 = servers.iter().map(|s| s.load).sum();
        let moves = share::moves(&servers, (total / MOVED_FRACTION).max(MIN_MOVED));
        leader.delegates.own_reassignments.clear();
        for d in leader.delegates.by_name.values_mut() {
            d.reassignments.clear();
        }
        for m in moves {
            tracing::debug!("{} workers of {} are to go to {}", m.count, m.from, m.to);
            if m.from == me {
                leader.delegates.own_reassignments.push((m.to, m.count));
            } else if let Some(d) = leader.delegates.by_name.get_mut(m.from.as_str()) {
                d.reassignments.push((m.to, m.count));
            }
        }
    }

    /// For the status view: name, how it stands, workers, and whether it holds a grant.
    pub(in crate::core) fn members_status(&self) -> serde_json::Value {
        let now = self.now.mono;
        let granted = |name: &str| {
            let d = self.leader.as_ref()?.delegates.by_name.get(name)?;
            Some(d.issued.until > now)
        };
        let members = self.members.members().map(|(name, m)| {
            let standing = match self.members.standing(name, now) {
                Standing::Unknown => "not heard of",
                Standing::Alive => "alive",
                Standing::Suspect => "suspect",
                Standing::Lost => "lost",
            };
            serde_json::json!({
                "node": name, "zone": m.zone, "standing": standing, "workers": m.load,
                "takes_reports": m.capabilities.has(Capabilities::REPORTS),
                "granted": granted(name),
            })
        });
        members.collect()
    }
}

impl Delegate {
    /// Machines to take back, as many as a frame takes. One that was told once is told again in every answer
    /// until the borrower has taken in one of them: whichever that is, it told all of these.
    fn recalls_for_frame(&mut self, number: u64) -> Vec<MachineId> {
        let told = self.revocations.iter().filter(|(_, since)| since.is_some());
        let new = self.revocations.iter().filter(|(_, since)| since.is_none());
        let mut recalled: Vec<MachineId> = told.chain(new).map(|(id, _)| id.clone()).collect();
        recalled.truncate(heartbeat_batch::names_that_fit(&recalled));
        recalled.sort_unstable();
        for id in &recalled {
            if let Some(since) = self.revocations.get_mut(id) {
                since.get_or_insert(number);
            }
        }
        recalled
    }
}

impl LeaderState {
    /// A report was answered for us: only a machine that was lent can have had one.
    fn record_delegated_heartbeat(&mut self, h: &AnsweredHeartbeat, from: &Arc<str>, now: Instant) {
        let Some(m) = self.machines.get_mut_quiet(&h.machine) else {
            return;
        };
        if m.delegated_to.as_ref() != Some(from)
            || m.incarnation != h.incarnation
            || m.lease_expired
        {
            return;
        }
        let at = now.checked_sub(h.age).unwrap_or(now);
        m.lease_renewed = m.lease_renewed.max(at);
        if h.sequence > m.sequence {
            m.sequence = h.sequence;
            m.last_heartbeat = m.last_heartbeat.max(at);
            m.via = Some(from.clone());
        }
    }
}

#[cfg(test)]
mod tests;
