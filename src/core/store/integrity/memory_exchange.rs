//! What controllers ask each other about their copies of the store: summaries of an empty one, and whole copies
//! for a rebuild.

use super::is_due;
use crate::core::{Core, Effect, Ticket};
use crate::http::Response;
use crate::peer::memory_exchange::{MemoryPage, MemoryRequest, PAGE_BYTES, encode_memory_page};
use std::time::Duration;

/// Between two requests to a controller for its summary of an empty store.
const MEMORY_REQUEST_INTERVAL: Duration = Duration::from_millis(200);

impl Core {
    /// Asks the controllers that have not read the store, as far as is known, what they remember of an empty one.
    pub(super) fn request_peer_summaries(&mut self) {
        let now = self.now.mono;
        let integrity = &mut self.store_integrity;
        let undecided = integrity.empty_since.is_some() && integrity.data_loss.is_none();
        if !undecided || !is_due(integrity.memories_requested, MEMORY_REQUEST_INTERVAL, now) {
            return;
        }
        integrity.memories_requested = Some(now);
        let peers = self.settings.peers.iter().map(|p| &p.name);
        for peer in peers.filter(|name| !integrity.peer_has_read_store(name)) {
            let request = MemoryRequest {
                summary_only: true,
                after: String::new(),
            };
            let peer = peer.clone();
            self.effects.push(Effect::MemoryRequest { peer, request });
        }
    }

    /// Answers another controller's request with a page of this controller's memory.
    pub(in crate::core) fn answer_memory_request(
        &mut self,
        ticket: Ticket,
        request: MemoryRequest,
    ) {
        let cache = &self.store_cache;
        let remembers = cache.term > 0 || !cache.jobs.is_empty() || !cache.finished.is_empty();
        let (items, more) = if request.summary_only {
            (Vec::new(), false)
        } else {
            cache.memory(&request.after, PAGE_BYTES)
        };
        let items = items.into_iter().map(|(k, v)| (k, v.to_string()));
        let page = MemoryPage {
            store_loaded: cache.loaded,
            complete_stores: self.store_integrity.complete_stores.clone(),
            remembers,
            term: self.newest_term(),
            more,
            items: items.collect(),
        };
        let body = encode_memory_page(&page);
        self.answer(ticket, Response::new(200, body));
    }

    /// Another controller's answer to a request for its memory, or that there was none.
    pub(in crate::core) fn memory_request_answered(
        &mut self,
        peer: String,
        asked: MemoryRequest,
        answer: Option<Box<MemoryPage>>,
    ) {
        if answer.is_some() {
            self.peer_reachable_at = self.now.mono;
        }
        match answer {
            Some(summary) if asked.summary_only => {
                self.store_integrity.peer_memories.insert(peer, *summary);
            }
            None if asked.summary_only => {}
            answer => self.take_memory_page(&peer, &asked, answer),
        }
    }
}
