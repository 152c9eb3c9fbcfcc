//! Direct calls to workers, with commands that should not wait for the next heartbeat, and their outcomes.

use super::{MAX_DIRECT_CALLS, count_starts};
use crate::core::command::PendingCall;
use crate::core::machines::failure_detection::MAX_UNANSWERED_PROBES;
use crate::core::machines::machine::{DirectCall, Machine};
use crate::core::{CallId, Core, Effect, Work};
use crate::fault_injection::{Safeguard, is_enabled};
use crate::job::MachineId;
use crate::wire::{DirectCommands, Heartbeat, TaskCommand};
use crate::worker_client::{DirectOutcome, DirectRequest};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

/// Delay until the next call after an unanswered call to an unresolved machine (one that may hold tasks of an
/// earlier term).
const PROBE_RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Delay after a worker has refused commands until it is called with commands again.
const REFUSED_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Delay after an unanswered call until the worker is called with commands again.
const FAILED_RETRY_PAUSE: Duration = Duration::from_secs(3);

/// Kinds of commands that a direct call may carry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallScope {
    /// All commands.
    All,
    /// Only `Stop` commands, to a machine that sends no heartbeats but may still receive calls.
    StopsOnly,
}

impl CallScope {
    /// Returns the number of calls in flight at which no further call is made. It is lower for silent machines, as
    /// a call to a dead machine occupies its thread for long.
    fn max_calls_in_flight(self) -> usize {
        match self {
            CallScope::All => MAX_DIRECT_CALLS,
            CallScope::StopsOnly => MAX_DIRECT_CALLS / 4,
        }
    }
}

impl Machine {
    /// Returns whether the worker may be called with commands now.
    fn accepts_direct_commands(&self, now: Instant) -> bool {
        self.incarnation > 0
            && !self.lease_expired
            && self.no_command_in_flight()
            && self.unconfirmed_token.is_none()
            && now >= self.direct_calls.retry_not_before
    }

    /// Returns which commands a call may carry now: all if the machine sends heartbeats, and otherwise only stops, if
    /// it has obsolete tasks. Returns `None` if no call may be made.
    fn call_scope(&self, now: Instant, max_silence: Duration) -> Option<CallScope> {
        if !self.accepts_direct_commands(now) {
            return None;
        }
        if now.saturating_duration_since(self.last_heartbeat) < max_silence {
            return Some(CallScope::All);
        }
        let has_obsolete = self.tasks.values().any(|task| task.is_obsolete());
        (has_obsolete && is_enabled(Safeguard::StopOnSilentMachines))
            .then_some(CallScope::StopsOnly)
    }
}

impl Core {
    /// Calls workers with the commands that should not wait for their next heartbeat, and uses the remaining calls to
    /// probe machines.
    pub(in crate::core) fn send_direct_commands(&mut self) {
        let Some(not_after) = self.leadership_valid_until() else {
            return;
        };
        self.refresh_snapshot();
        for (id, scope) in self.machines_to_call() {
            let Some(leader) = &self.leader else { return };
            if leader.direct_calls_in_flight >= scope.max_calls_in_flight() {
                break;
            }
            self.call_with_commands(&id, scope, not_after);
        }
        self.probe_machines();
    }

    /// Returns the machines with commands that should not wait, those that send heartbeats first.
    fn machines_to_call(&mut self) -> Vec<(MachineId, CallScope)> {
        let now = self.now.mono;
        let max_silence = self.settings.heartbeat_interval * 2;
        let Some(leader) = &mut self.leader else {
            return Vec::new();
        };
        let (mut live, mut silent) = (Vec::new(), Vec::new());
        for machine in leader.machines.with_pending_push() {
            match machine.call_scope(now, max_silence) {
                Some(CallScope::All) => live.push((machine.id.clone(), CallScope::All)),
                Some(CallScope::StopsOnly) => {
                    silent.push((machine.id.clone(), CallScope::StopsOnly));
                }
                None => {}
            }
        }
        live.append(&mut silent);
        live
    }

    /// Calls a machine's worker with the commands for it, if there are any.
    fn call_with_commands(&mut self, id: &MachineId, scope: CallScope, not_after: Instant) {
        let Some((addr, body)) = self.direct_commands(id, scope) else {
            return;
        };
        let call = self.register_call(PendingCall::DirectCall(id.clone()));
        if let Some(leader) = &mut self.leader
            && let Some(machine) = leader.machines.get_mut(id)
        {
            machine.record_direct_call(call, false);
            let starts = count_starts(&body.commands);
            if starts > 0 {
                machine.direct_calls.started_under_token = body.fencing_token;
            }
            self.stats.count(Work::StartByCall, starts);
            leader.direct_calls_in_flight += 1;
        }
        self.effects.push(Effect::DirectCall {
            call,
            addr,
            request: DirectRequest::Commands(body),
            not_after,
        });
    }

    /// Returns the commands for a direct call and the address of the worker, if there are any. Clears the machine's
    /// `needs_push`.
    fn direct_commands(
        &mut self,
        id: &MachineId,
        scope: CallScope,
    ) -> Option<(SocketAddrV4, DirectCommands)> {
        let leader = self.leader.as_ref()?;
        let machine = leader.machines.get(id)?;
        let mut commands = self.commands_for_direct_call(machine);
        if scope == CallScope::StopsOnly {
            commands.retain(|command| matches!(command, TaskCommand::Stop { .. }));
        }
        let body = DirectCommands {
            fencing_token: machine.token(leader.term),
            incarnation: machine.incarnation,
            commands,
        };
        let machine = self.machine_mut(id)?;
        machine.needs_push = false;
        let addr = machine.addr.parse().ok()?;
        (!body.commands.is_empty()).then_some((addr, body))
    }

    /// Processes the outcome of a direct call: commands, a probe, or a token probe on the leader's behalf.
    pub(in crate::core) fn direct_outcome(&mut self, call: CallId, outcome: DirectOutcome) {
        let id = match self.pending.remove(&call) {
            Some(PendingCall::DirectCall(id)) => id,
            Some(PendingCall::TokenProbe(id)) => return self.token_probe_answered(&id, outcome),
            _ => return,
        };
        let is_answered = matches!(outcome, DirectOutcome::Heartbeat { .. });
        let Some(finished) = self.finish_direct_call(&id, call, is_answered) else {
            return;
        };
        match outcome {
            DirectOutcome::Heartbeat {
                heartbeat,
                executed,
            } => self.direct_call_answered(&id, finished, *heartbeat, executed),
            DirectOutcome::NotSent(error) => {
                tracing::debug!(machine = %id, error, "direct commands not sent");
                self.pause_direct_calls(&id, FAILED_RETRY_PAUSE);
            }
            DirectOutcome::Unknown(error) => {
                tracing::info!(machine = %id, error, "direct commands got no answer");
                self.invalidate_direct_commands(&id);
                self.pause_direct_calls(&id, FAILED_RETRY_PAUSE);
            }
        }
    }

    /// Records that a call has ended, and returns it. Returns `None` if its machine is gone or the call was abandoned.
    fn finish_direct_call(
        &mut self,
        id: &MachineId,
        call: CallId,
        is_answered: bool,
    ) -> Option<DirectCall> {
        let now = self.now.mono;
        let leader = self.leader.as_mut()?;
        leader.direct_calls_in_flight = leader.direct_calls_in_flight.saturating_sub(1);
        let machine = leader.machines.get_mut(id)?;
        let calls = &mut machine.direct_calls;
        let finished = calls.in_flight.take_if(|in_flight| in_flight.id == call)?;
        if is_answered {
            calls.failures = 0;
            leader.liveness.record_direct_contact(now);
            return Some(finished);
        }
        calls.failures += 1;
        leader.liveness.record_failed_call();
        if machine.unresolved && calls.failures < MAX_UNANSWERED_PROBES {
            leader
                .recovery
                .probe_at(now + PROBE_RETRY_PAUSE, id.clone());
        }
        Some(finished)
    }

    /// Processes a worker's reply to a call, which contains its heartbeat. `executed` is false if the worker refused
    /// all commands.
    fn direct_call_answered(
        &mut self,
        id: &MachineId,
        call: DirectCall,
        heartbeat: Heartbeat,
        executed: bool,
    ) {
        if !executed {
            tracing::debug!(machine = %id, "direct commands refused");
            self.pause_direct_calls(id, REFUSED_RETRY_PAUSE);
        }
        let Some(leader) = &mut self.leader else {
            return;
        };
        let Some(machine) = leader.machines.get(id) else {
            return;
        };
        let zone = machine.zone.clone();
        leader.recovery.mark_zone_reachable(&zone);
        if heartbeat.machine != *id {
            return;
        }
        // The worker creates the heartbeat after it has received the call. With the numbers of an earlier one, the
        // worker has restarted.
        let restarted = (heartbeat.incarnation, heartbeat.sequence) <= call.newest_heartbeat;
        if restarted && call.raises_token {
            self.machine_restarted(id, heartbeat.fencing_token);
        } else if restarted {
            self.suspect_restart(id);
        }
        self.apply_call_reply(id, heartbeat);
    }

    fn pause_direct_calls(&mut self, id: &MachineId, pause: Duration) {
        let resume_at = self.now.mono + pause;
        if let Some(machine) = self.machine_mut(id) {
            machine.direct_calls.retry_not_before = resume_at;
        }
    }

    /// Raises the machine's token after a call with an unknown outcome. Its commands may still be executed at any later
    /// time, until the worker has seen the higher token, which the next response to a heartbeat carries.
    fn invalidate_direct_commands(&mut self, id: &MachineId) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let term = leader.term;
        if let Some(machine) = leader.machines.get_mut(id) {
            machine.token_epoch += 1;
            machine.in_doubt_until_token = Some(machine.token(term));
        }
    }
}
