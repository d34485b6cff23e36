//! The actions that the decision core asks for.

use std::time::Duration;

use flaxtide_core::{FailureReason, RequestId, ServerId, TierRank};
use serde::Serialize;

/// Something that the caller of the core has to do.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub enum PolicyAction {
    /// Tell the caller that its request waits in a queue.
    Wait {
        /// The request that waits.
        request: RequestId,
        /// Roughly how many requests will be served before it.
        place: usize,
        /// Roughly how long it will wait.
        predicted: Duration,
    },
    /// Send the request to a server.
    Dispatch {
        /// The request to send.
        request: RequestId,
        /// The chosen server, with the reason.
        choice: ServerChoice,
        /// The tier whose priority the engine is told. Higher than the request's own if
        /// its class has exceeded its starvation bound.
        priority: TierRank,
        /// How long the server may be silent before the request fails over to another
        /// one; `None` if it can't fail over.
        #[serde(rename = "patience")]
        silence_timeout: Option<Duration>,
        /// The number of the attempt, from 1.
        attempt: u8,
    },
    /// Refuse the request, which hasn't run.
    Refuse {
        /// The request to refuse.
        request: RequestId,
        /// The reason that the caller is told.
        reason: FailureReason,
        /// How long the caller should wait before it retries.
        retry_after: Duration,
    },
    /// Give up the request, which may have run.
    GiveUp {
        /// The request to give up.
        request: RequestId,
        /// How long the caller should wait before it retries.
        retry_after: Duration,
    },
}

/// A chosen server and the alternatives to it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ServerChoice {
    /// The chosen server.
    pub server: ServerId,
    /// The rule by which it was chosen.
    pub rule: ChoiceRule,
    /// The estimated load of the server, in requests per slot.
    pub load: f64,
    /// The second-best server that was compared, and its load.
    pub runner_up: Option<(ServerId, f64)>,
    /// How many servers had a free slot.
    pub eligible: usize,
}

/// The rule by which a server was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum ChoiceRule {
    /// It is the server that caches the prompt's prefix.
    Affinity,
    /// It has the lowest load of a few servers drawn at random.
    Sampled,
    /// It is the only server with a free slot.
    Only,
}
