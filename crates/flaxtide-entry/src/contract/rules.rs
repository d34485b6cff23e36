//! The rules in force, and the list of servers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use flaxtide_core::{
    DataCentreName, OrganisationId, ServerName, SettingsVersion, TierRank,
};
use flaxtide_policy::ScalingRules;

/// Everything that operators have set, of one version.
#[derive(Debug, Clone, PartialEq)]
pub struct EntryRules {
    /// The version. Higher ones are newer.
    pub version: SettingsVersion,
    /// The request classes, each with the paths that select it.
    pub classes: Vec<RequestClass>,
    /// The services behind them.
    pub services: Vec<BackendService>,
    /// The organisations; empty where requests carry no keys.
    pub organisations: Vec<OrganisationRules>,
    /// Which organisation holds a key.
    pub keys: HashMap<String, OrganisationId>,
    /// What callers may send.
    pub limits: CallerLimits,
}

/// A request class: what selects it, and what it may expect.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestClass {
    /// Its name.
    pub name: String,
    /// The host that its requests name, in lowercase.
    pub host: String,
    /// How their paths begin.
    pub prefix: String,
    /// What may be repeated.
    pub kind: CallKind,
    /// The longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Within what time an answer, or a stream's first event, is on time.
    pub latency_target: Duration,
    /// Its tier, unless the organisation has one.
    pub tier: TierRank,
    /// The services that serve it, with the weights of their parts.
    pub targets: Vec<TargetService>,
    /// On how many servers one request may run.
    pub attempt_limit: u32,
    /// Whether its requests need no key.
    pub anonymous: bool,
    /// The longest pause between two events of a stream that is on time.
    pub pause_target: Option<Duration>,
}

/// A service that serves a part of a class.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetService {
    /// The service's name.
    pub service: String,
    /// The weight of its part.
    pub weight: u32,
}

/// What may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// A request that may run more than once.
    Idempotent,
    /// A request that may run once at most.
    NonIdempotent,
    /// A stream of events.
    Stream {
        /// Whether another server may go on with it after its last event.
        resumable: bool,
    },
}

impl CallKind {
    /// Tells whether a request may run more than once.
    #[must_use]
    pub fn repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Tells whether the answer is a stream of events.
    #[must_use]
    pub fn streams(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service: servers that are alike.
#[derive(Debug, Clone, PartialEq)]
pub struct BackendService {
    /// Its name.
    pub name: String,
    /// The most connections that one of its servers takes, from all callers together.
    pub connection_limit: Option<u32>,
    /// What its engines can do; nothing for a plain service.
    pub engine: Option<ServiceEngine>,
    /// Within which bounds its servers may be ordered; nothing if they can't be.
    pub scaling: Option<ScalingRules>,
}

/// What the engines of a service can do.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceEngine {
    /// How many requests one works on at once.
    pub slots: u32,
    /// Tokens of prompts and answers that fit its memory.
    pub memory_tokens: u32,
    /// How many tokens one takes over from another's memory in a millisecond; none if
    /// they can't.
    pub fetch_tokens_per_ms: Option<f64>,
}

/// An organisation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrganisationRules {
    /// Its name, which servers are told.
    pub name: String,
    /// Its tier, which goes before that of the class.
    pub tier: Option<TierRank>,
}

/// What callers may send, and how slowly.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The most bytes of a request's head.
    pub header_bytes: usize,
    /// The most bytes of a request's body.
    pub body_bytes: usize,
    /// How long a head may take to come.
    pub header_timeout: Duration,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// The limits before any rules are known: those of a usual web server.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A server in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerEntry {
    /// What names it. A server may start again under the same name.
    pub name: ServerName,
    /// The service that it belongs to.
    pub service: String,
    /// Where it is.
    pub address: SocketAddr,
    /// The data centre in which it stands.
    pub data_centre: DataCentreName,
    /// How many requests it works on at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether the platform may take it away, at a notice.
    pub spot: bool,
    /// When it started, in milliseconds, if it says so. Another time under the same name is
    /// another start: nothing is left of what it had in memory.
    pub started: Option<u64>,
}

impl ServerEntry {
    /// Returns what tells this start of the server from others. All that is believed of a
    /// server, and what peers say of it, belongs to one start.
    ///
    /// ```
    /// use flaxtide_entry::ServerEntry;
    /// let first = ServerEntry {
    ///     name: "engine-1".into(),
    ///     service: "engines".into(),
    ///     address: ([10, 0, 0, 1], 8000).into(),
    ///     data_centre: "north".into(),
    ///     slots: 24,
    ///     leaving: false,
    ///     spot: false,
    ///     started: Some(1000),
    /// };
    /// let second = ServerEntry { started: Some(900), ..first.clone() };
    /// assert_ne!(first.incarnation(), second.incarnation());
    /// ```
    #[must_use]
    pub fn incarnation(&self) -> String {
        match self.started {
            Some(started) => format!("{}@{started}", self.name),
            None => self.name.clone(),
        }
    }
}
