//! Accepting heartbeats: which ones count, which of them renew their worker's lease, and what the
//! others are answered.
//!
//! - `observation`: an accepted heartbeat applied to the machine's record and to its tasks.
//! - `task_transitions`: what follows for a task that is live, exited, completed, lost or duplicated.
//! - `failures`: failures of tasks, held against their job or their machine.

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

/// The longest machine id that is accepted, in bytes.
const MAX_MACHINE_ID_LENGTH: usize = 100;

/// The answer that sends a worker to another controller.
pub(in crate::core) fn redirect_to(controller: &str) -> Response {
    let leader = Some(controller);
    Response::new(421, to_json(&Redirect { leader }))
}

fn no_leader() -> Response {
    Response::busy("no leader here", 1)
}

impl LeaderState {
    /// Processes a heartbeat that shows no change of its machine, which is most of them. `None`: it has to be
    /// compared with the machine's record.
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

    /// Whether a follower relays this heartbeat once more, as our answer to its first copy was lost: what it
    /// says is known, and nothing newer is. Through any other controller it is a late copy.
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
    /// Processes a heartbeat from a worker. A ticket that is returned is answered at the end of the step; any
    /// other was answered or waits for the leader.
    pub(in crate::core) fn receive_heartbeat(
        &mut self,
        ticket: Ticket,
        heartbeat: Box<Heartbeat>,
    ) -> Option<(Ticket, MachineId)> {
        if !self.acting() {
            if self.is_well_formed(&heartbeat) {
                self.relay_heartbeat(ticket, heartbeat);
            } else {
                self.answer(ticket, Response::error(400, "malformed report"));
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

    /// Whether a worker can have sent this. What no worker sends changes nothing: a token of a term that never
    /// was, above all, would pass for the sign of a store that has lost data.
    fn is_well_formed(&self, heartbeat: &Heartbeat) -> bool {
        let id = &heartbeat.machine;
        !id.is_empty()
            && id.len() <= MAX_MACHINE_ID_LENGTH
            && id.bytes().all(|b| b.is_ascii_graphic() && b != b'/')
            && heartbeat.addr.parse::<SocketAddrV4>().is_ok()
            && heartbeat.incarnation > 0
            && self.plausible_term(heartbeat.fencing_token >> TOKEN_EPOCH_BITS)
    }

    /// Processes, as the leader, a heartbeat that was sent to this controller or relayed by the follower `via`.
    ///
    /// # Errors
    /// The answer for the worker, where it is not given commands.
    pub(in crate::core) fn accept_heartbeat(
        &mut self,
        heartbeat: Heartbeat,
        via: Option<&Arc<str>>,
    ) -> Result<MachineId, Response> {
        let now = self.now.mono;
        if !self.is_well_formed(&heartbeat) {
            return Err(Response::error(400, "malformed report"));
        }
        self.observe_fencing_token(heartbeat.fencing_token);
        let leader = self.leader.as_mut().ok_or_else(no_leader)?;
        let id = heartbeat.machine.clone();
        if leader.deleted_machines.contains(&id) {
            // Sent before the machine was deleted, and delayed on the way.
            return Err(Response::busy("this machine is gone", 30));
        }
        if let Some(accepted) = leader.accept_unchanged(&heartbeat, via, now) {
            return accepted;
        }
        // A heartbeat of a machine that is not known may be a late copy, of one that is long gone. The answer
        // carries this term's token; the next heartbeat proves that the machine is there. Where the store has
        // lost data, every task that may be there counts at once.
        let token = heartbeat.fencing_token;
        let proves_term = token >= leader.term << TOKEN_EPOCH_BITS;
        if !proves_term && leader.rebuild.is_none() && leader.machines.get(&id).is_none() {
            return Ok(id);
        }
        leader.add_unexpected_machine(&heartbeat, now);
        let relayed_again = leader.is_relayed_again(&heartbeat, via);
        if !relayed_again && !self.apply_heartbeat(&id, heartbeat) {
            return Err(self.reject_stale_heartbeat(&id, token));
        }
        self.renew_lease(&id, proves_term, via)?;
        Ok(id)
    }

    /// A heartbeat is older than what is known of its machine, or of an earlier incarnation: a call to the
    /// machine finds out which.
    fn reject_stale_heartbeat(&mut self, id: &MachineId, token: u64) -> Response {
        let now = self.now.mono;
        if let Some(machine) = self.machine_mut(id)
            && token < machine.highest_token
            && !machine.unresolved
        {
            // If it is of another incarnation, that one has its own lease.
            machine.lease_renewed = machine.lease_renewed.max(now);
        }
        self.probe_for_restart(id);
        Response::busy("an older report", 1)
    }

    /// The heartbeat will be answered, which renews the worker's lease.
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
            // Tasks of earlier terms wait for what it has. If no answer of ours reaches it, its lease runs out
            // counted from the last answer: so there has to be a last one.
            let since = *machine.unproven_since.get_or_insert(now);
            if now > since + lease / 2 {
                return Err(Response::busy("this machine does not take its answers", 1));
            }
        }
        machine.lease_renewed = now;
        if !machine.recorded {
            // Before its first task: a later leader must know every place a task may be.
            let value = MachineValue::from(&*machine);
            leader.writes.records.add(id, value);
        }
        if proves_term || !unresolved {
            // A heartbeat without this term's token may be of any age: it shows what may be on the machine,
            // and not that its worker is alive.
            leader.record_heartbeat(via, now);
        }
        leader.record_route(id, via);
        Ok(())
    }

    /// Redirects the caller to the leader, if the leader is known.
    pub(in crate::core) fn redirect(&mut self, ticket: Ticket) {
        let own_name = self.settings.name.as_str();
        // Without the state service, what is known of the leader may be old.
        let stale = self.store_is_stale();
        let leader = self.leader_name().filter(|n| *n != own_name && !stale);
        let answer = leader.map_or_else(no_leader, redirect_to);
        self.answer(ticket, answer);
    }
}
