//! The state service of PROTOCOL, "Controller nodes -> state service", with its limits. Each controller has an
//! address of its own, which all lead to the same store.

use crate::http::{Request, Response};
use crate::json::{int, object, text, Json};
use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;
use std::sync::{Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
struct Item {
    data: Json,
    stamp: u64,
    tenancy: Option<u64>,
}

struct Change {
    key: String,
    /// None: deleted.
    item: Option<Item>,
    stamp: u64,
}

pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_bytes: usize,
    pub txn_ops: usize,
}

struct Bucket {
    rate: f64,
    level: f64,
    at: Instant,
}

impl Bucket {
    fn new(rate: f64) -> Bucket {
        Bucket {
            rate,
            level: rate,
            at: Instant::now(),
        }
    }

    fn take(&mut self, n: f64) -> bool {
        let now = Instant::now();
        self.level =
            (self.level + now.duration_since(self.at).as_secs_f64() * self.rate).min(self.rate);
        self.at = now;
        let fits = self.level >= n;
        if fits {
            self.level -= n;
        }
        fits
    }
}

struct Store {
    keys: BTreeMap<String, Item>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
    ledger: u64,
    changes: VecDeque<Change>,
    dropped_up_to: u64,
    requests: Bucket,
    writes: Bucket,
    refused_429: u64,
}

pub struct State {
    store: Mutex<Store>,
    changed: Condvar,
    limits: Limits,
}

const KEPT_CHANGES: usize = 10_000;

impl State {
    pub fn new(limits: Limits) -> State {
        let store = Store {
            keys: BTreeMap::new(),
            leases: BTreeMap::new(),
            next_lease: 0,
            ledger: 1,
            changes: VecDeque::new(),
            dropped_up_to: 0,
            requests: Bucket::new(limits.rps),
            writes: Bucket::new(limits.write_rps),
            refused_429: 0,
        };
        State {
            store: Mutex::new(store),
            changed: Condvar::new(),
            limits,
        }
    }

    /// Adds what the store would hold if this job had run under each of these ids too: a copy of each of its keys.
    /// Returns how many keys were added.
    pub fn add_history(&self, id: &str, ids: impl Iterator<Item = String>) -> usize {
        let mut store = self.store.lock().unwrap();
        let like: Vec<(String, Item)> = (store.keys.iter())
            .filter(|(key, _)| key.contains(id))
            .map(|(key, item)| (key.clone(), item.clone()))
            .collect();
        let mut added = 0;
        for other in ids {
            for (key, item) in &like {
                store.ledger += 1;
                let data = Json::parse(item.data.write().replace(id, &other).as_bytes())
                    .unwrap_or(Json::Null);
                let copy = Item {
                    data,
                    stamp: store.ledger,
                    tenancy: None,
                };
                store.keys.insert(key.replace(id, &other), copy);
                added += 1;
            }
        }
        store.changes.clear();
        store.dropped_up_to = store.ledger;
        added
    }

    pub fn refused(&self) -> u64 {
        self.store.lock().unwrap().refused_429
    }

    pub fn handle(&self, r: &Request) -> Response {
        let mut store = self.store.lock().unwrap();
        store.expire(Instant::now());
        if !store.requests.take(1.0) {
            store.refused_429 += 1;
            return Response::error(429, "rate");
        }
        let response = match (r.method.as_str(), r.path.as_str()) {
            ("GET", "/kv") => store.page(r),
            ("GET", "/changes") => {
                drop(store);
                return self.watch(r);
            }
            ("GET", path) if path.starts_with("/kv/") => store.get(&path[4..]),
            ("POST", "/txn") => store.txn(&r.body, &self.limits),
            ("POST", "/leases") => store.grant(&r.body),
            (method, path) if path.starts_with("/leases/") => store.lease(method, &path[8..]),
            _ => Response::error(400, "malformed"),
        };
        self.changed.notify_all();
        response
    }

    fn watch(&self, r: &Request) -> Response {
        let under = r.param("under").unwrap_or("").to_string();
        let since: u64 = r.param("since").and_then(|v| v.parse().ok()).unwrap_or(0);
        let wait: u64 = r.param("wait_ms").and_then(|v| v.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(60_000));
        let mut store = self.store.lock().unwrap();
        loop {
            store.expire(Instant::now());
            if since < store.dropped_up_to {
                return Response::error(410, "too old");
            }
            let newer = store
                .changes
                .iter()
                .filter(|c| c.stamp > since && c.key.starts_with(&under));
            let news: Vec<Json> = newer.map(news).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !news.is_empty() || left.is_zero() {
                let body = object(vec![
                    ("ledger", int(store.ledger)),
                    ("news", Json::List(news)),
                ]);
                return Response::new(200, body.write());
            }
            store = self
                .changed
                .wait_timeout(store, left.min(Duration::from_millis(50)))
                .unwrap()
                .0;
        }
    }
}

fn news(c: &Change) -> Json {
    match &c.item {
        Some(item) => {
            let mut fields = vec![
                ("put", text(&c.key)),
                ("data", item.data.clone()),
                ("stamp", int(c.stamp)),
            ];
            if let Some(t) = item.tenancy {
                fields.push(("tenancy", int(t)));
            }
            object(fields)
        }
        None => object(vec![("drop", text(&c.key)), ("stamp", int(c.stamp))]),
    }
}

fn shown(key: Option<&str>, item: &Item) -> Json {
    let mut fields = vec![("data", item.data.clone()), ("stamp", int(item.stamp))];
    if let Some(key) = key {
        fields.push(("key", text(key)));
    }
    if let Some(t) = item.tenancy {
        fields.push(("tenancy", int(t)));
    }
    object(fields)
}

impl Store {
    fn record(&mut self, key: &str, item: Option<Item>) {
        let stamp = self.ledger;
        self.changes.push_back(Change {
            key: key.to_string(),
            item,
            stamp,
        });
        while self.changes.len() > KEPT_CHANGES {
            if let Some(c) = self.changes.pop_front() {
                self.dropped_up_to = c.stamp;
            }
        }
    }

    fn expire(&mut self, now: Instant) {
        let over: Vec<u64> = (self.leases.iter())
            .filter(|(_, (end, _))| *end <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let held: Vec<String> = (self.keys.iter())
            .filter(|(_, i)| i.tenancy == Some(id))
            .map(|(k, _)| k.clone())
            .collect();
        if !held.is_empty() {
            self.ledger += 1;
        }
        for key in held {
            self.keys.remove(&key);
            self.record(&key, None);
        }
    }

    fn get(&self, key: &str) -> Response {
        match self.keys.get(key) {
            Some(item) => Response::new(200, shown(Some(key), item).write()),
            None => Response::new(404, object(vec![("ledger", int(self.ledger))]).write()),
        }
    }

    fn page(&self, r: &Request) -> Response {
        let under = r.param("under").unwrap_or("");
        let since = r.param("since").unwrap_or("");
        let most: usize = r
            .param("page")
            .and_then(|v| v.parse().ok())
            .unwrap_or(1000)
            .min(1000);
        let (mut items, mut bytes, mut more) = (Vec::new(), 0, false);
        let from = if since > under { since } else { under };
        let after = self
            .keys
            .range::<str, _>((Bound::Included(from), Bound::Unbounded));
        for (key, item) in after
            .take_while(|(k, _)| k.starts_with(under))
            .filter(|(k, _)| k.as_str() > since)
        {
            let item = shown(Some(key), item);
            bytes += item.write().len();
            if items.len() == most || bytes > 512 * 1024 {
                more = true;
                break;
            }
            items.push(item);
        }
        let body = object(vec![
            ("items", Json::List(items)),
            ("more", Json::Bool(more)),
            ("ledger", int(self.ledger)),
        ]);
        Response::new(200, body.write())
    }

    fn grant(&mut self, body: &[u8]) -> Response {
        let ttl = Json::parse(body).and_then(|b| b.get("ttl_ms").as_u64());
        let Some(ttl) = ttl.filter(|t| (100..=600_000).contains(t)) else {
            return Response::error(400, "ttl_ms");
        };
        self.next_lease += 1;
        let ttl = Duration::from_millis(ttl);
        self.leases
            .insert(self.next_lease, (Instant::now() + ttl, ttl));
        Response::new(200, object(vec![("tenancy", int(self.next_lease))]).write())
    }

    fn lease(&mut self, method: &str, rest: &str) -> Response {
        let id: Option<u64> = rest.split('/').next().and_then(|id| id.parse().ok());
        let Some(id) = id.filter(|id| self.leases.contains_key(id)) else {
            return Response::error(404, "no such lease");
        };
        if method == "DELETE" {
            self.end_lease(id);
        } else if let Some((end, ttl)) = self.leases.get_mut(&id) {
            *end = Instant::now() + *ttl;
        }
        Response::new(200, object(vec![("tenancy", int(id))]).write())
    }

    fn txn(&mut self, body: &[u8], limits: &Limits) -> Response {
        let Some(txn) = Json::parse(body).filter(|_| body.len() <= 64 * 1024) else {
            return Response::error(400, "malformed");
        };
        let (conditions, changes) = (txn.get("if").as_list(), txn.get("apply").as_list());
        let key_of = |c: &Json| {
            c.get("put")
                .as_text()
                .or(c.get("drop").as_text())
                .map(str::to_string)
        };
        let too_large = |c: &Json| c.get("data").write().len() > limits.value_bytes;
        let bad_key =
            |c: &Json| key_of(c).is_none_or(|k| k.is_empty() || k.len() > 200 || k.contains(' '));
        if changes.len() > limits.txn_ops
            || conditions.len() > 4 * limits.txn_ops
            || changes.iter().any(|c| too_large(c) || bad_key(c))
        {
            return Response::error(400, "beyond the limits");
        }
        if !self.writes.take(changes.len() as f64) {
            self.refused_429 += 1;
            return Response::error(429, "write rate");
        }
        let ended = |c: &Json| {
            c.get("tenancy")
                .as_u64()
                .is_some_and(|t| !self.leases.contains_key(&t))
        };
        if changes.iter().any(ended) {
            return Response::error(400, "no such lease");
        }
        let stamp = |key: &str| self.keys.get(key).map_or(0, |i| i.stamp);
        let failed: Vec<Json> = conditions
            .iter()
            .filter(|c| {
                Some(stamp(c.get("key").as_text().unwrap_or(""))) != c.get("stamp").as_u64()
            })
            .map(|c| c.get("key").clone())
            .collect();
        if !failed.is_empty() {
            let body = object(vec![
                ("failed", Json::List(failed)),
                ("ledger", int(self.ledger)),
            ]);
            return Response::new(409, body.write());
        }
        if !changes.is_empty() {
            self.ledger += 1;
        }
        for c in changes {
            let Some(key) = key_of(c) else { continue };
            if c.get("put").as_text().is_some() {
                let item = Item {
                    data: c.get("data").clone(),
                    stamp: self.ledger,
                    tenancy: c.get("tenancy").as_u64(),
                };
                self.keys.insert(key.clone(), item.clone());
                self.record(&key, Some(item));
            } else if self.keys.remove(&key).is_some() {
                self.record(&key, None);
            }
        }
        Response::new(200, object(vec![("ledger", int(self.ledger))]).write())
    }
}
