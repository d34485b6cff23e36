//! Copies what the duty thread needs of the rules and the servers.

use std::collections::BTreeMap;

use flaxtide_core::DataCentreName;
use flaxtide_fleet::fleet_key;
use flaxtide_policy::ServerCounts;

use super::shared::{DutyView, ScaledService, SharedDuties};
use crate::state::TrafficState;

/// Updates the view for the duty thread, if this instance is a candidate or the holder.
pub(crate) fn update_duty_view(state: &TrafficState, duties: &SharedDuties) {
    if !duties.needs_view() {
        return;
    }
    let Some(table) = state.route_table() else { return };
    let names = table.organisation_names();
    let services = table.services.iter().filter_map(|service| {
        Some(ScaledService {
            name: service.name.clone(),
            rules: service.scaling.clone()?,
            slots: service.engine.map_or(1, |engine| engine.slots),
            server_counts: count_servers(state, &service.name),
        })
    });
    duties.set_view(DutyView {
        organisations: names.map(|name| (fleet_key(name), name.to_owned())).collect(),
        services: services.collect(),
        live: u32::try_from(state.metrics.instances.get()).unwrap_or_default(),
    });
}

/// Counts the servers of a service in each data centre. A server that is leaving or whose
/// row is missing doesn't count, but its data centre is listed.
fn count_servers(
    state: &TrafficState,
    service: &str,
) -> BTreeMap<DataCentreName, ServerCounts> {
    let mut server_counts: BTreeMap<DataCentreName, ServerCounts> = BTreeMap::new();
    for listed in state.directory.borrow().of_service(service) {
        let entry = &listed.entry;
        let counts = server_counts.entry(entry.data_centre.clone()).or_default();
        if entry.leaving || listed.is_row_missing() {
            continue;
        }
        match entry.spot {
            true => counts.spot += 1,
            false => counts.regular += 1,
        }
    }
    server_counts
}
