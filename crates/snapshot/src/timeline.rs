//! Timeline of one store: a base and a log of the changes after it. A base is written to a temporary
//! file, synced, and renamed, so it is always complete; its log is only appended to. When the log has
//! become longer than its base, a new pair of base and log is started. The previous pair is kept until
//! the next one is started, so a timeline can be read at any time.

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

/// Store, revision and time of a base.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BaseHeader {
    /// Identity of the store; empty if it has none.
    pub store: String,
    /// Revision of the store in the base.
    pub revision: u64,
    /// Time at which the base was written, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// Timeline as far as it can be read.
#[derive(Debug)]
pub struct Timeline {
    /// Header of its base.
    pub header: BaseHeader,
    /// Content of the store after the last change that can be read.
    pub image: Image,
    /// Time at which the last change was written, or the base if there is no change, in milliseconds
    /// since the Unix epoch.
    pub newest_ms: u64,
    /// Number of changes read after the base.
    pub changes: usize,
    /// Number of bytes read from disk.
    pub bytes: u64,
    /// Faults found. Changes after a fault in the log are not in the image.
    pub faults: Vec<RecordFault>,
}

/// Fault found in a file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file} at byte {offset}: {fault}")]
pub struct RecordFault {
    /// Name of the file in the timeline's folder.
    pub file: String,
    /// Offset of the faulty record in the file, in bytes.
    pub offset: u64,
    /// Fault of the record.
    pub fault: Fault,
}

/// Reason why nothing of a timeline can be read.
#[derive(Debug, thiserror::Error)]
pub enum TimelineError {
    /// A file or folder could not be read.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// No pair has a complete base, because of these faults.
    #[error("no complete base: {0:?}")]
    NoBase(Vec<RecordFault>),
}

fn base_name(number: u64) -> String {
    format!("{number:06}.{BASE_EXTENSION}")
}

fn log_name(number: u64) -> String {
    format!("{number:06}.{LOG_EXTENSION}")
}

/// Returns the numbers of the base and log pairs in a folder, the newest last. One file of a pair may
/// be missing.
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
