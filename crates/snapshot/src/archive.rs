//! The folder that a snapshotter writes: its key, and a timeline for each store that was followed.
//! When a store loses data it is another one from then on, and gets a timeline of its own: what was
//! kept of the one before is never written over.

use crate::image::Image;
use crate::record::ArchiveKey;
use crate::timeline::{self, RecordFault, Timeline, TimelineError, Writer};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Timelines that are kept; the oldest goes first.
const KEPT_TIMELINES: usize = 8;
const KEY_FILE: &str = "key";

/// A folder of timelines.
pub struct Archive {
    dir: PathBuf,
    key: ArchiveKey,
}

/// A timeline's folder, and what can be read of it.
pub struct ArchivedTimeline {
    /// The folder's name: a number, and the store's identity.
    pub name: String,
    /// What can be read of it; where nothing can be, the faults that say why.
    pub timeline: Result<Timeline, Vec<RecordFault>>,
}

/// The name of a timeline's folder, with the number at its start.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct FolderName {
    number: u64,
    name: String,
}

impl FolderName {
    /// The store's identity in the name.
    fn store(&self) -> &str {
        self.name.split_once('-').map_or("", |(_, store)| store)
    }
}

impl Archive {
    /// Opens a folder, and makes it with a new key if it is not there.
    pub fn open(dir: &Path) -> io::Result<Archive> {
        std::fs::create_dir_all(dir)?;
        let path = dir.join(KEY_FILE);
        if !path.exists() {
            let key: ArchiveKey = rand::random();
            let mut part = tempfile::Builder::new().prefix("part-").tempfile_in(dir)?;
            part.write_all(&key)?;
            part.as_file().sync_all()?;
            // The second of two concurrent writers uses the key of the first.
            match part.persist_noclobber(&path) {
                Ok(_) => {}
                Err(e) if e.error.kind() == io::ErrorKind::AlreadyExists => {}
                Err(e) => return Err(e.error),
            }
        }
        Archive::open_existing(dir)
    }

    /// Opens a folder that must be there.
    pub fn open_existing(dir: &Path) -> io::Result<Archive> {
        let bytes = std::fs::read(dir.join(KEY_FILE))?;
        let key = ArchiveKey::try_from(bytes.as_slice()).map_err(|_| {
            io::Error::new(io::ErrorKind::InvalidData, "its key is not 32 bytes long")
        })?;
        Ok(Archive {
            dir: dir.into(),
            key,
        })
    }

    /// The timelines' folders by number, the newest last.
    fn folders(&self) -> io::Result<Vec<FolderName>> {
        let mut folders = Vec::new();
        for entry in std::fs::read_dir(&self.dir)? {
            let entry = entry?;
            let name = entry.file_name().to_string_lossy().into_owned();
            let number = name.split('-').next().and_then(|n| n.parse::<u64>().ok());
            if let Some(number) = number.filter(|_| entry.path().is_dir()) {
                folders.push(FolderName { number, name });
            }
        }
        folders.sort();
        Ok(folders)
    }

    /// Begins a new timeline for a store.
    pub fn create_timeline(&self, store: &str, image: &Image) -> io::Result<Writer> {
        let folders = self.folders()?;
        let number = folders.last().map_or(1, |newest| newest.number + 1);
        // Identities are letters and digits; whatever else one has is not for a file's name.
        let sanitized: String = store.chars().filter(char::is_ascii_alphanumeric).collect();
        let sanitized = if sanitized.is_empty() {
            "unnamed"
        } else {
            &sanitized
        };
        let dir = self.dir.join(format!("{number:04}-{sanitized}"));
        let writer = Writer::begin(&dir, self.key, store, image)?;
        std::fs::File::open(&self.dir)?.sync_all()?;
        let excess = (folders.len() + 1).saturating_sub(KEPT_TIMELINES);
        for folder in &folders[..excess] {
            std::fs::remove_dir_all(self.dir.join(&folder.name))?;
        }
        Ok(writer)
    }

    /// Goes on with the newest timeline, with a base of what the store holds now.
    pub fn resume(&self, image: &Image, store: &str) -> io::Result<Writer> {
        match self.folders()?.last() {
            Some(newest) => Writer::begin(&self.dir.join(&newest.name), self.key, store, image),
            None => self.create_timeline(store, image),
        }
    }

    /// Reads every timeline, the newest last.
    pub fn list(&self) -> io::Result<Vec<ArchivedTimeline>> {
        let folders = self.folders()?;
        folders
            .iter()
            .map(|folder| self.read_timeline(folder))
            .collect()
    }

    /// The newest timeline that has a base; `None` if there is none.
    pub fn newest(&self) -> io::Result<Option<ArchivedTimeline>> {
        for folder in self.folders()?.iter().rev() {
            let archived = self.read_timeline(folder)?;
            if archived.timeline.is_ok() {
                return Ok(Some(archived));
            }
        }
        Ok(None)
    }

    /// One timeline, by its folder's name, by its number, or by the store's identity (the newest of
    /// it).
    pub fn find(&self, which: &str) -> io::Result<Option<ArchivedTimeline>> {
        let folders = self.folders()?;
        let matches = |folder: &&FolderName| {
            folder.name == which || folder.number.to_string() == which || folder.store() == which
        };
        let found = folders.iter().rev().find(matches);
        found.map(|folder| self.read_timeline(folder)).transpose()
    }

    fn read_timeline(&self, folder: &FolderName) -> io::Result<ArchivedTimeline> {
        let timeline = match timeline::read(&self.dir.join(&folder.name), &self.key) {
            Ok(timeline) => Ok(timeline),
            Err(TimelineError::NoBase(faults)) => Err(faults),
            Err(TimelineError::Io(error)) => return Err(error),
        };
        Ok(ArchivedTimeline {
            name: folder.name.clone(),
            timeline,
        })
    }
}

#[cfg(test)]
mod tests;
