//! When the system gives up a connection whose other end is unreachable.

use std::net::{TcpListener, TcpStream};

use flaxtide_entry::{DEAD_PEER_TIMEOUT, enable_keepalive};
use socket2::SockRef;

// Guards against a TCP_USER_TIMEOUT that ends connections before the keepalive probes would: where
// it is set, it decides, whatever the number of probes.
#[test]
fn the_user_timeout_ends_connections_no_sooner_than_the_probes() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    enable_keepalive(&stream).unwrap();
    let socket = SockRef::from(&stream);
    assert!(socket.keepalive().unwrap());
    let probes = socket.tcp_keepalive_retries().unwrap();
    let by_probes = socket.tcp_keepalive_time().unwrap()
        + socket.tcp_keepalive_interval().unwrap() * probes;
    let by_timeout = socket.tcp_user_timeout().unwrap().unwrap();
    assert!(by_timeout >= by_probes, "{by_timeout:?} and {by_probes:?}");
    assert_eq!(by_timeout, DEAD_PEER_TIMEOUT);
}
