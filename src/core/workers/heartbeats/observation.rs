//! Application of an accepted heartbeat to its machine's record, and reconciliation with the tasks that the machine is
//! expected to have.

use crate::core::Core;
use crate::core::machines::machine::{Machine, TOKEN_EPOCH_BITS};
use crate::core::machines::placement::{ExitedTask, Phase};
use crate::fault_injection::{Safeguard, is_enabled};
use crate::job::{MachineId, TaskId};
use crate::planning::cluster_snapshot::Offer;
use crate::wire::{Heartbeat, TaskState, TaskStatus, parse_task_id};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Maximum notice of a reclamation in seconds; a longer one is reduced to it.
const MAX_RECLAIM_NOTICE_S: f64 = 86_400.0;

/// Origin of a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HeartbeatSource {
    /// The worker sent the heartbeat and expects a response.
    Worker,
    /// The worker returned the heartbeat in reply to a direct call.
    CallReply,
}

/// Conclusions from a heartbeat about commands that were sent to its machine before.
struct CommandDelivery {
    /// Whether no command that was sent before the heartbeat can take effect after it.
    none_in_flight: bool,
    /// Whether the last response carried `Start` commands and direct calls fail. If the heartbeat does not show the
    /// tasks of these commands, neither responses nor calls reach the machine.
    starts_in_doubt: bool,
}

/// The tasks in a heartbeat.
#[derive(Default)]
struct ReportedTasks {
    live: BTreeSet<TaskId>,
    /// Exited tasks, each with its attempt.
    exited: Vec<(TaskId, u64)>,
}

impl Machine {
    /// Returns whether a heartbeat is older than the newest one, or from an incarnation that has ended.
    fn is_stale(&self, heartbeat: &Heartbeat) -> bool {
        let known = (self.incarnation, self.sequence);
        let of_earlier_incarnation = heartbeat.fencing_token < self.highest_token;
        // Sent before the lease of that incarnation expired, and delayed in transit: its tasks have ended, and may
        // have been started elsewhere since.
        let of_expired_lease = self.lease_expired && heartbeat.incarnation == self.incarnation;
        (heartbeat.incarnation, heartbeat.sequence) <= known
            || of_earlier_incarnation
            || of_expired_lease
    }

    /// Begins a newer incarnation. Returns the tasks of the earlier one, which the worker has killed. The worker
    /// refuses commands for the earlier incarnation.
    fn begin_incarnation(&mut self, incarnation: u64, term: u64, now: Instant) -> Vec<TaskId> {
        let mut lost = Vec::new();
        if self.incarnation > 0 {
            tracing::info!(machine = %self.id, incarnation, "incarnation began");
            lost.extend(self.tasks.keys().cloned());
        }
        if self.incarnation > 0 && !self.unresolved {
            // The lease expired although the heartbeats were answered, so responses may not reach the machine.
            self.require_token_proof(term);
        }
        self.lease_expired = false;
        self.in_doubt_until_token = None;
        self.start_unconfirmed = false;
        self.images.clear();
        self.incarnation_since = now;
        if !self.unresolved {
            self.lease_renewed = self.lease_renewed.max(now);
        }
        lost
    }

    /// Copies the machine's attributes from a heartbeat.
    fn record(&mut self, heartbeat: &Heartbeat, now: Instant) {
        let token = heartbeat.fencing_token;
        self.incarnation = heartbeat.incarnation;
        self.sequence = heartbeat.sequence;
        self.highest_token = token;
        self.last_heartbeat = now;
        self.addr.clone_from(&heartbeat.addr);
        self.spot = heartbeat.spot;
        self.reclaim_at = heartbeat
            .reclaim_in_s
            .filter(|seconds| seconds.is_finite())
            .map(|seconds| now + Duration::from_secs_f64(seconds.clamp(0.0, MAX_RECLAIM_NOTICE_S)));
        self.in_doubt_until_token.take_if(|needed| token >= *needed);
        self.unconfirmed_token.take_if(|needed| token >= *needed);
    }

    /// Returns what the heartbeat that was just recorded shows of earlier commands.
    fn observe_delivery(&mut self, source: HeartbeatSource) -> CommandDelivery {
        // The response before this heartbeat carried `Start` commands. If the worker had received it, the heartbeat
        // would show their tasks.
        let starts_in_doubt = source == HeartbeatSource::Worker
            && self.start_unconfirmed
            && self.direct_calls.failures > 0;
        if source == HeartbeatSource::Worker {
            self.start_unconfirmed = false;
        }
        // The worker may have replied to a direct call before it read the last response, so the tasks that this
        // response starts may appear only later.
        let none_in_flight = self.no_command_in_flight() && !self.start_unconfirmed;
        CommandDelivery {
            none_in_flight,
            starts_in_doubt,
        }
    }

    /// Replaces the exited tasks by those of the newest heartbeat. A task that is already known keeps the token under
    /// which a direct call may have started it.
    fn record_exited(&mut self, exited: Vec<(TaskId, u64)>) {
        let earlier = std::mem::take(&mut self.exited);
        let newest_token = self.direct_calls.started_under_token;
        let exited = exited.into_iter().map(|(key, attempt)| {
            let known = (earlier.iter()).find(|e| e.key == key && e.attempt == attempt);
            ExitedTask {
                started_under_token: known.map_or(newest_token, |e| e.started_under_token),
                key,
                attempt,
            }
        });
        self.exited = exited.collect();
    }

    /// Returns whether a task that the machine was told to start is not among its live tasks.
    fn has_absent_start(&self, live: &BTreeSet<TaskId>) -> bool {
        (self.tasks.iter()).any(|(key, task)| {
            task.phase == Phase::Unseen && task.stopping.is_none() && !live.contains(key)
        })
    }

    /// Returns the tasks that were expected on the machine but are certain not to be there.
    fn missing_tasks(&self, live: &BTreeSet<TaskId>, none_in_flight: bool) -> Vec<TaskId> {
        let proof_required = self.unconfirmed_token.is_some();
        let missing = self.tasks.iter().filter(|(key, task)| {
            let is_certain = match task.phase {
                // The task is not there, and no command remains that could start it.
                Phase::Unseen => none_in_flight && (task.stopping.is_some() || proof_required),
                _ => true,
            };
            !live.contains(*key) && is_certain
        });
        missing.map(|(key, _)| key.clone()).collect()
    }
}

impl Core {
    /// Applies a heartbeat that its worker sent. Returns false if the heartbeat is stale or its machine is not known.
    pub(in crate::core) fn apply_heartbeat(
        &mut self,
        id: &MachineId,
        heartbeat: Heartbeat,
    ) -> bool {
        self.observe_heartbeat(id, heartbeat, HeartbeatSource::Worker)
            .is_some()
    }

    /// Applies a heartbeat that was received in reply to a direct call. A stale heartbeat changes nothing.
    pub(in crate::core) fn apply_call_reply(&mut self, id: &MachineId, heartbeat: Heartbeat) {
        self.observe_heartbeat(id, heartbeat, HeartbeatSource::CallReply);
    }

    /// Applies a heartbeat. Returns `None` if it is stale or its machine is not known.
    fn observe_heartbeat(
        &mut self,
        id: &MachineId,
        heartbeat: Heartbeat,
        source: HeartbeatSource,
    ) -> Option<()> {
        let now = self.now.mono;
        let leader = self.leader.as_mut()?;
        let term = leader.term;
        let machine = leader.machines.get_mut(id)?;
        if machine.is_stale(&heartbeat) {
            return None;
        }
        let mut ended = Vec::new();
        if heartbeat.incarnation > machine.incarnation {
            ended = machine.begin_incarnation(heartbeat.incarnation, term, now);
        }
        self.record_first_heartbeat(id);
        self.record_reclaim_notice(id, &heartbeat);
        let machine = self.machine_mut(id)?;
        machine.record(&heartbeat, now);
        let delivery = machine.observe_delivery(source);
        self.tasks_lost(id, ended, "incarnation ended");
        let reported = self.observe_tasks(id, heartbeat.tasks);
        self.reconcile_tasks(id, reported, &delivery)?;
        // Once the worker has seen this term's token, it refuses whatever earlier leaders sent.
        let proves_term = heartbeat.fencing_token >= term << TOKEN_EPOCH_BITS;
        if proves_term || !is_enabled(Safeguard::TokenProof) {
            self.resolve_machine(id, "heartbeat received");
        }
        Some(())
    }

    /// Records that the machine has booted, if this is its first heartbeat. Must be called before the heartbeat itself
    /// is recorded.
    fn record_first_heartbeat(&mut self, id: &MachineId) {
        let now = self.now.mono;
        let Some(leader) = &mut self.leader else {
            return;
        };
        let Some(machine) = leader.machines.get_mut(id) else {
            return;
        };
        if machine.up_since.is_some() {
            return;
        }
        machine.capacity_freed = true;
        machine.up_since = Some(now);
        machine.idle_since = now;
        let boot_time = machine.age_at(now);
        let mut machine_types = self.machine_types.iter();
        if let Some(machine_type) = machine_types.find(|t| t.name == machine.machine_type)
            && machine.incarnation == 0
        {
            let estimates = &mut leader.scheduler.bidding.estimates;
            estimates.record_boot(&machine_type.name, machine_type.boot_time(), boot_time);
        }
    }

    /// Records a reclamation for the forecast of the spot markets, when a heartbeat of the machine first announces it.
    fn record_reclaim_notice(&mut self, id: &MachineId, heartbeat: &Heartbeat) {
        let now = self.now.mono;
        let Some(leader) = &mut self.leader else {
            return;
        };
        let Some(machine) = leader.machines.get(id) else {
            return;
        };
        if machine.reclaim_at.is_none() && heartbeat.reclaim_in_s.is_some() {
            let offer = Offer::new(&machine.machine_type, &machine.zone, heartbeat.spot);
            leader
                .scheduler
                .bidding
                .estimates
                .record_losses(&offer, 1, now);
        }
    }

    /// Applies the status of each task in a heartbeat.
    fn observe_tasks(&mut self, id: &MachineId, tasks: Vec<TaskStatus>) -> ReportedTasks {
        let mut reported = ReportedTasks::default();
        for status in tasks {
            let Some(key) = parse_task_id(&status.task) else {
                tracing::warn!(machine = %id, task = ?status.task, "task id not readable");
                continue;
            };
            if status.state == TaskState::Exited {
                reported.exited.push((key.clone(), status.attempt));
                self.task_exited(id, &key, &status);
            } else {
                reported.live.insert(key.clone());
                self.task_live(id, &key, &status);
            }
        }
        reported
    }

    /// Compares the tasks in a heartbeat with those that the machine is expected to have. Returns `None` if the machine
    /// is no longer known.
    fn reconcile_tasks(
        &mut self,
        id: &MachineId,
        reported: ReportedTasks,
        delivery: &CommandDelivery,
    ) -> Option<()> {
        let leader = self.leader.as_mut()?;
        let term = leader.term;
        let machine = leader.machines.get_mut(id)?;
        machine.record_exited(reported.exited);
        let has_absent_start = machine.has_absent_start(&reported.live);
        if delivery.starts_in_doubt && machine.unconfirmed_token.is_none() && has_absent_start {
            tracing::info!(machine = %id, "neither answers nor calls reach the machine");
            machine.require_token_proof(term);
        }
        let missing = machine.missing_tasks(&reported.live, delivery.none_in_flight);
        if machine.unconfirmed_token.is_none() && delivery.none_in_flight && has_absent_start {
            machine.needs_push = true;
        }
        self.tasks_lost(id, missing, "not on the machine");
        Some(())
    }
}
