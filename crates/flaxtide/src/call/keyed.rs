//! Calls with an idempotency key: their claims, recorded outcomes and replay.

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
use crate::link::CompleteResponse;
use crate::messages::SettleJob;
use crate::settle::queue_settlement;

/// The largest body that is stored in a row of the platform's table. Larger bodies, and
/// those that aren't UTF-8 text, are stored in the object store.
const MAX_ROW_BODY_BYTES: usize = 16 * 1024;

/// How long a response is held back until its outcome is recorded in the table. After
/// that, the response is sent, and the settle thread still records the outcome, unless the
/// settlement couldn't be queued.
const RECORD_TIMEOUT: Duration = Duration::from_secs(1);

/// The retry delay sent with refusals that don't know the state of an earlier attempt.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// A claim that this call holds.
pub(super) struct HeldClaim {
    /// The key of the row in the platform's table.
    key: String,
    /// The row, in phase [`RowPhase::Held`].
    pub(super) row: ClaimRow,
    /// The version of the row, which the settlement expects to find.
    version: u64,
}

/// The outcome of claiming the request of a call.
pub(super) enum CallClaim {
    /// This call holds the claim: it alone may send the request.
    Held(Call<Claimed>),
    /// The call couldn't get the claim and has ended.
    Ended,
}

/// A response as recorded in the row of its claim.
#[derive(Debug, Serialize, Deserialize)]
struct RecordedAnswer {
    /// The HTTP status code.
    status: u16,
    /// The media type of the body.
    content_type: String,
    /// The body, if it is text of at most [`MAX_ROW_BODY_BYTES`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    body: Option<String>,
    /// The key of the object that holds any other body.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    object: Option<String>,
}

impl CallHandler<'_> {
    /// Claims the right to send the request, or ends the call.
    pub(super) fn claim(&mut self, call: Call<Queued>) -> CallClaim {
        let shared = self.shared;
        let key = self.claim_key();
        let mut attempt =
            ClaimAttempt::new(shared.next_attempt(), self.request.body_hash);
        let give_up_at = self.arrived + self.request.profile.give_up;
        match claim(shared, &key, &mut attempt, give_up_at) {
            ClaimOutcome::Held(version) => {
                let row = attempt.row(RowPhase::Held);
                let call = call.claim(row.attempt);
                self.held = Some(HeldClaim { key, row, version });
                shared.log.add(self.id, shared.now(), StepKind::Claimed);
                CallClaim::Held(call)
            }
            ClaimOutcome::NotHeld(step) => {
                // Frees the slot at the server for the next request.
                shared.tell(PolicyEvent::Abandon { request: self.id });
                if step == ClaimStep::Abandon {
                    let row = attempt.row(RowPhase::Released);
                    let settlement = ClaimSettlement::new(row, None);
                    queue_settlement(shared, SettleJob { key, settlement, done: None });
                }
                self.end_unclaimed(call, step);
                CallClaim::Ended
            }
        }
    }

    /// Ends a call that couldn't get the claim of its request.
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

    /// Refuses a call with an idempotency key. The refusal states that the request hasn't
    /// run only if the table shows that no earlier attempt with the key can have run.
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

    /// Refuses a call because another attempt with its key may have run the request.
    fn refuse_in_progress(&mut self, call: Call<Queued>) {
        let message = "an attempt under the same Idempotency-Key is running or has run, \
                       and its outcome isn't recorded yet";
        let reason = FailureReason::InProgress;
        let failed = call.refuse_unverified(reason, message, Some(RETRY_AFTER));
        self.end_refused(&failed.body);
    }

    /// Sends the recorded response to the caller and ends the call.
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
        // If the caller has disconnected, it can get the response by a retry.
        let _ = self.progress.send_response(&response);
    }

    /// Decodes a recorded outcome; `None` if it or the object with its body can't be read.
    fn read_outcome(&self, outcome: &str) -> Option<CompleteResponse> {
        let record: RecordedAnswer = serde_json::from_str(outcome).ok()?;
        let body = match (record.body, record.object) {
            (Some(body), _) => body.into_bytes(),
            (None, Some(object)) => self.shared.platform.get(&object).ok().flatten()?,
            (None, None) => vec![],
        };
        let content_type = record.content_type;
        Some(CompleteResponse { status: record.status, content_type, body })
    }

    /// Records the outcome of a request with an idempotency key, so that a retry with the
    /// key gets the same response.
    pub(super) fn store_response(&mut self, response: &CompleteResponse) {
        let Some(held) = self.held.take() else { return };
        let Some(outcome) = self.encode_outcome(&held, response) else {
            log::warn!(
                "failed to store a response body in the object store; the outcome stays unrecorded"
            );
            return;
        };
        let row = ClaimRow { phase: RowPhase::Done { outcome }, ..held.row };
        let settlement = ClaimSettlement::new(row, Some(held.version));
        let (done, settled) = bounded(1);
        let done = Some(done);
        queue_settlement(self.shared, SettleJob { key: held.key, settlement, done });
        if settled.recv_timeout(RECORD_TIMEOUT).is_err() {
            log::warn!("sending a response before its outcome is recorded in the table");
        }
    }

    /// Encodes a response for its row. Stores a body that is too long for the row or isn't
    /// UTF-8 text in the object store. Returns `None` if that fails.
    fn encode_outcome(
        &self,
        held: &HeldClaim,
        response: &CompleteResponse,
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

    /// Releases the claim, if the call holds one, of a request that hasn't been sent and
    /// won't be.
    pub(super) fn release_claim(&mut self) {
        let Some(held) = self.held.take() else { return };
        let row = ClaimRow { phase: RowPhase::Released, ..held.row };
        let settlement = ClaimSettlement::new(row, Some(held.version));
        queue_settlement(
            self.shared,
            SettleJob { key: held.key, settlement, done: None },
        );
    }

    /// Returns the key of the claim's row: the organisation and the idempotency key.
    fn claim_key(&self) -> String {
        let key = self.request.key.as_deref().unwrap_or_default();
        claim_key(&self.request.organisation_name, key)
    }
}
