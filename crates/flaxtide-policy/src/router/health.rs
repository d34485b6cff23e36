//! Whether a backend server answers, as this instance's own requests show it.

use std::time::Duration;

use super::call::RouteFault;
use super::options::RouteOptions;

/// How much the newest outcome moves the part of failures.
const OUTCOME_WEIGHT: f64 = 0.15;

/// A server that fails more than this part of its requests above its pool's median rests.
pub(crate) const OUTLIER_MARGIN: f64 = 0.3;

/// How a server has answered.
#[derive(Debug, Clone)]
pub(crate) struct ServerHealth {
    /// Until when it gets no work.
    paused_until: Duration,
    /// How long the next pause is.
    pause: Duration,
    /// When anything last came from it.
    last_heard: Duration,
    /// When it last began to answer a request, unless it has turned one away since.
    admitted_at: Option<Duration>,
    /// When it last turned a request away.
    refused_at: Option<Duration>,
    /// When it was last found silent or out of reach, unless it has answered since.
    silent_at: Option<Duration>,
    /// The decayed part of its requests that failed.
    failures: f64,
}

impl ServerHealth {
    /// Starts with a server that is taken to be well.
    pub(crate) fn new(now: Duration) -> Self {
        Self {
            paused_until: Duration::ZERO,
            pause: Duration::ZERO,
            last_heard: now,
            admitted_at: None,
            refused_at: None,
            silent_at: None,
            failures: 0.0,
        }
    }

    /// Records that something came.
    pub(crate) fn record_activity(&mut self, now: Duration) {
        self.last_heard = now;
        self.silent_at = None;
    }

    /// Leaves out a time in which nothing could be heard.
    pub(crate) fn discount_stall(&mut self, span: Duration, now: Duration) {
        self.last_heard = (self.last_heard + span).min(now);
    }

    /// Records that it has begun to answer a request that was sent at `sent`. What was sent before
    /// it turned another one away tells nothing of what it takes now.
    pub(crate) fn record_admission(&mut self, sent: Duration, now: Duration) {
        if self.refused_at.is_none_or(|at| sent > at) {
            self.admitted_at = Some(now);
        }
    }

    /// Records a whole answer.
    pub(crate) fn record_success(&mut self, now: Duration) {
        self.record_activity(now);
        self.pause = Duration::ZERO;
        self.failures *= 1.0 - OUTCOME_WEIGHT;
    }

    /// Records a fault.
    pub(crate) fn record_fault(
        &mut self,
        fault: RouteFault,
        now: Duration,
        options: &RouteOptions,
    ) {
        match fault {
            // The server wasn't asked.
            RouteFault::Withheld => {}
            RouteFault::Full => {
                self.record_activity(now);
                self.admitted_at = None;
                self.refused_at = Some(now);
                self.paused_until = self.paused_until.max(now + options.full_pause);
            }
            RouteFault::Replaced => self.start_pause(now, options.longest_pause, options),
            RouteFault::Unreachable | RouteFault::Silent => {
                self.silent_at = Some(now);
                self.count_failure();
                self.start_pause(now, options.pause, options);
            }
            RouteFault::Broken | RouteFault::Failed => {
                self.record_activity(now);
                self.count_failure();
            }
        }
    }

    /// Tells whether the server was found silent lately, by this instance itself. `streams`
    /// tells whether it has streams under way.
    pub(crate) fn was_silent(
        &self,
        streams: bool,
        now: Duration,
        options: &RouteOptions,
    ) -> bool {
        let silent = streams && now > self.last_heard + options.silence;
        silent || self.silent_at.is_some_and(|at| now < at + options.rumour_life)
    }

    /// Takes in that a peer has found the server silent.
    pub(crate) fn record_silence_report(
        &mut self,
        now: Duration,
        options: &RouteOptions,
    ) {
        if now > self.last_heard + options.rumour_silence {
            self.paused_until = self.paused_until.max(now + options.pause);
        }
    }

    /// Gives the server no work for a while, longer each time.
    fn start_pause(
        &mut self,
        now: Duration,
        min_pause: Duration,
        options: &RouteOptions,
    ) {
        if now < self.paused_until {
            return;
        }
        self.pause = (self.pause * 2).clamp(min_pause, options.longest_pause);
        self.paused_until = now + self.pause;
    }

    /// Counts a failed request.
    fn count_failure(&mut self) {
        self.failures += (1.0 - self.failures) * OUTCOME_WEIGHT;
    }

    /// Returns how little is known of whether it turns requests away: 0 if it has just begun to
    /// answer one, 1 if it has turned one away since or has answered none lately.
    pub(crate) fn uncertainty(&self, now: Duration, options: &RouteOptions) -> f64 {
        let Some(admitted_at) = self.admitted_at else { return 1.0 };
        let age = now.saturating_sub(admitted_at).as_secs_f64();
        1.0 - 0.5f64.powf(age / options.admitted_half_life.as_secs_f64())
    }

    /// Returns when anything last came.
    pub(crate) fn last_heard(&self) -> Duration {
        self.last_heard
    }

    /// Returns the decayed part of failed requests.
    pub(crate) fn failures(&self) -> f64 {
        self.failures
    }

    /// Tells whether the server may get work by what it has answered. `streams` tells whether
    /// it has streams under way, `waiting` since when the oldest request there waits for its
    /// first answer, and `expected` how long that may take. A server that has streams under way says
    /// something all the time; one that only reads prompts may be silent for longer.
    pub(crate) fn is_healthy(
        &self,
        streams: bool,
        waiting: Option<Duration>,
        expected: Duration,
        now: Duration,
        options: &RouteOptions,
    ) -> bool {
        if now < self.paused_until {
            return false;
        }
        if streams && now > self.last_heard + options.silence {
            return false;
        }
        let Some(since) = waiting else { return true };
        now < since.max(self.last_heard) + options.long_silence + expected * 2
    }
}
