//! What all threads of an instance share.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use crossbeam::channel::Sender;
use crossbeam::sync::ShardedLock;
use flaxtide_core::{AttemptId, MilliClock, RequestId, SettingsTree, SettingsVersion};
use flaxtide_fleet::{FleetCommand, FleetNode, FleetUpdate, LinkBytes};
use flaxtide_platform::{ClaimStore, LeaseStore, PlatformClient, SettingsStore};
use flaxtide_policy::PolicyEvent;
use rand::Rng;

use crate::config::InstanceConfig;
use crate::explain::DecisionLog;
use crate::messages::{ClaimJob, DecisionMessage, SettleJob};
use crate::metrics::InstanceMetrics;
use crate::view::SettingsView;
use crate::watched::WatchState;

/// How long a refusal waits for a look at the claims.
const QUICK_TIMEOUT: Duration = Duration::from_millis(250);

/// What all threads of an instance share.
pub(crate) struct SharedState {
    /// The instance file.
    pub(crate) config: InstanceConfig,
    /// The clock.
    pub(crate) clock: MilliClock,
    /// Drawn at random at the start: a restarted instance is a new one.
    pub(crate) epoch: u32,
    /// The metrics.
    pub(crate) metrics: InstanceMetrics,
    /// The record of recent decisions.
    pub(crate) log: DecisionLog,
    /// The platform.
    pub(crate) platform: PlatformClient,
    /// The versions of the settings.
    pub(crate) settings: SettingsStore,
    /// The claims.
    pub(crate) claims: ClaimStore,
    /// The leases.
    pub(crate) leases: LeaseStore,
    /// The claims, for a look that a refusal waits for.
    pub(crate) quick_claims: ClaimStore,
    /// The ring to the decision thread.
    pub(crate) decisions: Sender<DecisionMessage>,
    /// The ring to the claim thread.
    pub(crate) claim_jobs: Sender<ClaimJob>,
    /// The ring to the settle thread.
    pub(crate) settle_jobs: Sender<SettleJob>,
    /// Wakes the settings thread; holds the version that is known to exist.
    pub(crate) settings_news: Sender<SettingsVersion>,
    /// The ring to the fleet thread.
    pub(crate) fleet: Sender<FleetCommand>,
    /// The bytes that went over the links to peers.
    pub(crate) link_bytes: ShardedLock<LinkBytes>,
    /// What is known of backend servers.
    pub(crate) watched: WatchState,
    /// The settings in force.
    view: ShardedLock<Arc<SettingsView>>,
    /// How many requests have come.
    counter: AtomicU64,
    /// How many requests are in the instance.
    open_calls: AtomicUsize,
    /// How many claims wait to be settled.
    pub(crate) unsettled: AtomicUsize,
    /// Whether the balancer is to send nothing more.
    leaving: AtomicBool,
    /// Whether new requests are refused.
    closed: AtomicBool,
    /// Whether the threads are to end.
    stopped: AtomicBool,
}

/// The rings that join the threads.
pub(crate) struct SharedRings {
    /// To the decision thread.
    pub(crate) decisions: Sender<DecisionMessage>,
    /// To the claim thread.
    pub(crate) claim_jobs: Sender<ClaimJob>,
    /// To the settle thread.
    pub(crate) settle_jobs: Sender<SettleJob>,
    /// To the settings thread.
    pub(crate) settings_news: Sender<SettingsVersion>,
    /// To the fleet thread.
    pub(crate) fleet: Sender<FleetCommand>,
}

impl SharedState {
    /// Makes the state of an instance that has no settings yet.
    pub(crate) fn new(config: InstanceConfig, rings: SharedRings) -> Self {
        let platform = PlatformClient::new(&config.platform, config.platform_timeout);
        let quick = PlatformClient::new(&config.platform, QUICK_TIMEOUT);
        let table = Arc::new(platform.clone());
        Self {
            clock: MilliClock::real(),
            epoch: rand::rng().random(),
            metrics: InstanceMetrics::new(),
            log: DecisionLog::default(),
            settings: SettingsStore::new(table.clone()),
            leases: LeaseStore::new(table.clone()),
            claims: ClaimStore::new(table),
            quick_claims: ClaimStore::new(Arc::new(quick)),
            platform,
            decisions: rings.decisions,
            claim_jobs: rings.claim_jobs,
            settle_jobs: rings.settle_jobs,
            settings_news: rings.settings_news,
            fleet: rings.fleet,
            link_bytes: ShardedLock::default(),
            watched: WatchState::default(),
            view: ShardedLock::default(),
            counter: AtomicU64::new(0),
            open_calls: AtomicUsize::new(0),
            unsettled: AtomicUsize::new(0),
            leaving: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
            config,
        }
    }

    /// Returns the time.
    pub(crate) fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Returns the settings in force.
    pub(crate) fn view(&self) -> Arc<SettingsView> {
        self.view.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Puts a settings version in force, unless one as new is. A lower version is never
    /// adopted, wherever it comes from.
    pub(crate) fn adopt(&self, version: SettingsVersion, tree: SettingsTree) -> bool {
        let mut view = self.view.write().unwrap_or_else(PoisonError::into_inner);
        if version <= view.version {
            return false;
        }
        let next = Arc::new(view.next(version, tree, &self.config.data_centre));
        let rules = next.rules();
        *view = next;
        // Sent under the lock, so that the decision core sees versions in their order.
        self.tell(PolicyEvent::Rules(rules));
        self.metrics.settings_version.set(version as i64);
        drop(view);
        log::info!(version = version; "settings in force");
        self.update_fleet(move |node, _| node.set_version(version));
        self.hurry_fleet();
        true
    }

    /// Tells the decision thread what happened.
    pub(crate) fn tell(&self, event: PolicyEvent) {
        // The decision thread outlives all senders but at the very end.
        let _ = self.decisions.send(DecisionMessage::Event(event));
    }

    /// Has the fleet thread change its node.
    pub(crate) fn update_fleet(
        &self,
        change: impl FnOnce(&mut FleetNode, Duration) + Send + 'static,
    ) {
        let update = FleetUpdate::new(change);
        if self.fleet.try_send(FleetCommand::Update(update)).is_err() {
            log::warn!("the fleet thread is behind");
        }
    }

    /// Has all peers hear of this instance at once.
    pub(crate) fn hurry_fleet(&self) {
        // A full ring holds enough to wake the thread anyway.
        let _ = self.fleet.try_send(FleetCommand::SendHeartbeats);
    }

    /// Tells the decision thread what happened, in one message.
    pub(crate) fn tell_all(&self, events: Vec<PolicyEvent>) {
        if !events.is_empty() {
            let _ = self.decisions.send(DecisionMessage::Events(events));
        }
    }

    /// Returns the id of a new request.
    pub(crate) fn next_request(&self) -> RequestId {
        let count = self.counter.fetch_add(1, Ordering::Relaxed) as u32;
        (u64::from(self.epoch) << 32) | u64::from(count)
    }

    /// Returns the id of a new attempt.
    pub(crate) fn next_attempt(&self) -> AttemptId {
        rand::rng().random()
    }

    /// Counts a request in, unless there are too many.
    pub(crate) fn enter(&self) -> bool {
        let open = self.open_calls.fetch_add(1, Ordering::SeqCst);
        if open >= self.config.call_limit {
            self.open_calls.fetch_sub(1, Ordering::SeqCst);
            return false;
        }
        self.metrics.open_calls.set(open as i64 + 1);
        true
    }

    /// Counts a request out.
    pub(crate) fn exit(&self) {
        let open = self.open_calls.fetch_sub(1, Ordering::SeqCst);
        self.metrics.open_calls.set(open as i64 - 1);
    }

    /// Returns how many requests are in the instance.
    pub(crate) fn open_calls(&self) -> usize {
        self.open_calls.load(Ordering::SeqCst)
    }

    /// Tells whether the instance has settings and isn't leaving.
    pub(crate) fn ready(&self) -> bool {
        !self.leaving() && self.view().version > 0
    }

    /// Tells whether the balancer is to send nothing more.
    pub(crate) fn leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Has the balancer send nothing more.
    pub(crate) fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Tells whether new requests are refused.
    pub(crate) fn closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    /// Refuses new requests from now on.
    pub(crate) fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Tells whether the threads are to end.
    pub(crate) fn stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    /// Has the threads end.
    pub(crate) fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }
}
