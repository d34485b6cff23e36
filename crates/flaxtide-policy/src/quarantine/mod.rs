//! Quarantine of requests that crash the backend servers that run them.
//!
//! A [`CrashLog`] holds which servers crashed while they ran which requests, as seen by
//! this instance and its peers, and decides whether a request may be sent to a server. It
//! does no input or output. Instances merge their logs by exchanging [`CrashReport`]s, in
//! any order and with any repetition.

mod fingerprint;
mod log;
mod report;
mod suspect;
mod trial;

pub use self::fingerprint::{
    Fingerprint, part_fingerprint, part_of, request_fingerprint,
};
pub use self::log::CrashLog;
pub use self::report::{CrashReport, IncarnationKey};
