//! Forwarding through peers: an instance whose path to the backend servers is in doubt passes
//! its callers' requests to peers that reach them. The router decides when and to whom.
//!
//! - `head.rs`: the headers of forwarded requests and their responses;
//! - `exchange.rs`: the exchange with a peer;
//! - `peers.rs`: which peers take forwarded requests, and what they reach;
//! - `carried.rs`: the forwarded requests that this instance has taken, which are limited;
//! - `path.rs`: finds out whether the own path is back.

mod carried;
mod exchange;
mod head;
mod path;
mod peers;

pub(crate) use self::carried::{CarriedCall, CarriedCalls};
pub(crate) use self::exchange::{check_forwarded_head, forwarded_headers};
pub(crate) use self::head::{ForwardHead, PeerReply, ServerSends, write_server_version};
pub(crate) use self::path::{log_reach, probe_paths};
pub(crate) use self::peers::{ForwardPeers, offer};
