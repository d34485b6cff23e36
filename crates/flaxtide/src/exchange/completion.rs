//! The exchange with an engine that serves a language model.

use std::time::Duration;

use flaxtide_core::{FailureBody, RequestId, format_request_id};
use flaxtide_policy::{PolicyEvent, ServerFault};
use serde_json::{Value, json};

use super::event::{CompletionChunk, EventReader, ServerSentEvent};
use super::{
    AttemptOutcome, ServerAttempt, classify_read_error, classify_send_error,
    mismatch_fault, refusal_fault,
};
use crate::explain::StepKind;
use crate::link::{CallerLink, CompleteResponse, REQUEST_ID_HEADER, StreamLink};
use crate::request::CompletionPayload;

/// The number of tokens after which the decision core is sent the response's progress.
const TOKENS_PER_PROGRESS_EVENT: u32 = 16;

/// The data of the event that ends a stream.
const DONE: &str = "[DONE]";

/// What has been received of a response so far, over all attempts.
pub(crate) struct ResponseProgress {
    /// The link to the caller, until a stream or a complete response is begun on it.
    link: Option<CallerLink>,
    /// The stream to the caller, while it is open.
    stream: Option<StreamLink>,
    /// Whether the caller asked for a stream.
    wants_stream: bool,
    /// The text received so far, if `keeps_text` is set.
    text: String,
    /// Whether the text is kept: for a response that isn't streamed, or to record the
    /// outcome of a request with an idempotency key.
    keeps_text: bool,
    /// The number of tokens received.
    pub(crate) tokens: u32,
    /// When the first token was received, on the instance's clock.
    pub(crate) first_token: Option<Duration>,
    /// When the latest token was received.
    pub(crate) last_token: Option<Duration>,
    /// The time and the token count at the last progress report, or at the start of this
    /// attempt's response.
    last_progress: (Duration, u32),
}

impl ResponseProgress {
    /// Creates the progress of a response of which nothing has been received.
    pub(crate) fn new(link: CallerLink, wants_stream: bool, keeps_text: bool) -> Self {
        Self {
            link: Some(link),
            stream: None,
            wants_stream,
            text: String::new(),
            keeps_text: keeps_text || !wants_stream,
            tokens: 0,
            first_token: None,
            last_token: None,
            last_progress: (Duration::ZERO, 0),
        }
    }

    /// Returns the number of tokens sent to the caller: 0 unless a stream is open.
    pub(crate) fn passed_on(&self) -> u32 {
        if self.stream.is_some() { self.tokens } else { 0 }
    }

    /// Sends a complete response to the caller, unless one or a stream has been begun.
    pub(crate) fn send_response(
        &mut self,
        response: &CompleteResponse,
    ) -> std::io::Result<()> {
        match self.link.take() {
            Some(link) => link.answer(response),
            None => Ok(()),
        }
    }

    /// Sends the caller the final error of a request, within the stream if one is open.
    pub(crate) fn fail(&mut self, body: &FailureBody) -> std::io::Result<()> {
        if let Some(stream) = self.stream.take() {
            return stream.fail(body);
        }
        self.link.take().map_or(Ok(()), |link| link.fail(body))
    }

    /// Counts a token and passes it on if the caller asked for a stream.
    fn pass_token(
        &mut self,
        data: &str,
        text: &str,
        now: Duration,
    ) -> std::io::Result<()> {
        self.tokens += 1;
        self.last_token = Some(now);
        self.first_token.get_or_insert(now);
        if self.keeps_text {
            self.text.push_str(text);
        }
        if !self.wants_stream {
            return Ok(());
        }
        if let Some(link) = self.link.take() {
            self.stream = Some(link.stream()?);
        }
        self.stream.as_mut().map_or(Ok(()), |stream| stream.event(data))
    }

    /// Passes on the last chunk and ends the stream with `[DONE]`.
    fn finish_stream(&mut self, data: &str) -> std::io::Result<()> {
        if let Some(link) = self.link.take() {
            // The response has no token, so the stream hasn't begun yet.
            self.stream = Some(link.stream()?);
        }
        let Some(mut stream) = self.stream.take() else { return Ok(()) };
        stream.event(data)?;
        stream.finish()
    }

    /// Builds the complete response from the text received.
    pub(crate) fn build_response(
        &self,
        request: RequestId,
        payload: &CompletionPayload,
    ) -> CompleteResponse {
        let body = self.build_body(request, payload);
        CompleteResponse {
            status: 200,
            content_type: "application/json".into(),
            body: serde_json::to_vec(&body).unwrap_or_default(),
        }
    }

    /// Builds the body of the complete response.
    fn build_body(&self, request: RequestId, payload: &CompletionPayload) -> Value {
        let chat = payload.path.ends_with("/chat/completions");
        let choice = if chat {
            json!({
                "index": 0,
                "message": { "role": "assistant", "content": self.text },
                "finish_reason": "stop",
            })
        } else {
            json!({ "index": 0, "text": self.text, "finish_reason": "stop" })
        };
        json!({
            "id": format_request_id(request),
            "object": if chat { "chat.completion" } else { "text_completion" },
            "model": payload.model,
            "choices": [choice],
            "usage": {
                "prompt_tokens": payload.prompt_tokens,
                "completion_tokens": self.tokens,
                "total_tokens": payload.prompt_tokens + self.tokens,
            },
        })
    }
}

/// Sends a request to an engine and passes the response on as it is received.
///
/// Every chunk must carry the request's ID, and the tokens of events with IDs must be in
/// order and without gaps. After an attempt that failed midway, the response is resumed after the last token
/// received.
pub(crate) fn exchange_completion(
    attempt: &ServerAttempt<'_>,
    payload: &CompletionPayload,
    progress: &mut ResponseProgress,
) -> AttemptOutcome {
    let response = match send(attempt, payload, progress.tokens) {
        Ok(response) => response,
        Err(fault) => return AttemptOutcome::Fault(fault),
    };
    let mut events = EventReader::new(response);
    progress.last_progress = (attempt.shared.now(), progress.tokens);
    let mut last_chunk = None;
    loop {
        let event = match events.next() {
            Ok(Some(event)) => event,
            Ok(None) => return AttemptOutcome::Fault(ServerFault::Broken),
            Err(cause) => {
                return AttemptOutcome::Fault(classify_read_error(attempt, &cause));
            }
        };
        if event.data == DONE {
            return finish_response(attempt, payload, progress, last_chunk.as_deref());
        }
        match handle_event(attempt, &event, progress) {
            Ok(true) => last_chunk = Some(event.data),
            Ok(false) => {}
            Err(outcome) => return outcome,
        }
    }
}

/// Sends the request and returns the response, whose body hasn't been read. `received` is
/// the number of tokens received by earlier attempts.
fn send(
    attempt: &ServerAttempt<'_>,
    payload: &CompletionPayload,
    received: u32,
) -> Result<attohttpc::Response, ServerFault> {
    let mut body = payload.body.clone();
    body["stream"] = json!(true);
    body["priority"] = json!(attempt.priority);
    let url = format!("http://{}{}", attempt.address, payload.path);
    let text = serde_json::to_vec(&body).unwrap_or_default();
    let id = format_request_id(attempt.request_id);
    let request = attohttpc::post(url)
        .header("Content-Type", "application/json")
        .header(REQUEST_ID_HEADER, &id);
    let request = match received.checked_sub(1) {
        Some(last) => request.header("Last-Event-ID", last.to_string()),
        None => request,
    };
    let request = attempt.prepare(request.bytes(text));
    let response = request.send().map_err(|cause| classify_send_error(&cause))?;
    let fault = mismatch_fault(&response, &id).or_else(|| refusal_fault(&response));
    if let Some(fault) = fault {
        return Err(fault);
    }
    if !response.is_success() {
        return Err(ServerFault::Broken);
    }
    Ok(response)
}

/// Checks an event and passes on its token. Returns whether it is the last chunk.
fn handle_event(
    attempt: &ServerAttempt<'_>,
    event: &ServerSentEvent,
    progress: &mut ResponseProgress,
) -> Result<bool, AttemptOutcome> {
    let broken = || AttemptOutcome::Fault(ServerFault::Broken);
    let chunk: CompletionChunk =
        serde_json::from_str(&event.data).map_err(|_| broken())?;
    if chunk.id != format_request_id(attempt.request_id) {
        log::warn!(
            request_id = format_request_id(attempt.request_id);
            "an engine sent the response to another request"
        );
        return Err(broken());
    }
    if chunk.is_last() {
        let reported = chunk.usage.as_ref().map(|usage| usage.completion_tokens);
        if reported.is_some_and(|reported| reported != progress.tokens) {
            return Err(broken());
        }
        return Ok(true);
    }
    let Some(text) = chunk.text() else { return Ok(false) };
    if let Some(index) = event.id.as_ref().and_then(|id| id.parse::<u32>().ok()) {
        if index < progress.tokens {
            // The engine has resent a token that has already been received.
            return Ok(false);
        }
        if index > progress.tokens {
            return Err(broken());
        }
    }
    let now = attempt.shared.now();
    let first = progress.tokens == 0;
    progress
        .pass_token(&event.data, text, now)
        .map_err(|_| AttemptOutcome::CallerGone)?;
    report_progress(attempt, progress, first, now);
    Ok(false)
}

/// Reports the first token to the decision core, and then the progress after every
/// [`TOKENS_PER_PROGRESS_EVENT`] tokens.
fn report_progress(
    attempt: &ServerAttempt<'_>,
    progress: &mut ResponseProgress,
    first: bool,
    now: Duration,
) {
    let (shared, request) = (attempt.shared, attempt.request_id);
    if first {
        shared.log.add(request, now, StepKind::FirstToken);
        shared.tell(PolicyEvent::FirstToken { request });
        progress.last_progress = (now, progress.tokens);
        return;
    }
    let (since, mark) = progress.last_progress;
    let tokens = progress.tokens - mark;
    if tokens >= TOKENS_PER_PROGRESS_EVENT {
        let span = now.saturating_sub(since);
        shared.tell(PolicyEvent::Progress { request, tokens, span });
        progress.last_progress = (now, progress.tokens);
    }
}

/// Ends the response at `[DONE]`. The attempt has failed if no last chunk was received.
fn finish_response(
    attempt: &ServerAttempt<'_>,
    payload: &CompletionPayload,
    progress: &mut ResponseProgress,
    last_chunk: Option<&str>,
) -> AttemptOutcome {
    let Some(last_chunk) = last_chunk else {
        return AttemptOutcome::Fault(ServerFault::Broken);
    };
    if !progress.wants_stream {
        return AttemptOutcome::Complete(
            progress.build_response(attempt.request_id, payload),
        );
    }
    match progress.finish_stream(last_chunk) {
        Ok(()) => AttemptOutcome::Streamed,
        Err(_) => AttemptOutcome::CallerGone,
    }
}
