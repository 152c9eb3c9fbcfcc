//! The course of a rebuild: its begin, what waits for it, and its end.

use super::{PeerCopy, Rebuild};
use crate::core::Core;
use crate::core::leadership::state::LeaderState;
use crate::core::machines::machine::lease_expiry;
use crate::job::{MachineId, TaskId};

impl Core {
    /// Called when a leadership begins, and when the mark appears.
    pub(in crate::core) fn start_rebuild(&mut self) {
        let Some((mark, _)) = &self.store_cache.rebuilding else {
            return;
        };
        let peers = self.settings.peers.iter();
        let peer_copies = peers.map(|p| (p.name.clone(), PeerCopy::default()));
        let own_copy = match &mark.lost_store {
            Some(lost) => self.store_integrity.complete_stores.contains(lost),
            None => self.store_integrity.had_copy,
        };
        let mut rebuild = Rebuild {
            lost_store: mark.lost_store.clone(),
            reason: mark.reason.clone(),
            since_ms: mark.since_ms,
            peer_copies: peer_copies.collect(),
            copy_available: own_copy,
            ..Rebuild::default()
        };
        let Some(leader) = &mut self.leader else {
            return;
        };
        tracing::warn!(
            term = leader.term,
            reason = mark.reason,
            missing_jobs = self.store_cache.missing_from_store.len(),
            own_copy,
            "store rebuild started"
        );
        // A leader that knew of no loss may have ordered machines to stop what is of no job: it may be of one
        // all the same, and must not be started elsewhere before it is gone.
        for machine in leader.machines.values() {
            let unknown = |task: &&TaskId| !self.store_cache.is_known_job(&task.job);
            for task in machine.tasks.keys().filter(unknown) {
                rebuild.hold_task(task, &machine.id);
            }
        }
        leader.rebuild = Some(rebuild);
        leader.writes.machine_types = !self.machine_types.is_empty();
        self.rewrite_progress();
    }

    /// Done tasks are written again, whichever of them are stored.
    fn rewrite_progress(&mut self) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let started_jobs = self.store_cache.jobs.iter();
        for (id, job) in started_jobs.filter(|(_, job)| job.done.len() > 0) {
            if let Some(run) = leader.job_runs.get_mut(id) {
                let tasks = 0..job.spec.tasks;
                run.unpersisted_done = tasks.filter(|t| job.done.contains(*t)).collect();
                leader.writes.progress.insert(id.clone(), leader.since);
            }
        }
    }

    /// Until the workers' leases have expired, a machine unknown to all controllers may hold tasks.
    fn worker_leases_expired(&self, leader: &LeaderState) -> bool {
        self.now.mono > leader.since + lease_expiry(self.settings.worker_lease)
    }

    /// Whether the leader may answer with states that are not final.
    pub(in crate::core) fn may_report_state(&self) -> bool {
        let Some(leader) = &self.leader else {
            return false;
        };
 let complete = |r: &Rebuild| r.is_complete() || self.worker_leases_expired(leader); self.is_active_leader() && leader.rebuild.as_ref().is_some_and(complete) 
    }

    /// Whether tasks may be started, as far as a loss of data is concerned.
    pub(in crate::core) fn may_start_tasks(&self, leader: &LeaderState) -> bool {
        let Some(rebuild) = &leader.rebuild else {
            return true;
        };
        let up = |id: &MachineId| leader.machines.get(id).is_none_or(|m| m.incarnation > 0);
        let all_resolved = leader.recovery.is_complete() && rebuild.booting_machines.iter().all(up);
        let all_known = rebuild.is_complete() && rebuild.machine_list_complete && all_resolved;
        all_known || self.worker_leases_expired(leader)
    }

    /// Called in every step of an acting leader.
    pub(in crate::core) fn advance_rebuild(&mut self) {
        if self.store_cache.rebuilding.is_none() {
            return self.finish_rebuild();
        }
        if self.leader.as_ref().is_some_and(|l| l.rebuild.is_none()) {
            self.start_rebuild();
        }
        let Some(leader) = &self.leader else { return };
        let may_start = self.may_start_tasks(leader);
        self.record_starts_allowed(may_start);
        self.request_cache_pages();
        self.record_completeness();
        self.update_rebuild_complete(may_start);
    }

    /// The mark of an incomplete store is gone.
    fn finish_rebuild(&mut self) {
        if let Some(leader) = &mut self.leader
            && leader.rebuild.take().is_some()
        {
            tracing::warn!(term = leader.term, "store rebuild finished");
            leader.scheduler.request_plan();
        }
    }

    /// Notes when tasks may be started for the first time.
    fn record_starts_allowed(&mut self, may_start: bool) {
        let now = self.now.mono;
        let Some(leader) = &mut self.leader else {
            return;
        };
        if let Some(rebuild) = &mut leader.rebuild
            && may_start
            && rebuild.starts_allowed_at.is_none()
        {
            rebuild.starts_allowed_at = Some(now);
            leader.scheduler.request_plan();
            let took_ms = now.saturating_duration_since(leader.since).as_millis() as u64;
            tracing::warn!(term = leader.term, took_ms, "tasks may be started again");
        }
    }

    /// Notes when all that controllers remember is known.
    fn record_completeness(&mut self) {
        let now = self.now.mono;
        let Some(leader) = &mut self.leader else {
            return;
        };
        if let Some(rebuild) = &mut leader.rebuild
            && rebuild.is_complete()
            && rebuild.complete_at.is_none()
        {
            rebuild.complete_at = Some(now);
            leader.scheduler.request_plan();
            let took_ms = now.saturating_duration_since(leader.since).as_millis() as u64;
            tracing::warn!(
                term = leader.term,
                took_ms,
                "all copies of the store joined"
            );
        }
    }

    /// The mark may be deleted once all is known, written back, and nothing is held.
    fn update_rebuild_complete(&mut self, may_start: bool) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let Some(rebuild) = &leader.rebuild else {
            return;
        };
        let writes = &leader.writes;
        let all_written = self.store_cache.missing_from_store.is_empty()
            && writes.progress.is_empty()
            && writes.ends.is_empty()
            && writes.records.all_written();
        let all_known = rebuild.is_complete() && rebuild.all_read_twice();
        let nothing_held = rebuild.has_no_held_tasks() || rebuild.settled;
        leader.writes.rebuild_complete = all_known && may_start && nothing_held && all_written;
    }
}
