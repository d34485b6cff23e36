//! Lists that a few instances read from the platform for the others, to limit the load on the
//! platform.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use flaxtide_core::StoreVersion;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

/// A group has a list reader for each of this many instances, rounded up.
pub(crate) const INSTANCES_PER_READER: usize = 32;

/// The number of standbys of a group besides its readers. A standby reads from the platform
/// itself if no reader answers. There are few, so that an outage of the platform affects few
/// calls, but enough that a platform that rejects a third of the instances rarely rejects all
/// readers and standbys.
pub(crate) const STANDBYS: usize = 2;

/// The rendezvous hashing key by which all instances choose the same readers.
pub(crate) const READER_KEY: u64 = 0x7265_6164;

/// A row of a list, as sent between instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowCopy {
    /// The name of the row.
    pub name: String,
    /// The text of the row; `None` if the row was removed.
    pub text: Option<String>,
}

/// The reply to a request for rows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RowsReply {
    /// The changes; `None` if they aren't known.
    pub(crate) changes: Option<RowChanges>,
    /// Whether the known changes begin after the wanted version.
    pub(crate) has_gap: bool,
}

/// The rows that changed after a version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowChanges {
    /// The version up to which the changes are complete.
    pub version: StoreVersion,
    /// The changed rows, in the order of their changes.
    pub rows: Vec<RowCopy>,
}

/// Provides the rows that this instance has read to its peers.
pub trait RowSource: Send + Sync {
    /// Returns the rows that changed after a version; `None` if the changes aren't known.
    fn changes_after(&self, version: StoreVersion) -> Option<RowChanges>;

    /// Returns whether the changes after a version aren't known although the platform has
    /// answered lately, because the known changes begin later.
    fn has_gap_after(&self, version: StoreVersion) -> bool;

    /// Returns the notifier that is signalled when rows change.
    fn change_notifier(&self) -> Arc<Notify>;
}

/// Which instance reads a list from the platform for an instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ListReader {
    /// The instance reads the list for itself only.
    #[default]
    Alone,
    /// The instance reads the list for itself and its peers.
    ForPeers,
    /// The peer at this address reads the list.
    Peer(SocketAddr),
}

/// How an instance gets a list that only a few instances read from the platform.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ListPlan {
    /// The instance that reads the list.
    pub reader: ListReader,
    /// Other instances that may have the list, in the order in which they are asked: the other
    /// readers, then the standbys.
    pub others: Vec<SocketAddr>,
    /// The epochs of the reader and the others, so that the restart of one changes the plan.
    pub epochs: Vec<u32>,
    /// Whether this instance is a standby, which reads from the platform as soon as no reader
    /// answers.
    pub standby: bool,
}

/// The outcome of a request for rows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RowAnswer {
    /// The peer sent the rows that changed.
    Changes(RowChanges),
    /// The peer answered that it doesn't know the changes, because it hasn't read enough from
    /// the platform lately.
    Unavailable,
    /// The peer has just read from the platform, but its changes begin after the wanted version.
    /// They have to be read from the platform, which answers.
    Gap,
    /// No answer arrived in time.
    Unreachable,
}

/// A request to a peer for the rows that it has read.
pub struct RowRequest {
    /// The address of the peer.
    pub peer: SocketAddr,
    /// The version after which changes are wanted.
    pub after: StoreVersion,
    /// How long the peer waits for changes before it answers without any.
    pub wait: Duration,
    /// How much longer the answer may take.
    pub margin: Duration,
    /// The callback that receives the answer.
    pub answer: Box<dyn FnOnce(RowAnswer) + Send>,
}

impl std::fmt::Debug for RowRequest {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "RowRequest to {} after {}", self.peer, self.after)
    }
}
