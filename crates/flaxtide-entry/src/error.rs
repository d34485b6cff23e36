//! Errors that keep an instance from starting.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use derive_more::{Display, Error};

/// An error that keeps an entry instance from starting.
#[derive(Debug, Display, Error)]
pub enum EntryError {
    /// The instance file can't be read.
    #[display("{}: {cause}; check the path and its permissions", path.display())]
    ReadConfig {
        /// The path of the file.
        path: PathBuf,
        /// The error of the operating system.
        #[error(source)]
        cause: io::Error,
    },
    /// The instance file is invalid.
    #[display("{}: {message}", path.display())]
    BadConfig {
        /// The path of the file.
        path: PathBuf,
        /// The line and the error in it.
        message: String,
    },
    /// A listener can't be opened.
    #[display(
        "failed to listen for {purpose} on {address}: {cause}; check whether the address is in use"
    )]
    Listen {
        /// The clients that the listener is for.
        purpose: &'static str,
        /// The address to listen on.
        address: SocketAddr,
        /// The error of the operating system.
        #[error(source)]
        cause: io::Error,
    },
    /// A thread or the runtime can't be started.
    #[display(
        "failed to start {component}: {cause}; check the resource limits of the process"
    )]
    Spawn {
        /// The thread, or the runtime.
        component: &'static str,
        /// The error of the operating system.
        #[error(source)]
        cause: io::Error,
    },
}
