//! Encoding of numbers, strings and changes inside records: little-endian, strings preceded by their
//! length.

use crate::image::{Change, Entry};

/// Marks a deletion in place of a version; no key is ever put at revision 0.
const DELETED: u64 = 0;

/// Encodes the content of a record.
#[derive(Default)]
pub(crate) struct Encoder(Vec<u8>);

impl Encoder {
    pub(crate) fn write_u64(&mut self, number: u64) {
        self.0.extend_from_slice(&number.to_le_bytes());
    }

    pub(crate) fn write_str(&mut self, text: &str) {
        let length = text.len() as u32;
        self.0.extend_from_slice(&length.to_le_bytes());
        self.0.extend_from_slice(text.as_bytes());
    }

    /// Writes a key with its entry, or its deletion if there is no entry.
    pub(crate) fn write_change(&mut self, key: &str, entry: Option<&Entry>) {
        self.write_u64(entry.map_or(DELETED, |entry| entry.version));
        self.write_str(key);
        self.write_str(entry.map_or("", |entry| &entry.value));
    }

    pub(crate) fn bytes(&self) -> &[u8] {
        &self.0
    }

    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(crate) fn truncate(&mut self, length: usize) {
        self.0.truncate(length);
    }
}

/// Decodes the content of a record. The methods return `None` where the bytes are not a valid encoding.
pub(crate) struct Decoder<'a>(&'a [u8]);

impl<'a> Decoder<'a> {
    pub(crate) fn new(bytes: &'a [u8]) -> Decoder<'a> {
        Decoder(bytes)
    }

    pub(crate) fn is_at_end(&self) -> bool {
        self.0.is_empty()
    }

    pub(crate) fn read_u64(&mut self) -> Option<u64> {
        let (number, rest) = self.0.split_first_chunk::<8>()?;
        self.0 = rest;
        Some(u64::from_le_bytes(*number))
    }

    pub(crate) fn read_string(&mut self) -> Option<String> {
        let (length, rest) = self.0.split_first_chunk::<4>()?;
        let (text, rest) = rest.split_at_checked(u32::from_le_bytes(*length) as usize)?;
        self.0 = rest;
        String::from_utf8(text.to_vec()).ok()
    }

    pub(crate) fn read_change(&mut self) -> Option<Change> {
        let version = self.read_u64()?;
        let key = self.read_string()?;
        let value = self.read_string()?;
        let entry = (version != DELETED).then_some(Entry { version, value });
        Some(Change { key, entry })
    }
}
