//! Archive folder of a snapshotter: its key, and a timeline for each store that was followed. A store
//! that has lost data counts as a new store and gets its own timeline, so the timeline of the previous
//! store is never overwritten.

use crate::image::Image;
use crate::record::ArchiveKey;
use crate::timeline::{self, RecordFault, Timeline, TimelineError, Writer};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Number of timelines that are kept; the oldest ones are removed.
const KEPT_TIMELINES: usize = 8;
const KEY_FILE: &str = "key";

/// Folder of timelines.
pub struct Archive {
    dir: PathBuf,
    key: ArchiveKey,
}

/// Timeline of an archive, as far as it can be read.
pub struct ArchivedTimeline {
    /// Name of the timeline's folder: a number and the store's identity.
    pub name: String,
    /// The timeline, or the faults because of which nothing of it can be read.
    pub timeline: Result<Timeline, Vec<RecordFault>>,
}

/// Name of a timeline's folder, and the number at its start.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct FolderName {
    number: u64,
    name: String,
}

impl FolderName {
    /// Returns the store's identity from the name.
    fn store(&self) -> &str {
        self.name.split_once('-').map_or("", |(_, store)| store)
    }
}

impl Archive {
    /// Opens an archive; creates the folder and a new key if they do not exist.
    pub fn open(dir: &Path) -> io::Result<Archive> {
        std::fs::create_dir_all(dir)?;
        let path = dir.join(KEY_FILE);
        if !path.exists() {
            let key: ArchiveKey = rand::random();
            let mut part = tempfile::Builder::new().prefix("part-").tempfile_in(dir)?;
            part.write_all(&key)?;
            part.as_file().sync_all()?;
            // If another process has just created a key, that key is used.
            match part.persist_noclobber(&path) {
                Ok(_) => {}
                Err(e) if e.error.kind() == io::ErrorKind::AlreadyExists => {}
                Err(e) => return Err(e.error),
            }
        }
        Archive::open_existing(dir)
    }

    /// Opens an archive that must exist.
    pub fn open_existing(dir: &Path) -> io::Result<Archive> {
        let bytes = std::fs::read(dir.join(KEY_FILE))?;
        let key = ArchiveKey::try_from(bytes.as_slice()).map_err(|_| {
            io::Error::new(
                io::ErrorKind::InvalidData,
                "the archive's key is not 32 bytes long",
            )
        })?;
        Ok(Archive {
            dir: dir.into(),
            key,
        })
    }

    /// Returns the folders of the timelines, the newest last.
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

    /// Creates a timeline for a store and removes the oldest timelines beyond the limit.
    pub fn create_timeline(&self, store: &str, image: &Image) -> io::Result<Writer> {
        let folders = self.folders()?;
        let number = folders.last().map_or(1, |newest| newest.number + 1);
        // Identities consist of letters and digits; other characters could be unsafe in a file name.
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

    /// Continues the newest timeline with a new base of the store's present content.
    pub fn resume(&self, image: &Image, store: &str) -> io::Result<Writer> {
        match self.folders()?.last() {
            Some(newest) => Writer::begin(&self.dir.join(&newest.name), self.key, store, image),
            None => self.create_timeline(store, image),
        }
    }

    /// Reads all timelines, the newest last.
    pub fn list(&self) -> io::Result<Vec<ArchivedTimeline>> {
        let folders = self.folders()?;
        folders
            .iter()
            .map(|folder| self.read_timeline(folder))
            .collect()
    }

    /// Reads the newest timeline with a complete base; `None` if there is none.
    pub fn newest(&self) -> io::Result<Option<ArchivedTimeline>> {
        for folder in self.folders()?.iter().rev() {
            let archived = self.read_timeline(folder)?;
            if archived.timeline.is_ok() {
                return Ok(Some(archived));
            }
        }
        Ok(None)
    }

    /// Reads the timeline with this folder name, number or store identity; the newest one if several
    /// match.
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
