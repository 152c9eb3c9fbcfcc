//! Estimates of each market, learned from answers.
//!
//! Nothing here is a fact: a refusal says that there was nothing at that moment, a wave of lost
//! machines that more may follow. Estimates fade with time, so that a market that has refused or
//! lost machines is tried again. A new leader begins without any and learns within a few answers;
//! what it may request is limited by the cloud alone, so a wrong estimate costs money or time,
//! never a rule.

use crate::Offer;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A market that refused is left alone this long at first, and at most that long.
const INITIAL_BACKOFF: Duration = Duration::from_secs(4);
const MAX_BACKOFF: Duration = Duration::from_secs(12);
/// If it refuses again within this time after the backoff, the backoff doubles.
const REFUSAL_RETENTION: Duration = Duration::from_secs(30);
/// After a refusal a market is asked for no more than what it last gave and a few: it mostly has
/// as many as were given back. The allowance doubles with every answer in full.
const PROBE_MACHINES: u32 = 8;
/// Losses count half after this time.
const LOSS_HALF_LIFE: Duration = Duration::from_secs(60);
/// Before anything is seen: one machine in two hours.
const PRIOR_LOSSES: f64 = 0.05;
const PRIOR_SECONDS: f64 = 360.0;
/// Announced boot times count as so many machines seen.
const PRIOR_BOOTS: f64 = 4.0;
/// How much the boots seen so far count when another machine comes up.
const BOOT_DECAY: f64 = 0.95;
/// Some machines take several times as long to boot: they say little of the next one.
const MIN_BOOT_RATIO: f64 = 0.05;
const MAX_BOOT_RATIO: f64 = 3.0;

#[derive(Clone, Debug, Default)]
struct OfferEstimate {
    refusal: Option<Refusal>,
    /// How many may be requested, after a refusal.
    allowance: Option<u32>,
    losses: LossRate,
}

#[derive(Clone, Copy, Debug)]
struct Refusal {
    until: Instant,
    backoff: Duration,
}

impl Refusal {
    fn is_active(&self, now: Instant) -> bool {
        now < self.until
    }

    fn is_recent(&self, now: Instant) -> bool {
        now < self.until + REFUSAL_RETENTION
    }
}

/// Machines lost against the time that machines were there; both decay.
#[derive(Clone, Copy, Debug, Default)]
struct LossRate {
    lost: f64,
    machine_seconds: f64,
    updated: Option<Instant>,
}

impl LossRate {
    fn decay(&mut self, now: Instant) {
        if let Some(updated) = self.updated {
            let passed = now.saturating_duration_since(updated).as_secs_f64();
            let decay = 0.5f64.powf(passed / LOSS_HALF_LIFE.as_secs_f64());
            self.lost *= decay;
            self.machine_seconds *= decay;
        }
        self.updated = Some(now);
    }

    fn per_second(&self) -> f64 {
        (self.lost + PRIOR_LOSSES) / (self.machine_seconds + PRIOR_SECONDS)
    }
}

/// How long machines of a type take to boot, against what the cloud announces.
#[derive(Clone, Copy, Debug)]
struct BootTimeEstimate {
    ratio: f64,
    weight: f64,
}

impl Default for BootTimeEstimate {
    fn default() -> Self {
        BootTimeEstimate {
            ratio: 1.0,
            weight: PRIOR_BOOTS,
        }
    }
}

/// What is expected of a market now.
#[derive(Clone, Debug, PartialEq)]
pub struct MarketForecast {
    /// Machines that it is likely to give; 0 while it is left alone.
    pub available: u32,
    /// Chance of losing a machine, for each second.
    pub loss_rate: f64,
    /// Why nothing is requested of it, for the status view.
    pub closed_reason: Option<&'static str>,
}

/// Estimates of all markets.
#[derive(Clone, Debug, Default)]
pub struct MarketEstimates {
    offers: BTreeMap<Offer, OfferEstimate>,
    /// By machine type.
    boot_times: BTreeMap<String, BootTimeEstimate>,
    /// Zones in which nothing is to be added, and why.
    closed_zones: BTreeMap<String, &'static str>,
}

impl MarketEstimates {
    fn offer(&mut self, offer: &Offer) -> &mut OfferEstimate {
        if !self.offers.contains_key(offer) {
            self.offers.insert(offer.clone(), OfferEstimate::default());
        }
        self.offers.get_mut(offer).expect("just put there")
    }

    /// A request for `requested` machines was answered with `granted` of them.
    pub fn record_allocation(&mut self, offer: &Offer, requested: u32, granted: u32, now: Instant) {
        let estimate = self.offer(offer);
        if granted >= requested {
            // What it gives in full it mostly has more of.
            let allowance = estimate.allowance;
            estimate.allowance = allowance.map(|a| a.saturating_mul(2).max(PROBE_MACHINES));
            if estimate
                .refusal
                .is_some_and(|r| now > r.until + REFUSAL_RETENTION)
            {
                estimate.refusal = None;
                estimate.allowance = None;
            }
            return;
        }
        let repeated = estimate.refusal.filter(|r| r.is_recent(now));
        let backoff = repeated.map_or(INITIAL_BACKOFF, |r| (r.backoff * 2).min(MAX_BACKOFF));
        estimate.refusal = Some(Refusal {
            until: now + backoff,
            backoff,
        });
        estimate.allowance = Some(granted.saturating_add(PROBE_MACHINES));
    }

    /// A machine came up after `took` where `announced` was expected.
    pub fn record_boot(&mut self, machine_type: &str, announced: Duration, took: Duration) {
        let announced = announced.as_secs_f64();
        if announced <= 0.0 {
            return;
        }
        let ratio = (took.as_secs_f64() / announced).clamp(MIN_BOOT_RATIO, MAX_BOOT_RATIO);
        let estimate = self.boot_times.entry(machine_type.to_string()).or_default();
        let weight = estimate.weight * BOOT_DECAY + 1.0;
        estimate.ratio += (ratio - estimate.ratio) / weight;
        estimate.weight = weight;
    }

    /// When a machine requested now can be expected to accept work, from now on.
    pub fn expected_boot(&self, machine_type: &str, announced: Duration) -> Duration {
        let ratio = self.boot_times.get(machine_type).map_or(1.0, |b| b.ratio);
        announced.mul_f64(ratio)
    }

    /// Machines of this market were there for `span`, each.
    pub fn record_machine_time(
        &mut self,
        offer: &Offer,
        machines: u32,
        span: Duration,
        now: Instant,
    ) {
        let losses = &mut self.offer(offer).losses;
        losses.decay(now);
        losses.machine_seconds += f64::from(machines) * span.as_secs_f64();
    }

    /// Machines of this market were reclaimed, or were lost otherwise: the chance rises at once.
    pub fn record_losses(&mut self, offer: &Offer, machines: u32, now: Instant) {
        let losses = &mut self.offer(offer).losses;
        losses.decay(now);
        losses.lost += f64::from(machines);
    }

    /// Nothing is added in these zones, and all that were closed before are open again: a zone
    /// whose machines are all gone has nobody left to be reached.
    pub fn set_closed_zones(&mut self, zones: &[String], reason: &'static str) {
        self.closed_zones = zones.iter().map(|z| (z.clone(), reason)).collect();
    }

    /// What is expected of a market now.
    pub fn forecast(&self, offer: &Offer, now: Instant) -> MarketForecast {
        let estimate = self.offers.get(offer);
        let loss_rate =
            estimate.map_or(LossRate::default().per_second(), |e| e.losses.per_second());
        let refusal = estimate.and_then(|e| e.refusal);
        let refused = refusal.is_some_and(|r| r.is_active(now));
        let closed_reason = self
            .closed_zones
            .get(&offer.zone)
            .copied()
            .or(refused.then_some("refused a short while ago"));
        let allowance = estimate
            .and_then(|e| e.allowance)
            .filter(|_| refusal.is_some_and(|r| r.is_recent(now)));
        MarketForecast {
            available: match closed_reason {
                Some(_) => 0,
                None => allowance.unwrap_or(u32::MAX),
            },
            loss_rate,
            closed_reason,
        }
    }

    /// Markets that are left alone now, since they refused.
    pub fn refused(&self, now: Instant) -> impl Iterator<Item = &Offer> {
        let is_refused =
            move |estimate: &OfferEstimate| estimate.refusal.is_some_and(|r| r.is_active(now));
        let offers = self.offers.iter();
        offers
            .filter(move |(_, estimate)| is_refused(estimate))
            .map(|(offer, _)| offer)
    }
}

#[cfg(test)]
mod tests;
