//! Leadership: who may decide and write.
//!
//! Leadership is a key in the store that depends on this process's lease. The transaction that writes the key raises a
//! persistent term, which the workers see as the upper part of their fencing token. A leader acts only until its
//! lease can have ended, by its own clock, and each of its writes has the leader key's version as a condition.
//!
//! - Data: `lease`, `candidacy`, `liveness`, `recovery_state`, and `state` with all that only a leader has.
//! - The lease and the store's events: `lease_events`, `store_events`.
//! - Beginning and end of a leadership: `campaign`, `isolation`, `step_down`; `stale_key` removes a leader key that no
//!   process can renew.
//! - `recovery`, `probes`: how a new leader finds out which tasks are on which machines.

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
    /// Called once per step, after its commands.
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
