//! Follows the state service and writes its content to an archive on disk (`burlusher-snapshot`).
//!
//! The snapshotter runs as a process of its own (`burlusher archive`) or as a thread of a controller
//! (`burlusher serve --snapshots`), and is independent of leadership. A store that has lost data gets
//! a new timeline in the archive, so that the content from before the loss can be restored. `timelines` reads what is in
//! the archive.

mod timelines;

pub use timelines::{
    Snapshot, Summary, UnreadableTimeline, newest_snapshot, select_timeline, snapshot_pages,
    summary,
};

use crate::rate_limiter::SharedRateLimiter;
use crate::settings::Settings;
use crate::store_client::{
    ListReader, ListedKeys, Listing, PREFIX, StoreClient, StoreError, StoreOutcome, StoreRequest,
    WatchResult,
};
use crate::wire::{RawItem, WatchEvent};
use burlusher_snapshot::archive::Archive;
use burlusher_snapshot::image::{Change, Entry, Image};
use burlusher_snapshot::timeline::Writer;
use std::io;
use std::net::SocketAddrV4;
use std::path::Path;
use std::time::{Duration, Instant};

/// Maximum duration of a watch, and interval of the checks for a lost store, which a watch does not
/// report.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(3);
/// Maximum delay between the receipt of changes and their sync to disk, apart from the duration of the
/// sync.
const SYNC_INTERVAL: Duration = Duration::from_millis(200);
/// Delay after a watch with changes, so that further changes are written together.
const BATCHING_DELAY: Duration = Duration::from_millis(50);
/// Delay before the store is followed again after an error.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Fraction of the state service's rate limit for the lists of a snapshotter in a process of its own, which the
/// controllers do not count.
const ARCHIVE_LISTS_SHARE: f64 = 0.05;
/// Keys below `PREFIX`: the store's identity, jobs, and the marker of a store that is being rebuilt.
const IDENTITY_KEYS: &str = "i/";
const JOB_KEYS: &str = "j/";
const REBUILD_MARKER: &str = "rebuilding";

/// Writes the content of the state service and its changes to an archive.
pub struct Snapshotter {
    client: StoreClient,
    /// Limiter of the requests of which a list of the store consists.
    limiter: SharedRateLimiter,
    reader: ListReader<ListedImage>,
    archive: Archive,
    /// Content of the store at the revision that was written last.
    image: Image,
    /// Identity of the store; empty if it has none.
    store: String,
    /// Writer of the current timeline; `None` while the store has to be listed.
    writer: Option<Writer>,
    synced_at: Instant,
    identity_checked_at: Instant,
}

/// Returns the budget of the lists that a snapshotter reads in a process of its own.
pub fn archive_limiter(settings: &Settings) -> SharedRateLimiter {
    SharedRateLimiter::new(settings.store_rps * ARCHIVE_LISTS_SHARE)
}

/// Returns the entries of all keys below `PREFIX` and `keys`, with the prefix removed from each key.
fn keys_under<'a>(image: &'a Image, keys: &str) -> impl Iterator<Item = (&'a str, &'a Entry)> {
    let prefix = format!("{PREFIX}{keys}");
    (image.items.iter()).filter_map(move |(key, entry)| Some((key.strip_prefix(&prefix)?, entry)))
}

fn entry_of(value: &serde_json::Value, version: u64) -> Entry {
    let value = value.to_string();
    Entry { version, value }
}

/// Image of a store that is being listed.
#[derive(Clone, Default)]
struct ListedImage(Image);

impl ListedKeys for ListedImage {
    fn add_page(&mut self, items: &[RawItem<'_>]) {
        let mut changes = Vec::with_capacity(items.len());
        for item in items {
            match item.parse() {
                Ok(parsed) => changes.push(Change {
                    entry: Some(entry_of(&parsed.value, parsed.version)),
                    key: parsed.key,
                }),
                Err(error) => {
                    tracing::error!(key = %item.key, %error, "unreadable value in the store")
                }
            }
        }
        self.0.apply(changes, 0);
    }
}

fn change_of(event: WatchEvent) -> Option<Change> {
    match event.put {
        Some(key) => Some(Change {
            key,
            entry: Some(entry_of(&event.value, event.version)),
        }),
        None => Some(Change {
            key: event.delete?,
            entry: None,
        }),
    }
}

/// Returns the newest identity of a store; empty if it has none.
fn identity(image: &Image) -> String {
    let newest = keys_under(image, IDENTITY_KEYS).max_by_key(|(_, entry)| entry.version);
    newest.map_or(String::new(), |(identity, _)| identity.to_string())
}

/// Returns whether `now` can be a later content of the store that held `before`: jobs are never deleted
/// from a store, so its revision has not decreased and all jobs are still present.
fn is_continuation(before: &Image, now: &Image) -> bool {
    let mut jobs = keys_under(before, JOB_KEYS);
    now.revision >= before.revision
        && jobs.all(|(job, _)| now.items.contains_key(&format!("{PREFIX}{JOB_KEYS}{job}")))
}

impl Snapshotter {
    /// Opens an archive; creates its folder if it does not exist. Lists of the store are paced by `limiter`.
    ///
    /// # Errors
    /// The folder cannot be read or written.
    pub fn open(
        store_addr: SocketAddrV4,
        limiter: SharedRateLimiter,
        dir: &Path,
    ) -> io::Result<Snapshotter> {
        let now = Instant::now();
        Ok(Snapshotter {
            client: StoreClient::new(store_addr),
            limiter,
            reader: ListReader::new(ListedImage::default()),
            archive: Archive::open(dir)?,
            image: Image::default(),
            store: String::new(),
            writer: None,
            synced_at: now,
            identity_checked_at: now,
        })
    }

    /// Follows the store until the process ends. After an error it lists the store again, as only the comparison with a
    /// list shows every loss of data in an outage.
    pub fn run(&mut self) -> ! {
        loop {
            if let Err(error) = self.follow_once() {
                tracing::warn!(%error, "snapshot failed");
                self.writer = None;
                std::thread::sleep(RETRY_DELAY);
            }
        }
    }

    /// Lists the store and writes a snapshot of it; returns the revision of the store.
    ///
    /// # Errors
    /// The state service does not respond or is empty, or the archive cannot be written.
    pub fn take_snapshot(&mut self) -> io::Result<u64> {
        let image = self.read_store()?;
        let revision = image.revision;
        if image.items.is_empty() {
            let text = "the state service is empty";
            return Err(io::Error::new(io::ErrorKind::NotFound, text));
        }
        let store = identity(&image);
        let newest = self
            .archive
            .newest()?
            .and_then(|archived| archived.timeline.ok());
        let is_same_store = newest.is_some_and(|timeline| {
            timeline.header.store == store && is_continuation(&timeline.image, &image)
        });
        let writer = if is_same_store {
            self.archive.resume(&image, &store)?
        } else {
            tracing::info!(store, revision, "snapshot of another store started");
            self.archive.create_timeline(&store, &image)?
        };
        (self.image, self.store, self.writer) = (image, store, Some(writer));
        Ok(revision)
    }

    /// Reads the whole store. After an error, the next call continues with the page that failed.
    fn read_store(&mut self) -> io::Result<Image> {
        loop {
            self.limiter.wait();
            let listing = self.reader.read_next(&mut self.client);
            if let Some(Listing { keys, revision }) = listing.map_err(io_error)? {
                let mut image = keys.0;
                image.revision = revision;
                return Ok(image);
            }
        }
    }

    /// Lists the store, or watches it once and writes the changes.
    fn follow_once(&mut self) -> io::Result<()> {
        if self.writer.is_none() {
            self.take_snapshot()?;
            return Ok(());
        }
        let Some((revision, events)) = self.watch()? else {
            self.writer = None;
            return Ok(());
        };
        let changes: Vec<Change> = events.into_iter().filter_map(change_of).collect();
        let has_changes = !changes.is_empty();
        self.write_changes(changes, revision)?;
        if identity(&self.image) != self.store {
            // The store was replaced by another one, which gets a new timeline.
            self.writer = None;
            return Ok(());
        }
        self.check_identity_exists();
        if has_changes {
            std::thread::sleep(BATCHING_DELAY);
        }
        Ok(())
    }

    /// Watches the store; `None` if it has to be listed again.
    fn watch(&mut self) -> io::Result<Option<(u64, Vec<WatchEvent>)>> {
        let sync_pending = self.synced_at.elapsed() < SYNC_INTERVAL;
        let wait = if sync_pending {
            SYNC_INTERVAL
        } else {
            MAX_WATCH_WAIT
        };
        let since = self.image.revision;
        match self.client.watch(since, wait).map_err(io_error)? {
            WatchResult::Changes { events, revision } if revision >= since => {
                Ok(Some((revision, events)))
            }
            WatchResult::Changes { .. } | WatchResult::TooOld => Ok(None),
        }
    }

    fn write_changes(&mut self, changes: Vec<Change>, revision: u64) -> io::Result<()> {
        let Some(writer) = &mut self.writer else {
            return Ok(());
        };
        writer.append(&changes, revision)?;
        self.image.apply(changes, revision);
        if self.synced_at.elapsed() >= SYNC_INTERVAL {
            writer.sync()?;
            self.synced_at = Instant::now();
        }
        if writer.needs_compaction() {
            writer.compact(&self.image)?;
        }
        Ok(())
    }

    /// Detects a lost store by its missing identity, as a watch on a lost store reports no changes.
    fn check_identity_exists(&mut self) {
        if self.identity_checked_at.elapsed() < MAX_WATCH_WAIT || self.store.is_empty() {
            return;
        }
        self.identity_checked_at = Instant::now();
        let key = format!("{PREFIX}{IDENTITY_KEYS}{}", self.store);
        if let StoreOutcome::Missing { .. } = self.client.perform(&StoreRequest::Get(key)) {
            self.writer = None;
        }
    }
}

fn io_error(error: StoreError) -> io::Error {
    io::Error::other(format!("state service: {error:?}"))
}

#[cfg(test)]
mod tests;
