//! Relays a stream of server-sent events to a caller. It passes on complete events only,
//! so that another server can continue after the last one if the stream breaks.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use flaxtide_policy::{RetryDecision, RouteAction, RouteFault};
use futures::StreamExt;
use futures::stream;
use http_body_util::{Either, StreamBody};
use hyper::body::Frame;

use crate::body::UpstreamBody;
use crate::event_order::OrderFault;
use crate::events::EventSplitter;
use crate::exchange::{CallerRequest, ResponseStart};
use crate::open_call::{AttemptOutcome, OpenCall, RetryMode};
use crate::proof::StreamProof;
use crate::reply::ResponseBody;
use crate::response::may_be_event_stream;

/// A server that sends nothing for this long in the middle of a resumable stream is
/// replaced by another. Callers wait for at least two seconds, so this leaves time for
/// the other server.
const STALL_TIMEOUT: Duration = Duration::from_millis(1000);

/// The most bytes that are still passed on after the deadline: a stream that is whole by then is
/// delivered late, while a server that goes on sending doesn't prolong its stream.
const MAX_LATE_BYTES: usize = 64 * 1024;

/// How long the end of a stream may be checked after the deadline. A server that lives answers within
/// milliseconds.
const LATE_CHECK_WAIT: Duration = Duration::from_millis(250);

/// A stream of events from a server to a caller.
pub(crate) struct StreamRelay {
    /// The call that the stream answers.
    call: OpenCall,
    /// The caller's request, sent again to another server if the stream breaks.
    request: CallerRequest,
    /// The body of the server's response, or `None` between two servers.
    source: Option<UpstreamBody>,
    /// Holds back the bytes of an incomplete event.
    splitter: EventSplitter,
    /// The bytes that had arrived before the relay was created.
    first_bytes: Option<Bytes>,
    /// When the last bytes arrived.
    last_received: Duration,
    /// After which silence the router is asked about the current server; `None` until it has
    /// said so, and after each pause.
    patience: Option<Duration>,
    /// Whether the version of the server that began the stream is known.
    has_version: bool,
    /// When the stream proves the parts of the prompt.
    proof: StreamProof,
    /// The bytes that were received after the deadline.
    late_bytes: usize,
    /// Whether the end of the stream has been recorded, and nothing more follows.
    ended: bool,
}

impl StreamRelay {
    /// Creates a relay that begins with the first bytes of a stream. `has_version` tells whether
    /// the version of its server is known.
    pub(crate) fn new(
        call: OpenCall,
        request: CallerRequest,
        source: UpstreamBody,
        first_bytes: Bytes,
        has_version: bool,
    ) -> Self {
        let last_received = call.state.now();
        let mut splitter = EventSplitter::after(call.taken_up_after());
        if call.state.gapped_services.borrow().contains(&call.service) {
            splitter.accept_gaps();
        }
        Self {
            call,
            request,
            source: Some(source),
            splitter,
            first_bytes: Some(first_bytes),
            last_received,
            patience: None,
            has_version,
            proof: StreamProof::default(),
            late_bytes: 0,
            ended: false,
        }
    }

    /// Returns whether another server of the same version can continue the stream.
    fn resumable(&self) -> bool {
        self.has_version && self.splitter.is_resumable() && self.call.is_resumable()
    }

    /// Returns how the request may be sent to another server now.
    fn retry_mode(&self) -> RetryMode {
        match self.resumable() {
            true => RetryMode::Resume,
            false => RetryMode::Never,
        }
    }

    /// Returns the next complete events, or `None` at the end.
    async fn next(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            if let Some(fault) = self.splitter.order_fault() {
                self.record_order_fault(fault);
                self.resume(RouteFault::Broken).await?;
                continue;
            }
            let bytes = match self.first_bytes.take() {
                Some(bytes) => Ok(Some(bytes)),
                None => self.receive().await,
            };
            match bytes {
                Ok(Some(bytes)) => {
                    self.record_pause();
                    self.proof.record_events(&self.call, &self.request);
                    let complete = self.splitter.push(&bytes);
                    self.record_events();
                    self.record_numbering();
                    if self.splitter.event_bytes() > self.max_event_bytes() {
                        self.resume(RouteFault::Broken).await?;
                        continue;
                    }
                    if !complete.is_empty() {
                        return Ok(Some(complete));
                    }
                }
                Ok(None) => return Ok(self.finish()),
                Err(AttemptOutcome::Fault(fault)) => self.resume(fault).await?,
                Err(_) => return Err(self.abort("timed_out")),
            }
        }
    }

    /// Returns the longest event that a server may send.
    fn max_event_bytes(&self) -> usize {
        self.call.state.response_memory.max_unstated()
    }

    /// Records which events have been passed on.
    fn record_events(&self) {
        let first = self.call.events.get().map(|(first, _)| first);
        let first = first.or(self.splitter.first_event());
        self.call.events.set(first.zip(self.splitter.last_event()));
    }

    /// Records that the ids of the service leave out others, once two servers have confirmed it. Its
    /// next streams then cost no confirmation.
    fn record_numbering(&self) {
        if self.splitter.has_confirmed_gap() {
            let mut services = self.call.state.gapped_services.borrow_mut();
            if services.insert(self.call.service.clone()) {
                log::info!(service = self.call.service.as_str(); "event ids don't count by one");
            }
        }
    }

    /// Records that the server sends events that can't follow the ones before.
    fn record_order_fault(&self, fault: OrderFault) {
        let state = &self.call.state;
        state.metrics.order_faults.with_label_values(&[fault.name()]).inc();
        log::warn!(
            request = self.call.attempt_id.as_str(), server = self.call.server_name(),
            cause = fault.to_string();
            "events out of order"
        );
    }

    /// Records what the current server has sent, when its part of the stream breaks off.
    fn record_broken_part(&self, fault: RouteFault) {
        log::info!(
            request = self.call.attempt_id.as_str(), server = self.call.server_name(),
            fault:?, first_event:? = self.splitter.first_event(),
            last_event:? = self.splitter.last_event();
            "part of a stream broken off"
        );
    }

    /// Records the pause before the bytes that have just arrived.
    fn record_pause(&mut self) {
        let now = self.call.state.now();
        let pause = now.saturating_sub(self.last_received);
        self.last_received = now;
        let longest = self.call.longest_pause.get().max(pause);
        self.call.longest_pause.set(longest);
    }

    /// Receives the next bytes from the server, or `None` at the end of its response.
    async fn receive(&mut self) -> Result<Option<Bytes>, AttemptOutcome> {
        let resumable = self.resumable();
        let Some(source) = &mut self.source else {
            return Err(AttemptOutcome::Fault(RouteFault::Broken));
        };
        let state = self.call.state.clone();
        loop {
            let left = self.call.time_left();
            if left.is_zero() && self.late_bytes > MAX_LATE_BYTES {
                return Err(AttemptOutcome::TimedOut);
            }
            let wait = if resumable {
                let ask = || self.call.stream_patience(STALL_TIMEOUT);
                left.min(*self.patience.get_or_insert_with(ask))
            } else {
                left
            };
            let until = state.now() + wait;
            match state.wait_until(until, source.next(&state)).await {
                Some(Ok(Some(bytes))) => {
                    if left.is_zero() {
                        self.late_bytes += bytes.len();
                    }
                    state.run_router(|core, now| {
                        core.record_response_data(self.call.request_id, now);
                        vec![]
                    });
                    return Ok(Some(bytes));
                }
                Some(Ok(None)) => return self.end_part().await.map(|()| None),
                Some(Err(fault)) => return Err(AttemptOutcome::Fault(fault)),
                None if wait < left && !self.call.time_left().is_zero() => {
                    self.patience = None;
                    if self.call.may_abort_silent(resumable) {
                        return Err(AttemptOutcome::Fault(RouteFault::Silent));
                    }
                }
                None => return Err(AttemptOutcome::TimedOut),
            }
        }
    }

    /// Checks the end of what the current server sends.
    async fn end_part(&mut self) -> Result<(), AttemptOutcome> {
        self.splitter.end_part();
        if let Some(fault) = self.splitter.order_fault() {
            self.record_order_fault(fault);
            return Err(AttemptOutcome::Fault(RouteFault::Broken));
        }
        let Some(source) = self.source.as_ref().filter(|_| !self.splitter.is_event_due())
        else {
            return Err(AttemptOutcome::Fault(RouteFault::Broken));
        };
        let state = &self.call.state;
        let until = self.call.deadline.max(state.now() + LATE_CHECK_WAIT);
        let check = source.check_end(self.splitter.is_whole(), &self.call);
        let checked = state.wait_until(until, check).await;
        checked
            .ok_or(AttemptOutcome::TimedOut)?
            .map_err(AttemptOutcome::Fault)
    }

    /// Finishes a complete stream. Returns the bytes that are left, if any.
    fn finish(&mut self) -> Option<Bytes> {
        self.call
            .state
            .run_router(|core, now| core.finish(self.call.request_id, now));
        let sent = self.call.sent_at();
        self.call
            .state
            .quarantine
            .clear(&self.call.state, &self.request, sent);
        if let Some(stream) = self.call.stream {
            self.call.state.versions.forget(stream);
        }
        self.call.record_missed_target();
        self.call.record_end("streamed", 200);
        self.ended = true;
        let partial = self.splitter.take_partial();
        (!partial.is_empty()).then_some(partial)
    }

    /// Lets another server continue after the last complete event.
    async fn resume(&mut self, fault: RouteFault) -> io::Result<()> {
        self.source = None;
        self.record_broken_part(fault);
        // Asked before the next part begins, as what the last one passed on decides.
        let mode = self.retry_mode();
        self.proof.begin_part();
        self.splitter.begin_part();
        let state = self.call.state.clone();
        let mut fault = fault;
        loop {
            let decision = state.await_decision(self.call.request_id);
            let retry = self.call.handle_fault(&self.request, fault, mode).await;
            if retry == RetryDecision::Stop {
                return Err(self.abort("stream_broken"));
            }
            let decided = state.wait_until(self.call.deadline, decision).await;
            let Some(Ok(RouteAction::Dispatch { choice, silence_timeout, .. })) = decided
            else {
                return Err(self.abort("stream_broken"));
            };
            let last = self.splitter.last_event();
            match self
                .call
                .try_server(&self.request, &choice, silence_timeout, last)
                .await
            {
                AttemptOutcome::Started(start) if continues_stream(&start) => {
                    self.source = Some(start.body);
                    self.patience = None;
                    return Ok(());
                }
                AttemptOutcome::Started(_) => fault = RouteFault::Failed,
                AttemptOutcome::Fault(next) => fault = next,
                AttemptOutcome::TimedOut => return Err(self.abort("timed_out")),
                AttemptOutcome::Refused(_) | AttemptOutcome::Quarantined => {
                    return Err(self.abort("stream_broken"));
                }
            }
        }
    }

    /// Aborts the stream with an error, so that the caller doesn't take it for complete.
    fn abort(&mut self, end: &'static str) -> io::Error {
        self.source = None;
        self.ended = true;
        self.call.record_end(end, 200);
        io::Error::other("stream aborted")
    }
}

/// Returns whether a response may continue a stream of events.
fn continues_stream(start: &ResponseStart) -> bool {
    start.status.is_success() && may_be_event_stream(&start.headers)
}

/// Turns a relay into the body of a response.
pub(crate) fn relay_body(relay: StreamRelay) -> ResponseBody {
    let pieces = stream::unfold(relay, |mut relay| async move {
        if relay.ended {
            return None;
        }
        let piece = match relay.next().await {
            Ok(Some(bytes)) => Ok(Frame::data(bytes)),
            Ok(None) => return None,
            Err(fault) => Err(fault),
        };
        Some((piece, relay))
    });
    Either::Right(StreamBody::new(pieces.boxed_local()))
}
