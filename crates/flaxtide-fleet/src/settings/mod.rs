//! Transfer of settings between instances. The receiver requests one piece after the other, so
//! that the memory in use on both sides is bounded however slow the link is.

mod assembly;
mod provider;

use std::sync::Arc;

use flaxtide_core::SettingsVersion;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::key::FleetKey;

pub use self::assembly::{CopyAssembly, PieceOutcome};
pub use self::provider::PieceProvider;

/// The most bytes in a piece. It takes 26 ms on a link of 10 Mbit/s, so heartbeats wait about
/// 0.1 s behind the pieces of all parallel transfers.
pub const MAX_PIECE_BYTES: usize = 32 * 1024;

/// The complete settings of one version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsCopy {
    /// The version of the settings.
    pub version: SettingsVersion,
    /// The tree, as JSON. It is behind an `Arc` because transfers share it.
    pub tree: Arc<str>,
}

/// A request for the next piece of settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PieceQuestion {
    /// The key of the requesting instance, which stays the same when it reconnects.
    pub requester: FleetKey,
    /// Only settings newer than this version are of use.
    pub newer_than: SettingsVersion,
    /// The version being received; 0 before the first piece.
    pub version: SettingsVersion,
    /// How many bytes of it have been received.
    pub offset: u32,
}

/// The answer to a request for a piece.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PieceAnswer {
    /// The provider has nothing newer.
    NothingNewer,
    /// The provider is sending settings to too many peers; another one may be free.
    Busy,
    /// The next piece, or the first piece of a newer version.
    Piece(SettingsPiece),
}

/// A piece of settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsPiece {
    /// The version. If it is newer than the requested one, the transfer starts over at offset
    /// 0.
    pub version: SettingsVersion,
    /// The size of the complete settings in bytes.
    pub length: u32,
    /// The checksum of the complete settings.
    pub checksum: u64,
    /// Where the piece begins, in bytes.
    pub offset: u32,
    /// The text of the piece; it begins and ends at character boundaries.
    pub text: String,
}

/// Returns the checksum of a settings tree.
pub(crate) fn checksum(tree: &str) -> u64 {
    xxh3_64(tree.as_bytes())
}
