//! Quarantine of requests that crash the backend servers that run them.
//!
//! A [`CrashLog`] holds which servers ended under which requests, as this instance and its
//! peers have seen it, and judges whether a request may be sent to a server. It does no
//! input or output; instances bring their logs together by exchanging [`CrashReport`]s, in
//! any order and as often as they like.

mod fingerprint;
mod log;
mod report;
mod suspect;

pub use self::fingerprint::{Fingerprint, request_fingerprint};
pub use self::log::CrashLog;
pub use self::report::{CrashReport, IncarnationKey};
