//! The exchange of state between entry instances.
//!
//! A [`FleetNode`] holds the state of one instance and does no I/O: what it knows of its peers,
//! which backend servers it watches, and how it divides their slots and the rates of
//! organisations. All of it is soft state: it is refreshed every few periods, and expires if it
//! isn't. [`FleetThread`] exchanges the messages over tarpc.

mod answers;
mod changes;
mod counted;
mod duty;
mod fetch;
mod info;
mod key;
mod links;
mod node;
mod notice;
mod partial;
mod peer;
mod rate;
mod reach;
mod rows;
mod serve;
mod settings;
mod shared;
mod thread;
mod usage;
mod versions;
mod wire;

pub use self::answers::{AnswerAges, AnswerSpan};
pub use self::counted::LinkBytes;
pub use self::duty::{UnconfirmedUsage, UsageExchange};
pub use self::info::PeerInfo;
pub use self::key::{FleetKey, fleet_key};
pub use self::node::{
    FleetNode, FleetServer, FleetTiming, NodeEvent, NodeStatus, OutgoingCrashes,
    OutgoingHeartbeat, OutgoingHello, OutgoingPushback, SettingsSource,
};
pub use self::rate::rate_share;
pub use self::reach::{ReachHandler, ReachRequest};
pub use self::rows::{
    ListPlan, ListReader, RowAnswer, RowChanges, RowCopy, RowRequest, RowSource,
};
pub use self::settings::{
    CopyAssembly, MAX_PIECE_BYTES, PieceAnswer, PieceOutcome, PieceProvider,
    PieceQuestion, SettingsCopy, SettingsPiece,
};
pub use self::thread::{FleetCommand, FleetThread, FleetUpdate};
pub use self::versions::{PendingQuestion, VersionExchange, VersionQuestion};
pub use self::wire::{
    CrashNotice, CrashReply, DutyHolder, EngineDigest, FleetHeartbeat, GroupDigest,
    GroupHello, HeartbeatReply, OwnLoad, PartRead, PartUpdate, PoolDemand,
    PushbackNotice, RatePart, ReachDigest, ReachReply, ReportDigest, ServerDigest,
    ServerShare, UsageCount, UsageNotice,
};
