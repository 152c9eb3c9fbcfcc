//! How a record lies in a file: a header of a fixed layout, then its bytes, compressed. A checksum
//! finds what is torn or flipped; a keyed hash over the record and the one before it finds what was
//! put in, taken out or moved by a hand that has not got the archive's key.

use std::io::{self, Read, Write};
use zerocopy::byteorder::little_endian::U32;
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

/// The first bytes of every record.
const MAGIC: u32 = 0x6275_7273;
/// No record unpacks to more bytes, whatever its header says.
pub const MAX_RECORD_BYTES: usize = 1 << 20;
/// Nor is one longer when packed: what cannot be compressed grows a little.
const MAX_COMPRESSED_BYTES: usize = MAX_RECORD_BYTES + MAX_RECORD_BYTES / 16;

/// What a record holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordKind {
    /// What a base is of.
    Header = 1,
    /// Some of the items of a base.
    Items = 2,
    /// A base is whole.
    End = 3,
    /// Changes after the base.
    Changes = 4,
}

impl RecordKind {
    fn from_byte(byte: u8) -> Option<RecordKind> {
        let kinds = [
            RecordKind::Header,
            RecordKind::Items,
            RecordKind::End,
            RecordKind::Changes,
        ];
        kinds.into_iter().find(|kind| *kind as u8 == byte)
    }
}

#[derive(FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct Header {
    magic: U32,
    kind: u8,
    reserved: [u8; 3],
    /// Length of the bytes before compression.
    raw_length: U32,
    /// Length of the compressed bytes, which follow.
    compressed_length: U32,
    /// Over the packed bytes.
    crc: U32,
    /// Over the record before, the kind, and the packed bytes.
    chain: [u8; 16],
}

/// The archive's key.
pub type ArchiveKey = [u8; 32];
/// Where in its file's chain a record stands: the hash of the one before it.
pub type ChainHash = [u8; 16];

/// The start of a file's chain, by its name: records of one file do not pass for another's.
pub fn initial_hash(key: &ArchiveKey, file: &str) -> ChainHash {
    truncate_hash(blake3::keyed_hash(key, file.as_bytes()))
}

fn truncate_hash(hash: blake3::Hash) -> ChainHash {
    let mut chain = ChainHash::default();
    let length = chain.len();
    chain.copy_from_slice(&hash.as_bytes()[..length]);
    chain
}

/// The hash of a record, given that of the one before it.
fn next_hash(
    key: &ArchiveKey,
    previous: &ChainHash,
    kind: u8,
    raw_length: u32,
    compressed: &[u8],
) -> ChainHash {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher
        .update(previous)
        .update(&[kind])
        .update(&raw_length.to_le_bytes())
        .update(compressed);
    truncate_hash(hasher.finalize())
}

/// Writes a record; gives its length in the file.
pub fn write(
    out: &mut impl Write,
    key: &ArchiveKey,
    chain: &mut ChainHash,
    kind: RecordKind,
    raw: &[u8],
) -> io::Result<usize> {
    let compressed = lz4_flex::block::compress(raw);
    *chain = next_hash(key, chain, kind as u8, raw.len() as u32, &compressed);
    let header = Header {
        magic: U32::new(MAGIC),
        kind: kind as u8,
        reserved: [0; 3],
        raw_length: U32::new(raw.len() as u32),
        compressed_length: U32::new(compressed.len() as u32),
        crc: U32::new(crc32fast::hash(&compressed)),
        chain: *chain,
    };
    let mut bytes = header.as_bytes().to_vec();
    bytes.extend_from_slice(&compressed);
    // In one piece: a record is torn in one place at the most.
    out.write_all(&bytes)?;
    Ok(bytes.len())
}

/// Why a file cannot be read on.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// It ends within a record: the writer was ended there.
    #[error("it ends within a record")]
    Torn,
    /// Bytes are not as they were written; with what shows it.
    #[error("its bytes are not as they were written ({0})")]
    Damaged(&'static str),
    /// Whole, but not written here, or not in this place.
    #[error("a record was not written in this place with this key")]
    NotAuthentic,
}

/// Why a record cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The file could not be read.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The file was read, and what it holds is not a record of this chain.
    #[error(transparent)]
    Fault(#[from] Fault),
}

/// Reads the next record, and moves the chain on; `None` at the end of the file.
pub fn read(
    input: &mut impl Read,
    key: &ArchiveKey,
    chain: &mut ChainHash,
) -> Result<Option<(RecordKind, Vec<u8>)>, ReadError> {
    let mut header = [0; size_of::<Header>()];
    match read_full(input, &mut header)? {
        0 => return Ok(None),
        n if n < header.len() => return Err(Fault::Torn.into()),
        _ => {}
    }
    let header = Header::ref_from_bytes(&header).map_err(|_| Fault::Damaged("header"))?;
    let kind = check_header(header)?;
    let mut compressed = vec![0; header.compressed_length.get() as usize];
    if read_full(input, &mut compressed)? < compressed.len() {
        return Err(Fault::Torn.into());
    }
    if crc32fast::hash(&compressed) != header.crc.get() {
        return Err(Fault::Damaged("checksum").into());
    }
    let next = next_hash(
        key,
        chain,
        header.kind,
        header.raw_length.get(),
        &compressed,
    );
    if next != header.chain || header.reserved != [0; 3] {
        return Err(Fault::NotAuthentic.into());
    }
    let raw = lz4_flex::block::decompress(&compressed, header.raw_length.get() as usize)
        .map_err(|_| Fault::Damaged("compression"))?;
    *chain = next;
    Ok(Some((kind, raw)))
}

/// Whether a header can be one of a record, before anything is read that relies on it.
fn check_header(header: &Header) -> Result<RecordKind, Fault> {
    if header.magic.get() != MAGIC {
        return Err(Fault::Damaged("mark"));
    }
    let kind = RecordKind::from_byte(header.kind).ok_or(Fault::Damaged("kind"))?;
    let (raw, compressed) = (
        header.raw_length.get() as usize,
        header.compressed_length.get() as usize,
    );
    if raw > MAX_RECORD_BYTES || compressed > MAX_COMPRESSED_BYTES {
        return Err(Fault::Damaged("length"));
    }
    Ok(kind)
}

/// Reads until the buffer is full or the file ends; gives how much.
fn read_full(input: &mut impl Read, buffer: &mut [u8]) -> io::Result<usize> {
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
