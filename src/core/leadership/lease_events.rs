//! What follows from renewals of the lease and from its end; and until when this process may act as the leader.

use crate::core::leadership::lease::{LEASE_TTL, Lease};
use crate::core::{Core, Effect};
use crate::fault_injection::{Safeguard, is_enabled};
use std::time::Instant;

impl Core {
    /// Until when this process may act as the leader.
    pub(in crate::core) fn leadership_valid_until(&self) -> Option<Instant> {
        let leader = self.leader.as_ref()?;
        if !is_enabled(Safeguard::LeaseValidity) {
            return Some(self.now.mono + LEASE_TTL);
        }
        let lease = self.lease.as_ref()?;
        Some(lease.valid_until(leader.leader_key_confirmed))
    }

    /// Whether this process is the leader and may act as such now.
    pub fn is_active_leader(&self) -> bool {
        self.leadership_valid_until()
            .is_some_and(|t| self.now.mono < t)
    }

    /// The lease of this number was granted or renewed by a request sent at `sent`, and since then the leader key of
    /// this version was seen.
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

    /// The leader key is gone though its lease is not, or the store is another one.
    pub(in crate::core) fn leadership_disproved(&mut self, key_version: u64) {
        let current = self.leader.as_ref().map(|l| l.key_version);
        if current == Some(key_version) {
            self.step_down("the leader key is not there any more");
            self.suspect_data_loss("a leader key is gone before its lease");
        }
    }

    /// The lease has expired, or the store does not know it.
    pub(in crate::core) fn lease_lost(&mut self) {
        let lost = self.lease.take();
        self.step_down("the lease has ended");
        if lost.is_some_and(|l| l.should_be_valid(self.now.mono)) {
            self.suspect_data_loss("it does not know a lease that should still run");
        }
    }

    /// Revokes the lease, and with it the leader key.
    pub(in crate::core) fn release_lease(&mut self) {
        self.lease = None;
        self.effects.push(Effect::ReleaseLease);
    }

    /// Takes another lease; the old one's number may be another process's by now.
    pub(in crate::core) fn replace_lease(&mut self) {
        self.lease = None;
        self.effects.push(Effect::ReplaceLease);
    }
}
