//! Content of the archive: which timeline is used to restore a store, and what it holds.

use super::{IDENTITY_KEYS, REBUILD_MARKER, keys_under};
use crate::core::{StoreCache, StoreList};
use crate::wire::{Item, SnapshotPage};
use burlusher_snapshot::archive::{Archive, ArchivedTimeline};
use burlusher_snapshot::image::{Entry, Image};
use burlusher_snapshot::timeline::RecordFault;
use std::io;
use std::path::Path;

/// Size of the items in one request that offers a snapshot, in bytes.
const PAGE_BYTES: usize = 48 * 1024;

/// Content of a snapshot, as the state service would list it.
pub struct Snapshot {
    /// All keys with their values.
    pub list: StoreList,
    /// Revision of the store.
    pub revision: u64,
}

/// Reads the newest usable snapshot in a folder, as chosen by [`select_timeline`]; `None` if no
/// snapshot can be read.
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
    let list = store_list(&timeline.image);
    Ok(Some(Snapshot { list, revision }))
}

/// Returns whether a timeline can be read and has keys below `PREFIX` and `keys`.
fn has_keys_under(archived: &ArchivedTimeline, keys: &str) -> bool {
    let timeline = archived.timeline.as_ref();
    timeline.is_ok_and(|timeline| keys_under(&timeline.image, keys).next().is_some())
}

/// Returns whether a timeline belongs to a store that was empty and was initialised as new.
fn is_of_new_store(archived: &ArchivedTimeline) -> bool {
    let was_first = |(_, entry): (&str, &Entry)| {
        let value = serde_json::from_str::<serde_json::Value>(&entry.value);
        value.is_ok_and(|value| !value["first"].is_null())
    };
    let timeline = archived.timeline.as_ref();
    timeline.is_ok_and(|timeline| keys_under(&timeline.image, IDENTITY_KEYS).any(was_first))
}

/// Selects the newest timeline of a complete store. If there is none, selects the oldest one with a
/// store identity, and otherwise the newest one that can be read.
pub fn select_timeline(mut timelines: Vec<ArchivedTimeline>) -> Option<ArchivedTimeline> {
    // A store that is being rebuilt or has no identity yet holds less than its predecessor. A store
    // that was initialised as new may also lack data, if an earlier store was lost before.
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

/// Returns the items of an image as the state service would list them.
fn store_list(image: &Image) -> StoreList {
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
    store_cache.reset(store_list(image), image.revision);
    store_cache
}

/// Summary of the content of a snapshot.
pub struct Summary {
    /// Ids of the jobs that have not ended.
    pub live: Vec<String>,
    /// Number of jobs that have ended.
    pub ended: usize,
    /// Number of machines.
    pub machines: usize,
    /// Term of the newest leader.
    pub term: u64,
}

/// Summarises the content of a snapshot.
pub fn summary(image: &Image) -> Summary {
    let store_cache = store_cache(image);
    Summary {
        live: store_cache.jobs.keys().map(ToString::to_string).collect(),
        ended: store_cache.ended_jobs.len(),
        machines: store_cache.machines.len(),
        term: store_cache.term,
    }
}

/// Error of a timeline of which nothing can be read.
#[derive(Debug, thiserror::Error)]
#[error("snapshot {name} cannot be read: {faults:?}")]
pub struct UnreadableTimeline {
    name: String,
    faults: Vec<RecordFault>,
}

/// Returns the requests that offer a snapshot to the leader, in order.
///
/// # Errors
/// Nothing of the timeline can be read.
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
        // The cache holds large jobs as a whole, even if they were stored in several parts.
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
