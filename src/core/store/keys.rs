//! Keys of the state service. All are under `PREFIX`:
//!
//! - `leader` (attached to the leader's lease), `term`, `types` (machine types) and `rebuilding` (the store is
//!   incomplete, and what it lost is being brought back);
//! - `j/<job>`: a job, or how it ended;
//! - `d/<job>/<task>`: ranges of done tasks, counted from that task;
//! - `s/<job>/<generation>/<n>`: parts of large jobs;
//! - `p/<n>`: pages of machines that may hold a task;
//! - `m/<machine>`: such machines one by one, from earlier versions;
//! - `i/<identity>`: which store this is.

use crate::store_client::PREFIX;
use crate::wire::Condition;

/// The name of the key that holds the current leader.
pub const LEADER: &str = "leader";
/// The name of the key with the newest term.
pub const TERM: &str = "term";
/// The name of the key with the machine types.
pub const TYPES: &str = "types";
/// The store is incomplete: what it lost is being brought back.
pub const REBUILDING: &str = "rebuilding";
/// A key that is never written: reading its absence returns the store's revision.
pub const NEVER_WRITTEN: &str = "nothing";

/// Names one writing of a job's parts; a repeated submission writes its own.
pub type PartGeneration = u64;

/// A key of the state service, by what it is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreKey<'a> {
    /// Who leads.
    Leader,
    /// The newest term.
    Term,
    /// The machine types.
    MachineTypes,
    /// The mark of an incomplete store.
    Rebuilding,
    /// A job with this id.
    Job(&'a str),
    /// Done tasks of a job, counted from `base`.
    DoneRange {
        /// The job's id.
        job: &'a str,
        /// The first task that the range may have.
        base: u32,
    },
    /// A part of a large job.
    JobPart {
        /// The job's id.
        job: &'a str,
        /// The writing that it belongs to.
        generation: PartGeneration,
        /// Its place among the parts.
        number: u32,
    },
    /// A page of machines.
    MachinePage(usize),
    /// A machine under a key of its own.
    Machine(&'a str),
    /// Which store this is.
    Identity(&'a str),
}

impl<'a> StoreKey<'a> {
    /// What a key is for; none for a key of another program or version.
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

/// The key of this name.
pub fn key(name: &str) -> String {
    format!("{PREFIX}{name}")
}

/// The key of a job.
pub fn job_key(id: &str) -> String {
    format!("{PREFIX}j/{id}")
}

/// The key of a job's done tasks, counted from `base`.
pub fn done_key(id: &str, base: u32) -> String {
    format!("{PREFIX}d/{id}/{base}")
}

/// The store's identity is in the key's name, so that a condition on it cannot hold by chance in a
/// store that began again at revision 0.
pub fn identity_key(id: &str) -> String {
    format!("{PREFIX}i/{id}")
}

/// The condition that the store has this identity, given with the version of its key.
pub fn identity_condition(identity: &(String, u64)) -> Condition {
    Condition {
        key: identity_key(&identity.0),
        version: identity.1,
    }
}

/// The key of a page of machines.
pub fn page_key(n: usize) -> String {
    format!("{PREFIX}p/{n}")
}

/// The key of a single machine, as earlier versions wrote them.
pub fn machine_key(id: &str) -> String {
    format!("{PREFIX}m/{id}")
}

/// The key of a part of a large job.
pub fn part_key(id: &str, generation: PartGeneration, n: u32) -> String {
    key(&format!("s/{id}/{generation}/{n}"))
}

#[cfg(test)]
mod tests;
