//! Fetching the settings from peers that have newer ones.

use std::sync::Arc;
use std::time::Duration;

use flaxtide_core::SettingsVersion;
use log::Level;

use crate::node::SettingsSource;
use crate::partial::PartialCopy;
use crate::settings::{CopyAssembly, PieceAnswer, SettingsCopy, TakenPiece};
use crate::shared::{FleetOutput, FleetShared};
use crate::wire::PeerLinkClient;

/// How long a peer may take for one piece. There is no limit for the whole: what has come
/// over a slow link isn't thrown away while more comes.
const PIECE_TIMEOUT: Duration = Duration::from_millis(1500);

/// After so many silent peers a fetch ends, and the next one looks anew who is heard.
const UNRESPONSIVE_PEERS: u32 = 2;

/// How a peer's part in a fetch has ended.
#[derive(Debug)]
enum ProviderEnd {
    /// The settings are whole.
    Whole(SettingsCopy),
    /// It has nothing newer.
    NothingNewer,
    /// Settings as new as these are in force meanwhile, from the instance's own source.
    Overtaken,
    /// It gives to too many others.
    Busy,
    /// What it sent of a version doesn't fit together, or couldn't be understood before.
    Rejected(SettingsVersion),
    /// No answer came in time.
    Unresponsive,
}

impl ProviderEnd {
    /// Returns its name for the log.
    fn name(&self) -> &'static str {
        match self {
            Self::Whole(_) => "whole",
            Self::NothingNewer => "nothing newer",
            Self::Overtaken => "overtaken",
            Self::Busy => "busy",
            Self::Rejected(_) => "rejected",
            Self::Unresponsive => "unresponsive",
        }
    }
}

/// Fetches the settings, from one peer after the other, until they are whole. What has come
/// is kept for the next peer and the next fetch, until somebody gives newer settings or
/// nobody gives more for a while.
pub(crate) async fn fetch_settings(shared: Arc<FleetShared>) {
    let now = shared.clock.now();
    let mut partial = std::mem::take(&mut *shared.partial());
    let (mut sources, version) = {
        let node = shared.node();
        (node.settings_sources(now), node.version())
    };
    partial.renew(version, now);
    partial.order(&mut sources);
    let mut silent = 0;
    for source in &sources {
        let started = shared.clock.now();
        let end = take_from(&shared, source, &mut partial).await;
        let took = shared.clock.now().saturating_sub(started);
        log_fetch(source, version, &end, &partial.assembly, took);
        match end {
            ProviderEnd::Whole(copy) => {
                let now = shared.clock.now();
                shared.node().record_fetched(&copy, &source.info.name, now);
                (shared.output)(FleetOutput::Settings(copy));
                return;
            }
            ProviderEnd::Overtaken => return,
            ProviderEnd::Rejected(version) => {
                shared.node().reject_provider(&source.info.name, version);
            }
            ProviderEnd::NothingNewer | ProviderEnd::Busy => {}
            ProviderEnd::Unresponsive => silent += 1,
        }
        if silent >= UNRESPONSIVE_PEERS {
            break;
        }
    }
    *shared.partial() = partial;
}

/// Takes pieces from one peer until the settings are whole, or it gives no more.
async fn take_from(
    shared: &Arc<FleetShared>,
    source: &SettingsSource,
    partial: &mut PartialCopy,
) -> ProviderEnd {
    let requester = shared.node().key();
    loop {
        let question = partial.assembly.question(requester);
        let in_force = shared.node().version();
        if in_force > question.newer_than.max(question.version.saturating_sub(1)) {
            return ProviderEnd::Overtaken;
        }
        let ask = |client: PeerLinkClient, context| async move {
            client.settings(context, question).await
        };
        let piece = match shared.call_peer(&source.info, PIECE_TIMEOUT, ask).await {
            Some(PieceAnswer::Piece(piece)) => piece,
            Some(PieceAnswer::NothingNewer) => return ProviderEnd::NothingNewer,
            Some(PieceAnswer::Busy) => return ProviderEnd::Busy,
            None => return ProviderEnd::Unresponsive,
        };
        if shared.node().was_rejected(piece.version, piece.checksum) {
            return ProviderEnd::Rejected(piece.version);
        }
        match partial.assembly.take(&piece) {
            TakenPiece::Partial => {
                partial.record_piece(source, shared.clock.now());
            }
            TakenPiece::Whole(copy) => return ProviderEnd::Whole(copy),
            TakenPiece::Rejected => return ProviderEnd::Rejected(piece.version),
        }
    }
}

/// Logs a peer's part in a fetch; one that has no time isn't worth a line.
fn log_fetch(
    source: &SettingsSource,
    newer_than: SettingsVersion,
    end: &ProviderEnd,
    assembly: &CopyAssembly,
    took: Duration,
) {
    let level = if matches!(end, ProviderEnd::Busy) { Level::Debug } else { Level::Info };
    log::log!(
        level,
        peer = source.info.name, newer_than, outcome = end.name(),
        version = assembly.version(), left_off_at = assembly.received(),
        took_ms = took.as_millis() as u64;
        "settings asked of peer"
    );
}
