//! Digest of a worker's heartbeat, by which an unchanged heartbeat is detected without keeping its
//! content.

use siphasher::sip128::{Hasher128, SipHasher13};
use std::hash::Hasher;

/// 128-bit keyed hash of the content of one heartbeat. As each process draws its own key, a user cannot
/// choose task names that cause a collision between two heartbeats of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Digest(u128);

/// Computes the digest of the values of a heartbeat, which are added one after another.
pub struct Digester(SipHasher13);

impl Digester {
    /// Creates a digester with the key of the process.
    pub fn new(key: u64) -> Digester {
        Digester(SipHasher13::new_with_keys(key, !key))
    }

    /// Adds a string preceded by its length, so that the boundaries between strings change the digest.
    pub fn write_str(&mut self, text: &str) {
        self.0.write_usize(text.len());
        self.0.write(text.as_bytes());
    }

    /// Adds a number.
    pub fn write_u64(&mut self, number: u64) {
        self.0.write_u64(number);
    }

    /// Returns the digest of all values added.
    pub fn finish(self) -> Digest {
        Digest(self.0.finish128().as_u128())
    }
}

#[cfg(test)]
mod tests;
