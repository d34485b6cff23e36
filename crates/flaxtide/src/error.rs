//! What can keep an instance from working.

use std::path::PathBuf;

use derive_more::{Display, Error};

/// A fault that stops an instance, with its remedy.
#[derive(Debug, Display, Error)]
pub enum InstanceError {
    /// The instance file can't be read.
    #[display("{}: {cause}; give the path of an instance file with --config", path.display())]
    ReadConfig {
        /// The file.
        path: PathBuf,
        /// Why.
        cause: std::io::Error,
    },
    /// The instance file isn't right.
    #[display("{}: {message}; see docs/OPERATING.md for the fields of an instance file", path.display())]
    BadConfig {
        /// The file.
        path: PathBuf,
        /// What is wrong, with the line.
        message: String,
    },
    /// An address can't be listened on.
    #[display(
        "can't listen on {address}: {cause}; choose a free address of this machine for `{field}`"
    )]
    Listen {
        /// The field of the instance file.
        field: &'static str,
        /// The address.
        address: std::net::SocketAddr,
        /// Why.
        cause: std::io::Error,
    },
    /// A thread can't be started.
    #[display(
        "can't start the {duty} thread: {cause}; raise the limit of threads for this user"
    )]
    Spawn {
        /// What the thread would do.
        duty: &'static str,
        /// Why.
        cause: std::io::Error,
    },
}
