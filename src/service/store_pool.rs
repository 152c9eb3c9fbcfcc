//! Thread pool for calls to the state service; each thread keeps a connection.

use super::inbox::Inbox;
use super::threads::ThreadPool;
use crate::core::{CallId, Command};
use crate::rate_limiter::SharedRateLimiter;
use crate::store_client::{StoreClient, StoreRequest};
use std::io;
use std::net::SocketAddrV4;

/// Number of threads. A call whose response is lost occupies its thread until it times out; the leader's
/// writes and the creation of jobs must continue meanwhile.
pub(super) const STORE_THREADS: usize = 12;

/// One request to the state service.
pub(super) struct StoreCall {
    /// Identifier with which the outcome is reported to `core`.
    pub(super) call: CallId,
    pub(super) request: StoreRequest,
}

/// Starts the pool, whose threads share `limiter`.
pub(super) fn start(
    addr: SocketAddrV4,
    limiter: &SharedRateLimiter,
    inbox: &Inbox,
) -> io::Result<ThreadPool<StoreCall>> {
    ThreadPool::start("store", STORE_THREADS, || {
        let (inbox, limiter) = (inbox.clone(), limiter.clone());
        let mut client = StoreClient::new(addr);
        move |StoreCall { call, request }| {
            limiter.wait();
            let outcome = client.perform(&request);
            inbox.put(Command::StoreOutcome { call, outcome });
        }
    })
}
