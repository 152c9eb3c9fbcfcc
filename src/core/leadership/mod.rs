//! The lease, taking over, stepping down and resigning.
//!
//! Leadership is a key attached to this process's lease. The transaction that creates it raises
//! a persistent term, which the workers see as the upper part of their token.

pub mod recovery;
pub mod stale_key;
pub mod state;

use crate::core::jobs::statistics::ArrivalRate;
use crate::core::leadership::state::{LeaderState, Lease};
use crate::core::store::cache::{LeaderValue, TermValue};
use crate::core::store::commit::{committed_in_events, committed_in_list};
use crate::core::store::keys::{LEADER, TERM, identity_key, key, named};
use crate::core::store::machine_records::MachineRecords;
use crate::core::{Core, Effect, LeadershipProof, Pending, Ticket};
use crate::fault_injection::{Safeguard, is_enabled};
use crate::http::Answer;
use crate::store_client::{StoreOutcome, StoreRequest};
use crate::wire::{Change, CompareAndSwap, Condition, Item, WatchEvent};
use std::time::{Duration, Instant};

/// How long leadership outlives its last renewal.
pub const LEASE_TTL: Duration = Duration::from_millis(3000);
/// The leader stops acting this long before its lease can end: for drift of the clocks, and for
/// the way from a decision to the wire.
const LEASE_SAFETY_MARGIN: Duration = Duration::from_millis(350);
/// After giving leadership up, the others get this long to take it.
const CANDIDACY_PAUSE: Duration = Duration::from_secs(12);
/// A controller gives leadership up for deafness at most this often.
const RESIGN_INTERVAL: Duration = Duration::from_secs(90);
/// Direct calls that fail one after another, while no worker is heard here, before that means
/// something: single machines may be gone.
const MAX_FAILED_CALLS: u32 = 8;
/// A leader that could not act for longer than this begins to listen anew.
const INABILITY_THRESHOLD: Duration = Duration::from_millis(1000);

impl Core {
    /// Until when this process may act as the leader.
    pub(in crate::core) fn leader_until(&self) -> Option<Instant> {
        let leader = self.leader.as_ref()?;
        if !is_enabled(Safeguard::Word) {
            return Some(self.now.mono + LEASE_TTL);
        }
        let lease = self.lease.as_ref()?;
        // The service's clock may run faster than ours by 0.1% at the most.
        Some(
            lease.renewed_at.min(leader.leader_key_confirmed) + LEASE_TTL
                - LEASE_TTL / 1000
                - LEASE_SAFETY_MARGIN,
        )
    }

    pub(in crate::core) fn acting(&self) -> bool {
        self.leader_until().is_some_and(|t| self.now.mono < t)
    }

    pub(in crate::core) fn lease_renewed(
        &mut self,
        id: u64,
        sent: Instant,
        is_enabled: Option<u64>,
    ) {
        self.store_reachable_at = self.now.mono;
        if let Some(leader) = &mut self.leader
            && is_enabled == Some(leader.key_version)
        {
            leader.leader_key_confirmed = leader.leader_key_confirmed.max(sent);
        }
        match &mut self.lease {
            Some(l) if l.id == id => l.renewed_at = l.renewed_at.max(sent),
            _ => {
                if self.leader.is_some() {
                    self.step_down("a new lease replaced the leader's");
                }
                self.lease = Some(Lease {
                    id,
                    renewed_at: sent,
                });
            }
        }
    }

    /// The leader key is gone though its lease is not, or the store is another one.
    pub(in crate::core) fn deposed(&mut self, key_version: u64) {
        if self
            .leader
            .as_ref()
            .is_some_and(|l| l.key_version == key_version)
        {
            self.step_down("the leader key is not there any more");
            self.suspect_data_loss("a leader key is gone before its lease");
        }
    }

    pub(in crate::core) fn lease_lost(&mut self) {
        let kept = self.lease.take().map(|l| l.renewed_at);
        self.step_down("the lease has ended");
        // It was to run for longer.
        if kept.is_some_and(|t| self.now.mono < t + LEASE_TTL * 9 / 10) {
            self.suspect_data_loss("it does not know a lease that should still run");
        }
    }

    pub(in crate::core) fn listed(&mut self, items: Vec<Item>, revision: u64) {
        self.store_reachable_at = self.now.mono;
        self.observe_commit(|txn| committed_in_list(txn, &items));
        self.reconcile_store_list(items, revision);
        tracing::info!(
            "state: read afresh at revision {revision}: {} jobs, {} finished, {} machines",
            self.store_cache.jobs.len(),
            self.store_cache.finished.len(),
            self.store_cache.machines.len()
        );
        self.store_cache_changed();
    }

    pub(in crate::core) fn changed(&mut self, events: Vec<WatchEvent>, revision: u64) {
        self.store_reachable_at = self.now.mono;
        if revision < self.store_cache.revision {
            return self.suspect_data_loss("its revision went back");
        }
        if events.is_empty() {
            self.store_cache.heed_revision(revision);
            // A list may have told of our key before the copy was known to be as new.
            if self.leader.is_none() && self.holds_leader_key() {
                self.store_cache_changed();
            }
            return self.resolve_write();
        }
        self.observe_commit(|txn| committed_in_events(txn, &events));
        self.store_cache.apply(events, revision);
        self.store_cache_changed();
    }

    /// The leader key is this process's, and hangs on the lease that it has.
    fn holds_leader_key(&self) -> bool {
        self.store_cache.leader.as_ref().is_some_and(|(v, _)| {
            v.name == self.settings.name
                && v.process_nonce == self.nonce
                && self.lease.is_some_and(|l| l.id == v.lease)
        })
    }

    fn store_cache_changed(&mut self) {
        self.observe_identity();
        if !self.store_cache.machine_types.is_empty() && self.machine_types.is_empty() {
            self.machine_types = self.store_cache.machine_types.clone();
            if let Some(leader) = &mut self.leader {
                leader.machines.mark_all_changed();
            }
        }
        let mine = self.holds_leader_key();
        // A store that was restored gives numbers of leases again: renewed here, the key of a leader that
        // is gone would stay for ever.
        let (own, nonce) = (self.lease.map(|l| l.id), self.nonce);
        let ours = |v: &LeaderValue| Some(v.lease) == own && v.process_nonce != nonce;
        if self
            .store_cache
            .leader
            .as_ref()
            .is_some_and(|(v, _)| ours(v))
        {
            tracing::warn!("the leader key of another hangs on this process's lease");
            self.step_down("its lease is another's");
            self.lease = None;
            self.effects.push(Effect::ReplaceLease);
        }
        let version = self.store_cache.leader.as_ref().map(|(_, v)| *v);
        match (&self.leader, mine) {
            // Restored together with what else a store held long ago.
            (None, true) if self.store_integrity.data_loss.is_some() => self.resign_to_rebuild(),
            (None, true) => self.begin_leadership(version.unwrap_or_default()),
            (Some(l), true) if Some(l.key_version) == version => self.sync_job_runs(),
            (Some(_), _) => self.step_down("the leader key is not ours any more"),
            // A leader begins with all there is.
            (None, false) => self.store_cache.changed.clear(),
        }
        self.resolve_write();
    }

    /// Begins a leadership if this key gives one. A leadership has a term that no other has, for workers,
    /// controllers, attempts and writes alike: the transaction that writes the leader key raises the term, so
    /// both have one version, and this process leads but once in it. Where a leadership ended and its key
    /// stands, the key is written again, with the next term (`advance_leadership`).
    fn begin_leadership(&mut self, key_version: u64) {
        // A list is as old as its first page: what a former leader wrote last may be missing in it.
        if self.store_cache.revision >= key_version && self.has_unused_term(key_version) {
            self.become_leader(key_version);
        }
    }

    /// The term was raised together with this version of the leader key, none newer is known of, and this
    /// process has not led in it.
    fn has_unused_term(&self, key_version: u64) -> bool {
        let m = &self.store_cache;
        let raised = m.term_version == key_version && m.stored_term == m.term;
        raised && m.term > self.newest_led_term || !is_enabled(Safeguard::Term)
    }

    /// The version that the leader key has if a leadership may begin now: 0 where there is none, that of our
    /// own key where its term has been used.
    fn vacant_leader_version(&self) -> Option<u64> {
        if !self.store_cache.loaded || self.leader.is_some() {
            return None;
        }
        match &self.store_cache.leader {
            None => Some(0),
            Some((_, version)) if self.holds_leader_key() => {
                (!self.has_unused_term(*version)).then_some(*version)
            }
            Some(_) => None,
        }
    }

    /// Called at the end of every batch of commands.
    pub(in crate::core) fn advance_leadership(&mut self) {
        if self.acting() {
            self.record_activity();
            self.resign_if_isolated();
        } else {
            self.check_stale_leader_key();
            self.campaign();
        }
    }

    /// Notes that this leader is able to act; its machines' silence counts anew where it was not for a while.
    fn record_activity(&mut self) {
        let (now, back_after) = (self.now.mono, self.settings.heartbeat_interval);
        let Some(leader) = &mut self.leader else {
            return;
        };
        if now > leader.liveness.last_able_to_act + INABILITY_THRESHOLD {
            // The state service was away, and reports were answered with 503 meanwhile: the
            // workers went from node to node, and their silence proves nothing.
            let paused = now.saturating_duration_since(leader.liveness.last_able_to_act);
            tracing::info!(
                term = leader.term,
                "term {}: acts again after {paused:?}",
                leader.term
            );
            leader.liveness.silence_excused_until =
                leader.liveness.silence_excused_until.max(now + back_after);
        }
        leader.liveness.last_able_to_act = now;
    }

    /// Workers are cut off from this node though the state service is not: another controller may reach them.
    fn resign_if_isolated(&mut self) {
        let now = self.now.mono;
        let unheard = self.leader.as_ref().is_some_and(|l| self.is_isolated(l));
        // Where no other controller hears them either, passing leadership around would only
        // keep all of them from finding out that the machines are gone.
        let again = self.resigned.is_none_or(|t| now > t + RESIGN_INTERVAL);
        if unheard && again && !self.settings.peers.is_empty() {
            self.resigned = Some(now);
            self.resign("no worker reports here");
        }
    }

    fn is_isolated(&self, leader: &LeaderState) -> bool {
        let now = self.now.mono;
        let known = leader.machines.values().any(|m| m.incarnation > 0);
        if !known && leader.recovery.unresolved == 0 {
            return false;
        }
        let silent = leader
            .liveness
            .last_heartbeat
            .unwrap_or(leader.since)
            .max(leader.liveness.silence_excused_until);
        let waited = now.saturating_duration_since(silent.max(leader.since));
        // Until the workers have found a new leader, little comes in any case.
        let longest = self.settings.heartbeat_interval * 2 + Duration::from_secs(2);
        let settled = now.saturating_duration_since(leader.since) > longest;
        let after = if settled {
            leader.liveness.silence_limit.min(longest)
        } else {
            longest
        };
        // Others hear them for this one, but what it has to say to them itself, commands
        // foremost, does not get through.
        let unheeded = leader.liveness.failed_direct_calls >= MAX_FAILED_CALLS
            && now.saturating_duration_since(
                leader
                    .liveness
                    .last_direct_contact
                    .max(leader.liveness.silence_excused_until),
            ) > after;
        waited > after || unheeded
    }

    /// Writes the leader key and raises the term, if a leadership may begin now.
    fn campaign(&mut self) {
        let now = self.now.mono;
        let lease_fresh = self
            .lease
            .is_some_and(|l| now < l.renewed_at + LEASE_TTL / 2);
        let trying = self
            .pending
            .values()
            .any(|p| matches!(p, Pending::TakeOver));
        let (Some(leader_version), Some(lease)) = (self.vacant_leader_version(), self.lease) else {
            return;
        };
        if !lease_fresh || trying || now < self.candidate_after || !self.may_campaign() {
            return;
        }
        let value = LeaderValue {
            name: self.settings.name.clone(),
            process_nonce: self.nonce,
            lease: lease.id,
        };
        let condition = |key: String, version| Condition { key, version };
        let mut conditions = vec![
            condition(key(LEADER), leader_version),
            condition(key(TERM), self.store_cache.term_version),
        ];
        conditions.extend(self.store_cache.identity.as_ref().map(named));
        let term = self.next_term();
        let mut changes = vec![
            Change::Put {
                key: key(LEADER),
                value: json(&value),
                lease: Some(lease.id),
            },
            Change::put(key(TERM), json(&TermValue { term })),
        ];
        changes.extend(self.identity_changes());
        let txn = CompareAndSwap {
            conditions,
            changes,
        };
        self.campaign_started = now;
        self.ask_state(Pending::TakeOver, StoreRequest::CompareAndSwap(txn));
    }

    /// The watch tells the outcome with everything that came before it; this only paces retries.
    pub(in crate::core) fn campaign_outcome(&mut self, outcome: StoreOutcome) {
        let pause = match outcome {
            StoreOutcome::Committed { .. } => Duration::from_millis(1500),
            StoreOutcome::Conflict { failed, revision } => {
                if self.contains_identity_key(&failed) {
                    self.suspect_data_loss("its identity is gone");
                } else if self.store_cache.revision >= revision
                    && self.vacant_leader_version().is_some()
                {
                    // Refused for versions that differ, though the copy is as new as the refusal.
                    self.suspect_data_loss("it has other versions of what a leader begins with");
                }
                Duration::from_millis(300)
            }
            StoreOutcome::Invalid(e) => {
                tracing::info!("taking over: {e}");
                Duration::from_millis(500)
            }
            StoreOutcome::Refused(_) | StoreOutcome::Unknown(_) => Duration::from_millis(400),
            StoreOutcome::Found(_)
            | StoreOutcome::Missing { .. }
            | StoreOutcome::Page { .. }
            | StoreOutcome::Runs(_) => Duration::ZERO,
        };
        self.candidate_after = self.candidate_after.max(self.now.mono + pause);
    }

    fn become_leader(&mut self, key_version: u64) {
        let now = self.now.mono;
        let term = self.store_cache.term;
        tracing::info!(term = term, "leading from term {term} on");
        self.leaderships += 1;
        self.newest_led_term = self.newest_led_term.max(term);
        let arrivals = ArrivalRate::new(self.now, self.store_cache.jobs.values());
        let mut leader = LeaderState::new(key_version, term, now, arrivals);
        leader.leader_key_confirmed = self.campaign_started;
        leader.liveness.silence_limit = self.settings.heartbeat_interval * 2;
        leader.identity = self.store_cache.identity.clone();
        let records = &mut leader.writes.records;
        *records = MachineRecords::new(&self.store_cache, self.settings.max_value_bytes);
        for (id, value) in &self.store_cache.machines {
            if !records.has(id) {
                records.add(id, value.clone());
            }
        }
        leader.writes.machine_types =
            !self.machine_types.is_empty() && self.machine_types != self.store_cache.machine_types;
        let mut conditions = vec![Condition {
            key: key(LEADER),
            version: key_version,
        }];
        conditions.extend(leader.named());
        self.effects
            .push(Effect::LeadershipProof(Some(LeadershipProof {
                key_version,
                conditions,
            })));
        self.leader = Some(leader);
        self.start_recovery();
        self.store_cache.changed = self.store_cache.jobs.keys().cloned().collect();
        self.sync_job_runs();
        self.start_rebuild();
    }

    pub(in crate::core) fn step_down(&mut self, why: &str) {
        let Some(leader) = self.leader.take() else {
            return;
        };
        self.effects.push(Effect::LeadershipProof(None));
        tracing::warn!(
            term = leader.term,
            "term {}: no longer leading: {why}",
            leader.term
        );
        self.relay.adopt_workers(&leader);
        self.candidate_after = self.now.mono + Duration::from_millis(200);
        for (ticket, _) in leader.scheduler.deferred_responses.heartbeats {
            self.redirect(ticket);
        }
        for work in leader.scheduler.deferred_responses.batches {
            self.refuse_batch(work.ticket, work.number);
        }
        let waiting: Vec<Ticket> = leader
            .job_runs
            .into_values()
            .flat_map(|r| r.cancel_waiters)
            .collect();
        for ticket in waiting {
            self.answer(ticket, Answer::busy("the leader changed", 1));
        }
        self.pending.retain(|_, p| {
            matches!(
                p,
                Pending::Create(_)
                    | Pending::Parts(_)
                    | Pending::Read { .. }
                    | Pending::Barrier(_)
                    | Pending::TakeOver
                    | Pending::Types
                    | Pending::Show(_)
                    | Pending::CheckIdentity(_)
                    | Pending::CheckRevision
                    | Pending::Mark
                    | Pending::CheckLeaderLease(_)
                    | Pending::Bury
                    | Pending::Audit { .. }
            )
        });
    }

    pub(in crate::core) fn resign(&mut self, why: &str) {
        self.step_down(why);
        self.lease = None;
        self.candidate_after = self.now.mono + CANDIDACY_PAUSE;
        self.effects.push(Effect::ReleaseLease);
    }

    /// Whether the store's identity is among these keys.
    pub(in crate::core) fn contains_identity_key(&self, keys: &[String]) -> bool {
        let name = self.store_cache.identity.as_ref();
        name.is_some_and(|(id, _)| keys.contains(&identity_key(id)))
    }

    pub(in crate::core) fn leader_name(&self) -> Option<&str> {
        self.store_cache
            .leader
            .as_ref()
            .map(|(v, _)| v.name.as_str())
    }
}

pub(in crate::core) fn json<T: serde::Serialize>(x: &T) -> serde_json::Value {
    serde_json::to_value(x).unwrap_or(serde_json::Value::Null)
}
