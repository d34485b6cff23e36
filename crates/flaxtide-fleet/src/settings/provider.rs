//! The side that gives settings to peers.

use std::time::Duration;

use super::{
    MAX_PIECE_BYTES, PieceAnswer, PieceQuestion, SettingsCopy, SettingsPiece, checksum,
};
use crate::key::FleetKey;

/// How many peers are given settings at the same time. A few at a time are done sooner than
/// all at once, and then give them on; others ask elsewhere.
const MAX_TRANSFERS: usize = 4;

/// A peer that asks for no further piece for so long has given up, or is gone. It asks again
/// sooner if an answer was lost: within 2.6 s, with the opening of a link.
const TRANSFER_IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Gives settings to a few peers at a time, in pieces. It is told the time.
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
    /// The copies that are being given.
    transfers: Vec<OutgoingCopy>,
}

/// A copy that a peer is being given. It stays the same until it is whole, also when newer
/// settings come meanwhile: with changes faster than a transfer, none would end otherwise.
#[derive(Debug)]
struct OutgoingCopy {
    /// The peer.
    requester: FleetKey,
    /// The copy.
    copy: SettingsCopy,
    /// Its checksum.
    checksum: u64,
    /// When the peer last asked_at.
    asked_at: Duration,
}

impl PieceProvider {
    /// Answers a question. `newest` returns the settings in force, if newer than what the
    /// peer has.
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
        let current = own.map(|place| self.transfers.swap_remove(place));
        if self.transfers.len() >= MAX_TRANSFERS {
            return PieceAnswer::Busy;
        }
        let current =
            current.filter(|transfer| transfer.copy.version == question.version);
        // Older settings than those that the peer has current are of no use to it.
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
    /// Begins to give a copy to a peer.
    fn new(requester: FleetKey, copy: SettingsCopy, now: Duration) -> Self {
        let checksum = checksum(&copy.tree);
        Self { requester, copy, checksum, asked_at: now }
    }

    /// Cuts the piece that a question asks for; the first one if it asks for a version that
    /// isn't given, or for a place that can't be in it.
    fn piece(&self, question: PieceQuestion) -> SettingsPiece {
        let tree = &*self.copy.tree;
        let offset = question.offset as usize;
        let current = question.version == self.copy.version;
        let begin = if current && tree.is_char_boundary(offset) { offset } else { 0 };
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
