//! Bidding: values earlier starts of waiting and expected tasks, and clears these bids against the markets for
//! machines.

use crate::core::Core;
use crate::core::leadership::state::LeaderState;
use crate::core::scheduling::bidding_state::ClassDemand;
use crate::core::scheduling::scaling::EntryDemand;
use crate::job::{JobSpec, MachineId};
use crate::planning::autoscaler::{self, OfferMarket};
use crate::planning::bids::{self, DemandBid};
use crate::planning::capacity_forecast::{BootingNodes, PendingDemand};
use crate::planning::cluster_snapshot::Offer;
use crate::planning::request_limit::ScaleOut;
use crate::policy::{Entry, FleetFacts, JobFacts};
use crate::settings::Objective;
use burlusher_market::delay_cost::missed_objective_cost;
use burlusher_market::{DelayCost, OfferBatch, ServiceLevelObjective, ZoneBalance};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Assumed ratio of a job's run time, which is that of its slowest task, to the average run time of its tasks.
const SLOWEST_TASK_FACTOR: f64 = 1.3;
/// Number of waves in which expected demand is assumed to arrive.
const WAVES: u32 = 3;
/// Minimum number of expected tasks of a class in a wave; fewer are ignored.
const MIN_EXPECTED_TASKS: f64 = 0.5;
/// Maximum number of expected tasks of a class in a wave.
const MAX_EXPECTED_TASKS: f64 = 1e6;
/// Maximum forecast horizon, in seconds.
const MAX_FORECAST_HORIZON_S: f64 = 600.0;
/// Run time up to which the uncertainty of an estimate is half of it, as estimates are often wrong by half; for longer
/// run times, the uncertainty is half of this.
const MAX_UNCERTAIN_RUNTIME: Duration = Duration::from_secs(3600);
/// Maximum time within which a task has to start for an objective, in seconds, to which longer times are reduced.
const MAX_START_WITHIN_S: f64 = 1e7;
/// Minimum run time in the bids of services and gangs.
const MIN_BID_RUNTIME: Duration = Duration::from_secs(1);

/// Latest start of a task that meets an objective.
struct StartBound {
    /// Time from now, in seconds; negative if it has passed.
    within_s: f64,
    /// Uncertainty of that time, caused by that of the run time.
    uncertainty: Duration,
}

/// Returns the latest start of a task that meets an objective of the settings, or `None` if the objective does not
/// apply to the task's job.
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
            let grace_s = (objective.deadline_factor - 1.0) * total_s;
            Some(on_finish(facts.deadline_left + grace_s))
        }
        _ => None,
    }
}

impl Core {
    /// Returns the facts that the policy is evaluated with for the machines as a whole.
    pub(in crate::core) fn fleet_facts(&self, leader: &LeaderState) -> FleetFacts {
        FleetFacts {
            machines: leader.machines.values().count() as f64,
            zones: self.settings.zones.len() as f64,
            pause: leader.scheduler.arrivals.mean_interarrival_s(),
        }
    }

    /// Returns the cost of a later start of a job's task: that of missing the objectives that the task can still meet,
    /// and the policy's value of its time.
    fn delay_cost(&self, spec: &JobSpec, facts: &JobFacts, runtime: Duration) -> DelayCost {
        let nominal_cost = bids::nominal_cost(&self.machine_types, spec, runtime);
        let weight = self.policy.number(Entry::ObjectiveWeight, facts);
        let mut objectives = Vec::new();
        for objective in &self.settings.objectives {
            let Some(bound) = start_bound(objective, spec, facts, runtime) else {
                continue;
            };
            // An objective that is certainly missed has no more influence on the cost.
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

    /// Returns the bid of one queue entry.
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

    /// Returns bids for the tasks that are expected to arrive within `horizon` beyond the baseline rate, in waves.
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

    /// Returns the facts that the policy is evaluated with for an expected job of a class.
    fn expected_facts(&self, class: &ClassDemand, mean_tasks: f64, runtime: Duration) -> JobFacts {
        let spec = &class.spec;
        // Owners derive deadlines from their estimates, so the newest job's slack is assumed for all jobs of the class.
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

    /// Clears the bids of waiting and of expected demand against the markets. Returns the resulting scale-outs.
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
        // Spot machines are added first, as soon as waiting costs more than one of them, for every job that may use
        // them, however long it would wait for other machines. Demand that they will serve does not bid.
        let demands: Vec<PendingDemand> = demand_bids.iter().map(|b| b.demand.clone()).collect();
        let spot_plan = autoscaler::plan_spot_scale_out(
            &leader.cluster_snapshot,
            booting_nodes,
            &demands,
            &market,
            now,
            |demand| demand.spec.spot,
        );
        let booting_nodes =
            autoscaler::with_planned_nodes(booting_nodes, spot_plan.counts(), &self.machine_types);
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
        let mut counts = spot_plan.into_counts();
        for (offer, count) in awarded {
            *counts.entry(offer).or_default() += count;
        }
        market.request_limit.requests_for(&counts)
    }

    /// Returns the capacity of each zone, including machines that are booting.
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

    /// Returns the status view of the markets: the estimates of each market, and the result of the last clearing.
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

    /// Records in the estimates of a machine's market that the machine was lost or is about to be.
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

/// Inserts an expected bid after the waiting ones of the same priority and before those of lower priority. The order of
/// the waiting bids does not change.
fn insert_by_priority(demand_bids: &mut Vec<DemandBid>, expected: DemandBid) {
    let priority = expected.demand.priority;
    let last_before = demand_bids
        .iter()
        .rposition(|bid| bid.demand.priority <= priority);
    demand_bids.insert(last_before.map_or(0, |index| index + 1), expected);
}

/// Records the number of machines in each market, from which loss rates are estimated.
fn record_machine_time(leader: &mut LeaderState, now: Instant) {
    let mut machines: BTreeMap<Offer, u32> = BTreeMap::new();
    for class in leader.cluster_snapshot.classes() {
        *machines.entry(class.offer.clone()).or_default() += class.machines as u32;
    }
    let bidding = &mut leader.scheduler.bidding;
    bidding.record_machine_time(now, &machines);
}
