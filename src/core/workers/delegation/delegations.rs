//! The life of a delegation: it begins with an answer without commands, is revoked when anything
//! changes on the machine, and ends when the delegate acknowledges that, or when its grant expires.

use crate::core::Core;
use crate::core::leadership::state::LeaderState;
use crate::core::workers::delegates::Delegate;
use crate::job::MachineId;
use crate::peer::heartbeat_batch::{self, AnsweredHeartbeat};
use std::sync::Arc;
use std::time::Instant;

impl LeaderState {
    /// Delegates a machine for which there are no commands. Returns whether it is delegated to this
    /// controller now.
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

    /// A heartbeat was answered for us: only a machine that was delegated can have had one.
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

    /// A heartbeat came through this controller, or to this one itself: no other may answer the
    /// machine from memory any more.
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

    /// Revokes the delegations of those machines, of all that changed, for which there are commands
    /// now.
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

    /// The delegate has applied our answers up to this one, and acknowledged it after that.
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
            }
        }
    }

    /// The delegate's process is a new one, which nothing is delegated to.
    pub(super) fn reset_delegate(&mut self, name: &Arc<str>) {
        let Some(delegate) = self.delegates.by_name.get_mut(name) else {
            return;
        };
        delegate.revocations.clear();
        let until = delegate.issued.expires_at;
        self.end_delegations(name, until);
    }

    /// Ends all delegations to a controller, which answered nothing under them after `until`.
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

    /// Ends the delegations under grants that have expired.
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
    /// Called in each step of a leader: ends delegations under expired grants, revokes those of
    /// silent machines, and rebalances workers now and then.
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

    /// Revokes the delegations of silent machines: before one can count as lost, its delegation
    /// has to have ended.
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
    /// Revoked machines for the answer of this number, as many as a frame takes. One that was sent
    /// once is sent again in every answer until the delegate has applied one of them: whichever
    /// that is, it had all of these.
    pub(super) fn revocations_for_frame(&mut self, number: u64) -> Vec<MachineId> {
        let sent = self.revocations.iter().filter(|(_, at)| at.is_some());
        let unsent = self.revocations.iter().filter(|(_, at)| at.is_none());
        let mut revoked: Vec<MachineId> = sent.chain(unsent).map(|(id, _)| id.clone()).collect();
        revoked.truncate(heartbeat_batch::names_that_fit(&revoked));
        revoked.sort_unstable();
        for id in &revoked {
            if let Some(first_sent) = self.revocations.get_mut(id) {
                first_sent.get_or_insert(number);
            }
        }
        revoked
    }
}
