//! Partly fetched settings.

use std::time::Duration;

use flaxtide_core::{InstanceName, SettingsVersion};

use crate::node::SettingsSource;
use crate::settings::CopyAssembly;

/// Partly fetched settings are dropped if no piece arrives for this long.
const PARTIAL_EXPIRY: Duration = Duration::from_secs(5);

/// Partly fetched settings. They outlast a fetch that ends before they are complete.
#[derive(Debug)]
pub(crate) struct PartialCopy {
    /// The pieces received so far.
    pub(crate) assembly: CopyAssembly,
    /// The peer that sent the last piece.
    provider: Option<InstanceName>,
    /// When the last piece arrived.
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
    /// Sets the version in force. Pieces that are too old to continue with, or not newer than
    /// this version, are dropped.
    pub(crate) fn set_newer_than(&mut self, version: SettingsVersion, now: Duration) {
        if now >= self.last_piece_at + PARTIAL_EXPIRY {
            *self = Self::default();
        }
        self.assembly.set_newer_than(version);
    }

    /// Returns whether a source has the version being received, or nothing is being received.
    pub(crate) fn continued_by(&self, source: &SettingsSource) -> bool {
        self.assembly.version() == 0 || self.assembly.version() == source.version
    }

    /// Returns whether a source sent the last piece.
    pub(crate) fn provided_by(&self, source: &SettingsSource) -> bool {
        self.provider.as_ref() == Some(&source.info.name)
    }

    /// Sorts sources into the order in which they are asked. The last provider comes first: it
    /// keeps the copy that it began to send, even if it has newer settings by now. Next come
    /// other sources of the same version.
    pub(crate) fn sort_sources(&self, sources: &mut [SettingsSource]) {
        sources.sort_by_key(|source| {
            (!self.provided_by(source), !self.continued_by(source))
        });
    }

    /// Records that a source has sent a piece.
    pub(crate) fn record_piece(&mut self, source: &SettingsSource, now: Duration) {
        self.provider = Some(source.info.name.clone());
        self.last_piece_at = now;
    }
}
