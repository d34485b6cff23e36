//! What is played.

use std::time::Duration;

/// A load on plain servers that turn away what finds them full.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadPattern {
    /// Requests a second, over all instances.
    pub rate: f64,
    /// How long a server works on a request, in the mean; drawn exponentially.
    pub work: Duration,
    /// Within what time an answer is on time.
    pub target: Duration,
    /// How many servers there are.
    pub servers: u32,
    /// How many requests a server works on at once.
    pub slots: usize,
    /// How many more wait in it before it turns others away.
    pub queue: usize,
    /// How many instances there are.
    pub instances: u32,
    /// Over how many data centres servers and instances are spread, in turn.
    pub data_centres: u32,
    /// The part of the requests that the first of the instances gets beyond its even part.
    pub skew: f64,
    /// How they hear of each other's requests.
    pub gossip: GossipShape,
    /// For how long the load lasts.
    pub span: Duration,
}

/// How instances hear of each other's requests at servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GossipShape {
    /// Nobody hears of anybody.
    Nothing,
    /// Each tells all others, once a period.
    Everybody {
        /// The period.
        period: Duration,
    },
    /// Each tells those of its data centre, once a period, and asks one instance of each
    /// other one for its sums.
    Groups {
        /// The period within the data centre.
        period: Duration,
        /// The period of the sums.
        digest_period: Duration,
    },
}
