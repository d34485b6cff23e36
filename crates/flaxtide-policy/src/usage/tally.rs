//! What the reporting instance adds up.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{UsageCounts, WINDOWS_KEPT, WindowCounts, WindowNumber, window_end};

/// An instance that isn't heard for so long has told all that it will.
const SOURCE_LIFE: Duration = Duration::from_secs(20);

/// What identifies one start of an instance.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct UsageSource {
    /// What stands for its name.
    pub name: u32,
    /// Drawn at random at its start.
    pub epoch: u32,
}

/// What all instances have told.
#[derive(Debug, Clone, Default)]
pub struct UsageTally {
    /// By instance.
    sources: BTreeMap<UsageSource, SourceRecord>,
    /// What the holder before had been told.
    inherited: BTreeMap<WindowNumber, UsageCounts>,
    /// Windows before this one are closed.
    open_from: WindowNumber,
}

/// What one start of an instance has told.
#[derive(Debug, Clone)]
struct SourceRecord {
    /// What stands for its data centre.
    data_centre: u32,
    /// When it was last heard.
    heard: Duration,
    /// Up to which moment, counted from the start of 1970, it has told everything.
    told_until: Duration,
    /// Whether it is stopping.
    leaving: bool,
    /// Its counts.
    windows: BTreeMap<WindowNumber, UsageCounts>,
}

/// The sum of a window.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WindowTotal {
    /// How many requests of each organisation began to run.
    pub counts: UsageCounts,
    /// How many of them are estimated.
    pub estimated: u32,
    /// How many instances have told.
    pub sources: u32,
    /// How many of those that are alive haven't told up to the window's end.
    pub missing: u32,
}

impl UsageTally {
    /// Takes over what the holder before had been told, and from which window on.
    pub fn inherit(
        &mut self,
        drafts: BTreeMap<WindowNumber, UsageCounts>,
        open_from: WindowNumber,
    ) {
        self.inherited = drafts;
        self.open_from = self.open_from.max(open_from);
    }

    /// Records what an instance has told. `told_until` is the moment, counted from the start of
    /// 1970, up to which it has told everything.
    pub fn record_report(
        &mut self,
        source: UsageSource,
        data_centre: u32,
        told_until: Duration,
        leaving: bool,
        news: Vec<WindowCounts>,
        now: Duration,
    ) {
        // A later start of the same instance has ended the one before it.
        let name = source.name;
        let ended = self.sources.iter_mut().filter(|(other, _)| other.name == name);
        ended.for_each(|(_, record)| record.leaving = true);
        let record = self.sources.entry(source).or_insert_with(|| SourceRecord {
            data_centre,
            heard: now,
            told_until,
            leaving,
            windows: BTreeMap::new(),
        });
        record.heard = now;
        record.told_until = record.told_until.max(told_until);
        record.leaving = leaving;
        for told in news {
            if told.window < self.open_from {
                continue;
            }
            let known = record.windows.entry(told.window).or_default();
            for (organisation, count) in told.counts {
                let known = known.entry(organisation).or_default();
                *known = count.max(*known);
            }
        }
    }

    /// Returns the sum of a window. What instances of a data centre of which nobody is heard
    /// haven't told is estimated from the window before: they may be serving behind a cut.
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
            let told = record.windows.get(&window);
            total.sources += u32::from(told.is_some());
            total.missing += u32::from(record.is_missing(end, now));
            let cut_off = !record.has_told(end) && silent.contains(&record.data_centre);
            let before = window.checked_sub(1).filter(|_| cut_off);
            let before = before.and_then(|before| record.windows.get(&before));
            add(&mut total, told, before);
        }
        self.add_inherited(&mut total.counts, window);
        total
    }

    /// Returns whether every instance that is alive has told all of a window.
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

    /// Returns the sums of what was told of the windows that aren't closed.
    #[must_use]
    pub fn drafts(&self) -> BTreeMap<WindowNumber, UsageCounts> {
        let told = self.sources.values().flat_map(|record| record.windows.keys());
        let windows: BTreeSet<WindowNumber> =
            told.chain(self.inherited.keys()).copied().collect();
        let open = windows.into_iter().filter(|window| *window >= self.open_from);
        open.map(|window| (window, self.told(window))).collect()
    }

    /// Returns the sum of what was told of a window.
    fn told(&self, window: WindowNumber) -> UsageCounts {
        let mut total = WindowTotal::default();
        for record in self.sources.values() {
            add(&mut total, record.windows.get(&window), None);
        }
        self.add_inherited(&mut total.counts, window);
        total.counts
    }

    /// Raises counts to what the holder before had been told of a window.
    fn add_inherited(&self, counts: &mut UsageCounts, window: WindowNumber) {
        for (organisation, count) in self.inherited.get(&window).into_iter().flatten() {
            let known = counts.entry(*organisation).or_default();
            *known = (*known).max(*count);
        }
    }

    /// Closes all windows up to one, and forgets what belongs to them.
    pub fn close(&mut self, window: WindowNumber, now: Duration) {
        self.open_from = self.open_from.max(window + 1);
        let open_from = self.open_from;
        // The last closed one tells how much a data centre that is cut off may be serving.
        let oldest = open_from.saturating_sub(1);
        for record in self.sources.values_mut() {
            record.windows.retain(|window, _| *window >= oldest);
        }
        self.inherited.retain(|window, _| *window >= open_from);
        self.sources
            .retain(|_, record| record.is_alive(now) || record.has_open(open_from));
    }

    /// Forgets windows that are long over.
    pub fn expire(&mut self, current: WindowNumber, now: Duration) {
        if let Some(oldest) = current.checked_sub(WINDOWS_KEPT)
            && oldest > self.open_from
        {
            self.close(oldest - 1, now);
        }
    }

    /// Returns the data centres of which no instance that is alive or was lately has told up to
    /// a moment.
    fn silent_data_centres(&self, end: Duration, now: Duration) -> BTreeSet<u32> {
        let records = || self.sources.values().filter(|record| record.is_alive(now));
        let heard: BTreeSet<u32> = records()
            .filter(|record| record.told_until >= end)
            .map(|record| record.data_centre)
            .collect();
        let all: BTreeSet<u32> = records().map(|record| record.data_centre).collect();
        all.difference(&heard).copied().collect()
    }
}

impl SourceRecord {
    /// Returns whether it has been heard lately.
    fn is_alive(&self, now: Duration) -> bool {
        now < self.heard + SOURCE_LIFE
    }

    /// Returns whether it has told everything up to a moment, or all that it will.
    fn has_told(&self, end: Duration) -> bool {
        self.leaving || self.told_until >= end
    }

    /// Returns whether it is alive and hasn't told everything up to a moment.
    fn is_missing(&self, end: Duration, now: Duration) -> bool {
        !self.has_told(end) && self.is_alive(now)
    }

    /// Returns whether it has told of a window that isn't closed.
    fn has_open(&self, open_from: WindowNumber) -> bool {
        self.windows.keys().any(|window| *window >= open_from)
    }
}

/// Adds what an instance has told, or as much as it told of the window before if that is more.
fn add(
    total: &mut WindowTotal,
    told: Option<&UsageCounts>,
    before: Option<&UsageCounts>,
) {
    let none = UsageCounts::new();
    let (told, before) = (told.unwrap_or(&none), before.unwrap_or(&none));
    let organisations: BTreeSet<_> = told.keys().chain(before.keys()).collect();
    for organisation in organisations {
        let known = told.get(organisation).copied().unwrap_or_default();
        let expected = before.get(organisation).copied().unwrap_or_default();
        *total.counts.entry(*organisation).or_default() += known.max(expected);
        total.estimated += expected.saturating_sub(known);
    }
}
