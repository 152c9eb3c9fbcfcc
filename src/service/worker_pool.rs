//! Thread pool for direct commands to workers; each command opens a connection.

use super::inbox::Inbox;
use super::threads::ThreadPool;
use crate::core::{CallId, Command};
use crate::worker_client::{self, DirectOutcome, DirectRequest};
use std::io;
use std::net::SocketAddrV4;
use std::time::Instant;

/// One request to a worker.
pub(super) struct WorkerCall {
    /// Identifier with which the outcome is reported to `core`.
    pub(super) call: CallId,
    pub(super) addr: SocketAddrV4,
    pub(super) request: DirectRequest,
    /// End of the leadership's validity; the request is not sent after it.
    pub(super) not_after: Instant,
}

/// Starts the pool.
pub(super) fn start(inbox: &Inbox) -> io::Result<ThreadPool<WorkerCall>> {
    ThreadPool::start("worker", crate::worker_client::CALL_THREADS, || {
        let inbox = inbox.clone();
        move |request: WorkerCall| {
            inbox.renewal().yield_to_lease_renewal();
            let call = request.call;
            let outcome = perform(&request);
            inbox.put(Command::DirectOutcome { call, outcome });
        }
    })
}

fn perform(call: &WorkerCall) -> DirectOutcome {
    if Instant::now() >= call.not_after {
        return DirectOutcome::NotSent("leadership expired before the call".into());
    }
    worker_client::perform(call.addr, &call.request)
}
