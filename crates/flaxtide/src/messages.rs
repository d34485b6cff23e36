//! What the threads of an instance put into each other's rings.

use std::collections::BTreeMap;
use std::time::Duration;

use crossbeam::channel::Sender;
use flaxtide_core::{FailureReason, OrganisationId, PoolId, ServerId, TierRank};
use flaxtide_policy::{
    CallArrival, ClaimRow, ClaimSettlement, PolicyEvent, PoolSummary, TableReply,
};

/// A message to the decision thread.
pub(crate) enum DecisionMessage {
    /// A request came; orders for it go to the ring.
    Arrive(CallArrival, Sender<CallOrder>),
    /// Something happened.
    Event(PolicyEvent),
    /// Several things happened, none of them the end of a request.
    Events(Vec<PolicyEvent>),
    /// Somebody asks how things stand. Only the fleet takes the counted use.
    Summarise {
        /// Whether the counted use is taken.
        take_usage: bool,
        /// Where the answer goes.
        reply: Sender<DecisionSummary>,
    },
}

/// An order to the thread of a call.
#[derive(Debug)]
pub(crate) enum CallOrder {
    /// Send the request to a server.
    Dispatch(CallDispatch),
    /// Refuse it: it hasn't run.
    Refuse(FailureReason, Duration),
    /// Give it up: it may have run.
    GiveUp(Duration),
}

/// Where and how to send a request.
#[derive(Debug)]
pub(crate) struct CallDispatch {
    /// The server.
    pub(crate) server: ServerId,
    /// The priority for the engine.
    pub(crate) priority: TierRank,
    /// How long the server may be silent.
    pub(crate) silence_timeout: Option<Duration>,
}

/// How things stand in the decision core.
#[derive(Debug, Clone, Default)]
pub(crate) struct DecisionSummary {
    /// The pools.
    pub(crate) pools: BTreeMap<PoolId, PoolSummary>,
    /// This instance's share of each server's slots, and how many it uses.
    pub(crate) slots: BTreeMap<ServerId, (u32, u32)>,
    /// How many requests of each limited organisation came, where that was asked for.
    pub(crate) usage: BTreeMap<OrganisationId, u32>,
}

/// A row to be written.
pub(crate) struct ClaimJob {
    /// Its key.
    pub(crate) key: String,
    /// The version that must be found; nothing if there must be no row.
    pub(crate) expected: Option<u64>,
    /// What it is to hold.
    pub(crate) row: ClaimRow,
    /// Where the table's reply goes.
    pub(crate) reply: Sender<TableReply>,
}

/// A claim to be settled.
pub(crate) struct SettleJob {
    /// The row's key.
    pub(crate) key: String,
    /// The settlement.
    pub(crate) settlement: ClaimSettlement,
    /// Hears when the row is settled.
    pub(crate) done: Option<Sender<()>>,
}
