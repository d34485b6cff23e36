//! Orders backend servers to match demand.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxtide_fleet::fleet_key;
use flaxtide_policy::{OrderOutcome, ScalerOptions, ServerOrder, ServerScaler};

use super::shared::{ScaledService, SharedDuties};

/// How often demand is evaluated.
const PLAN_PERIOD: Duration = Duration::from_millis(500);

/// An order of servers for a service.
#[derive(Debug, Clone)]
pub(super) struct ServiceOrder {
    /// The name of the service.
    pub(super) service: String,
    /// The data centre, the kind and the number of the servers.
    pub(super) order: ServerOrder,
}

/// Plans orders while this instance holds the duties.
#[derive(Debug, Default)]
pub(super) struct OrderDuty {
    /// The scalers by the name of their service.
    scalers: BTreeMap<String, ServerScaler>,
    /// When demand was last evaluated.
    planned_at: Option<Duration>,
}

impl OrderDuty {
    /// Starts afresh as a new holder: only the current servers and demand count, not what
    /// this instance planned when it last held the duties.
    pub(super) fn begin(&mut self) {
        self.scalers.clear();
        self.planned_at = None;
    }

    /// Returns the orders that are due, at most once per planning period.
    pub(super) fn due(
        &mut self,
        duties: &SharedDuties,
        now: Duration,
    ) -> Vec<ServiceOrder> {
        if self.planned_at.is_some_and(|at| now < at + PLAN_PERIOD) {
            return vec![];
        }
        self.planned_at = Some(now);
        let services = duties.view().services;
        services
            .iter()
            .flat_map(|service| self.plan(duties, service, now))
            .collect()
    }

    /// Returns the orders that are due for a service. There are none until an instance
    /// has reported its open requests.
    fn plan(
        &mut self,
        duties: &SharedDuties,
        service: &ScaledService,
        now: Duration,
    ) -> Vec<ServiceOrder> {
        let Some(open) = duties.open_requests(fleet_key(&service.name)) else {
            return vec![];
        };
        let scaler = self
            .scalers
            .entry(service.name.clone())
            .or_insert_with(|| ServerScaler::new(ScalerOptions::default()));
        scaler.record_demand(open, now);
        let orders =
            scaler.plan(&service.rules, &service.server_counts, service.slots, now);
        for order in &orders {
            log::info!(
                service = service.name, data_centre = order.data_centre, spot = order.spot,
                count = order.count, open, serving = service.serving(),
                serving_spot = service.serving_spot();
                "servers to be ordered"
            );
        }
        let name = &service.name;
        let orders = orders.into_iter();
        orders
            .map(|order| ServiceOrder { service: name.clone(), order })
            .collect()
    }

    /// Records the outcome of an order.
    pub(super) fn record_outcome(
        &mut self,
        order: &ServiceOrder,
        outcome: OrderOutcome,
        now: Duration,
    ) {
        if let Some(scaler) = self.scalers.get_mut(&order.service) {
            scaler.record_outcome(&order.order, outcome, now);
        }
    }
}

impl ScaledService {
    /// Returns the number of serving servers, in all data centres.
    fn serving(&self) -> u32 {
        self.server_counts.values().map(|counts| counts.total()).sum()
    }

    /// Returns the number of serving spot servers, which the platform may take away.
    fn serving_spot(&self) -> u32 {
        self.server_counts.values().map(|counts| counts.spot).sum()
    }
}
