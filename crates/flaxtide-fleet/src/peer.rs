//! What an instance knows of one peer.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxtide_core::SettingsVersion;

use crate::info::PeerInfo;
use crate::key::FleetKey;
use crate::notice::NoticeState;
use crate::wire::{FleetHeartbeat, OwnLoad, PoolDemand};

/// A peer, as last heard.
#[derive(Debug, Clone)]
pub(crate) struct PeerRecord {
    /// Who it is.
    pub(crate) info: PeerInfo,
    /// Whether the platform's list has it.
    pub(crate) listed: bool,
    /// Its epoch, once heard.
    pub(crate) epoch: Option<u32>,
    /// When it was last heard, by a heartbeat or a reply.
    pub(crate) heard_at: Option<Duration>,
    /// Whether it is stopping.
    pub(crate) leaving: bool,
    /// Its settings version.
    pub(crate) version: SettingsVersion,
    /// The version of its settings that this instance couldn't use.
    pub(crate) rejected_version: Option<SettingsVersion>,
    /// Its requests for each pool.
    pub(crate) demands: Vec<PoolDemand>,
    /// Its requests at backend servers.
    pub(crate) loads: Vec<OwnLoad>,
    /// The use of organisations whose rate this instance keeps, in requests a second.
    pub(crate) usage: BTreeMap<FleetKey, f64>,
    /// When its last heartbeat came.
    last_heartbeat_at: Option<Duration>,
    /// What it has been told of crashes.
    pub(crate) crash_notices: NoticeState,
    /// What it has been told of what servers say of themselves.
    pub(crate) pushback_notices: NoticeState,
}

impl PeerRecord {
    /// Starts to know a peer.
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

    /// Records that the peer is there, with a new life if its epoch is another.
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

    /// Records whether the peer is back, or has gone: it may lack what others know, or know
    /// what they lack.
    pub(crate) fn record_liveness_change(&mut self, changed: bool) {
        self.crash_notices.needs_comparison |= changed;
        self.pushback_notices.needs_all |= changed;
    }

    /// Records what the peer says of itself.
    pub(crate) fn apply_heartbeat(&mut self, heartbeat: &FleetHeartbeat, now: Duration) {
        /// The part that the newest count has in the rate of use.
        const USAGE_SMOOTHING: f64 = 0.5;
        /// Heartbeats may come in bunches; counts of a shorter time than this say little.
        const MIN_COUNT_INTERVAL: Duration = Duration::from_millis(100);
        self.record_alive(heartbeat.epoch, heartbeat.leaving, heartbeat.version, now);
        self.demands.clone_from(&heartbeat.demands);
        self.loads.clone_from(&heartbeat.loads);
        let since = self
            .last_heartbeat_at
            .map_or(Duration::from_secs(1), |at| now.saturating_sub(at));
        self.last_heartbeat_at = Some(now);
        let seconds = since.max(MIN_COUNT_INTERVAL).as_secs_f64();
        for rate in self.usage.values_mut() {
            *rate *= 1.0 - USAGE_SMOOTHING;
        }
        for usage in &heartbeat.usage {
            let rate = f64::from(usage.count) / seconds;
            *self.usage.entry(usage.organisation).or_default() += USAGE_SMOOTHING * rate;
        }
        self.usage.retain(|_, rate| *rate > 1e-3);
    }

    /// Returns whether the peer has been heard lately and isn't stopping.
    pub(crate) fn is_alive(&self, now: Duration, timeout: Duration) -> bool {
        !self.leaving && self.heard_within(now, timeout)
    }

    /// Returns whether the peer has been heard lately.
    pub(crate) fn heard_within(&self, now: Duration, timeout: Duration) -> bool {
        self.heard_at.is_some_and(|heard| now < heard + timeout)
    }
}
