//! Callers that keep their connections until the process is gone, and take up streams that break.

use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::common::caller::{Answer, Caller, request_within};
use super::process::EntryProcess;
use super::servers::{EVENTS, VersionedServers};

/// How long a caller comes back to a stream.
const DEADLINE: Duration = Duration::from_secs(8);

/// The most attempts at a stream.
const ATTEMPTS: usize = 12;

/// The pause between two attempts.
const PAUSE: Duration = Duration::from_millis(40);

/// The longest pause after a refusal. Some callers come back sooner than they are told.
const REFUSED_PAUSE: Duration = Duration::from_secs(1);

/// Callers, a thread for each.
pub(crate) struct Callers {
    stopped: Arc<AtomicBool>,
    threads: Mutex<Vec<JoinHandle<Vec<StreamRecord>>>>,
}

/// A stream, with all attempts at it.
#[derive(Debug, Default)]
pub(crate) struct StreamRecord {
    pub(crate) attempts: Vec<Attempt>,
}

/// An attempt at a stream.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) id: String,
    pub(crate) ip: Ipv4Addr,
    pub(crate) at: Instant,
    /// The last event that the caller had before.
    pub(crate) last: u64,
    pub(crate) status: u16,
    pub(crate) whole: bool,
    /// The events that came, each with its version.
    pub(crate) events: Vec<(u64, String)>,
}

impl Attempt {
    /// Reads the answer to an attempt.
    fn new(id: String, ip: Ipv4Addr, at: Instant, last: u64, answer: &Answer) -> Self {
        let text = answer.text();
        let events = match answer.status {
            200 => text.split_inclusive("\n\n").filter_map(read_event).collect(),
            _ => vec![],
        };
        let (status, whole) = (answer.status, answer.whole);
        Self { id, ip, at, last, status, whole, events }
    }

    /// Returns whether it brought events.
    pub(crate) fn has_events(&self) -> bool {
        !self.events.is_empty()
    }

    /// Returns whether its stream has begun, and has more events.
    pub(crate) fn can_go_on(&self) -> bool {
        self.last > 0 && self.last < EVENTS
    }

    /// Returns whether it looks complete without its last event.
    pub(crate) fn is_falsely_whole(&self) -> bool {
        let last = self.events.last().map_or(self.last, |(number, _)| *number);
        self.status == 200 && self.whole && last != EVENTS
    }
}

impl StreamRecord {
    /// Returns the versions of all events.
    pub(crate) fn versions(&self) -> BTreeSet<&str> {
        let events = self.attempts.iter().flat_map(|attempt| &attempt.events);
        events.map(|(_, version)| version.as_str()).collect()
    }

    /// Returns whether no event is missing or came twice.
    pub(crate) fn is_in_order(&self) -> bool {
        let events = self.attempts.iter().flat_map(|attempt| &attempt.events);
        events.zip(1..).all(|((number, _), expected)| *number == expected)
    }

    /// Returns when the attempt was sent that brought the first event.
    pub(crate) fn begun(&self) -> Option<Instant> {
        let began = self.attempts.iter().find(|attempt| attempt.has_events());
        began.map(|attempt| attempt.at)
    }

    /// Returns the later attempts while two servers of the stream's version were listed.
    pub(crate) fn resumed_at_known_versions(
        &self,
        servers: &VersionedServers,
        span: Duration,
    ) -> Vec<&Attempt> {
        let Some(version) = self.versions().first().copied() else { return vec![] };
        let resumed = self.attempts.iter().filter(|attempt| attempt.can_go_on());
        resumed
            .filter(|attempt| servers.serves(version, attempt.at, span))
            .collect()
    }
}

impl Callers {
    /// Starts so many callers for each instance.
    pub(crate) fn start(instances: &[EntryProcess], each: u64, seed: u64) -> Arc<Self> {
        let addresses: Vec<SocketAddr> =
            instances.iter().map(EntryProcess::callers).collect();
        let stopped = Arc::new(AtomicBool::new(false));
        let threads = (0..instances.len() as u64 * each).map(|number| {
            let (addresses, stopped) = (addresses.clone(), stopped.clone());
            thread::spawn(move || call(&addresses, seed ^ number, number, &stopped))
        });
        let threads = Mutex::new(threads.collect());
        Arc::new(Self { stopped, threads })
    }

    /// Ends all callers, and returns their streams.
    pub(crate) fn stop(&self) -> Vec<StreamRecord> {
        self.stopped.store(true, Ordering::SeqCst);
        let threads = std::mem::take(&mut *self.threads.lock().unwrap());
        threads
            .into_iter()
            .flat_map(|thread| thread.join().unwrap())
            .collect()
    }
}

/// Sends streams one after the other until told to stop.
fn call(
    addresses: &[SocketAddr],
    seed: u64,
    number: u64,
    stopped: &AtomicBool,
) -> Vec<StreamRecord> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut connection: Option<(SocketAddr, Caller)> = None;
    let mut streams = vec![];
    while !stopped.load(Ordering::SeqCst) {
        let name = format!("{number}-{}", streams.len());
        streams.push(stream(addresses, &name, &mut rng, &mut connection));
    }
    streams
}

/// Sends a stream, and takes it up until it is complete.
fn stream(
    addresses: &[SocketAddr],
    name: &str,
    rng: &mut StdRng,
    connection: &mut Option<(SocketAddr, Caller)>,
) -> StreamRecord {
    let begun = Instant::now();
    let mut record = StreamRecord::default();
    let mut first = None;
    let mut last = 0;
    while record.attempts.len() < ATTEMPTS && begun.elapsed() < DEADLINE {
        let Some((address, mut caller)) = connection.take().or_else(|| {
            let address = addresses[rng.random_range(0..addresses.len())];
            Some((address, Caller::try_open(address)?))
        }) else {
            thread::sleep(PAUSE);
            continue;
        };
        let id = format!("{name}-{}", record.attempts.len());
        let at = Instant::now();
        let left = DEADLINE.saturating_sub(begun.elapsed());
        let answer = caller.send(&spell(&id, first.as_deref(), last, left)).answer();
        let IpAddr::V4(ip) = address.ip() else { unreachable!("all are IPv4") };
        let attempt = Attempt::new(id, ip, at, last, &answer);
        if let Some((number, _)) = attempt.events.last() {
            last = *number;
            first.get_or_insert(attempt.id.clone());
        }
        let is_done = attempt.status == 200 && attempt.whole;
        record.attempts.push(attempt);
        let is_open = answer.whole && answer.header("connection") != Some("close");
        *connection = is_open.then_some((address, caller));
        if is_done {
            break;
        }
        // Retries are sent to another instance.
        *connection = None;
        thread::sleep(match answer.status {
            503 => REFUSED_PAUSE.mul_f64(rng.random_range(0.04..1.0)),
            _ => PAUSE,
        });
    }
    record
}

/// Spells the request of an attempt, whose caller waits for a time.
fn spell(id: &str, first: Option<&str>, last: u64, left: Duration) -> String {
    let text = request_within(left.as_millis() as u32, "POST", "/chat/a", id, "");
    match first {
        Some(first) => {
            let headers =
                format!("\r\nLast-Event-Id: {last}\r\nResumes: {first}\r\n\r\n");
            text.replacen("\r\n\r\n", &headers, 1)
        }
        None => text,
    }
}

/// Reads an event, if it is complete.
fn read_event(text: &str) -> Option<(u64, String)> {
    let (id, data) = text.strip_prefix("id: ")?.split_once("\ndata: ")?;
    Some((id.parse().ok()?, data.strip_suffix("\n\n")?.to_owned()))
}
