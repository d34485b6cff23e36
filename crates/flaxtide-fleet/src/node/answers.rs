//! For how long the platform has been answering instances of this data centre, as they tell.

use std::time::Duration;

use flaxtide_core::InstanceName;

use super::FleetNode;
use crate::answers::{AnswerAges, AnswerSpan};

impl FleetNode {
    /// Returns for how long the platform has been answering peers of this data centre. Those of
    /// others say nothing: their path to the platform is another.
    #[must_use]
    pub fn peer_answers(&self) -> Option<AnswerSpan> {
        self.peer_answers
    }

    /// Records what a peer tells in its reply to a heartbeat that was sent at `asked`. Each instance
    /// tells only of answers to itself and of those that its reader has passed on, so that no age
    /// gets younger by being told again.
    pub fn record_peer_answers(
        &mut self,
        from: &InstanceName,
        ages: AnswerAges,
        asked: Duration,
        now: Duration,
    ) {
        let peer = self.peers.get(from);
        if peer.is_none_or(|peer| !self.in_own_data_centre(&peer.info)) {
            return;
        }
        let Some(told) = ages.span(asked, now) else { return };
        let max_gap = self.timing.max_answer_gap;
        let known = self.peer_answers;
        self.peer_answers = Some(known.map_or(told, |known| known.merge(told, max_gap)));
    }
}
