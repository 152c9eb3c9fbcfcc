//! Snapshots of a state service on disk, for the day on which it loses its data.
//!
//! They exist because the copies of the store in the controllers end with the controllers. An
//! *archive* is a folder with a *timeline* for each store that was followed: a base, which has
//! everything as of a revision, and a log of the changes after it. Reading checks each record and
//! reports what is torn or flipped, where, and how far the timeline is whole.
//!
//! - `image`: keys, versions and values, and changes to them; pure.
//! - `codec`: the encoding of numbers, texts and changes inside records.
//! - `record`: how a record lies in a file: compressed, with a checksum and a place in a keyed chain.
//! - `timeline`: a base and its log, written and read.
//! - `archive`: the folder, its key, its timelines, and which of them is the newest.

pub mod archive;
mod codec;
pub mod image;
pub mod record;
pub mod timeline;
