//! The timeline of one store: a base and a log of the changes after it. A base is written beside its
//! place, synced, and put there whole; the log after it only grows. When the log has become longer
//! than its base, a new base takes the place of both, and the pair before stays until there is
//! another one: a timeline can always be read.

mod reader;
mod writer;

pub use reader::read;
pub use writer::Writer;

use crate::image::Image;
use crate::record::Fault;
use std::io;
use std::path::Path;

const BASE_EXTENSION: &str = "base";
const LOG_EXTENSION: &str = "log";

/// What a timeline is of, and when its base was taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BaseHeader {
    /// The store's identity; empty if it has none.
    pub store: String,
    /// The revision as of which the base was taken.
    pub revision: u64,
    /// When the base was taken, in milliseconds since 1970.
    pub at_ms: u64,
}

/// A timeline as far as it can be read.
#[derive(Debug)]
pub struct Timeline {
    /// What its base is of.
    pub header: BaseHeader,
    /// What the store held after the last change that can be read.
    pub image: Image,
    /// When the last change was written, in milliseconds since 1970; that of the base if none was.
    pub newest_ms: u64,
    /// How many changes after the base were read.
    pub changes: usize,
    /// Bytes on disk that were read.
    pub bytes: u64,
    /// What is at fault; of the changes after it nothing is in the image.
    pub faults: Vec<RecordFault>,
}

/// A fault found in a file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file} at byte {offset}: {fault}")]
pub struct RecordFault {
    /// The file's name in its timeline's folder.
    pub file: String,
    /// Bytes before the record at fault.
    pub offset: u64,
    /// What is at fault.
    pub fault: Fault,
}

/// Why nothing of a timeline can be read.
#[derive(Debug, thiserror::Error)]
pub enum TimelineError {
    /// A file or folder could not be read.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// There is no pair with a whole base; the faults say why.
    #[error("no whole base: {0:?}")]
    NoBase(Vec<RecordFault>),
}

fn base_name(number: u64) -> String {
    format!("{number:06}.{BASE_EXTENSION}")
}

fn log_name(number: u64) -> String {
    format!("{number:06}.{LOG_EXTENSION}")
}

/// The numbers of the pairs in a folder, the newest last; of a pair, one file may be missing.
fn pair_numbers(dir: &Path) -> io::Result<Vec<u64>> {
    let mut numbers = Vec::new();
    for entry in std::fs::read_dir(dir)? {
        let name = entry?.file_name();
        let name = name.to_string_lossy();
        let Some((number, BASE_EXTENSION | LOG_EXTENSION)) = name.rsplit_once('.') else {
            continue;
        };
        numbers.extend(number.parse::<u64>().ok());
    }
    numbers.sort_unstable();
    numbers.dedup();
    Ok(numbers)
}

#[cfg(test)]
mod tests;
