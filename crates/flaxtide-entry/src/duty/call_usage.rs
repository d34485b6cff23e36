//! What a request adds to the usage, on the traffic thread.

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;

use flaxtide_fleet::{FleetKey, fleet_key};

use super::shared::SharedDuties;

/// A request, as far as it is counted. Dropping it records that it has ended.
pub(crate) struct CallUsage {
    /// Where it is counted.
    board: Arc<SharedDuties>,
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
        board: &Arc<SharedDuties>,
        service: &str,
        organisation: Option<&str>,
    ) -> Self {
        let service = fleet_key(service);
        board.change_open(service, true);
        Self {
            board: board.clone(),
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
            self.board.count(organisation, ago);
        }
    }
}

impl Drop for CallUsage {
    fn drop(&mut self) {
        self.board.change_open(self.service, false);
    }
}
