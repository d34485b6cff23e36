//! The order of a stream's events, proved by their ids. The contract gives events increasing
//! ids; they may count by one, count otherwise, or be missing.

use derive_more::Display;

/// Why an event can't follow the events before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum OrderFault {
    /// Its id isn't greater than the last one.
    #[display("event {id} repeats or precedes event {last}")]
    Repeated {
        /// The last id before it.
        last: u64,
        /// Its id.
        id: u64,
    },
    /// The ids have counted by one, or by the same step before another server, and its id leaves
    /// some out.
    #[display("events between {last} and {id} are missing")]
    Missing {
        /// The last id before it.
        last: u64,
        /// Its id.
        id: u64,
    },
    /// What a server adds to a stream with ids has none for too long, or may be all of the stream
    /// once more.
    #[display("no id tells where the events belong that follow event {last}")]
    Unplaced {
        /// The last id before it.
        last: u64,
    },
}

impl OrderFault {
    /// Returns the kind of fault, as in metrics.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::Repeated { .. } => "repeated",
            Self::Missing { .. } => "missing",
            Self::Unplaced { .. } => "unplaced",
        }
    }
}

/// How the ids of a stream count.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum EventStep {
    /// Not known, as fewer than two ids are.
    #[default]
    Unknown,
    /// By the same step so far.
    Regular(u64),
    /// By several steps.
    Other,
}

/// The ids of the events of a stream that were passed on.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct EventOrder {
    /// The last numeric id.
    last: Option<u64>,
    /// Whether an event without a numeric id has followed it.
    has_unnumbered: bool,
    /// The number of events.
    count: usize,
    /// How the ids count.
    step: EventStep,
    /// The ids before and after the gap at which the part before was broken off.
    gap: Option<(u64, u64)>,
    /// Whether another server has confirmed a gap.
    has_confirmed_gap: bool,
}

impl EventOrder {
    /// Creates the order of a stream of which the caller has the events up to `last`.
    pub(crate) fn after(last: Option<u64>) -> Self {
        Self { last, ..Self::default() }
    }

    /// Returns the last numeric id.
    pub(crate) fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns whether the last id tells a server after which event to continue.
    pub(crate) fn is_placed(&self) -> bool {
        !self.has_unnumbered
    }

    /// Has ids leave out others, as those of other streams of the service do.
    pub(crate) fn accept_gaps(&mut self) {
        self.step = EventStep::Other;
    }

    /// Returns whether two servers have left out the same ids.
    pub(crate) fn has_confirmed_gap(&self) -> bool {
        self.has_confirmed_gap
    }

    /// Returns the number of events.
    pub(crate) fn count(&self) -> usize {
        self.count
    }

    /// Records an event without a numeric id.
    pub(crate) fn record_unnumbered(&mut self) {
        self.has_unnumbered = true;
        self.count += 1;
    }

    /// Records the id of the next event. `begins_part` tells whether it is the first id that
    /// the current server sends.
    ///
    /// # Errors
    ///
    /// Returns an [`OrderFault`] if the event can't follow the ones before. A gap is a fault once:
    /// if another server goes on behind the same gap, the ids don't count by one.
    pub(crate) fn record(
        &mut self,
        id: u64,
        begins_part: bool,
    ) -> Result<(), OrderFault> {
        let step = match self.last {
            Some(last) if id <= last => return Err(OrderFault::Repeated { last, id }),
            Some(last) => self.next_step(last, id, begins_part)?,
            None => self.step,
        };
        *self = Self {
            last: Some(id),
            has_unnumbered: false,
            count: self.count + 1,
            step,
            gap: None,
            has_confirmed_gap: self.has_confirmed_gap,
        };
        Ok(())
    }

    /// Returns how the ids count with the next one, which is greater than the last one.
    fn next_step(
        &mut self,
        last: u64,
        id: u64,
        begins_part: bool,
    ) -> Result<EventStep, OrderFault> {
        let distance = id - last;
        let leaves_out = match self.step {
            EventStep::Unknown if begins_part => distance > 1,
            EventStep::Unknown => return Ok(EventStep::Regular(distance)),
            // Only ids that count by one are known to do so within what one server sends.
            EventStep::Regular(step) => distance > step && (begins_part || step == 1),
            EventStep::Other => false,
        };
        if leaves_out && !(begins_part && self.gap == Some((last, id))) {
            self.gap = Some((last, id));
            return Err(OrderFault::Missing { last, id });
        }
        self.has_confirmed_gap |= leaves_out;
        Ok(match self.step {
            EventStep::Unknown => EventStep::Regular(distance),
            EventStep::Regular(step) if step == distance => self.step,
            _ => EventStep::Other,
        })
    }
}
