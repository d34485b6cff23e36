//! The claim thread: it writes claims in group commits, within a budget of writes.

use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError, bounded};
use flaxtide_policy::{ClaimAttempt, ClaimRow, ClaimStep, RowPhase, TableReply};

use crate::messages::ClaimJob;
use crate::shared::SharedState;

/// The most claims in one group commit.
const MAX_GROUP_SIZE: usize = 64;

/// What the table takes from all instances together, in writes a second; the platform
/// names several hundred, and settings and leases need some too.
const FLEET_WRITES_PER_SECOND: f64 = 300.0;

/// How many writes may be made at once after a pause.
const WRITE_BURST: f64 = 8.0;

/// How often the thread looks whether it is to end.
const STOP_CHECK_PERIOD: Duration = Duration::from_millis(200);

/// How a claim ended.
#[derive(Debug)]
pub(crate) enum ClaimOutcome {
    /// This attempt alone may send the request; the row has this version.
    Held(u64),
    /// It may not be sent by this attempt.
    NotHeld(ClaimStep),
}

/// Runs the claim thread until the instance stops.
pub(crate) fn write_claims(shared: &Arc<SharedState>, jobs: &Receiver<ClaimJob>) {
    let mut budget = WriteBudget::new(shared.now());
    while !shared.stopped() {
        let first = match jobs.recv_timeout(STOP_CHECK_PERIOD) {
            Ok(first) => first,
            Err(RecvTimeoutError::Timeout) => continue,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        // While the budget lets nothing through, more claims join the group.
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
        // Whoever asked may have given up.
        let _ = job.reply.try_send(reply);
    }
}

/// Returns how many instances share the table, as far as this one knows.
fn instance_count(shared: &SharedState) -> f64 {
    (shared.metrics.live_peers.get() + 1).max(1) as f64
}

/// Leads an attempt to its end: it asks the table until the row is held or the attempt
/// is over. Gives up when `give_up` says so.
pub(crate) fn claim(
    shared: &SharedState,
    key: &str,
    attempt: &mut ClaimAttempt,
    give_up: Duration,
) -> ClaimOutcome {
    loop {
        match attempt.step() {
            ClaimStep::Write { expected } => {
                let row = attempt.row(RowPhase::Held);
                attempt.reply(write_row(shared, key, expected, row));
            }
            ClaimStep::ReadBack => attempt.reply(shared.claims.read(key)),
            ClaimStep::Send if shared.now() < give_up => {
                return ClaimOutcome::Held(attempt.held_version().unwrap_or_default());
            }
            // A freeze or a slow table has used up the time.
            ClaimStep::Send => attempt.abandon(),
            step => return ClaimOutcome::NotHeld(step),
        }
        if shared.now() >= give_up {
            attempt.abandon();
        }
    }
}

/// Has the claim thread write a row, and waits for the reply.
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
    // Once the job is in the ring, it may be written at any time.
    let timeout = 2 * shared.config.platform_timeout;
    replies.recv_timeout(timeout).unwrap_or(TableReply::NoAnswer)
}

/// The writes that this instance may make: its part of what the table takes.
struct WriteBudget {
    /// How many writes may be made now; below zero when one has been taken in advance.
    available: f64,
    /// When `available` was worked out.
    updated_at: Duration,
}

impl WriteBudget {
    /// Starts with a full budget.
    fn new(now: Duration) -> Self {
        Self { available: WRITE_BURST, updated_at: now }
    }

    /// Takes a write out of the budget and returns how long to wait before making it.
    fn take(&mut self, instances: f64, now: Duration) -> Duration {
        let rate = FLEET_WRITES_PER_SECOND / instances;
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.available = (self.available + elapsed * rate).min(WRITE_BURST) - 1.0;
        self.updated_at = now;
        Duration::from_secs_f64((-self.available / rate).clamp(0.0, 2.0))
    }
}
