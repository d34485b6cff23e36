//! The ends of a call, other than a replay. Each call ends exactly once, and each of these
//! ends is counted and logged.

use flaxtide_core::{
    Call, CallEnd, Dispatched, FailureBody, FailureReason, format_request_id,
};
use flaxtide_policy::PolicyEvent;

use super::CallHandler;
use crate::explain::StepKind;
use crate::link::CompleteResponse;
use crate::request::CallPayload;

impl CallHandler<'_> {
    /// Ends a call whose response is complete. `response` is `None` if it has been passed
    /// on as a stream already.
    pub(super) fn end_answered(
        &mut self,
        call: Call<Dispatched>,
        response: Option<&CompleteResponse>,
    ) {
        let tokens = self.progress.tokens;
        let now = self.shared.now();
        self.progress.first_token.get_or_insert(now);
        self.shared.tell(PolicyEvent::Finish { request: self.id, tokens });
        self.record_response(response);
        if response.is_some_and(|response| self.progress.send_response(response).is_err())
        {
            self.end_caller_gone(call);
            return;
        }
        let _ = call.answer();
        let met_target = self.met_target();
        self.count_response(met_target);
        self.record_end(CallEnd::Answered, StepKind::Answered { tokens, met_target });
    }

    /// Records the response if the call holds a claim; other responses aren't recorded.
    fn record_response(&mut self, response: Option<&CompleteResponse>) {
        if self.held.is_none() {
            return;
        }
        match (response, &self.request.payload) {
            (Some(response), _) => self.store_response(response),
            (None, CallPayload::Completion(payload)) => {
                let response = self.progress.build_response(self.id, payload);
                self.store_response(&response);
            }
            // Responses of plain services are never streamed.
            (None, CallPayload::Plain(_)) => {}
        }
    }

    /// Ends a call that is refused; this attempt at the request hasn't run.
    pub(super) fn end_refused(&mut self, body: &FailureBody) {
        let metrics = &self.shared.metrics;
        metrics.refusals.with_label_values(&[body.reason.name()]).inc();
        let labels = [self.request.profile.name.as_str(), "refused"];
        metrics.attainment.with_label_values(&labels).inc();
        // If the caller has disconnected, nobody is left to notify.
        let _ = self.progress.fail(body);
        let (reason, retry_after_ms) = (body.reason, body.retry_after_ms);
        self.record_end(CallEnd::Refused, StepKind::Refused { reason, retry_after_ms });
    }

    /// Ends a call that may have run and has no complete response.
    pub(super) fn end_failed(&mut self, body: &FailureBody) {
        let metrics = &self.shared.metrics;
        metrics.wasted_tokens.inc_by(u64::from(self.progress.tokens));
        let labels = [self.request.profile.name.as_str(), "failed"];
        metrics.attainment.with_label_values(&labels).inc();
        // If the caller has disconnected, nobody is left to notify.
        let _ = self.progress.fail(body);
        self.record_end(CallEnd::Failed, StepKind::Failed { reason: body.reason });
    }

    /// Ends a call whose caller has disconnected. The connection to the server is closed,
    /// which cancels a stream of its engine.
    pub(super) fn end_caller_gone(&mut self, call: Call<Dispatched>) {
        let reason = FailureReason::CallerGone;
        let _ = call.fail(reason, "the caller has gone", None);
        self.shared.tell(PolicyEvent::CallerGone { request: self.id });
        let tokens = u64::from(self.progress.tokens);
        self.shared.metrics.wasted_tokens.inc_by(tokens);
        self.record_end(CallEnd::Failed, StepKind::CallerGone);
    }

    /// Returns whether the response met the latency targets of its class: the first token
    /// in time, and the later ones in time on average.
    fn met_target(&self) -> bool {
        let profile = &self.request.profile;
        let Some(first) = self.progress.first_token else { return false };
        if first.saturating_sub(self.arrived) > profile.first_token {
            return false;
        }
        let Some(last) = self.progress.last_token else { return true };
        let later_tokens = self.progress.tokens.saturating_sub(1);
        last.saturating_sub(first) <= profile.between_tokens * later_tokens
    }

    /// Updates the metrics of completed responses.
    fn count_response(&self, met_target: bool) {
        let metrics = &self.shared.metrics;
        let class = self.request.profile.name.as_str();
        let met = if met_target { "yes" } else { "no" };
        metrics.attainment.with_label_values(&[class, met]).inc();
        if met_target {
            metrics.good_tokens.inc_by(u64::from(self.progress.tokens));
        }
        if let Some(first) = self.progress.first_token {
            let span = first.saturating_sub(self.arrived).as_secs_f64();
            metrics.first_token.with_label_values(&[class]).observe(span);
        }
    }

    /// Counts the end of the call, adds it to the decision record and logs it.
    fn record_end(&self, end: CallEnd, step: StepKind) {
        let name = match end {
            CallEnd::Answered => "answered",
            CallEnd::Refused => "refused",
            CallEnd::Failed => "failed",
        };
        let class = self.request.profile.name.as_str();
        self.shared.metrics.requests.with_label_values(&[class, name]).inc();
        self.shared.log.add(self.id, self.shared.now(), step);
        log::info!(
            request_id = format_request_id(self.id),
            organisation = self.request.organisation_name.as_str(),
            class = class,
            tokens = self.progress.tokens;
            "{name}"
        );
    }
}
