//! Snapshots of the state service on disk, for recovery after the service has lost its data.
//!
//! They are needed because the controllers' copies of the store exist only in memory. An *archive* is
//! a folder with a *timeline* for each store that was followed: a base, which holds all items as of a
//! revision, and a log of the changes after it. Reading verifies each record, reports the position of
//! truncated or corrupt records, and returns the timeline up to the first of them.
//!
//! - `image`: keys, versions and values, and changes to them; no I/O.
//! - `codec`: the encoding of numbers, strings and changes inside records.
//! - `record`: the format of a record in a file: compressed, with a checksum, in a keyed hash chain.
//! - `timeline`: reading and writing of a base and its log.
//! - `archive`: the folder with its key and its timelines.

pub mod archive;
mod codec;
pub mod image;
pub mod record;
pub mod timeline;
