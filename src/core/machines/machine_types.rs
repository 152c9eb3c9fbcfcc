//! The cloud's machine types. Every controller keeps a list of them, as at times it has to validate submitted jobs
//! without a leader.

use crate::cloud_client::CloudRequest;
use crate::core::command::PendingCall;
use crate::core::{Core, Effect};
use crate::wire::MachineType;
use std::time::Duration;

/// Interval between requests while no type is known.
const FIRST_REFRESH_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between requests of the leader.
const LEADER_REFRESH_INTERVAL: Duration = Duration::from_secs(60);
/// Interval between requests of a follower.
const FOLLOWER_REFRESH_INTERVAL: Duration = Duration::from_secs(600);

impl Core {
    /// Requests the machine types from the cloud when a refresh is due.
    pub(in crate::core) fn refresh_machine_types(&mut self) {
        let now = self.now.mono;
        let interval = if self.machine_types.is_empty() {
            FIRST_REFRESH_INTERVAL
        } else if self.leader.is_some() {
            LEADER_REFRESH_INTERVAL
        } else {
            FOLLOWER_REFRESH_INTERVAL
        };
        if self
            .machine_types_requested
            .is_some_and(|t| now < t + interval)
        {
            return;
        }
        self.machine_types_requested = Some(now);
        let call = self.register_call(PendingCall::ListMachineTypes);
        self.effects.push(Effect::CloudCall {
            call,
            request: CloudRequest::Types,
            not_after: None,
        });
    }

    /// Applies the machine types that the cloud returned. The leader writes changed types to the store and marks all
    /// machines as changed.
    pub(in crate::core) fn set_machine_types(&mut self, types: Vec<MachineType>) {
        if types.is_empty() || types == self.machine_types {
            return;
        }
        if let Some(leader) = &mut self.leader {
            leader.writes.machine_types = true;
            leader.machines.mark_all_changed();
        }
        self.machine_types = types;
    }

    /// Returns the machine type with this name, if the cloud has one.
    pub(in crate::core) fn type_of(&self, name: &str) -> Option<&MachineType> {
        self.machine_types.iter().find(|t| t.name == name)
    }
}
