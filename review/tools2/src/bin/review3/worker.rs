//! A worker of PROTOCOL, "Workers -> controller nodes" and "Controller nodes -> workers".

use crate::cloud::Breed;
use crate::http::{self, Client, Request, Response};
use crate::json::{decimal, int, object, text, Json};
use crate::world::World;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A request body may be at most 64 KiB.
pub const MAX_BODY: usize = 64 * 1024;

#[derive(Clone, Copy, PartialEq)]
enum Standing {
    Fetching,
    Running,
    Ended,
}

struct Task {
    standing: Standing,
    cause: &'static str,
    next: Instant,
    cpus: f64,
    ram: f64,
    run_s: f64,
}

struct Inner {
    tenure: u64,
    tally: u64,
    deed: u64,
    /// When the last answered report was sent, or the session began.
    lease_from: Instant,
    /// Tasks by row and attempt.
    tasks: BTreeMap<(String, u64), Task>,
    images: BTreeMap<String, Instant>,
    changed: bool,
    deed_reported: Option<Instant>,
    gone: bool,
    /// Every task that it starts fails.
    faulty: bool,
    failed: u64,
    /// When the cloud takes the machine away, once it has given notice.
    reclaim_at: Option<Instant>,
    largest_report: usize,
    answered: u64,
    refused: BTreeMap<u16, u64>,
}

pub struct Worker {
    pub id: String,
    pub addr: SocketAddr,
    pub breed: String,
    pub zone: String,
    pub cheap: bool,
    pub cpus: f64,
    ram: f64,
    fetch_gb_per_s: f64,
    world: Arc<World>,
    inner: Mutex<Inner>,
}

/// What a worker saw of its reports.
pub struct Seen {
    pub largest_report: usize,
    pub answered: u64,
    pub refused: BTreeMap<u16, u64>,
    pub tenure: u64,
    pub live: usize,
    pub free_cpus: f64,
    pub free_ram: f64,
}

impl Worker {
    pub fn new(
        id: &str,
        at: &TcpListener,
        breed: &Breed,
        zone: &str,
        cheap: bool,
        world: Arc<World>,
    ) -> Arc<Worker> {
        Arc::new(Worker {
            id: id.to_string(),
            addr: at.local_addr().expect("bound"),
            breed: breed.name.to_string(),
            zone: zone.to_string(),
            cheap,
            cpus: breed.cpus,
            ram: breed.ram,
            fetch_gb_per_s: breed.fetch_gb_per_s,
            world,
            inner: Mutex::new(Inner {
                tenure: 1,
                tally: 0,
                deed: 0,
                lease_from: Instant::now(),
                tasks: BTreeMap::new(),
                images: BTreeMap::new(),
                changed: false,
                deed_reported: None,
                gone: false,
                faulty: false,
                failed: 0,
                reclaim_at: None,
                largest_report: 0,
                answered: 0,
                refused: BTreeMap::new(),
            }),
        })
    }

    pub fn seen(&self) -> Seen {
        let inner = self.inner.lock().unwrap();
        let live = inner
            .tasks
            .values()
            .filter(|t| t.standing != Standing::Ended);
        let used: f64 = live.clone().map(|t| t.cpus).sum();
        let used_ram: f64 = live.clone().map(|t| t.ram).sum();
        Seen {
            largest_report: inner.largest_report,
            answered: inner.answered,
            refused: inner.refused.clone(),
            tenure: inner.tenure,
            live: live.count(),
            free_cpus: self.cpus - used,
            free_ram: self.ram - used_ram,
        }
    }

    /// The machine is gone, and everything on it.
    pub fn end(&self, why: &str) {
        let mut inner = self.inner.lock().unwrap();
        if !inner.gone {
            self.drop_tasks(&mut inner, "gone");
            inner.gone = true;
            self.world.note(&format!("{}: gone, {why}", self.id));
        }
    }

    /// From now on, every task that the machine starts fails.
    pub fn make_faulty(&self) {
        self.inner.lock().unwrap().faulty = true;
    }

    /// The cloud gives notice that it takes the machine away.
    pub fn notice(&self, after: Duration) {
        let mut inner = self.inner.lock().unwrap();
        inner.reclaim_at = Some(Instant::now() + after);
        inner.changed = true;
    }

    /// Whether the cloud has taken the machine away, or is about to.
    pub fn is_taken(&self) -> bool {
        let inner = self.inner.lock().unwrap();
        inner.gone || inner.reclaim_at.is_some()
    }

    fn drop_tasks(&self, inner: &mut Inner, why: &str) {
        for ((name, _), task) in std::mem::take(&mut inner.tasks) {
            if task.standing == Standing::Running {
                self.world.task_off(&name, &self.id, why);
            }
        }
    }

    fn advance(&self, inner: &mut Inner) {
        let now = Instant::now();
        if inner.reclaim_at.is_some_and(|at| now >= at) && !inner.gone {
            self.drop_tasks(inner, "gone");
            inner.gone = true;
            self.world
                .note(&format!("{}: taken back by the cloud", self.id));
        }
        if inner.gone {
            return;
        }
        if now.duration_since(inner.lease_from).as_secs_f64() > self.world.lease_s {
            let live = inner
                .tasks
                .values()
                .filter(|t| t.standing != Standing::Ended)
                .count();
            self.drop_tasks(inner, "lease");
            inner.tenure += 1;
            inner.lease_from = now;
            inner.changed = true;
            let line = format!(
                "{}: LEASE OVER, {live} tasks killed, tenure {}",
                self.id, inner.tenure
            );
            self.world.note(&line);
        }
        for ((name, _), task) in &mut inner.tasks {
            while now >= task.next && task.standing != Standing::Ended {
                let (job, row) = name.split_once('/').unwrap_or((name, "0"));
                if task.standing == Standing::Fetching {
                    self.world.task_on(name, &self.id);
                    task.standing = Standing::Running;
                    let kept = self.world.has_result(job, row.parse().unwrap_or(0));
                    let run_s = if kept { 0.0 } else { task.run_s };
                    task.next += Duration::from_secs_f64(run_s);
                } else if inner.faulty {
                    task.standing = Standing::Ended;
                    task.cause = "error";
                    inner.failed += 1;
                    self.world.task_off(name, &self.id, "error");
                    self.world.note(&format!("{}: {name} fails", self.id));
                } else {
                    task.standing = Standing::Ended;
                    task.cause = "done";
                    self.world.task_off(name, &self.id, "done");
                }
                inner.changed = true;
            }
        }
    }

    fn report(&self, inner: &mut Inner) -> String {
        inner.tally += 1;
        let rows = inner.tasks.iter().map(|((name, sowing), t)| {
            let standing = match t.standing {
                Standing::Fetching => "fetching",
                Standing::Running => "running",
                Standing::Ended => "ended",
            };
            let mut fields = vec![
                ("row", text(name)),
                ("sowing", int(*sowing)),
                ("standing", text(standing)),
            ];
            if t.standing == Standing::Ended {
                fields.push(("cause", text(t.cause)));
            }
            object(fields)
        });
        let rows = Json::List(rows.collect());
        let reclaim_s = inner.reclaim_at.map_or(Json::Null, |at| {
            decimal(at.saturating_duration_since(Instant::now()).as_secs_f64())
        });
        let report = object(vec![
            ("drone", text(&self.id)),
            ("endpoint", text(&self.addr.to_string())),
            ("breed", text(&self.breed)),
            ("parcel", text(&self.zone)),
            ("gleanable", Json::Bool(self.cheap)),
            ("tenure", int(inner.tenure)),
            ("tally", int(inner.tally)),
            ("deed", int(inner.deed)),
            ("reclaim_s", reclaim_s),
            ("rows", rows),
        ])
        .write();
        inner.largest_report = inner.largest_report.max(report.len());
        report
    }

    fn raise(&self, inner: &mut Inner, deed: u64) {
        if deed > inner.deed {
            inner.deed = deed;
            // A higher token counts as a change at most once in half of the lease.
            let half = Duration::from_secs_f64(self.world.lease_s / 2.0);
            if inner.deed_reported.is_none_or(|at| at.elapsed() >= half) {
                inner.deed_reported = Some(Instant::now());
                inner.changed = true;
            }
        }
    }

    fn execute(&self, inner: &mut Inner, orders: &[Json]) {
        for order in orders {
            let (Some(row), Some(sowing)) =
                (order.get("row").as_text(), order.get("sowing").as_u64())
            else {
                continue;
            };
            let attempt = (row.to_string(), sowing);
            match order.get("verb").as_text() {
                Some("run") => self.run(inner, attempt),
                Some("kill") => {
                    let live = |t: &&mut Task| t.standing != Standing::Ended;
                    if let Some(task) = inner.tasks.get_mut(&attempt).filter(live) {
                        if task.standing == Standing::Running {
                            self.world.task_off(row, &self.id, "stopped");
                        }
                        task.standing = Standing::Ended;
                        task.cause = "stopped";
                        inner.changed = true;
                    }
                }
                Some("clear") => {
                    if inner
                        .tasks
                        .get(&attempt)
                        .is_some_and(|t| t.standing == Standing::Ended)
                    {
                        inner.tasks.remove(&attempt);
                        inner.changed = true;
                    }
                }
                _ => {}
            }
        }
    }

    /// Starts a task, or refuses to; without effect if the worker holds this attempt in any state.
    fn run(&self, inner: &mut Inner, attempt: (String, u64)) {
        if inner.tasks.contains_key(&attempt) {
            return;
        }
        let row = attempt.0.as_str();
        let id = row.split_once('/').map(|(job, _)| job);
        let job = id.and_then(|id| self.world.jobs.lock().unwrap().get(id).cloned());
        let live = || {
            inner
                .tasks
                .iter()
                .filter(|(_, t)| t.standing != Standing::Ended)
        };
        let used = live().fold((0.0, 0.0), |sum, (_, t)| (sum.0 + t.cpus, sum.1 + t.ram));
        let is_busy = live().any(|((other, _), _)| other == row);
        let now = Instant::now();
        let mut task = Task {
            standing: Standing::Ended,
            cause: "no_such",
            next: now,
            cpus: 0.0,
            ram: 0.0,
            run_s: 0.0,
        };
        if let Some(job) = job {
            (task.cpus, task.ram, task.run_s) = (job.cpus, job.ram, job.run_s);
            let fits = used.0 + job.cpus <= self.cpus + 1e-6 && used.1 + job.ram <= self.ram + 1e-6;
            if is_busy {
                task.cause = "busy";
            } else if !fits {
                task.cause = "full";
            } else {
                task.cause = "";
                task.standing = Standing::Fetching;
                let fetch = Duration::from_secs_f64(job.image_gb / self.fetch_gb_per_s);
                task.next = *inner.images.entry(job.image).or_insert(now + fetch);
                task.next = task.next.max(now);
            }
        }
        inner.tasks.insert(attempt, task);
        inner.changed = true;
    }

    fn handle(&self, r: &Request) -> Option<Response> {
        let mut inner = self.inner.lock().unwrap();
        self.advance(&mut inner);
        if inner.gone {
            return None;
        }
        let mut status = 200;
        match (r.method.as_str(), r.path.as_str()) {
            ("GET", "/status") => {}
            ("POST", "/do") => {
                let body = Json::parse(&r.body).unwrap_or(Json::Null);
                let (Some(deed), Some(tenure)) =
                    (body.get("deed").as_u64(), body.get("tenure").as_u64())
                else {
                    return Some(Response::error(400, "deed or tenure"));
                };
                let stale = deed < inner.deed || tenure != inner.tenure;
                self.raise(&mut inner, deed);
                if stale {
                    status = 409;
                } else {
                    self.execute(&mut inner, body.get("orders").as_list());
                }
            }
            _ => return Some(Response::error(404, "no such path")),
        }
        self.advance(&mut inner);
        let report = self.report(&mut inner);
        Some(Response::new(status, report))
    }

    fn reports(&self) {
        let nodes = self.world.nodes.len();
        let mut spread = self
            .id
            .bytes()
            .fold(7u64, |h, b| h.wrapping_mul(31).wrapping_add(u64::from(b)));
        let mut node = (spread % nodes as u64) as usize;
        let mut client = Client::new(self.world.nodes[node].1);
        let mut last = Instant::now() - Duration::from_secs(60);
        let mut interval = self.world.report_s;
        loop {
            std::thread::sleep(Duration::from_millis(20));
            let (body, tenure, sent) = {
                let mut inner = self.inner.lock().unwrap();
                self.advance(&mut inner);
                if inner.gone {
                    return;
                }
                let waited = last.elapsed().as_secs_f64();
                if waited < 0.5 || (waited < interval && !inner.changed) {
                    continue;
                }
                inner.changed = false;
                (self.report(&mut inner), inner.tenure, Instant::now())
            };
            last = sent;
            spread = spread
                .wrapping_mul(6364136223846793005)
                .wrapping_add(1442695040888963407);
            interval =
                self.world.report_s * (0.75 + (spread >> 33) as f64 / (1u64 << 31) as f64 * 0.5);
            let answer = client.call("POST", "/hello", &body, Duration::from_secs(4));
            let mut foreman = None;
            {
                let mut inner = self.inner.lock().unwrap();
                self.advance(&mut inner);
                let status = answer.as_ref().map_or(0, |a| a.status);
                if status == 200 {
                    let body = answer
                        .and_then(|a| Json::parse(&a.body))
                        .unwrap_or(Json::Null);
                    let deed = body.get("deed").as_u64().unwrap_or(0);
                    if deed >= inner.deed && inner.tenure == tenure && !inner.gone {
                        inner.lease_from = sent;
                        inner.answered += 1;
                        self.raise(&mut inner, deed);
                        self.execute(&mut inner, body.get("orders").as_list());
                    }
                    continue;
                }
                *inner.refused.entry(status).or_default() += 1;
                if body.len() > MAX_BODY || (status != 421 && status != 503) {
                    let (at, size) = (&self.world.nodes[node].0, body.len());
                    self.world.note(&format!(
                        "{}: report of {size} bytes to {at}: {status}",
                        self.id
                    ));
                }
                if let Some(a) = answer.filter(|a| a.status == 421) {
                    let name = Json::parse(&a.body).unwrap_or(Json::Null);
                    let name = name.get("foreman").as_text().unwrap_or("").to_string();
                    foreman = self
                        .world
                        .nodes
                        .iter()
                        .position(|n| n.0 == name)
                        .filter(|n| *n != node);
                }
            }
            match foreman {
                Some(other) => node = other,
                None => {
                    std::thread::sleep(Duration::from_secs(1));
                    node = (node + 1) % nodes;
                }
            }
            client = Client::new(self.world.nodes[node].1);
            last = Instant::now() - Duration::from_secs(60);
        }
    }
}

/// Boots a machine: its worker reports, and answers, once the boot time is over.
pub fn boot(worker: Arc<Worker>, listener: TcpListener, after: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(after);
        worker.inner.lock().unwrap().lease_from = Instant::now();
        if worker.inner.lock().unwrap().gone {
            return;
        }
        worker.world.note(&format!(
            "{}: up, {} in {}",
            worker.id, worker.breed, worker.zone
        ));
        let serving = worker.clone();
        http::serve(listener, Arc::new(move |r| serving.handle(&r)));
        worker.reports();
    });
}
