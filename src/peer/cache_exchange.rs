//! Requests of controllers for each other's cached copies of the store, for use when the state service
//! lacks data that they have cached. A version that does not know these kinds of frame closes the
//! connection, which counts as no response.

use super::frame::{FrameReader, FrameWriter, length};
use zerocopy::byteorder::little_endian::{U32, U64};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

/// Kind of the frame with a `CacheRequest`.
pub const KIND_CACHE_REQUEST: u8 = 8;
/// Kind of the frame with a `CachePage`.
pub const KIND_CACHE_PAGE: u8 = 9;

/// Size, in bytes, up to which a page is filled. A few pages of this size hold thousands of jobs, and
/// one takes well under 10 ms of the controller's CPU share.
pub const PAGE_BYTES: usize = 192 * 1024;

/// Request for a page of a controller's copy of the store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CacheRequest {
    /// Whether only the summary is requested, without items.
    pub summary_only: bool,
    /// Key after which the page begins; empty for the first page.
    pub after: String,
}

/// A page of a controller's copy of the store, with a summary of the copy.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CachePage {
    /// Whether the controller has read the store at least once.
    pub store_loaded: bool,
    /// Identities of the stores of which the controller has a complete copy, each the successor of the
    /// one before it; the newest is last.
    pub complete_stores: Vec<String>,
    /// Whether the copy contains a term or jobs, and so more than an empty store.
    pub has_state: bool,
    /// Newest term that the controller knows of, also from a worker's fencing token.
    pub term: u64,
    /// Whether more items follow after the last item's key.
    pub more: bool,
    /// Keys and values (JSON), in the form in which the state service stores them.
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

/// Encodes a request as a frame.
pub fn encode_cache_request(request: &CacheRequest) -> Vec<u8> {
    let mut out = FrameWriter::default();
    out.fixed(&CacheRequestHeader {
        summary_only: u8::from(request.summary_only),
    });
    out.text(&request.after);
    out.finish(KIND_CACHE_REQUEST)
}

/// Decodes a request from the body of a frame; `None` if it is malformed.
pub fn decode_cache_request(body: &[u8]) -> Option<CacheRequest> {
    let mut body = FrameReader::new(body);
    let header: &CacheRequestHeader = body.fixed()?;
    let request = CacheRequest {
        summary_only: header.summary_only != 0,
        after: body.text()?.to_string(),
    };
    body.finish(request)
}

/// Encodes a page as a frame.
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

/// Decodes a page from the body of a frame; `None` if it is malformed.
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
