//! Whether a worker's heartbeat says the same as before, without keeping what it said.

use siphasher::sip128::{Hasher128, SipHasher13};
use std::hash::Hasher;

/// A keyed hash of everything that one heartbeat says, in 128 bits: with a key that each process
/// draws for itself, two different heartbeats of a machine are never taken for one another, even if
/// a user chose task names in order to cause a collision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Digest(u128);

/// Takes in the parts of a heartbeat one after another.
pub struct Digester(SipHasher13);

impl Digester {
    /// A digester with the process's key.
    pub fn new(key: u64) -> Digester {
        Digester(SipHasher13::new_with_keys(key, !key))
    }

    /// Adds a text, with its length, so that no two sequences of texts run into one another.
    pub fn write_str(&mut self, text: &str) {
        self.0.write_usize(text.len());
        self.0.write(text.as_bytes());
    }

    /// Adds a number.
    pub fn write_u64(&mut self, number: u64) {
        self.0.write_u64(number);
    }

    /// The digest of everything added.
    pub fn finish(self) -> Digest {
        Digest(self.0.finish128().as_u128())
    }
}

#[cfg(test)]
mod tests;
