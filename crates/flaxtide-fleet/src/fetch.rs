//! Fetching the settings from peers that have newer ones.

use std::sync::Arc;
use std::time::Duration;

use flaxtide_core::SettingsVersion;

use crate::info::PeerInfo;
use crate::settings::{CopyAssembly, PieceAnswer, SettingsCopy, TakenPiece};
use crate::thread::{FleetOutput, FleetShared, deadline, link_to};

/// How long a peer may take for one piece. There is no limit for the whole: what has come
/// over a slow link isn't thrown away while more comes.
const PIECE_TIMEOUT: Duration = Duration::from_millis(1500);

/// How a peer's part in a fetch has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum GiverEnd {
    /// The settings are whole.
    Whole,
    /// It has nothing newer.
    NothingNewer,
    /// The instance has had newer settings from its own source meanwhile.
    Overtaken,
    /// It gives to too many others.
    Busy,
    /// What it sent doesn't fit together.
    Rejected,
    /// No answer came in time.
    Silent,
}

/// Fetches the settings, from one peer after the other, until they are whole. What one peer
/// has given isn't asked again of the next.
pub(crate) async fn fetch_settings(shared: Arc<FleetShared>) {
    let (peers, version) = {
        let node = shared.node();
        (node.settings_sources(shared.clock.now()), node.version())
    };
    let mut assembly = CopyAssembly::new(version);
    for peer in peers {
        let started = shared.clock.now();
        let (end, copy) = take_from(&shared, &peer, &mut assembly).await;
        let took = shared.clock.now().saturating_sub(started);
        note_fetch(&peer, version, end, &assembly, took);
        if end == GiverEnd::Overtaken {
            return;
        }
        let Some(copy) = copy else { continue };
        let now = shared.clock.now();
        shared.node().note_fetched(copy.version, now);
        (shared.output)(FleetOutput::Settings(copy));
        return;
    }
}

/// Takes pieces from one peer until the settings are whole, or it gives no more.
async fn take_from(
    shared: &Arc<FleetShared>,
    peer: &PeerInfo,
    assembly: &mut CopyAssembly,
) -> (GiverEnd, Option<SettingsCopy>) {
    loop {
        if shared.node().version() > assembly.question().newer_than {
            return (GiverEnd::Overtaken, None);
        }
        let Some(link) = link_to(shared, peer.address).await else {
            return (GiverEnd::Silent, None);
        };
        let question = assembly.question();
        let piece = match link.settings(deadline(PIECE_TIMEOUT), question).await {
            Ok(PieceAnswer::Piece(piece)) => piece,
            Ok(PieceAnswer::NothingNewer) => return (GiverEnd::NothingNewer, None),
            Ok(PieceAnswer::Busy) => return (GiverEnd::Busy, None),
            Err(cause) => {
                log::debug!("no settings from {}: {cause}", peer.name);
                shared.links().remove(&peer.address);
                return (GiverEnd::Silent, None);
            }
        };
        match assembly.take(&piece) {
            TakenPiece::Partial => {}
            TakenPiece::Whole(copy) => return (GiverEnd::Whole, Some(copy)),
            TakenPiece::Rejected => return (GiverEnd::Rejected, None),
        }
    }
}

/// Logs a peer's part in a fetch.
fn note_fetch(
    peer: &PeerInfo,
    newer_than: SettingsVersion,
    end: GiverEnd,
    assembly: &CopyAssembly,
    took: Duration,
) {
    log::info!(
        peer = peer.name, newer_than, outcome:? = end,
        left_off_at = assembly.question().offset,
        took_ms = took.as_millis() as u64;
        "settings asked of peer"
    );
}
