//! A lease with a fencing number (Kleppmann, "How to do distributed locking", 2016), over
//! one row of the platform's table.
//!
//! Only time spans of one's own clock count. A holder counts its lease from before it asked
//! for it; everyone else takes it over only after having seen the same version of the row
//! for a whole term. So the old lease is over before the new one begins.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How long a lease holds without being renewed.
const LEASE_TERM: Duration = Duration::from_secs(6);

/// How often a lease is renewed, and looked at by those who don't hold it.
const POLL_PERIOD: Duration = Duration::from_secs(2);

/// An order takes at most so long to reach a server, or doesn't.
const LONGEST_DELIVERY: Duration = Duration::from_secs(1);

/// What the table holds for a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Who holds it: a name and an epoch, so that a restarted instance is another.
    pub holder: String,
    /// The fencing number; each holder has a higher one than the one before.
    pub fence: u64,
}

/// What to do about a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseStep {
    /// Nothing for now.
    Wait,
    /// Read the row.
    Look,
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
/// use flaxtide_policy::{LeaseStep, LeaseWatch};
/// let mut watch = LeaseWatch::new("a".into());
/// let now = Duration::from_secs(1);
/// assert_eq!(watch.step(now), LeaseStep::Look);
/// watch.saw(None, now);
/// assert!(matches!(watch.step(now), LeaseStep::Write { expected: None, .. }));
/// watch.wrote(Some(1), now);
/// assert_eq!(watch.fence(now, true), Some(1));
/// ```
#[derive(Debug, Clone)]
pub struct LeaseWatch {
    /// Who looks.
    own: String,
    /// The row as last seen, with its version, and since when it has been so.
    seen: Option<(LeaseRow, u64, Duration)>,
    /// When the row was last read or written.
    looked: Option<Duration>,
    /// The lease, while this instance holds it.
    held: Option<HeldLease>,
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

impl LeaseWatch {
    /// Starts without knowing anything.
    #[must_use]
    pub fn new(own: String) -> Self {
        Self { own, seen: None, looked: None, held: None }
    }

    /// Returns what to do next.
    #[must_use]
    pub fn step(&self, now: Duration) -> LeaseStep {
        let due = self.looked.is_none_or(|looked| now >= looked + POLL_PERIOD);
        if let Some(held) = self.held {
            if !due {
                return LeaseStep::Wait;
            }
            let row = LeaseRow { holder: self.own.clone(), fence: held.fence };
            return LeaseStep::Write { expected: Some(held.version), row };
        }
        let Some(looked) = self.looked else { return LeaseStep::Look };
        let holder = self.own.clone();
        match &self.seen {
            None if now == looked => {
                LeaseStep::Write { expected: None, row: LeaseRow { holder, fence: 1 } }
            }
            Some((row, version, since))
                if now >= *since + LEASE_TERM && now == looked =>
            {
                let row = LeaseRow { holder, fence: row.fence + 1 };
                LeaseStep::Write { expected: Some(*version), row }
            }
            _ if due => LeaseStep::Look,
            _ => LeaseStep::Wait,
        }
    }

    /// Takes in the row as it is in the table.
    pub fn saw(&mut self, row: Option<(LeaseRow, u64)>, now: Duration) {
        self.looked = Some(now);
        let Some((row, version)) = row else {
            self.seen = None;
            return;
        };
        let same = self.seen.as_ref().is_some_and(|(_, last, _)| *last == version);
        if !same {
            self.seen = Some((row, version, now));
        }
    }

    /// Takes in whether a write that was asked for at `asked` made a new version; nothing
    /// if the row was another, or no answer came.
    pub fn wrote(&mut self, version: Option<u64>, asked: Duration) {
        self.looked = Some(asked);
        let Some(version) = version else {
            // Whether the write took effect shows at the next look. A lease that can't be
            // renewed runs out by itself.
            self.held = None;
            self.looked = None;
            return;
        };
        let next = self.seen.as_ref().map_or(1, |(row, _, _)| row.fence + 1);
        let (fence, since) =
            self.held.map_or((next, asked), |held| (held.fence, held.since));
        self.held = Some(HeldLease { fence, version, since, from: asked });
    }

    /// Returns the fencing number with which an order may be sent now, if any.
    ///
    /// A server that checks fencing numbers may get orders while the lease holds. One that
    /// doesn't gets them only while they are sure to arrive within the lease, and after all
    /// orders of the holder before have arrived or got lost.
    #[must_use]
    pub fn fence(&self, now: Duration, server_checks: bool) -> Option<u64> {
        let held = self.held?;
        let end = held.from + LEASE_TERM;
        let (begin, end) = if server_checks {
            (held.since, end)
        } else {
            (held.since + LONGEST_DELIVERY, end.saturating_sub(LONGEST_DELIVERY))
        };
        (now >= begin && now < end).then_some(held.fence)
    }
}
