//! The side that takes settings from peers.

use flaxtide_core::SettingsVersion;

use super::{PieceQuestion, SettingsCopy, SettingsPiece, checksum};
use crate::key::FleetKey;

/// The most bytes of settings that are taken from a peer: seven times the largest that are
/// known to be in use. Larger ones would take the memory of small instances; the platform's
/// client has the same limit for them, a third more in base64.
const MAX_SETTINGS_BYTES: u32 = 6 * 1024 * 1024;

/// Settings of which some pieces have come. Another peer that has the same version can give
/// the rest.
///
/// ```
/// use flaxtide_fleet::CopyAssembly;
/// let assembly = CopyAssembly::new(6);
/// assert_eq!(assembly.question(1).newer_than, 6);
/// ```
#[derive(Debug, Clone)]
pub struct CopyAssembly {
    /// Only newer settings are of use.
    newer_than: SettingsVersion,
    /// The version that has been begun; 0 before the first piece.
    version: SettingsVersion,
    /// The bytes of the whole.
    length: u32,
    /// The checksum of the whole.
    checksum: u64,
    /// What has come.
    text: String,
}

/// What a piece has brought.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PieceOutcome {
    /// More is to come.
    Partial,
    /// The settings are whole.
    Whole(SettingsCopy),
    /// It doesn't fit; or the whole isn't what the peer has, and is begun anew.
    Rejected,
}

impl CopyAssembly {
    /// Starts with nothing.
    #[must_use]
    pub fn new(newer_than: SettingsVersion) -> Self {
        Self {
            newer_than,
            version: 0,
            length: 0,
            checksum: 0,
            text: String::new(),
        }
    }

    /// Returns the version that has been begun; 0 before the first piece.
    #[must_use]
    pub fn version(&self) -> SettingsVersion {
        self.version
    }

    /// Returns how many bytes of it have come.
    #[must_use]
    pub fn received_bytes(&self) -> usize {
        self.text.len()
    }

    /// Goes on as an instance whose settings in force are these. What has been begun is
    /// dropped if it isn't newer.
    pub fn set_newer_than(&mut self, newer_than: SettingsVersion) {
        if self.version <= newer_than {
            *self = Self::new(newer_than);
        }
        self.newer_than = newer_than;
    }

    /// Returns the question of an instance for the next piece.
    #[must_use]
    pub fn question(&self, requester: FleetKey) -> PieceQuestion {
        PieceQuestion {
            requester,
            newer_than: self.newer_than,
            version: self.version,
            offset: self.text.len() as u32,
        }
    }

    /// Records a piece. One that doesn't fit leaves what has come as it is.
    pub fn add_piece(&mut self, piece: &SettingsPiece) -> PieceOutcome {
        let is_first =
            piece.offset == 0 && (piece.version > self.version || self.text.is_empty());
        let mut next = is_first.then(|| Self::begin(self.newer_than, piece));
        if !next.as_ref().unwrap_or(self).fits(piece) {
            return PieceOutcome::Rejected;
        }
        if let Some(next) = next.take() {
            *self = next;
        }
        self.text.push_str(&piece.text);
        if self.text.len() < self.length as usize {
            return PieceOutcome::Partial;
        }
        let Self { version, checksum: expected, text, .. } =
            std::mem::replace(self, Self::new(self.newer_than));
        if checksum(&text) != expected {
            return PieceOutcome::Rejected;
        }
        PieceOutcome::Whole(SettingsCopy { version, tree: text.into() })
    }

    /// Begins with the first piece of a version, without its text.
    fn begin(newer_than: SettingsVersion, piece: &SettingsPiece) -> Self {
        Self {
            newer_than,
            version: piece.version,
            length: piece.length,
            checksum: piece.checksum,
            text: String::new(),
        }
    }

    /// Returns whether a piece is the next one of what has been begun, and brings something.
    fn fits(&self, piece: &SettingsPiece) -> bool {
        let left = self.length as usize - self.text.len().min(self.length as usize);
        piece.version == self.version
            && piece.version > self.newer_than
            && piece.checksum == self.checksum
            && piece.length == self.length
            && piece.length <= MAX_SETTINGS_BYTES
            && piece.offset as usize == self.text.len()
            && (1..=left).contains(&piece.text.len())
    }
}
