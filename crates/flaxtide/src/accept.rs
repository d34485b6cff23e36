//! The accept thread: it takes requests and starts a thread for each call.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use flaxtide_core::FailureReason;
use socket2::{Domain, Protocol, Socket, Type};
use tiny_http::{Request, Server};

use crate::call::{refuse_early, serve_call};
use crate::link::{CallerLink, CompleteResponse, refusal};
use crate::request::{is_keyed, split_url};
use crate::shared::SharedState;

/// How often the thread looks whether it is to end.
const STOP_PERIOD: Duration = Duration::from_millis(200);

/// How many connections may wait to be accepted.
const BACKLOG: i32 = 1024;

/// The stack of a call's thread, in bytes.
const CALL_STACK: usize = 256 * 1024;

/// Opens an HTTP listener.
pub(crate) fn listen(address: SocketAddr) -> io::Result<Server> {
    let listener = open_socket(address)?;
    Server::from_listener(listener, None)
        .map_err(|cause| io::Error::other(cause.to_string()))
}

/// Opens a listening socket. Accepted sockets inherit `TCP_NODELAY`, without which each
/// token would wait for the acknowledgement of the one before.
fn open_socket(address: SocketAddr) -> io::Result<TcpListener> {
    let socket =
        Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_tcp_nodelay(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Runs the accept thread until the instance stops.
pub(crate) fn accept(shared: &Arc<SharedState>, server: &Server) {
    while !shared.stopped() {
        match server.recv_timeout(STOP_PERIOD) {
            Ok(Some(request)) => take(shared, request),
            Ok(None) => {}
            Err(cause) => log::warn!("a connection failed: {cause}"),
        }
    }
}

/// Answers a health question, or starts the thread of a call.
fn take(shared: &Arc<SharedState>, request: Request) {
    match split_url(request.url()).0 {
        "/healthz" => return answer_health(request, true),
        "/readyz" => return answer_health(request, shared.ready()),
        _ => {}
    }
    if !shared.enter() {
        let id = shared.next_request();
        let keyed = is_keyed(&request);
        let link = CallerLink::new(request, id, true);
        let message = "the instance has as many requests as it can hold";
        let body = refusal(id, FailureReason::QueueFull, message, keyed);
        refuse_early(shared, link, &body);
        return;
    }
    let owned = shared.clone();
    let thread = thread::Builder::new().name("call".into()).stack_size(CALL_STACK);
    let started = thread.spawn(move || {
        let _guard = CallGuard(&owned);
        serve_call(&owned, request);
    });
    if let Err(cause) = started {
        // The request went with the closure, which closed its connection.
        shared.exit();
        log::error!("no thread for a call: {cause}; raise the limit of threads");
    }
}

/// Counts a call out, also when its thread panics.
struct CallGuard<'a>(&'a Arc<SharedState>);

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        self.0.exit();
    }
}

/// Answers a question of the balancer.
fn answer_health(request: Request, well: bool) {
    let (status, body) = if well { (200, "ok") } else { (503, "not ready") };
    let answer = CompleteResponse {
        status,
        content_type: "text/plain".into(),
        body: body.as_bytes().to_vec(),
    };
    let _ = CallerLink::new(request, 0, false).answer(&answer);
}
