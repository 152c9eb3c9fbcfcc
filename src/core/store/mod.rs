//! The leader's and followers' view of the key-value store: its keys, this process's cache of them, the leader's
//! durable writes, and what happens when the store loses data.
//!
//! Owns `StoreCache`, `StoreIntegrity`, `Rebuild` and `ReadBarriers`. Nothing else builds a transaction
//! of the leader's.
//!
//! - `keys`, `versions`: keys and their versions; `cache`: the copy of the store, kept current by the watch.
//! - `transaction`, `writes`, `commit`: the leader's next transaction, its way to the store, and whether one
//!   without an answer was committed.
//! - `machine_records`, `large_jobs`: values that are spread over several keys.
//! - `read_barrier`: linearizable reads of what one key cannot answer.
//! - `integrity`, `rebuild`: whether the store has kept its data, and how a leader brings back what it lost.

pub mod barrier_request;
pub mod cache;
pub mod commit;
pub mod integrity;
pub mod keys;
pub mod large_jobs;
pub mod machine_records;
pub mod pending_writes;
pub mod read_barrier;
pub mod rebuild;
pub mod transaction;
pub mod versions;
pub mod writes;
