//! A settings version, compiled for one instance.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use flaxtide_core::{
    ClassId, ClassProfile, OperatorAccess, OrderMode, OrganisationId,
    OrganisationProfile, PoolId, ServerId, SettingsTree, SettingsVersion,
};
use flaxtide_fleet::{FleetKey, fleet_key};
use flaxtide_policy::{ClassRule, OrganisationRule, RuleSet, ServerRule};

use crate::names::NameTable;

/// A settings version with what requests need of it, ready to be looked up.
#[derive(Debug, Clone, Default)]
pub(crate) struct SettingsView {
    /// The version; 0 before there is any.
    pub(crate) version: SettingsVersion,
    /// The tree.
    pub(crate) tree: SettingsTree,
    /// The organisations by the hashes of their keys.
    keys: HashMap<String, OrganisationId>,
    /// What is in force for each organisation.
    pub(crate) organisations: BTreeMap<OrganisationId, OrganisationProfile>,
    /// What is in force for each class.
    pub(crate) classes: BTreeMap<ClassId, ClassProfile>,
    /// The backend servers of this data centre.
    pub(crate) servers: BTreeMap<ServerId, ServerEntry>,
    /// The backend servers by their keys.
    server_keys: HashMap<FleetKey, ServerId>,
    /// The limited organisations by their keys.
    limited: HashMap<FleetKey, OrganisationId>,
    /// The numbers of names.
    names: ViewNames,
}

/// The numbers of all kinds of names.
#[derive(Debug, Clone, Default)]
struct ViewNames {
    /// Classes.
    classes: NameTable,
    /// Organisations.
    organisations: NameTable,
    /// Pools: models as `model/NAME`, services as `service/NAME`.
    pools: NameTable,
    /// Backend servers.
    servers: NameTable,
}

/// A backend server of this data centre.
#[derive(Debug, Clone)]
pub(crate) struct ServerEntry {
    /// Its key on the links between instances.
    pub(crate) key: FleetKey,
    /// Where it listens.
    pub(crate) address: SocketAddr,
    /// The pools that it serves.
    pub(crate) pools: Vec<PoolId>,
    /// How many requests it works on at once.
    pub(crate) slots: u32,
}

/// An engine that takes orders.
#[derive(Debug, Clone)]
pub(crate) struct OrderedEngine {
    /// Where it listens.
    pub(crate) address: SocketAddr,
    /// The models that it is to have loaded.
    pub(crate) models: Vec<String>,
    /// Whether it checks fencing numbers.
    pub(crate) fenced: bool,
}

impl SettingsView {
    /// Compiles a version for a data centre. Names keep the numbers that `self` gave them.
    pub(crate) fn next(
        &self,
        version: SettingsVersion,
        tree: SettingsTree,
        data_centre: &str,
    ) -> Self {
        let mut view = Self {
            version,
            names: self.names.clone(),
            ..Self::default()
        };
        for name in tree.classes.keys() {
            let class = view.names.classes.number(name) as ClassId;
            view.classes
                .extend(tree.class_profile(name).map(|profile| (class, profile)));
        }
        for (name, node) in &tree.organisations {
            let organisation = view.names.organisations.number(name) as OrganisationId;
            let profile = tree.organisation_profile(name);
            if profile
                .as_ref()
                .is_some_and(|profile| profile.requests_per_second.is_some())
            {
                view.limited.insert(fleet_key(name), organisation);
            }
            view.organisations
                .extend(profile.map(|profile| (organisation, profile)));
            let hashes = node.key_hashes.iter().cloned();
            view.keys.extend(hashes.map(|hash| (hash, organisation)));
        }
        view.add_servers(&tree, data_centre);
        view.tree = tree;
        view
    }

    /// Adds the backend servers of a data centre.
    fn add_servers(&mut self, tree: &SettingsTree, data_centre: &str) {
        let Some(node) = tree.data_centres.get(data_centre) else { return };
        for (name, engine) in &node.engines {
            let models = engine.models.iter();
            let pools = models.map(|model| self.names.pools.number(&model_pool(model)));
            let pools = pools.map(|pool| pool as PoolId).collect();
            self.add_server(name, engine.address, pools, engine.slots);
        }
        for (name, server) in &node.plain_servers {
            let pool = self.names.pools.number(&service_pool(&server.service));
            self.add_server(name, server.address, vec![pool as PoolId], server.slots);
        }
    }

    /// Adds a backend server.
    fn add_server(
        &mut self,
        name: &str,
        address: SocketAddr,
        pools: Vec<PoolId>,
        slots: u32,
    ) {
        let server = self.names.servers.number(name) as ServerId;
        let key = fleet_key(name);
        if let Some(other) = self.server_keys.insert(key, server)
            && other != server
        {
            let other = self.names.servers.name(other as usize);
            log::error!("{name} and {other} share a key; rename one of them");
        }
        self.servers
            .insert(server, ServerEntry { key, address, pools, slots });
    }

    /// Returns the engines of a data centre that take orders.
    pub(crate) fn ordered_engines(&self, data_centre: &str) -> Vec<OrderedEngine> {
        let node = self.tree.data_centres.get(data_centre);
        let engines = node.into_iter().flat_map(|node| node.engines.values());
        let engines = engines.filter(|engine| engine.orders != OrderMode::None);
        let ordered = engines.map(|engine| OrderedEngine {
            address: engine.address,
            models: engine.models.clone(),
            fenced: engine.orders == OrderMode::Fenced,
        });
        ordered.collect()
    }

    /// Returns the rules for the decision core.
    pub(crate) fn rules(&self) -> RuleSet {
        let classes = self.classes.iter().map(|(class, profile)| {
            let rule = ClassRule {
                tier: profile.rank,
                first_token: profile.first_token,
                give_up: profile.give_up,
                starvation_bound: profile.starvation_bound,
                priority: profile.priority,
                repeatable: profile.repeatable,
            };
            (*class, rule)
        });
        let organisations = self.organisations.iter().map(|(organisation, profile)| {
            let rule = OrganisationRule {
                priority: profile.priority,
                requests_per_second: profile.requests_per_second,
            };
            (*organisation, rule)
        });
        let servers = self.servers.iter().map(|(server, entry)| {
            let rule = ServerRule { pools: entry.pools.clone(), slots: entry.slots };
            (*server, rule)
        });
        RuleSet {
            classes: classes.collect(),
            organisations: organisations.collect(),
            servers: servers.collect(),
        }
    }

    /// Returns the organisation that a key's hash belongs to.
    pub(crate) fn organisation(
        &self,
        key_hash: &str,
    ) -> Option<(OrganisationId, &OrganisationProfile)> {
        let organisation = *self.keys.get(key_hash)?;
        Some((organisation, self.organisations.get(&organisation)?))
    }

    /// Returns the class with a name.
    pub(crate) fn class(&self, name: &str) -> Option<(ClassId, &ClassProfile)> {
        let class = self.names.classes.find(name)? as ClassId;
        Some((class, self.classes.get(&class)?))
    }

    /// Returns the pool of a model that the settings hold.
    pub(crate) fn model(&self, name: &str) -> Option<PoolId> {
        self.tree.models.get(name)?;
        self.pool(&model_pool(name))
    }

    /// Returns the pool of a plain service that the settings hold.
    pub(crate) fn service(&self, name: &str) -> Option<PoolId> {
        self.tree.services.get(name)?;
        self.pool(&service_pool(name))
    }

    /// Returns the number of a pool; that of no servers if there are none.
    fn pool(&self, name: &str) -> Option<PoolId> {
        Some(self.names.pools.find(name).map_or(PoolId::MAX, |pool| pool as PoolId))
    }

    /// Returns a pool's name.
    pub(crate) fn pool_name(&self, pool: PoolId) -> &str {
        self.names.pools.name(usize::from(pool))
    }

    /// Returns a backend server's name.
    pub(crate) fn server_name(&self, server: ServerId) -> &str {
        self.names.servers.name(server as usize)
    }

    /// Returns the number of a backend server of this data centre.
    pub(crate) fn server(&self, name: &str) -> Option<ServerId> {
        let server = self.names.servers.find(name)? as ServerId;
        self.servers.contains_key(&server).then_some(server)
    }

    /// Returns the backend server with a key.
    pub(crate) fn server_with_key(&self, key: FleetKey) -> Option<ServerId> {
        self.server_keys.get(&key).copied()
    }

    /// Returns the limited organisation with a key.
    pub(crate) fn limited_with_key(&self, key: FleetKey) -> Option<OrganisationId> {
        self.limited.get(&key).copied()
    }

    /// Returns the key of an organisation.
    pub(crate) fn organisation_key(&self, organisation: OrganisationId) -> FleetKey {
        fleet_key(self.names.organisations.name(usize::from(organisation)))
    }

    /// Returns the key of a pool.
    pub(crate) fn pool_key(&self, pool: PoolId) -> FleetKey {
        fleet_key(self.pool_name(pool))
    }

    /// Returns what the operator with a key may do.
    pub(crate) fn operator(&self, key_hash: &str) -> Option<(&str, OperatorAccess)> {
        let mut operators = self.tree.operators.iter();
        let (name, node) = operators.find(|(_, node)| node.key_hash == key_hash)?;
        Some((name, node.access))
    }
}

/// Returns the name of a model's pool.
fn model_pool(model: &str) -> String {
    format!("model/{model}")
}

/// Returns the name of a plain service's pool.
fn service_pool(service: &str) -> String {
    format!("service/{service}")
}
