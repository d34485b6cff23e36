//! Following a topic of the platform on a thread of its own: from peers that have read it, or
//! from the platform itself.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use flaxtide_core::{MilliClock, StoreVersion, store_era};
use flaxtide_fleet::RowCopy;
use tokio::sync::mpsc::Sender;

use crate::contract::{FeedBatch, FeedError, FeedRow, FeedTopic, PlatformFeed};
use crate::feed::FeedEvent;
use crate::fleet::FleetLink;
use crate::follow::{CallBackoff, FOLLOW_WAIT, FollowAnswer, FollowFault, FollowState};
use crate::metrics::EntryMetrics;
use crate::reader::ServerListLog;
use crate::source::ServerListSource;

/// How often an instance looks whether peers still hand rules on.
const PEER_CHECK_PERIOD: Duration = Duration::from_millis(500);

/// How often peers are asked by an instance that leaves the platform in peace.
const PEER_RETRY_PERIOD: Duration = Duration::from_millis(100);

/// How often an instance that has just started looks whether it knows who reads.
const PLAN_CHECK_PERIOD: Duration = Duration::from_millis(100);

/// A call that took longer than this has waited for changes: the platform answers others within a
/// few milliseconds, and those that wait as soon as there is a change.
const LONG_POLL_THRESHOLD: Duration = Duration::from_millis(100);

/// What peers tell of a topic.
enum PeerUpdate {
    /// These rows have changed.
    Rows(FeedBatch),
    /// Changes come another way.
    Pushed,
}

/// What follows one topic.
pub(crate) struct TopicFollower {
    /// What the platform tells.
    pub(crate) feed: Arc<dyn PlatformFeed>,
    /// The topic.
    pub(crate) topic: FeedTopic,
    /// The pause between two calls: rows may change all the time, and each call has its
    /// price.
    pub(crate) call_pause: Duration,
    /// From whom this instance gets what few read from the platform.
    pub(crate) source: Arc<ServerListSource>,
    /// For the list that peers are told: what was read, and the ring to the fleet thread.
    pub(crate) list: Option<(Arc<ServerListLog>, FleetLink)>,
    /// The ring to the traffic thread.
    pub(crate) events: Sender<FeedEvent>,
    /// The metrics.
    pub(crate) metrics: Arc<EntryMetrics>,
}

impl TopicFollower {
    /// Returns what peers tell of the topic; nothing if this instance is to call the
    /// platform.
    fn poll_peers(&self, after: Option<StoreVersion>) -> Option<PeerUpdate> {
        let after = after?;
        let Some((list, link)) = self.list.as_ref() else {
            // Peers hand newer rules on by themselves, as long as their readers go on.
            let pushed =
                self.source.reader_answered_lately() && !self.source.rules_overdue();
            return pushed.then_some(PeerUpdate::Pushed);
        };
        let changes = self.source.fetch_changes(link, after)?;
        list.clear_log();
        self.count("peer");
        let row =
            |row: RowCopy| FeedRow { name: row.name, text: row.text, version: None };
        Some(PeerUpdate::Rows(FeedBatch {
            version: changes.version.max(after),
            rows: changes.rows.into_iter().map(row).collect(),
        }))
    }

    /// Returns how long this instance leaves the platform in peace, though no peer tells.
    fn platform_delay(
        &self,
        backoff: &mut CallBackoff,
        now: Duration,
    ) -> Option<Duration> {
        let overdue = self.topic == FeedTopic::Rules && self.source.rules_overdue();
        if !self.source.reads_from_peers() || overdue {
            return None;
        }
        backoff.delay(self.source.call_window(), rand::random(), now)
    }

    /// Calls the platform, and waits for changes no longer than `most`.
    fn fetch(
        &self,
        after: Option<StoreVersion>,
        max_wait: Duration,
    ) -> Result<FeedBatch, FeedError> {
        let wait = self.timing().0.min(max_wait);
        let read = match after {
            None => self.feed.read(self.topic),
            Some(version) => self.feed.follow(self.topic, version, wait),
        };
        self.count(if read.is_ok() { "ok" } else { "failed" });
        if let (Ok(batch), Some((list, _))) = (&read, &self.list) {
            list.record(batch, after);
        }
        read
    }

    /// Returns how long a call waits for changes, and the pause after it.
    fn timing(&self) -> (Duration, Duration) {
        let list = self.list.as_ref();
        let timing = list.and_then(|(list, _)| {
            list.reader_timing(self.source.reader(), self.call_pause)
        });
        timing.unwrap_or((FOLLOW_WAIT, self.call_pause))
    }

    /// Returns up to when an answer of the platform tells of changes, if its call was made at
    /// `called`. One that had to wait tells of what has just changed.
    fn covered_until(called: Duration, answered: Duration) -> Duration {
        if answered > called + LONG_POLL_THRESHOLD {
            answered - LONG_POLL_THRESHOLD
        } else {
            called
        }
    }

    /// Calls the platform and handles its answer, then pauses. Returns whether somebody
    /// listens.
    fn call_platform(
        &self,
        state: &mut FollowState,
        backoff: &mut CallBackoff,
        clock: &MilliClock,
    ) -> bool {
        let max_wait = state.max_wait(clock.now());
        let pause = self.timing().1;
        let called = clock.now();
        match self.fetch(state.after(), max_wait) {
            Ok(batch) => {
                let now = clock.now();
                backoff.record_success(now);
                let was_outage = state.is_outage(now);
                let unseen = state.record_coverage(Self::covered_until(called, now), now);
                let waited = now.saturating_sub(called);
                let unseen = if waited > LONG_POLL_THRESHOLD {
                    unseen.min(LONG_POLL_THRESHOLD)
                } else {
                    unseen
                };
                let delivered = self.handle_batch(state, batch, unseen, was_outage);
                thread::sleep(pause);
                delivered
            }
            Err(fault) => {
                if fault != FeedError::HistoryGone {
                    backoff.record_failure(rand::random(), clock.now());
                }
                self.handle_fault(state, &fault, clock.now())
            }
        }
    }

    /// Handles an answer. Returns whether somebody listens.
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
        if regained && was_outage && !self.send_outage(FeedEvent::Regained) {
            return false;
        }
        let news = is_snapshot || !batch.rows.is_empty();
        !news
            || self.send_event(FeedEvent::Batch {
                topic: self.topic,
                batch,
                is_snapshot,
                unseen,
            })
    }

    /// Handles a failed call, and pauses. Returns whether somebody listens.
    fn handle_fault(
        &self,
        state: &mut FollowState,
        fault: &FeedError,
        now: Duration,
    ) -> bool {
        let FollowFault { lost, pause } = state.record_fault(fault, now);
        log_fault(self.topic, fault, pause);
        if lost {
            log_dependency(self.topic, false, Some(fault), &self.metrics);
        }
        let delivered = !state.is_outage(now) || self.send_outage(FeedEvent::Lost);
        thread::sleep(pause);
        delivered
    }

    /// Tells the traffic thread of an outage, if this follows the list of servers: what peers hand
    /// on of other topics says nothing of how fresh the list is. Returns whether it listens.
    fn send_outage(&self, event: FeedEvent) -> bool {
        self.topic != FeedTopic::Servers || self.send_event(event)
    }

    /// Tells the traffic thread. Returns whether it listens.
    fn send_event(&self, event: FeedEvent) -> bool {
        self.events.blocking_send(event).is_ok()
    }

    /// Counts a call.
    fn count(&self, result: &str) {
        let topic = self.topic.to_string();
        self.metrics
            .platform
            .with_label_values(&[topic.as_str(), result])
            .inc();
    }
}

/// Follows a topic until nobody listens.
pub(crate) fn follow_topic(follower: &TopicFollower) {
    let clock = MilliClock::real();
    let mut state = FollowState::default();
    let mut backoff = CallBackoff::default();
    loop {
        let asked = clock.now();
        let delivered = match follower.poll_peers(state.after()) {
            Some(PeerUpdate::Rows(batch)) => {
                backoff.reset();
                let was_outage = state.is_outage(asked);
                let covered_until = follower.source.covered_until(asked);
                let unseen = state.record_coverage(covered_until, clock.now());
                follower.handle_batch(&mut state, batch, unseen, was_outage)
            }
            Some(PeerUpdate::Pushed) => {
                backoff.reset();
                thread::sleep(PEER_CHECK_PERIOD);
                true
            }
            None if state.after().is_some() && follower.source.awaits_plan() => {
                thread::sleep(PLAN_CHECK_PERIOD);
                true
            }
            None => match follower.platform_delay(&mut backoff, clock.now()) {
                Some(delay) => {
                    state.shorten_waits(clock.now());
                    thread::sleep(delay.min(PEER_RETRY_PERIOD));
                    // Rows that lapse meanwhile may do so since the platform is out.
                    !state.is_outage(clock.now()) || follower.send_outage(FeedEvent::Lost)
                }
                None => follower.call_platform(&mut state, &mut backoff, &clock),
            },
        };
        if !delivered {
            return;
        }
    }
}

/// Logs that a call has failed.
fn log_fault(topic: FeedTopic, fault: &FeedError, pause: Duration) {
    let (topic, pause_ms) = (topic.to_string(), pause.as_millis() as u64);
    if *fault == FeedError::HistoryGone {
        log::info!(topic, pause_ms; "history gone, everything is read anew");
        return;
    }
    log::info!(topic, cause = fault.to_string(), pause_ms; "platform call failed");
}

/// Logs that the platform is lost or regained.
fn log_dependency(
    topic: FeedTopic,
    up: bool,
    fault: Option<&FeedError>,
    metrics: &EntryMetrics,
) {
    let name = topic.to_string();
    metrics
        .dependencies
        .with_label_values(&[name.as_str()])
        .set(i64::from(up));
    let event = if up { "dependency regained" } else { "dependency lost" };
    let cause = fault.map(ToString::to_string).unwrap_or_default();
    log::info!(dependency = format!("platform {name}"), cause; "{event}");
}
