//! Sending a load and checking every answer.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use attohttpc::{ProxySettings, RequestBuilder, Response};
use crossbeam::channel::{Sender, bounded};
use flaxtide_core::{FailureBody, RanState};
use flaxtide_standin::answer_text;
use serde_json::{Value, json};

use super::plan::{LoadPlan, LoadStream, PlannedCall, StreamTarget};

/// The most tokens that an answer may have.
const MOST_TOKENS: u32 = 400;

/// How long an instance may be silent. Longer than any target, so that a call that is cut
/// off without a word shows as lost.
const PATIENCE: Duration = Duration::from_secs(60);

/// The stack of a caller's thread, in bytes.
const CALLER_STACK: usize = 192 * 1024;

/// How many outcomes may wait to be collected.
const OUTCOME_RING: usize = 1024;

/// What became of a request, as its caller saw it.
#[derive(Debug, Clone)]
pub(crate) struct CallOutcome {
    /// The index of its stream in the plan.
    pub(crate) stream: usize,
    /// When it was sent, from the start of the load.
    pub(crate) at: Duration,
    /// How it ended.
    pub(crate) end: OutcomeEnd,
    /// How many tokens came.
    pub(crate) tokens: u32,
    /// How long the first token took.
    pub(crate) first_token: Option<Duration>,
    /// How long the whole answer took.
    pub(crate) whole: Duration,
    /// The request's id, if it came back.
    pub(crate) request_id: Option<String>,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OutcomeEnd {
    /// Its whole answer came.
    Whole,
    /// An answer came that isn't its own, or not whole though it seems so.
    Wrong,
    /// It was refused: it hasn't run.
    Refused,
    /// It failed with the word that it may have run.
    Failed,
    /// Nothing that says how it ended came.
    Lost,
}

/// Sends a load to entry instances in turn, and returns every outcome.
pub(crate) fn send_load(plan: &LoadPlan, entries: &[SocketAddr]) -> Vec<CallOutcome> {
    let calls = plan.arrivals();
    let count = calls.len();
    let (outcomes, collected) = bounded(OUTCOME_RING);
    let plan = Arc::new(plan.clone());
    let entries = entries.to_vec();
    let scheduler = thread::spawn(move || schedule(&plan, calls, &entries, &outcomes));
    let outcomes: Vec<_> = collected.iter().take(count).collect();
    // The scheduler has nothing more to do once every outcome is here.
    let _ = scheduler.join();
    outcomes
}

/// Starts a thread for each request at its time, whatever became of those before.
fn schedule(
    plan: &Arc<LoadPlan>,
    calls: Vec<PlannedCall>,
    entries: &[SocketAddr],
    outcomes: &Sender<CallOutcome>,
) {
    let start = Instant::now();
    for call in calls {
        thread::sleep((start + call.at).saturating_duration_since(Instant::now()));
        let entry = entries[call.number % entries.len()];
        let (plan, outcomes) = (plan.clone(), outcomes.clone());
        let thread = thread::Builder::new().stack_size(CALLER_STACK);
        let started = thread.spawn(move || {
            let outcome = send_call(&plan, &call, entry);
            // The collector takes exactly as many as there are calls.
            let _ = outcomes.send(outcome);
        });
        if let Err(cause) = started {
            log::error!("no thread for a caller: {cause}");
        }
    }
}

/// Sends one request and checks its answer.
fn send_call(plan: &LoadPlan, call: &PlannedCall, entry: SocketAddr) -> CallOutcome {
    let stream = &plan.streams[call.stream];
    let mut outcome = CallOutcome {
        stream: call.stream,
        at: call.at,
        end: OutcomeEnd::Lost,
        tokens: 0,
        first_token: None,
        whole: Duration::ZERO,
        request_id: None,
    };
    let start = Instant::now();
    match &stream.target {
        StreamTarget::Model(model) => {
            let prompt = prompt(plan, stream, call);
            ask_model(&mut outcome, stream, entry, model, &prompt, start);
        }
        StreamTarget::Service(service) => {
            let body = format!("{} {} {}", stream.class, plan.seed, call.number);
            ask_service(&mut outcome, stream, entry, service, &body, start);
        }
    }
    outcome.whole = start.elapsed();
    outcome
}

/// Makes a prompt of its own for each request, with a beginning that its stream shares.
fn prompt(plan: &LoadPlan, stream: &LoadStream, call: &PlannedCall) -> String {
    let shared = format!("{} of stream {} ", stream.class, call.stream);
    let mut prompt = shared.repeat(stream.prompt_bytes / shared.len() + 1);
    prompt.truncate(stream.prompt_bytes);
    format!("{prompt} request {} {}", plan.seed, call.number)
}

/// Prepares a request of a stream.
fn prepare<B>(builder: RequestBuilder<B>, stream: &LoadStream) -> RequestBuilder<B> {
    builder
        .header("Authorization", format!("Bearer {}", stream.key))
        .header("X-Request-Class", &stream.class)
        .read_timeout(PATIENCE)
        .proxy_settings(ProxySettings::builder().build())
}

/// Asks a language model, and checks the stream.
fn ask_model(
    outcome: &mut CallOutcome,
    stream: &LoadStream,
    entry: SocketAddr,
    model: &str,
    prompt: &str,
    start: Instant,
) {
    let body = json!({
        "model": model,
        "stream": true,
        "max_tokens": MOST_TOKENS,
        "messages": [{ "role": "user", "content": prompt }],
    });
    let url = format!("http://{entry}/v1/chat/completions");
    let Ok(request) = prepare(attohttpc::post(url), stream).json(&body) else { return };
    let Some(response) = send(outcome, request) else { return };
    let mut text = String::new();
    outcome.end = read_stream(outcome, response, &mut text, start);
    if outcome.end == OutcomeEnd::Whole && text != answer_text(prompt, MOST_TOKENS) {
        outcome.end = OutcomeEnd::Wrong;
    }
}

/// Reads a stream of tokens up to its end.
fn read_stream(
    outcome: &mut CallOutcome,
    response: Response,
    text: &mut String,
    start: Instant,
) -> OutcomeEnd {
    let mut finished = false;
    for line in BufReader::new(response).lines() {
        let Ok(line) = line else { return OutcomeEnd::Lost };
        let Some(data) = line.strip_prefix("data: ") else { continue };
        if data == "[DONE]" {
            return if finished { OutcomeEnd::Whole } else { OutcomeEnd::Wrong };
        }
        let chunk: Value = serde_json::from_str(data).unwrap_or_default();
        if chunk.get("reason").is_some() {
            return OutcomeEnd::Failed;
        }
        let choice = &chunk["choices"][0];
        finished |= !choice["finish_reason"].is_null();
        if let Some(token) = choice["delta"]["content"].as_str() {
            text.push_str(token);
            outcome.tokens += 1;
            outcome.first_token.get_or_insert_with(|| start.elapsed());
        }
    }
    OutcomeEnd::Lost
}

/// Calls a plain service, and checks that the answer is to this call.
fn ask_service(
    outcome: &mut CallOutcome,
    stream: &LoadStream,
    entry: SocketAddr,
    service: &str,
    body: &str,
    start: Instant,
) {
    let url = format!("http://{entry}/services/{service}/calls");
    let request = prepare(attohttpc::post(url), stream)
        .header("Idempotency-Key", body.replace(' ', "-"))
        .text(body.to_owned());
    let Some(response) = send(outcome, request) else { return };
    let Ok(answer) = response.json::<Value>() else { return };
    outcome.first_token = Some(start.elapsed());
    let own = answer["echo"].as_str() == Some(body);
    outcome.end = if own { OutcomeEnd::Whole } else { OutcomeEnd::Wrong };
}

/// Sends a request. Nothing if it was refused, failed or got lost, which is noted.
fn send<B: attohttpc::body::Body>(
    outcome: &mut CallOutcome,
    request: RequestBuilder<B>,
) -> Option<Response> {
    let response = request.send().ok()?;
    let id = response.headers().get("X-Request-Id");
    outcome.request_id = id.and_then(|id| id.to_str().ok()).map(str::to_owned);
    if response.is_success() {
        return Some(response);
    }
    let body: FailureBody = response.json().ok()?;
    outcome.end = match body.ran {
        RanState::No => OutcomeEnd::Refused,
        RanState::Unknown => OutcomeEnd::Failed,
    };
    None
}
