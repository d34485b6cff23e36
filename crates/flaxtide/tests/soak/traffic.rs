//! Servers with small faults of their own, and callers that note what they get.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::Soak;
use crate::common::brittle::{BrittleLoad, LoadLimit};
use crate::common::caller::{Answer, prompted_request, request};
use crate::common::server::{
    NOT_RUN, SEAL, Script, Seen, Step, answer, chunk, event, event_text, stream_head,
};

/// The body of a request that crashes whatever runs it.
pub(crate) const CRASHING: &str = "crash";

/// The part that all prompts have, and one that crashes whatever answers it.
const COMMON_PART: u64 = 0x5c1e_07a2;
const BAD_PART: u64 = 0x91bd_3f06;

/// Returns whether a request has the part that crashes servers.
pub(crate) fn has_bad_part(seen: &Seen) -> bool {
    seen.shared_parts().contains(&Some(BAD_PART))
}

/// Spells a request with shared parts in its prompt, whose last part is its own.
fn prompted(path: &str, attempt: &str, body: &str, shared: &[u64]) -> String {
    let mut hasher = DefaultHasher::new();
    attempt.hash(&mut hasher);
    let parts = shared.iter().copied().chain([hasher.finish()]);
    let parts: Vec<String> = parts.map(|part| format!("{part:x}:200")).collect();
    prompted_request(path, attempt, body, &parts.join(","))
}

/// How many events a stream has.
const EVENTS: u64 = 6;

/// What a server does with a request, drawn from its attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ServerWhim {
    /// It resets the connection.
    Reset,
    /// It breaks its answer off.
    Cut,
    /// It fails.
    Failed,
    /// It refuses to run it.
    NotRun,
    /// It answers.
    Right,
}

/// Returns what servers do with an attempt.
pub(crate) fn whim(attempt: &str) -> ServerWhim {
    let mut hasher = DefaultHasher::new();
    attempt.hash(&mut hasher);
    match hasher.finish() % 50 {
        0 => ServerWhim::Reset,
        1 => ServerWhim::Cut,
        2 => ServerWhim::Failed,
        3 => ServerWhim::NotRun,
        _ => ServerWhim::Right,
    }
}

/// Returns what a right answer to an attempt says.
fn right_text(attempt: &str) -> String {
    format!("right {attempt}")
}

/// Servers that fail if they have to refuse many requests in a second, and say so.
#[derive(Debug)]
pub(crate) struct BrittleServers {
    /// From when on they fail.
    pub(crate) from: Instant,
    /// How often one has.
    pub(crate) falls: AtomicUsize,
    /// The attempts that were refused and not run, once for each time.
    pub(crate) refused: Mutex<Vec<String>>,
}

/// How many requests such a server runs, and how many wait there.
const BRITTLE_ROOM: LoadLimit = LoadLimit { slots: BRITTLE_SLOTS as usize, waiting: 1 };

/// The slots in its row.
pub(crate) const BRITTLE_SLOTS: u32 = 2;

/// How many refusals a second it bears.
const BRITTLE_LIMIT: usize = 4;

/// How long it takes for a request.
const BRITTLE_WORK: Duration = Duration::from_millis(60);

/// A server that bears few refusals, and that one body crashes.
pub(crate) fn brittle_script(servers: &Arc<BrittleServers>) -> Script {
    let (servers, load) = (servers.clone(), Mutex::new(BrittleLoad::default()));
    Arc::new(move |seen, _| {
        if seen.body == CRASHING.as_bytes() || has_bad_part(seen) {
            return vec![Step::Wait(Duration::from_millis(20)), Step::Crash];
        }
        let now = Instant::now();
        let limit = format!("Server-Brittle: {BRITTLE_LIMIT}\r\n");
        let mut load = load.lock().unwrap();
        let Some(end) = load.take(BRITTLE_ROOM, BRITTLE_WORK, now) else {
            if now >= servers.from && load.refused_lately() > BRITTLE_LIMIT {
                servers.falls.fetch_add(1, Ordering::SeqCst);
                return vec![Step::Crash];
            }
            servers.refused.lock().unwrap().push(seen.attempt().to_owned());
            let refusal = format!("{NOT_RUN}{limit}");
            return vec![Step::Write(answer(seen, 503, &refusal, "full"))];
        };
        let wait = Step::Wait(end - now);
        if seen.line.contains("/draft/") || seen.line.contains("/chat/") {
            let mut steps = stream(seen);
            if let Some(Step::Write(head)) = steps.first_mut() {
                let text = String::from_utf8_lossy(head);
                *head = text.replacen("\r\n\r\n", &format!("\r\n{limit}\r\n"), 1).into();
            }
            return [wait].into_iter().chain(steps).collect();
        }
        let headers = format!("{SEAL}{limit}");
        let text = right_text(seen.attempt());
        vec![wait, Step::Write(answer(seen, 200, &headers, &text))]
    })
}

/// A server that does as its whims are, and that one body crashes.
pub(crate) fn server_script() -> Script {
    Arc::new(|seen, _| {
        if seen.body == CRASHING.as_bytes() || has_bad_part(seen) {
            return vec![Step::Wait(Duration::from_millis(20)), Step::Crash];
        }
        let streams = seen.line.contains("/draft/") || seen.line.contains("/chat/");
        match whim(seen.attempt()) {
            ServerWhim::Reset => vec![Step::Reset],
            ServerWhim::Cut if streams => {
                let begun = stream(seen).into_iter().take(2);
                begun.chain([Step::Close]).collect()
            }
            ServerWhim::Cut => {
                let mut bytes = answer(seen, 200, SEAL, &right_text(seen.attempt()));
                bytes.truncate(bytes.len() - 3);
                vec![Step::Write(bytes), Step::Close]
            }
            ServerWhim::Failed => {
                vec![Step::Write(answer(seen, 500, SEAL, "failed"))]
            }
            ServerWhim::NotRun => {
                vec![Step::Write(answer(seen, 503, NOT_RUN, "full"))]
            }
            ServerWhim::Right if streams => stream(seen),
            ServerWhim::Right => vec![
                Step::Wait(Duration::from_millis(15)),
                Step::Write(answer(seen, 200, SEAL, &right_text(seen.attempt()))),
            ],
        }
    })
}

/// A stream, from after the event that its caller has.
fn stream(seen: &Seen) -> Vec<Step> {
    let last: Option<u64> =
        seen.header("last-event-id").map(|text| text.parse().unwrap());
    let first = last.map_or(0, |last| last + 1);
    let mut steps = vec![Step::Write(stream_head(seen))];
    for number in first..EVENTS {
        steps.push(Step::Write(event(number)));
        steps.push(Step::Wait(Duration::from_millis(15)));
    }
    steps.push(Step::Write(chunk("")));
    steps
}

/// What a caller got.
#[derive(Debug)]
pub(crate) struct CallRecord {
    /// What identifies it.
    pub(crate) attempt: String,
    /// Its class.
    pub(crate) class: &'static str,
    /// The answer.
    pub(crate) answer: Answer,
    /// The slot and start of the process that it was sent to.
    pub(crate) process: (usize, u32),
    /// How long it took.
    pub(crate) spent: Duration,
    /// When it had ended.
    pub(crate) ended: Instant,
}

impl CallRecord {
    /// Returns whether it may not be repeated.
    pub(crate) fn runs_once(&self) -> bool {
        ["book", "draft"].contains(&self.class)
    }

    /// Returns what is wrong with a success, if anything is. One that ends early must be seen
    /// to.
    pub(crate) fn mixed(&self) -> Option<&'static str> {
        let answer = &self.answer;
        if answer.status != 200 {
            return None;
        }
        if answer.attempt() != Some(self.attempt.as_str()) {
            return Some("another's answer");
        }
        if !answer.is_sealed() {
            return Some("no seal");
        }
        let streams = ["draft", "chat"].contains(&self.class);
        let expected = match streams {
            true => (0..EVENTS).map(event_text).collect(),
            false => right_text(&self.attempt),
        };
        let text = answer.text();
        let right =
            if answer.whole { text == expected } else { expected.starts_with(&text) };
        (!right).then_some("another body")
    }
}

/// Calls one process after the other until the end, over connections that are used as long as
/// they are open. Returns what it got.
pub(crate) fn call_on(soak: &Soak, number: u64) -> Vec<CallRecord> {
    let mut random = StdRng::seed_from_u64(soak.seed ^ (number << 32));
    let mut records = vec![];
    while !soak.is_over() {
        let slot = random.random_range(0..soak.slots.len());
        // Read before the connection opens: a start that follows has a later number.
        let incarnation = soak.slots[slot].incarnation();
        let Some(mut caller) = soak.slots[slot].open_if_ready() else {
            std::thread::sleep(Duration::from_millis(50));
            continue;
        };
        for _ in 0..random.random_range(1..60) {
            let class = ["look", "book", "draft", "chat"][random.random_range(0..4)];
            let attempt = format!("{}-{number}-{}", soak.seed, records.len());
            let path = format!("/{class}/1");
            let start = Instant::now();
            let body = format!("body of {attempt}");
            let text = prompted(&path, &attempt, &body, &[COMMON_PART]);
            let answer = caller.send(&text).answer();
            let spent = start.elapsed();
            let goes_on = answer.whole
                && answer.header("connection").is_none_or(|value| value != "close");
            let process = (slot, incarnation);
            let ended = Instant::now();
            records.push(CallRecord { attempt, class, answer, process, spent, ended });
            if !goes_on || soak.is_over() {
                break;
            }
            std::thread::sleep(Duration::from_millis(random.random_range(0..25)));
        }
    }
    records
}

/// Sends the same crashing request to any process, again and again until the end.
pub(crate) fn call_crashing(soak: &Soak) {
    let mut random = StdRng::seed_from_u64(soak.seed ^ 0xc0de);
    let mut number = 0;
    while !soak.is_over() {
        number += 1;
        let slot = random.random_range(0..soak.slots.len());
        if let Some(mut caller) = soak.slots[slot].open_if_ready() {
            let attempt = format!("{}-crash-{number}", soak.seed);
            caller.send(&request("POST", "/look/1", &attempt, CRASHING)).answer();
        }
        std::thread::sleep(Duration::from_millis(random.random_range(20..300)));
    }
}

/// Sends requests with the part that crashes servers to any process until the end, no two alike.
pub(crate) fn call_with_bad_part(soak: &Soak) {
    let mut random = StdRng::seed_from_u64(soak.seed ^ 0xbad);
    let mut number = 0;
    while !soak.is_over() {
        number += 1;
        let slot = random.random_range(0..soak.slots.len());
        if let Some(mut caller) = soak.slots[slot].open_if_ready() {
            let attempt = format!("{}-part-{number}", soak.seed);
            let path = ["/look/1", "/book/1", "/chat/1"][random.random_range(0..3)];
            let body = format!("body {number}");
            let text = prompted(path, &attempt, &body, &[COMMON_PART, BAD_PART]);
            caller.send(&text).answer();
        }
        std::thread::sleep(Duration::from_millis(random.random_range(20..300)));
    }
}
