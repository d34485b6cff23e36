//! What the decision core decides.

use std::time::Duration;

use flaxtide_core::{FailureReason, RequestId, ServerId, TierRank};
use serde::Serialize;

/// Something to be done.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub enum PolicyAction {
    /// The request waits.
    Wait {
        /// The request.
        request: RequestId,
        /// How many requests are served before it, about.
        place: usize,
        /// How long it will wait, about.
        predicted: Duration,
    },
    /// Send the request to a server.
    Dispatch {
        /// The request.
        request: RequestId,
        /// Which server, and why.
        choice: ServerChoice,
        /// The tier whose priority the engine is told. Higher than the request's own
        /// where the class is past its starvation bound.
        priority: TierRank,
        /// How long the server may be silent before the request goes elsewhere; without
        /// it, the request can't go elsewhere.
        #[serde(rename = "patience")]
        silence_timeout: Option<Duration>,
        /// Which attempt it is, from 1.
        attempt: u8,
    },
    /// Refuse the request: it hasn't run.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why.
        reason: FailureReason,
        /// When to come back.
        retry_after: Duration,
    },
    /// Give the request up: it may have run.
    GiveUp {
        /// The request.
        request: RequestId,
        /// When to come back.
        retry_after: Duration,
    },
}

/// A chosen server, with what else there was.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ServerChoice {
    /// The server.
    pub server: ServerId,
    /// The rule that chose it.
    pub rule: ChoiceRule,
    /// The load that it was taken to have, in requests for each slot.
    pub load: f64,
    /// The best server that was passed over, and its load.
    pub runner_up: Option<(ServerId, f64)>,
    /// How many servers had a free slot.
    pub eligible: usize,
}

/// The rule by which a server was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum ChoiceRule {
    /// The server that caches the prompt's prefix.
    Affinity,
    /// The least loaded of a few drawn at random.
    Sampled,
    /// The only one with a free slot.
    Only,
}
