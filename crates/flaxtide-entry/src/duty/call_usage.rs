//! What a request adds to the usage, on the traffic thread.

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;

use flaxtide_fleet::{FleetKey, fleet_key};

use super::shared::SharedDuties;

/// A request, as far as it is counted. Dropping it records that it has ended.
pub(crate) struct CallUsage {
    /// Where it is counted.
    duties: Arc<SharedDuties>,
    /// The service.
    service: FleetKey,
    /// The organisation, if it has one.
    organisation: Option<FleetKey>,
    /// Whether it has been counted: a request that runs again counts once.
    counted: Cell<bool>,
}

impl CallUsage {
    /// Records that a request has come.
    pub(crate) fn new(
        duties: &Arc<SharedDuties>,
        service: &str,
        organisation: Option<&str>,
    ) -> Self {
        let service = fleet_key(service);
        duties.record_open_change(service, true);
        Self {
            duties: duties.clone(),
            service,
            organisation: organisation.map(fleet_key),
            counted: Cell::new(false),
        }
    }

    /// Records that it began to run so long ago.
    pub(crate) fn begin(&self, ago: Duration) {
        if let Some(organisation) = self.organisation
            && !self.counted.replace(true)
        {
            self.duties.count(organisation, ago);
        }
    }
}

impl Drop for CallUsage {
    fn drop(&mut self) {
        self.duties.record_open_change(self.service, false);
    }
}
