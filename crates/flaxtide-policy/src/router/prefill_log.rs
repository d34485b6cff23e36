//! A log of the shared prompt parts that servers prefilled, which is sent to peers.

use std::collections::VecDeque;
use std::time::Duration;

use flaxtide_core::ServerId;

use super::call::{PartKey, RouteCall};
use super::options::RouteOptions;

/// The maximum number of records; one instance sends fewer long prompts than this in the
/// time for which records are kept.
const MAX_RECORDS: usize = 128;

/// Records that a server prefilled a shared prompt part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefillRecord {
    /// The server that prefilled the part.
    pub server: ServerId,
    /// The last shared part of the prompt. It implies all parts before it.
    pub part: PartKey,
    /// The time since the prefill ended.
    pub age: Duration,
}

/// The shared parts that servers prefilled for this instance, the newest last.
#[derive(Debug, Default)]
pub(crate) struct PrefillLog {
    /// The server, the part, and the time of each prefill.
    records: VecDeque<(ServerId, PartKey, Duration)>,
}

impl PrefillLog {
    /// Records that a server has prefilled a prompt, unless its shared parts are too
    /// short to be worth fetching.
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
        if self.records.len() >= MAX_RECORDS {
            self.records.pop_front();
        }
        self.records.push_back((server, part.short_key(), now));
    }

    /// Returns the recent records and drops the others.
    pub(crate) fn recent(
        &mut self,
        options: &RouteOptions,
        now: Duration,
    ) -> Vec<PrefillRecord> {
        self.records.retain(|(_, _, at)| now < *at + options.read_life);
        let records = self.records.iter().map(|(server, part, at)| PrefillRecord {
            server: *server,
            part: *part,
            age: now.saturating_sub(*at),
        });
        records.collect()
    }
}
