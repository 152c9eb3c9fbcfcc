//! A base and its log. A base is written beside its place, synced, and put there whole; the log after
//! it only grows. When the log has become longer than its base, a new base takes the place of both,
//! and the pair before stays until there is another one: a line can always be read.

use crate::image::{Change, Entry, Image};
use crate::record::{self, Fault, Key, Kind, Link, Next, first_link};
use std::fs::File;
use std::io::{self, BufReader, BufWriter, Write};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

/// Raw bytes of a record of a base.
const PIECE: usize = 128 * 1024;
/// Changes in a record of a log, where they are short.
const CHANGES_IN_RECORD: usize = 256;
/// A log shorter than this is not worth a new base.
const LEAST_LOG: usize = 256 * 1024;
/// Pairs of base and log that are kept.
const KEPT: u64 = 2;

/// What a line is of, and when its base was taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// The store's identity; empty if it has none.
    pub store: String,
    pub revision: u64,
    /// Since 1970, in milliseconds.
    pub at_ms: u64,
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.unwrap_or(Duration::ZERO).as_millis() as u64
}

#[derive(Default)]
struct Out(Vec<u8>);

impl Out {
    fn number(&mut self, n: u64) {
        self.0.extend_from_slice(&n.to_le_bytes());
    }

    fn text(&mut self, t: &str) {
        self.0.extend_from_slice(&(t.len() as u32).to_le_bytes());
        self.0.extend_from_slice(t.as_bytes());
    }
}

struct In<'a>(&'a [u8]);

impl In<'_> {
    fn number(&mut self) -> Option<u64> {
        let (n, rest) = self.0.split_first_chunk::<8>()?;
        self.0 = rest;
        Some(u64::from_le_bytes(*n))
    }

    fn text(&mut self) -> Option<String> {
        let (n, rest) = self.0.split_first_chunk::<4>()?;
        let (text, rest) = rest.split_at_checked(u32::from_le_bytes(*n) as usize)?;
        self.0 = rest;
        String::from_utf8(text.to_vec()).ok()
    }
}

/// A deletion has this in place of a version: no key is ever put at revision 0.
const DELETED: u64 = 0;

fn encode(out: &mut Out, key: &str, entry: Option<&Entry>) {
    out.number(entry.map_or(DELETED, |e| e.version));
    out.text(key);
    out.text(entry.map_or("", |e| &e.value));
}

fn decode(raw: &mut In) -> Option<Change> {
    let version = raw.number()?;
    let key = raw.text()?;
    let value = raw.text()?;
    let entry = (version != DELETED).then_some(Entry { version, value });
    Some(Change { key, entry })
}

fn file_name(number: u64, what: &str) -> String {
    format!("{number:06}.{what}")
}

fn sync_dir(dir: &Path) -> io::Result<()> {
    File::open(dir)?.sync_all()
}

/// A line that is being written.
pub struct Writer {
    dir: PathBuf,
    key: Key,
    store: String,
    log: File,
    link: Link,
    base_bytes: usize,
    log_bytes: usize,
    unsynced: bool,
}

impl Writer {
    /// Begins a pair with what the store holds; the ones before the last are removed.
    pub fn begin(dir: &Path, key: Key, store: &str, image: &Image) -> io::Result<Writer> {
        std::fs::create_dir_all(dir)?;
        let number = numbers(dir)?.last().map_or(1, |n| n + 1);
        let name = file_name(number, "base");
        // A log is there before its base is: one without a base says nothing.
        let log = File::create_new(dir.join(file_name(number, "log")))?;
        let mut part = tempfile::Builder::new().prefix("part-").tempfile_in(dir)?;
        let base_bytes = write_base(&mut part, &key, &name, store, image)?;
        part.as_file().sync_all()?;
        part.persist(dir.join(&name)).map_err(|e| e.error)?;
        sync_dir(dir)?;
        for old in numbers(dir)?.into_iter().filter(|n| n + KEPT <= number) {
            for what in ["base", "log"] {
                let _ = std::fs::remove_file(dir.join(file_name(old, what)));
            }
        }
        Ok(Writer {
            dir: dir.into(),
            key,
            store: store.into(),
            log,
            link: first_link(&key, &file_name(number, "log")),
            base_bytes,
            log_bytes: 0,
            unsynced: false,
        })
    }

    /// Adds what a watch told. It is safe only after `sync`.
    pub fn append(&mut self, changes: &[Change], revision: u64) -> io::Result<()> {
        let mut rest = changes;
        while !rest.is_empty() {
            let (out, count) = next_record(rest, revision);
            rest = &rest[count..];
            let n = record::write(
                &mut self.log,
                &self.key,
                &mut self.link,
                Kind::Changes,
                &out.0,
            )?;
            self.log_bytes += n;
            self.unsynced = true;
        }
        Ok(())
    }

    pub fn sync(&mut self) -> io::Result<()> {
        if std::mem::take(&mut self.unsynced) {
            self.log.sync_data()?;
        }
        Ok(())
    }

    /// Whether a new base would make the line shorter.
    pub fn is_long(&self) -> bool {
        self.log_bytes > LEAST_LOG.max(self.base_bytes)
    }

    /// Puts a new base in the place of this one and its log.
    pub fn compact(&mut self, image: &Image) -> io::Result<()> {
        self.sync()?;
        *self = Writer::begin(&self.dir, self.key, &self.store, image)?;
        Ok(())
    }
}

/// A record of the first of these changes, and how many it holds: as many as can be read back.
fn next_record(changes: &[Change], revision: u64) -> (Out, usize) {
    let mut out = Out::default();
    out.number(revision);
    out.number(now_ms());
    let mut count = 0;
    for change in changes.iter().take(CHANGES_IN_RECORD) {
        let length = out.0.len();
        encode(&mut out, &change.key, change.entry.as_ref());
        if out.0.len() > record::MOST_BYTES && count > 0 {
            out.0.truncate(length);
            break;
        }
        count += 1;
    }
    (out, count)
}

fn write_base(
    out: impl Write,
    key: &Key,
    name: &str,
    store: &str,
    image: &Image,
) -> io::Result<usize> {
    let mut file = BufWriter::new(out);
    let mut link = first_link(key, name);
    let mut bytes = 0;
    let mut put = |kind, raw: &[u8]| -> io::Result<()> {
        bytes += record::write(&mut file, key, &mut link, kind, raw)?;
        Ok(())
    };
    let mut head = Out::default();
    head.number(image.revision);
    head.number(now_ms());
    head.text(store);
    put(Kind::Head, &head.0)?;
    let mut piece = Out::default();
    for (k, entry) in &image.items {
        encode(&mut piece, k, Some(entry));
        if piece.0.len() >= PIECE {
            put(Kind::Items, &std::mem::take(&mut piece).0)?;
        }
    }
    if !piece.0.is_empty() {
        put(Kind::Items, &piece.0)?;
    }
    let mut end = Out::default();
    end.number(image.items.len() as u64);
    put(Kind::End, &end.0)?;
    file.flush()?;
    Ok(bytes)
}

/// The numbers of the pairs in a folder, the newest last. Only a base makes one.
fn numbers(dir: &Path) -> io::Result<Vec<u64>> {
    let mut out = Vec::new();
    for entry in std::fs::read_dir(dir)? {
        let name = entry?.file_name();
        let name = name.to_string_lossy();
        let number = name.strip_suffix(".base").or(name.strip_suffix(".log"));
        out.extend(number.and_then(|n| n.parse::<u64>().ok()));
    }
    out.sort_unstable();
    out.dedup();
    Ok(out)
}

/// A fault found in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Found {
    pub file: String,
    /// Bytes before the record at fault.
    pub at: u64,
    pub fault: Fault,
}

impl std::fmt::Display for Found {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{} at byte {}: {}", self.file, self.at, self.fault)
    }
}

/// A line as far as it can be read.
#[derive(Debug)]
pub struct Line {
    pub head: Head,
    pub image: Image,
    /// When the last change was written, in milliseconds since 1970; that of the base if none was.
    pub newest_ms: u64,
    pub changes: usize,
    pub bytes: u64,
    /// What is at fault; of the changes after it nothing is in the image.
    pub faults: Vec<Found>,
}

struct Reader<'a> {
    input: BufReader<File>,
    name: String,
    key: &'a Key,
    link: Link,
    at: u64,
}

impl<'a> Reader<'a> {
    fn open(dir: &Path, key: &'a Key, name: String) -> io::Result<Reader<'a>> {
        Ok(Reader {
            input: BufReader::new(File::open(dir.join(&name))?),
            link: first_link(key, &name),
            name,
            key,
            at: 0,
        })
    }

    fn found(&self, fault: Fault) -> Found {
        Found {
            file: self.name.clone(),
            at: self.at,
            fault,
        }
    }

    fn next(&mut self) -> io::Result<Next<Found>> {
        let mut counted = Counted(&mut self.input, 0);
        let read = record::read(&mut counted, self.key, &mut self.link)?;
        let n = counted.1;
        Ok(match read {
            Ok(x) => {
                self.at += n;
                Ok(x)
            }
            Err(fault) => Err(self.found(fault)),
        })
    }
}

struct Counted<'a, R>(&'a mut R, u64);

impl<R: io::Read> io::Read for Counted<'_, R> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let n = self.0.read(buffer)?;
        self.1 += n as u64;
        Ok(n)
    }
}

fn read_base(dir: &Path, key: &Key, number: u64) -> io::Result<Result<(Head, Image, u64), Found>> {
    let mut r = Reader::open(dir, key, file_name(number, "base"))?;
    let mut head = None;
    let mut image = Image::default();
    loop {
        let next = match r.next()? {
            Ok(next) => next,
            Err(found) => return Ok(Err(found)),
        };
        let damaged = Fault::Damaged("content");
        match next {
            Some((Kind::Head, raw)) => {
                let mut raw = In(&raw);
                let read = (raw.number(), raw.number(), raw.text());
                let (Some(revision), Some(at_ms), Some(store)) = read else {
                    return Ok(Err(r.found(damaged)));
                };
                image.revision = revision;
                head = Some(Head {
                    store,
                    revision,
                    at_ms,
                });
            }
            Some((Kind::Items, raw)) => {
                let mut raw = In(&raw);
                while !raw.0.is_empty() {
                    let Some(Change {
                        key,
                        entry: Some(entry),
                    }) = decode(&mut raw)
                    else {
                        return Ok(Err(r.found(damaged)));
                    };
                    image.items.insert(key, entry);
                }
            }
            Some((Kind::End, raw)) => {
                let whole = In(&raw).number() == Some(image.items.len() as u64);
                return Ok(match head {
                    Some(head) if whole => Ok((head, image, r.at)),
                    _ => Err(r.found(damaged)),
                });
            }
            Some((Kind::Changes, _)) => return Ok(Err(r.found(Fault::Foreign))),
            None => return Ok(Err(r.found(Fault::Torn))),
        }
    }
}

/// Reads the newest pair whose base is whole, as far as its log is. `None`: there is no such pair, and
/// the faults say why.
pub fn read(dir: &Path, key: &Key) -> io::Result<Result<Line, Vec<Found>>> {
    let mut faults = Vec::new();
    for number in numbers(dir)?.into_iter().rev() {
        let base = match read_base(dir, key, number) {
            Ok(base) => base,
            // A log whose base never came to be.
            Err(e) if e.kind() == io::ErrorKind::NotFound => continue,
            Err(e) => return Err(e),
        };
        let (head, mut image, base_bytes) = match base {
            Ok(base) => base,
            Err(found) => {
                faults.push(found);
                continue;
            }
        };
        let mut newest_ms = head.at_ms;
        let (mut changes, mut bytes) = (0, base_bytes);
        let mut log = match Reader::open(dir, key, file_name(number, "log")) {
            Ok(log) => Some(log),
            Err(e) if e.kind() == io::ErrorKind::NotFound => {
                faults.push(Found {
                    file: file_name(number, "log"),
                    at: 0,
                    fault: Fault::Torn,
                });
                None
            }
            Err(e) => return Err(e),
        };
        while let Some(log) = &mut log {
            let raw = match log.next()? {
                Ok(Some((Kind::Changes, raw))) => raw,
                Ok(None) => break,
                Ok(Some(_)) => {
                    faults.push(log.found(Fault::Foreign));
                    break;
                }
                Err(found) => {
                    faults.push(found);
                    break;
                }
            };
            let mut raw = In(&raw);
            let (Some(revision), Some(at_ms)) = (raw.number(), raw.number()) else {
                faults.push(log.found(Fault::Damaged("content")));
                break;
            };
            let mut some = Vec::new();
            while let Some(change) = decode(&mut raw) {
                some.push(change);
            }
            changes += some.len();
            newest_ms = newest_ms.max(at_ms);
            image.apply(some, revision);
        }
        bytes += log.map_or(0, |l| l.at);
        return Ok(Ok(Line {
            head,
            image,
            newest_ms,
            changes,
            bytes,
            faults,
        }));
    }
    Ok(Err(faults))
}

#[cfg(test)]
mod tests;
