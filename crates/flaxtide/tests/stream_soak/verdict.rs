//! What callers got, compared with what the servers would have sent.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use super::backends::Backends;
use super::callers::Attempt;
use super::content::{Content, Framing};
use super::process::EntryProcess;

/// Whatever has been undisturbed for so long is in touch.
pub(crate) const STABLE: Duration = Duration::from_secs(3);

/// What refuses a request that hasn't run and never will.
const REFUSALS: [u16; 4] = [408, 421, 429, 503];

/// What was played.
pub(crate) struct Played {
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) backends: Backends,
    pub(crate) instances: Vec<EntryProcess>,
    /// From when until when nothing happened to anything.
    pub(crate) calm: (Instant, Instant),
}

impl Played {
    /// Prints all faults. Returns whether there are none.
    pub(crate) fn check(&self, seed: u64) -> bool {
        let mut faults: Vec<String> = vec![];
        let runs = self.count_runs();
        let mut calm: BTreeMap<Framing, usize> = BTreeMap::new();
        for attempt in &self.attempts {
            let fault = fault_of_answer(attempt)
                .or_else(|| fault_of_runs(attempt, &runs))
                .or_else(|| self.fault_in_calm(attempt));
            faults.extend(fault.map(|fault| format!("{fault}: {}", describe(attempt))));
            if self.is_calm(attempt) && attempt.is_complete() {
                *calm.entry(self.framing(attempt)).or_default() += 1;
            }
        }
        let own_ends: usize = self.instances.iter().map(|one| one.own_ends).sum();
        if own_ends > 0 {
            faults.push(format!("{own_ends} processes ended by themselves"));
        }
        if calm.is_empty() {
            faults.push("nothing arrived in the calm".into());
        }
        let attempts = self.attempts.iter();
        println!(
            "seed {seed}: {} attempts, {} by HTTP/1.0, {} complete, {} broken, {} taken up; \
             in the calm {calm:?}; {} faults",
            self.attempts.len(),
            attempts.clone().filter(|attempt| attempt.is_old).count(),
            attempts.clone().filter(|attempt| attempt.is_complete()).count(),
            attempts.clone().filter(|attempt| attempt.is_broken()).count(),
            attempts.clone().filter(|attempt| attempt.last.is_some()).count(),
            faults.len()
        );
        faults.iter().for_each(|fault| println!("seed {seed}: {fault}"));
        faults.is_empty()
    }

    /// Returns how often each attempt has run.
    fn count_runs(&self) -> HashMap<String, usize> {
        let mut runs = HashMap::new();
        for line in std::fs::read_to_string(&self.backends.runs).unwrap().lines() {
            let id = line.split(' ').next().unwrap_or_default();
            *runs.entry(id.to_owned()).or_default() += 1;
        }
        runs
    }

    /// Returns whether nothing happened to anything during an attempt and for a time before it.
    fn is_calm(&self, attempt: &Attempt) -> bool {
        attempt.span.0 >= self.calm.0 && attempt.span.1 <= self.calm.1
    }

    /// Returns whether nothing happened to the instances and the server of an answer.
    fn is_undisturbed(&self, attempt: &Attempt) -> bool {
        let (from, until) = attempt.span;
        let mut instances = self.instances.iter();
        instances.all(|one| one.was_stable(from, STABLE) && one.was_stable(until, STABLE))
            && self.backends.was_well(server_of(attempt), attempt.span, STABLE)
    }

    /// Returns what is wrong with an answer that nothing disturbed.
    fn fault_in_calm(&self, attempt: &Attempt) -> Option<&'static str> {
        if attempt.last.is_some() || attempt.is_complete() {
            return None;
        }
        if self.is_calm(attempt) {
            return Some("not served in the calm");
        }
        let is_broken = attempt.is_broken() && self.is_undisturbed(attempt);
        is_broken.then_some("broken, though nothing happened to its server")
    }

    /// Returns how the server framed an answer.
    fn framing(&self, attempt: &Attempt) -> Framing {
        Framing::draw(&attempt.path, server_of(attempt), self.backends.is_unframed)
    }
}

/// Describes an attempt and what came of it.
fn describe(attempt: &Attempt) -> String {
    let Attempt { id, path, is_old, last, span, answer } = attempt;
    let version = if *is_old { "1.0" } else { "1.1" };
    let (status, whole, text) = (answer.status, answer.whole, answer.text());
    let (server, span) = (server_of(attempt), span.1 - span.0);
    format!(
        "{id} {path} HTTP/{version} after {last:?}: {status} from {server} in {span:?}, \
         complete {whole}, {text:?}"
    )
}

/// Returns the name of the server that began an answer.
fn server_of(attempt: &Attempt) -> &str {
    attempt.answer.seal().unwrap_or_default()
}

/// Returns what is wrong with an answer, whatever happened.
fn fault_of_answer(attempt: &Attempt) -> Option<&'static str> {
    if attempt.answer.status != 200 {
        return None;
    }
    let content = Content::of(&attempt.path);
    let expected = content.pieces_after(attempt.last.as_deref()).concat();
    let expected = content.normalise(&expected);
    let got = content.normalise(&attempt.answer.text());
    if !attempt.answer.is_sealed() {
        Some("no server vouches for it")
    } else if !expected.starts_with(&got) {
        Some("out of order")
    } else if attempt.is_complete() && got != expected {
        Some("broken, and looks complete")
    } else {
        None
    }
}

/// Returns what is wrong with how often an attempt has run that may run once only.
fn fault_of_runs(
    attempt: &Attempt,
    runs: &HashMap<String, usize>,
) -> Option<&'static str> {
    if !attempt.path.starts_with("/book/") && !attempt.path.starts_with("/draft/") {
        return None;
    }
    match runs.get(&attempt.id) {
        Some(count) if *count > 1 => Some("ran twice"),
        Some(_) if REFUSALS.contains(&attempt.answer.status) => Some("refused, and ran"),
        _ => None,
    }
}
