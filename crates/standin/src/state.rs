//! The stand-in state service: a key-value store in memory, behind one lock. Watches wait on a condition
//! variable. `limits` has the limits of the protocol; rates are not limited.

pub(crate) mod limits;

use self::limits::{LEASE_TTL_MS, MAX_PAGE_BYTES, MAX_PAGE_ITEMS, MAX_TRANSACTION_BYTES};
use burlusher::http::{Request, Response};
use burlusher::wire::{
    Change, CompareAndSwap, CompareAndSwapResponse, Item, KeyValuePage, LeaseRequest,
    LeaseResponse, WatchEvent, WatchResponse, to_json,
};
use serde_json::Value;
use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Condvar, Mutex};
use std::time::{Duration, Instant};

/// Maximum number of backups; one is made per second.
const MAX_BACKUPS: usize = 120;
/// Number of newest events that are always kept, so that a watch can start from any of them. Twice as many are
/// kept before the older half is dropped.
const MIN_KEPT_EVENTS: usize = 10_000;
/// Maximum time for which a watch waits, in milliseconds.
const MAX_WATCH_MS: u64 = 60_000;
const KEY_PATH: &str = "/kv/";
const LEASE_PATH: &str = "/leases/";

#[derive(Clone, Default)]
struct Store {
    keys: BTreeMap<String, Item>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
    revision: u64,
    events: Vec<WatchEvent>,
    down_until: Option<Instant>,
}

/// The stand-in state service.
#[derive(Default)]
pub struct StateService {
    store: Mutex<Store>,
    backups: Mutex<VecDeque<(Instant, Store)>>,
    changed: Condvar,
    requests: AtomicU64,
    changes: AtomicU64,
}

impl Store {
    fn record_event(&mut self, put: Option<&Item>, delete: Option<&str>) {
        self.events.push(WatchEvent {
            put: put.map(|i| i.key.clone()),
            delete: delete.map(str::to_string),
            value: put.map_or(Value::Null, |i| i.value.clone()),
            version: self.revision,
            lease: put.and_then(|i| i.lease),
        });
        if self.events.len() > 2 * MIN_KEPT_EVENTS {
            self.events.drain(..MIN_KEPT_EVENTS);
        }
    }

    fn expire_leases(&mut self, now: Instant) {
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (end, _))| *end <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.revoke_lease(id);
        }
    }

    fn revoke_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let attached = self.keys.values().filter(|i| i.lease == Some(id));
        let attached: Vec<String> = attached.map(|i| i.key.clone()).collect();
        if !attached.is_empty() {
            self.revision += 1;
        }
        for key in attached {
            self.keys.remove(&key);
            self.record_event(None, Some(&key));
        }
    }

    /// Returns a page of the items whose keys have a prefix and come after `since`.
    fn page(&self, r: &Request) -> Response {
        let under = query(&r.path, "under").unwrap_or("");
        let since = query(&r.path, "since").unwrap_or("");
        let size = query_number(&r.path, "page").unwrap_or(MAX_PAGE_ITEMS);
        let size = size.min(MAX_PAGE_ITEMS) as usize;
        let is_wanted =
            |i: &&Item| i.key.starts_with(under) && (since.is_empty() || *i.key > *since);
        let mut items: Vec<Item> = Vec::new();
        let (mut bytes, mut more) = (0, false);
        for item in self.keys.values().filter(is_wanted) {
            bytes += to_json(item).len();
            if items.len() == size || bytes > MAX_PAGE_BYTES {
                more = true;
                break;
            }
            items.push(item.clone());
        }
        let page = KeyValuePage {
            items,
            more,
            revision: self.revision,
        };
        Response::new(200, to_json(&page))
    }

    fn get(&self, key: &str) -> Response {
        match self.keys.get(key) {
            Some(item) => Response::new(200, to_json(item)),
            None => {
                let body = CompareAndSwapResponse {
                    revision: self.revision,
                    failed: Vec::new(),
                };
                Response::new(404, to_json(&body))
            }
        }
    }

    fn grant_lease(&mut self, body: &[u8], now: Instant) -> Response {
        match serde_json::from_slice::<LeaseRequest>(body) {
            Ok(request) if !LEASE_TTL_MS.contains(&request.ttl_ms) => {
                Response::error(400, "ttl_ms out of range")
            }
            Ok(request) => {
                self.next_lease += 1;
                let (id, ttl) = (self.next_lease, Duration::from_millis(request.ttl_ms));
                self.leases.insert(id, (now + ttl, ttl));
                Response::new(200, to_json(&LeaseResponse { lease: id }))
            }
            Err(e) => Response::error(400, &e.to_string()),
        }
    }

    /// Renews (POST) or revokes (DELETE) the lease whose id begins the path.
    fn renew_or_revoke_lease(&mut self, method: &str, path: &str, now: Instant) -> Response {
        let id = path.split('/').next().and_then(|id| id.parse().ok());
        match (method, id) {
            ("DELETE", Some(id)) if !self.leases.contains_key(&id) => no_such_lease(404),
            ("DELETE", Some(id)) => {
                self.revoke_lease(id);
                Response::new(200, b"{}".to_vec())
            }
            ("POST", Some(id)) => match self.leases.get_mut(&id) {
                Some((end, ttl)) => {
                    *end = now + *ttl;
                    Response::new(200, to_json(&LeaseResponse { lease: id }))
                }
                None => no_such_lease(404),
            },
            _ => Response::error(400, "malformed"),
        }
    }

    fn commit(&mut self, txn: CompareAndSwap) -> Response {
        if let Some(error) = limits::find_violation(&txn) {
            return Response::error(400, &error.to_string());
        }
        let ended_lease = |change: &Change| match change {
            Change::Put { lease: Some(l), .. } => !self.leases.contains_key(l),
            Change::Put { lease: None, .. } | Change::Delete { .. } => false,
        };
        // The conditions do not matter.
        if txn.changes.iter().any(ended_lease) {
            return no_such_lease(400);
        }
        let version = |key: &str| self.keys.get(key).map_or(0, |i| i.version);
        let failed: Vec<String> = txn
            .conditions
            .iter()
            .filter(|c| version(&c.key) != c.version)
            .map(|c| c.key.clone())
            .collect();
        let response = |status, revision, failed| {
            let body = CompareAndSwapResponse { revision, failed };
            Response::new(status, to_json(&body))
        };
        if !failed.is_empty() {
            return response(409, self.revision, failed);
        }
        if !txn.changes.is_empty() {
            self.revision += 1;
        }
        for change in txn.changes {
            match change {
                Change::Put { key, value, lease } => {
                    let version = self.revision;
                    let item = Item {
                        key: key.clone(),
                        value,
                        version,
                        lease,
                    };
                    self.record_event(Some(&item), None);
                    self.keys.insert(key, item);
                }
                Change::Delete { key } => {
                    if self.keys.remove(&key).is_some() {
                        self.record_event(None, Some(&key));
                    }
                }
            }
        }
        response(200, self.revision, Vec::new())
    }
}

/// Returns the response to a request with a lease that has ended.
fn no_such_lease(status: u16) -> Response {
    Response::error(status, "no such lease")
}

/// Returns the value of a parameter in a path's query string.
pub fn query<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = path.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
    pairs.find(|(n, _)| *n == name).map(|(_, v)| v)
}

fn query_number(path: &str, name: &str) -> Option<u64> {
    query(path, name)?.parse().ok()
}

impl StateService {
    /// Responds with 503 to every request for this long.
    pub fn start_outage(&self, duration: Duration) {
        let mut store = self.store.lock().expect("lock is not poisoned");
        let until = Instant::now() + duration;
        store.down_until = Some(until);
        // Leases do not expire during the outage: each has its full TTL after the end.
        for (end, ttl) in store.leases.values_mut() {
            *end = until + *ttl;
        }
    }

    /// Erases all data, including the revision and lease counters. Watches receive no events for it.
    pub fn erase(&self) {
        *self.store.lock().expect("lock is not poisoned") = Store::default();
    }

    /// Adds a copy of the store to the backups; drops the oldest beyond `MAX_BACKUPS`.
    pub fn back_up(&self) {
        let store = self.store.lock().expect("lock is not poisoned").clone();
        let mut backups = self.backups.lock().expect("lock is not poisoned");
        backups.push_back((Instant::now(), store));
        while backups.len() > MAX_BACKUPS {
            backups.pop_front();
        }
    }

    /// Replaces the store by the newest backup that is at least `min_age` old, or by the oldest one if none is.
    /// Leases in the backup get their full TTL again.
    pub fn roll_back(&self, min_age: Duration) {
        let mut backups = self.backups.lock().expect("lock is not poisoned");
        let now = Instant::now();
        while backups.len() > 1 && backups.back().is_some_and(|(at, _)| *at + min_age > now) {
            backups.pop_back();
        }
        let Some((_, mut store)) = backups.back().cloned() else {
            return;
        };
        for (end, ttl) in store.leases.values_mut() {
            *end = now + *ttl;
        }
        *self.store.lock().expect("lock is not poisoned") = store;
    }

    /// Returns the number of requests, and of puts and deletions in them.
    pub fn request_counts(&self) -> (u64, u64) {
        let load = |n: &AtomicU64| n.load(Ordering::Relaxed);
        (load(&self.requests), load(&self.changes))
    }

    /// Handles one request of a controller.
    pub fn handle_request(&self, r: &Request) -> Response {
        self.requests.fetch_add(1, Ordering::Relaxed);
        let now = Instant::now();
        let mut store = self.store.lock().expect("lock is not poisoned");
        if store.down_until.is_some_and(|t| now < t) {
            return Response::error(503, "trouble");
        }
        store.expire_leases(now);
        let path = r.path.split('?').next().unwrap_or("");
        let response = match (r.method.as_str(), path) {
            ("GET", "/kv") => store.page(r),
            ("GET", "/changes") => return self.watch(store, r),
            ("GET", key) if key.starts_with(KEY_PATH) => store.get(&key[KEY_PATH.len()..]),
            ("POST", "/txn") => self.transaction(&mut store, &r.body),
            ("POST", "/leases") => store.grant_lease(&r.body, now),
            (method, lease) if lease.starts_with(LEASE_PATH) => {
                store.renew_or_revoke_lease(method, &lease[LEASE_PATH.len()..], now)
            }
            _ => Response::error(400, "malformed"),
        };
        self.changed.notify_all();
        response
    }

    fn transaction(&self, store: &mut Store, body: &[u8]) -> Response {
        if body.len() > MAX_TRANSACTION_BYTES {
            return Response::error(400, "transaction too large");
        }
        match serde_json::from_slice::<CompareAndSwap>(body) {
            Ok(transaction) => {
                let changes = transaction.changes.len() as u64;
                self.changes.fetch_add(changes, Ordering::Relaxed);
                store.commit(transaction)
            }
            Err(e) => Response::error(400, &e.to_string()),
        }
    }

    /// Waits until a key with the prefix changes after revision `since`, or until `wait_ms` have passed; returns
    /// the changes.
    fn watch<'a>(&'a self, mut store: std::sync::MutexGuard<'a, Store>, r: &Request) -> Response {
        let under = query(&r.path, "under").unwrap_or("").to_string();
        let since = query_number(&r.path, "since").unwrap_or(0);
        let wait_ms = query_number(&r.path, "wait_ms").unwrap_or(0);
        let wait = Duration::from_millis(wait_ms.min(MAX_WATCH_MS));
        let until = Instant::now() + wait;
        loop {
            store.expire_leases(Instant::now());
            if store.events.len() >= MIN_KEPT_EVENTS
                && store.events.first().is_some_and(|e| e.version > since + 1)
            {
                return Response::error(410, "too old");
            }
            let is_wanted = |e: &&WatchEvent| {
                let key = e.put.as_ref().or(e.delete.as_ref());
                e.version > since && key.is_some_and(|k| k.starts_with(&under))
            };
            let events: Vec<WatchEvent> = store.events.iter().filter(is_wanted).cloned().collect();
            let remaining = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || remaining.is_zero() {
                let revision = store.revision;
                return Response::new(200, to_json(&WatchResponse { revision, events }));
            }
            // Expiry of leases does not signal `changed`, so it is checked for periodically.
            let wait = remaining.min(Duration::from_millis(100));
            let (next, _) = self
                .changed
                .wait_timeout(store, wait)
                .expect("lock is not poisoned");
            store = next;
        }
    }
}

#[cfg(test)]
mod tests;
