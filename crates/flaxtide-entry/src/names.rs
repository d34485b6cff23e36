//! Numeric IDs for the names of services and servers, used by the router.

use std::collections::HashMap;

use flaxtide_core::{PoolId, ServerId, ServerName};
use flaxtide_fleet::{FleetKey, fleet_key};
use xxhash_rust::xxh3::xxh3_64;

use crate::contract::ServerEntry;

/// Assigns IDs to services and to incarnations of servers. An ID never changes.
#[derive(Debug, Default)]
pub(crate) struct IdTable {
    /// The IDs of pools by service. The router calls the servers of a service a pool.
    pools: HashMap<String, PoolId>,
    /// The services of pools, indexed by ID.
    pool_names: Vec<String>,
    /// The IDs of servers by the hash of their incarnation.
    servers: HashMap<u64, ServerId>,
    /// The IDs of servers by their key in messages between instances.
    keys: HashMap<FleetKey, ServerId>,
    /// The incarnations of servers, indexed by ID.
    incarnations: Vec<ServerIncarnation>,
}

/// An incarnation of a server: one run of its process.
#[derive(Debug)]
pub(crate) struct ServerIncarnation {
    /// The server's name.
    pub(crate) name: ServerName,
    /// The key of this incarnation in messages between instances. Peers' data about an earlier
    /// incarnation therefore isn't applied to this one.
    pub(crate) key: FleetKey,
}

impl IdTable {
    /// Returns the ID of a service's pool, and assigns one if it is new.
    pub(crate) fn pool_id(&mut self, service: &str) -> PoolId {
        if let Some(pool) = self.pools.get(service) {
            return *pool;
        }
        let pool = self.pools.len() as PoolId;
        self.pools.insert(service.to_owned(), pool);
        self.pool_names.push(service.to_owned());
        pool
    }

    /// Returns the service whose pool has an ID.
    pub(crate) fn pool_name(&self, pool: PoolId) -> Option<&str> {
        self.pool_names.get(usize::from(pool)).map(String::as_str)
    }

    /// Returns the ID of an incarnation of a server, and assigns one if it is new.
    pub(crate) fn server_id(&mut self, entry: &ServerEntry) -> ServerId {
        let incarnation = entry.incarnation();
        let hash = xxh3_64(incarnation.as_bytes());
        if let Some(server) = self.servers.get(&hash) {
            return *server;
        }
        let server = self.incarnations.len() as ServerId;
        let key = fleet_key(&incarnation);
        self.servers.insert(hash, server);
        self.keys.insert(key, server);
        self.incarnations
            .push(ServerIncarnation { name: entry.name.clone(), key });
        server
    }

    /// Returns the incarnation that has an ID.
    pub(crate) fn incarnation(&self, server: ServerId) -> Option<&ServerIncarnation> {
        self.incarnations.get(server as usize)
    }

    /// Returns the server whose incarnation has a key.
    pub(crate) fn server_with_key(&self, key: FleetKey) -> Option<ServerId> {
        self.keys.get(&key).copied()
    }
}
