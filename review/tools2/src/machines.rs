//! The cloud and its machines with their workers, by PROTOCOL.

use crate::http::{call, serve, Answer, Request};
use crate::json::{num, obj, parse, text, Json};
use crate::record::Record;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What the workers need to know of a job, which its user has uploaded.
#[derive(Clone)]
pub struct Job {
    pub rows: u32,
    pub cpus: f64,
    pub ram: f64,
    pub run: Duration,
    pub image: String,
    /// What a running task saves when it is stopped is ignored here: no job of the cases has checkpoints.
    pub fetch: Duration,
}

/// State shared by all machines.
pub struct Fleet {
    pub record: Arc<Record>,
    pub jobs: Mutex<BTreeMap<String, Job>>,
    /// Rows whose result is kept.
    pub done: Mutex<BTreeSet<String>>,
    pub nodes: Vec<(String, SocketAddr)>,
    pub report: Duration,
    pub lease: Duration,
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Standing {
    Fetching,
    Running,
    Ended(&'static str),
}

struct Task {
    job: Job,
    sowing: u64,
    standing: Standing,
    next: Instant,
}

struct WorkerState {
    tenure: u64,
    tally: u64,
    deed: u64,
    answered: Instant,
    tasks: BTreeMap<String, Task>,
    images: BTreeSet<String>,
    taken_at: Option<Instant>,
    changed: bool,
    gone: Option<Instant>,
    up: bool,
}

#[derive(Clone)]
pub struct Flavor {
    pub label: &'static str,
    pub cpus: f64,
    pub ram: f64,
    pub rate: f64,
    pub low: f64,
    pub startup_s: f64,
    pub zones: Vec<&'static str>,
}

pub struct Worker {
    pub id: String,
    pub flavor: Flavor,
    pub zone: String,
    pub spot: bool,
    endpoint: SocketAddr,
    created: Instant,
    fleet: Arc<Fleet>,
    state: Mutex<WorkerState>,
}

impl Worker {
    fn note(&self, what: &str, row: &str, sowing: u64) {
        self.fleet.record.line(format!(
            "{} ({}, {}): {what} {row} attempt {sowing}",
            self.id,
            self.flavor.label,
            kind(self.spot)
        ));
    }

    fn lose(&self, s: &mut WorkerState, why: &str) {
        let live = s
            .tasks
            .values()
            .filter(|t| !matches!(t.standing, Standing::Ended(_)))
            .count();
        self.fleet
            .record
            .line(format!("{}: {why}; tasks killed: {live}", self.id));
        for (row, t) in std::mem::take(&mut s.tasks) {
            if !matches!(t.standing, Standing::Ended(_)) {
                self.note(&format!("KILLED ({why})"), &row, t.sowing);
            }
        }
    }

    fn advance(&self, s: &mut WorkerState) {
        let now = Instant::now();
        if s.gone.is_none() && s.taken_at.is_some_and(|at| now >= at) {
            self.lose(s, "taken back by the cloud");
            s.gone = Some(now);
        }
        if s.gone.is_some() {
            return;
        }
        if now > s.answered + self.fleet.lease {
            self.lose(s, "lease ran out");
            s.tenure += 1;
            s.answered = now;
            s.changed = true;
        }
        let mut done = self.fleet.done.lock().unwrap();
        for (row, t) in &mut s.tasks {
            while now >= t.next && !matches!(t.standing, Standing::Ended(_)) {
                if t.standing == Standing::Fetching {
                    s.images.insert(t.job.image.clone());
                    if done.contains(row) {
                        t.standing = Standing::Ended("done");
                    } else {
                        t.standing = Standing::Running;
                        t.next += t.job.run;
                        self.note("RUNNING", row, t.sowing);
                    }
                } else {
                    t.standing = Standing::Ended("done");
                    done.insert(row.clone());
                    self.note("COMPLETED", row, t.sowing);
                }
                s.changed = true;
            }
        }
    }

    fn execute(&self, s: &mut WorkerState, orders: &[Json]) {
        let now = Instant::now();
        for order in orders {
            let (row, sowing) = (
                order.get("row").str().to_string(),
                order.get("sowing").u64(),
            );
            s.changed = true;
            match order.get("verb").str() {
                "run" => {
                    let known = s.tasks.get(&row);
                    if known.is_some_and(|t| t.sowing == sowing) {
                        continue;
                    }
                    let busy = known.is_some_and(|t| !matches!(t.standing, Standing::Ended(_)));
                    let name = row.split('/').next().unwrap_or("").to_string();
                    let index: u32 = row
                        .split('/')
                        .nth(1)
                        .and_then(|i| i.parse().ok())
                        .unwrap_or(u32::MAX);
                    let job = self.fleet.jobs.lock().unwrap().get(&name).cloned();
                    let used = s
                        .tasks
                        .values()
                        .filter(|t| !matches!(t.standing, Standing::Ended(_)));
                    let (cpus, ram) =
                        used.fold((0.0, 0.0), |a, t| (a.0 + t.job.cpus, a.1 + t.job.ram));
                    let fits = |j: &Job| {
                        cpus + j.cpus <= self.flavor.cpus + 1e-6
                            && ram + j.ram <= self.flavor.ram + 1e-6
                    };
                    let standing = match &job {
                        _ if busy => continue,
                        Some(j) if index < j.rows && fits(j) => Standing::Fetching,
                        Some(j) if index < j.rows => Standing::Ended("full"),
                        _ => Standing::Ended("no_such"),
                    };
                    let job = job.unwrap_or(Job {
                        rows: 0,
                        cpus: 0.0,
                        ram: 0.0,
                        run: Duration::ZERO,
                        image: String::new(),
                        fetch: Duration::ZERO,
                    });
                    let fetch = if s.images.contains(&job.image) {
                        Duration::ZERO
                    } else {
                        job.fetch
                    };
                    if let Standing::Ended(why) = standing {
                        self.note(&format!("refused ({why})"), &row, sowing);
                    }
                    s.tasks.insert(
                        row,
                        Task {
                            job,
                            sowing,
                            standing,
                            next: now + fetch,
                        },
                    );
                }
                "kill" => {
                    if let Some(t) = s.tasks.get_mut(&row) {
                        if t.sowing == sowing && !matches!(t.standing, Standing::Ended(_)) {
                            t.standing = Standing::Ended("stopped");
                            self.note("STOPPED by command", &row, sowing);
                        }
                    }
                }
                "clear" => {
                    if s.tasks.get(&row).is_some_and(|t| {
                        t.sowing == sowing && matches!(t.standing, Standing::Ended(_))
                    }) {
                        s.tasks.remove(&row);
                    }
                }
                _ => {}
            }
        }
        self.advance(s);
    }

    fn report(&self, s: &mut WorkerState) -> String {
        s.tally += 1;
        let rows = s.tasks.iter().map(|(row, t)| {
            let (standing, cause) = match t.standing {
                Standing::Fetching => ("fetching", None),
                Standing::Running => ("running", None),
                Standing::Ended(cause) => ("ended", Some(cause)),
            };
            let mut fields = vec![
                ("row".to_string(), text(row.as_str())),
                ("sowing".to_string(), num(t.sowing)),
                ("standing".to_string(), text(standing)),
            ];
            fields.extend(cause.map(|c| ("cause".to_string(), text(c))));
            Json::Obj(fields)
        });
        let left = s
            .taken_at
            .map(|at| at.saturating_duration_since(Instant::now()).as_secs_f64());
        obj([
            ("drone", text(self.id.as_str())),
            ("endpoint", text(self.endpoint.to_string())),
            ("breed", text(self.flavor.label)),
            ("parcel", text(self.zone.as_str())),
            ("gleanable", Json::Bool(self.spot)),
            ("tenure", num(s.tenure)),
            ("tally", num(s.tally)),
            ("deed", num(s.deed)),
            ("reclaim_s", left.map_or(Json::Null, num)),
            ("rows", Json::Arr(rows.collect())),
        ])
        .write()
    }

    fn handle(&self, r: &Request) -> Answer {
        let mut s = self.state.lock().unwrap();
        self.advance(&mut s);
        if s.gone.is_some() || !s.up {
            return None;
        }
        if r.method == "GET" && r.path == "/status" {
            return Some((200, self.report(&mut s)));
        }
        let body = parse(&r.body)?;
        if body.get("deed").is_null() || body.get("tenure").is_null() {
            return Some((400, "{}".into()));
        }
        if body.get("deed").u64() < s.deed || body.get("tenure").u64() != s.tenure {
            return Some((409, self.report(&mut s)));
        }
        if body.get("deed").u64() > s.deed {
            s.deed = body.get("deed").u64();
            s.changed = true;
        }
        self.execute(&mut s, body.get("orders").arr());
        Some((200, self.report(&mut s)))
    }

    fn run(&self) {
        {
            let mut s = self.state.lock().unwrap();
            s.up = true;
            s.answered = Instant::now();
        }
        self.fleet.record.line(format!(
            "{} ({}, {}) is up",
            self.id,
            self.flavor.label,
            kind(self.spot)
        ));
        let mut node = self.endpoint.port() as usize % self.fleet.nodes.len();
        let mut last = Instant::now() - self.fleet.report;
        let mut interval = self.fleet.report;
        let mut seed = u64::from(self.endpoint.port());
        let mut last_status = 0;
        loop {
            std::thread::sleep(Duration::from_millis(20));
            let body = {
                let mut s = self.state.lock().unwrap();
                self.advance(&mut s);
                if s.gone.is_some() {
                    return;
                }
                let due = last.elapsed() >= interval
                    || (s.changed && last.elapsed() >= Duration::from_millis(500));
                if !due {
                    continue;
                }
                s.changed = false;
                (self.report(&mut s), s.tenure)
            };
            seed = seed
                .wrapping_mul(6364136223846793005)
                .wrapping_add(1442695040888963407);
            interval = self
                .fleet
                .report
                .mul_f64(0.75 + (seed >> 40) as f64 / (1u64 << 24) as f64 / 2.0);
            last = Instant::now();
            let (name, addr) = &self.fleet.nodes[node];
            let answer = call(*addr, "POST", "/hello", &body.0, Duration::from_secs(4));
            let status = answer.as_ref().map_or(0, |a| a.0);
            if status != last_status {
                let bytes = body.0.len();
                self.fleet.record.line(format!(
                    "{}: report of {bytes} bytes to {name} answered {status}",
                    self.id
                ));
                last_status = status;
            }
            match answer {
                Ok((200, answer)) => {
                    let Some(answer) = parse(&answer) else {
                        continue;
                    };
                    let mut s = self.state.lock().unwrap();
                    self.advance(&mut s);
                    let deed = answer.get("deed").u64();
                    if deed < s.deed || s.tenure != body.1 || s.gone.is_some() {
                        continue;
                    }
                    if deed > s.deed {
                        s.deed = deed;
                        s.changed = true;
                    }
                    s.answered = last;
                    self.execute(&mut s, answer.get("orders").arr());
                }
                Ok((421, answer)) => {
                    let foreman = parse(&answer)
                        .map(|a| a.get("foreman").str().to_string())
                        .unwrap_or_default();
                    let to = self
                        .fleet
                        .nodes
                        .iter()
                        .position(|n| n.0 == foreman)
                        .filter(|n| *n != node);
                    match to {
                        Some(to) => node = to,
                        None => {
                            std::thread::sleep(Duration::from_secs(1));
                            node = (node + 1) % self.fleet.nodes.len();
                        }
                    }
                    last = Instant::now() - self.fleet.report * 2;
                }
                _ => {
                    std::thread::sleep(Duration::from_secs(1));
                    node = (node + 1) % self.fleet.nodes.len();
                    last = Instant::now() - self.fleet.report * 2;
                }
            }
        }
    }

    /// Whether the machine is up, and what its live tasks take.
    pub fn used(&self) -> Option<(f64, f64)> {
        let mut s = self.state.lock().unwrap();
        self.advance(&mut s);
        if !s.up || s.gone.is_some() {
            return None;
        }
        let live = s
            .tasks
            .values()
            .filter(|t| !matches!(t.standing, Standing::Ended(_)));
        Some(live.fold((0.0, 0.0), |a, t| (a.0 + t.job.cpus, a.1 + t.job.ram)))
    }

    /// How many tasks of the job are on the machine.
    pub fn count(&self, job: &str) -> usize {
        let s = self.state.lock().unwrap();
        let prefix = format!("{job}/");
        let live = |(row, t): &(&String, &Task)| {
            row.starts_with(&prefix) && !matches!(t.standing, Standing::Ended(_))
        };
        if s.gone.is_some() {
            return 0;
        }
        s.tasks.iter().filter(live).count()
    }

    /// Whether a task of the job is on the machine.
    pub fn has(&self, job: &str) -> bool {
        self.count(job) > 0
    }
}

fn kind(spot: bool) -> &'static str {
    if spot {
        "spot"
    } else {
        "ordinary"
    }
}

/// The cloud. Lists lag by `lag`.
pub struct Cloud {
    fleet: Arc<Fleet>,
    flavors: Vec<Flavor>,
    boot: Duration,
    lag: Duration,
    /// How many more machines there are, by type, zone and kind.
    pub room: Mutex<BTreeMap<(String, String, bool), u32>>,
    machines: Mutex<BTreeMap<String, Arc<Worker>>>,
    hires: Mutex<BTreeMap<String, String>>,
}

impl Cloud {
    pub fn new(
        fleet: Arc<Fleet>,
        flavors: Vec<Flavor>,
        room: &[(&str, &str, bool, u32)],
        boot: Duration,
    ) -> Cloud {
        let room = room
            .iter()
            .map(|(t, z, s, n)| ((t.to_string(), z.to_string(), *s), *n))
            .collect();
        Cloud {
            fleet,
            flavors,
            boot,
            lag: Duration::from_secs(3),
            room: Mutex::new(room),
            machines: Mutex::default(),
            hires: Mutex::default(),
        }
    }

    pub fn machines(&self) -> Vec<Arc<Worker>> {
        self.machines.lock().unwrap().values().cloned().collect()
    }

    /// Takes all spot machines of a type back with a notice, and has no more spot machines.
    pub fn take_spots(&self, label: &str, notice: Duration) -> usize {
        self.room
            .lock()
            .unwrap()
            .iter_mut()
            .for_each(|((_, _, spot), n)| {
                if *spot {
                    *n = 0;
                }
            });
        let spots: Vec<Arc<Worker>> = self
            .machines()
            .into_iter()
            .filter(|m| m.spot && m.flavor.label == label)
            .collect();
        for m in &spots {
            let mut s = m.state.lock().unwrap();
            s.taken_at = Some(Instant::now() + notice);
            s.changed = true;
        }
        spots.len()
    }

    pub fn handle(self: &Arc<Self>, r: &Request) -> Answer {
        let path = r.path.split('?').next().unwrap_or("");
        Some(match (r.method.as_str(), path) {
            ("GET", "/flavors") => (200, self.flavors()),
            ("GET", "/hosts") => (200, self.list(&r.path)),
            ("POST", "/hosts") => self.hire(&parse(&r.body)?),
            ("POST", "/hosts/delete") => self.delete(&parse(&r.body)?),
            _ => (400, "{}".into()),
        })
    }

    fn flavors(&self) -> String {
        let flavors = self.flavors.iter().map(|f| {
            obj([
                ("label", text(f.label)),
                ("cpus", num(f.cpus)),
                ("accelerators", num("0.0")),
                ("ram_gb", num(f.ram)),
                ("local_gb", num("60.0")),
                ("fetch_gb_per_s", num("0.5")),
                ("rate", num(f.rate)),
                ("low_price", num(f.low)),
                ("startup_s", num(f.startup_s)),
                (
                    "parcels",
                    Json::Arr(f.zones.iter().map(|z| text(*z)).collect()),
                ),
            ])
        });
        obj([("breeds", Json::Arr(flavors.collect()))]).write()
    }

    fn list(&self, path: &str) -> String {
        let since = path
            .split_once("since=")
            .map_or("", |(_, s)| s.split('&').next().unwrap_or(""));
        let now = Instant::now();
        let machines = self.machines();
        let shown = machines.iter().filter(|m| {
            let s = m.state.lock().unwrap();
            m.id.as_str() > since
                && m.created + self.lag <= now
                && s.gone.is_none_or(|at| at + self.lag > now)
        });
        let items = shown.take(500).map(|m| {
            let up = m.created + self.boot + self.lag <= now;
            obj([
                ("name_id", text(m.id.as_str())),
                ("endpoint", text(m.endpoint.to_string())),
                ("breed", text(m.flavor.label)),
                ("parcel", text(m.zone.as_str())),
                ("gleanable", Json::Bool(m.spot)),
                ("standing", text(if up { "running" } else { "starting" })),
                ("age_s", num((now - m.created - self.lag).as_secs_f64())),
            ])
        });
        obj([
            ("drones", Json::Arr(items.collect())),
            ("more", Json::Bool(false)),
        ])
        .write()
    }

    fn hire(self: &Arc<Self>, body: &Json) -> (u16, String) {
        let name = body.get("hire").str().to_string();
        let mut hires = self.hires.lock().unwrap();
        if let Some(answer) = hires.get(&name) {
            return (200, answer.clone());
        }
        let (breed, zone, spot) = (
            body.get("breed").str(),
            body.get("parcel").str(),
            body.get("gleanable").bool(),
        );
        let Some(flavor) = self.flavors.iter().find(|f| f.label == breed) else {
            return (400, "{}".into());
        };
        let mut room = self.room.lock().unwrap();
        let left = room.entry((breed.into(), zone.into(), spot)).or_default();
        let count = (body.get("count").u64() as u32).min(*left);
        if count == 0 {
            return (503, r#"{"error":"no capacity"}"#.into());
        }
        *left -= count;
        let mut ids = Vec::new();
        for _ in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port for a worker");
            let mut machines = self.machines.lock().unwrap();
            let id = format!("i-{:06}", machines.len() + 1);
            let now = Instant::now();
            let worker = Arc::new(Worker {
                id: id.clone(),
                flavor: flavor.clone(),
                zone: zone.into(),
                spot,
                endpoint: listener.local_addr().expect("its address"),
                created: now,
                fleet: self.fleet.clone(),
                state: Mutex::new(WorkerState {
                    tenure: 1,
                    tally: 0,
                    deed: 0,
                    answered: now + Duration::from_secs(3600),
                    tasks: BTreeMap::new(),
                    images: BTreeSet::new(),
                    taken_at: None,
                    changed: false,
                    gone: None,
                    up: false,
                }),
            });
            machines.insert(id.clone(), worker.clone());
            self.fleet.record.line(format!(
                "cloud: {id} rented ({breed}, {zone}, {})",
                kind(spot)
            ));
            ids.push(text(id));
            let server = worker.clone();
            serve(listener, Arc::new(move |r| server.handle(r)));
            let boot = self.boot;
            std::thread::spawn(move || {
                std::thread::sleep(boot);
                worker.run();
            });
        }
        let answer = obj([("drones", Json::Arr(ids))]).write();
        hires.insert(name, answer.clone());
        (200, answer)
    }

    fn delete(&self, body: &Json) -> (u16, String) {
        for id in body.get("drones").arr() {
            let machine = self.machines.lock().unwrap().get(id.str()).cloned();
            if let Some(m) = machine {
                let mut s = m.state.lock().unwrap();
                if s.gone.is_none() {
                    m.lose(&mut s, "deleted");
                    s.gone = Some(Instant::now());
                    self.fleet.record.line(format!("cloud: {} deleted", m.id));
                    let mut room = self.room.lock().unwrap();
                    let key = (m.flavor.label.to_string(), m.zone.clone(), m.spot);
                    if s.taken_at.is_none() {
                        *room.entry(key).or_default() += 1;
                    }
                }
            }
        }
        (200, "{}".into())
    }
}
