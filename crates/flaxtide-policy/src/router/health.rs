//! The health of a backend server, judged by this instance's own requests and the silence
//! reports of peers. Of engines that have watchers, these tell whether they are alive.

use std::time::Duration;

use super::call::RouteFault;
use super::liveness::EngineLiveness;
use super::options::RouteOptions;
use super::reach::ServerPath;

/// The weight of the newest outcome in the decayed failure rate.
const OUTCOME_WEIGHT: f64 = 0.15;

/// A server whose failure rate exceeds the median of its pool by more than this is an
/// outlier.
pub(crate) const OUTLIER_MARGIN: f64 = 0.3;

/// The reason why a server gets no requests for the sake of its health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthCause {
    /// It is paused after a fault that a request of this instance had.
    Fault,
    /// A peer reported it as silent.
    PeerReport,
    /// Its watchers report that it is dead.
    WatcherReport,
    /// It has sent nothing for too long.
    Silence,
    /// Too many of its requests failed.
    Failures,
}

/// The requests of this instance on a server, as far as they show whether it is silent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ServerWork {
    /// How long responses that are being streamed from the server may pause while it is
    /// alive; `None` if there are none.
    pub(crate) stream_gap: Option<Duration>,
    /// Since when the oldest unanswered request has been waiting.
    pub(crate) waiting_since: Option<Duration>,
    /// How long that request may take.
    pub(crate) expected: Duration,
}

/// The recent responses and faults of a server.
#[derive(Debug, Clone)]
pub(crate) struct ServerHealth {
    /// The server gets no requests until this time, because of a fault.
    paused_until: Duration,
    /// The server gets no requests until this time, because of a peer's report.
    reported_until: Duration,
    /// The length of the last pause. It is doubled with each further pause up to
    /// `longest_pause`, and reset by a complete response.
    pause: Duration,
    /// When anything was last received from the server.
    last_heard: Duration,
    /// When the server last sent anything, if it ever has. A broken connection doesn't count.
    answered_at: Option<Duration>,
    /// When it last started to respond to a request; reset when it refuses one.
    admitted_at: Option<Duration>,
    /// When it last refused a request.
    refused_at: Option<Duration>,
    /// When it was last found silent or unreachable; reset when anything is received.
    silent_at: Option<Duration>,
    /// Whether new requests get through to it.
    path: ServerPath,
    /// The decayed fraction of its requests that failed.
    failure_rate: f64,
}

impl ServerHealth {
    /// Creates the state of a server that is assumed to be healthy.
    pub(crate) fn new(now: Duration) -> Self {
        Self {
            paused_until: Duration::ZERO,
            reported_until: Duration::ZERO,
            pause: Duration::ZERO,
            last_heard: now,
            answered_at: None,
            admitted_at: None,
            refused_at: None,
            silent_at: None,
            path: ServerPath::default(),
            failure_rate: 0.0,
        }
    }

    /// Records that something was received.
    pub(crate) fn record_activity(&mut self, now: Duration) {
        self.last_heard = now;
        self.answered_at = Some(now);
        self.silent_at = None;
    }

    /// Excludes a stall of this instance from the server's silence.
    pub(crate) fn discount_stall(&mut self, span: Duration, now: Duration) {
        self.last_heard = (self.last_heard + span).min(now);
    }

    /// Records that the server has started to respond to a request that was sent at
    /// `sent`. A request that was sent before the last refusal doesn't show what the
    /// server accepts now.
    pub(crate) fn record_admission(&mut self, sent: Duration, now: Duration) {
        self.path.record_response(sent, now);
        if self.refused_at.is_none_or(|at| sent > at) {
            self.admitted_at = Some(now);
        }
    }

    /// Records a complete response.
    pub(crate) fn record_success(&mut self, now: Duration) {
        self.record_activity(now);
        self.pause = Duration::ZERO;
        self.failure_rate *= 1.0 - OUTCOME_WEIGHT;
    }

    /// Records a fault.
    pub(crate) fn record_fault(
        &mut self,
        fault: RouteFault,
        now: Duration,
        options: &RouteOptions,
    ) {
        match fault {
            // The request was never sent, so this says nothing about the server.
            RouteFault::Withheld => {}
            RouteFault::Full => {
                self.record_activity(now);
                self.path.record_success(now);
                self.admitted_at = None;
                self.refused_at = Some(now);
                self.paused_until = self.paused_until.max(now + options.full_pause);
            }
            // It may be able to serve the next one, when its rules are newer or its path is back.
            RouteFault::Declined => self.pause_until(now + options.full_pause),
            RouteFault::Replaced => self.start_pause(now, options.longest_pause, options),
            RouteFault::Unreachable | RouteFault::Silent => {
                self.silent_at = Some(now);
                self.path.record_failure(now);
                self.count_failure();
                self.start_pause(now, options.pause, options);
            }
            RouteFault::Failed => {
                self.record_activity(now);
                self.path.record_success(now);
                self.count_failure();
            }
            // A server that exits breaks its connections, so this is no sign of life.
            RouteFault::Broken => {
                self.last_heard = now;
                self.silent_at = None;
                self.count_failure();
            }
        }
    }

    /// Returns whether this instance itself recently found the server silent, so that peers
    /// are told. `streaming` tells whether responses are being streamed from the server. The
    /// silence of an engine that is reached by its watchers concerns this instance only.
    pub(crate) fn was_silent(
        &self,
        streaming: bool,
        is_reached: bool,
        now: Duration,
        options: &RouteOptions,
    ) -> bool {
        if is_reached {
            return false;
        }
        let silent = streaming && now > self.last_heard + options.silence;
        silent || self.silent_at.is_some_and(|at| now < at + options.rumour_life)
    }

    /// Records that a peer reported the server as silent. The report says nothing of an
    /// engine that is alive: the peer may wait for a busy one, or have lost the path to it.
    pub(crate) fn record_silence_report(
        &mut self,
        liveness: EngineLiveness,
        now: Duration,
        options: &RouteOptions,
    ) {
        if liveness != EngineLiveness::Alive
            && now > self.last_heard + options.rumour_silence
        {
            self.reported_until = self.reported_until.max(now + options.pause);
        }
    }

    /// Stops sending requests for a while; each consecutive pause is longer.
    fn start_pause(
        &mut self,
        now: Duration,
        min_pause: Duration,
        options: &RouteOptions,
    ) {
        if now < self.paused_until.max(self.reported_until) {
            return;
        }
        self.pause = (self.pause * 2).clamp(min_pause, options.longest_pause);
        self.paused_until = now + self.pause;
    }

    /// Counts a failed request.
    fn count_failure(&mut self) {
        self.failure_rate += (1.0 - self.failure_rate) * OUTCOME_WEIGHT;
    }

    /// Returns whether time alone changes whether the server may get requests, or whether
    /// peers are told that it is silent.
    pub(crate) fn is_suspect(&self, now: Duration) -> bool {
        now < self.paused_until.max(self.reported_until)
            || self.silent_at.is_some()
            || self.path.is_failed(now)
    }

    /// Sends no requests until a time.
    pub(crate) fn pause_until(&mut self, until: Duration) {
        self.paused_until = self.paused_until.max(until);
    }

    /// Records that a connection to the server could be opened after its path had failed.
    pub(crate) fn record_connection(&mut self, now: Duration) {
        self.path.record_success(now);
        self.end_path_pause(now);
    }

    /// Records that no connection to the server could be opened.
    pub(crate) fn record_path_failure(&mut self, now: Duration) {
        self.path.record_failure(now);
    }

    /// Forgets that the path to the server has failed.
    pub(crate) fn forget_path_failure(&mut self, now: Duration) {
        if self.path.is_failed(now) {
            self.path.forget_failure();
            self.end_path_pause(now);
        }
    }

    /// Ends a pause that a failed path has caused.
    fn end_path_pause(&mut self, now: Duration) {
        if self.silent_at.take().is_some() {
            self.paused_until = self.paused_until.min(now);
            self.pause = Duration::ZERO;
        }
    }

    /// Returns whether new requests get through to the server.
    pub(crate) fn path(&self) -> &ServerPath {
        &self.path
    }

    /// Returns how uncertain it is that the server accepts requests: 0 if it has just
    /// started to respond to one, approaching 1 as that response gets older, and 1 if it
    /// has refused a request since or hasn't responded to any.
    pub(crate) fn uncertainty(&self, now: Duration, options: &RouteOptions) -> f64 {
        let Some(admitted_at) = self.admitted_at else { return 1.0 };
        let age = now.saturating_sub(admitted_at).as_secs_f64();
        1.0 - 0.5f64.powf(age / options.admitted_half_life.as_secs_f64())
    }

    /// Returns when anything was last received.
    pub(crate) fn last_heard(&self) -> Duration {
        self.last_heard
    }

    /// Returns when the server last sent anything, if it ever has.
    pub(crate) fn answered_at(&self) -> Option<Duration> {
        self.answered_at
    }

    /// Returns whether nothing was received since the server was found unreachable or silent.
    pub(crate) fn is_path_suspect(&self) -> bool {
        self.silent_at.is_some()
    }

    /// Returns the decayed fraction of failed requests.
    pub(crate) fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Returns why the server may get no requests, judged by its recent responses and its
    /// watchers, or `None` if it may. Without watchers that get answers, a server that is
    /// streaming counts as sending data continuously; one that only prefills prompts may be
    /// silent for longer.
    pub(crate) fn obstacle(
        &self,
        work: ServerWork,
        liveness: EngineLiveness,
        now: Duration,
        options: &RouteOptions,
    ) -> Option<HealthCause> {
        if liveness == EngineLiveness::Dead {
            return Some(HealthCause::WatcherReport);
        }
        if now < self.paused_until {
            return Some(HealthCause::Fault);
        }
        let alive = liveness == EngineLiveness::Alive;
        if !alive && now < self.reported_until {
            return Some(HealthCause::PeerReport);
        }
        let pause = work.stream_gap.map(|gap| if alive { gap } else { options.silence });
        if pause.is_some_and(|pause| now > self.last_heard + pause) {
            return Some(HealthCause::Silence);
        }
        let since = work.waiting_since.filter(|_| !alive)?;
        let heard = since.max(self.last_heard);
        let silent = now >= heard + options.long_silence + work.expected * 2;
        silent.then_some(HealthCause::Silence)
    }
}
