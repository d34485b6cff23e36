//! The contract between the traffic path and its platform: rules, server list, duties,
//! and the headers of requests and responses. An adapter implements the traits.

mod dialect;
mod duty;
mod engine;
mod feed;
mod rules;
mod version;

pub use self::dialect::{
    RequestHead, ResponseHead, ResumedStream, UpstreamHead, WireDialect,
};
pub use self::duty::{
    DutyAnswer, DutyCredentials, DutyPlatform, DutyRead, DutyRow, UsageReport,
};
pub use self::engine::{CacheBatch, CacheChange, CachePosition, EngineDialect};
pub use self::feed::{FeedBatch, FeedError, FeedRow, FeedTopic, PlatformFeed, RulesRow};
pub use self::rules::{
    BackendService, CallKind, CallerLimits, EntryRules, OrganisationRules, RequestClass,
    ServerEntry, ServiceColdStart, ServiceEngine, TargetService,
};
pub use self::version::{NoteOwner, NotesRead, RecordsRead, VersionPlatform};
