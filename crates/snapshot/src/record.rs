//! Format of a record in a file: a header of fixed layout, followed by the compressed content. A
//! checksum detects corrupt bytes. A keyed hash over the record and the hash of the previous one
//! detects records that were inserted, removed or moved without the archive's key.

use std::io::{self, Read, Write};
use zerocopy::byteorder::little_endian::U32;
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

/// Magic number at the start of every record.
const MAGIC: u32 = 0x6275_7273;
/// Maximum size of the uncompressed content, in bytes, enforced against corrupt headers.
pub const MAX_RECORD_BYTES: usize = 1 << 20;
/// Maximum size of the compressed content, in bytes; incompressible content grows slightly.
const MAX_COMPRESSED_BYTES: usize = MAX_RECORD_BYTES + MAX_RECORD_BYTES / 16;

/// Kind of content in a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordKind {
    /// Header of a base: its store, revision and time.
    Header = 1,
    /// Some items of a base.
    Items = 2,
    /// End of a complete base.
    End = 3,
    /// Changes to the store after the base.
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

/// Header of a record as stored in the file.
#[derive(FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct Header {
    magic: U32,
    kind: u8,
    reserved: [u8; 3],
    /// Length of the uncompressed content, in bytes.
    raw_length: U32,
    /// Length of the compressed content that follows the header, in bytes.
    compressed_length: U32,
    /// CRC-32 of the compressed content.
    crc: U32,
    /// Keyed hash of the previous record's hash, the kind, the uncompressed length and the compressed
    /// content.
    chain: [u8; 16],
}

/// Secret key of an archive, with which the hashes of its records are computed.
pub type ArchiveKey = [u8; 32];
/// Hash of a record in the hash chain of its file.
pub type ChainHash = [u8; 16];

/// Returns the initial hash of a file's chain. It depends on the file's name, so that the records of
/// one file are not valid in another.
pub fn initial_hash(key: &ArchiveKey, file: &str) -> ChainHash {
    truncate_hash(blake3::keyed_hash(key, file.as_bytes()))
}

fn truncate_hash(hash: blake3::Hash) -> ChainHash {
    let mut chain = ChainHash::default();
    let length = chain.len();
    chain.copy_from_slice(&hash.as_bytes()[..length]);
    chain
}

/// Returns the hash of a record, given the hash of the previous one.
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

/// Writes a record and advances the chain; returns the record's length in the file, in bytes.
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
    // A single write, so that an interrupted one leaves at most one truncated record.
    out.write_all(&bytes)?;
    Ok(bytes.len())
}

/// Reason why the rest of a file cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The file ends within a record, as the writer was interrupted there.
    #[error("the file ends within a record")]
    Torn,
    /// The bytes of a record are corrupt; with the check that failed.
    #[error("the record is corrupt ({0})")]
    Damaged(&'static str),
    /// The record is intact but was not written at this position with the archive's key.
    #[error("the record was not written at this position with the archive's key")]
    NotAuthentic,
}

/// Reason why a record cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The file could not be read.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The file was read, but its content is not a valid record of this chain.
    #[error(transparent)]
    Fault(#[from] Fault),
}

/// Reads and verifies the next record and advances the chain; `None` at the end of the file.
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

/// Checks that a header is plausible, before its lengths are used; returns the kind of the record.
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

/// Reads until the buffer is full or the input ends; returns the number of bytes read.
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
