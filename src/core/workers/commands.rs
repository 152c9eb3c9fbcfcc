//! Commands to workers: starting, stopping and forgetting tasks.
//!
//! For each machine, the leader tracks the tasks that may be on it. Each response to a heartbeat carries the
//! commands that reconcile the tasks in that heartbeat with the tasks that the machine should have.
//!
//! Every command is idempotent, with one exception: after a `Forget`, a `Start` that is delivered again would start
//! the task again. A `Forget` is therefore sent only in a response to a heartbeat, which a worker never executes
//! late, and only while no other command can still arrive.
//!
//! `direct_calls`: commands that are sent without waiting for the next heartbeat.

mod direct_calls;

use crate::core::leadership::state::LeaderState;
use crate::core::machines::machine::{Machine, TOKEN_EPOCH_BITS};
use crate::core::machines::placement::{ExitedTask, Phase, Placement};
use crate::core::{Core, Ticket, Work};
use crate::fault_injection::{Safeguard, is_enabled};
use crate::http::Response;
use crate::job::{MachineId, TaskId};
use crate::wire::{HeartbeatResponse, TaskCommand, to_json};
use std::time::Duration;

/// Maximum number of commands in one message. With more, the message would be longer than a worker accepts.
pub(in crate::core) const MAX_COMMANDS: usize = 400;
/// Maximum number of direct calls in flight: as many as the calling threads finish well within the leader's lease,
/// so that no call expires in their queue.
pub(in crate::core) const MAX_DIRECT_CALLS: usize = 2 * crate::worker_client::CALL_THREADS;
/// Time within which a worker confirms a new fencing token with its next heartbeat.
const TOKEN_CONFIRMATION_DELAY: Duration = Duration::from_millis(900);
/// Delay after the end of a stop's grace period until the stop is repeated without a grace period.
const STOP_MARGIN: Duration = Duration::from_secs(3);
/// Grace period as a multiple of the expected duration of a checkpoint; `GRACE_MARGIN` is added to it.
const GRACE_FACTOR: f64 = 1.5;
/// Fixed part of the grace period.
const GRACE_MARGIN: Duration = Duration::from_secs(1);

fn count_starts(commands: &[TaskCommand]) -> usize {
    let is_start = |command: &&TaskCommand| matches!(command, TaskCommand::Start { .. });
    commands.iter().filter(is_start).count()
}

fn start_command(key: &TaskId, task: &Placement) -> Option<TaskCommand> {
    let is_due = task.phase == Phase::Unseen && task.stopping.is_none();
    is_due.then(|| TaskCommand::Start {
        task: key.to_string(),
        attempt: task.attempt,
    })
}

impl Core {
    /// Returns the commands for the response to the machine's newest heartbeat.
    fn commands_for_response(&self, leader: &LeaderState, machine: &Machine) -> Vec<TaskCommand> {
        let mut commands = self.stop_commands(machine);
        if machine.no_command_in_flight() {
            commands.extend(self.forget_commands(leader, machine));
        }
        let tasks = machine.tasks.iter();
        commands.extend(tasks.filter_map(|(key, task)| start_command(key, task)));
        commands.truncate(MAX_COMMANDS);
        commands
    }

    /// Returns the commands for a direct call to the machine's worker.
    fn commands_for_direct_call(&self, machine: &Machine) -> Vec<TaskCommand> {
        let mut commands = self.stop_commands(machine);
        let tasks = machine.tasks.iter();
        commands.extend(tasks.filter_map(|(key, task)| start_command(key, task)));
        commands.truncate(MAX_COMMANDS);
        commands
    }

    fn stop_commands(&self, machine: &Machine) -> Vec<TaskCommand> {
        let tasks = machine.tasks.iter();
        tasks
            .filter_map(|(key, task)| self.stop_command(machine, key, task))
            .collect()
    }

    fn stop_command(
        &self,
        machine: &Machine,
        key: &TaskId,
        task: &Placement,
    ) -> Option<TaskCommand> {
        let stop = task.stopping?;
        // A start that no heartbeat has confirmed has usually reached the worker. Without a stop, the task begins to
        // run before the next heartbeat.
        let stops_unseen = task.is_obsolete() && is_enabled(Safeguard::StopUnseenTasks);
        if task.phase == Phase::Unseen && !stops_unseen {
            return None;
        }
        let grace = self.grace_period(machine, key, task);
        let is_overdue = self.now.mono > stop.since + grace + STOP_MARGIN;
        if task.phase == Phase::Saving && !is_overdue {
            return None;
        }
        Some(TaskCommand::Stop {
            task: key.to_string(),
            attempt: task.attempt,
            grace: if is_overdue { 0.0 } else { grace.as_secs_f64() },
        })
    }

    fn forget_commands(&self, leader: &LeaderState, machine: &Machine) -> Vec<TaskCommand> {
        let exited = machine.exited.iter();
        exited
            .filter(|exited| self.may_forget(leader, machine, exited))
            .map(|exited| TaskCommand::Forget {
                task: exited.key.to_string(),
                attempt: exited.attempt,
            })
            .collect()
    }

    /// Returns whether the worker may remove an exited task from its heartbeats. A completed task stays in them until
    /// its completion is in the store, as a later leader could not learn of it otherwise. During a rebuild of the
    /// store, the results of a job that may yet be recovered stay in them too.
    fn may_forget(&self, leader: &LeaderState, machine: &Machine, exited: &ExitedTask) -> bool {
        let ExitedTask { key, attempt, .. } = exited;
        let run = leader.job_runs.get(&key.job);
        let is_unpersisted = run.is_some_and(|run| run.unpersisted_done.contains(&key.index));
        let may_belong_to_lost_job =
            leader.may_belong_to_lost_job(self.store_cache.is_known_job(&key.job));
        let is_attempt_over = (machine.tasks.get(key)).is_none_or(|task| task.attempt != *attempt);
        !is_unpersisted && !may_belong_to_lost_job && is_attempt_over
    }

    /// Returns the time that a task has for a checkpoint when it is stopped: zero if it is obsolete or writes no
    /// checkpoints, and no longer than until its machine is reclaimed.
    fn grace_period(&self, machine: &Machine, key: &TaskId, task: &Placement) -> Duration {
        if task.is_obsolete() {
            return Duration::ZERO;
        }
        let Some(job) = self.store_cache.jobs.get(&key.job) else {
            return Duration::ZERO;
        };
        if job.spec.checkpoint_interval.is_zero() {
            return Duration::ZERO;
        }
        let grace = job.spec.checkpoint_duration.mul_f64(GRACE_FACTOR) + GRACE_MARGIN;
        match machine.reclaim_at {
            Some(at) => grace.min(at.saturating_duration_since(self.now.mono)),
            None => grace,
        }
    }

    /// Responds to an accepted heartbeat.
    pub(in crate::core) fn respond_to_heartbeat(&mut self, ticket: Ticket, id: &MachineId) {
        let until = self.leadership_valid_until();
        let answer = match self.heartbeat_response(id) {
            Some(body) => Response::new(200, to_json(&body)).until(until),
            None => Response::busy("this machine is gone", 30),
        };
        self.answer(ticket, answer);
    }

    /// Returns the response to a machine's newest heartbeat and records it on the machine. Returns `None` if the
    /// machine was deleted.
    pub(in crate::core) fn heartbeat_response(
        &mut self,
        id: &MachineId,
    ) -> Option<HeartbeatResponse> {
        let leader = self.leader.as_ref()?;
        if leader.machines.get(id).is_none() {
            // An unknown machine is added only after a heartbeat with this term's token; see `accept_heartbeat`.
            let is_deleted = leader.deleted_machines.contains(id);
            return (!is_deleted).then_some(HeartbeatResponse {
                fencing_token: leader.term << TOKEN_EPOCH_BITS,
                commands: Vec::new(),
            });
        }
        self.invalidate_starts_of_exited(id);
        let leader = self.leader.as_ref()?;
        let machine = leader.machines.get(id)?;
        let response = HeartbeatResponse {
            fencing_token: machine.token(leader.term),
            commands: self.commands_for_response(leader, machine),
        };
        self.record_response(id, count_starts(&response.commands));
        Some(response)
    }

    /// Raises the machine's token if a direct call with the current token may have started a task that has exited.
    /// After a `Forget`, a late copy of that call would start the task again. The response with the `Forget` carries
    /// the higher token, which the worker observes before it executes the commands, and it then refuses the copy.
    fn invalidate_starts_of_exited(&mut self, id: &MachineId) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let Some(machine) = leader.machines.get(id) else {
            return;
        };
        let token = machine.token(leader.term);
        let mut exited = machine.exited.iter();
        if exited.any(|e| e.started_under_token >= token)
            && let Some(machine) = leader.machines.get_mut(id)
        {
            machine.token_epoch += 1;
        }
    }

    /// Records on the machine that a response with this number of `Start` commands was sent.
    fn record_response(&mut self, id: &MachineId, starts: usize) {
        self.stats.count(Work::StartInResponse, starts);
        let Some(leader) = &mut self.leader else {
            return;
        };
        let Some(machine) = leader.machines.get_mut_untracked(id) else {
            return;
        };
        machine.capacity_freed = false;
        // A worker that sees a new token confirms it with a heartbeat within half a second, on a connection that is
        // already open. That costs less than a probe by a direct call.
        if machine.unresolved {
            machine.claimed_until = Some(self.now.mono + TOKEN_CONFIRMATION_DELAY);
        }
        let has_starts = starts > 0;
        if (machine.start_unconfirmed, machine.needs_push) != (has_starts, false)
            && let Some(machine) = leader.machines.get_mut(id)
        {
            machine.start_unconfirmed = has_starts;
            machine.needs_push = false;
        }
    }
}
