//! What a state service holds, kept on disk for the day on which it loses its data.
//!
//! It exists because the service's own memory (`core::mirror` in every controller) ends with the
//! controllers. An *archive* is a folder with a *line* for each store that was followed: a base, which
//! has everything as of a revision, and a log of the changes after it. Reading checks each record and
//! tells what is torn or flipped, where, and how far the line is whole.
//!
//! - `image`: keys, versions and values, and changes to them; pure.
//! - `record`: how a record lies in a file: compressed, with a checksum and a place in a keyed chain.
//! - `line`: a base and its log, written and read.
//! - `archive`: the folder, its key, its lines, and which of them is the newest.

pub mod archive;
pub mod image;
pub mod line;
pub mod record;
