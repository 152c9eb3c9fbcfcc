//! Detection of data loss in the state service.
//!
//! A store has an identity, a random name that its first leader gives it. Each controller remembers
//! that, the newest revision it has seen, and all that it read. Signs of a loss (a revision that went
//! back, an identity that is gone, an unknown lease that should still be valid, a worker that has seen a
//! newer term than ours) only make it read the store again: the decision compares what is stored
//! with the copy. An outage, a watch that is too old, a restart, an older version as leader are no such signs.
//!
//! Having lost data, the store gets another identity with its next leader, on which all its writes
//! depend: what was meant for the old one can't be applied to the new, whatever its revisions. And
//! no controller leads it before the lease of any earlier leader has expired: that one's last renewal came
//! before the loss, and the loss before it was noticed.
//!
//! - `data_loss`: signs of a loss, and the verdict by a full read.
//! - `identity`: the store's names, the mark of an incomplete store, and who may campaign.
//! - `terms`: terms that workers and controllers have seen, and the next one.
//! - `checks`: periodic checks of identity, revision and jobs.
//! - `cache_exchange`: what controllers ask each other about their copies.

mod cache_exchange;
mod checks;
mod data_loss;
mod identity;
mod terms;

use crate::core::CallId;
use crate::peer::cache_exchange::CachePage;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant, SystemTime};

/// Between two checks of whether the store is still the one it was.
const CHECK_INTERVAL: Duration = Duration::from_secs(3);
/// Between two full reads for a suspicion.
const REREAD_INTERVAL: Duration = Duration::from_secs(1);

/// A loss of data that this process has noticed, until the store has a new identity.
#[derive(Clone, Debug)]
pub struct DataLoss {
    /// When it was noticed.
    pub since: Instant,
    /// The same by the time of day.
    pub wall: SystemTime,
    /// How it showed, for logs and the status view.
    pub reason: String,
    /// The store's identity when it was noticed, and whether it was marked as incomplete then.
    identity: Option<String>,
    was_marked: bool,
}

/// What this process knows of the store beside its copy, and how it checks that the store has kept its data.
#[derive(Default)]
pub struct StoreIntegrity {
    /// The newest revision in an answer, and what it was when each call in flight was made.
    newest_revision: u64,
    revision_at_call: BTreeMap<CallId, u64>,
    /// A loss that no leader has begun to rebuild yet.
    pub data_loss: Option<DataLoss>,
    /// The identity of the store that lost data last.
    pub lost_store: Option<String>,
    /// Identities that the store has had as long as this process has known it: restored to one of them, it
    /// has lost data once more.
    known_identities: BTreeSet<String>,
    /// Those under which it held all, or under which this process remembers all, the newest last.
    pub complete_stores: Vec<String>,
    /// This process itself held a copy when data were lost.
    pub had_copy: bool,
    /// Losses noticed by this process.
    pub losses: u64,
    /// Read empty, with nothing remembered here, since then.
    empty_since: Option<Instant>,
    /// When this process saw it empty for the first time.
    first_seen_empty: Option<Instant>,
    /// When this process read the store for the first time, if that had an identity by then.
    first_read: Option<Instant>,
    /// The others' summaries of what they remember of an empty store, and when they were asked last.
    peer_summaries: BTreeMap<String, CachePage>,
    summaries_requested: Option<Instant>,
    terms: ObservedTerms,
    reread: Reread,
    /// The mark of an incomplete store was there when the copy changed last.
    was_marked: bool,
    last_check: Option<Instant>,
    last_check_was_identity: bool,
    /// The service gave no answer for a while: it may have been restored meanwhile.
    was_unreachable: bool,
    /// The key of the last job that was compared with the store.
    audit_cursor: String,
}

/// Terms that were seen elsewhere than in the store.
#[derive(Default)]
struct ObservedTerms {
    /// The newest that a worker has shown, or another controller knows; 0 for none.
    newest: u64,
    /// Since when the newest is known.
    newest_since: Option<Instant>,
    /// The oldest that a worker has shown.
    oldest: Option<u64>,
}

/// The last full read for a suspicion.
#[derive(Default)]
struct Reread {
    started: Option<Instant>,
    finished: bool,
    /// There was another sign since it was started.
    suspected_again: bool,
}

impl StoreIntegrity {
    /// Records that a worker or another controller has seen this term.
    pub(in crate::core) fn observe_term(&mut self, term: u64, now: Instant) {
        if term > self.terms.newest {
            self.terms.newest = term;
            self.terms.newest_since = Some(now);
        }
    }

    /// A call to the store is made: its answer may not show an older revision than known by now.
    pub(in crate::core) fn record_call(&mut self, call: CallId) {
        self.revision_at_call.insert(call, self.newest_revision);
    }

    /// Whether a peer has read the store, by its last summary.
    fn peer_has_read_store(&self, peer: &str) -> bool {
        let summary = self.peer_summaries.get(peer);
        summary.is_some_and(|summary| summary.store_loaded)
    }
}

/// Whether something that is done at most once in an interval is due.
fn is_due(last: Option<Instant>, interval: Duration, now: Instant) -> bool {
    last.is_none_or(|last| now >= last + interval)
}
