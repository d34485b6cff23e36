//! What a backend server states in one response.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Units of a [`RequestRate`] per request a second.
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
    /// Creates a rate from requests a second, capped at the highest rate that can be
    /// represented. Returns `None` for a negative number or NaN.
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

    /// Returns the rate in requests a second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / UNITS_PER_REQUEST
    }
}

/// The rate that a response states for all callers of the server together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StatedRate {
    /// The response states that there is no limit, by leaving it out.
    #[default]
    Unlimited,
    /// The response states this limit.
    Limited(RequestRate),
    /// The stated limit can't be parsed, and the last known one stays in force.
    Unreadable,
    /// The response is an error or a refusal, which may leave the limit out; the last
    /// known one stays in force.
    Unstated,
}

/// What a backend server states in one response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServerStatement {
    /// The rate for all callers together.
    pub rate: StatedRate,
    /// Whether the server is leaving: it finishes its open requests and takes no new
    /// ones.
    pub leaving: bool,
    /// How long the server asks this instance not to send requests.
    pub backoff: Option<Duration>,
    /// How much longer the server is cold, if it says so.
    pub cold: Option<Duration>,
    /// How many requests a second the server can refuse for lack of room before it fails;
    /// `None` if it states no number.
    pub refusal_limit: Option<u32>,
}
