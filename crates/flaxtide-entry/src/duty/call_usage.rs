//! Counts a request toward the usage of its organisation, on the traffic thread.

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;

use flaxtide_fleet::{FleetKey, fleet_key};

use super::shared::SharedDuties;

/// Counts one request. Dropping it records that the request has ended.
pub(crate) struct CallUsage {
    /// Holds the counts of this instance.
    duties: Arc<SharedDuties>,
    /// The key of the request's service.
    service: FleetKey,
    /// The key of the caller's organisation, or `None` if the request has no API key.
    organisation: Option<FleetKey>,
    /// Whether the request has been counted. A retried request counts once.
    counted: Cell<bool>,
}

impl CallUsage {
    /// Records that a request for a service has arrived.
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

    /// Counts the request, which began to run `ago` before now, unless it is counted
    /// already.
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
