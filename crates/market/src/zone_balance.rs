//! Balance of capacity among zones: none should hold more than an equal share, within a tolerance.
//!
//! The equal share is one divided by the number of open zones. The price of a machine in a zone that
//! exceeds the equal share plus the tolerance is multiplied by a factor that grows with the excess.
//! As the imbalance has only a price, a zone without an alternative can still be used.

use std::collections::BTreeMap;

/// Price factor of a zone that holds all capacity.
const MAX_PRICE_FACTOR: f64 = 3.0;

/// Capacity of each zone, in any additive measure such as CPUs.
#[derive(Clone, Debug, Default)]
pub struct ZoneBalance {
    held: BTreeMap<String, f64>,
    /// Maximum excess over the equal share, as a fraction of all capacity; 1 or more is no limit.
    tolerance: f64,
}

impl ZoneBalance {
    /// Creates a balance of these zones, which hold no capacity yet.
    pub fn new<'a>(zones: impl IntoIterator<Item = &'a str>, tolerance: f64) -> ZoneBalance {
        let held = zones.into_iter().map(|z| (z.to_string(), 0.0)).collect();
        ZoneBalance { held, tolerance }
    }

    /// Adds capacity to a zone; zones that were not given to `new` are ignored.
    pub fn add(&mut self, zone: &str, amount: f64) {
        if let Some(held) = self.held.get_mut(zone) {
            *held += amount;
        }
    }

    fn equal_share(&self) -> f64 {
        1.0 / self.held.len().max(1) as f64
    }

    /// Returns the fraction of all capacity that a zone holds; the equal share while there is none.
    pub fn share(&self, zone: &str) -> f64 {
        let total: f64 = self.held.values().sum();
        match self.held.get(zone) {
            Some(held) if total > 0.0 => held / total,
            _ => self.equal_share(),
        }
    }

    /// Returns the excess of the largest share over the equal share.
    pub fn max_excess(&self) -> f64 {
        let equal = self.equal_share();
        let excesses = self.held.keys().map(|zone| self.share(zone) - equal);
        excesses.fold(0.0, f64::max)
    }

    /// Returns the factor by which the price of a machine in this zone is multiplied.
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
