//! The leader's and followers' view of the key-value store: its keys, this process's cache of them, the leader's
//! durable writes, and what happens when the store loses data.
//!
//! Owns `StoreCache`, `Writes`, `StoreIntegrity`, `Rebuild` and `ReadBarriers`. Nothing else builds a transaction
//! of the leader's.

pub mod cache;
pub mod commit;
pub mod integrity;
pub mod keys;
pub mod large_jobs;
pub mod machine_records;
pub mod read_barrier;
pub mod rebuild;
pub mod transaction;
pub mod versions;
pub mod writes;
