//! Merging of other controllers' copies, and of snapshots, of a store that lost data into this copy.

use super::{PeerCopy, Rebuild};
use crate::core::{Core, Effect};
use crate::job::{MachineId, TaskId};
use crate::peer::cache_exchange::{CachePage, CacheRequest};
use std::time::{Duration, Instant};

/// Delay before a controller that gave no response is asked again.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Delay between reading a controller's copy for the first and the second time. Calls to the store take at most 1.5 s,
/// so by then the copy contains the changes that were in flight when the store lost data.
const SECOND_PASS_DELAY: Duration = Duration::from_secs(2);

impl Core {
    /// Requests the next page of each controller's copy, until the copy has been read twice.
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

    /// Merges a page of another controller's copy; `None` if there was no response.
    pub(in crate::core) fn handle_cache_page(
        &mut self,
        peer: &str,
        request: &CacheRequest,
        response: Option<Box<CachePage>>,
    ) {
        let now = self.now.mono;
        let copy = self.rebuild_mut().and_then(|r| r.peer_copies.get_mut(peer));
        let Some(copy) = copy.filter(|c| c.in_flight && c.after == request.after) else {
            return;
        };
        copy.in_flight = false;
        let Some(mut page) = response else {
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

    /// Merges items of another controller's copy, or of a snapshot. Returns how many jobs, or ends of jobs, were new.
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

    /// Adds a machine that is known only from another controller's copy.
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

    /// Advances to the next page, or completes a pass if this page is the last one.
    fn advance(&mut self, page: &CachePage, now: Instant) {
        let last = page.items.last().map(|(key, _)| key.clone());
        match last.filter(|_| page.more) {
            Some(key) => self.after = key,
            // A controller that has just started, and has no copy, completes a pass too.
            None => {
                self.after.clear();
                self.passes += 1;
                self.first_pass_done.get_or_insert(now);
            }
        }
    }
}

impl Rebuild {
    /// Records how many jobs were new in a page, and whether the page is of a copy of the store that lost data.
    fn record_page(&mut self, peer: &str, page: &CachePage, new_jobs: usize) {
        let had_copy = match &self.lost_store {
            Some(lost) => page.complete_stores.contains(lost),
            // The loss was detected by a controller that had just started, from terms that workers had seen, so the
            // identity of the lost store is unknown. Any copy that another controller has is assumed to be of that
            // store.
            None => page.has_state,
        };
        if let Some(copy) = self.peer_copies.get_mut(peer) {
            copy.new_jobs += new_jobs;
            copy.had_copy = had_copy;
            self.copy_available |= had_copy && copy.passes > 0;
        }
    }
}

/// Parses the items of a page; unreadable ones are logged and ignored.
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
