//! Log lines on calls to the platform, and whether it is reachable.

use std::time::Duration;

use crate::contract::{FeedError, FeedTopic};
use crate::metrics::EntryMetrics;

/// Logs a failed call.
pub(crate) fn log_fault(topic: FeedTopic, fault: &FeedError, pause: Duration) {
    let (topic, pause_ms) = (topic.to_string(), pause.as_millis() as u64);
    if *fault == FeedError::HistoryGone {
        log::info!(topic, pause_ms; "history gone, reading everything");
        return;
    }
    log::info!(topic, cause = fault.to_string(), pause_ms; "platform call failed");
}

/// Logs whether the platform is reachable, and exports it.
pub(crate) fn log_dependency(
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
