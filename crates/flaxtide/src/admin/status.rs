//! How an instance stands.

use std::collections::BTreeMap;

use flaxtide_core::TierRank;
use serde::{Deserialize, Serialize};

use crate::decide::summarise;
use crate::shared::SharedState;

/// How an instance stands.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Whether it takes requests.
    pub ready: bool,
    /// Whether it is stopping.
    pub leaving: bool,
    /// The settings version in force.
    pub settings_version: u64,
    /// Requests in the instance.
    pub open_calls: usize,
    /// Peers seen alive in the data centre.
    pub live_peers: i64,
    /// Its pools, by name.
    pub pools: BTreeMap<String, PoolStatus>,
    /// The backend servers of its data centre, by name.
    pub servers: BTreeMap<String, ServerStatus>,
}

/// How a pool stands at one instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PoolStatus {
    /// Waiting requests by tier.
    pub waiting: BTreeMap<TierRank, usize>,
    /// This instance's requests at servers, by tier.
    pub running: BTreeMap<TierRank, u32>,
    /// This instance's share of the slots.
    pub slots: u32,
}

/// How a backend server stands at one instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerStatus {
    /// This instance's share of the slots.
    pub slots: u32,
    /// How many of them it uses.
    pub running: u32,
}

/// Returns how the instance stands.
pub(super) fn status(shared: &SharedState) -> InstanceStatus {
    let summary = summarise(shared, false);
    let view = shared.view();
    let pools = summary.pools.into_iter().map(|(pool, summary)| {
        let status = PoolStatus {
            waiting: summary.waiting,
            running: summary.running,
            slots: summary.capacity,
        };
        (view.pool_name(pool).to_owned(), status)
    });
    let servers = summary.slots.into_iter().map(|(server, (slots, running))| {
        (view.server_name(server).to_owned(), ServerStatus { slots, running })
    });
    InstanceStatus {
        name: shared.config.name.clone(),
        data_centre: shared.config.data_centre.clone(),
        ready: shared.ready(),
        leaving: shared.leaving(),
        settings_version: view.version,
        open_calls: shared.open_calls(),
        live_peers: shared.metrics.live_peers.get(),
        pools: pools.collect(),
        servers: servers.collect(),
    }
}

/// Has the metrics of the decision thread brought up to date.
pub(super) fn refresh(shared: &SharedState) {
    summarise(shared, false);
    let bytes = shared.link_bytes.read().map(|bytes| bytes.get()).unwrap_or_default();
    shared
        .metrics
        .link_bytes
        .with_label_values(&["received"])
        .set(bytes.0 as i64);
    shared
        .metrics
        .link_bytes
        .with_label_values(&["sent"])
        .set(bytes.1 as i64);
}
