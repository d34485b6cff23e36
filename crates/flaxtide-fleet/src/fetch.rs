//! Fetching the settings from peers that have newer ones.

use std::sync::Arc;
use std::time::Duration;

use flaxtide_core::{InstanceName, SettingsVersion};
use log::Level;

use crate::links::call;
use crate::node::SettingsSource;
use crate::settings::{CopyAssembly, PieceAnswer, SettingsCopy, TakenPiece};
use crate::thread::{FleetOutput, FleetShared};

/// How long a peer may take for one piece. There is no limit for the whole: what has come
/// over a slow link isn't thrown away while more comes.
const PIECE_TIMEOUT: Duration = Duration::from_millis(1500);

/// After so many silent peers a fetch ends, and the next one looks anew who is heard.
const UNRESPONSIVE_PEERS: u32 = 2;

/// What has come is dropped if no more of it has come for so long.
const KEPT_FOR: Duration = Duration::from_secs(5);

/// Settings of which a part has come. They outlast a fetch that ends before they are whole.
#[derive(Debug)]
pub(crate) struct PartialCopy {
    /// What has come.
    assembly: CopyAssembly,
    /// Who gave the last piece.
    provider: Option<InstanceName>,
    /// When it came.
    progress: Duration,
}

impl Default for PartialCopy {
    fn default() -> Self {
        Self {
            assembly: CopyAssembly::new(0),
            provider: None,
            progress: Duration::ZERO,
        }
    }
}

impl PartialCopy {
    /// Goes on as an instance whose settings in force are of a version. What can't be of
    /// use any more is dropped.
    fn renew(&mut self, version: SettingsVersion, now: Duration) {
        if now >= self.progress + KEPT_FOR {
            *self = Self::default();
        }
        self.assembly.renew(version);
    }

    /// Returns whether a source has what has begun, if anything has.
    fn continued_by(&self, source: &SettingsSource) -> bool {
        self.assembly.version() == 0 || self.assembly.version() == source.version
    }

    /// Returns whether a source gave the last piece.
    fn provided_by(&self, source: &SettingsSource) -> bool {
        self.provider.as_ref() == Some(&source.info.name)
    }

    /// Puts sources in the order in which they are asked: its provider first, which keeps the
    /// copy that it has begun even if it has newer settings by now; then who has the same.
    fn order(&self, sources: &mut [SettingsSource]) {
        sources.sort_by_key(|source| {
            (!self.provided_by(source), !self.continued_by(source))
        });
    }

    /// Records that a piece has come from a source.
    fn record_piece(&mut self, source: &SettingsSource, now: Duration) {
        self.provider = Some(source.info.name.clone());
        self.progress = now;
    }
}

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
    let mut begun = std::mem::take(&mut *shared.begun());
    let (mut sources, version) = {
        let node = shared.node();
        (node.settings_sources(now), node.version())
    };
    begun.renew(version, now);
    begun.order(&mut sources);
    let mut silent = 0;
    for source in &sources {
        let started = shared.clock.now();
        let end = take_from(&shared, source, &mut begun).await;
        let took = shared.clock.now().saturating_sub(started);
        log_fetch(source, version, &end, &begun.assembly, took);
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
    *shared.begun() = begun;
}

/// Takes pieces from one peer until the settings are whole, or it gives no more.
async fn take_from(
    shared: &Arc<FleetShared>,
    source: &SettingsSource,
    begun: &mut PartialCopy,
) -> ProviderEnd {
    let (requester, address) = (shared.node().key(), source.info.address);
    loop {
        let question = begun.assembly.question(requester);
        let in_force = shared.node().version();
        if in_force > question.newer_than.max(question.version.saturating_sub(1)) {
            return ProviderEnd::Overtaken;
        }
        let Some(link) = shared.links.open(address).await else {
            return ProviderEnd::Unresponsive;
        };
        let settings = |context| link.client.settings(context, question);
        let piece = match call(PIECE_TIMEOUT, settings).await {
            Ok(PieceAnswer::Piece(piece)) => piece,
            Ok(PieceAnswer::NothingNewer) => return ProviderEnd::NothingNewer,
            Ok(PieceAnswer::Busy) => return ProviderEnd::Busy,
            Err(cause) => {
                log::debug!("no settings from {}: {cause}", source.info.name);
                shared.links.close(address, &link).await;
                return ProviderEnd::Unresponsive;
            }
        };
        if shared.node().was_rejected(piece.version, piece.checksum) {
            return ProviderEnd::Rejected(piece.version);
        }
        match begun.assembly.take(&piece) {
            TakenPiece::Partial => {
                begun.record_piece(source, shared.clock.now());
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
