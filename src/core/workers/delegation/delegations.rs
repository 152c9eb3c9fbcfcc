//! Lifecycle of a delegation. It begins with a response without commands, is revoked when anything
//! changes on the machine, and ends when the delegate acknowledges the revocation or its grant
//! expires.

use crate::core::Core;
use crate::core::leadership::state::LeaderState;
use crate::core::workers::delegates::Delegate;
use crate::job::MachineId;
use crate::peer::heartbeat_batch::{self, AnsweredHeartbeat};
use std::sync::Arc;
use std::time::Instant;

impl LeaderState {
    /// Delegates a machine to the controller `to` if no commands are pending for the machine. Returns
    /// whether the machine is now delegated to that controller.
    pub(super) fn delegate_machine(&mut self, id: &MachineId, to: &Arc<str>) -> bool {
        let Some(m) = self.machines.get_mut_untracked(id) else {
            return false;
        };
        let is_free = m.delegated_to.as_ref().is_none_or(|d| d == to) && !m.revoked;
        if m.unresolved || !is_free || !m.is_steady() {
            return false;
        }
        m.delegated_to = Some(to.clone());
        if let Some(delegate) = self.delegates.by_name.get_mut(to) {
            delegate.has_delegations = true;
        }
        true
    }

    /// Records a heartbeat that a delegate answered, and the lease renewal that this implies. The
    /// record is ignored if the machine is not delegated to that controller.
    pub(super) fn record_delegated_heartbeat(
        &mut self,
        answered: &AnsweredHeartbeat,
        from: &Arc<str>,
        now: Instant,
    ) {
        let Some(m) = self.machines.get_mut_untracked(&answered.machine) else {
            return;
        };
        if m.delegated_to.as_ref() != Some(from)
            || m.incarnation != answered.incarnation
            || m.lease_expired
        {
            tracing::debug!(machine = %m.id, controller = &**from, "answered heartbeat ignored");
            return;
        }
        let received = now.checked_sub(answered.age).unwrap_or(now);
        m.lease_renewed = m.lease_renewed.max(received);
        if answered.sequence > m.sequence {
            m.sequence = answered.sequence;
            m.last_heartbeat = m.last_heartbeat.max(received);
            m.via = Some(from.clone());
        }
    }

    /// Assumes that a controller has answered each machine that is delegated to it just now: a batch of this controller
    /// did not arrive, and one of an earlier version does not report again what was in it.
    pub(super) fn assume_renewed_leases(&mut self, from: &Arc<str>, now: Instant) {
        let delegated: Vec<MachineId> = (self.machines.values())
            .filter(|m| m.delegated_to.as_ref() == Some(from) && !m.lease_expired)
            .map(|m| m.id.clone())
            .collect();
        tracing::debug!(
            controller = &**from,
            machines = delegated.len(),
            "heartbeat batch missing"
        );
        for id in delegated {
            if let Some(m) = self.machines.get_mut_untracked(&id) {
                m.lease_renewed = m.lease_renewed.max(now);
            }
        }
    }

    /// Revokes the delegation of a machine, if it is delegated.
    pub(super) fn revoke_delegation(&mut self, id: &MachineId) {
        let Some(m) = self.machines.get_mut_untracked(id) else {
            return;
        };
        if m.revoked {
            return;
        }
        let delegates = &mut self.delegates.by_name;
        let delegate = m.delegated_to.as_ref().and_then(|to| delegates.get_mut(to));
        if let Some(delegate) = delegate {
            m.revoked = true;
            delegate.revocations.insert(id.clone(), None);
        }
    }

    /// Records the controller that relayed the machine's newest heartbeat, or `None` if the worker sent
    /// it to the leader. A delegation to any other controller is revoked.
    pub(in crate::core) fn record_route(&mut self, id: &MachineId, via: Option<&Arc<str>>) {
        let Some(m) = self.machines.get_mut_untracked(id) else {
            return;
        };
        if m.via.as_ref() != via {
            m.via = via.cloned();
        }
        if m.delegated_to.is_some() && m.delegated_to.as_ref() != via {
            self.revoke_delegation(id);
        }
    }

    /// Revokes the delegations of those changed machines for which commands may now be pending.
    pub(in crate::core) fn revoke_changed(&mut self, changed: &[MachineId]) {
        if self.delegates.by_name.is_empty() {
            return;
        }
        for id in changed {
            let m = self.machines.get(id);
            if m.is_some_and(|m| m.delegated_to.is_some() && !m.is_steady()) {
                self.revoke_delegation(id);
            }
        }
    }

    /// Ends the delegations whose revocation was first sent in the acknowledged response or an earlier
    /// one, as the delegate has applied it.
    pub(super) fn confirm_revocations(&mut self, from: &Arc<str>, acknowledged: u64) {
        let Some(delegate) = self.delegates.by_name.get_mut(from) else {
            return;
        };
        let confirmed = |_: &MachineId, first_sent: &mut Option<u64>| {
            first_sent.is_some_and(|number| number <= acknowledged)
        };
        for (id, _) in delegate.revocations.extract_if(.., confirmed) {
            if let Some(m) = self.machines.get_mut_untracked(&id)
                && m.delegated_to.as_ref() == Some(from)
            {
                m.delegated_to = None;
                m.revoked = false;
                tracing::debug!(machine = %id, controller = &**from, "revocation confirmed");
            }
        }
    }

    /// Ends all delegations to a controller whose process has been replaced by a new one.
    pub(super) fn reset_delegate(&mut self, name: &Arc<str>) {
        let Some(delegate) = self.delegates.by_name.get_mut(name) else {
            return;
        };
        delegate.revocations.clear();
        let until = delegate.issued.expires_at;
        self.end_delegations(name, until);
    }

    /// Ends all delegations to a controller. `until` is the latest time at which it can have answered a
    /// heartbeat under them.
    fn end_delegations(&mut self, name: &Arc<str>, until: Instant) {
        let delegated: Vec<MachineId> = (self.machines.values())
            .filter(|m| m.delegated_to.as_ref() == Some(name))
            .map(|m| m.id.clone())
            .collect();
        for id in delegated {
            if let Some(m) = self.machines.get_mut_untracked(&id) {
                m.lease_renewed = m.lease_renewed.max(until);
                m.delegated_to = None;
                m.revoked = false;
            }
        }
    }

    /// Ends the delegations of all delegates whose grant has expired.
    fn expire_grants(&mut self, now: Instant) {
        let mut expired = Vec::new();
        for (name, delegate) in &mut self.delegates.by_name {
            if delegate.has_delegations && now >= delegate.issued.expires_at {
                delegate.has_delegations = false;
                delegate.revocations.clear();
                expired.push((name.clone(), delegate.issued.expires_at));
            }
        }
        for (name, expired_at) in expired {
            tracing::info!(
                term = self.term,
                controller = &*name,
                "delegation grant expired"
            );
            self.end_delegations(&name, expired_at);
        }
    }
}

impl Core {
    /// Ends delegations under expired grants, revokes those of silent machines, and periodically
    /// rebalances workers. Called in each step of the leader.
    pub(in crate::core) fn check_delegates(&mut self) {
        let now = self.now.mono;
        let Some(leader) = &mut self.leader else {
            return;
        };
        if leader.delegates.by_name.is_empty() {
            return;
        }
        leader.expire_grants(now);
        self.revoke_silent_machines();
        self.rebalance_workers_if_due();
    }

    /// Revokes the delegations of silent machines, as a machine can be treated as lost only after its
    /// delegation has ended.
    fn revoke_silent_machines(&mut self) {
        let now = self.now.mono;
        let max_silence = self.settings.heartbeat_interval * 7 / 4;
        let Some(leader) = &mut self.leader else {
            return;
        };
        let silent: Vec<MachineId> = (leader.machines.values())
            .filter(|m| m.delegated_to.is_some() && !m.revoked)
            .filter(|m| now.saturating_duration_since(m.last_heartbeat) > max_silence)
            .map(|m| m.id.clone())
            .collect();
        for id in silent {
            leader.revoke_delegation(&id);
        }
    }
}

impl Delegate {
    /// Returns the machines whose delegation is revoked, for the batch response with this number, as many as
    /// fit into a frame. A revocation that was sent once is repeated in every response until it is
    /// acknowledged, so whichever response the delegate applies contains all revocations sent before.
    pub(super) fn revocations_for_frame(&mut self, number: u64) -> Vec<MachineId> {
        let sent = self.revocations.iter().filter(|(_, at)| at.is_some());
        let unsent = self.revocations.iter().filter(|(_, at)| at.is_none());
        let mut revoked: Vec<MachineId> = sent.chain(unsent).map(|(id, _)| id.clone()).collect();
        revoked.truncate(heartbeat_batch::count_fitting_names(&revoked));
        revoked.sort_unstable();
        for id in &revoked {
            if let Some(first_sent) = self.revocations.get_mut(id) {
                first_sent.get_or_insert(number);
            }
        }
        revoked
    }
}
