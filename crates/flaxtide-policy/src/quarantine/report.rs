//! Reports between instances of servers that crashed.

use serde::{Deserialize, Serialize};

use super::fingerprint::Fingerprint;

/// A key computed from one incarnation of a backend server: its name and start time.
pub type IncarnationKey = u32;

/// A backend server that crashed while it ran a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request that was running.
    pub fingerprint: Fingerprint,
    /// The incarnation of the server that crashed.
    pub server: IncarnationKey,
    /// How long ago the server crashed, in milliseconds.
    pub age_ms: u32,
    /// How long the request had been at the server by then, in milliseconds.
    pub ran_ms: u32,
    /// How long ago the request was last seen, in milliseconds.
    pub idle_ms: u32,
    /// Whether the server had begun to respond to the request.
    pub begun: bool,
    /// Whether the request has got a complete response since, so that it didn't cause
    /// this crash.
    pub cleared: bool,
}
