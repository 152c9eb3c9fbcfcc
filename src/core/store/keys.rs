//! Keys of the state service. All are under `PREFIX`:
//!
//! - `leader` (attached to the leader's lease), `term`, `types` (machine types) and `rebuilding` (present while
//!   the store is incomplete and its lost data is being restored);
//! - `j/<job>`: a job, or its outcome once it has ended;
//! - `d/<job>/<task>`: ranges of done tasks, numbered relative to that task;
//! - `s/<job>/<generation>/<n>`: parts of large jobs;
//! - `p/<n>`: pages of machines that may hold a task;
//! - `m/<machine>`: single machines of this kind, written by earlier versions;
//! - `i/<identity>`: the identity of the store.

use crate::store_client::{IDENTITY_PREFIX, PREFIX};
use crate::wire::Condition;

/// Prefix of the keys of jobs.
pub const JOB_PREFIX: &str = "burlusher/j/";
/// Name of the key that holds the current leader.
pub const LEADER: &str = "leader";
/// Name of the key with the newest term.
pub const TERM: &str = "term";
/// Name of the key with the machine types.
pub const TYPES: &str = "types";
/// Name of the key that marks the store as incomplete while its lost data is being restored.
pub const REBUILDING: &str = "rebuilding";
/// Name of a key that is never written: a read of it returns only the store's revision.
pub const NEVER_WRITTEN: &str = "nothing";

/// Identifies one set of a large job's parts; each submission attempt writes a set of its own.
pub type PartGeneration = u64;

/// A key of the state service, by its purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreKey<'a> {
    /// The current leader.
    Leader,
    /// The newest term.
    Term,
    /// The machine types.
    MachineTypes,
    /// The marker of an incomplete store.
    Rebuilding,
    /// A job with this id.
    Job(&'a str),
    /// Done tasks of a job, counted from `base`.
    DoneRange {
        /// The job's id.
        job: &'a str,
        /// The first task that the range can contain.
        base: u32,
    },
    /// A part of a large job.
    JobPart {
        /// The job's id.
        job: &'a str,
        /// The set of parts that it belongs to.
        generation: PartGeneration,
        /// Its index among the parts.
        number: u32,
    },
    /// A page of machine records.
    MachinePage(usize),
    /// A machine record under a key of its own.
    Machine(&'a str),
    /// The identity of the store.
    Identity(&'a str),
}

impl<'a> StoreKey<'a> {
    /// Parses a key. Returns `None` for a key of another program or version.
    pub fn parse(key: &'a str) -> Option<StoreKey<'a>> {
        let name = key.strip_prefix(PREFIX)?;
        let Some((kind, rest)) = name.split_once('/') else {
            return StoreKey::parse_singleton(name);
        };
        match kind {
            "j" => Some(StoreKey::Job(rest)),
            "d" => {
                let (job, base) = rest.split_once('/')?;
                let base = base.parse().ok()?;
                Some(StoreKey::DoneRange { job, base })
            }
            "s" => {
                let (job, rest) = rest.split_once('/')?;
                let (generation, number) = rest.split_once('/')?;
                Some(StoreKey::JobPart {
                    job,
                    generation: generation.parse().ok()?,
                    number: number.parse().ok()?,
                })
            }
            "p" => Some(StoreKey::MachinePage(rest.parse().ok()?)),
            "m" => Some(StoreKey::Machine(rest)),
            "i" => Some(StoreKey::Identity(rest)),
            _ => None,
        }
    }

    fn parse_singleton(name: &str) -> Option<StoreKey<'a>> {
        match name {
            LEADER => Some(StoreKey::Leader),
            TERM => Some(StoreKey::Term),
            TYPES => Some(StoreKey::MachineTypes),
            REBUILDING => Some(StoreKey::Rebuilding),
            _ => None,
        }
    }
}

/// Returns the key with this name.
pub fn key(name: &str) -> String {
    format!("{PREFIX}{name}")
}

/// Returns the key of a job.
pub fn job_key(id: &str) -> String {
    format!("{JOB_PREFIX}{id}")
}

/// Returns the key of a job's done tasks, counted from `base`.
pub fn done_key(id: &str, base: u32) -> String {
    format!("{PREFIX}d/{id}/{base}")
}

/// Returns the key of the store's identity. The identity is part of the key's name, so that a condition
/// on the key's version cannot hold by chance in a store that restarted at revision 0.
pub fn identity_key(id: &str) -> String {
    format!("{IDENTITY_PREFIX}{id}")
}

/// Returns the condition that the store has this identity, which is given with the version of its key.
pub fn identity_condition(identity: &(String, u64)) -> Condition {
    Condition {
        key: identity_key(&identity.0),
        version: identity.1,
    }
}

/// Returns the key of a page of machine records.
pub fn page_key(n: usize) -> String {
    format!("{PREFIX}p/{n}")
}

/// Returns the key of a single machine's record, as written by earlier versions.
pub fn machine_key(id: &str) -> String {
    format!("{PREFIX}m/{id}")
}

/// Returns the key of a part of a large job.
pub fn part_key(id: &str, generation: PartGeneration, n: u32) -> String {
    key(&format!("s/{id}/{generation}/{n}"))
}

#[cfg(test)]
mod tests;
