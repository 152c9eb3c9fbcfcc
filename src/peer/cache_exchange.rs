//! What controllers ask of each other's memory when the state service does not hold what they
//! remember: frames of a fixed layout, like the others of `peer` and on the same port. Versions that
//! do not know these kinds drop the connection, which counts as no answer.

use super::frame::{FrameReader, FrameWriter, length};
use zerocopy::byteorder::little_endian::{U32, U64};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

/// The kind of frame that holds a `CacheRequest`.
pub const KIND_CACHE_REQUEST: u8 = 8;
/// The kind of frame that holds a `CachePage`.
pub const KIND_CACHE_PAGE: u8 = 9;

/// Bytes up to which a page of a memory is filled: a few of them hold thousands of jobs, and one
/// takes a controller well under its share's hundredth part of a second.
pub const PAGE_BYTES: usize = 192 * 1024;

/// Asks for what a controller remembers, from after a key on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CacheRequest {
    /// No items are wanted: only what it knows of the store.
    pub summary_only: bool,
    /// The key after which the page begins; empty for the first page.
    pub after: String,
}

/// A page of what a controller remembers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CachePage {
    /// It has read the store at least once.
    pub store_loaded: bool,
    /// The stores of which it remembers all, as one continued another; the newest last.
    pub complete_stores: Vec<String>,
    /// It remembers a term, or jobs: more than an empty store tells.
    pub has_state: bool,
    /// The newest term that it knows of, be it from a worker's token.
    pub term: u64,
    /// There is more after the last item's key.
    pub more: bool,
    /// Keys and values (JSON) as the state service would hold them.
    pub items: Vec<(String, String)>,
}

#[derive(FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct CacheRequestHeader {
    summary_only: u8,
}

#[derive(FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct CachePageHeader {
    term: U64,
    store_loaded: u8,
    has_state: u8,
    more: u8,
    complete_stores: U32,
    items: U32,
}

/// The frame of a request.
pub fn encode_cache_request(request: &CacheRequest) -> Vec<u8> {
    let mut out = FrameWriter::default();
    out.fixed(&CacheRequestHeader {
        summary_only: u8::from(request.summary_only),
    });
    out.text(&request.after);
    out.finish(KIND_CACHE_REQUEST)
}

/// The request in the body of a frame; `None` if it is malformed.
pub fn decode_cache_request(body: &[u8]) -> Option<CacheRequest> {
    let mut body = FrameReader::new(body);
    let header: &CacheRequestHeader = body.fixed()?;
    let request = CacheRequest {
        summary_only: header.summary_only != 0,
        after: body.text()?.to_string(),
    };
    body.finish(request)
}

/// The frame of a page.
pub fn encode_cache_page(page: &CachePage) -> Vec<u8> {
    let mut out = FrameWriter::default();
    out.fixed(&CachePageHeader {
        term: U64::new(page.term),
        store_loaded: u8::from(page.store_loaded),
        has_state: u8::from(page.has_state),
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
    out.finish(KIND_CACHE_PAGE)
}

/// The page in the body of a frame; `None` if it is malformed.
pub fn decode_cache_page(body: &[u8]) -> Option<CachePage> {
    let mut body = FrameReader::new(body);
    let header: &CachePageHeader = body.fixed()?;
    let page = CachePage {
        store_loaded: header.store_loaded != 0,
        complete_stores: body.list(header.complete_stores, |b| Some(b.text()?.to_string()))?,
        has_state: header.has_state != 0,
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
