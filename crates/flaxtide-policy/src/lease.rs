//! A lease with a fencing number (Kleppmann, "How to do distributed locking", 2016), over
//! one row of the platform's table.
//!
//! Only time spans of one's own clock count. A holder counts its lease from before it asked
//! for it; everyone else takes it over only after having seen the same version of the row
//! for a whole term. So the old lease is over before the new one begins. A holder that stops
//! says so in the row, and the lease is free at once.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How long a lease holds, and how it is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTiming {
    /// How long a lease holds without being renewed.
    pub term: Duration,
    /// How often a lease is renewed, and looked at by those who don't hold it.
    pub poll_period: Duration,
    /// How soon the row is read again after a write without an answer.
    pub check_period: Duration,
    /// An order takes at most so long to reach a server, or doesn't.
    pub longest_delivery: Duration,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        Self {
            term: Duration::from_secs(6),
            poll_period: Duration::from_secs(2),
            check_period: Duration::from_millis(250),
            longest_delivery: Duration::from_secs(1),
        }
    }
}

/// What the table holds for a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Who holds it: a name and an epoch, so that a restarted instance is another.
    pub holder: String,
    /// The fencing number; each holder has a higher one than the one before.
    pub fence: u64,
    /// Whether the holder has given it up.
    #[serde(default)]
    pub released: bool,
}

/// What to do about a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseStep {
    /// Nothing for now.
    Wait,
    /// Read the row.
    Read,
    /// Write the row if the table's row has this version; nothing means no row.
    Write {
        /// The version that must be found.
        expected: Option<u64>,
        /// The row.
        row: LeaseRow,
    },
}

/// One instance's view of a lease.
///
/// ```
/// use std::time::Duration;
/// use flaxtide_policy::{LeaseStep, LeaseTiming, LeaseWatch};
/// let now = Duration::from_secs(1);
/// let mut watch = LeaseWatch::new("a".into(), LeaseTiming::default(), now);
/// assert_eq!(watch.step(now), LeaseStep::Read);
/// watch.record_read(None, now);
/// let LeaseStep::Write { expected: None, row } = watch.step(now) else { panic!() };
/// watch.record_write(&row, Some(1), now);
/// assert_eq!(watch.fence(now, true), Some(1));
/// ```
#[derive(Debug, Clone)]
pub struct LeaseWatch {
    /// Who looks.
    own: String,
    /// How long things take.
    timing: LeaseTiming,
    /// Since when it has looked.
    started: Duration,
    /// Each fencing number of its own is above this.
    floor: u64,
    /// The row as last seen, with its version, and since when it has been so.
    seen: Option<(LeaseRow, u64, Duration)>,
    /// When the row was last read or written.
    looked: Option<Duration>,
    /// The lease, while this instance holds it.
    held: Option<HeldLease>,
    /// Until when it may have held the lease last.
    held_until: Duration,
    /// A write of which it isn't known whether it has taken effect.
    unknown: Option<UnknownWrite>,
    /// What the holder is to change in the row.
    change: Option<LeaseChange>,
}

/// A lease that is held.
#[derive(Debug, Clone, Copy)]
struct HeldLease {
    /// The fencing number.
    fence: u64,
    /// The version of the row.
    version: u64,
    /// When it was got.
    since: Duration,
    /// From when it was last renewed: before that was asked for.
    from: Duration,
}

/// A write without an answer.
#[derive(Debug, Clone, Copy)]
struct UnknownWrite {
    /// The fencing number in it.
    fence: u64,
    /// When it was first asked for.
    asked: Duration,
}

/// A change that a holder makes with its next write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeaseChange {
    /// A higher fencing number.
    Renumber,
    /// The end of the lease.
    Release,
}

impl LeaseWatch {
    /// Starts without knowing anything.
    #[must_use]
    pub fn new(own: String, timing: LeaseTiming, now: Duration) -> Self {
        Self {
            own,
            timing,
            started: now,
            floor: 0,
            seen: None,
            looked: None,
            held: None,
            held_until: Duration::ZERO,
            unknown: None,
            change: None,
        }
    }

    /// Keeps each fencing number of this instance above a number that may have been used, as
    /// by a holder that a store which came back from a copy has forgotten. A lease under a lower
    /// number is lost.
    pub fn raise_min_fence(&mut self, used: u64) {
        self.floor = self.floor.max(used);
        if self.held.is_some_and(|held| held.fence <= used) {
            self.held = None;
        }
        self.unknown = self.unknown.filter(|write| write.fence > used);
    }

    /// Has the holder take a higher fencing number, so that what it has sent under the present
    /// one is refused if it arrives later.
    pub fn advance_fence(&mut self) {
        if self.held.is_some() && self.change.is_none() {
            self.change = Some(LeaseChange::Renumber);
        }
    }

    /// Has the holder write the row at once.
    pub fn renew(&mut self) {
        if self.held.is_some() {
            self.looked = None;
        }
    }

    /// Records that somebody else has used a higher fencing number: the lease is lost, whatever
    /// the row says.
    pub fn record_lost(&mut self) {
        self.held = None;
        self.seen = None;
        self.unknown = None;
        self.change = self.change.filter(|change| *change == LeaseChange::Release);
    }

    /// Returns whether the lease holds, and gets another number.
    #[must_use]
    pub fn is_advancing_fence(&self, now: Duration) -> bool {
        self.change == Some(LeaseChange::Renumber) && self.current(now).is_some()
    }

    /// Gives the lease up, and stands for it no more.
    pub fn release(&mut self) {
        self.change = Some(LeaseChange::Release);
    }

    /// Returns whether nothing is left to be done after a release.
    #[must_use]
    pub fn is_released(&self, now: Duration) -> bool {
        self.change == Some(LeaseChange::Release) && self.current(now).is_none()
    }

    /// Returns the lease, if it holds.
    fn current(&self, now: Duration) -> Option<HeldLease> {
        self.held.filter(|held| now < held.from + self.timing.term)
    }

    /// Returns what to do next.
    #[must_use]
    pub fn step(&self, now: Duration) -> LeaseStep {
        if self.is_released(now) {
            return LeaseStep::Wait;
        }
        if let Some(held) = self.current(now) {
            return self.step_of_holder(held, now);
        }
        let Some(looked) = self.looked else { return LeaseStep::Read };
        if now == looked && self.is_free(now) {
            return self.take();
        }
        if self.is_due(now, self.timing.poll_period) {
            return LeaseStep::Read;
        }
        LeaseStep::Wait
    }

    /// Returns what a holder is to do next.
    fn step_of_holder(&self, held: HeldLease, now: Duration) -> LeaseStep {
        if self.unknown.is_some() {
            if self.looked != Some(now) {
                let due = self.is_due(now, self.timing.check_period);
                return if due { LeaseStep::Read } else { LeaseStep::Wait };
            }
        } else if self.change.is_none() && !self.is_due(now, self.timing.poll_period) {
            return LeaseStep::Wait;
        }
        let renumbered = self.change == Some(LeaseChange::Renumber);
        let row = LeaseRow {
            holder: self.own.clone(),
            fence: held.fence + u64::from(renumbered),
            released: self.change == Some(LeaseChange::Release),
        };
        LeaseStep::Write { expected: Some(held.version), row }
    }

    /// Returns whether so long has passed since the last look.
    fn is_due(&self, now: Duration, period: Duration) -> bool {
        self.looked.is_none_or(|looked| now >= looked + period)
    }

    /// Returns whether the lease may be taken, as of the last look.
    fn is_free(&self, now: Duration) -> bool {
        // A store that came back from a copy may not know the present holder, and that holder may
        // give the lease up. The holder before it isn't to follow: this instance, or its last life.
        let last = self.started.max(self.held_until);
        let settled = now >= last + self.timing.term;
        let Some((row, _, since)) = &self.seen else {
            // Nobody has a number yet.
            return self.floor == 0 || settled;
        };
        (row.released && settled) || now >= *since + self.timing.term
    }

    /// Returns the step that takes the lease.
    fn take(&self) -> LeaseStep {
        let expected = self.seen.as_ref().map(|(_, version, _)| *version);
        let row = LeaseRow {
            holder: self.own.clone(),
            fence: self.next_fence(),
            released: false,
        };
        LeaseStep::Write { expected, row }
    }

    /// Returns a fencing number above all that are known to have been used.
    fn next_fence(&self) -> u64 {
        let last = self.seen.as_ref().map_or(0, |(row, _, _)| row.fence);
        last.max(self.floor) + 1
    }

    /// Records the row as it is in the table.
    pub fn record_read(&mut self, row: Option<(LeaseRow, u64)>, now: Duration) {
        self.looked = Some(now);
        let Some((row, version)) = row else {
            self.held = None;
            self.seen = None;
            return;
        };
        let unchanged = match self.held {
            Some(held) => held.version == version,
            None => self.seen.as_ref().is_some_and(|(_, last, _)| *last == version),
        };
        if !unchanged {
            // A write that had no answer has taken effect, or never will.
            let write = self.unknown.take();
            let written = write.filter(|write| {
                row.holder == self.own && row.fence == write.fence && !row.released
            });
            match written.filter(|write| now < write.asked + self.timing.term) {
                Some(write) => self.hold(write.fence, version, write.asked),
                None => self.held = None,
            }
        }
        let same = self.seen.as_ref().is_some_and(|(_, last, _)| *last == version);
        if !same {
            self.seen = Some((row, version, now));
        }
    }

    /// Records whether the write of a row that was asked for at `asked` made a new version;
    /// nothing if the table's row was another, or no answer came.
    pub fn record_write(
        &mut self,
        row: &LeaseRow,
        version: Option<u64>,
        asked: Duration,
    ) {
        self.looked = Some(asked);
        let Some(version) = version else {
            // Whether it took effect shows at the next look. Until then it counts from the
            // first of such writes.
            let first = self.unknown.map_or(asked, |write| write.asked);
            self.unknown = Some(UnknownWrite { fence: row.fence, asked: first });
            if self.held.is_none() {
                self.looked = None;
            }
            return;
        };
        self.unknown = None;
        if row.released {
            self.held = None;
            return;
        }
        self.hold(row.fence, version, asked);
        // The last writer may take it again a term later.
        self.seen = Some((row.clone(), version, asked));
    }

    /// Holds the lease from a time on.
    fn hold(&mut self, fence: u64, version: u64, from: Duration) {
        if self.change == Some(LeaseChange::Renumber)
            && self.held.is_some_and(|held| held.fence < fence)
        {
            self.change = None;
        }
        let since = self.held.map_or(from, |held| held.since);
        self.held = Some(HeldLease { fence, version, since, from });
        self.held_until = from + self.timing.term;
        self.floor = self.floor.max(fence);
    }

    /// Returns the fencing number with which an order may be sent now, if any.
    ///
    /// A server that checks fencing numbers may get orders while the lease holds. One that
    /// doesn't gets them only while they are sure to arrive within the lease, and after all
    /// orders of the holder before have arrived or got lost.
    #[must_use]
    pub fn fence(&self, now: Duration, server_checks: bool) -> Option<u64> {
        // While it gets another number, neither may be used.
        if self.change.is_some() {
            return None;
        }
        let held = self.held?;
        let end = held.from + self.timing.term;
        let delivery = self.timing.longest_delivery;
        let (begin, end) = if server_checks {
            (held.since, end)
        } else {
            (held.since + delivery, end.saturating_sub(delivery))
        };
        (now >= begin && now < end).then_some(held.fence)
    }
}
