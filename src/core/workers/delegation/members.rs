//! The leader's view of the other controllers, which is sent to each of them and shown in the status view.

use crate::core::Core;
use crate::core::leadership::state::LeaderState;
use crate::core::machines::machine::WORKER_RETRY;
use crate::core::workers::delegates::DELEGATE_TIMEOUTS;
use crate::peer::heartbeat_batch::MemberStatus;
use burlusher_membership::view::{Capabilities, MemberState};
use std::time::Instant;

/// Returns the status view's label for a member's state in the failure detector.
fn state_label(state: MemberState) -> &'static str {
    match state {
        MemberState::Unknown => "not heard of",
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Lost => "lost",
    }
}

impl LeaderState {
    /// Returns the time until which missing heartbeats do not indicate that a machine has failed, or `None` if all
    /// delegates are in contact. A worker may send its heartbeats to a delegate that is out of contact, or may just
    /// have been redirected to it, and needs [`WORKER_RETRY`] to give up on it and try the next controller.
    pub(in crate::core) fn delegate_grace_until(&self, now: Instant) -> Option<Instant> {
        let delegates = self.delegates.by_name.values();
        let is_late =
            |at: &Instant| now.saturating_duration_since(*at) > DELEGATE_TIMEOUTS.suspect_after;
        delegates
            .map(|d| d.issued.last_request_at)
            .filter(is_late)
            .max()
            .map(|at| at + WORKER_RETRY)
    }
}

impl Core {
    /// Returns the known state of all controllers except this one and `to`.
    pub(super) fn member_statuses(&self, to: &str) -> Vec<MemberStatus> {
        let now = self.now.mono;
        let others = self.members.members().filter(|(name, _)| *name != to);
        let statuses = others.filter_map(|(name, member)| {
            Some(MemberStatus {
                name: name.to_string(),
                capabilities: member.capabilities.0,
                load: member.load,
                age: now.saturating_duration_since(member.last_contact?),
            })
        });
        statuses.collect()
    }

    /// Returns the other controllers for the status view: name, zone, state, number of workers, and whether the
    /// controller holds a grant (null if this one does not lead, or has received no batch from it).
    pub(in crate::core) fn members_status(&self) -> serde_json::Value {
        let now = self.now.mono;
        let granted = |name: &str| {
            let delegate = self.leader.as_ref()?.delegates.by_name.get(name)?;
            Some(delegate.issued.expires_at > now)
        };
        let members = self.members.members().map(|(name, member)| {
            serde_json::json!({
                "node": name,
                "zone": member.zone,
                "standing": state_label(self.members.state(name, now)),
                "workers": member.load,
                "takes_reports": member.capabilities.contains(Capabilities::SERVES_WORKERS),
                "granted": granted(name),
            })
        });
        members.collect()
    }
}
