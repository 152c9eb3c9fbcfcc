//! Bids of waiting work for capacity, cleared across markets.
//!
//! A *market* is a machine type in a zone, spot or on-demand. Waiting work *bids*: it says what
//! each delay costs it ([`delay_cost`]). What is known of each market is estimated from the
//! cloud's and the machines' answers ([`estimates`]), and what will arrive soon from what has
//! arrived ([`arrivals`]). Clearing ([`clearing`]) says how many machines of which market are
//! worth their money now, and [`zone_balance`] keeps zones in balance while it does.
//!
//! The package exists to keep this decision apart from placing tasks and from calling the cloud:
//! it is pure, without a clock or I/O, and the same input gives the same awards in every process.
//!
//! Money is in units of the cloud's price per hour, for a second: a machine of price 3.6 costs
//! 3.6 units a second. Only ratios matter.

pub mod arrivals;
pub mod clearing;
pub mod delay_cost;
pub mod estimates;
pub mod zone_balance;

pub use arrivals::ArrivalEstimate;
pub use clearing::{Award, Bid, MachineFit, Method, OfferBatch, clear};
pub use delay_cost::{DelayCost, ServiceLevelObjective};
pub use estimates::{MarketEstimates, MarketForecast};
pub use zone_balance::ZoneBalance;

/// A market: a machine type in a zone, spot or on-demand.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Offer {
    /// The type's name.
    pub machine_type: String,
    /// The zone's name.
    pub zone: String,
    /// Whether it is the spot market.
    pub spot: bool,
}

impl Offer {
    /// The market of a type in a zone.
    pub fn new(machine_type: &str, zone: &str, spot: bool) -> Offer {
        Offer {
            machine_type: machine_type.to_string(),
            zone: zone.to_string(),
            spot,
        }
    }
}
