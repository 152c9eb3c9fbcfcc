//! Commands sent to workers directly, on threads that open a connection for each.

use super::inbox::Inbox;
use super::threads::ThreadPool;
use crate::core::{CallId, Command};
use crate::worker_client::{self, DirectOutcome, DirectRequest};
use std::io;
use std::net::SocketAddrV4;
use std::time::Instant;

/// One request to a worker.
pub(super) struct WorkerCall {
    /// Under which the outcome is reported to `core`.
    pub(super) call: CallId,
    pub(super) addr: SocketAddrV4,
    pub(super) request: DirectRequest,
    /// End of the leader's validity: nothing is sent after it.
    pub(super) not_after: Instant,
}

/// Starts the threads.
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
        return DirectOutcome::NotSent("the leader's time was over".into());
    }
    worker_client::perform(call.addr, &call.request)
}
