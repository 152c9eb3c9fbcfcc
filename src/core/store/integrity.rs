//! Detection of data loss in the state service.
//!
//! A store has an identity: a random name given by its first leader. Each controller keeps the identity, the newest
//! revision it has seen, and a copy of the data. A sign of a loss (a revision that went back, a missing identity, an
//! unknown lease that should still be valid, a worker that has seen a newer term than the store's) only makes the
//! controller read the whole store again. A loss is then detected by comparing the store with the copy. An outage, a
//! watch that is too old, a restart, or a leader of an older version are no signs of a loss.
//!
//! After a loss, the next leader gives the store a new identity, and every write is conditional on it: so no write
//! intended for the store before the loss can be applied, whatever the revisions are. No controller becomes leader
//! before the lease of any earlier leader has expired: that lease was last renewed before the loss, so a full lease
//! duration after the loss was detected is long enough.
//!
//! - `data_loss`: signs of a loss, and its detection by a full read.
//! - `identity`: the store's identity, the mark of an incomplete store, and who may campaign.
//! - `terms`: terms that workers and other controllers have seen, and the choice of the next term.
//! - `checks`: periodic checks of identity, revision and jobs.
//! - `cache_exchange`: requests of the controllers for each other's copies.

mod cache_exchange;
mod checks;
mod data_loss;
mod identity;
mod terms;

use crate::core::CallId;
use crate::peer::cache_exchange::CachePage;
use crate::wire::Condition;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant, SystemTime};

/// Interval between checks of the store's identity, revision and jobs.
const CHECK_INTERVAL: Duration = Duration::from_secs(3);
/// Minimum interval between two full reads because of suspected data loss.
const REREAD_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which a full read without a result no longer prevents another one.
const REREAD_TIMEOUT: Duration = Duration::from_secs(60);

/// Loss of data that this process has detected; kept until a leader has begun to rebuild the store.
#[derive(Clone, Debug)]
pub struct DataLoss {
    /// Time of detection.
    pub since: Instant,
    /// Wall-clock time of detection.
    pub wall: SystemTime,
    /// How the loss was detected, for logs, the status view and the mark of an incomplete store.
    pub reason: String,
    /// Identity of the store at the time of detection.
    identity: Option<String>,
    /// Whether the store was marked as incomplete at the time of detection.
    was_marked: bool,
}

/// State of the checks that the store has kept its data, and what this process knows of the store beyond its copy.
#[derive(Default)]
pub struct StoreIntegrity {
    /// Newest revision in a response.
    newest_revision: u64,
    /// Newest revision known when each call in flight was made.
    revision_at_call: BTreeMap<CallId, u64>,
    /// Loss after which no leader has begun to rebuild the store yet.
    pub data_loss: Option<DataLoss>,
    /// Identity that the store had before its last loss of data.
    pub lost_store: Option<String>,
    /// Identities that the store has had since this process started. A store that goes back to one of them has lost
    /// data again.
    known_identities: BTreeSet<String>,
    /// Identities under which the store was complete, or whose data this process's copy has in full; newest last.
    pub complete_stores: Vec<String>,
    /// Whether this process had a copy of the store when data was lost.
    pub had_copy: bool,
    /// Number of losses that this process has detected.
    pub losses: u64,
    /// Time since which the store has been empty, with no data in this process's copy either.
    empty_since: Option<Instant>,
    /// Time at which this process first saw the store empty.
    first_seen_empty: Option<Instant>,
    /// Time of this process's first read of the store, if the store had an identity then.
    first_read: Option<Instant>,
    /// Summaries of the other controllers' copies, by controller, requested while the store is empty.
    peer_summaries: BTreeMap<String, CachePage>,
    /// Time of the last requests for summaries.
    summaries_requested: Option<Instant>,
    terms: ObservedTerms,
    reread: Reread,
    /// Whether the store was marked as incomplete at the last change of the copy.
    was_marked: bool,
    last_check: Option<Instant>,
    /// Whether the last check was due for the identity; checks of identity and revision alternate.
    last_check_was_identity: bool,
    /// Whether the service has been unreachable since the last check: it may have been restored to older data
    /// meanwhile.
    was_unreachable: bool,
    /// Changes that the store did not have, until the copy is as new as that comparison.
    absent_changes: Option<AbsentChanges>,
    /// Key of the last job that was compared with the store.
    audit_cursor: String,
}

/// Changes of jobs' keys in the copy that the store did not have when they were compared.
struct AbsentChanges {
    changes: Vec<Condition>,
    /// Revision of the store at which they were compared.
    revision: u64,
}

/// Terms observed outside the store.
#[derive(Default)]
struct ObservedTerms {
    /// Newest term that a worker has seen or another controller knows; 0 for none.
    newest: u64,
    /// Time since which `newest` is known.
    newest_since: Option<Instant>,
    /// Oldest term in the workers' fencing tokens.
    oldest: Option<u64>,
}

/// Last full read of the store because of suspected data loss.
#[derive(Default)]
struct Reread {
    started: Option<Instant>,
    finished: bool,
    /// Whether there was another sign of a loss since the read was started.
    suspected_again: bool,
}

impl Reread {
    /// Returns whether a read was started and its list can still be expected.
    fn is_in_progress(&self, now: Instant) -> bool {
        !self.finished && self.started.is_some_and(|at| now < at + REREAD_TIMEOUT)
    }

    /// Returns whether another read may be started. A read in progress is not replaced: that of a large store takes
    /// longer than `REREAD_INTERVAL`, and would never be completed if the signs of a loss recur.
    fn may_start(&self, now: Instant) -> bool {
        !self.is_in_progress(now) && is_due(self.started, REREAD_INTERVAL, now)
    }
}

impl StoreIntegrity {
    /// Records that a worker or another controller has seen `term`.
    pub(in crate::core) fn observe_term(&mut self, term: u64, now: Instant) {
        if term > self.terms.newest {
            self.terms.newest = term;
            self.terms.newest_since = Some(now);
        }
    }

    /// Records a call to the store: its response must not show an older revision than the newest one known now.
    pub(in crate::core) fn record_call(&mut self, call: CallId) {
        self.revision_at_call.insert(call, self.newest_revision);
    }

    /// Returns whether a peer has read the store, according to its last summary.
    fn peer_has_read_store(&self, peer: &str) -> bool {
        let summary = self.peer_summaries.get(peer);
        summary.is_some_and(|summary| summary.store_loaded)
    }
}

/// Returns whether an action is due that is done at most once per `interval`.
fn is_due(last: Option<Instant>, interval: Duration, now: Instant) -> bool {
    last.is_none_or(|last| now >= last + interval)
}
