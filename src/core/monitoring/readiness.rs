//! The readiness check, by which a load balancer decides whether this node receives requests.

use crate::core::{Core, Effect};
use std::time::Duration;

/// Time without contact after which the store or the other controllers count as unreachable.
const UNREACHABLE_AFTER: Duration = Duration::from_secs(3);

impl Core {
    /// Updates the result of the readiness check. A node that reaches neither the store nor any other controller is not
    /// ready. A node that reaches another controller forwards requests to it, and stays ready even if the other one
    /// cannot serve them: removing all nodes from the load balancer would only lengthen the outage.
    pub(in crate::core) fn update_readiness(&mut self) {
        let ready =
            self.store_cache.loaded && (self.settings.peers.is_empty() || !self.is_disconnected());
        if self.ready != Some(ready) {
            self.ready = Some(ready);
            tracing::info!(ready, "readiness changed");
            self.effects.push(Effect::Ready(ready));
        }
    }

    /// Returns whether neither the store nor any other controller is reachable.
    fn is_disconnected(&self) -> bool {
        let now = self.now.mono;
        now > self.store_reachable_at + UNREACHABLE_AFTER
            && now > self.peer_reachable_at + UNREACHABLE_AFTER
    }
}
