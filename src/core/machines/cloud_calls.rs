//! Renting: calls to the cloud within its limit, and what its answers and its list say of machines.

use crate::cloud_client::{CloudOutcome, CloudRequest, MAX_DELETED_PER_CALL, PAGE};
use crate::core::leadership::state::ScaleOutOperation;
use crate::core::machines::machine::Machine;
use crate::core::store::cache::MachineValue;
use crate::core::{Core, Effect, Pending};
use crate::job::MachineId;
use crate::planning::cluster_snapshot::Offer;
use crate::wire::{ListedMachine, ListedState, ScaleOutRequest};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Deletions on their way at a time.
const MAX_DELETE_CALLS: usize = 2;

impl Core {
    /// Sends the calls that the cloud's limit allows now. What would have to wait stays here: a
    /// call that queues elsewhere outlives the leader's word for it, is asked again, and so makes
    /// the queue longer still.
    pub(in crate::core) fn call_cloud(&mut self) {
        let now = self.now.mono;
        let Some(leader) = &mut self.leader else {
            return;
        };
        let hurry = leader.machines.values().any(|m| {
            m.incarnation == 0
                || now.saturating_duration_since(m.last_heartbeat)
                    > self.settings.heartbeat_interval * 2
        });
        // A list takes a call for each page of machines: no more than a third of what is allowed.
        let pages = 1.0 + leader.cloud.listed_machines as f64 / PAGE as f64;
        let every = Duration::from_secs_f64(3.0 * pages / self.settings.cloud_rps);
        let every = every.max(Duration::from_secs(if hurry { 2 } else { 6 }));
        let asked = leader.cloud.list_requested;
        let awaited = (self.leader.as_ref()).is_some_and(|l| self.machine_list_due(l, asked));
        let Some(leader) = &mut self.leader else {
            return;
        };
        let list =
            !leader.cloud.list_in_flight && (awaited || asked.is_none_or(|t| now >= t + every));
        if list && self.cloud_budget.try_take(now) {
            let Some(leader) = &mut self.leader else {
                return;
            };
            leader.cloud.list_in_flight = true;
            leader.cloud.list_requested = Some(now);
            self.ask_cloud(Pending::List { sent: now }, CloudRequest::List);
        }
        let Some(leader) = &mut self.leader else {
            return;
        };
        if leader.cloud.delete_calls_in_flight < MAX_DELETE_CALLS {
            let due = leader.cloud.deletions.iter().filter(|(_, at)| **at <= now);
            let names: Vec<MachineId> = due
                .map(|d| d.0.clone())
                .take(MAX_DELETED_PER_CALL)
                .collect();
            if !names.is_empty() && self.cloud_budget.try_take(now) {
                leader.cloud.delete_calls_in_flight += 1;
                for id in &names {
                    let again = now + Duration::from_secs(4);
                    leader.cloud.deletions.insert(id.clone(), again);
                }
                let request = CloudRequest::Delete(names.clone());
                self.ask_cloud(Pending::Delete(names), request);
            }
        }
        let Some(leader) = &self.leader else { return };
        let due = leader.cloud.scale_outs.iter();
        let due = due.filter(|(_, r)| r.call.is_none() && now >= r.retry_at);
        let rents: Vec<String> = due.map(|(name, _)| name.clone()).collect();
        for name in rents {
            if !self.cloud_budget.try_take(now) {
                return;
            }
            let op = self
                .leader
                .as_ref()
                .and_then(|l| l.cloud.scale_outs.get(&name));
            let Some(body) = op.map(|op| op.body.clone()) else {
                return;
            };
            let call = self.ask_cloud(Pending::Rent(name.clone()), CloudRequest::Rent(body));
            let op = self
                .leader
                .as_mut()
                .and_then(|l| l.cloud.scale_outs.get_mut(&name));
            if let Some(op) = op {
                op.call = Some(call);
            }
        }
    }

    fn ask_cloud(&mut self, pending: Pending, request: CloudRequest) -> u64 {
        let not_after = self.leader_until();
        let call = self.call(pending);
        self.effects.push(Effect::Cloud {
            call,
            request,
            not_after,
        });
        call
    }

    /// Queues a rental under a name that no controller has ever used.
    pub(in crate::core) fn rent(&mut self, offer: Offer, count: u32) {
        let now = self.now.mono;
        let Some(leader) = &mut self.leader else {
            return;
        };
        leader.cloud.next_request += 1;
        // Terms are unique for ever, and so is the number within one.
        let name = format!("burlusher-{}-{}", leader.term, leader.cloud.next_request);
        tracing::info!(
            "renting {count} of {} in {}, {}: {name}",
            offer.machine_type,
            offer.zone,
            if offer.spot { "spot" } else { "ordinary" }
        );
        let body = ScaleOutRequest {
            request_id: name.clone(),
            machine_type: offer.machine_type,
            zone: offer.zone,
            spot: offer.spot,
            count,
        };
        leader.cloud.scale_outs.insert(
            name,
            ScaleOutOperation {
                body,
                since: now,
                call: None,
                retry_at: now,
            },
        );
    }

    pub(in crate::core) fn cloud_outcome(&mut self, call: u64, outcome: CloudOutcome) {
        let now = self.now.mono;
        let pending = self.pending.remove(&call);
        if let (Some(Pending::Types), CloudOutcome::Types(types)) = (&pending, &outcome) {
            return self.set_machine_types(types.clone());
        }
        if let CloudOutcome::Trouble(e) | CloudOutcome::Invalid(e) = &outcome {
            tracing::info!("cloud: {e}");
        }
        let Some(leader) = &mut self.leader else {
            return;
        };
        match pending {
            Some(Pending::List { sent }) => {
                leader.cloud.list_in_flight = false;
                if let CloudOutcome::Listed(list) = outcome {
                    leader.cloud.listed_machines = list.len();
                    for _ in 0..list.len() / PAGE {
                        self.cloud_budget.take(now);
                    }
                    self.observe_listed_machines(sent, list);
                }
            }
            Some(Pending::Delete(names)) => {
                leader.cloud.delete_calls_in_flight =
                    leader.cloud.delete_calls_in_flight.saturating_sub(1);
                if let CloudOutcome::Deleted(_) = outcome {
                    for id in &names {
                        leader.cloud.deletions.remove(id);
                        leader.deleted_machines.insert(id.clone());
                    }
                    for id in names {
                        self.machine_gone(&id, "deleted");
                    }
                } else {
                    for id in names {
                        if let Some(at) = leader.cloud.deletions.get_mut(&id) {
                            *at = now + Duration::from_secs(1);
                        }
                    }
                }
            }
            Some(Pending::Rent(name)) => self.scale_out_outcome(&name, outcome),
            _ => {}
        }
    }

    fn scale_out_outcome(&mut self, name: &str, outcome: CloudOutcome) {
        let now = self.now.mono;
        let Some(leader) = &mut self.leader else {
            return;
        };
        let Some(op) = leader.cloud.scale_outs.get_mut(name) else {
            return;
        };
        op.call = None;
        let offer = Offer::new(&op.body.machine_type, &op.body.zone, op.body.spot);
        let asked = op.body.count as usize;
        let since = op.since;
        let mut got = Some(0);
        match outcome {
            CloudOutcome::Rented(ids) => {
                got = Some(ids.len());
                leader.cloud.scale_outs.remove(name);
                for id in ids {
                    let m = Machine::new(
                        id.clone(),
                        &offer.machine_type,
                        &offer.zone,
                        offer.spot,
                        now,
                    );
                    if !leader.deleted_machines.contains(&id) {
                        leader.machines.get_or_add(&id, || m).age =
                            now.saturating_duration_since(since);
                    }
                }
            }
            CloudOutcome::NoCapacity | CloudOutcome::Invalid(_) => {
                leader.cloud.scale_outs.remove(name);
            }
            // It may have been carried out: only the same name asked again tells.
            _ => {
                op.retry_at = now + Duration::from_secs(2);
                got = None;
            }
        }
        if let Some(got) = got {
            let estimates = &mut leader.scheduler.bidding.estimates;
            estimates.record_allocation(&offer, asked as u32, got as u32, now);
            if got < asked {
                leader.scheduler.last_scaling = None;
            }
        }
    }

    fn observe_listed_machines(&mut self, sent: Instant, list: Vec<ListedMachine>) {
        let now = self.now.mono;
        let lag = self.settings.machine_list_lag * 2 + Duration::from_secs(2);
        let Some(leader) = &mut self.leader else {
            return;
        };
        let mut present = BTreeSet::new();
        let mut gone = Vec::new();
        // While the store is rebuilt, each of them may hold tasks.
        let (mut unknown, mut booting) = (Vec::new(), Vec::new());
        for l in list {
            present.insert(l.id.clone());
            if leader.deleted_machines.contains(&l.id) {
                continue;
            }
            let known = leader.machines.get(&l.id);
            if leader.rebuild.is_some() && known.is_none_or(|m| m.incarnation == 0) {
                match l.state {
                    ListedState::Running if known.is_none() => {
                        let addr = l.addr.clone().unwrap_or_default();
                        let value = MachineValue {
                            addr,
                            machine_type: l.machine_type.clone(),
                            zone: l.zone.clone(),
                            spot: l.spot,
                        };
                        unknown.push((l.id.clone(), value));
                    }
                    ListedState::Booting if known.is_none() => booting.push(l.id.clone()),
                    _ => {}
                }
            }
            // Most machines are listed as they are known: nothing to change, nothing to note.
            if known.is_some_and(|m| {
                m.incarnation > 0 && m.listed_since.is_some() && !m.addr.is_empty()
            }) && l.state != ListedState::Failed
            {
                continue;
            }
            let m = leader.machines.get_or_add(&l.id, || {
                tracing::info!(machine = %l.id, "machine {}: found in the cloud's list, taken on", l.id);
                Machine::new(l.id.clone(), &l.machine_type, &l.zone, l.spot, now)
            });
            m.listed_since.get_or_insert(now);
            // Also of machines that an earlier leader rented: taken for new, they would be kept
            // idle for the minute that is paid at least.
            if l.age_s.is_finite() && l.age_s >= 0.0 {
                let age = Duration::from_secs_f64(l.age_s.min(1e7));
                m.age = age.saturating_sub(now.saturating_duration_since(m.known_since));
            }
            if m.addr.is_empty()
                && let Some(addr) = l.addr
            {
                m.addr = addr;
            }
            if l.state == ListedState::Failed {
                gone.push(l.id);
            }
        }
        self.observe_machine_list(sent, unknown, booting);
        for id in &gone {
            // It stopped by itself, but stays in the list until it is deleted.
            self.machine_gone(id, "the cloud lists it as failed");
            if let Some(leader) = &mut self.leader {
                leader.cloud.deletions.insert(id.clone(), now);
            }
        }
        let Some(leader) = &self.leader else { return };
        // The list tells of a time at most twice its lag ago. A machine known to exist before
        // that time and absent now is gone.
        let absent: Vec<MachineId> = leader
            .machines
            .values()
            .filter(|m| !present.contains(&m.id) && m.known_since + lag < sent)
            .filter(|m| now.saturating_duration_since(m.last_heartbeat) > Duration::from_secs(2))
            .map(|m| m.id.clone())
            .collect();
        for id in absent {
            self.machine_gone(&id, "the cloud does not list it any more");
        }
    }
}

impl From<&Machine> for MachineValue {
    fn from(m: &Machine) -> MachineValue {
        MachineValue {
            addr: m.addr.clone(),
            machine_type: m.machine_type.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
        }
    }
}
