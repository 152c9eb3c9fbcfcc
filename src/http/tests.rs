use super::connection::{Connection, Progress};
use super::*;
use std::collections::HashSet;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::ThreadId;

fn echo_body_server(max_connections: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        serve(
            listener,
            max_connections,
            Arc::new(|r: Request| Some(Response::new(200, r.body))),
        )
    });
    addr
}

fn send_raw(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut s = TcpStream::connect(addr).unwrap();
    s.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    let _ = s.write_all(bytes);
    let _ = s.shutdown(Shutdown::Write);
    let mut out = Vec::new();
    let _ = s.read_to_end(&mut out);
    String::from_utf8_lossy(&out).into_owned()
}

#[test]
fn malformed_requests_are_rejected_and_others_are_still_served() {
    let addr = echo_body_server(3);
    assert!(send_raw(addr, b"nonsense\r\n\r\n").starts_with("HTTP/1.1 400"));
    let oversized = b"POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n";
    let response = send_raw(addr, oversized);
    assert!(response.starts_with("HTTP/1.1 413") && response.contains("Connection: close"));
    let negative = b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n";
    assert!(send_raw(addr, negative).starts_with("HTTP/1.1 400"));
    let chunked = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    assert!(send_raw(addr, chunked).starts_with("HTTP/1.1 501"));
    let long = [b"GET /".as_slice(), &[b'a'; 10_000]].concat();
    assert!(send_raw(addr, &long).starts_with("HTTP/1.1 431"));
    assert_eq!(send_raw(addr, b"GET / HTTP/1.1\r\nContent-Le"), "");

    let SocketAddr::V4(v4) = addr else { panic!() };
    let mut client = Client::new(v4, Duration::from_secs(1));
    for n in 0..3 {
        let body = format!("call {n}").into_bytes();
        let response = client.call("POST", "/", &body, Duration::from_secs(5));
        assert_eq!(response, Ok(ClientResponse { status: 200, body }));
    }
}

#[test]
fn connections_over_the_limit_get_retry_after() {
    let addr = echo_body_server(1);
    let held = TcpStream::connect(addr).unwrap();
    std::thread::sleep(Duration::from_millis(100));
    let response = send_raw(addr, b"GET / HTTP/1.1\r\n\r\n");
    assert!(
        response.is_empty() || response.contains("Retry-After"),
        "{response}"
    );
    drop(held);
}

const HEARTBEAT_REQUEST: &[u8] = b"POST /hello HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}";
const USER_REQUEST: &[u8] = b"GET /jobs HTTP/1.1\r\n\r\n";
const HEALTH_REQUEST: &[u8] = b"GET /ready HTTP/1.1\r\n\r\n";
const BIG_BODY: usize = 8 * 1024 * 1024;

/// Responds with the path, and records the threads on which it is called.
struct Echo {
    threads: Arc<Mutex<HashSet<ThreadId>>>,
}

impl Handler for Echo {
    fn class(&self, request: &Request) -> ConnectionClass {
        match request.path.as_str() {
            "/hello" => ConnectionClass::Worker,
            "/ready" => ConnectionClass::HealthCheck,
            _ => ConnectionClass::Other,
        }
    }

    fn handle(&mut self, request: Request, responder: Responder) {
        let thread = std::thread::current().id();
        self.threads.lock().unwrap().insert(thread);
        match request.path.as_str() {
            "/late" => {
                let deadline = Some(Instant::now() - Duration::from_millis(1));
                responder.send(&Response::new(200, Vec::new()).until(deadline));
            }
            "/silent" => drop(responder),
            "/big" => responder.send(&Response::new(200, vec![b'x'; BIG_BODY])),
            path => responder.send(&Response::new(200, path.as_bytes().to_vec())),
        }
    }
}

fn start(limits: Limits, handler: impl Handler + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let server = Server::new(listener, limits).unwrap();
    std::thread::spawn(move || server.run(handler));
    addr
}

fn start_echo(limits: Limits) -> SocketAddr {
    let threads = Arc::default();
    start(limits, Echo { threads })
}

fn connect(addr: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(addr).unwrap();
    let timeout = Some(Duration::from_secs(20));
    stream.set_read_timeout(timeout).unwrap();
    stream
}

/// Reads one response; empty if the connection is closed instead.
fn read_response(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    let mut byte = [0];
    while !text.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => text.push(byte[0]),
            _ => return String::new(),
        }
    }
    let head = String::from_utf8(text).unwrap();
    let length = head.split("Content-Length: ").nth(1).unwrap();
    let length: usize = length.split("\r\n").next().unwrap().parse().unwrap();
    let mut body = vec![0; length];
    stream.read_exact(&mut body).unwrap();
    head + &String::from_utf8(body).unwrap()
}

fn exchange(stream: &mut TcpStream, request: &[u8]) -> String {
    // A server that rejects the connection may already have closed it.
    let _ = stream.write_all(request);
    read_response(stream)
}

/// Opens persistent connections of workers that have each sent a heartbeat.
fn connect_workers(addr: SocketAddr, count: usize) -> Vec<TcpStream> {
    let worker = |_| {
        let mut stream = connect(addr);
        assert!(exchange(&mut stream, HEARTBEAT_REQUEST).starts_with("HTTP/1.1 200"));
        stream
    };
    (0..count).map(worker).collect()
}

static MANY_CONNECTIONS: Mutex<()> = Mutex::new(());

/// Raises the descriptor limit for `wanted` connections with both ends in this process, and returns how
/// many connections it allows. Only one test at a time can hold the guard.
pub(crate) fn many_connections(wanted: usize) -> (usize, MutexGuard<'static, ()>) {
    let guard = MANY_CONNECTIONS
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let mut limit = libc::rlimit {
        rlim_cur: 0,
        rlim_max: 0,
    };
    // Leaves descriptors for tests that run concurrently.
    let needed = 2 * wanted as u64 + 1000;
    // SAFETY: both calls only read or write the structure that they are given.
    unsafe {
        assert_eq!(libc::getrlimit(libc::RLIMIT_NOFILE, &mut limit), 0);
        if limit.rlim_cur < needed {
            limit.rlim_cur = needed.min(limit.rlim_max);
            assert_eq!(libc::setrlimit(libc::RLIMIT_NOFILE, &limit), 0);
        }
    }
    let possible = wanted.min((limit.rlim_cur as usize).saturating_sub(1000) / 2);
    if possible < wanted {
        eprintln!("{possible} connections instead of {wanted}: descriptor limit reached");
    }
    (possible, guard)
}

fn threads_of_this_process() -> usize {
    std::fs::read_dir("/proc/self/task").unwrap().count()
}

fn check_persistent_connections(wanted: usize) {
    let (count, _guard) = many_connections(wanted);
    let threads: Arc<Mutex<HashSet<ThreadId>>> = Arc::default();
    let handler = Echo {
        threads: threads.clone(),
    };
    let addr = start(Limits::with_reserve(count + count / 4 + 64), handler);
    let before = threads_of_this_process();
    let mut streams = connect_workers(addr, count);
    // All workers send concurrently, over their persistent connections.
    for stream in &mut streams {
        stream.write_all(HEARTBEAT_REQUEST).unwrap();
    }
    for stream in &mut streams {
        assert!(read_response(stream).starts_with("HTTP/1.1 200"));
    }
    assert_eq!(threads.lock().unwrap().len(), 1);
    // Other tests run concurrently and start threads as well.
    assert!(threads_of_this_process() < before + 64);
}

#[test]
fn four_thousand_connections_share_a_thread() {
    check_persistent_connections(4000);
}

#[test]
fn six_thousand_connections_share_a_thread() {
    check_persistent_connections(6000);
}

#[test]
fn slow_peers_leave_room_for_users_and_health_checks() {
    let limits = Limits::with_reserve(160);
    assert_eq!((limits.workers, limits.unclassified), (96, 32));
    let addr = start_echo(limits);
    let mut workers = connect_workers(addr, limits.workers);
    for worker in &mut workers {
        // The first byte of a request that stays incomplete.
        worker.write_all(&HEARTBEAT_REQUEST[..1]).unwrap();
    }
    let refused = exchange(&mut connect(addr), HEARTBEAT_REQUEST);
    assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
    assert!(refused.contains("Retry-After: 2") && refused.contains("Connection: close"));

    // Many more connections never complete a request. Each new connection is served because it replaces
    // the oldest of these.
    let mut slow = Vec::new();
    for n in 0..4 * limits.unclassified {
        let mut stream = connect(addr);
        stream.write_all(&HEARTBEAT_REQUEST[..1 + n % 20]).unwrap();
        slow.push(stream);
        assert!(exchange(&mut connect(addr), HEALTH_REQUEST).ends_with("/ready"));
        assert!(exchange(&mut connect(addr), USER_REQUEST).ends_with("/jobs"));
    }
    assert!(read_response(&mut slow[0]).starts_with("HTTP/1.1 503"));
    // The newest of them is still open, but its request shows that it is a worker's, and the limit for
    // workers is reached. The workers that connected first are unaffected.
    let last = slow.last_mut().unwrap();
    let sent = 1 + (4 * limits.unclassified - 1) % 20;
    assert!(exchange(last, &HEARTBEAT_REQUEST[sent..]).starts_with("HTTP/1.1 503"));
    for worker in &mut workers {
        assert!(exchange(worker, &HEARTBEAT_REQUEST[1..]).starts_with("HTTP/1.1 200"));
    }
}

#[test]
fn closed_worker_connections_free_their_slots() {
    let limits = Limits::with_reserve(20);
    let addr = start_echo(limits);
    for _ in 0..10 {
        drop(connect_workers(addr, limits.workers));
        // The server reads the end of these connections before the requests on new ones.
        assert!(exchange(&mut connect(addr), HEALTH_REQUEST).starts_with("HTTP/1.1 200"));
    }
}

#[test]
fn a_client_that_does_not_read_its_response_delays_no_other() {
    let addr = start_echo(Limits::with_reserve(200));
    let mut slow: Vec<TcpStream> = (0..8).map(|_| connect(addr)).collect();
    for stream in &mut slow {
        stream.write_all(b"GET /big HTTP/1.1\r\n\r\n").unwrap();
        stream.write_all(USER_REQUEST).unwrap();
    }
    for _ in 0..20 {
        assert!(exchange(&mut connect(addr), USER_REQUEST).ends_with("/jobs"));
    }
    for stream in &mut slow {
        let large = read_response(stream);
        assert!(large.starts_with("HTTP/1.1 200") && large.len() > BIG_BODY);
        assert!(read_response(stream).ends_with("/jobs"));
    }
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let addr = start_echo(Limits::with_reserve(200));
    let mut stream = connect(addr);
    let (start, rest) = HEALTH_REQUEST.split_at(9);
    stream
        .write_all(&[USER_REQUEST, HEARTBEAT_REQUEST, start].concat())
        .unwrap();
    assert!(read_response(&mut stream).ends_with("/jobs"));
    assert!(read_response(&mut stream).ends_with("/hello"));
    assert!(exchange(&mut stream, rest).ends_with("/ready"));
    // Requests that precede the end of the stream still get responses.
    stream
        .write_all(&[USER_REQUEST, USER_REQUEST].concat())
        .unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    assert!(read_response(&mut stream).ends_with("/jobs"));
    assert!(read_response(&mut stream).ends_with("/jobs"));
    assert_eq!(read_response(&mut stream), "");
}

#[test]
fn expect_header_is_answered_with_100_continue() {
    let mut stream = connect(start_echo(Limits::with_reserve(200)));
    let head = b"POST /jobs HTTP/1.1\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n";
    stream.write_all(head).unwrap();
    let mut interim = [0; 25];
    stream.read_exact(&mut interim).unwrap();
    assert_eq!(&interim, b"HTTP/1.1 100 Continue\r\n\r\n");
    assert!(exchange(&mut stream, b"{}").ends_with("/jobs"));
}

#[test]
fn expired_and_missing_responses_close_the_connection() {
    let addr = start_echo(Limits::with_reserve(200));
    for path in ["/late", "/silent"] {
        let request = format!("GET {path} HTTP/1.1\r\n\r\n");
        assert_eq!(send_raw(addr, request.as_bytes()), "");
    }
}

/// Passes responders to the test, which responds later.
struct Deferred(Sender<(String, Responder)>);

impl Handler for Deferred {
    fn class(&self, _: &Request) -> ConnectionClass {
        ConnectionClass::Other
    }

    fn handle(&mut self, request: Request, responder: Responder) {
        self.0.send((request.path, responder)).unwrap();
    }
}

#[test]
fn responses_may_be_sent_later_and_in_any_order() {
    let (sender, receiver) = channel();
    let addr = start(Limits::with_reserve(200), Deferred(sender));
    let mut streams: Vec<TcpStream> = (0..20).map(|_| connect(addr)).collect();
    for (n, stream) in streams.iter_mut().enumerate() {
        let request = format!("GET /{n} HTTP/1.1\r\n\r\n");
        stream.write_all(request.as_bytes()).unwrap();
    }
    let mut pending: Vec<_> = (0..20).map(|_| receiver.recv().unwrap()).collect();
    pending.sort_by_key(|(path, _)| std::cmp::Reverse(path.clone()));
    for (path, responder) in pending {
        responder.send(&Response::new(200, path.into_bytes()));
    }
    for (n, stream) in streams.iter_mut().enumerate() {
        assert!(read_response(stream).ends_with(&format!("\r\n/{n}")));
    }
}

#[test]
fn slow_requests_and_idle_connections_time_out() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut client = connect(listener.local_addr().unwrap());
    let (stream, _) = listener.accept().unwrap();
    stream.set_nonblocking(true).unwrap();
    let poll = mio::Poll::new().unwrap();
    let registry = Arc::new(poll.registry().try_clone().unwrap());
    let stream = mio::net::TcpStream::from_std(stream);
    let start = Instant::now();
    let after = |seconds| start + Duration::from_secs(seconds);
    let connection = Connection::register(stream, mio::Token(1), &registry, start).unwrap();
    assert!(!connection.is_finished(after(74)) && connection.is_finished(after(75)));

    // Further bytes of the request do not extend the deadline.
    for second in 20..28 {
        client.write_all(&USER_REQUEST[..1]).unwrap();
        std::thread::sleep(Duration::from_millis(10));
        let progress = connection.advance(true, false, &mut [0; 64], after(second));
        assert!(matches!(progress, Progress::Wait(held) if held as u64 == second - 19));
    }
    assert!(!connection.is_finished(after(27)) && connection.is_finished(after(28)));
}
