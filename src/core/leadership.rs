//! The lease, taking over, resigning, and the leader's durable writes.
//!
//! Leadership is a key attached to this process's lease. The transaction that creates it raises
//! a persistent term, which the workers see as the upper part of their token.

use super::commit::{committed_in_events, committed_in_list};
use super::keys::{
    LEADER, REBUILDING, TERM, TYPES, done_key, identity_key, job_key, key, machine_key, named,
    part_key,
};
use super::lead::{Lead, Lease, Refused, Sent, WriteOp, Writes};
use super::losses::gone_after;
use super::machine::Machines;
use super::mirror::{DoneValue, JobValue, LeaderValue, TermValue};
use super::parts::Writing;
use super::records::Records;
use super::{CallId, Core, Effect, Pending, Stand, Ticket};
use crate::board::Board;
use crate::guard::{Guard, stands};
use crate::http::Answer;
use crate::job::{Final, JobId, JobSpec};
use crate::state::{StateOutcome, StateRequest};
use crate::wire::{Change, Condition, Event, Item, Txn, to_json};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// How long leadership outlives its last renewal.
pub const LEASE_TTL: Duration = Duration::from_millis(3000);
/// The leader stops acting this long before its lease can end: for drift of the clocks, and for
/// the way from a decision to the wire.
const SAFETY: Duration = Duration::from_millis(350);
/// After giving leadership up, the others get this long to take it.
const ABSTAIN: Duration = Duration::from_secs(12);
/// A controller gives leadership up for deafness at most this often.
const RESIGN_AGAIN: Duration = Duration::from_secs(90);
/// Direct calls that fail one after another, while no worker is heard here, before that means
/// something: single machines may be gone.
const MOST_MISSED: u32 = 8;
/// A submission takes 5 s at the most; its parts wait this long for their job.
const UNCLAIMED: Duration = Duration::from_secs(60);
/// A leader that could not act for longer than this begins to listen anew.
const UNABLE: Duration = Duration::from_millis(1000);
/// Done ranges may wait this long to be written together; users may be told 3 s late.
const PROGRESS_DELAY: Duration = Duration::from_millis(2000);
/// The part of the state service's changes that the leader's own writes may take; the rest is
/// for accepting jobs, which must not wait behind them.
pub(super) const WRITE_SHARE: f64 = 0.7;
/// A transaction may have 64 KiB; this leaves room for its frame.
pub(super) const MOST_TXN_BYTES: usize = 56 * 1024;

/// What a condition takes of that, beside its key.
const CONDITION_BYTES: usize = 48;
/// Writes in a row refused for what somebody else has changed, before all is read afresh; and before another
/// controller is let try.
const CONFLICTS_TO_DOUBT: u32 = 3;
const MOST_CONFLICTS: u32 = 6;

/// The watch tells within moments what a write was refused for; after this, all is read afresh.
const SETTLE_WITHIN: Duration = Duration::from_secs(2);

/// What the service refuses by itself is tried again after this long.
const ASIDE: Duration = Duration::from_secs(30);

/// A leader that is not heard for this long has its lease asked for, so often at most.
const DEAD_KEY: Duration = Duration::from_secs(4);

/// A leader key of which it is not sure whether anybody stands behind it.
#[derive(Clone, Copy, Debug)]
pub struct DeadKey {
    version: u64,
    since: Instant,
    asked: Option<Instant>,
    /// When it was found that the state service does not know its lease.
    gone: Option<Instant>,
}

/// A transaction in the making.
#[derive(Default)]
struct Batch {
    /// Changes that it may have.
    most: usize,
    /// Bytes that a value may have.
    value_bytes: usize,
    bytes: usize,
    changes: Vec<Change>,
    ops: Vec<WriteOp>,
}

impl Batch {
    /// Adds changes that belong together, if there is room for all of them.
    fn add(&mut self, mut new: Vec<Change>) -> bool {
        let size = |c: &Change| to_json(c).len() + 2 + c.key().len() + CONDITION_BYTES;
        let size: usize = new.iter().map(size).sum();
        if self.changes.len() + new.len() > self.most || self.bytes + size > MOST_TXN_BYTES {
            return false;
        }
        self.bytes += size;
        self.changes.append(&mut new);
        true
    }

    /// Adds pages of machines: those with new ones, or also those that are merely out of date.
    fn pages(&mut self, records: &mut Records, now: Instant, only_new: bool) {
        while self.changes.len() < self.most
            && let Some(write) = records.next(now, only_new, self.most - self.changes.len())
        {
            if !self.add(write.changes) {
                return records.again(write.pages);
            }
            self.ops.push(WriteOp::Pages(write.pages, write.machines));
        }
        while !only_new
            && self.changes.len() < self.most
            && let Some(change) = records.next_alone()
        {
            self.changes.push(change);
        }
    }
}

impl Core {
    /// Until when this process may act as the leader.
    pub(super) fn leader_until(&self) -> Option<Instant> {
        let lead = self.lead.as_ref()?;
        if !stands(Guard::Word) {
            return Some(self.now.mono + LEASE_TTL);
        }
        let lease = self.lease.as_ref()?;
        // The service's clock may run faster than ours by 0.1% at the most.
        Some(lease.kept.min(lead.stands) + LEASE_TTL - LEASE_TTL / 1000 - SAFETY)
    }

    pub(super) fn acting(&self) -> bool {
        self.leader_until().is_some_and(|t| self.now.mono < t)
    }

    pub(super) fn lease_kept(&mut self, id: u64, sent: Instant, stands: Option<u64>) {
        self.state_ok = self.now.mono;
        if let Some(lead) = &mut self.lead
            && stands == Some(lead.key_version)
        {
            lead.stands = lead.stands.max(sent);
        }
        match &mut self.lease {
            Some(l) if l.id == id => l.kept = l.kept.max(sent),
            _ => {
                if self.lead.is_some() {
                    self.step_down("a new lease replaced the leader's");
                }
                self.lease = Some(Lease { id, kept: sent });
            }
        }
    }

    /// The leader key is gone though its lease is not, or the store is another one.
    pub(super) fn deposed(&mut self, key_version: u64) {
        if self
            .lead
            .as_ref()
            .is_some_and(|l| l.key_version == key_version)
        {
            self.step_down("the leader key is not there any more");
            self.doubt("a leader key is gone before its lease");
        }
    }

    pub(super) fn lease_lost(&mut self) {
        let kept = self.lease.take().map(|l| l.kept);
        self.step_down("the lease has ended");
        // It was to run for longer.
        if kept.is_some_and(|t| self.now.mono < t + LEASE_TTL * 9 / 10) {
            self.doubt("it does not know a lease that should still run");
        }
    }

    pub(super) fn listed(&mut self, items: Vec<Item>, revision: u64) {
        self.state_ok = self.now.mono;
        self.heed_commit(|txn| committed_in_list(txn, &items));
        self.take_list(items, revision);
        tracing::info!(
            "state: read afresh at revision {revision}: {} jobs, {} finished, {} machines",
            self.mirror.jobs.len(),
            self.mirror.finished.len(),
            self.mirror.machines.len()
        );
        self.mirror_changed();
    }

    pub(super) fn changed(&mut self, events: Vec<Event>, revision: u64) {
        self.state_ok = self.now.mono;
        if revision < self.mirror.revision {
            return self.doubt("its revision went back");
        }
        if events.is_empty() {
            self.mirror.heed_revision(revision);
            // A list may have told of our key before the copy was known to be as new.
            if self.lead.is_none() && self.holds_leader_key() {
                self.mirror_changed();
            }
            return self.settle_write();
        }
        self.heed_commit(|txn| committed_in_events(txn, &events));
        self.mirror.apply(events, revision);
        self.mirror_changed();
    }

    /// The leader key is this process's, and hangs on the lease that it has.
    fn holds_leader_key(&self) -> bool {
        self.mirror.leader.as_ref().is_some_and(|(v, _)| {
            v.name == self.settings.name
                && v.nonce == self.nonce
                && self.lease.is_some_and(|l| l.id == v.lease)
        })
    }

    fn mirror_changed(&mut self) {
        self.heed_name();
        if !self.mirror.types.is_empty() && self.types.is_empty() {
            self.types = self.mirror.types.clone();
            if let Some(lead) = &mut self.lead {
                lead.machines.note_all();
            }
        }
        let mine = self.holds_leader_key();
        // A store that was restored gives numbers of leases again: renewed here, the key of a leader that
        // is gone would stay for ever.
        let (own, nonce) = (self.lease.map(|l| l.id), self.nonce);
        let ours = |v: &LeaderValue| Some(v.lease) == own && v.nonce != nonce;
        if self.mirror.leader.as_ref().is_some_and(|(v, _)| ours(v)) {
            tracing::warn!("the leader key of another hangs on this process's lease");
            self.step_down("its lease is another's");
            self.lease = None;
            self.out.push(Effect::ChangeLease);
        }
        let version = self.mirror.leader.as_ref().map(|(_, v)| *v);
        match (&self.lead, mine) {
            // Restored together with what else a store held long ago.
            (None, true) if self.custody.lost.is_some() => self.resign_to_rebuild(),
            (None, true) => self.begin_leadership(version.unwrap_or_default()),
            (Some(l), true) if Some(l.key_version) == version => self.take_in_jobs(),
            (Some(_), _) => self.step_down("the leader key is not ours any more"),
            // A leader begins with all there is.
            (None, false) => self.mirror.changed.clear(),
        }
        self.settle_write();
    }

    /// Begins a leadership if this key gives one. A leadership has a term that no other has, for workers,
    /// controllers, attempts and writes alike: the transaction that writes the leader key raises the term, so
    /// both have one version, and this process leads but once in it. Where a leadership ended and its key
    /// stands, the key is written again, with the next term (`tend_leadership`).
    fn begin_leadership(&mut self, key_version: u64) {
        // A list is as old as its first page: what a former leader wrote last may be missing in it.
        if self.mirror.revision >= key_version && self.has_unused_term(key_version) {
            self.take_office(key_version);
        }
    }

    /// The term was raised together with this version of the leader key, none newer is known of, and this
    /// process has not led in it.
    fn has_unused_term(&self, key_version: u64) -> bool {
        let m = &self.mirror;
        let raised = m.term_version == key_version && m.stored_term == m.term;
        raised && m.term > self.led_term || !stands(Guard::Term)
    }

    /// The version that the leader key has if a leadership may begin now: 0 where there is none, that of our
    /// own key where its term has been used.
    fn vacancy(&self) -> Option<u64> {
        if !self.mirror.loaded || self.lead.is_some() {
            return None;
        }
        match &self.mirror.leader {
            None => Some(0),
            Some((_, version)) if self.holds_leader_key() => {
                (!self.has_unused_term(*version)).then_some(*version)
            }
            Some(_) => None,
        }
    }

    /// Called at the end of every batch of commands.
    pub(super) fn tend_leadership(&mut self) {
        let now = self.now.mono;
        if self.acting() {
            let back_after = self.settings.report;
            if let Some(lead) = &mut self.lead {
                if now > lead.acted + UNABLE {
                    // The state service was away, and reports were answered with 503 meanwhile: the
                    // workers went from node to node, and their silence proves nothing.
                    let paused = now.saturating_duration_since(lead.acted);
                    tracing::info!(
                        term = lead.term,
                        "term {}: acts again after {paused:?}",
                        lead.term
                    );
                    lead.deaf_until = lead.deaf_until.max(now + back_after);
                }
                lead.acted = now;
            }
            // Workers are cut off from this node though the state service is not: another
            // controller may reach them.
            let deaf = self.lead.as_ref().is_some_and(|l| {
                let known = l.machines.values().any(|m| m.session > 0);
                let silent = l.last_report.unwrap_or(l.since).max(l.deaf_until);
                let waited = now.saturating_duration_since(silent.max(l.since));
                // Until the workers have found a new leader, little comes in any case.
                let longest = self.settings.report * 2 + Duration::from_secs(2);
                let settled = now.saturating_duration_since(l.since) > longest;
                let after = if settled {
                    l.deaf_after.min(longest)
                } else {
                    longest
                };
                // Others hear them for this one, but what it has to say to them itself, commands
                // foremost, does not get through.
                let unheeded = l.missed >= MOST_MISSED
                    && now.saturating_duration_since(l.touched.max(l.deaf_until)) > after;
                (known || l.unresolved > 0) && (waited > after || unheeded)
            });
            // Where no other controller hears them either, passing leadership around would only
            // keep all of them from finding out that the machines are gone.
            let again = self.resigned.is_none_or(|t| now > t + RESIGN_AGAIN);
            if deaf && again && !self.settings.peers.is_empty() {
                self.resigned = Some(now);
                self.resign("no worker reports here");
            }
            return;
        }
        self.tend_dead_key();
        let vacancy = self.vacancy();
        let lease_fresh = self.lease.is_some_and(|l| now < l.kept + LEASE_TTL / 2);
        let trying = self
            .pending
            .values()
            .any(|p| matches!(p, Pending::TakeOver));
        let early = now < self.candidate_after;
        if vacancy.is_none() || !lease_fresh || trying || early || !self.may_stand() {
            return;
        }
        let (Some(leader_version), Some(lease)) = (vacancy, self.lease) else {
            return;
        };
        let value = LeaderValue {
            name: self.settings.name.clone(),
            nonce: self.nonce,
            lease: lease.id,
        };
        let put = |key: String, value: serde_json::Value, lease| Change::Put { key, value, lease };
        let condition = |key: String, version| Condition { key, version };
        let mut conditions = vec![
            condition(key(LEADER), leader_version),
            condition(key(TERM), self.mirror.term_version),
        ];
        conditions.extend(self.mirror.identity.as_ref().map(named));
        let term = self.next_term();
        let mut changes = vec![
            put(key(LEADER), json(&value), Some(lease.id)),
            put(key(TERM), json(&TermValue { term }), None),
        ];
        changes.extend(self.naming());
        let txn = Txn {
            conditions,
            changes,
        };
        self.stood = now;
        self.ask_state(Pending::TakeOver, StateRequest::Txn(txn));
    }

    /// A leader key whose lease the state service does not know, restored without it, say, would stay for
    /// ever, and nobody could lead. Where no leader is heard for long, its lease is asked for. Once that
    /// is not known, nobody can renew it, so whoever it belonged to ceases to act within a lease's time;
    /// after that the key is taken away, unless it is another one by then.
    fn tend_dead_key(&mut self) {
        let now = self.now.mono;
        let Some((value, version)) = &self.mirror.leader else {
            self.dead_key = None;
            return;
        };
        if !self.mirror.loaded || self.state_is_stale() {
            return;
        }
        let (lease, version) = (value.lease, *version);
        if self.dead_key.is_none_or(|d| d.version != version) {
            self.dead_key = Some(DeadKey {
                version,
                since: now,
                asked: None,
                gone: None,
            });
        }
        let heard = self.relay.grant.map(|g| g.until);
        let Some(d) = &mut self.dead_key else { return };
        if let Some(gone) = d.gone {
            if now < gone + LEASE_TTL || d.asked.is_some_and(|t| now < t + LEASE_TTL) {
                return;
            }
            d.asked = Some(now);
            tracing::warn!("the leader key hangs on no lease any more, and is taken away");
            let mut conditions = vec![Condition {
                key: key(LEADER),
                version,
            }];
            // In a store that has lost data, another leader key may have the same version.
            conditions.extend(self.mirror.identity.as_ref().map(named));
            let txn = Txn {
                conditions,
                changes: vec![Change::Delete { key: key(LEADER) }],
            };
            self.ask_state(Pending::Bury, StateRequest::Txn(txn));
            return;
        }
        // Whoever leads is heard, where controllers work together; an earlier version is not.
        let silent = heard.map_or(d.since, |t| d.since.max(t));
        let every = if heard.is_some() {
            DEAD_KEY
        } else {
            DEAD_KEY * 3
        };
        let due = now >= silent + every && d.asked.is_none_or(|t| now >= t + every);
        if due && self.lead.is_none() {
            d.asked = Some(now);
            self.ask_state(Pending::LeaseOf(version), StateRequest::LeaseRuns(lease));
        }
    }

    /// Whether the lease of a leader key of this version runs.
    pub(super) fn lease_of_leader(&mut self, version: u64, outcome: StateOutcome) {
        let now = self.now.mono;
        if let (Some(d), StateOutcome::Runs(false)) = (&mut self.dead_key, outcome)
            && d.version == version
        {
            d.gone.get_or_insert(now);
        }
    }

    /// The watch tells the outcome with everything that came before it; this only paces retries.
    pub(super) fn took_over(&mut self, outcome: StateOutcome) {
        let pause = match outcome {
            StateOutcome::Committed { .. } => Duration::from_millis(1500),
            StateOutcome::Conflict { failed, .. } => {
                if self.names_store(&failed) {
                    self.doubt("its identity is gone");
                }
                Duration::from_millis(300)
            }
            StateOutcome::Invalid(e) => {
                tracing::info!("taking over: {e}");
                Duration::from_millis(500)
            }
            StateOutcome::Refused(_) | StateOutcome::Unknown(_) => Duration::from_millis(400),
            StateOutcome::Found(_)
            | StateOutcome::Missing { .. }
            | StateOutcome::Page { .. }
            | StateOutcome::Runs(_) => Duration::ZERO,
        };
        self.candidate_after = self.candidate_after.max(self.now.mono + pause);
    }

    fn take_office(&mut self, key_version: u64) {
        let now = self.now.mono;
        let term = self.mirror.term;
        tracing::info!(term = term, "leading from term {term} on");
        self.leaderships += 1;
        self.led_term = self.led_term.max(term);
        let mut lead = Lead {
            key_version,
            term,
            since: now,
            stands: self.stood,
            machines: Machines::default(),
            board: Board::default(),
            gone: BTreeSet::new(),
            unresolved: 0,
            to_ask: Vec::new(),
            ask_again: BTreeSet::new(),
            to_hear: 0,
            answering: BTreeSet::new(),
            calls_out: 0,
            runs: BTreeMap::new(),
            in_doubt: BTreeSet::new(),
            urgency: BTreeMap::new(),
            unclaimed: BTreeMap::new(),
            writes: Writes::default(),
            market: Default::default(),
            attempts: 0,
            deaf_until: now,
            acted: now,
            last_report: None,
            touched: now,
            missed: 0,
            deaf_after: self.settings.report * 2,
            planned: None,
            plan_again: true,
            judge_guarantees: true,
            wanting: false,
            held: Default::default(),
            fleet_at: None,
            tended: None,
            told: None,
            zones_back: BTreeMap::new(),
            head: None,
            pace: BTreeMap::new(),
            arrivals: super::run::Arrivals::new(self.now, self.mirror.jobs.values()),
            bidding: Default::default(),
            delegates: Default::default(),
            identity: self.mirror.identity.clone(),
            rebuild: None,
        };
        let records = &mut lead.writes.records;
        *records = Records::new(&self.mirror, self.settings.value_bytes);
        for (id, value) in &self.mirror.machines {
            if !records.has(id) {
                records.add(id, value.clone());
            }
        }
        lead.writes.types = !self.types.is_empty() && self.types != self.mirror.types;
        let mut conditions = vec![Condition {
            key: key(LEADER),
            version: key_version,
        }];
        conditions.extend(lead.named());
        self.out.push(Effect::Stand(Some(Stand {
            key_version,
            conditions,
        })));
        self.lead = Some(lead);
        self.recover();
        self.mirror.changed = self.mirror.jobs.keys().cloned().collect();
        self.take_in_jobs();
        self.begin_rebuild();
    }

    pub(super) fn step_down(&mut self, why: &str) {
        let Some(lead) = self.lead.take() else { return };
        self.out.push(Effect::Stand(None));
        tracing::warn!(
            term = lead.term,
            "term {}: no longer leading: {why}",
            lead.term
        );
        self.relay.succeed(&lead);
        self.candidate_after = self.now.mono + Duration::from_millis(200);
        for (ticket, _) in lead.held.reports {
            self.redirect(ticket);
        }
        for work in lead.held.syncs {
            self.refuse_sync(work.ticket, work.number);
        }
        let waiting: Vec<Ticket> = lead
            .runs
            .into_values()
            .flat_map(|r| r.cancel_waiters)
            .collect();
        for ticket in waiting {
            self.answer(ticket, Answer::busy("the leader changed", 1));
        }
        self.pending.retain(|_, p| {
            matches!(
                p,
                Pending::Create { .. }
                    | Pending::Parts { .. }
                    | Pending::Read { .. }
                    | Pending::Barrier(_)
                    | Pending::TakeOver
                    | Pending::Types
                    | Pending::Show(_)
                    | Pending::LookAtName(_)
                    | Pending::LookAtRevision
                    | Pending::Mark
                    | Pending::LeaseOf(_)
                    | Pending::Bury
                    | Pending::Audit { .. }
            )
        });
    }

    pub(super) fn resign(&mut self, why: &str) {
        self.step_down(why);
        self.lease = None;
        self.candidate_after = self.now.mono + ABSTAIN;
        self.out.push(Effect::GiveUpLease);
    }

    /// Sends the next transaction when none is on its way: at once when idle, and what gathers
    /// meanwhile goes together in the one after it.
    pub(super) fn flush_writes(&mut self) {
        let now = self.now.mono;
        let Some(lead) = &mut self.lead else { return };
        if let Some(sent) = &mut lead.writes.sent {
            if let Some(refused) = &mut sent.refused {
                if now >= refused.since + SETTLE_WITHIN {
                    refused.since = now;
                    self.doubt("a write was refused, and the watch does not tell why");
                }
                return;
            }
            if sent.call.is_some() || now < sent.again_at {
                return;
            }
            // No answer, or refused: the very same again. Should the first copy be applied as well,
            // the second of the two finds other versions, and changes nothing.
            let txn = sent.txn.clone();
            let call = self.ask_state(Pending::Write, StateRequest::Txn(txn));
            if let Some(sent) = self.lead.as_mut().and_then(|l| l.writes.sent.as_mut()) {
                sent.call = Some(call);
            }
            return;
        }
        if self.mirror.revision < lead.writes.after || self.write_budget.left(now) < 1.0 {
            return;
        }
        let Some((txn, ops)) = self.gather() else {
            return;
        };
        let call = self.ask_state(Pending::Write, StateRequest::Txn(txn.clone()));
        if let Some(lead) = &mut self.lead {
            lead.writes.sent = Some(Sent::new(txn, ops, call, now));
        }
    }

    /// Parts that no job has referred to for long are of a submission that came to nothing.
    fn find_litter(&mut self) {
        let now = self.now.mono;
        let Some(lead) = &mut self.lead else { return };
        let mut since = std::mem::take(&mut lead.unclaimed);
        for (id, stem) in self.mirror.parts.unclaimed() {
            let name = (id.clone(), *stem);
            let first = since.remove(&name).unwrap_or(now);
            if now >= first + UNCLAIMED {
                let keys = self.mirror.parts.keys(id, *stem);
                self.mirror.litter.extend(keys);
            }
            lead.unclaimed.insert(name, first);
        }
    }

    fn gather(&mut self) -> Option<(Txn, Vec<WriteOp>)> {
        self.find_litter();
        let now = self.now.mono;
        let piece = self.piece();
        let most = self.settings.txn_ops.saturating_sub(1).max(1);
        let most = most.min(self.write_budget.left(now) as usize);
        // Told of a cancellation, a user counts on its tasks being gone in `cancel_s`. Where that is less than
        // what a lease takes to run out, they have to be gone before.
        let in_time = gone_after(self.settings.lease) <= self.settings.cancel;
        let lead = self.lead.as_mut()?;
        let left_over: BTreeSet<JobId> = if in_time || !stands(Guard::InTime) {
            BTreeSet::new()
        } else {
            let cancelled = lead
                .writes
                .ends
                .iter()
                .filter(|(_, end)| **end == Final::Cancelled);
            let jobs = &self.mirror.jobs;
            let left = cancelled.filter(|(id, _)| {
                let placed = lead.runs.get(*id).is_some_and(|r| !r.placed.is_empty());
                placed
                    || jobs
                        .get(*id)
                        .is_some_and(|j| Self::held_by_recovery(lead, j))
            });
            left.map(|(id, _)| id.clone()).collect()
        };
        let w = &mut lead.writes;
        w.aside.retain(|_, until| now < *until);
        let mut batch = Batch {
            most: most.min(w.most.unwrap_or(most)),
            value_bytes: self.settings.value_bytes,
            ..Batch::default()
        };
        let put = |key, value| Change::Put {
            key,
            value,
            lease: None,
        };
        for (id, end) in &w.ends {
            let key = job_key(id);
            if w.aside.contains_key(&key) || left_over.contains(id) {
                continue;
            }
            let cancelled = *end == Final::Cancelled;
            let left = self.mirror.left_of(id, self.now.wall).filter(|_| cancelled);
            let (end, told) = (*end, left.clone());
            if !batch.add(vec![put(key, json(&JobValue::Over { end, left }))]) {
                break;
            }
            batch.ops.push(WriteOp::End(id.clone(), end, told));
        }
        batch.pages(&mut w.records, now, true);
        let owed = std::mem::take(&mut self.mirror.owed);
        self.gather_owed(&mut batch, &owed);
        self.mirror.owed = owed;
        let lead = self.lead.as_mut()?;
        let w = &mut lead.writes;
        let mut due: Vec<(Instant, &JobId)> = w.progress.iter().map(|(id, t)| (*t, id)).collect();
        due.retain(|(t, id)| now >= *t + PROGRESS_DELAY && !w.ends.contains_key(*id));
        due.sort();
        'jobs: for (_, id) in due {
            let (Some(run), Some(job)) = (lead.runs.get(id), self.mirror.jobs.get(id)) else {
                continue;
            };
            // From the last row down: a piece of an earlier version may reach further than ours
            // under the same key, and what it tells beyond is to be on record elsewhere first.
            for base in job.pieces_to_write(&run.unwritten, piece).into_iter().rev() {
                let key = done_key(id, base);
                if w.aside.contains_key(&key) {
                    continue 'jobs;
                }
                let value = DoneValue {
                    rows: job.done.ranges(base, piece),
                };
                if !batch.add(vec![put(key, json(&value))]) {
                    break 'jobs;
                }
                let end = base.saturating_add(piece);
                let rows = run.unwritten.range(base..end).copied().collect();
                batch.ops.push(WriteOp::Progress(id.clone(), rows));
            }
        }
        for id in &w.followers {
            let end = Final::Cancelled;
            let key = job_key(id);
            if w.aside.contains_key(&key) || w.ends.contains_key(id) {
                continue;
            }
            // Nothing of it can have started.
            let left = None;
            if !batch.add(vec![put(key, json(&JobValue::Over { end, left }))]) {
                break;
            }
            batch.ops.push(WriteOp::End(id.clone(), end, None));
        }
        batch.pages(&mut w.records, now, false);
        // Every controller learns the types from the cloud as well; a list too long for a value
        // is not kept here.
        let types = put(key(TYPES), json(&self.types));
        let small = to_json(&self.types).len() <= batch.value_bytes;
        if w.types && small && !w.aside.contains_key(&key(TYPES)) && batch.add(vec![types]) {
            batch.ops.push(WriteOp::Types);
        }
        let whole = Change::Delete {
            key: key(REBUILDING),
        };
        if w.rebuilt && batch.changes.is_empty() && batch.add(vec![whole]) {
            batch.ops.push(WriteOp::Rebuilt);
        }
        while batch.changes.len() < batch.most
            && let Some(key) = self.mirror.litter.pop_first()
        {
            if self.mirror.versions.of(&key) > 0 {
                batch.add(vec![Change::Delete { key }]);
            }
        }
        let Batch { changes, ops, .. } = batch;
        if changes.is_empty() {
            w.types = false;
            return None;
        }
        self.write_budget.spend(changes.len());
        // Conditional on the leader key: a transaction that arrives after the end of this
        // leadership must change nothing.
        let mut conditions = vec![Condition {
            key: key(LEADER),
            version: lead.key_version,
        }];
        // In a store that has lost data, another leader key may have the same version.
        conditions.extend(lead.named());
        // And one that is carried out after newer ones of this leader must not undo them.
        conditions.extend(changes.iter().map(|c| Condition {
            key: c.key().into(),
            version: self.mirror.versions.of(c.key()),
        }));
        Some((
            Txn {
                conditions,
                changes,
            },
            ops,
        ))
    }

    /// What the store has lost, ends of jobs first: these are final, and some user was told of them.
    fn gather_owed(&self, batch: &mut Batch, owed: &BTreeSet<JobId>) {
        let Some(lead) = &self.lead else { return };
        let w = &lead.writes;
        let over = |id: &&JobId| self.mirror.finished.contains_key(*id);
        let ended = owed.iter().filter(over);
        let live = owed.iter().filter(|id| !over(id));
        for id in ended.chain(live) {
            if w.aside.contains_key(&job_key(id)) || w.ends.contains_key(id) {
                continue;
            }
            let room = batch.most.saturating_sub(batch.changes.len());
            let Some((changes, op)) = self.owed_changes(id, room) else {
                continue;
            };
            if !batch.add(changes) {
                return;
            }
            batch.ops.push(op);
        }
    }

    /// Whether the store's identity is among these keys.
    fn names_store(&self, keys: &[String]) -> bool {
        let name = self.mirror.identity.as_ref();
        name.is_some_and(|(id, _)| keys.contains(&identity_key(id)))
    }

    /// Rows per stored piece, so that even every other row of a piece fits into one value.
    fn piece(&self) -> u32 {
        let rows = (self.settings.value_bytes as u32 / 4).clamp(64, 2048);
        1 << rows.ilog2()
    }

    pub(super) fn written(&mut self, call: CallId, outcome: StateOutcome) {
        let now = self.now.mono;
        let Some(lead) = &mut self.lead else { return };
        let ours = |s: &Sent| s.call == Some(call);
        if !lead.writes.sent.as_ref().is_some_and(ours) {
            return;
        }
        let retry = |lead: &mut Lead, pause| {
            if let Some(sent) = &mut lead.writes.sent {
                sent.call = None;
                sent.again_at = now + pause;
            }
        };
        match outcome {
            StateOutcome::Committed { revision } => self.write_committed(revision),
            StateOutcome::Conflict { revision, .. } if !stands(Guard::Conflict) => {
                self.write_committed(revision);
            }
            StateOutcome::Conflict { failed, revision } => {
                let renamed = self.names_store(&failed);
                if renamed {
                    self.doubt("its identity is gone");
                }
                if renamed || failed.contains(&key(LEADER)) {
                    let failed = failed.join(", ");
                    return self.step_down(&format!("a write was refused: {failed} changed"));
                }
                if let Some(sent) = self.lead.as_mut().and_then(|l| l.writes.sent.as_mut()) {
                    sent.refused = Some(Refused {
                        keys: failed,
                        revision,
                        since: now,
                    });
                }
                self.settle_write();
            }
            StateOutcome::Invalid(e) => {
                // It was not executed, and would be refused for ever: its limits are lower than
                // the settings say. Fewer changes go together, down to one; a change that is
                // refused by itself is set aside, as the others must not wait for it.
                let w = &mut lead.writes;
                let Some(Sent { txn, ops, .. }) = w.sent.take() else {
                    return;
                };
                let keys: Vec<&str> = txn.changes.iter().map(Change::key).collect();
                if w.most.is_none() {
                    tracing::error!("state service refuses {} changes: {e}", keys.len());
                }
                let alone = ops.len() == 1;
                w.most = Some((keys.len() / 2).max(1));
                if let [key] = keys[..] {
                    tracing::error!("state service refuses {key}, set aside: {e}");
                    w.aside.insert(key.to_string(), now + ASIDE);
                }
                for op in ops {
                    if let WriteOp::Pages(pages, _) = op {
                        match pages[..] {
                            [n] if alone => w.records.put_off(n, now + ASIDE),
                            _ => w.records.again(pages),
                        }
                    }
                }
                self.delete_again(&txn);
            }
            StateOutcome::Refused(e) => {
                tracing::debug!("write refused: {e}");
                retry(lead, Duration::from_millis(250));
            }
            StateOutcome::Unknown(e) => {
                tracing::info!("write without an answer: {e}");
                retry(lead, Duration::from_millis(50));
            }
            StateOutcome::Found(_)
            | StateOutcome::Missing { .. }
            | StateOutcome::Page { .. }
            | StateOutcome::Runs(_) => {
                retry(lead, Duration::from_millis(250));
            }
        }
    }

    /// Notes whether what the state service shows is the transaction that is on its way.
    fn heed_commit(&mut self, committed: impl Fn(&Txn) -> Option<u64>) {
        if let Some(sent) = self.lead.as_mut().and_then(|l| l.writes.sent.as_mut())
            && sent.committed.is_none()
        {
            sent.committed = committed(&sent.txn);
        }
    }

    /// Settles the transaction on its way, once this process's copy of the store tells what became of it. It
    /// was committed where the copy shows exactly its changes, whether an answer has told so, was lost, or
    /// was a refusal of its second copy. Otherwise it was refused for a change of somebody else's.
    fn settle_write(&mut self) {
        let revision = self.mirror.revision;
        let Some(sent) = self.lead.as_ref().and_then(|l| l.writes.sent.as_ref()) else {
            return;
        };
        if let Some(at) = sent.committed.filter(|_| stands(Guard::OwnWrite)) {
            return self.write_committed(at);
        }
        let known = |r: &&Refused| revision >= r.revision;
        let Some(refused) = sent.refused.as_ref().filter(known) else {
            return;
        };
        let (failed, at) = (refused.keys.join(", "), refused.revision);
        let conflicts = self.write_again(at);
        if conflicts >= MOST_CONFLICTS {
            self.resign(&format!(
                "writes are refused again and again: {failed} changed"
            ));
        } else if conflicts >= CONFLICTS_TO_DOUBT {
            self.doubt("it has other versions of what is known here");
        } else {
            tracing::info!("a write was refused, {failed} changed; it is made anew");
        }
    }

    /// The transaction on its way is in the store since this revision.
    fn write_committed(&mut self, revision: u64) {
        let Some(lead) = &mut self.lead else { return };
        lead.writes.conflicts = 0;
        let Some(sent) = lead.writes.sent.take() else {
            return;
        };
        self.mirror.wrote(&sent.txn.changes, revision);
        for op in sent.ops {
            self.durable(op, revision);
        }
    }

    /// A key that a transaction would change was changed by somebody else. Nothing counts as written; what is
    /// to be said is worked out anew when this copy shows what the service had then. Says how often in a
    /// row.
    fn write_again(&mut self, revision: u64) -> u32 {
        let Some(lead) = &mut self.lead else { return 0 };
        let w = &mut lead.writes;
        let Some(Sent { txn, ops, .. }) = w.sent.take() else {
            return 0;
        };
        for op in ops {
            if let WriteOp::Pages(pages, _) = op {
                w.records.again(pages);
            }
        }
        (w.after, w.conflicts) = (revision, w.conflicts + 1);
        let conflicts = w.conflicts;
        self.delete_again(&txn);
        conflicts
    }

    /// Deletions that were not carried out, other than of whole pages.
    fn delete_again(&mut self, txn: &Txn) {
        let Some(lead) = &mut self.lead else { return };
        for change in &txn.changes {
            let Change::Delete { key: name } = change else {
                continue;
            };
            if let Some(id) = name.strip_prefix(&machine_key("")) {
                lead.writes.records.drop_alone(id.into());
            } else if name.starts_with(&key("d/")) || name.starts_with(&key("s/")) {
                self.mirror.litter.insert(name.clone());
            }
        }
    }

    fn durable(&mut self, op: WriteOp, revision: u64) {
        let Some(lead) = &mut self.lead else { return };
        match op {
            WriteOp::End(id, end, left) => {
                lead.writes.ends.remove(&id);
                lead.writes.followers.remove(&id);
                self.mirror.end_written(&id, end, left, revision);
                self.take_in_jobs();
            }
            WriteOp::Progress(id, rows) => {
                if let Some(run) = lead.runs.get_mut(&id) {
                    for row in rows {
                        run.unwritten.remove(&row);
                    }
                    if run.unwritten.is_empty() {
                        lead.writes.progress.remove(&id);
                    } else {
                        lead.writes.progress.insert(id, self.now.mono);
                    }
                } else {
                    lead.writes.progress.remove(&id);
                }
            }
            WriteOp::Pages(_, ids) => {
                for id in ids {
                    if lead.machines.get(&id).is_some_and(|m| !m.recorded)
                        && let Some(m) = lead.machines.get_mut(&id)
                    {
                        m.recorded = true;
                        lead.plan_again = true;
                    }
                }
            }
            WriteOp::Types => lead.writes.types = false,
            WriteOp::Owed(id) => {
                lead.writes.owed_parts.remove(&id);
                self.mirror.owed.remove(&id);
            }
            WriteOp::OwedParts(id, upto) => {
                lead.writes.owed_parts.insert(id, upto);
            }
            WriteOp::Rebuilt => lead.writes.rebuilt = false,
        }
    }

    pub(super) fn leader_name(&self) -> Option<&str> {
        self.mirror.leader.as_ref().map(|(v, _)| v.name.as_str())
    }
}

pub(super) fn json<T: serde::Serialize>(x: &T) -> serde_json::Value {
    serde_json::to_value(x).unwrap_or(serde_json::Value::Null)
}

/// The stored form of a newly accepted job; of a large one what its key holds, given its parts.
pub(super) fn creation(spec: &JobSpec, submitted_ms: u64, parts: Option<&Writing>) -> Txn {
    let value = match parts {
        None => JobValue::live(Box::new(spec.clone()), submitted_ms),
        Some(w) => JobValue::Parted {
            parts: w.parts.len() as u32,
            stem: w.stem,
            submitted_ms,
        },
    };
    let key = job_key(&spec.id);
    // Create-only: an acceptance that is applied late, or twice, or by two nodes, is still the one
    // job that its user asked for. A large job's parts must be there: a leader clears those that
    // no job has referred to for long.
    let mut conditions = vec![Condition {
        key: key.clone(),
        version: 0,
    }];
    if let Some(w) = parts {
        let parts = w.versions.iter().enumerate();
        conditions.extend(parts.map(|(n, version)| Condition {
            key: part_key(&spec.id, w.stem, n as u32),
            version: *version,
        }));
    }
    Txn {
        conditions,
        changes: vec![Change::Put {
            key,
            value: json(&value),
            lease: None,
        }],
    }
}
