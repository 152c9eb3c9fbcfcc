//! Reading of the whole store, page by page.
//!
//! A page that was refused or got no response is read again, and the pages before it are kept: with many keys, some
//! page of every list may fail. The pages are read one after the other while the store changes; the list is as new as
//! its first page, and a watch from that revision repeats the changes made since.
//!
//! All pages must come from the same store. If the state service loses its data between two pages, its revision goes
//! back, or the next leader gives the store another identity; the list is then begun again.

use super::{IDENTITY_PREFIX, PREFIX, StoreClient, StoreError, StoreOutcome, parse};
use crate::wire::{RawItem, RawPage};
use std::time::{Duration, Instant};

/// Timeout of one page.
const PAGE_TIMEOUT: Duration = Duration::from_millis(3000);
/// Items in one page; the most that the state service returns.
const PAGE_ITEMS: usize = 1000;
/// Interval between two log lines on a list that takes long.
const PROGRESS_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Keys and values of a list, in the form in which the reader of the list needs them.
pub trait ListedKeys: Clone {
    /// Adds a page of items. Pages come in the order of their keys.
    fn add_page(&mut self, items: &[RawItem<'_>]);
}

/// A complete list of the keys under `PREFIX`.
pub struct Listing<K> {
    /// All keys with their values.
    pub keys: K,
    /// Store revision that the list is at least as new as; single items may be newer.
    pub revision: u64,
}

/// Identity of the store in a list.
struct ListedIdentity {
    key: String,
    version: u64,
}

/// Pages that were read since the list was begun.
struct Pages<K> {
    keys: K,
    /// Number of pages.
    count: u32,
    /// Key of the last item; empty before the first page.
    last_key: String,
    first_revision: u64,
    newest_revision: u64,
    identity: Option<ListedIdentity>,
    /// Whether the last page was read.
    complete: bool,
}

impl<K: ListedKeys> Pages<K> {
    fn new(keys: K) -> Pages<K> {
        Pages {
            keys,
            count: 0,
            last_key: String::new(),
            first_revision: 0,
            newest_revision: 0,
            identity: None,
            complete: false,
        }
    }

    fn add(&mut self, page: &RawPage<'_>) {
        if self.count == 0 {
            self.first_revision = page.revision;
        }
        self.count += 1;
        self.newest_revision = page.revision;
        self.complete = !page.more || page.items.is_empty();
        for item in &page.items {
            self.observe_identity(item);
        }
        if let Some(last) = page.items.last() {
            self.last_key = last.key.as_ref().into();
        }
        self.keys.add_page(&page.items);
    }

    fn observe_identity(&mut self, item: &RawItem<'_>) {
        let known = self.identity.as_ref().map_or(0, |known| known.version);
        if item.key.starts_with(IDENTITY_PREFIX) && item.version >= known {
            self.identity = Some(ListedIdentity {
                key: item.key.as_ref().into(),
                version: item.version,
            });
        }
    }
}

/// Duration and failures of a list, for the log.
struct ListStatistics {
    begun: Instant,
    logged: Instant,
    /// Requests that the state service refused.
    refused: u32,
    /// Requests without a usable response.
    failed: u32,
    /// Times that the list was begun again.
    restarts: u32,
}

impl ListStatistics {
    fn begin() -> ListStatistics {
        let now = Instant::now();
        ListStatistics {
            begun: now,
            logged: now,
            refused: 0,
            failed: 0,
            restarts: 0,
        }
    }

    fn count_error(&mut self, error: &StoreError) {
        match error {
            StoreError::Refused(_) => self.refused += 1,
            StoreError::Invalid(_) | StoreError::Unknown(_) => self.failed += 1,
        }
    }

    fn log(&self, pages: u32, message: &str) {
        tracing::info!(
            pages,
            refused = self.refused,
            failed = self.failed,
            restarts = self.restarts,
            took_ms = self.begun.elapsed().as_millis() as u64,
            "{message}"
        );
    }

    fn log_progress(&mut self, pages: u32) {
        if self.logged.elapsed() >= PROGRESS_LOG_INTERVAL {
            self.logged = Instant::now();
            self.log(pages, "store is being read");
        }
    }
}

/// Reads lists of the keys under `PREFIX`, one request at a time, so that the caller can pace the requests.
pub struct ListReader<K> {
    /// List without items, with which each list begins.
    empty: K,
    pages: Pages<K>,
    /// `None` until the list is begun.
    statistics: Option<ListStatistics>,
}

impl<K: ListedKeys> ListReader<K> {
    /// Creates a reader whose lists begin as this empty one.
    pub fn new(empty: K) -> ListReader<K> {
        ListReader {
            pages: Pages::new(empty.clone()),
            empty,
            statistics: None,
        }
    }

    /// Sends the next request of the list. Returns the list once it is complete, and `None` before.
    ///
    /// # Errors
    /// The request was refused or got no readable response. The next call repeats it.
    pub fn read_next(
        &mut self,
        client: &mut StoreClient,
    ) -> Result<Option<Listing<K>>, StoreError> {
        self.statistics.get_or_insert_with(ListStatistics::begin);
        let result = if self.pages.complete {
            self.check_identity(client)
        } else {
            self.read_page(client)
        };
        if let Some(statistics) = &mut self.statistics {
            if let Err(error) = &result {
                statistics.count_error(error);
            }
            statistics.log_progress(self.pages.count);
        }
        result
    }

    fn read_page(&mut self, client: &mut StoreClient) -> Result<Option<Listing<K>>, StoreError> {
        let after = &self.pages.last_key;
        let response = client.fetch_page(PREFIX, after, PAGE_ITEMS, PAGE_TIMEOUT)?;
        let page: RawPage<'_> = parse(&response.body)?;
        if page.revision < self.pages.newest_revision {
            self.begin_again("revision went back");
            return Ok(None);
        }
        self.pages.add(&page);
        // A single page is consistent.
        let finished = self.pages.complete && self.pages.count == 1;
        Ok(finished.then(|| self.finish()))
    }

    /// Checks that the store has the same identity as when that part of the list was read.
    fn check_identity(
        &mut self,
        client: &mut StoreClient,
    ) -> Result<Option<Listing<K>>, StoreError> {
        let Some(identity) = &self.pages.identity else {
            return Ok(Some(self.finish()));
        };
        let outcome = client.get(&identity.key)?;
        let unchanged =
            matches!(&outcome, StoreOutcome::Found(item) if item.version == identity.version);
        if unchanged {
            return Ok(Some(self.finish()));
        }
        self.begin_again("identity has changed");
        Ok(None)
    }

    fn begin_again(&mut self, reason: &str) {
        tracing::warn!(
            reason,
            pages = self.pages.count,
            "list of the store begun again"
        );
        self.pages = Pages::new(self.empty.clone());
        if let Some(statistics) = &mut self.statistics {
            statistics.restarts += 1;
        }
    }

    fn finish(&mut self) -> Listing<K> {
        let empty = Pages::new(self.empty.clone());
        let pages = std::mem::replace(&mut self.pages, empty);
        if let Some(statistics) = self.statistics.take() {
            statistics.log(pages.count, "store read");
        }
        Listing {
            keys: pages.keys,
            revision: pages.first_revision,
        }
    }
}

#[cfg(test)]
pub(crate) mod tests;
