//! Changes of the prompt parts that engines have cached.

use flaxtide_core::ServerId;

use crate::router::PartKey;

/// A change that an engine reported of a prompt part in its cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartChange {
    /// The engine.
    pub server: ServerId,
    /// The prompt part.
    pub part: PartKey,
    /// Whether the engine has the whole part cached now. If not, it has evicted it, at
    /// least partly.
    pub cached: bool,
}
