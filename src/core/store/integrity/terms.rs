//! Terms that workers and other controllers have seen: one newer than the store's was given by a store that is no
//! more. And the term of the next leadership.

use crate::core::Core;
use crate::core::machines::machine::TOKEN_EPOCH_BITS;
use std::time::SystemTime;

/// The beginning of 2020, in seconds since 1970.
const EPOCH_S: u64 = 1_577_836_800;
/// An attempt's number has the term above 32 bits of its own.
const MAX_TERM: u64 = u32::MAX as u64;
/// A term this far ahead of the time of day, in seconds, was assigned to no leader.
const MAX_TERM_LEAD_S: u64 = 86_400;

impl Core {
    /// Every heartbeat shows the newest token that its worker has seen; a term newer than the store's
    /// was given by a store that is no more.
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

    /// The next leader can be elected only after this leader's lease has expired: a term newer than an acting
    /// leader's own was assigned by a store whose data has been lost.
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

    /// In a store that was taken for new, no worker can have seen a term before its first.
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

    /// The newest term that is known of.
    pub(super) fn newest_term(&self) -> u64 {
        self.store_cache.term.max(self.store_integrity.terms.newest)
    }

    fn seconds_since_epoch(&self) -> u64 {
        let since = self.now.wall.duration_since(SystemTime::UNIX_EPOCH);
        since.unwrap_or_default().as_secs().saturating_sub(EPOCH_S)
    }

    /// Whether a leader may have had this term: none is ahead of the time of day by more than clocks
    /// differ, and leaders that follow one another faster than seconds do.
    pub(in crate::core) fn is_plausible_term(&self, term: u64) -> bool {
        term <= self.seconds_since_epoch().saturating_add(MAX_TERM_LEAD_S)
    }

    /// The term of the next leadership: the seconds since 2020, or the newest term plus one if that is more.
    /// Leaders change less than once a second, so no term is reused, whatever data is lost: a controller that
    /// has just started on a store that was rolled back cannot know of later terms. Two controllers with the
    /// same knowledge never choose the same term: each has its own residue modulo the number of controllers.
    pub(in crate::core) fn next_term(&self) -> u64 {
        let minimum = (self.newest_term() + 1).max(self.seconds_since_epoch());
        let peers = self.settings.peers.iter().map(|p| p.name.as_str());
        let rank = peers.filter(|p| *p < self.settings.name.as_str()).count() as u64;
        let controllers = self.settings.peers.len() as u64 + 1;
        let offset = (rank + controllers - minimum % controllers) % controllers;
        (minimum + offset).min(MAX_TERM)
    }
}
