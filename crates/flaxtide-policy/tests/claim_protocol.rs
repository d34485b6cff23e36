//! The claim protocol over all interleavings of two attempts, a table that loses answers
//! and lets writes take effect late, and a freeze at every step.

use std::collections::HashSet;

use flaxtide_policy::{
    ClaimAttempt, ClaimRow, ClaimSettlement, ClaimStep, RowPhase, TableReply,
};

/// How many faults one history may have.
const FAULTS: u8 = 3;

/// The table's row with its version.
type Row = Option<(ClaimRow, u64)>;

/// A write that is under way and may still take effect.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct OpenWrite {
    /// The version that it expects.
    expected: Option<u64>,
    /// The row.
    row: ClaimRow,
}

/// One instance with its attempt.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Instance {
    /// The attempt.
    attempt: ClaimAttempt,
    /// What it still settles.
    settlement: Option<ClaimSettlement>,
    /// Whether it has sent the request.
    sent: bool,
    /// Whether its caller was told that it hasn't run.
    told_not_run: bool,
    /// Whether it has nothing more to do.
    over: bool,
}

/// A state of the whole.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    /// The table's row.
    row: Row,
    /// The version of the last write.
    version: u64,
    /// Writes that are under way.
    open: Vec<OpenWrite>,
    /// The two instances.
    instances: Vec<Instance>,
    /// How often the request has run.
    runs: u8,
    /// How many faults may still happen.
    faults: u8,
}

impl State {
    /// Starts with no row and two attempts at the same request.
    fn new() -> Self {
        let instance = |attempt| Instance {
            attempt: ClaimAttempt::new(attempt, 1),
            settlement: None,
            sent: false,
            told_not_run: false,
            over: false,
        };
        Self {
            row: None,
            version: 0,
            open: vec![],
            instances: vec![instance(1), instance(2)],
            runs: 0,
            faults: FAULTS,
        }
    }

    /// Has a write take effect, if its condition holds.
    fn write(&mut self, expected: Option<u64>, row: ClaimRow) -> TableReply {
        if self.row.as_ref().map(|(_, version)| *version) != expected {
            return TableReply::Found(self.row.clone());
        }
        self.version += 1;
        self.row = Some((row, self.version));
        TableReply::Written { version: self.version }
    }

    /// Returns every state that can follow. An instance that is frozen is one that others
    /// overtake, so freezes are among the interleavings.
    fn successors(&self) -> Vec<Self> {
        let mut all = vec![];
        for index in 0..self.instances.len() {
            if !self.instances[index].over {
                all.extend(self.advance(index));
            }
        }
        for place in 0..self.open.len() {
            let mut late = self.clone();
            let write = late.open.remove(place);
            late.write(write.expected, write.row);
            all.push(late);
            // Or it never takes effect.
            let mut lost = self.clone();
            lost.open.remove(place);
            all.push(lost);
        }
        all
    }

    /// Returns what can follow from one instance's next step.
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
                replies
                    .extend(self.with_fault().map(|state| (state, TableReply::NoAnswer)));
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
                // Its time may be over when it wakes up.
                let mut gives_up = self.clone();
                gives_up.instances[index].attempt.abandon();
                // Or it is killed.
                let mut killed = self.clone();
                killed.instances[index].over = true;
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
                state.instances[index].over = true;
                vec![state]
            }
            ClaimStep::HeldByOther | ClaimStep::Mismatch => {
                let mut state = self.clone();
                state.instances[index].over = true;
                vec![state]
            }
            ClaimStep::Replay { outcome } => {
                assert_eq!(outcome, "done");
                assert_eq!(self.runs, 1, "an outcome without a run");
                let mut state = self.clone();
                state.instances[index].over = true;
                vec![state]
            }
        }
    }

    /// Returns what can follow from a step of a settlement.
    fn settle(&self, index: usize, settlement: &ClaimSettlement) -> Vec<Self> {
        let Some(expected) = settlement.next_write() else {
            let mut state = self.clone();
            state.instances[index].over = true;
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

    /// Returns what can become of a write.
    fn try_write(
        &self,
        expected: Option<u64>,
        row: &ClaimRow,
    ) -> Vec<(Self, TableReply)> {
        let mut replies = vec![];
        let mut done = self.clone();
        let reply = done.write(expected, row.clone());
        replies.push((done.clone(), reply));
        if let Some(mut faulty) = done.with_fault() {
            // It took effect, but the answer is lost.
            replies.push((faulty.clone(), TableReply::NoAnswer));
            // It may take effect later.
            faulty = self.with_fault().unwrap_or(faulty);
            faulty.open.push(OpenWrite { expected, row: row.clone() });
            replies.push((faulty, TableReply::NoAnswer));
        }
        if let Some(refused) = self.with_fault() {
            replies.push((refused, TableReply::NotDone));
        }
        replies
    }

    /// Gives an attempt each of the replies.
    fn reply(&self, index: usize, replies: Vec<(Self, TableReply)>) -> Vec<Self> {
        let taken = replies.into_iter().map(|(mut state, reply)| {
            state.instances[index].attempt.reply(reply);
            state
        });
        taken.collect()
    }

    /// Returns the state with one fault less to come, if any may.
    fn with_fault(&self) -> Option<Self> {
        let faults = self.faults.checked_sub(1)?;
        Some(Self { faults, ..self.clone() })
    }

    /// Checks what must hold in every state.
    fn check(&self) {
        assert!(self.runs <= 1, "it ran twice: {self:?}");
        for instance in &self.instances {
            assert!(
                !(instance.sent && instance.told_not_run),
                "an untrue word: {self:?}"
            );
        }
    }

    /// Checks what must hold when nothing can follow.
    fn check_end(&self) {
        let killed = self.instances.iter().any(|instance| {
            instance.over && instance.attempt.held_version().is_some() && !instance.sent
        });
        let held = matches!(&self.row, Some((row, _)) if row.phase == RowPhase::Held);
        assert!(killed || !held, "a row is held for ever: {self:?}");
    }
}

#[test]
fn no_interleaving_runs_a_request_twice_or_holds_it_for_ever() {
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
