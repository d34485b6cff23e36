//! Lists that one instance reads from the platform for many, so that the platform isn't
//! asked by all of them for the same.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use flaxtide_core::StoreVersion;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

/// Fleets of at least so many instances for each reader have more than one.
pub(crate) const PEERS_PER_READER: usize = 32;

/// How many standbys a group has beside its readers: an outage of the platform is felt by few
/// calls, and one that turns away a third of the instances seldom all of these.
pub(crate) const STANDBYS: usize = 2;

/// The key by which readers are drawn, so that all instances draw the same.
pub(crate) const READER_KEY: u64 = 0x7265_6164;

/// A row, as it travels between instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowCopy {
    /// Its name.
    pub name: String,
    /// Its text; nothing if it is gone.
    pub text: Option<String>,
}

/// The rows that have changed after a version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowChanges {
    /// Up to which version these are all.
    pub version: StoreVersion,
    /// The rows, in the order of their changes.
    pub rows: Vec<RowCopy>,
}

/// Gives peers what this instance has read.
pub trait RowSource: Send + Sync {
    /// Returns what has changed after a version; nothing if that can't be told just now.
    fn changes_after(&self, version: StoreVersion) -> Option<RowChanges>;

    /// Returns what is notified when rows have changed.
    fn change_notifier(&self) -> Arc<Notify>;
}

/// Who reads a list from the platform for an instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ListReader {
    /// The instance itself, for itself only.
    #[default]
    Alone,
    /// The instance itself, and for peers.
    ForPeers,
    /// The peer that is reached at this address.
    Peer(SocketAddr),
}

/// From whom an instance gets a list that few read from the platform.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ListPlan {
    /// Who reads it.
    pub reader: ListReader,
    /// Who else may have read it, in the order in which they are asked: the other readers,
    /// then the standbys.
    pub others: Vec<SocketAddr>,
    /// The epochs of all of these: one that has started again makes another plan.
    pub epochs: Vec<u32>,
    /// Whether this instance is a standby, which reads as soon as no reader tells.
    pub standby: bool,
}

/// What came of a question for rows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RowAnswer {
    /// The peer has told what changed.
    Changes(RowChanges),
    /// The peer is there, but the platform hasn't told it enough lately.
    Unavailable,
    /// No answer came in time.
    Unreachable,
}

/// A question for the rows that a peer has read.
pub struct RowQuestion {
    /// The peer.
    pub peer: SocketAddr,
    /// After which version.
    pub after: StoreVersion,
    /// How long the peer waits for updates.
    pub wait: Duration,
    /// How long its answer may take on top.
    pub margin: Duration,
    /// Takes the answer.
    pub answer: Box<dyn FnOnce(RowAnswer) + Send>,
}

impl std::fmt::Debug for RowQuestion {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "RowQuestion to {} after {}", self.peer, self.after)
    }
}
