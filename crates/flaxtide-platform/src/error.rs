//! Errors of calls to the platform.

use derive_more::{Display, Error};

/// An error of a call to the platform, by whether the call may have taken effect.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum PlatformError {
    /// The call had no effect: the platform answered 429 or 503, or the connection was refused.
    #[display("the platform did nothing: {message}; it is safe to try again")]
    NotDone {
        /// The platform's refusal or the connection error.
        message: String,
    },
    /// No whole answer arrived, or one with a status other than 2xx, 4xx and 503: the call may
    /// have taken effect, or may still do so.
    #[display("no answer from the platform: {message}; read back before trying again")]
    NoAnswer {
        /// The connection error or the error status.
        message: String,
    },
    /// The answer isn't the JSON of the contract, or has a 4xx status other than 429.
    #[display(
        "the platform's answer can't be read: {message}; check that the address in the instance file is the platform's"
    )]
    BadAnswer {
        /// The parser's error, or the status and body of the answer.
        message: String,
    },
}
