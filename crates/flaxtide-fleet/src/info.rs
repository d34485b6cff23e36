//! The identity of an instance.

use std::net::SocketAddr;

use flaxtide_core::{DataCentreName, InstanceName};
use serde::{Deserialize, Serialize};

/// The name, data centre and address of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerInfo {
    /// The name of the instance.
    pub name: InstanceName,
    /// The data centre of the instance.
    pub data_centre: DataCentreName,
    /// The address at which the instance accepts links from its peers.
    pub address: SocketAddr,
}
