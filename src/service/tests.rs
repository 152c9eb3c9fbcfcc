use super::admission_gate::{Admission, AdmissionGate};
use super::command_queue::{CommandQueue, Lane};
use super::threads::ThreadPool;
use super::*;
use crate::core::{Command, Ticket, UserAction, UserRequest};
use crate::http::Response;
use crate::http::tests::many_connections;
use crate::wire;
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::time::{Duration, Instant};

const HEARTBEAT: &str = r#"{"drone":"i-1","endpoint":"127.0.0.1:1","breed":"b","parcel":"a",
            "tenure":1,"tally":1}"#;

fn user(ticket: Ticket, action: UserAction) -> Command {
    let request = UserRequest {
        ticket,
        action,
        forwarded: false,
        tried: Vec::new(),
        received: Instant::now(),
    };
    Command::User(request)
}

fn heartbeat() -> Command {
    Command::Heartbeat {
        ticket: 0,
        heartbeat: serde_json::from_str(HEARTBEAT).unwrap(),
    }
}

/// Guards against urgent commands that wait behind queued heartbeats: in a single queue, thousands of
/// heartbeats delayed submissions and lease renewals by a minute.
#[test]
fn heartbeats_and_queries_do_not_delay_urgent_commands() {
    let mut queue = CommandQueue::default();
    for _ in 0..1000 {
        queue.push(heartbeat());
        queue.push(user(1, UserAction::Show("wk-1".into())));
    }
    queue.push(user(2, UserAction::Cancel("wk-1".into())));
    let step = queue.take_step();
    assert!(
        step.len() <= 1 + Lane::Query.commands_per_step() + Lane::Heartbeat.commands_per_step()
    );
    let cancellation_first = matches!(&step[0], Command::User(r) if r.ticket == 2);
    assert!(cancellation_first);
    // No command is lost, and every lane makes progress.
    let mut remaining = 0;
    while !queue.is_empty() {
        remaining += queue.take_step().len();
    }
    assert_eq!(step.len() + remaining, 2001);
}

#[test]
fn gate_admits_as_many_items_as_it_has_slots() {
    let gate = AdmissionGate::new(2);
    let now = Instant::now();
    let (mut admitted, mut done) = (VecDeque::new(), Vec::new());
    for n in 0..8 {
        match gate.admit(n, 1, now) {
            Admission::Admitted(n) => admitted.push_back(n),
            entry => assert_eq!(entry, Admission::Queued),
        }
    }
    while let Some(n) = admitted.pop_front() {
        assert!(admitted.len() < 2);
        done.push(n);
        admitted.extend(gate.release());
    }
    // All items are admitted in order, and both slots are free again.
    assert_eq!(done, Vec::from_iter(0..8));
    assert_eq!(gate.admit(8, 1, now), Admission::Admitted(8));
    assert_eq!(gate.admit(9, 1, now), Admission::Admitted(9));
    assert_eq!(gate.admit(10, 1, now), Admission::Queued);
}

#[test]
fn gate_rejects_items_over_the_size_limit_and_expires_old_ones() {
    let gate = AdmissionGate::new(0);
    let start = Instant::now();
    let after = |seconds| start + Duration::from_secs(seconds);
    assert_eq!(gate.admit('a', 10 << 20, start), Admission::Queued);
    assert_eq!(gate.admit('b', 7 << 20, after(1)), Admission::Full('b'));
    assert_eq!(gate.admit('c', 6 << 20, after(2)), Admission::Queued);
    let timeout = Duration::from_secs(3);
    assert_eq!(gate.take_expired(after(2), timeout), Vec::<char>::new());
    assert_eq!(gate.take_expired(after(3), timeout), ['a']);
    assert_eq!(gate.admit('d', 10 << 20, after(3)), Admission::Queued);
    assert_eq!(gate.take_expired(after(6), timeout), ['c', 'd']);
}

/// Long enough to expire only when a test passes a later time itself.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3600);

/// The public HTTP interface; the test takes the part of the owner thread.
struct TestServer {
    inbox: Inbox,
    addr: SocketAddr,
}

impl TestServer {
    fn new(connections: usize) -> TestServer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let server = Server::new(listener, Limits::with_reserve(connections)).unwrap();
        let inbox = Inbox::new(REQUEST_TIMEOUT);
        let routes = Routes::new(inbox.clone(), Arc::new(AtomicBool::new(true)));
        std::thread::spawn(move || server.run(routes));
        TestServer { inbox, addr }
    }

    fn send(&self, method: &str, path: &str, body: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.addr).unwrap();
        let timeout = Some(Duration::from_secs(20));
        stream.set_read_timeout(timeout).unwrap();
        let length = body.len();
        let request = format!(
            "{method} {path} HTTP/1.1\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}"
        );
        stream.write_all(request.as_bytes()).unwrap();
        stream
    }

    /// Waits until `count` heartbeats are queued for the owner thread.
    fn wait_for_heartbeats(&self, count: usize) {
        let until = Instant::now() + Duration::from_secs(20);
        while self.inbox.queue_lengths()[Lane::Heartbeat] < count {
            assert!(Instant::now() < until, "{:?}", self.inbox.queue_lengths());
            std::thread::sleep(Duration::from_millis(5));
        }
        assert_eq!(self.inbox.queue_lengths()[Lane::Heartbeat], count);
    }

    fn is_healthy(&self) -> bool {
        read(self.send("GET", wire::PATH_READY, "")).starts_with("HTTP/1.1 200")
    }
}

fn read(mut stream: TcpStream) -> String {
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    text
}

/// Number of heartbeats that the admission gate admits.
const MAX_ADMITTED: usize = 2 * Lane::Heartbeat.commands_per_step();

#[test]
fn requests_without_response_get_retry_after() {
    let server = TestServer::new(2000);
    let count = MAX_ADMITTED + 10;
    let heartbeats: Vec<TcpStream> = (0..count)
        .map(|_| server.send("POST", wire::PATH_HEARTBEAT, HEARTBEAT))
        .collect();
    server.wait_for_heartbeats(MAX_ADMITTED);
    // Neither the admitted nor the waiting heartbeats delay other requests.
    assert!(server.is_healthy());
    let status_request = server.send("GET", wire::PATH_STATUS, "");
    while server.inbox.queue_lengths()[Lane::Query] == 0 {
        std::thread::sleep(Duration::from_millis(5));
    }

    server.inbox.expire_requests(Instant::now());
    assert_eq!(
        server.inbox.next_commands(Duration::ZERO).len(),
        1 + Lane::Heartbeat.commands_per_step()
    );
    server
        .inbox
        .expire_requests(Instant::now() + REQUEST_TIMEOUT);
    let responses: Vec<String> = heartbeats.into_iter().map(read).collect();
    let rejected = |text: &str| {
        let busy = |a: &&String| a.starts_with("HTTP/1.1 503") && a.contains("Retry-After: 1\r\n");
        responses
            .iter()
            .filter(busy)
            .filter(|a| a.contains(text))
            .count()
    };
    assert_eq!(
        (rejected("no answer in time"), rejected("overloaded")),
        (MAX_ADMITTED, 10)
    );
    assert!(read(status_request).contains("no answer in time"));
}

#[test]
fn six_thousand_concurrent_heartbeats_are_all_processed() {
    let (count, _guard) = many_connections(6000);
    let server = TestServer::new(8000);
    let (mut streams, mut processed) = (Vec::new(), 0);
    for _ in 0..count {
        streams.push(server.send("POST", wire::PATH_HEARTBEAT, HEARTBEAT));
    }
    server.wait_for_heartbeats(MAX_ADMITTED);
    while processed < count {
        assert!(server.inbox.queue_lengths()[Lane::Heartbeat] <= MAX_ADMITTED);
        assert!(processed > count / 2 || server.is_healthy());
        for command in server.inbox.next_commands(Duration::from_secs(20)) {
            let Command::Heartbeat { ticket, .. } = command else {
                panic!("not a heartbeat: {command:?}");
            };
            server.inbox.respond(ticket, Response::new(200, Vec::new()));
            processed += 1;
        }
    }
    let succeeded = |stream| read(stream).starts_with("HTTP/1.1 200");
    assert!(streams.into_iter().all(succeeded));
}

#[test]
fn malformed_heartbeats_release_their_slot() {
    let server = TestServer::new(2000);
    for _ in 0..MAX_ADMITTED + 10 {
        let response = read(server.send("POST", wire::PATH_HEARTBEAT, "{"));
        assert!(response.starts_with("HTTP/1.1 400"), "{response}");
    }
    let _heartbeat = server.send("POST", wire::PATH_HEARTBEAT, HEARTBEAT);
    server.wait_for_heartbeats(1);
}

#[test]
fn max_connections_follows_from_sockets_and_memory() {
    let text = r#"{"host_name": "n0", "zone": "a", "public_addr": "127.0.0.1:1", "back": "127.0.0.1:2",
        "services": {"cloud": "127.0.0.1:4", "state": "127.0.0.1:5"},
        "params": {"teams": [{"name": "t"}], "cloud": {"rps": 10.0, "list_lag_s": 1.0},
            "workers": {"report_s": 1.0, "lease_s": 10.0, "cancel_s": 20.0},
            "state": {"rps": 100.0, "write_rps": 50.0, "value_kb": 8.0, "txn_ops": 16}}}"#;
    let mut settings = Settings::parse(text).unwrap();
    settings.max_sockets = 9000;
    settings.memory_mb = 1024.0;
    let many = max_connections(&settings);
    assert!((8500..9000).contains(&many), "{many}");
    // With little memory, half of it is reserved for everything except connections.
    settings.memory_mb = 64.0;
    let few = max_connections(&settings);
    assert_eq!(few, ((64.0 - 32.0) / CONNECTION_MB) as usize);
}

#[test]
fn dropped_pool_processes_its_queue() {
    let done = Arc::new(Mutex::new(Vec::new()));
    let pool = ThreadPool::start("test", 3, || {
        let done = done.clone();
        move |number: u32| {
            std::thread::sleep(Duration::from_millis(5));
            done.lock().unwrap().push(number);
        }
    });
    let pool = pool.unwrap();
    for number in 0..20 {
        pool.send(number);
    }
    drop(pool);
    let mut done = done.lock().unwrap().clone();
    done.sort_unstable();
    assert_eq!(done, Vec::from_iter(0..20));
}
