//! What the router knows of a request.

use std::time::Duration;

use flaxtide_core::{ClassId, OrganisationId, PoolId, RequestId, ServerId, TierRank};

use super::options::RouteOptions;

/// How many prompt tokens cost an engine as much time as one token of the answer.
const PROMPT_TOKENS_PER_TOKEN: f64 = 10.0;

/// A part of a prompt that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// What identifies its content.
    pub key: u64,
    /// How many tokens it has.
    pub tokens: u32,
}

/// Stands for the content of a prompt part between instances and in the router's memory.
pub type PartKey = u32;

impl PromptPart {
    /// Returns what stands for its content.
    #[must_use]
    pub fn short_key(&self) -> PartKey {
        (self.key ^ (self.key >> 32)) as PartKey
    }
}

/// The prompt of a request, and how long its answer may be.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PromptShape {
    /// Tokens of the whole prompt; 0 for a call that isn't for a model.
    pub tokens: u32,
    /// Tokens of the answer, at most.
    pub answer: u32,
    /// The parts in order. The last belongs to the request or its session.
    pub parts: Vec<PromptPart>,
}

impl PromptShape {
    /// Returns the work in tokens of an answer, for the order of organisations.
    #[must_use]
    pub fn work(&self) -> f64 {
        f64::from(self.tokens) / PROMPT_TOKENS_PER_TOKEN + f64::from(self.answer) + 1.0
    }

    /// Tells whether it is long enough to delay what the same engine makes beside it.
    pub(crate) fn is_long(&self, options: &RouteOptions) -> bool {
        self.tokens > options.long_prompt
    }

    /// Returns the tokens of the parts that other requests may share.
    #[must_use]
    pub fn shared_tokens(&self) -> u32 {
        let Some((_, shared)) = self.parts.split_last() else { return 0 };
        shared.iter().map(|part| part.tokens).sum()
    }

    /// Returns the last part that other requests may share; it stands for all before it.
    #[must_use]
    pub fn shared_part(&self) -> Option<&PromptPart> {
        let shared = self.parts.len().checked_sub(2)?;
        self.parts.get(shared)
    }
}

/// A request, as the router needs it. Times are on the router's clock.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteCall {
    /// The request.
    pub request: RequestId,
    /// The pool that serves it.
    pub pool: PoolId,
    /// Its class.
    pub class: ClassId,
    /// Its organisation.
    pub organisation: OrganisationId,
    /// Its tier; 0 is the highest.
    pub tier: TierRank,
    /// How urgent its class is, from 0: engines read more urgent prompts first.
    pub level: u8,
    /// Its prompt.
    pub prompt: PromptShape,
    /// Within what time its answer, or the answer's first token, is on time.
    pub target: Duration,
    /// When it is refused if it still waits.
    pub give_up: Duration,
    /// When its caller stops waiting.
    pub deadline: Duration,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// On how many servers it may run.
    pub run_limit: u32,
}

/// What went wrong at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RouteFault {
    /// No connection could be opened: it hasn't run.
    Unreachable,
    /// The server asked for less before the request was written: it hasn't run.
    Withheld,
    /// The server had no room and said that it hasn't run.
    Full,
    /// Another server has the address now: it hasn't run.
    Replaced,
    /// The connection broke, or the answer wasn't a whole and right one.
    Broken,
    /// The server answered with an error of its own.
    Failed,
    /// Nothing came for too long.
    Silent,
}

impl RouteFault {
    /// Tells whether the request has reached the server, as the retry budget counts it.
    pub(crate) fn arrived(self) -> bool {
        !matches!(self, Self::Unreachable | Self::Withheld)
    }

    /// Tells whether the fault promises that the request hasn't run.
    #[must_use]
    pub fn not_run(self) -> bool {
        matches!(self, Self::Unreachable | Self::Withheld | Self::Full | Self::Replaced)
    }
}

/// A request that waits or runs.
#[derive(Debug, Clone)]
pub(crate) struct RoutedCall {
    /// What came.
    pub(crate) details: RouteCall,
    /// Where it is.
    pub(crate) phase: CallPhase,
    /// The servers that have failed it.
    pub(crate) excluded: Vec<ServerId>,
    /// How often it was sent.
    pub(crate) sends: u32,
    /// For how long this instance has stood still since it was sent.
    pub(crate) stalled_for: Duration,
    /// Whether its next try is paid for.
    pub(crate) retry_granted: bool,
    /// Whether its present server's rate, if it states one, has room for it.
    pub(crate) rate_counted: bool,
    /// On how many servers it may have run, the present one not counted.
    pub(crate) runs: u32,
    /// How many prompt tokens the present server must read, about.
    pub(crate) uncached: u32,
    /// How many prompt tokens are read there before its first token, its own included.
    pub(crate) tokens_ahead: f64,
}

/// Where a request is.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum CallPhase {
    /// It waits for a server.
    Waiting,
    /// It was sent to a server.
    Running {
        /// The server.
        server: ServerId,
        /// When it was sent.
        since: Duration,
        /// When the first of the answer came.
        answered_at: Option<Duration>,
    },
}

/// How far a request has come at the server where it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallProgress {
    /// When it was sent.
    pub sent: Duration,
    /// Whether anything of the answer has come.
    pub begun: bool,
}

impl RoutedCall {
    /// Starts with a request that waits.
    pub(crate) fn new(details: RouteCall) -> Self {
        Self {
            details,
            phase: CallPhase::Waiting,
            excluded: vec![],
            sends: 0,
            stalled_for: Duration::ZERO,
            retry_granted: false,
            rate_counted: false,
            runs: 0,
            uncached: 0,
            tokens_ahead: 0.0,
        }
    }

    /// Takes in that something came. Returns whether it was the first.
    pub(crate) fn record_data(&mut self, now: Duration) -> bool {
        match &mut self.phase {
            CallPhase::Running { answered_at: answered_at @ None, .. } => {
                *answered_at = Some(now);
                true
            }
            _ => false,
        }
    }

    /// Returns how far it has come at its server; nothing while it waits.
    pub(crate) fn progress(&self) -> Option<CallProgress> {
        match self.phase {
            CallPhase::Running { since, answered_at, .. } => {
                Some(CallProgress { sent: since, begun: answered_at.is_some() })
            }
            CallPhase::Waiting => None,
        }
    }

    /// Tells whether anything of the answer has come.
    pub(crate) fn begun(&self) -> bool {
        matches!(self.phase, CallPhase::Running { answered_at: Some(_), .. })
    }
}
