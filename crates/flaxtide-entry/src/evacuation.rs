//! Evacuated data centres, on the traffic thread: their backend servers get no requests.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use flaxtide_core::StoreVersion;
use flaxtide_policy::{DataCentreKey, EvacuationLog, EvacuationRecord};

use crate::state::TrafficState;

/// The evacuations that this instance has read or has been told of by peers.
#[derive(Debug, Default)]
pub(crate) struct DataCentreEvacuations {
    /// The newest state of each data centre.
    log: RefCell<EvacuationLog>,
    /// When the last evacuation of a data centre ended. Its servers are cold then.
    ended_at: RefCell<HashMap<DataCentreKey, Duration>>,
}

impl DataCentreEvacuations {
    /// Returns whether the servers of a data centre get no requests.
    pub(crate) fn is_evacuated(&self, data_centre: DataCentreKey) -> bool {
        self.log.borrow().is_evacuated(data_centre)
    }

    /// Returns when the last evacuation of a data centre ended.
    pub(crate) fn ended_at(&self, data_centre: DataCentreKey) -> Option<Duration> {
        self.ended_at.borrow().get(&data_centre).copied()
    }

    /// Returns the newest state of each data centre that is or was evacuated.
    pub(crate) fn records(&self) -> Vec<EvacuationRecord> {
        self.log.borrow().records()
    }

    /// Applies changes read from the platform, or all evacuations at a version if
    /// `snapshot` is given.
    pub(crate) fn apply_rows(
        &self,
        state: &TrafficState,
        records: &[EvacuationRecord],
        snapshot: Option<StoreVersion>,
    ) {
        let new = match snapshot {
            Some(version) => self.log.borrow_mut().apply_snapshot(records, version),
            None => self.merge(records),
        };
        self.enforce(state, &new, "platform");
    }

    /// Applies what a peer knows.
    pub(crate) fn apply_peer_records(
        &self,
        state: &TrafficState,
        records: &[EvacuationRecord],
    ) {
        let new = self.merge(records);
        self.enforce(state, &new, "peer");
    }

    /// Merges records into the log. Returns those that change the state of a data centre.
    fn merge(&self, records: &[EvacuationRecord]) -> Vec<EvacuationRecord> {
        let mut log = self.log.borrow_mut();
        records.iter().filter(|record| log.apply(record)).copied().collect()
    }

    /// Puts changes in force: stops or resumes the use of servers.
    fn enforce(
        &self,
        state: &TrafficState,
        changes: &[EvacuationRecord],
        source: &'static str,
    ) {
        for change in changes {
            if !change.evacuated {
                self.ended_at.borrow_mut().insert(change.data_centre, state.now());
            }
            let data_centre = state.data_centre_name(change.data_centre);
            let EvacuationRecord { version, evacuated, .. } = *change;
            log::info!(data_centre, evacuated, version, source; "evacuation changed");
        }
        if !changes.is_empty() {
            let count = self.log.borrow().evacuated_count();
            state.metrics.evacuated_data_centres.set(count as i64);
            state.update_router_servers();
        }
    }
}
