//! The side that takes settings from peers.

use flaxtide_core::SettingsVersion;

use super::{PieceQuestion, SettingsCopy, SettingsPiece, checksum};
use crate::key::FleetKey;

/// The most bytes of settings that are taken from a peer: seven times the largest that are
/// known to be in use. Larger ones would take the memory of small instances.
const LARGEST_SETTINGS: u32 = 6 * 1024 * 1024;

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
pub enum TakenPiece {
    /// More is to come.
    Partial,
    /// The settings are whole.
    Whole(SettingsCopy),
    /// It doesn't fit, or the whole isn't what the peer has; all is begun anew.
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
    pub fn received(&self) -> usize {
        self.text.len()
    }

    /// Goes on as an instance whose settings in force are these. What has been begun is
    /// dropped if it isn't newer.
    pub fn renew(&mut self, newer_than: SettingsVersion) {
        if self.version <= newer_than {
            *self = Self::new(newer_than);
        }
        self.newer_than = newer_than;
    }

    /// Returns the question of an instance for the next piece.
    #[must_use]
    pub fn question(&self, asker: FleetKey) -> PieceQuestion {
        PieceQuestion {
            asker,
            newer_than: self.newer_than,
            version: self.version,
            offset: self.text.len() as u32,
        }
    }

    /// Takes in a piece.
    pub fn take(&mut self, piece: &SettingsPiece) -> TakenPiece {
        if piece.offset == 0 && piece.version >= self.version {
            self.begin(piece);
        }
        if !self.fits(piece) {
            *self = Self::new(self.newer_than);
            return TakenPiece::Rejected;
        }
        self.text.push_str(&piece.text);
        if self.text.len() < self.length as usize {
            return TakenPiece::Partial;
        }
        let Self { version, checksum: expected, text, .. } =
            std::mem::replace(self, Self::new(self.newer_than));
        if checksum(&text) != expected {
            return TakenPiece::Rejected;
        }
        TakenPiece::Whole(SettingsCopy { version, tree: text.into() })
    }

    /// Begins with the first piece of a version.
    fn begin(&mut self, piece: &SettingsPiece) {
        self.version = piece.version;
        self.length = piece.length;
        self.checksum = piece.checksum;
        self.text.clear();
    }

    /// Tells whether a piece is the next one of what has been begun, and brings something.
    fn fits(&self, piece: &SettingsPiece) -> bool {
        let left = self.length as usize - self.text.len().min(self.length as usize);
        piece.version == self.version
            && piece.version > self.newer_than
            && piece.checksum == self.checksum
            && piece.length == self.length
            && piece.length <= LARGEST_SETTINGS
            && piece.offset as usize == self.text.len()
            && (1..=left).contains(&piece.text.len())
    }
}
