//! Requests as the router sees them.

use std::sync::Arc;
use std::time::Duration;

use flaxtide_core::{ClassId, OrganisationId, PoolId, RequestId, ServerId, TierRank};

use super::options::RouteOptions;

/// How many prompt tokens take an engine as long to prefill as one output token takes to
/// generate.
const PROMPT_TOKENS_PER_OUTPUT_TOKEN: f64 = 10.0;

/// A key computed from the version of a server's software. Versions have no order.
pub type VersionKey = u32;

/// A part of a prompt that other requests may have in common.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// A hash that identifies the content.
    pub key: u64,
    /// The length of the part in tokens.
    pub tokens: u32,
}

/// A key computed from the name of a region.
pub type RegionKey = u32;

/// The 32-bit form of [`PromptPart::key`], which is kept in memory and sent to other
/// instances.
pub type PartKey = u32;

impl PromptPart {
    /// Returns the key folded to 32 bits.
    #[must_use]
    pub fn short_key(&self) -> PartKey {
        (self.key ^ (self.key >> 32)) as PartKey
    }
}

/// The size of a prompt, its parts, and the maximum length of the response.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PromptShape {
    /// The length of the whole prompt in tokens; 0 for a call that isn't for a model.
    pub tokens: u32,
    /// The maximum number of output tokens.
    pub max_output_tokens: u32,
    /// The parts in order. The last one is specific to the request or its session, the
    /// others may be shared with other requests.
    pub parts: Vec<PromptPart>,
}

impl PromptShape {
    /// Returns the work of the request in units of one output token. Fair queueing
    /// between organisations uses it.
    #[must_use]
    pub fn work(&self) -> f64 {
        f64::from(self.tokens) / PROMPT_TOKENS_PER_OUTPUT_TOKEN
            + f64::from(self.max_output_tokens)
            + 1.0
    }

    /// Returns whether prefilling the prompt noticeably delays other requests on the same
    /// engine.
    pub(crate) fn is_long(&self, options: &RouteOptions) -> bool {
        self.tokens > options.long_prompt
    }

    /// Returns the parts that other requests may have too: all but the last one.
    pub fn shared_parts(&self) -> impl Iterator<Item = &PromptPart> {
        let shared = self.parts.split_last().map(|(_, shared)| shared);
        shared.unwrap_or_default().iter()
    }

    /// Returns the total length of the shared parts in tokens.
    #[must_use]
    pub fn shared_tokens(&self) -> u32 {
        self.shared_parts().map(|part| part.tokens).sum()
    }

    /// Returns how many tokens the prompt has in common with another from its beginning.
    pub(crate) fn common_tokens(&self, other: &Self) -> u32 {
        let pairs = self.parts.iter().zip(&other.parts);
        let common = pairs.take_while(|(part, other)| part.key == other.key);
        common.map(|(part, _)| part.tokens).sum()
    }

    /// Returns the last shared part. An engine that has cached it has also cached all
    /// parts before it.
    #[must_use]
    pub fn last_shared_part(&self) -> Option<&PromptPart> {
        let shared = self.parts.len().checked_sub(2)?;
        self.parts.get(shared)
    }
}

/// A request as it is handed to the router. Times are on the router's clock.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteCall {
    /// The identifier of the request.
    pub request: RequestId,
    /// The pool that serves the request.
    pub pool: PoolId,
    /// The class of the request.
    pub class: ClassId,
    /// The organisation that the request belongs to.
    pub organisation: OrganisationId,
    /// The tier of the request; 0 is the highest and is served first.
    pub tier: TierRank,
    /// The urgency level of the class; 0 is the most urgent. Engines prefill more urgent
    /// prompts first.
    pub level: u8,
    /// The size and the parts of the prompt.
    pub prompt: PromptShape,
    /// The time within which the response, or its first token if it is streamed, counts
    /// as on time.
    pub target: Duration,
    /// When the request is refused if it is still waiting.
    pub give_up: Duration,
    /// When the caller stops waiting.
    pub deadline: Duration,
    /// Whether the request is idempotent, so that it may run more than once.
    pub repeatable: bool,
    /// The maximum number of servers that the request may run on.
    pub run_limit: u32,
    /// The regions whose servers may get the request, or `None` for all.
    pub regions: Option<Arc<[RegionKey]>>,
    /// The only version of a server's software that may get the request, because it
    /// continues a stream; `None` for any.
    pub version: Option<VersionKey>,
    /// Whether the request begins a stream that may be continued elsewhere.
    pub begins_stream: bool,
}

/// A fault of a server, as seen by one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RouteFault {
    /// No connection could be opened, so the request hasn't run.
    Unreachable,
    /// The server asked for fewer requests before this one was written, so it hasn't run.
    Withheld,
    /// The server refused the request for lack of capacity and stated that it hasn't run.
    Full,
    /// The peer that the request was forwarded to can't serve it, so it hasn't run.
    Declined,
    /// A different server now has the address, so the request hasn't run.
    Replaced,
    /// The connection broke, or the response was incomplete or malformed.
    Broken,
    /// The server responded with an error of its own.
    Failed,
    /// The server sent nothing for too long.
    Silent,
}

impl RouteFault {
    /// Returns whether the request reached the server, in which case a retry counts
    /// against the retry budget. A peer that declined the request may have sent it to
    /// servers before, which [`RouteCore::record_peer_sends`](super::RouteCore) records.
    #[must_use]
    pub fn reached_server(self) -> bool {
        !matches!(self, Self::Unreachable | Self::Withheld | Self::Declined)
    }

    /// Returns whether the fault guarantees that the request hasn't run.
    #[must_use]
    pub fn not_run(self) -> bool {
        matches!(
            self,
            Self::Unreachable
                | Self::Withheld
                | Self::Declined
                | Self::Full
                | Self::Replaced
        )
    }
}

/// The state of a request that is waiting or running.
#[derive(Debug, Clone)]
pub(crate) struct RoutedCall {
    /// The request as it arrived.
    pub(crate) details: RouteCall,
    /// Whether a peer has forwarded the request to this instance.
    pub(crate) forwarded: bool,
    /// Whether the request is waiting or running.
    pub(crate) phase: CallPhase,
    /// The version of the current server when the request was sent to it.
    pub(crate) server_version: Option<VersionKey>,
    /// The servers that already failed this request.
    pub(crate) excluded: Vec<ServerId>,
    /// How many times the request has been sent, here and by the peers that declined it.
    pub(crate) sends: u32,
    /// How many servers the current peer has sent the request to, if it declined it.
    pub(crate) peer_sends: u32,
    /// The time since the last dispatch during which this instance was stalled.
    pub(crate) stalled_for: Duration,
    /// When data last arrived from the current server, or `None` if none has.
    pub(crate) last_data_at: Option<Duration>,
    /// How long the current server may be silent before the request is retried elsewhere.
    pub(crate) patience: Duration,
    /// Until when the silence of the current server isn't held against it. In the past if
    /// the sender itself waits for as long.
    pub(crate) patient_until: Duration,
    /// From when on the current server is compared with others.
    pub(crate) compares_at: Duration,
    /// Whether the retry budget has already been charged for the next retry.
    pub(crate) retry_granted: bool,
    /// Whether the request has been counted against the rate limit of its server.
    pub(crate) rate_counted: bool,
    /// The number of servers that may have run the request, without the current one.
    pub(crate) runs: u32,
    /// An estimate of the prompt tokens that the current server has to prefill.
    pub(crate) uncached: u32,
    /// The prompt tokens that the server prefills before the first output token,
    /// including the request's own.
    pub(crate) tokens_ahead: f64,
}

/// Whether a request is waiting or running.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum CallPhase {
    /// The request is waiting for a server.
    Waiting,
    /// The request was sent to a server.
    Running {
        /// The server that has the request.
        server: ServerId,
        /// When the request was sent.
        since: Duration,
        /// When the first response data arrived, or `None` if none has.
        first_data_at: Option<Duration>,
    },
}

/// The progress of a request at its current server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallProgress {
    /// When the request was sent.
    pub sent: Duration,
    /// Whether any response data has arrived.
    pub begun: bool,
}

impl RoutedCall {
    /// Creates the state of a request that is waiting.
    pub(crate) fn new(details: RouteCall) -> Self {
        Self {
            details,
            forwarded: false,
            phase: CallPhase::Waiting,
            server_version: None,
            excluded: vec![],
            sends: 0,
            peer_sends: 0,
            stalled_for: Duration::ZERO,
            last_data_at: None,
            patience: Duration::ZERO,
            patient_until: Duration::ZERO,
            compares_at: Duration::ZERO,
            retry_granted: false,
            rate_counted: false,
            runs: 0,
            uncached: 0,
            tokens_ahead: 0.0,
        }
    }

    /// Records that response data arrived. Returns whether it was the first.
    pub(crate) fn record_data(&mut self, now: Duration) -> bool {
        self.last_data_at = Some(now);
        match &mut self.phase {
            CallPhase::Running { first_data_at: first_data_at @ None, .. } => {
                *first_data_at = Some(now);
                true
            }
            _ => false,
        }
    }

    /// Returns the progress at the current server, or `None` while the request is
    /// waiting.
    pub(crate) fn progress(&self) -> Option<CallProgress> {
        match self.phase {
            CallPhase::Running { since, first_data_at, .. } => {
                Some(CallProgress { sent: since, begun: first_data_at.is_some() })
            }
            CallPhase::Waiting => None,
        }
    }

    /// Returns whether any response data has arrived.
    pub(crate) fn has_data(&self) -> bool {
        matches!(self.phase, CallPhase::Running { first_data_at: Some(_), .. })
    }
}
