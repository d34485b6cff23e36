//! What instances tell each other of servers that ended.

use serde::{Deserialize, Serialize};

use super::fingerprint::Fingerprint;

/// Stands for one start of a backend server: its name and when it started.
pub type IncarnationKey = u32;

/// A backend server ended while it ran a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The server.
    pub server: IncarnationKey,
    /// How long ago the server ended, in milliseconds.
    pub age_ms: u32,
    /// For how long the request had been at the server then, in milliseconds.
    pub ran_ms: u32,
    /// How long ago the request was last seen, in milliseconds.
    pub idle_ms: u32,
    /// Whether the server had begun to answer the request.
    pub begun: bool,
    /// Whether the request has been answered by another server since, so that it didn't
    /// cause this end.
    pub cleared: bool,
}
