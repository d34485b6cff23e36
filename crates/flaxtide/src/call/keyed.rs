//! Calls that may not be repeated: claims, recorded outcomes and their replay.

use std::time::Duration;

use crossbeam::channel::bounded;
use flaxtide_core::{Call, Claimed, FailureReason, Queued};
use flaxtide_platform::{ObjectStore, claim_key};
use flaxtide_policy::{
    ClaimAttempt, ClaimRow, ClaimSettlement, ClaimStep, PolicyEvent, RowPhase, TableReply,
};
use serde::{Deserialize, Serialize};

use super::CallHandler;
use crate::claim::{ClaimOutcome, claim};
use crate::explain::StepKind;
use crate::link::FullResponse;
use crate::messages::SettleJob;
use crate::settle::queue_settlement;

/// The largest body that is recorded in a row of the table, in bytes. Larger ones, and
/// those that aren't text, go to the object store.
const MAX_ROW_BODY_BYTES: usize = 16 * 1024;

/// How long an answer waits for its record in the table. After that it goes out, and the
/// record follows.
const RECORD_TIMEOUT: Duration = Duration::from_secs(1);

/// When to ask again about a request that another attempt holds.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// A claim that this call holds.
pub(super) struct HeldClaim {
    /// The row's key.
    key: String,
    /// The row.
    pub(super) row: ClaimRow,
    /// The row's version.
    version: u64,
}

/// How claiming ended.
pub(super) enum KeyedOutcome {
    /// This call alone may send the request.
    Held(Call<Claimed>),
    /// The call is over.
    Ended,
}

/// An answer as it is recorded.
#[derive(Debug, Serialize, Deserialize)]
struct RecordedAnswer {
    /// The HTTP status.
    status: u16,
    /// The type of the body.
    content_type: String,
    /// The body, if it is short text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    body: Option<String>,
    /// The key of the object that holds the body otherwise.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    object: Option<String>,
}

impl CallHandler<'_> {
    /// Claims the right to run the request, or ends the call.
    pub(super) fn claim(&mut self, call: Call<Queued>) -> KeyedOutcome {
        let shared = self.shared;
        let key = self.claim_key();
        let mut attempt =
            ClaimAttempt::new(shared.next_attempt(), self.request.body_hash);
        let give_up = self.arrived + self.request.profile.give_up;
        match claim(shared, &key, &mut attempt, give_up) {
            ClaimOutcome::Held(version) => {
                let row = attempt.row(RowPhase::Held);
                let call = call.claim(row.attempt);
                self.held = Some(HeldClaim { key, row, version });
                shared.log.add(self.id, shared.now(), StepKind::Claimed);
                KeyedOutcome::Held(call)
            }
            ClaimOutcome::NotHeld(step) => {
                // The slot at the server goes to the next request.
                shared.tell(PolicyEvent::Abandon { request: self.id });
                if step == ClaimStep::Abandon {
                    let row = attempt.row(RowPhase::Released);
                    let settlement = ClaimSettlement::new(row, None);
                    queue_settlement(shared, SettleJob { key, settlement, done: None });
                }
                self.end_unclaimed(call, step);
                KeyedOutcome::Ended
            }
        }
    }

    /// Ends a call that couldn't claim its request.
    fn end_unclaimed(&mut self, call: Call<Queued>, step: ClaimStep) {
        match step {
            ClaimStep::Replay { outcome } => self.replay(call, &outcome),
            ClaimStep::HeldByOther => self.refuse_in_progress(call),
            ClaimStep::Mismatch => {
                let message = "the Idempotency-Key came with another body before";
                let reason = FailureReason::KeyReused;
                let failed = call.refuse_unverified(reason, message, None);
                self.end_refused(&failed.body);
            }
            _ => {
                let message = "this attempt wasn't sent, as the platform's table didn't \
                               answer in time; whether an earlier one under the same key \
                               ran can't be known now";
                let reason = FailureReason::ClaimUnavailable;
                let failed = call.refuse_unverified(reason, message, Some(RETRY_AFTER));
                self.end_refused(&failed.body);
            }
        }
    }

    /// Refuses a call with an idempotency key. It says "not run" only if the table says
    /// that no earlier attempt under the key may have.
    pub(super) fn refuse_keyed(
        &mut self,
        call: Call<Queued>,
        reason: FailureReason,
        message: &str,
        retry_after: Option<Duration>,
    ) {
        match self.shared.quick_claims.read(&self.claim_key()) {
            TableReply::Found(None) => {
                let failed = call.refuse(reason, message, retry_after);
                self.end_refused(&failed.body);
            }
            TableReply::Found(Some((row, _))) => match row.phase {
                RowPhase::Released => {
                    let failed = call.refuse(reason, message, retry_after);
                    self.end_refused(&failed.body);
                }
                RowPhase::Held => self.refuse_in_progress(call),
                RowPhase::Done { outcome } if row.body_hash == self.request.body_hash => {
                    self.replay(call, &outcome);
                }
                RowPhase::Done { .. } => self.end_unclaimed(call, ClaimStep::Mismatch),
            },
            _ => {
                let failed = call.refuse_unverified(reason, message, retry_after);
                self.end_refused(&failed.body);
            }
        }
    }

    /// Tells the caller that another attempt may have run the request.
    fn refuse_in_progress(&mut self, call: Call<Queued>) {
        let message = "an attempt under the same Idempotency-Key is running or has run, \
                       and its outcome isn't recorded yet";
        let reason = FailureReason::InProgress;
        let failed = call.refuse_unverified(reason, message, Some(RETRY_AFTER));
        self.end_refused(&failed.body);
    }

    /// Gives the recorded answer again.
    fn replay(&mut self, call: Call<Queued>, outcome: &str) {
        let Some(response) = self.read_outcome(outcome) else {
            let message =
                "the request has run, but its recorded answer can't be read now";
            let reason = FailureReason::InProgress;
            let failed = call.refuse_unverified(reason, message, Some(RETRY_AFTER));
            self.end_refused(&failed.body);
            return;
        };
        let shared = self.shared;
        shared.log.add(self.id, shared.now(), StepKind::Replayed);
        let labels = [self.request.profile.name.as_str(), "replayed"];
        shared.metrics.requests.with_label_values(&labels).inc();
        // A caller that has gone can ask again.
        let _ = self.progress.send_response(&response);
    }

    /// Reads a recorded answer.
    fn read_outcome(&self, outcome: &str) -> Option<FullResponse> {
        let record: RecordedAnswer = serde_json::from_str(outcome).ok()?;
        let body = match (record.body, record.object) {
            (Some(body), _) => body.into_bytes(),
            (None, Some(object)) => self.shared.platform.get(&object).ok().flatten()?,
            (None, None) => vec![],
        };
        let content_type = record.content_type;
        Some(FullResponse { status: record.status, content_type, body })
    }

    /// Records the outcome of a request that may not be repeated, so that a repeat of its
    /// key gets the same answer.
    pub(super) fn record_outcome(&mut self, response: &FullResponse) {
        let Some(held) = self.held.take() else { return };
        let Some(outcome) = self.encode_outcome(&held, response) else {
            log::warn!(
                "an outcome can't be recorded, as the object store doesn't answer"
            );
            return;
        };
        let row = ClaimRow { phase: RowPhase::Done { outcome }, ..held.row };
        let settlement = ClaimSettlement::new(row, Some(held.version));
        let (done, settled) = bounded(1);
        let done = Some(done);
        queue_settlement(self.shared, SettleJob { key: held.key, settlement, done });
        if settled.recv_timeout(RECORD_TIMEOUT).is_err() {
            log::warn!("an answer goes out before its record is in the table");
        }
    }

    /// Puts an answer into the form in which it is recorded.
    fn encode_outcome(
        &self,
        held: &HeldClaim,
        response: &FullResponse,
    ) -> Option<String> {
        let mut record = RecordedAnswer {
            status: response.status,
            content_type: response.content_type.clone(),
            body: None,
            object: None,
        };
        let text = std::str::from_utf8(&response.body).ok();
        match text.filter(|text| text.len() <= MAX_ROW_BODY_BYTES) {
            Some(text) => record.body = Some(text.to_owned()),
            None => {
                let key = format!("outcomes/{:016x}", held.row.attempt);
                self.shared.platform.put(&key, &response.body).ok()?;
                record.object = Some(key);
            }
        }
        serde_json::to_string(&record).ok()
    }

    /// Releases the claim of a request that hasn't been sent and won't be.
    pub(super) fn release_claim(&mut self) {
        let Some(held) = self.held.take() else { return };
        let row = ClaimRow { phase: RowPhase::Released, ..held.row };
        let settlement = ClaimSettlement::new(row, Some(held.version));
        queue_settlement(
            self.shared,
            SettleJob { key: held.key, settlement, done: None },
        );
    }

    /// Returns the key of the request's claim.
    fn claim_key(&self) -> String {
        let key = self.request.key.as_deref().unwrap_or_default();
        claim_key(&self.request.organisation_name, key)
    }
}
