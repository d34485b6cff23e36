//! The data path of an entry instance: forwards callers' requests to backend servers.
//!
//! One thread serves the requests on a single-threaded runtime and owns the router. Every other
//! task has a thread of its own. The threads communicate over bounded queues:
//!
//! - `traffic`: accepts callers, routes requests and talks to servers ([`EntryInstance`]);
//! - `rules` and `servers`: follow the rules and the server list ([`PlatformFeed`]);
//! - `fleet`: communicates with peers;
//! - `versions`: keeps the versions of streams in the platform's table;
//! - `duties`: carries out what one instance does for all, if configured;
//! - `signal`: waits for signals;
//! - `log`: writes log lines.
//!
//! The crate doesn't know the headers and formats of the platform; an adapter implements
//! [`WireDialect`] and [`PlatformFeed`].

mod admission;
mod answers;
mod attempts;
mod backoff;
mod body;
mod budget;
mod call;
mod config;
mod contract;
mod crash;
mod directory;
mod duty;
mod end_check;
mod error;
mod evacuation;
mod event_order;
mod events;
mod exchange;
mod feed;
mod fleet;
mod follow;
mod follow_log;
mod follower;
mod forward;
mod hooked;
mod instance;
mod jump;
mod keepalive;
mod lag;
mod lapse;
mod list_age;
mod listen;
mod logging;
mod memory;
mod metrics;
mod names;
mod open_call;
mod outdated;
mod probe;
mod proof;
mod pushback;
mod quarantine;
mod read_limit;
mod reader;
mod relay;
mod reply;
mod response;
mod routes;
mod rules_age;
mod servers;
mod shared_rules;
mod sightings;
mod source;
mod state;
mod stop;
mod threads;
mod unwritten;
mod uploads;
mod upstream;
mod version_counts;
mod versions;
mod watch;
mod write_gate;

pub use self::admission::AdmissionLimit;
pub use self::answers::{PlatformAnswers, max_answer_gap};
pub use self::backoff::PeerBackoff;
pub use self::budget::LeaveBudget;
pub use self::config::{DutyConfig, EntryConfig};
pub use self::contract::{
    BackendService, CacheBatch, CacheChange, CachePosition, CallKind, CallerLimits,
    DutyAnswer, DutyCredentials, DutyPlatform, DutyRead, DutyRow, EngineDialect,
    EntryRules, FeedBatch, FeedError, FeedRow, FeedTopic, NoteOwner, NotesRead,
    OrganisationRules, PlatformFeed, RecordsRead, RequestClass, RequestHead,
    ResponseHead, ResumedStream, RulesRow, ServerEntry, ServiceColdStart, ServiceEngine,
    TargetService, UpstreamHead, UsageReport, VersionPlatform, WireDialect,
};
pub use self::directory::ServerDirectory;
pub use self::error::EntryError;
pub use self::event_order::OrderFault;
pub use self::events::EventSplitter;
pub use self::follow::{
    CallBackoff, FollowAnswer, FollowFault, FollowState, covered_until, first_call_window,
};
pub use self::instance::{EntryInstance, StopHandle};
pub use self::keepalive::{DEAD_PEER_TIMEOUT, enable_keepalive};
pub use self::lag::RulesLag;
pub use self::list_age::ListAge;
pub use self::logging::init_entry_logging;
pub use self::reader::ServerListLog;
pub use self::rules_age::RulesAge;
pub use self::source::question_times;
pub use self::watch::{EngineRecord, OwnSightings, ReportedParts, WatchCall, WatchPace};
