//! Access to the rules and the server list at the platform.

use std::time::Duration;

use derive_more::{Display, Error};
use flaxtide_core::{DataCentreName, StoreVersion};

use super::rules::{EntryRules, ServerEntry};

/// Reads and follows the platform's rules and server list. Methods that call the platform
/// block.
pub trait PlatformFeed: Send + Sync {
    /// Reads all rows of a topic.
    ///
    /// # Errors
    ///
    /// Any [`FeedError`].
    fn read(&self, topic: FeedTopic) -> Result<FeedBatch, FeedError>;

    /// Waits up to `wait` for changes after a version.
    ///
    /// # Errors
    ///
    /// Any [`FeedError`]. After [`FeedError::HistoryGone`], everything must be read.
    fn follow(
        &self,
        topic: FeedTopic,
        after: StoreVersion,
        wait: Duration,
    ) -> Result<FeedBatch, FeedError>;

    /// Returns the total number of bytes received in answers on a topic. It includes
    /// answers that are still incomplete, but not refusals, and it never decreases.
    fn received_bytes(&self, topic: FeedTopic) -> u64;

    /// Returns what a row of the rules topic holds, by its name.
    fn rules_row(&self, name: &str) -> RulesRow;

    /// Parses the text of rules, whether from the platform or from a peer.
    ///
    /// # Errors
    ///
    /// [`FeedError::BadContent`] with the cause.
    fn parse_rules(&self, text: &str) -> Result<EntryRules, FeedError>;

    /// Parses the text of a server's row.
    ///
    /// # Errors
    ///
    /// [`FeedError::BadContent`] with the cause.
    fn parse_server(&self, name: &str, text: &str) -> Result<ServerEntry, FeedError>;
}

/// A topic that can be followed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum FeedTopic {
    /// The rules that operators set, and the data centres that they evacuate.
    #[display("rules")]
    Rules,
    /// The list of backend servers.
    #[display("servers")]
    Servers,
}

/// What a row of [`FeedTopic::Rules`] holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RulesRow {
    /// The rules.
    Rules,
    /// The request to evacuate a data centre, which is in force while the row exists.
    Evacuation(DataCentreName),
    /// Something else.
    Other,
}

/// Rows of a topic and the version that they reach.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FeedBatch {
    /// The rows, in the order of their changes.
    pub rows: Vec<FeedRow>,
    /// The version up to which all changes are included.
    pub version: StoreVersion,
}

/// The current state of a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FeedRow {
    /// The key of the row.
    pub name: String,
    /// The text of the row, or `None` if it was removed.
    pub text: Option<String>,
    /// The version at which the row changed, if it is known. An instance that has all
    /// rows up to a version lacks exactly those with a higher one.
    pub version: Option<StoreVersion>,
}

/// Why a call of the feed or of a duty failed, or why content is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum FeedError {
    /// The platform no longer has the changes after the given version.
    #[display("the platform no longer has this history; read everything again")]
    HistoryGone,
    /// The platform refused the call. Nothing was done.
    #[display("the platform refused the call with status {status}; try again later")]
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// No answer arrived, or not in time.
    #[display("the platform doesn't answer ({cause}); check its address and the network")]
    NoAnswer {
        /// The error of the connection or the time-out.
        cause: String,
    },
    /// The content can't be decoded.
    #[display("{what} can't be decoded ({cause}) and is ignored")]
    BadContent {
        /// A description of the content.
        what: String,
        /// The error of decoding.
        cause: String,
    },
}
