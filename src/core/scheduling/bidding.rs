//! Bidding: what starts are worth to waiting and expected work, and the markets cleared.

use crate::core::Core;
use crate::core::leadership::state::LeaderState;
use crate::core::scheduling::bidding_state::ClassDemand;
use crate::core::scheduling::scaling::EntryDemand;
use crate::job::{JobSpec, MachineId};
use crate::planning::autoscaler::{self, OfferMarket, ScaleOut};
use crate::planning::bids::{self, DemandBid};
use crate::planning::capacity_forecast::{BootingNodes, PendingDemand};
use crate::planning::cluster_snapshot::Offer;
use crate::policy::{Entry, FleetFacts, JobFacts};
use crate::settings::Objective;
use burlusher_market::delay_cost::missed_objective_cost;
use burlusher_market::{DelayCost, OfferBatch, ServiceLevelObjective, ZoneBalance};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A job takes so many times as long as its average task: as long as the slowest of them.
const SLOWEST_TASK_FACTOR: f64 = 1.3;
/// Expected demand arrives in so many waves.
const WAVES: u32 = 3;
/// Fewer tasks of a class than this are not worth a forecast.
const MIN_EXPECTED_TASKS: f64 = 0.5;
/// No more tasks of a class than this are expected in a wave.
const MAX_EXPECTED_TASKS: f64 = 1e6;
/// Nothing is expected beyond this, in seconds.
const MAX_FORECAST_HORIZON_S: f64 = 600.0;
/// Estimates are often wrong by half; of longer run times than this, by half of this.
const MAX_UNCERTAIN_RUNTIME: Duration = Duration::from_secs(3600);
/// Objectives that are met for longer than this are met for this long, in seconds.
const MAX_START_WITHIN_S: f64 = 1e7;
/// A bid's run time is at least the expected one, and that at least this.
const MIN_BID_RUNTIME: Duration = Duration::from_secs(1);

/// By when a task has to start for an objective to be met.
struct StartBound {
    /// From now on; negative if it is missed.
    within_s: f64,
    uncertainty: Duration,
}

/// By when a task has to start for an objective of the settings to be met; `None` if the
/// objective is not about its job.
fn start_bound(
    objective: &Objective,
    spec: &JobSpec,
    facts: &JobFacts,
    runtime: Duration,
) -> Option<StartBound> {
    let threshold_s = objective.threshold.map_or(0.0, |d| d.as_secs_f64());
    let remaining_s = threshold_s - facts.wait;
    let slowest_s = runtime.as_secs_f64() * SLOWEST_TASK_FACTOR;
    let on_start = |within_s| StartBound {
        within_s,
        uncertainty: Duration::ZERO,
    };
    let on_finish = |finish_within_s: f64| StartBound {
        within_s: finish_within_s - slowest_s,
        uncertainty: runtime.min(MAX_UNCERTAIN_RUNTIME) / 2,
    };
    let is_of_class = objective.class == spec.class;
    match objective.kind.as_str() {
        "guarantee" if facts.guaranteed => Some(on_start(remaining_s)),
        "wait" if is_of_class => Some(on_start(remaining_s)),
        "finished" if is_of_class => Some(on_finish(remaining_s)),
        "deadline" if is_of_class && facts.has_deadline => {
            let total_s = facts.deadline_left + facts.wait;
            let grace_s = (objective.times - 1.0) * total_s;
            Some(on_finish(facts.deadline_left + grace_s))
        }
        _ => None,
    }
}

impl Core {
    /// What the policy is evaluated with for the machines as a whole.
    pub(in crate::core) fn fleet_facts(&self, leader: &LeaderState) -> FleetFacts {
        FleetFacts {
            machines: leader.machines.values().count() as f64,
            zones: self.settings.zones.len() as f64,
            pause: leader.scheduler.arrivals.pause(),
        }
    }

    /// What a later start costs a task of a job: the objectives that it can still meet, by the
    /// settings, and the policy's value of its time.
    fn delay_cost(&self, spec: &JobSpec, facts: &JobFacts, runtime: Duration) -> DelayCost {
        let nominal_cost = bids::nominal_cost(&self.machine_types, spec, runtime);
        let weight = self.policy.number(Entry::ObjectiveWeight, facts);
        let mut objectives = Vec::new();
        for objective in &self.settings.objectives {
            let Some(bound) = start_bound(objective, spec, facts, runtime) else {
                continue;
            };
            // A missed objective is worth nothing any more.
            if bound.within_s + bound.uncertainty.as_secs_f64() <= 0.0 {
                continue;
            }
            let share = objective.share.unwrap_or(0.0);
            let within_s = bound.within_s.clamp(0.0, MAX_START_WITHIN_S);
            objectives.push(ServiceLevelObjective {
                start_within: Duration::from_secs_f64(within_s),
                uncertainty: bound.uncertainty,
                miss_cost: missed_objective_cost(nominal_cost, share, weight),
            });
        }
        let time_value = nominal_cost * self.policy.number(Entry::TimeValue, facts);
        DelayCost::new(objectives, time_value)
    }

    /// What one entry of the queue bids.
    pub(super) fn demand_bid(&self, pending: &EntryDemand) -> DemandBid {
        let EntryDemand { entry, demand } = pending;
        let expected_runtime = entry.expected_runtime.max(MIN_BID_RUNTIME);
        let runtime = demand.expected_runtime.min(expected_runtime);
        DemandBid {
            delay_cost: self.delay_cost(&demand.spec, &entry.facts, runtime),
            arrives_in: Duration::ZERO,
            demand: demand.clone(),
        }
    }

    /// What is expected to arrive within `horizon` beyond the usual, in waves.
    fn expected_demand(&self, leader: &mut LeaderState, horizon: Duration) -> Vec<DemandBid> {
        let now = self.now.mono;
        let wave = horizon / WAVES;
        let mut expected = Vec::new();
        for class in leader.scheduler.bidding.demand_by_class.values_mut() {
            let jobs = class.arrivals.surge(now) * wave.as_secs_f64();
            let (mean_tasks, runtime) = class.arrivals.mean_size();
            let tasks = jobs * mean_tasks;
            if tasks < MIN_EXPECTED_TASKS {
                continue;
            }
            let facts = self.expected_facts(class, mean_tasks, runtime);
            let delay_cost = self.delay_cost(&class.spec, &facts, runtime);
            let demand = PendingDemand {
                spec: class.spec.clone(),
                priority: class.priority,
                tasks: tasks.round().min(MAX_EXPECTED_TASKS) as u32,
                expected_runtime: runtime,
                max_wait: Duration::ZERO,
                max_spot_wait: Duration::ZERO,
                excluded_offers: Vec::new(),
            };
            expected.extend((0..WAVES).map(|index| DemandBid {
                demand: demand.clone(),
                arrives_in: wave * index + wave / 2,
                delay_cost: delay_cost.clone(),
            }));
        }
        expected
    }

    /// What the policy is evaluated with for a job that is expected of a class.
    fn expected_facts(&self, class: &ClassDemand, mean_tasks: f64, runtime: Duration) -> JobFacts {
        let spec = &class.spec;
        // Owners derive deadlines from their estimates: one job's slack stands for all.
        let deadline = spec
            .deadline
            .map(|deadline| deadline.saturating_sub(spec.estimate) + runtime);
        JobFacts {
            estimate: runtime.as_secs_f64(),
            tasks: mean_tasks,
            waiting: mean_tasks,
            cpus: spec.resources.cpus,
            gpus: spec.resources.gpus,
            ram: spec.resources.ram,
            image_gb: spec.image_gb,
            rank: f64::from(class.priority.level()),
            start_goal: self.objective_threshold(&spec.class, "wait"),
            finish_goal: self.objective_threshold(&spec.class, "finished"),
            has_deadline: deadline.is_some(),
            deadline_left: deadline.map_or(0.0, |d| d.as_secs_f64()),
            spot: spec.spot,
            ..JobFacts::default()
        }
    }

    /// Clears what waits and what is expected against the markets.
    pub(super) fn clear_bids(
        &mut self,
        mut demand_bids: Vec<DemandBid>,
        booting_nodes: &[BootingNodes],
        mut market: OfferMarket,
    ) -> Vec<ScaleOut> {
        let now = self.now.mono;
        let Some(mut leader) = self.leader.take() else {
            return Vec::new();
        };
        let facts = self.fleet_facts(&leader);
        market.zone_balance = self.zone_balance(&leader, booting_nodes, &facts);
        // What spot machines carry bids no more: they are added as soon as waiting is worth one,
        // for all who may use them, however long they would wait for others.
        let demands: Vec<PendingDemand> = demand_bids.iter().map(|b| b.demand.clone()).collect();
        let mut counts = autoscaler::plan_spot_scale_out(
            &leader.cluster_snapshot,
            booting_nodes,
            &demands,
            &market,
            now,
            |demand| demand.spec.spot,
        );
        let booting_nodes =
            autoscaler::with_scale_outs(booting_nodes, &counts, &self.machine_types);
        let horizon_s = self.policy.fleet_number(Entry::ForecastHorizon, &facts);
        if horizon_s > 0.0 {
            let horizon = Duration::from_secs_f64(horizon_s.min(MAX_FORECAST_HORIZON_S));
            for expected in self.expected_demand(&mut leader, horizon) {
                insert_by_priority(&mut demand_bids, expected);
            }
        }
        record_machine_time(&mut leader, now);
        let estimates = &leader.scheduler.bidding.estimates;
        let batches = bids::offer_batches(&self.machine_types, estimates, now);
        let (awarded, result) = bids::plan_scale_out(
            &leader.cluster_snapshot,
            &booting_nodes,
            &demand_bids,
            &market,
            &batches,
            now,
        );
        if !result.awards.is_empty() {
            tracing::debug!(
                method = result.method.name(),
                saved = result.saved.round(),
                cost = result.cost.round(),
                unserved_tasks = result.unserved.round(),
                "markets cleared"
            );
        }
        leader.scheduler.bidding.last_clearing = Some(result);
        self.leader = Some(leader);
        for (offer, count) in awarded {
            *counts.entry(offer).or_default() += count;
        }
        autoscaler::split_into_requests(counts)
    }

    /// What each zone holds, machines that boot included.
    fn zone_balance(
        &self,
        leader: &LeaderState,
        booting_nodes: &[BootingNodes],
        facts: &FleetFacts,
    ) -> ZoneBalance {
        let tolerance = self.policy.fleet_number(Entry::ZoneTolerance, facts);
        let zones = self.settings.zones.iter().map(String::as_str);
        let mut balance = ZoneBalance::new(zones, tolerance.clamp(0.0, 1.0));
        for class in leader.cluster_snapshot.classes() {
            let cpus = class.capacity.cpus * f64::from(class.machines as u32);
            balance.add(&class.offer.zone, cpus);
        }
        for nodes in booting_nodes {
            let cpus = nodes.capacity.cpus * f64::from(nodes.count);
            balance.add(&nodes.offer.zone, cpus);
        }
        balance
    }

    /// Each market as it is estimated, and what the last clearing has made of all bids.
    pub(in crate::core) fn markets_view(&self, leader: &LeaderState) -> Value {
        let estimates = &leader.scheduler.bidding.estimates;
        let batches = bids::offer_batches(&self.machine_types, estimates, self.now.mono);
        let markets: Vec<Value> = batches
            .iter()
            .enumerate()
            .map(|(index, batch)| self.market_view(leader, index, batch))
            .collect();
        let last_clearing = leader.scheduler.bidding.last_clearing.as_ref();
        let cleared = last_clearing.map(|clearing| {
            json!({
                "by": clearing.method.name(),
                "saves": clearing.saved.round(), "costs": clearing.cost.round(),
                "tasks_not_worth_a_machine": clearing.unserved.round(),
            })
        });
        json!({"cleared": cleared, "markets": markets})
    }

    fn market_view(&self, leader: &LeaderState, index: usize, batch: &OfferBatch) -> Value {
        let bidding = &leader.scheduler.bidding;
        let mut classes = leader.cluster_snapshot.classes().iter();
        let class = classes.find(|class| class.offer == batch.offer);
        let mut awards = bidding.last_clearing.iter().flat_map(|c| &c.awards);
        let award = awards.find(|award| award.batch == index);
        let forecast = bidding.estimates.forecast(&batch.offer, self.now.mono);
        json!({
            "type": batch.offer.machine_type,
            "zone": batch.offer.zone,
            "spot": batch.offer.spot,
            "price": batch.price,
            "ready_s": batch.ready_in.as_secs_f64().round(),
            "lost_per_hour": (batch.loss_rate * 3600.0 * 100.0).round() / 100.0,
            "held": class.map_or(0, |class| class.machines),
            "awarded": award.map_or(0, |award| award.count),
            "shut": forecast.closed_reason,
        })
    }

    /// A machine was lost, or is going to be: its market is less safe than it seemed.
    pub(in crate::core) fn record_machine_loss(&mut self, id: &MachineId) {
        let now = self.now.mono;
        let Some(leader) = &mut self.leader else {
            return;
        };
        if let Some(machine) = leader.machines.get(id) {
            let offer = Offer::new(&machine.machine_type, &machine.zone, machine.spot);
            let estimates = &mut leader.scheduler.bidding.estimates;
            estimates.record_losses(&offer, 1, now);
        }
    }
}

/// Puts an expected bid behind what waits at its priority, before lower ones; the order of what
/// waits stays.
fn insert_by_priority(demand_bids: &mut Vec<DemandBid>, expected: DemandBid) {
    let priority = expected.demand.priority;
    let last_before = demand_bids
        .iter()
        .rposition(|bid| bid.demand.priority <= priority);
    demand_bids.insert(last_before.map_or(0, |index| index + 1), expected);
}

/// Records for the loss rates how many machines of each market there are.
fn record_machine_time(leader: &mut LeaderState, now: Instant) {
    let mut machines: BTreeMap<Offer, u32> = BTreeMap::new();
    for class in leader.cluster_snapshot.classes() {
        *machines.entry(class.offer.clone()).or_default() += class.machines as u32;
    }
    let bidding = &mut leader.scheduler.bidding;
    bidding.record_machine_time(now, &machines);
}
