//! The state of a peer as this instance knows it.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxtide_core::SettingsVersion;

use crate::info::PeerInfo;
use crate::key::FleetKey;
use crate::notice::NoticeState;
use crate::wire::{FleetHeartbeat, OwnLoad, PoolDemand};

/// A peer, as of its last messages.
#[derive(Debug, Clone)]
pub(crate) struct PeerRecord {
    /// The identity of the peer.
    pub(crate) info: PeerInfo,
    /// Whether the peer is on the platform's list.
    pub(crate) listed: bool,
    /// The peer's epoch; `None` before its first message.
    pub(crate) epoch: Option<u32>,
    /// When the last message from the peer arrived.
    pub(crate) heard_at: Option<Duration>,
    /// Whether the peer is stopping.
    pub(crate) leaving: bool,
    /// The peer's settings version in force.
    pub(crate) version: SettingsVersion,
    /// A version that the peer provided and that couldn't be used here.
    pub(crate) rejected_version: Option<SettingsVersion>,
    /// The peer's running and waiting requests, by pool.
    pub(crate) demands: Vec<PoolDemand>,
    /// The peer's own requests, by backend server.
    pub(crate) loads: Vec<OwnLoad>,
    /// The peer's requests per second, by organisation, for the rates that this instance owns.
    pub(crate) usage: BTreeMap<FleetKey, f64>,
    /// When the peer's last heartbeat arrived.
    last_heartbeat_at: Option<Duration>,
    /// Which crash reports the peer has received.
    pub(crate) crash_notices: NoticeState,
    /// Which pushback reports the peer has received.
    pub(crate) pushback_notices: NoticeState,
}

impl PeerRecord {
    /// Creates the record of a peer that hasn't been heard from.
    pub(crate) fn new(info: PeerInfo, listed: bool) -> Self {
        Self {
            info,
            listed,
            epoch: None,
            heard_at: None,
            leaving: false,
            version: 0,
            rejected_version: None,
            demands: vec![],
            loads: vec![],
            usage: BTreeMap::new(),
            last_heartbeat_at: None,
            crash_notices: NoticeState::needing_comparison(),
            pushback_notices: NoticeState::needing_all(),
        }
    }

    /// Records a message from the peer. A changed epoch means that it has restarted, so
    /// everything known of its previous run is dropped.
    pub(crate) fn record_alive(
        &mut self,
        epoch: u32,
        leaving: bool,
        version: SettingsVersion,
        now: Duration,
    ) {
        if self.epoch != Some(epoch) {
            self.demands.clear();
            self.loads.clear();
            self.usage.clear();
            self.last_heartbeat_at = None;
            self.rejected_version = None;
            self.crash_notices = NoticeState::needing_comparison();
            self.pushback_notices = NoticeState::needing_all();
        }
        self.epoch = Some(epoch);
        self.heard_at = Some(now);
        self.leaving = leaving;
        self.version = version;
    }

    /// Records whether the peer has started, come back or stopped. It may then lack reports
    /// that other instances have, or have reports that they lack.
    pub(crate) fn record_liveness_change(&mut self, changed: bool) {
        self.crash_notices.needs_comparison |= changed;
        self.pushback_notices.needs_all |= changed;
    }

    /// Applies the peer's heartbeat.
    pub(crate) fn apply_heartbeat(&mut self, heartbeat: &FleetHeartbeat, now: Duration) {
        /// The weight of the newest count in the moving average of an organisation's request
        /// rate at the peer.
        const PEER_USAGE_SMOOTHING: f64 = 0.5;
        /// The shortest interval that requests are divided by: heartbeats may arrive in bursts,
        /// and counts over less give noisy rates.
        const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
        self.record_alive(heartbeat.epoch, heartbeat.leaving, heartbeat.version, now);
        self.demands.clone_from(&heartbeat.demands);
        self.loads.clone_from(&heartbeat.loads);
        let since = self
            .last_heartbeat_at
            .map_or(Duration::from_secs(1), |at| now.saturating_sub(at));
        self.last_heartbeat_at = Some(now);
        let seconds = since.max(MIN_HEARTBEAT_INTERVAL).as_secs_f64();
        for rate in self.usage.values_mut() {
            *rate *= 1.0 - PEER_USAGE_SMOOTHING;
        }
        for usage in &heartbeat.usage {
            let rate = f64::from(usage.count) / seconds;
            *self.usage.entry(usage.organisation).or_default() +=
                PEER_USAGE_SMOOTHING * rate;
        }
        self.usage.retain(|_, rate| *rate > 1e-3);
    }

    /// Returns whether a message from the peer arrived within the time-out and the peer isn't
    /// stopping.
    pub(crate) fn is_alive(&self, now: Duration, timeout: Duration) -> bool {
        !self.leaving && self.heard_within(now, timeout)
    }

    /// Returns whether a message from the peer arrived within the time-out.
    pub(crate) fn heard_within(&self, now: Duration, timeout: Duration) -> bool {
        self.heard_at.is_some_and(|heard| now < heard + timeout)
    }
}
