//! Start of a leadership: the transaction that writes the leader key and increments the term, and the initial state
//! of a new leader.

use crate::core::command::PendingCall;
use crate::core::jobs::statistics::ArrivalRate;
use crate::core::leadership::lease::Lease;
use crate::core::leadership::state::LeaderState;
use crate::core::store::cache::{LeaderValue, TermValue};
use crate::core::store::keys::{LEADER, TERM, identity_condition, key};
use crate::core::store::machine_records::MachineRecords;
use crate::core::{Core, Effect, LeadershipProof};
use crate::fault_injection::{Safeguard, is_enabled};
use crate::store_client::{StoreOutcome, StoreRequest};
use crate::wire::{Change, CompareAndSwap, Condition, to_json_value};
use std::time::Duration;

/// Delay before the next campaign after a committed transaction, in case the watch has not shown the leader key by
/// then.
const PAUSE_AFTER_COMMIT: Duration = Duration::from_millis(1500);
/// Delay before the next campaign after a conflict: another controller was faster.
const PAUSE_AFTER_CONFLICT: Duration = Duration::from_millis(300);
/// Delay before the next campaign after the store refused the transaction or did not answer.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(400);
/// Delay before the next campaign after the store rejected the transaction as malformed, or the lease had ended.
const PAUSE_AFTER_INVALID: Duration = Duration::from_millis(500);

impl Core {
    /// Begins a leadership with this process's leader key, unless the term written with the key has been used.
    /// Workers, controllers, task attempts and writes rely on each leadership having a term of its own: the
    /// transaction that writes the leader key increments the term, so both keys have the same version, and a process
    /// leads at most once per term. If a leadership has ended while its key still exists, `campaign` writes the key
    /// again with the next term.
    pub(in crate::core) fn begin_leadership(&mut self, key_version: u64) {
        // A list of the store is only as recent as its first page, so it may lack the last writes of a former leader.
        if self.store_cache.revision >= key_version && self.has_unused_term(key_version) {
            self.become_leader(key_version);
        }
    }

    /// Returns whether the stored term was written together with this version of the leader key, no newer term is
    /// known, and this process has not led in it.
    fn has_unused_term(&self, key_version: u64) -> bool {
        if !is_enabled(Safeguard::UniqueTerm) {
            return true;
        }
        let cache = &self.store_cache;
        let raised_with_key = cache.term_version == key_version;
        raised_with_key
            && cache.stored_term == cache.term
            && self.candidacy.is_term_unused(cache.term)
    }

    /// Returns the version of the leader key that a campaign may replace: 0 if there is no key, or the version of
    /// this process's own key if its term has been used. Returns `None` if no campaign is possible.
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

    /// Sends the transaction that writes the leader key and increments the term, if a campaign is possible now.
    pub(in crate::core) fn campaign(&mut self) {
        let now = self.now.mono;
        let (Some(leader_version), Some(lease)) = (self.vacant_leader_version(), self.lease) else {
            return;
        };
        let mut calls = self.pending.values();
        let in_flight = calls.any(|p| matches!(p, PendingCall::Campaign));
        if !lease.is_fresh(now)
            || in_flight
            || !self.candidacy.may_attempt(now)
            || !self.may_campaign()
        {
            return;
        }
        let transaction = self.campaign_transaction(leader_version, lease);
        self.candidacy.campaign_sent(now);
        self.call_store(
            PendingCall::Campaign,
            StoreRequest::CompareAndSwap(transaction),
        );
    }

    fn campaign_transaction(&mut self, leader_version: u64, lease: Lease) -> CompareAndSwap {
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
        conditions.extend(self.store_cache.identity.as_ref().map(identity_condition));
        let term = self.next_term();
        let mut changes = vec![
            Change::Put {
                key: key(LEADER),
                value: to_json_value(&value),
                lease: Some(lease.id),
            },
            Change::put(key(TERM), to_json_value(&TermValue { term })),
        ];
        changes.extend(self.identity_changes());
        CompareAndSwap {
            conditions,
            changes,
        }
    }

    /// Sets the time of the next campaign. A committed transaction takes effect only when the watch shows the leader
    /// key, as the watch delivers all earlier commits first.
    pub(in crate::core) fn campaign_outcome(&mut self, outcome: StoreOutcome) {
        let pause = match outcome {
            StoreOutcome::Committed { .. } => PAUSE_AFTER_COMMIT,
            StoreOutcome::Conflict { failed, revision } => {
                self.check_conflict_for_data_loss(&failed, revision);
                PAUSE_AFTER_CONFLICT
            }
            StoreOutcome::LeaseEnded => {
                tracing::info!("campaign refused, the lease has ended");
                PAUSE_AFTER_INVALID
            }
            StoreOutcome::Invalid(error) => {
                tracing::info!(%error, "campaign refused as malformed");
                PAUSE_AFTER_INVALID
            }
            StoreOutcome::Refused(_) | StoreOutcome::Unknown(_) => PAUSE_AFTER_FAILURE,
            StoreOutcome::Found(_) | StoreOutcome::Missing { .. } | StoreOutcome::Page { .. } => {
                Duration::ZERO
            }
        };
        self.candidacy.delay_until(self.now.mono + pause);
    }

    /// Suspects a loss of the store's data if the conflict cannot have been caused by another writer.
    fn check_conflict_for_data_loss(&mut self, failed_keys: &[String], revision: u64) {
        let cache_is_as_new = self.store_cache.revision >= revision;
        if self.contains_identity_key(failed_keys) {
            self.suspect_data_loss("its identity is gone");
        } else if cache_is_as_new && self.vacant_leader_version().is_some() {
            self.suspect_data_loss("it has other versions of the keys that a campaign depends on");
        }
    }

    fn become_leader(&mut self, key_version: u64) {
        let term = self.store_cache.term;
        tracing::info!(term, "became leader");
        self.candidacy.leadership_began(term);
        let leader = self.new_leader_state(key_version, term);
        self.send_leadership_proof(&leader);
        self.leader = Some(leader);
        self.start_recovery();
        self.store_cache.changed_jobs = self.store_cache.jobs.keys().cloned().collect();
        self.sync_job_runs();
        self.start_rebuild();
    }

    fn new_leader_state(&self, key_version: u64, term: u64) -> LeaderState {
        let arrivals = ArrivalRate::new(self.now, self.store_cache.jobs.values());
        let mut leader = LeaderState::new(key_version, term, self.now.mono, arrivals);
        leader.leader_key_confirmed = self.candidacy.last_campaign();
        leader.liveness.isolation_timeout = self.settings.heartbeat_interval * 2;
        leader.identity = self.store_cache.identity.clone();
        let records = &mut leader.writes.records;
        *records = MachineRecords::new(&self.store_cache, self.settings.max_value_bytes);
        for (id, value) in &self.store_cache.machines {
            if !records.is_recorded_or_pending(id) {
                records.add(id, value.clone());
            }
        }
        leader.writes.machine_types =
            !self.machine_types.is_empty() && self.machine_types != self.store_cache.machine_types;
        leader
    }

    /// Requests that each renewal of the lease checks whether this leadership still holds.
    fn send_leadership_proof(&mut self, leader: &LeaderState) {
        let mut conditions = vec![Condition {
            key: key(LEADER),
            version: leader.key_version,
        }];
        conditions.extend(leader.identity_condition());
        let proof = LeadershipProof {
            key_version: leader.key_version,
            conditions,
        };
        self.effects.push(Effect::LeadershipProof(Some(proof)));
    }
}
