//! Effects of lists and changes of the store on leadership: a leadership begins or ends with the leader key.

use crate::core::Core;
use crate::core::store::cache::StoreList;
use crate::core::store::commit::{committed_in_events, committed_in_list};
use crate::core::store::keys::identity_key;
use crate::wire::WatchEvent;

/// Holder of the leader key in the cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum KeyHolder {
    Nobody,
    /// This process, with its current lease.
    Own,
    /// Another process, whose key is attached to this process's lease. A store that was restored from a backup assigns
    /// the ids of leases again.
    OtherOnOwnLease,
    Other,
}

impl Core {
    /// Handles a complete list of the store's keys.
    pub(in crate::core) fn store_listed(&mut self, list: StoreList, revision: u64) {
        self.store_reachable_at = self.now.mono;
        self.observe_commit(|txn| committed_in_list(txn, &list));
        self.reconcile_store_list(list, revision);
        tracing::info!(
            revision,
            jobs = self.store_cache.jobs.len(),
            ended_jobs = self.store_cache.ended_jobs.total(),
            ended_jobs_in_memory = self.store_cache.ended_jobs.len(),
            machines = self.store_cache.machines.len(),
            "store listed"
        );
        self.store_cache_changed();
    }

    /// Handles changes of keys, or, with no events, a new revision of the store without changes under the program's
    /// prefix.
    pub(in crate::core) fn store_changed(&mut self, events: Vec<WatchEvent>, revision: u64) {
        self.store_reachable_at = self.now.mono;
        if revision < self.store_cache.revision {
            return self.suspect_data_loss("its revision went back");
        }
        if events.is_empty() {
            self.store_cache.advance_revision(revision);
            // The list may have contained this process's leader key while the cache's revision was still older than
            // the key, which delays the start of the leadership until now.
            if self.leader.is_none() && self.holds_leader_key() {
                self.store_cache_changed();
            }
            return self.resolve_write();
        }
        self.observe_commit(|txn| committed_in_events(txn, &events));
        self.store_cache.apply(events, revision);
        if std::mem::take(&mut self.store_cache.parts_undelivered) {
            self.suspect_data_loss("the watch has not delivered the parts of a job");
        }
        self.store_cache_changed();
    }

    /// Returns whether the leader key is held by this process with its current lease.
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
            // If this process kept renewing the lease, the leader key of a process that has died would never expire.
            tracing::warn!("leader key of another process has own lease");
            self.step_down("the leader key of another process is attached to this lease");
            self.replace_lease();
        }
        let key_version = self.store_cache.leader.as_ref().map(|(_, v)| *v);
        match (&self.leader, holder == KeyHolder::Own) {
            // The leader key was restored from a backup together with all other keys of that time.
            (None, true) if self.store_integrity.data_loss.is_some() => self.resign_to_rebuild(),
            (None, true) => self.begin_leadership(key_version.unwrap_or_default()),
            (Some(l), true) if Some(l.key_version) == key_version => self.sync_job_runs(),
            (Some(_), _) => self.step_down("the leader key is no longer held by this process"),
            // A new leadership starts with all jobs, so changes of single jobs need not be kept.
            (None, false) => self.store_cache.changed_jobs.clear(),
        }
        self.resolve_write();
    }

    /// Adopts the machine types that a leader has written to the store, unless the cloud has already returned them.
    fn adopt_stored_machine_types(&mut self) {
        if self.store_cache.machine_types.is_empty() || !self.machine_types.is_empty() {
            return;
        }
        self.machine_types = self.store_cache.machine_types.clone();
        if let Some(leader) = &mut self.leader {
            leader.machines.mark_all_changed();
        }
    }

    /// Returns whether the key of the store's identity is among these keys.
    pub(in crate::core) fn contains_identity_key(&self, keys: &[String]) -> bool {
        let identity = self.store_cache.identity.as_ref();
        identity.is_some_and(|(id, _)| keys.contains(&identity_key(id)))
    }

    /// Returns the name of the controller that holds the leader key in the cache.
    pub(in crate::core) fn leader_name(&self) -> Option<&str> {
        let leader = self.store_cache.leader.as_ref();
        leader.map(|(value, _)| value.name.as_str())
    }
}
