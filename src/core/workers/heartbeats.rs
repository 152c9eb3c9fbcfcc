//! Acceptance of heartbeats: which heartbeats are applied, which of them renew their worker's lease, and how the
//! others are refused.
//!
//! - `observation`: application of an accepted heartbeat to the machine's record and its tasks.
//! - `task_transitions`: state transitions of tasks that are live, exited, completed, lost or duplicated.
//! - `failures`: failures of tasks, attributed to their job or their machine.

mod failures;
mod observation;
mod task_transitions;

use crate::core::leadership::state::LeaderState;
use crate::core::machines::machine::{Machine, TOKEN_EPOCH_BITS};
use crate::core::store::cache::MachineValue;
use crate::core::{Core, Ticket};
use crate::http::Response;
use crate::job::MachineId;
use crate::wire::{Heartbeat, Redirect, to_json};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Instant;

/// Maximum length of a machine id in bytes.
const MAX_MACHINE_ID_LENGTH: usize = 100;

/// Returns the response that redirects a worker to another controller.
pub(in crate::core) fn redirect_to(controller: &str) -> Response {
    let leader = Some(controller);
    Response::new(421, to_json(&Redirect { leader }))
}

fn no_leader() -> Response {
    Response::busy("no leader here", 1)
}

impl LeaderState {
    /// Processes a heartbeat that shows no change of its machine, as most heartbeats do. Returns `None` if the
    /// heartbeat must be compared with the machine's record.
    fn accept_unchanged(
        &mut self,
        heartbeat: &Heartbeat,
        via: Option<&Arc<str>>,
        now: Instant,
    ) -> Option<Result<MachineId, Response>> {
        let id = &heartbeat.machine;
        let term = self.term;
        let machine = self.machines.get_mut_untracked(id)?;
        if machine.unresolved || !machine.is_unchanged_by(heartbeat, term) {
            return None;
        }
        machine.sequence = heartbeat.sequence;
        machine.last_heartbeat = now;
        machine.lease_renewed = now;
        self.record_heartbeat(via, now);
        self.record_route(id, via);
        if via.is_none()
            && let Some(controller) = self.next_reassignment(id)
        {
            return Some(Err(redirect_to(&controller)));
        }
        Some(Ok(id.clone()))
    }

    /// Adds the machine that sent this heartbeat, if it is not known.
    fn add_unexpected_machine(&mut self, heartbeat: &Heartbeat, now: Instant) {
        let id = &heartbeat.machine;
        self.machines.get_or_add(id, || {
            tracing::info!(machine = %id, "unexpected machine added");
            Machine::new(
                id.clone(),
                &heartbeat.machine_type,
                &heartbeat.zone,
                heartbeat.spot,
                now,
            )
        });
    }

    /// Returns whether a follower has relayed this heartbeat again because the response to the first copy was lost:
    /// it is the newest heartbeat that was applied, and the same follower relayed it before. From any other
    /// controller it is a late copy.
    fn is_relayed_again(&self, heartbeat: &Heartbeat, via: Option<&Arc<str>>) -> bool {
        via.is_some()
            && self.machines.get(&heartbeat.machine).is_some_and(|m| {
                (m.incarnation, m.sequence) == (heartbeat.incarnation, heartbeat.sequence)
                    && m.via.as_ref() == via
                    && !m.lease_expired
            })
    }
}

impl Core {
    /// Processes a heartbeat from a worker. Returns the ticket and the machine if the response is due at the end of
    /// the step. Otherwise, the heartbeat has been answered or waits for the leader.
    pub(in crate::core) fn receive_heartbeat(
        &mut self,
        ticket: Ticket,
        heartbeat: Box<Heartbeat>,
    ) -> Option<(Ticket, MachineId)> {
        if !self.is_active_leader() {
            if self.is_well_formed(&heartbeat) {
                self.relay_heartbeat(ticket, heartbeat);
            } else {
                self.answer(ticket, Response::error(400, "malformed heartbeat"));
            }
            return None;
        }
        match self.accept_heartbeat(*heartbeat, None) {
            Ok(machine) => Some((ticket, machine)),
            Err(answer) => {
                self.answer(ticket, answer);
                None
            }
        }
    }

    /// Returns whether a worker can have sent this heartbeat. Any other heartbeat must change nothing: in particular,
    /// a token with a term that never existed would be taken for a sign that the store has lost data.
    fn is_well_formed(&self, heartbeat: &Heartbeat) -> bool {
        let id = &heartbeat.machine;
        !id.is_empty()
            && id.len() <= MAX_MACHINE_ID_LENGTH
            && id.bytes().all(|b| b.is_ascii_graphic() && b != b'/')
            && heartbeat.addr.parse::<SocketAddrV4>().is_ok()
            && heartbeat.incarnation > 0
            && self.is_plausible_term(heartbeat.fencing_token >> TOKEN_EPOCH_BITS)
    }

    /// Processes a heartbeat on the leader. `via` is the follower that relayed it, or `None` if the worker sent it
    /// to this controller.
    ///
    /// # Errors
    /// Returns the response for the worker if the heartbeat is refused or the worker is redirected.
    pub(in crate::core) fn accept_heartbeat(
        &mut self,
        heartbeat: Heartbeat,
        via: Option<&Arc<str>>,
    ) -> Result<MachineId, Response> {
        let now = self.now.mono;
        if !self.is_well_formed(&heartbeat) {
            return Err(Response::error(400, "malformed heartbeat"));
        }
        self.observe_fencing_token(heartbeat.fencing_token);
        let leader = self.leader.as_mut().ok_or_else(no_leader)?;
        let id = heartbeat.machine.clone();
        if leader.deleted_machines.contains(&id) {
            // Sent before the machine was deleted, and delayed in transit.
            return Err(Response::busy("this machine is gone", 30));
        }
        if let Some(accepted) = leader.accept_unchanged(&heartbeat, via, now) {
            return accepted;
        }
        // A heartbeat from an unknown machine may be a late copy, from a machine that no longer exists. The response
        // carries this term's token, and the next heartbeat proves that the machine exists. While the store is
        // rebuilt after a loss of data, the machine is added at once, as every task that may be on it counts.
        let token = heartbeat.fencing_token;
        let proves_term = token >= leader.term << TOKEN_EPOCH_BITS;
        if !proves_term && leader.rebuild.is_none() && leader.machines.get(&id).is_none() {
            return Ok(id);
        }
        leader.add_unexpected_machine(&heartbeat, now);
        let relayed_again = leader.is_relayed_again(&heartbeat, via);
        if !relayed_again && !self.apply_heartbeat(&id, heartbeat) {
            return Err(self.reject_stale_heartbeat(&id));
        }
        self.renew_lease(&id, proves_term, via)?;
        Ok(id)
    }

    /// Refuses a heartbeat that is older than the newest one of its machine, or from an earlier incarnation.
    fn reject_stale_heartbeat(&mut self, id: &MachineId) -> Response {
        self.suspect_restart(id);
        Response::busy("an older report", 1)
    }

    /// Handles a heartbeat with the numbers of an earlier one: the worker may have restarted. A probe of the machine
    /// determines whether it has.
    pub(in crate::core) fn suspect_restart(&mut self, id: &MachineId) {
        let now = self.now.mono;
        if let Some(machine) = self.machine_mut(id)
            && !machine.unresolved
        {
            // A restarted worker has a lease of its own, and may have any task and token that a copy of an earlier
            // command gave it.
            machine.lease_renewed = machine.lease_renewed.max(now);
        }
        self.probe_for_restart(id);
    }

    /// Renews the worker's lease, as its heartbeat will be answered. Returns an error response if the heartbeat must
    /// not be answered with commands.
    fn renew_lease(
        &mut self,
        id: &MachineId,
        proves_term: bool,
        via: Option<&Arc<str>>,
    ) -> Result<(), Response> {
        let now = self.now.mono;
        let lease = self.settings.worker_lease;
        let leader = self.leader.as_mut().ok_or_else(no_leader)?;
        let machine = (leader.machines.get_mut(id)).ok_or_else(no_leader)?;
        let unresolved = machine.unresolved;
        if unresolved && !proves_term {
            // Tasks of earlier terms are not started again until it is certain what is on this machine. If responses
            // do not reach the machine, that is certain once its lease has expired, counted from the last response.
            // Responses therefore stop after half the lease time.
            let since = *machine.unproven_since.get_or_insert(now);
            if now > since + lease / 2 {
                return Err(Response::busy("responses do not reach this machine", 1));
            }
        }
        machine.lease_renewed = now;
        if !machine.recorded {
            // The machine must be in the store before it gets its first task: a later leader must know every machine
            // that may have tasks.
            let value = MachineValue::from(&*machine);
            leader.writes.records.add(id, value);
        }
        if proves_term || !unresolved {
            // A heartbeat without this term's token may be of any age: it shows which tasks may be on the machine, but
            // not that the worker is alive.
            leader.record_heartbeat(via, now);
        }
        leader.record_route(id, via);
        Ok(())
    }

    /// Redirects the caller to the leader, or refuses the request if the leader is not known.
    pub(in crate::core) fn redirect(&mut self, ticket: Ticket) {
        let own_name = self.settings.name.as_str();
        // While the state service is unreachable, the known leader may be outdated.
        let stale = self.store_is_stale();
        let leader = self.leader_name().filter(|n| *n != own_name && !stale);
        let answer = leader.map_or_else(no_leader, redirect_to);
        self.answer(ticket, answer);
    }
}
