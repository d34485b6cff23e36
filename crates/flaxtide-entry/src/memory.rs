//! Bounds the memory that bodies and connections take. A caller or a server that reads slowly,
//! or not at all, holds a body in memory, so each body is charged to a budget until its last byte
//! is written. While the budget is used up, no further bodies are read. How requests are admitted
//! is in `uploads.rs`.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use prometheus::IntGauge;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The bytes that one permit of a budget stands for.
const UNIT_BYTES: usize = 1024;

/// The budget for all request bodies, and that for all response bodies, as a part of the
/// memory of the process. There are two, so that requests in progress can't keep their own
/// responses from being read.
const BUDGET_DIVISOR: u64 = 8;

/// The longest body without a stated length, as a part of the budget.
const UNSTATED_DIVISOR: usize = 8;

/// The memory that a connection is reckoned with, without bodies: its buffers, and the state of
/// its request and of the server's stream.
const CONNECTION_BYTES: u64 = 53 * 1024;

/// The part of the memory of the process that connections may take. The bodies take a quarter, and
/// the rules, the servers and what peers tell the rest.
const CONNECTIONS_DIVISOR: u64 = 2;

/// File descriptors reserved for servers, peers and the platform.
const RESERVED_DESCRIPTORS: u64 = 1200;

/// The fewest connections that an instance accepts, however small it is.
const MIN_CONNECTIONS: u64 = 64;

/// Returns how many connections of callers and peers a process may accept that may use
/// `memory_mb` megabytes and a number of file descriptors.
pub(crate) fn connection_limit(memory_mb: u64, descriptors: u64) -> u64 {
    let by_memory = memory_mb * 1_000_000 / CONNECTIONS_DIVISOR / CONNECTION_BYTES;
    let by_descriptors = descriptors.saturating_sub(RESERVED_DESCRIPTORS);
    by_memory.min(by_descriptors).max(MIN_CONNECTIONS)
}

/// The memory for bodies of one direction.
#[derive(Debug)]
pub(crate) struct BodyBudget {
    /// A permit for each [`UNIT_BYTES`].
    permits: Arc<Semaphore>,
    /// The number of all permits.
    total: usize,
    /// Exports the bytes in use.
    used: IntGauge,
}

impl BodyBudget {
    /// Creates the budget of a process that may use `memory_mb` megabytes.
    pub(crate) fn new(memory_mb: u64, used: IntGauge) -> Self {
        Self::with_units(budget_units(memory_mb), used)
    }

    /// Creates a budget of so many units.
    pub(crate) fn with_units(total: usize, used: IntGauge) -> Self {
        Self {
            permits: Arc::new(Semaphore::new(total)),
            total,
            used,
        }
    }

    /// Returns the longest body whose length isn't stated in advance, in bytes. It is a fraction of
    /// the budget, so that a few such bodies without end leave room for the others.
    pub(crate) fn max_unstated(&self) -> usize {
        (self.total / UNSTATED_DIVISOR).max(1) * UNIT_BYTES
    }

    /// Returns the longest body whose length is stated, in bytes.
    pub(crate) fn max_stated(&self) -> usize {
        self.total * UNIT_BYTES
    }

    /// Returns the number of all units.
    pub(crate) fn total(&self) -> usize {
        self.total
    }

    /// Returns how many units are free.
    pub(crate) fn available(&self) -> usize {
        self.permits.available_permits()
    }

    /// Reserves a number of units, in the order of the calls. Waits until they are free.
    pub(crate) async fn reserve(&self, units: usize) -> Option<BodyReservation> {
        let permit = self.permits.clone().acquire_many_owned(units as u32).await;
        // The semaphore is never closed.
        Some(self.charge(permit.ok()?))
    }

    /// Reserves a number of units if they are free.
    pub(crate) fn try_reserve(&self, units: usize) -> Option<BodyReservation> {
        let permit = self.permits.clone().try_acquire_many_owned(units as u32);
        Some(self.charge(permit.ok()?))
    }

    /// Counts units as used.
    fn charge(&self, permit: OwnedSemaphorePermit) -> BodyReservation {
        self.used.add((permit.num_permits() * UNIT_BYTES) as i64);
        BodyReservation { permit, used: self.used.clone() }
    }
}

/// Returns the units of the budget of a process that may use `memory_mb` megabytes.
pub(crate) fn budget_units(memory_mb: u64) -> usize {
    let units = memory_mb * 1_000_000 / BUDGET_DIVISOR / UNIT_BYTES as u64;
    u32::try_from(units).unwrap_or(u32::MAX).max(1) as usize
}

/// Returns how many units a number of bytes takes.
pub(crate) fn units_for(bytes: usize) -> usize {
    bytes.div_ceil(UNIT_BYTES)
}

/// Returns how many bytes a number of units has room for.
pub(crate) fn unit_bytes(units: usize) -> usize {
    units * UNIT_BYTES
}

/// Memory that is reserved for a body until this is dropped.
#[derive(Debug)]
pub(crate) struct BodyReservation {
    /// Returns the memory to the budget.
    permit: OwnedSemaphorePermit,
    /// Exports the bytes in use.
    used: IntGauge,
}

impl BodyReservation {
    /// Returns all units but the first `units` to the budget.
    pub(crate) fn shrink(&mut self, units: usize) {
        let excess = self.permit.num_permits().saturating_sub(units);
        if let Some(permit) = self.permit.split(excess) {
            drop(Self { permit, used: self.used.clone() });
        }
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.used.sub((self.permit.num_permits() * UNIT_BYTES) as i64);
    }
}

/// A body that is being received, charged to a budget.
#[derive(Debug, Default)]
pub(crate) struct ChargedBody {
    /// What has been received.
    bytes: BytesMut,
    /// The memory reserved for it.
    reservations: Vec<BodyReservation>,
    /// The units of all reservations.
    reserved: usize,
}

impl ChargedBody {
    /// Reserves memory for a body of `length` bytes, as far as that isn't done yet. A body
    /// that exceeds the budget is charged with all of it.
    pub(crate) async fn reserve(&mut self, length: usize, budget: &BodyBudget) {
        let due = units_for(length).min(budget.total);
        let Some(missing) = due.checked_sub(self.reserved).filter(|units| *units > 0)
        else {
            return;
        };
        self.reservations.extend(budget.reserve(missing).await);
        self.reserved = due;
    }

    /// Adds received bytes, once there is memory for them.
    pub(crate) async fn push(&mut self, bytes: &[u8], budget: &BodyBudget) {
        self.reserve(self.bytes.len() + bytes.len(), budget).await;
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns the complete body, which holds its memory until the last reference to it is
    /// dropped.
    pub(crate) fn into_bytes(self) -> Bytes {
        if self.reservations.is_empty() {
            return self.bytes.freeze();
        }
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for ChargedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
