//! How the instance itself responds to a call.

use std::time::Duration;

use flaxtide_policy::RouteFault;

use super::{MAX_RETRY_AFTER, OpenCall, RETRY_DIVISOR};
use crate::exchange::CallerRequest;
use crate::forward::{PeerReply, ServerSends};
use crate::reply::{CallerResponse, LocalReply};

impl OpenCall {
    /// Builds a response of the instance itself and records the end of the request.
    pub(crate) fn reply_locally(
        &self,
        reply: LocalReply,
        retry_after: Option<Duration>,
    ) -> CallerResponse {
        let mut response = reply.into_response(retry_after);
        let sends = ServerSends(self.servers_reached.get());
        response.extensions_mut().insert(sends);
        self.record_end(reply.name(), response.status().as_u16());
        response
    }

    /// Responds to a request whose last attempt failed and that isn't retried.
    pub(crate) fn reply_failed(&self, fault: RouteFault) -> CallerResponse {
        if self.may_have_run.get() {
            let reply = match fault {
                RouteFault::Silent => LocalReply::TimedOut,
                _ => LocalReply::ServerFailed,
            };
            return self.reply_locally(reply, None);
        }
        let retry_after = self.time_left() / RETRY_DIVISOR;
        self.reply_locally(LocalReply::NoServer, Some(retry_after.min(MAX_RETRY_AFTER)))
    }

    /// Responds to a request that crashes servers, or that ran beside others which do.
    pub(crate) fn reply_quarantined(&self, request: &CallerRequest) -> CallerResponse {
        let found = self.state.quarantine.renew(&self.state, request);
        let quarantine = &self.state.quarantine;
        let is_uncertain = quarantine.is_uncertain(request, self.state.now());
        log::info!(
            request = self.attempt_id, class = self.class.class().name,
            fingerprint = format!("{found:032x}"), uncertain = is_uncertain;
            "quarantined"
        );
        if self.may_have_run.get() {
            return self.reply_locally(LocalReply::ServerFailed, None);
        }
        if is_uncertain {
            let retry_after = self.time_left() / RETRY_DIVISOR;
            let retry_after = retry_after.min(MAX_RETRY_AFTER);
            return self.reply_locally(LocalReply::Suspected, Some(retry_after));
        }
        self.reply_locally(LocalReply::Quarantined, None)
    }

    /// Responds as the peer does that the request was forwarded to.
    pub(crate) fn reply_as_peer(&self, refusal: PeerReply) -> CallerResponse {
        let PeerReply { reply, retry_after, .. } = refusal;
        if self.may_have_run.get() && !reply.may_have_run() {
            return self.reply_locally(LocalReply::ServerFailed, None);
        }
        let longest = self.time_left() / RETRY_DIVISOR;
        self.reply_locally(reply, retry_after.map(|span| span.min(longest)))
    }

    /// Responds to a request whose deadline has passed.
    pub(crate) fn reply_timed_out(&self) -> CallerResponse {
        if self.may_have_run.get() {
            return self.reply_locally(LocalReply::TimedOut, None);
        }
        self.reply_locally(LocalReply::TooLate, Some(MAX_RETRY_AFTER))
    }

    /// Responds to a request that isn't sent to a server because the instance is stopping.
    pub(crate) fn reply_stopping(&self) -> CallerResponse {
        if self.may_have_run.get() {
            return self.reply_locally(LocalReply::ServerFailed, None);
        }
        self.reply_locally(LocalReply::Stopping, Some(Duration::ZERO))
    }

    /// Responds to a request that is still open as the process ends.
    pub(crate) fn reply_cut_off(&self) -> CallerResponse {
        if self.at_server.get() {
            self.may_have_run.set(true);
            return self.reply_locally(LocalReply::TimedOut, None);
        }
        self.reply_stopping()
    }
}
