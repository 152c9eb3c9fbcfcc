//! Reads a timeline.

use super::{BaseHeader, RecordFault, Timeline, TimelineError, base_name, log_name, pair_numbers};
use crate::codec::Decoder;
use crate::image::{Change, Image};
use crate::record::{self, ArchiveKey, ChainHash, Fault, ReadError, RecordKind, initial_hash};
use std::fs::File;
use std::io::{self, BufReader};
use std::path::Path;

/// Fault of an intact record whose content is not valid for its kind.
const BAD_CONTENT: Fault = Fault::Damaged("content");

/// Reads the newest pair with a complete base, and its log up to the first fault.
pub fn read(dir: &Path, key: &ArchiveKey) -> Result<Timeline, TimelineError> {
    let mut faults = Vec::new();
    for number in pair_numbers(dir)?.into_iter().rev() {
        match read_base(dir, key, number) {
            Ok(mut timeline) => {
                timeline.faults = faults;
                read_log(dir, key, number, &mut timeline)?;
                return Ok(timeline);
            }
            Err(FileError::Fault(fault)) => faults.push(fault),
            // A log whose base was never completed.
            Err(FileError::Io(e)) if e.kind() == io::ErrorKind::NotFound => {}
            Err(FileError::Io(e)) => return Err(e.into()),
        }
    }
    Err(TimelineError::NoBase(faults))
}

/// Reason why the rest of a file's records cannot be read.
enum FileError {
    Io(io::Error),
    Fault(RecordFault),
}

impl From<io::Error> for FileError {
    fn from(error: io::Error) -> FileError {
        FileError::Io(error)
    }
}

/// Reader of the records of one file, in their order.
struct RecordReader<'a> {
    input: BufReader<File>,
    name: String,
    key: &'a ArchiveKey,
    chain: ChainHash,
    offset: u64,
}

impl<'a> RecordReader<'a> {
    fn open(dir: &Path, key: &'a ArchiveKey, name: String) -> io::Result<RecordReader<'a>> {
        Ok(RecordReader {
            input: BufReader::new(File::open(dir.join(&name))?),
            chain: initial_hash(key, &name),
            name,
            key,
            offset: 0,
        })
    }

    /// Returns a fault at the present offset: in the next record, or after the last one read if its
    /// content is invalid.
    fn fault(&self, fault: Fault) -> RecordFault {
        RecordFault {
            file: self.name.clone(),
            offset: self.offset,
            fault,
        }
    }

    /// Returns a fault at the present offset as an error.
    fn fail<T>(&self, fault: Fault) -> Result<T, FileError> {
        Err(FileError::Fault(self.fault(fault)))
    }

    /// Reads the next record; `None` at the end of the file.
    fn next(&mut self) -> Result<Option<(RecordKind, Vec<u8>)>, FileError> {
        let mut counted = CountingReader {
            input: &mut self.input,
            bytes: 0,
        };
        match record::read(&mut counted, self.key, &mut self.chain) {
            Ok(record) => {
                self.offset += counted.bytes;
                Ok(record)
            }
            Err(ReadError::Fault(fault)) => self.fail(fault),
            Err(ReadError::Io(error)) => Err(error.into()),
        }
    }
}

/// Reader that counts the bytes read through it.
struct CountingReader<'a, R> {
    input: &'a mut R,
    bytes: u64,
}

impl<R: io::Read> io::Read for CountingReader<'_, R> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let bytes = self.input.read(buffer)?;
        self.bytes += bytes as u64;
        Ok(bytes)
    }
}

/// Reads a base. The returned timeline has no changes and no faults yet.
fn read_base(dir: &Path, key: &ArchiveKey, number: u64) -> Result<Timeline, FileError> {
    let mut reader = RecordReader::open(dir, key, base_name(number))?;
    let mut header = None;
    let mut image = Image::default();
    loop {
        match reader.next()? {
            Some((RecordKind::Header, raw)) => match decode_header(&raw) {
                Some(decoded) => {
                    image.revision = decoded.revision;
                    header = Some(decoded);
                }
                None => return reader.fail(BAD_CONTENT),
            },
            Some((RecordKind::Items, raw)) => {
                if decode_items(&raw, &mut image).is_none() {
                    return reader.fail(BAD_CONTENT);
                }
            }
            Some((RecordKind::End, raw)) => {
                let is_whole = Decoder::new(&raw).read_u64() == Some(image.items.len() as u64);
                let Some(header) = header.filter(|_| is_whole) else {
                    return reader.fail(BAD_CONTENT);
                };
                return Ok(Timeline {
                    newest_ms: header.at_ms,
                    header,
                    image,
                    changes: 0,
                    bytes: reader.offset,
                    faults: Vec::new(),
                });
            }
            Some((RecordKind::Changes, _)) => return reader.fail(Fault::NotAuthentic),
            None => return reader.fail(Fault::Torn),
        }
    }
}

fn decode_header(raw: &[u8]) -> Option<BaseHeader> {
    let mut raw = Decoder::new(raw);
    Some(BaseHeader {
        revision: raw.read_u64()?,
        at_ms: raw.read_u64()?,
        store: raw.read_string()?,
    })
}

fn decode_items(raw: &[u8], image: &mut Image) -> Option<()> {
    let mut raw = Decoder::new(raw);
    while !raw.is_at_end() {
        let Change { key, entry } = raw.read_change()?;
        image.items.insert(key, entry?);
    }
    Some(())
}

/// Applies the log of a base up to its first fault, which is added to the timeline's faults.
fn read_log(dir: &Path, key: &ArchiveKey, number: u64, timeline: &mut Timeline) -> io::Result<()> {
    let mut reader = match RecordReader::open(dir, key, log_name(number)) {
        Ok(reader) => reader,
        Err(e) if e.kind() == io::ErrorKind::NotFound => {
            timeline.faults.push(RecordFault {
                file: log_name(number),
                offset: 0,
                fault: Fault::Torn,
            });
            return Ok(());
        }
        Err(e) => return Err(e),
    };
    let read = apply_log(&mut reader, timeline);
    timeline.bytes += reader.offset;
    match read {
        Ok(()) => Ok(()),
        Err(FileError::Fault(fault)) => {
            timeline.faults.push(fault);
            Ok(())
        }
        Err(FileError::Io(error)) => Err(error),
    }
}

fn apply_log(reader: &mut RecordReader, timeline: &mut Timeline) -> Result<(), FileError> {
    while let Some((kind, raw)) = reader.next()? {
        if kind != RecordKind::Changes {
            return reader.fail(Fault::NotAuthentic);
        }
        let mut raw = Decoder::new(&raw);
        let (Some(revision), Some(at_ms)) = (raw.read_u64(), raw.read_u64()) else {
            return reader.fail(BAD_CONTENT);
        };
        let changes: Vec<Change> = std::iter::from_fn(|| raw.read_change()).collect();
        timeline.changes += changes.len();
        timeline.newest_ms = timeline.newest_ms.max(at_ms);
        timeline.image.apply(changes, revision);
    }
    Ok(())
}
