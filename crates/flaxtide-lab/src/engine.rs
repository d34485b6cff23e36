//! A model engine: it works in steps, on as many requests at once as it has slots, and reads
//! prompts in chunks between the tokens of the others.

use std::collections::VecDeque;
use std::time::Duration;

use flaxtide_core::RequestId;
use flaxtide_policy::EngineReport;

/// The time of a step that reads no prompt.
const STEP: Duration = Duration::from_micros(3300);

/// How many prompt tokens a step reads at most.
const CHUNK: u32 = 1024;

/// How many prompt tokens are read in a millisecond.
const TOKENS_PER_MS: f64 = 62.0;

/// A request at an engine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EngineRequest {
    /// The request.
    pub(crate) request: RequestId,
    /// How many tokens of its prompt are still to be read.
    pub(crate) unread: u32,
    /// How many tokens of its answer are still to be made.
    pub(crate) unmade: u32,
}

/// What came of a step for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EngineNews {
    /// A token came.
    Token(RequestId),
    /// The last token came.
    End(RequestId),
}

/// An engine.
#[derive(Debug, Clone)]
pub(crate) struct LabEngine {
    /// How many requests it works on at once.
    slots: usize,
    /// How fast it is, as a fraction of the usual pace.
    pace: f64,
    /// The requests that it works on.
    running: Vec<EngineRequest>,
    /// The requests that wait for a slot.
    waiting: VecDeque<EngineRequest>,
    /// When its present step ends.
    until: Duration,
}

impl LabEngine {
    /// Starts an engine without work.
    pub(crate) fn new(slots: usize) -> Self {
        Self::with_pace(slots, 1.0)
    }

    /// Starts an engine whose pace is a fraction of the usual one.
    pub(crate) fn with_pace(slots: usize, pace: f64) -> Self {
        Self {
            slots,
            pace,
            running: vec![],
            waiting: VecDeque::new(),
            until: Duration::ZERO,
        }
    }

    /// Takes a request.
    pub(crate) fn take(&mut self, request: EngineRequest) {
        self.waiting.push_back(request);
    }

    /// Breaks off a request.
    pub(crate) fn cancel(&mut self, request: RequestId) {
        self.running.retain(|running| running.request != request);
        self.waiting.retain(|waiting| waiting.request != request);
    }

    /// Loses all requests, and goes on at a time.
    pub(crate) fn restart(&mut self, now: Duration) {
        self.running.clear();
        self.waiting.clear();
        self.until = now;
    }

    /// Returns what it reports of itself.
    pub(crate) fn report(&self) -> EngineReport {
        let unread = self.running.iter().filter(|request| request.unread > 0);
        EngineReport {
            waiting: self.waiting.len() as u32,
            running: self.running.len() as u32,
            prefilling: Some(unread.count() as u32),
            next_tokens: self.waiting.front().map_or(0, |request| request.unread),
            ..EngineReport::default()
        }
    }

    /// Goes on until a time. Returns what came, with its time.
    pub(crate) fn advance(&mut self, now: Duration) -> Vec<(Duration, EngineNews)> {
        let mut news = vec![];
        while self.until < now {
            while self.running.len() < self.slots
                && let Some(request) = self.waiting.pop_front()
            {
                self.running.push(request);
            }
            if self.running.is_empty() {
                self.until = now;
                break;
            }
            self.step(&mut news);
        }
        news
    }

    /// Takes one step: a chunk of the first prompt that isn't read, and a token of each other
    /// request.
    fn step(&mut self, news: &mut Vec<(Duration, EngineNews)>) {
        let mut length = STEP;
        let read = self.running.iter().position(|request| request.unread > 0);
        if let Some(request) = read.map(|place| &mut self.running[place]) {
            let chunk = request.unread.min(CHUNK);
            request.unread -= chunk;
            length += Duration::from_secs_f64(f64::from(chunk) / TOKENS_PER_MS / 1000.0);
        }
        self.until += length.div_f64(self.pace);
        for request in self.running.iter_mut().filter(|request| request.unread == 0) {
            request.unmade -= 1;
            let end = request.unmade == 0;
            let request = request.request;
            let came =
                if end { EngineNews::End(request) } else { EngineNews::Token(request) };
            news.push((self.until, came));
        }
        self.running.retain(|request| request.unmade > 0);
    }
}
