//! Fake engines: continuous batching, priorities, a prefix cache, lagging load reports.

use std::collections::VecDeque;
use std::time::Duration;

use flaxtide_policy::LoadReport;

/// How many prefixes an engine caches.
const CACHED_PREFIXES: usize = 24;

/// How many tokens of a prompt an engine reads in one millisecond.
const PREFILL_PER_MS: u32 = 24;

/// A cached prefix leaves this part of the prompt to be read.
const UNCACHED_PART: u32 = 4;

/// A request at an engine.
#[derive(Debug, Clone)]
pub struct EngineCall {
    /// The request.
    pub request: u64,
    /// The attempt, so that late tokens of an earlier one are told apart.
    pub attempt: u32,
    /// Its priority; lower numbers first.
    pub priority: u8,
    /// How many tokens it has made, those of earlier attempts included.
    pub made: u32,
    /// How many it will make.
    pub length: u32,
    /// How many milliseconds of its prompt are still to be read.
    pub prefill: u32,
}

/// What a step has made.
#[derive(Debug, Clone, Copy)]
pub struct MadeToken {
    /// The request.
    pub request: u64,
    /// The attempt.
    pub attempt: u32,
    /// How many tokens it has by now.
    pub made: u32,
    /// Whether the answer is whole.
    pub whole: bool,
}

/// A fake engine.
#[derive(Debug)]
pub struct FakeEngine {
    /// Its number.
    pub number: u32,
    /// How many requests it works on at once.
    pub slots: usize,
    /// How long a step takes, in milliseconds.
    pub step_ms: u64,
    /// Until when it is down, in milliseconds.
    pub down_until: u64,
    /// The requests in work or waiting.
    pub batch: Vec<EngineCall>,
    /// The cached prefixes, least recently used first.
    cache: VecDeque<u64>,
    /// Load reports with the time at which each was true.
    reports: VecDeque<(u64, LoadReport)>,
}

impl FakeEngine {
    /// Makes an idle engine.
    pub fn new(number: u32, slots: usize, step_ms: u64) -> Self {
        Self {
            number,
            slots,
            step_ms,
            down_until: 0,
            batch: vec![],
            cache: VecDeque::new(),
            reports: VecDeque::new(),
        }
    }

    /// Takes a request. Returns whether its prefix was cached.
    pub fn take(&mut self, mut call: EngineCall, prompt_tokens: u32, prefix: u64) {
        let cached = self.cache.iter().position(|other| *other == prefix);
        if let Some(place) = cached {
            self.cache.remove(place);
        } else if self.cache.len() >= CACHED_PREFIXES {
            self.cache.pop_front();
        }
        self.cache.push_back(prefix);
        let tokens = prompt_tokens + call.made;
        let read = if cached.is_some() { tokens / UNCACHED_PART } else { tokens };
        call.prefill = read / PREFILL_PER_MS;
        self.batch.push(call);
    }

    /// Takes a step, if one is due. Returns the tokens that it made.
    pub fn step(&mut self, now: u64, stagger: u64) -> Vec<MadeToken> {
        if !(now + stagger).is_multiple_of(self.step_ms) || now < self.down_until {
            return vec![];
        }
        // A stable sort: within a priority, first come, first served.
        self.batch.sort_by_key(|call| call.priority);
        let mut made = vec![];
        for call in self.batch.iter_mut().take(self.slots) {
            if call.prefill > 0 {
                call.prefill = call.prefill.saturating_sub(self.step_ms as u32);
                continue;
            }
            call.made += 1;
            let whole = call.made >= call.length;
            let (request, attempt) = (call.request, call.attempt);
            made.push(MadeToken { request, attempt, made: call.made, whole });
        }
        self.batch.retain(|call| call.made < call.length);
        made
    }

    /// Drops a request.
    pub fn cancel(&mut self, request: u64) {
        self.batch.retain(|call| call.request != request);
    }

    /// Records the load, and returns the newest report that is older than `lag`.
    pub fn report(&mut self, now: u64, lag: u64) -> Option<LoadReport> {
        if now < self.down_until {
            return None;
        }
        let running = self.batch.len().min(self.slots) as u32;
        let waiting = self.batch.len() as u32 - running;
        let urgent = self.batch.iter().filter(|call| call.priority == 0).count() as u32;
        let report = LoadReport {
            server: self.number,
            running,
            waiting,
            urgent: Some(urgent),
            step: Duration::from_millis(self.step_ms),
            at: Duration::from_millis(now),
        };
        self.reports.push_back((now, report));
        while self.reports.get(1).is_some_and(|(at, _)| at + lag <= now) {
            self.reports.pop_front();
        }
        let (at, report) = *self.reports.front()?;
        (at + lag <= now).then_some(report)
    }
}
