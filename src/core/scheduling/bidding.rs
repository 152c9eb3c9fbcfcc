//! Bidding: what starts are worth to waiting and expected work, what the markets' answers teach,
//! and the awards carried out.

use crate::core::Core;
use crate::core::leadership::state::LeaderState;
use crate::core::scheduling::QueueEntry;
use crate::job::{JobSpec, MachineId};
use crate::planning::autoscaler::{self, ScaleOut};
use crate::planning::bids::{self, DemandBid};
use crate::planning::capacity_forecast::{BootingNodes, PendingDemand};
use crate::planning::cluster_snapshot::Offer;
use crate::policy::{Entry, FleetFacts, JobFacts};
use burlusher_market::clearing::missed_objective_cost;
use burlusher_market::{DelayCost, ServiceLevelObjective, ZoneBalance};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::time::Duration;

/// A job takes as long as the slowest of its tasks.
const SLOWEST: f64 = 1.3;
/// What is expected comes in so many parts.
const WAVES: u32 = 3;
/// Fewer tasks of a class than this are not worth a forecast.
const LEAST_EXPECTED: f64 = 0.5;

impl Core {
    pub(in crate::core) fn fleet_facts(&self, leader: &LeaderState) -> FleetFacts {
        FleetFacts {
            machines: leader.machines.values().count() as f64,
            zones: self.settings.zones.len() as f64,
            pause: leader.scheduler.arrivals.pause(),
        }
    }

    /// What a later start costs a task of a job: the aims that it can still meet, by the settings.
    fn delay_cost(&self, spec: &JobSpec, facts: &JobFacts, run: Duration) -> DelayCost {
        let nominal_cost = bids::nominal_cost(&self.machine_types, spec, run);
        let times = self.policy.number(Entry::ObjectiveWeight, facts);
        let slowest = run.as_secs_f64() * SLOWEST;
        // Estimates are often wrong by half.
        let wrong = run.min(Duration::from_secs(3600)) / 2;
        let mut aims = Vec::new();
        for o in &self.settings.objectives {
            let within = o.threshold.map_or(0.0, |d| d.as_secs_f64());
            let (by, unsure) = match o.kind.as_str() {
                "guarantee" if facts.guaranteed => (within - facts.wait, Duration::ZERO),
                _ if o.class != spec.class => continue,
                "wait" => (within - facts.wait, Duration::ZERO),
                "finished" => (within - facts.wait - slowest, wrong),
                "deadline" if facts.has_deadline => {
                    let total = facts.deadline_left + facts.wait;
                    let left = facts.deadline_left + (o.times - 1.0) * total;
                    (left - slowest, wrong)
                }
                _ => continue,
            };
            // A missed aim is worth nothing any more.
            if by + unsure.as_secs_f64() > 0.0 {
                let loss = missed_objective_cost(nominal_cost, o.share.unwrap_or(0.0), times);
                let by = Duration::from_secs_f64(by.clamp(0.0, 1e7));
                aims.push(ServiceLevelObjective { by, unsure, loss });
            }
        }
        DelayCost::new(
            aims,
            nominal_cost * self.policy.number(Entry::TimeValue, facts),
        )
    }

    /// What one entry of the queue asks of the markets.
    pub(in crate::core) fn demand_bid(
        &self,
        entry: &QueueEntry,
        unmet: PendingDemand,
    ) -> DemandBid {
        let run = unmet
            .estimate
            .min(entry.estimate.max(Duration::from_secs(1)));
        DemandBid {
            delay_cost: self.delay_cost(&unmet.spec, &entry.facts, run),
            arrives: Duration::ZERO,
            unmet,
        }
    }

    /// What is expected to come within `ahead` beyond what is usual, in waves.
    fn expected(&self, leader: &mut LeaderState, ahead: Duration) -> Vec<DemandBid> {
        let now = self.now.mono;
        let mut out = Vec::new();
        let wave = ahead / WAVES;
        for e in leader.scheduler.bidding.expected.values_mut() {
            let jobs = e.demand.surge(now) * wave.as_secs_f64();
            let (size, run) = e.demand.size();
            let tasks = jobs * size;
            if tasks < LEAST_EXPECTED {
                continue;
            }
            let goal = |kind: &str| self.objective_threshold(&e.spec.class, kind);
            // Owners derive deadlines from their estimates: one job's slack stands for all.
            let due = e
                .spec
                .deadline
                .map(|d| d.saturating_sub(e.spec.estimate) + run);
            let facts = JobFacts {
                estimate: run.as_secs_f64(),
                tasks: size,
                waiting: size,
                cpus: e.spec.resources.cpus,
                gpus: e.spec.resources.gpus,
                ram: e.spec.resources.ram,
                image_gb: e.spec.image_gb,
                rank: e.rank as u8 as f64,
                start_goal: goal("wait"),
                finish_goal: goal("finished"),
                has_deadline: due.is_some(),
                deadline_left: due.map_or(0.0, |d| d.as_secs_f64()),
                spot: e.spec.spot,
                ..JobFacts::default()
            };
            let delay_cost = self.delay_cost(&e.spec, &facts, run);
            for i in 0..WAVES {
                out.push(DemandBid {
                    unmet: PendingDemand {
                        spec: e.spec.clone(),
                        rank: e.rank,
                        tasks: tasks.round().min(1e6) as u32,
                        estimate: run,
                        patience: Duration::ZERO,
                        spot_patience: Duration::ZERO,
                        quarantined: Vec::new(),
                    },
                    arrives: wave * i + wave / 2,
                    delay_cost: delay_cost.clone(),
                });
            }
        }
        out
    }

    /// Clears what waits and what is expected against the markets.
    pub(in crate::core) fn bid(
        &mut self,
        mut demand_bids: Vec<DemandBid>,
        booting_nodes: &[BootingNodes],
        mut market: autoscaler::OfferMarket,
    ) -> Vec<ScaleOut> {
        let now = self.now.mono;
        let Some(mut leader) = self.leader.take() else {
            return Vec::new();
        };
        let facts = self.fleet_facts(&leader);
        let mut machines: BTreeMap<Offer, u32> = BTreeMap::new();
        let tolerance = self.policy.fleet_number(Entry::ZoneTolerance, &facts);
        let zones = self.settings.zones.iter().map(String::as_str);
        let mut spread = ZoneBalance::new(zones, tolerance.clamp(0.0, 1.0));
        for class in &leader.cluster_snapshot.classes {
            let count = class.machines as u32;
            *machines.entry(class.offer.clone()).or_default() += count;
            spread.add(&class.offer.1, class.room.cpus * f64::from(count));
        }
        for c in booting_nodes {
            spread.add(&c.offer.1, c.room.cpus * f64::from(c.count));
        }
        market.spread = spread;
        // What spot machines carry bids no more: they are had as soon as waiting is worth one, for
        // all who may use them, however little patience they have for others.
        let unmet: Vec<PendingDemand> = demand_bids.iter().map(|a| a.unmet.clone()).collect();
        let mut rents = autoscaler::scale_out_spot(
            &leader.cluster_snapshot,
            booting_nodes,
            &unmet,
            &market,
            now,
            |u| u.spec.spot,
        );
        let booting_nodes =
            &autoscaler::with_scale_outs(booting_nodes, &rents, &self.machine_types)[..];
        let ahead = self.policy.fleet_number(Entry::ForecastHorizon, &facts);
        if ahead > 0.0 {
            let ahead = Duration::from_secs_f64(ahead.min(600.0));
            for expected in self.expected(&mut leader, ahead) {
                // Behind what waits at its rank, before lower ones; the guarantee's order stays.
                let before = |a: &DemandBid| a.unmet.rank <= expected.unmet.rank;
                let at = demand_bids.iter().rposition(before).map_or(0, |i| i + 1);
                demand_bids.insert(at, expected);
            }
        }
        leader.scheduler.bidding.expose(now, &machines);
        let batches = bids::batches(
            &self.machine_types,
            &leader.scheduler.bidding.estimates,
            now,
        );
        let (more, cleared) = bids::rent(
            &leader.cluster_snapshot,
            booting_nodes,
            &demand_bids,
            &market,
            &batches,
            now,
        );
        if !cleared.awards.is_empty() {
            tracing::debug!(
                "cleared {:?}: saves {:.0}, costs {:.0}, {:.0} tasks not worth a machine",
                cleared.method,
                cleared.saved,
                cleared.cost,
                cleared.unserved,
            );
        }
        leader.scheduler.bidding.last = Some(cleared);
        self.leader = Some(leader);
        for (offer, count) in more {
            *rents.entry(offer).or_default() += count;
        }
        autoscaler::split_into_requests(rents)
    }

    /// Each market as it is believed to be, and what the last clearing made of all bids.
    pub(in crate::core) fn markets_view(&self, leader: &LeaderState) -> Value {
        let now = self.now.mono;
        let estimates = &leader.scheduler.bidding.estimates;
        let mut markets = Vec::new();
        for (i, batch) in bids::batches(&self.machine_types, estimates, now)
            .iter()
            .enumerate()
        {
            let (kind, zone, spot) = &batch.offer;
            let held = leader
                .cluster_snapshot
                .classes
                .iter()
                .find(|c| c.offer == batch.offer);
            let last = leader.scheduler.bidding.last.as_ref();
            let award = last.and_then(|c| c.awards.iter().find(|a| a.batch == i));
            markets.push(json!({
                "type": kind, "zone": zone, "spot": spot,
                "price": batch.price, "ready_s": batch.ready.as_secs_f64().round(),
                "lost_per_hour": (batch.loss_rate * 3600.0 * 100.0).round() / 100.0,
                "held": held.map_or(0, |c| c.machines),
                "awarded": award.map_or(0, |a| a.count),
                "shut": estimates.market_forecast(&batch.offer, now).closed_reason,
            }));
        }
        let cleared = leader.scheduler.bidding.last.as_ref().map(|c| {
            json!({
                "by": format!("{:?}", c.method).to_lowercase(),
                "saves": c.saved.round(), "costs": c.cost.round(),
                "tasks_not_worth_a_machine": c.unserved.round(),
            })
        });
        json!({"cleared": cleared, "markets": markets})
    }

    /// A machine was lost, or is going to be: its market is less safe than it seemed.
    pub(in crate::core) fn machine_lost(&mut self, id: &MachineId) {
        let now = self.now.mono;
        let Some(leader) = &mut self.leader else {
            return;
        };
        if let Some(m) = leader.machines.get(id) {
            let offer = (m.machine_type.clone(), m.zone.clone(), m.spot);
            leader.scheduler.bidding.estimates.lost(&offer, 1, now);
        }
    }
}
