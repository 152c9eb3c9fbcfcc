//! Merges the memories of other controllers, and snapshots, of a store that lost data into this copy.

use super::{PeerCopy, Rebuild};
use crate::core::{Core, Effect};
use crate::job::{MachineId, TaskId};
use crate::peer::cache_exchange::{CachePage, CacheRequest};
use std::time::{Duration, Instant};

/// After no answer, a controller is asked again.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// All are asked once more, so long after they were asked first: what was in flight to the lost
/// store (its calls take 1.5 s at the most) is in their memory then.
const SECOND_PASS_DELAY: Duration = Duration::from_secs(2);

impl Core {
    /// Asks each controller for the next page of its memory, until it was read twice.
    pub(super) fn request_cache_pages(&mut self) {
        let now = self.now.mono;
        let Some(rebuild) = self.rebuild_mut() else {
            return;
        };
        if rebuild.settled {
            return;
        }
        let mut requests = Vec::new();
        for (peer, copy) in &mut rebuild.peer_copies {
            if !copy.request_is_due(now) {
                continue;
            }
            copy.in_flight = true;
            let request = CacheRequest {
                summary_only: false,
                after: copy.after.clone(),
            };
            let peer = peer.clone();
            requests.push(Effect::CacheRequest { peer, request });
        }
        self.effects.extend(requests);
    }

    fn rebuild_mut(&mut self) -> Option<&mut Rebuild> {
        self.leader.as_mut()?.rebuild.as_mut()
    }

    /// A page of another controller's memory, or no answer.
    pub(in crate::core) fn handle_cache_page(
        &mut self,
        peer: &str,
        asked: &CacheRequest,
        answer: Option<Box<CachePage>>,
    ) {
        let now = self.now.mono;
        let copy = self.rebuild_mut().and_then(|r| r.peer_copies.get_mut(peer));
        let Some(copy) = copy.filter(|m| m.in_flight && m.after == asked.after) else {
            return;
        };
        copy.in_flight = false;
        let Some(mut page) = answer else {
            copy.retry_at = Some(now + RETRY_DELAY);
            return;
        };
        copy.advance(&page, now);
        let items = std::mem::take(&mut page.items);
        let jobs = self.merge_peer_items(read_items(peer, items));
        self.store_integrity.observe_term(page.term, now);
        if let Some(rebuild) = self.rebuild_mut() {
            rebuild.record_page(peer, &page, jobs);
        }
        self.check_newer_term();
    }

    /// Merges another controller's memory. Returns how many jobs, or ends of jobs, were new.
    pub(super) fn merge_peer_items(&mut self, items: Vec<(String, serde_json::Value)>) -> usize {
        let new = self.store_cache.merge_items(items);
        self.sync_job_runs();
        for (id, tasks) in new.done {
            for index in tasks {
                let job = id.clone();
                self.task_completed(&TaskId { job, index }, None);
            }
        }
        for id in new.machines {
            self.add_machine_from_peer(&id);
        }
        new.jobs
    }

    /// Another controller remembers a machine that was not known here.
    fn add_machine_from_peer(&mut self, id: &MachineId) {
        let now = self.now.mono;
        let Some(value) = self.store_cache.machines.get(id).cloned() else {
            return;
        };
        let Some(leader) = &mut self.leader else {
            return;
        };
        if leader.machines.get(id).is_some() || leader.deleted_machines.contains(id) {
            return;
        }
        tracing::info!(machine = %id, "machine known from another controller");
        leader.add_unresolved_machine(id, &value, now);
        leader.writes.records.add(id, value);
    }
}

impl PeerCopy {
    fn request_is_due(&self, now: Instant) -> bool {
        let waits = self.retry_at.is_some_and(|at| now < at);
        let between_passes = self
            .first_pass_done
            .is_some_and(|at| now < at + SECOND_PASS_DELAY);
        !self.in_flight && self.passes < 2 && !waits && !between_passes
    }

    /// A page has come: the next one follows, or a pass is complete.
    fn advance(&mut self, page: &CachePage, now: Instant) {
        let last = page.items.last().map(|(key, _)| key.clone());
        match last.filter(|_| page.more) {
            Some(key) => self.after = key,
            // Also of one that has just begun, and remembers nothing.
            None => {
                self.after.clear();
                self.passes += 1;
                self.first_pass_done.get_or_insert(now);
            }
        }
    }
}

impl Rebuild {
    /// Notes what a controller's page has brought, and whether it is of the store that lost data.
    fn record_page(&mut self, peer: &str, page: &CachePage, new_jobs: usize) {
        let had_copy = match &self.lost_store {
            Some(lost) => page.complete_stores.contains(lost),
            // A controller that had just begun noticed the loss by what workers have seen, and knows no name:
            // whatever store the others remember is the one.
            None => page.has_state,
        };
        if let Some(copy) = self.peer_copies.get_mut(peer) {
            copy.new_jobs += new_jobs;
            copy.had_copy = had_copy;
            self.copy_available |= had_copy && copy.passes > 0;
        }
    }
}

/// The readable items of a page; the others are logged and passed over.
fn read_items(peer: &str, items: Vec<(String, String)>) -> Vec<(String, serde_json::Value)> {
    let read = items.into_iter().filter_map(|(key, text)| {
        let value = serde_json::from_str(&text);
        if let Err(error) = &value {
            tracing::error!(peer, key, %error, "unreadable value in a controller's memory");
        }
        Some((key, value.ok()?))
    });
    read.collect()
}
