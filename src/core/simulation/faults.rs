//! Faults that a test injects: settings that last until it ends them, and events that it causes by a call.

use super::cluster::{Node, Simulation};
use super::network::Link;
use super::store::{Backup, StateService};
use crate::core::{Command, LEASE_TTL};
use crate::job::MachineId;
use crate::store_client::PREFIX;
use std::collections::BTreeSet;
use std::time::Duration;

/// Faults that last until a test ends them.
pub struct Faults {
    /// Heartbeats and direct commands arrive once more up to this much later, heartbeats at any
    /// controller.
    pub duplicate_delay: Duration,
    /// This share of transactions gets no answer and is carried out 2 to 12 s later.
    pub late_write_share: f64,
    /// This share of transactions is carried out at once, and its answer lost.
    pub lost_response_share: f64,
    /// Only answers to transactions are lost that change a key with this prefix.
    pub lost_response_prefix: &'static str,
    /// This share of direct commands gets no answer and is carried out 2 to 16 s later, once.
    pub late_command_share: f64,
    /// Copies of this share of heartbeats reach every controller when the next leadership begins.
    pub replayed_heartbeat_share: f64,
    /// Direct commands are held until `Simulation::release`.
    pub hold_commands: bool,
    /// The cloud answers every call with an error.
    pub cloud_down: bool,
    /// Scale-outs are carried out, and their answers lost.
    pub scale_out_responses_lost: bool,
    /// Zones in which no machine can be provisioned.
    pub zones_without_capacity: BTreeSet<String>,
    /// The state service serves nobody; no lease runs out, and each has its full time again
    /// afterwards (`Simulation::set_store_outage`).
    pub store_outage: bool,
    /// The state service answers up to this much later.
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
    /// A controller ends, and starts again after this time.
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

    /// A leader takes its key for gone, though it stands.
    pub fn force_step_down(&mut self, node: usize) {
        if let Some(lead) = &self.nodes[node].core.leader {
            let key_version = lead.key_version;
            self.nodes[node]
                .inbox
                .push(Command::LeadershipDisproved { key_version });
        }
    }

    /// The state service serves nobody from now on, or everybody again.
    pub fn set_store_outage(&mut self, outage: bool) {
        self.faults.store_outage = outage;
        self.pause_leases(outage);
    }

    /// During an outage no lease runs out, and after it each has its full time again.
    pub fn pause_leases(&mut self, paused: bool) {
        let far = Duration::from_secs(86_400);
        for end in self.store.leases.values_mut() {
            *end = self.now + if paused { far } else { LEASE_TTL };
        }
    }

    /// The state service loses everything, and no controller is notified.
    pub fn lose_store(&mut self) {
        self.restore_backup(&Backup(StateService {
            limits: self.store.limits,
            ..StateService::default()
        }));
    }

    /// It goes on from what it held once. Leases that ran then have their full time again.
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

    /// Only what is under these keys is lost.
    pub fn lose_keys(&mut self, prefix: &str) {
        self.store.keys.retain(|k, _| !k.starts_with(prefix));
    }

    /// A key's value is an older one again.
    pub fn overwrite_value(&mut self, key: &str, value: serde_json::Value) {
        if let Some(e) = self.store.keys.get_mut(key) {
            e.value = value;
        }
    }

    /// The store forgets all leases, and keeps the keys that hang on them.
    pub fn drop_leases(&mut self) {
        self.store.leases.clear();
    }

    /// A lease number that was in use is given again, to somebody who renews it.
    pub fn reissue_lease_id(&mut self, node: usize) {
        if let Some(id) = self.nodes[node].lease {
            let far = Duration::from_secs(86_400);
            self.store.leases.insert(id, self.now + far);
        }
    }

    /// A node's watch is too old, and it reads all there is.
    pub fn force_relisting(&mut self, node: usize) {
        self.nodes[node].watch_revision = None;
    }

    /// A node reads all there is, and the answer is long under way: until `finish_listing`, nothing else
    /// reaches its copy.
    pub fn begin_listing(&mut self, node: usize) {
        self.nodes[node].pending_listing = Some((self.store.items(), self.store.revision));
        self.nodes[node].watch_delayed = true;
    }

    /// The answer to `begin_listing` arrives.
    pub fn finish_listing(&mut self, node: usize) {
        let n = &mut self.nodes[node];
        if let Some((items, revision)) = n.pending_listing.take() {
            n.inbox.push(Command::StoreListed { items, revision });
            (n.watch_revision, n.watch_delayed) = (Some(revision), false);
        }
    }

    /// A worker and all controllers cannot talk to one another.
    pub fn partition_worker(&mut self, id: &MachineId) {
        let worker = self.workers.get_mut(id).expect("the worker exists");
        worker.partitioned_from = (0..self.nodes.len()).collect();
    }

    /// Every worker can talk to every controller again.
    pub fn heal_worker_partitions(&mut self) {
        for worker in self.workers.values_mut() {
            worker.partitioned_from.clear();
        }
    }

    /// How the calls of all controllers to the state service go from now on.
    pub fn set_store_links(&mut self, link: Link) {
        for node in &mut self.nodes {
            node.store_link = link;
        }
    }

    /// Whether controllers reach one another from now on.
    pub fn set_peers_reachable(&mut self, reachable: bool) {
        for node in &mut self.nodes {
            node.peers_reachable = reachable;
        }
    }

    /// All controllers reach the state service and one another again.
    pub fn heal_controllers(&mut self) {
        self.set_store_links(Link::Good);
        self.set_peers_reachable(true);
    }
}
