//! The usage counts of all instances, added up by the holder of the usage duty.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{UsageCounts, WINDOWS_KEPT, WindowCounts, WindowNumber, window_end};

/// An instance that hasn't reported for this long is assumed to have ended.
const SOURCE_TIMEOUT: Duration = Duration::from_secs(20);

/// Identifies one start of an instance.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct UsageSource {
    /// A hash of the instance's name.
    pub name: u32,
    /// A random number drawn when the instance starts.
    pub epoch: u32,
}

/// The usage that all instances have reported.
#[derive(Debug, Clone, Default)]
pub struct UsageTally {
    /// The reports by instance and start.
    sources: BTreeMap<UsageSource, SourceRecord>,
    /// The counts that had been reported to the previous holder.
    inherited: BTreeMap<WindowNumber, UsageCounts>,
    /// The first window that isn't closed.
    open_from: WindowNumber,
}

/// The usage that one start of an instance has reported.
#[derive(Debug, Clone)]
struct SourceRecord {
    /// A hash of the name of its data centre.
    data_centre: u32,
    /// When it last reported.
    last_heard: Duration,
    /// The time since the Unix epoch up to which its reports are complete.
    complete_until: Duration,
    /// Whether the instance is stopping or has been replaced by a later start.
    leaving: bool,
    /// Its counts by window.
    windows: BTreeMap<WindowNumber, UsageCounts>,
}

/// The total of a window.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WindowTotal {
    /// The number of requests that started to run, by organisation.
    pub counts: UsageCounts,
    /// How many of these requests are estimated.
    pub estimated: u32,
    /// The number of instances that have reported the window.
    pub sources: u32,
    /// The number of live instances whose reports aren't complete up to the end of the
    /// window.
    pub missing: u32,
}

impl UsageTally {
    /// Takes over the counts that had been reported to the previous holder, and its first
    /// open window.
    pub fn inherit(
        &mut self,
        drafts: BTreeMap<WindowNumber, UsageCounts>,
        open_from: WindowNumber,
    ) {
        self.inherited = drafts;
        self.open_from = self.open_from.max(open_from);
    }

    /// Records a report of an instance. `complete_until` is the time since the Unix epoch
    /// up to which its reports are complete.
    pub fn record_report(
        &mut self,
        source: UsageSource,
        data_centre: u32,
        complete_until: Duration,
        leaving: bool,
        windows: Vec<WindowCounts>,
        now: Duration,
    ) {
        // This start replaces any earlier one of the same instance.
        let name = source.name;
        let ended = self.sources.iter_mut().filter(|(other, _)| other.name == name);
        ended.for_each(|(_, record)| record.leaving = true);
        let record = self.sources.entry(source).or_insert_with(|| SourceRecord {
            data_centre,
            last_heard: now,
            complete_until,
            leaving,
            windows: BTreeMap::new(),
        });
        record.last_heard = now;
        record.complete_until = record.complete_until.max(complete_until);
        record.leaving = leaving;
        for reported in windows {
            if reported.window < self.open_from {
                continue;
            }
            let known = record.windows.entry(reported.window).or_default();
            for (organisation, count) in reported.counts {
                let known = known.entry(organisation).or_default();
                *known = count.max(*known);
            }
        }
    }

    /// Returns the total of a window. If no instance of a data centre has reported
    /// completely, the data centre may be serving behind a network partition, and the
    /// missing counts of its instances are estimated from the previous window.
    #[must_use]
    pub fn total(
        &self,
        window: WindowNumber,
        length: Duration,
        now: Duration,
    ) -> WindowTotal {
        let end = window_end(window, length);
        let silent = self.silent_data_centres(end, now);
        let mut total = WindowTotal::default();
        for record in self.sources.values() {
            let reported = record.windows.get(&window);
            total.sources += u32::from(reported.is_some());
            total.missing += u32::from(record.is_missing(end, now));
            let cut_off =
                !record.is_complete_until(end) && silent.contains(&record.data_centre);
            let previous = window.checked_sub(1).filter(|_| cut_off);
            let previous = previous.and_then(|previous| record.windows.get(&previous));
            add_counts(&mut total, reported, previous);
        }
        self.add_inherited(&mut total.counts, window);
        total
    }

    /// Returns whether the reports of all live instances are complete for a window.
    #[must_use]
    pub fn is_complete(
        &self,
        window: WindowNumber,
        length: Duration,
        now: Duration,
    ) -> bool {
        let end = window_end(window, length);
        !self.sources.values().any(|record| record.is_missing(end, now))
    }

    /// Returns the reported totals of the windows that aren't closed, without estimates.
    #[must_use]
    pub fn drafts(&self) -> BTreeMap<WindowNumber, UsageCounts> {
        let reported = self.sources.values().flat_map(|record| record.windows.keys());
        let windows: BTreeSet<WindowNumber> =
            reported.chain(self.inherited.keys()).copied().collect();
        let open = windows.into_iter().filter(|window| *window >= self.open_from);
        open.map(|window| (window, self.reported(window))).collect()
    }

    /// Returns the reported total of a window, without estimates.
    fn reported(&self, window: WindowNumber) -> UsageCounts {
        let mut total = WindowTotal::default();
        for record in self.sources.values() {
            add_counts(&mut total, record.windows.get(&window), None);
        }
        self.add_inherited(&mut total.counts, window);
        total.counts
    }

    /// Raises counts to those that had been reported to the previous holder.
    fn add_inherited(&self, counts: &mut UsageCounts, window: WindowNumber) {
        for (organisation, count) in self.inherited.get(&window).into_iter().flatten() {
            let known = counts.entry(*organisation).or_default();
            *known = (*known).max(*count);
        }
    }

    /// Closes all windows up to and including `window` and drops their counts.
    pub fn close(&mut self, window: WindowNumber, now: Duration) {
        self.open_from = self.open_from.max(window + 1);
        let open_from = self.open_from;
        // The counts of the last closed window are kept, as the next estimate is based on
        // them.
        let oldest = open_from.saturating_sub(1);
        for record in self.sources.values_mut() {
            record.windows.retain(|window, _| *window >= oldest);
        }
        self.inherited.retain(|window, _| *window >= open_from);
        self.sources
            .retain(|_, record| record.is_alive(now) || record.has_open(open_from));
    }

    /// Closes windows that ended too long ago to be kept.
    pub fn expire(&mut self, current: WindowNumber, now: Duration) {
        if let Some(oldest) = current.checked_sub(WINDOWS_KEPT)
            && oldest > self.open_from
        {
            self.close(oldest - 1, now);
        }
    }

    /// Returns the data centres that have live instances, none of which has reported
    /// completely up to `end`.
    fn silent_data_centres(&self, end: Duration, now: Duration) -> BTreeSet<u32> {
        let records = || self.sources.values().filter(|record| record.is_alive(now));
        let reporting: BTreeSet<u32> = records()
            .filter(|record| record.complete_until >= end)
            .map(|record| record.data_centre)
            .collect();
        let all: BTreeSet<u32> = records().map(|record| record.data_centre).collect();
        all.difference(&reporting).copied().collect()
    }
}

impl SourceRecord {
    /// Returns whether it has reported recently.
    fn is_alive(&self, now: Duration) -> bool {
        now < self.last_heard + SOURCE_TIMEOUT
    }

    /// Returns whether its reports are complete up to `end`, or no more reports are
    /// expected.
    fn is_complete_until(&self, end: Duration) -> bool {
        self.leaving || self.complete_until >= end
    }

    /// Returns whether it is alive and its reports aren't complete up to `end`.
    fn is_missing(&self, end: Duration, now: Duration) -> bool {
        !self.is_complete_until(end) && self.is_alive(now)
    }

    /// Returns whether it has reported a window that isn't closed.
    fn has_open(&self, open_from: WindowNumber) -> bool {
        self.windows.keys().any(|window| *window >= open_from)
    }
}

/// Adds the counts that an instance reported for a window to a total. Where its count of
/// the previous window is higher, that one is added as an estimate.
fn add_counts(
    total: &mut WindowTotal,
    reported: Option<&UsageCounts>,
    previous: Option<&UsageCounts>,
) {
    let none = UsageCounts::new();
    let (reported, previous) = (reported.unwrap_or(&none), previous.unwrap_or(&none));
    let organisations: BTreeSet<_> = reported.keys().chain(previous.keys()).collect();
    for organisation in organisations {
        let known = reported.get(organisation).copied().unwrap_or_default();
        let expected = previous.get(organisation).copied().unwrap_or_default();
        *total.counts.entry(*organisation).or_default() += known.max(expected);
        total.estimated += expected.saturating_sub(known);
    }
}
