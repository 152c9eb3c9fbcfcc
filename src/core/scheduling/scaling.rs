//! Scaling: adds machines for pending demand, and removes idle ones.

use crate::core::Core;
use crate::core::leadership::state::LeaderState;
use crate::core::machines::machine::DeletionReason;
use crate::core::scheduling::queue::{BlockedJobs, QueueEntry};
use crate::job::{EPSILON, JobKind, MachineId};
use crate::planning::autoscaler::{self, OfferMarket};
use crate::planning::capacity_forecast::{BootingNodes, PendingDemand};
use crate::planning::cluster_snapshot::Offer;
use crate::planning::request_limit::{RequestLimit, ScaleOut};
use crate::policy::{Entry, MachineFacts};
use crate::settings::Settings;
use burlusher_market::ZoneBalance;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after which machines that have not reported to a new leader no longer delay bidding.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(8);
/// Time for which a new leader waits for the list of existing machines before it requests new ones without it.
const LIST_TIMEOUT: Duration = Duration::from_secs(3);
/// Time's worth of calls to the cloud, in seconds, up to which scale-outs may be outstanding: more than the interval
/// between two scaling decisions and the time until a response.
const OUTSTANDING_SCALE_OUTS_S: f64 = 3.0;
/// Bounds of the maximum number of outstanding scale-outs. An offer without one may have one beyond the maximum.
const MIN_OUTSTANDING_SCALE_OUTS: usize = 8;
const MAX_OUTSTANDING_SCALE_OUTS: usize = 64;
/// Share of the configured memory that machines may use.
const MACHINES_MEMORY_SHARE: f64 = 0.85;
/// Bytes of memory for each machine on the leader, with the tasks on it.
const BYTES_PER_MACHINE: f64 = 20_000.0;
/// Minimum wait that scaling tries to shorten, as a fraction of the fastest boot time: adding machines cannot help with
/// shorter waits.
const MIN_WAIT_PER_BOOT: f64 = 0.6;
/// Maximum wait, in seconds, to which longer ones are reduced.
const MAX_WAIT_S: f64 = 1e6;
/// Maximum idle timeout, in seconds, to which longer ones are reduced.
const MAX_IDLE_TIMEOUT_S: f64 = 1e7;
/// Maximum number of tasks of a job that count as pending demand.
const MAX_TASKS: f64 = 1e6;
/// Expected run time of services and gangs, whose tasks never leave their resources to other tasks of the same job.
const UNBOUNDED_RUNTIME: Duration = match Duration::MAX.checked_div(4) {
    Some(runtime) => runtime,
    None => Duration::MAX,
};

/// Queue entry with its pending demand.
pub(super) struct EntryDemand<'a> {
    pub entry: QueueEntry<'a>,
    pub demand: PendingDemand,
}

/// Returns the maximum number of machines, beyond which none are added except the first of an offer.
fn max_machines(settings: &Settings) -> u32 {
    (settings.memory_mb * 1e6 * MACHINES_MEMORY_SHARE / BYTES_PER_MACHINE) as u32
}

impl Core {
    /// Adds machines for pending demand, and removes idle ones.
    pub(super) fn scale_machines(&mut self) {
        let now = self.now.mono;
        self.update_quotas();
        self.refresh_snapshot();
        let Some(leader) = &mut self.leader else {
            return;
        };
        leader.scheduler.last_scaling = Some(now);
        leader.scheduler.arrivals.record(now, 0);
        leader.cloud.drop_unsent_scale_outs();
        leader.cluster_snapshot.recompute_team_allocations();
        let Some(leader) = &self.leader else { return };
        if self.machine_types.is_empty() {
            return;
        }
        let is_bidding = self
            .policy
            .fleet_boolean(Entry::Bidding, &self.fleet_facts(leader));
        let pending = self.pending_demand(leader);
        let mut demand_bids = Vec::new();
        if is_bidding {
            demand_bids.extend(pending.iter().map(|pending| self.demand_bid(pending)));
        }
        let demands: Vec<PendingDemand> = pending.into_iter().map(|p| p.demand).collect();
        let booting_nodes = self.booting_nodes(leader);
        let market = self.offer_market();
        let Some(leader) = &self.leader else { return };
        let scale_outs = if is_bidding && !self.may_bid(leader) {
            Vec::new()
        } else if is_bidding {
            self.clear_bids(demand_bids, &booting_nodes, market)
        } else {
            let snapshot = &leader.cluster_snapshot;
            autoscaler::plan_scale_out(snapshot, &booting_nodes, &demands, &market, now)
        };
        let idle = self.unneeded_machines(&demands);
        self.request_machines(scale_outs);
        for id in idle {
            self.schedule_deletion(&id, DeletionReason::Idle);
        }
    }

    /// Returns the present state of the cloud's offers. Unreachable zones are closed to bids.
    fn offer_market(&mut self) -> OfferMarket {
        let now = self.now.mono;
        let unreachable_zones = match &self.leader {
            Some(leader) => self.unreachable_zones(leader),
            None => Vec::new(),
        };
        let mut refused = Vec::new();
        if let Some(leader) = &mut self.leader {
            let estimates = &mut leader.scheduler.bidding.estimates;
            estimates.set_closed_zones(&unreachable_zones, "its machines are not heard");
            refused.extend(estimates.refused(now).cloned());
        }
        OfferMarket {
            types: self.machine_types.clone(),
            refused,
            unreachable_zones,
            zone_balance: ZoneBalance::default(),
            request_limit: self.request_limit(),
        }
    }

    /// Returns how many scale-outs may be added to the outstanding ones.
    fn request_limit(&self) -> RequestLimit {
        let max_outstanding = (self.settings.cloud_rps * OUTSTANDING_SCALE_OUTS_S).ceil() as usize;
        let mut limit = RequestLimit::new(
            max_outstanding.clamp(MIN_OUTSTANDING_SCALE_OUTS, MAX_OUTSTANDING_SCALE_OUTS),
        );
        if let Some(leader) = &self.leader {
            for (offer, number) in &leader.cloud.last_sent {
                limit.set_last_request(offer.clone(), *number);
            }
            let mut machines = leader.machines.values().count() as u32;
            for operation in leader.cloud.scale_outs.values() {
                limit.add_outstanding(operation.offer());
                machines = machines.saturating_add(operation.body.count);
            }
            for class in leader
                .cluster_snapshot
                .classes()
                .iter()
                .filter(|c| c.machines > 0)
            {
                limit.add_machines(class.offer.clone());
            }
            limit.limit_machines(max_machines(&self.settings).saturating_sub(machines));
        }
        limit
    }

    /// Returns the zones in which most machines are unreachable: no heartbeats arrive from them, or responses may not
    /// reach them, which makes them no more useful than silent ones.
    fn unreachable_zones(&self, leader: &LeaderState) -> Vec<String> {
        #[derive(Default)]
        struct ZoneMachines {
            all: u32,
            reachable: u32,
        }
        let now = self.now.mono;
        let mut zones: BTreeMap<&str, ZoneMachines> = BTreeMap::new();
        for machine in leader.machines.values().filter(|m| m.incarnation > 0) {
            let silence = now.saturating_duration_since(machine.last_heartbeat);
            let is_reporting = silence < self.settings.heartbeat_interval * 2;
            let is_reachable = is_reporting && machine.unconfirmed_token.is_none();
            let zone = zones.entry(&machine.zone).or_default();
            zone.all += 1;
            zone.reachable += u32::from(is_reachable);
        }
        let zones = zones.into_iter();
        zones
            .filter(|(_, machines)| machines.reachable * 2 < machines.all)
            .map(|(zone, _)| zone.to_string())
            .collect()
    }

    /// Returns whether a new leader knows enough of the running tasks to bid; until then, all of them appear to be
    /// waiting.
    fn may_bid(&self, leader: &LeaderState) -> bool {
        let leader_for = self.now.mono.saturating_duration_since(leader.since);
        leader.recovery.is_complete() || leader_for > RECOVERY_TIMEOUT
    }

    /// Returns the idle machines that no pending task could use; none until a new leader has completed its recovery and
    /// has received heartbeats for two intervals.
    fn unneeded_machines(&self, demands: &[PendingDemand]) -> Vec<MachineId> {
        let Some(leader) = &self.leader else {
            return Vec::new();
        };
        let now = self.now.mono;
        let leader_for = now.saturating_duration_since(leader.since);
        let is_settled =
            leader.recovery.is_complete() && leader_for > self.settings.heartbeat_interval * 2;
        if !is_settled {
            return Vec::new();
        }
        let idle_timeout = |id: &MachineId| self.idle_timeout(leader, id);
        autoscaler::plan_scale_in(&leader.cluster_snapshot, demands, now, idle_timeout)
    }

    /// Requests machines, unless this leader has not received the list of existing machines yet.
    fn request_machines(&mut self, scale_outs: Vec<ScaleOut>) {
        let Some(leader) = &self.leader else { return };
        let leader_for = self.now.mono.saturating_duration_since(leader.since);
        let cloud = &leader.cloud;
        let has_list = cloud.list_requested.is_some() && !cloud.list_in_flight;
        let may_request = has_list || leader_for > LIST_TIMEOUT;
        if may_request {
            for scale_out in scale_outs {
                self.scale_out(scale_out.offer, scale_out.count);
            }
        }
    }

    /// Returns how long the policy keeps an idle machine.
    fn idle_timeout(&self, leader: &LeaderState, id: &MachineId) -> Duration {
        let Some(machine) = leader.machines.get(id) else {
            return Duration::ZERO;
        };
        let machine_type = self.type_of(&machine.machine_type);
        let known_for = self.now.mono.saturating_duration_since(machine.known_since);
        let age = machine.age + known_for;
        let price = machine_type.map_or(0.0, |t| {
            let spot_price = t.spot_price.filter(|_| machine.spot);
            spot_price.unwrap_or(t.price)
        });
        let facts = MachineFacts {
            spot: machine.spot,
            price,
            cpus: machine_type.map_or(0.0, |t| t.cpus),
            ram: machine_type.map_or(0.0, |t| t.ram),
            age: age.as_secs_f64(),
            boot: machine_type.map_or(0.0, |t| t.boot_s),
            pause: leader.scheduler.arrivals.mean_interarrival_s(),
        };
        let timeout_s = self.policy.machine_number(Entry::IdleTimeout, &facts);
        Duration::from_secs_f64(timeout_s.clamp(0.0, MAX_IDLE_TIMEOUT_S))
    }

    /// Returns the machines that have been requested, but have no ids yet.
    fn booting_nodes(&self, leader: &LeaderState) -> Vec<BootingNodes> {
        let operations = leader.cloud.scale_outs.values();
        operations
            .filter_map(|operation| {
                let machine_type = self.type_of(&operation.body.machine_type)?;
                let count = operation.body.count;
                Some(BootingNodes::new(operation.offer(), machine_type, count))
            })
            .collect()
    }

    /// Returns the demand that waits for capacity, in the queue's order and within the teams' limits.
    fn pending_demand<'a>(&'a self, leader: &'a LeaderState) -> Vec<EntryDemand<'a>> {
        let teams = self.team_usage(leader, &leader.cluster_snapshot);
        let mut spare_cpus: Vec<f64> = teams
            .iter()
            .map(|team| {
                team.cpu_limit
                    .map_or(f64::INFINITY, |limit| limit - team.cpus)
            })
            .collect();
        let boot_times = self.machine_types.iter().map(|t| t.boot_s);
        let fastest_boot_s = boot_times.fold(f64::INFINITY, f64::min);
        let mut demands = Vec::new();
        // Machines that have not reported to a new leader may be running tasks that it cannot see. Tasks that exceed
        // their capacity are certainly waiting, so machines for those can be added at once.
        let mut unobserved = self.unobserved_capacity(leader);
        for entry in self.job_queue(leader, BlockedJobs::Included) {
            if entry.run.is_suspect() {
                continue;
            }
            let resources = &entry.job.spec.resources;
            let mut tasks = entry.run.tasks.queued().len() as u32;
            if Self::blocked_by_recovery(leader, entry.job) {
                let possibly_running = resources.count_in(&unobserved).min(tasks);
                unobserved.sub(&resources.times(f64::from(possibly_running)));
                tasks -= possibly_running;
            }
            if resources.cpus > 0.0 {
                let spare = &mut spare_cpus[entry.team];
                let max_tasks = ((*spare + EPSILON) / resources.cpus).floor().max(0.0);
                tasks = tasks.min(max_tasks.min(MAX_TASKS) as u32);
                *spare -= f64::from(tasks) * resources.cpus;
            }
            if tasks > 0 {
                let demand = self.demand_of(&entry, tasks, fastest_boot_s);
                demands.push(EntryDemand { entry, demand });
            }
        }
        demands
    }

    fn demand_of(&self, entry: &QueueEntry, tasks: u32, fastest_boot_s: f64) -> PendingDemand {
        let spec = &entry.job.spec;
        let max_wait = |policy_entry| {
            let wait_s = self.policy.number(policy_entry, &entry.facts);
            let min_wait_s = fastest_boot_s * MIN_WAIT_PER_BOOT;
            Duration::from_secs_f64(wait_s.max(min_wait_s).clamp(0.0, MAX_WAIT_S))
        };
        PendingDemand {
            spec: spec.clone(),
            priority: entry.priority,
            tasks,
            expected_runtime: match spec.job_kind {
                JobKind::Service | JobKind::Gang => UNBOUNDED_RUNTIME,
                JobKind::Array => entry.expected_runtime,
            },
            max_wait: max_wait(Entry::MaxWait),
            max_spot_wait: max_wait(Entry::MaxSpotWait),
            excluded_offers: self.excluded_offers(entry.job, &entry.facts),
        }
    }

    /// Returns the offers that the cloud has refused recently, for the status view.
    pub(in crate::core) fn refused_offers(&self) -> Vec<Offer> {
        let Some(leader) = &self.leader else {
            return Vec::new();
        };
        let estimates = &leader.scheduler.bidding.estimates;
        estimates.refused(self.now.mono).cloned().collect()
    }
}
