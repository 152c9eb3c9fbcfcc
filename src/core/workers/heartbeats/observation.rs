//! An accepted heartbeat applied to its machine's record and reconciled with the tasks the machine is
//! believed to have.

use crate::core::Core;
use crate::core::machines::machine::{Machine, TOKEN_EPOCH_BITS};
use crate::core::machines::placement::{ExitedTask, Phase};
use crate::fault_injection::{Safeguard, is_enabled};
use crate::job::{MachineId, TaskId};
use crate::planning::cluster_snapshot::Offer;
use crate::wire::{Heartbeat, TaskState, TaskStatus, parse_task_id};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// The longest notice of a reclamation that is believed, in seconds.
const MAX_RECLAIM_NOTICE_S: f64 = 86_400.0;
/// The longest boot time that is believed, in seconds.
const MAX_BOOT_S: f64 = 1e6;

/// How a heartbeat came here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HeartbeatSource {
    /// The worker sent it, and is answered.
    Worker,
    /// It came in reply to a direct call.
    CallReply,
}

/// What a heartbeat shows of commands that were sent to its machine before.
struct CommandDelivery {
    /// No command that was sent before the heartbeat can take effect after it.
    none_in_flight: bool,
    /// The last answer carried starts, and calls get no answer either: if the heartbeat does not show those
    /// tasks, nothing reaches the machine.
    starts_in_doubt: bool,
}

/// The tasks in a heartbeat.
#[derive(Default)]
struct ReportedTasks {
    live: BTreeSet<TaskId>,
    /// With their attempts.
    exited: Vec<(TaskId, u64)>,
}

impl Machine {
    /// Whether a heartbeat is older than what is known, or of an incarnation that is over.
    fn is_stale(&self, heartbeat: &Heartbeat) -> bool {
        let known = (self.incarnation, self.sequence);
        let of_earlier_incarnation = heartbeat.fencing_token < self.highest_token;
        // Sent before that incarnation's lease ran out, and delayed on the way: the tasks in it are
        // gone, and may have been started elsewhere since.
        let of_expired_lease = self.lease_expired && heartbeat.incarnation == self.incarnation;
        (heartbeat.incarnation, heartbeat.sequence) <= known
            || of_earlier_incarnation
            || of_expired_lease
    }

    /// A newer incarnation begins. Returns the tasks of the earlier one: they were killed, and its commands
    /// are refused.
    fn begin_incarnation(&mut self, incarnation: u64, term: u64, now: Instant) -> Vec<TaskId> {
        let mut lost = Vec::new();
        if self.incarnation > 0 {
            tracing::info!(machine = %self.id, incarnation, "incarnation began");
            lost.extend(self.tasks.keys().cloned());
        }
        if self.incarnation > 0 && !self.unresolved {
            // Its lease ran out while its heartbeats were answered: answers may not reach it.
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

    /// Copies the machine's own attributes from a heartbeat.
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

    /// What the heartbeat just recorded shows of earlier commands.
    fn observe_delivery(&mut self, source: HeartbeatSource) -> CommandDelivery {
        // Starts in the answer before this heartbeat: had it been received, the heartbeat would show them.
        let starts_in_doubt = source == HeartbeatSource::Worker
            && self.start_unconfirmed
            && self.direct_calls.failures > 0;
        if source == HeartbeatSource::Worker {
            self.start_unconfirmed = false;
        }
        // A reply to a direct call may have been made before the worker read our last answer, so what that
        // one started may be yet to come.
        let none_in_flight = self.no_command_in_flight() && !self.start_unconfirmed;
        CommandDelivery {
            none_in_flight,
            starts_in_doubt,
        }
    }

    /// Replaces the exited tasks by those of the newest heartbeat. Each keeps the token it may have been
    /// started under.
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

    /// Whether a task that it was given to start is not among its live tasks.
    fn has_absent_start(&self, live: &BTreeSet<TaskId>) -> bool {
        (self.tasks.iter()).any(|(key, task)| {
            task.phase == Phase::Unseen && task.stopping.is_none() && !live.contains(key)
        })
    }

    /// Tasks believed to be on the machine that are certain not to be.
    fn missing_tasks(&self, live: &BTreeSet<TaskId>, none_in_flight: bool) -> Vec<TaskId> {
        let proof_required = self.unconfirmed_token.is_some();
        let missing = self.tasks.iter().filter(|(key, task)| {
            let is_certain = match task.phase {
                // It is not there, and no command is left that could start it.
                Phase::Unseen => none_in_flight && (task.stopping.is_some() || proof_required),
                _ => true,
            };
            !live.contains(*key) && is_certain
        });
        missing.map(|(key, _)| key.clone()).collect()
    }
}

impl Core {
    /// Applies a heartbeat that its worker sent; false if it is older than one applied before.
    pub(in crate::core) fn apply_heartbeat(
        &mut self,
        id: &MachineId,
        heartbeat: Heartbeat,
    ) -> bool {
        self.observe_heartbeat(id, heartbeat, HeartbeatSource::Worker)
            .is_some()
    }

    /// Applies a heartbeat that came in reply to a direct call; one older than what is known changes nothing.
    pub(in crate::core) fn apply_call_reply(&mut self, id: &MachineId, heartbeat: Heartbeat) {
        self.observe_heartbeat(id, heartbeat, HeartbeatSource::CallReply);
    }

    /// `None` if the heartbeat is stale or its machine is not known.
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
        // With this term's token seen, whatever earlier leaders sent is refused from now on.
        let proves_term = heartbeat.fencing_token >= term << TOKEN_EPOCH_BITS;
        if proves_term || !is_enabled(Safeguard::TokenProof) {
            self.resolve_machine(id, "heartbeat received");
        }
        Some(())
    }

    /// The machine has come up, if this is the first of its heartbeats. Called before it is recorded.
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
            let announced = Duration::from_secs_f64(machine_type.boot_s.clamp(0.0, MAX_BOOT_S));
            let estimates = &mut leader.scheduler.bidding.estimates;
            estimates.record_boot(&machine_type.name, announced, boot_time);
        }
    }

    /// Notes for the market forecast that a machine is to be reclaimed, when a heartbeat first announces it.
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

    /// Compares the tasks in a heartbeat with those the machine is believed to have. `None` if the machine is
    /// not known any more.
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
