//! Handling of renewals and of the loss of the lease, and how long this process may act as the leader.

use crate::core::leadership::lease::{LEASE_TTL, Lease};
use crate::core::{Core, Effect};
use crate::fault_injection::{Safeguard, is_enabled};
use std::time::Instant;

impl Core {
    /// Returns the time until which this process may act as the leader; `None` if it is not the leader or has no lease.
    pub(in crate::core) fn leadership_valid_until(&self) -> Option<Instant> {
        let leader = self.leader.as_ref()?;
        if !is_enabled(Safeguard::LeaseValidity) {
            return Some(self.now.mono + LEASE_TTL);
        }
        let lease = self.lease.as_ref()?;
        Some(lease.valid_until(leader.leader_key_confirmed))
    }

    /// Returns whether this process is the leader and its leadership is valid now.
    pub fn is_active_leader(&self) -> bool {
        self.leadership_valid_until()
            .is_some_and(|t| self.now.mono < t)
    }

    /// Handles a lease with this id that was granted or renewed by a request sent at `sent`. If the leader key was read
    /// after that, `confirmed_key_version` is its version.
    pub(in crate::core) fn lease_renewed(
        &mut self,
        id: u64,
        sent: Instant,
        confirmed_key_version: Option<u64>,
    ) {
        self.store_reachable_at = self.now.mono;
        if let Some(leader) = &mut self.leader
            && confirmed_key_version == Some(leader.key_version)
        {
            leader.leader_key_confirmed = leader.leader_key_confirmed.max(sent);
        }
        match &mut self.lease {
            Some(lease) if lease.id == id => lease.renew(sent),
            _ => {
                self.step_down("a new lease replaced the leader's");
                self.lease = Some(Lease::new(id, sent));
            }
        }
    }

    /// Handles a failed check of the leadership's conditions: the leader key is gone although its lease is not, or
    /// the identity of the store has changed.
    pub(in crate::core) fn leadership_disproved(&mut self, key_version: u64) {
        let current = self.leader.as_ref().map(|l| l.key_version);
        if current == Some(key_version) {
            self.step_down("the leader key no longer exists");
            self.suspect_data_loss("the leader key is gone although its lease is not");
        }
    }

    /// Handles a lease that has expired or that the store does not know.
    pub(in crate::core) fn lease_lost(&mut self) {
        let lost = self.lease.take();
        self.step_down("the lease no longer exists");
        if lost.is_some_and(|l| l.should_be_valid(self.now.mono)) {
            self.suspect_data_loss("it does not know a lease that should still be valid");
        }
    }

    /// Revokes the lease, and with it the leader key.
    pub(in crate::core) fn release_lease(&mut self) {
        self.lease = None;
        self.effects.push(Effect::ReleaseLease);
    }

    /// Requests another lease without revoking the present one, whose id may have been assigned to another process.
    pub(in crate::core) fn replace_lease(&mut self) {
        self.lease = None;
        self.effects.push(Effect::ReplaceLease);
    }
}
