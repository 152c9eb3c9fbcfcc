//! Status of a rebuild for the status view and for monitoring.

use super::{HeldTask, PeerCopy, Rebuild};
use crate::core::Core;
use crate::core::leadership::state::LeaderState;
use serde_json::{Value, json};
use std::collections::BTreeSet;

/// Maximum number of held tasks and results that the status view lists.
const MAX_LISTED_TASKS: usize = 100;

/// Metrics of data loss in the store.
pub struct RebuildMetrics {
    /// Number of losses of data that this process has detected.
    pub losses: f64,
    /// 1 while the store is incomplete.
    pub incomplete: f64,
    /// Number of jobs in this process's copy that the store has lost.
    pub missing_jobs: f64,
    /// Number of tasks on machines of jobs that are in no controller's copy.
    pub held_tasks: f64,
}

impl Core {
    /// Returns the rebuild's part of the status view; null if the store is complete.
    pub(in crate::core) fn rebuild_status(&self) -> Value {
        if let Some(loss) = &self.store_integrity.data_loss {
            return json!({"lost": loss.reason, "waits": "for a new leader"});
        }
        let Some((mark, _)) = &self.store_cache.rebuilding else {
            return Value::Null;
        };
        let leader = self.leader.as_ref();
        let Some((leader, rebuild)) = leader.and_then(|l| Some((l, l.rebuild.as_ref()?))) else {
            return json!({"lost": mark.reason, "since_ms": mark.since_ms});
        };
        json!({
            "lost": rebuild.reason, "of": rebuild.lost_store, "since_ms": rebuild.since_ms,
            "a_copy_is_known": rebuild.copy_available,
            "complete": rebuild.is_complete(), "starts_wait": self.starts_wait_for(leader, rebuild),
            "jobs_to_write": self.store_cache.missing_from_store.len(),
            "memories": rebuild.peer_copies.iter().map(peer_copy_status).collect::<Vec<_>>(),
            "from_snapshots": rebuild.snapshot_jobs, "adopted": rebuild.adopted_jobs,
            "held_tasks": rebuild.held_task_count(),
            "held_results": rebuild.held_results.values().map(BTreeSet::len).sum::<usize>(),
            "held": rebuild.listed_held_tasks(),
        })
    }

    /// Returns what the start of tasks waits for, if anything.
    fn starts_wait_for(&self, leader: &LeaderState, rebuild: &Rebuild) -> Option<&'static str> {
        if self.may_start_tasks(leader) {
            None
        } else if !rebuild.is_complete() {
            Some("for what other controllers remember")
        } else if !rebuild.machine_list_complete {
            Some("for a list of all machines")
        } else {
            Some("for machines that may hold tasks")
        }
    }

    /// Returns the metrics of data loss.
    pub(in crate::core) fn rebuild_metrics(&self) -> RebuildMetrics {
        let rebuild = self.leader.as_ref().and_then(|l| l.rebuild.as_ref());
        RebuildMetrics {
            losses: self.store_integrity.losses as f64,
            incomplete: f64::from(u8::from(self.store_is_incomplete())),
            missing_jobs: self.store_cache.missing_from_store.len() as f64,
            held_tasks: rebuild.map_or(0, Rebuild::held_task_count) as f64,
        }
    }
}

impl Rebuild {
    /// Returns lines for held tasks and then for held results, up to `MAX_LISTED_TASKS`.
    fn listed_held_tasks(&self) -> Vec<String> {
        let held = self.held_tasks.iter().flat_map(|(job, tasks)| {
            let line = move |task: &HeldTask| format!("{job}/{} on {}", task.index, task.machine);
            tasks.iter().map(line)
        });
        let done = self.held_results.iter().flat_map(|(job, tasks)| {
            let line = move |index: &u32| format!("{job}/{index} done");
            tasks.iter().map(line)
        });
        held.chain(done).take(MAX_LISTED_TASKS).collect()
    }
}

/// Returns the progress of reading a controller's copy, for the status view.
fn peer_copy_status((peer, copy): (&String, &PeerCopy)) -> Value {
    let standing = match (copy.passes, copy.had_copy) {
        (0, _) => "not handed over yet",
        (_, true) => "handed over",
        (_, false) => "remembers nothing of it",
    };
    json!({"node": peer, "standing": standing, "new_jobs": copy.new_jobs})
}
