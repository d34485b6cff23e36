//! Passes the servers of the directory to the router.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use flaxtide_core::{PoolId, ServerId, ServerName};
use flaxtide_fleet::fleet_key;
use flaxtide_policy::{ColdStart, DataCentreKey, EngineShape, RoutedServer, ServiceKey};
use xxhash_rust::xxh3::xxh3_64;

use crate::contract::BackendService;
use crate::directory::DirectoryEntry;
use crate::state::TrafficState;
use crate::version_counts::ListedServices;

/// How many requests a plain server runs at once if neither its service's settings nor its row in
/// the platform's store states a number.
const DEFAULT_PLAIN_SERVER_SLOTS: u32 = 6;

/// The pool and the ID of each server that the router knows, by the hash of its name.
pub(crate) type RoutedPlaces = HashMap<u64, (PoolId, ServerId)>;

impl TrafficState {
    /// Passes all servers to the router.
    pub(crate) fn update_router_servers(&self) {
        let Some(table) = self.route_table() else { return };
        self.update_versions();
        let mut servers: HashMap<&str, Vec<RoutedServer>> = HashMap::new();
        let mut routed = HashMap::new();
        let directory = self.directory.borrow();
        for listed in directory.iter() {
            let Some(service) = table.service(&listed.entry.service) else { continue };
            let server = self.routed_server(service, listed);
            let place = (self.pool_id(&service.name), server.server);
            routed.insert(server.name_hash, place);
            servers.entry(&service.name).or_default().push(server);
        }
        drop(directory);
        *self.routed.borrow_mut() = routed;
        for service in &table.services {
            let servers = servers.remove(service.name.as_str()).unwrap_or_default();
            let pool = self.pool_id(&service.name);
            self.run_router(|core, now| core.set_servers(pool, &servers, now));
        }
        self.finish_server_update();
    }

    /// Passes the servers with these names to the router, after their entries in the
    /// directory have changed.
    pub(crate) fn update_router_servers_named(&self, names: &[ServerName]) {
        let Some(table) = self.route_table() else { return };
        if self.update_versions_named(names) {
            return self.update_router_servers();
        }
        let mut changes: BTreeMap<PoolId, (Vec<RoutedServer>, Vec<ServerId>)> =
            BTreeMap::new();
        for name in names {
            let name_hash = xxh3_64(name.as_bytes());
            let directory = self.directory.borrow();
            let listed = directory.get(name).and_then(|listed| {
                let service = table.service(&listed.entry.service)?;
                let server = self.routed_server(service, listed);
                Some((self.pool_id(&service.name), server))
            });
            let place = listed.as_ref().map(|(pool, server)| (*pool, server.server));
            let mut routed = self.routed.borrow_mut();
            let before = match place {
                Some(place) => routed.insert(name_hash, place),
                None => routed.remove(&name_hash),
            };
            if let Some((pool, server)) = before.filter(|before| Some(*before) != place) {
                changes.entry(pool).or_default().1.push(server);
            }
            if let Some((pool, server)) = listed {
                changes.entry(pool).or_default().0.push(server);
            }
        }
        for (pool, (listed, unlisted)) in changes {
            self.run_router(|core, now| {
                core.update_servers(pool, &listed, &unlisted, now)
            });
        }
        self.finish_server_update();
    }

    /// Records the versions of all listed servers. Returns whether those have changed at which
    /// no streams begin yet.
    fn update_versions(&self) -> bool {
        let directory = self.directory.borrow();
        let mut counts = self.version_counts.borrow_mut();
        counts.clear();
        for listed in directory.iter() {
            counts.put(&listed.entry.name, Some(&listed.entry));
        }
        self.apply_versions(counts.services())
    }

    /// Records the versions of the servers with these names. Returns whether the versions have
    /// changed at which no streams begin yet.
    fn update_versions_named(&self, names: &[ServerName]) -> bool {
        let directory = self.directory.borrow();
        let mut counts = self.version_counts.borrow_mut();
        for name in names {
            counts.put(name, directory.get(name).map(|listed| &listed.entry));
        }
        self.apply_versions(counts.services())
    }

    /// Applies the versions of all services. Returns whether those have changed at which no
    /// streams begin yet.
    fn apply_versions(&self, services: &ListedServices) -> bool {
        self.versions.set_listed(services);
        let settling = self.versions.settling(services);
        let before = self.settling.replace(settling);
        before != *self.settling.borrow()
    }

    /// Returns whether a service has servers in service, but streams may begin at none of them
    /// yet.
    pub(crate) fn begins_nowhere(&self, service: ServiceKey) -> bool {
        let settling = self.settling.borrow();
        let Some(settling) = settling.get(&service) else { return false };
        let counts = self.version_counts.borrow();
        let Some(listed) = counts.services().get(&service) else { return false };
        let mut in_service = listed.iter().filter(|(_, count)| **count > 0).peekable();
        in_service.peek().is_some()
            && in_service.all(|(version, _)| settling.contains(version))
    }

    /// Lets streams begin at versions that all instances know by now.
    pub(crate) fn update_settling(&self) {
        if !self.settling.borrow().is_empty() && self.update_versions_named(&[]) {
            self.update_router_servers();
        }
    }

    /// Exports the number of servers, and applies what peers have said of new ones.
    fn finish_server_update(&self) {
        self.metrics.servers.set(self.directory.borrow().len() as i64);
        self.pushback.apply_pending(self);
    }

    /// Converts a listed server of a service to the form of the router.
    fn routed_server(
        &self,
        service: &BackendService,
        listed: &DirectoryEntry,
    ) -> RoutedServer {
        let entry = &listed.entry;
        let config = self.config();
        let engine = service.engine;
        let slots = engine.map_or(entry.slots, |engine| engine.slots);
        let data_centre = fleet_key(&entry.data_centre);
        let cold = service.cold_start.map(|start| {
            let until = listed.cold_until(start.span);
            let ended_at = self.evacuations.ended_at(data_centre);
            let until =
                ended_at.map_or(until, |at| until.max(at.saturating_add(start.span)));
            ColdStart { rate: start.rate, span: start.span, until }
        });
        let version = fleet_key(&entry.version);
        let settling = self.settling.borrow();
        let settling = settling.get(&fleet_key(&entry.service));
        RoutedServer {
            server: self.server_id(entry),
            name_hash: xxh3_64(entry.name.as_bytes()),
            slots: if slots == 0 { DEFAULT_PLAIN_SERVER_SLOTS } else { slots },
            engine: engine.map(|engine| EngineShape {
                memory_tokens: engine.memory_tokens,
                fetch_tokens_per_ms: engine.fetch_tokens_per_ms,
            }),
            data_centre,
            version,
            settling: settling.is_some_and(|versions| versions.contains(&version)),
            region: config.region_of(&entry.data_centre).map(fleet_key),
            local: entry.data_centre == config.data_centre,
            leaving: entry.leaving || self.evacuations.is_evacuated(data_centre),
            row_missing: listed.is_row_missing(),
            cold,
        }
    }

    /// Returns the version of a server's software, if it is listed.
    pub(crate) fn server_version(&self, server: ServerId) -> Option<String> {
        let name = self.server_name(server)?;
        let directory = self.directory.borrow();
        directory.get(&name).map(|listed| listed.entry.version.clone())
    }

    /// Records that a server has announced that it is leaving. Returns whether that is new. Has
    /// no effect if another incarnation of the server is listed.
    pub(crate) fn mark_leaving(&self, server: ServerId) -> bool {
        let Some(name) = self.listed_name(server) else { return false };
        let changed = self.directory.borrow_mut().mark_leaving(&name);
        if changed {
            self.update_router_servers_named(&[name]);
        }
        changed
    }

    /// Returns whether an incarnation of a server is known to be leaving.
    pub(crate) fn is_leaving(&self, server: ServerId) -> bool {
        let Some(name) = self.listed_name(server) else { return false };
        self.directory
            .borrow()
            .get(&name)
            .is_some_and(|listed| listed.entry.leaving)
    }

    /// Returns the name of a server if this is the incarnation that is listed.
    fn listed_name(&self, server: ServerId) -> Option<ServerName> {
        let name = self.server_name(server)?;
        let directory = self.directory.borrow();
        let listed = directory.get(&name)?;
        (self.server_id(&listed.entry) == server).then_some(name)
    }

    /// Returns the name of the data centre that a key denotes, or the key as a number if
    /// no server in it is listed.
    pub(crate) fn data_centre_name(&self, key: DataCentreKey) -> String {
        let directory = self.directory.borrow();
        let name = directory.data_centres().find(|name| fleet_key(name) == key);
        name.map_or_else(|| key.to_string(), ToOwned::to_owned)
    }
}

/// Puts held servers into use whose hold has ended, and removes servers whose row has been missing
/// for too long.
pub(crate) fn expire_servers(state: &TrafficState) {
    if state.directory.borrow_mut().release_held(state.now()) {
        state.update_router_servers();
    }
    if !state.directory.borrow().has_missing_rows() {
        return;
    }
    let (now, source_now) = (state.now(), state.source.clock().now());
    let answers = state.source.answers().known();
    let answers = answers.map(|span| span.shifted(source_now, now));
    if let Some(answers) = answers {
        state.directory.borrow_mut().record_answers(answers);
    }
    let removed = state.directory.borrow_mut().expire(now);
    for server in &removed {
        let age_ms = |at: Duration| now.saturating_sub(at).as_millis() as u64;
        let answered_ms = answers.map(|span| age_ms(span.until));
        let answering_ms = answers.map(|span| age_ms(span.since));
        log::info!(
            server, answered_ms:?, answering_ms:?;
            "server removed: the platform has not listed it for too long"
        );
    }
    if !removed.is_empty() {
        state.update_router_servers_named(&removed);
    }
}
