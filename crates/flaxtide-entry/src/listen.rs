//! Connections of callers: accepted, watched while idle, closed in order.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use crate::call::serve;
use crate::reply::{CallerResponse, whole};
use crate::state::{LifePhase, TrafficState};
use crate::upstream::watch_peer;

/// How many connections may wait to be accepted.
const BACKLOG: u32 = 1024;

/// How long a listener that can't accept waits, such as while descriptors are short.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Descriptors that are kept for everything but callers: servers, peers, the platform.
const KEPT_DESCRIPTORS: u64 = 1200;

/// The least buffer that the HTTP library takes for a head.
const LEAST_HEAD_BUFFER: usize = 8192;

/// What has happened on a connection.
#[derive(Debug, Default)]
struct LinkActivity {
    /// When bytes last went either way.
    moved: Cell<Duration>,
    /// Since when bytes of a head have come that isn't whole.
    head_since: Cell<Option<Duration>>,
    /// How many requests are being answered.
    requests: Cell<u32>,
}

/// A connection that records what happens on it.
struct WatchedStream {
    /// The connection.
    stream: TcpStream,
    /// What has happened.
    activity: Rc<LinkActivity>,
    /// Tells the time.
    state: Rc<TrafficState>,
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            let now = self.state.now();
            self.activity.moved.set(now);
            if self.activity.requests.get() == 0
                && self.activity.head_since.get().is_none()
            {
                self.activity.head_since.set(Some(now));
            }
        }
        polled
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.activity.moved.set(self.state.now());
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.activity.moved.set(self.state.now());
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// A request that is being answered on a connection.
struct RequestMark(Rc<LinkActivity>);

impl RequestMark {
    /// Records that a request's head is whole.
    fn new(activity: &Rc<LinkActivity>) -> Self {
        activity.head_since.set(None);
        activity.requests.set(activity.requests.get() + 1);
        Self(activity.clone())
    }
}

impl Drop for RequestMark {
    fn drop(&mut self) {
        self.0.requests.set(self.0.requests.get() - 1);
    }
}

/// Opens a listener.
///
/// # Errors
///
/// Returns the fault if the address can't be had.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts callers until the process ends.
pub(crate) async fn accept_callers(state: Rc<TrafficState>, listener: TcpListener) {
    let open = Rc::new(Cell::new(0u64));
    loop {
        let Some(stream) = accept(&listener).await else { continue };
        let most = state.config().descriptors.saturating_sub(KEPT_DESCRIPTORS).max(64);
        if open.get() >= most {
            log::warn!(open = open.get(), most; "caller turned away: descriptors are short");
            continue;
        }
        open.set(open.get() + 1);
        let (state, open) = (state.clone(), open.clone());
        tokio::task::spawn_local(async move {
            serve_caller(state, stream).await;
            open.set(open.get() - 1);
        });
    }
}

/// Accepts one connection.
async fn accept(listener: &TcpListener) -> Option<TcpStream> {
    match listener.accept().await {
        Ok((stream, _)) => Some(stream),
        Err(cause) => {
            log::warn!(cause = cause.to_string(); "connection not accepted");
            tokio::time::sleep(ACCEPT_PAUSE).await;
            None
        }
    }
}

/// Serves one connection of a caller until it ends.
async fn serve_caller(state: Rc<TrafficState>, stream: TcpStream) {
    let prepared = stream.set_nodelay(true).and_then(|()| watch_peer(&stream));
    if let Err(cause) = prepared {
        log::debug!(cause = cause.to_string(); "caller's connection can't be prepared");
        return;
    }
    let activity = Rc::new(LinkActivity::default());
    activity.moved.set(state.now());
    let watched = WatchedStream {
        stream,
        activity: activity.clone(),
        state: state.clone(),
    };
    let service = {
        let (state, activity) = (state.clone(), activity.clone());
        service_fn(move |request: Request<Incoming>| {
            let (state, mark) = (state.clone(), RequestMark::new(&activity));
            async move {
                let answer = serve(state, request).await;
                drop(mark);
                Ok::<_, std::convert::Infallible>(answer)
            }
        })
    };
    let limits = state.limits();
    let connection = http1::Builder::new()
        .keep_alive(true)
        .max_buf_size(limits.header_bytes.max(LEAST_HEAD_BUFFER))
        .serve_connection(TokioIo::new(watched), service);
    tokio::pin!(connection);
    loop {
        let check = tokio::time::sleep(limits.header_timeout);
        tokio::select! {
            // A caller that breaks off, or sends what isn't HTTP, has ended its connection.
            _ = connection.as_mut() => return,
            () = state.phase_changed.notified() => {}
            () = check => {}
        }
        if state.phase() >= LifePhase::Closing {
            connection.as_mut().graceful_shutdown();
        }
        let now = state.now();
        let limits = state.limits();
        let slow = activity.head_since.get();
        if slow.is_some_and(|since| now >= since + limits.header_timeout) {
            return;
        }
        let idle = activity.requests.get() == 0 && activity.head_since.get().is_none();
        if idle && now >= activity.moved.get() + limits.idle_timeout {
            connection.as_mut().graceful_shutdown();
        }
    }
}

/// Answers the balancer, which asks whether the instance is ready, and whoever reads the
/// metrics.
pub(crate) async fn accept_probes(state: Rc<TrafficState>, listener: TcpListener) {
    loop {
        let Some(stream) = accept(&listener).await else { continue };
        let state = state.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let answer = probe(&state, request.uri().path());
                async move { Ok::<_, std::convert::Infallible>(answer) }
            });
            let connection =
                http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // Whoever asks again opens another connection.
            let _ = connection.await;
        });
    }
}

/// Answers one probe.
fn probe(state: &TrafficState, path: &str) -> CallerResponse {
    if path == state.config().ready_path {
        let status =
            if state.ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        let mut answer = Response::new(whole(bytes::Bytes::new()));
        *answer.status_mut() = status;
        return answer;
    }
    if path == "/metrics" {
        return Response::new(whole(state.metrics.render().into()));
    }
    let mut answer = Response::new(whole(bytes::Bytes::new()));
    *answer.status_mut() = StatusCode::NOT_FOUND;
    answer
}
