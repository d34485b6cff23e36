//! The servers and orders of a service in one data centre.

use std::time::Duration;

use flaxtide_core::DataCentreName;

/// How long no servers are ordered from a data centre that had none available.
const UNAVAILABLE_PAUSE: Duration = Duration::from_secs(2);

/// The servers of a service in a data centre that are serving and not leaving.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServerCounts {
    /// Servers at the regular price.
    pub regular: u32,
    /// Servers at the spot price, which may be reclaimed at any time.
    pub spot: u32,
}

impl ServerCounts {
    /// Returns the number of spot or of regular servers.
    #[must_use]
    pub fn by_kind(self, spot: bool) -> u32 {
        if spot { self.spot } else { self.regular }
    }

    /// Returns the number of all servers.
    #[must_use]
    pub fn total(self) -> u32 {
        self.regular + self.spot
    }
}

/// An order that sets the number of spot or regular servers of a service in a data
/// centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerOrder {
    /// The data centre.
    pub data_centre: DataCentreName,
    /// Whether the order is for spot servers.
    pub spot: bool,
    /// The number of servers that the service should have there.
    pub count: u32,
}

/// The outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The order is in force.
    Accepted,
    /// The data centre has no such servers available at the moment.
    Unavailable,
    /// The order was refused and has had no effect.
    Refused,
    /// No answer arrived. The order may still be carried out, late or never.
    Unknown,
}

/// The state of the orders for spot or regular servers in a data centre.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct OrderState {
    /// The number in force, as far as is known, and since when.
    pub(super) ordered: Option<(u32, Duration)>,
    /// Whether the number in force is uncertain, because an order got no answer.
    pub(super) unknown: bool,
    /// Until when no servers are available.
    unavailable_until: Option<Duration>,
}

impl OrderState {
    /// Records the outcome of an order.
    pub(super) fn record(&mut self, count: u32, outcome: OrderOutcome, now: Duration) {
        match outcome {
            OrderOutcome::Accepted => {
                self.ordered = Some((count, now));
                self.unavailable_until = None;
                self.unknown = false;
            }
            OrderOutcome::Unavailable => {
                self.unavailable_until = Some(now + UNAVAILABLE_PAUSE);
            }
            OrderOutcome::Refused => {}
            OrderOutcome::Unknown => self.unknown = true,
        }
    }

    /// Returns whether the data centre recently had no servers available.
    pub(super) fn is_unavailable(&self, now: Duration) -> bool {
        self.unavailable_until.is_some_and(|until| now < until)
    }
}
