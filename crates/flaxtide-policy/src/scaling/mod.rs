//! How many backend servers a service should have, in which data centre and at which price.
//!
//! The [`ServerScaler`] is pure: what serves, what is asked for and the time go in, orders
//! come out. Servers at the lower price may all be taken away in a data centre at once, so
//! they are spread over data centres, and what they can't bear is held at the full price.

mod demand;
mod scaler;
mod stock;

pub use self::scaler::{ScalerOptions, ServerScaler};
pub use self::stock::{OrderOutcome, ServerCounts, ServerOrder};

use std::collections::BTreeMap;
use std::time::Duration;

use flaxtide_core::DataCentreName;

/// Within which bounds the servers of a service may be ordered, and what they cost.
#[derive(Debug, Clone, PartialEq)]
pub struct ScalingRules {
    /// The fewest servers in a data centre, of both prices together.
    pub min_servers: u32,
    /// The most.
    pub max_servers: u32,
    /// How long an ordered server takes until it serves.
    pub boot_time: Duration,
    /// The part of the full price at which servers may be had that may be taken away; nothing
    /// if there are none.
    pub spot_price: Option<f64>,
    /// What a second of a server costs, by data centre.
    pub prices: BTreeMap<DataCentreName, f64>,
}
