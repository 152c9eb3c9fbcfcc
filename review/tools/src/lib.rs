//! Shared parts of the review's test programs: a small deployment on loopback with the project's controllers as
//! separate processes, started with the command of the deploy file, and stand-ins of everything around them.

pub mod links;
pub mod platform;
pub mod state;

use burlusher::http::{self, Client, Request, Response};
use burlusher::job::{JobKind, JobSpec, Priority, Resources};
use burlusher::wire::encode_submission;
use platform::{Breed, Platform};
use serde_json::{Value, json};
use state::{Limits, StateService};
use std::fs::File;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Exit code of a case that could not run.
pub const COULD_NOT_RUN: u8 = 2;

/// The record of a case: `record.txt` in its folder, and standard output.
pub struct Record {
    file: Mutex<File>,
    begin: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record {
            file: Mutex::new(File::create(path)?),
            begin: Instant::now(),
        })
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:7.2} s  {text}", self.begin.elapsed().as_secs_f64());
        println!("{line}");
        let _ = writeln!(self.file.lock().unwrap(), "{line}");
    }

    pub fn elapsed(&self) -> Duration {
        self.begin.elapsed()
    }
}

/// Returns whether the case runs with its disruption: unless TROUBLE=0.
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn verdict(record: &Record, broken: &[String]) -> ExitCode {
    for text in broken {
        record.line(&format!("BROKEN: {text}"));
    }
    if broken.is_empty() {
        record.line("the rule held");
        return ExitCode::SUCCESS;
    }
    ExitCode::from(1)
}

fn listen() -> (TcpListener, SocketAddrV4) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    match listener.local_addr().expect("an address") {
        SocketAddr::V4(addr) => (listener, addr),
        SocketAddr::V6(_) => unreachable!("bound to IPv4"),
    }
}

/// Returns addresses for the controllers. Their ports are below those that the system gives to outgoing connections,
/// so that none of these takes one before its controller does; runs side by side begin at different ports.
fn free_addresses(count: usize) -> Vec<SocketAddrV4> {
    let begin = 20_000 + (std::process::id() % 600) as u16 * 20;
    let ports = (begin..32_000).chain(20_000..begin);
    let addrs = ports.map(|port| SocketAddrV4::new(Ipv4Addr::LOCALHOST, port));
    let free: Vec<SocketAddrV4> = (addrs.filter(|addr| TcpListener::bind(addr).is_ok()))
        .take(count)
        .collect();
    assert!(free.len() == count, "no free ports");
    free
}

pub fn serve(handle: impl Fn(&Request) -> Response + Send + Sync + 'static) -> SocketAddrV4 {
    let (listener, addr) = listen();
    let respond = move |request: Request| Some(handle(&request));
    std::thread::spawn(move || http::serve(listener, 400, Arc::new(respond)));
    addr
}

/// Sends one request on a new connection.
pub fn call(
    addr: SocketAddrV4,
    method: &str,
    path: &str,
    body: &[u8],
    timeout: Duration,
) -> Option<(u16, Value)> {
    let mut client = Client::new(addr, Duration::from_millis(500));
    let response = client.call(method, path, body, timeout).ok()?;
    let value = serde_json::from_slice(&response.body).unwrap_or(Value::Null);
    Some((response.status, value))
}

/// A deployment's settings, as far as they differ between cases.
pub struct Deployment {
    pub controllers: usize,
    pub zones: Vec<&'static str>,
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    pub state: Limits,
    pub state_value_kb: f64,
    pub cloud_rps: f64,
    pub list_lag_s: f64,
    pub memory_mb: f64,
    pub cores: f64,
    pub sockets: u32,
    pub breeds: Vec<Breed>,
}

type StateHook = dyn Fn(usize, &Arc<StateService>) -> SocketAddrV4;
type PeerHook = dyn Fn(usize, usize, SocketAddrV4) -> SocketAddrV4;

/// Ways that a case puts something between: the address at which controller number N finds the state service, and that
/// at which controller N finds controller M.
#[derive(Default)]
pub struct Hooks {
    pub state: Option<Box<StateHook>>,
    pub peer: Option<Box<PeerHook>>,
}

/// A controller's process; killed when dropped.
struct Controller {
    name: String,
    public: SocketAddrV4,
    child: Option<Child>,
}

pub struct Cluster {
    program: PathBuf,
    policy: PathBuf,
    dir: PathBuf,
    pub state: Arc<StateService>,
    pub platform: Arc<Platform>,
    controllers: Mutex<Vec<Controller>>,
}

impl Cluster {
    /// Starts the stand-ins and writes the settings; starts no controller yet. `repository` is the repository's root,
    /// `dir` a temporary folder.
    pub fn prepare(d: &Deployment, repository: &Path, dir: &Path) -> Cluster {
        Cluster::prepare_with(d, repository, dir, &Hooks::default())
    }

    /// Like `prepare`, with other ways to the state service and between controllers.
    pub fn prepare_with(d: &Deployment, repository: &Path, dir: &Path, hooks: &Hooks) -> Cluster {
        std::fs::create_dir_all(dir).expect("a temporary folder");
        let addrs = free_addresses(2 * d.controllers);
        let (public, back) = addrs.split_at(d.controllers);
        let name = |n: usize| format!("drone-{n}");
        let state = Arc::new(StateService::new(d.state));
        let handler = state.clone();
        let state_addr = serve(move |request| handler.handle(request));
        let platform = Platform::new(
            (0..d.controllers).map(|n| (name(n), public[n])).collect(),
            Duration::from_secs_f64(d.report_s),
            Duration::from_secs_f64(d.lease_s),
            d.zones.clone(),
            d.breeds.clone(),
        );
        let handler = platform.clone();
        let cloud_addr = serve(move |request| handler.serve_cloud(request));
        let zone = |n: usize| d.zones[n % d.zones.len()];
        let peer_addr = |n: usize, o: usize| match &hooks.peer {
            Some(hook) => hook(n, o, back[o]),
            None => back[o],
        };
        for n in 0..d.controllers {
            let state_addr = match &hooks.state {
                Some(hook) => hook(n, &state),
                None => state_addr,
            };
            let others = (0..d.controllers).filter(|other| *other != n);
            let peers: Vec<Value> = others
                .map(|o| json!({"host_name": name(o), "zone": zone(o), "address": peer_addr(n, o).to_string()}))
                .collect();
            let settings = json!({
                "host_name": name(n), "zone": zone(n),
                "public_addr": public[n].to_string(), "back": back[n].to_string(),
                "peers": peers,
                "services": {"cloud": cloud_addr.to_string(), "state": state_addr.to_string()},
                "params": {
                    "size": d.controllers, "zones": d.zones,
                    "teams": [{"name": "agronomy", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}],
                    "objectives": [],
                    "workers": {"report_s": d.report_s, "lease_s": d.lease_s, "gang_wait_s": 50.0,
                                "gang_peer_s": 8.0, "cancel_s": d.cancel_s},
                    "state": {"rps": d.state.rps, "write_rps": d.state.write_rps,
                              "value_kb": d.state_value_kb, "txn_ops": d.state.txn_ops},
                    "cloud": {"rps": d.cloud_rps, "list_lag_s": d.list_lag_s},
                    "quota": {"cores": d.cores, "mem_mb": d.memory_mb, "fd_limit": d.sockets},
                    "clock_off_ms": 25.0
                }
            });
            std::fs::write(dir.join(format!("{}.json", name(n))), settings.to_string())
                .expect("settings are written");
        }
        let controllers = (0..d.controllers)
            .map(|n| Controller {
                name: name(n),
                public: public[n],
                child: None,
            })
            .collect();
        Cluster {
            program: repository.join("target/release/burlusher"),
            policy: repository.join("deploy/service.policy"),
            dir: dir.to_path_buf(),
            state,
            platform,
            controllers: Mutex::new(controllers),
        }
    }

    /// Starts a controller with the command of the deploy file. Its log is appended to a file in the temporary folder.
    pub fn start(&self, n: usize) -> Result<(), String> {
        let mut controllers = self.controllers.lock().unwrap();
        let controller = &mut controllers[n];
        let log = self.dir.join(format!("{}.log", controller.name));
        let log = File::options().create(true).append(true).open(log);
        let log = log.map_err(|error| error.to_string())?;
        let config = self.dir.join(format!("{}.json", controller.name));
        let child = Command::new(&self.program)
            .arg("serve")
            .arg("--policy")
            .arg(&self.policy)
            .arg("--config")
            .arg(config)
            .env(
                "LOG_LEVEL",
                std::env::var("LOG_LEVEL").unwrap_or("info".into()),
            )
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|error| format!("{}: {error}", self.program.display()))?;
        controller.child = Some(child);
        Ok(())
    }

    /// Kills a controller without a signal that it could handle.
    pub fn kill(&self, n: usize) {
        let child = self.controllers.lock().unwrap()[n].child.take();
        if let Some(mut child) = child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the number of the controller that holds the leader key.
    pub fn leader(&self) -> Option<usize> {
        let value = self.state.value("burlusher/leader")?;
        let value: Value = serde_json::from_str(&value).ok()?;
        let controllers = self.controllers.lock().unwrap();
        controllers
            .iter()
            .position(|c| value["name"] == c.name.as_str())
    }

    pub fn pid(&self, n: usize) -> Option<u32> {
        (self.controllers.lock().unwrap()[n].child.as_ref()).map(Child::id)
    }

    /// Returns whether a controller that was started has ended by itself.
    pub fn has_ended(&self, n: usize) -> bool {
        let mut controllers = self.controllers.lock().unwrap();
        let child = controllers[n].child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    pub fn len(&self) -> usize {
        self.controllers.lock().unwrap().len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    pub fn public(&self, n: usize) -> SocketAddrV4 {
        self.controllers.lock().unwrap()[n].public
    }

    pub fn is_ready(&self, n: usize) -> bool {
        let answer = call(self.public(n), "GET", "/ready", b"", Duration::from_secs(1));
        answer.is_some_and(|(status, _)| status == 200)
    }

    pub fn wait_ready(&self, n: usize, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            if self.is_ready(n) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

/// Kills all controllers and removes the temporary folder when it is dropped. Threads may still hold the cluster then.
pub struct StopOnDrop(pub Arc<Cluster>);

impl Drop for StopOnDrop {
    fn drop(&mut self) {
        for n in 0..self.0.len() {
            self.0.kill(n);
        }
        // The machines end with this process, which serves them.
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.0.dir);
        }
    }
}

struct NodeHealth {
    healthy: bool,
    was_healthy: bool,
    good: u32,
    bad: u32,
    unhealthy_since: Instant,
}

/// The load balancer in front of the controllers, as PROTOCOL describes it. Of its refinements only those are left
/// out that make it send users to fewer nodes: the doubled pauses, and the nodes that are skipped after refusals.
pub struct LoadBalancer {
    cluster: Arc<Cluster>,
    nodes: Mutex<Vec<NodeHealth>>,
}

impl LoadBalancer {
    pub fn start(cluster: &Arc<Cluster>) -> Arc<LoadBalancer> {
        let node = |_| NodeHealth {
            healthy: false,
            was_healthy: false,
            good: 0,
            bad: 0,
            unhealthy_since: Instant::now(),
        };
        let balancer = Arc::new(LoadBalancer {
            cluster: cluster.clone(),
            nodes: Mutex::new((0..cluster.len()).map(node).collect()),
        });
        for n in 0..cluster.len() {
            let balancer = balancer.clone();
            std::thread::spawn(move || {
                loop {
                    let ready = balancer.cluster.is_ready(n);
                    balancer.probed(n, ready);
                    std::thread::sleep(Duration::from_secs(1));
                }
            });
        }
        balancer
    }

    fn probed(&self, n: usize, ready: bool) {
        let node = &mut self.nodes.lock().unwrap()[n];
        if ready {
            (node.good, node.bad) = (node.good + 1, 0);
        } else {
            (node.good, node.bad) = (0, node.bad + 1);
        }
        if node.healthy && node.bad >= 2 {
            node.healthy = false;
            node.unhealthy_since = Instant::now();
        } else if !node.healthy {
            let again = node.good >= 2 && node.unhealthy_since.elapsed() >= Duration::from_secs(3);
            if again || (!node.was_healthy && node.good >= 1) {
                node.healthy = true;
                node.was_healthy = true;
            }
        }
    }

    /// Returns the numbers of the healthy nodes.
    pub fn healthy(&self) -> Vec<usize> {
        let nodes = self.nodes.lock().unwrap();
        let healthy = nodes.iter().enumerate().filter(|(_, node)| node.healthy);
        healthy.map(|(n, _)| n).collect()
    }

    /// Sends a user's request to a healthy node, beginning with number `first` in turn; tries up to three nodes if a
    /// connection is not accepted. Returns the node's number and its answer, if there is one.
    pub fn request(
        &self,
        first: usize,
        method: &str,
        path: &str,
        body: &[u8],
        timeout: Duration,
    ) -> Option<(usize, u16, Value)> {
        let healthy = self.healthy();
        for turn in 0..healthy.len().min(3) {
            let n = healthy[(first + turn) % healthy.len()];
            let mut client = Client::new(self.cluster.public(n), Duration::from_millis(500));
            match client.call(method, path, body, timeout) {
                Ok(response) => {
                    let value = serde_json::from_slice(&response.body).unwrap_or(Value::Null);
                    return Some((n, response.status, value));
                }
                Err(http::CallError::NotSent(_)) => {}
                Err(http::CallError::Unknown(_)) => return None,
            }
        }
        None
    }
}

/// Returns an array job of `tasks` tasks.
pub fn array_job(id: &str, tasks: u32, cpus: f64, ram: f64, estimate: Duration) -> JobSpec {
    JobSpec {
        id: id.into(),
        class: "county-sweep".into(),
        team: "agronomy".into(),
        job_kind: JobKind::Array,
        priority: Priority::Normal,
        tasks,
        resources: Resources {
            cpus,
            gpus: 0.0,
            ram,
        },
        image: "img-01".into(),
        image_gb: 1.2,
        machine_types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        estimate,
        checkpoint_interval: Duration::ZERO,
        checkpoint_duration: Duration::ZERO,
        deadline: None,
        dependencies: Vec::new(),
    }
}

/// A user: uploads a job's description for the workers, submits it through the load balancer as PROTOCOL says (again
/// after 1 s, for up to 60 s), and returns whether it was accepted.
pub fn submit(
    record: &Record,
    cluster: &Cluster,
    balancer: &LoadBalancer,
    spec: &JobSpec,
    run: Duration,
) -> bool {
    let id = spec.id.to_string();
    (cluster.platform.jobs.lock().unwrap()).insert(id.clone(), (spec.clone(), run));
    let body = encode_submission(spec);
    let until = Instant::now() + Duration::from_secs(60);
    let mut turn = 0;
    while Instant::now() < until {
        let answer = balancer.request(turn, "POST", "/api/jobs", &body, Duration::from_secs(5));
        turn += 1;
        match answer {
            Some((node, status, value)) => {
                record.line(&format!("submitted {id} at drone-{node}: {status} {value}"));
                match status {
                    200 | 201 => return true,
                    400 | 422 => return false,
                    _ => {}
                }
            }
            None => record.line(&format!("submitted {id}: no answer")),
        }
        std::thread::sleep(Duration::from_secs(1));
    }
    false
}

/// Returns the repository's root and the case's folder, which are the arguments of a case's program.
pub fn arguments() -> Option<(PathBuf, PathBuf)> {
    let mut arguments = std::env::args().skip(1);
    Some((arguments.next()?.into(), arguments.next()?.into()))
}

/// Returns a new temporary folder.
pub fn temporary_folder(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("burlusher-review-{name}-{}", std::process::id()))
}
