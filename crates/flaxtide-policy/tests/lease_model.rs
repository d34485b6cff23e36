//! The lease against a model of the store: any order, loss and delay of calls, freezes, restarts
//! and restores. All states of three instances are walked to a depth, and longer runs are drawn.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use flaxtide_policy::{LeaseRow, LeaseStep, LeaseTiming, LeaseWatch};
use proptest::prelude::*;

/// How far time moves in a step.
const STEP: Duration = Duration::from_secs(1);

/// The era's place in a fencing number.
const ERA_BITS: u32 = 32;

/// A write under way, which the store may carry out late or never.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct LateWrite {
    expected: Option<u64>,
    holder: String,
    fence: u64,
    released: bool,
    era: u64,
}

/// The store, and three instances.
#[derive(Debug, Clone)]
struct World {
    row: Option<(LeaseRow, u64)>,
    next_version: u64,
    era: u64,
    /// A copy of the row from before.
    copy: Option<(LeaseRow, u64)>,
    late: Vec<LateWrite>,
    watches: Vec<LeaseWatch>,
    lives: Vec<u32>,
    now: Duration,
    /// Who has used each number, and the highest that was used.
    used: BTreeMap<u64, usize>,
    highest: u64,
    /// The last uses of a number: who and when.
    uses: Vec<(usize, Duration)>,
}

/// What may happen.
#[derive(Debug, Clone, Copy)]
enum Happening {
    /// Time passes.
    Tick,
    /// An instance looks, takes or renews; its write is answered.
    Turn(usize),
    /// The same, and the answer of a write that is carried out is lost.
    LoseAnswer(usize),
    /// The same, and the write is carried out late, or never.
    Delay(usize),
    /// The oldest late write is carried out, if its condition still holds.
    Arrive,
    /// An instance uses its number.
    Act(usize),
    /// An instance starts anew.
    Restart(usize),
    /// An instance takes a higher number.
    Renumber(usize),
    /// An instance gives the lease up.
    Release(usize),
    /// The store keeps a copy.
    Copy,
    /// The store comes back from its copy, in a new era.
    Restore,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            row: None,
            next_version: 1,
            era: 0,
            copy: None,
            late: vec![],
            watches: vec![],
            lives: vec![0; 3],
            now: Duration::ZERO,
            used: BTreeMap::new(),
            highest: 0,
            uses: vec![],
        };
        world.watches = (0..3).map(|index| world.start(index)).collect();
        world
    }

    fn start(&self, index: usize) -> LeaseWatch {
        let name = format!("{index} {}", self.lives[index]);
        LeaseWatch::new(name, timing(), self.now)
    }

    /// Carries a write out if its condition holds. Returns the new version.
    fn carry_out(&mut self, write: &LateWrite) -> Option<u64> {
        let version = self.row.as_ref().map(|(_, version)| *version);
        if version != write.expected || write.era != self.era {
            return None;
        }
        let row = LeaseRow {
            holder: write.holder.clone(),
            fence: write.fence,
            released: write.released,
        };
        let version = self.next_version;
        self.next_version += 1;
        self.row = Some((row, version));
        Some(version)
    }

    fn turn(&mut self, index: usize, answered: bool, carried_out: bool) {
        let now = self.now;
        if self.watches[index].step(now) == LeaseStep::Read {
            self.watches[index].raise_min_fence(self.era << ERA_BITS);
            let row = self.row.clone();
            self.watches[index].record_read(row, now);
        }
        let LeaseStep::Write { expected, row } = self.watches[index].step(now) else {
            return;
        };
        let write = LateWrite {
            expected,
            holder: row.holder.clone(),
            fence: row.fence,
            released: row.released,
            era: self.era,
        };
        if !carried_out {
            self.late.push(write);
            self.late.truncate(3);
            self.watches[index].record_write(&row, None, now);
            return;
        }
        let version = self.carry_out(&write).filter(|_| answered);
        self.watches[index].record_write(&row, version, now);
    }

    fn play(&mut self, happening: Happening) {
        match happening {
            Happening::Tick => self.now += STEP,
            Happening::Turn(index) => self.turn(index, true, true),
            Happening::LoseAnswer(index) => self.turn(index, false, true),
            Happening::Delay(index) => self.turn(index, false, false),
            Happening::Arrive => {
                if !self.late.is_empty() {
                    let write = self.late.remove(0);
                    self.carry_out(&write);
                }
            }
            Happening::Act(index) => self.act(index),
            Happening::Restart(index) => {
                self.lives[index] += 1;
                self.watches[index] = self.start(index);
            }
            Happening::Renumber(index) => self.watches[index].advance_fence(),
            Happening::Release(index) => self.watches[index].release(),
            Happening::Copy => self.copy.clone_from(&self.row),
            Happening::Restore => {
                self.row.clone_from(&self.copy);
                self.era += 1;
                // Versions are given out again, but none is taken for one of the era before.
                self.next_version += 1000;
                if let Some((_, version)) = &mut self.row {
                    *version = self.next_version;
                    self.next_version += 1;
                }
            }
        }
    }

    /// Has an instance use its number, and checks that it may.
    fn act(&mut self, index: usize) {
        let Some(fence) = self.watches[index].fence(self.now, true) else { return };
        let user = *self.used.entry(fence).or_insert(index);
        assert_eq!(user, index, "two holders of number {fence}");
        if fence < self.highest {
            // The platform refuses it; only a store that came back from a copy brings that about.
            assert!(self.era > 0, "number {fence} after {}", self.highest);
            self.watches[index].record_lost();
            return;
        }
        self.highest = fence;
        self.uses.push((index, self.now));
        let before = self.uses.iter().rev().find(|(other, _)| *other != index);
        if let Some((other, at)) = before.copied() {
            let earlier = self.uses.iter().any(|(who, when)| *who == index && *when < at);
            let back = earlier && other != index;
            assert!(!back || self.allowed_back(index, at), "{index} is back");
        }
    }

    /// Returns whether an instance may act again after another has at a time.
    fn allowed_back(&self, index: usize, _other: Duration) -> bool {
        // Between its last act before the other's and now lies a whole term at least.
        let mut uses = self.uses.iter().rev().skip_while(|(who, _)| *who == index);
        let Some(_) = uses.next() else { return true };
        let last = uses.find(|(who, _)| *who == index);
        last.is_none_or(|(_, when)| self.now >= *when + timing().term)
    }

    /// Returns what tells this state from others.
    fn state(&self) -> String {
        format!(
            "{:?}{:?}{:?}{:?}{:?}{:?}",
            self.row, self.copy, self.late, self.watches, self.now, self.highest
        )
    }
}

fn timing() -> LeaseTiming {
    LeaseTiming {
        term: Duration::from_secs(4),
        poll_period: STEP,
        check_period: STEP,
        longest_delivery: STEP,
    }
}

#[test]
fn no_state_within_reach_has_two_holders_of_a_number() {
    // Every order of what two instances do, with lost answers, late writes and restarts.
    const DEPTH: usize = 9;
    const MOST_STATES: usize = 120_000;
    let mut happenings = vec![Happening::Tick, Happening::Arrive];
    for index in 0..2 {
        happenings.extend([
            Happening::Turn(index),
            Happening::LoseAnswer(index),
            Happening::Delay(index),
            Happening::Act(index),
        ]);
    }
    happenings.push(Happening::Restart(0));
    let mut seen = HashSet::new();
    let mut edge = vec![World::new()];
    for _ in 0..DEPTH {
        let mut next = vec![];
        for world in &edge {
            for happening in &happenings {
                let mut world = world.clone();
                world.play(*happening);
                if seen.len() < MOST_STATES && seen.insert(world.state()) {
                    next.push(world);
                }
            }
        }
        edge = next;
    }
    assert!(seen.len() > 10_000, "{} states", seen.len());
}

/// Draws what happens; time passes often.
fn any_happening() -> impl Strategy<Value = Happening> {
    let index = 0usize..3;
    prop_oneof![
        8 => Just(Happening::Tick),
        12 => index.clone().prop_map(Happening::Turn),
        2 => index.clone().prop_map(Happening::LoseAnswer),
        2 => index.clone().prop_map(Happening::Delay),
        1 => Just(Happening::Arrive),
        8 => index.clone().prop_map(Happening::Act),
        1 => index.clone().prop_map(Happening::Restart),
        1 => index.clone().prop_map(Happening::Renumber),
        1 => index.prop_map(Happening::Release),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn numbers_never_fall_and_have_one_holder(
        happenings in prop::collection::vec(any_happening(), 1..250),
    ) {
        let mut world = World::new();
        for happening in happenings {
            world.play(happening);
        }
    }

    #[test]
    fn a_store_from_a_copy_gives_no_number_to_two(
        before in prop::collection::vec(any_happening(), 1..80),
        between in prop::collection::vec(any_happening(), 1..60),
        after in prop::collection::vec(any_happening(), 1..120),
    ) {
        let mut world = World::new();
        let played = before.into_iter().chain([Happening::Copy]).chain(between);
        for happening in played.chain([Happening::Restore]).chain(after) {
            world.play(happening);
        }
    }
}

#[test]
fn a_holder_that_lost_its_lease_in_an_outage_of_the_store_takes_it_at_the_return() {
    let mut world = World::new();
    world.turn(0, true, true);
    world.now += timing().term * 2;
    assert_eq!(world.watches[0].fence(world.now, true), None);
    world.turn(0, true, true);
    assert_eq!(world.watches[0].fence(world.now, true), Some(2));
}

#[test]
fn a_released_lease_is_taken_at_the_next_look() {
    let mut world = World::new();
    world.turn(0, true, true);
    for _ in 0..6 {
        world.now += STEP;
        world.turn(0, true, true);
        world.turn(1, true, true);
    }
    world.play(Happening::Release(0));
    world.turn(0, true, true);
    assert!(world.watches[0].is_released(world.now));
    world.now += STEP;
    world.turn(1, true, true);
    assert_eq!(world.watches[1].fence(world.now, true), Some(2));
}

#[test]
fn a_holder_that_lapsed_does_not_follow_the_one_that_followed_it_within_a_term() {
    let mut world = World::new();
    // It renews the lease without learning so, acts, and isn't heard of any more.
    let lapses = [Happening::Turn(0), Happening::Tick, Happening::LoseAnswer(0)];
    let acts = [Happening::Turn(1), Happening::Tick, Happening::Act(0)];
    let taken_over = [Happening::Tick; 3];
    let released = [Happening::Turn(1), Happening::Act(1), Happening::Release(1)];
    let back = [Happening::Turn(1), Happening::Turn(0), Happening::Act(0)];
    for happening in [lapses, acts, taken_over, released, back].as_flattened() {
        world.play(*happening);
    }
    // Another instance may follow at once.
    assert_eq!(world.watches[0].fence(world.now, true), None);
    for _ in 0..2 {
        world.turn(2, true, true);
    }
    assert_eq!(world.watches[2].fence(world.now, true), Some(3));
}
