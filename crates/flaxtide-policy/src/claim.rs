//! The claim protocol: a request with an idempotency key runs at most once.
//!
//! A [`ClaimAttempt`] is a pure state machine around one row of the platform's table. It
//! says what to do next, is told how the table replied, and lets the request be sent only
//! once the table is known to hold its row. Nobody takes a held row over by a time-out:
//! its holder may be frozen between the write and the send.
//!
//! An attempt that can't find out whether its row was written gives up for good and
//! releases the row: a row in the phase [`RowPhase::Released`] is written even where there
//! was none, so that a write which is still under way can't take effect later.

use flaxtide_core::AttemptId;
use serde::{Deserialize, Serialize};

/// How often an attempt writes or reads before it gives up.
const ATTEMPT_STEPS: u8 = 3;

/// What the table holds for one idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimRow {
    /// The attempt that wrote the row.
    pub attempt: AttemptId,
    /// The hash of the request's body.
    pub body_hash: u64,
    /// How far the attempt has come.
    pub phase: RowPhase,
}

/// How far the attempt that a row names has come.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RowPhase {
    /// It may send the request, or has sent it.
    Held,
    /// It never sent the request and never will.
    Released,
    /// It has its outcome.
    Done {
        /// The recorded answer.
        outcome: String,
    },
}

/// What an attempt does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimStep {
    /// Write the row if the table's row has this version; nothing means no row.
    Write {
        /// The version that must be found.
        expected: Option<u64>,
    },
    /// Read the row back.
    ReadBack,
    /// Send the request: this attempt alone may.
    Send,
    /// Refuse the request as not run, and release the row in the background.
    Abandon,
    /// Refuse the request as not run; there is nothing to release.
    Refuse,
    /// Another attempt holds the row: the request may have run.
    HeldByOther,
    /// Give the recorded answer.
    Replay {
        /// The recorded answer.
        outcome: String,
    },
    /// The key was used with another body.
    Mismatch,
}

/// How the table replied to a write or a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TableReply {
    /// The row was written, with this version.
    Written {
        /// The version.
        version: u64,
    },
    /// The table's row, with its version; from a write whose condition failed, or a read.
    Found(Option<(ClaimRow, u64)>),
    /// The table refused before doing anything.
    NotDone,
    /// No answer: the write may or may not take effect, now or later.
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
    /// The attempt's id.
    attempt: AttemptId,
    /// The hash of the request's body.
    body_hash: u64,
    /// What comes next.
    state: AttemptState,
    /// How many writes and reads are left.
    steps_left: u8,
    /// Whether a write without an answer may still take effect.
    write_open: bool,
}

/// The state of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum AttemptState {
    /// The row is to be written.
    Writing(Option<u64>),
    /// The row is to be read back.
    Reading,
    /// The table holds this attempt's row, with this version.
    Held(u64),
    /// The attempt is over.
    Over(OverReason),
}

/// Why an attempt is over.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum OverReason {
    /// It couldn't claim, and its write may be open.
    Abandoned,
    /// It couldn't claim, and has written nothing.
    Refused,
    /// Another attempt holds the row.
    Deferred,
    /// The outcome is recorded.
    Replayed(String),
    /// The key was used with another body.
    Mismatched,
}

impl ClaimAttempt {
    /// Starts an attempt.
    #[must_use]
    pub fn new(attempt: AttemptId, body_hash: u64) -> Self {
        Self {
            attempt,
            body_hash,
            state: AttemptState::Writing(None),
            steps_left: ATTEMPT_STEPS,
            write_open: false,
        }
    }

    /// Returns the row that the attempt writes.
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
            AttemptState::Over(reason) => match reason {
                OverReason::Abandoned => ClaimStep::Abandon,
                OverReason::Refused => ClaimStep::Refuse,
                OverReason::Deferred => ClaimStep::HeldByOther,
                OverReason::Replayed(outcome) => {
                    ClaimStep::Replay { outcome: outcome.clone() }
                }
                OverReason::Mismatched => ClaimStep::Mismatch,
            },
        }
    }

    /// Takes in how the table replied to the last step.
    pub fn reply(&mut self, reply: TableReply) {
        if !matches!(self.state, AttemptState::Writing(_) | AttemptState::Reading) {
            return;
        }
        let wrote = matches!(self.state, AttemptState::Writing(_));
        match reply {
            TableReply::Written { version } => self.state = AttemptState::Held(version),
            TableReply::Found(Some((row, version))) => self.found(row, version),
            TableReply::Found(None) => self.again(AttemptState::Writing(None)),
            TableReply::NotDone => {
                let state = self.state.clone();
                self.again(state);
            }
            TableReply::NoAnswer => {
                self.write_open |= wrote;
                self.again(AttemptState::Reading);
            }
        }
    }

    /// Gives up before the request is sent, because its time is over or the instance
    /// stops. An attempt that is over stays as it ended.
    pub fn abandon(&mut self) {
        if matches!(self.state, AttemptState::Over(_)) {
            return;
        }
        let open = self.write_open || matches!(self.state, AttemptState::Held(_));
        let reason = if open { OverReason::Abandoned } else { OverReason::Refused };
        self.state = AttemptState::Over(reason);
    }

    /// Decides by the row that the table holds.
    fn found(&mut self, row: ClaimRow, version: u64) {
        if row.attempt == self.attempt && row.phase == RowPhase::Held {
            self.state = AttemptState::Held(version);
            return;
        }
        if row.phase == RowPhase::Released {
            self.again(AttemptState::Writing(Some(version)));
            return;
        }
        let reason = match row.phase {
            _ if row.body_hash != self.body_hash => OverReason::Mismatched,
            RowPhase::Done { outcome } => OverReason::Replayed(outcome),
            RowPhase::Held | RowPhase::Released => OverReason::Deferred,
        };
        self.state = AttemptState::Over(reason);
    }

    /// Goes on to another write or read, if there are any left.
    fn again(&mut self, next: AttemptState) {
        if self.steps_left == 0 {
            self.abandon();
            return;
        }
        self.steps_left -= 1;
        self.state = next;
    }
}

/// The settlement of an attempt's row: moving it to its last phase, however often the
/// table fails to answer.
///
/// A release writes a row even where there is none. An outcome is only written over the
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
    /// The row in its last phase.
    row: ClaimRow,
    /// The version that the table's row is thought to have.
    expected: Option<u64>,
    /// Whether the row is settled.
    settled: bool,
}

impl ClaimSettlement {
    /// Starts to settle a row that the table holds with the version `expected`, if known.
    #[must_use]
    pub fn new(row: ClaimRow, expected: Option<u64>) -> Self {
        Self { row, expected, settled: false }
    }

    /// Returns the row to write.
    #[must_use]
    pub fn row(&self) -> &ClaimRow {
        &self.row
    }

    /// Returns the version that the next write expects; nothing once the row is settled.
    #[must_use]
    pub fn next_write(&self) -> Option<Option<u64>> {
        (!self.settled).then_some(self.expected)
    }

    /// Takes in how the table replied to the last write.
    pub fn reply(&mut self, reply: &TableReply) {
        match reply {
            TableReply::Written { .. } => self.settled = true,
            TableReply::Found(Some((row, version))) => {
                let own = row.attempt == self.row.attempt;
                let open = match row.phase {
                    RowPhase::Held => own,
                    // This attempt's write may still be under way to take over another
                    // one's released row: only a new version keeps it out.
                    RowPhase::Released => !own && self.row.phase == RowPhase::Released,
                    RowPhase::Done { .. } => false,
                };
                self.expected = Some(*version);
                self.settled = !open;
            }
            TableReply::Found(None) => {
                // An outcome without a row: the platform has dropped it by age.
                self.expected = None;
                self.settled = self.row.phase != RowPhase::Released;
            }
            TableReply::NotDone | TableReply::NoAnswer => {}
        }
    }
}
