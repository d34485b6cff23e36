//! Tests the lease against a model of the store with reordered, lost and delayed calls,
//! restarts and restored backups. All events of two instances are explored to a limited
//! depth, and random sequences run with three.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use flaxtide_policy::{LeaseRow, LeaseStep, LeaseTiming, LeaseWatch};
use proptest::prelude::*;

/// How far time moves in one tick.
const STEP: Duration = Duration::from_secs(1);

/// The position of the store's era in a fencing token.
const ERA_BITS: u32 = 32;

/// A write in flight, which the store may apply late or never.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct DelayedWrite {
    expected: Option<u64>,
    holder: String,
    fence: u64,
    released: bool,
    era: u64,
}

/// The store and three instances.
#[derive(Debug, Clone)]
struct World {
    row: Option<(LeaseRow, u64)>,
    next_version: u64,
    era: u64,
    /// The row at the last backup.
    backup: Option<(LeaseRow, u64)>,
    delayed_writes: Vec<DelayedWrite>,
    watches: Vec<LeaseWatch>,
    incarnations: Vec<u32>,
    now: Duration,
    /// The instance that has used each fence, and the highest fence that was used.
    fence_users: BTreeMap<u64, usize>,
    highest_fence: u64,
    /// Every use of a fence, oldest first: the instance and the time.
    fence_uses: Vec<(usize, Duration)>,
}

/// An event in the model.
#[derive(Debug, Clone, Copy)]
enum ModelEvent {
    /// Time passes.
    Tick,
    /// An instance reads the row, or acquires or renews the lease, and its write is
    /// answered.
    Step(usize),
    /// As `Step`, but the reply to a write that is applied is lost.
    LoseReply(usize),
    /// As `Step`, but the write is delayed and applied later or never.
    DelayWrite(usize),
    /// The oldest delayed write is applied, if its condition still holds.
    DeliverWrite,
    /// An instance uses its fence.
    UseFence(usize),
    /// An instance restarts.
    Restart(usize),
    /// An instance takes a higher fence.
    AdvanceFence(usize),
    /// An instance releases the lease.
    Release(usize),
    /// The store makes a backup.
    Backup,
    /// The store is restored from the backup, in a new era.
    Restore,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            row: None,
            next_version: 1,
            era: 0,
            backup: None,
            delayed_writes: vec![],
            watches: vec![],
            incarnations: vec![0; 3],
            now: Duration::ZERO,
            fence_users: BTreeMap::new(),
            highest_fence: 0,
            fence_uses: vec![],
        };
        world.watches = (0..3).map(|index| world.new_watch(index)).collect();
        world
    }

    fn new_watch(&self, index: usize) -> LeaseWatch {
        let name = format!("{index} {}", self.incarnations[index]);
        LeaseWatch::new(name, timing(), self.now)
    }

    /// Applies a write if its condition holds. Returns the new version.
    fn apply_write(&mut self, write: &DelayedWrite) -> Option<u64> {
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

    fn step(&mut self, index: usize, answered: bool, applied: bool) {
        let now = self.now;
        if self.watches[index].step(now) == LeaseStep::Read {
            self.watches[index].record_used_fence(self.era << ERA_BITS);
            let row = self.row.clone();
            self.watches[index].record_read(row, now);
        }
        let LeaseStep::Write { expected, row } = self.watches[index].step(now) else {
            return;
        };
        let write = DelayedWrite {
            expected,
            holder: row.holder.clone(),
            fence: row.fence,
            released: row.released,
            era: self.era,
        };
        if !applied {
            self.delayed_writes.push(write);
            self.delayed_writes.truncate(3);
            self.watches[index].record_write(&row, None, now);
            return;
        }
        let version = self.apply_write(&write).filter(|_| answered);
        self.watches[index].record_write(&row, version, now);
    }

    fn apply(&mut self, event: ModelEvent) {
        match event {
            ModelEvent::Tick => self.now += STEP,
            ModelEvent::Step(index) => self.step(index, true, true),
            ModelEvent::LoseReply(index) => self.step(index, false, true),
            ModelEvent::DelayWrite(index) => self.step(index, false, false),
            ModelEvent::DeliverWrite => {
                if !self.delayed_writes.is_empty() {
                    let write = self.delayed_writes.remove(0);
                    self.apply_write(&write);
                }
            }
            ModelEvent::UseFence(index) => self.use_fence(index),
            ModelEvent::Restart(index) => {
                self.incarnations[index] += 1;
                self.watches[index] = self.new_watch(index);
            }
            ModelEvent::AdvanceFence(index) => self.watches[index].advance_fence(),
            ModelEvent::Release(index) => self.watches[index].release(),
            ModelEvent::Backup => self.backup.clone_from(&self.row),
            ModelEvent::Restore => {
                self.row.clone_from(&self.backup);
                self.era += 1;
                // A restored store may assign versions again, but never one that it
                // assigned in an earlier era.
                self.next_version += 1000;
                if let Some((_, version)) = &mut self.row {
                    *version = self.next_version;
                    self.next_version += 1;
                }
            }
        }
    }

    /// Makes an instance use its fence, and checks that it may.
    fn use_fence(&mut self, index: usize) {
        let Some(fence) = self.watches[index].fence(self.now, true) else { return };
        let user = *self.fence_users.entry(fence).or_insert(index);
        assert_eq!(user, index, "two holders of fence {fence}");
        if fence < self.highest_fence {
            // The platform refuses the fence. This can only happen after a restore.
            assert!(self.era > 0, "fence {fence} after {}", self.highest_fence);
            self.watches[index].record_lost();
            return;
        }
        self.highest_fence = fence;
        self.fence_uses.push((index, self.now));
        let before = self.fence_uses.iter().rev().find(|(other, _)| *other != index);
        if let Some((other, at)) = before.copied() {
            let earlier =
                self.fence_uses.iter().any(|(who, when)| *who == index && *when < at);
            let returned = earlier && other != index;
            assert!(
                !returned || self.may_return(index, at),
                "instance {index} returned too early"
            );
        }
    }

    /// Returns whether an instance may use a fence again after another instance has.
    fn may_return(&self, index: usize, _other: Duration) -> bool {
        // At least a term must have passed since its last use before the other
        // instance's.
        let mut uses = self.fence_uses.iter().rev().skip_while(|(who, _)| *who == index);
        let Some(_) = uses.next() else { return true };
        let last = uses.find(|(who, _)| *who == index);
        last.is_none_or(|(_, when)| self.now >= *when + timing().term)
    }

    /// Returns a key that is equal for equal states.
    fn state_key(&self) -> String {
        format!(
            "{:?}{:?}{:?}{:?}{:?}{:?}",
            self.row,
            self.backup,
            self.delayed_writes,
            self.watches,
            self.now,
            self.highest_fence
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
fn no_reachable_state_has_two_holders_of_a_fence() {
    // Explores every order of events of two instances, with lost replies, delayed writes
    // and restarts.
    const DEPTH: usize = 9;
    const MAX_STATES: usize = 120_000;
    let mut events = vec![ModelEvent::Tick, ModelEvent::DeliverWrite];
    for index in 0..2 {
        events.extend([
            ModelEvent::Step(index),
            ModelEvent::LoseReply(index),
            ModelEvent::DelayWrite(index),
            ModelEvent::UseFence(index),
        ]);
    }
    events.push(ModelEvent::Restart(0));
    let mut seen = HashSet::new();
    let mut frontier = vec![World::new()];
    for _ in 0..DEPTH {
        let mut next = vec![];
        for world in &frontier {
            for event in &events {
                let mut world = world.clone();
                world.apply(*event);
                if seen.len() < MAX_STATES && seen.insert(world.state_key()) {
                    next.push(world);
                }
            }
        }
        frontier = next;
    }
    assert!(seen.len() > 10_000, "{} states", seen.len());
}

/// Generates events; time passes often.
fn any_event() -> impl Strategy<Value = ModelEvent> {
    let index = 0usize..3;
    prop_oneof![
        8 => Just(ModelEvent::Tick),
        12 => index.clone().prop_map(ModelEvent::Step),
        2 => index.clone().prop_map(ModelEvent::LoseReply),
        2 => index.clone().prop_map(ModelEvent::DelayWrite),
        1 => Just(ModelEvent::DeliverWrite),
        8 => index.clone().prop_map(ModelEvent::UseFence),
        1 => index.clone().prop_map(ModelEvent::Restart),
        1 => index.clone().prop_map(ModelEvent::AdvanceFence),
        1 => index.prop_map(ModelEvent::Release),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn fences_never_decrease_and_have_one_holder(
        events in prop::collection::vec(any_event(), 1..250),
    ) {
        let mut world = World::new();
        for event in events {
            world.apply(event);
        }
    }

    #[test]
    fn a_restored_store_gives_no_fence_to_two_holders(
        before in prop::collection::vec(any_event(), 1..80),
        between in prop::collection::vec(any_event(), 1..60),
        after in prop::collection::vec(any_event(), 1..120),
    ) {
        let mut world = World::new();
        let played = before.into_iter().chain([ModelEvent::Backup]).chain(between);
        for event in played.chain([ModelEvent::Restore]).chain(after) {
            world.apply(event);
        }
    }
}

#[test]
fn a_lease_that_expired_in_a_store_outage_is_acquired_again_afterwards() {
    let mut world = World::new();
    world.step(0, true, true);
    world.now += timing().term * 2;
    assert_eq!(world.watches[0].fence(world.now, true), None);
    world.step(0, true, true);
    assert_eq!(world.watches[0].fence(world.now, true), Some(2));
}

#[test]
fn a_released_lease_is_acquired_at_the_next_read() {
    let mut world = World::new();
    world.step(0, true, true);
    for _ in 0..6 {
        world.now += STEP;
        world.step(0, true, true);
        world.step(1, true, true);
    }
    world.apply(ModelEvent::Release(0));
    world.step(0, true, true);
    assert!(world.watches[0].is_released(world.now));
    world.now += STEP;
    world.step(1, true, true);
    assert_eq!(world.watches[1].fence(world.now, true), Some(2));
}

#[test]
fn an_expired_holder_does_not_take_over_from_its_successor_within_a_term() {
    let mut world = World::new();
    // Instance 0 renews the lease without getting the reply, uses its fence and then
    // stops responding.
    let renewed_unknowingly =
        [ModelEvent::Step(0), ModelEvent::Tick, ModelEvent::LoseReply(0)];
    let expires = [ModelEvent::Step(1), ModelEvent::Tick, ModelEvent::UseFence(0)];
    let taken_over = [ModelEvent::Tick; 3];
    let released = [ModelEvent::Step(1), ModelEvent::UseFence(1), ModelEvent::Release(1)];
    let returns = [ModelEvent::Step(1), ModelEvent::Step(0), ModelEvent::UseFence(0)];
    for event in
        [renewed_unknowingly, expires, taken_over, released, returns].as_flattened()
    {
        world.apply(*event);
    }
    // A third instance may acquire the lease at once.
    assert_eq!(world.watches[0].fence(world.now, true), None);
    for _ in 0..2 {
        world.step(2, true, true);
    }
    assert_eq!(world.watches[2].fence(world.now, true), Some(3));
}
