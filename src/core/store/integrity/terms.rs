//! Terms that workers and other controllers have seen, and the choice of the next leadership's term. A term newer than
//! the store's was assigned before the store lost data.

use crate::core::Core;
use crate::core::machines::machine::TOKEN_EPOCH_BITS;
use std::time::SystemTime;

/// Start of 2020, in seconds since the Unix epoch.
const EPOCH_S: u64 = 1_577_836_800;
/// Largest term: an attempt's number holds the term above 32 bits of its own.
const MAX_TERM: u64 = u32::MAX as u64;
/// Maximum number of seconds by which a plausible term is ahead of the wall clock: no leader was assigned a later one.
const MAX_TERM_LEAD_S: u64 = 86_400;

impl Core {
    /// Records the term of the newest fencing token that a worker has seen, which each heartbeat contains, and checks
    /// for a data loss.
    pub(in crate::core) fn observe_fencing_token(&mut self, token: u64) {
        let term = token >> TOKEN_EPOCH_BITS;
        if term > 0 {
            let oldest = &mut self.store_integrity.terms.oldest;
            *oldest = Some(oldest.map_or(term, |known| known.min(term)));
        }
        self.store_integrity.observe_term(term, self.now.mono);
        self.check_newer_term();
        self.check_older_term();
    }

    /// Declares a data loss if a term newer than that of this active leader was seen. The next leader can be elected
    /// only after this leader's lease has expired, so the newer term was assigned before the store lost data.
    pub(in crate::core) fn check_newer_term(&mut self) {
        let Some(leader) = &self.leader else { return };
        let (ours, newest) = (leader.term, self.newest_term());
        if newest > ours && self.is_active_leader() {
            self.declare_data_loss(format!(
                "term {newest} was there before, and this is term {ours}"
            ));
            self.resign_to_rebuild();
        }
    }

    /// Declares a data loss if a worker has seen a term older than the first one of a store that was assumed to be new.
    pub(super) fn check_older_term(&mut self) {
        let (Some(first), Some(oldest)) = (
            self.store_cache.first_term,
            self.store_integrity.terms.oldest,
        ) else {
            return;
        };
        if oldest >= first || self.store_is_incomplete() {
            return;
        }
        let led = self.leader.is_some();
        self.declare_data_loss(format!(
            "it began with term {first}, and a worker has seen {oldest}"
        ));
        if led {
            self.resign_to_rebuild();
        }
    }

    /// Returns the newest known term.
    pub(super) fn newest_term(&self) -> u64 {
        self.store_cache.term.max(self.store_integrity.terms.newest)
    }

    fn seconds_since_epoch(&self) -> u64 {
        let since = self.now.wall.duration_since(SystemTime::UNIX_EPOCH);
        since.unwrap_or_default().as_secs().saturating_sub(EPOCH_S)
    }

    /// Returns whether a leader may have had this term. Terms are ahead of the wall clock by no more than the
    /// difference between clocks, and the number of leaders in excess of one a second.
    pub(in crate::core) fn is_plausible_term(&self, term: u64) -> bool {
        term <= self.seconds_since_epoch().saturating_add(MAX_TERM_LEAD_S)
    }

    /// Returns the term of the next leadership: the seconds since 2020, or the newest known term plus one if that is
    /// larger. Leaders change less than once a second, so no term is reused even after data loss, when a controller
    /// that has just started on a rolled-back store cannot know of later terms. Controllers with the same knowledge
    /// never choose the same term: each has its own residue modulo the number of controllers.
    pub(in crate::core) fn next_term(&self) -> u64 {
        let minimum = (self.newest_term() + 1).max(self.seconds_since_epoch());
        let peers = self.settings.peers.iter().map(|p| p.name.as_str());
        let rank = peers.filter(|p| *p < self.settings.name.as_str()).count() as u64;
        let controllers = self.settings.peers.len() as u64 + 1;
        let offset = (rank + controllers - minimum % controllers) % controllers;
        (minimum + offset).min(MAX_TERM)
    }
}
