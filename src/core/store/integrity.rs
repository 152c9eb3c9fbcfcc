//! Whether the state service still holds what it was given.
//!
//! A store has an identity, a random name that its first leader gives it. Each controller remembers
//! that, the newest revision it has seen, and all that it read. Signs of a loss (a revision that went
//! back, an identity that is gone, a lease unknown that should still run, a worker that has seen a
//! newer term than ours) only make it read the store afresh: the verdict is by what is stored, compared
//! with the copy. An outage, a watch that is too old, a restart, an older version at the lead are none.
//!
//! Having lost data, the store gets another identity with its next leader, on which all its writes
//! depend: what was meant for the old one can't be applied to the new, whatever its revisions. And
//! nobody leads it before the word of any earlier leader has run out: that one's last renewal came
//! before the loss, and the loss before it was noticed.

use crate::core::leadership::{LEASE_TTL, json};
use crate::core::machines::machine::TOKEN_EPOCH_BITS;
use crate::core::store::cache::{IdentityValue, RebuildingValue};
use crate::core::store::keys::{NOTHING, REBUILDING, identity_key, key, named};
use crate::core::{CallId, Core, Effect, Pending, Ticket};
use crate::fault_injection::{Safeguard, is_enabled};
use crate::http::Response;
use crate::peer::memory_exchange::{MemoryPage, MemoryRequest, PAGE_BYTES, encode_recalled};
use crate::store_client::{StoreOutcome, StoreRequest};
use crate::wire::{Change, CompareAndSwap, Condition, Item};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant, SystemTime};

/// How the keys and values are written.
const FORMAT: u32 = 1;
/// Names of a store that are told to others.
const MAX_STORE_IDENTITIES: usize = 32;
/// The beginning of 2020, in seconds since 1970.
const EPOCH_S: u64 = 1_577_836_800;
/// An attempt has the term above 32 bits of its own.
const MAX_TERM: u64 = u32::MAX as u64;
/// A term this far ahead of the time of day was given by nobody.
const AHEAD_S: u64 = 86_400;
/// Between two looks at whether the store is still the one it was.
const CHECK_INTERVAL: Duration = Duration::from_secs(3);
/// A controller that begins on a store that was rolled back a moment before knows of nothing that is missing. By
/// then the others have noticed, whoever led has ceased to act, and the store is marked.
const LOSS_DETECTION_DELAY: Duration = CHECK_INTERVAL
    .saturating_add(LEASE_TTL)
    .saturating_add(Duration::from_secs(1));
/// Jobs that the leader compares with their keys at each look.
const AUDIT_BATCH: usize = 100;
/// Between two full reads for a suspicion.
const REREAD_INTERVAL: Duration = Duration::from_secs(1);
/// Between two questions to a controller of what it knows of an empty store.
const MEMORY_REQUEST_INTERVAL: Duration = Duration::from_millis(200);

/// A loss of data that this process has noticed, until the store is named anew.
#[derive(Clone, Debug)]
pub struct DataLoss {
    pub since: Instant,
    pub wall: SystemTime,
    pub reason: String,
    /// What the store was called when it was noticed, and whether it was marked as incomplete then.
    identity: Option<String>,
    was_marked: bool,
}

#[derive(Default)]
pub struct StoreIntegrity {
    /// The newest revision that an answer told, and what it was when each call on its way was made.
    newest_revision: u64,
    revision_when_asked: BTreeMap<CallId, u64>,
    pub data_loss: Option<DataLoss>,
    /// What the store was called that lost data last.
    pub lost_store: Option<String>,
    /// Names that the store has had as long as this process has known it: restored to one of them, it
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
    /// What the others know of it, and when they were asked last.
    peer_memories: BTreeMap<String, MemoryPage>,
    memories_requested: Option<Instant>,
    /// The newest term that a worker has shown, or another controller knows, and since when.
    newest_token_term: u64,
    newest_token_since: Option<Instant>,
    /// The oldest one that a worker has shown.
    oldest_token_term: Option<u64>,
    /// When a full read was begun for a suspicion, and whether it has come.
    reread_started: Option<Instant>,
    reread_finished: bool,
    /// There was another sign since.
    suspected_again: bool,
    /// The mark of an incomplete store was there when the copy changed last.
    was_marked: bool,
    last_check: Option<Instant>,
    check_identity_next: bool,
    /// The service was not heard for a while: it may have been restored meanwhile.
    was_unreachable: bool,
    /// The last job that was compared with its key.
    audit_cursor: String,
}

impl StoreIntegrity {
    /// Somebody knows of this term.
    pub(in crate::core) fn observe_term(&mut self, term: u64, now: Instant) {
        if term > self.newest_token_term {
            self.newest_token_term = term;
            self.newest_token_since = Some(now);
        }
    }

    pub(in crate::core) fn call(&mut self, call: CallId) {
        self.revision_when_asked.insert(call, self.newest_revision);
    }
}

impl Core {
    /// Nothing may be said of what is not in the store, or not final.
    pub(in crate::core) fn store_is_incomplete(&self) -> bool {
        self.store_integrity.data_loss.is_some() || self.store_cache.rebuilding.is_some()
    }

    /// A sign that the store is not what it was: it is read as a whole.
    pub(in crate::core) fn suspect_data_loss(&mut self, why: &str) {
        let now = self.now.mono;
        let lately = |t: Instant| now < t + REREAD_INTERVAL;
        if !self.store_cache.loaded {
            return;
        }
        if self.store_integrity.reread_started.is_some_and(lately) {
            // A sign that comes close after another one is none that may be missed.
            self.store_integrity.suspected_again = true;
            return;
        }
        self.store_integrity.suspected_again = false;
        tracing::warn!("state service: {why}; reading it afresh");
        (
            self.store_integrity.reread_started,
            self.store_integrity.reread_finished,
        ) = (Some(now), false);
        self.effects.push(Effect::RereadStore);
    }

    /// Answers tell the revision; it never falls while the service keeps its data.
    pub(in crate::core) fn heed_revision(&mut self, call: CallId, outcome: &StoreOutcome) {
        let asked = self.store_integrity.revision_when_asked.remove(&call);
        let (StoreOutcome::Committed { revision } | StoreOutcome::Missing { revision }) = outcome
        else {
            return;
        };
        if asked.is_some_and(|newest| *revision < newest) {
            self.suspect_data_loss("its revision went back");
        }
        self.store_integrity.newest_revision = self.store_integrity.newest_revision.max(*revision);
    }

    /// What was read as a whole is compared with what is remembered.
    pub(in crate::core) fn reconcile_store_list(&mut self, items: Vec<Item>, revision: u64) {
        let now = self.now.mono;
        self.store_integrity.reread_finished = true;
        let first = !self.store_cache.loaded;
        match self.store_cache.find_contradiction(&items, revision) {
            // What the store has yet to get back is remembered until it has.
            None if self.store_is_incomplete()
                || !self.store_cache.missing_from_store.is_empty() =>
            {
                self.store_cache.merge_after_loss(items, revision);
                if self.store_integrity.data_loss.is_some() {
                    self.store_cache.expect_new_identity();
                }
            }
            None => self.store_cache.reset(items, revision),
            Some(why) => {
                tracing::error!("the state service has lost data: {why}");
                // Whatever number its lease has, another may have been given the same since. A leader
                // key that was restored ends with its lease.
                self.step_down("the state service has lost data");
                self.lease = None;
                self.effects.push(Effect::ReplaceLease);
                let before = self.store_cache.identity.as_ref().map(|(id, _)| id.clone());
                self.store_cache.merge_after_loss(items, revision);
                let c = &mut self.store_integrity;
                c.revision_when_asked.clear();
                c.newest_revision = revision;
                c.losses += 1;
                c.had_copy = true;
                if before.is_some() {
                    c.lost_store = before;
                }
                // Others may have noticed before, and have begun anew.
                let loss = self.loss(why);
                let known = |name| self.store_integrity.known_identities.contains(name);
                let begun = loss.was_marked && loss.identity.as_ref().is_some_and(|n| !known(n));
                if !begun {
                    self.store_integrity.data_loss = Some(loss);
                    self.store_cache.expect_new_identity();
                } else {
                    self.store_integrity.data_loss = None;
                }
                tracing::error!(
                    "remembered here: {} live jobs, {} ended, {} machines, term {}; {} jobs are not in the store any more",
                    self.store_cache.jobs.len(),
                    self.store_cache.finished.len(),
                    self.store_cache.machines.len(),
                    self.store_cache.term,
                    self.store_cache.missing_from_store.len()
                );
            }
        }
        if first && self.store_cache.identity.is_some() {
            self.store_integrity.first_read.get_or_insert(now);
        }
        self.store_integrity.newest_revision = self.store_integrity.newest_revision.max(revision);
        let empty = self.store_has_no_identity()
            && self.store_cache.term == 0
            && self.store_cache.jobs.is_empty();
        let since = self.store_integrity.empty_since;
        self.store_integrity.empty_since = empty.then(|| since.unwrap_or(now));
        if empty {
            self.store_integrity.first_seen_empty.get_or_insert(now);
        }
    }

    fn loss(&self, why: String) -> DataLoss {
        DataLoss {
            since: self.now.mono,
            wall: self.now.wall,
            reason: why,
            identity: self.store_cache.identity.as_ref().map(|(id, _)| id.clone()),
            was_marked: self.store_cache.rebuilding.is_some(),
        }
    }

    /// Neither an identity nor a term: a new store, or one that has lost both.
    fn store_has_no_identity(&self) -> bool {
        self.store_cache.loaded
            && self.store_cache.identity.is_none()
            && self.store_cache.term_version == 0
    }

    /// The store has been read, and may have a new name.
    pub(in crate::core) fn observe_identity(&mut self) {
        // Somebody noticed a loss that this process may have as well.
        let marked = self.store_cache.rebuilding.is_some();
        if marked && !self.store_integrity.was_marked && self.store_integrity.data_loss.is_none() {
            self.suspect_data_loss("it is marked as incomplete");
        }
        self.store_integrity.was_marked = marked;
        if self.store_cache.identity_changed {
            self.suspect_data_loss("it has been given another identity");
        }
        if let (Some((name, _)), Some(loss)) = (
            &self.store_cache.identity,
            &mut self.store_integrity.data_loss,
        ) {
            let same = Some(name) == loss.identity.as_ref();
            let begun = !same && !self.store_integrity.known_identities.contains(name);
            if marked && (begun || (same && !loss.was_marked)) {
                tracing::warn!("the state service goes on as {name}");
                self.store_integrity.data_loss = None;
            } else if !same {
                // Restored to what it was before; or named by somebody who knew of no loss.
                (loss.identity, loss.was_marked) = (Some(name.clone()), marked);
                self.store_cache.expect_new_identity();
            }
        }
        if !self.store_has_no_identity() {
            self.store_integrity.empty_since = None;
        }
        if let Some((name, _)) = &self.store_cache.identity {
            let c = &mut self.store_integrity;
            if !c.known_identities.contains(name) {
                c.known_identities.insert(name.clone());
            }
            // A store that is being rebuilt continues one of which all may be remembered here.
            let mark = self
                .store_cache
                .rebuilding
                .as_ref()
                .map(|(m, _)| &m.lost_store);
            let all =
                mark.is_none_or(|of| of.as_ref().is_some_and(|o| c.complete_stores.contains(o)));
            if all && !c.complete_stores.contains(name) {
                c.complete_stores.push(name.clone());
                if c.complete_stores.len() > MAX_STORE_IDENTITIES {
                    c.complete_stores.remove(0);
                }
            }
        }
        self.check_older_term();
        // The rebuilding that was under way when the loss was noticed here is over.
        if !marked
            && let Some(loss) = &mut self.store_integrity.data_loss
            && std::mem::take(&mut loss.was_marked)
            && self.store_cache.missing_from_store.is_empty()
        {
            self.store_integrity.data_loss = None;
        }
    }

    /// Every report shows the newest token that its worker has seen; a term newer than the store's
    /// was given by a store that is no more.
    pub(in crate::core) fn observe_fencing_token(&mut self, token: u64) {
        let term = token >> TOKEN_EPOCH_BITS;
        if term > 0 {
            let oldest = self.store_integrity.oldest_token_term;
            self.store_integrity.oldest_token_term = Some(oldest.map_or(term, |t| t.min(term)));
        }
        self.store_integrity.observe_term(term, self.now.mono);
        self.check_newer_term();
        self.check_older_term();
    }

    /// Whoever leads next can have done so only after our word: a term newer than a leader's own was
    /// given by a store that is no more.
    pub(in crate::core) fn check_newer_term(&mut self) {
        let Some(leader) = &self.leader else { return };
        let (ours, newest) = (leader.term, self.newest_term());
        if newest > ours && self.acting() {
            self.declare_data_loss(format!(
                "term {newest} was there before, and this is term {ours}"
            ));
            self.resign_to_rebuild();
        }
    }

    /// In a store that was taken for new, no worker can have seen a term before its first.
    fn check_older_term(&mut self) {
        let (Some(first), Some(oldest)) = (
            self.store_cache.first_term,
            self.store_integrity.oldest_token_term,
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

    /// While a new store may yet prove to be an old one that was wiped, an unknown job is not called
    /// so: each worker reports within this time, and shows the term that it has seen. Nor does a controller
    /// that has just begun call it so, as the others may be about to notice a loss.
    pub(in crate::core) fn existence_is_uncertain(&self) -> bool {
        let within =
            |since: Option<Instant>, window| since.is_some_and(|t| self.now.mono < t + window);
        let window = self.settings.heartbeat_interval * 5 / 2;
        let others = !self.settings.peers.is_empty() && is_enabled(Safeguard::JustBegun);
        within(self.store_integrity.first_seen_empty, window)
            || others && within(self.store_integrity.first_read, LOSS_DETECTION_DELAY)
            || self.store_is_incomplete()
    }

    /// A loss that shows in something else than the copy, which is as new as the loss.
    fn declare_data_loss(&mut self, why: String) {
        tracing::error!("the state service has lost data: {why}");
        self.store_integrity.losses += 1;
        let mark = self.store_cache.rebuilding.as_ref();
        self.store_integrity.lost_store = mark.and_then(|(m, _)| m.lost_store.clone());
        self.store_integrity.data_loss = Some(self.loss(why));
        self.store_integrity.oldest_token_term = None;
        self.store_cache.expect_new_identity();
    }

    /// Gives the lease back, but stands again: the next leader begins to rebuild.
    pub(in crate::core) fn resign_to_rebuild(&mut self) {
        self.step_down("the state service has lost data");
        self.lease = None;
        self.effects.push(Effect::ReleaseLease);
    }

    /// Whether this process may try to lead, as far as the store is concerned.
    pub(in crate::core) fn may_campaign(&mut self) -> bool {
        let now = self.now.mono;
        if let Some(loss) = &self.store_integrity.data_loss {
            return now >= loss.since + LEASE_TTL;
        }
        // A term is in the store before any worker can have seen it.
        if self.store_cache.term_version > 0
            && self.store_integrity.newest_token_term > self.store_cache.term
        {
            let c = &self.store_integrity;
            if c.reread_finished && c.reread_started > c.newest_token_since {
                let term = c.newest_token_term;
                self.declare_data_loss(format!("term {term} was there before"));
            } else {
                self.suspect_data_loss("a worker has seen a newer term");
            }
            return false;
        }
        let Some(since) = self.store_integrity.empty_since else {
            return true;
        };
        // New, or wiped while nobody here could see it.
        let words = &self.store_integrity.peer_memories;
        if let Some((name, word)) = words.iter().find(|(_, w)| w.remembers) {
            let (why, term) = (format!("it is empty, and {name} remembers it"), word.term);
            let of = word.complete_stores.last().cloned();
            self.store_integrity.observe_term(term, now);
            self.declare_data_loss(why);
            self.store_integrity.lost_store = of;
            return false;
        }
        if self.store_integrity.newest_token_term > 0 {
            let term = self.store_integrity.newest_token_term;
            self.declare_data_loss(format!("it is empty, and a worker has seen term {term}"));
            return false;
        }
        let all = (self.settings.peers.iter()).all(|p| {
            self.store_integrity
                .peer_memories
                .get(&p.name)
                .is_some_and(|w| w.store_loaded)
        });
        all || now >= since + LEASE_TTL
    }

    /// Names of terms and the store in the transaction that begins a leadership.
    pub(in crate::core) fn identity_changes(&self) -> Vec<Change> {
        let known = self.store_cache.identity.as_ref();
        if known.is_some() && self.store_integrity.data_loss.is_none() {
            return Vec::new();
        }
        let id = format!("{:016x}{:x}", self.nonce, self.next_call);
        let value = IdentityValue {
            format: FORMAT,
            lost_store: self
                .store_integrity
                .data_loss
                .as_ref()
                .and(self.store_integrity.lost_store.clone()),
            first_term: (self.store_has_no_identity() && self.store_integrity.data_loss.is_none())
                .then_some(self.next_term()),
        };
        let mut out = vec![Change::put(identity_key(&id), json(&value))];
        if let Some((old, _)) = known {
            let key = identity_key(old);
            out.push(Change::Delete { key });
        }
        if let Some(loss) = &self.store_integrity.data_loss {
            out.push(self.incomplete_mark(loss));
        }
        out
    }

    /// The newest term that is known of.
    fn newest_term(&self) -> u64 {
        self.store_cache
            .term
            .max(self.store_integrity.newest_token_term)
    }

    fn seconds_since_epoch(&self) -> u64 {
        let since = (self.now.wall.duration_since(SystemTime::UNIX_EPOCH)).unwrap_or_default();
        since.as_secs().saturating_sub(EPOCH_S)
    }

    /// Whether somebody may have led in this term: none is ahead of the time of day by more than clocks
    /// differ, and leaders that follow one another faster than seconds do.
    pub(in crate::core) fn plausible_term(&self, term: u64) -> bool {
        term <= self.seconds_since_epoch().saturating_add(AHEAD_S)
    }

    /// The term of the next leadership: the seconds since 2020, if those before it were less. Leaders follow
    /// one another less often, so no term is used again, whatever is lost: a controller that has just
    /// begun, in a store that was rolled back, knows of none that came after what it reads there. Nor do two
    /// controllers that know the same choose the same: each has terms of its own, one in as many as there are.
    pub(in crate::core) fn next_term(&self) -> u64 {
        let least = (self.newest_term() + 1).max(self.seconds_since_epoch());
        let peers = self.settings.peers.iter().map(|p| p.name.as_str());
        let rank = peers.filter(|p| *p < self.settings.name.as_str()).count() as u64;
        let controllers = self.settings.peers.len() as u64 + 1;
        let ahead = (rank + controllers - least % controllers) % controllers;
        (least + ahead).min(MAX_TERM)
    }

    /// Looks now and then whether the store is the one it was, and asks the others about an empty one.
    pub(in crate::core) fn check_store_integrity(&mut self) {
        let now = self.now.mono;
        let due = |at: Option<Instant>, every| at.is_none_or(|t| now >= t + every);
        if self.store_integrity.empty_since.is_some()
            && self.store_integrity.data_loss.is_none()
            && due(
                self.store_integrity.memories_requested,
                MEMORY_REQUEST_INTERVAL,
            )
        {
            self.store_integrity.memories_requested = Some(now);
            let answered = |name: &str| {
                self.store_integrity
                    .peer_memories
                    .get(name)
                    .is_some_and(|w| w.store_loaded)
            };
            let peers = self.settings.peers.iter().map(|p| p.name.clone());
            let silent: Vec<String> = peers.filter(|name| !answered(name)).collect();
            for peer in silent {
                let recall = MemoryRequest {
                    summary_only: true,
                    after: String::new(),
                };
                self.effects.push(Effect::MemoryRequest { peer, recall });
            }
        }
        if self.store_integrity.suspected_again
            && due(self.store_integrity.reread_started, REREAD_INTERVAL)
        {
            self.suspect_data_loss("there was another sign of a loss");
        }
        self.mark();
        if self.store_is_stale() {
            self.store_integrity.was_unreachable = true;
            return;
        }
        // Restored while it was away: the revision tells, unless others' changes make up for it first.
        if std::mem::take(&mut self.store_integrity.was_unreachable) && self.store_cache.loaded {
            self.ask_state(Pending::CheckRevision, StoreRequest::Get(key(NOTHING)));
        }
        if !self.store_cache.loaded || !due(self.store_integrity.last_check, CHECK_INTERVAL) {
            return;
        }
        if self.acting() && !self.store_is_incomplete() {
            let after = self.store_integrity.audit_cursor.clone();
            self.audit(after, None);
        }
        // The first look comes after a while: what was just read is what there is.
        let first = self.store_integrity.last_check.replace(now).is_none();
        self.store_integrity.check_identity_next = !self.store_integrity.check_identity_next;
        if first {
            return;
        }
        let name = self
            .store_cache
            .identity
            .as_ref()
            .map(|(id, _)| identity_key(id));
        match name.filter(|_| self.store_integrity.check_identity_next) {
            Some(name) => {
                let version = self.store_cache.identity.as_ref().map_or(0, |(_, v)| *v);
                self.ask_state(Pending::CheckIdentity(version), StoreRequest::Get(name));
            }
            // Where there is no mark, its absence tells the revision. A store rolled back into its
            // rebuilding shows it again, and no watch tells of that.
            None => {
                let unmarked = self.store_cache.rebuilding.is_none();
                let look_at = key(if unmarked { REBUILDING } else { NOTHING });
                self.ask_state(Pending::CheckRevision, StoreRequest::Get(look_at));
            }
        }
    }

    pub(in crate::core) fn revision_checked(&mut self, outcome: StoreOutcome) {
        if matches!(outcome, StoreOutcome::Found(_)) && self.store_cache.rebuilding.is_none() {
            self.suspect_data_loss("it is marked as incomplete, and the watch has not told");
        }
    }

    /// Another controller leads and knows nothing of the loss: it sees by this mark that it has to
    /// rebuild.
    fn mark(&mut self) {
        let now = self.now.mono;
        let led = self.store_cache.leader.is_some() && self.leader.is_none();
        let waited = |loss: &DataLoss| now >= loss.since + LEASE_TTL;
        let (Some(loss), Some(name)) =
            (&self.store_integrity.data_loss, &self.store_cache.identity)
        else {
            return;
        };
        let under_way = self.pending.values().any(|p| matches!(p, Pending::Mark));
        if !led || !waited(loss) || self.store_cache.rebuilding.is_some() || under_way {
            return;
        }
        let unmarked = Condition {
            key: key(REBUILDING),
            version: 0,
        };
        let conditions = vec![named(name), unmarked];
        let changes = vec![self.incomplete_mark(loss)];
        let txn = CompareAndSwap {
            conditions,
            changes,
        };
        self.ask_state(Pending::Mark, StoreRequest::CompareAndSwap(txn));
    }

    fn incomplete_mark(&self, loss: &DataLoss) -> Change {
        let since = loss.wall.duration_since(SystemTime::UNIX_EPOCH);
        let value = RebuildingValue {
            lost_store: self.store_integrity.lost_store.clone(),
            since_ms: since.unwrap_or_default().as_millis() as u64,
            reason: loss.reason.clone(),
        };
        Change::put(key(REBUILDING), json(&value))
    }

    /// Reads some jobs' keys from after this one on. What the watch tells may have a gap that no revision
    /// shows, after a small loss that other changes have made up for; and single keys may be lost at
    /// any time.
    fn audit(&mut self, after: String, suspicion: Option<String>) {
        let request = StoreRequest::Page {
            prefix: key("j/"),
            after: after.clone(),
            limit: AUDIT_BATCH,
        };
        self.ask_state(Pending::Audit { after, suspicion }, request);
    }

    /// The copy may have changed after the keys were read, so only the same difference in a second read,
    /// begun after the first was seen, is a sign of a loss.
    pub(in crate::core) fn jobs_audited(
        &mut self,
        after: String,
        suspicion: Option<String>,
        outcome: StoreOutcome,
    ) {
        let StoreOutcome::Page {
            items,
            more,
            revision,
        } = outcome
        else {
            return;
        };
        let last = items.last().map(|i| i.key.clone()).filter(|_| more);
        // What the watch has yet to tell proves nothing.
        if self.store_cache.revision < revision {
            return;
        }
        if let Some(why) = self
            .store_cache
            .find_difference(&items, &after, last.as_deref())
        {
            if suspicion.as_ref() == Some(&why) {
                self.suspect_data_loss(&why);
            } else if self.acting() {
                return self.audit(after, Some(why));
            }
        }
        self.store_integrity.audit_cursor = last.unwrap_or_default();
    }

    pub(in crate::core) fn identity_checked(&mut self, version: u64, outcome: StoreOutcome) {
        let current = self.store_cache.identity.as_ref().map(|(_, v)| *v);
        if current != Some(version) {
            return;
        }
        match outcome {
            StoreOutcome::Missing { .. } => self.suspect_data_loss("its identity is gone"),
            StoreOutcome::Found(item) if item.version != version => {
                self.suspect_data_loss("its identity was written again");
            }
            _ => {}
        }
    }

    /// Another controller asks what is remembered here.
    pub(in crate::core) fn recall(&mut self, ticket: Ticket, recall: MemoryRequest) {
        let remembers = self.store_cache.term > 0
            || !self.store_cache.jobs.is_empty()
            || !self.store_cache.finished.is_empty();
        let (items, more) = if recall.summary_only {
            (Vec::new(), false)
        } else {
            self.store_cache.memory(&recall.after, PAGE_BYTES)
        };
        let items = items.into_iter().map(|(k, v)| (k, v.to_string()));
        let told = MemoryPage {
            store_loaded: self.store_cache.loaded,
            complete_stores: self.store_integrity.complete_stores.clone(),
            remembers,
            term: self.newest_term(),
            more,
            items: items.collect(),
        };
        let body = encode_recalled(&told);
        self.answer(ticket, Response::new(200, body));
    }

    pub(in crate::core) fn recalled(
        &mut self,
        peer: String,
        asked: MemoryRequest,
        answer: Option<Box<MemoryPage>>,
    ) {
        if answer.is_some() {
            self.peer_reachable_at = self.now.mono;
        }
        match answer {
            Some(word) if asked.summary_only => {
                self.store_integrity.peer_memories.insert(peer, *word);
            }
            None if asked.summary_only => {}
            answer => self.take_memory_page(&peer, &asked, answer),
        }
    }
}
