//! The sending side of a settings transfer.

use std::time::Duration;

use super::{
    MAX_PIECE_BYTES, PieceAnswer, PieceQuestion, SettingsCopy, SettingsPiece, checksum,
};
use crate::key::FleetKey;

/// The most parallel transfers. A few at a time finish sooner than all at once, and their
/// receivers become providers; the others ask elsewhere.
const MAX_TRANSFERS: usize = 4;

/// A transfer without a request for this long is dropped: the peer has given up or is gone.
/// After a lost answer, a peer asks again within 2.6 s, including the time to reconnect.
const TRANSFER_IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Sends settings to a few peers at a time, in pieces. The caller passes in the time.
///
/// ```
/// use std::time::Duration;
/// use flaxtide_fleet::{PieceAnswer, PieceProvider, PieceQuestion, SettingsCopy};
/// let mut provider = PieceProvider::default();
/// let newest = || Some(SettingsCopy { version: 7, tree: "{}".into() });
/// let question = PieceQuestion { requester: 1, newer_than: 6, version: 0, offset: 0 };
/// let answer = provider.answer(question, newest, Duration::ZERO);
/// assert!(matches!(answer, PieceAnswer::Piece(piece) if piece.text == "{}"));
/// ```
#[derive(Debug, Default)]
pub struct PieceProvider {
    /// The transfers in progress.
    transfers: Vec<OutgoingCopy>,
}

/// A transfer to a peer. The copy stays the same until it is complete, even if newer settings
/// arrive: otherwise no transfer would finish while settings change faster than a transfer
/// takes.
#[derive(Debug)]
struct OutgoingCopy {
    /// The key of the receiving peer.
    requester: FleetKey,
    /// The settings being sent.
    copy: SettingsCopy,
    /// The checksum of the copy.
    checksum: u64,
    /// When the peer last requested a piece.
    asked_at: Duration,
}

impl PieceProvider {
    /// Answers a request for a piece. `newest` returns the settings in force if they are newer
    /// than the peer's.
    pub fn answer(
        &mut self,
        question: PieceQuestion,
        newest: impl FnOnce() -> Option<SettingsCopy>,
        now: Duration,
    ) -> PieceAnswer {
        self.transfers
            .retain(|transfer| now < transfer.asked_at + TRANSFER_IDLE_TIMEOUT);
        let own = self
            .transfers
            .iter()
            .position(|transfer| transfer.requester == question.requester);
        let current = own.map(|index| self.transfers.swap_remove(index));
        if self.transfers.len() >= MAX_TRANSFERS {
            return PieceAnswer::Busy;
        }
        let current =
            current.filter(|transfer| transfer.copy.version == question.version);
        // Settings older than those that the peer is receiving are of no use to it.
        let newest = || newest().filter(|copy| copy.version >= question.version);
        let transfer = current
            .or_else(|| Some(OutgoingCopy::new(question.requester, newest()?, now)));
        let Some(mut transfer) = transfer else { return PieceAnswer::NothingNewer };
        let piece = transfer.piece(question);
        let end = piece.offset as usize + piece.text.len();
        if end < transfer.copy.tree.len() {
            transfer.asked_at = now;
            self.transfers.push(transfer);
        }
        PieceAnswer::Piece(piece)
    }
}

impl OutgoingCopy {
    /// Starts a transfer to a peer.
    fn new(requester: FleetKey, copy: SettingsCopy, now: Duration) -> Self {
        let checksum = checksum(&copy.tree);
        Self { requester, copy, checksum, asked_at: now }
    }

    /// Returns the requested piece; the first one if the request is for another version or its
    /// offset isn't valid.
    fn piece(&self, question: PieceQuestion) -> SettingsPiece {
        let tree = &*self.copy.tree;
        let offset = question.offset as usize;
        let same_version = question.version == self.copy.version;
        let begin =
            if same_version && tree.is_char_boundary(offset) { offset } else { 0 };
        let end = tree.floor_char_boundary((begin + MAX_PIECE_BYTES).min(tree.len()));
        SettingsPiece {
            version: self.copy.version,
            length: tree.len() as u32,
            checksum: self.checksum,
            offset: begin as u32,
            text: tree[begin..end].to_owned(),
        }
    }
}
