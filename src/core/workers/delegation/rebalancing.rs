//! Load balancing: moves workers between controllers so that each serves its share of them.

use crate::core::Core;
use crate::core::leadership::state::LeaderState;
use crate::job::MachineId;
use burlusher_membership::share::{self, Move, Server};
use burlusher_membership::view::{Capabilities, MemberState};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time between two comparisons of the controllers' loads. A redirected worker reports to its new
/// controller within half a second.
const REBALANCE_INTERVAL: Duration = Duration::from_millis(1000);
/// At most one in this many of all workers is moved at a time, or `MIN_MOVE_LIMIT` workers if that is more.
const MOVE_LIMIT_DIVISOR: u32 = 20;
/// Lower bound on the number of workers that may be moved at a time.
const MIN_MOVE_LIMIT: u32 = 4;
/// Weight of the leader's share of the workers, relative to 1 for each other controller, if at least two
/// others serve workers. The leader needs its CPU time for work that no other controller can do.
const LEADER_WEIGHT: f64 = 0.25;

impl LeaderState {
    /// Returns the controller that a worker reporting to the leader is redirected to, if it is to be moved.
    pub(in crate::core) fn next_reassignment(&mut self, id: &MachineId) -> Option<String> {
        let to = share::next_target(&mut self.delegates.own_reassignments)?;
        if let Some(m) = self.machines.get_mut_untracked(id) {
            m.via = Some(to.as_str().into());
        }
        Some(to)
    }

    /// Replaces the pending reassignments by these moves.
    fn set_reassignments(&mut self, moves: Vec<Move>, own_name: &str) {
        self.delegates.own_reassignments.clear();
        for delegate in self.delegates.by_name.values_mut() {
            delegate.reassignments.clear();
        }
        for Move { from, to, count } in moves {
            tracing::debug!(workers = count, from, to, "reassigning workers");
            if from == own_name {
                self.delegates.own_reassignments.push((to, count));
            } else if let Some(delegate) = self.delegates.by_name.get_mut(from.as_str()) {
                delegate.reassignments.push((to, count));
            }
        }
    }
}

impl Core {
    pub(super) fn rebalance_workers_if_due(&mut self) {
        let now = self.now.mono;
        let Some(leader) = &mut self.leader else {
            return;
        };
        let last = leader.delegates.last_rebalance;
        if last.is_some_and(|at| now < at + REBALANCE_INTERVAL) {
            return;
        }
        leader.delegates.last_rebalance = Some(now);
        let servers = self.servers();
        let total: u32 = servers.iter().map(|s| s.load).sum();
        let moves = share::plan_moves(&servers, (total / MOVE_LIMIT_DIVISOR).max(MIN_MOVE_LIMIT));
        if let Some(leader) = &mut self.leader {
            leader.set_reassignments(moves, &self.settings.name);
        }
    }

    /// Returns the controllers that may serve workers, each with the number of workers that it serves. The
    /// leader comes first.
    fn servers(&self) -> Vec<Server> {
        let Some(leader) = &self.leader else {
            return Vec::new();
        };
        let loads = self.workers_by_server(leader);
        let load = |name: &str| loads.get(name).copied().unwrap_or(0);
        let names = leader.delegates.by_name.keys();
        let others: Vec<Server> = names
            .filter(|name| self.can_serve_workers(name))
            .map(|name| Server {
                name: name.to_string(),
                load: load(name),
                weight: 1.0,
            })
            .collect();
        let own_name = self.settings.name.as_str();
        let leader_server = Server {
            name: own_name.to_string(),
            load: load(own_name),
            weight: if others.len() > 1 { LEADER_WEIGHT } else { 1.0 },
        };
        std::iter::once(leader_server).chain(others).collect()
    }

    fn can_serve_workers(&self, name: &str) -> bool {
        let member = self.members.get(name);
        self.members.state(name, self.now.mono) == MemberState::Alive
            && member.is_some_and(|m| m.capabilities.contains(Capabilities::SERVES_WORKERS))
    }

    /// Returns, for each controller, the number of workers whose newest heartbeat came through it recently.
    fn workers_by_server<'a>(&'a self, leader: &'a LeaderState) -> BTreeMap<&'a str, u32> {
        let now = self.now.mono;
        let recent = self.settings.heartbeat_interval * 2;
        let mut loads = BTreeMap::new();
        for m in leader.machines.values() {
            if m.incarnation > 0 && now.saturating_duration_since(m.last_heartbeat) < recent {
                let server = m.via.as_deref().unwrap_or(&self.settings.name);
                *loads.entry(server).or_default() += 1;
            }
        }
        loads
    }
}
