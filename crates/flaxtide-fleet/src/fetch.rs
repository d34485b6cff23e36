//! Fetching the settings from peers that have newer ones.

use std::sync::Arc;
use std::time::Duration;

use flaxtide_core::SettingsVersion;
use log::Level;

use crate::info::PeerInfo;
use crate::links::call;
use crate::settings::{CopyAssembly, PieceAnswer, SettingsCopy, TakenPiece};
use crate::thread::{FleetOutput, FleetShared};

/// How long a peer may take for one piece. There is no limit for the whole: what has come
/// over a slow link isn't thrown away while more comes.
const PIECE_TIMEOUT: Duration = Duration::from_millis(1500);

/// How a peer's part in a fetch has ended.
#[derive(Debug)]
enum GiverEnd {
    /// The settings are whole.
    Whole(SettingsCopy),
    /// It has nothing newer.
    NothingNewer,
    /// Settings as new as these are in force meanwhile, from the instance's own source.
    Overtaken,
    /// It gives to too many others.
    Busy,
    /// What it sent doesn't fit together, or is what this instance couldn't understand.
    Rejected,
    /// No answer came in time.
    Silent,
}

impl GiverEnd {
    /// Returns its name for the log.
    fn name(&self) -> &'static str {
        match self {
            Self::Whole(_) => "whole",
            Self::NothingNewer => "nothing newer",
            Self::Overtaken => "overtaken",
            Self::Busy => "busy",
            Self::Rejected => "rejected",
            Self::Silent => "silent",
        }
    }
}

/// Fetches the settings, from one peer after the other, until they are whole. What one peer
/// has given isn't asked again of the next, nor by the next fetch, as long as more comes.
pub(crate) async fn fetch_settings(shared: Arc<FleetShared>) {
    let now = shared.clock.now();
    let mut assembly = std::mem::replace(&mut *shared.begun(), CopyAssembly::new(0));
    let (peers, version) = {
        let node = shared.node();
        assembly.renew(node.version());
        (node.settings_sources(assembly.version(), now), node.version())
    };
    let before = (assembly.version(), assembly.received());
    for peer in peers {
        let started = shared.clock.now();
        let end = take_from(&shared, &peer, &mut assembly).await;
        let took = shared.clock.now().saturating_sub(started);
        note_fetch(&peer, version, &end, &assembly, took);
        match end {
            GiverEnd::Whole(copy) => {
                let now = shared.clock.now();
                shared.node().note_fetched(&copy, &peer.name, now);
                (shared.output)(FleetOutput::Settings(copy));
                break;
            }
            GiverEnd::Overtaken => break,
            GiverEnd::Rejected => shared.node().reject_giver(&peer.name),
            GiverEnd::NothingNewer | GiverEnd::Busy | GiverEnd::Silent => {}
        }
    }
    if before == (assembly.version(), assembly.received()) {
        // Nobody can go on with it.
        assembly = CopyAssembly::new(version);
    }
    *shared.begun() = assembly;
}

/// Takes pieces from one peer until the settings are whole, or it gives no more.
async fn take_from(
    shared: &Arc<FleetShared>,
    peer: &PeerInfo,
    assembly: &mut CopyAssembly,
) -> GiverEnd {
    let asker = shared.node().key();
    loop {
        let question = assembly.question(asker);
        let in_force = shared.node().version();
        if in_force > question.newer_than.max(question.version.saturating_sub(1)) {
            return GiverEnd::Overtaken;
        }
        let Some(link) = shared.links.open(peer.address).await else {
            return GiverEnd::Silent;
        };
        let settings = |context| link.client.settings(context, question);
        let piece = match call(PIECE_TIMEOUT, settings).await {
            Ok(PieceAnswer::Piece(piece)) => piece,
            Ok(PieceAnswer::NothingNewer) => return GiverEnd::NothingNewer,
            Ok(PieceAnswer::Busy) => return GiverEnd::Busy,
            Err(cause) => {
                log::debug!("no settings from {}: {cause}", peer.name);
                shared.links.close(peer.address, &link);
                return GiverEnd::Silent;
            }
        };
        if shared.node().was_rejected(piece.version, piece.checksum) {
            return GiverEnd::Rejected;
        }
        match assembly.take(&piece) {
            TakenPiece::Partial => {}
            TakenPiece::Whole(copy) => return GiverEnd::Whole(copy),
            TakenPiece::Rejected => return GiverEnd::Rejected,
        }
    }
}

/// Logs a peer's part in a fetch; one that has no time isn't worth a line.
fn note_fetch(
    peer: &PeerInfo,
    newer_than: SettingsVersion,
    end: &GiverEnd,
    assembly: &CopyAssembly,
    took: Duration,
) {
    let level = if matches!(end, GiverEnd::Busy) { Level::Debug } else { Level::Info };
    log::log!(
        level,
        peer = peer.name, newer_than, outcome = end.name(),
        version = assembly.version(), left_off_at = assembly.received(),
        took_ms = took.as_millis() as u64;
        "settings asked of peer"
    );
}
