//! What follows for leadership from lists and changes of the store: when a leadership begins and when it ends.

use crate::core::Core;
use crate::core::store::commit::{committed_in_events, committed_in_list};
use crate::core::store::keys::identity_key;
use crate::wire::{Item, WatchEvent};

/// Whose leader key the cache holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum KeyHolder {
    Nobody,
    /// This process, by its current lease.
    Own,
    /// Another process, whose key has this process's lease. A store that was restored gives numbers of leases again.
    OtherOnOwnLease,
    Other,
}

impl Core {
    /// All keys were read.
    pub(in crate::core) fn store_listed(&mut self, items: Vec<Item>, revision: u64) {
        self.store_reachable_at = self.now.mono;
        self.observe_commit(|txn| committed_in_list(txn, &items));
        self.reconcile_store_list(items, revision);
        tracing::info!(
            revision,
            jobs = self.store_cache.jobs.len(),
            finished = self.store_cache.finished.len(),
            machines = self.store_cache.machines.len(),
            "store listed"
        );
        self.store_cache_changed();
    }

    /// Some keys have changed, or the store has come to a new revision without such changes.
    pub(in crate::core) fn store_changed(&mut self, events: Vec<WatchEvent>, revision: u64) {
        self.store_reachable_at = self.now.mono;
        if revision < self.store_cache.revision {
            return self.suspect_data_loss("its revision went back");
        }
        if events.is_empty() {
            self.store_cache.advance_revision(revision);
            // A list may have had our key before the cache was known to be as new.
            if self.leader.is_none() && self.holds_leader_key() {
                self.store_cache_changed();
            }
            return self.resolve_write();
        }
        self.observe_commit(|txn| committed_in_events(txn, &events));
        self.store_cache.apply(events, revision);
        self.store_cache_changed();
    }

    /// Whether the leader key is this process's, and depends on the lease that it has now.
    pub(in crate::core) fn holds_leader_key(&self) -> bool {
        self.leader_key_holder() == KeyHolder::Own
    }

    fn leader_key_holder(&self) -> KeyHolder {
        let Some((value, _)) = &self.store_cache.leader else {
            return KeyHolder::Nobody;
        };
        let has_own_lease = self.lease.is_some_and(|l| l.id == value.lease);
        let is_own_process = value.process_nonce == self.nonce;
        match (has_own_lease, is_own_process) {
            (true, true) if value.name == self.settings.name => KeyHolder::Own,
            (true, false) => KeyHolder::OtherOnOwnLease,
            _ => KeyHolder::Other,
        }
    }

    fn store_cache_changed(&mut self) {
        self.observe_identity();
        self.adopt_stored_machine_types();
        let holder = self.leader_key_holder();
        if holder == KeyHolder::OtherOnOwnLease {
            // If this process kept renewing the lease, the key of a dead leader would never expire.
            tracing::warn!("leader key of another process has own lease");
            self.step_down("leader key depends on another lease");
            self.replace_lease();
        }
        let key_version = self.store_cache.leader.as_ref().map(|(_, v)| *v);
        match (&self.leader, holder == KeyHolder::Own) {
            // The key was restored together with everything else that the store held long ago.
            (None, true) if self.store_integrity.data_loss.is_some() => self.resign_to_rebuild(),
            (None, true) => self.begin_leadership(key_version.unwrap_or_default()),
            (Some(l), true) if Some(l.key_version) == key_version => self.sync_job_runs(),
            (Some(_), _) => self.step_down("the leader key is not ours any more"),
            // A leadership begins with all jobs.
            (None, false) => self.store_cache.changed.clear(),
        }
        self.resolve_write();
    }

    /// Until the cloud has answered, the machine types are those that a leader has written.
    fn adopt_stored_machine_types(&mut self) {
        if self.store_cache.machine_types.is_empty() || !self.machine_types.is_empty() {
            return;
        }
        self.machine_types = self.store_cache.machine_types.clone();
        if let Some(leader) = &mut self.leader {
            leader.machines.mark_all_changed();
        }
    }

    /// Whether the store's identity is among these keys.
    pub(in crate::core) fn contains_identity_key(&self, keys: &[String]) -> bool {
        let identity = self.store_cache.identity.as_ref();
        identity.is_some_and(|(id, _)| keys.contains(&identity_key(id)))
    }

    /// The name of the controller whose leader key the cache holds.
    pub(in crate::core) fn leader_name(&self) -> Option<&str> {
        let leader = self.store_cache.leader.as_ref();
        leader.map(|(value, _)| value.name.as_str())
    }
}
