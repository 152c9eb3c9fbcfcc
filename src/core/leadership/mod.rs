//! Leader election and the leader's lifecycle.
//!
//! The leader is the controller whose lease holds the leader key in the store. The transaction that writes this key
//! increments a persistent term, which is the upper part of the fencing tokens sent to workers. A leader acts only
//! until the earliest moment, by its own clock, at which its lease may expire, and each of its writes is conditional
//! on the version of the leader key.
//!
//! - Data: `lease`, `candidacy`, `liveness`, `recovery_state`, and `state`, which holds everything that only a leader
//!   has.
//! - Events of the lease and the store: `lease_events`, `store_events`.
//! - Start and end of a leadership: `campaign`, `isolation`, `step_down`; `stale_key` deletes a leader key that no
//!   process can renew.
//! - `recovery`, `probes`: how a new leader finds out which tasks run on which machines.

pub mod candidacy;
pub mod lease;
pub mod liveness;
pub mod recovery;
pub mod recovery_state;
pub mod stale_key;
pub mod state;

mod campaign;
mod isolation;
mod lease_events;
mod probes;
mod step_down;
mod store_events;

use crate::core::Core;

impl Core {
    /// Performs the periodic leadership work of a step, after the commands of the step have been processed.
    pub(in crate::core) fn advance_leadership(&mut self) {
        if self.is_active_leader() {
            self.record_activity();
            self.resign_if_isolated();
        } else {
            self.check_stale_leader_key();
            self.campaign();
        }
    }
}
