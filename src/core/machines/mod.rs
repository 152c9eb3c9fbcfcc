//! Machines as the leader knows them: their state, failure detection, removal, and the calls to the cloud that add
//! and delete machines.
//!
//! The modules `machine`, `placement`, `fault_history` and `registry` hold data and do not depend on the modules with
//! the logic.

pub mod cancellation_bound;
pub mod cloud_calls;
pub mod cloud_operations;
pub mod failure_detection;
pub mod fault_history;
pub mod machine;
pub mod machine_list;
pub mod machine_types;
pub mod placement;
pub mod reclamation;
pub mod registry;
pub mod removal;

use crate::core::Core;
use crate::core::machines::machine::Machine;
use crate::job::MachineId;

impl Core {
    /// Returns the machine with this id for modification, if this controller leads and knows the machine.
    pub(in crate::core) fn machine_mut(&mut self, id: &MachineId) -> Option<&mut Machine> {
        self.leader.as_mut()?.machines.get_mut(id)
    }
}
