//! Keys of the state service, see `store_cache`.

use crate::store_client::PREFIX;
use crate::wire::Condition;

pub const LEADER: &str = "leader";
pub const TERM: &str = "term";
pub const TYPES: &str = "types";
/// The store is incomplete: what it lost is being brought back.
pub const REBUILDING: &str = "rebuilding";

pub fn key(name: &str) -> String {
    format!("{PREFIX}{name}")
}

pub fn job_key(id: &str) -> String {
    format!("{PREFIX}j/{id}")
}

pub fn done_key(id: &str, base: u32) -> String {
    format!("{PREFIX}d/{id}/{base}")
}

/// A key that nobody writes: its absence comes with the revision.
pub const NOTHING: &str = "nothing";

/// The store's identity is in the key's name, so that a condition on it cannot hold by chance in a
/// store that began again at revision 0.
pub fn identity_key(id: &str) -> String {
    format!("{PREFIX}i/{id}")
}

/// That the store goes by this name, given with the version of the key that says so.
pub fn named(identity: &(String, u64)) -> Condition {
    Condition {
        key: identity_key(&identity.0),
        version: identity.1,
    }
}

pub fn page_key(n: usize) -> String {
    format!("{PREFIX}p/{n}")
}

pub fn machine_key(id: &str) -> String {
    format!("{PREFIX}m/{id}")
}

/// Names one writing of a job's parts; a repeated submission writes its own.
pub type PartGeneration = u64;

pub fn part_key(id: &str, stem: PartGeneration, n: u32) -> String {
    key(&format!("s/{id}/{stem}/{n}"))
}
