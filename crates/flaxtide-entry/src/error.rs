//! Errors at the start of an instance, or when its instance file is reloaded.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use derive_more::{Display, Error};

/// An error at the start of an entry instance, or when its instance file is reloaded.
#[derive(Debug, Display, Error)]
pub enum EntryError {
    /// The instance file can't be read.
    #[display("failed to read the instance file {}: {cause}; check the path and its permissions", path.display())]
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
        /// What the listener is for.
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
