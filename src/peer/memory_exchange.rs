//! What controllers ask of each other's memory when the state service is not what they remember:
//! frames of a fixed layout, read with `zerocopy`, on the same port as those of `peer`. Versions that
//! do not know these kinds drop the connection, which counts as no answer.

use crate::peer;
use crate::peer::heartbeat_batch::{In, Out, count};
use zerocopy::byteorder::little_endian::{U32, U64};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

pub const KIND_MEMORY_REQUEST: u8 = 8;
pub const KIND_MEMORY_PAGE: u8 = 9;

/// A page of a memory is filled up to this: a few of them hold thousands of jobs, and one takes a
/// controller well under its share's hundredth part of a second.
pub const PAGE_BYTES: usize = 192 * 1024;

/// Asks for what a controller remembers, from after a key on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MemoryRequest {
    /// No items are wanted: only what it knows of the store.
    pub summary_only: bool,
    pub after: String,
}

/// A page of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MemoryPage {
    /// It has read the store at least once.
    pub store_loaded: bool,
    /// The stores of which it remembers all, as one continued another; the newest last.
    pub complete_stores: Vec<String>,
    /// It remembers a term, or jobs: more than an empty store tells.
    pub remembers: bool,
    /// The newest term that it knows of, be it from a worker's token.
    pub term: u64,
    /// There is more after the last item's key.
    pub more: bool,
    /// Keys and values (JSON) as the state service would hold them.
    pub items: Vec<(String, String)>,
}

#[derive(FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct MemoryRequestHeader {
    word_only: u8,
}

#[derive(FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct MemoryPageHeader {
    term: U64,
    loaded: u8,
    remembers: u8,
    more: u8,
    stores: U32,
    items: U32,
}

pub fn encode_memory_request(r: &MemoryRequest) -> Vec<u8> {
    let mut out = Out::default();
    out.put(&MemoryRequestHeader {
        word_only: u8::from(r.summary_only),
    });
    out.text(&r.after);
    peer::frame(KIND_MEMORY_REQUEST, &out.0)
}

pub fn decode_memory_request(body: &[u8]) -> Option<MemoryRequest> {
    let mut rest = In(body);
    let fixed: &MemoryRequestHeader = rest.get()?;
    let word_only = fixed.word_only != 0;
    let after = rest.text()?.to_string();
    rest.0.is_empty().then_some(MemoryRequest {
        summary_only: word_only,
        after,
    })
}

pub fn encode_memory_page(r: &MemoryPage) -> Vec<u8> {
    let mut out = Out::default();
    out.put(&MemoryPageHeader {
        term: U64::new(r.term),
        loaded: u8::from(r.store_loaded),
        remembers: u8::from(r.remembers),
        more: u8::from(r.more),
        stores: count(r.complete_stores.len()),
        items: count(r.items.len()),
    });
    for store in &r.complete_stores {
        out.text(store);
    }
    for (key, value) in &r.items {
        out.text(key);
        out.long_text(value);
    }
    peer::frame(KIND_MEMORY_PAGE, &out.0)
}

pub fn decode_memory_page(body: &[u8]) -> Option<MemoryPage> {
    let mut rest = In(body);
    let fixed: &MemoryPageHeader = rest.get()?;
    let stores = rest.list(fixed.stores, |r| Some(r.text()?.to_string()))?;
    let item = |r: &mut In| Some((r.text()?.to_string(), r.long_text()?.to_string()));
    let items = rest.list(fixed.items, item)?;
    rest.0.is_empty().then_some(MemoryPage {
        store_loaded: fixed.loaded != 0,
        complete_stores: stores,
        remembers: fixed.remembers != 0,
        term: fixed.term.get(),
        more: fixed.more != 0,
        items,
    })
}

#[cfg(test)]
mod tests;
