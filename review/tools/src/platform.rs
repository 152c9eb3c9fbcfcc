//! Stand-in machines with their workers, and the cloud that rents them, written from PROTOCOL ("Workers -> controller
//! nodes", "Controller nodes -> workers", "Controller nodes -> cloud").

use burlusher::http::{self, Client, Request, Response};
use burlusher::job::JobSpec;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time to fetch an image that the machine does not have.
const FETCH: Duration = Duration::from_millis(300);
/// PROTOCOL: "never more often than every half second".
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// PROTOCOL: "no response within 4 s".
const REPORT_TIMEOUT: Duration = Duration::from_secs(4);

/// A machine type.
#[derive(Clone)]
pub struct Breed {
    pub label: &'static str,
    pub cpus: f64,
    pub ram_gb: f64,
    pub rate: f64,
    pub low_price: f64,
    pub startup: Duration,
    /// Numbers of ordinary and of spot machines in each zone.
    pub count: (u32, u32),
    /// The only zone that has machines of this type, if not all have.
    pub parcel: Option<&'static str>,
}

/// What the workers did, and what of it breaks a rule.
#[derive(Default)]
pub struct Records {
    /// Machines that a task is on: it holds its image there and has not ended.
    on: BTreeMap<String, BTreeSet<String>>,
    completed: BTreeSet<String>,
    /// When the lease of each worker runs out.
    leases: BTreeMap<String, Instant>,
    pub starts: u64,
    /// Tasks that were on a machine and were killed with it, or when its worker's lease ran out.
    pub lost: u64,
    /// Times that a worker's lease ran out.
    pub leases_run_out: u64,
    /// Reports that got no answer with status 200, by status; 0 for none.
    pub refused_reports: BTreeMap<u16, u64>,
    /// Length of the longest report.
    pub longest_report: usize,
    pub violations: Vec<String>,
}

impl Records {
    fn start(&mut self, row: &str, machine: &str) {
        let now = Instant::now();
        self.starts += 1;
        let on = self.on.entry(row.into()).or_default();
        for other in on.iter() {
            // A worker kills its tasks when its lease runs out.
            let lease = self.leases.get(other).map_or(now, |end| *end);
            let left = lease.saturating_duration_since(now).as_secs_f64();
            if left > 0.0 {
                let text = format!(
                    "ran_twice: {row} starts on {machine} while it is on {other}, whose lease runs for another {left:.2} s"
                );
                self.violations.push(text);
            }
        }
        on.insert(machine.into());
    }

    fn end(&mut self, row: &str, machine: &str) {
        if let Some(on) = self.on.get_mut(row) {
            on.remove(machine);
            if on.is_empty() {
                self.on.remove(row);
            }
        }
    }

    pub fn tasks_on_machines(&self) -> usize {
        self.on.len()
    }

    /// Returns how many tasks of a job are on machines.
    pub fn on_machines(&self, job: &str) -> usize {
        self.on.keys().filter(|row| is_of(row, job)).count()
    }

    /// Returns how many tasks of a job have completed.
    pub fn completed(&self, job: &str) -> usize {
        self.completed.iter().filter(|row| is_of(row, job)).count()
    }
}

fn is_of(row: &str, job: &str) -> bool {
    row.split_once('/').is_some_and(|(of, _)| of == job)
}

/// What all machines share.
pub struct Platform {
    /// Descriptions of the jobs, which their users upload, with the run time of their tasks.
    pub jobs: Mutex<BTreeMap<String, (JobSpec, Duration)>>,
    pub records: Mutex<Records>,
    pub nodes: Vec<(String, SocketAddrV4)>,
    pub report: Duration,
    pub lease: Duration,
    pub zones: Vec<&'static str>,
    pub breeds: Vec<Breed>,
    /// Time that a request to the cloud takes.
    cloud_latency: Mutex<Duration>,
    /// Zone whose workers reach no controller, while direct commands reach them.
    mute: Mutex<Option<&'static str>>,
    cloud: Mutex<CloudState>,
}

#[derive(Default)]
struct CloudState {
    machines: BTreeMap<String, (Arc<Machine>, Instant)>,
    hires: BTreeMap<String, Vec<String>>,
    last: u32,
}

#[derive(Clone, Copy, PartialEq)]
enum Standing {
    Fetching,
    Running,
    Ended,
}

struct Task {
    standing: Standing,
    cause: &'static str,
    until: Instant,
    run: Duration,
    cpus: f64,
    ram: f64,
}

struct WorkerState {
    tenure: u64,
    tally: u64,
    deed: u64,
    /// When the last answered report was sent, or the session began.
    renewed: Instant,
    /// By task and attempt.
    tasks: BTreeMap<(String, u64), Task>,
    images: BTreeSet<String>,
    changed: bool,
    gone: bool,
}

struct Machine {
    id: String,
    endpoint: SocketAddrV4,
    breed: Breed,
    parcel: &'static str,
    spot: bool,
    state: Mutex<WorkerState>,
}

fn reply(status: u16, body: &Value) -> Response {
    Response::new(status, body.to_string().into_bytes())
}

impl Machine {
    fn advance(&self, state: &mut WorkerState, platform: &Platform) {
        let now = Instant::now();
        let mut records = platform.records.lock().unwrap();
        if now > state.renewed + platform.lease {
            records.leases_run_out += 1;
            self.lose_tasks(state, &mut records);
            state.tenure += 1;
            state.renewed = now;
            state.changed = true;
        }
        (records.leases).insert(self.id.clone(), state.renewed + platform.lease);
        for ((row, _), task) in &mut state.tasks {
            if task.standing == Standing::Fetching && now >= task.until {
                task.standing = Standing::Running;
                // The result of a completed task is kept.
                let known = records.completed.contains(row);
                task.until = if known { now } else { now + task.run };
                records.start(row, &self.id);
                state.changed = true;
            }
            if task.standing == Standing::Running && now >= task.until {
                task.standing = Standing::Ended;
                task.cause = "done";
                records.end(row, &self.id);
                records.completed.insert(row.clone());
                state.changed = true;
            }
        }
    }

    /// All tasks are killed and forgotten.
    fn lose_tasks(&self, state: &mut WorkerState, records: &mut Records) {
        for ((row, _), task) in std::mem::take(&mut state.tasks) {
            if task.standing == Standing::Running {
                records.lost += 1;
                records.end(&row, &self.id);
            }
        }
    }

    fn execute(&self, state: &mut WorkerState, orders: &Value, platform: &Platform) {
        for order in orders.as_array().into_iter().flatten() {
            let row = order["row"].as_str().unwrap_or("").to_string();
            let sowing = order["sowing"].as_u64().unwrap_or(0);
            let key = (row.clone(), sowing);
            state.changed = true;
            match order["verb"].as_str() {
                Some("run") if !state.tasks.contains_key(&key) => {
                    let task = self.new_task(state, &row, platform);
                    state.tasks.insert(key, task);
                }
                Some("kill") => {
                    if let Some(task) = state.tasks.get_mut(&key)
                        && task.standing != Standing::Ended
                    {
                        task.standing = Standing::Ended;
                        task.cause = "stopped";
                        platform.records.lock().unwrap().end(&row, &self.id);
                    }
                }
                Some("clear") => {
                    if state
                        .tasks
                        .get(&key)
                        .is_some_and(|t| t.standing == Standing::Ended)
                    {
                        state.tasks.remove(&key);
                    }
                }
                _ => {}
            }
        }
    }

    fn new_task(&self, state: &mut WorkerState, row: &str, platform: &Platform) -> Task {
        let now = Instant::now();
        let (job, index) = row.split_once('/').unwrap_or((row, ""));
        let jobs = platform.jobs.lock().unwrap();
        let known = jobs.get(job);
        let known = known.filter(|(spec, _)| index.parse().is_ok_and(|n: u32| n < spec.tasks));
        let (run, cpus, ram) = known.map_or((Duration::ZERO, 0.0, 0.0), |(spec, run)| {
            (*run, spec.resources.cpus, spec.resources.ram)
        });
        let live = || {
            state
                .tasks
                .iter()
                .filter(|(_, t)| t.standing != Standing::Ended)
        };
        let used: (f64, f64) = live().fold((0.0, 0.0), |u, (_, t)| (u.0 + t.cpus, u.1 + t.ram));
        let cause = if known.is_none() {
            "no_such"
        } else if live().any(|((other, _), _)| other == row) {
            "busy"
        } else if used.0 + cpus > self.breed.cpus + 1e-6 || used.1 + ram > self.breed.ram_gb + 1e-6
        {
            "full"
        } else {
            ""
        };
        let image = known.map_or(String::new(), |(spec, _)| spec.image.clone());
        let cached = !state.images.insert(image);
        Task {
            standing: if cause.is_empty() {
                Standing::Fetching
            } else {
                Standing::Ended
            },
            cause,
            until: if cached { now } else { now + FETCH },
            run,
            cpus,
            ram,
        }
    }

    fn report(&self, state: &mut WorkerState) -> Value {
        state.tally += 1;
        let rows: Vec<Value> = (state.tasks.iter())
            .map(|((row, sowing), task)| match task.standing {
                Standing::Fetching => json!({"row": row, "sowing": sowing, "standing": "fetching"}),
                Standing::Running => json!({"row": row, "sowing": sowing, "standing": "running"}),
                Standing::Ended => {
                    json!({"row": row, "sowing": sowing, "standing": "ended", "cause": task.cause})
                }
            })
            .collect();
        json!({
            "drone": self.id, "endpoint": self.endpoint.to_string(), "breed": self.breed.label,
            "parcel": self.parcel, "gleanable": self.spot, "tenure": state.tenure, "tally": state.tally,
            "deed": state.deed, "reclaim_s": null, "rows": rows
        })
    }

    /// Serves `/do` and `/status`.
    fn serve(&self, request: &Request, platform: &Platform) -> Option<Response> {
        let mut state = self.state.lock().unwrap();
        if state.gone {
            return None;
        }
        self.advance(&mut state, platform);
        if request.method == "GET" {
            return Some(reply(200, &self.report(&mut state)));
        }
        let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
        let (Some(deed), Some(tenure)) = (body["deed"].as_u64(), body["tenure"].as_u64()) else {
            return Some(reply(400, &json!({"error": "deed or tenure is missing"})));
        };
        if deed < state.deed || tenure != state.tenure {
            return Some(reply(409, &self.report(&mut state)));
        }
        state.deed = deed;
        self.execute(&mut state, &body["orders"], platform);
        Some(reply(200, &self.report(&mut state)))
    }

    /// Lets time pass for the tasks and the lease, also while a report waits for its answer.
    fn tick(&self, platform: &Platform) {
        loop {
            std::thread::sleep(Duration::from_millis(20));
            let mut state = self.state.lock().unwrap();
            if state.gone {
                return;
            }
            self.advance(&mut state, platform);
        }
    }

    /// Reports to the controllers until the machine is gone.
    fn run(&self, platform: &Platform) {
        let mut node = 0;
        let mut client = Client::new(platform.nodes[node].1, Duration::from_millis(500));
        let mut last_sent: Option<Instant> = None;
        // The machines report at different times.
        let mut turn: u32 = self.id.bytes().map(|byte| u32::from(byte) * 7).sum();
        loop {
            std::thread::sleep(Duration::from_millis(20));
            let (body, sent, tenure) = {
                let mut state = self.state.lock().unwrap();
                if state.gone {
                    return;
                }
                self.advance(&mut state, platform);
                // Give or take a quarter.
                let interval = platform.report * (75 + turn * 13 % 51) / 100;
                let waited = last_sent.map_or(interval, |at| at.elapsed());
                if waited < interval && !(state.changed && waited >= MIN_REPORT_INTERVAL) {
                    continue;
                }
                state.changed = false;
                let body = self.report(&mut state).to_string().into_bytes();
                (body, Instant::now(), state.tenure)
            };
            turn += 1;
            last_sent = Some(sent);
            let answer = match platform.is_mute(self.parcel) {
                true => Err(http::CallError::NotSent("no controller is reached".into())),
                false => client.call("POST", "/hello", &body, REPORT_TIMEOUT),
            };
            let status = answer.as_ref().map_or(0, |answer| answer.status);
            {
                let mut records = platform.records.lock().unwrap();
                records.longest_report = records.longest_report.max(body.len());
                if status != 200 {
                    *records.refused_reports.entry(status).or_default() += 1;
                }
            }
            let value: Value = (answer.ok())
                .and_then(|answer| serde_json::from_slice(&answer.body).ok())
                .unwrap_or(Value::Null);
            if status == 200 {
                self.answered(&value, sent, tenure, platform);
                continue;
            }
            let foreman = value["foreman"].as_str().filter(|_| status == 421);
            let foreman = foreman.and_then(|name| platform.nodes.iter().position(|n| n.0 == name));
            match foreman.filter(|foreman| *foreman != node) {
                Some(foreman) => node = foreman,
                None => {
                    node = (node + 1) % platform.nodes.len();
                    std::thread::sleep(Duration::from_secs(1));
                }
            }
            client = Client::new(platform.nodes[node].1, Duration::from_millis(500));
            last_sent = None;
        }
    }

    fn answered(&self, answer: &Value, sent: Instant, tenure: u64, platform: &Platform) {
        let mut state = self.state.lock().unwrap();
        self.advance(&mut state, platform);
        let deed = answer["deed"].as_u64().unwrap_or(0);
        if state.gone || state.tenure != tenure || deed < state.deed || deed == 0 {
            return;
        }
        state.changed |= deed > state.deed;
        state.deed = deed;
        state.renewed = sent;
        let lease_ends = sent + platform.lease;
        (platform.records.lock().unwrap().leases).insert(self.id.clone(), lease_ends);
        self.execute(&mut state, &answer["orders"], platform);
    }
}

impl Platform {
    pub fn new(
        nodes: Vec<(String, SocketAddrV4)>,
        report: Duration,
        lease: Duration,
        zones: Vec<&'static str>,
        breeds: Vec<Breed>,
    ) -> Arc<Platform> {
        Arc::new(Platform {
            jobs: Mutex::default(),
            records: Mutex::default(),
            nodes,
            report,
            lease,
            zones,
            breeds,
            cloud_latency: Mutex::default(),
            mute: Mutex::default(),
            cloud: Mutex::default(),
        })
    }

    fn is_mute(&self, zone: &str) -> bool {
        *self.mute.lock().unwrap() == Some(zone)
    }

    /// From now on the workers of this zone reach no controller, while direct commands still reach them.
    pub fn make_mute(&self, zone: &'static str) {
        *self.mute.lock().unwrap() = Some(zone);
    }

    /// Returns the number of machines that are rented.
    pub fn machines(&self) -> usize {
        self.cloud.lock().unwrap().machines.len()
    }

    pub fn set_cloud_latency(&self, latency: Duration) {
        *self.cloud_latency.lock().unwrap() = latency;
    }

    /// Serves a request to the cloud.
    pub fn serve_cloud(self: &Arc<Platform>, request: &Request) -> Response {
        let latency = *self.cloud_latency.lock().unwrap();
        std::thread::sleep(latency);
        let path = request.path.split('?').next().unwrap_or("");
        let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
        match (request.method.as_str(), path) {
            ("GET", "/flavors") => self.flavors(),
            ("GET", "/hosts") => self.list(&request.path),
            ("POST", "/hosts") => self.hire(&body),
            ("POST", "/hosts/delete") => self.delete(&body),
            _ => reply(400, &json!({"error": "malformed"})),
        }
    }

    fn flavors(&self) -> Response {
        let breeds: Vec<Value> = (self.breeds.iter())
            .map(|b| {
                json!({"label": b.label, "cpus": b.cpus, "accelerators": 0, "ram_gb": b.ram_gb, "local_gb": 50,
                       "fetch_gb_per_s": 4.0, "rate": b.rate, "low_price": b.low_price,
                       "startup_s": b.startup.as_secs_f64(),
                       "parcels": b.parcel.map_or(self.zones.clone(), |only| vec![only])})
            })
            .collect();
        reply(200, &json!({"breeds": breeds}))
    }

    fn list(&self, path: &str) -> Response {
        let since = path.split_once("since=").map_or("", |(_, rest)| rest);
        let since = since.split('&').next().unwrap_or("");
        let cloud = self.cloud.lock().unwrap();
        let gone = |machine: &Machine| machine.state.lock().unwrap().gone;
        let drones: Vec<Value> = (cloud.machines.values())
            .filter(|(machine, _)| machine.id.as_str() > since && !gone(machine))
            .take(500)
            .map(|(machine, hired)| {
                let up = hired.elapsed() >= machine.breed.startup;
                json!({"name_id": machine.id, "endpoint": machine.endpoint.to_string(),
                       "breed": machine.breed.label, "parcel": machine.parcel, "gleanable": machine.spot,
                       "standing": if up { "running" } else { "starting" },
                       "age_s": hired.elapsed().as_secs_f64()})
            })
            .collect();
        reply(200, &json!({"drones": drones, "more": false}))
    }

    fn hire(self: &Arc<Platform>, body: &Value) -> Response {
        let name = body["hire"].as_str().unwrap_or("").to_string();
        let count = body["count"].as_u64().unwrap_or(0);
        let spot = body["gleanable"].as_bool().unwrap_or(false);
        let breed = self.breeds.iter().find(|b| body["breed"] == b.label);
        let zone = self.zones.iter().find(|z| body["parcel"] == **z);
        let (Some(breed), Some(zone), true) = (breed, zone, (1..=50).contains(&count)) else {
            return reply(400, &json!({"error": "malformed"}));
        };
        let mut cloud = self.cloud.lock().unwrap();
        if let Some(drones) = cloud.hires.get(&name) {
            return reply(200, &json!({"drones": drones}));
        }
        let of_kind =
            |m: &Machine| m.breed.label == breed.label && m.parcel == *zone && m.spot == spot;
        let used = cloud.machines.values().filter(|(m, _)| of_kind(m)).count() as u64;
        let room = u64::from(if spot { breed.count.1 } else { breed.count.0 }).saturating_sub(used);
        let elsewhere = breed.parcel.is_some_and(|only| only != *zone);
        if room == 0 || elsewhere {
            return reply(503, &json!({"error": "no capacity"}));
        }
        let mut drones = Vec::new();
        for _ in 0..count.min(room) {
            cloud.last += 1;
            let id = format!("i-{:06}", cloud.last);
            let machine = self.boot(id.clone(), breed.clone(), zone, spot);
            cloud.machines.insert(id.clone(), (machine, Instant::now()));
            drones.push(id);
        }
        cloud.hires.insert(name, drones.clone());
        reply(200, &json!({"drones": drones}))
    }

    fn boot(
        self: &Arc<Platform>,
        id: String,
        breed: Breed,
        parcel: &'static str,
        spot: bool,
    ) -> Arc<Machine> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let Ok(SocketAddr::V4(endpoint)) = listener.local_addr() else {
            unreachable!("bound to IPv4");
        };
        let startup = breed.startup;
        let machine = Arc::new(Machine {
            id,
            endpoint,
            breed,
            parcel,
            spot,
            state: Mutex::new(WorkerState {
                tenure: 1,
                tally: 0,
                deed: 0,
                renewed: Instant::now() + startup,
                tasks: BTreeMap::new(),
                images: BTreeSet::new(),
                changed: false,
                gone: false,
            }),
        });
        let (worker, platform) = (machine.clone(), self.clone());
        std::thread::spawn(move || {
            std::thread::sleep(startup);
            let (serving, of) = (worker.clone(), platform.clone());
            let respond = move |request: Request| serving.serve(&request, &of);
            std::thread::spawn(move || http::serve(listener, 16, Arc::new(respond)));
            let (ticking, of) = (worker.clone(), platform.clone());
            std::thread::spawn(move || ticking.tick(&of));
            worker.run(&platform);
        });
        machine
    }

    fn delete(&self, body: &Value) -> Response {
        let mut cloud = self.cloud.lock().unwrap();
        for id in body["drones"].as_array().into_iter().flatten() {
            let id = id.as_str().unwrap_or("");
            if let Some((machine, _)) = cloud.machines.remove(id) {
                let mut state = machine.state.lock().unwrap();
                machine.lose_tasks(&mut state, &mut self.records.lock().unwrap());
                state.gone = true;
            }
        }
        reply(200, &json!({}))
    }
}

/// BRIEF, Furrowline: "`sprout` (4 CPUs, 32 GB, 0.34 an hour, 0.13 when cheap [...])". Machines are "at times [...] up
/// within a second or two".
pub fn sprout(count: (u32, u32)) -> Breed {
    Breed {
        label: "sprout",
        cpus: 4.0,
        ram_gb: 32.0,
        rate: 0.34,
        low_price: 0.13,
        startup: Duration::from_secs(2),
        count,
        parcel: None,
    }
}

/// BRIEF, Furrowline: "`silo` (64 CPUs, 512 GB, 5.44 an hour, 2.38 when cheap [...])".
pub fn silo(count: (u32, u32)) -> Breed {
    Breed {
        label: "silo",
        cpus: 64.0,
        ram_gb: 512.0,
        rate: 5.44,
        low_price: 2.38,
        startup: Duration::from_secs(2),
        count,
        parcel: None,
    }
}
