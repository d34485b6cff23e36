//! The settings version of an instance, and when it fetches newer settings from peers.

use std::cmp::Reverse;
use std::time::Duration;

use flaxtide_core::{InstanceName, SettingsVersion};
use flaxtide_policy::rendezvous_order;

use super::FleetNode;
use crate::info::PeerInfo;
use crate::key::{FleetKey, fleet_key};
use crate::peer::PeerRecord;
use crate::settings::{SettingsCopy, checksum};

/// Fetched settings that aren't in force after this time are fetched again.
const ADOPTION_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a newer version that peers announce is believed. An instance that hasn't got it by
/// then isn't just a little behind: the announcement may be wrong.
const MAX_TIME_BEHIND: Duration = Duration::from_secs(15);

/// The settings version of an instance, and what is known of newer ones.
#[derive(Debug, Default)]
pub(super) struct SettingsState {
    /// The version in force.
    version: SettingsVersion,
    /// Since when peers have had a version that is newer than the one in force or just fetched.
    newer_since: Option<Duration>,
    /// When data last arrived from the instance's own source, the platform.
    source_progress_at: Duration,
    /// Whether to fetch from peers without waiting for the platform.
    follows_peers: bool,
    /// When a fetch from peers was last started.
    last_fetch_at: Option<Duration>,
    /// The settings last fetched from a peer.
    fetched: Option<FetchedCopy>,
    /// The version and checksum of fetched settings that couldn't be put in force.
    rejected: Option<(SettingsVersion, u64)>,
}

/// A peer that has newer settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsSource {
    /// The peer that is asked.
    pub info: PeerInfo,
    /// The version that the peer has announced.
    pub version: SettingsVersion,
}

/// A record of settings fetched from a peer.
#[derive(Debug)]
struct FetchedCopy {
    /// The version of the settings.
    version: SettingsVersion,
    /// The checksum of the settings.
    checksum: u64,
    /// The peer that sent the last piece.
    provider: InstanceName,
    /// When the last piece arrived.
    fetched_at: Duration,
}

impl FleetNode {
    /// Sets the settings version in force.
    pub fn set_version(&mut self, version: SettingsVersion) {
        if version > self.settings.version {
            self.settings.version = version;
            self.settings.newer_since = None;
        }
    }

    /// Returns the settings version in force.
    #[must_use]
    pub fn version(&self) -> SettingsVersion {
        self.settings.version
    }

    /// Returns the key of this instance.
    pub(crate) fn own_key(&self) -> FleetKey {
        fleet_key(&self.own.name)
    }

    /// Records that data has arrived from the instance's own source of settings.
    pub fn record_source_progress(&mut self, now: Duration) {
        self.settings.source_progress_at = now;
    }

    /// Sets whether this instance doesn't follow its own source at present, and fetches newer
    /// settings from peers without waiting for it.
    pub fn set_follows_peers(&mut self, follows_peers: bool) {
        self.settings.follows_peers = follows_peers;
    }

    /// Records that settings have been fetched from a peer and are about to be put in force.
    pub fn record_fetched(&mut self, copy: &SettingsCopy, provider: &str, now: Duration) {
        self.settings.fetched = Some(FetchedCopy {
            version: copy.version,
            checksum: checksum(&copy.tree),
            provider: provider.to_owned(),
            fetched_at: now,
        });
    }

    /// Records that fetched settings of this version can't be put in force, because they are
    /// malformed or of another version. They aren't fetched again.
    pub fn reject_fetched(&mut self, version: SettingsVersion) {
        let fetched = self.settings.fetched.take_if(|copy| copy.version == version);
        let Some(fetched) = fetched else { return };
        self.settings.rejected = Some((fetched.version, fetched.checksum));
        self.reject_provider(&fetched.provider, version);
    }

    /// Records that a peer's settings of this version can't be used. The peer isn't asked again
    /// until it has another version.
    pub(crate) fn reject_provider(&mut self, provider: &str, version: SettingsVersion) {
        if let Some(peer) = self.peers.get_mut(provider) {
            peer.rejected_version = Some(version);
        }
    }

    /// Returns whether settings have been fetched before and couldn't be put in force.
    pub(crate) fn was_rejected(&self, version: SettingsVersion, checksum: u64) -> bool {
        self.settings.rejected == Some((version, checksum))
    }

    /// Updates since when peers have had newer settings. The caller does so at every poll, also
    /// during a fetch.
    pub fn update_newer_since(&mut self, now: Duration) {
        if self.newer_peers(now).next().is_none() {
            self.settings.newer_since = None;
        } else {
            self.settings.newer_since.get_or_insert(now);
        }
    }

    /// Returns whether to fetch settings from a peer now: a live peer has newer ones, and the
    /// instance's own source hasn't delivered them in time. Starts the pause until the next
    /// fetch, so the caller must fetch if this returns true.
    pub fn settings_fetch_due(&mut self, now: Duration) -> bool {
        let Some(since) = self.settings.newer_since else { return false };
        let idle_since = since.max(self.settings.source_progress_at);
        let wait = self.timing.settings_source_wait;
        let source_wait = if self.settings.follows_peers { Duration::ZERO } else { wait };
        let source_late = now >= idle_since + source_wait
            || now >= since + self.timing.settings_source_max_wait;
        let retry_due = self.settings.last_fetch_at.is_none_or(|at| now >= at + wait);
        let due =
            source_late && retry_due && self.heard_newer_peers(now).next().is_some();
        if due {
            self.settings.last_fetch_at = Some(now);
        }
        due
    }

    /// Returns the newest version that a peer has announced and that may soon be in force here;
    /// 0 if there is none or if it was announced too long ago.
    #[must_use]
    pub fn newest_known_version(&self, now: Duration) -> SettingsVersion {
        let since = self.settings.newer_since;
        if since.is_some_and(|since| now >= since + MAX_TIME_BEHIND) {
            return 0;
        }
        let peers = self.peers.values();
        let peers = peers.filter(|peer| peer.rejected_version != Some(peer.version));
        peers.map(|peer| peer.version).max().unwrap_or_default()
    }

    /// Returns the newest version that live peers have in force; 0 if none has a newer one than this
    /// instance. What only one peer announces is believed for a while only, as it may be wrong, and
    /// a version that can't be put in force here doesn't count.
    #[must_use]
    pub fn newest_live_version(&self, now: Duration) -> SettingsVersion {
        let rejected = self.settings.rejected.map(|(version, _)| version);
        let peers = self.peers.values().filter(|peer| {
            peer.version > self.version()
                && Some(peer.version) != rejected
                && peer.rejected_version != Some(peer.version)
                && self.is_peer_alive(peer, now)
        });
        let (mut newest, mut confirmed) = (0, 0);
        for peer in peers {
            confirmed = confirmed.max(newest.min(peer.version));
            newest = newest.max(peer.version);
        }
        let since = self.settings.newer_since;
        match since.is_some_and(|since| now >= since + MAX_TIME_BEHIND) {
            true => confirmed,
            false => newest,
        }
    }

    /// Returns the live peers that have newer settings, in the order in which they are asked:
    /// the newest version first, then peers of the group. Each instance orders equal peers
    /// differently, so that they don't all ask the same one.
    #[must_use]
    pub fn settings_sources(&self, now: Duration) -> Vec<SettingsSource> {
        let peers: Vec<&PeerRecord> = self.heard_newer_peers(now).collect();
        let names: Vec<&str> = peers.iter().map(|peer| peer.info.name.as_str()).collect();
        let mut order = rendezvous_order(u64::from(self.own_key()), &names);
        order.sort_by_key(|index| {
            let peer = peers[*index];
            (Reverse(peer.version), !self.in_own_group(peer))
        });
        let source = |index: &usize| SettingsSource {
            info: peers[*index].info.clone(),
            version: peers[*index].version,
        };
        order.iter().map(source).collect()
    }

    /// Returns the live peers that have newer settings.
    fn heard_newer_peers(&self, now: Duration) -> impl Iterator<Item = &PeerRecord> {
        let timeout = self.liveness_timeout();
        self.newer_peers(now)
            .filter(move |peer| peer.heard_within(now, timeout))
    }

    /// Returns the peers with settings that are newer than those in force or just fetched,
    /// without peers whose settings couldn't be used.
    fn newer_peers(&self, now: Duration) -> impl Iterator<Item = &PeerRecord> {
        let known = self.known_version(now);
        self.peers.values().filter(move |peer| {
            peer.version > known && peer.rejected_version != Some(peer.version)
        })
    }

    /// Returns the version in force, or a newer one that has just been fetched.
    fn known_version(&self, now: Duration) -> SettingsVersion {
        let fetched = self.settings.fetched.as_ref();
        let fetched = fetched.filter(|copy| now < copy.fetched_at + ADOPTION_TIMEOUT);
        fetched.map_or(0, |copy| copy.version).max(self.version())
    }
}
