//! A lease with fencing tokens (Kleppmann, "How to do distributed locking", 2016), kept
//! in one row of the platform's table.
//!
//! Clocks of instances are never compared: each instance measures time spans on its own
//! clock. A holder counts its term from before it sent the write that acquired or renewed
//! the lease. Any other instance takes the lease over only after it has seen the same
//! version of the row for a whole term. So the old lease has expired before the new one
//! begins. A holder that stops marks the row as released, and the lease can be taken at
//! once.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The term of a lease and the periods at which it is read and renewed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTiming {
    /// How long a lease holds without being renewed.
    pub term: Duration,
    /// How often the holder renews the lease, and other instances read its row.
    pub poll_period: Duration,
    /// How soon the row is read again after a write whose result is unknown.
    pub check_period: Duration,
    /// An order that hasn't reached its server after this time never will.
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

/// The row of a lease in the platform's table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// The holder's name and epoch; a restarted instance has another epoch, so it is
    /// another holder.
    pub holder: String,
    /// The fencing token; each holder uses a higher one than the holder before it.
    pub fence: u64,
    /// Whether the holder has released the lease.
    #[serde(default)]
    pub released: bool,
}

/// What an instance should do next about a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseStep {
    /// Nothing for now.
    Wait,
    /// Read the row.
    Read,
    /// Write the row if the version in the table is as expected.
    Write {
        /// The version that the table must hold; `None` if it must hold no row.
        expected: Option<u64>,
        /// The row to write.
        row: LeaseRow,
    },
}

/// One instance's view of a lease: decides when to read, acquire, renew and release it.
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
    /// The name and epoch of this instance, as written into the row.
    holder: String,
    /// The term and periods of the lease.
    timing: LeaseTiming,
    /// When this instance started to watch the lease.
    started: Duration,
    /// The highest fencing token that may have been used; new ones are higher.
    highest_fence: u64,
    /// The row as last read or written, its version, and when that version was first
    /// seen.
    last_row: Option<(LeaseRow, u64, Duration)>,
    /// When the row was last read or written; `None` if it should be accessed at once.
    last_access: Option<Duration>,
    /// The lease, if this instance acquired it and hasn't lost it since. It may have
    /// expired.
    held: Option<HeldLease>,
    /// When the last lease of this instance expires or expired.
    held_until: Duration,
    /// A write whose result is unknown.
    unconfirmed: Option<UnconfirmedWrite>,
    /// What the holder's next write should change besides renewing the lease.
    pending_change: Option<LeaseChange>,
}

/// A lease that was acquired by this instance.
#[derive(Debug, Clone, Copy)]
struct HeldLease {
    /// The fencing token.
    fence: u64,
    /// The version of the row.
    version: u64,
    /// When the lease was acquired.
    acquired_at: Duration,
    /// When the write that last renewed the lease was sent; the term counts from then.
    renewed_at: Duration,
}

/// A write whose result is unknown.
#[derive(Debug, Clone, Copy)]
struct UnconfirmedWrite {
    /// The fencing token that it writes.
    fence: u64,
    /// When the first of such writes was sent.
    requested_at: Duration,
}

/// A change that a holder makes with its next write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeaseChange {
    /// Take a higher fencing token.
    AdvanceFence,
    /// Release the lease.
    Release,
}

impl LeaseWatch {
    /// Creates a watch that hasn't read the row yet.
    #[must_use]
    pub fn new(holder: String, timing: LeaseTiming, now: Duration) -> Self {
        Self {
            holder,
            timing,
            started: now,
            highest_fence: 0,
            last_row: None,
            last_access: None,
            held: None,
            held_until: Duration::ZERO,
            unconfirmed: None,
            pending_change: None,
        }
    }

    /// Records that fencing tokens up to `used` may have been used, for example by a
    /// holder that a table restored from a backup doesn't know. A lease with such a token
    /// is lost.
    pub fn record_used_fence(&mut self, used: u64) {
        self.highest_fence = self.highest_fence.max(used);
        if self.held.is_some_and(|held| held.fence <= used) {
            self.held = None;
        }
        self.unconfirmed = self.unconfirmed.filter(|write| write.fence > used);
    }

    /// Makes the holder take a higher fencing token, so that servers refuse what was sent
    /// with the current one and arrives after the change.
    pub fn advance_fence(&mut self) {
        if self.held.is_some() && self.pending_change.is_none() {
            self.pending_change = Some(LeaseChange::AdvanceFence);
        }
    }

    /// Makes the holder renew the lease at its next step, without waiting for the poll
    /// period.
    pub fn renew(&mut self) {
        if self.held.is_some() {
            self.last_access = None;
        }
    }

    /// Records that another instance has used a higher fencing token. The lease is lost,
    /// whatever the row says.
    pub fn record_lost(&mut self) {
        self.held = None;
        self.last_row = None;
        self.unconfirmed = None;
        self.pending_change =
            self.pending_change.filter(|change| *change == LeaseChange::Release);
    }

    /// Returns whether the lease holds but its holder is taking a higher fencing token.
    #[must_use]
    pub fn is_advancing_fence(&self, now: Duration) -> bool {
        self.pending_change == Some(LeaseChange::AdvanceFence)
            && self.current_lease(now).is_some()
    }

    /// Releases the lease, if held, and stops this instance from acquiring it again.
    pub fn release(&mut self) {
        self.pending_change = Some(LeaseChange::Release);
    }

    /// Returns whether [`release`](Self::release) was called and the lease isn't held any
    /// more.
    #[must_use]
    pub fn is_released(&self, now: Duration) -> bool {
        self.pending_change == Some(LeaseChange::Release)
            && self.current_lease(now).is_none()
    }

    /// Returns the lease, if it hasn't expired.
    fn current_lease(&self, now: Duration) -> Option<HeldLease> {
        self.held.filter(|held| now < held.renewed_at + self.timing.term)
    }

    /// Returns what to do next.
    #[must_use]
    pub fn step(&self, now: Duration) -> LeaseStep {
        if self.is_released(now) {
            return LeaseStep::Wait;
        }
        if let Some(held) = self.current_lease(now) {
            return self.holder_step(held, now);
        }
        let Some(last_access) = self.last_access else { return LeaseStep::Read };
        if now == last_access && self.is_free(now) {
            return self.acquire_step();
        }
        if self.is_due(now, self.timing.poll_period) {
            return LeaseStep::Read;
        }
        LeaseStep::Wait
    }

    /// Returns what the holder should do next.
    fn holder_step(&self, held: HeldLease, now: Duration) -> LeaseStep {
        if self.unconfirmed.is_some() {
            if self.last_access != Some(now) {
                let due = self.is_due(now, self.timing.check_period);
                return if due { LeaseStep::Read } else { LeaseStep::Wait };
            }
        } else if self.pending_change.is_none()
            && !self.is_due(now, self.timing.poll_period)
        {
            return LeaseStep::Wait;
        }
        let advances = self.pending_change == Some(LeaseChange::AdvanceFence);
        let row = LeaseRow {
            holder: self.holder.clone(),
            fence: held.fence + u64::from(advances),
            released: self.pending_change == Some(LeaseChange::Release),
        };
        LeaseStep::Write { expected: Some(held.version), row }
    }

    /// Returns whether the row was last accessed at least `period` ago.
    fn is_due(&self, now: Duration, period: Duration) -> bool {
        self.last_access.is_none_or(|last_access| now >= last_access + period)
    }

    /// Returns whether the lease can be acquired, according to the last read.
    fn is_free(&self, now: Duration) -> bool {
        // A table restored from a backup may not know the current holder, and that holder
        // may release the lease. The holder before it, which may be this instance or its
        // previous incarnation, must not take the lease back within a term.
        let last = self.started.max(self.held_until);
        let settled = now >= last + self.timing.term;
        let Some((row, _, since)) = &self.last_row else {
            // No holder is known to have used a fencing token yet.
            return self.highest_fence == 0 || settled;
        };
        (row.released && settled) || now >= *since + self.timing.term
    }

    /// Returns the write that acquires the lease.
    fn acquire_step(&self) -> LeaseStep {
        let expected = self.last_row.as_ref().map(|(_, version, _)| *version);
        let row = LeaseRow {
            holder: self.holder.clone(),
            fence: self.next_fence(),
            released: false,
        };
        LeaseStep::Write { expected, row }
    }

    /// Returns a fencing token that is higher than all that may have been used.
    fn next_fence(&self) -> u64 {
        let last = self.last_row.as_ref().map_or(0, |(row, _, _)| row.fence);
        last.max(self.highest_fence) + 1
    }

    /// Records the result of a read: the row and its version, if there is one.
    pub fn record_read(&mut self, row: Option<(LeaseRow, u64)>, now: Duration) {
        self.last_access = Some(now);
        let Some((row, version)) = row else {
            self.held = None;
            self.last_row = None;
            return;
        };
        let unchanged = match self.held {
            Some(held) => held.version == version,
            None => self.last_row.as_ref().is_some_and(|(_, last, _)| *last == version),
        };
        if !unchanged {
            // An unconfirmed write has taken effect by now, or can't any more.
            let write = self.unconfirmed.take();
            let written = write.filter(|write| {
                row.holder == self.holder && row.fence == write.fence && !row.released
            });
            match written.filter(|write| now < write.requested_at + self.timing.term) {
                Some(write) => self.set_held(write.fence, version, write.requested_at),
                None => self.held = None,
            }
        }
        let same = self.last_row.as_ref().is_some_and(|(_, last, _)| *last == version);
        if !same {
            self.last_row = Some((row, version, now));
        }
    }

    /// Records the result of a write that was sent at `requested_at`: the new version of
    /// the row, or `None` if the condition failed or no reply came.
    pub fn record_write(
        &mut self,
        row: &LeaseRow,
        version: Option<u64>,
        requested_at: Duration,
    ) {
        self.last_access = Some(requested_at);
        let Some(version) = version else {
            // The next read shows whether the write took effect. If it did, the term
            // counts from the first of the unconfirmed writes, as any of them may be the
            // one.
            let first = self.unconfirmed.map_or(requested_at, |write| write.requested_at);
            self.unconfirmed =
                Some(UnconfirmedWrite { fence: row.fence, requested_at: first });
            if self.held.is_none() {
                self.last_access = None;
            }
            return;
        };
        self.unconfirmed = None;
        if row.released {
            self.held = None;
            return;
        }
        self.set_held(row.fence, version, requested_at);
        // After a term without changes this instance, too, may acquire the lease again.
        self.last_row = Some((row.clone(), version, requested_at));
    }

    /// Records that the lease is held, with its term counted from `renewed_at`.
    fn set_held(&mut self, fence: u64, version: u64, renewed_at: Duration) {
        if self.pending_change == Some(LeaseChange::AdvanceFence)
            && self.held.is_some_and(|held| held.fence < fence)
        {
            self.pending_change = None;
        }
        let acquired_at = self.held.map_or(renewed_at, |held| held.acquired_at);
        self.held = Some(HeldLease { fence, version, acquired_at, renewed_at });
        self.held_until = renewed_at + self.timing.term;
        self.highest_fence = self.highest_fence.max(fence);
    }

    /// Returns the fencing token with which an order may be sent now; `None` if none may.
    ///
    /// A server that checks fencing tokens may get orders while the lease holds. Others
    /// get orders only while these are sure to arrive before the lease expires, and once
    /// all orders of the previous holder have arrived or been lost.
    #[must_use]
    pub fn fence(&self, now: Duration, server_checks: bool) -> Option<u64> {
        // While the token is being replaced, neither the old nor the new one may be used.
        if self.pending_change.is_some() {
            return None;
        }
        let held = self.held?;
        let end = held.renewed_at + self.timing.term;
        let delivery = self.timing.longest_delivery;
        let (begin, end) = if server_checks {
            (held.acquired_at, end)
        } else {
            (held.acquired_at + delivery, end.saturating_sub(delivery))
        };
        (now >= begin && now < end).then_some(held.fence)
    }
}
