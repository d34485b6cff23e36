//! The HTTP listener that all stand-ins share.

use std::io::{self, Cursor};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use socket2::{Domain, Protocol, Socket, Type};
use tiny_http::{Header, Request, Response, Server};

/// How often the accepting thread looks whether it is to stop.
const STOP_PERIOD: Duration = Duration::from_millis(50);

/// How many connections may wait to be accepted.
const BACKLOG: i32 = 1024;

/// The stack of a thread that answers one request, in bytes.
const ANSWER_STACK: usize = 256 * 1024;

/// An HTTP listener that answers each request on a thread of its own.
pub(crate) struct StandinListener {
    /// Where it listens.
    address: SocketAddr,
    /// Whether it is to stop.
    stop: Arc<AtomicBool>,
    /// The accepting thread.
    thread: Option<JoinHandle<()>>,
}

impl StandinListener {
    /// Listens on `address` and hands each request to `answer`.
    pub(crate) fn start(
        address: SocketAddr,
        answer: impl Fn(Request) + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = listen(address)?;
        let server = Server::from_listener(listener, None)
            .map_err(|cause| io::Error::other(cause.to_string()))?;
        let address = server
            .server_addr()
            .to_ip()
            .ok_or_else(|| io::Error::other("not listening on an IP address"))?;
        let stop = Arc::new(AtomicBool::new(false));
        let (stopped, answer) = (stop.clone(), Arc::new(answer));
        let thread = thread::spawn(move || accept(&server, &stopped, &answer));
        Ok(Self { address, stop, thread: Some(thread) })
    }

    /// Returns where it listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for StandinListener {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Accepts requests until told to stop.
fn accept(
    server: &Server,
    stop: &AtomicBool,
    answer: &Arc<impl Fn(Request) + Send + Sync + 'static>,
) {
    while !stop.load(Ordering::SeqCst) {
        let Ok(Some(request)) = server.recv_timeout(STOP_PERIOD) else { continue };
        let answer = answer.clone();
        let thread = thread::Builder::new().stack_size(ANSWER_STACK);
        if let Err(cause) = thread.spawn(move || answer(request)) {
            log::warn!("no thread for a request: {cause}");
        }
    }
}

/// Opens a listening socket. Accepted sockets inherit `TCP_NODELAY`, without which each
/// token would wait for the acknowledgement of the one before.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket =
        Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_tcp_nodelay(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Reads a request's body as JSON.
pub(crate) fn read_json<T: DeserializeOwned>(request: &mut Request) -> Option<T> {
    let mut text = String::new();
    request.as_reader().read_to_string(&mut text).ok()?;
    serde_json::from_str(&text).ok()
}

/// Answers with JSON.
pub(crate) fn respond_json(request: Request, status: u16, body: &impl Serialize) {
    let text = serde_json::to_string(body).unwrap_or_default();
    let mut response = Response::from_string(text).with_status_code(status);
    if let Ok(header) = Header::from_bytes("Content-Type", "application/json") {
        response.add_header(header);
    }
    // A caller that has gone needs no answer.
    let _ = request.respond(response);
}

/// Refuses a request, with the promise that it hasn't been run.
pub(crate) fn respond_leaving(request: Request) {
    let _ = request.respond(leaving_response());
}

/// Answers a request with the refusal of another one.
pub(crate) fn respond_leaving_to(request: Request, request_id: &str) {
    let mut response = leaving_response();
    if let Ok(header) = Header::from_bytes("X-Request-Id", request_id) {
        response.add_header(header);
    }
    let _ = request.respond(response);
}

/// Builds the refusal of a server that is leaving.
fn leaving_response() -> Response<Cursor<Vec<u8>>> {
    let mut response = Response::from_string("leaving").with_status_code(503);
    if let Ok(header) = Header::from_bytes("X-Refused", "leaving") {
        response.add_header(header);
    }
    response
}

/// Returns a header's value.
pub(crate) fn header(request: &Request, name: &'static str) -> Option<String> {
    let field = request.headers().iter().find(|header| header.field.equiv(name))?;
    Some(field.value.as_str().to_owned())
}

/// Returns the decoded value of a query parameter.
pub(crate) fn query_param(url: &str, name: &str) -> Option<String> {
    let (_, query) = url.split_once('?')?;
    let pair = query.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key == name).then_some(value)
    })?;
    Some(percent_decode(pair))
}

/// Undoes the percent-encoding of a query value (RFC 3986).
fn percent_decode(text: &str) -> String {
    let mut bytes = vec![];
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        match byte {
            b'+' => bytes.push(b' '),
            b'%' => {
                let digits: Vec<u8> = rest.by_ref().take(2).collect();
                let digits = String::from_utf8_lossy(&digits).into_owned();
                bytes.extend(u8::from_str_radix(&digits, 16).ok());
            }
            _ => bytes.push(byte),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
