//! What an instance answers to the load balancer and to operators, on ports of their own.

use std::rc::Rc;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::listen::accept;
use crate::quarantine::parse_suspect;
use crate::reply::{CallerResponse, full_body};
use crate::state::TrafficState;

/// The path of the list of what is quarantined. `DELETE` of a name below it releases that.
const QUARANTINE_PATH: &str = "/quarantine";

/// Who is answered on a port.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProbeAudience {
    /// The load balancer, which asks whether the instance is ready.
    Balancer,
    /// Operators and what collects metrics for them.
    Operators,
}

/// Answers probes until the process ends.
pub(crate) async fn serve_probes(
    state: Rc<TrafficState>,
    listener: TcpListener,
    audience: ProbeAudience,
) {
    loop {
        let Some(stream) = accept(&listener).await else { continue };
        let state = state.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let (method, path) = (request.method(), request.uri().path());
                let response = answer_probe(&state, audience, method, path);
                async move { Ok::<_, std::convert::Infallible>(response) }
            });
            let connection =
                http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // The client opens another connection if this one fails.
            let _ = connection.await;
        });
    }
}

/// Answers one probe.
fn answer_probe(
    state: &TrafficState,
    audience: ProbeAudience,
    method: &Method,
    path: &str,
) -> CallerResponse {
    if path == state.config().ready_path {
        return empty_response(match state.is_ready() {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        });
    }
    if path == "/metrics" {
        return Response::new(full_body(state.metrics.render().into()));
    }
    if audience == ProbeAudience::Operators
        && let Some(rest) = path.strip_prefix(QUARANTINE_PATH)
    {
        return answer_operator(state, method, rest);
    }
    empty_response(StatusCode::NOT_FOUND)
}

/// Answers an operator's call about the quarantine: lists what is in it, or releases the suspect
/// that `rest` names.
fn answer_operator(state: &TrafficState, method: &Method, rest: &str) -> CallerResponse {
    if *method == Method::GET && rest.is_empty() {
        let list = state.quarantine.list(state.now()).to_string();
        let mut response = Response::new(full_body(list.into()));
        let json = HeaderValue::from_static("application/json");
        response.headers_mut().insert(CONTENT_TYPE, json);
        return response;
    }
    if *method != Method::DELETE {
        return empty_response(StatusCode::METHOD_NOT_ALLOWED);
    }
    match rest.strip_prefix('/').and_then(parse_suspect) {
        Some(suspect) if state.quarantine.release(state, suspect) => {
            empty_response(StatusCode::NO_CONTENT)
        }
        Some(_) => empty_response(StatusCode::NOT_FOUND),
        None => {
            let remedy = "name a suspect as GET /quarantine does, such as part-5c1e07a2";
            let mut response =
                Response::new(full_body(Bytes::from_static(remedy.as_bytes())));
            *response.status_mut() = StatusCode::BAD_REQUEST;
            response
        }
    }
}

/// Builds a response without a body.
fn empty_response(status: StatusCode) -> CallerResponse {
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = status;
    response
}
