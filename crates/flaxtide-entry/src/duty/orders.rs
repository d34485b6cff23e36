//! Orders of backend servers.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxtide_fleet::fleet_key;
use flaxtide_policy::{OrderOutcome, ScalerOptions, ServerOrder, ServerScaler};

use super::shared::{ScaledService, SharedDuties};

/// How often demand is looked at.
const PLAN_PERIOD: Duration = Duration::from_millis(500);

/// An order for a service.
#[derive(Debug, Clone)]
pub(super) struct ServiceOrder {
    /// The service.
    pub(super) service: String,
    /// The order.
    pub(super) order: ServerOrder,
}

/// The holder's part in orders.
#[derive(Debug, Default)]
pub(super) struct OrderDuty {
    /// The scalers, by service.
    scalers: BTreeMap<String, ServerScaler>,
    /// When demand was last looked at.
    planned_at: Option<Duration>,
}

impl OrderDuty {
    /// Takes the duty over: what stands counts, and not what was thought before.
    pub(super) fn begin(&mut self) {
        self.scalers.clear();
        self.planned_at = None;
    }

    /// Returns the orders that are due.
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

    /// Returns the orders that are due for a service.
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
        let orders = scaler.plan(&service.rules, &service.stocks, service.slots, now);
        for order in &orders {
            log::info!(
                service = service.name, data_centre = order.data_centre, spot = order.spot,
                count = order.count, open, serving = service.serving(),
                serving_spot = service.serving_spot();
                "servers are to be ordered"
            );
        }
        let name = &service.name;
        let orders = orders.into_iter();
        orders
            .map(|order| ServiceOrder { service: name.clone(), order })
            .collect()
    }

    /// Records what came of an order.
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
    /// Returns how many servers serve.
    fn serving(&self) -> u32 {
        self.stocks.values().map(|stock| stock.total()).sum()
    }

    /// Returns how many of them may be taken away.
    fn serving_spot(&self) -> u32 {
        self.stocks.values().map(|stock| stock.spot).sum()
    }
}
