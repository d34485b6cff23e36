//! Receives the bodies of requests. Each is admitted before it is read: memory is reserved for all
//! that it may have, so that bodies that advance together don't wait for each other. Short ones have
//! memory of their own. A body that isn't admitted soon is refused, as not run.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use flaxtide_core::MilliClock;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use prometheus::IntGauge;

use crate::memory::{BodyBudget, BodyReservation, budget_units, unit_bytes, units_for};
use crate::reply::LocalReply;
use crate::state::TrafficState;

/// The part of the memory for bodies that is kept for short ones.
const SHORT_DIVISOR: usize = 16;

/// How many of the longest short bodies that part has room for.
const SHORT_BODIES: usize = 32;

/// For how long a long body is taken to hold its memory until one has ended.
const FIRST_HOLD: Duration = Duration::from_secs(1);

/// The weight of the latest long body in the usual time, as a divisor.
const HOLD_WEIGHT: u32 = 4;

/// The least time after which callers come back that were refused for lack of memory.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// For how long the rest of a refused body is read. If the connection were closed before, the reset
/// could overtake the response.
const REST_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a body isn't received: the reply, and after which time there is likely to be room for it, if
/// that is the reason.
pub(crate) type UploadFault = (LocalReply, Option<Duration>);

/// The memory for bodies of requests.
#[derive(Debug)]
pub(crate) struct UploadBudget {
    /// For bodies of any length.
    shared: BodyBudget,
    /// For short bodies.
    short: BodyBudget,
    /// The units of the longest short body.
    short_units: usize,
    /// For how long bodies hold the shared memory.
    holds: Arc<Mutex<HoldTimes>>,
    /// Provides the time.
    clock: MilliClock,
}

impl UploadBudget {
    /// Creates the budget of a process that may use `memory_mb` megabytes.
    pub(crate) fn new(memory_mb: u64, used: &IntGauge, clock: MilliClock) -> Self {
        let total = budget_units(memory_mb);
        let short = total / SHORT_DIVISOR;
        Self {
            shared: BodyBudget::with_units(total - short, used.clone()),
            short: BodyBudget::with_units(short, used.clone()),
            short_units: short / SHORT_BODIES,
            holds: Arc::default(),
            clock,
        }
    }

    /// Reserves memory for a body of `length` bytes. One that exceeds the shared memory is charged
    /// with all of it.
    async fn admit(
        &self,
        length: usize,
        patience: Duration,
        state: &TrafficState,
    ) -> Result<UploadReservation, UploadFault> {
        let units = units_for(length).min(self.shared.total());
        let is_short = units <= self.short_units;
        if is_short && let Some(memory) = self.short.try_reserve(units) {
            return Ok(UploadReservation { memory, _hold: None });
        }
        let reserve = async {
            tokio::select! {
                biased;
                memory = self.shared.reserve(units) => Some((memory?, true)),
                memory = self.short.reserve(units), if is_short => Some((memory?, false)),
            }
        };
        let reserved = state.wait_until(state.now() + patience, reserve).await;
        let Some((memory, is_shared)) = reserved.flatten() else {
            let free = self.shared.available();
            let wait = self.holds().free_after(units, free, self.clock.now());
            return Err((LocalReply::NoRoom, Some(wait)));
        };
        let hold = is_shared.then(|| self.begin_hold(units));
        Ok(UploadReservation { memory, _hold: hold })
    }

    /// Reserves memory for the beginning of a body that states no length, as for a short one.
    /// Returns `None` if no memory for short bodies is free.
    fn admit_beginning(&self) -> Option<UploadReservation> {
        let memory = self.short.try_reserve(self.short_units)?;
        Some(UploadReservation { memory, _hold: None })
    }

    /// Records that a body holds shared memory from now on.
    fn begin_hold(&self, units: usize) -> UploadHold {
        let number = self.holds().begin(units, self.clock.now());
        UploadHold {
            number,
            holds: self.holds.clone(),
            clock: self.clock.clone(),
        }
    }

    /// Returns for how long bodies hold the shared memory.
    fn holds(&self) -> MutexGuard<'_, HoldTimes> {
        self.holds.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// For how long bodies hold the shared memory.
#[derive(Debug, Default)]
struct HoldTimes {
    /// Since when, and how many units, by number.
    open: BTreeMap<u64, (Duration, usize)>,
    /// The number of the next.
    next: u64,
    /// The usual time; `None` until one has ended.
    usual: Option<Duration>,
}

impl HoldTimes {
    /// Records that a body holds memory from now on. Returns its number.
    fn begin(&mut self, units: usize, now: Duration) -> u64 {
        let number = self.next;
        self.next += 1;
        self.open.insert(number, (now, units));
        number
    }

    /// Records that a body has returned its memory.
    fn end(&mut self, number: u64, now: Duration) {
        let Some((since, _)) = self.open.remove(&number) else { return };
        let held = now.saturating_sub(since);
        let usual = self.usual.unwrap_or(held);
        self.usual = Some((usual * (HOLD_WEIGHT - 1) + held) / HOLD_WEIGHT);
    }

    /// Returns after which time a number of units is likely to be free, of which `free` are.
    fn free_after(&self, units: usize, mut free: usize, now: Duration) -> Duration {
        let usual = self.usual.unwrap_or(FIRST_HOLD);
        let mut ends: Vec<(Duration, usize)> = self
            .open
            .values()
            .map(|(since, units)| (time_left(usual, now.saturating_sub(*since)), *units))
            .collect();
        ends.sort_unstable();
        let end = ends.into_iter().find(|(_, units_held)| {
            free += units_held;
            free >= units
        });
        end.map_or(usual, |(left, _)| left).max(MIN_RETRY_AFTER)
    }
}

/// Returns for how much longer a body is likely to hold memory that it has held for `held`. One
/// that takes longer than usual is likely to take much longer.
fn time_left(usual: Duration, held: Duration) -> Duration {
    usual.checked_sub(held).unwrap_or(held / 2)
}

/// Counts the time for which a body holds shared memory, until it is dropped.
#[derive(Debug)]
struct UploadHold {
    /// Its number.
    number: u64,
    /// Where it is counted.
    holds: Arc<Mutex<HoldTimes>>,
    /// Provides the time.
    clock: MilliClock,
}

impl Drop for UploadHold {
    fn drop(&mut self) {
        let mut holds = self.holds.lock().unwrap_or_else(PoisonError::into_inner);
        holds.end(self.number, self.clock.now());
    }
}

/// Memory that is reserved for a body until this is dropped.
#[derive(Debug)]
struct UploadReservation {
    /// The memory.
    memory: BodyReservation,
    /// Counts the time; `None` if the memory is that for short bodies.
    _hold: Option<UploadHold>,
}

/// A body that is being received.
#[derive(Debug, Default)]
struct Upload {
    /// What has been received.
    bytes: BytesMut,
    /// The memory reserved for it; `None` if it is empty.
    reservation: Option<UploadReservation>,
    /// How many bytes it may have with that.
    room: usize,
}

impl Upload {
    /// Has the body use a reservation for `room` bytes instead of the one that it has.
    fn set_reservation(&mut self, reservation: UploadReservation, room: usize) {
        self.reservation = Some(reservation);
        self.room = room;
    }

    /// Returns the complete body, which holds its memory until the last reference to it is dropped.
    /// Memory that it doesn't need is returned.
    fn into_bytes(mut self) -> Bytes {
        if self.bytes.is_empty() {
            return Bytes::new();
        }
        let units = units_for(self.bytes.len());
        if let Some(reservation) = &mut self.reservation {
            reservation.memory.shrink(units);
        }
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for Upload {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Receives a whole body of at most `max_bytes`. Waits for memory for up to `patience`.
///
/// # Errors
///
/// Returns an error if the body is malformed or too long, or if there is no memory for it.
pub(crate) async fn receive_upload(
    state: &TrafficState,
    mut body: Incoming,
    max_bytes: usize,
    patience: Duration,
) -> Result<Bytes, UploadFault> {
    let received = read_upload(state, &mut body, max_bytes, patience).await;
    if matches!(received, Err((LocalReply::NoRoom, _))) {
        discard_rest(body);
    }
    received
}

/// Admits a body and reads it.
async fn read_upload(
    state: &TrafficState,
    body: &mut Incoming,
    max_bytes: usize,
    patience: Duration,
) -> Result<Bytes, UploadFault> {
    let budget = &state.request_memory;
    let mut upload = Upload::default();
    let stated = body.size_hint().exact();
    match stated.map(|length| usize::try_from(length).unwrap_or(usize::MAX)) {
        Some(0) => {}
        Some(length) if length > max_bytes => {
            return Err((LocalReply::BodyTooLarge, None));
        }
        Some(length) => {
            let reservation = budget.admit(length, patience, state).await?;
            upload.set_reservation(reservation, length);
            upload.bytes.reserve(length);
        }
        None => {
            if let Some(reservation) = budget.admit_beginning() {
                upload.set_reservation(reservation, unit_bytes(budget.short_units));
            }
        }
    }
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| (LocalReply::Malformed, None))?;
        let Some(bytes) = frame.data_ref() else { continue };
        let length = upload.bytes.len() + bytes.len();
        if length > max_bytes {
            return Err((LocalReply::BodyTooLarge, None));
        }
        if length > upload.room {
            // From here on it needs nothing more, whatever its length. What it holds until then is
            // memory for short bodies, for which no long one waits.
            let reservation = budget.admit(max_bytes, patience, state).await?;
            upload.set_reservation(reservation, max_bytes);
        }
        upload.bytes.extend_from_slice(bytes);
    }
    Ok(upload.into_bytes())
}

/// Reads the rest of a refused body in the background, and discards it.
fn discard_rest(mut body: Incoming) {
    tokio::task::spawn_local(async move {
        let read = async { while let Some(Ok(_)) = body.frame().await {} };
        let _ = tokio::time::timeout(REST_TIMEOUT, read).await;
    });
}
