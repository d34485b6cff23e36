//! What an instance asks engines about themselves.

use std::time::Duration;

use flaxtide_policy::EngineReport;

use super::feed::FeedError;

/// Translates the calls with which an instance watches an engine. All calls are GET requests
/// to the engine's address and have JSON answers or the like; the instance does the I/O.
pub trait EngineDialect: Send + Sync {
    /// Returns the path and query of a call for the engine's report.
    fn report_path(&self) -> String;

    /// Parses the answer to a call for the report.
    ///
    /// # Errors
    ///
    /// [`FeedError::BadContent`] with the cause.
    fn parse_report(&self, body: &[u8]) -> Result<EngineReport, FeedError>;

    /// Returns the path and query of a call for changes of the cache. `after` is the position
    /// up to which changes are known; `None` asks for all changes that the engine still has.
    fn cache_path(&self, after: Option<CachePosition>) -> String;

    /// Returns the headers of a call for changes of the cache, which the engine answers as
    /// soon as there are any, or after `wait`.
    fn cache_headers(&self, wait: Duration) -> Vec<(&'static str, String)>;

    /// Parses the answer to a call for changes of the cache.
    ///
    /// # Errors
    ///
    /// [`FeedError::BadContent`] with the cause.
    fn parse_cache(&self, body: &[u8]) -> Result<CacheBatch, FeedError>;
}

/// A position in an engine's log of cache changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CachePosition {
    /// Identifies the run of the engine; its cache is empty at the start of another one.
    pub epoch: u64,
    /// The number of the next change.
    pub next: u64,
}

/// Changes of an engine's cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheBatch {
    /// The position after these changes.
    pub position: CachePosition,
    /// Whether changes before these are missing.
    pub has_gap: bool,
    /// The changes, in order.
    pub changes: Vec<CacheChange>,
}

/// A change of one prompt part in an engine's cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheChange {
    /// The key of the prompt part, as in [`flaxtide_policy::PromptPart::key`].
    pub part: u64,
    /// Whether the engine has added tokens of the part; otherwise it has evicted some.
    pub added: bool,
    /// How many tokens of the part the engine keeps now.
    pub tokens: u32,
}
