//! Explores all interleavings of two claim attempts with a table that loses replies and
//! applies writes late, and with a freeze at every step.

use std::collections::HashSet;

use flaxtide_policy::{
    ClaimAttempt, ClaimRow, ClaimSettlement, ClaimStep, RowPhase, TableReply,
};

/// The most faults in one interleaving.
const MAX_FAULTS: u8 = 3;

/// The row of the table with its version.
type Row = Option<(ClaimRow, u64)>;

/// A write in flight that may still take effect.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct PendingWrite {
    /// The version that the write expects.
    expected: Option<u64>,
    /// The row that it writes.
    row: ClaimRow,
}

/// One instance with its attempt.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Instance {
    /// The attempt at the claim.
    attempt: ClaimAttempt,
    /// The settlement of the attempt's row, once it has started.
    settlement: Option<ClaimSettlement>,
    /// Whether the instance has sent the request.
    sent: bool,
    /// Whether the instance has told its caller that the request hasn't run.
    told_not_run: bool,
    /// Whether the instance has nothing more to do, or was killed.
    ended: bool,
}

/// A state of the table and both instances.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    /// The row of the table.
    row: Row,
    /// The version of the last write.
    version: u64,
    /// The writes in flight.
    pending: Vec<PendingWrite>,
    /// The two instances.
    instances: Vec<Instance>,
    /// How often the request has run.
    runs: u8,
    /// How many faults may still happen.
    faults: u8,
}

impl State {
    /// Creates a table without a row and two attempts at the same request.
    fn new() -> Self {
        let instance = |attempt| Instance {
            attempt: ClaimAttempt::new(attempt, 1),
            settlement: None,
            sent: false,
            told_not_run: false,
            ended: false,
        };
        Self {
            row: None,
            version: 0,
            pending: vec![],
            instances: vec![instance(1), instance(2)],
            runs: 0,
            faults: MAX_FAULTS,
        }
    }

    /// Applies a write if its condition holds. Returns the table's reply.
    fn write(&mut self, expected: Option<u64>, row: ClaimRow) -> TableReply {
        if self.row.as_ref().map(|(_, version)| *version) != expected {
            return TableReply::Found(self.row.clone());
        }
        self.version += 1;
        self.row = Some((row, self.version));
        TableReply::Written { version: self.version }
    }

    /// Returns all states that can follow. A frozen instance is one that the other
    /// overtakes, so freezes are among the interleavings.
    fn successors(&self) -> Vec<Self> {
        let mut all = vec![];
        for index in 0..self.instances.len() {
            if !self.instances[index].ended {
                all.extend(self.advance(index));
            }
        }
        for index in 0..self.pending.len() {
            let mut late = self.clone();
            let write = late.pending.remove(index);
            late.write(write.expected, write.row);
            all.push(late);
            // Or it never takes effect.
            let mut lost = self.clone();
            lost.pending.remove(index);
            all.push(lost);
        }
        all
    }

    /// Returns the states that can follow the next step of one instance.
    fn advance(&self, index: usize) -> Vec<Self> {
        if let Some(settlement) = &self.instances[index].settlement {
            return self.settle(index, settlement);
        }
        let instance = &self.instances[index];
        match instance.attempt.step() {
            ClaimStep::Write { expected } => {
                let row = instance.attempt.row(RowPhase::Held);
                let replies = self.try_write(expected, &row);
                self.reply(index, replies)
            }
            ClaimStep::ReadBack => {
                let mut replies =
                    vec![(self.clone(), TableReply::Found(self.row.clone()))];
                replies.extend(
                    self.spend_fault().map(|state| (state, TableReply::NoAnswer)),
                );
                self.reply(index, replies)
            }
            ClaimStep::Send => {
                let mut sends = self.clone();
                sends.runs += 1;
                sends.instances[index].sent = true;
                let row = instance.attempt.row(RowPhase::Done { outcome: "done".into() });
                let version = instance.attempt.held_version();
                sends.instances[index].settlement =
                    Some(ClaimSettlement::new(row, version));
                // Or it was frozen and its deadline has passed when it wakes up.
                let mut gives_up = self.clone();
                gives_up.instances[index].attempt.abandon();
                // Or it is killed.
                let mut killed = self.clone();
                killed.instances[index].ended = true;
                vec![sends, gives_up, killed]
            }
            ClaimStep::Abandon => {
                let mut state = self.clone();
                let row = instance.attempt.row(RowPhase::Released);
                state.instances[index].settlement = Some(ClaimSettlement::new(row, None));
                state.instances[index].told_not_run = true;
                vec![state]
            }
            ClaimStep::Refuse => {
                let mut state = self.clone();
                state.instances[index].told_not_run = true;
                state.instances[index].ended = true;
                vec![state]
            }
            ClaimStep::HeldByOther | ClaimStep::Mismatch => {
                let mut state = self.clone();
                state.instances[index].ended = true;
                vec![state]
            }
            ClaimStep::Replay { outcome } => {
                assert_eq!(outcome, "done");
                assert_eq!(self.runs, 1, "an outcome was recorded without a run");
                let mut state = self.clone();
                state.instances[index].ended = true;
                vec![state]
            }
        }
    }

    /// Returns the states that can follow the next step of a settlement.
    fn settle(&self, index: usize, settlement: &ClaimSettlement) -> Vec<Self> {
        let Some(expected) = settlement.next_write() else {
            let mut state = self.clone();
            state.instances[index].ended = true;
            return vec![state];
        };
        let replies = self.try_write(expected, settlement.row());
        let settled = replies.into_iter().map(|(mut state, reply)| {
            if let Some(settlement) = &mut state.instances[index].settlement {
                settlement.reply(&reply);
            }
            state
        });
        settled.collect()
    }

    /// Returns the possible results of a write: the state of the table and the reply.
    fn try_write(
        &self,
        expected: Option<u64>,
        row: &ClaimRow,
    ) -> Vec<(Self, TableReply)> {
        let mut replies = vec![];
        let mut done = self.clone();
        let reply = done.write(expected, row.clone());
        replies.push((done.clone(), reply));
        if let Some(mut faulty) = done.spend_fault() {
            // The write took effect, but its reply is lost.
            replies.push((faulty.clone(), TableReply::NoAnswer));
            // The write may take effect later.
            faulty = self.spend_fault().unwrap_or(faulty);
            faulty.pending.push(PendingWrite { expected, row: row.clone() });
            replies.push((faulty, TableReply::NoAnswer));
        }
        if let Some(refused) = self.spend_fault() {
            replies.push((refused, TableReply::NotDone));
        }
        replies
    }

    /// Passes each reply to the attempt.
    fn reply(&self, index: usize, replies: Vec<(Self, TableReply)>) -> Vec<Self> {
        let taken = replies.into_iter().map(|(mut state, reply)| {
            state.instances[index].attempt.reply(reply);
            state
        });
        taken.collect()
    }

    /// Returns the state with one fault less to spend, if any is left.
    fn spend_fault(&self) -> Option<Self> {
        let faults = self.faults.checked_sub(1)?;
        Some(Self { faults, ..self.clone() })
    }

    /// Checks what must hold in every state.
    fn check(&self) {
        assert!(self.runs <= 1, "the request ran twice: {self:?}");
        for instance in &self.instances {
            assert!(
                !(instance.sent && instance.told_not_run),
                "a caller was told that a sent request has not run: {self:?}"
            );
        }
    }

    /// Checks what must hold in a state that nothing can follow.
    fn check_end(&self) {
        let killed = self.instances.iter().any(|instance| {
            instance.ended && instance.attempt.held_version().is_some() && !instance.sent
        });
        let held = matches!(&self.row, Some((row, _)) if row.phase == RowPhase::Held);
        assert!(killed || !held, "a row is held forever: {self:?}");
    }
}

#[test]
fn no_interleaving_runs_a_request_twice_or_holds_its_row_forever() {
    let mut seen = HashSet::new();
    let mut todo = vec![State::new()];
    let mut ends = 0;
    while let Some(state) = todo.pop() {
        if !seen.insert(state.clone()) {
            continue;
        }
        state.check();
        let next = state.successors();
        if next.is_empty() {
            state.check_end();
            ends += 1;
        }
        todo.extend(next);
    }
    assert!(seen.len() > 10_000 && ends > 100, "{} states, {ends} ends", seen.len());
}
