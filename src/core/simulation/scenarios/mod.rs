//! Scenarios: each says what happens to the cluster and what must come of it.

pub mod basics;
mod bidding;
mod cancellation;
mod cancellation_in_outage;
mod combined_faults;
mod delegation;
mod late_writes;
mod loss_of_store;
mod lost_answers;
mod old_messages;
mod partitions;
