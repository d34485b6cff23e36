//! The receiving side of a settings transfer.

use flaxtide_core::SettingsVersion;

use super::{PieceQuestion, SettingsCopy, SettingsPiece, checksum};
use crate::key::FleetKey;

/// The largest settings that are accepted from a peer: seven times the largest known to be in
/// use. Larger ones would exhaust the memory of small instances. The platform's client has the
/// same limit, plus a third for base64.
const MAX_SETTINGS_BYTES: u32 = 6 * 1024 * 1024;

/// Settings that are received piece by piece. Another peer that has the same version can send
/// the remaining pieces.
///
/// ```
/// use flaxtide_fleet::CopyAssembly;
/// let assembly = CopyAssembly::new(6);
/// assert_eq!(assembly.question(1).newer_than, 6);
/// ```
#[derive(Debug, Clone)]
pub struct CopyAssembly {
    /// Only newer settings are accepted.
    newer_than: SettingsVersion,
    /// The version being received; 0 before the first piece.
    version: SettingsVersion,
    /// The size of the complete settings in bytes.
    length: u32,
    /// The checksum of the complete settings.
    checksum: u64,
    /// The text received so far.
    text: String,
}

/// The result of adding a piece.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PieceOutcome {
    /// More pieces are needed.
    Partial,
    /// The settings are complete.
    Complete(SettingsCopy),
    /// The piece doesn't fit; or the complete settings have the wrong checksum and are
    /// discarded.
    Rejected,
}

impl CopyAssembly {
    /// Creates an assembly that has received nothing.
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

    /// Returns the version being received; 0 before the first piece.
    #[must_use]
    pub fn version(&self) -> SettingsVersion {
        self.version
    }

    /// Returns how many bytes of it have been received.
    #[must_use]
    pub fn received_bytes(&self) -> usize {
        self.text.len()
    }

    /// Sets the version in force. A partly received version that isn't newer is dropped.
    pub fn set_newer_than(&mut self, newer_than: SettingsVersion) {
        if self.version <= newer_than {
            *self = Self::new(newer_than);
        }
        self.newer_than = newer_than;
    }

    /// Returns the request for the next piece.
    #[must_use]
    pub fn question(&self, requester: FleetKey) -> PieceQuestion {
        PieceQuestion {
            requester,
            newer_than: self.newer_than,
            version: self.version,
            offset: self.text.len() as u32,
        }
    }

    /// Adds a piece. A piece that doesn't fit is ignored.
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
        PieceOutcome::Complete(SettingsCopy { version, tree: text.into() })
    }

    /// Starts to receive the version of a first piece, without adding its text.
    fn begin(newer_than: SettingsVersion, piece: &SettingsPiece) -> Self {
        Self {
            newer_than,
            version: piece.version,
            length: piece.length,
            checksum: piece.checksum,
            text: String::new(),
        }
    }

    /// Returns whether a piece is the next one of the version being received, and isn't empty.
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
