//! Evacuations of data centres: on the operators' request, the backend servers of a data
//! centre get no requests until the request is withdrawn.

use std::collections::BTreeMap;

use flaxtide_core::StoreVersion;
use serde::{Deserialize, Serialize};

use crate::pushback::DataCentreKey;

/// The most data centres whose state is kept.
const MAX_DATA_CENTRES: usize = 256;

/// Whether a data centre is evacuated, as of a version of the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationRecord {
    /// The data centre.
    pub data_centre: DataCentreKey,
    /// The version of the store at which the state was written or read.
    pub version: StoreVersion,
    /// Whether the servers of the data centre get no requests.
    pub evacuated: bool,
}

/// The newest known state of each data centre that is or was evacuated.
///
/// ```
/// use flaxtide_policy::{EvacuationLog, EvacuationRecord};
/// let mut log = EvacuationLog::default();
/// let evacuated = EvacuationRecord { data_centre: 1, version: 7, evacuated: true };
/// assert!(log.apply(&evacuated));
/// assert!(log.is_evacuated(1));
/// assert!(!log.apply(&EvacuationRecord { version: 6, evacuated: false, ..evacuated }));
/// assert!(log.apply(&EvacuationRecord { version: 8, evacuated: false, ..evacuated }));
/// assert!(!log.is_evacuated(1));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvacuationLog {
    /// The records by data centre.
    records: BTreeMap<DataCentreKey, EvacuationRecord>,
}

impl EvacuationLog {
    /// Merges a record into the log. Returns whether it changes whether the data centre is
    /// evacuated.
    pub fn apply(&mut self, record: &EvacuationRecord) -> bool {
        let before = self.is_evacuated(record.data_centre);
        let known = self.records.get(&record.data_centre);
        if known.is_some_and(|known| known.version >= record.version) {
            return false;
        }
        self.records.insert(record.data_centre, *record);
        if self.records.len() > MAX_DATA_CENTRES {
            self.forget_oldest();
        }
        before != record.evacuated
    }

    /// Applies a complete read of the store at `version`, which lists `evacuated`. Returns
    /// the records that change the state of a data centre.
    pub fn apply_snapshot(
        &mut self,
        evacuated: &[EvacuationRecord],
        version: StoreVersion,
    ) -> Vec<EvacuationRecord> {
        let is_listed = |data_centre| {
            evacuated.iter().any(|record| record.data_centre == data_centre)
        };
        let known = self.records.values().filter(|record| record.evacuated);
        let withdrawn = known.filter(|record| !is_listed(record.data_centre));
        let withdrawn = withdrawn.map(|record| EvacuationRecord {
            version,
            evacuated: false,
            ..*record
        });
        let mut records: Vec<EvacuationRecord> = withdrawn.collect();
        records.extend_from_slice(evacuated);
        records.retain(|record| self.apply(record));
        records
    }

    /// Removes the oldest record, preferably of a data centre that isn't evacuated.
    fn forget_oldest(&mut self) {
        let records = self.records.values();
        let oldest = records.min_by_key(|record| (record.evacuated, record.version));
        let oldest = oldest.map(|record| record.data_centre);
        oldest.and_then(|data_centre| self.records.remove(&data_centre));
    }

    /// Returns whether a data centre is evacuated.
    #[must_use]
    pub fn is_evacuated(&self, data_centre: DataCentreKey) -> bool {
        self.records.get(&data_centre).is_some_and(|record| record.evacuated)
    }

    /// Returns the number of evacuated data centres.
    #[must_use]
    pub fn evacuated_count(&self) -> usize {
        self.records.values().filter(|record| record.evacuated).count()
    }

    /// Returns all records.
    #[must_use]
    pub fn records(&self) -> Vec<EvacuationRecord> {
        self.records.values().copied().collect()
    }
}
