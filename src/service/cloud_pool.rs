//! Calls to the cloud, on threads that each keep a connection.

use super::inbox::Inbox;
use super::threads::ThreadPool;
use crate::cloud_client::{CloudClient, CloudOutcome, CloudRequest};
use crate::core::{CallId, Command};
use std::io;
use std::net::SocketAddrV4;
use std::time::Instant;

pub(super) const CLOUD_THREADS: usize = 4;

/// One request to the cloud.
pub(super) struct CloudCall {
    /// Under which the outcome is reported to `core`.
    pub(super) call: CallId,
    pub(super) request: CloudRequest,
    /// End of the leader's validity: what only a leader may do is not sent after it.
    pub(super) not_after: Option<Instant>,
}

/// Starts the threads.
pub(super) fn start(addr: SocketAddrV4, inbox: &Inbox) -> io::Result<ThreadPool<CloudCall>> {
    ThreadPool::start("cloud", CLOUD_THREADS, || {
        let inbox = inbox.clone();
        let mut client = CloudClient::new(addr);
        move |request: CloudCall| {
            let call = request.call;
            let outcome = perform(&mut client, &request);
            inbox.put(Command::CloudOutcome { call, outcome });
        }
    })
}

fn perform(client: &mut CloudClient, call: &CloudCall) -> CloudOutcome {
    if call.not_after.is_some_and(|end| Instant::now() >= end) {
        return CloudOutcome::Failed("the leader's time was over".into());
    }
    client.perform(&call.request)
}
