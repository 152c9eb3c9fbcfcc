use super::*;
use burlusher::http::{self, Client, Request, Response};
use burlusher::job::{JobSpec, Resources};
use burlusher::wire::{DirectCommands, Heartbeat, TaskCommand, to_json};
use burlusher_standin::cloud::ThreadLauncher;
use burlusher_standin::scenario::Scenario;
use burlusher_standin::users::generate_load;
use burlusher_standin::worker::ClusterState;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Mutex;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// A controller that gives the same response to every heartbeat, and records the heartbeats.
struct Controller {
    addr: SocketAddrV4,
    heartbeats: Arc<Mutex<Vec<Heartbeat>>>,
    /// Times at which the heartbeats were received.
    times: Arc<Mutex<Vec<Instant>>>,
}

impl Controller {
    /// Returns the mean time between two heartbeats of a machine.
    fn interval(&self) -> Duration {
        let heartbeats = self.heartbeats.lock().unwrap();
        let times = self.times.lock().unwrap();
        let mut of_machine: BTreeMap<String, Vec<Instant>> = BTreeMap::new();
        for (heartbeat, at) in heartbeats.iter().zip(times.iter()) {
            let machine = heartbeat.machine.to_string();
            of_machine.entry(machine).or_default().push(*at);
        }
        let (mut total, mut count) = (Duration::ZERO, 0);
        for times in of_machine.values() {
            total += times[times.len() - 1] - times[0];
            count += times.len() as u32 - 1;
        }
        total / count
    }
}

fn listen() -> (std::net::TcpListener, SocketAddrV4) {
    let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let SocketAddr::V4(addr) = listener.local_addr().unwrap() else {
        panic!("not an IPv4 address")
    };
    (listener, addr)
}

fn controller(status: u16, body: &'static str) -> Controller {
    let (listener, addr) = listen();
    let heartbeats = Arc::new(Mutex::new(Vec::new()));
    let times = Arc::new(Mutex::new(Vec::new()));
    let received = (heartbeats.clone(), times.clone());
    let handle = move |r: Request| {
        let mut heartbeats = received.0.lock().unwrap();
        heartbeats.push(serde_json::from_slice(&r.body).unwrap());
        received.1.lock().unwrap().push(Instant::now());
        Some(Response::new(status, body.into()))
    };
    std::thread::spawn(move || http::serve(listener, 100, Arc::new(handle)));
    Controller {
        addr,
        heartbeats,
        times,
    }
}

fn cluster_state(controllers: &[&Controller]) -> Arc<ClusterState> {
    let controllers = controllers.iter().enumerate();
    Arc::new(ClusterState {
        jobs: Mutex::default(),
        records: Mutex::default(),
        controller_addrs: controllers
            .map(|(n, c)| (format!("n{n}"), c.addr))
            .collect(),
        heartbeat_interval: HEARTBEAT_INTERVAL,
        lease: Duration::from_secs(4),
    })
}

fn machine(n: usize, cluster_state: &Arc<ClusterState>) -> (Arc<Worker>, std::net::TcpListener) {
    let (listener, addr) = listen();
    let offer = ("worker".to_string(), "east".to_string(), false);
    let capacity = Resources {
        cpus: 4.0,
        gpus: 0.0,
        ram: 16.0,
    };
    let worker = Worker::new(
        format!("i-{n:06}"),
        addr,
        offer,
        capacity,
        cluster_state.clone(),
    );
    (Arc::new(worker), listener)
}

fn wait(what: &str, f: impl Fn() -> bool) {
    let until = Instant::now() + Duration::from_secs(10);
    while !f() {
        assert!(
            Instant::now() < until,
            "condition not met within 10 s: {what}"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn hollow_workers_send_the_same_heartbeats_as_threaded_ones() {
    const MACHINES: usize = 12;
    let ok = r#"{"deed":7,"orders":[]}"#;
    let (hollow, threads) = (controller(200, ok), controller(200, ok));
    let (hollow_state, threads_state) = (cluster_state(&[&hollow]), cluster_state(&[&threads]));
    let fleet = Fleet::new(2).unwrap();
    for n in 0..MACHINES {
        let (worker, listener) = machine(n, &hollow_state);
        fleet.launch(worker, listener, Duration::ZERO);
        let (worker, listener) = machine(n, &threads_state);
        ThreadLauncher.launch(worker, listener, Duration::ZERO);
    }
    std::thread::sleep(Duration::from_secs(6));
    // Intervals are compared, not counts: the number of heartbeats in a time window depends on the random offsets of
    // the machines.
    let (a, b) = (hollow.interval(), threads.interval());
    assert!(
        a.abs_diff(b) * 100 <= b * 5,
        "heartbeat intervals: {a:?} (hollow) and {b:?} (threads)"
    );
    let last = |c: &Controller| to_json(c.heartbeats.lock().unwrap().last().unwrap()).len();
    assert!(last(&hollow).abs_diff(last(&threads)) <= 3);
    let fencing_token = hollow
        .heartbeats
        .lock()
        .unwrap()
        .last()
        .unwrap()
        .fencing_token;
    assert_eq!(fencing_token, 7, "responses to heartbeats are handled");
    assert!(fleet.traffic.bytes_sent.load(Ordering::Relaxed) > 0);
}

#[test]
fn a_hollow_worker_follows_a_redirect() {
    let to = controller(200, r#"{"deed":9,"orders":[]}"#);
    let from = controller(421, r#"{"foreman":"n1"}"#);
    let cluster_state = cluster_state(&[&from, &to]);
    let fleet = Fleet::new(1).unwrap();
    for n in 0..4 {
        let (worker, listener) = machine(n, &cluster_state);
        fleet.launch(worker, listener, Duration::ZERO);
    }
    let heartbeat_count = |c: &Controller| c.heartbeats.lock().unwrap().len();
    wait("all machines send heartbeats to the new controller", || {
        heartbeat_count(&to) >= 12
    });
    assert!(
        heartbeat_count(&from) <= 4,
        "each machine contacts the redirecting controller at most once"
    );
}

#[test]
fn a_hollow_worker_executes_direct_commands() {
    let ok = controller(200, r#"{"deed":7,"orders":[]}"#);
    let cluster_state = cluster_state(&[&ok]);
    let text = include_str!("../../../../scenarios/hollow.toml");
    let job = generate_load(&Scenario::parse("hollow.toml", text).unwrap()).remove(0);
    let id = job.spec.id.to_string();
    let spec = JobSpec {
        tasks: 1,
        ..job.spec
    };
    cluster_state
        .records
        .lock()
        .unwrap()
        .record_submission(&id, "class");
    let shared = Arc::new((spec, Duration::from_millis(200)));
    cluster_state
        .jobs
        .lock()
        .unwrap()
        .insert(id.clone(), shared);
    let (worker, listener) = machine(1, &cluster_state);
    let fleet = Fleet::new(1).unwrap();
    fleet.launch(worker.clone(), listener, Duration::ZERO);
    wait("the worker sends a heartbeat", || {
        !ok.heartbeats.lock().unwrap().is_empty()
    });
    let body = |token| {
        to_json(&DirectCommands {
            fencing_token: token,
            incarnation: 1,
            commands: vec![TaskCommand::Start {
                task: format!("{id}/0"),
                attempt: 1,
            }],
        })
    };
    let mut client = Client::new(worker.addr, Duration::from_millis(500));
    let mut send_start = |token| {
        let answer = client.call("POST", "/do", &body(token), Duration::from_secs(2));
        answer.unwrap().status
    };
    wait("the worker reports the fencing token", || {
        ok.heartbeats.lock().unwrap().last().unwrap().fencing_token == 7
    });
    assert_eq!(send_start(6), 409, "a lower fencing token is refused");
    assert_eq!(send_start(8), 200);
    wait("the task has completed", || {
        cluster_state.records.lock().unwrap().completed_tasks(&id) == 1
    });
    assert!(cluster_state.records.lock().unwrap().violations.is_empty());
    // A machine that is gone does not respond.
    worker.remove();
    wait("the machine does not respond", || {
        let mut client = Client::new(worker.addr, Duration::from_millis(200));
        client
            .call("GET", "/status", b"", Duration::from_secs(1))
            .is_err()
    });
}
