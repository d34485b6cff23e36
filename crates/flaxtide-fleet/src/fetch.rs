//! Fetches settings from peers that have newer ones.

use std::sync::Arc;
use std::time::Duration;

use flaxtide_core::SettingsVersion;
use log::Level;

use crate::node::SettingsSource;
use crate::partial::PartialCopy;
use crate::settings::{CopyAssembly, PieceAnswer, PieceOutcome, SettingsCopy};
use crate::shared::{FleetOutput, FleetShared};
use crate::wire::PeerLinkClient;

/// How long a peer may take for one piece. The whole fetch has no time-out, so that pieces
/// received over a slow link aren't discarded while more arrive.
const PIECE_TIMEOUT: Duration = Duration::from_millis(1500);

/// A fetch ends after this many unresponsive peers. The next one starts with the peers that are
/// alive by then.
const MAX_UNRESPONSIVE_PEERS: u32 = 2;

/// How a fetch from one peer ended.
#[derive(Debug)]
enum ProviderOutcome {
    /// The settings are complete.
    Complete(SettingsCopy),
    /// The peer has nothing newer.
    NothingNewer,
    /// Settings at least as new came into force in the meantime, from the instance's own
    /// source.
    Superseded,
    /// The peer is sending settings to too many others.
    Busy,
    /// The pieces of this version don't fit together, or the same settings were already
    /// rejected when they were to be put in force.
    Rejected(SettingsVersion),
    /// No answer arrived in time.
    Unresponsive,
}

impl ProviderOutcome {
    /// Returns the name used in the log.
    fn name(&self) -> &'static str {
        match self {
            Self::Complete(_) => "whole",
            Self::NothingNewer => "nothing newer",
            Self::Superseded => "overtaken",
            Self::Busy => "busy",
            Self::Rejected(_) => "rejected",
            Self::Unresponsive => "unresponsive",
        }
    }
}

/// Fetches settings from one peer after the other until they are complete. Pieces received so
/// far are kept for the next peer and the next fetch, until a peer sends newer settings or no
/// piece has arrived for a while.
pub(crate) async fn fetch_settings(shared: Arc<FleetShared>) {
    let now = shared.clock.now();
    let mut partial = std::mem::take(&mut *shared.partial());
    let (mut sources, version) = {
        let node = shared.node();
        (node.settings_sources(now), node.version())
    };
    partial.set_newer_than(version, now);
    partial.sort_sources(&mut sources);
    let mut unresponsive = 0;
    for source in &sources {
        let started_at = shared.clock.now();
        let outcome = fetch_from(&shared, source, &mut partial).await;
        let took = shared.clock.now().saturating_sub(started_at);
        log_fetch(source, version, &outcome, &partial.assembly, took);
        match outcome {
            ProviderOutcome::Complete(copy) => {
                let now = shared.clock.now();
                shared.node().record_fetched(&copy, &source.info.name, now);
                (shared.output)(FleetOutput::Settings(copy));
                return;
            }
            ProviderOutcome::Superseded => return,
            ProviderOutcome::Rejected(version) => {
                shared.node().reject_provider(&source.info.name, version);
            }
            ProviderOutcome::NothingNewer | ProviderOutcome::Busy => {}
            ProviderOutcome::Unresponsive => unresponsive += 1,
        }
        if unresponsive >= MAX_UNRESPONSIVE_PEERS {
            break;
        }
    }
    *shared.partial() = partial;
}

/// Fetches pieces from one peer until the settings are complete or the peer sends no more.
async fn fetch_from(
    shared: &Arc<FleetShared>,
    source: &SettingsSource,
    partial: &mut PartialCopy,
) -> ProviderOutcome {
    let requester = shared.node().own_key();
    loop {
        let question = partial.assembly.question(requester);
        let in_force = shared.node().version();
        if in_force > question.newer_than.max(question.version.saturating_sub(1)) {
            return ProviderOutcome::Superseded;
        }
        let ask = |client: PeerLinkClient, context| async move {
            client.settings(context, question).await
        };
        let piece = match shared.call_peer(&source.info, PIECE_TIMEOUT, ask).await {
            Some(PieceAnswer::Piece(piece)) => piece,
            Some(PieceAnswer::NothingNewer) => return ProviderOutcome::NothingNewer,
            Some(PieceAnswer::Busy) => return ProviderOutcome::Busy,
            None => return ProviderOutcome::Unresponsive,
        };
        if shared.node().was_rejected(piece.version, piece.checksum) {
            return ProviderOutcome::Rejected(piece.version);
        }
        match partial.assembly.add_piece(&piece) {
            PieceOutcome::Partial => {
                partial.record_piece(source, shared.clock.now());
            }
            PieceOutcome::Complete(copy) => return ProviderOutcome::Complete(copy),
            PieceOutcome::Rejected => return ProviderOutcome::Rejected(piece.version),
        }
    }
}

/// Logs how a fetch from a peer ended. A busy peer is common, so it is logged at debug level.
fn log_fetch(
    source: &SettingsSource,
    newer_than: SettingsVersion,
    outcome: &ProviderOutcome,
    assembly: &CopyAssembly,
    took: Duration,
) {
    let level =
        if matches!(outcome, ProviderOutcome::Busy) { Level::Debug } else { Level::Info };
    log::log!(
        level,
        peer = source.info.name, newer_than, outcome = outcome.name(),
        version = assembly.version(), left_off_at = assembly.received_bytes(),
        took_ms = took.as_millis() as u64;
        "settings fetch from peer ended"
    );
}
