//! What can go wrong between flaxtide and the platform.

use derive_more::{Display, Error};

/// A fault in a call to the platform.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum PlatformError {
    /// The platform refused before doing anything, or couldn't be reached at all.
    #[display("the platform did nothing: {message}; it is safe to try again")]
    NotDone {
        /// What it said.
        message: String,
    },
    /// No answer came: what was asked may or may not take effect.
    #[display("no answer from the platform: {message}; read back before trying again")]
    NoAnswer {
        /// What was seen.
        message: String,
    },
    /// The answer isn't of the contract's shape.
    #[display(
        "the platform's answer can't be read: {message}; check that the address in the instance file is the platform's"
    )]
    BadAnswer {
        /// What is wrong with it.
        message: String,
    },
}
