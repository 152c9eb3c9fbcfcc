//! A stand-in state service, written from PROTOCOL ("Controller nodes -> state service"). It enforces the limits of
//! the settings: requests a second, changes a second, both with bursts of one second's worth, and the sizes of
//! responses, transactions and values.

use burlusher::http::{Request, Response};
use burlusher::wire::{Change, CompareAndSwap};
use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

const KEPT_EVENTS: usize = 10_000;
const MAX_PAGE_ITEMS: usize = 1000;
const MAX_PAGE_BYTES: usize = 512 * 1024;
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Limits of the settings.
#[derive(Clone, Copy)]
pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_bytes: usize,
    pub txn_ops: usize,
    pub latency: Duration,
}

struct Bucket {
    rate: f64,
    available: f64,
    updated: Instant,
}

impl Bucket {
    fn new(rate: f64) -> Bucket {
        Bucket {
            rate,
            available: rate,
            updated: Instant::now(),
        }
    }

    fn take(&mut self, amount: f64) -> bool {
        let now = Instant::now();
        let gained = (now - self.updated).as_secs_f64() * self.rate;
        self.available = (self.available + gained).min(self.rate);
        self.updated = now;
        let allowed = self.available >= amount;
        if allowed {
            self.available -= amount;
        }
        allowed
    }
}

struct Entry {
    /// JSON text of the value.
    data: String,
    stamp: u64,
    lease: Option<u64>,
}

struct Event {
    key: String,
    stamp: u64,
    /// JSON text of the event.
    text: String,
}

struct Store {
    keys: BTreeMap<String, Entry>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
    revision: u64,
    events: VecDeque<Event>,
    /// Revision of the newest event that is no longer kept.
    dropped: u64,
    requests: Bucket,
    writes: Bucket,
}

/// Numbers of requests, for the record.
#[derive(Default)]
pub struct Counts {
    pub requests: AtomicU64,
    pub too_many: AtomicU64,
    pub pages: AtomicU64,
    pub last_pages: AtomicU64,
}

pub struct StateService {
    limits: Limits,
    store: Mutex<Store>,
    changed: Condvar,
    pub counts: Counts,
}

impl Store {
    fn event(&mut self, key: &str, data: Option<(&str, Option<u64>)>) {
        let stamp = self.revision;
        let text = match data {
            Some((data, lease)) => {
                let lease = lease.map_or(String::new(), |l| format!(",\"tenancy\":{l}"));
                format!(
                    "{{\"put\":{},\"data\":{data},\"stamp\":{stamp}{lease}}}",
                    json!(key)
                )
            }
            None => format!("{{\"drop\":{},\"stamp\":{stamp}}}", json!(key)),
        };
        self.events.push_back(Event {
            key: key.to_string(),
            stamp,
            text,
        });
        while self.events.len() > KEPT_EVENTS {
            if let Some(event) = self.events.pop_front() {
                self.dropped = event.stamp;
            }
        }
    }

    fn expire(&mut self, now: Instant) {
        let ended: Vec<u64> = (self.leases.iter())
            .filter(|(_, (end, _))| *end <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) {
        if self.leases.remove(&id).is_none() {
            return;
        }
        let attached: Vec<String> = (self.keys.iter())
            .filter(|(_, entry)| entry.lease == Some(id))
            .map(|(key, _)| key.clone())
            .collect();
        if !attached.is_empty() {
            self.revision += 1;
        }
        for key in attached {
            self.keys.remove(&key);
            self.event(&key, None);
        }
    }
}

fn reply(status: u16, body: &Value) -> Response {
    Response::new(status, body.to_string().into_bytes())
}

fn query(path: &str, name: &str) -> String {
    let query = path.split_once('?').map_or("", |(_, query)| query);
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs.find(|(n, _)| *n == name).map_or("", |(_, v)| v);
    value.replace("%2F", "/").replace("%2f", "/")
}

impl StateService {
    pub fn new(limits: Limits) -> StateService {
        StateService {
            limits,
            store: Mutex::new(Store {
                keys: BTreeMap::new(),
                leases: BTreeMap::new(),
                next_lease: 0,
                revision: 0,
                events: VecDeque::new(),
                dropped: 0,
                requests: Bucket::new(limits.rps),
                writes: Bucket::new(limits.write_rps),
            }),
            changed: Condvar::new(),
            counts: Counts::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap()
    }

    /// Returns the JSON text of a key's value.
    pub fn value(&self, key: &str) -> Option<String> {
        self.lock().keys.get(key).map(|entry| entry.data.clone())
    }

    /// Returns how many keys have this prefix.
    pub fn count_keys(&self, prefix: &str) -> usize {
        let store = self.lock();
        store
            .keys
            .keys()
            .filter(|key| key.starts_with(prefix))
            .count()
    }

    /// Applies puts that a controller made at an earlier time, one revision each. No controller may run meanwhile.
    pub fn load_history(&self, entries: impl Iterator<Item = (String, String)>) {
        let mut store = self.lock();
        for (key, data) in entries {
            store.revision += 1;
            let stamp = store.revision;
            store.event(&key, Some((&data, None)));
            store.keys.insert(
                key,
                Entry {
                    data,
                    stamp,
                    lease: None,
                },
            );
        }
    }

    /// Serves one request.
    pub fn handle(&self, request: &Request) -> Response {
        self.counts.requests.fetch_add(1, Ordering::Relaxed);
        std::thread::sleep(self.limits.latency);
        let mut store = self.lock();
        store.expire(Instant::now());
        if !store.requests.take(1.0) {
            self.counts.too_many.fetch_add(1, Ordering::Relaxed);
            return reply(429, &json!({"error": "too many requests"}));
        }
        let path = request.path.split('?').next().unwrap_or("");
        match (request.method.as_str(), path) {
            ("GET", "/kv") => self.page(&store, &request.path),
            ("GET", "/changes") => self.watch(store, &request.path),
            ("GET", path) if path.starts_with("/kv/") => get(&store, &path["/kv/".len()..]),
            ("POST", "/txn") => {
                let response = self.commit(&mut store, &request.body);
                self.changed.notify_all();
                response
            }
            ("POST", "/leases") => grant(&mut store, &request.body),
            (method, path) if path.starts_with("/leases/") => {
                let response = lease(&mut store, method, &path["/leases/".len()..]);
                self.changed.notify_all();
                response
            }
            _ => reply(400, &json!({"error": "malformed"})),
        }
    }

    fn page(&self, store: &Store, path: &str) -> Response {
        self.counts.pages.fetch_add(1, Ordering::Relaxed);
        let (under, since) = (query(path, "under"), query(path, "since"));
        let size: usize = query(path, "page").parse().unwrap_or(MAX_PAGE_ITEMS);
        let size = size.min(MAX_PAGE_ITEMS);
        let from = if since >= under {
            Bound::Excluded(since.as_str())
        } else {
            Bound::Included(under.as_str())
        };
        let mut wanted = (store.keys.range::<str, _>((from, Bound::Unbounded)))
            .take_while(|(key, _)| key.starts_with(&under))
            .peekable();
        let mut items = String::new();
        let mut count = 0;
        while count < size
            && let Some((key, entry)) = wanted.peek()
        {
            let lease = (entry.lease).map_or(String::new(), |l| format!(",\"tenancy\":{l}"));
            let text = format!(
                "{{\"key\":{},\"data\":{},\"stamp\":{}{lease}}}",
                json!(key),
                entry.data,
                entry.stamp
            );
            if count > 0 && items.len() + text.len() > MAX_PAGE_BYTES {
                break;
            }
            if count > 0 {
                items.push(',');
            }
            items.push_str(&text);
            count += 1;
            wanted.next();
        }
        let more = wanted.peek().is_some();
        if !more {
            self.counts.last_pages.fetch_add(1, Ordering::Relaxed);
        }
        let body = format!(
            "{{\"items\":[{items}],\"more\":{more},\"ledger\":{}}}",
            store.revision
        );
        Response::new(200, body.into_bytes())
    }

    fn watch(&self, mut store: MutexGuard<'_, Store>, path: &str) -> Response {
        let under = query(path, "under");
        let since: u64 = query(path, "since").parse().unwrap_or(0);
        let wait_ms: u64 = query(path, "wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms.min(60_000));
        loop {
            store.expire(Instant::now());
            if since < store.dropped {
                return reply(410, &json!({"error": "too old"}));
            }
            let news: Vec<&str> = (store.events.iter())
                .filter(|event| event.stamp > since && event.key.starts_with(&under))
                .map(|event| event.text.as_str())
                .collect();
            let remaining = until.saturating_duration_since(Instant::now());
            if !news.is_empty() || remaining.is_zero() {
                let news = news.join(",");
                let body = format!("{{\"ledger\":{},\"news\":[{news}]}}", store.revision);
                return Response::new(200, body.into_bytes());
            }
            let wait = remaining.min(Duration::from_millis(100));
            store = self.changed.wait_timeout(store, wait).unwrap().0;
        }
    }

    fn commit(&self, store: &mut Store, body: &[u8]) -> Response {
        let Ok(txn) = serde_json::from_slice::<CompareAndSwap>(body) else {
            return reply(400, &json!({"error": "malformed"}));
        };
        let too_large = |change: &Change| match change {
            Change::Put { value, .. } => value.to_string().len() > self.limits.value_bytes,
            Change::Delete { .. } => false,
        };
        if body.len() > MAX_BODY_BYTES
            || txn.changes.len() > self.limits.txn_ops
            || txn.conditions.len() > 4 * self.limits.txn_ops
            || txn.changes.iter().any(too_large)
        {
            return reply(400, &json!({"error": "over the limits"}));
        }
        if !store.writes.take(txn.changes.len() as f64) {
            self.counts.too_many.fetch_add(1, Ordering::Relaxed);
            return reply(429, &json!({"error": "too many changes"}));
        }
        let stamp = |key: &str| store.keys.get(key).map_or(0, |entry| entry.stamp);
        let failed: Vec<&str> = (txn.conditions.iter())
            .filter(|condition| stamp(&condition.key) != condition.version)
            .map(|condition| condition.key.as_str())
            .collect();
        if !failed.is_empty() {
            return reply(409, &json!({"failed": failed, "ledger": store.revision}));
        }
        for change in &txn.changes {
            if let Change::Put { lease: Some(l), .. } = change
                && !store.leases.contains_key(l)
            {
                return reply(400, &json!({"error": "no such lease"}));
            }
        }
        if !txn.changes.is_empty() {
            store.revision += 1;
        }
        for change in txn.changes {
            match change {
                Change::Put { key, value, lease } => {
                    let data = value.to_string();
                    store.event(&key, Some((&data, lease)));
                    let stamp = store.revision;
                    store.keys.insert(key, Entry { data, stamp, lease });
                }
                Change::Delete { key } => {
                    if store.keys.remove(&key).is_some() {
                        store.event(&key, None);
                    }
                }
            }
        }
        reply(200, &json!({"ledger": store.revision}))
    }
}

fn get(store: &Store, key: &str) -> Response {
    match store.keys.get(key) {
        Some(entry) => {
            let lease = (entry.lease).map_or(String::new(), |l| format!(",\"tenancy\":{l}"));
            let body = format!(
                "{{\"key\":{},\"data\":{},\"stamp\":{}{lease}}}",
                json!(key),
                entry.data,
                entry.stamp
            );
            Response::new(200, body.into_bytes())
        }
        None => reply(404, &json!({"ledger": store.revision})),
    }
}

fn grant(store: &mut Store, body: &[u8]) -> Response {
    let ttl = (serde_json::from_slice::<Value>(body).ok()).and_then(|v| v["ttl_ms"].as_u64());
    let Some(ttl) = ttl.filter(|ttl| (100..=600_000).contains(ttl)) else {
        return reply(400, &json!({"error": "malformed"}));
    };
    store.next_lease += 1;
    let ttl = Duration::from_millis(ttl);
    store
        .leases
        .insert(store.next_lease, (Instant::now() + ttl, ttl));
    reply(200, &json!({"tenancy": store.next_lease}))
}

fn lease(store: &mut Store, method: &str, path: &str) -> Response {
    let id = path.split('/').next().and_then(|id| id.parse::<u64>().ok());
    let Some(id) = id.filter(|id| store.leases.contains_key(id)) else {
        return reply(404, &json!({"error": "no such lease"}));
    };
    if method == "DELETE" {
        store.end_lease(id);
    } else if let Some((end, ttl)) = store.leases.get_mut(&id) {
        *end = Instant::now() + *ttl;
    }
    reply(200, &json!({"tenancy": id}))
}
