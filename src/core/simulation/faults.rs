//! Fault injection: settings that last until the test resets them, and methods that cause a single event.

use super::cluster::{Node, Simulation, listed};
use super::network::Link;
use super::store::{Backup, Entry, StateService};
use crate::core::{Command, LEASE_TTL};
use crate::job::MachineId;
use crate::store_client::PREFIX;
use std::collections::BTreeSet;
use std::time::Duration;

/// Faults that last until the test resets them.
pub struct Faults {
    /// Longest delay of a duplicate. If it is not zero, heartbeats and direct commands arrive a second
    /// time after up to this delay, heartbeats at a random controller.
    pub duplicate_delay: Duration,
    /// Share of transactions that get no response and are carried out 2 to 12 s later.
    pub late_write_share: f64,
    /// Share of transactions that are carried out at once and whose response is lost.
    pub lost_response_share: f64,
    /// Prefix of keys: responses are lost only for transactions that change a key with this prefix.
    pub lost_response_prefix: &'static str,
    /// Share of direct commands that get no response and are carried out once, 2 to 16 s later.
    pub late_command_share: f64,
    /// Share of heartbeats of which a copy reaches every controller when the next leadership begins.
    pub replayed_heartbeat_share: f64,
    /// Whether direct commands are held until `Simulation::release_held`.
    pub hold_commands: bool,
    /// Whether the cloud answers every call with an error.
    pub cloud_down: bool,
    /// Whether scale-outs are carried out and their responses lost.
    pub scale_out_responses_lost: bool,
    /// Zones in which no machine can be provisioned.
    pub zones_without_capacity: BTreeSet<String>,
    /// Whether the state service refuses all calls. No lease expires meanwhile, and each has its full
    /// TTL again afterwards (`Simulation::set_store_outage`).
    pub store_outage: bool,
    /// Longest delay of responses of the state service.
    pub store_delay: Duration,
}

impl Default for Faults {
    fn default() -> Faults {
        Faults {
            duplicate_delay: Duration::ZERO,
            late_write_share: 0.0,
            lost_response_share: 0.0,
            lost_response_prefix: PREFIX,
            late_command_share: 0.0,
            replayed_heartbeat_share: 0.0,
            hold_commands: false,
            cloud_down: false,
            scale_out_responses_lost: false,
            zones_without_capacity: BTreeSet::new(),
            store_outage: false,
            store_delay: Duration::ZERO,
        }
    }
}

impl Simulation {
    /// Kills a controller, which restarts after this time.
    pub fn kill(&mut self, i: usize, restart_after: Duration) {
        self.checker.survivors.remove(&i);
        if let Some(caches) = &mut self.checker.complete_caches {
            caches.remove(&i);
            self.checker.data_lost_for_good |= caches.is_empty();
        }
        self.nodes[i].up = false;
        self.nodes[i].inbox.clear();
        self.network
            .delayed_store_responses
            .retain(|(_, node, _)| *node != i);
        self.nodes[i].restart_at = Some(self.now + restart_after);
        self.network
            .forwards
            .retain(|_, (requester, _)| *requester != i);
        self.network
            .heartbeat_batches
            .retain(|_, (requester, _, _)| *requester != i);
        let name = format!("n{i}");
        let unanswered = self
            .network
            .cache_requests
            .extract_if(.., |_, (a, to, _)| *a == i || *to == name);
        let unanswered: Vec<_> = unanswered.map(|(_, r)| r).collect();
        for (requester, peer, request) in unanswered.into_iter().filter(|r| r.0 != i) {
            self.nodes[requester].inbox.push(Command::CachePage {
                peer,
                request,
                response: None,
            });
        }
    }

    /// Makes a leader step down by telling it that its leader key is gone, although the key still exists.
    pub fn force_step_down(&mut self, node: usize) {
        if let Some(lead) = &self.nodes[node].core.leader {
            let key_version = lead.key_version;
            self.nodes[node]
                .inbox
                .push(Command::LeadershipDisproved { key_version });
        }
    }

    /// Begins or ends an outage of the state service, during which it refuses all calls.
    pub fn set_store_outage(&mut self, outage: bool) {
        self.faults.store_outage = outage;
        self.pause_leases(outage);
    }

    /// Stops the expiry of leases, or resumes it with the full TTL for each.
    pub fn pause_leases(&mut self, paused: bool) {
        let far = Duration::from_secs(86_400);
        for end in self.store.leases.values_mut() {
            *end = self.now + if paused { far } else { LEASE_TTL };
        }
    }

    /// Makes the state service lose all its data. No controller is notified.
    pub fn lose_store(&mut self) {
        self.restore_backup(&Backup(StateService {
            limits: self.store.limits,
            ..StateService::default()
        }));
    }

    /// Resets the state service to a backup. The leases in the backup have their full TTL again.
    pub fn restore_backup(&mut self, backup: &Backup) {
        let jobs = self.store.keys.iter();
        let jobs = jobs.filter(|(k, _)| k.starts_with("burlusher/j/"));
        for (key, e) in jobs {
            let ended = e.value.get("end").is_some();
            *self.checker.jobs_to_restore.entry(key.clone()).or_default() |= ended;
        }
        let up_to_date = |n: &Node| {
            n.up && n.core.store_cache.loaded && n.watch_revision >= Some(self.store.revision)
        };
        let up = (0..self.nodes.len()).filter(|i| up_to_date(&self.nodes[*i]));
        let leads = |n: &Node| n.up && n.core.is_active_leader() && !n.core.store_is_incomplete();
        if self.nodes.iter().any(leads) && !self.store.keys.contains_key("burlusher/rebuilding") {
            self.checker.survivors = up.clone().collect();
        }
        match &mut self.checker.complete_caches {
            Some(caches) => caches.retain(|i| self.nodes[*i].up),
            None => self.checker.complete_caches = Some(up.collect()),
        }
        let before = self.store.recorded_machines();
        self.checker
            .machines_with_lost_record
            .extend(&before - &backup.0.recorded_machines());
        let no_cache_left = self
            .checker
            .complete_caches
            .as_ref()
            .is_some_and(BTreeSet::is_empty);
        self.checker.data_lost_for_good |=
            no_cache_left && !self.checker.jobs_to_restore.is_empty();
        self.store = backup.0.clone();
        for end in self.store.leases.values_mut() {
            *end = self.now + LEASE_TTL;
        }
    }

    /// Removes the keys with this prefix without notifying watchers.
    pub fn lose_keys(&mut self, prefix: &str) {
        self.store.keys.retain(|k, _| !k.starts_with(prefix));
    }

    /// Replaces a key's value without changing its version or notifying watchers, as if an older value
    /// were back.
    pub fn overwrite_value(&mut self, key: &str, value: serde_json::Value) {
        if let Some(e) = self.store.keys.get_mut(key) {
            e.value = value;
        }
    }

    /// Creates a key at a new revision without notifying watchers.
    pub fn insert_unseen(&mut self, key: &str, value: serde_json::Value) {
        self.store.revision += 1;
        let entry = Entry {
            value,
            version: self.store.revision,
            lease: None,
        };
        self.store.keys.insert(key.into(), entry);
    }

    /// Makes the store lose all leases and keep the keys that are attached to them.
    pub fn drop_leases(&mut self) {
        self.store.leases.clear();
    }

    /// Reissues the lease ID of a controller to another client, which keeps renewing it.
    pub fn reissue_lease_id(&mut self, node: usize) {
        if let Some(id) = self.nodes[node].lease {
            let far = Duration::from_secs(86_400);
            self.store.leases.insert(id, self.now + far);
        }
    }

    /// Makes a controller read the whole store again, as when the revision of its watch is too old.
    pub fn force_relisting(&mut self, node: usize) {
        self.nodes[node].watch_revision = None;
    }

    /// Begins a full read of the store by a controller whose response is delayed: its cached copy gets
    /// no other update until `finish_listing`.
    pub fn begin_listing(&mut self, node: usize) {
        self.nodes[node].pending_listing = Some((self.store.items(), self.store.revision));
        self.nodes[node].watch_delayed = true;
    }

    /// Delivers the response to `begin_listing`.
    pub fn finish_listing(&mut self, node: usize) {
        let n = &mut self.nodes[node];
        if let Some((items, revision)) = n.pending_listing.take() {
            let list = listed(items, self.max_ended_job_bytes);
            n.inbox.push(Command::StoreListed { list, revision });
            (n.watch_revision, n.watch_delayed) = (Some(revision), false);
        }
    }

    /// Partitions a worker from all controllers, in both directions.
    pub fn partition_worker(&mut self, id: &MachineId) {
        let worker = self.workers.get_mut(id).expect("the worker exists");
        worker.partitioned_from = (0..self.nodes.len()).collect();
    }

    /// Removes the partitions between workers and controllers.
    pub fn heal_worker_partitions(&mut self) {
        for worker in self.workers.values_mut() {
            worker.partitioned_from.clear();
        }
    }

    /// Sets the state of all controllers' connections to the state service.
    pub fn set_store_links(&mut self, link: Link) {
        for node in &mut self.nodes {
            node.store_link = link;
        }
    }

    /// Sets whether controllers can reach one another.
    pub fn set_peers_reachable(&mut self, reachable: bool) {
        for node in &mut self.nodes {
            node.peers_reachable = reachable;
        }
    }

    /// Restores the connections of all controllers to the state service and to one another.
    pub fn heal_controllers(&mut self) {
        self.set_store_links(Link::Good);
        self.set_peers_reachable(true);
    }
}
