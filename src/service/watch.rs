//! Keeps the cached copy of the store current: lists all keys under the prefix of this scheduler, then
//! watches for changes.

use super::inbox::Inbox;
use super::threads::{lock, spawn};
use crate::core::{Command, StoreList};
use crate::rate_limiter::SharedRateLimiter;
use crate::store_client::{ListReader, Listing, StoreClient, StoreError, WatchResult};
use std::io;
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Longest time for which the state service may hold a watch request open without a change.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Delay before the next watch request, so that one response carries the changes of this time.
const CHANGE_BATCH_DELAY: Duration = Duration::from_millis(15);
/// Pause after the state service refused a request, for example because of its rate limit.
const REFUSED_RETRY: Duration = Duration::from_millis(250);
/// Pause after a request that failed for another reason.
const FAILED_RETRY: Duration = Duration::from_millis(100);

/// Watch on the store.
///
/// One thread at a time passes changes to the owner thread. To read the whole store again, another
/// thread is started, and later results of the previous one are discarded.
pub(super) struct StoreWatch {
    addr: SocketAddrV4,
    /// Limiter of the requests of full lists, shared with the other calls of this controller. Lists use what is left of
    /// `watch_limiter` as well.
    list_limiter: SharedRateLimiter,
    watch_limiter: SharedRateLimiter,
    inbox: Inbox,
    /// Memory that the ends of jobs in a list may take, in bytes.
    max_ended_job_bytes: usize,
    /// Number of the newest thread. Locked while a command is put into the inbox, so that no command of
    /// an earlier thread can follow the first listing by the newest one.
    newest_thread: Mutex<u64>,
}

impl StoreWatch {
    pub(super) fn new(
        addr: SocketAddrV4,
        list_limiter: &SharedRateLimiter,
        watch_limiter: SharedRateLimiter,
        inbox: &Inbox,
        max_ended_job_bytes: usize,
    ) -> Arc<StoreWatch> {
        Arc::new(StoreWatch {
            addr,
            list_limiter: list_limiter.clone(),
            watch_limiter,
            inbox: inbox.clone(),
            max_ended_job_bytes,
            newest_thread: Mutex::new(0),
        })
    }

    /// Starts a thread that reads the whole store again and replaces the present thread.
    pub(super) fn restart(self: &Arc<StoreWatch>) -> io::Result<()> {
        let mut newest_thread = lock(&self.newest_thread);
        let number = *newest_thread + 1;
        let watch = self.clone();
        // If no thread can be started, the present one goes on.
        spawn("watch", move || watch.run(number))?;
        *newest_thread = number;
        Ok(())
    }

    fn is_newest(&self, number: u64) -> bool {
        *lock(&self.newest_thread) == number
    }

    /// Passes a command to the owner thread, unless a newer watch thread has been started.
    fn put(&self, number: u64, command: Command) {
        let newest_thread = lock(&self.newest_thread);
        if *newest_thread == number {
            self.inbox.put(command);
        }
    }

    fn run(&self, number: u64) {
        let mut client = StoreClient::new(self.addr);
        let mut reader = ListReader::new(StoreList::with_limit(self.max_ended_job_bytes));
        // `None` until the store has been listed.
        let mut revision: Option<u64> = None;
        while self.is_newest(number) {
            let next = match revision {
                None => self.continue_list(number, &mut client, &mut reader),
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

    /// Reads the next part of a full list of the store. Returns the revision from which to watch once the list is
    /// complete. A part that failed is read again by the next call.
    fn continue_list(
        &self,
        number: u64,
        client: &mut StoreClient,
        reader: &mut ListReader<StoreList>,
    ) -> Result<Option<u64>, StoreError> {
        // No watch is open meanwhile, so that its budget is free.
        if !self.watch_limiter.try_take() {
            self.list_limiter.wait();
        }
        let Some(Listing { keys, revision }) = reader.read_next(client)? else {
            return Ok(None);
        };
        self.put(
            number,
            Command::StoreListed {
                list: keys,
                revision,
            },
        );
        Ok(Some(revision))
    }

    /// Waits for changes and returns the revision from which to continue; `None` if the store has to be
    /// listed again.
    fn watch(
        &self,
        number: u64,
        client: &mut StoreClient,
        since: u64,
    ) -> Result<Option<u64>, StoreError> {
        self.watch_limiter.wait();
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

#[cfg(test)]
mod tests;
