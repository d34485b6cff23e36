//! A stream of events on its way to a caller. Only whole events are passed on, so that
//! another server can go on after the last.

use std::io;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use flaxtide_policy::{RetryDecision, RouteAction, RouteFault};
use futures::StreamExt;
use futures::stream;
use http_body_util::{Either, StreamBody};
use hyper::body::Frame;

use crate::contract::CallKind;
use crate::exchange::{CallerRequest, UpstreamBody};
use crate::open_call::{AttemptOutcome, OpenCall};
use crate::reply::ResponseBody;

/// A server that is silent for this long in the midst of a stream that another one can go
/// on with is left. Callers wait two seconds at least.
const STALLED: Duration = Duration::from_millis(1000);

/// A stream that is passed on.
pub(crate) struct StreamRelay {
    /// The request.
    call: OpenCall,
    /// What the caller sent, to be sent again if the stream breaks.
    request: CallerRequest,
    /// The server's answer.
    source: Option<UpstreamBody>,
    /// What has come of an event that isn't whole.
    events: EventCutter,
    /// What came before the first poll.
    first: Option<Bytes>,
    /// When the last bytes came.
    last_piece: Duration,
    /// Whether the end has been passed on.
    ended: bool,
}

impl StreamRelay {
    /// Starts with the first bytes of a stream.
    pub(crate) fn new(
        call: OpenCall,
        request: CallerRequest,
        source: UpstreamBody,
        first: Bytes,
    ) -> Self {
        let last_piece = call.state.now();
        Self {
            call,
            request,
            source: Some(source),
            events: EventCutter::default(),
            first: Some(first),
            last_piece,
            ended: false,
        }
    }

    /// Tells whether another server may go on.
    fn resumable(&self) -> bool {
        self.call.class.class().kind == (CallKind::Stream { resumable: true })
    }

    /// Returns the next whole events; nothing at the end.
    async fn next(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            let bytes = match self.first.take() {
                Some(bytes) => Ok(Some(bytes)),
                None => self.receive().await,
            };
            match bytes {
                Ok(Some(bytes)) => {
                    self.record_piece();
                    let whole = self.events.push(&bytes);
                    if !whole.is_empty() {
                        return Ok(Some(whole));
                    }
                }
                Ok(None) => return Ok(self.finish()),
                Err(AttemptOutcome::Fault(fault)) => self.resume(fault).await?,
                Err(_) => return Err(self.cut("timed_out")),
            }
        }
    }

    /// Notes how long nothing came before these bytes.
    fn record_piece(&mut self) {
        let now = self.call.state.now();
        let pause = now.saturating_sub(self.last_piece);
        self.last_piece = now;
        let longest = self.call.longest_pause.get().max(pause);
        self.call.longest_pause.set(longest);
    }

    /// Receives the next bytes.
    async fn receive(&mut self) -> Result<Option<Bytes>, AttemptOutcome> {
        let resumable = self.resumable();
        let Some(source) = &mut self.source else {
            return Err(AttemptOutcome::Fault(RouteFault::Broken));
        };
        let state = self.call.state.clone();
        loop {
            let left = self.call.time_left();
            let wait = if resumable { left.min(STALLED) } else { left };
            let until = state.now() + wait;
            match state.wait_until(until, source.next(&state)).await {
                Some(Ok(Some(bytes))) => {
                    state.run_router(|core, now| {
                        core.record_response_data(self.call.request_id, now);
                        vec![]
                    });
                    return Ok(Some(bytes));
                }
                Some(Ok(None)) => return Ok(None),
                Some(Err(fault)) => return Err(AttemptOutcome::Fault(fault)),
                None if wait < left && !self.call.time_left().is_zero() => {
                    if self.call.may_abort_silent(resumable) {
                        return Err(AttemptOutcome::Fault(RouteFault::Silent));
                    }
                }
                None => return Err(AttemptOutcome::TimedOut),
            }
        }
    }

    /// Ends a whole stream. Returns what is left of it.
    fn finish(&mut self) -> Option<Bytes> {
        self.call
            .state
            .run_router(|core, now| core.finish(self.call.request_id, now));
        self.call.state.quarantine.clear(&self.call.state, &self.request);
        self.call.record_missed_target();
        self.call.record_end("streamed", 200);
        self.ended = true;
        let rest = self.events.take_rest();
        (!rest.is_empty()).then_some(rest)
    }

    /// Has another server go on after the last whole event.
    async fn resume(&mut self, fault: RouteFault) -> io::Result<()> {
        self.source = None;
        self.events.drop_rest();
        let state = self.call.state.clone();
        let mut fault = fault;
        loop {
            let decision = state.await_decision(self.call.request_id);
            let resumable = self.resumable();
            let verdict = self.call.handle_fault(&self.request, fault, resumable).await;
            if verdict == RetryDecision::Stop {
                return Err(self.cut("stream_broken"));
            }
            let decided = state.wait_until(self.call.deadline, decision).await;
            let Some(Ok(RouteAction::Dispatch { choice, silence_timeout, .. })) = decided
            else {
                return Err(self.cut("stream_broken"));
            };
            let last = self.events.last_event;
            match self
                .call
                .try_server(&self.request, &choice, silence_timeout, last)
                .await
            {
                AttemptOutcome::Started(start) if start.status.is_success() => {
                    self.source = Some(start.body);
                    return Ok(());
                }
                AttemptOutcome::Started(_) => fault = RouteFault::Failed,
                AttemptOutcome::Fault(next) => fault = next,
                AttemptOutcome::TimedOut => return Err(self.cut("timed_out")),
                AttemptOutcome::Quarantined => return Err(self.cut("stream_broken")),
            }
        }
    }

    /// Breaks the stream off, so that it doesn't look complete.
    fn cut(&mut self, end: &'static str) -> io::Error {
        self.source = None;
        self.ended = true;
        self.call.record_end(end, 200);
        io::Error::other("the stream broke")
    }
}

/// Makes the body of an answer out of a stream.
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

/// Cuts a stream into whole events.
#[derive(Debug, Default)]
struct EventCutter {
    /// What has come of an event that isn't whole.
    rest: BytesMut,
    /// The number of the last whole event.
    last_event: Option<u64>,
}

impl EventCutter {
    /// Takes in bytes. Returns the events that are whole now.
    fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.rest.extend_from_slice(bytes);
        let Some(end) = last_boundary(&self.rest) else { return Bytes::new() };
        let whole = self.rest.split_to(end).freeze();
        if let Some(number) = last_number(&whole) {
            self.last_event = Some(number);
        }
        whole
    }

    /// Drops what isn't whole.
    fn drop_rest(&mut self) {
        self.rest.clear();
    }

    /// Returns what isn't whole.
    fn take_rest(&mut self) -> Bytes {
        std::mem::take(&mut self.rest).freeze()
    }
}

/// Returns where the last whole event ends.
fn last_boundary(bytes: &[u8]) -> Option<usize> {
    let place = bytes.windows(2).rposition(|pair| pair == b"\n\n")?;
    Some(place + 2)
}

/// Returns the number of the last event.
fn last_number(events: &[u8]) -> Option<u64> {
    let lines = events.split(|byte| *byte == b'\n').rev();
    let number = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    std::str::from_utf8(number).ok()?.trim().parse().ok()
}
