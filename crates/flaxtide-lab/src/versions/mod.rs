//! Instances that begin streams at several versions of a service and take up those of others,
//! on a manual clock and without a network: what they tell each other and keep in the platform's
//! table, and how long it takes.

mod asking;
mod keeping;
mod table;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use flaxtide_policy::{
    ServiceKey, StreamKey, VersionKey, VersionNote, VersionRegistry, VersionView,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use self::keeping::LabKeeper;
use self::table::LabStore;

/// The service of all streams.
const SERVICE: ServiceKey = 1;

/// How much the clock moves in a step.
const STEP: Duration = Duration::from_millis(50);

/// A list that is older isn't current.
const CURRENT_WITHIN: Duration = Duration::from_secs(2);

/// How long no streams begin at a new version.
const GRACE: Duration = Duration::from_millis(2500);

/// For how long a caller comes back to its stream.
const LIFE: Duration = Duration::from_secs(15);

/// How long an instance that was killed is down.
const DOWN: Duration = Duration::from_secs(1);

/// The number of replicas of an instance.
const REPLICAS: usize = 3;

/// What happens to a fleet.
#[derive(Debug, Clone)]
pub struct VersionPattern {
    /// The number of instances, which take turns in belonging to data centres.
    pub instances: usize,
    /// The number of data centres.
    pub data_centres: usize,
    /// The versions that are listed from a time on, each with the number of its servers.
    pub releases: Vec<(Duration, BTreeMap<VersionKey, usize>)>,
    /// When how large a fraction of the instances is killed.
    pub kills: Vec<(Duration, f64)>,
    /// From when until when these instances are cut off from all others and from the platform.
    pub cuts: Vec<(Duration, Duration, Vec<usize>)>,
    /// Whether versions and notes are kept in the platform's table.
    pub table: bool,
    /// From when until when the platform's store is away, with the list of servers.
    pub outages: Vec<(Duration, Duration)>,
    /// From when until when it doesn't answer for records and notes only.
    pub table_outages: Vec<(Duration, Duration)>,
    /// When it comes back from a copy, and how old the copy is.
    pub copies: Vec<(Duration, Duration)>,
    /// The streams that each instance begins in a second.
    pub streams_per_s: f64,
    /// How long is played.
    pub span: Duration,
}

/// What became of the streams that callers took up.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct VersionOutcome {
    /// Streams that went on at the version that began them.
    pub continued: u32,
    /// Streams that went on at another version.
    pub joined: u32,
    /// Streams that were refused because nobody knew their version.
    pub refused: u32,
    /// Streams that didn't go on, as the list has no server of their version any more.
    pub ended: u32,
    /// Notes that were sent to replicas.
    pub notes_sent: u64,
    /// Notes that were written to the platform's table.
    pub notes_kept: u64,
}

/// An instance.
struct LabInstance {
    registry: VersionRegistry,
    /// The versions that the instance has listed.
    listed: BTreeMap<VersionKey, usize>,
    /// How far its list lags behind, and up to when it is complete.
    lag: Duration,
    covered_until: Duration,
    /// Until when it is down.
    down_until: Duration,
    /// The notes that it hasn't sent yet.
    untold: Vec<VersionNote>,
    keeper: LabKeeper,
}

/// A stream whose caller is connected, or comes back.
struct LabStream {
    key: StreamKey,
    version: VersionKey,
    instance: usize,
    /// The data centre of its caller.
    place: usize,
    ends_at: Duration,
    /// When its caller comes back, after it was cut.
    back_at: Option<Duration>,
}

/// Plays a pattern.
#[must_use]
pub fn play_versions(pattern: &VersionPattern, seed: u64) -> VersionOutcome {
    let mut lab = VersionLab::new(pattern, seed);
    while lab.now < pattern.span {
        lab.step();
    }
    lab.outcome
}

/// A fleet that is played.
struct VersionLab<'a> {
    pattern: &'a VersionPattern,
    rng: SmallRng,
    now: Duration,
    instances: Vec<LabInstance>,
    streams: Vec<LabStream>,
    next_stream: StreamKey,
    next_process: u32,
    store: LabStore,
    outcome: VersionOutcome,
}

impl<'a> VersionLab<'a> {
    /// Creates a fleet that has run for a while with its first list.
    fn new(pattern: &'a VersionPattern, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let instance = |lag: u64| LabInstance {
            registry: VersionRegistry::default(),
            listed: BTreeMap::new(),
            lag: Duration::from_millis(lag),
            covered_until: Duration::ZERO,
            down_until: Duration::ZERO,
            untold: vec![],
            keeper: LabKeeper::new(0),
        };
        let lag = |_| instance(rng.random_range(0..1900));
        let instances = (0..pattern.instances).map(lag).collect();
        Self {
            pattern,
            rng,
            now: Duration::ZERO,
            instances,
            streams: vec![],
            next_stream: 0,
            next_process: 1,
            store: LabStore::new(pattern.instances),
            outcome: VersionOutcome::default(),
        }
    }

    /// Moves the clock.
    fn step(&mut self) {
        self.now += STEP;
        self.send_notes();
        self.read_lists();
        self.kill();
        self.use_table();
        self.begin_streams();
        self.take_up_streams();
        // A server that leaves finishes its streams first.
        self.streams.retain(|stream| self.now < stream.ends_at);
    }

    /// Returns whether an instance is up.
    fn is_up(&self, instance: usize) -> bool {
        self.now >= self.instances[instance].down_until
    }

    /// Returns which instances are cut off together with one.
    fn cut(&self, instance: usize) -> Option<&[usize]> {
        let cuts = self.pattern.cuts.iter();
        let mut cuts = cuts.filter(|(from, until, members)| {
            (*from..*until).contains(&self.now) && members.contains(&instance)
        });
        cuts.next().map(|(.., members)| members.as_slice())
    }

    /// Returns whether two instances reach each other.
    fn reaches(&self, one: usize, other: usize) -> bool {
        let members = self.cut(one).or(self.cut(other));
        self.is_up(other)
            && members
                .is_none_or(|members| members.contains(&one) == members.contains(&other))
    }

    /// Returns the data centre of an instance.
    fn place(&self, instance: usize) -> usize {
        instance % self.pattern.data_centres
    }

    /// Lets instances read the list, each with its lag.
    fn read_lists(&mut self) {
        for index in 0..self.instances.len() {
            if !self.is_up(index) || self.cut(index).is_some() || self.is_store_away() {
                continue;
            }
            let lag = self.instances[index].lag;
            let until = self.now.saturating_sub(lag);
            let mut releases = self.pattern.releases.iter();
            let newest = releases.rfind(|(at, _)| *at <= until);
            let Some((_, listed)) = newest else { continue };
            let now = self.now;
            let instance = &mut self.instances[index];
            instance.covered_until = until;
            instance.listed.clone_from(listed);
            if instance.registry.set_listed(SERVICE, listed, now) {
                let notes = instance.registry.own_notes(now);
                let streams: Vec<StreamKey> =
                    notes.iter().map(|note| note.stream).collect();
                instance.keeper.log.add(&streams);
                instance.untold.extend(notes);
            }
        }
    }

    /// Sends notes to the replicas of each instance.
    fn send_notes(&mut self) {
        for index in 0..self.instances.len() {
            let notes = std::mem::take(&mut self.instances[index].untold);
            if notes.is_empty() || !self.is_up(index) {
                continue;
            }
            for replica in self.replicas(index) {
                self.outcome.notes_sent += notes.len() as u64;
                let now = self.now;
                self.instances[replica].registry.note_told(&notes, now);
            }
        }
    }

    /// Returns the replicas of an instance: one of its data centre, one of another, and the next.
    fn replicas(&self, index: usize) -> Vec<usize> {
        let count = self.instances.len();
        let others = (1..count).map(|step| (index + step) % count);
        let reached: Vec<usize> =
            others.filter(|other| self.reaches(index, *other)).collect();
        let is_near = |other: &usize| self.place(*other) == self.place(index);
        let near = reached.iter().copied().find(is_near);
        let far = reached.iter().copied().find(|other| !is_near(other));
        let mut replicas: BTreeSet<usize> = near.into_iter().chain(far).collect();
        replicas
            .extend(reached.into_iter().take(REPLICAS.saturating_sub(replicas.len())));
        replicas.into_iter().collect()
    }

    /// Kills instances: their streams are cut, and they forget everything.
    fn kill(&mut self) {
        let due: Vec<f64> = self
            .pattern
            .kills
            .iter()
            .filter(|(at, _)| *at <= self.now && self.now < *at + STEP)
            .map(|(_, fraction)| *fraction)
            .collect();
        for fraction in due {
            for index in 0..self.instances.len() {
                if !self.rng.random_bool(fraction) {
                    continue;
                }
                let back_at = |rng: &mut SmallRng| rng.random_range(20..500);
                for stream in &mut self.streams {
                    if stream.instance == index && stream.back_at.is_none() {
                        let wait = Duration::from_millis(back_at(&mut self.rng));
                        stream.back_at = Some(self.now + wait);
                    }
                }
                let instance = &mut self.instances[index];
                instance.registry = VersionRegistry::default();
                instance.listed.clear();
                instance.untold.clear();
                instance.covered_until = Duration::ZERO;
                instance.down_until = self.now + DOWN;
                instance.keeper = LabKeeper::new(self.next_process);
                self.next_process += 1;
            }
        }
    }

    /// Begins streams at all instances.
    fn begin_streams(&mut self) {
        let per_step = self.pattern.streams_per_s * STEP.as_secs_f64();
        for index in 0..self.instances.len() {
            let is_ready = self.is_up(index) && self.is_ready(index);
            if !is_ready
                || self.is_unread(index)
                || !self.rng.random_bool(per_step.min(1.0))
            {
                continue;
            }
            let now = self.now;
            let instance = &self.instances[index];
            let settling = instance.registry.settling(SERVICE, GRACE, now);
            let listed = instance.listed.iter();
            let usable = listed.filter(|(version, _)| !settling.contains(version));
            let servers = usable.flat_map(|(version, count)| vec![*version; *count]);
            let servers: Vec<VersionKey> = servers.collect();
            if servers.is_empty() {
                continue;
            }
            let version = servers[self.rng.random_range(0..servers.len())];
            let key = self.next_stream;
            self.next_stream += 1;
            let lasts = Duration::from_millis(self.rng.random_range(200..3000));
            self.streams.push(LabStream {
                key,
                version,
                instance: index,
                place: self.place(index),
                ends_at: now + lasts.max(Duration::from_secs(1)),
                back_at: None,
            });
            self.note(index, key, version);
        }
    }

    /// Notes a stream at an instance that serves it.
    fn note(&mut self, index: usize, stream: StreamKey, version: VersionKey) {
        let now = self.now;
        let instance = &mut self.instances[index];
        instance.registry.note_own(stream, version, LIFE, now);
        if instance.registry.view(SERVICE, now) == VersionView::Several {
            let life_s = LIFE.as_secs() as u16;
            instance.untold.push(VersionNote { stream, version, life_s });
            instance.keeper.log.add(&[stream]);
        }
    }

    /// Lets callers come back to an instance of their data centre, or to any if none is up. Those
    /// of other data centres don't reach instances that are cut off.
    fn take_up_streams(&mut self) {
        for position in 0..self.streams.len() {
            let stream = &self.streams[position];
            if stream.back_at.is_none_or(|at| self.now < at) {
                continue;
            }
            let (key, version, place) = (stream.key, stream.version, stream.place);
            let is_reached = |index: &usize| {
                self.is_up(*index)
                    && self.is_ready(*index)
                    && (self.place(*index) == place || self.cut(*index).is_none())
            };
            let up: Vec<usize> = (0..self.instances.len()).filter(is_reached).collect();
            let near = up.iter().copied();
            let near: Vec<usize> =
                near.filter(|index| self.place(*index) == place).collect();
            let usable = if near.is_empty() { up } else { near };
            if usable.is_empty() {
                continue;
            }
            let index = usable[self.rng.random_range(0..usable.len())];
            self.streams[position].back_at = None;
            self.streams[position].instance = index;
            let is_served = self.instances[index].listed.contains_key(&version);
            match self.decide(index, key).version() {
                Some(bound) if bound != version => self.outcome.joined += 1,
                _ if !is_served => self.outcome.ended += 1,
                Some(_) => {
                    self.outcome.continued += 1;
                    self.note(index, key, version);
                }
                None => {
                    self.outcome.refused += 1;
                    self.streams[position].ends_at = self.now;
                }
            }
        }
    }
}
