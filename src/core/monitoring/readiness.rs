//! What the readiness check answers, by which a load balancer decides whether this node gets requests.

use crate::core::{Core, Effect};
use std::time::Duration;

/// A service that was not reached for longer than this counts as unreachable.
const UNREACHABLE_AFTER: Duration = Duration::from_secs(3);

impl Core {
    /// A node that reaches neither the store nor any other controller cannot serve requests. One that reaches others passes
    /// requests on; and when the others cannot serve either, leaving the balancer would only lengthen the outage.
    pub(in crate::core) fn update_readiness(&mut self) {
        let ready =
            self.store_cache.loaded && (self.settings.peers.is_empty() || !self.is_disconnected());
        if self.ready != Some(ready) {
            self.ready = Some(ready);
            tracing::info!(ready, "readiness changed");
            self.effects.push(Effect::Ready(ready));
        }
    }

    /// Neither the store nor any other controller is reachable.
    fn is_disconnected(&self) -> bool {
        let now = self.now.mono;
        now > self.store_reachable_at + UNREACHABLE_AFTER
            && now > self.peer_reachable_at + UNREACHABLE_AFTER
    }
}
