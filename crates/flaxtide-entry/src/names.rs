//! Numbers for the names of services and servers, as the router knows them.

use std::collections::HashMap;

use flaxtide_core::{PoolId, ServerId, ServerName};
use flaxtide_fleet::{FleetKey, fleet_key};

use crate::contract::ServerEntry;

/// Numbers for the names of services and servers. A name keeps its number.
#[derive(Debug, Default)]
pub(crate) struct IdTable {
    /// Services.
    pools: HashMap<String, PoolId>,
    /// Servers, each start of one by itself.
    servers: HashMap<String, ServerId>,
    /// Servers by what stands for them between instances.
    keys: HashMap<FleetKey, ServerId>,
    /// The starts of servers, by number.
    incarnations: Vec<ServerIncarnation>,
}

/// A start of a server.
#[derive(Debug)]
pub(crate) struct ServerIncarnation {
    /// The server's name.
    pub(crate) name: ServerName,
    /// What stands for this start between instances. What peers say of an earlier start of
    /// the server isn't taken for this one's.
    pub(crate) key: FleetKey,
}

impl IdTable {
    /// Returns the number of a service.
    pub(crate) fn pool_id(&mut self, service: &str) -> PoolId {
        if let Some(pool) = self.pools.get(service) {
            return *pool;
        }
        let pool = self.pools.len() as PoolId;
        self.pools.insert(service.to_owned(), pool);
        pool
    }

    /// Returns the number of a server, which is another one for each start of it.
    pub(crate) fn server_id(&mut self, entry: &ServerEntry) -> ServerId {
        let incarnation = entry.incarnation();
        if let Some(server) = self.servers.get(&incarnation) {
            return *server;
        }
        let server = self.incarnations.len() as ServerId;
        let key = fleet_key(&incarnation);
        self.servers.insert(incarnation, server);
        self.keys.insert(key, server);
        self.incarnations
            .push(ServerIncarnation { name: entry.name.clone(), key });
        server
    }

    /// Returns the start of a server that has a number.
    pub(crate) fn incarnation(&self, server: ServerId) -> Option<&ServerIncarnation> {
        self.incarnations.get(server as usize)
    }

    /// Returns the server whose start a key stands for.
    pub(crate) fn server_with_key(&self, key: FleetKey) -> Option<ServerId> {
        self.keys.get(&key).copied()
    }
}
