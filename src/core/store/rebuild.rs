//! What a leader does for a store that has lost data: it joins what the controllers remember, writes
//! it back, and lets nothing be said or started before that is safe.
//!
//! - *Said.* Ends are final wherever they come from. What is not final, and whether a job is unknown,
//!   is told only when all controllers have handed over what they remember, or have nothing, or when
//!   the workers' leases have run out meanwhile. An unknown job is answered 503 until the mark is gone.
//! - *Started.* A machine that was rented just before the loss may be on nobody's record. So nothing
//!   starts before a list of the cloud that must have every machine of then, and word from each of
//!   them; or before the lease of every worker has run out.
//! - *Held.* Tasks of jobs that nobody remembers go on, their results are kept, and nothing of such a
//!   job is ever started by itself. They are adopted when the job becomes known, and listed until then.
//! - *The end.* The mark is taken off when all is written back, all controllers were asked twice, and
//!   nothing is held; or when an operator settles it.

use crate::core::leadership::json;
use crate::core::leadership::state::{LeaderState, WriteOp};
use crate::core::machines::failure_detection::lease_expiry;
use crate::core::machines::machine::{Machine, StopReason};
use crate::core::store::cache::{JobValue, MachineValue};
use crate::core::store::keys::{job_key, part_key};
use crate::core::store::large_jobs::{self, PartValue};
use crate::core::{Core, Effect, Ticket};
use crate::http::Answer;
use crate::job::{JobId, MachineId, Resources, TaskId};
use crate::peer::memory_exchange::{MemoryPage, MemoryRequest};
use crate::wire::{Change, to_json};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// After no answer, a controller is asked again.
const AGAIN: Duration = Duration::from_millis(300);
/// All are asked once more, so long after they were asked first: what was on its way to the lost
/// store (its calls take 1.5 s at the most) is in their memory then.
const SECOND_PASS: Duration = Duration::from_secs(2);
/// Added to twice the lag of the cloud's list.
const LIST_MARGIN: Duration = Duration::from_millis(200);
/// Held tasks that one view shows; the rest is counted.
const MAX_LISTED_TASKS: usize = 100;

/// How far a controller has handed over its memory.
#[derive(Clone, Debug, Default)]
struct PeerMemory {
    /// The key after which it goes on.
    after: String,
    /// Asked, and not answered yet.
    in_flight: bool,
    retry_at: Option<Instant>,
    /// Complete passes, and when the first one ended.
    passes: u32,
    first_pass_done: Option<Instant>,
    /// It remembers the store that lost data.
    had_copy: bool,
    /// What came from it that was not known here.
    new_jobs: usize,
}

/// What only the leader of an incomplete store has.
#[derive(Default)]
pub struct Rebuild {
    /// The store that lost data, where anybody knows its name.
    lost_store: Option<String>,
    /// Why it is known to have lost data, and when that was noticed (milliseconds since 1970).
    reason: String,
    since_ms: u64,
    memories: BTreeMap<String, PeerMemory>,
    /// A copy of the lost store was held here, or by whoever handed over theirs.
    copy_available: bool,
    /// An operator takes it as it is.
    settled: bool,
    /// A list of the cloud that has all machines that an earlier leader could know.
    listed: bool,
    /// Machines that it showed as booting: they may be up by now.
    booting: BTreeSet<MachineId>,
    /// Tasks on machines, of jobs that nobody remembers.
    held_tasks: BTreeMap<JobId, BTreeSet<(u32, MachineId)>>,
    /// Such tasks that have ended well.
    held_results: BTreeMap<JobId, BTreeSet<u32>>,
    /// Jobs that were adopted, and those that snapshots brought.
    adopted_jobs: usize,
    snapshot_jobs: usize,
    /// When all was known, and when the first start was allowed.
    pub complete_at: Option<Instant>,
    pub started_at: Option<Instant>,
}

impl Rebuild {
    /// All controllers have handed over their memory or have none, and one of them had a copy.
    fn complete(&self) -> bool {
        self.settled || (self.copy_available && self.memories.values().all(|m| m.passes > 0))
    }

    fn all_queried_twice(&self) -> bool {
        self.settled || self.memories.values().all(|m| m.passes > 1)
    }

    pub fn hold(&mut self, key: &TaskId, machine: &MachineId) {
        let rows = self.held_tasks.entry(key.job.clone()).or_default();
        rows.insert((key.index, machine.clone()));
    }

    /// The task is not on the machine any more.
    pub fn remove_held(&mut self, key: &TaskId, machine: &MachineId) {
        if let Some(rows) = self.held_tasks.get_mut(&key.job) {
            rows.remove(&(key.index, machine.clone()));
            if rows.is_empty() {
                self.held_tasks.remove(&key.job);
            }
        }
    }

    pub fn record_result(&mut self, key: &TaskId) {
        let rows = self.held_results.entry(key.job.clone()).or_default();
        rows.insert(key.index);
    }

    pub fn held_machines(&self) -> BTreeSet<&MachineId> {
        self.held_tasks.values().flatten().map(|(_, m)| m).collect()
    }

    fn held_tasks(&self) -> usize {
        self.held_tasks.values().map(BTreeSet::len).sum()
    }
}

impl LeaderState {
    /// Whether a task is of a job that may have been accepted all the same.
    pub(in crate::core) fn may_be_of_lost_job(&self, known: bool) -> bool {
        !known && self.rebuild.as_ref().is_some_and(|r| !r.settled)
    }
}

impl Core {
    /// Called when a leadership begins, and when the mark appears.
    pub(in crate::core) fn start_rebuild(&mut self) {
        let Some((mark, _)) = &self.store_cache.rebuilding else {
            return;
        };
        let peers = self.settings.peers.iter();
        let memories = peers.map(|p| (p.name.clone(), PeerMemory::default()));
        let own = match &mark.lost_store {
            Some(of) => self.store_integrity.complete_stores.contains(of),
            None => self.store_integrity.had_copy,
        };
        let mut rebuild = Rebuild {
            lost_store: mark.lost_store.clone(),
            reason: mark.reason.clone(),
            since_ms: mark.since_ms,
            memories: memories.collect(),
            copy_available: own,
            ..Rebuild::default()
        };
        let Some(leader) = &mut self.leader else {
            return;
        };
        tracing::warn!(
            term = leader.term,
            "term {}: rebuilding the state service: {}; {} jobs to write back, a copy here: {own}",
            leader.term,
            mark.reason,
            self.store_cache.missing_from_store.len()
        );
        // A leader that knew of no loss told machines to stop what is of no job: it may be of one all the
        // same, and must not be started elsewhere before it is gone.
        for m in leader.machines.values() {
            for key in m.tasks.keys().filter(|k| !self.store_cache.knows(&k.job)) {
                rebuild.hold(key, &m.id);
            }
        }
        leader.rebuild = Some(rebuild);
        // Done rows are written again, whichever of them are stored.
        for (id, job) in self
            .store_cache
            .jobs
            .iter()
            .filter(|(_, j)| j.done.len() > 0)
        {
            if let Some(run) = leader.job_runs.get_mut(id) {
                let rows = (0..job.spec.tasks).filter(|r| job.done.contains(*r));
                run.unpersisted_done = rows.collect();
                leader.writes.progress.insert(id.clone(), leader.since);
            }
        }
        leader.writes.machine_types = !self.machine_types.is_empty();
    }

    /// Until the workers' leases have run out, a machine unknown to everybody may hold tasks.
    fn worker_leases_expired(&self, leader: &LeaderState) -> bool {
        self.now.mono > leader.since + lease_expiry(self.settings.worker_lease)
    }

    /// Whether the leader may speak of what is not final.
    pub(in crate::core) fn may_report_state(&self) -> bool {
        let Some(leader) = &self.leader else {
            return false;
        };
        let complete = |r: &Rebuild| r.complete() || self.worker_leases_expired(leader);
        self.acting() && leader.rebuild.as_ref().is_some_and(complete)
    }

    /// Whether tasks may be started, as far as a loss of data is concerned.
    pub(in crate::core) fn may_start_tasks(&self, leader: &LeaderState) -> bool {
        let Some(r) = &leader.rebuild else {
            return true;
        };
        let up = |id: &MachineId| leader.machines.get(id).is_none_or(|m| m.incarnation > 0);
        let heard = leader.recovery.unresolved == 0 && r.booting.iter().all(up);
        let seen_all = r.complete() && r.listed && heard;
        seen_all || self.worker_leases_expired(leader)
    }

    /// Called in every step of an acting leader.
    pub(in crate::core) fn advance_rebuild(&mut self) {
        let now = self.now.mono;
        if self.store_cache.rebuilding.is_none() {
            if let Some(leader) = &mut self.leader
                && leader.rebuild.take().is_some()
            {
                tracing::warn!(
                    term = leader.term,
                    "term {}: the state service is whole again",
                    leader.term
                );
                leader.scheduler.plan_again = true;
            }
            return;
        }
        if self.leader.as_ref().is_some_and(|l| l.rebuild.is_none()) {
            self.start_rebuild();
        }
        let Some(leader) = &self.leader else { return };
        let starts = self.may_start_tasks(leader);
        let Some(leader) = &mut self.leader else {
            return;
        };
        let (term, since) = (leader.term, leader.since);
        let Some(r) = &mut leader.rebuild else { return };
        if starts && r.started_at.is_none() {
            r.started_at = Some(now);
            leader.scheduler.plan_again = true;
            let took = now.saturating_duration_since(since).as_millis();
            tracing::warn!(
                term = term,
                "term {term}: starts again {took} ms after it began"
            );
        }
        for (peer, m) in &mut r.memories {
            let wait = m.retry_at.is_some_and(|t| now < t);
            let second = m.first_pass_done.is_some_and(|t| now < t + SECOND_PASS);
            if m.in_flight || m.passes > 1 || wait || second || r.settled {
                continue;
            }
            m.in_flight = true;
            let recall = MemoryRequest {
                summary_only: false,
                after: m.after.clone(),
            };
            let peer = peer.clone();
            self.effects.push(Effect::MemoryRequest { peer, recall });
        }
        if r.complete() && r.complete_at.is_none() {
            r.complete_at = Some(now);
            leader.scheduler.plan_again = true;
            let took = now.saturating_duration_since(since).as_millis();
            tracing::warn!(
                term = term,
                "term {term}: all that is remembered is known after {took} ms"
            );
        }
        let w = &leader.writes;
        let written = self.store_cache.missing_from_store.is_empty()
            && w.progress.is_empty()
            && w.ends.is_empty();
        let quiet = r.held_tasks.is_empty() && r.held_results.is_empty();
        let over = r.complete() && r.all_queried_twice() && starts && (quiet || r.settled);
        leader.writes.rebuild_complete = over && written && w.records.all_written();
    }

    /// A page of another controller's memory, or no answer.
    pub(in crate::core) fn take_memory_page(
        &mut self,
        peer: &str,
        asked: &MemoryRequest,
        answer: Option<Box<MemoryPage>>,
    ) {
        let now = self.now.mono;
        let memory = (self.leader.as_mut())
            .and_then(|l| l.rebuild.as_mut())
            .and_then(|r| r.memories.get_mut(peer));
        let Some(m) = memory.filter(|m| m.in_flight && m.after == asked.after) else {
            return;
        };
        m.in_flight = false;
        let Some(mut told) = answer else {
            m.retry_at = Some(now + AGAIN);
            return;
        };
        let last = told.items.last().map(|(k, _)| k.clone());
        match last.filter(|_| told.more) {
            Some(key) => m.after = key,
            // Also of one that has just begun, and remembers nothing.
            None => {
                m.after.clear();
                m.passes += 1;
                m.first_pass_done.get_or_insert(now);
            }
        }
        let items = std::mem::take(&mut told.items);
        let read = items.into_iter().filter_map(|(key, value)| {
            let value = serde_json::from_str(&value);
            if let Err(e) = &value {
                tracing::error!("what {peer} remembers: {key}: {e}");
            }
            Some((key, value.ok()?))
        });
        let jobs = self.join(read.collect());
        self.store_integrity.observe_term(told.term, now);
        let Some(r) = self.leader.as_mut().and_then(|l| l.rebuild.as_mut()) else {
            return;
        };
        let same = match &r.lost_store {
            Some(of) => told.complete_stores.contains(of),
            // A controller that had just begun noticed the loss by what workers have seen, and knows no name:
            // whatever store the others remember is the one.
            None => told.remembers,
        };
        if let Some(m) = r.memories.get_mut(peer) {
            m.new_jobs += jobs;
            m.had_copy = same;
            r.copy_available |= same && m.passes > 0;
        }
        self.check_newer_term();
    }

    /// Takes in what somebody else remembers; says how many jobs, or ends of jobs, were new.
    fn join(&mut self, items: Vec<(String, serde_json::Value)>) -> usize {
        let now = self.now.mono;
        let new = self.store_cache.remember(items);
        self.sync_job_runs();
        for (id, rows) in new.done {
            for row in rows {
                let job = id.clone();
                self.task_completed(&TaskId { job, index: row }, None);
            }
        }
        for id in new.machines {
            let Some(value) = self.store_cache.machines.get(&id).cloned() else {
                continue;
            };
            let Some(leader) = &mut self.leader else {
                break;
            };
            if leader.machines.get(&id).is_some() || leader.deleted_machines.contains(&id) {
                continue;
            }
            tracing::info!(machine = %id, "machine {id}: another controller remembers it");
            leader.expect_machine(&id, &value, now);
            leader.writes.records.add(&id, value);
        }
        new.jobs
    }

    /// Whether starts wait for a list of the cloud that can be asked for now, the last one having been
    /// asked for too early.
    pub(in crate::core) fn machine_list_due(
        &self,
        leader: &LeaderState,
        asked: Option<Instant>,
    ) -> bool {
        let from = leader.since + self.settings.machine_list_lag * 2 + LIST_MARGIN;
        let waits = leader.rebuild.as_ref().is_some_and(|r| !r.listed);
        waits && self.now.mono >= from && asked.is_none_or(|t| t < from)
    }

    /// A list of the cloud was read while a store is rebuilt: whatever it shows may hold tasks.
    pub(in crate::core) fn observe_machine_list(
        &mut self,
        sent: Instant,
        unknown: Vec<(MachineId, MachineValue)>,
        booting: Vec<MachineId>,
    ) {
        let now = self.now.mono;
        // The list tells of a time at most twice its lag ago, and all that the lost store could have
        // had on record was rented before this leadership began.
        let after = self.settings.machine_list_lag * 2 + LIST_MARGIN;
        let Some(leader) = &mut self.leader else {
            return;
        };
        let since = leader.since;
        let Some(r) = &mut leader.rebuild else { return };
        let first = !r.listed;
        r.listed |= sent >= since + after;
        if first {
            r.booting.extend(booting);
            for (id, value) in unknown {
                leader.expect_machine(&id, &value, now);
            }
        }
    }

    /// A job has become known that tasks on machines are of.
    pub(in crate::core) fn adopt_job(&mut self, id: &JobId) {
        let now = self.now.mono;
        if !self.store_cache.knows(id) {
            return;
        }
        let Some(leader) = &mut self.leader else {
            return;
        };
        let Some(r) = &mut leader.rebuild else { return };
        let held = r.held_tasks.remove(id).unwrap_or_default();
        let done = r.held_results.remove(id).unwrap_or_default();
        if held.is_empty() && done.is_empty() {
            return;
        }
        r.adopted_jobs += 1;
        tracing::warn!(job = %id, "job {id}: known again, with {} tasks on machines and {} done", held.len(), done.len());
        let job = self.store_cache.jobs.get(id);
        let mut adopted = Vec::new();
        for (row, machine) in held {
            let key = TaskId {
                job: id.clone(),
                index: row,
            };
            let Some(m) = leader.machines.get_mut(&machine) else {
                continue;
            };
            let Some(t) = m.tasks.get_mut(&key) else {
                continue;
            };
            let run = leader.job_runs.get_mut(id);
            match (job, run) {
                (Some(job), Some(run))
                    if row < job.spec.tasks && run.ending.is_none() && !job.done.contains(row) =>
                {
                    t.resources = job.spec.resources;
                    t.team = self.settings.team_index(&job.spec.team);
                    run.tasks.assign(row, &machine);
                    adopted.push((key, machine));
                }
                _ => {
                    t.stop(StopReason::Over, now);
                    m.needs_push = true;
                }
            }
        }
        leader.scheduler.plan_again = true;
        for (key, machine) in adopted {
            self.stop_duplicates(&key, &machine);
        }
        for row in done {
            let job = id.clone();
            self.task_completed(&TaskId { job, index: row }, None);
        }
    }

    /// Held tasks are of some team, and nothing tells of which: they count towards each of them with
    /// all that their machines have.
    pub(in crate::core) fn held_resources(&self, leader: &LeaderState) -> Resources {
        let mut room = Resources::default();
        let machines = leader.rebuild.iter().flat_map(Rebuild::held_machines);
        for m in machines.filter_map(|id| leader.machines.get(id)) {
            if let Some(t) = self.type_of(&m.machine_type) {
                room.add(&t.room());
            }
        }
        room
    }

    /// The changes that bring one owed job back: its key, or the next parts of a large one.
    pub(in crate::core) fn missing_job_changes(
        &self,
        id: &JobId,
        most: usize,
    ) -> Option<(Vec<Change>, WriteOp)> {
        let value = self.store_cache.job_value(id)?;
        let bytes = self.settings.max_value_bytes / 16 * 15;
        let size = to_json(&value).len();
        let owed = WriteOp::Owed(id.clone());
        let (JobValue::Live { spec, submitted_ms }
        | JobValue::Awaiting {
            dependent: spec,
            submitted_ms,
        }) = &value
        else {
            return Some((vec![Change::put(job_key(id), json(&value))], owed));
        };
        if size <= bytes {
            return Some((vec![Change::put(job_key(id), json(&value))], owed));
        }
        let text = String::from_utf8(to_json(spec)).unwrap_or_default();
        let texts = large_jobs::cut(&text, bytes);
        let leader = self.leader.as_ref()?;
        // This leadership's own writing of it.
        let stem = leader.term;
        let from = leader
            .writes
            .missing_parts_written
            .get(id)
            .copied()
            .unwrap_or(0);
        if from < texts.len() {
            let next = texts.iter().enumerate().skip(from).take(most.max(1));
            let part = |(n, text): (usize, &String)| {
                let key = part_key(id, stem, n as u32);
                Change::put(key, json(&PartValue { text: text.clone() }))
            };
            let changes: Vec<Change> = next.map(part).collect();
            let upto = from + changes.len();
            return Some((changes, WriteOp::OwedParts(id.clone(), upto)));
        }
        let value = JobValue::Parted {
            parts: texts.len() as u32,
            stem,
            submitted_ms: *submitted_ms,
        };
        Some((vec![Change::put(job_key(id), json(&value))], owed))
    }

    /// For operators' words, which only the leader can follow.
    fn not_the_leader(&self) -> Answer {
        let leader = self.leader_name().unwrap_or("nobody");
        Answer::error(409, &format!("not the leader; that is {leader}"))
    }

    /// An operator takes the store as it is: what nobody remembers is stopped, and unknown from now
    /// on.
    pub(in crate::core) fn settle(&mut self, ticket: Ticket) {
        let now = self.now.mono;
        if !self.acting() {
            return self.answer(ticket, self.not_the_leader());
        }
        let Some(leader) = &mut self.leader else {
            return;
        };
        let Some(r) = &mut leader.rebuild else {
            return self.answer(ticket, Answer::error(409, "nothing is being rebuilt"));
        };
        r.settled = true;
        let held = std::mem::take(&mut r.held_tasks);
        r.held_results.clear();
        let stopped: usize = held.values().map(BTreeSet::len).sum();
        tracing::warn!(
            term = leader.term,
            "term {}: settled by an operator; {stopped} tasks of unknown jobs stop",
            leader.term
        );
        for (job, rows) in held {
            for (row, machine) in rows {
                let key = TaskId {
                    job: job.clone(),
                    index: row,
                };
                if let Some(m) = leader.machines.get_mut(&machine)
                    && let Some(t) = m.tasks.get_mut(&key)
                {
                    t.stop(StopReason::Over, now);
                    m.needs_push = true;
                }
            }
        }
        let body = serde_json::json!({"settled": true, "tasks_stopped": stopped});
        self.answer(ticket, Answer::new(200, to_json(&body)));
    }

    /// A snapshot, or a page of one, offered as one more memory; `store` is the one that it is of, and
    /// `last` says that with this page it is whole.
    pub(in crate::core) fn merge_snapshot(
        &mut self,
        ticket: Ticket,
        store: &str,
        last: bool,
        items: Vec<(String, serde_json::Value)>,
    ) {
        if !self.acting() {
            return self.answer(ticket, self.not_the_leader());
        }
        let rebuild = self.leader.as_ref().and_then(|l| l.rebuild.as_ref());
        let Some(r) = rebuild else {
            let text = "nothing is being rebuilt: the state service has lost nothing that is known";
            return self.answer(ticket, Answer::error(409, text));
        };
        if r.lost_store.as_deref().is_some_and(|of| of != store) {
            let text = format!(
                "a snapshot of {store}, and what lost data is {}",
                r.lost_store.as_deref().unwrap_or("?")
            );
            return self.answer(ticket, Answer::error(409, &text));
        }
        let new = self.join(items);
        if let Some(r) = self.leader.as_mut().and_then(|l| l.rebuild.as_mut()) {
            r.snapshot_jobs += new;
            r.copy_available |= last;
        }
        let body = serde_json::json!({"new_jobs": new});
        self.answer(ticket, Answer::new(200, to_json(&body)));
    }

    /// For the status view.
    pub(in crate::core) fn rebuild_status(&self) -> serde_json::Value {
        if let Some(loss) = &self.store_integrity.data_loss {
            return serde_json::json!({"lost": loss.reason, "waits": "for a new leader"});
        }
        let Some((mark, _)) = &self.store_cache.rebuilding else {
            return serde_json::Value::Null;
        };
        let Some((leader, r)) = (self.leader.as_ref()).and_then(|l| Some((l, l.rebuild.as_ref()?)))
        else {
            return serde_json::json!({"lost": mark.reason, "since_ms": mark.since_ms});
        };
        let memories = r.memories.iter().map(|(name, m)| {
            let standing = match (m.passes, m.had_copy) {
                (0, _) => "not handed over yet",
                (_, true) => "handed over",
                (_, false) => "remembers nothing of it",
            };
            serde_json::json!({"node": name, "standing": standing, "new_jobs": m.new_jobs})
        });
        let held = r.held_tasks.iter().flat_map(|(job, rows)| {
            rows.iter()
                .map(move |(row, m)| format!("{job}/{row} on {m}"))
        });
        let done = r
            .held_results
            .iter()
            .flat_map(|(job, rows)| rows.iter().map(move |row| format!("{job}/{row} done")));
        let waits = if self.may_start_tasks(leader) {
            None
        } else if !r.complete() {
            Some("for what other controllers remember")
        } else if !r.listed {
            Some("for a list of all machines")
        } else {
            Some("for machines that may hold tasks")
        };
        serde_json::json!({
            "lost": r.reason, "of": r.lost_store, "since_ms": r.since_ms, "a_copy_is_known": r.copy_available,
            "complete": r.complete(), "starts_wait": waits,
            "jobs_to_write": self.store_cache.missing_from_store.len(),
            "memories": memories.collect::<Vec<_>>(),
            "from_snapshots": r.snapshot_jobs, "adopted": r.adopted_jobs,
            "held_tasks": r.held_tasks(), "held_results": r.held_results.values().map(BTreeSet::len).sum::<usize>(),
            "held": held.chain(done).take(MAX_LISTED_TASKS).collect::<Vec<_>>(),
        })
    }

    /// What monitoring is told: losses noticed, jobs to write back, tasks held.
    pub(in crate::core) fn rebuild_metrics(&self) -> [f64; 4] {
        let r = self.leader.as_ref().and_then(|l| l.rebuild.as_ref());
        [
            self.store_integrity.losses as f64,
            f64::from(u8::from(self.store_is_incomplete())),
            self.store_cache.missing_from_store.len() as f64,
            r.map_or(0, Rebuild::held_tasks) as f64,
        ]
    }
}

impl LeaderState {
    /// A machine that may hold tasks and is on nobody's record here.
    fn expect_machine(&mut self, id: &MachineId, value: &MachineValue, now: Instant) {
        let since = self.since;
        let m = self.machines.get_or_add(id, || {
            let mut m = Machine::new(
                id.clone(),
                &value.machine_type,
                &value.zone,
                value.spot,
                now,
            );
            m.addr = value.addr.clone();
            m
        });
        if m.incarnation > 0 {
            return;
        }
        // Nobody but this leader has answered it since.
        m.lease_renewed = since;
        self.recovery.unresolved += usize::from(!std::mem::replace(&mut m.unresolved, true));
        self.recovery.to_probe.push(id.clone());
    }
}
