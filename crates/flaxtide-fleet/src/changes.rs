//! A queue of changed keys, numbered so that each peer can be sent what it lacks.

use std::collections::VecDeque;

/// The number of changed keys that are kept for peers that haven't acknowledged them. Beyond
/// it, the oldest are dropped.
const MAX_CHANGES: usize = 512;

/// The keys whose reports changed, numbered in order. A key that changes again moves to the
/// end.
#[derive(Debug)]
pub(crate) struct ChangeQueue<Key> {
    /// The keys with their numbers, newest last.
    entries: VecDeque<(u64, Key)>,
    /// The number of the last change; 0 before the first.
    last: u64,
}

impl<Key> Default for ChangeQueue<Key> {
    fn default() -> Self {
        Self { entries: VecDeque::new(), last: 0 }
    }
}

impl<Key: Copy + PartialEq> ChangeQueue<Key> {
    /// Records a change of a key.
    pub(crate) fn push(&mut self, key: Key) {
        self.last += 1;
        self.entries.retain(|(_, known)| *known != key);
        self.entries.push_back((self.last, key));
        if self.entries.len() > MAX_CHANGES {
            self.entries.pop_front();
        }
    }

    /// Returns the number of the last change.
    pub(crate) fn last(&self) -> u64 {
        self.last
    }

    /// Returns the keys that changed after a change number.
    pub(crate) fn after(&self, acknowledged: u64) -> impl Iterator<Item = Key> {
        let later = self.entries.iter().filter(move |(number, _)| *number > acknowledged);
        later.map(|(_, key)| *key)
    }
}
