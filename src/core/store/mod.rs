//! Access to the key-value store ("state service"): its keys, this process's cache of their values, the leader's
//! durable writes, and the handling of data loss in the store.
//!
//! Owns `StoreCache`, `StoreIntegrity`, `Rebuild` and `ReadBarriers`. The leader's transactions are built only here.
//!
//! - `keys`, `versions`: keys and their versions; `cache`: the copy of the store, kept current by the watch.
//! - `recent_job_changes`: the newest changes of jobs in the copy, by which a restored store is recognized.
//! - `transaction`, `writes`, `commit`: building the leader's next transaction, sending it, and finding out whether
//!   one without a response was committed.
//! - `garbage`: whether an obsolete key may be deleted.
//! - `machine_records`, `large_jobs`: values that are spread over several keys.
//! - `end_reads`: reads of ends of jobs that the copy has dropped.
//! - `read_barrier`: linearizable reads that need more than the value of one key.
//! - `integrity`, `rebuild`: detection of data loss in the store, and restoration of the lost data by the leader.

pub mod barrier_request;
pub mod cache;
pub mod commit;
pub mod end_reads;
pub mod garbage;
pub mod integrity;
pub mod keys;
pub mod large_jobs;
pub mod machine_records;
pub mod pending_writes;
pub mod read_barrier;
pub mod rebuild;
pub mod recent_job_changes;
pub mod transaction;
pub mod versions;
pub mod writes;
