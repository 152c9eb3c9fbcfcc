//! Keeps the owner's copy of the state service's contents current: a list of everything under our
//! prefix, then each change.

use super::inbox::Inbox;
use super::threads::{lock, spawn};
use crate::core::Command;
use crate::store_client::{Listing, StoreClient, StoreError, WatchResult};
use std::io;
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How long the state service may hold a watch open without a change.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Changes that come close together are fetched together.
const CHANGE_BATCH_DELAY: Duration = Duration::from_millis(15);
/// Pause after the state service refused a request, for its rate limit say.
const REFUSED_RETRY: Duration = Duration::from_millis(250);
/// Pause after a request that failed otherwise.
const FAILED_RETRY: Duration = Duration::from_millis(100);

/// The watch on the state service.
///
/// One thread at a time reports to the owner: when the store is to be read afresh, another one
/// starts, and what the earlier one still brings is dropped.
pub(super) struct StoreWatch {
    addr: SocketAddrV4,
    inbox: Inbox,
    /// Number of the newest_thread thread. Locked while a command is put into the inbox, so that nothing of
    /// an earlier thread can follow the first list of the next.
    newest_thread: Mutex<u64>,
}

impl StoreWatch {
    pub(super) fn new(addr: SocketAddrV4, inbox: &Inbox) -> Arc<StoreWatch> {
        Arc::new(StoreWatch {
            addr,
            inbox: inbox.clone(),
            newest_thread: Mutex::new(0),
        })
    }

    /// Starts to read the store afresh, in place of the thread that watches it so far.
    pub(super) fn restart(self: &Arc<StoreWatch>) -> io::Result<()> {
        let number = {
            let mut newest_thread = lock(&self.newest_thread);
            *newest_thread += 1;
            *newest_thread
        };
        let watch = self.clone();
        spawn("watch", move || watch.run(number)).map(drop)
    }

    fn is_newest(&self, number: u64) -> bool {
        *lock(&self.newest_thread) == number
    }

    /// Passes a command to the owner, unless another thread watches now.
    fn put(&self, number: u64, command: Command) {
        let newest_thread = lock(&self.newest_thread);
        if *newest_thread == number {
            self.inbox.put(command);
        }
    }

    fn run(&self, number: u64) {
        let mut client = StoreClient::new(self.addr);
        // `None` until the store has been listed.
        let mut revision: Option<u64> = None;
        while self.is_newest(number) {
            let next = match revision {
                None => self.list(number, &mut client).map(Some),
                Some(since) => self.watch(number, &mut client, since),
            };
            match next {
                Ok(next) => revision = next,
                Err(error) => {
                    tracing::debug!(%error, "watch failed");
                    std::thread::sleep(retry_pause(&error));
                }
            }
        }
    }

    /// Returns the revision to watch from.
    fn list(&self, number: u64, client: &mut StoreClient) -> Result<u64, StoreError> {
        let Listing { items, revision } = client.list()?;
        self.put(number, Command::StoreListed { items, revision });
        Ok(revision)
    }

    /// Returns the revision to go on from; `None` if the store has to be listed again.
    fn watch(
        &self,
        number: u64,
        client: &mut StoreClient,
        since: u64,
    ) -> Result<Option<u64>, StoreError> {
        match client.watch(since, WATCH_WAIT)? {
            WatchResult::Changes { events, revision } => {
                self.put(number, Command::StoreChanged { events, revision });
                std::thread::sleep(CHANGE_BATCH_DELAY);
                Ok(Some(revision.max(since)))
            }
            WatchResult::TooOld => Ok(None),
        }
    }
}

fn retry_pause(error: &StoreError) -> Duration {
    match error {
        StoreError::Refused(_) => REFUSED_RETRY,
        StoreError::Invalid(_) | StoreError::Unknown(_) => FAILED_RETRY,
    }
}
