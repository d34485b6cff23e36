//! The routing decisions of flaxtide, without any input or output.
//!
//! A [`DecisionCore`] takes [`PolicyEvent`]s and their times, and returns
//! [`PolicyAction`]s. It starts no thread, opens no socket, reads no clock and uses no
//! global random source: the same events and seed give the same actions. In names, a call
//! is one request of a caller, from its arrival to its end.
//!
//! The crate also holds the pure logic that instances share: [`divide_slots`] and
//! [`rendezvous_order`], the [`ClaimAttempt`] that makes a request run at most once, and
//! the [`LeaseWatch`] that lets one instance at a time send orders to engines.

mod action;
mod budget;
mod choice;
mod claim;
mod core;
mod engine;
mod estimate;
mod evacuation;
mod event;
mod lease;
mod limit;
mod options;
mod pushback;
mod quarantine;
mod queue;
mod rendezvous;
mod router;
mod rule;
mod scaling;
mod server;
mod share;
mod usage;
mod versions;

pub use self::action::{ChoiceRule, PolicyAction, ServerChoice};
pub use self::claim::{
    ClaimAttempt, ClaimRow, ClaimSettlement, ClaimStep, RowPhase, TableReply,
};
pub use self::core::{DecisionCore, PoolSummary};
pub use self::engine::{
    EngineReport, EngineSighting, EngineSightings, PartChange, SIGHTING_BOUND,
};
pub use self::evacuation::{EvacuationLog, EvacuationRecord};
pub use self::event::{CallArrival, LoadReport, PolicyEvent, ServerFault};
pub use self::lease::{LeaseRow, LeaseStep, LeaseTiming, LeaseWatch};
pub use self::options::PolicyOptions;
pub use self::pushback::{
    ColdStart, DataCentreKey, GroupMember, InstanceGroup, InstanceKey, PushbackLog,
    PushbackReport, ReportEffect, ReportSchedule, RequestRate, ServerStatement,
    StatedRate, refusal_key,
};
pub use self::quarantine::{
    CrashLog, CrashReport, Fingerprint, IncarnationKey, part_fingerprint, part_of,
    request_fingerprint,
};
pub use self::rendezvous::{bounded_owners, rendezvous_order, rendezvous_owner};
pub use self::router::{
    CallProgress, DEAD_BOUND, EngineShape, ForwardPeer, HealthCause, HealthChange,
    LevelTokens, PartFetch, PartKey, PeerKey, PeerLoad, PoolReach, PrefillRecord,
    PromptPart, PromptShape, PushbackCount, QUEUE_WAIT_DIVISOR, ReachChange,
    RefusalCause, RegionKey, RetryCounts, RetryDecision, RouteAction, RouteCall,
    RouteChoice, RouteCore, RouteFault, RouteOptions, RouteReason, RoutedServer,
    ServerLoad, StatementChange, URGENCY_LEVELS, VersionKey,
};
pub use self::rule::{ClassRule, OrganisationRule, RuleSet, ServerRule};
pub use self::scaling::{
    OrderOutcome, ScalerOptions, ScalingRules, ServerCounts, ServerOrder, ServerScaler,
};
pub use self::share::{SlotDemand, divide_slots, equal_share};
pub use self::usage::{
    OrganisationKey, UsageCounts, UsageLedger, UsageSource, UsageTally, WindowCounts,
    WindowNumber, WindowTotal, window_end, window_of,
};
pub use self::versions::{
    AskedPeers, BatchKey, ListedNow, NoteBatch, NoteChange, NoteLog, RecordedVersion,
    ServiceKey, StreamKey, VersionAnswer, VersionDecision, VersionNote, VersionPoll,
    VersionRecord, VersionRegistry, VersionView,
};
