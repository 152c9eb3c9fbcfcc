//! The folder that an archivist writes: its key, and a line for each store that was followed. When a
//! store loses data it is another one from then on, and gets a line of its own: what was kept of the
//! one before is never written over.

use crate::image::Image;
use crate::line::{self, Found, Line, Writer};
use crate::record::Key;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Lines that are kept; the oldest goes first.
const KEPT: usize = 8;
const KEY_FILE: &str = "key";

pub struct Archive {
    dir: PathBuf,
    key: Key,
}

/// A line's folder, and what can be read of it.
pub struct Listed {
    /// The folder's name: a number, and the store's identity.
    pub name: String,
    pub line: Result<Line, Vec<Found>>,
}

impl Archive {
    /// Opens a folder, and makes it with a new key if it is not there.
    pub fn open(dir: &Path) -> io::Result<Archive> {
        std::fs::create_dir_all(dir)?;
        let path = dir.join(KEY_FILE);
        if !path.exists() {
            let key: Key = rand::random();
            let mut part = tempfile::Builder::new().prefix("part-").tempfile_in(dir)?;
            part.write_all(&key)?;
            part.as_file().sync_all()?;
            // Whoever comes second uses the first one's.
            match part.persist_noclobber(&path) {
                Ok(_) => {}
                Err(e) if e.error.kind() == io::ErrorKind::AlreadyExists => {}
                Err(e) => return Err(e.error),
            }
        }
        Archive::existing(dir)
    }

    /// Opens a folder that must be there.
    pub fn existing(dir: &Path) -> io::Result<Archive> {
        let bytes = std::fs::read(dir.join(KEY_FILE))?;
        let key = Key::try_from(bytes.as_slice()).map_err(|_| {
            io::Error::new(io::ErrorKind::InvalidData, "its key is not 32 bytes long")
        })?;
        Ok(Archive {
            dir: dir.into(),
            key,
        })
    }

    /// Lines by number, the newest last.
    fn names(&self) -> io::Result<Vec<(u64, String)>> {
        let mut out = Vec::new();
        for entry in std::fs::read_dir(&self.dir)? {
            let entry = entry?;
            let name = entry.file_name().to_string_lossy().into_owned();
            let number = name.split('-').next().and_then(|n| n.parse::<u64>().ok());
            if let Some(number) = number.filter(|_| entry.path().is_dir()) {
                out.push((number, name));
            }
        }
        out.sort();
        Ok(out)
    }

    /// Begins a line of its own for a store.
    pub fn begin(&self, store: &str, image: &Image) -> io::Result<Writer> {
        let names = self.names()?;
        let number = names.last().map_or(1, |(n, _)| n + 1);
        // Identities are letters and digits; whatever else one has is not for a file's name.
        let plain: String = store.chars().filter(char::is_ascii_alphanumeric).collect();
        let plain = if plain.is_empty() { "unnamed" } else { &plain };
        let dir = self.dir.join(format!("{number:04}-{plain}"));
        let writer = Writer::begin(&dir, self.key, store, image)?;
        std::fs::File::open(&self.dir)?.sync_all()?;
        let old = (names.len() + 1).saturating_sub(KEPT);
        for (_, name) in &names[..old] {
            std::fs::remove_dir_all(self.dir.join(name))?;
        }
        Ok(writer)
    }

    /// Goes on with the newest line, with a base of what the store holds now.
    pub fn go_on(&self, image: &Image, store: &str) -> io::Result<Writer> {
        match self.names()?.last() {
            Some((_, name)) => Writer::begin(&self.dir.join(name), self.key, store, image),
            None => self.begin(store, image),
        }
    }

    pub fn list(&self) -> io::Result<Vec<Listed>> {
        let names = self.names()?.into_iter();
        names.map(|(_, name)| self.read(&name)).collect()
    }

    /// The newest line that has a base; `None` if there is none.
    pub fn newest(&self) -> io::Result<Option<Listed>> {
        for (_, name) in self.names()?.into_iter().rev() {
            let listed = self.read(&name)?;
            if listed.line.is_ok() {
                return Ok(Some(listed));
            }
        }
        Ok(None)
    }

    /// One line, by its folder's name, by its number, or by the store's identity (the newest of it).
    pub fn find(&self, which: &str) -> io::Result<Option<Listed>> {
        let names = self.names()?;
        let named = |(number, name): &&(u64, String)| {
            let store = name.split_once('-').map_or("", |(_, s)| s);
            name == which || number.to_string() == which || store == which
        };
        match names.iter().rev().find(named) {
            Some((_, name)) => self.read(name).map(Some),
            None => Ok(None),
        }
    }

    fn read(&self, name: &str) -> io::Result<Listed> {
        Ok(Listed {
            name: name.into(),
            line: line::read(&self.dir.join(name), &self.key)?,
        })
    }
}

#[cfg(test)]
mod tests;
