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

use super::keys::{NOTHING, REBUILDING, identity_key, key, named};
use super::leadership::{LEASE_TTL, json};
use super::machine::TOKEN_EPOCH_BITS;
use super::mirror::{IdentityValue, RebuildingValue};
use super::{CallId, Core, Effect, Pending, Ticket};
use crate::guard::{Safeguard, stands};
use crate::http::Answer;
use crate::recall::{MemoryPage, MemoryRequest, PAGE_BYTES, encode_recalled};
use crate::state::{StoreOutcome, StoreRequest};
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
    pub why: String,
    /// What the store was called when it was noticed, and whether it was marked as incomplete then.
    named: Option<String>,
    marked: bool,
}

#[derive(Default)]
pub struct StoreIntegrity {
    /// The newest revision that an answer told, and what it was when each call on its way was made.
    newest: u64,
    asked: BTreeMap<CallId, u64>,
    pub lost: Option<DataLoss>,
    /// What the store was called that lost data last.
    pub of: Option<String>,
    /// Names that the store has had as long as this process has known it: restored to one of them, it
    /// has lost data once more.
    names: BTreeSet<String>,
    /// Those under which it held all, or under which this process remembers all, the newest last.
    pub whole: Vec<String>,
    /// This process itself held a copy when data were lost.
    pub had_copy: bool,
    /// Losses noticed by this process.
    pub losses: u64,
    /// Read empty, with nothing remembered here, since then.
    empty_since: Option<Instant>,
    /// When this process saw it empty for the first time.
    seen_empty: Option<Instant>,
    /// When this process read the store for the first time, if that had an identity by then.
    begun_on: Option<Instant>,
    /// What the others know of it, and when they were asked last.
    words: BTreeMap<String, MemoryPage>,
    words_asked: Option<Instant>,
    /// The newest term that a worker has shown, or another controller knows, and since when.
    token_term: u64,
    token_since: Option<Instant>,
    /// The oldest one that a worker has shown.
    oldest_token: Option<u64>,
    /// When a full read was begun for a suspicion, and whether it has come.
    afresh: Option<Instant>,
    read: bool,
    /// There was another sign since.
    doubted: bool,
    /// The mark of an incomplete store was there when the copy changed last.
    seen_mark: bool,
    looked: Option<Instant>,
    look_at_name: bool,
    /// The service was not heard for a while: it may have been restored meanwhile.
    was_away: bool,
    /// The last job that was compared with its key.
    audited: String,
}

impl StoreIntegrity {
    /// Somebody knows of this term.
    pub(super) fn observe_term(&mut self, term: u64, now: Instant) {
        if term > self.token_term {
            self.token_term = term;
            self.token_since = Some(now);
        }
    }

    pub(super) fn call(&mut self, call: CallId) {
        self.asked.insert(call, self.newest);
    }
}

impl Core {
    /// Nothing may be said of what is not in the store, or not final.
    pub(super) fn store_is_incomplete(&self) -> bool {
        self.custody.lost.is_some() || self.mirror.rebuilding.is_some()
    }

    /// A sign that the store is not what it was: it is read as a whole.
    pub(super) fn suspect_data_loss(&mut self, why: &str) {
        let now = self.now.mono;
        let lately = |t: Instant| now < t + REREAD_INTERVAL;
        if !self.mirror.loaded {
            return;
        }
        if self.custody.afresh.is_some_and(lately) {
            // A sign that comes close after another one is none that may be missed.
            self.custody.doubted = true;
            return;
        }
        self.custody.doubted = false;
        tracing::warn!("state service: {why}; reading it afresh");
        (self.custody.afresh, self.custody.read) = (Some(now), false);
        self.out.push(Effect::RereadStore);
    }

    /// Answers tell the revision; it never falls while the service keeps its data.
    pub(super) fn heed_revision(&mut self, call: CallId, outcome: &StoreOutcome) {
        let asked = self.custody.asked.remove(&call);
        let (StoreOutcome::Committed { revision } | StoreOutcome::Missing { revision }) = outcome
        else {
            return;
        };
        if asked.is_some_and(|newest| *revision < newest) {
            self.suspect_data_loss("its revision went back");
        }
        self.custody.newest = self.custody.newest.max(*revision);
    }

    /// What was read as a whole is compared with what is remembered.
    pub(super) fn reconcile_store_list(&mut self, items: Vec<Item>, revision: u64) {
        let now = self.now.mono;
        self.custody.read = true;
        let first = !self.mirror.loaded;
        match self.mirror.find_contradiction(&items, revision) {
            // What the store has yet to get back is remembered until it has.
            None if self.store_is_incomplete() || !self.mirror.owed.is_empty() => {
                self.mirror.merge_after_loss(items, revision);
                if self.custody.lost.is_some() {
                    self.mirror.expect_new_identity();
                }
            }
            None => self.mirror.reset(items, revision),
            Some(why) => {
                tracing::error!("the state service has lost data: {why}");
                // Whatever number its lease has, another may have been given the same since. A leader
                // key that was restored ends with its lease.
                self.step_down("the state service has lost data");
                self.lease = None;
                self.out.push(Effect::ReplaceLease);
                let before = self.mirror.identity.as_ref().map(|(id, _)| id.clone());
                self.mirror.merge_after_loss(items, revision);
                let c = &mut self.custody;
                c.asked.clear();
                c.newest = revision;
                c.losses += 1;
                c.had_copy = true;
                if before.is_some() {
                    c.of = before;
                }
                // Others may have noticed before, and have begun anew.
                let loss = self.loss(why);
                let known = |name| self.custody.names.contains(name);
                let begun = loss.marked && loss.named.as_ref().is_some_and(|n| !known(n));
                if !begun {
                    self.custody.lost = Some(loss);
                    self.mirror.expect_new_identity();
                } else {
                    self.custody.lost = None;
                }
                tracing::error!(
                    "remembered here: {} live jobs, {} ended, {} machines, term {}; {} jobs are not in the store any more",
                    self.mirror.jobs.len(),
                    self.mirror.finished.len(),
                    self.mirror.machines.len(),
                    self.mirror.term,
                    self.mirror.owed.len()
                );
            }
        }
        if first && self.mirror.identity.is_some() {
            self.custody.begun_on.get_or_insert(now);
        }
        self.custody.newest = self.custody.newest.max(revision);
        let empty =
            self.store_has_no_identity() && self.mirror.term == 0 && self.mirror.jobs.is_empty();
        let since = self.custody.empty_since;
        self.custody.empty_since = empty.then(|| since.unwrap_or(now));
        if empty {
            self.custody.seen_empty.get_or_insert(now);
        }
    }

    fn loss(&self, why: String) -> DataLoss {
        DataLoss {
            since: self.now.mono,
            wall: self.now.wall,
            why,
            named: self.mirror.identity.as_ref().map(|(id, _)| id.clone()),
            marked: self.mirror.rebuilding.is_some(),
        }
    }

    /// Neither an identity nor a term: a new store, or one that has lost both.
    fn store_has_no_identity(&self) -> bool {
        self.mirror.loaded && self.mirror.identity.is_none() && self.mirror.term_version == 0
    }

    /// The store has been read, and may have a new name.
    pub(super) fn observe_identity(&mut self) {
        // Somebody noticed a loss that this process may have as well.
        let marked = self.mirror.rebuilding.is_some();
        if marked && !self.custody.seen_mark && self.custody.lost.is_none() {
            self.suspect_data_loss("it is marked as incomplete");
        }
        self.custody.seen_mark = marked;
        if self.mirror.renamed {
            self.suspect_data_loss("it has been given another identity");
        }
        if let (Some((name, _)), Some(loss)) = (&self.mirror.identity, &mut self.custody.lost) {
            let same = Some(name) == loss.named.as_ref();
            let begun = !same && !self.custody.names.contains(name);
            if marked && (begun || (same && !loss.marked)) {
                tracing::warn!("the state service goes on as {name}");
                self.custody.lost = None;
            } else if !same {
                // Restored to what it was before; or named by somebody who knew of no loss.
                (loss.named, loss.marked) = (Some(name.clone()), marked);
                self.mirror.expect_new_identity();
            }
        }
        if !self.store_has_no_identity() {
            self.custody.empty_since = None;
        }
        if let Some((name, _)) = &self.mirror.identity {
            let c = &mut self.custody;
            if !c.names.contains(name) {
                c.names.insert(name.clone());
            }
            // A store that is being rebuilt continues one of which all may be remembered here.
            let mark = self.mirror.rebuilding.as_ref().map(|(m, _)| &m.of);
            let all = mark.is_none_or(|of| of.as_ref().is_some_and(|o| c.whole.contains(o)));
            if all && !c.whole.contains(name) {
                c.whole.push(name.clone());
                if c.whole.len() > MAX_STORE_IDENTITIES {
                    c.whole.remove(0);
                }
            }
        }
        self.check_older_term();
        // The rebuilding that was under way when the loss was noticed here is over.
        if !marked
            && let Some(loss) = &mut self.custody.lost
            && std::mem::take(&mut loss.marked)
            && self.mirror.owed.is_empty()
        {
            self.custody.lost = None;
        }
    }

    /// Every report shows the newest token that its worker has seen; a term newer than the store's
    /// was given by a store that is no more.
    pub(super) fn observe_fencing_token(&mut self, token: u64) {
        let term = token >> TOKEN_EPOCH_BITS;
        if term > 0 {
            let oldest = self.custody.oldest_token;
            self.custody.oldest_token = Some(oldest.map_or(term, |t| t.min(term)));
        }
        self.custody.observe_term(term, self.now.mono);
        self.check_newer_term();
        self.check_older_term();
    }

    /// Whoever leads next can have done so only after our word: a term newer than a leader's own was
    /// given by a store that is no more.
    pub(super) fn check_newer_term(&mut self) {
        let Some(lead) = &self.lead else { return };
        let (ours, newest) = (lead.term, self.newest_term());
        if newest > ours && self.acting() {
            self.declare_data_loss(format!(
                "term {newest} was there before, and this is term {ours}"
            ));
            self.resign_to_rebuild();
        }
    }

    /// In a store that was taken for new, no worker can have seen a term before its first.
    fn check_older_term(&mut self) {
        let (Some(first), Some(oldest)) = (self.mirror.first, self.custody.oldest_token) else {
            return;
        };
        if oldest >= first || self.store_is_incomplete() {
            return;
        }
        let led = self.lead.is_some();
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
    pub(super) fn existence_is_uncertain(&self) -> bool {
        let within =
            |since: Option<Instant>, window| since.is_some_and(|t| self.now.mono < t + window);
        let window = self.settings.report * 5 / 2;
        let others = !self.settings.peers.is_empty() && stands(Safeguard::JustBegun);
        within(self.custody.seen_empty, window)
            || others && within(self.custody.begun_on, LOSS_DETECTION_DELAY)
            || self.store_is_incomplete()
    }

    /// A loss that shows in something else than the copy, which is as new as the loss.
    fn declare_data_loss(&mut self, why: String) {
        tracing::error!("the state service has lost data: {why}");
        self.custody.losses += 1;
        let mark = self.mirror.rebuilding.as_ref();
        self.custody.of = mark.and_then(|(m, _)| m.of.clone());
        self.custody.lost = Some(self.loss(why));
        self.custody.oldest_token = None;
        self.mirror.expect_new_identity();
    }

    /// Gives the lease back, but stands again: the next leader begins to rebuild.
    pub(super) fn resign_to_rebuild(&mut self) {
        self.step_down("the state service has lost data");
        self.lease = None;
        self.out.push(Effect::ReleaseLease);
    }

    /// Whether this process may try to lead, as far as the store is concerned.
    pub(super) fn may_campaign(&mut self) -> bool {
        let now = self.now.mono;
        if let Some(loss) = &self.custody.lost {
            return now >= loss.since + LEASE_TTL;
        }
        // A term is in the store before any worker can have seen it.
        if self.mirror.term_version > 0 && self.custody.token_term > self.mirror.term {
            let c = &self.custody;
            if c.read && c.afresh > c.token_since {
                let term = c.token_term;
                self.declare_data_loss(format!("term {term} was there before"));
            } else {
                self.suspect_data_loss("a worker has seen a newer term");
            }
            return false;
        }
        let Some(since) = self.custody.empty_since else {
            return true;
        };
        // New, or wiped while nobody here could see it.
        let words = &self.custody.words;
        if let Some((name, word)) = words.iter().find(|(_, w)| w.remembers) {
            let (why, term) = (format!("it is empty, and {name} remembers it"), word.term);
            let of = word.stores.last().cloned();
            self.custody.observe_term(term, now);
            self.declare_data_loss(why);
            self.custody.of = of;
            return false;
        }
        if self.custody.token_term > 0 {
            let term = self.custody.token_term;
            self.declare_data_loss(format!("it is empty, and a worker has seen term {term}"));
            return false;
        }
        let all = (self.settings.peers.iter())
            .all(|p| self.custody.words.get(&p.name).is_some_and(|w| w.loaded));
        all || now >= since + LEASE_TTL
    }

    /// Names of terms and the store in the transaction that begins a leadership.
    pub(super) fn identity_changes(&self) -> Vec<Change> {
        let known = self.mirror.identity.as_ref();
        if known.is_some() && self.custody.lost.is_none() {
            return Vec::new();
        }
        let id = format!("{:016x}{:x}", self.nonce, self.next_call);
        let value = IdentityValue {
            format: FORMAT,
            of: self.custody.lost.as_ref().and(self.custody.of.clone()),
            first: (self.store_has_no_identity() && self.custody.lost.is_none())
                .then_some(self.next_term()),
        };
        let mut out = vec![Change::put(identity_key(&id), json(&value))];
        if let Some((old, _)) = known {
            let key = identity_key(old);
            out.push(Change::Delete { key });
        }
        if let Some(loss) = &self.custody.lost {
            out.push(self.incomplete_mark(loss));
        }
        out
    }

    /// The newest term that is known of.
    fn newest_term(&self) -> u64 {
        self.mirror.term.max(self.custody.token_term)
    }

    fn seconds_since_epoch(&self) -> u64 {
        let since = (self.now.wall.duration_since(SystemTime::UNIX_EPOCH)).unwrap_or_default();
        since.as_secs().saturating_sub(EPOCH_S)
    }

    /// Whether somebody may have led in this term: none is ahead of the time of day by more than clocks
    /// differ, and leaders that follow one another faster than seconds do.
    pub(super) fn plausible_term(&self, term: u64) -> bool {
        term <= self.seconds_since_epoch().saturating_add(AHEAD_S)
    }

    /// The term of the next leadership: the seconds since 2020, if those before it were less. Leaders follow
    /// one another less often, so no term is used again, whatever is lost: a controller that has just
    /// begun, in a store that was rolled back, knows of none that came after what it reads there. Nor do two
    /// controllers that know the same choose the same: each has terms of its own, one in as many as there are.
    pub(super) fn next_term(&self) -> u64 {
        let least = (self.newest_term() + 1).max(self.seconds_since_epoch());
        let peers = self.settings.peers.iter().map(|p| p.name.as_str());
        let rank = peers.filter(|p| *p < self.settings.name.as_str()).count() as u64;
        let controllers = self.settings.peers.len() as u64 + 1;
        let ahead = (rank + controllers - least % controllers) % controllers;
        (least + ahead).min(MAX_TERM)
    }

    /// Looks now and then whether the store is the one it was, and asks the others about an empty one.
    pub(super) fn check_store_integrity(&mut self) {
        let now = self.now.mono;
        let due = |at: Option<Instant>, every| at.is_none_or(|t| now >= t + every);
        if self.custody.empty_since.is_some()
            && self.custody.lost.is_none()
            && due(self.custody.words_asked, MEMORY_REQUEST_INTERVAL)
        {
            self.custody.words_asked = Some(now);
            let answered = |name: &str| self.custody.words.get(name).is_some_and(|w| w.loaded);
            let peers = self.settings.peers.iter().map(|p| p.name.clone());
            let silent: Vec<String> = peers.filter(|name| !answered(name)).collect();
            for peer in silent {
                let recall = MemoryRequest {
                    word_only: true,
                    after: String::new(),
                };
                self.out.push(Effect::MemoryRequest { peer, recall });
            }
        }
        if self.custody.doubted && due(self.custody.afresh, REREAD_INTERVAL) {
            self.suspect_data_loss("there was another sign of a loss");
        }
        self.mark();
        if self.store_is_stale() {
            self.custody.was_away = true;
            return;
        }
        // Restored while it was away: the revision tells, unless others' changes make up for it first.
        if std::mem::take(&mut self.custody.was_away) && self.mirror.loaded {
            self.ask_state(Pending::CheckRevision, StoreRequest::Get(key(NOTHING)));
        }
        if !self.mirror.loaded || !due(self.custody.looked, CHECK_INTERVAL) {
            return;
        }
        if self.acting() && !self.store_is_incomplete() {
            let after = self.custody.audited.clone();
            self.audit(after, None);
        }
        // The first look comes after a while: what was just read is what there is.
        let first = self.custody.looked.replace(now).is_none();
        self.custody.look_at_name = !self.custody.look_at_name;
        if first {
            return;
        }
        let name = self
            .mirror
            .identity
            .as_ref()
            .map(|(id, _)| identity_key(id));
        match name.filter(|_| self.custody.look_at_name) {
            Some(name) => {
                let version = self.mirror.identity.as_ref().map_or(0, |(_, v)| *v);
                self.ask_state(Pending::CheckIdentity(version), StoreRequest::Get(name));
            }
            // Where there is no mark, its absence tells the revision. A store rolled back into its
            // rebuilding shows it again, and no watch tells of that.
            None => {
                let unmarked = self.mirror.rebuilding.is_none();
                let look_at = key(if unmarked { REBUILDING } else { NOTHING });
                self.ask_state(Pending::CheckRevision, StoreRequest::Get(look_at));
            }
        }
    }

    pub(super) fn revision_checked(&mut self, outcome: StoreOutcome) {
        if matches!(outcome, StoreOutcome::Found(_)) && self.mirror.rebuilding.is_none() {
            self.suspect_data_loss("it is marked as incomplete, and the watch has not told");
        }
    }

    /// Another controller leads and knows nothing of the loss: it sees by this mark that it has to
    /// rebuild.
    fn mark(&mut self) {
        let now = self.now.mono;
        let led = self.mirror.leader.is_some() && self.lead.is_none();
        let waited = |loss: &DataLoss| now >= loss.since + LEASE_TTL;
        let (Some(loss), Some(name)) = (&self.custody.lost, &self.mirror.identity) else {
            return;
        };
        let under_way = self.pending.values().any(|p| matches!(p, Pending::Mark));
        if !led || !waited(loss) || self.mirror.rebuilding.is_some() || under_way {
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
            of: self.custody.of.clone(),
            since_ms: since.unwrap_or_default().as_millis() as u64,
            why: loss.why.clone(),
        };
        Change::put(key(REBUILDING), json(&value))
    }

    /// Reads some jobs' keys from after this one on. What the watch tells may have a gap that no revision
    /// shows, after a small loss that other changes have made up for; and single keys may be lost at
    /// any time.
    fn audit(&mut self, after: String, suspicion: Option<String>) {
        let request = StoreRequest::Page {
            under: key("j/"),
            after: after.clone(),
            most: AUDIT_BATCH,
        };
        self.ask_state(Pending::Audit { after, suspicion }, request);
    }

    /// The copy may have changed after the keys were read, so only the same difference in a second read,
    /// begun after the first was seen, is a sign of a loss.
    pub(super) fn jobs_audited(
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
        if self.mirror.revision < revision {
            return;
        }
        if let Some(why) = self.mirror.find_difference(&items, &after, last.as_deref()) {
            if suspicion.as_ref() == Some(&why) {
                self.suspect_data_loss(&why);
            } else if self.acting() {
                return self.audit(after, Some(why));
            }
        }
        self.custody.audited = last.unwrap_or_default();
    }

    pub(super) fn identity_checked(&mut self, version: u64, outcome: StoreOutcome) {
        let current = self.mirror.identity.as_ref().map(|(_, v)| *v);
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
    pub(super) fn recall(&mut self, ticket: Ticket, recall: MemoryRequest) {
        let remembers = self.mirror.term > 0
            || !self.mirror.jobs.is_empty()
            || !self.mirror.finished.is_empty();
        let (items, more) = if recall.word_only {
            (Vec::new(), false)
        } else {
            self.mirror.memory(&recall.after, PAGE_BYTES)
        };
        let items = items.into_iter().map(|(k, v)| (k, v.to_string()));
        let told = MemoryPage {
            loaded: self.mirror.loaded,
            stores: self.custody.whole.clone(),
            remembers,
            term: self.newest_term(),
            more,
            items: items.collect(),
        };
        let body = encode_recalled(&told);
        self.answer(ticket, Answer::new(200, body));
    }

    pub(super) fn recalled(
        &mut self,
        peer: String,
        asked: MemoryRequest,
        answer: Option<Box<MemoryPage>>,
    ) {
        if answer.is_some() {
            self.peer_heard = self.now.mono;
        }
        match answer {
            Some(word) if asked.word_only => {
                self.custody.words.insert(peer, *word);
            }
            None if asked.word_only => {}
            answer => self.take_memory_page(&peer, &asked, answer),
        }
    }
}
