//! State of the duties that the threads of an instance share: its own counts, and those
//! of its peers while it holds the duties.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use flaxtide_core::{DataCentreName, MilliClock, OrganisationName, WallClock};
use flaxtide_fleet::{FleetKey, UnconfirmedUsage, UsageExchange, UsageNotice, fleet_key};
use flaxtide_policy::{
    ScalingRules, ServerCounts, UsageCounts, UsageLedger, UsageSource, UsageTally,
    WindowNumber, WindowTotal, window_of,
};

/// How long an instance's report of its open requests is valid, and the instance counts
/// as reporting.
const OPEN_COUNT_LIFE: Duration = Duration::from_secs(5);

/// A service whose servers may be ordered.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct ScaledService {
    /// The name of the service.
    pub(crate) name: String,
    /// The bounds and prices for its servers.
    pub(crate) rules: ScalingRules,
    /// The number of requests that a server runs at once.
    pub(crate) slots: u32,
    /// The serving servers in each data centre.
    pub(crate) server_counts: BTreeMap<DataCentreName, ServerCounts>,
}

/// A copy of what the duty thread needs of the rules and the servers.
#[derive(Debug, Clone, Default)]
pub(crate) struct DutyView {
    /// The names of the organisations by their keys, to write reports.
    pub(crate) organisations: BTreeMap<FleetKey, OrganisationName>,
    /// The services whose servers may be ordered.
    pub(crate) services: Vec<ScaledService>,
    /// The number of live instances.
    pub(crate) live: u32,
}

/// The duty state that an instance's threads share.
#[derive(Debug)]
pub(crate) struct SharedDuties {
    /// The clock for the age of peers' reports.
    clock: MilliClock,
    /// The length of a usage window.
    window: Duration,
    /// The mutable state.
    state: Mutex<DutyState>,
}

/// The mutable state behind the lock.
#[derive(Debug)]
struct DutyState {
    /// The time of day, which determines a request's usage window.
    wall: WallClock,
    /// The counts of this instance that the holder hasn't confirmed.
    ledger: UsageLedger,
    /// The number of this instance's open requests, running or queued, by service.
    open: BTreeMap<FleetKey, u32>,
    /// Whether this instance is a candidate for the duties.
    is_candidate: bool,
    /// Whether the instance is stopping.
    stopping: bool,
    /// The counts that instances have reported, or `None` unless this instance holds the
    /// duties.
    usage: Option<ReportedUsage>,
    /// The latest view from the traffic thread.
    view: DutyView,
}

/// The counts that instances have reported to this one as the holder.
#[derive(Debug)]
struct ReportedUsage {
    /// The usage counts.
    tally: UsageTally,
    /// The open requests of each instance by service, and when it reported them.
    open: BTreeMap<FleetKey, (Duration, Vec<(FleetKey, u32)>)>,
}

impl SharedDuties {
    /// Creates the state without any counts.
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
            usage: None,
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

    /// Counts a request that began to run `ago` before now.
    pub(crate) fn count(&self, organisation: FleetKey, ago: Duration) {
        let mut state = self.lock();
        let began = state.wall.now().saturating_sub(ago);
        state.ledger.record(organisation, window_of(began, self.window));
    }

    /// Records that a request for a service has arrived (`opened`) or ended.
    pub(crate) fn record_open_change(&self, service: FleetKey, opened: bool) {
        let mut state = self.lock();
        let open = state.open.entry(service).or_default();
        *open = if opened { *open + 1 } else { open.saturating_sub(1) };
    }

    /// Sets whether this instance is a candidate for the duties.
    pub(crate) fn set_candidate(&self, is_candidate: bool) {
        self.lock().is_candidate = is_candidate;
    }

    /// Returns whether this instance is a candidate for the duties.
    pub(crate) fn is_candidate(&self) -> bool {
        self.lock().is_candidate
    }

    /// Records that the instance is stopping.
    pub(crate) fn stop(&self) {
        self.lock().stopping = true;
    }

    /// Returns whether the instance is stopping.
    pub(crate) fn is_stopping(&self) -> bool {
        self.lock().stopping
    }

    /// Returns whether the view is needed, because this instance holds the duties or may
    /// take them over.
    pub(crate) fn needs_view(&self) -> bool {
        let state = self.lock();
        state.is_candidate || state.usage.is_some()
    }

    /// Sets the view. The traffic thread calls this.
    pub(crate) fn set_view(&self, view: DutyView) {
        self.lock().view = view;
    }

    /// Returns the latest view.
    pub(crate) fn view(&self) -> DutyView {
        self.lock().view.clone()
    }

    /// Starts to collect reports from peers, beginning with the counts that the previous
    /// holder had collected. `first_window` is the first window that isn't settled.
    pub(crate) fn begin_holding(
        &self,
        drafts: BTreeMap<WindowNumber, UsageCounts>,
        first_window: WindowNumber,
    ) {
        let mut tally = UsageTally::default();
        tally.inherit(drafts, first_window);
        self.lock().usage = Some(ReportedUsage { tally, open: BTreeMap::new() });
    }

    /// Stops collecting reports from peers. Returns whether it was collecting.
    pub(crate) fn end_holding(&self) -> bool {
        self.lock().usage.take().is_some()
    }

    /// Returns the total of a window, and whether all instances have reported all of it.
    pub(crate) fn window_total(&self, window: WindowNumber) -> (WindowTotal, bool) {
        let now = self.clock.now();
        let state = self.lock();
        let Some(usage) = &state.usage else { return (WindowTotal::default(), false) };
        let total = usage.tally.total(window, self.window, now);
        let reporting = usage
            .open
            .values()
            .filter(|(at, _)| now < *at + OPEN_COUNT_LIFE)
            .count();
        let all_reported = reporting as u32 >= state.view.live;
        (total, all_reported && usage.tally.is_complete(window, self.window, now))
    }

    /// Drops the counts of all windows up to and including `window`.
    pub(crate) fn close_window(&self, window: WindowNumber) {
        let now = self.clock.now();
        if let Some(usage) = &mut self.lock().usage {
            usage.tally.close(window, now);
        }
    }

    /// Returns the totals of the windows that aren't closed.
    pub(crate) fn drafts(&self) -> BTreeMap<WindowNumber, UsageCounts> {
        let state = self.lock();
        state
            .usage
            .as_ref()
            .map(|usage| usage.tally.drafts())
            .unwrap_or_default()
    }

    /// Returns the number of open requests of a service at all instances that have
    /// reported lately, or `None` if none has.
    pub(crate) fn open_requests(&self, service: FleetKey) -> Option<u32> {
        let now = self.clock.now();
        let state = self.lock();
        let usage = state.usage.as_ref()?;
        let recent = usage.open.values().filter(|(at, _)| now < *at + OPEN_COUNT_LIFE);
        let mut any_recent = false;
        let mut sum = 0;
        for (_, open) in recent {
            any_recent = true;
            let of_service = open.iter().filter(|(key, _)| *key == service);
            sum += of_service.map(|(_, count)| count).sum::<u32>();
        }
        any_recent.then_some(sum)
    }

    /// Locks the state, even if a thread has panicked while it held the lock.
    fn lock(&self) -> MutexGuard<'_, DutyState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl UsageExchange for SharedDuties {
    fn unconfirmed(&self, fence: u64) -> UnconfirmedUsage {
        let state = self.lock();
        let (windows, mark) = state.ledger.unconfirmed(fence);
        UnconfirmedUsage {
            told_until_ms: state.wall.now().as_millis() as u64,
            windows,
            open: state.open.iter().map(|(key, count)| (*key, *count)).collect(),
            mark,
        }
    }

    fn confirm(&self, fence: u64, mark: u64) {
        self.lock().ledger.confirm(fence, mark);
    }

    fn receive(&self, notice: UsageNotice) -> bool {
        let now = self.clock.now();
        let mut state = self.lock();
        let current = window_of(state.wall.now(), self.window);
        let Some(usage) = &mut state.usage else { return false };
        let name = fleet_key(&notice.from.name);
        if notice.leaving {
            usage.open.remove(&name);
        } else {
            usage.open.insert(name, (now, notice.open));
        }
        usage.tally.record_report(
            UsageSource { name_hash: name, epoch: notice.epoch },
            fleet_key(&notice.from.data_centre),
            Duration::from_millis(notice.told_until_ms),
            notice.leaving,
            notice.windows,
            now,
        );
        usage.tally.expire(current, now);
        true
    }
}
