//! The events that the decision core handles.

use std::time::Duration;

use flaxtide_core::{ClassId, OrganisationId, PoolId, RequestId, ServerId};

use crate::rule::RuleSet;

/// Something that happened to a request, a server or the instance.
#[derive(Debug, Clone, PartialEq)]
pub enum PolicyEvent {
    /// New settings are in force.
    Rules(RuleSet),
    /// A request arrived.
    Arrive(CallArrival),
    /// The first token of a response arrived.
    FirstToken {
        /// The request that it responds to.
        request: RequestId,
    },
    /// More tokens of a response arrived.
    Progress {
        /// The request that they respond to.
        request: RequestId,
        /// The number of tokens that arrived.
        tokens: u32,
        /// How long it took to receive them.
        span: Duration,
    },
    /// A response has ended without a fault.
    Finish {
        /// The request that it responds to.
        request: RequestId,
        /// The number of tokens in the whole response.
        tokens: u32,
    },
    /// A server failed a request.
    Fail {
        /// The request that failed.
        request: RequestId,
        /// What went wrong.
        fault: ServerFault,
        /// How many tokens have been passed on to the caller.
        passed_on: u32,
    },
    /// A dispatch was dropped before any byte was sent, and the request is not retried.
    Abandon {
        /// The request that was dropped.
        request: RequestId,
    },
    /// The caller has disconnected.
    CallerGone {
        /// The request of the caller.
        request: RequestId,
    },
    /// A load report of a server arrived.
    Report(LoadReport),
    /// A server started to leave, or is no longer leaving. A leaving server finishes its
    /// open requests and takes no new ones.
    ServerLeaving {
        /// The server concerned.
        server: ServerId,
        /// Whether the server is leaving now.
        leaving: bool,
    },
    /// This instance was granted a share of a server's slots.
    Share {
        /// The server concerned.
        server: ServerId,
        /// The number of slots in the share.
        slots: u32,
        /// When the share expires.
        until: Duration,
    },
    /// The live instances of the data centre have changed.
    Peers {
        /// The number of live instances, this one included.
        live: u32,
        /// This instance's share of each server's slots while no granted share is in
        /// force.
        fallbacks: Vec<(ServerId, u32)>,
    },
    /// This instance was granted a share of an organisation's rate limit.
    RateShare {
        /// The organisation concerned.
        organisation: OrganisationId,
        /// The share as a fraction, from 0 to 1.
        share: f64,
        /// When the share expires.
        until: Duration,
    },
    /// Time has passed.
    Tick,
}

/// A request that arrived.
#[derive(Debug, Clone, PartialEq)]
pub struct CallArrival {
    /// The id of the request.
    pub request: RequestId,
    /// The pool that can serve the request.
    pub pool: PoolId,
    /// The class of the request.
    pub class: ClassId,
    /// The organisation that sent the request.
    pub organisation: OrganisationId,
    /// The approximate number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// The hash of the prompt's prefix; `None` if the prefix is too short to be worth
    /// caching.
    pub prefix: Option<u64>,
    /// How long the request may wait before it is refused; `None` for the value of its
    /// class.
    pub give_up: Option<Duration>,
    /// The target for the time to first token; `None` for the value of its class.
    pub first_token: Option<Duration>,
    /// Whether the request may run more than once.
    pub repeatable: bool,
}

/// The load that a server reports. It arrives with a delay.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// The server that reports.
    pub server: ServerId,
    /// How many requests the server is working on.
    pub running: u32,
    /// How many requests wait at the server.
    pub waiting: u32,
    /// How many of both have the top tier's priority; `None` if the server doesn't report
    /// it.
    pub urgent: Option<u32>,
    /// How long the server takes for one step, and so for one token of each response.
    pub step: Duration,
    /// When the load was measured, on this instance's clock.
    pub at: Duration,
}

/// What went wrong at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerFault {
    /// The server couldn't be reached, or said that it won't run the request. The request
    /// hasn't run.
    NotRun,
    /// The server said that it is leaving. The request hasn't run.
    Leaving,
    /// The connection broke, or the response is invalid. The request may have run.
    Broken,
    /// The server was silent for too long. The request may have run.
    Stalled,
}
