//! Connections to servers: opened, kept while idle, closed after any doubt.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use flaxtide_core::ServerId;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// How long a connection may take to open before any has been seen to. A server in reach
/// takes a few milliseconds; one behind a cut never answers.
const MAX_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long one may take at least: a busy machine on either side isn't out of reach.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// One may take so many times as long as the slowest that were seen to open.
const CONNECT_TIMEOUT_FACTOR: u32 = 8;

/// How much of the slowest is kept with each connection that opens.
const CONNECT_TIME_DECAY: f64 = 0.95;

/// After so long without acknowledgement, the system gives a connection up.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(4);

/// A connection that has gone silent is found by probes: after this idle time,
const KEEPALIVE_IDLE: Duration = Duration::from_millis(1500);
/// again after this time each,
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(1000);
/// and so many of them. A cut of a few seconds, after which a stream goes on, is shorter.
const KEEPALIVE_PROBES: u32 = 3;

/// How long an idle connection is used if the server doesn't say how long it keeps it.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// The part of the server's own idle time for which a connection is used.
const IDLE_TIMEOUT_FRACTION: f64 = 0.6;

/// How long it is kept that a server has ended.
const EXIT_RETENTION: Duration = Duration::from_secs(10);

/// The most idle connections that are kept to one server.
const MAX_IDLE_PER_SERVER: usize = 32;

/// The idle connections to all servers.
#[derive(Default)]
pub(crate) struct ServerConnections {
    /// By server, the one used last at the end.
    idle: RefCell<HashMap<ServerId, Vec<IdleConnection>>>,
    /// The servers that were found to have ended, and when.
    exited: RefCell<HashMap<ServerId, Duration>>,
    /// How long the slowest connections took to open lately.
    longest_connect_time: Cell<Option<Duration>>,
}

/// A connection that is idle.
struct IdleConnection {
    /// The connection.
    connection: ServerConnection,
    /// Until when it may be used.
    expires_at: Duration,
}

/// A connection to a server. Dropping it closes it at once, which cancels what the server
/// is doing for it.
pub(crate) struct ServerConnection {
    /// Sends requests.
    pub(crate) sender: SendRequest<Full<Bytes>>,
    /// The task that drives the connection.
    task: AbortHandle,
    /// Whether it has been used before.
    pub(crate) used: bool,
}

impl Drop for ServerConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl ServerConnections {
    /// Returns an idle connection to a server, if one is open.
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
            // Its last request is still being written.
            busy.push(entry);
        }
        connections.extend(busy);
        found
    }

    /// Keeps a connection whose last answer was whole and right.
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

    /// Returns how long a connection may take to open.
    fn connect_timeout(&self) -> Duration {
        self.longest_connect_time
            .get()
            .map_or(MAX_CONNECT_TIMEOUT, |longest| {
                (longest * CONNECT_TIMEOUT_FACTOR)
                    .clamp(MIN_CONNECT_TIMEOUT, MAX_CONNECT_TIMEOUT)
            })
    }

    /// Takes in how long a connection took to open.
    fn record_connect_time(&self, elapsed: Duration) {
        let decayed = self
            .longest_connect_time
            .get()
            .unwrap_or_default()
            .mul_f64(CONNECT_TIME_DECAY);
        self.longest_connect_time.set(Some(decayed.max(elapsed)));
    }

    /// Returns when a server was found to have ended, if that was lately.
    pub(crate) fn exited_at(&self, server: ServerId) -> Option<Duration> {
        self.exited.borrow().get(&server).copied()
    }

    /// Records that a server was found to have ended.
    pub(crate) fn record_exit(&self, server: ServerId, now: Duration) {
        let mut exited = self.exited.borrow_mut();
        exited.retain(|_, at| now < *at + EXIT_RETENTION);
        exited.insert(server, now);
    }

    /// Returns whether an idle connection to a server is open.
    pub(crate) fn has_open_idle(&self, server: ServerId) -> bool {
        let idle = self.idle.borrow();
        let mut connections = idle.get(&server).into_iter().flatten();
        connections.any(|entry| !entry.connection.sender.is_closed())
    }

    /// Closes the idle connections to a server one of whose connections went silent: the
    /// others may have gone silent with it.
    pub(crate) fn close_idle_of(&self, server: ServerId) {
        self.idle.borrow_mut().remove(&server);
    }

    /// Closes all idle connections.
    pub(crate) fn close_idle(&self) {
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

/// Opens a connection to a server, within what `connections` has seen that it takes.
///
/// # Errors
///
/// Returns the fault if none could be opened in time; nothing was sent then.
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
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, driver) = handshake.map_err(io::Error::other)?;
    let task = tokio::task::spawn_local(async move {
        // Whoever waits for the answer is told of the fault by the sender.
        let _ = driver.await;
    });
    Ok(ServerConnection { sender, task: task.abort_handle(), used: false })
}

/// Has the system end a connection whose peer is out of reach.
pub(crate) fn enable_keepalive(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}
