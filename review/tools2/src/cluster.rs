//! Real controllers, started as the deploy file says, with proxies between them, and their users.

use crate::http::call;
use crate::json::{num, obj, parse, text, Json};
use crate::record::Record;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A free port below those that the operating system gives to connections.
pub fn free_port() -> u16 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = 16_000 + ((std::process::id() * 37 + n) % 16_000) as u16;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

/// A proxy in front of one controller's address, for one other controller.
pub struct Proxy {
    pub addr: SocketAddr,
    to: SocketAddr,
    refuses: Mutex<bool>,
    open: Mutex<Vec<TcpStream>>,
}

impl Proxy {
    pub fn start(to: SocketAddr) -> Arc<Proxy> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for a proxy");
        let addr = listener.local_addr().expect("its address");
        let proxy = Arc::new(Proxy {
            addr,
            to,
            refuses: Mutex::new(false),
            open: Mutex::default(),
        });
        let p = proxy.clone();
        std::thread::spawn(move || p.run(listener));
        proxy
    }

    /// Refuses connections, or serves them again. Open ones are reset when it begins.
    pub fn refuse(&self, refuse: bool) {
        *self.refuses.lock().unwrap() = refuse;
        if refuse {
            for stream in self.open.lock().unwrap().drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    fn run(&self, listener: TcpListener) {
        listener.set_nonblocking(true).expect("nonblocking");
        let mut listener = Some(listener);
        loop {
            std::thread::sleep(Duration::from_millis(1));
            if *self.refuses.lock().unwrap() {
                // Without a listener the operating system refuses connections.
                listener = None;
                continue;
            }
            if listener.is_none() {
                listener = TcpListener::bind(self.addr).ok();
                if let Some(l) = &listener {
                    let _ = l.set_nonblocking(true);
                }
            }
            let Some(Ok((from, _))) = listener.as_ref().map(|l| l.accept()) else {
                continue;
            };
            let Ok(to) = TcpStream::connect_timeout(&self.to, Duration::from_millis(500)) else {
                continue;
            };
            let _ = (
                from.set_nonblocking(false),
                from.set_nodelay(true),
                to.set_nodelay(true),
            );
            let mut open = self.open.lock().unwrap();
            for (a, b) in [(&from, &to), (&to, &from)] {
                let (Ok(mut a), Ok(mut b)) = (a.try_clone(), b.try_clone()) else {
                    continue;
                };
                open.extend(a.try_clone());
                std::thread::spawn(move || {
                    let _ = std::io::copy(&mut a, &mut b);
                    let _ = (a.shutdown(Shutdown::Both), b.shutdown(Shutdown::Both));
                });
            }
        }
    }
}

pub struct Node {
    pub name: String,
    pub public: SocketAddr,
    pub back: SocketAddr,
    pub settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

pub struct Setup {
    pub nodes: usize,
    pub zones: Vec<&'static str>,
    pub teams: Vec<Json>,
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    /// Limits that the state service announces.
    pub next: Option<Json>,
}

pub struct Cluster {
    pub nodes: Vec<Node>,
    /// `proxies[i][j]`: from controller i to controller j.
    pub proxies: Vec<Vec<Option<Arc<Proxy>>>>,
    record: Arc<Record>,
    dir: PathBuf,
    /// The next controller that a user asks.
    next: usize,
}

impl Cluster {
    /// Prepares controllers whose state service is `state[i]`. None is started yet.
    pub fn new(
        setup: &Setup,
        state: &[SocketAddr],
        cloud: SocketAddr,
        record: Arc<Record>,
    ) -> Cluster {
        let dir = std::env::temp_dir().join(format!("burlusher-review2-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a temporary folder");
        let local = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let nodes: Vec<Node> = (0..setup.nodes)
            .map(|i| Node {
                name: format!("drone-{i}"),
                public: local(free_port()),
                back: local(free_port()),
                settings: dir.join(format!("controller-{i}.json")),
                log: dir.join(format!("controller-{i}.log")),
                child: None,
            })
            .collect();
        let proxies: Vec<Vec<Option<Arc<Proxy>>>> = (0..setup.nodes)
            .map(|i| {
                (0..setup.nodes)
                    .map(|j| (i != j).then(|| Proxy::start(nodes[j].back)))
                    .collect()
            })
            .collect();
        let zone = |i: usize| setup.zones[i % setup.zones.len()];
        for (i, node) in nodes.iter().enumerate() {
            let peers = (0..setup.nodes).filter(|j| *j != i).map(|j| {
                obj([
                    ("host_name", text(nodes[j].name.as_str())),
                    ("zone", text(zone(j))),
                    (
                        "address",
                        text(proxies[i][j].as_ref().expect("a proxy").addr.to_string()),
                    ),
                ])
            });
            let settings = obj([
                ("host_name", text(node.name.as_str())),
                ("zone", text(zone(i))),
                ("public_addr", text(node.public.to_string())),
                ("back", text(node.back.to_string())),
                ("peers", Json::Arr(peers.collect())),
                (
                    "services",
                    obj([
                        ("cloud", text(cloud.to_string())),
                        ("state", text(state[i].to_string())),
                    ]),
                ),
                (
                    "params",
                    obj([
                        ("size", num(setup.nodes)),
                        (
                            "zones",
                            Json::Arr(setup.zones.iter().map(|z| text(*z)).collect()),
                        ),
                        ("teams", Json::Arr(setup.teams.clone())),
                        ("objectives", Json::Arr(Vec::new())),
                        (
                            "workers",
                            obj([
                                ("report_s", num(setup.report_s)),
                                ("lease_s", num(setup.lease_s)),
                                ("gang_wait_s", num("50.0")),
                                ("gang_peer_s", num("8.0")),
                                ("cancel_s", num(setup.cancel_s)),
                            ]),
                        ),
                        (
                            "state",
                            obj([
                                ("rps", num("100.0")),
                                ("write_rps", num("40.0")),
                                ("value_kb", num("8.0")),
                                ("txn_ops", num(32)),
                                ("next", setup.next.clone().unwrap_or(Json::Null)),
                            ]),
                        ),
                        (
                            "cloud",
                            obj([("rps", num("4.0")), ("list_lag_s", num("3.0"))]),
                        ),
                        (
                            "quota",
                            obj([
                                ("cores", num("0.096")),
                                ("mem_mb", num("136.0")),
                                ("fd_limit", num(1800)),
                            ]),
                        ),
                        ("clock_off_ms", num("25.0")),
                    ]),
                ),
            ]);
            std::fs::write(&node.settings, settings.write()).expect("a settings file");
        }
        Cluster {
            nodes,
            proxies,
            record,
            dir,
            next: 0,
        }
    }

    /// Starts a controller with the command of the deploy file, from the repository's root.
    pub fn start(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&node.log)
            .expect("a log");
        let child = Command::new("target/release/burlusher")
            .args(["serve", "--policy", "deploy/service.policy", "--config"])
            .arg(&node.settings)
            .env(
                "LOG_LEVEL",
                std::env::var("LOG_LEVEL").unwrap_or("info".into()),
            )
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => {
                if let Ok(path) = std::env::var("PIDS") {
                    use std::io::Write;
                    let file = std::fs::OpenOptions::new()
                        .create(true)
                        .append(true)
                        .open(path);
                    let _ = file.map(|mut f| writeln!(f, "{}", child.id()));
                }
                self.record.say(format!("{} started", node.name));
                node.child = Some(child);
            }
            Err(e) => {
                eprintln!("controller not started: {e}");
                std::process::exit(2);
            }
        }
    }

    pub fn start_all(&mut self) {
        for i in 0..self.nodes.len() {
            self.start(i);
        }
    }

    pub fn kill(&mut self, i: usize) {
        if let Some(mut child) = self.nodes[i].child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.say(format!("{} killed", self.nodes[i].name));
        }
    }

    /// Whether a controller has ended by itself.
    pub fn ended(&mut self) -> Option<String> {
        self.nodes.iter_mut().find_map(|n| {
            let ended = n.child.as_mut()?.try_wait().ok()?.is_some();
            ended.then(|| n.name.clone())
        })
    }

    pub fn index(&self, name: &str) -> Option<usize> {
        self.nodes.iter().position(|n| n.name == name)
    }

    pub fn ready(&self, i: usize) -> bool {
        call(
            self.nodes[i].public,
            "GET",
            "/ready",
            "",
            Duration::from_secs(1),
        )
        .is_ok_and(|r| r.0 == 200)
    }

    /// A user's request to the next controller that is ready, as the load balancer would choose.
    pub fn user(&mut self, method: &str, path: &str, body: &str, timeout: Duration) -> (u16, Json) {
        for _ in 0..self.nodes.len() {
            self.next = (self.next + 1) % self.nodes.len();
            if self.nodes[self.next].child.is_some() && self.ready(self.next) {
                break;
            }
        }
        self.ask(self.next, method, path, body, timeout)
    }

    /// A user's request to one controller.
    pub fn ask(
        &self,
        i: usize,
        method: &str,
        path: &str,
        body: &str,
        timeout: Duration,
    ) -> (u16, Json) {
        let node = &self.nodes[i];
        let answer = call(node.public, method, path, body, timeout);
        let (status, body) = answer.map_or((0, Json::Null), |(s, b)| {
            (s, parse(&b).unwrap_or(Json::Null))
        });
        self.record.line(format!(
            "user: {method} {path} at {}: {status} {}",
            node.name,
            body.write()
        ));
        (status, body)
    }

    /// Submits a job until it is accepted, for 60 s at most.
    pub fn submit(&mut self, body: &str) -> bool {
        let end = Instant::now() + Duration::from_secs(60);
        while Instant::now() < end {
            match self
                .user("POST", "/api/jobs", body, Duration::from_secs(5))
                .0
            {
                200 | 201 => return true,
                400 | 422 => return false,
                _ => std::thread::sleep(Duration::from_secs(1)),
            }
        }
        false
    }

    pub fn standing(&mut self, id: &str) -> String {
        let (status, body) = self.user(
            "GET",
            &format!("/api/jobs/{id}"),
            "",
            Duration::from_secs(2),
        );
        if status == 200 {
            body.get("standing").str().to_string()
        } else {
            format!("status {status}")
        }
    }

    /// Puts the controllers' log lines that name leaderships and suspicions into the record.
    pub fn excerpt_logs(&self) {
        let words = [
            "became leader",
            "stepped down",
            "deleting leader key",
            "data loss",
            "lost data",
            "transaction rejected",
            "error",
            "ERROR",
            "unreadable",
            "recovery complete",
        ];
        for node in &self.nodes {
            let log = std::fs::read_to_string(&node.log).unwrap_or_default();
            for line in log
                .lines()
                .filter(|l| words.iter().any(|w| l.contains(w)))
                .take(200)
            {
                self.record.line(format!("log of {}: {line}", node.name));
            }
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for i in 0..self.nodes.len() {
            self.kill(i);
        }
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

/// The same submission, for a job that awaits others.
pub fn awaiting(submission: &str, others: &[String]) -> String {
    let ids: Vec<String> = others.iter().map(|id| format!("\"{id}\"")).collect();
    format!(
        "{},\"awaits\":[{}]}}",
        submission.trim_end_matches('}'),
        ids.join(",")
    )
}

/// A submission of an array.
#[allow(clippy::too_many_arguments)]
pub fn array(
    id: &str,
    crop: &str,
    rank: &str,
    rows: u32,
    cpus: f64,
    ram: f64,
    spot: bool,
    reckon_s: f64,
) -> String {
    obj([
        ("name_id", text(id)),
        ("crop", text(crop)),
        ("steward", text("agronomy")),
        ("shape", text("array")),
        ("rank", text(rank)),
        ("rows", num(rows)),
        ("cpus", num(cpus)),
        ("accelerators", num("0.0")),
        ("ram_gb", num(ram)),
        ("seedstock", text("img-01")),
        ("size_gb", num("0.5")),
        ("breeds", Json::Null),
        ("parcel", Json::Null),
        ("together", Json::Bool(false)),
        ("scatter", Json::Bool(false)),
        ("gleanable", Json::Bool(spot)),
        ("reckon_s", num(reckon_s)),
        ("harvest_s", num("0.0")),
        ("bale_s", num("0.0")),
        ("due_s", Json::Null),
    ])
    .write()
}
