//! Runs `core` and the threads that do its I/O.
//!
//! One thread, the owner thread, holds all state and processes a queue of commands in batches
//! (`owner`, `inbox`, `command_queue`). The other threads:
//!
//! - one serves the public HTTP connections, of which there may be thousands, without blocking (`routes`
//!   on top of `http::server`);
//! - one accepts connections of the other controllers, each of which has its own blocking thread
//!   (`peer_server`);
//! - one renews the lease (`lease_keeper`), and one watches the state service (`watch`);
//! - thread pools make blocking calls to the state service, the cloud, the workers and the other
//!   controllers (`store_pool`, `cloud_pool`, `worker_pool`, `peer_pool`), and one sends responses;
//! - one writes snapshots, if a folder for them is configured (`snapshotter`).
//!
//! Planning delays neither the lease nor `/ready`: the lease has its own thread, and `/ready` reads a
//! flag. A pool owns its threads and joins them when it is dropped; the other threads, like the owner
//! thread, run until the process is killed.

mod admission_gate;
mod cloud_pool;
mod command_queue;
mod inbox;
mod lease_keeper;
mod owner;
mod peer_pool;
mod peer_server;
mod renewal_priority;
mod routes;
mod store_pool;
mod threads;
mod watch;
mod worker_pool;

use crate::core::{Core, max_ended_job_bytes};
use crate::http::{Limits, Server};
use crate::policy::Policy;
use crate::rate_limiter::SharedRateLimiter;
use crate::settings::Settings;
use crate::snapshotter::{self, Snapshotter};
use cloud_pool::CLOUD_THREADS;
use inbox::{Inbox, RESPONSE_TIMEOUT};
use lease_keeper::LeaseControl;
use owner::EffectHandlers;
use peer_pool::PEER_THREADS;
use peer_server::MAX_PEER_CONNECTIONS;
use routes::Routes;
use std::io;
use std::net::TcpListener;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use store_pool::STORE_THREADS;
use threads::spawn;
use watch::StoreWatch;

/// Fraction of this controller's share of the state service's rate limit for its reads and transactions, full
/// lists of the store included.
const STORE_CALLS_SHARE: f64 = 0.6;
/// Fraction of the same share for the watch. The rest is for the lease, and for differences in how the state service
/// counts requests.
const STORE_WATCH_SHARE: f64 = 0.3;
/// Number of descriptors reserved for the lease, the watch, the listeners and the process's own files.
const OTHER_SOCKETS: usize = 32;
/// Minimum number of public connections, allowed even if sockets and memory would allow fewer.
const MIN_CONNECTIONS: usize = 16;
/// Memory in MB that is reserved for everything except connections; at most half of all memory.
const BASE_MB: f64 = 40.0;
/// Memory of one connection in MB, with a margin. With 6,000 simulated machines and three or five
/// controllers, a controller with 3,621 connections used 27.9 MB in all, which is 0.0077 MB per connection,
/// and one with 5,834 connections used 12.4 MB.
const CONNECTION_MB: f64 = 0.01;

/// Runs the service; returns only if it cannot start.
///
/// If `snapshots` names a folder, snapshots of the store are written there, and the newest one is loaded
/// at the start, so that the store can be rebuilt if the state service has lost its data.
///
/// # Errors
/// Fails if an address cannot be bound, a thread cannot be started, or the folder cannot be read.
pub fn run(settings: Settings, policy: Policy, snapshots: Option<&Path>) -> io::Result<()> {
    let settings = Arc::new(settings);
    let public_listener = TcpListener::bind(settings.listen)?;
    let peer_listener = TcpListener::bind(settings.peer_listen)?;
    let inbox = Inbox::new(RESPONSE_TIMEOUT);
    let store_limiter = share_limiter(&settings, STORE_CALLS_SHARE);
    let handlers = start_effect_handlers(&settings, &store_limiter, &inbox)?;
    lease_keeper::start(settings.store_addr, &inbox, handlers.lease.clone())?;
    handlers.watch.restart()?;
    peer_server::start(peer_listener, inbox.clone())?;
    let limits = Limits::with_reserve(max_connections(&settings));
    let server = Server::new(public_listener, limits)?;
    let routes = Routes::new(inbox.clone(), handlers.ready.clone());
    spawn("http", move || server.run(routes))?;
    tracing::info!(
        controller = settings.name,
        zone = settings.zone,
        listen = %settings.listen,
        peer_listen = %settings.peer_listen,
        "controller started"
    );
    let store_addr = settings.store_addr;
    let mut core = Core::new(settings, Arc::new(policy), rand::random(), owner::now());
    if let Some(dir) = snapshots {
        if let Some(snapshot) = snapshotter::newest_snapshot(dir)? {
            core.load_snapshot(snapshot.list, snapshot.revision);
        }
        let mut snapshotter = Snapshotter::open(store_addr, store_limiter, dir)?;
        spawn("snapshotter", move || snapshotter.run())?;
    }
    owner::run(core, &inbox, &handlers)
}

/// Returns a budget of calls to the state service: a fraction of this controller's share of the rate limit.
fn share_limiter(settings: &Settings, fraction: f64) -> SharedRateLimiter {
    let controllers = settings.peers.len() as f64 + 1.0;
    SharedRateLimiter::new(settings.store_rps / controllers * fraction)
}

/// Starts the threads that execute effects.
fn start_effect_handlers(
    settings: &Settings,
    store_limiter: &SharedRateLimiter,
    inbox: &Inbox,
) -> io::Result<EffectHandlers> {
    let watch_limiter = share_limiter(settings, STORE_WATCH_SHARE);
    Ok(EffectHandlers {
        store: store_pool::start(settings.store_addr, store_limiter, inbox)?,
        cloud: cloud_pool::start(settings.cloud_addr, inbox)?,
        workers: worker_pool::start(inbox)?,
        peers: peer_pool::start(&settings.peers, inbox)?,
        heartbeat_batches: peer_pool::start_heartbeat_batches(&settings.peers, inbox)?,
        responses: owner::start_responses(inbox)?,
        watch: StoreWatch::new(
            settings.store_addr,
            store_limiter,
            watch_limiter,
            inbox,
            max_ended_job_bytes(settings),
        ),
        lease: Arc::new(LeaseControl::default()),
        ready: Arc::new(AtomicBool::new(false)),
    })
}

/// Returns the maximum number of public connections. Every worker keeps a connection to the leader open,
/// so the maximum is as large as the socket limit allows, less the sockets that the process itself opens,
/// and as its memory allows.
pub fn max_connections(settings: &Settings) -> usize {
    let peers = settings.peers.len() * PEER_THREADS + MAX_PEER_CONNECTIONS;
    let own =
        STORE_THREADS + CLOUD_THREADS + crate::worker_client::CALL_THREADS + peers + OTHER_SOCKETS;
    let base_mb = BASE_MB.min(settings.memory_mb / 2.0);
    let by_memory = (settings.memory_mb - base_mb) / CONNECTION_MB;
    (settings.max_sockets.saturating_sub(own)).clamp(
        MIN_CONNECTIONS,
        by_memory.max(MIN_CONNECTIONS as f64) as usize,
    )
}

/// Limits the allocator to two arenas: there are many threads, little memory, and one core, so an arena
/// for each thread would only waste memory. Also fixes the amount of free memory above which it is
/// returned to the operating system. Must be called before other threads are started.
pub fn limit_malloc_arenas() {
    // SAFETY: `mallopt` only sets a parameter of the C library's allocator, and is called before
    // other threads are started.
    #[cfg(target_env = "gnu")]
    unsafe {
        libc::mallopt(libc::M_ARENA_MAX, 2);
        libc::mallopt(libc::M_TRIM_THRESHOLD, 1 << 20);
    }
}

#[cfg(test)]
mod tests;
