//! Requests of the controllers for each other's copies of the store: summaries while the store is empty, and whole
//! copies for a rebuild.

use super::is_due;
use crate::core::{Core, Effect, Ticket};
use crate::http::Response;
use crate::peer::cache_exchange::{CachePage, CacheRequest, PAGE_BYTES, encode_cache_page};
use std::time::Duration;

/// Interval between two requests to a controller for a summary while the store is empty.
const SUMMARY_REQUEST_INTERVAL: Duration = Duration::from_millis(200);

impl Core {
    /// Requests a summary, while the store is empty, from each controller that is not known to have read the store.
    pub(super) fn request_peer_summaries(&mut self) {
        let now = self.now.mono;
        let integrity = &mut self.store_integrity;
        let undecided = integrity.empty_since.is_some() && integrity.data_loss.is_none();
        if !undecided || !is_due(integrity.summaries_requested, SUMMARY_REQUEST_INTERVAL, now) {
            return;
        }
        integrity.summaries_requested = Some(now);
        let peers = self.settings.peers.iter().map(|p| &p.name);
        for peer in peers.filter(|name| !integrity.peer_has_read_store(name)) {
            let request = CacheRequest {
                summary_only: true,
                after: String::new(),
            };
            let peer = peer.clone();
            self.effects.push(Effect::CacheRequest { peer, request });
        }
    }

    /// Responds to another controller with a summary of this copy of the store, or with a page of it.
    pub(in crate::core) fn serve_cache_request(&mut self, ticket: Ticket, request: &CacheRequest) {
        let cache = &self.store_cache;
        let has_state = cache.term > 0 || !cache.jobs.is_empty() || !cache.ended_jobs.is_empty();
        let (items, more) = if request.summary_only {
            (Vec::new(), false)
        } else {
            cache.export_page(&request.after, PAGE_BYTES)
        };
        let items = items.into_iter().map(|(k, v)| (k, v.to_string()));
        let page = CachePage {
            store_loaded: cache.loaded,
            complete_stores: self.store_integrity.complete_stores.clone(),
            has_state,
            term: self.newest_term(),
            more,
            items: items.collect(),
        };
        let body = encode_cache_page(&page);
        self.answer(ticket, Response::new(200, body));
    }

    /// Processes another controller's response to a request for its copy of the store; `None` if it gave none.
    pub(in crate::core) fn handle_cache_response(
        &mut self,
        peer: String,
        request: &CacheRequest,
        response: Option<Box<CachePage>>,
    ) {
        if response.is_some() {
            self.peer_reachable_at = self.now.mono;
        }
        match response {
            Some(summary) if request.summary_only => {
                self.store_integrity.peer_summaries.insert(peer, *summary);
            }
            None if request.summary_only => {}
            response => self.handle_cache_page(&peer, request, response),
        }
    }
}
