//! Scaling of services: how many backend servers to order, in which data centre, and
//! whether at the spot price or the regular price.
//!
//! The [`ServerScaler`] performs no I/O: it is given the running servers, the demand and
//! the time, and returns orders. All spot servers of a data centre may be reclaimed at
//! once. Spot servers are therefore spread over data centres, and regular servers are
//! ordered for the demand that the spot servers can't serve.

mod demand;
mod order;
mod scaler;

pub use self::order::{OrderOutcome, ServerCounts, ServerOrder};
pub use self::scaler::{ScalerOptions, ServerScaler};

use std::collections::BTreeMap;
use std::time::Duration;

use flaxtide_core::DataCentreName;

/// The limits and prices for the servers of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct ScalingRules {
    /// The minimum number of servers in a data centre, spot and regular together.
    pub min_servers: u32,
    /// The maximum number of servers in a data centre, spot and regular together.
    pub max_servers: u32,
    /// The time from an order until the server serves requests.
    pub boot_time: Duration,
    /// The price of a spot server as a fraction of the regular price, or `None` if there
    /// are no spot servers.
    pub spot_price: Option<f64>,
    /// The price of a regular server per second, by data centre.
    pub prices: BTreeMap<DataCentreName, f64>,
}
