//! The traffic path of an entry instance: callers in, backend servers out.
//!
//! One thread carries the traffic, on a runtime of its own, and owns the router; the other
//! duties have a thread each, and bounded rings join them:
//!
//! - `traffic`: listens to callers, decides, talks to servers ([`EntryInstance`]);
//! - `rules` and `servers`: follow what the platform tells ([`PlatformFeed`]);
//! - `fleet`: talks with peers;
//! - `log`: writes the log lines that the others have put into a ring.
//!
//! What the platform's words mean is not known here: an adapter implements
//! [`WireDialect`] and [`PlatformFeed`].

mod backoff;
mod call;
mod config;
mod contract;
mod crash;
mod directory;
mod duty;
mod error;
mod exchange;
mod feed;
mod fleet;
mod follow;
mod follower;
mod instance;
mod jump;
mod lag;
mod listen;
mod logging;
mod metrics;
mod names;
mod open_call;
mod pushback;
mod quarantine;
mod reader;
mod relay;
mod reply;
mod response;
mod routes;
mod shared_rules;
mod source;
mod state;
mod stop;
mod upstream;

pub use self::backoff::PeerBackoff;
pub use self::config::{DutyConfig, EntryConfig};
pub use self::contract::{
    BackendService, CallKind, CallerLimits, DutyAnswer, DutyCredentials, DutyPlatform,
    DutyRead, DutyRow, EntryRules, FeedBatch, FeedError, FeedRow, FeedTopic,
    OrganisationRules, PlatformFeed, RequestClass, RequestHead, ResponseHead,
    ServerEntry, ServiceEngine, TargetService, UpstreamHead, UsageReport, WireDialect,
};
pub use self::directory::ServerDirectory;
pub use self::error::EntryError;
pub use self::follow::{
    CallBackoff, FollowAnswer, FollowFault, FollowState, first_call_window,
};
pub use self::instance::{EntryInstance, StopHandle};
pub use self::lag::RulesLag;
pub use self::logging::init_entry_logging;
pub use self::reader::ServerListLog;
