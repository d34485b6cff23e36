//! What a backend server states in one answer.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How many units of a [`RequestRate`] are one request a second.
const UNITS_PER_REQUEST: f64 = 1000.0;

/// A rate of requests, in thousandths of a request a second.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize
)]
pub struct RequestRate(u32);

impl RequestRate {
    /// Makes a rate of so many requests a second. A rate beyond what can be told apart is the
    /// highest; nothing is made of one that is negative or no number.
    ///
    /// ```
    /// use flaxtide_policy::RequestRate;
    /// let rate = RequestRate::from_per_second(2.5).unwrap();
    /// assert_eq!(rate.per_second(), 2.5);
    /// assert_eq!(RequestRate::from_per_second(-1.0), None);
    /// assert_eq!(RequestRate::from_per_second(f64::NAN), None);
    /// ```
    #[must_use]
    pub fn from_per_second(requests: f64) -> Option<Self> {
        // The conversion saturates.
        (requests >= 0.0).then_some(Self((requests * UNITS_PER_REQUEST) as u32))
    }

    /// Returns how many requests a second it is.
    #[must_use]
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / UNITS_PER_REQUEST
    }
}

/// What an answer says of the rate that its server takes from all callers together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StatedRate {
    /// Nothing: the server takes what it can.
    #[default]
    Unlimited,
    /// So much.
    Limited(RequestRate),
    /// Something that isn't understood; what was known before holds on.
    Unreadable,
    /// Nothing that counts, as errors and refusals may leave a rate out; what was known before
    /// holds on.
    Unstated,
}

/// What a backend server states of itself in one answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServerStatement {
    /// The rate that it takes from all callers together.
    pub rate: StatedRate,
    /// Whether it is leaving.
    pub leaving: bool,
    /// For how long it wants nothing from this instance.
    pub backoff: Option<Duration>,
}
