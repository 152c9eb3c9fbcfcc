//! Limits of the state service: of keys, values, transactions, pages and leases.

use burlusher::wire::{Change, CompareAndSwap};
use std::ops::RangeInclusive;

/// Maximum size of a value, in KiB; part of the controllers' settings.
pub(crate) const MAX_VALUE_KB: u32 = 8;
/// Maximum number of changes in a transaction; part of the controllers' settings.
pub(crate) const MAX_CHANGES: usize = 32;
/// Maximum number of conditions in a transaction.
const MAX_CONDITIONS: usize = 4 * MAX_CHANGES;
/// Maximum size of a transaction's request, in bytes.
pub(crate) const MAX_TRANSACTION_BYTES: usize = 64 * 1024;
/// Maximum number of items on a page of keys.
pub(crate) const MAX_PAGE_ITEMS: u64 = 1000;
/// Maximum size of the items on a page of keys, in bytes.
pub(crate) const MAX_PAGE_BYTES: usize = 512 * 1024;
/// Maximum length of a key, in bytes.
const MAX_KEY_BYTES: usize = 200;
/// Time after which a lease may end, in milliseconds.
pub(crate) const LEASE_TTL_MS: RangeInclusive<u64> = 100..=600_000;

/// Reason why a transaction is malformed.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub(crate) enum Violation {
    /// There are more than [`MAX_CHANGES`] changes.
    #[error("too many changes")]
    TooManyChanges,
    /// There are more than [`MAX_CONDITIONS`] conditions.
    #[error("too many conditions")]
    TooManyConditions,
    /// A value is larger than [`MAX_VALUE_KB`].
    #[error("value too large")]
    ValueTooLarge,
    /// A key is empty, longer than [`MAX_KEY_BYTES`], or contains a space.
    #[error("malformed key")]
    MalformedKey,
}

/// Returns the first limit that a transaction violates.
pub(crate) fn find_violation(transaction: &CompareAndSwap) -> Option<Violation> {
    let CompareAndSwap {
        conditions,
        changes,
    } = transaction;
    let mut keys = conditions
        .iter()
        .map(|condition| condition.key.as_str())
        .chain(changes.iter().map(Change::key));
    if changes.len() > MAX_CHANGES {
        Some(Violation::TooManyChanges)
    } else if conditions.len() > MAX_CONDITIONS {
        Some(Violation::TooManyConditions)
    } else if changes.iter().any(is_too_large) {
        Some(Violation::ValueTooLarge)
    } else if !keys.all(is_key) {
        Some(Violation::MalformedKey)
    } else {
        None
    }
}

fn is_too_large(change: &Change) -> bool {
    match change {
        Change::Put { value, .. } => value.to_string().len() > MAX_VALUE_KB as usize * 1024,
        Change::Delete { .. } => false,
    }
}

fn is_key(key: &str) -> bool {
    (1..=MAX_KEY_BYTES).contains(&key.len()) && !key.contains(' ')
}
