//! Bids of waiting work for capacity, cleared across markets.
//!
//! A *market* is a machine type in a zone, spot or ordinary. Waiting work *bids*: it says what
//! each delay costs it (`delay_cost`). What is believed of each market is learned from the cloud's and
//! the machines' answers (`estimate`), what will come soon from what came (`demand`). Clearing
//! (`clear`) says how many machines of which market are worth their money now, and `spread` keeps
//! zones in balance while it does.
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

/// A market: machine type, zone, and whether it is the spot one.
pub type Offer = (String, String, bool);
