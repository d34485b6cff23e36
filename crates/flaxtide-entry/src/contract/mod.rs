//! What the traffic path needs of the platform that it runs on: its rules, its servers, and
//! the words of its requests and answers. An adapter implements the traits.

mod dialect;
mod duty;
mod feed;
mod rules;

pub use self::dialect::{RequestHead, ResponseHead, UpstreamHead, WireDialect};
pub use self::duty::{
    DutyAnswer, DutyPlatform, DutyRead, DutyRow, FencingToken, UsageReport,
};
pub use self::feed::{FeedBatch, FeedError, FeedRow, FeedTopic, PlatformFeed};
pub use self::rules::{
    BackendService, CallKind, CallerLimits, EntryRules, OrganisationRules, RequestClass,
    ServerEntry, ServiceEngine, TargetService,
};
