//! What is believed of each market, learned from answers.
//!
//! Nothing here is a fact: a refusal says that there was nothing at that moment, a wave of lost
//! machines that more may follow. Beliefs fade with time, so that a market once refused or
//! struck is tried again. A new leader begins without any and learns within a few answers; what
//! it may rent is limited by the cloud alone, so a wrong belief costs money or time, never a rule.

use crate::Offer;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A refused market is left alone this long at first, and at most that long.
const INITIAL_BACKOFF: Duration = Duration::from_secs(4);
const MAX_BACKOFF: Duration = Duration::from_secs(12);
/// Refused again within this time after the pause, it is left alone twice as long.
const REFUSAL_MEMORY: Duration = Duration::from_secs(30);
/// After a refusal a market is asked for no more than what it last gave and a few: it mostly has
/// as many as were given back. The allowance doubles with every answer in full.
const PROBE_MACHINES: u32 = 8;
/// Losses count half after this time.
const LOSS_HALF_LIFE: Duration = Duration::from_secs(60);
/// Before anything is seen: one machine in two hours.
const PRIOR_LOSSES: f64 = 0.05;
const PRIOR_SECONDS: f64 = 360.0;

#[derive(Clone, Debug, Default)]
struct OfferEstimate {
    refusal: Option<Refusal>,
    /// How many may be asked for, after a refusal.
    allowance: Option<u32>,
    loss_rate: LossRate,
}

#[derive(Clone, Copy, Debug)]
struct Refusal {
    until: Instant,
    pause: Duration,
}

/// Machines lost against the time that machines were there; both fade.
#[derive(Clone, Copy, Debug, Default)]
struct LossRate {
    lost: f64,
    seconds: f64,
    at: Option<Instant>,
}

impl LossRate {
    fn fade(&mut self, now: Instant) {
        if let Some(at) = self.at {
            let passed = now.saturating_duration_since(at).as_secs_f64();
            let kept = 0.5f64.powf(passed / LOSS_HALF_LIFE.as_secs_f64());
            self.lost *= kept;
            self.seconds *= kept;
        }
        self.at = Some(now);
    }

    fn rate(&self) -> f64 {
        (self.lost + PRIOR_LOSSES) / (self.seconds + PRIOR_SECONDS)
    }
}

/// How long machines of a type take to come up, against what the cloud announces.
#[derive(Clone, Copy, Debug)]
struct BootTimeEstimate {
    ratio: f64,
    weight: f64,
}

impl Default for BootTimeEstimate {
    fn default() -> Self {
        // Announced times count as so many machines seen.
        BootTimeEstimate {
            ratio: 1.0,
            weight: 4.0,
        }
    }
}

/// What is believed of a market now.
#[derive(Clone, Debug, PartialEq)]
pub struct MarketForecast {
    /// Machines that it is likely to give; 0 while it is left alone.
    pub available: u32,
    /// Chance of losing a machine, for each second.
    pub loss_rate: f64,
    /// Why nothing is asked of it, for those who look.
    pub closed_reason: Option<&'static str>,
}

/// Beliefs about all markets.
#[derive(Clone, Debug, Default)]
pub struct MarketEstimates {
    offers: BTreeMap<Offer, OfferEstimate>,
    kinds: BTreeMap<String, BootTimeEstimate>,
    /// Zones whose machines are not heard, or that are being emptied.
    closed_zones: BTreeMap<String, &'static str>,
}

impl MarketEstimates {
    fn offer(&mut self, offer: &Offer) -> &mut OfferEstimate {
        if !self.offers.contains_key(offer) {
            self.offers.insert(offer.clone(), OfferEstimate::default());
        }
        self.offers.get_mut(offer).expect("just put there")
    }

    /// A request for `asked` machines was answered with `got` of them.
    pub fn record_allocation(&mut self, offer: &Offer, asked: u32, got: u32, now: Instant) {
        let b = self.offer(offer);
        if got >= asked {
            // What it gives in full it mostly has more of.
            b.allowance = b.allowance.map(|a| a.saturating_mul(2).max(PROBE_MACHINES));
            if b.refusal.is_some_and(|r| now > r.until + REFUSAL_MEMORY) {
                b.refusal = None;
                b.allowance = None;
            }
            return;
        }
        let again = b.refusal.filter(|r| now < r.until + REFUSAL_MEMORY);
        let pause = again.map_or(INITIAL_BACKOFF, |r| (r.pause * 2).min(MAX_BACKOFF));
        b.refusal = Some(Refusal {
            until: now + pause,
            pause,
        });
        b.allowance = Some(got.saturating_add(PROBE_MACHINES));
    }

    /// A machine came up after `took` where `announced` was expected.
    pub fn record_boot(&mut self, kind: &str, announced: Duration, took: Duration) {
        const FADE: f64 = 0.95;
        let announced = announced.as_secs_f64();
        if announced <= 0.0 {
            return;
        }
        // Some take several times as long: they say little of the next one.
        let ratio = (took.as_secs_f64() / announced).clamp(0.05, 3.0);
        let b = self.kinds.entry(kind.to_string()).or_default();
        let weight = b.weight * FADE + 1.0;
        b.ratio += (ratio - b.ratio) / weight;
        b.weight = weight;
    }

    /// When a machine rented now can be expected to take work.
    pub fn boot(&self, kind: &str, announced: Duration) -> Duration {
        let ratio = self.kinds.get(kind).map_or(1.0, |b| b.ratio);
        announced.mul_f64(ratio)
    }

    /// Machines of this market were there for `span`, each.
    pub fn exposed(&mut self, offer: &Offer, machines: u32, span: Duration, now: Instant) {
        let h = &mut self.offer(offer).loss_rate;
        h.fade(now);
        h.seconds += f64::from(machines) * span.as_secs_f64();
    }

    /// Machines of this market were taken, or were lost otherwise: the chance rises at once.
    pub fn lost(&mut self, offer: &Offer, machines: u32, now: Instant) {
        let h = &mut self.offer(offer).loss_rate;
        h.fade(now);
        h.lost += f64::from(machines);
    }

    /// Nothing is rented in these zones and, of all that were shut before, in no others: one whose
    /// machines are all gone has nobody left to be heard.
    pub fn set_closed_zones(&mut self, zones: &[String], why: &'static str) {
        self.closed_zones = zones.iter().map(|z| (z.clone(), why)).collect();
    }

    /// What is believed of a market now.
    pub fn market_forecast(&self, offer: &Offer, now: Instant) -> MarketForecast {
        let b = self.offers.get(offer);
        let loss_rate = b.map_or(LossRate::default().rate(), |b| b.loss_rate.rate());
        let refused = b.and_then(|b| b.refusal).filter(|r| now < r.until);
        let closed_reason = self
            .closed_zones
            .get(&offer.1)
            .copied()
            .or(refused.map(|_| "refused a short while ago"));
        let allowance = b.and_then(|b| {
            let fresh = b.refusal.is_some_and(|r| now < r.until + REFUSAL_MEMORY);
            b.allowance.filter(|_| fresh)
        });
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
        let refused = move |b: &OfferEstimate| b.refusal.is_some_and(|r| now < r.until);
        let offers = self.offers.iter();
        offers.filter(move |(_, b)| refused(b)).map(|(o, _)| o)
    }
}

#[cfg(test)]
mod tests;
