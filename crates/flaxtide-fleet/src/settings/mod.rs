//! Settings on their way between instances: in pieces, each asked for when the one before it
//! has come, so that what either side holds is bounded however slow the link is.

mod assembly;
mod provider;

use std::sync::Arc;

use flaxtide_core::SettingsVersion;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::key::FleetKey;

pub use self::assembly::{CopyAssembly, PieceOutcome};
pub use self::provider::PieceProvider;

/// The most bytes of one piece: 26 ms of a link of 10 Mbit/s, so that heartbeats wait about 0.1 s
/// behind the pieces of all that are given settings at the same time.
pub const MAX_PIECE_BYTES: usize = 32 * 1024;

/// The settings of one version, whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsCopy {
    /// The version.
    pub version: SettingsVersion,
    /// The tree, as JSON. Copies of it are shared, not made.
    pub tree: Arc<str>,
}

/// A question for the next piece of settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PieceQuestion {
    /// Stands for the instance that asks, also over another link.
    pub requester: FleetKey,
    /// Only settings newer than this are of use.
    pub newer_than: SettingsVersion,
    /// The version that has been begun; 0 before the first piece.
    pub version: SettingsVersion,
    /// How many bytes of it have come.
    pub offset: u32,
}

/// The answer to a question for a piece.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PieceAnswer {
    /// There is nothing newer here.
    NothingNewer,
    /// Too many peers are being given settings; another peer may have time.
    Busy,
    /// A piece.
    Piece(SettingsPiece),
}

/// A piece of settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsPiece {
    /// The version. A newer one than was asked for begins anew, at offset 0.
    pub version: SettingsVersion,
    /// The bytes of the whole.
    pub length: u32,
    /// The checksum of the whole.
    pub checksum: u64,
    /// Where the piece begins, in bytes.
    pub offset: u32,
    /// The piece; it begins and ends between characters.
    pub text: String,
}

/// Returns the checksum of settings.
pub(crate) fn checksum(tree: &str) -> u64 {
    xxh3_64(tree.as_bytes())
}
