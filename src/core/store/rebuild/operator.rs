//! An operator's commands for an incomplete store: accept it as it is, or merge a snapshot.

use super::HeldTask;
use crate::core::leadership::state::LeaderState;
use crate::core::machines::placement::StopReason;
use crate::core::{Core, Ticket};
use crate::http::Response;
use crate::job::{JobId, TaskId};
use crate::wire::to_json;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

impl Core {
    /// Returns the response to an operator's command on a controller that is not the leader.
    fn not_the_leader(&self) -> Response {
        let leader = self.leader_name().unwrap_or("nobody");
        Response::error(409, &format!("not the leader; that is {leader}"))
    }

    /// Accepts the store as it is: tasks of jobs that are in no controller's copy are stopped, and those jobs are
    /// unknown from now on.
    pub(in crate::core) fn accept_incomplete_store(&mut self, ticket: Ticket) {
        let now = self.now.mono;
        if !self.is_active_leader() {
            return self.answer(ticket, self.not_the_leader());
        }
        let Some(leader) = &mut self.leader else {
            return;
        };
        let Some(rebuild) = &mut leader.rebuild else {
            return self.answer(ticket, Response::error(409, "nothing is being rebuilt"));
        };
        rebuild.settled = true;
        rebuild.held_results.clear();
        let held = std::mem::take(&mut rebuild.held_tasks);
        let stopped: usize = held.values().map(BTreeSet::len).sum();
        tracing::warn!(
            term = leader.term,
            stopped,
            "rebuild settled by an operator"
        );
        leader.stop_held_tasks(held, now);
        let body = serde_json::json!({"settled": true, "tasks_stopped": stopped});
        self.answer(ticket, Response::new(200, to_json(&body)));
    }

    /// Merges a page of a snapshot like a page of a peer's copy; `store` is the identity of the snapshot's store, and
    /// `last` marks the snapshot's last page. A page is refused for now while more ends of jobs wait to be written than the
    /// copy may keep.
    pub(in crate::core) fn merge_snapshot(
        &mut self,
        ticket: Ticket,
        store: &str,
        last: bool,
        items: Vec<(String, serde_json::Value)>,
    ) {
        if !self.is_active_leader() {
            return self.answer(ticket, self.not_the_leader());
        }
        let rebuild = self.leader.as_ref().and_then(|l| l.rebuild.as_ref());
        let Some(rebuild) = rebuild else {
            let text = "nothing is being rebuilt: the state service has lost nothing that is known";
            return self.answer(ticket, Response::error(409, text));
        };
        if let Some(lost) = rebuild.lost_store.as_deref().filter(|lost| *lost != store) {
            let text = format!(
                "this is a snapshot of store {store}, but the store that lost data is {lost}"
            );
            return self.answer(ticket, Response::error(409, &text));
        }
        if self.store_cache.ended_jobs.is_over_limit() {
            let answer = Response::busy(
                "the ends of jobs that wait to be written fill the memory",
                5,
            );
            return self.answer(ticket, answer);
        }
        let new = self.merge_peer_items(items);
        if let Some(rebuild) = self.leader.as_mut().and_then(|l| l.rebuild.as_mut()) {
            rebuild.snapshot_jobs += new;
            rebuild.copy_available |= last;
        }
        let body = serde_json::json!({"new_jobs": new});
        self.answer(ticket, Response::new(200, to_json(&body)));
    }
}

impl LeaderState {
    /// Stops the tasks of jobs that stay unknown.
    fn stop_held_tasks(&mut self, held: BTreeMap<JobId, BTreeSet<HeldTask>>, now: Instant) {
        for (job, tasks) in held {
            for HeldTask { index, machine } in tasks {
                let job = job.clone();
                if let Some(task_machine) = self.machines.get_mut(&machine)
                    && let Some(task) = task_machine.tasks.get_mut(&TaskId { job, index })
                {
                    task.stop(StopReason::Obsolete, now);
                    task_machine.needs_push = true;
                }
            }
        }
    }
}
