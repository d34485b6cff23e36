//! What the decision core is told.

use std::time::Duration;

use flaxtide_core::{ClassId, OrganisationId, PoolId, RequestId, ServerId};

use crate::rule::RuleSet;

/// Something that happened.
#[derive(Debug, Clone, PartialEq)]
pub enum PolicyEvent {
    /// New settings are in force.
    Rules(RuleSet),
    /// A request arrived.
    Arrive(CallArrival),
    /// The first token of an answer came.
    FirstToken {
        /// The request.
        request: RequestId,
    },
    /// Further tokens came.
    Progress {
        /// The request.
        request: RequestId,
        /// How many tokens.
        tokens: u32,
        /// How long they took.
        span: Duration,
    },
    /// The answer is whole.
    Finish {
        /// The request.
        request: RequestId,
        /// How many tokens it has in all.
        tokens: u32,
    },
    /// The server failed the request.
    Fail {
        /// The request.
        request: RequestId,
        /// What went wrong.
        fault: ServerFault,
        /// How many tokens have been passed on to the caller.
        passed_on: u32,
    },
    /// The dispatch was dropped before any byte was sent, and won't be tried again.
    Abandon {
        /// The request.
        request: RequestId,
    },
    /// The caller has gone.
    CallerGone {
        /// The request.
        request: RequestId,
    },
    /// A server's load report came in.
    Report(LoadReport),
    /// A server is leaving, or isn't any more.
    ServerLeaving {
        /// The server.
        server: ServerId,
        /// Whether it is leaving.
        leaving: bool,
    },
    /// This instance's share of a server's slots.
    Share {
        /// The server.
        server: ServerId,
        /// How many slots.
        slots: u32,
        /// Until when the share holds.
        until: Duration,
    },
    /// The live instances of the data centre are others than before.
    Peers {
        /// How many instances are alive, this one included.
        live: u32,
        /// This instance's share of each server's slots while no share is in force.
        fallbacks: Vec<(ServerId, u32)>,
    },
    /// This instance's part of an organisation's rate.
    RateShare {
        /// The organisation.
        organisation: OrganisationId,
        /// The part, from 0 to 1.
        part: f64,
        /// Until when it holds.
        until: Duration,
    },
    /// Time has passed.
    Tick,
}

/// A request that arrived.
#[derive(Debug, Clone, PartialEq)]
pub struct CallArrival {
    /// The request.
    pub request: RequestId,
    /// The pool that can serve it.
    pub pool: PoolId,
    /// Its class.
    pub class: ClassId,
    /// Its organisation.
    pub organisation: OrganisationId,
    /// How many tokens the prompt has, about.
    pub prompt_tokens: u32,
    /// The hash of the prompt's prefix, if it is long enough to be worth a cache.
    pub prefix: Option<u64>,
    /// How long it may wait before it is refused, if not as its class says.
    pub give_up: Option<Duration>,
    /// A first-token target other than its class's.
    pub first_token: Option<Duration>,
    /// Whether it may run more than once.
    pub repeatable: bool,
}

/// What a server says of its load, late.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// The server.
    pub server: ServerId,
    /// How many requests it works on.
    pub running: u32,
    /// How many requests wait in it.
    pub waiting: u32,
    /// How many of both have the top tier's priority, if the server tells.
    pub urgent: Option<u32>,
    /// How long one step, and so one token, takes.
    pub step: Duration,
    /// When the report was true, on this instance's clock.
    pub at: Duration,
}

/// What went wrong at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerFault {
    /// It couldn't be reached, or said that it won't run the request: it hasn't run.
    NotRun,
    /// It said that it is leaving: the request hasn't run.
    Leaving,
    /// The stream broke, or the answer isn't right. The request may have run.
    Broken,
    /// Nothing came for too long. The request may have run.
    Stalled,
}
