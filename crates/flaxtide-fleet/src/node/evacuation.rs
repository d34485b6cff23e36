//! Exchange of evacuations of data centres. They are few, so each notice has all of them;
//! a change is sent with the next pushback notice, which is due at once, and an instance
//! that starts gets them with the reply to its first crash notice.

use flaxtide_policy::EvacuationRecord;

use super::{FleetNode, NodeEvent};

impl FleetNode {
    /// Records the evacuations that this instance knows, and queues those for its peers that
    /// it hasn't from them.
    pub fn record_evacuations(&mut self, records: &[EvacuationRecord]) {
        self.apply_evacuations(records, true);
    }

    /// Applies the evacuations that a peer knows, and returns an event with the new ones.
    /// `forwards` tells whether to send these on to the group.
    pub(super) fn apply_evacuations(
        &mut self,
        records: &[EvacuationRecord],
        forwards: bool,
    ) -> Vec<NodeEvent> {
        let new = records.iter().filter(|record| self.evacuations.apply(record));
        let new: Vec<EvacuationRecord> = new.copied().collect();
        if new.is_empty() {
            return vec![];
        }
        if forwards {
            self.pushback.queue_evacuations();
        }
        vec![NodeEvent::Evacuations(new)]
    }
}
