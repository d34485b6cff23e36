//! The side that takes settings from peers.

use flaxtide_core::SettingsVersion;

use super::{PieceQuestion, SettingsCopy, SettingsPiece, checksum};

/// The most bytes of settings that are taken from a peer: 30 times those that are known to
/// be in use.
const LARGEST_SETTINGS: u32 = 32 * 1024 * 1024;

/// Settings of which some pieces have come. Another peer that has the same version can give
/// the rest.
///
/// ```
/// use flaxtide_fleet::CopyAssembly;
/// let assembly = CopyAssembly::new(6);
/// assert_eq!(assembly.question().newer_than, 6);
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

    /// Returns the question for the next piece.
    #[must_use]
    pub fn question(&self) -> PieceQuestion {
        PieceQuestion {
            newer_than: self.newer_than,
            version: self.version,
            offset: self.text.len() as u32,
        }
    }

    /// Takes in a piece.
    pub fn take(&mut self, piece: &SettingsPiece) -> TakenPiece {
        if piece.offset == 0 {
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
