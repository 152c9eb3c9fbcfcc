//! Runs `core` between threads that do nothing but I/O.
//!
//! One thread owns all state and works through a queue of commands in batches. Others accept
//! connections, keep the lease, watch the state service, and call the cloud, the workers and the
//! other controllers. The lease and `/ready` never wait behind planning: the lease has a thread
//! of its own, and `/ready` is a flag.

mod gate;
mod inbox;
mod lanes;
mod peers;
mod renewal;
mod routes;

use crate::cloud_client::{CloudClient, CloudOutcome, CloudRequest};
use crate::core::{Command, Core, Effect, LeadershipProof, Now, Ticket, Work, note};
use crate::http::{Limits, Response, Server};
use crate::peer::heartbeat_batch;
use crate::peer::memory_exchange::{self, MemoryRequest};
use crate::peer::{self, PeerRequest};
use crate::policy::Policy;
use crate::settings::Settings;
use crate::snapshotter::{self, Snapshotter};
use crate::store_client::{RateLimiter, StoreClient, StoreOutcome, StoreRequest};
use crate::wire::CompareAndSwap;
use crate::worker_client::{self, DirectOutcome, DirectRequest};
use inbox::{ANSWER_TIMEOUT, Inbox};
use peers::{MOST_PEER_CONNECTIONS, serve_peers};
use routes::Routes;
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime};

/// A call whose answer is lost keeps its thread until it times out; a leader's writes and the creations of jobs
/// have to go on meanwhile.
const STATE_THREADS: usize = 12;
const CLOUD_THREADS: usize = 4;
pub const DIRECT_THREADS: usize = 24;
const PEER_THREADS: usize = 3;
/// Submissions should be accepted well within 300 ms even if the leader has just died.
const PEER_TIMEOUT: Duration = Duration::from_millis(200);
const PEER_CONNECT: Duration = Duration::from_millis(100);
/// Much less than the leader's word holds, so that a grant outlives a frame that comes to nothing.
const SYNC_TIMEOUT: Duration = Duration::from_millis(1000);
/// A page of a memory takes its controller a while, and nothing waits for it but the next page.
const RECALL_TIMEOUT: Duration = Duration::from_millis(1500);
const WATCH_WAIT: Duration = Duration::from_secs(10);
const STACK: usize = 192 * 1024;
/// Sockets for the lease, the watch, the listeners and the process's own files.
const SPARE_SOCKETS: usize = 32;
/// Memory that is kept for everything but connections, and what one takes, with a margin. Where
/// there is little, half is kept. Measured (simulated) with 6,000 machines on three controllers and
/// on five: one with 3,621 connections took 27.9 MB in all, 0.0077 a connection, and one with 5,834
/// took 12.4 MB.
const BASE_MB: f64 = 40.0;
const CONNECTION_MB: f64 = 0.01;

/// Queues are whole at any moment, so a thread that died holding one leaves nothing half done.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn spawn(name: &str, f: impl FnOnce() + Send + 'static) -> io::Result<()> {
    std::thread::Builder::new()
        .name(name.into())
        .stack_size(STACK)
        .spawn(f)
        .map(|_| ())
}

/// Threads that share one queue of work.
fn pool<T: Send + 'static>(
    name: &str,
    threads: usize,
    make: impl Fn() -> Box<dyn FnMut(T) + Send>,
) -> io::Result<Sender<T>> {
    let (tx, rx) = channel::<T>();
    let rx = Arc::new(Mutex::new(rx));
    for _ in 0..threads {
        let (rx, mut work) = (rx.clone(), make());
        spawn(name, move || {
            loop {
                let next = match rx.lock() {
                    Ok(rx) => rx.recv(),
                    Err(_) => return,
                };
                match next {
                    Ok(x) => work(x),
                    Err(_) => return,
                }
            }
        })?;
    }
    Ok(tx)
}

fn now() -> Now {
    Now {
        mono: Instant::now(),
        wall: SystemTime::now(),
    }
}

fn wait_for_rate_limit(budget: &Mutex<RateLimiter>) {
    let wait = budget
        .lock()
        .map(|mut b| b.take(Instant::now()))
        .unwrap_or_default();
    if !wait.is_zero() {
        std::thread::sleep(wait);
    }
}

type StateCall = (u64, StoreRequest);
type CloudCall = (u64, CloudRequest, Option<Instant>);
type DirectCall = (u64, SocketAddrV4, DirectRequest, Instant);

enum PeerCall {
    Pass(Ticket, PeerRequest),
    MemoryRequest(MemoryRequest),
}
type SyncCall = (String, u64, Vec<u8>);
type AnswerCall = (Ticket, Response);

struct Outbox {
    state: Sender<StateCall>,
    cloud: Sender<CloudCall>,
    direct: Sender<DirectCall>,
    peers: BTreeMap<String, Sender<PeerCall>>,
    sync: Sender<SyncCall>,
    answers: Sender<Vec<AnswerCall>>,
    watch: Arc<Watch>,
    keeper: Arc<LeaseKeeper>,
    ready: Arc<AtomicBool>,
}

/// Runs the service; returns only if it cannot start.
/// With a folder for snapshots, what the state service holds is kept there, and what was kept is
/// remembered if it has lost it.
pub fn run(settings: Settings, policy: Policy, snapshots: Option<&Path>) -> io::Result<()> {
    let settings = Arc::new(settings);
    let public = TcpListener::bind(settings.listen)?;
    let back = TcpListener::bind(settings.peer_listen)?;
    let inbox_side = Inbox::new(ANSWER_TIMEOUT);
    let ready = Arc::new(AtomicBool::new(false));
    let keeper = Arc::new(LeaseKeeper::default());
    let share = settings.store_rps / (settings.peers.len() as f64 + 1.0);
    let budget = Arc::new(Mutex::new(RateLimiter::new(share * 0.6, Instant::now())));

    let watch = Arc::new(Watch::new(&settings, &inbox_side));
    let outbox = Outbox {
        watch: watch.clone(),
        state: state_pool(&settings, &inbox_side, budget)?,
        cloud: cloud_pool(&settings, &inbox_side)?,
        direct: direct_pool(&inbox_side)?,
        peers: peer_pools(&settings, &inbox_side)?,
        sync: sync_pool(&settings, &inbox_side)?,
        answers: answer_thread(&inbox_side)?,
        keeper: keeper.clone(),
        ready: ready.clone(),
    };
    keep_lease(&settings, &inbox_side, keeper)?;
    watch.begin()?;
    serve_peers(back, inbox_side.clone())?;
    let limits = Limits::with_reserve(most_connections(&settings));
    let server = Server::new(public, limits)?;
    let routes = Routes::new(inbox_side.clone(), ready);
    spawn("public", move || server.run(routes))?;
    tracing::info!(
        "{} in {} listens on {} and {}",
        settings.name,
        settings.zone,
        settings.listen,
        settings.peer_listen
    );
    let state_addr = settings.store_addr;
    let mut core = Core::new(settings, Arc::new(policy), rand::random(), now());
    if let Some(dir) = snapshots {
        if let Some((items, revision)) = snapshotter::remembered(dir)? {
            core.remember(items, revision);
        }
        let mut snapshotter = Snapshotter::open(state_addr, dir)?;
        spawn("archivist", move || snapshotter.run())?;
    }
    own(core, &inbox_side, outbox)
}

/// Connections to serve at a time: every worker keeps one open to the leader, so as many as the
/// process may have, less what it opens itself, and as its memory allows.
pub fn most_connections(settings: &Settings) -> usize {
    let peers = settings.peers.len() * PEER_THREADS + MOST_PEER_CONNECTIONS;
    let own = STATE_THREADS + CLOUD_THREADS + DIRECT_THREADS + peers + SPARE_SOCKETS;
    let base = BASE_MB.min(settings.memory_mb / 2.0);
    let by_memory = (settings.memory_mb - base) / CONNECTION_MB;
    (settings.max_sockets.saturating_sub(own)).clamp(16, by_memory.max(16.0) as usize)
}

/// The owner's loop.
fn own(mut core: Core, inbox: &Inbox, outbox: Outbox) -> ! {
    let mut told = Instant::now();
    let mut worked = core.stats.work;
    loop {
        let commands = inbox.next(core.idle_for());
        let begun = Instant::now();
        let mut answers = Vec::new();
        for effect in core.step(now(), commands) {
            carry_out(effect, &outbox, &mut answers);
        }
        if !answers.is_empty() {
            let _ = outbox.answers.send(answers);
        }
        note(&mut core.stats.step, begun.elapsed().as_micros());
        core.stats.work[Work::Step as usize] += 1;
        if told.elapsed() > Duration::from_secs(60) {
            told = Instant::now();
            tracing::info!("work:{}", core.stats.work_since(&mut worked));
            let s = &core.stats;
            tracing::info!(
                "leads {}; accepted {} (p95 {} ms), started {} (p95 {} ms), steps {} (p99 {} us)",
                core.leads(),
                s.accept.len(),
                s.accept.value_at_quantile(0.95),
                s.start.len(),
                s.start.value_at_quantile(0.95),
                s.step.len(),
                s.step.value_at_quantile(0.99),
            );
        }
    }
}

fn carry_out(effect: Effect, out: &Outbox, answers: &mut Vec<AnswerCall>) {
    match effect {
        Effect::Response { ticket, answer } => answers.push((ticket, answer)),
        Effect::State { call, request } => {
            let _ = out.state.send((call, request));
        }
        Effect::Cloud {
            call,
            request,
            not_after,
        } => {
            let _ = out.cloud.send((call, request, not_after));
        }
        Effect::Direct {
            call,
            addr,
            request,
            not_after,
        } => {
            let _ = out.direct.send((call, addr, request, not_after));
        }
        Effect::Forward {
            ticket,
            peer,
            request,
        } => {
            if let Some(tx) = out.peers.get(&peer) {
                let _ = tx.send(PeerCall::Pass(ticket, request));
            }
        }
        Effect::MemoryRequest { peer, recall } => {
            if let Some(tx) = out.peers.get(&peer) {
                let _ = tx.send(PeerCall::MemoryRequest(recall));
            }
        }
        Effect::RereadStore => {
            if let Err(e) = out.watch.begin() {
                tracing::error!("the state service cannot be read afresh: {e}");
            }
        }
        Effect::HeartbeatBatch {
            peer,
            number,
            frame,
        } => {
            let _ = out.sync.send((peer, number, frame));
        }
        Effect::ReleaseLease => out.keeper.give_up.store(true, Ordering::Relaxed),
        Effect::ReplaceLease => out.keeper.change.store(true, Ordering::Relaxed),
        Effect::LeadershipProof(stand) => *lock(&out.keeper.stand) = stand,
        Effect::Ready(yes) => out.ready.store(yes, Ordering::Relaxed),
    }
}

/// Sends the answers of a step, so that the owner goes on meanwhile.
fn answer_thread(inbox: &Inbox) -> io::Result<Sender<Vec<AnswerCall>>> {
    pool("answer", 1, || {
        let inbox = inbox.clone();
        Box::new(move |answers: Vec<AnswerCall>| {
            for (ticket, answer) in answers {
                inbox.answer(ticket, answer);
            }
        })
    })
}

fn state_pool(
    settings: &Settings,
    inbox: &Inbox,
    budget: Arc<Mutex<RateLimiter>>,
) -> io::Result<Sender<StateCall>> {
    let addr = settings.store_addr;
    pool("state", STATE_THREADS, || {
        let (inbox, budget) = (inbox.clone(), budget.clone());
        let mut client = StoreClient::new(addr);
        Box::new(move |(call, request): StateCall| {
            wait_for_rate_limit(&budget);
            let outcome = client.perform(&request);
            inbox.put(Command::State { call, outcome });
        })
    })
}

fn cloud_pool(settings: &Settings, inbox: &Inbox) -> io::Result<Sender<CloudCall>> {
    let addr = settings.cloud_addr;
    pool("cloud", CLOUD_THREADS, || {
        let inbox = inbox.clone();
        let mut client = CloudClient::new(addr);
        Box::new(move |(call, request, not_after): CloudCall| {
            let outcome = if not_after.is_some_and(|t| Instant::now() >= t) {
                CloudOutcome::Trouble("the leader's time was over".into())
            } else {
                client.perform(&request)
            };
            inbox.put(Command::Cloud { call, outcome });
        })
    })
}

fn direct_pool(inbox: &Inbox) -> io::Result<Sender<DirectCall>> {
    pool("direct", DIRECT_THREADS, || {
        let inbox = inbox.clone();
        Box::new(move |(call, addr, request, not_after): DirectCall| {
            inbox.renewal().yield_to_lease_renewal();
            let outcome = if Instant::now() >= not_after {
                DirectOutcome::NotSent("the leader's time was over".into())
            } else {
                worker_client::perform(addr, &request)
            };
            inbox.put(Command::Direct { call, outcome });
        })
    })
}

fn peer_pools(
    settings: &Settings,
    inbox: &Inbox,
) -> io::Result<BTreeMap<String, Sender<PeerCall>>> {
    let mut out = BTreeMap::new();
    for p in &settings.peers {
        let (addr, name) = (p.addr, p.name.clone());
        let tx = pool("peer", PEER_THREADS, || {
            let (inbox, name) = (inbox.clone(), name.clone());
            let mut kept: Option<TcpStream> = None;
            Box::new(move |call: PeerCall| {
                let (ticket, request) = match call {
                    PeerCall::Pass(ticket, request) => (ticket, request),
                    PeerCall::MemoryRequest(asked) => {
                        let frame = memory_exchange::encode_recall(&asked);
                        let decode = |kind, body: &[u8]| {
                            (kind == memory_exchange::KIND_MEMORY_PAGE)
                                .then(|| memory_exchange::decode_recalled(body))?
                        };
                        let answer = exchange(&mut kept, addr, &frame, RECALL_TIMEOUT, decode);
                        if let Err(e) = &answer {
                            tracing::debug!("peer {name}: no memory: {e}");
                        }
                        return inbox.put(Command::MemoryPage {
                            peer: name.clone(),
                            asked,
                            answer: answer.ok().map(Box::new),
                        });
                    }
                };
                let frame = peer::encode_request(&request);
                let answer = exchange(&mut kept, addr, &frame, PEER_TIMEOUT, peer::decode_answer);
                if let Err(e) = &answer {
                    tracing::debug!("peer {name}: {e}");
                }
                inbox.put(Command::Forwarded {
                    ticket,
                    peer: name.clone(),
                    answer: answer.ok(),
                });
            })
        })?;
        out.insert(p.name.clone(), tx);
    }
    Ok(out)
}

/// Frames for the leader of workers that report here: one is on its way at a time.
fn sync_pool(settings: &Settings, inbox: &Inbox) -> io::Result<Sender<SyncCall>> {
    let addrs: BTreeMap<String, SocketAddrV4> = (settings.peers.iter())
        .map(|p| (p.name.clone(), p.addr))
        .collect();
    pool("sync", 1, || {
        let (inbox, addrs) = (inbox.clone(), addrs.clone());
        let mut kept: Option<(String, TcpStream)> = None;
        Box::new(move |(peer, number, frame): SyncCall| {
            let mut stream = match kept.take() {
                Some((name, stream)) if name == peer => Some(stream),
                _ => None,
            };
            let decode = |kind, body: &[u8]| {
                (kind == heartbeat_batch::KIND_HEARTBEAT_BATCH_RESPONSE)
                    .then(|| heartbeat_batch::decode_synced(body))?
            };
            let answer = match addrs.get(&peer) {
                Some(addr) => exchange(&mut stream, *addr, &frame, SYNC_TIMEOUT, decode),
                None => Err(io::ErrorKind::NotFound.into()),
            };
            kept = stream.map(|s| (peer.clone(), s));
            if let Err(e) = &answer {
                tracing::debug!("peer {peer}: {e}");
            }
            inbox.put(Command::HeartbeatBatchResponse {
                number,
                answer: answer.ok().map(Box::new),
            });
        })
    })
}

/// All requests between controllers may be repeated, so a kept connection that turns out to be
/// closed is replaced once.
fn exchange<T>(
    kept: &mut Option<TcpStream>,
    addr: SocketAddrV4,
    frame: &[u8],
    timeout: Duration,
    decode: impl Fn(u8, &[u8]) -> Option<T>,
) -> io::Result<T> {
    let exchange = |stream: &mut TcpStream| -> io::Result<T> {
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        peer::write_frame(stream, frame)?;
        let (kind, body) = peer::read_frame(stream)?;
        decode(kind, &body).ok_or_else(|| io::ErrorKind::InvalidData.into())
    };
    if let Some(mut stream) = kept.take() {
        let begun = Instant::now();
        match exchange(&mut stream) {
            Ok(a) => {
                *kept = Some(stream);
                return Ok(a);
            }
            Err(e) if begun.elapsed() > timeout / 2 => return Err(e),
            Err(_) => {}
        }
    }
    let mut stream = TcpStream::connect_timeout(&SocketAddr::V4(addr), PEER_CONNECT)?;
    let _ = stream.set_nodelay(true);
    let answer = exchange(&mut stream)?;
    *kept = Some(stream);
    Ok(answer)
}

/// What the owner asks of the thread that keeps the lease.
#[derive(Default)]
struct LeaseKeeper {
    give_up: AtomicBool,
    change: AtomicBool,
    stand: Mutex<Option<LeadershipProof>>,
}

impl LeaseKeeper {
    /// The lease is not to be renewed again.
    fn interrupted(&self) -> bool {
        self.give_up.load(Ordering::Relaxed) || self.change.load(Ordering::Relaxed)
    }

    /// Whether what the leader's word rests on still holds; `None` where nobody leads, or cannot tell.
    fn confirm_leadership(&self, client: &mut StoreClient, inbox: &Inbox) -> Option<u64> {
        let stand = lock(&self.stand).clone()?;
        let txn = CompareAndSwap {
            conditions: stand.conditions,
            changes: Vec::new(),
        };
        let key_version = stand.key_version;
        match client.perform(&StoreRequest::CompareAndSwap(txn)) {
            StoreOutcome::Committed { .. } => Some(key_version),
            StoreOutcome::Conflict { .. } => {
                inbox.put(Command::Deposed { key_version });
                None
            }
            other => {
                tracing::debug!("whether the leader key stands: {other:?}");
                None
            }
        }
    }
}

/// Renews the lease well before it ends, whatever the owner is busy with.
fn keep_lease(settings: &Settings, inbox: &Inbox, keeper: Arc<LeaseKeeper>) -> io::Result<()> {
    let (addr, inbox) = (settings.store_addr, inbox.clone());
    spawn("lease", move || {
        let mut client = StoreClient::new(addr);
        let ttl = crate::core::LEASE_TTL;
        let mut lease: Option<u64> = None;
        let mut due = Instant::now();
        loop {
            let sent = Instant::now();
            // The process stood still or had no processor; the log shows it beside what it led to.
            let late = sent.saturating_duration_since(due);
            if late > ttl / 4 {
                tracing::warn!("the lease's renewal comes {} ms late", late.as_millis());
            }
            if keeper.change.swap(false, Ordering::Relaxed) {
                lease = None;
            }
            if keeper.give_up.swap(false, Ordering::Relaxed)
                && let Some(id) = lease.take()
            {
                client.revoke(id);
            }
            let mut pause = ttl / 5;
            match lease {
                None => match client.grant(ttl) {
                    Ok(id) => {
                        lease = Some(id);
                        inbox.put(Command::LeaseRenewed {
                            lease: id,
                            sent,
                            confirmed_key_version: None,
                        });
                    }
                    Err(e) => {
                        tracing::debug!("no lease: {e:?}");
                        pause = Duration::from_millis(300);
                    }
                },
                Some(id) => match client.renew(id) {
                    Ok(true) => {
                        let is_enabled = keeper.confirm_leadership(&mut client, &inbox);
                        // Refused for the service's limit, say: the leader's word waits for it.
                        if is_enabled.is_none() && lock(&keeper.stand).is_some() {
                            pause = Duration::from_millis(150);
                        }
                        inbox.put(Command::LeaseRenewed {
                            lease: id,
                            sent,
                            confirmed_key_version: is_enabled,
                        });
                    }
                    Ok(false) => {
                        lease = None;
                        inbox.put(Command::LeaseLost);
                        pause = Duration::from_millis(50);
                    }
                    Err(e) => {
                        tracing::debug!("lease not renewed: {e:?}");
                        pause = Duration::from_millis(150);
                    }
                },
            }
            // In small pieces, so that giving up takes effect soon.
            let until = Instant::now() + pause;
            inbox.renewal().due(until);
            due = until;
            let took = sent.elapsed().saturating_sub(pause);
            if took > ttl / 4 {
                tracing::warn!("the lease's renewal took {} ms", took.as_millis());
            }
            while Instant::now() < until && !keeper.interrupted() {
                let left = until.saturating_duration_since(Instant::now());
                std::thread::sleep(left.min(Duration::from_millis(200)));
            }
        }
    })
}

/// Keeps the owner's copy of the state current. One thread at a time: when the store is to be read
/// afresh, another one begins, and what the earlier one still brings is dropped.
struct Watch {
    addr: SocketAddrV4,
    inbox: Inbox,
    /// Which thread is the newest one. Held while a command is put, so that nothing of an earlier
    /// one can follow the first list of the next.
    newest: Mutex<u64>,
}

impl Watch {
    fn new(settings: &Settings, inbox: &Inbox) -> Watch {
        Watch {
            addr: settings.store_addr,
            inbox: inbox.clone(),
            newest: Mutex::new(0),
        }
    }

    fn begin(self: &Arc<Watch>) -> io::Result<()> {
        let number = {
            let mut newest = lock(&self.newest);
            *newest += 1;
            *newest
        };
        let watch = self.clone();
        spawn("watch", move || watch.run(number))
    }

    /// False: another thread watches now.
    fn put(&self, number: u64, command: Command) -> bool {
        let newest = lock(&self.newest);
        if *newest == number {
            self.inbox.put(command);
        }
        *newest == number
    }

    fn run(&self, number: u64) {
        let mut client = StoreClient::new(self.addr);
        let mut at: Option<u64> = None;
        while *lock(&self.newest) == number {
            let trouble = match at {
                None => match client.list() {
                    Ok((items, revision)) => {
                        at = Some(revision);
                        if !self.put(number, Command::Listed { items, revision }) {
                            return;
                        }
                        None
                    }
                    Err(e) => Some(e),
                },
                Some(since) => match client.watch(since, WATCH_WAIT) {
                    Ok(Some((revision, events))) => {
                        at = Some(revision.max(since));
                        if !self.put(number, Command::Changed { events, revision }) {
                            return;
                        }
                        // Changes that come close together are fetched together.
                        std::thread::sleep(Duration::from_millis(15));
                        None
                    }
                    Ok(None) => {
                        at = None;
                        None
                    }
                    Err(e) => Some(e),
                },
            };
            if let Some(e) = trouble {
                tracing::debug!("watch: {e:?}");
                let pause = match e {
                    StoreOutcome::Refused(_) => 250,
                    _ => 100,
                };
                std::thread::sleep(Duration::from_millis(pause));
            }
        }
    }
}

/// Keeps the allocator from setting memory aside for every thread: there are many threads here,
/// little memory, and one core.
pub fn limit_memory_pools() {
    // LEASE_SAFETY_MARGIN: `mallopt` only sets a parameter of the C library's allocator, and is called before
    // other threads are started.
    #[cfg(target_env = "gnu")]
    unsafe {
        libc::mallopt(libc::M_ARENA_MAX, 2);
        libc::mallopt(libc::M_TRIM_THRESHOLD, 1 << 20);
    }
}

#[cfg(test)]
mod tests;
