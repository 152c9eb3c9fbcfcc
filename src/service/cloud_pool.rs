//! Thread pool for calls to the cloud; each thread keeps a connection.

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
    /// Identifier with which the outcome is reported to `core`.
    pub(super) call: CallId,
    pub(super) request: CloudRequest,
    /// End of the leadership's validity, for a request that only a leader may make; the request is not sent
    /// after it.
    pub(super) not_after: Option<Instant>,
}

/// Starts the pool.
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
        return CloudOutcome::Failed("leadership expired before the call".into());
    }
    client.perform(&call.request)
}
