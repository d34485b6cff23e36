//! Settings of which a part has come from peers.

use std::time::Duration;

use flaxtide_core::{InstanceName, SettingsVersion};

use crate::node::SettingsSource;
use crate::settings::CopyAssembly;

/// What has come is dropped if no more of it has come for so long.
const PARTIAL_EXPIRY: Duration = Duration::from_secs(5);

/// Settings of which a part has come. They outlast a fetch that ends before they are whole.
#[derive(Debug)]
pub(crate) struct PartialCopy {
    /// What has come.
    pub(crate) assembly: CopyAssembly,
    /// Who gave the last piece.
    provider: Option<InstanceName>,
    /// When it came.
    last_piece_at: Duration,
}

impl Default for PartialCopy {
    fn default() -> Self {
        Self {
            assembly: CopyAssembly::new(0),
            provider: None,
            last_piece_at: Duration::ZERO,
        }
    }
}

impl PartialCopy {
    /// Goes on as an instance whose settings in force are of a version. What can't be of
    /// use any more is dropped.
    pub(crate) fn set_newer_than(&mut self, version: SettingsVersion, now: Duration) {
        if now >= self.last_piece_at + PARTIAL_EXPIRY {
            *self = Self::default();
        }
        self.assembly.set_newer_than(version);
    }

    /// Returns whether a source has what has begun, if anything has.
    pub(crate) fn continued_by(&self, source: &SettingsSource) -> bool {
        self.assembly.version() == 0 || self.assembly.version() == source.version
    }

    /// Returns whether a source gave the last piece.
    pub(crate) fn provided_by(&self, source: &SettingsSource) -> bool {
        self.provider.as_ref() == Some(&source.info.name)
    }

    /// Puts sources in the order in which they are asked: its provider first, which keeps the
    /// copy that it has begun even if it has newer settings by now; then who has the same.
    pub(crate) fn sort_sources(&self, sources: &mut [SettingsSource]) {
        sources.sort_by_key(|source| {
            (!self.provided_by(source), !self.continued_by(source))
        });
    }

    /// Records that a piece has come from a source.
    pub(crate) fn record_piece(&mut self, source: &SettingsSource, now: Duration) {
        self.provider = Some(source.info.name.clone());
        self.last_piece_at = now;
    }
}
