//! Follows the state service and keeps on disk what it holds (`burlusher-snapshot`). It leads nothing
//! and serves nobody: a process of its own (`burlusher archive`), or a thread of a controller that has
//! a folder for it (`burlusher serve --snapshots`).
//!
//! A store that has lost data gets another line in the archive, so that what was kept before is there
//! when it is needed.

use crate::core::StoreCache;
use crate::store_client::{PREFIX, StoreClient, StoreOutcome, StoreRequest};
use crate::wire::{Item, SnapshotPage, WatchEvent};
use burlusher_snapshot::archive::{Archive, ArchivedTimeline};
use burlusher_snapshot::image::{Change, Entry, Image};
use burlusher_snapshot::timeline::Writer;
use std::io;
use std::net::SocketAddrV4;
use std::path::Path;
use std::time::{Duration, Instant};

/// A watch waits this long at the most, so that a loss, of which it would tell nothing, is noticed.
const WAIT: Duration = Duration::from_secs(3);
/// Changes are on disk so long after they were told, at the latest but for the disk's own time.
const SYNC_EVERY: Duration = Duration::from_millis(200);
/// Changes that come close together are written together.
const GATHER: Duration = Duration::from_millis(50);
const AGAIN: Duration = Duration::from_millis(500);
/// Bytes of items in one request that offers a snapshot.
const OFFERED: usize = 48 * 1024;

pub struct Snapshotter {
    client: StoreClient,
    archive: Archive,
    image: Image,
    store: String,
    writer: Option<Writer>,
    synced: Instant,
    looked: Instant,
}

fn entry(value: &serde_json::Value, version: u64) -> Option<Entry> {
    let value = value.to_string();
    Some(Entry { version, value })
}

fn image_of(items: &[Item], revision: u64) -> Image {
    let mut image = Image::default();
    let change = |i: &Item| Change {
        key: i.key.clone(),
        entry: entry(&i.value, i.version),
    };
    image.apply(items.iter().map(change).collect(), revision);
    image
}

/// The identity under which a store goes; empty where it has none.
fn identity(image: &Image) -> String {
    let prefix = format!("{PREFIX}i/");
    let named = image.items.iter().filter(|(k, _)| k.starts_with(&prefix));
    let newest = named.max_by_key(|(_, e)| e.version);
    newest.map_or(String::new(), |(k, _)| k[prefix.len()..].to_string())
}

/// Whether a store that has all of `now` can be the one that had all of `before`, later. Jobs are never
/// deleted from one.
fn goes_on(before: &Image, now: &Image) -> bool {
    let prefix = format!("{PREFIX}j/");
    let jobs = before.items.keys().filter(|k| k.starts_with(&prefix));
    let mut jobs = jobs.peekable();
    now.revision >= before.revision && jobs.all(|k| now.items.contains_key(k))
}

impl Snapshotter {
    pub fn open(state: SocketAddrV4, dir: &Path) -> io::Result<Snapshotter> {
        let now = Instant::now();
        Ok(Snapshotter {
            client: StoreClient::new(state),
            archive: Archive::open(dir)?,
            image: Image::default(),
            store: String::new(),
            writer: None,
            synced: now,
            looked: now,
        })
    }

    /// Follows the store for ever; what goes wrong is told in the log and tried again.
    pub fn run(&mut self) -> ! {
        loop {
            if let Err(e) = self.turn() {
                tracing::warn!("archive: {e}");
                self.writer = None;
                std::thread::sleep(AGAIN);
            }
        }
    }

    /// Reads the store as a whole and writes that down; gives the revision.
    pub fn take(&mut self) -> io::Result<u64> {
        let (items, revision) = self.client.list().map_err(trouble)?;
        if items.is_empty() {
            let text = "the state service holds nothing yet";
            return Err(io::Error::new(io::ErrorKind::NotFound, text));
        }
        let image = image_of(&items, revision);
        let store = identity(&image);
        let newest = self.archive.newest()?.and_then(|l| l.timeline.ok());
        let same = newest
            .as_ref()
            .is_some_and(|l| l.header.store == store && goes_on(&l.image, &image));
        let writer = if same {
            self.archive.resume(&image, &store)?
        } else {
            tracing::info!("archive: a line for the store {store:?} from revision {revision} on");
            self.archive.begin(&store, &image)?
        };
        (self.image, self.store, self.writer) = (image, store, Some(writer));
        Ok(revision)
    }

    /// One watch, or one list.
    fn turn(&mut self) -> io::Result<()> {
        if self.writer.is_none() {
            self.take()?;
            return Ok(());
        }
        let waiting = self.synced.elapsed() < SYNC_EVERY;
        let wait = if waiting { SYNC_EVERY } else { WAIT };
        let since = self.image.revision;
        let told = self.client.watch(since, wait).map_err(trouble)?;
        let Some((revision, events)) = told.filter(|(revision, _)| *revision >= since) else {
            self.writer = None;
            return Ok(());
        };
        let change = |e: WatchEvent| {
            let key = e.put.clone().or(e.delete)?;
            let entry = e.put.and_then(|_| entry(&e.value, e.version));
            Some(Change { key, entry })
        };
        let changes: Vec<Change> = events.into_iter().filter_map(change).collect();
        let Some(writer) = &mut self.writer else {
            return Ok(());
        };
        writer.append(&changes, revision)?;
        let told = !changes.is_empty();
        self.image.apply(changes, revision);
        if self.synced.elapsed() >= SYNC_EVERY {
            writer.sync()?;
            self.synced = Instant::now();
        }
        if writer.is_long() {
            writer.compact(&self.image)?;
        }
        if identity(&self.image) != self.store {
            // It goes by another name: what is kept under the old one stays as it is.
            self.writer = None;
            return Ok(());
        }
        self.look()?;
        if told {
            std::thread::sleep(GATHER);
        }
        Ok(())
    }

    /// A watch on a store that is no more tells nothing; its identity would be missing.
    fn look(&mut self) -> io::Result<()> {
        if self.looked.elapsed() < WAIT || self.store.is_empty() {
            return Ok(());
        }
        self.looked = Instant::now();
        let key = format!("{PREFIX}i/{}", self.store);
        if let StoreOutcome::Missing { .. } = self.client.perform(&StoreRequest::Get(key)) {
            self.writer = None;
        }
        Ok(())
    }
}

fn trouble(outcome: StoreOutcome) -> io::Error {
    io::Error::other(format!("state service: {outcome:?}"))
}

/// The newest snapshot in a folder, as the state service would list it; `None` if there is none.
pub fn remembered(dir: &Path) -> io::Result<Option<(Vec<Item>, u64)>> {
    let Some(listed) = best(Archive::open(dir)?.list()?) else {
        return Ok(None);
    };
    let Ok(line) = listed.timeline else {
        return Ok(None);
    };
    for fault in &line.faults {
        tracing::warn!("snapshot {}: {fault}", listed.name);
    }
    tracing::info!(
        "snapshot {}: {} keys as of revision {}",
        listed.name,
        line.image.items.len(),
        line.image.revision
    );
    Ok(Some((items(&line.image), line.image.revision)))
}

/// Whether it is of a store that was empty and taken for new.
fn began(l: &ArchivedTimeline) -> bool {
    let prefix = format!("{PREFIX}i/");
    let items = l.timeline.as_ref().map(|l| &l.image.items);
    items.is_ok_and(|items| {
        let mut names = items.iter().filter(|(k, _)| k.starts_with(&prefix));
        names.any(|(_, e)| {
            let value = serde_json::from_str::<serde_json::Value>(&e.value);
            value.is_ok_and(|v| !v["first"].is_null())
        })
    })
}

/// The newest line that tells of a whole store; where there is none, the newest that can be read.
pub fn best(mut lines: Vec<ArchivedTimeline>) -> Option<ArchivedTimeline> {
    // One that is being rebuilt, or has not got a name yet, has less than the one before it.
    let has = |l: &ArchivedTimeline, what: &str| {
        let under = format!("{PREFIX}{what}");
        let held = l.timeline.as_ref().map(|l| l.image.items.keys());
        held.is_ok_and(|mut keys| keys.any(|k| k.starts_with(&under)))
    };
    // Nor has one that began as new after there had been another.
    let whole = (lines.iter()).rposition(|l| has(l, "i/") && !has(l, "rebuilding") && !began(l));
    let whole = whole.or_else(|| lines.iter().position(|l| has(l, "i/")));
    let chosen = whole.or_else(|| lines.iter().rposition(|l| l.timeline.is_ok()));
    chosen.map(|n| lines.swap_remove(n))
}

/// An image as the state service would list it.
pub fn items(image: &Image) -> Vec<Item> {
    let item = |(key, e): (&String, &Entry)| Item {
        key: key.clone(),
        value: serde_json::from_str(&e.value).unwrap_or_default(),
        version: e.version,
        lease: None,
    };
    image.items.iter().map(item).collect()
}

/// What a snapshot says, in numbers.
pub struct Summary {
    pub live: Vec<String>,
    pub ended: usize,
    pub machines: usize,
    pub term: u64,
}

pub fn summary(image: &Image) -> Summary {
    let mut store_cache = StoreCache::default();
    store_cache.reset(items(image), image.revision);
    Summary {
        live: store_cache.jobs.keys().map(|id| id.to_string()).collect(),
        ended: store_cache.finished.len(),
        machines: store_cache.machines.len(),
        term: store_cache.term,
    }
}

/// A snapshot as requests that offer it to the leader, one after the other.
pub fn offers(listed: &ArchivedTimeline) -> Result<Vec<SnapshotPage>, String> {
    let line = (listed.timeline.as_ref())
        .map_err(|faults| format!("{}: nothing to be read: {faults:?}", listed.name))?;
    let mut store_cache = StoreCache::default();
    store_cache.reset(items(&line.image), line.image.revision);
    let mut out: Vec<SnapshotPage> = Vec::new();
    let mut after = String::new();
    loop {
        // Large jobs are whole in it, whatever the parts in which they were stored.
        let (items, more) = store_cache.memory(&after, OFFERED);
        if let Some((key, _)) = items.last() {
            after = key.clone();
        }
        out.push(SnapshotPage {
            store: line.header.store.clone(),
            last: !more,
            items,
        });
        if !more {
            return Ok(out);
        }
    }
}
