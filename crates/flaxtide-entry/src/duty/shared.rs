//! What the threads of an instance share for the duties: its own counts, and while it holds
//! them what its peers have told.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use flaxtide_core::{DataCentreName, MilliClock, OrganisationName, WallClock};
use flaxtide_fleet::{DutyExchange, FleetKey, UsageNews, UsageNotice, fleet_key};
use flaxtide_policy::{
    ScalingRules, ServerStock, UsageCounts, UsageLedger, UsageSource, UsageTally,
    WindowNumber, WindowTotal, window_of,
};

/// For how long the last word of an instance on its open requests counts.
const OPEN_COUNT_LIFE: Duration = Duration::from_secs(5);

/// A service whose servers may be ordered.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct ScaledService {
    /// Its name.
    pub(crate) name: String,
    /// Within which bounds.
    pub(crate) rules: ScalingRules,
    /// How many requests a server works on at once.
    pub(crate) slots: u32,
    /// The servers that serve.
    pub(crate) stocks: BTreeMap<DataCentreName, ServerStock>,
}

/// What a holder has to know of the rules and the servers.
#[derive(Debug, Clone, Default)]
pub(crate) struct DutyView {
    /// The organisations by their keys.
    pub(crate) organisations: BTreeMap<FleetKey, OrganisationName>,
    /// The services whose servers may be ordered.
    pub(crate) services: Vec<ScaledService>,
    /// How many instances are alive.
    pub(crate) live: u32,
}

/// What the threads share.
#[derive(Debug)]
pub(crate) struct SharedDuties {
    /// The clock.
    clock: MilliClock,
    /// The length of a window.
    window: Duration,
    /// What changes.
    state: Mutex<DutyState>,
}

/// What changes.
#[derive(Debug)]
struct DutyState {
    /// The time of day.
    wall: WallClock,
    /// What this instance has counted.
    ledger: UsageLedger,
    /// Its requests that run or wait, by service.
    open: BTreeMap<FleetKey, u32>,
    /// Whether it stands for the duties.
    is_candidate: bool,
    /// Whether it is stopping.
    stopping: bool,
    /// What peers have told, while it holds the duties.
    peers: Option<PeerUsage>,
    /// What the traffic thread knows.
    view: DutyView,
}

/// What peers have told a holder.
#[derive(Debug)]
struct PeerUsage {
    /// The counts.
    tally: UsageTally,
    /// The open requests of each instance, and when it told.
    open: BTreeMap<FleetKey, (Duration, Vec<(FleetKey, u32)>)>,
}

impl SharedDuties {
    /// Starts with nothing counted.
    pub(crate) fn new(window: Duration) -> Self {
        let clock = MilliClock::real();
        let mut wall = WallClock::new(clock.clone());
        wall.sample_system();
        let state = Mutex::new(DutyState {
            wall,
            ledger: UsageLedger::default(),
            open: BTreeMap::new(),
            is_candidate: false,
            stopping: false,
            peers: None,
            view: DutyView::default(),
        });
        Self { clock, window, state }
    }

    /// Returns the time of day.
    pub(crate) fn wall_time(&self) -> Duration {
        self.lock().wall.now()
    }

    /// Samples the machine's time of day.
    pub(crate) fn sample_wall_time(&self) {
        self.lock().wall.sample_system();
    }

    /// Counts a request that began to run so long ago.
    pub(crate) fn count(&self, organisation: FleetKey, ago: Duration) {
        let mut state = self.lock();
        let began = state.wall.now().saturating_sub(ago);
        state.ledger.record(organisation, window_of(began, self.window));
    }

    /// Records that a request for a service has come or ended.
    pub(crate) fn record_open_change(&self, service: FleetKey, opened: bool) {
        let mut state = self.lock();
        let open = state.open.entry(service).or_default();
        *open = if opened { *open + 1 } else { open.saturating_sub(1) };
    }

    /// Sets whether this instance stands for the duties.
    pub(crate) fn set_candidate(&self, is_candidate: bool) {
        self.lock().is_candidate = is_candidate;
    }

    /// Returns whether it does.
    pub(crate) fn is_candidate(&self) -> bool {
        self.lock().is_candidate
    }

    /// Records that the instance is stopping.
    pub(crate) fn stop(&self) {
        self.lock().stopping = true;
    }

    /// Returns whether it is.
    pub(crate) fn is_stopping(&self) -> bool {
        self.lock().stopping
    }

    /// Returns whether a view is worth making: this instance holds the duties, or may soon.
    pub(crate) fn needs_view(&self) -> bool {
        let state = self.lock();
        state.is_candidate || state.peers.is_some()
    }

    /// Shows what the traffic thread knows.
    pub(crate) fn set_view(&self, view: DutyView) {
        self.lock().view = view;
    }

    /// Returns what the traffic thread has shown.
    pub(crate) fn view(&self) -> DutyView {
        self.lock().view.clone()
    }

    /// Begins to take what peers tell, with what the holder before had been told.
    pub(crate) fn begin_holding(
        &self,
        drafts: BTreeMap<WindowNumber, UsageCounts>,
        open_from: WindowNumber,
    ) {
        let mut tally = UsageTally::default();
        tally.inherit(drafts, open_from);
        self.lock().peers = Some(PeerUsage { tally, open: BTreeMap::new() });
    }

    /// Stops to take what peers tell. Returns whether it had.
    pub(crate) fn end_holding(&self) -> bool {
        self.lock().peers.take().is_some()
    }

    /// Returns the sum of a window, and whether everyone has told all of it.
    pub(crate) fn window_total(&self, window: WindowNumber) -> (WindowTotal, bool) {
        let now = self.clock.now();
        let state = self.lock();
        let Some(peers) = &state.peers else { return (WindowTotal::default(), false) };
        let total = peers.tally.total(window, self.window, now);
        let reporting = peers
            .open
            .values()
            .filter(|(at, _)| now < *at + OPEN_COUNT_LIFE)
            .count();
        let all_reported = reporting as u32 >= state.view.live;
        (total, all_reported && peers.tally.is_complete(window, self.window, now))
    }

    /// Forgets windows up to one.
    pub(crate) fn close_window(&self, window: WindowNumber) {
        let now = self.clock.now();
        if let Some(peers) = &mut self.lock().peers {
            peers.tally.close(window, now);
        }
    }

    /// Returns the sums of the windows that aren't closed.
    pub(crate) fn drafts(&self) -> BTreeMap<WindowNumber, UsageCounts> {
        let state = self.lock();
        state
            .peers
            .as_ref()
            .map(|peers| peers.tally.drafts())
            .unwrap_or_default()
    }

    /// Returns how many requests of a service run or wait in all instances that have told
    /// lately; nothing if none has.
    pub(crate) fn open_requests(&self, service: FleetKey) -> Option<u32> {
        let now = self.clock.now();
        let state = self.lock();
        let peers = state.peers.as_ref()?;
        let recent = peers.open.values().filter(|(at, _)| now < *at + OPEN_COUNT_LIFE);
        let mut any_recent = false;
        let mut sum = 0;
        for (_, open) in recent {
            any_recent = true;
            let of_service = open.iter().filter(|(key, _)| *key == service);
            sum += of_service.map(|(_, count)| count).sum::<u32>();
        }
        any_recent.then_some(sum)
    }

    /// Locks the state. A panic elsewhere doesn't spoil it.
    fn lock(&self) -> MutexGuard<'_, DutyState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl DutyExchange for SharedDuties {
    fn news(&self, fence: u64) -> UsageNews {
        let state = self.lock();
        let (windows, mark) = state.ledger.news(fence);
        UsageNews {
            told_until_ms: state.wall.now().as_millis() as u64,
            windows,
            open: state.open.iter().map(|(key, count)| (*key, *count)).collect(),
            mark,
        }
    }

    fn confirm(&self, fence: u64, mark: u64) {
        self.lock().ledger.confirm(fence, mark);
    }

    fn hear(&self, notice: UsageNotice) -> bool {
        let now = self.clock.now();
        let mut state = self.lock();
        let current = window_of(state.wall.now(), self.window);
        let Some(peers) = &mut state.peers else { return false };
        let name = fleet_key(&notice.from.name);
        if notice.leaving {
            peers.open.remove(&name);
        } else {
            peers.open.insert(name, (now, notice.open));
        }
        peers.tally.hear(
            UsageSource { name, epoch: notice.epoch },
            fleet_key(&notice.from.data_centre),
            Duration::from_millis(notice.told_until_ms),
            notice.leaving,
            notice.windows,
            now,
        );
        peers.tally.expire(current, now);
        true
    }
}
