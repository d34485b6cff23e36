//! What can go wrong with a command.

use derive_more::{Display, Error};

/// A fault of a command, with its remedy.
#[derive(Debug, Display, Error)]
pub(crate) enum CommandFault {
    /// An instance can't be reached.
    #[display(
        "{address} can't be reached: {cause}; check --admin and that the instance runs"
    )]
    Unreachable {
        /// The address.
        address: String,
        /// Why.
        cause: String,
    },
    /// An instance refused.
    #[display("{message}")]
    Refused {
        /// What it said, with its remedy.
        message: String,
    },
    /// A file can't be read or written.
    #[display("{path}: {cause}; check the path")]
    File {
        /// The file.
        path: String,
        /// Why.
        cause: String,
    },
    /// An argument isn't right.
    #[display("{message}")]
    Argument {
        /// What is wrong, with a remedy.
        message: String,
    },
    /// Something didn't start.
    #[display("{what} didn't start: {cause}")]
    Start {
        /// What.
        what: String,
        /// Why.
        cause: String,
    },
}

impl CommandFault {
    /// Builds the fault of a file.
    pub(crate) fn file(path: &str, cause: &impl ToString) -> Self {
        Self::File { path: path.to_owned(), cause: cause.to_string() }
    }

    /// Builds the fault of something that didn't start.
    pub(crate) fn start(what: &str, cause: &impl ToString) -> Self {
        Self::Start { what: what.to_owned(), cause: cause.to_string() }
    }
}
