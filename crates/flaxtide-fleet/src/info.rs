//! Who an instance is to its peers.

use std::net::SocketAddr;

use flaxtide_core::{DataCentreName, InstanceName};
use serde::{Deserialize, Serialize};

/// Who a peer is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerInfo {
    /// Its name.
    pub name: InstanceName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Where it hears its peers.
    pub address: SocketAddr,
}
