//! Which settings an instance has, and when it turns to peers for newer ones.

use std::cmp::Reverse;
use std::time::Duration;

use flaxtide_core::{InstanceName, SettingsVersion};
use flaxtide_policy::rendezvous_order;

use super::FleetNode;
use crate::info::PeerInfo;
use crate::key::{FleetKey, fleet_key};
use crate::peer::PeerRecord;
use crate::settings::{SettingsCopy, checksum};

/// Fetched settings that aren't in force after so long are fetched again.
const ADOPTED_WITHIN: Duration = Duration::from_secs(5);

/// For how long an instance is taken to be only a little behind its peers. Longer than that,
/// what they say of newer settings may be wrong.
const BEHIND_AT_MOST: Duration = Duration::from_secs(15);

/// The settings of an instance, and what it knows of newer ones.
#[derive(Debug, Default)]
pub(super) struct SettingsState {
    /// The version in force.
    version: SettingsVersion,
    /// Since when a version is known that is newer than what is in force or just fetched.
    newer_since: Option<Duration>,
    /// When the instance's own source last brought something.
    source_at: Duration,
    /// Whether only peers tell of newer settings, so that waiting for the platform is vain.
    told_by_peers: bool,
    /// When it last turned to peers.
    asked_at: Option<Duration>,
    /// What was last fetched from a peer.
    fetched: Option<FetchedCopy>,
    /// The version and checksum of what was fetched, but can't be put in force.
    rejected: Option<(SettingsVersion, u64)>,
}

/// A peer that has newer settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsSource {
    /// The peer.
    pub info: PeerInfo,
    /// The version that it has told of.
    pub version: SettingsVersion,
}

/// Settings that a peer has given.
#[derive(Debug)]
struct FetchedCopy {
    /// The version.
    version: SettingsVersion,
    /// The checksum.
    checksum: u64,
    /// The peer.
    provider: InstanceName,
    /// When they were whole.
    at: Duration,
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

    /// Returns what stands for this instance.
    pub(crate) fn key(&self) -> FleetKey {
        fleet_key(&self.own.name)
    }

    /// Records that the instance's own source of settings brings something.
    pub fn record_source_progress(&mut self, now: Duration) {
        self.settings.source_at = now;
    }

    /// Sets whether only peers tell of newer settings: this instance doesn't follow its own
    /// source just now, and turns to peers without waiting for it.
    pub fn set_follows_peers(&mut self, told_by_peers: bool) {
        self.settings.told_by_peers = told_by_peers;
    }

    /// Records that settings have been fetched from a peer. They are in force soon.
    pub fn record_fetched(&mut self, copy: &SettingsCopy, provider: &str, now: Duration) {
        self.settings.fetched = Some(FetchedCopy {
            version: copy.version,
            checksum: checksum(&copy.tree),
            provider: provider.to_owned(),
            at: now,
        });
    }

    /// Records that the settings of a version that were fetched can't be put in force: they
    /// aren't understood, or are of another version. They aren't fetched again.
    pub fn reject_fetched(&mut self, version: SettingsVersion) {
        let fetched = self.settings.fetched.take_if(|copy| copy.version == version);
        let Some(fetched) = fetched else { return };
        self.settings.rejected = Some((fetched.version, fetched.checksum));
        self.reject_provider(&fetched.provider, version);
    }

    /// Records that what a peer gives of a version can't be used. It isn't asked while it
    /// has that version.
    pub(crate) fn reject_provider(&mut self, provider: &str, version: SettingsVersion) {
        if let Some(peer) = self.peers.get_mut(provider) {
            peer.rejected = Some(version);
        }
    }

    /// Returns whether settings have been fetched before and couldn't be put in force.
    pub(crate) fn was_rejected(&self, version: SettingsVersion, checksum: u64) -> bool {
        self.settings.rejected == Some((version, checksum))
    }

    /// Notes since when newer settings are known. To be called often, also while they are
    /// being fetched.
    pub fn record_newer(&mut self, now: Duration) {
        if self.newer_peers(now).next().is_none() {
            self.settings.newer_since = None;
        } else {
            self.settings.newer_since.get_or_insert(now);
        }
    }

    /// Returns whether settings are to be fetched from a peer now: one that is heard has newer
    /// ones, and the instance's own source hasn't brought them in time. Whoever asks is
    /// expected to fetch them then.
    pub fn settings_due(&mut self, now: Duration) -> bool {
        let Some(since) = self.settings.newer_since else { return false };
        let quiet_since = since.max(self.settings.source_at);
        let rest = self.timing.settings_lead;
        let lead = if self.settings.told_by_peers { Duration::ZERO } else { rest };
        let waited =
            now >= quiet_since + lead || now >= since + self.timing.settings_patience;
        let rested = self.settings.asked_at.is_none_or(|at| now >= at + rest);
        let due = waited && rested && self.heard_newer_peers(now).next().is_some();
        if due {
            self.settings.asked_at = Some(now);
        }
        due
    }

    /// Returns the newest version that a peer has told of and that may be in force here
    /// soon; 0 if there is none, or if it is too long ago to be believed.
    #[must_use]
    pub fn newest_known_version(&self, now: Duration) -> SettingsVersion {
        let since = self.settings.newer_since;
        if since.is_some_and(|since| now >= since + BEHIND_AT_MOST) {
            return 0;
        }
        let peers = self.peers.values();
        let peers = peers.filter(|peer| peer.rejected != Some(peer.version));
        peers.map(|peer| peer.version).max().unwrap_or_default()
    }

    /// Returns the peers that have newer settings and are heard, in the order in which they
    /// are asked: those with the newest version first, then those of the data centre; and
    /// among equals in an order of this instance's own, so that not all instances ask the
    /// same one.
    #[must_use]
    pub fn settings_sources(&self, now: Duration) -> Vec<SettingsSource> {
        let peers: Vec<&PeerRecord> = self.heard_newer_peers(now).collect();
        let names: Vec<&str> = peers.iter().map(|peer| peer.info.name.as_str()).collect();
        let mut order = rendezvous_order(u64::from(self.key()), &names);
        order.sort_by_key(|place| {
            let peer = peers[*place];
            (Reverse(peer.version), !self.is_near(peer))
        });
        let source = |place: &usize| SettingsSource {
            info: peers[*place].info.clone(),
            version: peers[*place].version,
        };
        order.iter().map(source).collect()
    }

    /// Returns those of them that have been heard lately.
    fn heard_newer_peers(&self, now: Duration) -> impl Iterator<Item = &PeerRecord> {
        let timeout = self.liveness_timeout();
        self.newer_peers(now)
            .filter(move |peer| peer.heard_within(now, timeout))
    }

    /// Returns the peers whose settings are newer than what this instance has or has just
    /// fetched, but for those that it couldn't use.
    fn newer_peers(&self, now: Duration) -> impl Iterator<Item = &PeerRecord> {
        let known = self.known_version(now);
        self.peers.values().filter(move |peer| {
            peer.version > known && peer.rejected != Some(peer.version)
        })
    }

    /// Returns the version in force, or one that has just been fetched.
    fn known_version(&self, now: Duration) -> SettingsVersion {
        let fetched = self.settings.fetched.as_ref();
        let fetched = fetched.filter(|copy| now < copy.at + ADOPTED_WITHIN);
        fetched.map_or(0, |copy| copy.version).max(self.version())
    }
}
