//! The state service of PROTOCOL, in memory: keys with revisions, leases, transactions and watches.

use crate::http::{Answer, Request};
use crate::json::{num, obj, parse, text, Json};
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Condvar, Mutex};
use std::time::{Duration, Instant};

struct Item {
    data: Json,
    stamp: u64,
    lease: Option<u64>,
}
struct Lease {
    ttl: Duration,
    ends: Instant,
}
struct Change {
    stamp: u64,
    key: String,
    data: Option<Json>,
}

#[derive(Default)]
struct Inner {
    items: BTreeMap<String, Item>,
    ledger: u64,
    changes: VecDeque<Change>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
}

#[derive(Default)]
pub struct State {
    inner: Mutex<Inner>,
    changed: Condvar,
    /// How slowly it answers; `None`: at once. Every request is executed at once all the same.
    pub slow: Mutex<Option<Slow>>,
    /// A spell in which the end of this job is carried out slowly.
    pub slow_end: Mutex<Option<SlowEnd>>,
}

/// A spell in which transactions take some time: the one that ends a job is carried out `delay` late, the answers to
/// all others take `answer`, and those to reads that show the job as not ended take until `more` after its end.
pub struct SlowEnd {
    pub key: String,
    pub delay: Duration,
    pub answer: Duration,
    pub more: Duration,
    pub ended: Option<Instant>,
    pub held: Vec<String>,
}

/// A spell in which some answers take a few hundred milliseconds.
pub struct Slow {
    /// The answers to reads of this key are held until the parts of a large job have been written (`for_parts`), or
    /// until this key has been written, and some time more.
    pub read: String,
    pub for_parts: bool,
    pub written: Option<Instant>,
    pub more: Duration,
    /// Time for the answer to a transaction that writes parts of a large job.
    pub parts: Duration,
    /// Time for the answer to a list of all keys.
    pub list: Duration,
    /// Longest time that any answer is held.
    pub most: Duration,
    /// What was held, and for how long.
    pub held: Vec<String>,
}

const KEPT: usize = 10_000;

impl Inner {
    fn log(&mut self, key: &str, data: Option<Json>, stamp: u64) {
        self.changes.push_back(Change {
            stamp,
            key: key.into(),
            data,
        });
        while self.changes.len() > KEPT {
            self.changes.pop_front();
        }
    }
    fn expire(&mut self) -> bool {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, l)| l.ends <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in &ended {
            self.end_lease(*id);
        }
        !ended.is_empty()
    }
    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, i)| i.lease == Some(id))
            .map(|(k, _)| k.clone())
            .collect();
        if !keys.is_empty() {
            self.ledger += 1;
        }
        for key in keys {
            self.items.remove(&key);
            let stamp = self.ledger;
            self.log(&key, None, stamp);
        }
    }
}

fn query<'a>(path: &'a str, name: &str) -> &'a str {
    let q = path.split_once('?').map_or("", |(_, q)| q);
    q.split('&')
        .find_map(|p| p.strip_prefix(name)?.strip_prefix('='))
        .unwrap_or("")
}

impl State {
    /// Ends leases whose time has passed; runs until the process ends.
    pub fn run(&self) {
        loop {
            std::thread::sleep(Duration::from_millis(10));
            if self.inner.lock().unwrap().expire() {
                self.changed.notify_all();
            }
        }
    }

    /// The leader's name by its key, and the number of the lease that the key hangs on.
    pub fn leader(&self) -> Option<(String, u64)> {
        let inner = self.inner.lock().unwrap();
        let item = inner.items.get("burlusher/leader")?;
        Some((
            item.data.get("name").str().to_string(),
            item.lease.unwrap_or(0),
        ))
    }

    /// Handles a request, and holds the answer in a slow spell.
    pub fn handle_slowly(&self, r: &Request) -> Answer {
        if self.slow_end.lock().unwrap().is_some() {
            return self.handle_end_slowly(r);
        }
        let answer = self.handle(r);
        let begun = Instant::now();
        let what = format!("{} {}", r.method, r.path);
        let is_list = r.method == "GET" && r.path.starts_with("/kv?under=burlusher/&page=");
        let is_parts =
            r.path == "/txn" && String::from_utf8_lossy(&r.body).contains(r#""put":"burlusher/s/"#);
        loop {
            let mut slow = self.slow.lock().unwrap();
            let Some(s) = slow.as_mut() else {
                return answer;
            };
            let is_read = r.method == "GET" && r.path == format!("/kv/{}", s.read);
            let is_key = r.path == "/txn"
                && String::from_utf8_lossy(&r.body).contains(&format!(r#""put":"{}""#, s.read));
            if s.written.is_none() && (if s.for_parts { is_parts } else { is_key }) {
                s.written = Some(begun);
            }
            let waited = begun.elapsed();
            let wait = match (is_read, is_parts, is_list) {
                (true, _, _) => s.written.is_none_or(|at| at.elapsed() < s.more),
                (_, true, _) => waited < s.parts,
                (_, _, true) => waited < s.list,
                _ => return answer,
            };
            if !wait || waited >= s.most {
                let status = answer.as_ref().map_or(0, |a| a.0);
                s.held.push(format!(
                    "{what}: executed at once, answered {status} after {} ms",
                    waited.as_millis()
                ));
                return answer;
            }
            drop(slow);
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    fn handle_end_slowly(&self, r: &Request) -> Answer {
        let (key, delay, answer_time, more) = match &*self.slow_end.lock().unwrap() {
            Some(s) => (s.key.clone(), s.delay, s.answer, s.more),
            None => return self.handle(r),
        };
        let begun = Instant::now();
        let body = String::from_utf8_lossy(&r.body).into_owned();
        let is_txn = r.path == "/txn" && body.contains(r#""put""#);
        let ends =
            is_txn && body.contains(&format!(r#""put":"{key}""#)) && body.contains(r#""end""#);
        let first = ends
            && self
                .slow_end
                .lock()
                .unwrap()
                .as_ref()
                .is_some_and(|s| s.ended.is_none());
        if first {
            std::thread::sleep(delay);
        }
        let answer = self.handle(r);
        let status = answer.as_ref().map_or(0, |a| a.0);
        if first {
            if let Some(s) = &mut *self.slow_end.lock().unwrap() {
                s.ended = Some(Instant::now());
                s.held.push(format!(
                    "the end of the job: carried out and answered {status} after {} ms",
                    begun.elapsed().as_millis()
                ));
            }
            return answer;
        }
        let is_read = r.method == "GET" && r.path == format!("/kv/{key}");
        let shows_live =
            is_read && status == 200 && answer.as_ref().is_some_and(|a| !a.1.contains(r#""end""#));
        if shows_live {
            while begun.elapsed() < Duration::from_millis(900) {
                std::thread::sleep(Duration::from_millis(5));
                match &*self.slow_end.lock().unwrap() {
                    Some(s) if s.ended.is_none_or(|at| at.elapsed() < more) => {}
                    _ => break,
                }
            }
            if let Some(s) = &mut *self.slow_end.lock().unwrap() {
                s.held.push(format!(
                    "{} {}: executed at once, answered {status} after {} ms",
                    r.method,
                    r.path,
                    begun.elapsed().as_millis()
                ));
            }
        } else if is_txn {
            std::thread::sleep(answer_time);
        }
        answer
    }

    /// The keys that begin with this.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.inner
            .lock()
            .unwrap()
            .items
            .keys()
            .filter(|k| k.starts_with(prefix))
            .cloned()
            .collect()
    }

    pub fn handle(&self, r: &Request) -> Answer {
        let path = r.path.split('?').next().unwrap_or("");
        let body = if r.body.is_empty() {
            Json::Null
        } else {
            parse(&r.body).unwrap_or(Json::Null)
        };
        Some(match (r.method.as_str(), path) {
            ("GET", "/kv") => self.list(&r.path),
            ("GET", "/changes") => self.changes(&r.path),
            ("GET", p) if p.starts_with("/kv/") => self.get(&p[4..]),
            ("POST", "/txn") => self.txn(&body),
            ("POST", "/leases") => self.grant(body.get("ttl_ms").u64()),
            ("POST", p) if p.starts_with("/leases/") && p.ends_with("/renew") => {
                self.renew(p[8..p.len() - 6].parse().unwrap_or(0))
            }
            ("DELETE", p) if p.starts_with("/leases/") => {
                self.inner
                    .lock()
                    .unwrap()
                    .end_lease(p[8..].parse().unwrap_or(0));
                self.changed.notify_all();
                (200, "{}".into())
            }
            _ => (400, "{}".into()),
        })
    }

    fn get(&self, key: &str) -> (u16, String) {
        let inner = self.inner.lock().unwrap();
        match inner.items.get(key) {
            None => (404, obj([("ledger", num(inner.ledger))]).write()),
            Some(i) => {
                let mut fields = vec![
                    ("key".to_string(), text(key)),
                    ("data".to_string(), i.data.clone()),
                    ("stamp".to_string(), num(i.stamp)),
                ];
                fields.extend(i.lease.map(|l| ("tenancy".to_string(), num(l))));
                (200, Json::Obj(fields).write())
            }
        }
    }

    fn list(&self, path: &str) -> (u16, String) {
        let (under, since) = (query(path, "under"), query(path, "since"));
        let page = query(path, "page")
            .parse::<usize>()
            .unwrap_or(1000)
            .min(1000);
        let inner = self.inner.lock().unwrap();
        let mut items = Vec::new();
        let mut bytes = 0;
        let mut more = false;
        for (key, i) in inner
            .items
            .iter()
            .filter(|(k, _)| k.starts_with(under) && k.as_str() > since)
        {
            let item = obj([
                ("key", text(key.as_str())),
                ("data", i.data.clone()),
                ("stamp", num(i.stamp)),
            ]);
            bytes += item.write().len();
            if items.len() >= page || bytes > 500 * 1024 {
                more = true;
                break;
            }
            items.push(item);
        }
        let answer = obj([
            ("items", Json::Arr(items)),
            ("more", Json::Bool(more)),
            ("ledger", num(inner.ledger)),
        ]);
        (200, answer.write())
    }

    fn changes(&self, path: &str) -> (u16, String) {
        let under = query(path, "under");
        let since = query(path, "since").parse::<u64>().unwrap_or(0);
        let wait = Duration::from_millis(query(path, "wait_ms").parse().unwrap_or(0));
        let end = Instant::now() + wait;
        let mut inner = self.inner.lock().unwrap();
        loop {
            if inner.changes.len() >= KEPT
                && inner.changes.front().is_some_and(|c| c.stamp > since + 1)
            {
                return (410, "{}".into());
            }
            let news: Vec<Json> = inner
                .changes
                .iter()
                .filter(|c| c.stamp > since && c.key.starts_with(under))
                .map(|c| match &c.data {
                    Some(d) => obj([
                        ("put", text(c.key.as_str())),
                        ("data", d.clone()),
                        ("stamp", num(c.stamp)),
                    ]),
                    None => obj([("drop", text(c.key.as_str())), ("stamp", num(c.stamp))]),
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !news.is_empty() || left.is_zero() {
                return (
                    200,
                    obj([("ledger", num(inner.ledger)), ("news", Json::Arr(news))]).write(),
                );
            }
            inner = self.changed.wait_timeout(inner, left).unwrap().0;
        }
    }

    fn txn(&self, body: &Json) -> (u16, String) {
        let mut inner = self.inner.lock().unwrap();
        inner.expire();
        let (conditions, apply) = (body.get("if").arr(), body.get("apply").arr());
        let no_lease = apply.iter().any(|c| {
            let lease = c.get("tenancy");
            !c.get("put").is_null() && !lease.is_null() && !inner.leases.contains_key(&lease.u64())
        });
        if no_lease {
            return (400, r#"{"error":"no such lease"}"#.into());
        }
        let too_large = apply.iter().any(|c| c.get("data").write().len() > 8 * 1024);
        if apply.len() > 32 || conditions.len() > 128 || too_large {
            return (400, r#"{"error":"beyond a limit"}"#.into());
        }
        let failed: Vec<Json> = conditions
            .iter()
            .filter(|c| {
                inner.items.get(c.get("key").str()).map_or(0, |i| i.stamp) != c.get("stamp").u64()
            })
            .map(|c| c.get("key").clone())
            .collect();
        if !failed.is_empty() {
            return (
                409,
                obj([("failed", Json::Arr(failed)), ("ledger", num(inner.ledger))]).write(),
            );
        }
        let stamp = inner.ledger + 1;
        for c in apply {
            if let Json::Str(key) = c.get("put") {
                let lease = c.get("tenancy");
                let lease = (!lease.is_null()).then(|| lease.u64());
                inner.items.insert(
                    key.clone(),
                    Item {
                        data: c.get("data").clone(),
                        stamp,
                        lease,
                    },
                );
                inner.ledger = stamp;
                inner.log(key, Some(c.get("data").clone()), stamp);
            } else if let Json::Str(key) = c.get("drop") {
                if inner.items.remove(key).is_some() {
                    inner.ledger = stamp;
                    inner.log(key, None, stamp);
                }
            }
        }
        let answer = obj([("ledger", num(inner.ledger))]).write();
        drop(inner);
        self.changed.notify_all();
        (200, answer)
    }

    fn grant(&self, ttl_ms: u64) -> (u16, String) {
        if !(100..=600_000).contains(&ttl_ms) {
            return (400, "{}".into());
        }
        let mut inner = self.inner.lock().unwrap();
        inner.next_lease += 1;
        let (id, ttl) = (inner.next_lease, Duration::from_millis(ttl_ms));
        inner.leases.insert(
            id,
            Lease {
                ttl,
                ends: Instant::now() + ttl,
            },
        );
        (200, obj([("tenancy", num(id))]).write())
    }

    fn renew(&self, id: u64) -> (u16, String) {
        let mut inner = self.inner.lock().unwrap();
        inner.expire();
        match inner.leases.get_mut(&id) {
            None => (404, "{}".into()),
            Some(lease) => {
                lease.ends = Instant::now() + lease.ttl;
                (200, obj([("tenancy", num(id))]).write())
            }
        }
    }
}
