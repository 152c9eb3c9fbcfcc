//! Requests forwarded to other controllers: to the leader, or, while this one does not reach the
//! state service, to any that may.

use crate::core::jobs::answers::state_body;
use crate::core::jobs::requests::{UserAction, UserRequest};
use crate::core::{Core, Effect, Ticket};
use crate::http::Response;
use crate::peer::{PeerAnswer, PeerRequest};
use std::time::Duration;

/// The state service counts as not reached after this long without an answer: the lease is renewed
/// more often while it answers.
const STORE_STALE_AFTER: Duration = Duration::from_millis(1100);
/// Without the state service, a peer is probed this often.
const PROBE_INTERVAL: Duration = Duration::from_millis(1000);
/// A job id that no user can have submitted: answered only by a controller that can read the state.
const PROBE_JOB: &str = "wk-0";
/// A peer that gave no answer gets no requests for this long.
const UNREACHABLE_PEER_PAUSE: Duration = Duration::from_secs(1);

impl Core {
    /// Forwards a request to the leader; without the state service, to a controller that may serve
    /// it. If no controller is left to ask, this node serves it as far as it can.
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

    /// The peer that a request is forwarded to next.
    fn forwarding_target(&self, request: &UserRequest) -> Option<String> {
        let now = self.now.mono;
        let stale = self.store_is_stale();
        // A submission needs no leader, and cannot wait to find out that there is none.
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
            // The one that leads, as far as known, comes first.
            .min_by_key(|name| leader != Some(*name))
            .map(str::to_string)
    }

    /// Takes a peer's answer to a forwarded request, or `None` if it gave none.
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
        if self.acting() && !self.store_is_stale() {
            self.serve_user(request);
        } else {
            self.forward_request(request);
        }
    }

    /// A peer's answer as its user gets it.
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
            // The leader's reason does not come along; this node mostly knows it too.
            (None, UserAction::Submit(spec)) if status == 422 => self.rejection_reason(spec).body,
            (None, _) => crate::wire::error_body("see the status"),
        };
        let mut answer = Response::new(status, body);
        answer.retry_after = retry_after;
        answer
    }

    /// The state service has not answered for longer than it ever takes.
    pub(in crate::core) fn store_is_stale(&self) -> bool {
        self.now.mono > self.store_reachable_at + STORE_STALE_AFTER
    }

    /// Without the state service, this node finds out whether others serve.
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
            // Far from the tickets of requests.
            ticket: Ticket::MAX - self.peer_probes,
            peer,
            request: PeerRequest::Show(PROBE_JOB.into()),
        });
    }
}
