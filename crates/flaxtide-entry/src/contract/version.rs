//! What is kept of versions in the platform's table, where it outlasts all instances.

use std::collections::BTreeMap;

use flaxtide_core::{DataCentreName, InstanceName, StoreVersion};
use flaxtide_policy::{BatchKey, NoteBatch, NoteChange, ServiceKey, VersionRecord};

use super::feed::FeedError;

/// The records of versions and the notes of streams in the platform's table. All methods block.
pub trait VersionPlatform: Send + Sync {
    /// Reads the records of all services.
    ///
    /// # Errors
    ///
    /// Any [`FeedError`].
    fn read_records(&self) -> Result<RecordsRead, FeedError>;

    /// Writes the record of a service if the current version of its row is `expected`; `None`
    /// means that there is no row. Returns whether it was written.
    ///
    /// # Errors
    ///
    /// Any [`FeedError`]. After [`FeedError::NoAnswer`], it may still be written.
    fn write_record(
        &self,
        service: ServiceKey,
        expected: Option<StoreVersion>,
        record: &VersionRecord,
    ) -> Result<bool, FeedError>;

    /// Reads the notes that an instance or a previous process of it has kept. Batches that can't
    /// be decoded are left out.
    ///
    /// # Errors
    ///
    /// Any [`FeedError`].
    fn read_notes(&self, owner: &NoteOwner) -> Result<NotesRead, FeedError>;

    /// Adds and removes notes of an instance, all or none of them.
    ///
    /// # Errors
    ///
    /// Any [`FeedError`]. After [`FeedError::NoAnswer`], they may still be written.
    fn write_notes(
        &self,
        owner: &NoteOwner,
        change: &NoteChange,
    ) -> Result<(), FeedError>;
}

/// The instance that has kept notes of streams.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NoteOwner {
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Its name, which a process that replaces it has as well.
    pub instance: InstanceName,
}

/// The records of all services.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecordsRead {
    /// The record of each service that has one, and the version of its row. The record is `None` if
    /// it can't be decoded.
    pub records: BTreeMap<ServiceKey, (Option<VersionRecord>, StoreVersion)>,
    /// The time on the store's clock, in milliseconds.
    pub now_ms: u64,
    /// The current era of the store.
    pub era: u64,
}

/// The notes of an instance.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct NotesRead {
    /// The notes, in batches.
    pub batches: Vec<(BatchKey, NoteBatch)>,
    /// The time on the store's clock, in milliseconds.
    pub now_ms: u64,
}
