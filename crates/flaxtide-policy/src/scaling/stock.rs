//! What serves and what is ordered in one data centre.

use std::time::Duration;

use flaxtide_core::DataCentreName;

/// For how long a data centre isn't asked again for servers that it didn't have.
const UNAVAILABLE_PAUSE: Duration = Duration::from_secs(2);

/// The servers of a service in a data centre that serve and aren't leaving.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServerCounts {
    /// At the full price.
    pub regular: u32,
    /// At the lower price; they may be taken away.
    pub spot: u32,
}

impl ServerCounts {
    /// Returns how many there are at one of the prices.
    #[must_use]
    pub fn of(self, spot: bool) -> u32 {
        if spot { self.spot } else { self.regular }
    }

    /// Returns how many there are.
    #[must_use]
    pub fn total(self) -> u32 {
        self.regular + self.spot
    }
}

/// An order: so many servers of a service are to be in a data centre at a price.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerOrder {
    /// The data centre.
    pub data_centre: DataCentreName,
    /// Whether they may be taken away.
    pub spot: bool,
    /// How many.
    pub count: u32,
}

/// What came of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It is in force.
    Accepted,
    /// There are none to be had there now.
    Unavailable,
    /// It was refused, and nothing was done.
    Refused,
    /// No answer came: it may be carried out late, or never.
    Unknown,
}

/// The orders for one kind of server in a data centre.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct OrderState {
    /// What is in force, as far as is known, and since when.
    pub(super) ordered: Option<(u32, Duration)>,
    /// Whether it isn't known what is in force, as an order had no answer.
    pub(super) unknown: bool,
    /// Until when none are to be had.
    unavailable_until: Option<Duration>,
}

impl OrderState {
    /// Records what came of an order.
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

    /// Returns whether the data centre said lately that it has none.
    pub(super) fn is_unavailable(&self, now: Duration) -> bool {
        self.unavailable_until.is_some_and(|until| now < until)
    }
}
