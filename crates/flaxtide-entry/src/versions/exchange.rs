//! What the fleet thread exchanges with peers: notes, questions and answers.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use flaxtide_fleet::{PeerInfo, PendingQuestion, VersionExchange, VersionQuestion};
use flaxtide_policy::{VersionAnswer, VersionDecision, VersionNote, VersionView};
use tokio::sync::Notify;

use super::{MAX_QUEUED, PendingLookUp, StreamVersions};
use crate::contract::NoteOwner;

impl VersionExchange for StreamVersions {
    fn receive(&self, notes: &[VersionNote]) {
        let now = self.clock.now();
        self.lock().registry.note_told(notes, now);
    }

    fn answer(&self, questions: &[VersionQuestion]) -> Vec<VersionAnswer> {
        let now = self.clock.now();
        let state = self.lock();
        let is_loading = self.is_kept.load(Ordering::Relaxed)
            && !self.is_loaded.load(Ordering::Relaxed);
        let answer = |question: &VersionQuestion| {
            let VersionQuestion { service, stream } = *question;
            let mut answer = state.answer(service, stream, self.current_within, now);
            if is_loading && answer.noted.is_none() {
                // The peer looks in the table for streams that this instance doesn't know yet.
                answer.view = VersionView::Unlisted;
            }
            answer
        };
        questions.iter().map(answer).collect()
    }

    fn look_up(
        &self,
        question: VersionQuestion,
        peers: &[PeerInfo],
        decide: Box<dyn FnOnce(VersionDecision) + Send>,
    ) {
        let mut state = self.lock();
        let is_full = state.look_ups.len() >= MAX_QUEUED;
        if is_full || !self.is_kept.load(Ordering::Relaxed) {
            drop(state);
            decide(VersionDecision::Unknown);
            return;
        }
        let owners = peers.iter().map(|peer| NoteOwner {
            data_centre: peer.data_centre.clone(),
            instance: peer.name.clone(),
        });
        let owners = owners.collect();
        state.look_ups.push(PendingLookUp { question, owners, decide });
        drop(state);
        self.wake_table();
    }

    fn is_telling(&self) -> bool {
        let now = self.clock.now();
        self.lock().registry.has_several(now)
    }

    fn take_notes(&self) -> Vec<VersionNote> {
        std::mem::take(&mut self.lock().untold)
    }

    fn all_notes(&self) -> Vec<VersionNote> {
        let now = self.clock.now();
        self.lock().registry.own_notes(now)
    }

    fn take_questions(&self) -> Vec<PendingQuestion> {
        std::mem::take(&mut self.lock().questions)
    }

    fn question_notifier(&self) -> Arc<Notify> {
        self.asked.clone()
    }
}
