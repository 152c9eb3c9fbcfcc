//! How a record lies in a file: a header of a fixed layout, then its bytes, compressed. A checksum
//! finds what is torn or flipped; a keyed hash over the record and the one before it finds what was
//! put in, taken out or moved by a hand that has not got the archive's key.

use std::io::{self, Read, Write};
use zerocopy::byteorder::little_endian::U32;
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

const MAGIC: u32 = 0x6275_7273;
/// No record unpacks to more, whatever its header says.
pub const MOST_BYTES: usize = 1 << 20;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// What a line is of.
    Head = 1,
    /// Some of the items of a base.
    Items = 2,
    /// A base is whole.
    End = 3,
    /// Changes after the base.
    Changes = 4,
}

impl Kind {
    fn of(byte: u8) -> Option<Kind> {
        [Kind::Head, Kind::Items, Kind::End, Kind::Changes]
            .into_iter()
            .find(|k| *k as u8 == byte)
    }
}

#[derive(FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct Header {
    magic: U32,
    kind: u8,
    reserved: [u8; 3],
    raw: U32,
    packed: U32,
    /// Over the packed bytes.
    crc: U32,
    /// Over the record before, the kind, and the packed bytes.
    chain: [u8; 16],
}

/// The archive's key.
pub type Key = [u8; 32];
/// Where in its file's chain a record stands: the hash of the one before it.
pub type Link = [u8; 16];

/// The first link of a file, by its name: records of one file do not pass for another's.
pub fn first_link(key: &Key, file: &str) -> Link {
    short(blake3::keyed_hash(key, file.as_bytes()))
}

fn short(hash: blake3::Hash) -> Link {
    let mut link = [0; 16];
    link.copy_from_slice(&hash.as_bytes()[..16]);
    link
}

fn link(key: &Key, before: &Link, kind: u8, raw: u32, packed: &[u8]) -> Link {
    let mut h = blake3::Hasher::new_keyed(key);
    h.update(before)
        .update(&[kind])
        .update(&raw.to_le_bytes())
        .update(packed);
    short(h.finalize())
}

/// Writes a record; gives its length in the file.
pub fn write(
    out: &mut impl Write,
    key: &Key,
    before: &mut Link,
    kind: Kind,
    raw: &[u8],
) -> io::Result<usize> {
    let packed = lz4_flex::block::compress(raw);
    *before = link(key, before, kind as u8, raw.len() as u32, &packed);
    let header = Header {
        magic: U32::new(MAGIC),
        kind: kind as u8,
        reserved: [0; 3],
        raw: U32::new(raw.len() as u32),
        packed: U32::new(packed.len() as u32),
        crc: U32::new(crc32fast::hash(&packed)),
        chain: *before,
    };
    let mut bytes = header.as_bytes().to_vec();
    bytes.extend_from_slice(&packed);
    // In one piece: a record is torn in one place at the most.
    out.write_all(&bytes)?;
    Ok(bytes.len())
}

/// Why a file cannot be read on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It ends within a record: the writer was ended there.
    Torn,
    /// Bytes are not as they were written.
    Damaged(&'static str),
    /// Whole, but not written here, or not in this place.
    Foreign,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Fault::Torn => f.write_str("it ends within a record"),
            Fault::Damaged(what) => write!(f, "its bytes are not as they were written ({what})"),
            Fault::Foreign => f.write_str("a record was not written in this place with this key"),
        }
    }
}

/// The next record, `None` at the end, or what is at fault.
pub type Next<F> = Result<Option<(Kind, Vec<u8>)>, F>;

/// Reads the next record; `Ok(None)` at the end of the file.
pub fn read(input: &mut impl Read, key: &Key, before: &mut Link) -> io::Result<Next<Fault>> {
    let mut head = [0; size_of::<Header>()];
    match fill(input, &mut head)? {
        0 => return Ok(Ok(None)),
        n if n < head.len() => return Ok(Err(Fault::Torn)),
        _ => {}
    }
    let Ok(h) = Header::ref_from_bytes(&head) else {
        return Ok(Err(Fault::Damaged("header")));
    };
    if h.magic.get() != MAGIC {
        return Ok(Err(Fault::Damaged("mark")));
    }
    let (raw, packed) = (h.raw.get() as usize, h.packed.get() as usize);
    let Some(kind) = Kind::of(h.kind) else {
        return Ok(Err(Fault::Damaged("kind")));
    };
    if raw > MOST_BYTES || packed > MOST_BYTES + MOST_BYTES / 16 {
        return Ok(Err(Fault::Damaged("length")));
    }
    let mut bytes = vec![0; packed];
    if fill(input, &mut bytes)? < packed {
        return Ok(Err(Fault::Torn));
    }
    if crc32fast::hash(&bytes) != h.crc.get() {
        return Ok(Err(Fault::Damaged("checksum")));
    }
    let next = link(key, before, h.kind, h.raw.get(), &bytes);
    if next != h.chain || h.reserved != [0; 3] {
        return Ok(Err(Fault::Foreign));
    }
    let Ok(unpacked) = lz4_flex::block::decompress(&bytes, raw) else {
        return Ok(Err(Fault::Damaged("compression")));
    };
    *before = next;
    Ok(Ok(Some((kind, unpacked))))
}

/// Reads until the buffer is full or the file ends; gives how much.
fn fill(input: &mut impl Read, buffer: &mut [u8]) -> io::Result<usize> {
    let mut n = 0;
    while n < buffer.len() {
        match input.read(&mut buffer[n..]) {
            Ok(0) => break,
            Ok(more) => n += more,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(n)
}
