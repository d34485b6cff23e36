//! How an instance of the lab of versions finds out which version began a stream.

use flaxtide_policy::{
    AskedPeers, StreamKey, VersionAnswer, VersionDecision, VersionPoll, VersionView,
};

use super::table::clock_ms;
use super::{CURRENT_WITHIN, SERVICE, VersionLab};

impl VersionLab<'_> {
    /// Returns what an instance answers that is asked for the version of a stream. It names no
    /// version before it has read the record.
    fn answer(&self, index: usize, stream: StreamKey) -> VersionAnswer {
        let instance = &self.instances[index];
        let is_current = self.now <= instance.covered_until + CURRENT_WITHIN;
        let answer = instance.registry.answer(SERVICE, stream, is_current, self.now);
        if self.pattern.table && !instance.keeper.is_restored {
            return VersionAnswer { view: VersionView::Unlisted, ..answer };
        }
        answer
    }

    /// Returns whether an instance gets an answer of another.
    fn answers(&self, index: usize, other: usize) -> bool {
        index == other || self.reaches(index, other)
    }

    /// Finds out at which version an instance continues a stream.
    pub(super) fn decide(&self, index: usize, stream: StreamKey) -> VersionDecision {
        let others = (0..self.instances.len()).filter(|other| *other != index);
        let near = others.clone().filter(|other| self.place(*other) == self.place(index));
        // Peers that are down aren't expected to answer once they were silent for a while.
        let near = near.filter(|other| self.is_up(*other)).count();
        let asked = AskedPeers { all: self.instances.len() - 1, near };
        let window = self.instances[index].registry.window();
        let mut poll = VersionPoll::new(self.answer(index, stream), window, asked);
        for other in others.filter(|other| self.reaches(index, *other)) {
            poll.add(self.answer(other, stream), self.place(other) == self.place(index));
        }
        match poll.finish() {
            VersionDecision::Unknown => self.decide_by_table(index, stream),
            decision => decision,
        }
    }

    /// Looks for a stream in the kept notes of instances that didn't answer, and then for the only
    /// version that has begun streams.
    fn decide_by_table(&self, index: usize, stream: StreamKey) -> VersionDecision {
        if !self.pattern.table || !self.reaches_table(index) {
            return VersionDecision::Unknown;
        }
        let mut silent =
            (0..self.instances.len()).filter(|other| !self.answers(index, *other));
        let noted =
            silent.find_map(|other| self.store.table.noted(other, stream, self.now));
        let only = || {
            let life = self.instances[index].registry.window();
            let record = &self.store.table.record;
            record.only_begun(self.store.era, clock_ms(self.now), life)
        };
        let version = noted.or_else(only);
        version.map_or(VersionDecision::Unknown, VersionDecision::Bound)
    }
}
