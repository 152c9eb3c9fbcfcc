//! Balance of zones: none should hold more than its share of the capacity, within a tolerance.
//!
//! A zone's share is an equal part of all zones that are open. In a zone that holds more than it
//! and the tolerance, a machine counts as more expensive, the more so the greater the excess:
//! balance costs money, and where a zone has no alternative, it gives way.

use std::collections::BTreeMap;

/// A machine in a zone that holds all there is counts this many times its price.
const MAX_PRICE_FACTOR: f64 = 3.0;

/// How capacity is spread over zones, in any measure that adds up (CPUs, say).
#[derive(Clone, Debug, Default)]
pub struct ZoneBalance {
    held: BTreeMap<String, f64>,
    /// How far beyond an equal share a zone may go, as a part of all: 1 and more is no bound.
    tolerance: f64,
}

impl ZoneBalance {
    /// These zones, which hold nothing yet.
    pub fn new<'a>(zones: impl IntoIterator<Item = &'a str>, tolerance: f64) -> ZoneBalance {
        let held = zones.into_iter().map(|z| (z.to_string(), 0.0)).collect();
        ZoneBalance { held, tolerance }
    }

    /// Counts capacity in a zone; zones that are not listed do not matter.
    pub fn add(&mut self, zone: &str, amount: f64) {
        if let Some(held) = self.held.get_mut(zone) {
            *held += amount;
        }
    }

    fn equal_share(&self) -> f64 {
        1.0 / self.held.len().max(1) as f64
    }

    /// The part of all that a zone holds; an equal one while nothing is held.
    pub fn share(&self, zone: &str) -> f64 {
        let total: f64 = self.held.values().sum();
        match self.held.get(zone) {
            Some(held) if total > 0.0 => held / total,
            _ => self.equal_share(),
        }
    }

    /// By how much the zone with the greatest share exceeds an equal one.
    pub fn max_excess(&self) -> f64 {
        let equal = self.equal_share();
        let excesses = self.held.keys().map(|zone| self.share(zone) - equal);
        excesses.fold(0.0, f64::max)
    }

    /// How many times its price a machine in this zone counts for.
    pub fn price_factor(&self, zone: &str) -> f64 {
        let equal = self.equal_share();
        let range = 1.0 - equal - self.tolerance;
        if range <= 0.0 {
            return 1.0;
        }
        let excess = (self.share(zone) - equal - self.tolerance).max(0.0);
        1.0 + (MAX_PRICE_FACTOR - 1.0) * (excess / range).min(1.0)
    }
}

#[cfg(test)]
mod tests;
