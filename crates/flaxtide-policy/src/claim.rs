//! The claim protocol: a request with an idempotency key runs at most once.
//!
//! A [`ClaimAttempt`] is a pure state machine around one row of the platform's table. It
//! returns the next step, takes the table's replies, and allows the request to be sent
//! only once the table is known to hold its row. A held row never expires to another
//! attempt: its holder may be frozen between the write and the send.
//!
//! An attempt that can't find out whether its row was written gives up for good and
//! releases the row. It writes a row in phase [`RowPhase::Released`] even if there was
//! none, so that a write that is still in flight can't take effect later.

use flaxtide_core::AttemptId;
use serde::{Deserialize, Serialize};

/// The number of further writes and reads after the first write before an attempt gives
/// up.
const RETRY_LIMIT: u8 = 3;

/// The row of one idempotency key in the platform's table.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimRow {
    /// The attempt that wrote the row.
    pub attempt: AttemptId,
    /// The hash of the request's body.
    pub body_hash: u64,
    /// How far the attempt has come.
    pub phase: RowPhase,
}

/// How far the attempt named in a row has come.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RowPhase {
    /// The attempt may send the request, or has sent it.
    Held,
    /// The attempt hasn't sent the request and never will.
    Released,
    /// The request has run, and its outcome is recorded.
    Done {
        /// The recorded response.
        outcome: String,
    },
}

/// What an attempt should do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimStep {
    /// Write the row if the version in the table is as expected.
    Write {
        /// The version that the table must hold; `None` if it must hold no row.
        expected: Option<u64>,
    },
    /// Read the row back.
    ReadBack,
    /// Send the request; no other attempt may.
    Send,
    /// Refuse the request as not run, and release the row in the background.
    Abandon,
    /// Refuse the request as not run; there is no row to release.
    Refuse,
    /// Another attempt holds the row: the request may have run, or may be running.
    HeldByOther,
    /// Return the recorded response.
    Replay {
        /// The recorded response.
        outcome: String,
    },
    /// Refuse the request: its key was used with another body.
    Mismatch,
}

/// The table's reply to a write or a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TableReply {
    /// The row was written.
    Written {
        /// The new version of the row.
        version: u64,
    },
    /// The table's current row and version, returned by a read or by a write whose
    /// condition failed.
    Found(Option<(ClaimRow, u64)>),
    /// The table rejected the call and did nothing.
    NotDone,
    /// No reply: a write may have taken effect, may do so later, or never.
    NoAnswer,
}

/// One attempt to claim the right to run a request.
///
/// ```
/// use flaxtide_policy::{ClaimAttempt, ClaimStep, TableReply};
/// let mut attempt = ClaimAttempt::new(7, 99);
/// assert_eq!(attempt.step(), ClaimStep::Write { expected: None });
/// attempt.reply(TableReply::Written { version: 1 });
/// assert_eq!(attempt.step(), ClaimStep::Send);
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ClaimAttempt {
    /// The id of the attempt.
    attempt: AttemptId,
    /// The hash of the request's body.
    body_hash: u64,
    /// The current state.
    state: AttemptState,
    /// How many further writes and reads are allowed.
    retries_left: u8,
    /// Whether a write without a reply may still take effect.
    write_pending: bool,
}

/// The state of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum AttemptState {
    /// The row should be written, over this version or where there is no row.
    Writing(Option<u64>),
    /// The row should be read back.
    Reading,
    /// The table holds this attempt's row, with this version.
    Held(u64),
    /// The attempt has ended.
    Ended(EndReason),
}

/// Why an attempt ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum EndReason {
    /// The claim failed, and the attempt's row may be in the table or get there.
    Abandoned,
    /// The claim failed, and no write of the attempt can be in the table.
    Refused,
    /// Another attempt holds the row.
    HeldByOther,
    /// The outcome of another attempt is recorded.
    Replayed(String),
    /// The key was used with another body.
    Mismatched,
}

impl ClaimAttempt {
    /// Creates an attempt that starts with a write.
    #[must_use]
    pub fn new(attempt: AttemptId, body_hash: u64) -> Self {
        Self {
            attempt,
            body_hash,
            state: AttemptState::Writing(None),
            retries_left: RETRY_LIMIT,
            write_pending: false,
        }
    }

    /// Returns the row that the attempt writes for a phase.
    #[must_use]
    pub fn row(&self, phase: RowPhase) -> ClaimRow {
        ClaimRow {
            attempt: self.attempt,
            body_hash: self.body_hash,
            phase,
        }
    }

    /// Returns the version of the attempt's row, once the table is known to hold it.
    #[must_use]
    pub fn held_version(&self) -> Option<u64> {
        match self.state {
            AttemptState::Held(version) => Some(version),
            _ => None,
        }
    }

    /// Returns what to do next.
    #[must_use]
    pub fn step(&self) -> ClaimStep {
        match &self.state {
            AttemptState::Writing(expected) => ClaimStep::Write { expected: *expected },
            AttemptState::Reading => ClaimStep::ReadBack,
            AttemptState::Held(_) => ClaimStep::Send,
            AttemptState::Ended(reason) => match reason {
                EndReason::Abandoned => ClaimStep::Abandon,
                EndReason::Refused => ClaimStep::Refuse,
                EndReason::HeldByOther => ClaimStep::HeldByOther,
                EndReason::Replayed(outcome) => {
                    ClaimStep::Replay { outcome: outcome.clone() }
                }
                EndReason::Mismatched => ClaimStep::Mismatch,
            },
        }
    }

    /// Applies the table's reply to the last write or read.
    pub fn reply(&mut self, reply: TableReply) {
        if !matches!(self.state, AttemptState::Writing(_) | AttemptState::Reading) {
            return;
        }
        let wrote = matches!(self.state, AttemptState::Writing(_));
        match reply {
            TableReply::Written { version } => self.state = AttemptState::Held(version),
            TableReply::Found(Some((row, version))) => self.apply_row(row, version),
            TableReply::Found(None) => self.retry(AttemptState::Writing(None)),
            TableReply::NotDone => {
                let state = self.state.clone();
                self.retry(state);
            }
            TableReply::NoAnswer => {
                self.write_pending |= wrote;
                self.retry(AttemptState::Reading);
            }
        }
    }

    /// Gives up before the request is sent, because its deadline has passed or the
    /// instance stops. Has no effect on an attempt that has ended.
    pub fn abandon(&mut self) {
        if matches!(self.state, AttemptState::Ended(_)) {
            return;
        }
        let open = self.write_pending || matches!(self.state, AttemptState::Held(_));
        let reason = if open { EndReason::Abandoned } else { EndReason::Refused };
        self.state = AttemptState::Ended(reason);
    }

    /// Decides the next state from the row that the table holds.
    fn apply_row(&mut self, row: ClaimRow, version: u64) {
        if row.attempt == self.attempt && row.phase == RowPhase::Held {
            self.state = AttemptState::Held(version);
            return;
        }
        if row.phase == RowPhase::Released {
            self.retry(AttemptState::Writing(Some(version)));
            return;
        }
        let reason = match row.phase {
            _ if row.body_hash != self.body_hash => EndReason::Mismatched,
            RowPhase::Done { outcome } => EndReason::Replayed(outcome),
            RowPhase::Held | RowPhase::Released => EndReason::HeldByOther,
        };
        self.state = AttemptState::Ended(reason);
    }

    /// Goes on to another write or read, or gives up if none is left.
    fn retry(&mut self, next: AttemptState) {
        if self.retries_left == 0 {
            self.abandon();
            return;
        }
        self.retries_left -= 1;
        self.state = next;
    }
}

/// Moves an attempt's row to its final phase, with as many writes as that takes.
///
/// A release writes a row even if there is none. An outcome is only written over the
/// attempt's own row.
///
/// ```
/// use flaxtide_policy::{ClaimAttempt, ClaimSettlement, RowPhase, TableReply};
/// let row = ClaimAttempt::new(7, 99).row(RowPhase::Released);
/// let mut settlement = ClaimSettlement::new(row, None);
/// assert_eq!(settlement.next_write(), Some(None));
/// settlement.reply(&TableReply::Written { version: 1 });
/// assert_eq!(settlement.next_write(), None);
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ClaimSettlement {
    /// The row in its final phase.
    row: ClaimRow,
    /// The version that the table's row is expected to have.
    expected: Option<u64>,
    /// Whether nothing more needs to be written.
    settled: bool,
}

impl ClaimSettlement {
    /// Creates the settlement of a row that the table holds with version `expected`, if
    /// known.
    #[must_use]
    pub fn new(row: ClaimRow, expected: Option<u64>) -> Self {
        Self { row, expected, settled: false }
    }

    /// Returns the row to write.
    #[must_use]
    pub fn row(&self) -> &ClaimRow {
        &self.row
    }

    /// Returns the version that the next write expects; the outer `None` means that
    /// nothing more needs to be written.
    #[must_use]
    pub fn next_write(&self) -> Option<Option<u64>> {
        (!self.settled).then_some(self.expected)
    }

    /// Applies the table's reply to the last write.
    pub fn reply(&mut self, reply: &TableReply) {
        match reply {
            TableReply::Written { .. } => self.settled = true,
            TableReply::Found(Some((row, version))) => {
                let own = row.attempt == self.row.attempt;
                let open = match row.phase {
                    RowPhase::Held => own,
                    // A write of this attempt may be in flight that expects the released
                    // row of another attempt. It fails only if the row gets a new
                    // version.
                    RowPhase::Released => !own && self.row.phase == RowPhase::Released,
                    RowPhase::Done { .. } => false,
                };
                self.expected = Some(*version);
                self.settled = !open;
            }
            TableReply::Found(None) => {
                // If the outcome finds no row, the platform has expired it, and nothing
                // is written.
                self.expected = None;
                self.settled = self.row.phase != RowPhase::Released;
            }
            TableReply::NotDone | TableReply::NoAnswer => {}
        }
    }
}
