//! Connections to backend servers: opened, pooled while idle, closed if their state is unknown.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use flaxtide_core::ServerId;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::hooked::HookedStream;
use crate::keepalive::enable_keepalive;
use crate::read_limit::ReadLimit;
use crate::write_gate::WriteGate;

/// The connect time-out while no connect time is known, and its upper bound. A reachable
/// server accepts within a few milliseconds; one behind a network partition never does.
const MAX_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The lower bound of the connect time-out, so that a busy machine isn't taken as unreachable.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// The connect time-out as a multiple of the longest recent connect time.
const CONNECT_TIMEOUT_FACTOR: u32 = 8;

/// The factor by which the longest connect time decays with each new connection.
const CONNECT_TIME_DECAY: f64 = 0.95;

/// How long an idle connection may be reused if the server doesn't state its time-out.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// The fraction of the server's stated idle time-out for which a connection may be reused.
const IDLE_TIMEOUT_FRACTION: f64 = 0.6;

/// How long it is remembered that a server has exited. `EXIT_VALIDITY` in `crash.rs` limits its
/// use further.
const EXIT_RETENTION: Duration = Duration::from_secs(10);

/// The most bytes of a response's head, and of its body that are received at a time.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// The most bytes that are read of a response without any of its body: its head, the framing of its
/// body, and interim responses before it. It is more than the buffer for a part of the body that
/// hasn't been passed on yet.
const MAX_IDLE_READ_BYTES: usize = 16 * MAX_HEAD_BYTES;

/// The maximum number of idle connections to one server.
const MAX_IDLE_PER_SERVER: usize = 32;

/// The idle connections to all servers.
#[derive(Default)]
pub(crate) struct ServerConnections {
    /// By server, the most recently used last.
    idle: RefCell<HashMap<ServerId, Vec<IdleConnection>>>,
    /// The servers that were found to have exited, and when.
    exited: RefCell<HashMap<ServerId, Duration>>,
    /// The longest recent connect time, decaying with each connection.
    longest_connect_time: Cell<Option<Duration>>,
}

/// An idle connection.
struct IdleConnection {
    /// The connection.
    connection: ServerConnection,
    /// Until when it may be reused.
    expires_at: Duration,
}

/// A connection to a server. Dropping it closes the connection at once, which cancels the request
/// that the server runs for it.
pub(crate) struct ServerConnection {
    /// The address at the other end.
    pub(crate) address: SocketAddr,
    /// Sends requests over the connection.
    pub(crate) sender: SendRequest<Full<Bytes>>,
    /// The task that drives the connection.
    task: AbortHandle,
    /// Whether a request has been sent over it before.
    pub(crate) used: bool,
    /// Checks each request when it is written.
    pub(crate) gate: Rc<WriteGate>,
    /// Bounds what is read of each response.
    pub(crate) limit: Rc<ReadLimit>,
}

impl Drop for ServerConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl ServerConnections {
    /// Removes and returns an open idle connection to a server, if there is one. Drops those that
    /// have expired or closed on the way.
    pub(crate) fn take(
        &self,
        server: ServerId,
        now: Duration,
    ) -> Option<ServerConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&server)?;
        let mut busy = vec![];
        let mut found = None;
        while let Some(entry) = connections.pop() {
            if entry.connection.sender.is_closed() || now >= entry.expires_at {
                continue;
            }
            if entry.connection.sender.is_ready() {
                found = Some(entry.connection);
                break;
            }
            // Its previous request is still being written.
            busy.push(entry);
        }
        connections.extend(busy);
        found
    }

    /// Adds a connection to the idle ones, unless there are too many. It must have no response
    /// outstanding.
    pub(crate) fn keep(
        &self,
        server: ServerId,
        connection: ServerConnection,
        keep_alive: Option<Duration>,
        now: Duration,
    ) {
        if connection.sender.is_closed() {
            return;
        }
        let lifetime = keep_alive
            .map_or(DEFAULT_IDLE_TIMEOUT, |stated| stated.mul_f64(IDLE_TIMEOUT_FRACTION));
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(server).or_default();
        if connections.len() < MAX_IDLE_PER_SERVER {
            connections.push(IdleConnection { connection, expires_at: now + lifetime });
        }
    }

    /// Returns the time-out for opening a connection.
    fn connect_timeout(&self) -> Duration {
        self.longest_connect_time
            .get()
            .map_or(MAX_CONNECT_TIMEOUT, |longest| {
                (longest * CONNECT_TIMEOUT_FACTOR)
                    .clamp(MIN_CONNECT_TIMEOUT, MAX_CONNECT_TIMEOUT)
            })
    }

    /// Records how long a connection took to open.
    fn record_connect_time(&self, elapsed: Duration) {
        let decayed = self
            .longest_connect_time
            .get()
            .unwrap_or_default()
            .mul_f64(CONNECT_TIME_DECAY);
        self.longest_connect_time.set(Some(decayed.max(elapsed)));
    }

    /// Returns when a server was found to have exited, if that was recent.
    pub(crate) fn exited_at(&self, server: ServerId) -> Option<Duration> {
        self.exited.borrow().get(&server).copied()
    }

    /// Records that a server was found to have exited.
    pub(crate) fn record_exit(&self, server: ServerId, now: Duration) {
        let mut exited = self.exited.borrow_mut();
        exited.retain(|_, at| now < *at + EXIT_RETENTION);
        exited.insert(server, now);
    }

    /// Returns whether there is an open idle connection to a server.
    pub(crate) fn has_open_idle(&self, server: ServerId) -> bool {
        let idle = self.idle.borrow();
        let mut connections = idle.get(&server).into_iter().flatten();
        connections.any(|entry| !entry.connection.sender.is_closed())
    }

    /// Closes the idle connections to a server after another one went silent: the server may be
    /// unreachable over them too.
    pub(crate) fn close_idle_of(&self, server: ServerId) {
        self.idle.borrow_mut().remove(&server);
    }

    /// Closes all idle connections.
    pub(crate) fn close_all_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn expire(&self, now: Duration) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|entry| {
                now < entry.expires_at && !entry.connection.sender.is_closed()
            });
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}

/// Opens a connection to a server, within a time-out that depends on recent connect times.
///
/// # Errors
///
/// Returns an error if the connection couldn't be opened in time; nothing was sent then.
pub(crate) async fn connect(
    connections: &ServerConnections,
    address: SocketAddr,
) -> io::Result<ServerConnection> {
    let start = tokio::time::Instant::now();
    let connecting =
        tokio::time::timeout(connections.connect_timeout(), TcpStream::connect(address));
    let stream = connecting.await.map_err(|_| io::ErrorKind::TimedOut)??;
    connections.record_connect_time(start.elapsed());
    stream.set_nodelay(true)?;
    enable_keepalive(&stream)?;
    let gate = Rc::new(WriteGate::default());
    let limit = Rc::new(ReadLimit::new(MAX_IDLE_READ_BYTES));
    let stream = HookedStream::new(stream, gate.clone(), limit.clone());
    let handshake = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(stream))
        .await;
    let (sender, driver) = handshake.map_err(io::Error::other)?;
    let task = tokio::task::spawn_local(async move {
        // The sender reports the error to the task that waits for the response.
        let _ = driver.await;
    });
    let task = task.abort_handle();
    Ok(ServerConnection { address, sender, task, used: false, gate, limit })
}
