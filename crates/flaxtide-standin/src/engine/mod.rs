//! A stand-in for a model engine: continuous batching, priorities, resumption, faults.

mod stream;

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, bounded};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tiny_http::{Method, Request};

use self::stream::EventStream;
use crate::endless::{EndlessKind, write_endlessly};
use crate::listen::{StandinListener, header, read_json, respond_json, respond_leaving};
use crate::text::answer_length;

/// How an engine stand-in works.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineOptions {
    /// Its name.
    pub name: String,
    /// How many requests it works on at once; further ones wait, lower priorities first.
    pub slots: usize,
    /// How long one step takes, in which each request gets a token.
    pub step: Duration,
    /// How long it takes to read a prompt.
    pub prefill: Duration,
    /// How old its load reports are.
    pub report_lag: Duration,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fences: bool,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            name: "engine".into(),
            slots: 8,
            step: Duration::from_millis(4),
            prefill: Duration::from_millis(8),
            report_lag: Duration::from_millis(200),
            checks_fences: true,
        }
    }
}

/// The faults of an engine stand-in.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Step this many times slower; 0 and 1 are as usual.
    pub slowness: u32,
    /// Break this many streams more after [`Self::break_after`] tokens.
    pub breaks: u32,
    /// End this many streams more after [`Self::break_after`] tokens, as if complete but
    /// without a finish reason.
    pub truncations: u32,
    /// Fall silent in this many streams more after [`Self::break_after`] tokens.
    pub stalls: u32,
    /// Send this many answers more under another request's id.
    pub crossings: u32,
    /// Send the first token twice in this many streams more.
    pub repeats: u32,
    /// Answer without end.
    pub endless: Option<EndlessKind>,
    /// After how many tokens streams break.
    pub break_after: u32,
    /// Refuse requests and report that the engine is leaving.
    pub leaving: bool,
}

/// An order to an engine, or what it has loaded by orders.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// The fencing number of who gave it.
    pub fence: u64,
    /// The models to be loaded.
    pub models: Vec<String>,
}

/// What an engine has done for one request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// How often the request came.
    pub runs: u32,
    /// How many tokens were made for it.
    pub tokens: u32,
    /// The priorities with which it came.
    pub priorities: Vec<i64>,
    /// Its place in the order in which requests came.
    pub order: usize,
}

/// A model engine that runs until it is dropped.
pub struct EngineStandin {
    /// The listener.
    listener: StandinListener,
    /// What it holds.
    state: Arc<EngineState>,
}

/// What all threads of an engine share.
struct EngineState {
    /// How it works.
    options: EngineOptions,
    /// The faults in force.
    faults: Mutex<EngineFaults>,
    /// The requests in work or waiting.
    batch: Mutex<Vec<BatchEntry>>,
    /// What has been done, by request id.
    records: Mutex<BTreeMap<String, RunRecord>>,
    /// The orders that it took, in order.
    orders: Mutex<Vec<EngineOrder>>,
    /// Load reports, oldest first, with the time at which each was true.
    reports: Mutex<VecDeque<(Instant, Value)>>,
    /// Whether it is to stop.
    stopped: AtomicBool,
}

/// A request in work or waiting.
struct BatchEntry {
    /// The request's id.
    request_id: String,
    /// Its priority; lower numbers first, as in the engines that honour them.
    priority: i64,
    /// Until when its prompt is read.
    ready: Instant,
    /// The next token's index.
    next: u32,
    /// How many tokens there will be.
    length: u32,
    /// Where tokens go; it is closed when the caller has gone.
    tokens: Sender<u32>,
}

/// The most tokens that wait for a slow reader.
const TOKEN_RING: usize = 4096;

/// The most tokens of an answer, if the request names no limit.
const MOST_TOKENS: u32 = 4096;

/// How many load reports are kept.
const KEPT_REPORTS: usize = 1024;

impl EngineStandin {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// Returns the fault if it can't listen on the address.
    pub fn start(address: SocketAddr, options: EngineOptions) -> io::Result<Self> {
        let state = Arc::new(EngineState {
            options,
            faults: Mutex::default(),
            batch: Mutex::default(),
            records: Mutex::default(),
            orders: Mutex::default(),
            reports: Mutex::default(),
            stopped: AtomicBool::new(false),
        });
        let stepping = state.clone();
        thread::spawn(move || stepping.step_on());
        let answered = state.clone();
        let listener =
            StandinListener::start(address, move |request| answered.answer(request))?;
        Ok(Self { listener, state })
    }

    /// Returns where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Sets the faults in force.
    pub fn set_faults(&self, faults: EngineFaults) {
        *lock(&self.state.faults) = faults;
    }

    /// Returns what has been done for each request, by its id.
    #[must_use]
    pub fn records(&self) -> BTreeMap<String, RunRecord> {
        lock(&self.state.records).clone()
    }

    /// Returns the orders that it took, in order.
    #[must_use]
    pub fn orders(&self) -> Vec<EngineOrder> {
        lock(&self.state.orders).clone()
    }

    /// Returns how many requests are in work or waiting.
    #[must_use]
    pub fn open(&self) -> usize {
        lock(&self.state.batch).len()
    }
}

impl Drop for EngineStandin {
    fn drop(&mut self) {
        self.state.stopped.store(true, Ordering::SeqCst);
        lock(&self.state.batch).clear();
    }
}

impl EngineState {
    /// Makes tokens, step by step, until told to stop.
    fn step_on(&self) {
        let mut due = Instant::now();
        while !self.stopped.load(Ordering::SeqCst) {
            let slowness = lock(&self.faults).slowness.max(1);
            due += self.options.step * slowness;
            thread::sleep(due.saturating_duration_since(Instant::now()));
            // A machine that fell behind doesn't catch up in a burst.
            due = due.max(Instant::now().checked_sub(self.options.step).unwrap_or(due));
            self.step(slowness);
        }
    }

    /// Makes one token for each request in the batch, highest priorities first.
    fn step(&self, slowness: u32) {
        let now = Instant::now();
        let mut batch = lock(&self.batch);
        batch.sort_by_key(|entry| entry.priority);
        let mut records = lock(&self.records);
        for entry in batch.iter_mut().take(self.options.slots) {
            if entry.ready > now {
                continue;
            }
            if entry.tokens.try_send(entry.next).is_err() {
                // The caller has gone: the request is cancelled.
                entry.next = entry.length;
                continue;
            }
            entry.next += 1;
            if let Some(record) = records.get_mut(&entry.request_id) {
                record.tokens += 1;
            }
        }
        batch.retain(|entry| entry.next < entry.length);
        let running = batch.len().min(self.options.slots);
        let urgent = batch.iter().filter(|entry| entry.priority == 0).count();
        let report = json!({
            "urgent": urgent,
            "running": running,
            "waiting": batch.len() - running,
            "step_us": (self.options.step * slowness).as_micros() as u64,
        });
        let mut reports = lock(&self.reports);
        reports.push_back((now, report));
        if reports.len() > KEPT_REPORTS {
            reports.pop_front();
        }
    }

    /// Answers one request.
    fn answer(&self, mut request: Request) {
        match (request.method(), request.url()) {
            (Method::Post, "/faults") => {
                let Some(faults) = read_json(&mut request) else {
                    return respond_json(request, 400, &json!({ "error": "no faults" }));
                };
                *lock(&self.faults) = faults;
                respond_json(request, 200, &json!({}));
            }
            (Method::Get, "/records") => {
                let records = lock(&self.records).clone();
                respond_json(request, 200, &records);
            }
            (Method::Get, "/orders") => {
                let last = lock(&self.orders).last().cloned().unwrap_or_default();
                respond_json(request, 200, &last);
            }
            (Method::Put, "/orders") => self.answer_order(request),
            (Method::Get, "/load") => respond_json(request, 200, &self.load()),
            (Method::Post, "/v1/chat/completions" | "/v1/completions") => {
                self.answer_completion(request);
            }
            _ => respond_json(request, 404, &json!({ "error": "no such path" })),
        }
    }

    /// Returns the newest load report that is old enough.
    fn load(&self) -> Value {
        let leaving = lock(&self.faults).leaving;
        let reports = lock(&self.reports);
        let lag = self.options.report_lag;
        let old = reports.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        let mut report = old.map_or_else(
            || json!({ "running": 0, "waiting": 0, "step_us": 0 }),
            |(at, report)| {
                let mut report = report.clone();
                report["age_ms"] = json!(at.elapsed().as_millis() as u64);
                report
            },
        );
        report["leaving"] = json!(leaving);
        report
    }

    /// Takes an order, unless its fencing number is old and that is checked.
    fn answer_order(&self, mut request: Request) {
        let Some(order) = read_json::<EngineOrder>(&mut request) else {
            return respond_json(request, 400, &json!({ "error": "not an order" }));
        };
        let mut orders = lock(&self.orders);
        let newest = orders.iter().map(|order| order.fence).max().unwrap_or_default();
        if self.options.checks_fences && order.fence < newest {
            return respond_json(request, 409, &json!({ "newest": newest }));
        }
        orders.push(order);
        drop(orders);
        respond_json(request, 200, &json!({}));
    }

    /// Answers a completion as a stream of server-sent events.
    fn answer_completion(&self, mut request: Request) {
        if lock(&self.faults).leaving {
            return respond_leaving(request);
        }
        let Some(body) = read_json::<Value>(&mut request) else {
            return respond_json(request, 400, &json!({ "error": "not JSON" }));
        };
        let request_id = header(&request, "X-Request-Id").unwrap_or_default();
        // The event id that a client has seen last (HTML Living Standard, section 9.2).
        let seen = header(&request, "Last-Event-ID").and_then(|text| text.parse().ok());
        let next = seen.map_or(0, |seen: u32| seen + 1);
        let prompt = prompt_of(&body);
        let most = body["max_tokens"].as_u64().map_or(MOST_TOKENS, |most| most as u32);
        let length = answer_length(&prompt, most).max(next);
        let tokens = self.enqueue(&request_id, &body, next, length);
        let faults = self.take_faults();
        if let Some(kind) = faults.endless {
            return write_endlessly(request.into_writer(), kind);
        }
        let mut stream = EventStream {
            id: if faults.crossings > 0 { "another".into() } else { request_id },
            prompt,
            writer: request.into_writer(),
            faults,
        };
        // A caller that has gone is seen by the batch, as its ring closes.
        let _ = stream.send(&tokens, next, length);
    }

    /// Puts a request in the batch.
    fn enqueue(
        &self,
        request_id: &str,
        body: &Value,
        next: u32,
        length: u32,
    ) -> Receiver<u32> {
        let (tokens, ring) = bounded(TOKEN_RING);
        let priority = body["priority"].as_i64().unwrap_or_default();
        {
            let mut records = lock(&self.records);
            let order = records.len();
            let record = records.entry(request_id.to_owned()).or_default();
            if record.runs == 0 {
                record.order = order;
            }
            record.runs += 1;
            record.priorities.push(priority);
        }
        if next < length {
            lock(&self.batch).push(BatchEntry {
                request_id: request_id.to_owned(),
                priority,
                ready: Instant::now() + self.options.prefill,
                next,
                length,
                tokens,
            });
        }
        ring
    }

    /// Takes the faults of one stream out of those in force.
    fn take_faults(&self) -> EngineFaults {
        let faults = &mut *lock(&self.faults);
        let taken = faults.clone();
        for count in [
            &mut faults.breaks,
            &mut faults.truncations,
            &mut faults.stalls,
            &mut faults.crossings,
            &mut faults.repeats,
        ] {
            *count = count.saturating_sub(1);
        }
        taken
    }
}

/// Returns a request's prompt as one text.
fn prompt_of(body: &Value) -> String {
    if let Some(prompt) = body["prompt"].as_str() {
        return prompt.to_owned();
    }
    let messages = body["messages"].as_array().cloned().unwrap_or_default();
    let texts = messages.iter().filter_map(|message| message["content"].as_str());
    texts.collect::<Vec<_>>().join("\n")
}

/// Locks. A panic elsewhere doesn't spoil the data of a stand-in.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
