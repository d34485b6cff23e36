//! Follows one topic of the platform on a thread of its own, through peers that read it
//! or from the platform itself.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use flaxtide_core::{MilliClock, StoreVersion, store_era};
use flaxtide_fleet::RowCopy;
use tokio::sync::mpsc::Sender;

use crate::contract::{FeedBatch, FeedError, FeedRow, FeedTopic, PlatformFeed};
use crate::feed::FeedEvent;
use crate::fleet::FleetLink;
use crate::follow::{CallBackoff, FollowAnswer, FollowFault, FollowState, covered_until};
use crate::follow_log::{log_dependency, log_fault};
use crate::list_age::ListAge;
use crate::metrics::EntryMetrics;
use crate::reader::ServerListLog;
use crate::source::ServerListSource;

/// How long a call to the platform waits for changes, as a fraction of the time within which
/// a leaving server must stop getting requests.
pub(crate) const POLL_WAIT_FRACTION: f64 = 0.9;

/// How often an instance checks whether peers still push newer rules to it.
const PEER_CHECK_PERIOD: Duration = Duration::from_millis(500);

/// How often an instance asks its peers again while it backs off from calling the
/// platform.
const PEER_RETRY_PERIOD: Duration = Duration::from_millis(100);

/// How often an instance that has just started checks whether it knows its reader.
const PLAN_CHECK_PERIOD: Duration = Duration::from_millis(100);

/// What peers contribute to a topic.
enum PeerUpdate {
    /// A reader has answered with these changes.
    Rows(FeedBatch),
    /// Peers push newer versions by themselves, so there is nothing to ask for.
    Pushed,
}

/// Follows one topic.
pub(crate) struct TopicFollower {
    /// Reads the topic from the platform.
    pub(crate) feed: Arc<dyn PlatformFeed>,
    /// The followed topic.
    pub(crate) topic: FeedTopic,
    /// The pause between two calls to the platform. Rows may change all the time, and
    /// each call costs the platform some load.
    pub(crate) call_pause: Duration,
    /// How long a call to the platform waits for changes at most. A store that fell silent
    /// and recovered never answers the calls from before, so changes may be missed for as
    /// long.
    pub(crate) poll_wait: Duration,
    /// Knows which peer to ask instead of the platform.
    pub(crate) source: Arc<ServerListSource>,
    /// The log from which peers are answered, and the link over which they are asked.
    /// `None` for the rules, which peers push.
    pub(crate) log_and_link: Option<(Arc<ServerListLog>, FleetLink)>,
    /// The queue to the traffic thread.
    pub(crate) events: Sender<FeedEvent>,
    /// Counts the calls and exports whether the platform is reachable.
    pub(crate) metrics: Arc<EntryMetrics>,
}

impl TopicFollower {
    /// Returns what peers contribute to the topic, or `None` if this instance should call
    /// the platform. Asking them takes at most `max_span`.
    fn poll_peers(
        &self,
        after: Option<StoreVersion>,
        max_span: Duration,
    ) -> Option<PeerUpdate> {
        let after = after?;
        let Some((list, link)) = self.log_and_link.as_ref() else {
            // Peers push newer rules by themselves as long as their readers keep reading.
            let pushed =
                self.source.reader_answered_lately() && !self.source.rules_overdue();
            return pushed.then_some(PeerUpdate::Pushed);
        };
        let changes = self.source.fetch_changes(link, after, max_span)?;
        self.count("peer");
        let row =
            |row: RowCopy| FeedRow { name: row.name, text: row.text, version: None };
        let batch = FeedBatch {
            version: changes.version.max(after),
            rows: changes.rows.into_iter().map(row).collect(),
        };
        list.record_answer(&batch, after);
        Some(PeerUpdate::Rows(batch))
    }

    /// Returns how long to wait before calling the platform although no peer has
    /// answered, or `None` to call it now.
    fn platform_delay(
        &self,
        state: &mut FollowState,
        backoff: &mut CallBackoff,
        now: Duration,
    ) -> Option<Duration> {
        let overdue = self.topic == FeedTopic::Rules && self.source.rules_overdue();
        if !self.source.reads_from_peers() || overdue {
            return None;
        }
        let has_gap = self.topic == FeedTopic::Servers && self.source.take_gap();
        if has_gap {
            state.record_gap(now);
            backoff.expect_answer(self.source.gap_window(), rand::random(), now);
        }
        // Rules that peers push have no age here, and their calls may be spread widely.
        let unknown_for = match self.topic {
            FeedTopic::Servers => state.unknown_for(now),
            FeedTopic::Rules => Duration::ZERO,
        };
        let window = self.source.call_window(unknown_for);
        backoff.delay(window, rand::random(), now)
    }

    /// Reads everything from the platform if `after` is `None`, else the changes after this
    /// version, for which the call waits for at most `wait`.
    fn fetch(
        &self,
        after: Option<StoreVersion>,
        wait: Duration,
    ) -> Result<FeedBatch, FeedError> {
        let list_age = self.list_age();
        if let Some(list_age) = list_age {
            list_age.begin_call();
        }
        let read = match after {
            None => self.feed.read(self.topic),
            Some(version) => self.feed.follow(self.topic, version, wait),
        };
        let failed = read.as_ref().is_err_and(|fault| *fault != FeedError::HistoryGone);
        match list_age {
            Some(list_age) => {
                self.source.record_call(!failed);
                list_age.end_call(failed);
            }
            None => self.source.rules_age().record_call(failed),
        }
        self.count(if read.is_ok() { "ok" } else { "failed" });
        read
    }

    /// Calls the platform if that is due, or waits for it while peers may answer again. Returns
    /// whether the traffic thread still receives events.
    fn await_call(
        &self,
        state: &mut FollowState,
        backoff: &mut CallBackoff,
        clock: &MilliClock,
    ) -> bool {
        let Some(delay) = self.platform_delay(state, backoff, clock.now()) else {
            return self.call_platform(state, backoff, clock);
        };
        if self.source.suggests_outage() {
            state.record_failing_peers();
        }
        state.shorten_waits(clock.now());
        self.pause(delay.min(PEER_RETRY_PERIOD));
        // During an outage, rows may lapse merely because servers can't renew them, so the traffic
        // thread must know of it.
        if state.is_outage(clock.now()) && !self.send_availability(FeedEvent::Lost) {
            return false;
        }
        // Peers may take long to answer, so a call that is due comes first.
        delay > PEER_RETRY_PERIOD || self.call_platform(state, backoff, clock)
    }

    /// Returns the age of the server list, unless another topic is followed.
    fn list_age(&self) -> Option<&ListAge> {
        (self.topic == FeedTopic::Servers).then(|| self.source.list_age())
    }

    /// Pauses; for the server list, only until a request waits for a newer one.
    fn pause(&self, span: Duration) {
        match self.list_age() {
            Some(list_age) => list_age.pause(span),
            None => thread::sleep(span),
        }
    }

    /// Returns whether a request waits for a newer server list, so that the platform is called
    /// without asking peers or waiting for changes.
    fn is_read_wanted(&self) -> bool {
        self.list_age().is_some_and(ListAge::is_read_wanted)
    }

    /// Returns how long a call waits for changes, and the pause after it.
    fn timing(&self) -> (Duration, Duration) {
        let list = self.log_and_link.as_ref();
        let timing = list.and_then(|(list, _)| {
            let (reader, is_standby) = (self.source.reader(), self.source.is_standby());
            list.reader_timing(reader, is_standby, self.call_pause)
        });
        timing.unwrap_or((self.poll_wait, self.call_pause))
    }

    /// Calls the platform, handles its answer, and pauses. Returns whether the traffic
    /// thread still receives events.
    fn call_platform(
        &self,
        state: &mut FollowState,
        backoff: &mut CallBackoff,
        clock: &MilliClock,
    ) -> bool {
        let (max_wait, pause) = self.timing();
        let called = clock.now();
        let after = state.after();
        // A read of everything doesn't wait for changes.
        let wait = match after {
            Some(_) if !self.is_read_wanted() => max_wait.min(state.max_wait(called)),
            _ => Duration::ZERO,
        };
        match self.fetch(after, wait) {
            Ok(batch) => {
                let now = clock.now();
                backoff.record_success(now);
                if let Some((list, _)) = &self.log_and_link {
                    list.record(&batch, after, now.saturating_sub(called + wait));
                }
                let was_outage = state.is_outage(now);
                let covered_until = covered_until(called, now, wait);
                self.record_answer(now.saturating_sub(called));
                let unseen = state.record_coverage(covered_until, now);
                // Changes before the call would have been answered without a wait.
                let unseen = match covered_until > called {
                    true => unseen.min(now - covered_until),
                    false => unseen,
                };
                let delivered = self.handle_batch(state, batch, unseen, was_outage)
                    && self.send_coverage(now.saturating_sub(covered_until));
                self.pause(pause);
                delivered
            }
            Err(fault) => {
                if fault == FeedError::HistoryGone {
                    self.record_answer(clock.now().saturating_sub(called));
                } else {
                    let leave_within = self.source.leave_within();
                    backoff.record_failure(leave_within, rand::random(), clock.now());
                }
                self.handle_fault(state, &fault, clock.now())
            }
        }
    }

    /// Records an answer, and sends its rows and a recovery from an outage to the traffic
    /// thread. Returns whether the traffic thread still receives events.
    fn handle_batch(
        &self,
        state: &mut FollowState,
        batch: FeedBatch,
        unseen: Duration,
        was_outage: bool,
    ) -> bool {
        let FollowAnswer { is_snapshot, regained } = state.record_answer(batch.version);
        self.metrics.store_era.set(store_era(batch.version) as i64);
        if regained {
            log_dependency(self.topic, true, None, &self.metrics);
        }
        if regained && was_outage && !self.send_availability(FeedEvent::Regained) {
            return false;
        }
        let changed = is_snapshot || !batch.rows.is_empty();
        !changed
            || self.send_event(FeedEvent::Batch {
                topic: self.topic,
                batch,
                is_snapshot,
                unseen,
            })
    }

    /// Handles a failed call, and pauses. Returns whether the traffic thread still
    /// receives events.
    fn handle_fault(
        &self,
        state: &mut FollowState,
        fault: &FeedError,
        now: Duration,
    ) -> bool {
        let FollowFault { lost, pause } = state.record_fault(fault, now);
        let pause = match fault {
            FeedError::HistoryGone if self.topic == FeedTopic::Servers => {
                pause.min(self.source.max_reread_pause())
            }
            _ => pause,
        };
        log_fault(self.topic, fault, pause);
        if lost {
            log_dependency(self.topic, false, Some(fault), &self.metrics);
        }
        let delivered = !state.is_outage(now) || self.send_availability(FeedEvent::Lost);
        thread::sleep(pause);
        delivered
    }

    /// Tells the traffic thread that the platform is lost or regained, but only for the
    /// server list: answers on other topics don't show whether the list is current.
    /// Returns whether it still receives events.
    fn send_availability(&self, event: FeedEvent) -> bool {
        self.topic != FeedTopic::Servers || self.send_event(event)
    }

    /// Records that the platform answered with the server list so long ago, unless another topic is
    /// followed: it may keep the two in different places.
    fn record_answer(&self, age: Duration) {
        if self.topic == FeedTopic::Servers {
            let at = self.source.clock().now().saturating_sub(age);
            self.source.answers().record_own(at);
        }
    }

    /// Tells the traffic thread that it has been sent all changes of the topic up to so long ago.
    /// Returns whether it still receives events.
    fn send_coverage(&self, age: Duration) -> bool {
        self.record_answer(age);
        let until = self.source.clock().now().saturating_sub(age);
        self.send_event(FeedEvent::Covered(self.topic, until))
    }

    /// Sends an event to the traffic thread. Returns whether it still receives events.
    fn send_event(&self, event: FeedEvent) -> bool {
        self.events.blocking_send(event).is_ok()
    }

    /// Counts an answer or a failed call by its result: `ok`, `failed`, or `peer`.
    fn count(&self, result: &str) {
        let topic = self.topic.to_string();
        self.metrics
            .platform_calls
            .with_label_values(&[topic.as_str(), result])
            .inc();
    }
}

/// Follows a topic until the traffic thread has ended.
pub(crate) fn follow_topic(follower: &TopicFollower) {
    let clock = MilliClock::real();
    let mut state = FollowState::default();
    let mut backoff = CallBackoff::default();
    loop {
        let asked = clock.now();
        if follower.is_read_wanted() {
            if !follower.call_platform(&mut state, &mut backoff, &clock) {
                return;
            }
            continue;
        }
        let max_span = backoff.time_left(asked).unwrap_or(Duration::MAX);
        let delivered = match follower.poll_peers(state.after(), max_span) {
            Some(PeerUpdate::Rows(batch)) => {
                backoff.reset();
                let was_outage = state.is_outage(asked);
                let covered_until = follower.source.covered_until(asked);
                let unseen = state.record_coverage(covered_until, clock.now());
                follower.handle_batch(&mut state, batch, unseen, was_outage)
                    && follower.send_coverage(clock.now().saturating_sub(covered_until))
            }
            Some(PeerUpdate::Pushed) => {
                backoff.reset();
                thread::sleep(PEER_CHECK_PERIOD);
                follower.send_coverage(Duration::ZERO)
            }
            None if state.after().is_some()
                && follower.source.awaits_plan(state.unknown_for(clock.now())) =>
            {
                follower.pause(PLAN_CHECK_PERIOD);
                true
            }
            None => follower.await_call(&mut state, &mut backoff, &clock),
        };
        if !delivered {
            return;
        }
    }
}
