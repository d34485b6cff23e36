//! The settle thread, which writes the final phase of claims and retries while the
//! platform is unavailable.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError};

use crate::claim::write_row;
use crate::messages::SettleJob;
use crate::shared::SharedState;

/// The pause after a settlement failed.
const RETRY_PERIOD: Duration = Duration::from_millis(250);

/// How often an idle thread checks whether it should stop.
const STOP_CHECK_PERIOD: Duration = Duration::from_millis(200);

/// With this many open jobs, the thread accepts one new job per attempted settlement. The
/// channel then fills up, and further jobs are dropped; their rows stay held. This is safe:
/// a caller that retries the request is told that it may have run.
const OPEN_JOBS_THRESHOLD: usize = 4096;

/// Runs the settle thread until the instance stops.
pub(crate) fn settle_claims(shared: &Arc<SharedState>, jobs: &Receiver<SettleJob>) {
    let mut open: VecDeque<SettleJob> = VecDeque::new();
    while !shared.stopped() {
        let wait = if open.is_empty() { STOP_CHECK_PERIOD } else { Duration::ZERO };
        match jobs.recv_timeout(wait) {
            Ok(job) => open.push_back(job),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        let capacity = OPEN_JOBS_THRESHOLD.saturating_sub(open.len());
        open.extend(jobs.try_iter().take(capacity));
        let Some(mut job) = open.pop_front() else { continue };
        if settle(shared, &mut job) {
            shared.unsettled.fetch_sub(1, Ordering::SeqCst);
            if let Some(done) = job.done {
                let _ = done.try_send(());
            }
        } else {
            open.push_back(job);
            std::thread::sleep(RETRY_PERIOD);
        }
    }
}

/// Queues a settlement for the settle thread. Drops it if the channel is full.
pub(crate) fn queue_settlement(shared: &SharedState, job: SettleJob) {
    shared.unsettled.fetch_add(1, Ordering::SeqCst);
    if let Err(cause) = shared.settle_jobs.try_send(job) {
        shared.unsettled.fetch_sub(1, Ordering::SeqCst);
        log::error!(
            "the settlement queue is full or closed; the claim stays held: {cause}"
        );
    }
}

/// Tries to write the final phase of a row. Returns whether nothing is left to write.
fn settle(shared: &SharedState, job: &mut SettleJob) -> bool {
    /// The number of writes, each of which may fail on its version condition, before the
    /// job is retried later.
    const MAX_TRIES: usize = 3;
    for _ in 0..MAX_TRIES {
        let Some(expected) = job.settlement.next_write() else { return true };
        let row = job.settlement.row().clone();
        job.settlement.reply(&write_row(shared, &job.key, expected, row));
    }
    job.settlement.next_write().is_none()
}
