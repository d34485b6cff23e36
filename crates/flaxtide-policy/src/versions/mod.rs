//! At which version of its service a stream has begun, wherever it is taken up again.
//!
//! Servers of several versions may serve side by side, and a stream may only be continued by
//! servers of the version that began it. While a service has a single version there is
//! nothing to remember. With several, each instance notes the versions of its streams and
//! tells them to a few peers, which hold replicas of its notes; an instance that doesn't know the version of a
//! stream asks its peers. Outside all instances, the platform's table keeps which versions have
//! served lately, and the notes of each instance.
//!
//! - `registry.rs`: what an instance knows of versions and streams;
//! - `poll.rs`: what the answers of peers say together;
//! - `record.rs`: which versions have served, as the table keeps it;
//! - `log.rs`: the notes of an instance, as the table keeps them.

mod log;
mod poll;
mod record;
mod registry;

pub use self::log::{BatchKey, NoteBatch, NoteChange, NoteLog};
pub use self::poll::{AskedPeers, VersionDecision, VersionPoll};
pub use self::record::{ListedNow, RecordedVersion, VersionRecord};
pub use self::registry::{VersionAnswer, VersionNote, VersionRegistry, VersionView};

/// Identifies a stream: a hash of the id of the caller's attempt that brought its first event.
pub type StreamKey = u64;

/// Identifies a service in messages between instances: a hash of its name.
pub type ServiceKey = u32;
