//! Calls to the cloud within its rate limit (lists of machines, deletions and scale-outs), and their outcomes.

use crate::cloud_client::{CloudOutcome, CloudRequest, MACHINES_PER_PAGE, MAX_DELETED_PER_CALL};
use crate::core::command::PendingCall;
use crate::core::leadership::state::LeaderState;
use crate::core::machines::cloud_operations::ScaleOutOperation;
use crate::core::machines::machine::Machine;
use crate::core::{CallId, Core, Effect};
use crate::job::MachineId;
use crate::planning::cluster_snapshot::Offer;
use crate::wire::ScaleOutRequest;
use std::time::{Duration, Instant};

/// Maximum number of deletion calls in flight.
const MAX_DELETE_CALLS: usize = 2;
/// Minimum interval between lists while machines boot or are silent.
const SHORT_LIST_INTERVAL: Duration = Duration::from_secs(2);
/// Minimum interval between lists otherwise.
const LONG_LIST_INTERVAL: Duration = Duration::from_secs(6);
/// Divisor of the rate limit that gives the maximum rate of calls for the list's pages.
const LIST_SHARE_DIVISOR: f64 = 3.0;
/// Delay after which a deletion call without a response is repeated.
const DELETE_RETRY_INTERVAL: Duration = Duration::from_secs(4);
/// Delay after which a failed deletion call is repeated.
const FAILED_DELETE_PAUSE: Duration = Duration::from_secs(1);
/// Delay after which a scale-out with an unknown outcome is requested again.
const SCALE_OUT_RETRY_PAUSE: Duration = Duration::from_secs(2);

impl LeaderState {
    /// Returns the minimum interval between lists of machines, each of which takes a call per page.
    fn list_interval(
        &self,
        heartbeat_interval: Duration,
        calls_per_s: f64,
        now: Instant,
    ) -> Duration {
        let is_awaited = |m: &Machine| {
            let silence = now.saturating_duration_since(m.last_heartbeat);
            m.incarnation == 0 || silence > heartbeat_interval * 2
        };
        let pages = 1.0 + self.cloud.listed_machines as f64 / MACHINES_PER_PAGE as f64;
        let within_share = Duration::from_secs_f64(LIST_SHARE_DIVISOR * pages / calls_per_s);
        within_share.max(if self.machines.values().any(is_awaited) {
            SHORT_LIST_INTERVAL
        } else {
            LONG_LIST_INTERVAL
        })
    }

    /// Returns the machines to be deleted by the next call; none while enough deletion calls are in flight.
    fn due_deletions(&self, now: Instant) -> Vec<MachineId> {
        if self.cloud.delete_calls_in_flight >= MAX_DELETE_CALLS {
            return Vec::new();
        }
        let deletions = self.cloud.deletions.iter();
        deletions
            .filter(|(_, due)| **due <= now)
            .map(|(id, _)| id.clone())
            .take(MAX_DELETED_PER_CALL)
            .collect()
    }

    /// Returns the numbers of the scale-outs that are due to be sent, those that have been due for longest first.
    fn due_scale_outs(&self, now: Instant) -> Vec<u64> {
        let operations = self.cloud.scale_outs.iter();
        let mut due: Vec<(Instant, u64)> = operations
            .filter(|(_, operation)| operation.call.is_none() && now >= operation.retry_at)
            .map(|(number, operation)| (operation.retry_at, *number))
            .collect();
        due.sort_unstable();
        due.into_iter().map(|(_, number)| number).collect()
    }

    /// Adds the machines that were provisioned for a scale-out that was requested at `since`.
    fn add_provisioned_machines(
        &mut self,
        offer: &Offer,
        ids: Vec<MachineId>,
        since: Instant,
        now: Instant,
    ) {
        let Offer {
            machine_type,
            zone,
            spot,
        } = offer;
        for id in ids {
            if !self.deleted_machines.contains(&id) {
                let machine = (self.machines).get_or_add(&id, || {
                    Machine::new(id.clone(), machine_type, zone, *spot, now)
                });
                machine.age = now.saturating_duration_since(since);
            }
        }
    }
}

impl Core {
    /// Sends the calls that the cloud's rate limit allows now. The others wait here: a call that waits in a queue
    /// elsewhere may outlive the leader's lease and is then repeated, which makes that queue even longer.
    pub(in crate::core) fn call_cloud(&mut self) {
        self.request_list();
        self.request_deletions();
        self.request_scale_outs();
    }

    fn request_list(&mut self) {
        let now = self.now.mono;
        let Some(leader) = &self.leader else { return };
        let interval = leader.list_interval(
            self.settings.heartbeat_interval,
            self.settings.cloud_rps,
            now,
        );
        let last = leader.cloud.list_requested;
        let is_due =
            self.machine_list_due(leader, last) || last.is_none_or(|at| now >= at + interval);
        if leader.cloud.list_in_flight || !is_due || !self.cloud_budget.try_take(now) {
            return;
        }
        if let Some(leader) = &mut self.leader {
            leader.cloud.list_in_flight = true;
            leader.cloud.list_requested = Some(now);
        }
        self.send_cloud_call(PendingCall::ListMachines { sent: now }, CloudRequest::List);
    }

    fn request_deletions(&mut self) {
        let now = self.now.mono;
        let Some(leader) = &mut self.leader else {
            return;
        };
        let ids = leader.due_deletions(now);
        if ids.is_empty() || !self.cloud_budget.try_take(now) {
            return;
        }
        leader.cloud.delete_calls_in_flight += 1;
        for id in &ids {
            let retry_at = now + DELETE_RETRY_INTERVAL;
            leader.cloud.deletions.insert(id.clone(), retry_at);
        }
        let request = CloudRequest::Delete(ids.clone());
        self.send_cloud_call(PendingCall::ScaleIn(ids), request);
    }

    fn request_scale_outs(&mut self) {
        let now = self.now.mono;
        let Some(leader) = &self.leader else { return };
        for number in leader.due_scale_outs(now) {
            if !self.cloud_budget.try_take(now) {
                return;
            }
            self.send_scale_out(number);
        }
    }

    fn send_scale_out(&mut self, number: u64) {
        let leader = self.leader.as_ref();
        let operation = leader.and_then(|l| l.cloud.scale_outs.get(&number));
        let Some(body) = operation.map(|operation| operation.body.clone()) else {
            return;
        };
        let call =
            self.send_cloud_call(PendingCall::ScaleOut(number), CloudRequest::ScaleOut(body));
        let Some(leader) = &mut self.leader else {
            return;
        };
        let cloud = &mut leader.cloud;
        if let Some(operation) = cloud.scale_outs.get_mut(&number) {
            operation.call = Some(call);
            if !operation.sent {
                operation.sent = true;
                cloud.last_sent.insert(operation.offer(), number);
                log_scale_out(&operation.body);
            }
        }
    }

    fn send_cloud_call(&mut self, pending: PendingCall, request: CloudRequest) -> CallId {
        let not_after = self.leadership_valid_until();
        let call = self.register_call(pending);
        self.effects.push(Effect::CloudCall {
            call,
            request,
            not_after,
        });
        call
    }

    /// Queues a scale-out under a name that no controller has used before.
    pub(in crate::core) fn scale_out(&mut self, offer: Offer, count: u32) {
        let now = self.now.mono;
        let Some(leader) = &mut self.leader else {
            return;
        };
        leader.cloud.last_request += 1;
        let number = leader.cloud.last_request;
        let body = ScaleOutRequest {
            // Neither a term nor a number within a term is ever reused.
            request_id: format!("burlusher-{}-{number}", leader.term),
            machine_type: offer.machine_type,
            zone: offer.zone,
            spot: offer.spot,
            count,
        };
        let operation = ScaleOutOperation {
            body,
            since: now,
            sent: false,
            call: None,
            retry_at: now,
        };
        leader.cloud.scale_outs.insert(number, operation);
    }

    /// Handles the outcome of a call to the cloud.
    pub(in crate::core) fn cloud_outcome(&mut self, call: CallId, outcome: CloudOutcome) {
        let pending = self.pending.remove(&call);
        if let (Some(PendingCall::ListMachineTypes), CloudOutcome::Types(types)) =
            (&pending, &outcome)
        {
            return self.set_machine_types(types.clone());
        }
        if let CloudOutcome::Failed(error) | CloudOutcome::Invalid(error) = &outcome {
            tracing::info!(error, "cloud call failed");
        }
        match pending {
            Some(PendingCall::ListMachines { sent }) => self.list_outcome(sent, outcome),
            Some(PendingCall::ScaleIn(ids)) => self.deletion_outcome(ids, &outcome),
            Some(PendingCall::ScaleOut(number)) => self.scale_out_outcome(number, outcome),
            _ => {}
        }
    }

    fn list_outcome(&mut self, sent: Instant, outcome: CloudOutcome) {
        let now = self.now.mono;
        let Some(leader) = &mut self.leader else {
            return;
        };
        leader.cloud.list_in_flight = false;
        let CloudOutcome::Listed(list) = outcome else {
            return;
        };
        leader.cloud.listed_machines = list.len();
        // Each further page of the list took one more call.
        for _ in 0..list.len() / MACHINES_PER_PAGE {
            self.cloud_budget.reserve(now);
        }
        self.observe_listed_machines(sent, &list);
    }

    fn deletion_outcome(&mut self, ids: Vec<MachineId>, outcome: &CloudOutcome) {
        let now = self.now.mono;
        let Some(leader) = &mut self.leader else {
            return;
        };
        let cloud = &mut leader.cloud;
        cloud.delete_calls_in_flight = cloud.delete_calls_in_flight.saturating_sub(1);
        if !matches!(outcome, CloudOutcome::Deleted(_)) {
            for id in ids {
                if let Some(retry_at) = cloud.deletions.get_mut(&id) {
                    *retry_at = now + FAILED_DELETE_PAUSE;
                }
            }
            return;
        }
        for id in &ids {
            cloud.deletions.remove(id);
            leader.deleted_machines.insert(id.clone());
        }
        for id in ids {
            self.remove_machine(&id, "deleted");
        }
    }

    fn scale_out_outcome(&mut self, number: u64, outcome: CloudOutcome) {
        let now = self.now.mono;
        let Some(leader) = &mut self.leader else {
            return;
        };
        let Some(operation) = leader.cloud.scale_outs.get_mut(&number) else {
            return;
        };
        operation.call = None;
        let provisioned = match outcome {
            CloudOutcome::Provisioned(ids) => ids,
            CloudOutcome::NoCapacity | CloudOutcome::Invalid(_) => Vec::new(),
            // The request may have been carried out. Only repeating it under the same name shows that.
            _ => {
                operation.retry_at = now + SCALE_OUT_RETRY_PAUSE;
                return;
            }
        };
        let Some(operation) = leader.cloud.scale_outs.remove(&number) else {
            return;
        };
        let (offer, requested) = (operation.offer(), operation.body.count);
        let count = provisioned.len() as u32;
        leader.add_provisioned_machines(&offer, provisioned, operation.since, now);
        let estimates = &mut leader.scheduler.bidding.estimates;
        estimates.record_allocation(&offer, requested, count, now);
        if count < requested {
            leader.scheduler.scale_at_once();
        }
    }
}

fn log_scale_out(request: &ScaleOutRequest) {
    tracing::info!(
        request = request.request_id,
        count = request.count,
        machine_type = request.machine_type,
        zone = request.zone,
        spot = request.spot,
        "scale-out requested"
    );
}
