//! Why an instance doesn't start.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use derive_more::{Display, Error};

/// Why an entry instance doesn't start.
#[derive(Debug, Display, Error)]
pub enum EntryError {
    /// The instance file can't be read.
    #[display("{}: {cause}; check the path and its permissions", path.display())]
    ReadConfig {
        /// The file.
        path: PathBuf,
        /// What happened.
        #[error(source)]
        cause: io::Error,
    },
    /// The instance file isn't right.
    #[display("{}: {message}", path.display())]
    BadConfig {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        message: String,
    },
    /// It can't listen.
    #[display("can't listen for {purpose} on {address}: {cause}; is it in use?")]
    Listen {
        /// For whom.
        purpose: &'static str,
        /// Where.
        address: SocketAddr,
        /// What happened.
        #[error(source)]
        cause: io::Error,
    },
    /// A thread or the runtime can't be started.
    #[display("can't start {duty}: {cause}; check the limits of the process")]
    Spawn {
        /// What for.
        duty: &'static str,
        /// What happened.
        #[error(source)]
        cause: io::Error,
    },
}
