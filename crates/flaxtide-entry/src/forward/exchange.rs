//! The exchange with a peer that a request is forwarded to: the headers of the request, and the
//! head of the response.

use std::rc::Rc;
use std::time::Duration;

use flaxtide_core::{RequestId, ServerId, is_final_status};
use flaxtide_policy::RouteFault;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::HeaderMap;

use super::head::{ForwardHead, PeerReply, take_server_version};
use crate::body::{UpstreamBody, drain_refusal};
use crate::exchange::{
    CallerRequest, ResponseStart, SendFault, claims_not_run, start_response,
};
use crate::reply::LocalReply;
use crate::state::TrafficState;
use crate::upstream::ServerConnection;

/// Builds the headers of a request as the peer gets it that forwards it: those of the caller,
/// whose key the peer checks too.
pub(crate) fn forwarded_headers(
    state: &TrafficState,
    request: &CallerRequest,
    request_id: RequestId,
    time_left: Duration,
) -> HeaderMap {
    let mut headers = request.headers.clone();
    state.dialect.write_deadline(&mut headers, time_left);
    let run_limit = state.with_router(|core, _| core.forwarded_run_limit(request_id));
    let bound_version = state.with_router(|core, _| core.bound_version(request_id));
    let rules_version = state.rules_version();
    let head = ForwardHead { rules_version, run_limit, bound_version };
    head.write(&mut headers);
    headers
}

/// Checks the head of the response of a peer to a request that was forwarded to it. The peer
/// has checked the response of the server.
pub(crate) fn check_forwarded_head(
    state: &Rc<TrafficState>,
    request: &CallerRequest,
    request_id: RequestId,
    peer: ServerId,
    connection: ServerConnection,
    response: Response<Incoming>,
) -> Result<ResponseStart, SendFault> {
    let (mut parts, body) = response.into_parts();
    let peer_version = take_server_version(&mut parts.headers);
    // The peer closes idle connections by the same rules.
    let keep_alive = Some(state.limits().idle_timeout);
    let body = UpstreamBody::new(&parts.headers, body, connection, peer, keep_alive);
    if let Some(refusal) = PeerReply::read(&parts.headers) {
        drain_refusal(state, body);
        return Err(match refusal.reply {
            LocalReply::TooLate
            | LocalReply::Quarantined
            | LocalReply::Suspected
            | LocalReply::ServerFailed
            | LocalReply::TimedOut => SendFault::Refused(refusal),
            // The peer can't serve it, and another one may.
            reply => {
                let server_sends = refusal.server_sends.0;
                log::info!(
                    request = request.attempt_id.as_deref().unwrap_or_default(),
                    peer = state.target_name(peer), cause = reply.name(), server_sends;
                    "declined by peer"
                );
                state.with_router(|core, _| {
                    core.record_peer_sends(request_id, server_sends);
                });
                SendFault::Fault(RouteFault::Declined)
            }
        });
    }
    let head = state.dialect.read_response(parts.status.as_u16(), &parts.headers);
    let is_answer = is_final_status(parts.status.as_u16());
    if !is_answer || head.attempt_id != request.attempt_id || claims_not_run(parts.status)
    {
        return Err(RouteFault::Broken.into());
    }
    Ok(ResponseStart { peer_version, ..start_response(parts, body) })
}
