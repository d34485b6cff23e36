//! The rules in force and the entries of the server list.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use flaxtide_core::{
    DataCentreName, OrganisationId, RegionName, ServerName, SettingsVersion, TierRank,
};
use flaxtide_policy::{RequestRate, ScalingRules};

/// All rules that operators have set, of one version.
#[derive(Debug, Clone, PartialEq)]
pub struct EntryRules {
    /// The version of the rules. Newer ones are higher.
    pub version: SettingsVersion,
    /// The request classes, each with the host and path prefix that select it.
    pub classes: Vec<RequestClass>,
    /// The services that handle the classes.
    pub services: Vec<BackendService>,
    /// The organisations, indexed by [`OrganisationId`]. Empty if requests need no API
    /// keys.
    pub organisations: Vec<OrganisationRules>,
    /// The organisation of each API key.
    pub keys: HashMap<String, OrganisationId>,
    /// The limits on callers' requests and connections.
    pub limits: CallerLimits,
}

/// A class of requests, selected by host and path prefix, with its time limits and
/// targets.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestClass {
    /// The name of the class.
    pub name: String,
    /// The host of its requests, in lowercase.
    pub host: String,
    /// The prefix of its paths.
    pub prefix: String,
    /// Whether a request may run again, and whether its response is a stream.
    pub kind: CallKind,
    /// The longest time for which a caller waits for the response.
    pub timeout: Duration,
    /// The target for the time until the whole response, or until the first event of a
    /// stream.
    pub latency_target: Duration,
    /// The tier of requests whose organisation has none.
    pub tier: TierRank,
    /// The services among which its requests are split by weight.
    pub targets: Vec<TargetService>,
    /// The number of servers on which one request may run.
    pub attempt_limit: u32,
    /// Whether its requests need no API key.
    pub anonymous: bool,
    /// The target for the longest pause between two events of a stream, if there is one.
    pub pause_target: Option<Duration>,
    /// The regions whose servers may get its requests, or `None` for all.
    pub regions: Option<Vec<RegionName>>,
}

/// A service that handles a share of a class.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetService {
    /// The name of the service.
    pub service: String,
    /// The weight of its share.
    pub weight: u32,
}

/// Whether a request may run again, and the form of its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// A request that may run more than once.
    Idempotent,
    /// A request that may run at most once.
    NonIdempotent,
    /// A request whose response is a stream of events.
    Stream {
        /// Whether another server can continue the stream after its last event.
        resumable: bool,
    },
}

impl CallKind {
    /// Returns whether a request may run more than once.
    #[must_use]
    pub fn repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Returns whether the response is a stream of events.
    #[must_use]
    pub fn streams(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service with equivalent backend servers.
#[derive(Debug, Clone, PartialEq)]
pub struct BackendService {
    /// The name of the service.
    pub name: String,
    /// The path and query of a health check of its servers, or `None` if they have none.
    pub health_path: Option<String>,
    /// The most connections that one of its servers accepts, from all clients together.
    pub connection_limit: Option<u32>,
    /// The properties of its engines, or `None` for a service of plain servers.
    pub engine: Option<ServiceEngine>,
    /// The bounds for ordering servers, or `None` if none can be ordered.
    pub scaling: Option<ScalingRules>,
    /// How its servers start, or `None` if they accept all requests at once.
    pub cold_start: Option<ServiceColdStart>,
}

/// How the servers of a service start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceColdStart {
    /// How long a server stays cold after its start.
    pub span: Duration,
    /// The rate that a cold server accepts from all instances together.
    pub rate: RequestRate,
}

/// The properties of the engines of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceEngine {
    /// The number of requests that an engine runs at once.
    pub slots: u32,
    /// The number of prompt and answer tokens that fit into an engine's memory.
    pub memory_tokens: u32,
    /// The number of tokens per millisecond that an engine can fetch from another
    /// engine's memory, or `None` if it can't.
    pub fetch_tokens_per_ms: Option<f64>,
    /// The number of waiting calls for cache changes that an engine accepts; 0 if engines
    /// can't be watched.
    pub watch_calls: u32,
}

/// An organisation whose members call the services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrganisationRules {
    /// The name of the organisation, which is sent to servers.
    pub name: String,
    /// The tier of its requests, which overrides that of the class.
    pub tier: Option<TierRank>,
    /// The regions whose servers may get its requests, or `None` for all.
    pub regions: Option<Vec<RegionName>>,
}

/// Limits on callers' requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The greatest size of a request's head.
    pub header_bytes: usize,
    /// The greatest size of a request's body.
    pub body_bytes: usize,
    /// How long the head of a request may take to arrive.
    pub header_timeout: Duration,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Returns the limits until rules are known: those of a typical web server.
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
    /// The name of the server, which it keeps when it restarts.
    pub name: ServerName,
    /// The name of the service that it belongs to.
    pub service: String,
    /// The address for requests.
    pub address: SocketAddr,
    /// The data centre of the server.
    pub data_centre: DataCentreName,
    /// The number of requests that it runs at once, or 0 for the default.
    pub slots: u32,
    /// The version of its software, which may be any text; empty if the row doesn't say.
    pub version: String,
    /// Whether it is leaving: it finishes its open requests and takes no new ones.
    pub leaving: bool,
    /// Whether it is a spot server, which the platform may take away at short notice.
    pub spot: bool,
    /// When it started, in milliseconds, if the row says so. Another time under the same
    /// name means that the server has restarted and lost all contents of its memory.
    pub started: Option<u64>,
    /// How much longer it is cold, as of when the row was written; zero if it is warm,
    /// `None` if the row doesn't say.
    pub cold_left: Option<Duration>,
}

impl ServerEntry {
    /// Returns the key of this incarnation of the server, which changes when it restarts.
    /// All that is known about a server, also from peers, applies to one incarnation.
    ///
    /// ```
    /// use flaxtide_entry::ServerEntry;
    /// let first = ServerEntry {
    ///     name: "engine-1".into(),
    ///     service: "engines".into(),
    ///     address: ([10, 0, 0, 1], 8000).into(),
    ///     data_centre: "north".into(),
    ///     slots: 24,
    ///     version: "v1".into(),
    ///     leaving: false,
    ///     spot: false,
    ///     started: Some(1000),
    ///     cold_left: None,
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
