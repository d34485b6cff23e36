//! Shared parts of prompts that servers have read, as peers are told.

use std::collections::VecDeque;
use std::time::Duration;

use flaxtide_core::ServerId;

use super::call::{PartKey, RouteCall};
use super::options::RouteOptions;

/// The most notes that are kept: more than one instance sends long prompts in a period.
const MOST_NOTES: usize = 128;

/// A server has read a shared part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefillRecord {
    /// The server.
    pub server: ServerId,
    /// The last part that other requests share; it stands for all before it.
    pub part: PartKey,
    /// How long ago.
    pub age: Duration,
}

/// What servers have read for this instance, the newest last.
#[derive(Debug, Default)]
pub(crate) struct ReadLog {
    /// The server, the part, and when.
    notes: VecDeque<(ServerId, PartKey, Duration)>,
}

impl ReadLog {
    /// Records that a server has read a prompt, if it is worth telling.
    pub(crate) fn add(
        &mut self,
        call: &RouteCall,
        server: ServerId,
        options: &RouteOptions,
        now: Duration,
    ) {
        let Some(part) = call.prompt.shared_part() else { return };
        if call.prompt.shared_tokens() < options.least_fetch {
            return;
        }
        if self.notes.len() >= MOST_NOTES {
            self.notes.pop_front();
        }
        self.notes.push_back((server, part.short_key(), now));
    }

    /// Returns what is recent, and forgets the rest.
    pub(crate) fn recent(
        &mut self,
        options: &RouteOptions,
        now: Duration,
    ) -> Vec<PrefillRecord> {
        self.notes.retain(|(_, _, at)| now < *at + options.read_life);
        let notes = self.notes.iter().map(|(server, part, at)| PrefillRecord {
            server: *server,
            part: *part,
            age: now.saturating_sub(*at),
        });
        notes.collect()
    }
}
