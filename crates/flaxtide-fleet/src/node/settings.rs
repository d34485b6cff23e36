//! Which settings an instance has, and when it turns to peers for newer ones.

use std::time::Duration;

use flaxtide_core::SettingsVersion;
use flaxtide_policy::rendezvous_order;

use super::FleetNode;
use crate::info::PeerInfo;
use crate::key::fleet_key;
use crate::peer::PeerRecord;

/// Fetched settings that aren't in force after so long are fetched again: they were lost on
/// the way, or aren't understood.
const ADOPTED_WITHIN: Duration = Duration::from_secs(5);

/// The settings of an instance, and what it knows of newer ones.
#[derive(Debug, Default)]
pub(super) struct SettingsState {
    /// The version in force.
    version: SettingsVersion,
    /// The newest version that a peer has told of.
    newest: SettingsVersion,
    /// Since when a newer version than that in force is known.
    newer_since: Option<Duration>,
    /// When the instance's own source last brought something.
    source_at: Duration,
    /// When it last turned to peers.
    asked_at: Option<Duration>,
    /// The version that was last fetched from a peer, and when.
    fetched: Option<(SettingsVersion, Duration)>,
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

    /// Takes in that the instance's own source of settings brings something.
    pub fn hear_source(&mut self, now: Duration) {
        self.settings.source_at = now;
    }

    /// Takes in that settings have been fetched from a peer. They are in force soon.
    pub(crate) fn note_fetched(&mut self, version: SettingsVersion, now: Duration) {
        self.settings.fetched = Some((version, now));
    }

    /// Takes in that a peer has told of a version. Returns whether it is newer than that in
    /// force.
    pub(super) fn hear_version(&mut self, version: SettingsVersion) -> bool {
        self.settings.newest = self.settings.newest.max(version);
        version > self.settings.version
    }

    /// Tells whether settings are to be fetched from a peer now: one has newer ones, and
    /// the instance's own source hasn't brought them in time. Whoever asks is expected to
    /// fetch them then.
    pub fn settings_due(&mut self, now: Duration) -> bool {
        if self.settings.newest <= self.known_version(now) {
            self.settings.newer_since = None;
            return false;
        }
        let since = *self.settings.newer_since.get_or_insert(now);
        let quiet_since = since.max(self.settings.source_at);
        let lead = self.timing.settings_lead;
        let waited =
            now >= quiet_since + lead || now >= since + self.timing.settings_patience;
        let rested = self.settings.asked_at.is_none_or(|at| now >= at + lead);
        let due = waited && rested && self.newer_peers(now).next().is_some();
        if due {
            self.settings.asked_at = Some(now);
        }
        due
    }

    /// Returns the peers that have newer settings: those of the data centre first, in an
    /// order of this instance's own, so that not all instances ask the same one.
    #[must_use]
    pub fn settings_sources(&self, now: Duration) -> Vec<PeerInfo> {
        let peers: Vec<&PeerRecord> = self.newer_peers(now).collect();
        let names: Vec<&str> = peers.iter().map(|peer| peer.info.name.as_str()).collect();
        let key = u64::from(fleet_key(&self.own.name));
        let mut order = rendezvous_order(key, &names);
        order.sort_by_key(|place| !self.is_near(peers[*place]));
        order.iter().map(|place| peers[*place].info.clone()).collect()
    }

    /// Returns the peers heard lately whose settings are newer than what this instance has
    /// or has just fetched.
    fn newer_peers(&self, now: Duration) -> impl Iterator<Item = &PeerRecord> {
        let silence = self.silence();
        let known = self.known_version(now);
        self.peers.values().filter(move |peer| {
            peer.version > known && peer.heard.is_some_and(|heard| now < heard + silence)
        })
    }

    /// Returns the version in force, or one that has just been fetched.
    fn known_version(&self, now: Duration) -> SettingsVersion {
        let fetched = self.settings.fetched;
        let fetched = fetched.filter(|(_, at)| now < *at + ADOPTED_WITHIN);
        fetched.map_or(0, |(version, _)| version).max(self.version())
    }
}
