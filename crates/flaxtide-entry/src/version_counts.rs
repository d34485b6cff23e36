//! The number of listed servers of each version.

use std::collections::{BTreeMap, HashMap};

use flaxtide_core::ServerName;
use flaxtide_fleet::fleet_key;
use flaxtide_policy::{ServiceKey, VersionKey};

use crate::contract::ServerEntry;

/// The versions of each service, with the number of their servers in service.
pub(crate) type ListedServices = HashMap<ServiceKey, BTreeMap<VersionKey, usize>>;

/// Counts the listed servers of each version, without a walk over all of them at each change.
#[derive(Debug, Default)]
pub(crate) struct VersionCounts {
    /// The service and the version of each server, and whether it is in service.
    servers: HashMap<ServerName, (ServiceKey, VersionKey, bool)>,
    /// The versions of each service.
    services: ListedServices,
    /// The number of servers of each version, in service or not.
    sizes: HashMap<(ServiceKey, VersionKey), usize>,
}

impl VersionCounts {
    /// Removes all servers. Services stay known.
    pub(crate) fn clear(&mut self) {
        self.servers.clear();
        self.sizes.clear();
        self.services.values_mut().for_each(BTreeMap::clear);
    }

    /// Replaces what is known of a server; `None` if it isn't listed.
    pub(crate) fn put(&mut self, name: &str, entry: Option<&ServerEntry>) {
        if let Some((service, version, in_service)) = self.servers.remove(name) {
            let size = self.sizes.entry((service, version)).or_default();
            *size -= 1;
            let versions = self.services.entry(service).or_default();
            if *size == 0 {
                versions.remove(&version);
            } else if in_service && let Some(count) = versions.get_mut(&version) {
                *count -= 1;
            }
        }
        let Some(entry) = entry else { return };
        let (service, version) = (fleet_key(&entry.service), fleet_key(&entry.version));
        *self.sizes.entry((service, version)).or_default() += 1;
        let versions = self.services.entry(service).or_default();
        *versions.entry(version).or_default() += usize::from(!entry.leaving);
        let known = (service, version, !entry.leaving);
        self.servers.insert(entry.name.clone(), known);
    }

    /// Returns the versions of each service.
    pub(crate) fn services(&self) -> &ListedServices {
        &self.services
    }
}
