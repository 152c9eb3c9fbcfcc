//! What controllers ask of each other's memory when the state service does not hold what they
//! remember: frames of a fixed layout, like the others of `peer` and on the same port. Versions that
//! do not know these kinds drop the connection, which counts as no answer.

use super::frame::{FrameReader, FrameWriter, length};
use zerocopy::byteorder::little_endian::{U32, U64};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

/// The kind of frame that holds a `MemoryRequest`.
pub const KIND_MEMORY_REQUEST: u8 = 8;
/// The kind of frame that holds a `MemoryPage`.
pub const KIND_MEMORY_PAGE: u8 = 9;

/// Bytes up to which a page of a memory is filled: a few of them hold thousands of jobs, and one
/// takes a controller well under its share's hundredth part of a second.
pub const PAGE_BYTES: usize = 192 * 1024;

/// Asks for what a controller remembers, from after a key on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MemoryRequest {
    /// No items are wanted: only what it knows of the store.
    pub summary_only: bool,
    /// The key after which the page begins; empty for the first page.
    pub after: String,
}

/// A page of what a controller remembers.
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
    summary_only: u8,
}

#[derive(FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct MemoryPageHeader {
    term: U64,
    store_loaded: u8,
    remembers: u8,
    more: u8,
    complete_stores: U32,
    items: U32,
}

/// The frame of a request.
pub fn encode_memory_request(request: &MemoryRequest) -> Vec<u8> {
    let mut out = FrameWriter::default();
    out.fixed(&MemoryRequestHeader {
        summary_only: u8::from(request.summary_only),
    });
    out.text(&request.after);
    out.finish(KIND_MEMORY_REQUEST)
}

/// The request in the body of a frame; `None` if it is malformed.
pub fn decode_memory_request(body: &[u8]) -> Option<MemoryRequest> {
    let mut body = FrameReader::new(body);
    let header: &MemoryRequestHeader = body.fixed()?;
    let request = MemoryRequest {
        summary_only: header.summary_only != 0,
        after: body.text()?.to_string(),
    };
    body.finish(request)
}

/// The frame of a page.
pub fn encode_memory_page(page: &MemoryPage) -> Vec<u8> {
    let mut out = FrameWriter::default();
    out.fixed(&MemoryPageHeader {
        term: U64::new(page.term),
        store_loaded: u8::from(page.store_loaded),
        remembers: u8::from(page.remembers),
        more: u8::from(page.more),
        complete_stores: length(page.complete_stores.len()),
        items: length(page.items.len()),
    });
    for store in &page.complete_stores {
        out.text(store);
    }
    for (key, value) in &page.items {
        out.text(key);
        out.long_text(value);
    }
    out.finish(KIND_MEMORY_PAGE)
}

/// The page in the body of a frame; `None` if it is malformed.
pub fn decode_memory_page(body: &[u8]) -> Option<MemoryPage> {
    let mut body = FrameReader::new(body);
    let header: &MemoryPageHeader = body.fixed()?;
    let page = MemoryPage {
        store_loaded: header.store_loaded != 0,
        complete_stores: body.list(header.complete_stores, |b| Some(b.text()?.to_string()))?,
        remembers: header.remembers != 0,
        term: header.term.get(),
        more: header.more != 0,
        items: body.list(header.items, decode_item)?,
    };
    body.finish(page)
}

fn decode_item(body: &mut FrameReader) -> Option<(String, String)> {
    Some((body.text()?.to_string(), body.long_text()?.to_string()))
}

#[cfg(test)]
mod tests;
