//! The leader's view of the other controllers: sent to each of them, and shown in the status view.

use crate::core::Core;
use crate::core::leadership::state::LeaderState;
use crate::core::machines::machine::WORKER_RETRY;
use crate::core::workers::delegates::DELEGATE_TIMEOUTS;
use crate::peer::heartbeat_batch::MemberStatus;
use burlusher_membership::view::{Capabilities, MemberState};
use std::time::Instant;

/// The status view's label for a member's state in the failure detector.
fn state_label(state: MemberState) -> &'static str {
    match state {
        MemberState::Unknown => "not heard of",
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Lost => "lost",
    }
}

impl LeaderState {
    /// Until when missing heartbeats of a machine prove nothing, as there is no contact either with a controller
    /// that it may report to, or was just sent to by another: the worker has yet to find that out,
    /// and to find the next one.
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
    /// What is known of all controllers but this one and `to`.
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

    /// The other controllers for the status view: name, state, workers, and whether each holds a
    /// grant (null if this one does not lead, or has no batch of it).
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
                "takes_reports": member.capabilities.has(Capabilities::SERVES_WORKERS),
                "granted": granted(name),
            })
        });
        members.collect()
    }
}
