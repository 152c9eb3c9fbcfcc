//! Decides how many machines of each market to add for the work that waits.
//!
//! A *market* is a machine type in a zone, spot or on-demand. Groups of waiting tasks submit
//! *bids*, which state what a delayed start costs them ([`delay_cost`]). The availability, loss
//! rate and boot time of each market are estimated from the responses of the cloud and from the
//! machines' heartbeats ([`estimates`]); the arrival rate of jobs is estimated from recent arrivals
//! ([`arrivals`]). *Clearing* ([`clearing`]) determines how many machines of each market save more
//! than they cost, and [`zone_balance`] keeps capacity balanced among zones.
//!
//! The package separates this decision from task placement and from calls to the cloud. It has no
//! clock and no I/O, and the same input gives the same awards in every process.
//!
//! The unit of money is one second at an hourly price of 1: a machine with an hourly price of 3.6
//! costs 3.6 units per second. Only ratios of amounts matter.

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

/// Market: a machine type in a zone, spot or on-demand.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Offer {
    /// Name of the machine type.
    pub machine_type: String,
    /// Name of the zone.
    pub zone: String,
    /// Whether the machines are spot (interruptible) rather than on-demand.
    pub spot: bool,
}

impl Offer {
    /// Creates the market of a machine type in a zone.
    pub fn new(machine_type: &str, zone: &str, spot: bool) -> Offer {
        Offer {
            machine_type: machine_type.to_string(),
            zone: zone.to_string(),
            spot,
        }
    }
}
