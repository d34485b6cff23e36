//! An open call. A call is a caller's request that the rules accept, with all its attempts at
//! backend servers and its outcome.

mod replies;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use flaxtide_core::{RequestId, ServerId, ServerName};
use flaxtide_policy::{RetryDecision, RouteChoice, RouteFault};

use crate::contract::{CallKind, RequestHead, ResumedStream};
use crate::crash::record_broken;
use crate::duty::CallUsage;
use crate::exchange::{
    CallerRequest, ResponseStart, SendFault, ServerAttempt, send_attempt,
};
use crate::forward::{CarriedCall, PeerReply};
use crate::routes::ClassMatch;
use crate::state::TrafficState;
use crate::versions::StreamIdentity;

/// The longest `Retry-After` that a caller is given.
pub(crate) const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);

/// `Retry-After` is at most the time left until the deadline divided by this, so that the retry
/// can still finish.
pub(crate) const RETRY_DIVISOR: u32 = 3;

/// A call in progress. Dropping it reports its end to the router.
pub(crate) struct OpenCall {
    /// The state shared by all tasks of the traffic thread.
    pub(crate) state: Rc<TrafficState>,
    /// The ID under which the router knows the request.
    pub(crate) request_id: RequestId,
    /// The caller's ID of this attempt; empty if it sent none. Used in log lines.
    pub(crate) attempt_id: String,
    /// What the caller has of a stream that it takes up again.
    pub(crate) resumed: Option<ResumedStream>,
    /// Identifies its stream, if another instance may have to continue it.
    pub(crate) stream: Option<StreamIdentity>,
    /// The request class that it matched.
    pub(crate) class: ClassMatch,
    /// The name of the service whose servers it is sent to.
    pub(crate) service: String,
    /// When its head was received.
    pub(crate) received_at: Duration,
    /// When the caller gives up, or the time-out of the class ends, whichever is earlier.
    pub(crate) deadline: Duration,
    /// Whether any server may have run the request, without the current attempt.
    pub(crate) may_have_run: Cell<bool>,
    /// Whether an attempt is in progress.
    at_server: Cell<bool>,
    /// How many servers it has reached, without the current one.
    servers_reached: Cell<u32>,
    /// The server that it was last sent to.
    server: Cell<Option<ServerId>>,
    /// Whether a connection used for it went silent or broke. If so, the next attempt opens
    /// a new connection.
    connection_suspect: Cell<bool>,
    /// The time from receipt to the first event of the response, or to the whole response.
    first_event_after: Cell<Option<Duration>>,
    /// The ids of the first and the last event that were passed on, of those with a numeric id.
    pub(crate) events: Cell<Option<(u64, u64)>>,
    /// The longest pause between two pieces of the response.
    pub(crate) longest_pause: Cell<Duration>,
    /// Whether a response has gone on for so long that no part of the prompt crashes servers.
    pub(crate) parts_proven: Cell<bool>,
    /// Whether it is sent although it is quarantined, to find out whether it crashes servers.
    is_trial: Cell<bool>,
    /// Whether [`Self::record_end`] has been called.
    end_recorded: Cell<bool>,
    /// When it was last sent to a server.
    sent_at: Cell<Duration>,
    /// Counts it in the usage report; `None` if usage isn't reported.
    usage: Option<CallUsage>,
    /// Counts it among the forwarded requests; `None` if a caller sent it.
    carried: Option<CarriedCall>,
}

/// The outcome of one attempt at a server.
pub(crate) enum AttemptOutcome {
    /// The server has begun to respond.
    Started(Box<ResponseStart>),
    /// The attempt failed.
    Fault(RouteFault),
    /// The deadline of the call has passed.
    TimedOut,
    /// The request was not sent, because it crashes servers.
    Quarantined,
    /// The peer that the request was forwarded to responds itself.
    Refused(PeerReply),
}

/// How a request may be sent to another server after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RetryMode {
    /// From the beginning, if its class allows it: nothing of the response has been passed on.
    Repeat,
    /// To continue the stream after the last event that was passed on.
    Resume,
    /// Not at all.
    Never,
}

impl OpenCall {
    /// Opens a call and counts it as open.
    pub(crate) fn new(
        state: &Rc<TrafficState>,
        class: ClassMatch,
        attempt_id: String,
        head: &RequestHead,
        received_at: Duration,
        usage: Option<CallUsage>,
        carried: Option<CarriedCall>,
    ) -> Self {
        let timeout = class.class().timeout;
        let wait = head.deadline.map_or(timeout, |deadline| deadline.min(timeout));
        state.open_calls.set(state.open_calls.get() + 1);
        state.metrics.open_calls.set(state.open_calls.get() as i64);
        Self {
            state: state.clone(),
            request_id: state.next_request_id(),
            attempt_id,
            resumed: head.resumed.clone(),
            stream: None,
            class,
            service: String::new(),
            received_at,
            deadline: received_at + wait,
            may_have_run: Cell::new(false),
            at_server: Cell::new(false),
            servers_reached: Cell::new(0),
            server: Cell::new(None),
            connection_suspect: Cell::new(false),
            first_event_after: Cell::new(None),
            events: Cell::default(),
            longest_pause: Cell::new(Duration::ZERO),
            parts_proven: Cell::new(false),
            is_trial: Cell::new(false),
            end_recorded: Cell::new(false),
            sent_at: Cell::new(received_at),
            usage,
            carried,
        }
    }

    /// Returns whether another server may continue the stream.
    pub(crate) fn is_resumable(&self) -> bool {
        self.class.class().kind == (CallKind::Stream { resumable: true })
    }

    /// Returns the id of the last event that the caller has of the stream that it takes up.
    pub(crate) fn taken_up_after(&self) -> Option<u64> {
        let resumed = self.resumed.as_ref().filter(|_| self.is_resumable());
        resumed.and_then(|stream| stream.last_event)
    }

    /// Returns whether a peer has forwarded the request.
    pub(crate) fn is_carried(&self) -> bool {
        self.carried.is_some()
    }

    /// Logs and counts the outcome of the request. Has no effect if they
    /// have already been recorded.
    pub(crate) fn record_end(&self, end: &'static str, status: u16) {
        if self.end_recorded.replace(true) {
            return;
        }
        let state = &self.state;
        state.metrics.ends.with_label_values(&[end]).inc();
        let spent = state.now().saturating_sub(self.received_at).as_millis() as u64;
        let first = self
            .first_event_after
            .get()
            .map_or(-1, |first| first.as_millis() as i64);
        let (first_event, last_event) = self.events.get().unzip();
        log::info!(
            request = self.attempt_id, class = self.class.class().name, outcome = end,
            status, first_event:?, last_event:?, late = self.late_cause().unwrap_or_default(),
            target_ms = self.class.class().latency_target.as_millis() as u64, first_ms = first, pause_ms = self.longest_pause.get().as_millis() as u64, spent_ms = spent, may_have_run = self.may_have_run.get();
            "end"
        );
    }

    /// Counts a complete response that missed its latency target.
    pub(crate) fn record_missed_target(&self) {
        if let Some(cause) = self.late_cause() {
            self.state.metrics.late.with_label_values(&[cause]).inc();
        }
    }

    /// Returns which target the response missed: `first` (time to the first event) or `pause`
    /// (between two events).
    fn late_cause(&self) -> Option<&'static str> {
        let class = self.class.class();
        if self
            .first_event_after
            .get()
            .is_some_and(|first| first > class.latency_target)
        {
            return Some("first");
        }
        let paused = class
            .pause_target
            .is_some_and(|limit| self.longest_pause.get() > limit);
        paused.then_some("pause")
    }

    /// Records the arrival of the response, or of its first event if it is a stream.
    pub(crate) fn record_first_event(&self) {
        let elapsed = self.state.now().saturating_sub(self.received_at);
        self.first_event_after.set(Some(elapsed));
        self.state.metrics.latency.observe(elapsed.as_secs_f64());
        self.count_usage();
    }

    /// Counts the request in the usage report. A stream counts from its first event, any other
    /// request from when it was sent.
    fn count_usage(&self) {
        let Some(usage) = &self.usage else { return };
        let streams = self.class.class().kind.streams();
        let ago = self.state.now().saturating_sub(self.sent_at.get());
        usage.begin(if streams { Duration::ZERO } else { ago });
    }

    /// Returns when the request was last sent to a server.
    pub(crate) fn sent_at(&self) -> Duration {
        self.sent_at.get()
    }

    /// Returns the name of the server, or the peer, that it was last sent to.
    pub(crate) fn server_name(&self) -> ServerName {
        let server = self.server.get().map(|server| self.state.target_name(server));
        server.unwrap_or_default()
    }

    /// Returns the time left until the deadline.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_sub(self.state.now())
    }

    /// Returns whether the request must not be sent to any server, because it is quarantined and
    /// isn't tried.
    pub(crate) fn is_held(&self, request: &CallerRequest) -> bool {
        let quarantine = &self.state.quarantine;
        if self.is_trial.get() || !quarantine.is_quarantined(request) {
            return false;
        }
        self.is_trial.set(quarantine.begin_trial(&self.state, request));
        !self.is_trial.get()
    }

    /// Sends the request to a server and waits for the start of the response. After
    /// each `silence_timeout`, the router decides whether to abort the attempt.
    pub(crate) async fn try_server(
        &self,
        request: &CallerRequest,
        choice: &RouteChoice,
        silence_timeout: Option<Duration>,
        last_event: Option<u64>,
    ) -> AttemptOutcome {
        let time_left = self.time_left();
        if time_left.is_zero() {
            return AttemptOutcome::TimedOut;
        }
        // It may have been quarantined while it waited in the queue.
        if self.is_held(request) {
            return AttemptOutcome::Quarantined;
        }
        self.server.set(Some(choice.server));
        self.at_server.set(true);
        self.sent_at.set(self.state.now());
        log::info!(
            request = self.attempt_id, class = self.class.class().name,
            server = self.state.target_name(choice.server),
            reason:? = choice.reason, cost_ms = choice.cost_ms as u64, expected_ms = choice.expected.as_millis() as u64,
            running = choice.running, uncached = choice.uncached, taken_over = choice.fetch.map_or(0, |fetch| fetch.tokens), tokens = request.tokens, tier = request.tier.unwrap_or_default(),
            eligible = choice.eligible, left_ms = time_left.as_millis() as u64,
            resume = last_event.unwrap_or_default(),
            version = self.state.server_version(choice.server).unwrap_or_default(),
            resumes = self.resumes(),
            list_age_ms = self.state.list_age_ms(),
            rules_version = self.state.rules_version(),
            rules_lag_ms = self.state.rules_lag_ms();
            "dispatch"
        );
        let reason = format!("{:?}", choice.reason);
        self.state.metrics.dispatches.with_label_values(&[&reason]).inc();
        let (request_id, new_connection) =
            (self.request_id, self.connection_suspect.get());
        let attempt = ServerAttempt {
            request_id,
            choice,
            time_left,
            last_event,
            new_connection,
        };
        let sent = send_attempt(&self.state, request, attempt);
        let mut sent = std::pin::pin!(sent);
        loop {
            let time_left = self.time_left();
            let wait =
                silence_timeout.map_or(time_left, |timeout| timeout.min(time_left));
            let until = self.state.now() + wait;
            match self.state.wait_until(until, &mut sent).await {
                Some(Ok(start)) => return AttemptOutcome::Started(Box::new(start)),
                Some(Err(SendFault::Fault(fault))) => {
                    return AttemptOutcome::Fault(fault);
                }
                Some(Err(SendFault::Refused(refusal))) => {
                    return AttemptOutcome::Refused(refusal);
                }
                None if wait < time_left && !self.time_left().is_zero() => {
                    if self.may_abort_silent(false) {
                        return AttemptOutcome::Fault(RouteFault::Silent);
                    }
                }
                None => {
                    self.may_have_run.set(true);
                    return AttemptOutcome::TimedOut;
                }
            }
        }
    }

    /// Returns after which silence of the stream to ask [`Self::may_abort_silent`].
    pub(crate) fn stream_patience(&self, usual: Duration) -> Duration {
        self.state
            .with_router(|core, now| core.stream_patience(self.request_id, usual, now))
    }

    /// Returns whether the attempt may be aborted because its server is silent. `resumable` tells
    /// whether another server can resume the stream.
    pub(crate) fn may_abort_silent(&self, resumable: bool) -> bool {
        self.state.with_router(|core, now| {
            core.may_abort_silent(self.request_id, resumable, now)
        })
    }

    /// Reports a failed attempt to the router. Returns whether the request is retried.
    pub(crate) async fn handle_fault(
        &self,
        request: &CallerRequest,
        fault: RouteFault,
        mode: RetryMode,
    ) -> RetryDecision {
        if let (RouteFault::Broken, Some(server)) = (fault, self.server.get()) {
            record_broken(self, request, server).await;
        }
        self.at_server.set(false);
        if fault.reached_server() {
            self.servers_reached.set(self.servers_reached.get() + 1);
        }
        if !fault.not_run() {
            self.is_trial.set(false);
            self.may_have_run.set(true);
            self.connection_suspect.set(true);
        }
        if let (RouteFault::Silent, Some(server)) = (fault, self.server.get()) {
            self.state.connections.close_idle_of(server);
        }
        let counts = self
            .state
            .with_router(|core, now| core.retry_counts(self.request_id, now));
        let mut decision = RetryDecision::Stop;
        let quarantined = self.is_held(request);
        self.state.run_router(|core, now| {
            if quarantined || mode == RetryMode::Never {
                return core.fail_without_retry(self.request_id, fault, now);
            }
            let resumes = mode == RetryMode::Resume;
            let (decided, actions) = core.fail(self.request_id, fault, resumes, now);
            decision = decided;
            actions
        });
        let label = format!("{fault:?}");
        self.state.metrics.faults.with_label_values(&[&label]).inc();
        log::info!(
            request = self.attempt_id, server = self.server_name(), fault = label, again = decision == RetryDecision::Retry,
            left_ms = self.time_left().as_millis() as u64,
            arrived = counts.arrived, retries = counts.retries,
            instances = self.state.live_instances.get();
            "fault"
        );
        decision
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.record_end("caller_left", 0);
        self.state.remove_waiter(self.request_id);
        self.state.run_router(|core, now| core.cancel(self.request_id, now));
        self.state.open_calls.set(self.state.open_calls.get() - 1);
        self.state.metrics.open_calls.set(self.state.open_calls.get() as i64);
    }
}
