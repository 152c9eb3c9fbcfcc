//! Commands: what machines are told.
//!
//! The leader keeps for each machine the tasks that may be on it, and with each answer tells the
//! machine the difference to what it reported. Every command may be repeated, save one: after a
//! `clear`, a repeated `run` would start the task anew. So a `clear` goes only into the answer of
//! a report (never executed late), and only while no other command can still arrive.

use crate::core::machines::failure_detection::MAX_UNANSWERED_PROBES;
use crate::core::machines::machine::{
    Exited, Machine, Phase, Placement, StopReason, TOKEN_EPOCH_BITS,
};
use crate::core::{Core, Effect, Pending, Ticket, Work};
use crate::fault_injection::{Safeguard, is_enabled};
use crate::http::Answer;
use crate::job::{MachineId, TaskId};
use crate::wire::{DirectCommands, HeartbeatResponse, TaskCommand, to_json};
use crate::worker_client::{DirectOutcome, DirectRequest};
use std::time::Duration;

const PROBE_RETRY_PAUSE: Duration = Duration::from_millis(300);
/// More orders than this would make an answer longer than a worker accepts.
pub(in crate::core) const MAX_COMMANDS: usize = 400;
/// Direct calls on their way at a time: what the threads that make them finish well within the
/// leader's word, so that none is given up unsent for having queued too long.
pub(in crate::core) const MAX_DIRECT_CALLS: usize = 2 * crate::service::DIRECT_THREADS;
/// After an answer with a new token, a worker's next report has come.
const TOKEN_CONFIRMATION_DELAY: Duration = Duration::from_millis(900);

impl Core {
    /// What the machine should be told, given its newest report.
    pub(in crate::core) fn commands_for(&self, m: &Machine, in_answer: bool) -> Vec<TaskCommand> {
        let Some(leader) = &self.leader else {
            return Vec::new();
        };
        let mut orders = Vec::new();
        for (key, t) in &m.tasks {
            let Some((reason, since)) = t.stopping else {
                continue;
            };
            // A start that nobody has seen come to be is mostly there all the same, and begins to run before
            // the next report where nothing stops it.
            let over = reason == StopReason::Over && is_enabled(Safeguard::UnseenStops);
            if t.phase == Phase::Unseen && !over {
                continue;
            }
            let grace = self.grace(m, key, t);
            let overdue = self.now.mono > since + grace + Duration::from_secs(3);
            if t.phase == Phase::Saving && !overdue {
                continue;
            }
            orders.push(TaskCommand::Stop {
                task: key.to_string(),
                attempt: t.attempt,
                grace: if overdue { 0.0 } else { grace.as_secs_f64() },
            });
        }
        if in_answer && m.no_command_in_flight() {
            for Exited { key, attempt, .. } in &m.exited {
                // A completed task is kept in the reports until a later leader would know it
                // without them.
                let unwritten = leader
                    .job_runs
                    .get(&key.job)
                    .is_some_and(|r| r.unpersisted_done.contains(&key.index));
                // Nor is the result of a job that may be known again.
                let forgotten = leader.may_be_of_lost_job(self.store_cache.knows(&key.job));
                if !unwritten
                    && !forgotten
                    && m.tasks.get(key).is_none_or(|t| t.attempt != *attempt)
                {
                    orders.push(TaskCommand::Forget {
                        task: key.to_string(),
                        attempt: *attempt,
                    });
                }
            }
        }
        for (key, t) in &m.tasks {
            if t.phase == Phase::Unseen && t.stopping.is_none() {
                orders.push(TaskCommand::Start {
                    task: key.to_string(),
                    attempt: t.attempt,
                });
            }
        }
        orders.truncate(MAX_COMMANDS);
        orders
    }

    /// Time to save is given to what can save and is still of use.
    pub(in crate::core) fn grace(&self, m: &Machine, key: &TaskId, t: &Placement) -> Duration {
        if matches!(t.stopping, Some((StopReason::Over, _))) {
            return Duration::ZERO;
        }
        let Some(job) = self.store_cache.jobs.get(&key.job) else {
            return Duration::ZERO;
        };
        if job.spec.checkpoint_interval.is_zero() {
            return Duration::ZERO;
        }
        let grace = job.spec.checkpoint_duration.mul_f64(1.5) + Duration::from_secs(1);
        match m.reclaim_at {
            Some(at) => grace.min(at.saturating_duration_since(self.now.mono)),
            None => grace,
        }
    }

    pub(in crate::core) fn respond_to_heartbeat(&mut self, ticket: Ticket, id: &MachineId) {
        let until = self.leader_until();
        let answer = match self.heartbeat_response(id) {
            Some(body) => Answer::new(200, to_json(&body)).until(until),
            None => Answer::busy("this machine is gone", 30),
        };
        self.answer(ticket, answer);
    }

    /// What a machine that has reported is told; that it is told is noted.
    pub(in crate::core) fn heartbeat_response(
        &mut self,
        id: &MachineId,
    ) -> Option<HeartbeatResponse> {
        let leader = self.leader.as_ref()?;
        let Some(m) = leader.machines.get(id) else {
            // Not taken on before it has shown that it is there.
            let (token, orders) = (leader.term << TOKEN_EPOCH_BITS, Vec::new());
            return (!leader.deleted_machines.contains(id)).then_some(HeartbeatResponse {
                fencing_token: token,
                commands: orders,
            });
        };
        // After a `clear`, a copy of the direct command that started the task would start it anew. The answer
        // that clears carries a higher token than that came with, which the worker heeds first.
        let token = m.token(leader.term);
        if m.exited.iter().any(|e| e.started_under_token >= token)
            && let Some(m) = self.leader.as_mut().and_then(|l| l.machines.get_mut(id))
        {
            m.token_epoch += 1;
        }
        let leader = self.leader.as_ref()?;
        let m = leader.machines.get(id)?;
        let body = HeartbeatResponse {
            fencing_token: m.token(leader.term),
            commands: self.commands_for(m, true),
        };
        let unaware = m.unresolved;
        let starts = body.commands.iter();
        let count = starts
            .filter(|o| matches!(o, TaskCommand::Start { .. }))
            .count();
        let starts = count > 0;
        if (m.start_unconfirmed, m.needs_push) != (starts, false)
            && let Some(m) = self.leader.as_mut().and_then(|l| l.machines.get_mut(id))
        {
            m.start_unconfirmed = starts;
            m.needs_push = false;
        }
        self.stats.work[Work::StartInAnswer as usize] += count as u64;
        if let Some(m) = (self.leader.as_mut()).and_then(|l| l.machines.get_mut_quiet(id)) {
            m.freed = false;
            // A worker that sees a new token reports it within half a second, on the connection that
            // it has: that costs less than asking it.
            if unaware {
                m.claimed_until = Some(self.now.mono + TOKEN_CONFIRMATION_DELAY);
            }
        }
        Some(body)
    }

    /// Sends machines what should not wait for their next report.
    pub(in crate::core) fn send_direct_commands(&mut self) {
        let now = self.now.mono;
        let Some(until) = self.leader_until() else {
            return;
        };
        self.refresh_snapshot();
        let Some(leader) = &mut self.leader else {
            return;
        };
        let term = leader.term;
        let silent = self.settings.heartbeat_interval * 2;
        let fresh = |m: &Machine| now.saturating_duration_since(m.last_heartbeat) < silent;
        let machines = &leader.machines.all;
        leader
            .machines
            .to_push
            .retain(|id| machines.get(id).is_some_and(|m| m.needs_push));
        // What is to be stopped is told to a machine that does not report as well: calls may reach it.
        let to_stop = |m: &Machine| {
            let over = |t: &Placement| matches!(t.stopping, Some((StopReason::Over, _)));
            is_enabled(Safeguard::MuteStops) && m.tasks.values().any(over)
        };
        let (mut due, mut mute): (Vec<MachineId>, Vec<MachineId>) = Default::default();
        for m in (leader.machines.to_push.iter()).filter_map(|id| machines.get(id)) {
            let may = m.incarnation > 0
                && !m.lease_expired
                && m.no_command_in_flight()
                && m.unconfirmed_token.is_none()
                && now >= m.push_after;
            if may && fresh(m) {
                due.push(m.id.clone());
            } else if may && to_stop(m) {
                mute.push(m.id.clone());
            }
        }
        // Calls to dead machines take their threads for long.
        let calls = due.into_iter().map(|id| (id, MAX_DIRECT_CALLS, true));
        let stops = mute.into_iter().map(|id| (id, MAX_DIRECT_CALLS / 4, false));
        for (id, most, all) in calls.chain(stops) {
            let Some(leader) = &self.leader else { return };
            if leader.direct_calls_in_flight >= most {
                break;
            }
            let Some(m) = leader.machines.get(&id) else {
                continue;
            };
            let mut orders = self.commands_for(m, false);
            orders.retain(|o| all || matches!(o, TaskCommand::Stop { .. }));
            let body = DirectCommands {
                fencing_token: m.token(term),
                incarnation: m.incarnation,
                commands: orders,
            };
            let addr = m.addr.parse();
            let Some(m) = self.leader.as_mut().and_then(|l| l.machines.get_mut(&id)) else {
                continue;
            };
            m.needs_push = false;
            let Ok(addr) = addr else { continue };
            if body.commands.is_empty() {
                continue;
            }
            let call = self.call(Pending::Direct(id.clone()));
            if let Some(leader) = &mut self.leader
                && let Some(m) = leader.machines.get_mut(&id)
            {
                m.call_in_flight = Some(call);
                let starts = body.commands.iter();
                let starts = starts
                    .filter(|o| matches!(o, TaskCommand::Start { .. }))
                    .count();
                if starts > 0 {
                    m.started_under_token = body.fencing_token;
                }
                self.stats.work[Work::StartByCall as usize] += starts as u64;
                leader.direct_calls_in_flight += 1;
            }
            self.effects.push(Effect::Direct {
                call,
                addr,
                request: DirectRequest::Commands(body),
                not_after: until,
            });
        }
        self.probe_machines();
    }

    pub(in crate::core) fn direct_outcome(&mut self, call: u64, outcome: DirectOutcome) {
        let now = self.now.mono;
        let id = match self.pending.remove(&call) {
            Some(Pending::Direct(id)) => id,
            Some(Pending::Show(id)) => return self.token_probe_answered(&id, outcome),
            _ => return,
        };
        let Some(leader) = &mut self.leader else {
            return;
        };
        let term = leader.term;
        leader.direct_calls_in_flight = leader.direct_calls_in_flight.saturating_sub(1);
        let Some(m) = leader.machines.get_mut(&id) else {
            return;
        };
        if m.call_in_flight != Some(call) {
            return;
        }
        m.call_in_flight = None;
        // Asked after we knew more of it than this tells: it has begun anew.
        let began_anew = match &outcome {
            DirectOutcome::Heartbeat { heartbeat, .. } => {
                let known = m.restart_probe.take_if(|(_, of)| *of == call);
                known.is_some_and(|(known, _)| (heartbeat.incarnation, heartbeat.sequence) <= known)
            }
            _ => false,
        };
        let answers = matches!(outcome, DirectOutcome::Heartbeat { .. });
        m.failed_calls = if answers { 0 } else { m.failed_calls + 1 };
        if answers {
            (
                leader.liveness.last_direct_contact,
                leader.liveness.failed_direct_calls,
            ) = (now, 0);
        } else {
            leader.liveness.failed_direct_calls += 1;
        }
        if !answers && m.unresolved && m.failed_calls < MAX_UNANSWERED_PROBES {
            leader
                .recovery
                .retries
                .insert((now + PROBE_RETRY_PAUSE, id.clone()));
        }
        match outcome {
            DirectOutcome::Heartbeat {
                heartbeat,
                executed,
            } => {
                if !executed {
                    tracing::debug!(machine = %id, "machine {id}: direct commands refused");
                    m.push_after = now + Duration::from_millis(500);
                }
                let zone = m.zone.clone();
                leader.mark_zone_reachable(&zone);
                if heartbeat.machine == id {
                    if began_anew {
                        self.machine_restarted(&id, heartbeat.fencing_token);
                    }
                    self.apply_heartbeat(&id, *heartbeat, false);
                }
            }
            DirectOutcome::NotSent(e) => {
                tracing::debug!(machine = %id, "machine {id}: direct commands not sent: {e}");
                m.push_after = now + Duration::from_secs(3);
            }
            DirectOutcome::Unknown(e) => {
                tracing::info!(machine = %id, "machine {id}: direct commands without an answer: {e}");
                // They may be executed at any later time, until the worker has seen a higher
                // token; the next answer to a report carries one.
                m.token_epoch += 1;
                m.doubtful_until_token = Some(m.token(term));
                m.push_after = now + Duration::from_secs(3);
            }
        }
    }
}
