//! What an instance has to tell its peers, numbered in order.

use std::collections::VecDeque;

/// The most keys whose news are kept for peers that haven't been told.
const MAX_CHANGES: usize = 512;

/// The keys of which an instance has news for its peers, numbered in order.
#[derive(Debug)]
pub(crate) struct ChangeQueue<Key> {
    /// The keys, the newest last.
    entries: VecDeque<(u64, Key)>,
    /// The number of the last news.
    last: u64,
}

impl<Key> Default for ChangeQueue<Key> {
    fn default() -> Self {
        Self { entries: VecDeque::new(), last: 0 }
    }
}

impl<Key: Copy + PartialEq> ChangeQueue<Key> {
    /// Adds news of a key.
    pub(crate) fn push(&mut self, key: Key) {
        self.last += 1;
        self.entries.retain(|(_, known)| *known != key);
        self.entries.push_back((self.last, key));
        if self.entries.len() > MAX_CHANGES {
            self.entries.pop_front();
        }
    }

    /// Returns the number of the last news.
    pub(crate) fn last(&self) -> u64 {
        self.last
    }

    /// Returns the keys with news after a number.
    pub(crate) fn after(&self, told: u64) -> impl Iterator<Item = Key> {
        let later = self.entries.iter().filter(move |(number, _)| *number > told);
        later.map(|(_, key)| *key)
    }
}
