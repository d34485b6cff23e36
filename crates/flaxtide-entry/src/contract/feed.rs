//! What the platform tells: rules and servers.

use std::time::Duration;

use derive_more::{Display, Error};
use flaxtide_core::StoreVersion;

use super::rules::{EntryRules, ServerEntry};

/// Reads and follows what the platform keeps. Calls block.
pub trait PlatformFeed: Send + Sync {
    /// Reads everything of a topic.
    ///
    /// # Errors
    ///
    /// Any [`FeedError`].
    fn read(&self, topic: FeedTopic) -> Result<FeedBatch, FeedError>;

    /// Waits up to `wait` for changes after a version.
    ///
    /// # Errors
    ///
    /// Any [`FeedError`]; after [`FeedError::HistoryGone`], everything is to be read.
    fn follow(
        &self,
        topic: FeedTopic,
        after: StoreVersion,
        wait: Duration,
    ) -> Result<FeedBatch, FeedError>;

    /// Returns how many bytes of answers have come for a topic, refusals aside and those of
    /// an answer that isn't whole yet included. It only grows.
    fn received_bytes(&self, topic: FeedTopic) -> u64;

    /// Understands the text of rules, also when a peer sent it.
    ///
    /// # Errors
    ///
    /// [`FeedError::BadContent`], with what is wrong.
    fn parse_rules(&self, text: &str) -> Result<EntryRules, FeedError>;

    /// Understands the text of a server's entry.
    ///
    /// # Errors
    ///
    /// [`FeedError::BadContent`], with what is wrong.
    fn parse_server(&self, name: &str, text: &str) -> Result<ServerEntry, FeedError>;
}

/// What can be followed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum FeedTopic {
    /// The rules.
    #[display("rules")]
    Rules,
    /// The servers.
    #[display("servers")]
    Servers,
}

/// Rows of a topic, and up to which version they were read.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FeedBatch {
    /// The rows, in the order of their changes.
    pub rows: Vec<FeedRow>,
    /// Up to which version this is.
    pub version: StoreVersion,
}

/// A row as it is now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FeedRow {
    /// Its name.
    pub name: String,
    /// Its text; nothing if it is gone.
    pub text: Option<String>,
    /// The version at which it changed, if that is known: whoever has all rows up to a
    /// version lacks just those that changed later.
    pub version: Option<StoreVersion>,
}

/// Why the platform couldn't be followed.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum FeedError {
    /// The changes since then aren't kept any more.
    #[display("the platform has forgotten this history; read everything anew")]
    HistoryGone,
    /// The platform refused the call; nothing was done.
    #[display("the platform refused with status {status}; try again later")]
    Refused {
        /// The status.
        status: u16,
    },
    /// No answer came.
    #[display("the platform doesn't answer ({cause}); check its address and the network")]
    NoAnswer {
        /// What happened.
        cause: String,
    },
    /// The content isn't understood.
    #[display("{what} isn't understood ({cause}); the last good one stays in force")]
    BadContent {
        /// What.
        what: String,
        /// What is wrong.
        cause: String,
    },
}
