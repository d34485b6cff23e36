//! Callers that keep their connections until the process is gone, and take up streams that break.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::common::Caller;
use super::common::caller::{Answer, request_within};
use super::content::Content;

/// How long a caller waits for an answer.
const DEADLINE_MS: u32 = 9000;

/// The most attempts at an answer.
const ATTEMPTS: usize = 8;

/// The longest pause between two attempts.
const LONGEST_PAUSE: Duration = Duration::from_millis(300);

/// The routes, each as often as it is asked.
const ROUTES: [&str; 8] =
    ["chat", "chat", "chat", "draft", "draft", "draft", "look", "book"];

/// Callers, a thread for each.
pub(crate) struct Callers {
    stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Attempt>>>,
}

/// An attempt, and what came of it.
pub(crate) struct Attempt {
    pub(crate) id: String,
    pub(crate) path: String,
    /// Whether the caller speaks HTTP/1.0.
    pub(crate) is_old: bool,
    /// The last event that the caller had before.
    pub(crate) last: Option<String>,
    /// From when until when it was answered.
    pub(crate) span: (Instant, Instant),
    pub(crate) answer: Answer,
}

impl Attempt {
    /// Returns whether a stream or body broke off that had begun.
    pub(crate) fn is_broken(&self) -> bool {
        self.answer.status == 200 && !self.answer.whole
    }

    /// Returns whether its answer looks complete.
    pub(crate) fn is_complete(&self) -> bool {
        self.answer.status == 200 && self.answer.whole
    }
}

impl Callers {
    /// Starts callers.
    pub(crate) fn start(addresses: &[SocketAddr], count: u64, seed: u64) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let threads = (0..count).map(|number| {
            let (addresses, stopped) = (addresses.to_vec(), stopped.clone());
            let rng = StdRng::seed_from_u64(seed << 16 ^ number);
            let calling = Calling { addresses, rng, connection: None, attempts: vec![] };
            thread::spawn(move || calling.call(&format!("{seed}-{number}"), &stopped))
        });
        let threads = threads.collect();
        Self { stopped, threads }
    }

    /// Ends all callers, and returns their attempts.
    pub(crate) fn stop(self) -> Vec<Attempt> {
        self.stopped.store(true, Ordering::SeqCst);
        let threads = self.threads.into_iter();
        threads.flat_map(|thread| thread.join().unwrap()).collect()
    }
}

/// A caller.
struct Calling {
    addresses: Vec<SocketAddr>,
    rng: StdRng,
    connection: Option<Caller>,
    attempts: Vec<Attempt>,
}

impl Calling {
    /// Asks for one answer after the other until told to stop.
    fn call(mut self, name: &str, stopped: &AtomicBool) -> Vec<Attempt> {
        for place in 0.. {
            if stopped.load(Ordering::SeqCst) {
                break;
            }
            let route = ROUTES[self.rng.random_range(0..ROUTES.len())];
            self.ask(route, &format!("{name}-{place}"));
        }
        self.attempts
    }

    /// Asks for an answer, and takes it up if the route allows it.
    fn ask(&mut self, route: &str, name: &str) {
        let path = format!("/{route}/{name}");
        let is_old = self.rng.random_bool(0.2);
        let (mut last, mut first) = (None::<String>, None::<String>);
        for number in 0..ATTEMPTS {
            let id = format!("{name}-{number}");
            let request = spell(&path, &id, last.as_deref(), first.as_deref(), is_old);
            let Some(mut caller) = self.connection.take().or_else(|| self.open()) else {
                return self.pause();
            };
            let from = Instant::now();
            let answer = caller.send(&request).answer();
            let span = (from, Instant::now());
            if answer.whole && !is_old && answer.header("connection") != Some("close") {
                self.connection = Some(caller);
            }
            let (path, last_before) = (path.clone(), last.clone());
            let attempt = Attempt { id, path, is_old, last: last_before, span, answer };
            let may_repeat = route == "chat" && !attempt.is_complete();
            if attempt.is_broken() {
                let text = attempt.answer.text();
                last = Content::of(&attempt.path).last_id(last.as_deref(), &text);
                first = first.or_else(|| last.is_some().then(|| attempt.id.clone()));
            }
            let has_place = !attempt.is_broken() || last.is_some();
            self.attempts.push(attempt);
            if !may_repeat || !has_place {
                break;
            }
            // The next attempt is sent to another instance.
            self.connection = None;
            self.pause();
        }
    }

    /// Opens a connection to an instance.
    fn open(&mut self) -> Option<Caller> {
        Caller::try_open(self.addresses[self.rng.random_range(0..self.addresses.len())])
    }

    /// Waits before the next attempt.
    fn pause(&mut self) {
        thread::sleep(LONGEST_PAUSE.mul_f64(self.rng.random_range(0.0..1.0)));
    }
}

/// Spells the request of an attempt, which may take up a stream that another one began.
fn spell(
    path: &str,
    id: &str,
    last: Option<&str>,
    first: Option<&str>,
    is_old: bool,
) -> String {
    let mut text = request_within(DEADLINE_MS, "POST", path, id, "");
    if let (Some(last), Some(first)) = (last, first) {
        let headers = format!("\r\nLast-Event-Id: {last}\r\nResumes: {first}\r\n\r\n");
        text = text.replacen("\r\n\r\n", &headers, 1);
    }
    if is_old { text.replacen("HTTP/1.1", "HTTP/1.0", 1) } else { text }
}
