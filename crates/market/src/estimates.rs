//! Estimates of the availability, loss rate and boot time of each market.
//!
//! The estimates are learned from the cloud's responses and may be wrong: a refusal shows that the
//! market had no machines at that moment, and a burst of lost machines makes further losses likely.
//! Estimates decay with time, so that a market that refused a request or lost machines is tried
//! again. A new leader starts without estimates and learns them within a few responses. Limits on
//! requests are enforced by the cloud, not by these estimates, so a wrong estimate costs money or
//! time but violates no limit.

use crate::Offer;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Initial and maximum time for which no machines are requested from a market that refused.
const INITIAL_BACKOFF: Duration = Duration::from_secs(4);
const MAX_BACKOFF: Duration = Duration::from_secs(12);
/// Time after the backoff during which another refusal doubles the backoff.
const REFUSAL_RETENTION: Duration = Duration::from_secs(30);
/// Number of machines requested from a market after a refusal, beyond the number that it last
/// granted. After a refusal, a market usually has only about as many machines as were released since.
/// The allowance doubles with each request that is granted in full.
const PROBE_MACHINES: u32 = 8;
/// Time after which the weight of recorded losses and machine time has halved.
const LOSS_HALF_LIFE: Duration = Duration::from_secs(60);
/// Prior of the loss rate: 0.05 machines in 360 seconds, which is one loss in two machine hours.
const PRIOR_LOSSES: f64 = 0.05;
const PRIOR_SECONDS: f64 = 360.0;
/// Weight of the announced boot time, in number of observed boots.
const PRIOR_BOOTS: f64 = 4.0;
/// Factor by which the weight of earlier boots is reduced at each boot.
const BOOT_DECAY: f64 = 0.95;
/// Limits of the ratio of observed to announced boot time. Some machines take several times as long
/// to boot, which does not predict the boot time of the next one.
const MIN_BOOT_RATIO: f64 = 0.05;
const MAX_BOOT_RATIO: f64 = 3.0;

/// Estimates of one market.
#[derive(Clone, Debug, Default)]
struct OfferEstimate {
    refusal: Option<Refusal>,
    /// Maximum number of machines to request after a refusal.
    allowance: Option<u32>,
    losses: LossRate,
}

/// Last refusal of a market and the backoff that follows from it.
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

/// Number of lost machines and total machine time, both with exponential decay.
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

/// Ratio of the observed boot time of a machine type to the boot time that the cloud announces.
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

/// Current forecast of a market.
#[derive(Clone, Debug, PartialEq)]
pub struct MarketForecast {
    /// Number of machines that the market is likely to grant; 0 during a backoff or in a closed zone.
    pub available: u32,
    /// Probability per second that a machine is lost.
    pub loss_rate: f64,
    /// Reason why no machines are requested, for the status view.
    pub closed_reason: Option<&'static str>,
}

/// Estimates of all markets.
#[derive(Clone, Debug, Default)]
pub struct MarketEstimates {
    offers: BTreeMap<Offer, OfferEstimate>,
    /// Boot time estimates by machine type.
    boot_times: BTreeMap<String, BootTimeEstimate>,
    /// Zones in which no machines are added, each with the reason.
    closed_zones: BTreeMap<String, &'static str>,
}

impl MarketEstimates {
    fn offer(&mut self, offer: &Offer) -> &mut OfferEstimate {
        if !self.offers.contains_key(offer) {
            self.offers.insert(offer.clone(), OfferEstimate::default());
        }
        self.offers
            .get_mut(offer)
            .expect("the entry was inserted above")
    }

    /// Records that `granted` of `requested` machines were granted.
    pub fn record_allocation(&mut self, offer: &Offer, requested: u32, granted: u32, now: Instant) {
        let estimate = self.offer(offer);
        if granted >= requested {
            // A market that grants a request in full usually has more machines.
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

    /// Records that a machine became ready after `took`, where the cloud had announced `announced`.
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

    /// Returns the expected time until a machine that is requested now accepts work.
    pub fn expected_boot(&self, machine_type: &str, announced: Duration) -> Duration {
        let ratio = self.boot_times.get(machine_type).map_or(1.0, |b| b.ratio);
        announced.mul_f64(ratio)
    }

    /// Records that `machines` machines of this market ran for `span` each.
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

    /// Records that machines of this market were reclaimed or lost in another way. The loss rate rises at
    /// once.
    pub fn record_losses(&mut self, offer: &Offer, machines: u32, now: Instant) {
        let losses = &mut self.offer(offer).losses;
        losses.decay(now);
        losses.lost += f64::from(machines);
    }

    /// Replaces the set of zones in which no machines are added. Zones that are not in the new set
    /// are open again: a zone without any machines left cannot be found unreachable.
    pub fn set_closed_zones(&mut self, zones: &[String], reason: &'static str) {
        self.closed_zones = zones.iter().map(|z| (z.clone(), reason)).collect();
    }

    /// Returns the current forecast of a market.
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

    /// Returns the markets that are in backoff after a refusal.
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
