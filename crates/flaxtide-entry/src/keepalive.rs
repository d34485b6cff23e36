//! TCP keepalive for connections to callers and servers.

use std::io;
use std::os::fd::AsFd;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};

/// The idle time after which TCP keepalive probes a connection. The system counts whole
/// seconds.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// The time between two keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// The number of unanswered probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 3;

/// How long the other end of a connection may be unreachable until the system closes it.
/// Connections outlive a partition of a few seconds, and streams continue after it.
///
/// It is also the `TCP_USER_TIMEOUT`, which limits how long sent data may be unacknowledged.
/// Where both are set, Linux gives up probing by this time-out and not by the number of probes,
/// so a shorter one would shorten what the probes promise.
pub const DEAD_PEER_TIMEOUT: Duration = Duration::from_secs(
    KEEPALIVE_IDLE.as_secs() + KEEPALIVE_INTERVAL.as_secs() * KEEPALIVE_PROBES as u64,
);

/// Enables TCP keepalive and a time-out, so that the system closes a connection whose other end
/// is unreachable for [`DEAD_PEER_TIMEOUT`].
///
/// ```
/// use std::net::{TcpListener, TcpStream};
/// let listener = TcpListener::bind("127.0.0.1:0")?;
/// let stream = TcpStream::connect(listener.local_addr()?)?;
/// flaxtide_entry::enable_keepalive(&stream)?;
/// # Ok::<(), std::io::Error>(())
/// ```
///
/// # Errors
///
/// Returns an error if the system rejects an option.
pub fn enable_keepalive(stream: &impl AsFd) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(DEAD_PEER_TIMEOUT))
}
