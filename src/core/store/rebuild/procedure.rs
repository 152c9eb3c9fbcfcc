//! Course of a rebuild: its begin, the conditions for queries and task starts, and its end.

use super::{PeerCopy, Rebuild};
use crate::core::Core;
use crate::core::leadership::state::LeaderState;
use crate::core::machines::machine::lease_expiry;
use crate::job::{MachineId, TaskId};

impl Core {
    /// Starts a rebuild if the store is marked as incomplete. Called when a leadership begins, and when the mark
    /// appears.
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
        // Before it knew of the loss, this leader may have ordered machines to stop tasks of unknown jobs. Such a
        // task may be of a lost job, and must not be started elsewhere until it has stopped.
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

    /// Schedules all done tasks to be written again, whether or not they are stored.
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

    /// Returns whether all workers' leases from before this leadership have expired. Until then, a machine that no
    /// controller knows may have tasks.
    fn worker_leases_expired(&self, leader: &LeaderState) -> bool {
        self.now.mono > leader.since + lease_expiry(self.settings.worker_lease)
    }

    /// Returns whether the leader may report states that are not final.
    pub(in crate::core) fn may_report_state(&self) -> bool {
        let Some(leader) = &self.leader else {
            return false;
        };
        let complete = |r: &Rebuild| r.is_complete() || self.worker_leases_expired(leader);
        self.is_active_leader() && leader.rebuild.as_ref().is_some_and(complete)
    }

    /// Returns whether a rebuild, if one is in progress, allows tasks to be started.
    pub(in crate::core) fn may_start_tasks(&self, leader: &LeaderState) -> bool {
        let Some(rebuild) = &leader.rebuild else {
            return true;
        };
        let up = |id: &MachineId| leader.machines.get(id).is_none_or(|m| m.incarnation > 0);
        let all_resolved = leader.recovery.is_complete() && rebuild.booting_machines.iter().all(up);
        let all_known = rebuild.is_complete() && rebuild.machine_list_complete && all_resolved;
        all_known || self.worker_leases_expired(leader)
    }

    /// Advances the rebuild. Called in every step of an active leader.
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

    /// Ends the rebuild after the mark of an incomplete store was deleted.
    fn finish_rebuild(&mut self) {
        if let Some(leader) = &mut self.leader
            && leader.rebuild.take().is_some()
        {
            tracing::warn!(term = leader.term, "store rebuild finished");
            leader.scheduler.request_plan();
        }
    }

    /// Records the time from which tasks may be started.
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

    /// Records the time at which all copies had been merged.
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

    /// Updates whether the mark may be deleted: all copies are merged, all data is written back, and no task is held.
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
