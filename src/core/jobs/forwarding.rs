//! Requests forwarded to other controllers: to the leader or, while this controller cannot reach the
//! state service, to any controller that may reach it.

use crate::core::jobs::answers::state_body;
use crate::core::jobs::requests::{UserAction, UserRequest};
use crate::core::{Core, Effect, Ticket};
use crate::http::Response;
use crate::peer::{PeerAnswer, PeerRequest};
use std::time::Duration;

/// Time without a response after which the state service counts as unreachable. While it responds, the
/// lease is renewed more often than this.
const STORE_STALE_AFTER: Duration = Duration::from_millis(1100);
/// Interval between probes of peers while the state service is unreachable.
const PROBE_INTERVAL: Duration = Duration::from_millis(1000);
/// Job id used in probes, which no user can have submitted. Only a controller that can read the state
/// answers a query for it.
const PROBE_JOB: &str = "wk-0";
/// Time for which a peer that gave no answer is sent no requests.
const UNREACHABLE_PEER_PAUSE: Duration = Duration::from_secs(1);

impl Core {
    /// Forwards a request to the leader or, while the state service is unreachable, to a controller
    /// that may serve it. If no controller is left to ask, this node serves the request as far as it
    /// can.
    pub(in crate::core) fn forward_request(&mut self, mut request: UserRequest) {
        let Some(peer) = self.forwarding_target(&request) else {
            return self.serve_without_leader(request);
        };
        let message = request.action.peer_request();
        request.tried.push(peer.clone());
        let ticket = request.ticket;
        self.forwards.insert(ticket, request);
        self.effects.push(Effect::Forward {
            ticket,
            peer,
            request: message,
        });
    }

    /// Returns the peer that a request is forwarded to next.
    fn forwarding_target(&self, request: &UserRequest) -> Option<String> {
        let now = self.now.mono;
        let stale = self.store_is_stale();
        // A submission does not need the leader, and must not wait until the leader's absence is certain.
        let is_submission = matches!(request.action, UserAction::Submit(_));
        if is_submission && !stale && self.relay.leader_is_late(self.store_cache.term, now) {
            return None;
        }
        let leader = self.leader_name();
        let reachable = |name: &str| self.unreachable_peers.get(name).is_none_or(|t| now >= *t);
        let peers = self.settings.peers.iter().map(|p| p.name.as_str());
        peers
            .filter(|name| (stale || leader == Some(*name)) && reachable(name))
            .filter(|name| !request.tried.iter().any(|tried| tried == name))
            // The presumed leader comes first.
            .min_by_key(|name| leader != Some(*name))
            .map(str::to_string)
    }

    /// Handles a peer's answer to a forwarded request, or `None` if it gave none.
    pub(in crate::core) fn forward_outcome(
        &mut self,
        ticket: Ticket,
        peer: String,
        answer: Option<PeerAnswer>,
    ) {
        if answer.is_some() {
            self.peer_reachable_at = self.now.mono;
        }
        let Some(request) = self.forwards.remove(&ticket) else {
            return;
        };
        match answer {
            None => {
                let until = self.now.mono + UNREACHABLE_PEER_PAUSE;
                self.unreachable_peers.insert(peer, until);
            }
            Some(answer) => {
                self.unreachable_peers.remove(&peer);
                if answer.status != 503 {
                    let answer = self.user_answer(&request.action, answer);
                    return self.answer(ticket, answer);
                }
            }
        }
        // Meanwhile this node may have become the leader itself.
        if self.is_active_leader() && !self.store_is_stale() {
            self.serve_user(request);
        } else {
            self.forward_request(request);
        }
    }

    /// Converts a peer's answer to the response for the user.
    fn user_answer(&self, action: &UserAction, peer_answer: PeerAnswer) -> Response {
        let PeerAnswer {
            status,
            state,
            done,
            running,
            retry_after,
            ..
        } = peer_answer;
        let body = match (state, action) {
            (Some(state), _) => state_body(action.job_id(), state, done, running),
            // A peer's answer does not contain the reason; this node can usually determine it as well.
            (None, UserAction::Submit(spec)) if status == 422 => self.rejection_reason(spec).body,
            (None, _) => crate::wire::error_body("see the status"),
        };
        let mut answer = Response::new(status, body);
        answer.retry_after = retry_after;
        answer
    }

    /// Returns whether the state service counts as unreachable: it has not responded for `STORE_STALE_AFTER`.
    pub(in crate::core) fn store_is_stale(&self) -> bool {
        self.now.mono > self.store_reachable_at + STORE_STALE_AFTER
    }

    /// Probes the peers in turn while the state service is unreachable, to find out whether others can
    /// serve requests.
    pub(in crate::core) fn probe_next_peer(&mut self) {
        let now = self.now.mono;
        let probed_lately = self
            .last_peer_probe
            .is_some_and(|at| now < at + PROBE_INTERVAL);
        if !self.store_is_stale() || probed_lately {
            return;
        }
        let peers = self.settings.peers.len();
        if peers == 0 {
            return;
        }
        self.peer_probes += 1;
        let next = self.peer_probes as usize % peers;
        let peer = self.settings.peers[next].name.clone();
        self.last_peer_probe = Some(now);
        self.effects.push(Effect::Forward {
            // Counted down from the maximum, far from the tickets of requests.
            ticket: Ticket::MAX - self.peer_probes,
            peer,
            request: PeerRequest::Show(PROBE_JOB.into()),
        });
    }
}
