//! What has become of the streams of a soak.

use std::time::{Duration, Instant};

use super::callers::{Attempt, StreamRecord};
use super::process::EntryProcess;
use super::servers::VersionedServers;

/// An instance that has run undisturbed for this long is in touch with its peers and the store.
const STABLE: Duration = Duration::from_secs(3);

/// Servers are listed for so long before and after a stream is taken up in a calm.
const LISTED: Duration = Duration::from_secs(2);

/// For how long nothing happens after some kills.
pub(crate) const CALM: Duration = Duration::from_secs(3);

/// From so many resumed streams on, their share that goes on is judged.
const JUDGED: usize = 12;

/// A kill of all instances or of nine in ten.
pub(crate) struct MassKill {
    at: Instant,
    /// When they were killed for the last time, if again while they started.
    pub(crate) last: Instant,
    /// From when on all were ready and nothing else happened, and until when.
    pub(crate) calm: Option<(Instant, Instant)>,
}

impl MassKill {
    /// A kill that happens now.
    pub(crate) fn new() -> Self {
        let at = Instant::now();
        Self { at, last: at, calm: None }
    }
}

/// What was played.
pub(crate) struct Played {
    pub(crate) streams: Vec<StreamRecord>,
    pub(crate) servers: VersionedServers,
    pub(crate) instances: Vec<EntryProcess>,
    pub(crate) faults: Vec<(Instant, Instant)>,
    pub(crate) kills: Vec<MassKill>,
}

/// How many were tried, and how many of these went on.
#[derive(Debug, Default, Clone, Copy)]
struct Tally {
    tried: usize,
    gone_on: usize,
}

impl Tally {
    /// Counts one.
    fn add(&mut self, has_gone_on: bool) {
        self.tried += 1;
        self.gone_on += usize::from(has_gone_on);
    }

    /// Returns the share that went on.
    fn share(&self) -> f64 {
        self.gone_on as f64 / self.tried.max(1) as f64
    }

    /// Returns whether under half as large a share goes on as of new streams.
    fn is_refused(&self, new: Self) -> bool {
        self.tried >= JUDGED && self.share() < new.share() / 2.0
    }
}

impl Played {
    /// Prints all faults. Returns whether there are none.
    pub(crate) fn check(&self, seed: u64) -> bool {
        let mut faults: Vec<String> =
            self.streams.iter().filter_map(fault_of_stream).collect();
        let (new, resumed) = self.count_in_touch();
        if resumed.is_refused(new) {
            faults.push(format!("refused: {resumed:?}, {new:?} of new streams"));
        }
        let (new_after, taken_up) = self.count_after_kills();
        if taken_up.is_refused(new_after) {
            let text = format!("{taken_up:?}, {new_after:?} of new streams");
            faults.push(format!("refused after kills of all: {text}"));
        }
        let own_ends: usize = self.instances.iter().map(|one| one.own_ends).sum();
        if own_ends > 0 {
            faults.push(format!("{own_ends} processes ended by themselves"));
        }
        println!(
            "seed {seed}: {} streams, {} kills of most; in touch new {new:?}, resumed {resumed:?}; \
             after kills new {new_after:?}, resumed {taken_up:?}; {} faults",
            self.streams.len(),
            self.kills.len(),
            faults.len()
        );
        faults.iter().for_each(|fault| println!("seed {seed}: {fault}"));
        faults.is_empty()
    }

    /// Counts first and later attempts at instances in touch.
    fn count_in_touch(&self) -> (Tally, Tally) {
        let is_judged = |attempt: &&Attempt| {
            let instance = self.instances.iter().find(|one| one.ip == attempt.ip);
            instance.is_some_and(|one| one.was_stable(attempt.at, STABLE))
                && self.store_served(attempt.at, attempt.at + LISTED)
        };
        let (mut new, mut resumed) = (Tally::default(), Tally::default());
        for stream in &self.streams {
            let first = stream.attempts.first().filter(is_judged);
            first.into_iter().for_each(|attempt| new.add(attempt.has_events()));
            if !self.is_unwritten(stream) {
                let later = stream.resumed_at_known_versions(&self.servers, STABLE);
                let later = later.into_iter().filter(is_judged);
                later.for_each(|attempt| resumed.add(attempt.has_events()));
            }
        }
        (new, resumed)
    }

    /// Counts streams that began and that were taken up in the calm after kills of all.
    fn count_after_kills(&self) -> (Tally, Tally) {
        let (mut new, mut taken_up) = (Tally::default(), Tally::default());
        for kill in &self.kills {
            let Some((ready, until)) = kill.calm else { continue };
            for stream in &self.streams {
                let first = stream.attempts.first().map(|attempt| attempt.at);
                if first.is_some_and(|at| at >= ready && at < until) {
                    new.add(has_gone_on(stream, ready, until));
                }
                if self.is_judged_after(kill, stream, ready, until) {
                    taken_up.add(has_gone_on(stream, kill.at, until));
                }
            }
        }
        (new, taken_up)
    }

    /// Returns whether a stream was begun and written before a kill, and taken up in the calm after
    /// it while its version served.
    fn is_judged_after(
        &self,
        kill: &MassKill,
        stream: &StreamRecord,
        ready: Instant,
        until: Instant,
    ) -> bool {
        let tried = stream.attempts.iter().find(|attempt| {
            let is_judged =
                attempt.at >= ready || attempt.at >= kill.last && attempt.has_events();
            is_judged && attempt.at < until && attempt.can_go_on()
        });
        let Some(tried) = tried.map(|attempt| attempt.at) else { return false };
        stream.begun().is_some_and(|begun| {
            begun < kill.at
                && self.store_served(begun, until)
                && stream
                    .versions()
                    .iter()
                    .all(|one| self.servers.serves(one, tried, LISTED))
        })
    }

    /// Returns whether the store was away when a stream began, or until a kill of all.
    fn is_unwritten(&self, stream: &StreamRecord) -> bool {
        let Some(begun) = stream.begun() else { return false };
        let mut kills = self.kills.iter().filter(|kill| begun < kill.last);
        kills.any(|kill| !self.store_served(begun, kill.last))
    }

    /// Returns whether the store was there in a span and for a time before it.
    fn store_served(&self, from: Instant, until: Instant) -> bool {
        let mut faults = self.faults.iter();
        faults.all(|fault| until < fault.0 || fault.1 + STABLE < from)
    }
}

/// Returns whether an attempt at a stream in a span brought events.
fn has_gone_on(stream: &StreamRecord, from: Instant, until: Instant) -> bool {
    let mut attempts = stream.attempts.iter();
    attempts
        .any(|attempt| attempt.at >= from && attempt.at < until && attempt.has_events())
}

/// Returns what is wrong with a stream.
fn fault_of_stream(stream: &StreamRecord) -> Option<String> {
    let fault = if stream.versions().len() > 1 {
        "joined"
    } else if !stream.is_in_order() {
        "out of order"
    } else if stream.attempts.iter().any(Attempt::is_falsely_whole) {
        "broken, and looks complete"
    } else {
        return None;
    };
    Some(format!("{fault}: {stream:?}"))
}
