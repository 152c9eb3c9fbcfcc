//! Writes a timeline.

use super::{base_name, log_name, pair_numbers};
use crate::codec::Encoder;
use crate::image::{Change, Image};
use crate::record::{self, ArchiveKey, ChainHash, RecordKind, initial_hash};
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

/// Size at which a record of a base is written, in bytes before compression.
const BASE_RECORD_BYTES: usize = 128 * 1024;
/// Maximum number of changes in a record of a log; long changes reach the size limit first.
const CHANGES_IN_RECORD: usize = 256;
/// Size up to which a log is not compacted, in bytes.
const MIN_COMPACTED_LOG: usize = 256 * 1024;
/// Number of base and log pairs that are kept.
const KEPT_PAIRS: u64 = 2;

/// Timeline that is being written.
pub struct Writer {
    dir: PathBuf,
    key: ArchiveKey,
    store: String,
    log: File,
    chain: ChainHash,
    base_bytes: usize,
    log_bytes: usize,
    unsynced: bool,
}

impl Writer {
    /// Starts a new base and log pair with the content of the store; keeps the pair before it and removes
    /// older ones.
    pub fn begin(dir: &Path, key: ArchiveKey, store: &str, image: &Image) -> io::Result<Writer> {
        std::fs::create_dir_all(dir)?;
        let number = pair_numbers(dir)?.last().map_or(1, |newest| newest + 1);
        let (base, log) = (base_name(number), log_name(number));
        // The log is created before its base, as a base must have a log but a log without a base is
        // ignored.
        let log_file = File::create_new(dir.join(&log))?;
        let mut part = tempfile::Builder::new().prefix("part-").tempfile_in(dir)?;
        let base_bytes = write_base(&mut part, &key, &base, store, image)?;
        part.as_file().sync_all()?;
        part.persist(dir.join(&base)).map_err(|e| e.error)?;
        File::open(dir)?.sync_all()?;
        remove_old_pairs(dir, number)?;
        Ok(Writer {
            dir: dir.into(),
            key,
            store: store.into(),
            log: log_file,
            chain: initial_hash(&key, &log),
            base_bytes,
            log_bytes: 0,
            unsynced: false,
        })
    }

    /// Appends changes to the log. They are durable only after `sync`.
    pub fn append(&mut self, changes: &[Change], revision: u64) -> io::Result<()> {
        let mut rest = changes;
        while !rest.is_empty() {
            let (encoded, count) = next_record(rest, revision);
            rest = &rest[count..];
            self.log_bytes += record::write(
                &mut self.log,
                &self.key,
                &mut self.chain,
                RecordKind::Changes,
                encoded.bytes(),
            )?;
            self.unsynced = true;
        }
        Ok(())
    }

    /// Waits until everything appended is on disk.
    pub fn sync(&mut self) -> io::Result<()> {
        if std::mem::take(&mut self.unsynced) {
            self.log.sync_data()?;
        }
        Ok(())
    }

    /// Returns whether the log is so long that a new base should replace it.
    pub fn needs_compaction(&self) -> bool {
        self.log_bytes > MIN_COMPACTED_LOG.max(self.base_bytes)
    }

    /// Replaces the base and its log by a new base and an empty log.
    pub fn compact(&mut self, image: &Image) -> io::Result<()> {
        self.sync()?;
        *self = Writer::begin(&self.dir, self.key, &self.store, image)?;
        Ok(())
    }
}

fn remove_old_pairs(dir: &Path, newest: u64) -> io::Result<()> {
    let numbers = pair_numbers(dir)?.into_iter();
    for old in numbers.filter(|number| number + KEPT_PAIRS <= newest) {
        for name in [base_name(old), log_name(old)] {
            // One of the files may be missing; a file that cannot be removed is tried again when the
            // next pair is started.
            let _ = std::fs::remove_file(dir.join(name));
        }
    }
    Ok(())
}

/// Encodes a record of the first of these changes; returns it with the number of changes, which is
/// limited so that the record can be read back.
fn next_record(changes: &[Change], revision: u64) -> (Encoder, usize) {
    let mut encoded = Encoder::default();
    encoded.write_u64(revision);
    encoded.write_u64(now_ms());
    let mut count = 0;
    for change in changes.iter().take(CHANGES_IN_RECORD) {
        let length = encoded.len();
        encoded.write_change(&change.key, change.entry.as_ref());
        if encoded.len() > record::MAX_RECORD_BYTES && count > 0 {
            encoded.truncate(length);
            break;
        }
        count += 1;
    }
    (encoded, count)
}

/// Writes a base; returns its length in the file, in bytes.
fn write_base(
    out: impl Write,
    key: &ArchiveKey,
    name: &str,
    store: &str,
    image: &Image,
) -> io::Result<usize> {
    let mut file = BufWriter::new(out);
    let mut chain = initial_hash(key, name);
    let mut bytes = 0;
    let mut put = |kind, encoded: &Encoder| -> io::Result<()> {
        bytes += record::write(&mut file, key, &mut chain, kind, encoded.bytes())?;
        Ok(())
    };
    let mut header = Encoder::default();
    header.write_u64(image.revision);
    header.write_u64(now_ms());
    header.write_str(store);
    put(RecordKind::Header, &header)?;
    let mut items = Encoder::default();
    for (item_key, entry) in &image.items {
        items.write_change(item_key, Some(entry));
        if items.len() >= BASE_RECORD_BYTES {
            put(RecordKind::Items, &std::mem::take(&mut items))?;
        }
    }
    if !items.is_empty() {
        put(RecordKind::Items, &items)?;
    }
    let mut end = Encoder::default();
    end.write_u64(image.items.len() as u64);
    put(RecordKind::End, &end)?;
    file.flush()?;
    Ok(bytes)
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.unwrap_or(Duration::ZERO).as_millis() as u64
}
