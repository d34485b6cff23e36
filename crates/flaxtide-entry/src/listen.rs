//! Connections from callers and peers: accepts them, times them out and closes them gracefully.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use futures::{StreamExt, stream};
use http_body_util::{Either, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Version};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use crate::call::{RequestSource, serve_request};
use crate::contract::CallerLimits;
use crate::hooked::{HookedStream, StreamHook};
use crate::keepalive::enable_keepalive;
use crate::memory::connection_limit;
use crate::read_limit::ReadLimit;
use crate::reply::ResponseBody;
use crate::state::{ShutdownPhase, TrafficState};
use crate::unwritten::{ConnectionAnswer, TrackedBody};

/// How many connections may wait to be accepted.
const BACKLOG: u32 = 1024;

/// The pause after a failed accept, for example when file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A connection is closed after its caller has read nothing of a response for this long.
/// The response takes memory meanwhile. The system may close it sooner.
const STALLED_READER_TIMEOUT: Duration = Duration::from_secs(8);

/// A caller whose connection ends with an error counts as stalled if it had read nothing
/// for this long.
const MIN_STALL: Duration = Duration::from_secs(2);

/// The most bytes that a byte of a request's body takes: a chunk of one byte takes six.
const MAX_FRAMING_FACTOR: usize = 8;

/// The smallest head buffer that hyper accepts.
const MIN_HEAD_BUFFER_BYTES: usize = 8192;

/// The length of the shortest header line: one byte of name, a colon and the line break.
const MIN_HEADER_LINE_BYTES: usize = 4;

/// The most headers of a request. A header map panics when it is asked to hold over 24,576.
const MAX_HEADERS: usize = 16 * 1024;

/// How far a response has come whose end is that of its connection.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum UnframedResponse {
    /// There is none, or all of it is written.
    #[default]
    None,
    /// Its body hasn't ended.
    Open,
    /// Its body has ended, and hyper may still hold the last bytes.
    Unwritten,
}

/// The activity on a connection.
struct ConnectionActivity {
    /// When bytes were last read or written.
    last_io_at: Cell<Duration>,
    /// Since when an incomplete head has been awaited: its first bytes have arrived, and the answer
    /// before it is written.
    head_started_at: Cell<Option<Duration>>,
    /// Whether bytes of the next request have arrived while an answer is being written.
    read_ahead: Cell<bool>,
    /// The number of requests in progress, without those whose answer is being written.
    open_requests: Cell<u32>,
    /// The answer that is being written.
    answer: Rc<ConnectionAnswer>,
    /// Since when the caller hasn't read, while bytes wait to be written.
    unread_since: Cell<Option<Duration>>,
    /// The response in progress that ends with the connection.
    unframed: Cell<UnframedResponse>,
    /// Counts the connection until its first request has begun.
    unread: Cell<Option<UnreadGuard>>,
    /// Bounds what is read of each request.
    limit: Rc<ReadLimit>,
}

impl ConnectionActivity {
    /// Creates the activity of a connection that was accepted at `now`.
    fn new(state: &TrafficState, now: Duration) -> Self {
        Self {
            last_io_at: Cell::new(now),
            head_started_at: Cell::default(),
            read_ahead: Cell::default(),
            open_requests: Cell::default(),
            answer: Rc::new(ConnectionAnswer::new(&state.unwritten_answers)),
            unread_since: Cell::default(),
            unframed: Cell::default(),
            unread: Cell::default(),
            limit: Rc::new(ReadLimit::new(max_request_bytes(&state.limits()))),
        }
    }

    /// Records the outcome of a write.
    fn record_write(&self, written: &Poll<io::Result<usize>>, now: Duration) {
        self.last_io_at.set(now);
        let unread_since = match written {
            Poll::Pending => self.unread_since.get().or(Some(now)),
            Poll::Ready(Ok(_)) => None,
            Poll::Ready(Err(_)) => self.unread_since.get(),
        };
        self.unread_since.set(unread_since);
    }

    /// Records that bytes were read.
    fn record_read(&self, now: Duration) {
        self.last_io_at.set(now);
        if self.answer.is_open() {
            self.read_ahead.set(true);
        } else if self.open_requests.get() == 0 && self.head_started_at.get().is_none() {
            self.head_started_at.set(Some(now));
        }
    }

    /// Records that everything that hyper was given has been written.
    fn record_flush(&self, now: Duration) {
        self.answer.record_flush();
        if self.unframed.get() == UnframedResponse::Unwritten {
            self.unframed.set(UnframedResponse::None);
        }
        if !self.answer.is_open() && self.read_ahead.replace(false) {
            self.head_started_at.set(Some(now));
        }
    }

    /// Returns whether the connection waits for a request.
    fn is_idle(&self) -> bool {
        self.open_requests.get() == 0
            && !self.answer.is_open()
            && self.head_started_at.get().is_none()
    }

    /// Returns for how long the caller hasn't read, while bytes wait to be written.
    fn unread_for(&self, now: Duration) -> Duration {
        let since = self.unread_since.get();
        since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }
}

/// Records the activity of a caller's connection.
struct ActivityHook {
    /// The activity.
    activity: Rc<ConnectionActivity>,
    /// Provides the clock.
    state: Rc<TrafficState>,
    /// Whether closing the connection resets it.
    resets: bool,
}

impl ActivityHook {
    /// Makes the connection be reset when it is closed in the middle of a response that ends
    /// with it, whatever the reason: a close would look like the end of the response.
    fn reset_if_unfinished(&mut self, stream: &TcpStream) -> io::Result<()> {
        let resets = self.activity.unframed.get() != UnframedResponse::None;
        if resets != self.resets {
            let linger = resets.then_some(Duration::ZERO);
            SockRef::from(stream).set_linger(linger)?;
            self.resets = resets;
        }
        Ok(())
    }
}

impl StreamHook for ActivityHook {
    fn before_write(&mut self, stream: &TcpStream) -> io::Result<()> {
        self.reset_if_unfinished(stream)
    }

    fn before_shutdown(&mut self, stream: &TcpStream) -> io::Result<()> {
        self.reset_if_unfinished(stream)
    }

    fn after_write(&mut self, written: &Poll<io::Result<usize>>) {
        self.activity.record_write(written, self.state.now());
    }

    fn after_flush(&mut self) {
        self.activity.record_flush(self.state.now());
    }

    fn after_read(&mut self) {
        self.activity.record_read(self.state.now());
    }
}

/// Returns the most bytes that a request may take, with the framing of its body and the head of the
/// next one.
fn max_request_bytes(limits: &CallerLimits) -> usize {
    let body = limits.body_bytes.saturating_mul(MAX_FRAMING_FACTOR);
    body.saturating_add(limits.header_bytes.max(MIN_HEAD_BUFFER_BYTES))
}

/// Counts a request on a connection as open until it is dropped.
struct RequestGuard(Rc<ConnectionActivity>);

impl RequestGuard {
    /// Records that the head of a request is complete.
    fn new(activity: &Rc<ConnectionActivity>, limits: &CallerLimits) -> Self {
        activity.head_started_at.set(None);
        activity.unread.set(None);
        activity.limit.begin(max_request_bytes(limits));
        activity.open_requests.set(activity.open_requests.get() + 1);
        Self(activity.clone())
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get() - 1);
    }
}

/// Counts a connection as one that has brought no request yet until it is dropped.
struct UnreadGuard(Rc<TrafficState>);

impl UnreadGuard {
    /// Counts a connection.
    fn new(state: &Rc<TrafficState>) -> Self {
        state.unread_connections.set(state.unread_connections.get() + 1);
        Self(state.clone())
    }
}

impl Drop for UnreadGuard {
    fn drop(&mut self) {
        self.0.unread_connections.set(self.0.unread_connections.get() - 1);
    }
}

impl TrafficState {
    /// Returns how many requests are open or about to come.
    pub(crate) fn pending_requests(&self) -> usize {
        self.open_calls.get() + self.unread_connections.get()
    }

    /// Returns whether another connection is taken on.
    fn admits_connection(&self) -> bool {
        self.admission.admit(self.pending_requests())
    }
}

/// Binds a listener to an address.
///
/// # Errors
///
/// Returns an error if the address isn't available.
pub(crate) fn bind_listener(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts connections from callers, or from peers that forward requests, until the process
/// ends. `open_connections` counts those of both, which share the memory and the file
/// descriptors. Those beyond the limit are closed unread, so that callers turn to another
/// instance at once.
pub(crate) async fn accept_requests(
    state: Rc<TrafficState>,
    listener: TcpListener,
    source: RequestSource,
    open_connections: Rc<Cell<u64>>,
) {
    loop {
        let Some(stream) = accept(&listener).await else { continue };
        let config = state.config();
        let most = connection_limit(config.memory_mb, config.descriptors);
        if open_connections.get() >= most {
            state.metrics.rejected_connections.inc();
            log::warn!(open = open_connections.get(), most; "connection rejected: too many are open");
            continue;
        }
        if source == RequestSource::Caller && !state.admits_connection() {
            state.metrics.rejected_connections.inc();
            continue;
        }
        open_connections.set(open_connections.get() + 1);
        let (state, open_connections) = (state.clone(), open_connections.clone());
        tokio::task::spawn_local(async move {
            handle_connection(state, stream, source).await;
            open_connections.set(open_connections.get() - 1);
        });
    }
}

/// Accepts one connection. Returns `None` after a pause if that fails.
pub(crate) async fn accept(listener: &TcpListener) -> Option<TcpStream> {
    match listener.accept().await {
        Ok((stream, _)) => Some(stream),
        Err(cause) => {
            log::warn!(cause = cause.to_string(); "failed to accept a connection");
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            None
        }
    }
}

/// Serves one connection until it ends.
async fn handle_connection(
    state: Rc<TrafficState>,
    stream: TcpStream,
    source: RequestSource,
) {
    let configured = stream.set_nodelay(true).and_then(|()| enable_keepalive(&stream));
    if let Err(cause) = configured {
        log::debug!(cause = cause.to_string(); "failed to configure a caller's connection");
        return;
    }
    let activity = Rc::new(ConnectionActivity::new(&state, state.now()));
    activity.unread.set(Some(UnreadGuard::new(&state)));
    let hook = ActivityHook {
        activity: activity.clone(),
        state: state.clone(),
        resets: false,
    };
    let hooked = HookedStream::new(stream, hook, activity.limit.clone());
    let service = {
        let (state, activity) = (state.clone(), activity.clone());
        service_fn(move |request: Request<Incoming>| {
            let (state, guard) =
                (state.clone(), RequestGuard::new(&activity, &state.limits()));
            let activity = activity.clone();
            async move {
                let knows_chunks = request.version() > Version::HTTP_10;
                let mut response = serve_request(state, request, source).await;
                let answer = activity.answer.clone();
                if !knows_chunks {
                    response = response.map(|body| mark_unfinished(body, activity));
                }
                drop(guard);
                let response = response.map(|body| TrackedBody::new(body, answer));
                Ok::<_, std::convert::Infallible>(response)
            }
        })
    };
    let limits = state.limits();
    let head_bytes = limits.header_bytes.max(MIN_HEAD_BUFFER_BYTES);
    let connection = http1::Builder::new()
        .keep_alive(true)
        .max_buf_size(head_bytes)
        .max_headers((head_bytes / MIN_HEADER_LINE_BYTES).min(MAX_HEADERS))
        .serve_connection(TokioIo::new(hooked), service);
    tokio::pin!(connection);
    loop {
        let timer = tokio::time::sleep(limits.header_timeout);
        tokio::select! {
            // On an error, such as invalid HTTP, the connection is closed too.
            ended = connection.as_mut() => {
                if ended.is_err() && activity.unread_for(state.now()) >= MIN_STALL {
                    record_stalled_reader(&state, &activity);
                }
                return;
            }
            () = state.phase_changed.notified() => {}
            () = timer => {}
        }
        if state.phase() >= ShutdownPhase::Closing {
            connection.as_mut().graceful_shutdown();
        }
        let now = state.now();
        let limits = state.limits();
        let head_started_at = activity.head_started_at.get();
        if head_started_at.is_some_and(|since| now >= since + limits.header_timeout) {
            return;
        }
        if activity.unread_for(now) >= STALLED_READER_TIMEOUT {
            record_stalled_reader(&state, &activity);
            return;
        }
        if activity.is_idle() && now >= activity.last_io_at.get() + limits.idle_timeout {
            connection.as_mut().graceful_shutdown();
        }
    }
}

/// Marks a response without a length as unfinished until its body has ended and is written.
fn mark_unfinished(body: ResponseBody, activity: Rc<ConnectionActivity>) -> ResponseBody {
    let Either::Right(stream) = body else { return body };
    activity.unframed.set(UnframedResponse::Open);
    let end = stream::once(async move {
        activity.unframed.set(UnframedResponse::Unwritten);
        Ok(Frame::data(Bytes::new()))
    });
    // A stream that is aborted ends with an error, after which nothing more is read.
    Either::Right(StreamBody::new(stream.chain(end).boxed_local()))
}

/// Logs and counts a caller that read nothing.
fn record_stalled_reader(state: &TrafficState, activity: &ConnectionActivity) {
    state.metrics.stalled_readers.inc();
    let unread_ms = activity.unread_for(state.now()).as_millis() as u64;
    log::info!(unread_ms; "connection closed: the caller reads nothing");
}
