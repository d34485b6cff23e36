//! The claim thread, which writes the rows of claims in group commits, at a limited rate
//! of commits.

use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError, bounded};
use flaxtide_policy::{ClaimAttempt, ClaimRow, ClaimStep, RowPhase, TableReply};

use crate::messages::ClaimJob;
use crate::shared::SharedState;

/// The maximum number of claims in one group commit.
const MAX_GROUP_SIZE: usize = 64;

/// The maximum rate of claim commits of all instances together. A commit counts as one
/// write. The platform's table accepts several hundred writes per second, some of which
/// settings and leases need.
const FLEET_COMMITS_PER_SECOND: f64 = 300.0;

/// The number of commits that an idle instance may make at once.
const COMMIT_BURST: f64 = 8.0;

/// How often the thread checks whether it should stop.
const STOP_CHECK_PERIOD: Duration = Duration::from_millis(200);

/// The outcome of a claim.
#[derive(Debug)]
pub(crate) enum ClaimOutcome {
    /// This attempt alone may send the request. Carries the version of its row.
    Held(u64),
    /// This attempt must not send the request. Carries the final step.
    NotHeld(ClaimStep),
}

/// Runs the claim thread until the instance stops.
pub(crate) fn write_claims(shared: &Arc<SharedState>, jobs: &Receiver<ClaimJob>) {
    let mut budget = CommitBudget::new(shared.now());
    while !shared.stopped() {
        let first = match jobs.recv_timeout(STOP_CHECK_PERIOD) {
            Ok(first) => first,
            Err(RecvTimeoutError::Timeout) => continue,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        // Claims that arrive while the rate limit delays the commit join its group.
        std::thread::sleep(budget.take(instance_count(shared), shared.now()));
        let mut group = vec![first];
        group.extend(jobs.try_iter().take(MAX_GROUP_SIZE - 1));
        write_group(shared, &group);
    }
}

/// Writes a group of rows in one commit.
fn write_group(shared: &SharedState, group: &[ClaimJob]) {
    let rows: Vec<_> = group
        .iter()
        .map(|job| (job.key.clone(), job.expected, job.row.clone()))
        .collect();
    let replies = shared.claims.write(&rows);
    let result = match replies.first() {
        Some(TableReply::NoAnswer) => "no_answer",
        Some(TableReply::NotDone) => "not_done",
        _ => "ok",
    };
    shared
        .metrics
        .platform_calls
        .with_label_values(&["claim", result])
        .inc();
    for (job, reply) in group.iter().zip(replies) {
        // The requesting thread may have stopped waiting.
        let _ = job.reply.try_send(reply);
    }
}

/// Returns the number of live instances in this data centre, this one included, as known
/// from heartbeats.
fn instance_count(shared: &SharedState) -> f64 {
    (shared.metrics.live_peers.get() + 1).max(1) as f64
}

/// Writes and reads the row of a claim until the attempt holds it or has ended. Abandons
/// the attempt once the instance's clock has reached `give_up_at`.
pub(crate) fn claim(
    shared: &SharedState,
    key: &str,
    attempt: &mut ClaimAttempt,
    give_up_at: Duration,
) -> ClaimOutcome {
    loop {
        match attempt.step() {
            ClaimStep::Write { expected } => {
                let row = attempt.row(RowPhase::Held);
                attempt.reply(write_row(shared, key, expected, row));
            }
            ClaimStep::ReadBack => attempt.reply(shared.claims.read(key)),
            ClaimStep::Send if shared.now() < give_up_at => {
                return ClaimOutcome::Held(attempt.held_version().unwrap_or_default());
            }
            // The process was frozen or the table slow, so the time is used up.
            ClaimStep::Send => attempt.abandon(),
            step => return ClaimOutcome::NotHeld(step),
        }
        if shared.now() >= give_up_at {
            attempt.abandon();
        }
    }
}

/// Passes a row to the claim thread to write, and waits for the table's reply.
pub(crate) fn write_row(
    shared: &SharedState,
    key: &str,
    expected: Option<u64>,
    row: ClaimRow,
) -> TableReply {
    let (reply, replies) = bounded(1);
    let job = ClaimJob { key: key.to_owned(), expected, row, reply };
    if shared.claim_jobs.send(job).is_err() {
        return TableReply::NotDone;
    }
    // A queued job may still be written after the timeout, so the outcome is unknown.
    let timeout = 2 * shared.config.platform_timeout;
    replies.recv_timeout(timeout).unwrap_or(TableReply::NoAnswer)
}

/// A token bucket that limits the claim commits of this instance to its share of
/// [`FLEET_COMMITS_PER_SECOND`].
struct CommitBudget {
    /// The number of commits that may be made now; negative if one has been taken in
    /// advance.
    available: f64,
    /// When `available` was last computed.
    updated_at: Duration,
}

impl CommitBudget {
    /// Creates a full budget.
    fn new(now: Duration) -> Self {
        Self { available: COMMIT_BURST, updated_at: now }
    }

    /// Takes a commit from the budget and returns how long to wait before making it.
    /// `instances` is the number of instances that share the rate.
    fn take(&mut self, instances: f64, now: Duration) -> Duration {
        let rate = FLEET_COMMITS_PER_SECOND / instances;
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.available = (self.available + elapsed * rate).min(COMMIT_BURST) - 1.0;
        self.updated_at = now;
        Duration::from_secs_f64((-self.available / rate).clamp(0.0, 2.0))
    }
}
