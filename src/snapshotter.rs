//! Follows the state service and keeps on disk what it holds (`burlusher-snapshot`).
//!
//! It leads nothing and serves nobody: a process of its own (`burlusher archive`), or a thread of a
//! controller that has a folder for it (`burlusher serve --snapshots`). A store that has lost data
//! gets another timeline in the archive, so that what was kept before is there when it is needed.

use crate::core::StoreCache;
use crate::store_client::{
    Listing, PREFIX, StoreClient, StoreError, StoreOutcome, StoreRequest, WatchResult,
};
use crate::wire::{Item, SnapshotPage, WatchEvent};
use burlusher_snapshot::archive::{Archive, ArchivedTimeline};
use burlusher_snapshot::image::{Change, Entry, Image};
use burlusher_snapshot::timeline::{RecordFault, Writer};
use std::io;
use std::net::SocketAddrV4;
use std::path::Path;
use std::time::{Duration, Instant};

/// A watch waits this long at the most, so that a loss, of which it would bring nothing, is noticed.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(3);
/// Changes are on disk so long after they came, at the latest but for the disk's own time.
const SYNC_INTERVAL: Duration = Duration::from_millis(200);
/// Changes that come close together are written together.
const BATCHING_DELAY: Duration = Duration::from_millis(50);
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Bytes of items in one request that offers a snapshot.
const PAGE_BYTES: usize = 48 * 1024;
/// Keys under our prefix: the store's identity, jobs, and the mark of a store that is rebuilt.
const IDENTITY_KEYS: &str = "i/";
const JOB_KEYS: &str = "j/";
const REBUILD_MARKER: &str = "rebuilding";

/// Writes what the state service holds into an archive, with each change.
pub struct Snapshotter {
    client: StoreClient,
    archive: Archive,
    /// What the store held at the revision that was written last.
    image: Image,
    /// The store's identity; empty where it has none.
    store: String,
    /// `None` until the store has been listed, and when it has to be listed again.
    writer: Option<Writer>,
    synced_at: Instant,
    identity_checked_at: Instant,
}

/// A snapshot, as the state service would list it.
pub struct Snapshot {
    /// All keys and values.
    pub items: Vec<Item>,
    /// The revision of the store that they are of.
    pub revision: u64,
}

fn keys_under<'a>(image: &'a Image, keys: &str) -> impl Iterator<Item = (&'a str, &'a Entry)> {
    let prefix = format!("{PREFIX}{keys}");
    (image.items.iter()).filter_map(move |(key, entry)| Some((key.strip_prefix(&prefix)?, entry)))
}

fn entry_of(value: &serde_json::Value, version: u64) -> Entry {
    let value = value.to_string();
    Entry { version, value }
}

fn image_of(items: &[Item], revision: u64) -> Image {
    let mut image = Image::default();
    let change = |item: &Item| Change {
        key: item.key.clone(),
        entry: Some(entry_of(&item.value, item.version)),
    };
    image.apply(items.iter().map(change).collect(), revision);
    image
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

/// The newest identity of a store; empty where it has none.
fn identity(image: &Image) -> String {
    let newest = keys_under(image, IDENTITY_KEYS).max_by_key(|(_, entry)| entry.version);
    newest.map_or(String::new(), |(identity, _)| identity.to_string())
}

/// Whether the store that holds `now` can be the one that held `before`, at a later time. Jobs are
/// never deleted from a store.
fn is_continuation(before: &Image, now: &Image) -> bool {
    let mut jobs = keys_under(before, JOB_KEYS);
    now.revision >= before.revision
        && jobs.all(|(job, _)| now.items.contains_key(&format!("{PREFIX}{JOB_KEYS}{job}")))
}

impl Snapshotter {
    /// Opens an archive, and creates its folder if it is not there.
    ///
    /// # Errors
    /// The folder cannot be read or written.
    pub fn open(store_addr: SocketAddrV4, dir: &Path) -> io::Result<Snapshotter> {
        let now = Instant::now();
        Ok(Snapshotter {
            client: StoreClient::new(store_addr),
            archive: Archive::open(dir)?,
            image: Image::default(),
            store: String::new(),
            writer: None,
            synced_at: now,
            identity_checked_at: now,
        })
    }

    /// Follows the store for the rest of the process's life; after an error it starts again.
    pub fn run(&mut self) -> ! {
        loop {
            if let Err(error) = self.follow_once() {
                tracing::warn!(%error, "snapshot failed");
                self.writer = None;
                std::thread::sleep(RETRY_DELAY);
            }
        }
    }

    /// Lists the store and writes a snapshot of it; returns its revision.
    ///
    /// # Errors
    /// The state service gives no answer or holds nothing, or the archive cannot be written.
    pub fn take_snapshot(&mut self) -> io::Result<u64> {
        let Listing { items, revision } = self.client.list().map_err(io_error)?;
        if items.is_empty() {
            let text = "the state service holds nothing yet";
            return Err(io::Error::new(io::ErrorKind::NotFound, text));
        }
        let image = image_of(&items, revision);
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
            // It is another store now: what is kept of the old one stays as it is.
            self.writer = None;
            return Ok(());
        }
        self.check_identity_exists();
        if has_changes {
            std::thread::sleep(BATCHING_DELAY);
        }
        Ok(())
    }

    /// `None` if the store has to be listed again.
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

    /// A watch on a store that exists no more brings nothing; its identity would be missing.
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

/// The newest snapshot in a folder; `None` if there is none that can be read.
///
/// # Errors
/// The folder cannot be read or created.
pub fn newest_snapshot(dir: &Path) -> io::Result<Option<Snapshot>> {
    let Some(archived) = select_timeline(Archive::open(dir)?.list()?) else {
        return Ok(None);
    };
    let Ok(timeline) = archived.timeline else {
        return Ok(None);
    };
    for fault in &timeline.faults {
        tracing::warn!(snapshot = archived.name, %fault, "snapshot damaged");
    }
    let revision = timeline.image.revision;
    let keys = timeline.image.items.len();
    tracing::info!(snapshot = archived.name, keys, revision, "snapshot read");
    let items = store_items(&timeline.image);
    Ok(Some(Snapshot { items, revision }))
}

/// Whether a timeline can be read and has keys under a prefix of ours.
fn has_keys_under(archived: &ArchivedTimeline, keys: &str) -> bool {
    let timeline = archived.timeline.as_ref();
    timeline.is_ok_and(|timeline| keys_under(&timeline.image, keys).next().is_some())
}

/// Whether it is of a store that was empty and taken for new.
fn is_of_new_store(archived: &ArchivedTimeline) -> bool {
    let was_first = |(_, entry): (&str, &Entry)| {
        let value = serde_json::from_str::<serde_json::Value>(&entry.value);
        value.is_ok_and(|value| !value["first"].is_null())
    };
    let timeline = archived.timeline.as_ref();
    timeline.is_ok_and(|timeline| keys_under(&timeline.image, IDENTITY_KEYS).any(was_first))
}

/// The newest timeline that has a whole store; where there is none, the newest that can be read.
pub fn select_timeline(mut timelines: Vec<ArchivedTimeline>) -> Option<ArchivedTimeline> {
    // A store that is being rebuilt, or has no identity yet, has less than the one before it; nor
    // has one everything that began as new after there had been another.
    let is_whole = |archived: &ArchivedTimeline| {
        has_keys_under(archived, IDENTITY_KEYS)
            && !has_keys_under(archived, REBUILD_MARKER)
            && !is_of_new_store(archived)
    };
    let chosen = (timelines.iter().rposition(is_whole))
        .or_else(|| {
            timelines
                .iter()
                .position(|l| has_keys_under(l, IDENTITY_KEYS))
        })
        .or_else(|| timelines.iter().rposition(|l| l.timeline.is_ok()));
    chosen.map(|index| timelines.swap_remove(index))
}

/// An image as the state service would list it.
pub fn store_items(image: &Image) -> Vec<Item> {
    let item = |(key, entry): (&String, &Entry)| Item {
        key: key.clone(),
        value: serde_json::from_str(&entry.value).unwrap_or_default(),
        version: entry.version,
        lease: None,
    };
    image.items.iter().map(item).collect()
}

fn store_cache(image: &Image) -> StoreCache {
    let mut store_cache = StoreCache::default();
    store_cache.reset(store_items(image), image.revision);
    store_cache
}

/// What a snapshot holds.
pub struct Summary {
    /// Ids of jobs that have not ended.
    pub live: Vec<String>,
    /// How many jobs have ended.
    pub ended: usize,
    /// How many machines there are.
    pub machines: usize,
    /// The newest leader's term.
    pub term: u64,
}

/// Reads what a snapshot holds.
pub fn summary(image: &Image) -> Summary {
    let store_cache = store_cache(image);
    Summary {
        live: store_cache.jobs.keys().map(ToString::to_string).collect(),
        ended: store_cache.finished.len(),
        machines: store_cache.machines.len(),
        term: store_cache.term,
    }
}

/// A timeline from which nothing can be read.
#[derive(Debug, thiserror::Error)]
#[error("{name}: nothing to be read: {faults:?}")]
pub struct UnreadableTimeline {
    name: String,
    faults: Vec<RecordFault>,
}

/// A snapshot as requests that offer it to the leader, one after the other.
///
/// # Errors
/// Nothing can be read of the timeline.
pub fn snapshot_pages(
    archived: &ArchivedTimeline,
) -> Result<Vec<SnapshotPage>, UnreadableTimeline> {
    let timeline = archived
        .timeline
        .as_ref()
        .map_err(|faults| UnreadableTimeline {
            name: archived.name.clone(),
            faults: faults.clone(),
        })?;
    let store_cache = store_cache(&timeline.image);
    let mut pages: Vec<SnapshotPage> = Vec::new();
    let mut after = String::new();
    loop {
        // Large jobs are whole in it, whatever the parts in which they were stored.
        let (items, more) = store_cache.export_page(&after, PAGE_BYTES);
        if let Some((key, _)) = items.last() {
            after = key.clone();
        }
        pages.push(SnapshotPage {
            store: timeline.header.store.clone(),
            last: !more,
            items,
        });
        if !more {
            return Ok(pages);
        }
    }
}
