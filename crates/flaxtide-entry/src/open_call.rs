//! A request that is being answered: its tries at servers, and how it ends.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use flaxtide_core::{RequestId, ServerId};
use flaxtide_policy::{RetryDecision, RouteChoice, RouteFault};

use crate::contract::RequestHead;
use crate::crash::server_has_ended;
use crate::duty::CallUsage;
use crate::exchange::{CallerRequest, ResponseStart, ServerTry, exchange};
use crate::reply::{CallerResponse, LocalReply};
use crate::routes::ClassMatch;
use crate::state::TrafficState;

/// When a caller is asked to come back at the latest.
pub(crate) const LATEST_RETRY: Duration = Duration::from_secs(1);

/// The part of the time that is left after which a caller is told at the latest to come
/// back, so that its next try has time.
pub(crate) const RETRY_PART: u32 = 3;

/// A request that is being answered. Dropping it tells the router that it has ended.
pub(crate) struct OpenCall {
    /// The state of the traffic thread.
    pub(crate) state: Rc<TrafficState>,
    /// The request.
    pub(crate) request: RequestId,
    /// What identifies it to its caller.
    pub(crate) attempt: String,
    /// Its class.
    pub(crate) class: ClassMatch,
    /// When it came.
    pub(crate) received: Duration,
    /// When its caller, or its class, stops waiting.
    pub(crate) deadline: Duration,
    /// Whether it may have run at a server.
    pub(crate) may_have_run: Cell<bool>,
    /// The server that it was last sent to.
    server: Cell<Option<ServerId>>,
    /// Whether a connection of it went silent or broke: the next try opens a new one.
    doubted: Cell<bool>,
    /// When the first of its answer came.
    first: Cell<Option<Duration>>,
    /// The longest time between two pieces of its answer.
    pub(crate) longest_pause: Cell<Duration>,
    /// Whether its end has been logged.
    ended: Cell<bool>,
    /// When it was last sent to a server.
    sent: Cell<Duration>,
    /// What it adds to the usage.
    usage: Option<CallUsage>,
}

/// What became of one try.
pub(crate) enum AttemptOutcome {
    /// The answer has started.
    Started(ResponseStart),
    /// A server failed it.
    Fault(RouteFault),
    /// Its time is over.
    TimedOut,
    /// It isn't sent: servers end under it.
    Quarantined,
}

impl OpenCall {
    /// Opens a call.
    pub(crate) fn new(
        state: &Rc<TrafficState>,
        class: ClassMatch,
        attempt: String,
        head: &RequestHead,
        received: Duration,
        usage: Option<CallUsage>,
    ) -> Self {
        let timeout = class.class().timeout;
        let wait = head.deadline.map_or(timeout, |deadline| deadline.min(timeout));
        state.open.set(state.open.get() + 1);
        state.metrics.open_calls.set(state.open.get() as i64);
        Self {
            state: state.clone(),
            request: state.number(),
            attempt,
            class,
            received,
            deadline: received + wait,
            may_have_run: Cell::new(false),
            server: Cell::new(None),
            doubted: Cell::new(false),
            first: Cell::new(None),
            longest_pause: Cell::new(Duration::ZERO),
            ended: Cell::new(false),
            sent: Cell::new(received),
            usage,
        }
    }

    /// Logs how the request ended, once.
    pub(crate) fn record_end(&self, end: &'static str, status: u16) {
        if self.ended.replace(true) {
            return;
        }
        let state = &self.state;
        state.metrics.ends.with_label_values(&[end]).inc();
        let spent = state.now().saturating_sub(self.received).as_millis() as u64;
        let first = self.first.get().map_or(-1, |first| first.as_millis() as i64);
        log::info!(
            request = self.attempt, class = self.class.class().name, outcome = end,
            status, late = self.late_cause().unwrap_or_default(),
            target_ms = self.class.class().latency_target.as_millis() as u64, first_ms = first, pause_ms = self.longest_pause.get().as_millis() as u64, spent_ms = spent, may_have_run = self.may_have_run.get();
            "end"
        );
    }

    /// Counts a whole answer that missed its target.
    pub(crate) fn record_missed_target(&self) {
        if let Some(cause) = self.late_cause() {
            self.state.metrics.late.with_label_values(&[cause]).inc();
        }
    }

    /// Returns by what an answer missed its target: its first event, or a pause.
    fn late_cause(&self) -> Option<&'static str> {
        let class = self.class.class();
        if self.first.get().is_some_and(|first| first > class.latency_target) {
            return Some("first");
        }
        let paused =
            class.pause_target.is_some_and(|most| self.longest_pause.get() > most);
        paused.then_some("pause")
    }

    /// Records that the answer, or its first event, has come.
    pub(crate) fn note_first(&self) {
        let spent = self.state.now().saturating_sub(self.received);
        self.first.set(Some(spent));
        self.state.metrics.latency.observe(spent.as_secs_f64());
        self.count_usage();
    }

    /// Counts the request among those that began to run: a stream with its first event, another
    /// one when it was sent.
    fn count_usage(&self) {
        let Some(usage) = &self.usage else { return };
        let streams = self.class.class().kind.streams();
        let ago = self.state.now().saturating_sub(self.sent.get());
        usage.begin(if streams { Duration::ZERO } else { ago });
    }

    /// Returns how much time is left.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_sub(self.state.now())
    }

    /// Makes an answer of the instance's own, which ends the request.
    pub(crate) fn reply(
        &self,
        reply: LocalReply,
        retry_after: Option<Duration>,
    ) -> CallerResponse {
        let answer = reply.answer(retry_after);
        self.record_end(reply.name(), answer.status().as_u16());
        answer
    }

    /// Answers a request that a server failed and that isn't tried again.
    pub(crate) fn give_up(&self, fault: RouteFault) -> CallerResponse {
        if self.may_have_run.get() {
            let reply = match fault {
                RouteFault::Silent => LocalReply::TimedOut,
                _ => LocalReply::ServerFailed,
            };
            return self.reply(reply, None);
        }
        let retry_after = self.time_left() / RETRY_PART;
        self.reply(LocalReply::NoServer, Some(retry_after.min(LATEST_RETRY)))
    }

    /// Answers a request under which servers end.
    pub(crate) fn quarantine(&self, request: &CallerRequest) -> CallerResponse {
        self.state.quarantine.renew(&self.state, request);
        log::info!(
            request = self.attempt, class = self.class.class().name,
            fingerprint = format!("{:032x}", request.fingerprint());
            "quarantined"
        );
        if self.may_have_run.get() {
            return self.reply(LocalReply::ServerFailed, None);
        }
        self.reply(LocalReply::Quarantined, None)
    }

    /// Answers a request whose time is over.
    pub(crate) fn time_over(&self) -> CallerResponse {
        if self.may_have_run.get() {
            return self.reply(LocalReply::TimedOut, None);
        }
        self.reply(LocalReply::TooLate, Some(LATEST_RETRY))
    }

    /// Sends the request to a server and waits for the start of the answer, as long as the
    /// router is patient.
    pub(crate) async fn try_server(
        &self,
        request: &CallerRequest,
        choice: &RouteChoice,
        silence_timeout: Option<Duration>,
        last_event: Option<u64>,
    ) -> AttemptOutcome {
        let left = self.time_left();
        if left.is_zero() {
            return AttemptOutcome::TimedOut;
        }
        // It may have been found to crash servers while it waited.
        if self.state.quarantine.holds(request) {
            return AttemptOutcome::Quarantined;
        }
        self.server.set(Some(choice.server));
        self.sent.set(self.state.now());
        log::info!(
            request = self.attempt, class = self.class.class().name,
            server = self.state.server_name(choice.server).unwrap_or_default(),
            reason:? = choice.reason, cost_ms = choice.cost_ms as u64, expected_ms = choice.expected.as_millis() as u64,
            running = choice.running, uncached = choice.uncached, taken_over = choice.fetch.map_or(0, |fetch| fetch.tokens), tokens = request.tokens, tier = request.tier.unwrap_or_default(),
            eligible = choice.eligible, left_ms = left.as_millis() as u64,
            resume = last_event.unwrap_or_default();
            "dispatch"
        );
        let reason = format!("{:?}", choice.reason);
        self.state.metrics.dispatches.with_label_values(&[&reason]).inc();
        let (number, fresh) = (self.request, self.doubted.get());
        let attempt = ServerTry { number, choice, left, last_event, fresh };
        let sent = exchange(&self.state, request, attempt);
        let mut sent = std::pin::pin!(sent);
        loop {
            let left = self.time_left();
            let wait =
                silence_timeout.map_or(left, |silence_timeout| silence_timeout.min(left));
            let until = self.state.now() + wait;
            match self.state.wait_until(until, &mut sent).await {
                Some(Ok(start)) => return AttemptOutcome::Started(start),
                Some(Err(fault)) => return AttemptOutcome::Fault(fault),
                None if wait < left && !self.time_left().is_zero() => {
                    if self.may_break_off(false) {
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

    /// Tells whether the request may leave a server that is silent.
    pub(crate) fn may_break_off(&self, resumable: bool) -> bool {
        self.state
            .with_router(|core, now| core.may_abort_silent(self.request, resumable, now))
    }

    /// Records it if the server of a request has ended under it.
    async fn note_crash(&self, request: &CallerRequest, fault: RouteFault) {
        let (RouteFault::Broken, Some(server)) = (fault, self.server.get()) else {
            return;
        };
        let progress = self.state.with_router(|core, _| core.progress(self.request));
        let Some(progress) = progress else { return };
        if server_has_ended(&self.state, server).await {
            self.state.quarantine.record(&self.state, request, server, progress);
        }
    }

    /// Tells the router of a fault. Returns whether the request is tried again.
    pub(crate) async fn handle_fault(
        &self,
        request: &CallerRequest,
        fault: RouteFault,
        resumable: bool,
    ) -> RetryDecision {
        self.note_crash(request, fault).await;
        if !fault.not_run() {
            self.may_have_run.set(true);
            self.doubted.set(true);
        }
        if let (RouteFault::Silent, Some(server)) = (fault, self.server.get()) {
            self.state.links.doubt(server);
        }
        let mut verdict = RetryDecision::Stop;
        let quarantined = self.state.quarantine.holds(request);
        self.state.run_router(|core, now| {
            if quarantined {
                return core.fail_without_retry(self.request, fault, now);
            }
            let (decided, actions) = core.fail(self.request, fault, resumable, now);
            verdict = decided;
            actions
        });
        let label = format!("{fault:?}");
        self.state.metrics.faults.with_label_values(&[&label]).inc();
        let server = self.server.get().and_then(|server| self.state.server_name(server));
        log::info!(
            request = self.attempt, server = server.unwrap_or_default(), fault = label, again = verdict == RetryDecision::Retry,
            left_ms = self.time_left().as_millis() as u64;
            "fault"
        );
        verdict
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.record_end("caller_left", 0);
        self.state.forget(self.request);
        self.state.run_router(|core, now| core.cancel(self.request, now));
        self.state.open.set(self.state.open.get() - 1);
        self.state.metrics.open_calls.set(self.state.open.get() as i64);
    }
}
