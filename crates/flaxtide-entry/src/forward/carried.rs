//! The forwarded requests that this instance has taken.

use std::cell::Cell;
use std::rc::Rc;

use prometheus::IntGauge;

/// The most forwarded requests that an instance handles at once: about as many as its own
/// callers have open in a burst. Peers pass further ones to other instances.
const MAX_CARRIED_CALLS: u32 = 256;

/// Counts the forwarded requests in progress.
#[derive(Debug)]
pub(crate) struct CarriedCalls {
    /// The number of requests.
    open: Rc<Cell<u32>>,
    /// Exports the number.
    gauge: IntGauge,
}

/// A forwarded request in progress, counted until it is dropped.
#[derive(Debug)]
pub(crate) struct CarriedCall {
    /// The number of requests.
    open: Rc<Cell<u32>>,
    /// Exports the number.
    gauge: IntGauge,
}

impl CarriedCalls {
    /// Creates a count that starts at zero.
    pub(crate) fn new(gauge: IntGauge) -> Self {
        Self { open: Rc::default(), gauge }
    }

    /// Returns whether another request can be taken.
    pub(crate) fn has_room(&self) -> bool {
        self.open.get() < MAX_CARRIED_CALLS
    }

    /// Takes a request; returns `None` if there are too many.
    pub(crate) fn take(&self) -> Option<CarriedCall> {
        if !self.has_room() {
            return None;
        }
        self.open.set(self.open.get() + 1);
        self.gauge.inc();
        Some(CarriedCall { open: self.open.clone(), gauge: self.gauge.clone() })
    }
}

impl Drop for CarriedCall {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
        self.gauge.dec();
    }
}
