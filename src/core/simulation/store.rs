//! The simulated state service, and the calls of controllers to it.

use super::cluster::Simulation;
use super::network::Link;
use crate::core::LEASE_TTL;
use crate::job::MachineId;
use crate::store_client::{PREFIX, StoreOutcome, StoreRequest};
use crate::wire::{Change, CompareAndSwap, Item, WatchEvent, to_json};
use rand::RngExt;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Time after which a client of the state service gives up waiting for a response.
pub(super) const STORE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Largest number of items in a page.
const MAX_PAGE_ITEMS: usize = 1000;
/// Largest size of the values in a page, in bytes.
const MAX_PAGE_BYTES: usize = 512 * 1024;
/// Largest size of a transaction, in bytes.
const MAX_TRANSACTION_BYTES: usize = 64 * 1024;
/// Largest length of a key, in bytes.
const MAX_KEY_BYTES: usize = 200;

/// Value of a key, with its version and lease.
#[derive(Clone)]
pub(super) struct Entry {
    pub(super) value: serde_json::Value,
    pub(super) version: u64,
    pub(super) lease: Option<u64>,
}

impl Entry {
    /// Returns the item with this value under a key.
    fn item(&self, key: &str) -> Item {
        Item {
            key: key.into(),
            value: self.value.clone(),
            version: self.version,
            lease: self.lease,
        }
    }
}

/// Limits of the state service: bytes of a value, and changes in a transaction.
pub type StoreLimits = (usize, usize);

/// Limits in force at present.
pub const STORE_LIMITS: StoreLimits = (8192, 16);

/// Limits that the state service has announced for a later time.
pub const NEXT_STORE_LIMITS: StoreLimits = (2048, 10);

/// The simulated state service.
#[derive(Clone, Default)]
pub(super) struct StateService {
    pub(super) limits: StoreLimits,
    pub(super) keys: BTreeMap<String, Entry>,
    pub(super) revision: u64,
    pub(super) events: Vec<WatchEvent>,
    pub(super) leases: BTreeMap<u64, Instant>,
    pub(super) next_lease: u64,
    /// Number of transactions that were rejected for exceeding the limits.
    pub(super) over_limit: u32,
}

impl StateService {
    /// Deletes a key, and notifies watchers.
    pub(super) fn delete_key(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            self.events.push(WatchEvent {
                put: None,
                delete: Some(key.into()),
                value: serde_json::Value::Null,
                version: self.revision,
                lease: None,
            });
        }
    }

    /// Removes expired leases and the keys attached to them.
    pub(super) fn expire(&mut self, now: Instant) {
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, end)| **end <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.leases.remove(&id);
            let keys: Vec<String> = self
                .keys
                .iter()
                .filter(|(_, e)| e.lease == Some(id))
                .map(|(k, _)| k.clone())
                .collect();
            if !keys.is_empty() {
                self.revision += 1;
            }
            for key in keys {
                self.delete_key(&key);
            }
        }
    }

    /// Renews a lease. Returns false if it has ended.
    pub(super) fn renew(&mut self, lease: u64, now: Instant) -> bool {
        let end = self.leases.get_mut(&lease);
        end.map(|end| *end = now + LEASE_TTL).is_some()
    }

    /// Returns the machines that are recorded in the store.
    pub(super) fn recorded_machines(&self) -> BTreeSet<MachineId> {
        let pages = self
            .keys
            .iter()
            .filter(|(k, _)| k.starts_with("burlusher/p/"));
        let ids = pages.filter_map(|(_, e)| e.value.get("machines")?.as_object());
        ids.flat_map(|m| m.keys().map(|id| id.as_str().into()))
            .collect()
    }

    /// Returns all items under the scheduler's prefix.
    pub(super) fn items(&self) -> Vec<Item> {
        let keys = self.keys.iter().filter(|(k, _)| k.starts_with(PREFIX));
        keys.map(|(key, entry)| entry.item(key)).collect()
    }

    /// Performs a request and returns its outcome.
    pub(super) fn perform(&mut self, request: &StoreRequest) -> StoreOutcome {
        match request {
            StoreRequest::Get(key) => match self.keys.get(key) {
                Some(entry) => StoreOutcome::Found(entry.item(key)),
                None => StoreOutcome::Missing {
                    revision: self.revision,
                },
            },
            StoreRequest::Page {
                prefix,
                after,
                limit,
            } => self.page(prefix, after, *limit),
            StoreRequest::CompareAndSwap(txn) => self.txn(txn),
        }
    }

    /// Returns a page of the items whose keys have this prefix and come after `after`.
    fn page(&self, prefix: &str, after: &str, limit: usize) -> StoreOutcome {
        let mut items: Vec<Item> = Vec::new();
        let mut bytes = 0;
        let mut more = false;
        let keys = self.keys.iter();
        for (key, entry) in keys.filter(|(k, _)| k.starts_with(prefix) && k.as_str() > after) {
            bytes += entry.value.to_string().len();
            if items.len() >= limit.min(MAX_PAGE_ITEMS) || bytes > MAX_PAGE_BYTES {
                more = true;
                break;
            }
            items.push(entry.item(key));
        }
        StoreOutcome::Page {
            items,
            more,
            revision: self.revision,
        }
    }

    /// Returns whether a transaction is well-formed and within the limits.
    fn is_valid(&self, txn: &CompareAndSwap) -> bool {
        let (bytes, ops) = self.limits;
        let too_large = |c: &Change| match c {
            Change::Put { value, .. } => value.to_string().len() > bytes,
            Change::Delete { .. } => false,
        };
        let is_key = |key: &str| (1..=MAX_KEY_BYTES).contains(&key.len()) && !key.contains(' ');
        txn.changes.len() <= ops
            && txn.conditions.len() <= 4 * ops
            && !txn.changes.iter().any(too_large)
            && txn.changes.iter().all(|change| is_key(change.key()))
            && txn.conditions.iter().all(|c| is_key(&c.key))
            && to_json(txn).len() <= MAX_TRANSACTION_BYTES
    }

    /// Applies a transaction if it is within the limits, its leases have not ended and its conditions hold.
    pub(super) fn txn(&mut self, txn: &CompareAndSwap) -> StoreOutcome {
        if !self.is_valid(txn) {
            self.over_limit += 1;
            return StoreOutcome::Invalid("400 over the limit".into());
        }
        let lease_ok = |c: &Change| match c {
            Change::Put { lease: Some(l), .. } => self.leases.contains_key(l),
            _ => true,
        };
        if !txn.changes.iter().all(lease_ok) {
            return StoreOutcome::LeaseEnded;
        }
        let failed: Vec<String> = txn
            .conditions
            .iter()
            .filter(|c| self.keys.get(&c.key).map_or(0, |e| e.version) != c.version)
            .map(|c| c.key.clone())
            .collect();
        if !failed.is_empty() {
            return StoreOutcome::Conflict {
                failed,
                revision: self.revision,
            };
        }
        self.apply(&txn.changes);
        StoreOutcome::Committed {
            revision: self.revision,
        }
    }

    /// Applies changes, all at one revision.
    fn apply(&mut self, changes: &[Change]) {
        if !changes.is_empty() {
            self.revision += 1;
        }
        for change in changes {
            match change {
                Change::Put { key, value, lease } => {
                    let e = Entry {
                        value: value.clone(),
                        version: self.revision,
                        lease: *lease,
                    };
                    self.events.push(WatchEvent {
                        put: Some(key.clone()),
                        delete: None,
                        value: value.clone(),
                        version: self.revision,
                        lease: *lease,
                    });
                    self.keys.insert(key.clone(), e);
                }
                Change::Delete { key } => self.delete_key(key),
            }
        }
    }
}

/// A copy of the contents of the state service at some time.
pub struct Backup(pub(super) StateService);

impl Simulation {
    /// Performs a controller's request and returns the outcome that it sees, subject to its link and the
    /// injected faults.
    pub(super) fn call_store(&mut self, i: usize, request: &StoreRequest) -> StoreOutcome {
        if let (StoreRequest::CompareAndSwap(txn), Link::Good) = (request, self.nodes[i].store_link)
            && !self.faults.store_outage
            && self.faults.late_write_share > 0.0
            && !txn.changes.is_empty()
            && self.rng.random_bool(self.faults.late_write_share)
        {
            let at = self.now + Duration::from_millis(self.rng.random_range(2000..12000));
            self.network.delayed_transactions.push((at, txn.clone()));
            return StoreOutcome::Unknown("timeout".into());
        }
        if self.faults.store_outage {
            return StoreOutcome::Refused("503".into());
        }
        let link = self.nodes[i].store_link;
        match link {
            Link::Good if self.loses_answer(request) => {
                self.counters.responses_lost += 1;
                self.store.perform(request);
                StoreOutcome::Unknown("timeout".into())
            }
            Link::Good => self.store.perform(request),
            Link::Refused => StoreOutcome::Refused("503".into()),
            Link::ResponsesLost => {
                self.store.perform(request);
                StoreOutcome::Unknown("timeout".into())
            }
            Link::WritesHeld if !matches!(request, StoreRequest::CompareAndSwap(_)) => {
                self.store.perform(request)
            }
            Link::Held | Link::WritesHeld => {
                if let StoreRequest::CompareAndSwap(txn) = request {
                    self.network.held_transactions.push(txn.clone());
                }
                StoreOutcome::Unknown("timeout".into())
            }
        }
    }

    /// Decides at random whether the response to this request is lost.
    pub(super) fn loses_answer(&mut self, request: &StoreRequest) -> bool {
        let StoreRequest::CompareAndSwap(txn) = request else {
            return false;
        };
        let selected = |c: &Change| c.key().starts_with(self.faults.lost_response_prefix);
        self.faults.lost_response_share > 0.0
            && txn.changes.iter().any(selected)
            && self.rng.random_bool(self.faults.lost_response_share)
    }

    /// Applies the transactions whose delay is over. During an outage they stay delayed.
    pub(super) fn apply_delayed_transactions(&mut self) {
        let now = self.now;
        if self.faults.store_outage {
            return;
        }
        let due = self
            .network
            .delayed_transactions
            .extract_if(.., |(at, _)| *at <= now);
        for (_, txn) in due.collect::<Vec<_>>() {
            self.store.txn(&txn);
        }
    }

    /// Sets the limits of the state service.
    pub fn set_store_limits(&mut self, limits: StoreLimits) {
        self.store.limits = limits;
    }

    /// Returns the number of transactions that were rejected for exceeding the limits.
    pub fn transactions_over_limit(&self) -> u32 {
        self.store.over_limit
    }

    /// Writes a value to the state service as another process would, regardless of the limits.
    pub fn external_put(&mut self, key: &str, value: serde_json::Value) {
        let change = Change::Put {
            key: key.into(),
            value,
            lease: None,
        };
        self.store.apply(&[change]);
    }

    /// Returns the changes that watchers receive, from this index on.
    pub fn watch_events(&self, from: usize) -> Vec<WatchEvent> {
        self.store.events[from..].to_vec()
    }

    /// Returns the values of all keys with this prefix.
    pub fn stored_values(&self, prefix: &str) -> BTreeMap<String, serde_json::Value> {
        let keys = self.store.keys.iter();
        let found = keys.filter(|(k, _)| k.starts_with(prefix));
        found.map(|(k, e)| (k.clone(), e.value.clone())).collect()
    }

    /// Returns the number of puts and deletions of keys so far.
    pub fn change_count(&self) -> usize {
        self.store.events.len()
    }

    /// Returns a copy of the contents of the state service, to be restored later.
    pub fn backup(&self) -> Backup {
        Backup(self.store.clone())
    }
}
